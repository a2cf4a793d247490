//! Section `settings` of the start file: parameters of the decisions. The values are read from the JSON by
//! `asterdale_parameters`; the types here define the schema and report values of a wrong type.

#[cfg(feature = "tools")]
use schemars::JsonSchema;
use serde::Deserialize;

use super::error::{Faults, Problem};
use super::value::Positive;

/// Parameters of the decisions. Times are in nanoseconds. Absent values are zero.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Told",
    expecting = "struct Told",
    default,
    rename_all = "camelCase"
)]
pub struct DecisionSection {
    /// The machine, the runtime on it, and the dependency.
    #[serde(rename = "extra")]
    #[cfg_attr(feature = "tools", schemars(required))]
    pub machine: Option<MachineSection>,
    /// Properties of a server and its runtime that the decisions rely on.
    pub guarantees: Option<GuaranteesSection>,
    /// Retry-After advice to callers.
    #[serde(rename = "limits")]
    pub retry_advice: Option<RetryAdviceSection>,
    /// The request classes, at least one.
    #[serde(rename = "lanes")]
    #[cfg_attr(feature = "tools", schemars(required))]
    pub classes: Option<Vec<RequestClassSection>>,
    /// The tenants, with their quotas.
    pub tenants: Option<Vec<QuotaSection>>,
    /// The weight of a request beyond its tenant's quota, as a fraction of its usual priority weight.
    #[serde(rename = "overShareWorth")]
    pub over_quota_weight: Option<f64>,
    /// The number of servers of this tier at startup.
    pub servers: Option<f64>,
    /// The minimum time between two batches of events.
    pub tick_ns: Option<f64>,
    /// `work` if the priority weight applies to each unit of work; any other value: to each request.
    #[serde(rename = "worthBy")]
    pub weight_unit: Option<String>,
}

/// The machine, the runtime on it, and the dependency.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Extra",
    expecting = "struct Extra",
    default,
    rename_all = "camelCase"
)]
pub struct MachineSection {
    /// The dependency: `shared` by all servers of this tier, another `tier` of servers, or any other value for none.
    #[serde(rename = "below")]
    pub dependency: Option<String>,
    /// Memory of a running request divided by that of a queued one.
    #[serde(rename = "blowup")]
    pub running_memory_factor: Option<f64>,
    /// This server's part of the concurrent calls that the shared dependency can process.
    #[serde(rename = "callsOut")]
    pub max_dependency_calls: Option<f64>,
    /// For each class, in the order of `lanes`: whether its requests may call the dependency.
    #[serde(rename = "classCalls")]
    pub calls_dependency: Option<Vec<bool>>,
    /// The server has just started and has to warm up (slow start).
    pub cold: Option<bool>,
    /// Cores of the runtime.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub cores: Option<Positive>,
    /// The time over which calls of the dependency are averaged.
    #[serde(rename = "depWindowNs")]
    pub dependency_window_ns: Option<f64>,
    /// Memory of a retained idempotency entry, in KB.
    #[serde(rename = "entryKb")]
    pub idempotency_entry_kb: Option<f64>,
    /// How long the response to a read may be reused for other requests.
    pub fresh_for_ns: Option<f64>,
    /// How a running request can be preempted: `drop` to abort it, `pause`, or any other value for not at all.
    #[serde(rename = "halt")]
    pub preemption: Option<String>,
    /// How long callers keep an idle connection open.
    pub idle_ns: Option<f64>,
    /// How long the dependency may go on with a call after its caller has timed out.
    #[serde(rename = "lingersNs")]
    pub call_linger_ns: Option<f64>,
    /// Memory of the runtime, in KB.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub memory_kb: Option<Positive>,
    /// Names of the runtime's gauges, in the order of their values.
    #[serde(rename = "ownStats")]
    pub gauge_names: Option<Vec<String>>,
    /// How callers use the capacity hint that servers publish: `level`, `credit`, `weight`, or any other value for not
    /// at all.
    #[serde(rename = "say")]
    pub capacity_hint: Option<String>,
    /// The number of callers of this tier at startup.
    pub upstreams: Option<f64>,
    /// For each class, in the order of `lanes`: the fraction of the priority weight that a response made without the
    /// dependency counts for.
    #[serde(rename = "worthWithout")]
    pub weight_without_dependency: Option<Vec<f64>>,
}

/// Properties of a server and its runtime that the decisions rely on.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Guarantees",
    expecting = "struct Guarantees",
    default,
    rename_all = "camelCase"
)]
pub struct GuaranteesSection {
    /// The longest time that a server that has just started takes to warm up (slow start).
    #[serde(rename = "coldNs")]
    pub warmup_ns: Option<f64>,
    /// The grace period: a request that arrives later than this after the notice to drain must not run.
    pub drain_grace_ns: Option<f64>,
    /// The number of running requests per core that a warm server can process.
    pub overload_factor: Option<f64>,
    /// The minimum speed of a server that has just started, as a fraction of its usual speed.
    #[serde(rename = "startCapacity")]
    pub cold_capacity: Option<f64>,
}

/// Retry-After advice to callers.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Advice",
    expecting = "struct Advice",
    default,
    rename_all = "camelCase"
)]
pub struct RetryAdviceSection {
    /// The longest Retry-After that callers obey.
    pub max_retry_after_ns: Option<f64>,
    /// Whether callers obey Retry-After.
    pub retry_after: Option<bool>,
}

/// A request class.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Lane",
    expecting = "struct Lane",
    default,
    rename_all = "camelCase"
)]
pub struct RequestClassSection {
    /// Its name, as it appears in request paths.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub name: Option<String>,
    /// The deadline: how long a client waits in total.
    pub deadline_ns: Option<f64>,
    /// The fraction of the priority weight that a response after the latency objective counts for.
    #[serde(rename = "lateShare")]
    pub late_weight_share: Option<f64>,
    /// The retry window: how long after its arrival a keyed request may be retried.
    #[serde(rename = "memorySpanNs")]
    pub retry_window_ns: Option<f64>,
    /// The latency objective: a response within this time counts with the full priority weight.
    pub objective_ns: Option<f64>,
    /// `repeatable` for idempotent requests, `by_key` for keyed ones, any other value for non-idempotent ones.
    #[serde(rename = "repeat")]
    pub idempotency: Option<String>,
    /// The priority weight of one request.
    #[serde(rename = "worth")]
    pub priority_weight: Option<f64>,
}

/// The quota of a tenant.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Customer",
    expecting = "struct Customer",
    default,
    rename_all = "camelCase"
)]
pub struct QuotaSection {
    /// The quota, in requests per second over the whole fleet.
    pub allowance_per_s: Option<f64>,
}

/// Reports required fields that are missing: the size of the machine, and at least one named request class.
pub fn check(section: Option<&DecisionSection>, faults: &mut Faults) {
    let Some(section) = faults.require("settings", section) else {
        return;
    };
    if let Some(machine) = faults.require("settings.extra", section.machine.as_ref()) {
        faults.require("settings.extra.cores", machine.cores);
        faults.require("settings.extra.memoryKb", machine.memory_kb);
    }
    let Some(classes) = faults.require("settings.lanes", section.classes.as_ref()) else {
        return;
    };
    if classes.is_empty() {
        faults.add("settings.lanes", "must have at least one entry");
    }
    for (index, class) in classes.iter().enumerate() {
        let path = format!("settings.lanes[{index}].name");
        let name = faults.require(&path, class.name.as_ref());
        if name.is_some_and(String::is_empty) {
            faults.add(path, Problem::Empty);
        }
    }
}
