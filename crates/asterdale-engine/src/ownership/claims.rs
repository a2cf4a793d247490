//! Claims: a keyed request starts once this process owns it.

use std::fmt::Write as _;
use std::sync::Arc;

use asterdale::events::Outcome;
use asterdale::{Actions, Handle};
use asterdale_ownership::failpoint::{self, Failpoint};
use asterdale_ownership::{Answer, KeyedRequest, OwnershipRequest, Verdict};

use super::answers::{lock_is_ignored, rejected, reply_to};
use super::record::{Claim, OwnedTask};
use super::table::{PendingRequest, REMOTE_OWNER};
use crate::engine::Engine;
use crate::message::{CallFence, OwnershipClient, Reply, TaskId};
use crate::tasks::{TaskRecord, Tasks};

/// The longest duration that is sent to the replicas, so that it fits its field whatever value a client sends.
const MAX_WIRE_MS: f64 = 9e8;
/// The fence that is used under an active failpoint: higher than any that is granted.
const FORGED_FENCE: u64 = u64::MAX >> 1;

/// A call must not be made now: the lease may have lapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the lease of the claim may have lapsed")]
pub(crate) struct LeaseLapsed;

fn hexadecimal(key: &[u8]) -> String {
    key.iter()
        .fold(String::with_capacity(2 * key.len()), |mut text, byte| {
            // Writing to a String cannot fail.
            let _ = write!(text, "{byte:02x}");
            text
        })
}

impl Tasks {
    /// A task with all that another backend needs to take it over.
    pub(super) fn keyed_request_of(
        &self,
        record: &TaskRecord,
        owned: &OwnedTask,
        client: &dyn OwnershipClient,
    ) -> KeyedRequest {
        KeyedRequest {
            key: owned.key.bytes.clone(),
            class: self.settings.class_names[record.class].clone(),
            execution_id: record.id.to_vec(),
            body_digest: owned.key.body_digest,
            body: record.body.clone(),
            deadline_ms: owned.remaining_ms(self.now),
            retry_window_ms: self.retry_window_ms(record.class).clamp(0.0, MAX_WIRE_MS),
            hint_ms: owned.cost_hint_ms.clamp(0.0, MAX_WIRE_MS),
            kb: owned.memory_kb,
            fenced: client.replicates_class(record.class).unwrap_or(false),
        }
    }

    /// Whether a task that the policies start may start now. A task that this process does not own is claimed first,
    /// and starts when the claim is granted.
    pub(crate) fn claim_before_start(&mut self, task: Handle) -> bool {
        let Some(record) = self.task(task) else {
            return false;
        };
        let Some(owned) = &record.ownership else {
            return true;
        };
        match owned.claim {
            Claim::None => {}
            Claim::Granted(_) => return true,
            Claim::Requested | Claim::Remote => return false,
        }
        let Some(client) = &self.ownership.client else {
            return true;
        };
        let request = self.keyed_request_of(record, owned, &**client);
        let pending = PendingRequest::Claim {
            task: record.number,
            sent_at: self.now,
        };
        self.ownership
            .request(OwnershipRequest::Claim(request), pending);
        self.set_claim(task, Claim::Requested);
        false
    }

    pub(super) fn set_claim(&mut self, task: Handle, claim: Claim) {
        let record = self.task_mut(task);
        if let Some(owned) = record.and_then(|record| record.ownership.as_mut()) {
            owned.claim = claim;
        }
    }

    /// The fence to send with a call of this task, if any.
    ///
    /// # Errors
    /// If the call must not be made now.
    pub(crate) fn call_fence(&self, task: Handle) -> Result<Option<CallFence>, LeaseLapsed> {
        let record = self.task(task);
        let Some(owned) = record.and_then(|record| record.ownership.as_ref()) else {
            return Ok(None);
        };
        if owned.granted_fence().is_none() {
            return Ok(None);
        }
        let client = self.ownership.client.as_ref();
        let may_act = client.is_some_and(|client| client.may_act());
        if !may_act && !failpoint::is_active(Failpoint::IgnoreLeaseExpiry) {
            return Err(LeaseLapsed);
        }
        Ok(owned.fence_to_send().map(|fence| CallFence {
            key: hexadecimal(&owned.key.bytes),
            fence,
        }))
    }

    /// Whether a task continues although its client has given up. A task that this process owns does, as a retry on any
    /// backend gets its result.
    pub(crate) fn continues_without_client(&self, task: Handle) -> bool {
        let record = self.task(task);
        let owned = record.and_then(|record| record.ownership.as_ref());
        owned.is_some_and(|owned| owned.granted_fence().is_some())
    }

    /// Makes a task wait for its run on another backend, as a retry does.
    fn wait_for_remote_run(&mut self, task: Handle) {
        let Some(record) = self.task(task) else {
            return;
        };
        let (number, Some(owned)) = (record.number, &record.ownership) else {
            return;
        };
        let (key, idempotency_key) = (owned.key.clone(), record.idempotency_key.clone());
        let Some(idempotency_key) = idempotency_key else {
            return;
        };
        if self
            .idempotency
            .reassign(&idempotency_key, number, REMOTE_OWNER)
        {
            self.idempotency.join(&idempotency_key, number);
            let (now, window_ms) = (self.now, self.retry_window_ms(idempotency_key.class));
            self.ownership
                .follow_remote_run(now, &idempotency_key, &key, window_ms);
        }
    }
}

impl Engine {
    /// Handles the answer to the claim of this task.
    pub(super) fn claim_answered(&mut self, number: TaskId, answer: &Answer) {
        let tasks = &mut self.tasks;
        let verdict = answer.verdict();
        let Some(task) = tasks.by_number.get(&number).copied() else {
            return; // the replicas drop the claim, as it is not renewed
        };
        let has_claim = tasks
            .task(task)
            .is_some_and(|record| record.ownership.is_some());
        if !has_claim || tasks.ownership.client.is_none() {
            return;
        }
        if lock_is_ignored(verdict) {
            tasks.set_claim(task, Claim::Granted(FORGED_FENCE));
            return tasks.start(task);
        }
        match verdict {
            Verdict::Granted => self.claim_granted(task, answer.number),
            Verdict::InProgress => {
                tasks.set_claim(task, Claim::Remote);
                tasks.wait_for_remote_run(task);
            }
            Verdict::Completed => {
                let result: Arc<[u8]> = answer.result.clone().into();
                tasks.set_claim(task, Claim::Remote);
                if tasks.answer_served(task, result.clone()) {
                    tasks.counters.tasks_joined.add();
                }
                tasks.complete_key(task, Some(&result));
                self.end_as_stale(task);
            }
            Verdict::Failed => {
                tasks.set_claim(task, Claim::Remote);
                tasks.answer_failed(task);
                tasks.complete_key(task, None);
                self.end_as_stale(task);
            }
            _ => {
                let reply = reply_to(answer, tasks.ownership.lease_ms());
                self.never_started(task, reply.unwrap_or(rejected(0)));
            }
        }
    }

    /// Starts a task whose claim was granted under this fence, if its result is still needed and the lease is valid.
    fn claim_granted(&mut self, task: Handle, fence: u64) {
        let tasks = &mut self.tasks;
        let (Some(client), Some(record)) = (tasks.ownership.client.clone(), tasks.task(task))
        else {
            return;
        };
        let Some(owned) = &record.ownership else {
            return;
        };
        let (is_takeover, key) = (owned.is_takeover, owned.key.bytes.clone());
        let is_needed = (record.responder.is_some() || is_takeover) && !record.must_not_start;
        if !is_needed || !client.may_act() {
            client.claim_unused(key, fence);
            return self.never_started(task, rejected(0));
        }
        tasks.set_claim(task, Claim::Granted(fence));
        if is_takeover {
            tasks.counters.tasks_taken_over.add();
        }
        tasks.start(task);
    }

    /// Ends a task of which nothing was started here. Its client gets this reply, and another attempt may run.
    pub(super) fn never_started(&mut self, task: Handle, reply: Reply) {
        let tasks = &mut self.tasks;
        tasks.set_claim(task, Claim::Remote);
        tasks.answer_and_count(task, reply);
        tasks.drop_idempotency_entry(task);
        self.end_as_stale(task);
    }

    /// Reports to the policies that the run of this task has no effect.
    fn end_as_stale(&mut self, task: Handle) {
        if let Some(server) = &mut self.server {
            task.run_ended(server, self.tasks.now, Outcome::Stale, &mut self.tasks);
        }
    }
}
