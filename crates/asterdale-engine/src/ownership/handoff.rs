//! Hand-off: a draining process gives queued tasks to other backends instead of rejecting them.

use asterdale::Handle;
use asterdale_ownership::OwnershipRequest;

use super::record::{Claim, OwnershipKey};
use super::table::{DetachedClient, PendingRequest};
use crate::message::{IdempotencyKey, Reply, Responder};
use crate::tasks::Tasks;

impl Tasks {
    /// Hands off a task that the policies reject while this process drains; its client then waits for the backend that
    /// takes it over. Returns `false` if the task must be rejected.
    pub(crate) fn hand_off(&mut self, task: Handle, is_final: bool, retry_after_ms: f64) -> bool {
        let Some(client) = self.ownership.client.clone() else {
            return false;
        };
        if self.ownership.drain_deadline.is_none() {
            return false;
        }
        let Some(record) = self.task(task) else {
            return false;
        };
        let Some(owned) = record
            .ownership
            .as_ref()
            .filter(|owned| owned.claim == Claim::None && !owned.is_takeover)
        else {
            return false;
        };
        let request = self.keyed_request_of(record, owned, &*client);
        let (key, number) = (owned.key.clone(), record.number);
        let Some(record) = self.task_mut(task) else {
            return false;
        };
        let (Some(idempotency_key), Some(responder)) =
            (record.idempotency_key.clone(), record.responder.take())
        else {
            return false;
        };
        record.idempotency_key = None;
        self.by_route.remove(&responder.route());
        let joined = self.idempotency.forget(&idempotency_key, number);
        self.notify_joined(joined, None);
        let pending = PendingRequest::HandOff {
            idempotency_key,
            key,
            responder,
            fallback: Reply::Rejected {
                is_final,
                retry_after_ms: retry_after_ms as u64,
            },
        };
        self.ownership
            .request(OwnershipRequest::HandOver(request), pending);
        true
    }

    /// Makes the client of a handed-off task wait for the run on another backend, as long as this process drains.
    pub(super) fn handed_off(
        &mut self,
        idempotency_key: &IdempotencyKey,
        key: &OwnershipKey,
        responder: Responder,
    ) {
        let (now, window_ms) = (self.now, self.retry_window_ms(idempotency_key.class));
        let deadline = self.ownership.drain_deadline.unwrap_or(now);
        let run = self
            .ownership
            .follow_remote_run(now, idempotency_key, key, window_ms);
        run.detached.push(DetachedClient {
            responder,
            deadline,
            ran_here: false,
        });
    }
}
