//! Ownership without replicas: this process's journal stores the claims.

use std::hash::Hasher as _;

use asterdale::parameters::{ClassParameters, Idempotency};
use asterdale_engine::message::OwnershipClient;
use asterdale_journal::{Journal, JournalAnswer, JournalCommand, KeyStatus};
use asterdale_ownership::{Answer, OwnershipRequest, Verdict};
use siphasher::sip::SipHasher13;

/// The Retry-After while the journal is full or its disk fails, in milliseconds: entries expire within seconds.
const RETRY_AFTER_MS: f64 = 1000.0;
/// The timeout of a claim, in milliseconds: a disk that takes longer is about to fail.
const CLAIM_TIMEOUT_MS: f64 = 2000.0;

/// Ownership within this process alone, stored in its journal.
pub struct LocalOwnership {
    journal: Journal,
    /// By request class: whether its requests have an idempotency key.
    keyed_classes: Vec<bool>,
    max_unread_ms: f64,
}

impl LocalOwnership {
    /// Ownership stored in this journal. A retry may be read up to `max_unread_ms` milliseconds after it arrived.
    pub fn new(
        journal: Journal,
        classes: &[ClassParameters],
        max_unread_ms: f64,
    ) -> LocalOwnership {
        let keyed_classes = classes
            .iter()
            .map(|class| class.idempotency == Idempotency::Keyed)
            .collect();
        LocalOwnership {
            journal,
            keyed_classes,
            max_unread_ms,
        }
    }
}

impl OwnershipClient for LocalOwnership {
    fn replicates_class(&self, class: usize) -> Option<bool> {
        let is_keyed = self.keyed_classes.get(class).copied().unwrap_or(false);
        is_keyed.then_some(false)
    }

    fn body_digest(&self, body: &[u8]) -> u64 {
        let secret = self.journal.digest_secret;
        let mut hasher = SipHasher13::new_with_keys(secret, !secret);
        hasher.write(body);
        hasher.finish()
    }

    fn request(&self, number: u64, request: OwnershipRequest) {
        self.journal.send(match request {
            OwnershipRequest::Lookup { key, body_digest } => JournalCommand::Lookup {
                request: number,
                key,
                body_digest,
            },
            OwnershipRequest::Claim(claimed) => JournalCommand::Claim {
                request: number,
                key: claimed.key,
                body_digest: claimed.body_digest,
                attempt_id: claimed.execution_id,
                // A retry that arrives just before the end of its window may be read that much later.
                window_ms: claimed.retry_window_ms + self.max_unread_ms,
            },
            OwnershipRequest::Complete { key, fence, result } => JournalCommand::RecordOutcome {
                request: number,
                key,
                claim: fence,
                result,
            },
            // No other process uses this journal, so the request can't be handed over. It is looked up instead, and
            // then rejected as it would have been without a handover.
            OwnershipRequest::HandOver(handed_over) => JournalCommand::Lookup {
                request: number,
                key: handed_over.key,
                body_digest: handed_over.body_digest,
            },
        });
    }

    fn cancel(&self, number: u64) {
        self.journal.send(JournalCommand::CancelRequest(number));
    }

    fn claim_unused(&self, key: Vec<u8>, claim: u64) {
        self.journal
            .send(JournalCommand::CancelClaim { key, claim });
    }

    /// Does nothing: no other process's requests can be taken over.
    fn set_takeover_capacity(&self, _: u32) {}

    fn may_act(&self) -> bool {
        true
    }

    /// Claim numbers have no meaning outside this journal.
    fn sends_fences(&self) -> bool {
        false
    }

    fn lease_ms(&self) -> f64 {
        CLAIM_TIMEOUT_MS
    }

    fn release_all(&self) {
        self.journal.flush();
    }
}

/// Converts the journal's answer to an answer of the ownership client.
pub fn to_ownership_answer(journal_answer: JournalAnswer) -> Answer {
    let mut answer = Answer::default();
    let verdict = match journal_answer {
        JournalAnswer::Claimed(claim) => {
            answer.number = claim;
            Verdict::Granted
        }
        JournalAnswer::OutcomeRecorded => Verdict::Recorded,
        JournalAnswer::Status(KeyStatus::Absent) => Verdict::NotFound,
        JournalAnswer::Status(KeyStatus::InFlight) => Verdict::InProgress,
        JournalAnswer::Status(KeyStatus::Failed) => Verdict::Failed,
        JournalAnswer::Status(KeyStatus::BodyMismatch) => Verdict::DigestMismatch,
        JournalAnswer::Status(KeyStatus::Succeeded(result)) => {
            answer.result = result;
            Verdict::Completed
        }
        JournalAnswer::Status(KeyStatus::Unknown { retry_after_ms }) => {
            answer.ms = retry_after_ms;
            Verdict::OutcomeUnknown
        }
        JournalAnswer::Status(KeyStatus::Unavailable) => {
            answer.ms = RETRY_AFTER_MS;
            Verdict::RetryLater
        }
    };
    answer.set_verdict(verdict);
    answer
}
