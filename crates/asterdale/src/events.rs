//! Input events of the decisions: arriving requests, outcomes of runs and calls, gauges, and views of the fleet.

/// A request that has just been read.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct Arrival {
    /// Its request class, an index into [`Parameters::classes`](crate::parameters::Parameters::classes).
    #[cfg_attr(feature = "snapshot", serde(rename = "stage"))]
    pub class: usize,
    /// Its tenant, an index into [`Parameters::tenants`](crate::parameters::Parameters::tenants). An index out of range
    /// counts as the last tenant.
    #[cfg_attr(feature = "snapshot", serde(rename = "customer"))]
    pub tenant: usize,
    /// The caller that sent it, as a small number, since counts are kept in a list by this index.
    pub caller: usize,
    /// Time from when its first byte could have been read until it was read, in milliseconds.
    pub unread_ms: f64,
    /// How much longer its caller waits for the answer, in milliseconds, if that is known.
    #[cfg_attr(feature = "snapshot", serde(rename = "left_ms"))]
    pub remaining_ms: Option<f64>,
    /// The core time that it is expected to use, in milliseconds, if there is a hint.
    #[cfg_attr(feature = "snapshot", serde(rename = "hint_ms"))]
    pub cost_hint_ms: Option<f64>,
    /// The memory that it uses while queued, in kilobytes.
    #[cfg_attr(feature = "snapshot", serde(rename = "kb"))]
    pub memory_kb: f64,
    /// Whether it repeats a request whose idempotency key is retained on this server.
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
    /// It was given up after its time limit and may have had its effect.
    TimedOut,
    /// The process that should have run it could not be reached, so it never ran.
    Unreachable,
    /// The connection broke; it may have had its effect.
    Reset,
    /// It was aborted, or ended because no caller waits for its answer.
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

/// The server's own gauges; `None` for a gauge that is not available.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// The fraction of the cores that was busy over the last half second, 0 to 1.
    pub cpu: Option<f64>,
    /// The demand for cores: how many runs, reads, health checks and other pieces of work are on a core or ready for
    /// one now.
    pub on_cores: Option<f64>,
    /// The fraction of the memory that is in use, 0 to 1.
    pub memory: Option<f64>,
    /// How many connections are open.
    pub connections: Option<f64>,
}

/// Counts of the other servers of this tier in a view of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerCounts {
    /// Servers in the view.
    pub present: f64,
    /// Servers in the view that accept work and have completed their slow start.
    pub ready: f64,
}
