//! Input events of the decisions: arriving requests, outcomes of runs and calls, gauges, and views of the fleet.

/// A request that has just been read.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct Arrival {
    /// Its request class, a position in [`Parameters::classes`](crate::parameters::Parameters::classes).
    #[cfg_attr(feature = "snapshot", serde(rename = "stage"))]
    pub class: usize,
    /// Its tenant, a position in [`Parameters::tenants`](crate::parameters::Parameters::tenants). One out of range
    /// counts for the last tenant.
    #[cfg_attr(feature = "snapshot", serde(rename = "customer"))]
    pub tenant: usize,
    /// The caller that sent it, as a small index.
    pub caller: usize,
    /// How long it lay unread, in milliseconds.
    pub unread_ms: f64,
    /// How long its caller still waits, in milliseconds, if that is known.
    #[cfg_attr(feature = "snapshot", serde(rename = "left_ms"))]
    pub remaining_ms: Option<f64>,
    /// The core time that it will cost, in milliseconds, if there is a hint.
    #[cfg_attr(feature = "snapshot", serde(rename = "hint_ms"))]
    pub cost_hint_ms: Option<f64>,
    /// The memory that it takes while queued, in kilobytes.
    #[cfg_attr(feature = "snapshot", serde(rename = "kb"))]
    pub memory_kb: f64,
    /// It repeats a request whose idempotency key is retained here.
    #[cfg_attr(feature = "snapshot", serde(rename = "repeat"))]
    pub is_repeat: bool,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed and may have had its effect.
    Failed,
    /// It was rejected and never ran.
    Rejected,
    /// It took too long, was given up, and may have had its effect.
    TimedOut,
    /// What should have run it could not be reached: it never ran.
    Unreachable,
    /// The connection broke; it may have had its effect.
    Reset,
    /// It was aborted, or ended because nobody waits for it.
    Cancelled,
    /// Nothing was started, as the task had already ended.
    Stale,
}

impl Outcome {
    /// Whether this outcome proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::Unreachable | Outcome::Stale
        )
    }
}

/// The server's own gauges; `None` where there is no such gauge.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// The busy part of the cores over the last half second, 0 to 1.
    pub cpu: Option<f64>,
    /// How much wants a core now: runs, reading, health checks and everything else.
    pub on_cores: Option<f64>,
    /// The part of the memory in use, 0 to 1.
    pub memory: Option<f64>,
    /// How many connections are open.
    pub connections: Option<f64>,
}

/// How many other servers of this tier a view of the fleet shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerCounts {
    /// Servers that are there.
    pub present: f64,
    /// Those of them that accept work and have warmed up.
    pub ready: f64,
}
