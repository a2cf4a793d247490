//! What callers get at each update: the capacity hint, and the idle timeout of their connections.

use crate::actions::Actions;
use crate::parameters::CapacityHint;
use crate::state::{CapacityReport, Server};
use crate::task::TaskState;

/// Credit of all callers together, in multiples of the limit. With 1.5, callers with uneven traffic get too little;
/// with 3, slow servers fill up.
const CREDIT_FACTOR: f64 = 2.0;
/// A caller whose count of recent tasks has decayed below this counts as new. One task decays to a hundredth in some
/// 20 s, which is about as long as callers keep connections.
const RETURNING_THRESHOLD: f64 = 0.01;
/// The factor by which the count of recent tasks of a caller decays at each update.
const CALLER_DECAY: f64 = 0.9;
/// The shortest idle timeout, unless that of the callers is shorter still.
const MIN_IDLE_TIMEOUT_MS: f64 = 500.0;

impl CapacityReport {
    /// Counts a task of this caller that has arrived.
    pub(super) fn record_caller(&mut self, caller: usize) {
        if self.tasks_by_caller.len() <= caller {
            self.tasks_by_caller.resize(caller + 1, 0.0);
        }
        let tasks = &mut self.tasks_by_caller[caller];
        self.returning_share +=
            0.05 * (f64::from(*tasks > RETURNING_THRESHOLD) - self.returning_share);
        *tasks += 1.0;
    }
}

impl Server {
    /// Updates the capacity hint and the idle timeout, once at each update of the limit.
    pub(super) fn report_capacity(&mut self, actions: &mut dyn Actions) {
        if self.parameters.capacity_hint == CapacityHint::Credit {
            self.update_credit();
            // A slow server reduces its hint in proportion to its slowness, but never to zero: without tasks it could
            // not detect that it has recovered.
            actions.publish_capacity_hint(self.report.credit / self.limiter.median_ratio.max(1.0));
        }
        self.rejections.since_update = 0;
        for tasks in &mut self.report.tasks_by_caller {
            *tasks *= CALLER_DECAY;
        }
        self.update_idle_timeout(actions);
    }

    /// Sets the credit, which is the number of tasks that each caller should have in flight here. It is cut by a fifth
    /// if tasks were rejected since the last update, and else raised by one. For all callers together it stays between
    /// one task per core and twice the sum of the limit and the tasks that are at a call.
    fn update_credit(&mut self) {
        // The effective number of callers, since their traffic is seldom even: how many would send all tasks if each
        // sent as many as the busiest one.
        let (sent, busiest) = self
            .report
            .tasks_by_caller
            .iter()
            .fold((0.0, 0.0), |(sum, max): (f64, f64), &tasks| {
                (sum + tasks, max.max(tasks))
            });
        let callers = if busiest > 0.0 {
            sent / busiest
        } else {
            self.parameters.callers.max(1.0)
        };
        let at_call = (self.count(TaskState::CallQueued) + self.count(TaskState::Calling)) as f64;
        let next = if self.rejections.since_update > 0 {
            self.report.credit * 0.8
        } else {
            self.report.credit + 1.0
        };
        let max = CREDIT_FACTOR * (self.limiter.limit + at_call) / callers;
        self.report.credit = next.clamp((self.parameters.cores / callers).min(max), max);
    }

    /// Sets the idle timeout. Where few callers return, idle connections fill the connection table and shut other
    /// callers out, so the timeout falls: faster the more the cores are idle. With cores over three quarters busy it
    /// grows again: a new connection costs work, and a full table is the cheapest rejection.
    fn update_idle_timeout(&mut self, actions: &mut dyn Actions) {
        let report = &mut self.report;
        let factor = if report.returning_share > 0.5 {
            2.0
        } else {
            (report.cpu / 0.75).powi(2).clamp(0.5, 2.0)
        };
        // Where few callers return, at most half of the callers' own timeout: a shorter timeout takes effect only from
        // the next use of a connection on.
        let max_fraction = if report.returning_share > 0.5 {
            1.0
        } else {
            0.5
        };
        let max_ms = max_fraction * self.parameters.idle_timeout_ms;
        let timeout_ms =
            (factor * report.idle_timeout_ms).clamp(max_ms.min(MIN_IDLE_TIMEOUT_MS), max_ms);
        if timeout_ms != report.idle_timeout_ms {
            report.idle_timeout_ms = timeout_ms;
            actions.set_idle_timeout(timeout_ms);
        }
    }
}
