//! Graceful shutdown: bad health at once, nothing started that arrives too late, everything answered in time.

use super::TICK_MS;
use crate::actions::Actions;
use crate::state::{DrainNotice, Server};
use crate::task::Task;

impl Server {
    /// The notice of a graceful shutdown: the process is stopped after `remaining_ms`.
    pub fn drain(&mut self, now_ms: f64, remaining_ms: f64, actions: &mut dyn Actions) {
        // Two ticks earlier than the stop, since answers go out at a tick.
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

    /// When everything must be answered; infinite without a notice.
    pub(super) fn drain_deadline_ms(&self) -> f64 {
        self.drain_notice
            .map_or(f64::INFINITY, |notice| notice.deadline_ms)
    }

    /// Whether a task arrived too long after the notice to be run, however early it was read.
    pub(super) fn arrived_after_grace(&self, task: &Task) -> bool {
        let grace_ms = self.parameters.drain_grace_ms;
        self.drain_notice
            .is_some_and(|notice| task.arrived_ms > notice.given_ms + grace_ms)
    }
}
