//! The settings of one server: its resources, its request classes and tenants, and what it can rely on.

/// How often a request of a class may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub enum Idempotency {
    /// May run again at any time.
    #[cfg_attr(feature = "snapshot", serde(rename = "Restartable"))]
    Idempotent,
    /// Carries an idempotency key, by which a retry is recognised; runs once on a server.
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
    /// The latency objective: an answer within this time of the first attempt earns the full weight.
    #[cfg_attr(feature = "snapshot", serde(rename = "due_ms"))]
    pub objective_ms: f64,
    /// How long a client waits in all, over all attempts.
    #[cfg_attr(feature = "snapshot", serde(rename = "limit_ms"))]
    pub deadline_ms: f64,
    /// The priority weight of one request.
    #[cfg_attr(feature = "snapshot", serde(rename = "utility"))]
    pub weight: f64,
    /// The part of the weight that an answer after the objective earns.
    #[cfg_attr(feature = "snapshot", serde(rename = "late_share"))]
    pub late_weight_share: f64,
    /// The part of the weight that an answer earns whose call was skipped.
    #[cfg_attr(feature = "snapshot", serde(rename = "without_call"))]
    pub degraded_weight_share: f64,
    /// Its tasks may call the dependency.
    #[cfg_attr(feature = "snapshot", serde(rename = "calls"))]
    pub makes_calls: bool,
    /// How often its requests may run.
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
    /// Its quota: requests a second, over the complete fleet.
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
    /// They get none.
    Unused,
    /// Requests of a lower rank than the hint are not sent.
    Level,
    /// Each caller keeps at most that many requests in flight here.
    Credit,
    /// The probability that a caller doesn't skip this server.
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
    /// It has just started and is warming up.
    #[cfg_attr(feature = "snapshot", serde(rename = "cold"))]
    pub slow_start: bool,
    /// The part of its full speed that it has at least at the beginning of its slow start.
    #[cfg_attr(feature = "snapshot", serde(rename = "cold_share"))]
    pub slow_start_share: f64,
    /// The duration of the slow start, in milliseconds.
    #[cfg_attr(feature = "snapshot", serde(rename = "cold_ms"))]
    pub slow_start_ms: f64,
    /// How many tasks on the cores, for each core, the server survives after its slow start.
    #[cfg_attr(feature = "snapshot", serde(rename = "crowd_factor"))]
    pub overload_factor: f64,
    /// The shortest time between two batches of events, in milliseconds.
    pub tick_ms: f64,
    /// A request that arrives later than this after the notice of a graceful shutdown must not run; in milliseconds.
    pub drain_grace_ms: f64,
    /// How many servers this tier had at the start.
    pub servers: f64,
    /// How many callers this tier had at the start.
    pub callers: f64,
    /// The dependency that tasks call.
    #[cfg_attr(feature = "snapshot", serde(rename = "below"))]
    pub dependency: Dependency,
    /// This server's quota of the calls in flight that a shared dependency survives.
    #[cfg_attr(feature = "snapshot", serde(rename = "calls_share"))]
    pub dependency_quota: f64,
    /// The time over which these calls are averaged, in milliseconds.
    #[cfg_attr(feature = "snapshot", serde(rename = "calls_window_ms"))]
    pub dependency_window_ms: f64,
    /// How long a call that was given up can still occupy the dependency, in milliseconds.
    #[cfg_attr(feature = "snapshot", serde(rename = "linger_ms"))]
    pub call_linger_ms: f64,
    /// How long callers keep an idle connection, in milliseconds; 0 if that is unknown.
    #[cfg_attr(feature = "snapshot", serde(rename = "idle_ms"))]
    pub idle_timeout_ms: f64,
    /// How long the answer of an idempotent request may serve its repeats, in milliseconds; 0 for never.
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
    /// The part of its weight that a request beyond its tenant's quota has.
    #[cfg_attr(feature = "snapshot", serde(rename = "over_share_worth"))]
    pub over_quota_weight_share: f64,
    /// Weights count for each unit of work, not for each request.
    #[cfg_attr(feature = "snapshot", serde(rename = "by_work"))]
    pub weight_per_work: bool,
    /// The request classes.
    #[cfg_attr(feature = "snapshot", serde(rename = "stages"))]
    pub classes: Vec<ClassParameters>,
    /// The tenants; may be empty.
    #[cfg_attr(feature = "snapshot", serde(rename = "customers"))]
    pub tenants: Vec<TenantParameters>,
}
