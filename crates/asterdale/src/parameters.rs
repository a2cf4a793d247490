//! The settings of one server: its resources, its request classes and tenants, and what it can rely on.

/// How often a task of a stage may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub enum Idempotency {
    /// May run again at any time.
    #[cfg_attr(feature = "snapshot", serde(rename = "Restartable"))]
    Idempotent,
    /// Carries a mark by which a repeat is known; runs once on a server.
    #[cfg_attr(feature = "snapshot", serde(rename = "Fingerprinted"))]
    Keyed,
    /// Must never run twice.
    #[cfg_attr(feature = "snapshot", serde(rename = "SideEffecting"))]
    NonIdempotent,
}

/// One kind of task.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct ClassParameters {
    /// Full utility is earned by an answer within this time of the first try.
    #[cfg_attr(feature = "snapshot", serde(rename = "due_ms"))]
    pub objective_ms: f64,
    /// How long a client waits in all.
    #[cfg_attr(feature = "snapshot", serde(rename = "limit_ms"))]
    pub deadline_ms: f64,
    /// What one task is worth.
    #[cfg_attr(feature = "snapshot", serde(rename = "utility"))]
    pub weight: f64,
    /// The part of the utility that a late answer earns.
    #[cfg_attr(feature = "snapshot", serde(rename = "late_share"))]
    pub late_weight_share: f64,
    /// The part of the utility that is earned when a call was left out.
    #[cfg_attr(feature = "snapshot", serde(rename = "without_call"))]
    pub degraded_weight_share: f64,
    /// Its tasks may call what lies below.
    #[cfg_attr(feature = "snapshot", serde(rename = "calls"))]
    pub makes_calls: bool,
    /// How often its tasks may run.
    #[cfg_attr(feature = "snapshot", serde(rename = "repeat"))]
    pub idempotency: Idempotency,
    /// How long after arriving a task can show up again.
    #[cfg_attr(feature = "snapshot", serde(rename = "memory_ms"))]
    pub retry_window_ms: f64,
}

/// One customer and its share.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct TenantParameters {
    /// Tasks a second, over the whole fleet, that count as within its share.
    #[cfg_attr(feature = "snapshot", serde(rename = "allowance_per_s"))]
    pub quota_per_s: f64,
}

/// What running work can be made to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub enum Preemption {
    /// Running work cannot be stopped.
    #[cfg_attr(feature = "snapshot", serde(rename = "Never"))]
    Unsupported,
    /// Running work can be stopped; what was done is lost.
    #[cfg_attr(feature = "snapshot", serde(rename = "Drop"))]
    Abort,
    /// Running work can be paused and keeps its progress.
    Pause,
}

/// What callers do with the free value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub enum CapacityHint {
    /// There is none.
    Unused,
    /// Tasks whose rank is below it stay away.
    Level,
    /// Each caller keeps at most that many tasks here.
    Credit,
    /// The odds that a caller doesn't pass over this server.
    Weight,
}

/// What lies below and takes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub enum Dependency {
    /// Nothing.
    #[cfg_attr(feature = "snapshot", serde(rename = "Nothing"))]
    Absent,
    /// One dependency that all servers share.
    Shared,
    /// Another tier of servers.
    Tier,
}

/// Everything that a server is told when it starts.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct Parameters {
    /// Seed for this server's random numbers.
    pub seed: u64,
    /// Its cores.
    pub cores: f64,
    /// Its memory.
    pub memory_kb: f64,
    /// Memory of a running task over that of a held one.
    #[cfg_attr(feature = "snapshot", serde(rename = "run_blowup"))]
    pub running_memory_factor: f64,
    /// Memory of one remembered fingerprint.
    #[cfg_attr(feature = "snapshot", serde(rename = "entry_kb"))]
    pub idempotency_entry_kb: f64,
    /// It started just now and is cold.
    #[cfg_attr(feature = "snapshot", serde(rename = "cold"))]
    pub slow_start: bool,
    /// A cold server has at least this share of its speed.
    #[cfg_attr(feature = "snapshot", serde(rename = "cold_share"))]
    pub slow_start_share: f64,
    /// And is warm within this time.
    #[cfg_attr(feature = "snapshot", serde(rename = "cold_ms"))]
    pub slow_start_ms: f64,
    /// Tasks on the cores, for each core, that a warm server survives.
    #[cfg_attr(feature = "snapshot", serde(rename = "crowd_factor"))]
    pub overload_factor: f64,
    /// The least time between two batches of events.
    pub tick_ms: f64,
    /// A task that arrives later than this after the notice to leave must not run.
    pub drain_grace_ms: f64,
    /// Servers of this tier at the start.
    pub servers: f64,
    /// Callers of this tier at the start.
    pub callers: f64,
    /// What lies below.
    #[cfg_attr(feature = "snapshot", serde(rename = "below"))]
    pub dependency: Dependency,
    /// This server's slice of the calls that the shared dependency survives.
    #[cfg_attr(feature = "snapshot", serde(rename = "calls_share"))]
    pub dependency_quota: f64,
    /// The time over which those calls are averaged.
    #[cfg_attr(feature = "snapshot", serde(rename = "calls_window_ms"))]
    pub dependency_window_ms: f64,
    /// How long a call that was given up can stay below.
    #[cfg_attr(feature = "snapshot", serde(rename = "linger_ms"))]
    pub call_linger_ms: f64,
    /// How long callers keep a connection that carries nothing; 0 if that is not told.
    #[cfg_attr(feature = "snapshot", serde(rename = "idle_ms"))]
    pub idle_timeout_ms: f64,
    /// How long a read's answer may serve other tasks; 0 for never.
    #[cfg_attr(feature = "snapshot", serde(rename = "fresh_ms"))]
    pub response_reuse_ms: f64,
    /// What running work can be made to do.
    #[cfg_attr(feature = "snapshot", serde(rename = "halt"))]
    pub preemption: Preemption,
    /// What callers do with the free value.
    #[cfg_attr(feature = "snapshot", serde(rename = "free_value"))]
    pub capacity_hint: CapacityHint,
    /// The longest advice to stay away that is heeded; 0 where none is.
    #[cfg_attr(feature = "snapshot", serde(rename = "advice_ms"))]
    pub max_retry_after_ms: f64,
    /// What a task beyond its customer's share is worth, as a part of the usual.
    #[cfg_attr(feature = "snapshot", serde(rename = "over_share_worth"))]
    pub over_quota_weight_share: f64,
    /// Utility counts for each unit of work rather than for each task.
    #[cfg_attr(feature = "snapshot", serde(rename = "by_work"))]
    pub weight_per_work: bool,
    /// The kinds of tasks.
    #[cfg_attr(feature = "snapshot", serde(rename = "stages"))]
    pub classes: Vec<ClassParameters>,
    /// The customers; may be empty.
    #[cfg_attr(feature = "snapshot", serde(rename = "customers"))]
    pub tenants: Vec<TenantParameters>,
}
