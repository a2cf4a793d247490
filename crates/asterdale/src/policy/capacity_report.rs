//! What callers learn at each update: the capacity hint, and the idle timeout of their connections.

use crate::actions::Actions;
use crate::parameters::CapacityHint;
use crate::state::{CapacityReport, Server};
use crate::task::TaskState;

/// Credit of all callers, in multiples of the limit. 1.5 leaves uneven callers short, 3 lets slow servers fill up.
const CREDIT_FACTOR: f64 = 2.0;
/// A caller whose recent tasks fade below this is new: a hundredth is left of a task after some 20 s, about as long as
/// callers keep connections.
const RETURNING_THRESHOLD: f64 = 0.01;
/// What is left of the recent tasks of a caller after an update.
const CALLER_FADE: f64 = 0.9;
/// The shortest idle timeout, unless that of the callers is shorter still.
const MIN_IDLE_TIMEOUT_MS: f64 = 500.0;

impl CapacityReport {
    /// A task of this caller has arrived.
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
    /// Tells callers of the capacity and closes idle connections; once an update.
    pub(super) fn report_capacity(&mut self, actions: &mut dyn Actions) {
        if self.parameters.capacity_hint == CapacityHint::Credit {
            self.update_credit();
            // A slow server asks for less by as much as it is slow, and never for nothing: without tasks it could not
            // see that it has recovered.
            actions.publish_capacity_hint(self.report.credit / self.limiter.median_ratio.max(1.0));
        }
        self.rejections.since_update = 0;
        for tasks in &mut self.report.tasks_by_caller {
            *tasks *= CALLER_FADE;
        }
        self.update_idle_timeout(actions);
    }

    /// Sets how many tasks each caller should have here: cut by a fifth while tasks are rejected, else grown by one;
    /// between one task a core and twice what the limit lets run beside the calls.
    fn update_credit(&mut self) {
        // As many callers as would send everything if each sent as much as the busiest: few send alike.
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

    /// Sets the idle timeout. Where few callers return, connections that are kept for them fill the table and shut
    /// others out: the more the cores are idle the sooner they close. With busy cores (three quarters, by trial) they
    /// stay: a new one costs work, and a full table is the cheapest rejection.
    fn update_idle_timeout(&mut self, actions: &mut dyn Actions) {
        let report = &mut self.report;
        let factor = if report.returning_share > 0.5 {
            2.0
        } else {
            (report.cpu / 0.75).powi(2).clamp(0.5, 2.0)
        };
        // At most half of the callers' own timeout: a cut acts only from the next use of a connection on.
        let max_part = if report.returning_share > 0.5 {
            1.0
        } else {
            0.5
        };
        let max_ms = max_part * self.parameters.idle_timeout_ms;
        let timeout_ms =
            (factor * report.idle_timeout_ms).clamp(max_ms.min(MIN_IDLE_TIMEOUT_MS), max_ms);
        if timeout_ms != report.idle_timeout_ms {
            report.idle_timeout_ms = timeout_ms;
            actions.set_idle_timeout(timeout_ms);
        }
    }
}
