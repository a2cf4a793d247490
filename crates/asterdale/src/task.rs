//! What is kept of a task, and the states it goes through.

use crate::told::Arrival;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Free,
    /// Read, not started.
    Held,
    /// Waits for the earlier try that it repeats.
    Joined,
    /// Wants a core.
    Running,
    /// Waits for its call to be placed.
    Parked,
    /// Its call is out.
    Calling,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Task {
    pub state: State,
    pub asked: Arrival,
    pub arrived: f64,
    /// By then it must have its final answer.
    pub due: f64,
    /// By then its answer earns full utility.
    pub aim: f64,
    /// The final answer is out, or nobody waits for one.
    pub answered: bool,
    /// It was started, or an earlier try of it may have been: it can't be said that it never ran.
    pub ran: bool,
    /// Never more than the floor ran beside it.
    pub calm: bool,
    pub started: f64,
    /// Call waits so far, which are not run time.
    pub waited: f64,
    /// When it was parked for its present call.
    pub since: f64,
    /// When its call will surely be gone from below.
    pub until: f64,
    /// A call that failed is not tried again before this.
    pub not_before: f64,
    /// Calls that failed for the present need.
    pub tries: u32,
    /// Ring bucket in which its fingerprint lapses.
    pub entry: Option<u64>,
}

impl Task {
    /// A task just read, not yet counted anywhere.
    pub fn read(asked: Arrival, now: f64) -> Self {
        Task {
            state: State::Free,
            asked,
            arrived: now - asked.unread_ms,
            due: now,
            aim: now,
            answered: false,
            ran: false,
            calm: false,
            started: now,
            waited: 0.0,
            since: now,
            until: now,
            not_before: now,
            tries: 0,
            entry: None,
        }
    }

    /// Run time so far, less call waits.
    pub fn net(&self, now: f64) -> f64 {
        now - self.started - self.waited
    }
}
