//! Input events of the decisions: arriving requests, outcomes of runs and calls, and gauges.

/// A task that has just been read.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct Arrival {
    /// Its stage, a position in [`Parameters::classes`](crate::parameters::Parameters::classes).
    #[cfg_attr(feature = "snapshot", serde(rename = "stage"))]
    pub class: usize,
    /// Its customer, a position in [`Parameters::tenants`](crate::parameters::Parameters::tenants).
    #[cfg_attr(feature = "snapshot", serde(rename = "customer"))]
    pub tenant: usize,
    /// The caller that sent it, as a small index.
    pub caller: usize,
    /// How long it lay unread.
    pub unread_ms: f64,
    /// How long its caller still waits, if that is told.
    #[cfg_attr(feature = "snapshot", serde(rename = "left_ms"))]
    pub remaining_ms: Option<f64>,
    /// What it will cost, if that is told.
    #[cfg_attr(feature = "snapshot", serde(rename = "hint_ms"))]
    pub cost_hint_ms: Option<f64>,
    /// Memory it takes while held.
    #[cfg_attr(feature = "snapshot", serde(rename = "kb"))]
    pub memory_kb: f64,
    /// It repeats a task whose fingerprint is known here.
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
    /// It was turned away and never ran.
    Rejected,
    /// It was given up and may have had its effect.
    TimedOut,
    /// What should have done it could not be reached.
    Unreachable,
    /// It broke off and may have had its effect.
    Reset,
    /// It was stopped, or ended because nobody waits.
    Cancelled,
    /// Nothing was started: the task was over.
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

/// How many other servers of this tier a view of the fleet shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerCounts {
    /// Servers that are there.
    pub present: f64,
    /// Those of them that accept work and have warmed up.
    pub ready: f64,
}
