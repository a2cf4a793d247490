//! Plain types: what a server is told at its start, and what arrives, ends and is measured later.

/// How often a task of a stage may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub enum Repeat {
    /// May run again at any time.
    Restartable,
    /// Carries a mark by which a repeat is known; runs once on a server.
    Fingerprinted,
    /// Must never run twice.
    SideEffecting,
}

/// One kind of task.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct StageFacts {
    /// Full utility is earned by an answer within this time of the first try.
    pub due_ms: f64,
    /// How long a client waits in all.
    pub limit_ms: f64,
    /// What one task is worth.
    pub utility: f64,
    /// The part of the utility that a late answer earns.
    pub late_share: f64,
    /// The part of the utility that is earned when a call was left out.
    pub without_call: f64,
    /// Its tasks may call what lies below.
    pub calls: bool,
    /// How often its tasks may run.
    pub repeat: Repeat,
    /// How long after arriving a task can show up again.
    pub memory_ms: f64,
}

/// One customer and its share.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct CustomerFacts {
    /// Tasks a second, over the whole fleet, that count as within its share.
    pub allowance_per_s: f64,
}

/// What running work can be made to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub enum Halt {
    /// Running work cannot be stopped.
    Never,
    /// Running work can be stopped; what was done is lost.
    Drop,
    /// Running work can be paused and keeps its progress.
    Pause,
}

/// What callers do with the free value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub enum FreeValue {
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
pub enum Below {
    /// Nothing.
    Nothing,
    /// One dependency that all servers share.
    Shared,
    /// Another tier of servers.
    Tier,
}

/// Everything that a server is told when it starts.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct Told {
    /// Seed for this server's random numbers.
    pub seed: u64,
    /// Its cores.
    pub cores: f64,
    /// Its memory.
    pub memory_kb: f64,
    /// Memory of a running task over that of a held one.
    pub run_blowup: f64,
    /// Memory of one remembered fingerprint.
    pub entry_kb: f64,
    /// It started just now and is cold.
    pub cold: bool,
    /// A cold server has at least this share of its speed.
    pub cold_share: f64,
    /// And is warm within this time.
    pub cold_ms: f64,
    /// Tasks on the cores, for each core, that a warm server survives.
    pub crowd_factor: f64,
    /// The least time between two batches of events.
    pub tick_ms: f64,
    /// A task that arrives later than this after the notice to leave must not run.
    pub drain_grace_ms: f64,
    /// Servers of this tier at the start.
    pub servers: f64,
    /// Callers of this tier at the start.
    pub callers: f64,
    /// What lies below.
    pub below: Below,
    /// This server's slice of the calls that the shared dependency survives.
    pub calls_share: f64,
    /// The time over which those calls are averaged.
    pub calls_window_ms: f64,
    /// How long a call that was given up can stay below.
    pub linger_ms: f64,
    /// How long callers keep a connection that carries nothing; 0 if that is not told.
    pub idle_ms: f64,
    /// How long a read's answer may serve other tasks; 0 for never.
    pub fresh_ms: f64,
    /// What running work can be made to do.
    pub halt: Halt,
    /// What callers do with the free value.
    pub free_value: FreeValue,
    /// The longest advice to stay away that is heeded; 0 where none is.
    pub advice_ms: f64,
    /// What a task beyond its customer's share is worth, as a part of the usual.
    pub over_share_worth: f64,
    /// Utility counts for each unit of work rather than for each task.
    pub by_work: bool,
    /// The kinds of tasks.
    pub stages: Vec<StageFacts>,
    /// The customers; may be empty.
    pub customers: Vec<CustomerFacts>,
}

/// A task that has just been read.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct Arrival {
    /// Its stage, a position in [`Told::stages`].
    pub stage: usize,
    /// Its customer, a position in [`Told::customers`].
    pub customer: usize,
    /// The caller that sent it, as a small index.
    pub caller: usize,
    /// How long it lay unread.
    pub unread_ms: f64,
    /// How long its caller still waits, if that is told.
    pub left_ms: Option<f64>,
    /// What it will cost, if that is told.
    pub hint_ms: Option<f64>,
    /// Memory it takes while held.
    pub kb: f64,
    /// It repeats a task whose fingerprint is known here.
    pub repeat: bool,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed and may have had its effect.
    Error,
    /// It was turned away and never ran.
    Full,
    /// It was given up and may have had its effect.
    Timeout,
    /// What should have done it could not be reached.
    Unreachable,
    /// It broke off and may have had its effect.
    Reset,
    /// It was stopped, or ended because nobody waits.
    Cancelled,
    /// Nothing was started: the task was over.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::Moot)
    }
}

/// The server's own gauges; absent ones are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Busy part of the cores over the last half second.
    pub cpu: Option<f64>,
    /// Everything that wants a core now.
    pub on_cores: Option<f64>,
    /// Part of the memory in use.
    pub memory: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}
