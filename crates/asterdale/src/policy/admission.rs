//! Admission: whether a request is queued, joined or given up, and which queued tasks start.

use super::USABLE_MEMORY_FRACTION;
use crate::actions::Actions;
use crate::events::Arrival;
use crate::state::Server;
use crate::task::{Handle, Task, TaskState};

impl Server {
    /// Handles a request that has just been read. It will get exactly one final answer.
    pub fn receive(
        &mut self,
        now_ms: f64,
        mut arrival: Arrival,
        actions: &mut dyn Actions,
    ) -> Handle {
        self.advance_time(now_ms);
        arrival.tenant = arrival.tenant.min(self.tenants.len() - 1);
        let task = self.new_task(now_ms, arrival);
        let handle = self.insert(task);
        self.set_state(handle, TaskState::Queued);
        actions.accepted(handle);
        self.tenants[arrival.tenant].recent_arrivals.add(1.0);
        self.limiter
            .record_unread(arrival.unread_ms, self.parameters.tick_ms);
        self.report.record_caller(arrival.caller);
        if self.joins_earlier_attempt(&arrival) {
            self.join_earlier_attempt(handle, actions);
            return handle;
        }
        if self.arrived_after_grace(&task) || self.lacks_memory_for_entry(&arrival) {
            self.give_up(handle, actions);
            return handle;
        }
        self.retain_entry(handle, now_ms, actions);
        self.start_queued(now_ms, actions);
        handle
    }

    /// Creates a task with its deadline and its latency objective.
    fn new_task(&self, now_ms: f64, arrival: Arrival) -> Task {
        let parameters = &self.classes[arrival.class].parameters;
        let remaining_ms = arrival
            .remaining_ms
            .unwrap_or((parameters.deadline_ms - arrival.unread_ms).max(0.0));
        let mut task = Task::new(arrival, now_ms);
        task.deadline_ms = (now_ms + remaining_ms).min(self.drain_deadline_ms());
        task.objective_ms = (task.arrived_ms + parameters.objective_ms).min(now_ms + remaining_ms);
        task
    }

    /// Starts queued tasks while the limits allow it, then rejects those that exceed the capacity of the queue.
    pub(super) fn start_queued(&mut self, now_ms: f64, actions: &mut dyn Actions) {
        let admitted = (self.count(TaskState::Queued) + self.count(TaskState::Running)) as f64;
        let peak = &mut self.limiter.peak_concurrency[0];
        *peak = peak.max(admitted);
        while let Some(handle) = self.next_to_start(now_ms) {
            let task = self.tasks[handle.index()];
            if self.must_wait(&task) {
                break;
            }
            if self.cannot_finish_in_time(&task, now_ms) {
                self.give_up(handle, actions);
                continue;
            }
            self.start_task(handle, now_ms);
            actions.start(handle);
        }
        self.shed_queue(now_ms, actions);
    }

    /// Whether one more run would exceed the limit, the concurrency that the server survives, or the memory.
    fn must_wait(&self, task: &Task) -> bool {
        let running = self.count(TaskState::Running);
        let started = running + self.count(TaskState::CallQueued) + self.count(TaskState::Calling);
        let memory_kb =
            self.memory_kb + task.arrival.memory_kb * (self.parameters.running_memory_factor - 1.0);
        let fits = memory_kb <= USABLE_MEMORY_FRACTION * self.parameters.memory_kb || started == 0;
        running as f64 >= self.max_running().floor()
            || started as f64 >= self.max_concurrency().floor()
            || !fits
    }

    fn start_task(&mut self, handle: Handle, now_ms: f64) {
        self.set_state(handle, TaskState::Running);
        let task = &mut self.tasks[handle.index()];
        task.started_ms = now_ms;
        task.may_have_run = true;
        task.uncontended = true;
        task.resumed_at_core_ms = self.core_clock.core_time_ms;
        self.clear_uncontended();
    }

    /// With full cores, rejects queued tasks beyond half of the limit at once. The queue always has a capacity of at
    /// least one task per core, so that there is a choice of tasks to start.
    fn shed_queue(&mut self, now_ms: f64, actions: &mut dyn Actions) {
        let queue_capacity = self.parameters.cores.max(self.limiter.limit / 2.0);
        while self.limiter.cores_full && self.count(TaskState::Queued) as f64 > queue_capacity {
            let Some(handle) = self.first_to_reject(now_ms) else {
                break;
            };
            self.give_up(handle, actions);
        }
    }

    /// If there are more runs than cores, marks all of them as not uncontended.
    pub(super) fn clear_uncontended(&mut self) {
        if self.count(TaskState::Running) as f64 > self.parameters.cores {
            for &handle in &self.active {
                self.tasks[handle.index()].uncontended = false;
            }
        }
    }

    /// Whether a task would end too late for its answer to have a value. While no task runs, the estimated end is not
    /// considered: a server without any run would never measure the latency ratio again.
    pub(super) fn cannot_finish_in_time(&self, task: &Task, now_ms: f64) -> bool {
        let parameters = &self.class(task).parameters;
        let late_has_value = parameters.late_weight_share > 0.0 && !self.limiter.cores_full;
        let latest_end_ms = task.useful_until_ms(late_has_value);
        // A task that needs its call would only waste core time if the call queue is too long for it.
        let mut end_ms = now_ms + self.expected_run_ms(task);
        if parameters.makes_calls && parameters.degraded_weight_share <= 0.0 {
            end_ms += self.count(TaskState::CallQueued) as f64 * self.call_start_interval_ms()
                + self.dependency.mean_call_ms;
        }
        now_ms >= latest_end_ms || (end_ms > latest_end_ms && self.count(TaskState::Running) > 0)
    }

    /// Whether a task that has not ended should be given up before its deadline: its answer would have no value, or it
    /// has been queued for too long.
    pub(super) fn should_give_up_early(&self, task: &Task, now_ms: f64) -> bool {
        let without_value = self.limiter.cores_full
            && now_ms >= task.objective_ms
            && self.class(task).parameters.late_weight_share <= 0.0;
        // The queue wait is limited to a sixth of the time to the objective, plus half of the mean time until a core
        // becomes free. A limit by the deadline would let classes with long deadlines fill the queue; with all of the
        // time until a core becomes free, tasks would be rejected too late on servers with many cores.
        let max_wait_ms = (task.objective_ms - task.arrived_ms) / 6.0
            + 0.5 * self.limiter.mean_run_ms / self.parameters.cores;
        match task.state {
            TaskState::Queued => {
                self.cannot_finish_in_time(task, now_ms)
                    || (self.limiter.cores_full && now_ms - task.arrived_ms > max_wait_ms)
            }
            // With full cores, a run without value takes core time from others. With idle cores it continues: a late
            // answer costs nothing then, but aborted work is lost.
            TaskState::Running | TaskState::Calling => without_value && self.can_abort(task),
            _ => false,
        }
    }
}
