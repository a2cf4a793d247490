//! One task, which is a request from its arrival until its release, and the handle that identifies it.

use crate::events::Arrival;

/// Identifies a task, from `Server::receive` until `Actions::release`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub struct Handle(pub(crate) u32);

impl Handle {
    /// A small number, unique among the tasks that have not been released.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Where a task is between its arrival and its release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) enum TaskState {
    /// The slot is not in use.
    Free,
    /// Read, not started.
    #[cfg_attr(feature = "snapshot", serde(rename = "Held"))]
    Queued,
    /// Waits for the result of the earlier attempt that it repeats.
    Joined,
    /// Started; on a core or ready for one.
    Running,
    /// Started; its call to the dependency is queued.
    #[cfg_attr(feature = "snapshot", serde(rename = "Parked"))]
    CallQueued,
    /// Started; its call to the dependency is in flight.
    Calling,
}

/// The number of variants of [`TaskState`].
pub(crate) const TASK_STATES: usize = 6;

/// The state of one task. Times are in milliseconds on the server's clock.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct Task {
    pub state: TaskState,
    #[cfg_attr(feature = "snapshot", serde(rename = "asked"))]
    pub arrival: Arrival,
    /// When its first byte could have been read.
    #[cfg_attr(feature = "snapshot", serde(rename = "arrived"))]
    pub arrived_ms: f64,
    /// The time by which it must have its final answer.
    #[cfg_attr(feature = "snapshot", serde(rename = "due"))]
    pub deadline_ms: f64,
    /// The latency objective as a time: an answer after it counts with less than the full weight.
    #[cfg_attr(feature = "snapshot", serde(rename = "aim"))]
    pub objective_ms: f64,
    /// The final answer has been sent, or its caller no longer waits for one.
    pub answered: bool,
    /// It or an earlier attempt may have been started, so it can't be answered as "never ran".
    #[cfg_attr(feature = "snapshot", serde(rename = "ran"))]
    pub may_have_run: bool,
    /// There were never more runs than cores while it ran.
    #[cfg_attr(feature = "snapshot", serde(rename = "calm"))]
    pub uncontended: bool,
    #[cfg_attr(feature = "snapshot", serde(rename = "started"))]
    pub started_ms: f64,
    /// Total time spent in calls so far, which doesn't count as run time.
    #[cfg_attr(feature = "snapshot", serde(rename = "waited"))]
    pub call_wait_ms: f64,
    /// Core time that it had received up to its last call, by [`CoreClock::core_time_ms`](crate::state::CoreClock).
    #[cfg_attr(feature = "snapshot", serde(rename = "had"))]
    pub used_core_ms: f64,
    /// The core clock at the start of the run, or at its continuation after the last call.
    #[cfg_attr(feature = "snapshot", serde(rename = "mark"))]
    pub resumed_at_core_ms: f64,
    /// When the run last needed a call.
    #[cfg_attr(feature = "snapshot", serde(rename = "since"))]
    pub call_needed_ms: f64,
    /// The latest time at which its call can still be in progress at the dependency.
    #[cfg_attr(feature = "snapshot", serde(rename = "until"))]
    pub call_ends_ms: f64,
    /// A failed call is not retried before this.
    #[cfg_attr(feature = "snapshot", serde(rename = "not_before"))]
    pub retry_not_before_ms: f64,
    /// Failed attempts of its current call.
    #[cfg_attr(feature = "snapshot", serde(rename = "tries"))]
    pub failed_calls: u32,
    /// The time bucket in which its idempotency entry expires.
    #[cfg_attr(feature = "snapshot", serde(rename = "entry"))]
    pub entry_bucket: Option<u64>,
}

impl Task {
    /// A task that has just been read and is not counted anywhere yet.
    pub fn new(arrival: Arrival, now_ms: f64) -> Self {
        Task {
            state: TaskState::Free,
            arrival,
            arrived_ms: now_ms - arrival.unread_ms,
            deadline_ms: now_ms,
            objective_ms: now_ms,
            answered: false,
            may_have_run: false,
            uncontended: false,
            started_ms: now_ms,
            call_wait_ms: 0.0,
            used_core_ms: 0.0,
            resumed_at_core_ms: 0.0,
            call_needed_ms: now_ms,
            call_ends_ms: now_ms,
            retry_not_before_ms: now_ms,
            failed_calls: 0,
            entry_bucket: None,
        }
    }

    /// Run time so far without the time in calls, in milliseconds.
    pub fn run_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.started_ms - self.call_wait_ms
    }

    /// The time after which its answer has no value: the deadline if a late answer has one, else the objective.
    pub fn useful_until_ms(&self, late_has_value: bool) -> f64 {
        if late_has_value {
            self.deadline_ms
        } else {
            self.objective_ms
        }
    }
}
