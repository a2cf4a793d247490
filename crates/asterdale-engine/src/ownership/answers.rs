//! Handling of the ownership replicas' answers, and the replies to clients that follow from them.

use asterdale::Handle;
use asterdale_ownership::failpoint::{self, Failpoint};
use asterdale_ownership::{Answer, Verdict};

use super::table::PendingRequest;
use crate::counters::{Count, Counters};
use crate::engine::Engine;
use crate::message::{Reply, Responder};
use crate::tasks::Tasks;

/// The longest retry delay that is sent to a client, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;

/// The rejection of an attempt that never ran.
pub(super) const fn rejected(retry_after_ms: u64) -> Reply {
    Reply::Rejected {
        is_final: false,
        retry_after_ms,
    }
}

/// The reply to the client of a request that this process may not run; `None` if the answer does not end the request.
pub(super) fn reply_to(answer: &Answer, lease_ms: f64) -> Option<Reply> {
    let retry_after_ms = answer.ms.clamp(0.0, MAX_RETRY_AFTER_MS) as u64;
    Some(match answer.verdict() {
        Verdict::Completed => Reply::Served(answer.result.clone().into()),
        Verdict::Failed => Reply::Failed,
        Verdict::OutcomeUnknown => Reply::Unknown { retry_after_ms },
        Verdict::RetryLater => rejected(retry_after_ms),
        Verdict::DigestMismatch => Reply::Malformed,
        Verdict::EpochEnded => rejected(lease_ms as u64),
        _ => return None,
    })
}

/// Failpoint: a request that runs on another backend is treated as ownerless.
pub(super) fn lock_is_ignored(verdict: Verdict) -> bool {
    failpoint::is_active(Failpoint::IgnoreOtherClaims) && verdict == Verdict::InProgress
}

/// The counter of a reply other than [`Reply::Served`].
fn counter_of<'a>(counters: &'a Counters, reply: &Reply) -> &'a Count {
    match reply {
        Reply::Rejected { .. } => &counters.tasks_rejected,
        Reply::Unknown { .. } => &counters.tasks_unknown,
        _ => &counters.tasks_failed,
    }
}

impl Tasks {
    /// Answers a task, and counts the reply if a client was waiting for it.
    pub(super) fn answer_and_count(&mut self, task: Handle, reply: Reply) {
        let counters = self.counters.clone();
        let counter = counter_of(&counters, &reply);
        if self.answer(task, reply) {
            counter.add();
        }
    }

    /// Answers a client whose task the policies have released.
    pub(super) fn answer_detached(&self, responder: Responder, reply: Reply) {
        self.counters.tasks_open.sub();
        match &reply {
            Reply::Served(_) => self.counters.tasks_served.add(),
            other => counter_of(&self.counters, other).add(),
        }
        responder.answer(reply);
    }
}

impl Engine {
    /// Handles the answer to the ownership request with this number.
    pub(crate) fn ownership_answered(&mut self, number: u64, answer: &Answer) {
        let ownership = &mut self.tasks.ownership;
        let Some(pending) = ownership.pending.remove(&number) else {
            return;
        };
        match pending {
            PendingRequest::Lookup {
                request,
                idempotency_key,
                key,
                ..
            } => {
                ownership.lookups.remove(&request.route());
                self.lookup_answered(*request, &idempotency_key, &key, answer);
            }
            PendingRequest::Poll(idempotency_key) => self.poll_answered(&idempotency_key, answer),
            PendingRequest::Claim { task, .. } => self.claim_answered(task, answer),
            PendingRequest::Outcome(ended) => self.outcome_answered(*ended, answer),
            PendingRequest::HandOff {
                idempotency_key,
                key,
                responder,
                fallback,
            } => {
                let reply = reply_to(answer, 0.0).unwrap_or(fallback);
                match answer.verdict() {
                    Verdict::Recorded | Verdict::InProgress => {
                        self.tasks.handed_off(&idempotency_key, &key, responder);
                    }
                    _ => self.tasks.answer_detached(responder, reply),
                }
            }
            PendingRequest::Nothing => {}
        }
    }
}
