//! Graceful shutdown: health checks fail at once, requests that arrive after the grace period are not started, and all
//! tasks are answered before the process is stopped.

use super::TICK_MS;
use crate::actions::Actions;
use crate::state::{DrainNotice, Server};
use crate::task::Task;

impl Server {
    /// Handles the notice of a graceful shutdown: the process will be stopped after `remaining_ms`.
    pub fn drain(&mut self, now_ms: f64, remaining_ms: f64, actions: &mut dyn Actions) {
        // Two ticks before the stop, since answers are sent at ticks.
        let deadline_ms = now_ms + remaining_ms - 2.0 * TICK_MS;
        self.drain_notice = Some(DrainNotice {
            given_ms: now_ms,
            deadline_ms,
        });
        for &handle in &self.active {
            let task = &mut self.tasks[handle.index()];
            task.deadline_ms = task.deadline_ms.min(deadline_ms);
        }
        actions.set_health(false, true);
        self.start_queued(now_ms, actions);
    }

    /// The time by which all tasks must be answered; infinite without a notice.
    pub(super) fn drain_deadline_ms(&self) -> f64 {
        self.drain_notice
            .map_or(f64::INFINITY, |notice| notice.deadline_ms)
    }

    /// Whether a task must not run because it arrived after the grace period. The arrival counts, not when the request
    /// was read.
    pub(super) fn arrived_after_grace(&self, task: &Task) -> bool {
        let grace_ms = self.parameters.drain_grace_ms;
        self.drain_notice
            .is_some_and(|notice| task.arrived_ms > notice.given_ms + grace_ms)
    }
}
