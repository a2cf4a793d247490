//! What a server is told at its start: a JSON object, of which unknown keys are passed over and absent ones
//! are zero. The simulator's first message and a real backend's start file hold the same object.

use asterdale::parameters::{
    CapacityHint, ClassParameters, Dependency, Idempotency, Parameters, Preemption,
    TenantParameters,
};
use serde_json::Value;

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn ms(value: &Value) -> f64 {
    number(value) / 1e6
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// What the object holds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// For the decisions.
    pub decisions: Parameters,
    /// The names of the request classes, in the order of [`Parameters::classes`].
    pub class_names: Vec<String>,
    /// The names of the tenants, in the order of [`Parameters::tenants`]; may be empty.
    pub tenant_names: Vec<String>,
    /// The names of the gauges, in the order in which their values will come.
    pub gauge_names: Vec<String>,
}

/// Reads the object from its text.
pub fn read(seed: u64, text: &[u8]) -> Result<Settings, serde_json::Error> {
    Ok(from_json(seed, &serde_json::from_slice(text)?))
}

/// Reads the object.
pub fn from_json(seed: u64, all: &Value) -> Settings {
    let (extra, rules, limits) = (&all["extra"], &all["guarantees"], &all["limits"]);
    let (without, calls) = (list(&extra["worthWithout"]), list(&extra["classCalls"]));
    let stages = list(&all["lanes"])
        .iter()
        .enumerate()
        .map(|(n, lane)| ClassParameters {
            objective_ms: ms(&lane["objectiveNs"]),
            deadline_ms: ms(&lane["deadlineNs"]),
            weight: number(&lane["worth"]),
            late_weight_share: number(&lane["lateShare"]),
            degraded_weight_share: without.get(n).map_or(0.0, number),
            makes_calls: calls.get(n).and_then(Value::as_bool).unwrap_or(false),
            idempotency: match lane["repeat"].as_str() {
                Some("repeatable") => Idempotency::Idempotent,
                Some("by_key") => Idempotency::Keyed,
                _ => Idempotency::NonIdempotent,
            },
            retry_window_ms: ms(&lane["memorySpanNs"]),
        });
    let customers = list(&all["tenants"]).iter().map(|tenant| TenantParameters {
        quota_per_s: number(&tenant["allowancePerS"]),
    });
    let told = Parameters {
        seed,
        cores: number(&extra["cores"]),
        memory_kb: number(&extra["memoryKb"]),
        running_memory_factor: number(&extra["blowup"]),
        idempotency_entry_kb: number(&extra["entryKb"]),
        slow_start: extra["cold"].as_bool().unwrap_or(false),
        slow_start_share: number(&rules["startCapacity"]),
        slow_start_ms: ms(&rules["coldNs"]),
        overload_factor: number(&rules["overloadFactor"]),
        tick_ms: ms(&all["tickNs"]),
        drain_grace_ms: ms(&rules["drainGraceNs"]),
        servers: number(&all["servers"]),
        callers: number(&extra["upstreams"]),
        dependency: match extra["below"].as_str() {
            Some("shared") => Dependency::Shared,
            Some("tier") => Dependency::Tier,
            _ => Dependency::Absent,
        },
        dependency_quota: number(&extra["callsOut"]),
        dependency_window_ms: ms(&extra["depWindowNs"]),
        call_linger_ms: ms(&extra["lingersNs"]),
        idle_timeout_ms: ms(&extra["idleNs"]),
        response_reuse_ms: ms(&extra["freshForNs"]),
        preemption: match extra["halt"].as_str() {
            Some("drop") => Preemption::Abort,
            Some("pause") => Preemption::Pause,
            _ => Preemption::Unsupported,
        },
        capacity_hint: match extra["say"].as_str() {
            Some("level") => CapacityHint::Level,
            Some("credit") => CapacityHint::Credit,
            Some("weight") => CapacityHint::Weight,
            _ => CapacityHint::Unused,
        },
        max_retry_after_ms: if limits["retryAfter"].as_bool() == Some(true) {
            ms(&limits["maxRetryAfterNs"])
        } else {
            0.0
        },
        over_quota_weight_share: all["overShareWorth"].as_f64().unwrap_or(1.0),
        weight_per_work: all["worthBy"].as_str() == Some("work"),
        classes: stages.collect(),
        tenants: customers.collect(),
    };
    let text = |value: &Value| value.as_str().unwrap_or("").to_owned();
    Settings {
        decisions: told,
        class_names: list(&all["lanes"])
            .iter()
            .map(|lane| text(&lane["name"]))
            .collect(),
        tenant_names: list(&all["tenants"])
            .iter()
            .map(|tenant| text(&tenant["name"]))
            .collect(),
        gauge_names: list(&extra["ownStats"]).iter().map(text).collect(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unknown_keys_are_passed_over_and_absent_ones_are_zero() {
        let text =
            br#"{"new": [1, {"a": null}], "extra": {"cores": 6, "below": "shared", "ownStats": ["core_use"]},
            "lanes": [{"name": "bid", "repeat": "by_key", "objectiveNs": 2500000, "worth": 3.0}]}"#;
        let Settings {
            decisions: told,
            class_names: stages,
            tenant_names: tenants,
            gauge_names: gauges,
        } = read(7, text).unwrap();
        assert!(tenants.is_empty());
        assert_eq!((told.seed, told.cores, told.memory_kb), (7, 6.0, 0.0));
        assert_eq!(
            (told.dependency, told.preemption),
            (Dependency::Shared, Preemption::Unsupported)
        );
        assert_eq!(
            (told.classes[0].objective_ms, told.classes[0].idempotency),
            (2.5, Idempotency::Keyed)
        );
        assert_eq!(
            (gauges, stages),
            (vec!["core_use".to_owned()], vec!["bid".to_owned()])
        );
        assert!(read(7, b"{").is_err());
    }
}
