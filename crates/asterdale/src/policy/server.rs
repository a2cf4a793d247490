//! The start of a server, and its regular tick.

use super::TICK_MS;
use crate::actions::Actions;
use crate::events::Gauges;
use crate::parameters::Parameters;
use crate::state::{Server, UPDATE_INTERVAL_MS};
use crate::task::TaskState;

impl Server {
    /// Creates a server that has just started. The host calls [`Server::tick`] at the times that
    /// [`Actions::schedule_tick`] requests.
    pub fn start(parameters: Parameters, now_ms: f64, actions: &mut dyn Actions) -> Server {
        let mut server = Server::new(parameters, now_ms);
        server.limiter.next_pin_ms = now_ms + server.draw_pin_interval_ms();
        server.report.credit = server.max_concurrency();
        // Health checks get the recorded answer: real ones would cost core time and calls when both are scarce.
        actions.set_health(true, true);
        actions.schedule_tick(now_ms + TICK_MS);
        server
    }

    /// Sets when the runtime started and whether it begins with a slow start. The runtime may report this only after
    /// the first requests, or a new runtime may have replaced the previous one.
    pub fn runtime_started(&mut self, slow_start: bool, started_ms: f64) {
        self.parameters.slow_start = slow_start;
        self.runtime_started_ms = started_ms;
    }

    /// Updates everything that depends on time: the limit and the reports to callers, and which tasks are given up or
    /// start.
    pub fn tick(&mut self, now_ms: f64, gauges: Gauges, actions: &mut dyn Actions) {
        actions.schedule_tick(now_ms + TICK_MS);
        self.advance_time(now_ms);
        self.read_gauges(now_ms, gauges);
        if now_ms >= self.limiter.next_update_ms {
            self.update_limit(now_ms);
            self.report_capacity(actions);
            self.limiter.next_update_ms = now_ms + UPDATE_INTERVAL_MS;
        }
        for handle in self.active.clone() {
            let task = self.tasks[handle.index()];
            if task.answered || task.state == TaskState::Free {
                continue;
            }
            if self.should_give_up_early(&task, now_ms) || now_ms + TICK_MS >= task.deadline_ms {
                self.give_up(handle, actions);
            }
        }
        self.start_queued_calls(now_ms, actions);
        self.start_queued(now_ms, actions);
    }

    /// Advances all state that depends on time to now.
    pub(super) fn advance_time(&mut self, now_ms: f64) {
        self.expire_entries(now_ms);
        for tenant in &mut self.tenants {
            tenant.recent_arrivals.advance(now_ms);
        }
        self.rejections.recent.advance(now_ms);
        self.advance_calls(now_ms);
        self.last_event_ms = now_ms;
    }
}
