//! Checks each attempt against the guarantees that a server gives to its callers.
//!
//! The checker sees only what can be observed from outside: the attempts that edge nodes sent, the answers that they
//! got, and the executions. It shares no code with the decisions that it checks.

use std::collections::BTreeMap;

use crate::Nanos;

#[cfg(test)]
mod tests;

/// How long after its deadline an answer may still arrive, in nanoseconds: covers rounding and the network delay.
const DEADLINE_TOLERANCE: Nanos = 5_000_000;

/// Outcome of an attempt, as the edge node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// The server returned a result.
    Served,
    /// The server rejected the request before it ran.
    Rejected,
    /// The server failed the request; it may have run.
    Failed,
    /// The server was down when the request arrived.
    ConnectionRefused,
    /// The server crashed before it answered.
    ConnectionLost,
}

/// One execution scope of an idempotency key: the request may run only once within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExecutionScope {
    /// The idempotency key.
    pub key: u64,
    /// Index of the server.
    pub server: usize,
    /// Incarnation of the server: a crash loses its idempotency entries.
    pub incarnation: u32,
}

struct Attempt {
    deadline: Nanos,
    has_run: bool,
    outcome: Option<AttemptOutcome>,
    /// The server crashed or the caller left, so no answer is required.
    is_excused: bool,
}

impl Attempt {
    fn is_overdue(&self, now: Nanos) -> bool {
        now > self.deadline + DEADLINE_TOLERANCE && !self.is_excused
    }
}

/// Checker of all attempts of one run.
#[derive(Default)]
pub struct AttemptChecker {
    attempts: BTreeMap<u64, Attempt>,
    executions: BTreeMap<ExecutionScope, u32>,
    /// Number of violations by guarantee. The names are part of the simulator's output.
    pub violations: BTreeMap<&'static str, u64>,
}

impl AttemptChecker {
    fn record_violation(&mut self, guarantee: &'static str) {
        *self.violations.entry(guarantee).or_default() += 1;
    }

    /// Records that an attempt arrived at a running server and needs an answer by this deadline.
    pub fn record_arrival(&mut self, attempt: u64, deadline: Nanos) {
        self.attempts.insert(
            attempt,
            Attempt {
                deadline,
                has_run: false,
                outcome: None,
                is_excused: false,
            },
        );
    }

    /// Records that the server started to run the attempt. `scope` is given if the request may run only once in it.
    pub fn record_start(&mut self, attempt: u64, scope: Option<ExecutionScope>) {
        let mut was_rejected = false;
        if let Some(attempt) = self.attempts.get_mut(&attempt) {
            attempt.has_run = true;
            was_rejected = attempt.outcome == Some(AttemptOutcome::Rejected);
        }
        if was_rejected {
            self.record_violation("ran after it was told that it never did");
        }
        if let Some(scope) = scope {
            let executions = self.executions.entry(scope).or_default();
            *executions += 1;
            if *executions > 1 {
                self.record_violation("an effect twice");
            }
        }
    }

    /// Records that the server answered the attempt.
    pub fn record_answer(&mut self, now: Nanos, attempt: u64, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let is_duplicate = attempt.outcome.is_some();
        let is_late = attempt.is_overdue(now);
        let is_false_rejection = outcome == AttemptOutcome::Rejected && attempt.has_run;
        attempt.outcome = Some(outcome);
        for (is_violated, guarantee) in [
            (is_duplicate, "two answers"),
            (is_late, "an answer after its time"),
            (is_false_rejection, "told that it never ran, and it had"),
        ] {
            if is_violated {
                self.record_violation(guarantee);
            }
        }
    }

    /// Records that no answer is required any more: the server crashed or the caller left.
    pub fn excuse(&mut self, attempt: u64) {
        if let Some(attempt) = self.attempts.get_mut(&attempt) {
            attempt.is_excused = true;
        }
    }

    /// Ends the run at this time: every attempt that should have an answer by now and has none is a violation.
    pub fn finish(&mut self, now: Nanos) {
        let is_unanswered =
            |attempt: &&Attempt| attempt.outcome.is_none() && attempt.is_overdue(now);
        let unanswered = self.attempts.values().filter(is_unanswered).count() as u64;
        if unanswered > 0 {
            *self.violations.entry("no answer").or_default() += unanswered;
        }
    }
}
