//! Requests that get no task. A refusal states that the request never ran, and the client may then send it to another
//! process. So it must never go to a keyed request whose key is retained: an attempt under that key may have run here.

use asterdale::parameters::Idempotency;

use super::admission::Arrived;
use crate::message::{IdempotencyKey, Reply, Request, RequestHead, Shortage, TaskId};
use crate::tasks::Tasks;

impl Tasks {
    /// The reply to a request that gets no task: `refusal`, or `Unknown` in its place if a task is retained under the
    /// request's key.
    fn refuse(&self, head: &RequestHead, refusal: Reply) -> Reply {
        let key = head.idempotency_key.as_ref();
        let is_retained = key.is_some_and(|key| self.idempotency.is_retained(key));
        self.without_false_claim(head.class, is_retained, refusal)
    }

    /// Answers a request that gets no task, with `refusal` or as [`Tasks::refuse`] replaces it.
    pub(crate) fn answer_refused(&self, request: Request, refusal: Reply) {
        let reply = self.refuse(&request.head, refusal);
        request.answer(reply);
    }

    /// The reply to a task that the policies reject: `refusal`, or `Unknown` in its place if another task is retained
    /// under its key.
    pub(crate) fn refuse_task(
        &self,
        class: usize,
        key: Option<&IdempotencyKey>,
        task: TaskId,
        refusal: Reply,
    ) -> Reply {
        let is_retained = key.is_some_and(|key| self.idempotency.is_retained_by_other(key, task));
        self.without_false_claim(class, is_retained, refusal)
    }

    fn without_false_claim(&self, class: usize, is_retained: bool, refusal: Reply) -> Reply {
        let is_keyed = self.settings.decisions.classes[class].idempotency == Idempotency::Keyed;
        if !(is_keyed && is_retained && refusal.claims_never_ran()) {
            return refusal;
        }
        self.counters.tasks_unknown.add();
        refusal.without_claim()
    }

    /// Checks a request for which there was no capacity: a repeat may still get the result of the earlier attempt, or
    /// wait for it.
    ///
    /// # Errors
    /// The reply to any other request, and to a repeat for which there is no memory.
    pub(super) fn check_capacity(&self, arrived: &Arrived) -> Result<(), Reply> {
        let Some(shortage) = arrived.request.capacity.shortage() else {
            return Ok(());
        };
        self.counters.requests_looked_up.add();
        let request = &arrived.request;
        let max_retry_after_ms = self.settings.decisions.max_retry_after_ms;
        if !arrived.is_repeat {
            return Err(shortage.refuse(&self.counters, max_retry_after_ms));
        }
        if request.client.reserve_for_repeat(request.repeat_bytes()) {
            return Ok(());
        }
        self.counters.repeats_over_memory.add();
        Err(Shortage::Memory.refuse(&self.counters, max_retry_after_ms))
    }
}
