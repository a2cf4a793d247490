//! Reads the settings of a server from a JSON object: the first message of the simulator, or a part of the start file.
//!
//! Unknown keys are ignored and absent ones are zero, so that either side can be newer. The keys are a wire format and
//! keep the names of the simulator.

use asterdale::parameters::{
    CapacityHint, ClassParameters, Dependency, Idempotency, Parameters, Preemption,
    TenantParameters,
};
use serde_json::Value;

/// The error for text that is not JSON.
pub use serde_json::Error as JsonError;

/// The contents of the JSON object.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The parameters of the decisions.
    pub decisions: Parameters,
    /// The names of the request classes, in the order of [`Parameters::classes`].
    pub class_names: Vec<String>,
    /// The names of the tenants, in the order of [`Parameters::tenants`]; may be empty.
    pub tenant_names: Vec<String>,
    /// The names of the gauges, in the order in which their values are sent.
    pub gauge_names: Vec<String>,
}

/// Parses the text and reads the JSON object.
///
/// # Errors
/// The text is not JSON.
pub fn read(seed: u64, text: &[u8]) -> Result<Settings, JsonError> {
    Ok(from_json(seed, &serde_json::from_slice(text)?))
}

/// Reads the JSON object.
pub fn from_json(seed: u64, object: &Value) -> Settings {
    Settings {
        decisions: parameters(seed, object),
        class_names: names(&object["lanes"]),
        tenant_names: names(&object["tenants"]),
        gauge_names: list(&object["extra"]["ownStats"])
            .iter()
            .map(text)
            .collect(),
    }
}

fn parameters(seed: u64, object: &Value) -> Parameters {
    let (extra, guarantees) = (&object["extra"], &object["guarantees"]);
    Parameters {
        seed,
        cores: number(&extra["cores"]),
        memory_kb: number(&extra["memoryKb"]),
        running_memory_factor: number(&extra["blowup"]),
        idempotency_entry_kb: number(&extra["entryKb"]),
        slow_start: extra["cold"].as_bool().unwrap_or(false),
        slow_start_share: number(&guarantees["startCapacity"]),
        slow_start_ms: milliseconds(&guarantees["coldNs"]),
        overload_factor: number(&guarantees["overloadFactor"]),
        tick_ms: milliseconds(&object["tickNs"]),
        drain_grace_ms: milliseconds(&guarantees["drainGraceNs"]),
        servers: number(&object["servers"]),
        callers: number(&extra["upstreams"]),
        dependency: dependency(&extra["below"]),
        dependency_quota: number(&extra["callsOut"]),
        dependency_window_ms: milliseconds(&extra["depWindowNs"]),
        call_linger_ms: milliseconds(&extra["lingersNs"]),
        idle_timeout_ms: milliseconds(&extra["idleNs"]),
        response_reuse_ms: milliseconds(&extra["freshForNs"]),
        preemption: preemption(&extra["halt"]),
        capacity_hint: capacity_hint(&extra["say"]),
        max_retry_after_ms: max_retry_after_ms(&object["limits"]),
        over_quota_weight_share: object["overShareWorth"].as_f64().unwrap_or(1.0),
        weight_per_work: object["worthBy"].as_str() == Some("work"),
        classes: classes(object),
        tenants: tenants(&object["tenants"]),
    }
}

/// The request classes. The weight share of a degraded answer, and whether a class makes calls, are in two further
/// lists of the same order.
fn classes(object: &Value) -> Vec<ClassParameters> {
    let degraded_weight_shares = list(&object["extra"]["worthWithout"]);
    let makes_calls = list(&object["extra"]["classCalls"]);
    let class = |(index, class): (usize, &Value)| ClassParameters {
        objective_ms: milliseconds(&class["objectiveNs"]),
        deadline_ms: milliseconds(&class["deadlineNs"]),
        weight: number(&class["worth"]),
        late_weight_share: number(&class["lateShare"]),
        degraded_weight_share: degraded_weight_shares.get(index).map_or(0.0, number),
        makes_calls: makes_calls
            .get(index)
            .and_then(Value::as_bool)
            .unwrap_or(false),
        idempotency: idempotency(&class["repeat"]),
        retry_window_ms: milliseconds(&class["memorySpanNs"]),
    };
    list(&object["lanes"])
        .iter()
        .enumerate()
        .map(class)
        .collect()
}

fn tenants(value: &Value) -> Vec<TenantParameters> {
    let tenant = |tenant: &Value| TenantParameters {
        quota_per_s: number(&tenant["allowancePerS"]),
    };
    list(value).iter().map(tenant).collect()
}

/// An unknown value counts as the strictest choice: such a request never runs twice.
fn idempotency(value: &Value) -> Idempotency {
    match value.as_str() {
        Some("repeatable") => Idempotency::Idempotent,
        Some("by_key") => Idempotency::Keyed,
        _ => Idempotency::NonIdempotent,
    }
}

fn dependency(value: &Value) -> Dependency {
    match value.as_str() {
        Some("shared") => Dependency::Shared,
        Some("tier") => Dependency::Tier,
        _ => Dependency::Absent,
    }
}

fn preemption(value: &Value) -> Preemption {
    match value.as_str() {
        Some("drop") => Preemption::Abort,
        Some("pause") => Preemption::Pause,
        _ => Preemption::Unsupported,
    }
}

fn capacity_hint(value: &Value) -> CapacityHint {
    match value.as_str() {
        Some("level") => CapacityHint::Level,
        Some("credit") => CapacityHint::Credit,
        Some("weight") => CapacityHint::Weight,
        _ => CapacityHint::Unused,
    }
}

fn max_retry_after_ms(limits: &Value) -> f64 {
    if limits["retryAfter"].as_bool() == Some(true) {
        milliseconds(&limits["maxRetryAfterNs"])
    } else {
        0.0
    }
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

/// Nanoseconds as milliseconds.
fn milliseconds(value: &Value) -> f64 {
    number(value) / 1e6
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or("").to_owned()
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn names(objects: &Value) -> Vec<String> {
    list(objects)
        .iter()
        .map(|object| text(&object["name"]))
        .collect()
}
