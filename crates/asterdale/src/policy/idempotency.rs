//! Retention of idempotency keys, and retries that join their earlier attempt.

use super::USABLE_MEMORY_FRACTION;
use crate::actions::Actions;
use crate::events::Arrival;
use crate::parameters::{Idempotency, Preemption};
use crate::state::Server;
use crate::task::{Handle, Task, TaskState};

impl Server {
    /// Whether the request repeats one whose result it can share.
    pub(super) fn joins_earlier_attempt(&self, arrival: &Arrival) -> bool {
        let keyed = self.classes[arrival.class].parameters.idempotency == Idempotency::Keyed;
        arrival.is_repeat && (keyed || self.parameters.response_reuse_ms > 0.0)
    }

    /// Lets the task wait for the result of its earlier attempt, which may have run.
    pub(super) fn join_earlier_attempt(&mut self, handle: Handle, actions: &mut dyn Actions) {
        self.set_state(handle, TaskState::Joined);
        self.tasks[handle.index()].may_have_run = true;
        actions.join_earlier_attempt(handle);
    }

    /// Whether there is too little memory for the idempotency entry of the request.
    pub(super) fn lacks_memory_for_entry(&self, arrival: &Arrival) -> bool {
        let entry_kb = match self.classes[arrival.class].parameters.idempotency {
            Idempotency::Keyed => self.parameters.idempotency_entry_kb,
            _ => 0.0,
        };
        self.memory_kb + entry_kb > USABLE_MEMORY_FRACTION * self.parameters.memory_kb
    }

    /// Retains the key of a task before it can start, as a retry must be recognised while the task is still queued.
    pub(super) fn retain_entry(&mut self, handle: Handle, now_ms: f64, actions: &mut dyn Actions) {
        let arrival = self.tasks[handle.index()].arrival;
        let class = &self.classes[arrival.class].parameters;
        match class.idempotency {
            Idempotency::Keyed => {
                // The window counts from the arrival. Twice `tick_ms` more covers the rounding of times to batches.
                let for_ms =
                    class.retry_window_ms - arrival.unread_ms + 2.0 * self.parameters.tick_ms;
                let entries = &mut self.idempotency_entries;
                let bucket = ((now_ms + for_ms) / entries.width_ms) as u64 + 1;
                *entries.bucket(bucket) += 1.0;
                self.memory_kb += self.parameters.idempotency_entry_kb;
                self.tasks[handle.index()].entry_bucket = Some(bucket);
                actions.retain_idempotency_entry(handle, for_ms);
            }
            Idempotency::Idempotent if self.parameters.response_reuse_ms > 0.0 => {
                actions.retain_idempotency_entry(handle, self.parameters.response_reuse_ms);
            }
            _ => {}
        }
    }

    /// Drops the key of a task that never started, unless it has expired.
    pub(super) fn drop_entry(&mut self, handle: Handle, actions: &mut dyn Actions) {
        let entries = &mut self.idempotency_entries;
        let bucket = self.tasks[handle.index()].entry_bucket;
        if let Some(bucket) = bucket.filter(|&bucket| bucket > entries.current) {
            *entries.bucket(bucket) -= 1.0;
            self.memory_kb -= self.parameters.idempotency_entry_kb;
            actions.drop_idempotency_entry(handle);
        }
    }

    /// Frees the memory of keys that have expired.
    pub(super) fn expire_entries(&mut self, now_ms: f64) {
        self.memory_kb -=
            self.idempotency_entries.advance(now_ms) * self.parameters.idempotency_entry_kb;
    }

    /// Whether a task may run more than once.
    pub(super) fn is_idempotent(&self, task: &Task) -> bool {
        self.class(task).parameters.idempotency == Idempotency::Idempotent
    }

    /// Whether a running task may be aborted: it may run again, and the runtime can abort it.
    pub(super) fn can_abort(&self, task: &Task) -> bool {
        self.is_idempotent(task) && self.parameters.preemption != Preemption::Unsupported
    }
}
