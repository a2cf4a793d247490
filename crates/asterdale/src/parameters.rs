//! The settings of one server: its resources, its request classes and tenants, and the guarantees of its environment.

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub enum Idempotency {
    /// May run again at any time.
    #[cfg_attr(feature = "snapshot", serde(rename = "Restartable"))]
    Idempotent,
    /// Carries an idempotency key, by which a retry is recognised; runs at most once on a server.
    #[cfg_attr(feature = "snapshot", serde(rename = "Fingerprinted"))]
    Keyed,
    /// Must never run twice.
    #[cfg_attr(feature = "snapshot", serde(rename = "SideEffecting"))]
    NonIdempotent,
}

/// One request class.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct ClassParameters {
    /// The latency objective: an answer within this time of the first attempt counts with the full weight.
    #[cfg_attr(feature = "snapshot", serde(rename = "due_ms"))]
    pub objective_ms: f64,
    /// How long a client waits in total, over all attempts.
    #[cfg_attr(feature = "snapshot", serde(rename = "limit_ms"))]
    pub deadline_ms: f64,
    /// The priority weight of one request.
    #[cfg_attr(feature = "snapshot", serde(rename = "utility"))]
    pub weight: f64,
    /// The fraction of the weight with which an answer after the objective counts.
    #[cfg_attr(feature = "snapshot", serde(rename = "late_share"))]
    pub late_weight_share: f64,
    /// The fraction of the weight with which a degraded answer counts, one whose call was skipped.
    #[cfg_attr(feature = "snapshot", serde(rename = "without_call"))]
    pub degraded_weight_share: f64,
    /// Whether its tasks may call the dependency.
    #[cfg_attr(feature = "snapshot", serde(rename = "calls"))]
    pub makes_calls: bool,
    /// Whether its requests may run more than once.
    #[cfg_attr(feature = "snapshot", serde(rename = "repeat"))]
    pub idempotency: Idempotency,
    /// How long after its arrival a request can be retried.
    #[cfg_attr(feature = "snapshot", serde(rename = "memory_ms"))]
    pub retry_window_ms: f64,
}

/// One tenant.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct TenantParameters {
    /// Its quota over the complete fleet, in requests per second.
    #[cfg_attr(feature = "snapshot", serde(rename = "allowance_per_s"))]
    pub quota_per_s: f64,
}

/// Whether running work can be preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub enum Preemption {
    /// Running work can't be preempted.
    #[cfg_attr(feature = "snapshot", serde(rename = "Never"))]
    Unsupported,
    /// Running work can be aborted; what it has done is lost.
    #[cfg_attr(feature = "snapshot", serde(rename = "Drop"))]
    Abort,
    /// Running work can be paused and keeps its progress.
    Pause,
}

/// What callers do with the capacity hint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub enum CapacityHint {
    /// Callers get no hint.
    Unused,
    /// Callers don't send requests of a lower rank than the hint.
    Level,
    /// Each caller keeps at most this many requests in flight here.
    Credit,
    /// The hint is the probability with which a caller doesn't skip this server.
    Weight,
}

/// The dependency that tasks call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub enum Dependency {
    /// There is none.
    #[cfg_attr(feature = "snapshot", serde(rename = "Nothing"))]
    Absent,
    /// One dependency that all servers of the tier share.
    Shared,
    /// Another tier of servers.
    Tier,
}

/// The settings of one server.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct Parameters {
    /// Seed for this server's random numbers.
    pub seed: u64,
    /// How many cores it has.
    pub cores: f64,
    /// Its memory, in kilobytes.
    pub memory_kb: f64,
    /// The memory of a running task, in multiples of that of a queued one.
    #[cfg_attr(feature = "snapshot", serde(rename = "run_blowup"))]
    pub running_memory_factor: f64,
    /// The memory of one retained idempotency key, in kilobytes.
    #[cfg_attr(feature = "snapshot", serde(rename = "entry_kb"))]
    pub idempotency_entry_kb: f64,
    /// Whether it has just started and is in its slow start.
    #[cfg_attr(feature = "snapshot", serde(rename = "cold"))]
    pub slow_start: bool,
    /// The fraction of its full speed that is guaranteed at the beginning of its slow start.
    #[cfg_attr(feature = "snapshot", serde(rename = "cold_share"))]
    pub slow_start_share: f64,
    /// The duration of the slow start, in milliseconds.
    #[cfg_attr(feature = "snapshot", serde(rename = "cold_ms"))]
    pub slow_start_ms: f64,
    /// How many concurrent tasks per core the server survives after its slow start.
    #[cfg_attr(feature = "snapshot", serde(rename = "crowd_factor"))]
    pub overload_factor: f64,
    /// The shortest time between two batches of events, in milliseconds.
    pub tick_ms: f64,
    /// The grace period of a graceful shutdown, in milliseconds: a request that arrives later than this after the
    /// notice must not run.
    pub drain_grace_ms: f64,
    /// How many servers this tier had at the start.
    pub servers: f64,
    /// How many callers this tier had at the start.
    pub callers: f64,
    /// The dependency that tasks call.
    #[cfg_attr(feature = "snapshot", serde(rename = "below"))]
    pub dependency: Dependency,
    /// This server's quota of the concurrent calls that a shared dependency survives.
    #[cfg_attr(feature = "snapshot", serde(rename = "calls_share"))]
    pub dependency_quota: f64,
    /// The time over which the number of concurrent calls is averaged, in milliseconds.
    #[cfg_attr(feature = "snapshot", serde(rename = "calls_window_ms"))]
    pub dependency_window_ms: f64,
    /// How long a call that was given up can still occupy the dependency, in milliseconds.
    #[cfg_attr(feature = "snapshot", serde(rename = "linger_ms"))]
    pub call_linger_ms: f64,
    /// How long callers keep an idle connection, in milliseconds; 0 if that is unknown.
    #[cfg_attr(feature = "snapshot", serde(rename = "idle_ms"))]
    pub idle_timeout_ms: f64,
    /// How long the answer to an idempotent request may be reused for its repeats, in milliseconds; 0 for never.
    #[cfg_attr(feature = "snapshot", serde(rename = "fresh_ms"))]
    pub response_reuse_ms: f64,
    /// Whether running work can be preempted.
    #[cfg_attr(feature = "snapshot", serde(rename = "halt"))]
    pub preemption: Preemption,
    /// What callers do with the capacity hint.
    #[cfg_attr(feature = "snapshot", serde(rename = "free_value"))]
    pub capacity_hint: CapacityHint,
    /// The longest Retry-After that callers follow, in milliseconds; 0 if they follow none.
    #[cfg_attr(feature = "snapshot", serde(rename = "advice_ms"))]
    pub max_retry_after_ms: f64,
    /// The fraction of its weight with which a request beyond its tenant's quota counts.
    #[cfg_attr(feature = "snapshot", serde(rename = "over_share_worth"))]
    pub over_quota_weight_share: f64,
    /// Whether weights are per unit of core work rather than per request.
    #[cfg_attr(feature = "snapshot", serde(rename = "by_work"))]
    pub weight_per_work: bool,
    /// The request classes.
    #[cfg_attr(feature = "snapshot", serde(rename = "stages"))]
    pub classes: Vec<ClassParameters>,
    /// The tenants; may be empty.
    #[cfg_attr(feature = "snapshot", serde(rename = "customers"))]
    pub tenants: Vec<TenantParameters>,
}
