//! Calls that tasks make to the dependency: their queue, their time limits, and their retries with backoff.

use std::cmp::Ordering;

use super::TICK_MS;
use crate::actions::Actions;
use crate::events::Outcome;
use crate::state::Server;
use crate::task::{Handle, Task, TaskState};

/// The backoff after the first failure of a call. It doubles with each further failure and has a jitter of plus or
/// minus half.
const FIRST_BACKOFF_MS: f64 = 20.0;
/// The number of doublings after which the backoff stays the same: 32 times the first one.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// The time limit of a call, in multiples of the mean duration: a reply that takes longer is unlikely to come at all,
/// and the call occupies a place in the window that others need.
const CALL_LIMIT_FACTOR: f64 = 16.0;
/// The minimum of that limit, for calls whose mean duration is a few milliseconds.
const MIN_CALL_LIMIT_MS: f64 = 4.0 * TICK_MS;
/// A call starts only if its timeout is at least this many times the mean duration, or all the time that its task has
/// left.
const MIN_CALL_FACTOR: f64 = 4.0;

impl Server {
    /// Starts queued calls while the limits allow it, beginning with those that can't be skipped, and skips those that
    /// would end too late.
    pub(super) fn start_queued_calls(&mut self, now_ms: f64, actions: &mut dyn Actions) {
        if self.count(TaskState::CallQueued) == 0 {
            return;
        }
        let mut calls_ahead = 0.0;
        for handle in self.queued_calls(now_ms) {
            let task = self.tasks[handle.index()];
            if task.answered {
                continue;
            }
            let can_skip = self.can_skip_call(&task);
            let budget_ms = self.call_budget_ms(&task, now_ms);
            let wait_ms = calls_ahead * self.call_start_interval_ms()
                + (-self.dependency.credit_ms).max(0.0) / self.paced_calls();
            calls_ahead += 1.0;
            let too_late = budget_ms < wait_ms + self.dependency.mean_call_ms;
            if can_skip && (too_late || task.failed_calls > 1) {
                self.resume_run(handle, now_ms);
                actions.skip_call(handle);
            } else if budget_ms <= 0.0 {
                // Its answer would have no value, and it would take memory, a place and a call from other tasks.
                self.give_up(handle, actions);
            } else if now_ms >= task.retry_not_before_ms
                && self.dependency.credit_ms >= 0.0
                && self.start_call(handle, budget_ms, now_ms, actions)
            {
                calls_ahead -= 1.0;
            }
        }
    }

    /// The queued calls in the order in which they start: those that can't be skipped first, then by weight per unit of
    /// core work.
    fn queued_calls(&self, now_ms: f64) -> Vec<Handle> {
        let queued = |handle: &Handle| self.tasks[handle.index()].state == TaskState::CallQueued;
        let mut calls: Vec<Handle> = self.active.iter().copied().filter(queued).collect();
        let rank = |handle: Handle| {
            let task = &self.tasks[handle.index()];
            (self.can_skip_call(task), -self.weight_density(task, now_ms))
        };
        calls.sort_by(|&left, &right| {
            rank(left)
                .partial_cmp(&rank(right))
                .unwrap_or(Ordering::Equal)
        });
        calls
    }

    /// Whether an answer without the call has a value.
    fn can_skip_call(&self, task: &Task) -> bool {
        self.class(task).parameters.degraded_weight_share > 0.0
    }

    /// The time left for the call if the rest of the task, about half a run, is to end in time.
    fn call_budget_ms(&self, task: &Task, now_ms: f64) -> f64 {
        let late_share = self.class(task).parameters.late_weight_share;
        let late_has_value = late_share > 0.0 && !self.can_skip_call(task);
        let latest_end_ms = task.useful_until_ms(late_has_value);
        latest_end_ms - (0.5 * self.expected_run_ms(task)).max(2.0 * TICK_MS) - now_ms
    }

    /// Starts a call if there is enough time for it, and returns whether it did.
    fn start_call(
        &mut self,
        handle: Handle,
        budget_ms: f64,
        now_ms: f64,
        actions: &mut dyn Actions,
    ) -> bool {
        let mean_ms = self.dependency.mean_call_ms;
        let budget_ms = budget_ms.min((CALL_LIMIT_FACTOR * mean_ms).max(MIN_CALL_LIMIT_MS));
        let linger_ms = self.parameters.call_linger_ms;
        let timeout_ms = budget_ms.min(self.available_call_ms(now_ms) - linger_ms);
        let fits = timeout_ms >= budget_ms.min(MIN_CALL_FACTOR * mean_ms).max(TICK_MS);
        if fits {
            self.set_state(handle, TaskState::Calling);
            self.tasks[handle.index()].call_ends_ms = now_ms + timeout_ms + linger_ms;
            actions.start_call(handle, timeout_ms);
        }
        fits
    }

    /// Continues the run of a task whose call has succeeded or is skipped.
    fn resume_run(&mut self, handle: Handle, now_ms: f64) {
        self.set_state(handle, TaskState::Running);
        let task = &mut self.tasks[handle.index()];
        task.call_wait_ms += now_ms - task.call_needed_ms;
        task.resumed_at_core_ms = self.core_clock.core_time_ms;
        task.failed_calls = 0;
        self.clear_uncontended();
    }

    /// Queues the call that a run needs.
    fn queue_call(&mut self, handle: Handle, now_ms: f64) {
        self.set_state(handle, TaskState::CallQueued);
        let core_time_ms = self.core_clock.core_time_ms;
        let task = &mut self.tasks[handle.index()];
        task.call_needed_ms = now_ms;
        task.used_core_ms += core_time_ms - task.resumed_at_core_ms;
    }

    /// Schedules the retry of a failed call, unless the call may have run and must not run twice.
    fn queue_retry(
        &mut self,
        handle: Handle,
        now_ms: f64,
        outcome: Outcome,
        actions: &mut dyn Actions,
    ) {
        let task = self.tasks[handle.index()];
        // With jitter, so that a dependency that recovers doesn't receive all retries at once.
        let doublings = task.failed_calls.min(MAX_BACKOFF_DOUBLINGS);
        let backoff_ms = FIRST_BACKOFF_MS * f64::from(1 << doublings) * (0.5 + self.rng.next());
        let failed = &mut self.tasks[handle.index()];
        failed.failed_calls += 1;
        failed.retry_not_before_ms = now_ms + backoff_ms;
        if !self.is_idempotent(&task) && !outcome.never_ran() {
            if self.can_skip_call(&task) {
                self.tasks[handle.index()].failed_calls = u32::MAX; // so that the call is skipped
            } else {
                self.give_up(handle, actions);
            }
        }
    }
}

impl Handle {
    /// The run needs a call to the dependency before it can continue.
    pub fn call_needed(self, server: &mut Server, now_ms: f64, actions: &mut dyn Actions) {
        server.advance_time(now_ms);
        if server.tasks[self.index()].state == TaskState::Running {
            server.queue_call(self, now_ms);
        }
        server.start_queued_calls(now_ms, actions);
        server.start_queued(now_ms, actions);
    }

    /// The call ended after `took_ms`. After a success the run continues without a further action.
    pub fn call_ended(
        self,
        server: &mut Server,
        now_ms: f64,
        outcome: Outcome,
        took_ms: f64,
        actions: &mut dyn Actions,
    ) {
        server.advance_time(now_ms);
        if server.tasks[self.index()].state != TaskState::Calling {
            return;
        }
        if outcome == Outcome::Ok {
            server.record_call_success(now_ms, took_ms);
            server.resume_run(self, now_ms);
        } else {
            server.set_state(self, TaskState::CallQueued);
            server.record_call_failure(now_ms, outcome, took_ms);
            server.queue_retry(self, now_ms, outcome, actions);
        }
        server.start_queued_calls(now_ms, actions);
    }

    /// The run has ended, or the wait for the earlier attempt has.
    pub fn run_ended(
        self,
        server: &mut Server,
        now_ms: f64,
        outcome: Outcome,
        actions: &mut dyn Actions,
    ) {
        server.advance_time(now_ms);
        let task = server.tasks[self.index()];
        if task.state == TaskState::Running && outcome == Outcome::Ok {
            server.record_run(&task, now_ms);
        }
        if task.state == TaskState::Calling {
            // The task was given up with its call in flight; the call may still go on at the dependency.
            let until_ms = now_ms + server.parameters.call_linger_ms;
            server.dependency.lingering_until_ms.push(until_ms);
        }
        if !task.answered && matches!(outcome, Outcome::Cancelled | Outcome::Stale) {
            // Tasks that are aborted by a decision are answered before the abort; this one was aborted by the runtime.
            actions.fail(self);
        }
        server.release(self, actions);
        server.start_queued_calls(now_ms, actions);
        server.start_queued(now_ms, actions);
    }

    /// The caller no longer waits for this task.
    pub fn caller_gone(self, server: &mut Server, now_ms: f64, actions: &mut dyn Actions) {
        server.advance_time(now_ms);
        server.tasks[self.index()].answered = true;
        server.give_up(self, actions);
        server.start_queued(now_ms, actions);
    }
}
