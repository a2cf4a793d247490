//! Which keys are read, and how absent and unknown keys and values are treated.

use asterdale::parameters::{CapacityHint, Dependency, Idempotency, Preemption};
use asterdale_parameters::read;

#[test]
fn unknown_keys_are_ignored_and_absent_ones_are_zero() {
    let text = br#"{"new": [1, {"a": null}], "extra": {"cores": 6, "below": "shared", "ownStats": ["core_use"]},
        "lanes": [{"name": "bid", "repeat": "by_key", "objectiveNs": 2500000, "worth": 3.0}]}"#;
    let settings = read(7, text).unwrap();
    let parameters = &settings.decisions;
    assert!(settings.tenant_names.is_empty());
    assert_eq!(
        (parameters.seed, parameters.cores, parameters.memory_kb),
        (7, 6.0, 0.0)
    );
    assert_eq!(
        (parameters.dependency, parameters.preemption),
        (Dependency::Shared, Preemption::Unsupported)
    );
    let class = &parameters.classes[0];
    assert_eq!(
        (class.objective_ms, class.idempotency),
        (2.5, Idempotency::Keyed)
    );
    assert_eq!(settings.gauge_names, ["core_use"]);
    assert_eq!(settings.class_names, ["bid"]);
}

#[test]
fn text_that_is_not_json_is_an_error() {
    assert!(read(7, b"{").is_err());
}

#[test]
fn every_value_of_a_choice_is_read_and_unknown_ones_are_the_default() {
    let settings = |below: &str, halt: &str, say: &str, repeat: &str| {
        let text = format!(
            r#"{{"extra": {{"below": "{below}", "halt": "{halt}", "say": "{say}"}}, "lanes": [{{"repeat": "{repeat}"}}]}}"#
        );
        let parameters = read(1, text.as_bytes()).unwrap().decisions;
        (
            parameters.dependency,
            parameters.preemption,
            parameters.capacity_hint,
            parameters.classes[0].idempotency,
        )
    };
    assert_eq!(
        settings("shared", "drop", "level", "repeatable"),
        (
            Dependency::Shared,
            Preemption::Abort,
            CapacityHint::Level,
            Idempotency::Idempotent
        )
    );
    assert_eq!(
        settings("tier", "pause", "credit", "by_key"),
        (
            Dependency::Tier,
            Preemption::Pause,
            CapacityHint::Credit,
            Idempotency::Keyed
        )
    );
    assert_eq!(
        settings("x", "x", "weight", "x"),
        (
            Dependency::Absent,
            Preemption::Unsupported,
            CapacityHint::Weight,
            Idempotency::NonIdempotent
        )
    );
    assert_eq!(settings("", "", "x", "").2, CapacityHint::Unused);
}
