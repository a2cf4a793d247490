//! Limits on calls to the dependency: the window of calls in flight, and the quota and the pacing of calls to a shared
//! dependency.

use crate::events::Outcome;
use crate::parameters::Dependency;
use crate::state::{DependencyState, Server};
use crate::task::{Handle, TaskState};

use super::TICK_MS;

/// Fraction of this server's quota of a shared dependency that calls use on average. 0.3 starves servers in their slow
/// start, 0.9 overloads the dependency.
const PACED_QUOTA_FRACTION: f64 = 0.45;
/// Fraction of the quota that calls may use at most.
const MAX_QUOTA_FRACTION: f64 = 0.9;
/// Fraction of the quota below which the window is never cut: a dependency becomes slow long before it fails.
const MIN_QUOTA_FRACTION: f64 = 0.2;
/// The factor by which the window is multiplied at a cut.
const WINDOW_CUT_FACTOR: f64 = 0.7;
/// The time over which unused credit for calls accumulates: a tenth of a second.
const CREDIT_SPAN_MS: f64 = 10.0 * TICK_MS;
/// Calls that take this many times the usual duration are slow. The limiter allows the same doubling for runs.
const SLOW_CALL_FACTOR: f64 = 2.0;
/// The minimum number of calls for a median.
const MIN_SAMPLES: u32 = 20;
/// The number of calls after which the counts of older ones are halved.
const MAX_SAMPLES: u32 = 400;
/// Weight of a new call in the mean duration.
const MEAN_WEIGHT: f64 = 0.2;
/// Weight of a new call in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;

impl DependencyState {
    /// The duration of a call for the mean. A reply that comes late or never counts with at most twice the mean, so
    /// that a single call can't dominate it.
    fn bounded_ms(&self, took_ms: f64) -> f64 {
        if self.mean_call_ms > 0.0 {
            took_ms.min(SLOW_CALL_FACTOR * self.mean_call_ms)
        } else {
            took_ms
        }
    }

    fn record_success(&mut self, took_ms: f64) {
        let bounded_ms = self.bounded_ms(took_ms);
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        self.mean_call_ms += MEAN_WEIGHT * (bounded_ms - self.mean_call_ms);
        self.call_durations.add(took_ms);
        if self.call_durations.total >= MAX_SAMPLES {
            self.call_durations.halve();
        }
    }
}

impl Server {
    /// Calls that are in flight, and those that were given up and may still linger.
    pub(super) fn calls_in_flight(&self) -> f64 {
        (self.count(TaskState::Calling) + self.dependency.lingering_until_ms.len()) as f64
    }

    /// Advances to now the time that calls have spent, and the credit for calls to a shared dependency.
    pub(super) fn advance_calls(&mut self, now_ms: f64) {
        self.dependency
            .lingering_until_ms
            .retain(|&until_ms| until_ms > now_ms);
        self.dependency.spent_ms.advance(now_ms);
        let elapsed_ms = now_ms - self.last_event_ms;
        let spent_ms = self.calls_in_flight() * elapsed_ms;
        self.dependency.spent_ms.add(spent_ms);
        // Calls to a shared dependency are paced. All servers see it slow down and recover at the same moment: if each
        // then made its queued calls at once, their sum would overload it again, although each server stays within its
        // quota over time. So a call that took longer is followed by a longer pause.
        if self.parameters.dependency == Dependency::Shared {
            let earned_ms =
                (self.paced_calls() - self.count(TaskState::Calling) as f64) * elapsed_ms;
            let max_ms = CREDIT_SPAN_MS * self.paced_calls();
            self.dependency.credit_ms = (self.dependency.credit_ms + earned_ms).min(max_ms);
        }
    }

    /// Records a successful call. The window grows if all of it is in use, and is cut if calls have become slow.
    pub(super) fn record_call_success(&mut self, now_ms: f64, took_ms: f64) {
        self.dependency.record_success(took_ms);
        if self.calls_are_slow() {
            self.cut_call_window(now_ms);
        } else if self.calls_in_flight() >= self.dependency.window.floor() {
            // The window grows only while it is completely in use, and so tested. One that grew unused would be filled
            // at once when calls slow down.
            let grown = self.dependency.window + 1.0 / self.dependency.window;
            self.dependency.window = grown.min(self.max_concurrency());
        }
    }

    /// Records a failed call. The window is cut if the dependency is overloaded.
    pub(super) fn record_call_failure(&mut self, now_ms: f64, outcome: Outcome, took_ms: f64) {
        let dependency = &mut self.dependency;
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset) {
            let bounded_ms = dependency.bounded_ms(took_ms);
            dependency.mean_call_ms +=
                MEAN_WEIGHT * (bounded_ms - dependency.mean_call_ms).max(0.0);
            let until_ms = now_ms + self.parameters.call_linger_ms;
            dependency.lingering_until_ms.push(until_ms);
        }
        dependency.failure_share += FAILURE_WEIGHT * (1.0 - dependency.failure_share);
        // One server of a tier may fail alone, and one bad reply is no sign of overload, but the failure of most calls
        // is.
        let shed = self.parameters.dependency == Dependency::Shared && outcome == Outcome::Rejected;
        if shed || self.dependency.failure_share > 0.5 {
            self.cut_call_window(now_ms);
        }
    }

    /// Whether calls to a shared dependency take over twice their usual time. A tier of servers is not checked, as it
    /// sheds its overload itself.
    fn calls_are_slow(&self) -> bool {
        let dependency = &self.dependency;
        self.parameters.dependency == Dependency::Shared
            && dependency.call_durations.total >= MIN_SAMPLES
            && dependency.mean_call_ms > SLOW_CALL_FACTOR * dependency.call_durations.quantile(0.5)
    }

    /// Cuts the window, at most once within the mean duration of a call, so that one fault causes one cut and not one
    /// for each failed call. The window never falls below the number of cores, or for a shared dependency below a fifth
    /// of the quota.
    pub(super) fn cut_call_window(&mut self, now_ms: f64) {
        let dependency = &mut self.dependency;
        if now_ms - dependency.last_cut_ms > dependency.mean_call_ms {
            dependency.last_cut_ms = now_ms;
            let min = if self.parameters.dependency == Dependency::Shared {
                (MIN_QUOTA_FRACTION * self.parameters.dependency_quota).max(1.0)
            } else {
                self.parameters.cores
            };
            dependency.window = (WINDOW_CUT_FACTOR * dependency.window).max(min);
        }
    }

    /// The number of calls in flight that pacing allows on average at a shared dependency, often less than one.
    pub(super) fn paced_calls(&self) -> f64 {
        (PACED_QUOTA_FRACTION * self.parameters.dependency_quota).max(1e-6)
    }

    /// The mean time between two starts of queued calls.
    pub(super) fn call_start_interval_ms(&self) -> f64 {
        let paced_calls = if self.parameters.dependency == Dependency::Shared {
            self.paced_calls()
        } else {
            f64::INFINITY
        };
        self.dependency.mean_call_ms / self.dependency.window.min(paced_calls)
    }

    /// How long one more call may take if it starts now; 0 or less if no call may start.
    pub(super) fn available_call_ms(&self, now_ms: f64) -> f64 {
        if self.calls_in_flight() >= self.dependency.window.floor().max(1.0) {
            return 0.0;
        }
        if self.parameters.dependency != Dependency::Shared {
            return f64::INFINITY;
        }
        // The quota is an average over the dependency's window. Every call in flight counts as if it took all of its
        // time, so that a dependency that slows down or stops replying never has more calls in flight than planned.
        let remaining_ms = |&handle: &Handle| {
            let task = &self.tasks[handle.index()];
            match task.state {
                TaskState::Calling => task.call_ends_ms - now_ms,
                _ => 0.0,
            }
        };
        let lingering = self.dependency.lingering_until_ms.iter();
        let reserved_ms: f64 = self
            .active
            .iter()
            .map(remaining_ms)
            .chain(lingering.map(|until_ms| until_ms - now_ms))
            .sum();
        MAX_QUOTA_FRACTION * self.parameters.dependency_quota * self.parameters.dependency_window_ms
            - self.dependency.spent_ms.total()
            - reserved_ms
    }
}
