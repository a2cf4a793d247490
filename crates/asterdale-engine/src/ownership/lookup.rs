//! The lookup of a keyed request before the policies see it.

use asterdale::parameters::Idempotency;
use asterdale_ownership::{Answer, OwnershipRequest, Verdict};

use super::answers::{lock_is_ignored, reply_to};
use super::record::{Claim, OwnedTask, OwnershipKey};
use super::table::{PendingRequest, REMOTE_OWNER};
use crate::engine::Engine;
use crate::idempotency::Owner;
use crate::message::{IdempotencyKey, Reply, Request, RequestHead, ResponseRoute};
use crate::tasks::Tasks;

/// The most pending requests to the replicas. Beyond that, keyed requests are rejected.
const MAX_PENDING_REQUESTS: usize = 8192;

impl Tasks {
    /// The ownership of a new request under this idempotency key, if its class has replicated ownership. `left_ms` is
    /// how long its client still waits; `tenant` is empty where callers are not authenticated.
    pub(crate) fn ownership_of(
        &self,
        head: &RequestHead,
        key: &IdempotencyKey,
        tenant: &str,
        left_ms: f64,
        body: &[u8],
    ) -> Option<OwnedTask> {
        let client = self.ownership.client.as_ref()?;
        let class = &self.settings.decisions.classes[key.class];
        if class.idempotency != Idempotency::Keyed || client.replicates_class(key.class).is_none() {
            return None;
        }
        let bytes = [
            self.settings.class_names[key.class].as_bytes(),
            tenant.as_bytes(),
            &key.bytes,
        ]
        .join(&0);
        let attempt_deadline = self.now + left_ms.clamp(0.0, class.deadline_ms.max(0.0));
        Some(OwnedTask {
            key: OwnershipKey {
                bytes,
                body_digest: client.body_digest(body),
            },
            claim: Claim::None,
            sends_fence: client.sends_fences(),
            is_takeover: false,
            attempt_deadline,
            request_deadline: (self.now + class.deadline_ms).max(attempt_deadline),
            cost_hint_ms: head.cost_hint_ms.unwrap_or(0.0),
            memory_kb: head.memory_kb,
        })
    }

    /// Looks up a request. The policies see it once the answer is there.
    pub(crate) fn look_up(&mut self, request: Request, key: &OwnershipKey) {
        let route = request.route();
        if self.ownership.lookups.contains_key(&route) {
            self.counters.requests_duplicate.add();
            return request.client.discard_request();
        }
        if self.ownership.pending.len() >= MAX_PENDING_REQUESTS {
            return self.answer_refused(request, self.reject_for_full_table());
        }
        let Some(idempotency_key) = request.head.idempotency_key.clone() else {
            return;
        };
        let lookup = OwnershipRequest::Lookup {
            key: key.bytes.clone(),
            body_digest: key.body_digest,
        };
        let pending = PendingRequest::Lookup {
            request: Box::new(request),
            idempotency_key,
            key: key.clone(),
            sent_at: self.now,
        };
        let number = self.ownership.request(lookup, pending);
        self.ownership.lookups.insert(route, number);
    }

    /// Cancels the lookups of requests whose clients no longer wait.
    pub(crate) fn cancel_lookups(&mut self, is_cancelled: impl Fn(ResponseRoute) -> bool) {
        let numbers: Vec<u64> = self
            .ownership
            .lookups
            .iter()
            .filter(|(route, _)| is_cancelled(**route))
            .map(|(_, &number)| number)
            .collect();
        for number in numbers {
            if let Some(request) = self.take_lookup(number) {
                request.answer(Reply::CallerGone);
            }
        }
    }

    /// Cancels a pending lookup. Returns its request.
    pub(super) fn take_lookup(&mut self, number: u64) -> Option<Request> {
        let Some(PendingRequest::Lookup { request, .. }) = self.ownership.pending.remove(&number)
        else {
            return None;
        };
        self.ownership.lookups.remove(&request.route());
        if let Some(client) = &self.ownership.client {
            client.cancel(number);
        }
        Some(*request)
    }

    /// Enters a request that runs or has ended on another backend into the idempotency table, so that the policies join
    /// it like any retry.
    fn record_remote_run(
        &mut self,
        request: &Request,
        idempotency_key: &IdempotencyKey,
        key: &OwnershipKey,
        answer: &Answer,
    ) {
        if self.idempotency.is_repeat(idempotency_key, self.now) {
            return;
        }
        let (now, window_ms) = (self.now, self.retry_window_ms(idempotency_key.class));
        let owner = Owner {
            task: REMOTE_OWNER,
            body_digest: self.idempotency.digest(&request.body),
        };
        let joined = self
            .idempotency
            .retain(idempotency_key.clone(), owner, now + window_ms, None);
        self.notify_joined(joined, None);
        self.ownership
            .follow_remote_run(now, idempotency_key, key, window_ms);
        if let Some(reply) = reply_to(answer, 0.0) {
            self.remote_run_ended(idempotency_key, &reply);
        }
    }

    /// How long retries of requests of this class are recognized, in milliseconds.
    pub(super) fn retry_window_ms(&self, class: usize) -> f64 {
        self.settings.decisions.classes[class].retry_window_ms
    }
}

impl Engine {
    /// Handles the answer to a lookup.
    pub(super) fn lookup_answered(
        &mut self,
        request: Request,
        idempotency_key: &IdempotencyKey,
        key: &OwnershipKey,
        answer: &Answer,
    ) {
        let tasks = &mut self.tasks;
        let verdict = answer.verdict();
        let is_known = matches!(
            verdict,
            Verdict::InProgress | Verdict::Completed | Verdict::Failed
        );
        if is_known && !lock_is_ignored(verdict) {
            if tasks.idempotency.is_full() {
                return tasks.answer_refused(request, tasks.reject_for_full_table());
            }
            tasks.record_remote_run(&request, idempotency_key, key, answer);
            return self.receive_looked_up(request);
        }
        match reply_to(answer, tasks.ownership.lease_ms()) {
            Some(reply) if verdict != Verdict::InProgress => {
                if reply == Reply::Malformed {
                    tasks.counters.tasks_malformed.add();
                } else {
                    tasks.counters.tasks_ownership_rejected.add();
                }
                tasks.answer_refused(request, reply);
            }
            _ => self.receive_looked_up(request),
        }
    }
}
