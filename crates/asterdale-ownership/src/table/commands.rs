//! Commands on requests: lookup, claim, complete, hand over, release.
//!
//! Every command is idempotent: an owner sends it again until it is answered.

use super::{answer, OwnedRequest, OwnershipTable, RequestState};
use crate::message::wire::{
    Answer, Claim, Complete, KeyedRequest, Lookup, Release, Renew, Verdict,
};
use crate::message::{is_valid_request, CommandKind, Member, MAX_BODY_BYTES};

/// Bounds of the retry delay in the answer when the table is full: the minimum avoids busy retries, the maximum avoids
/// a long wait for capacity that may become free earlier.
const RETRY_MIN_MS: f64 = 100.0;
const RETRY_MAX_MS: f64 = 2000.0;

impl OwnershipTable {
    /// Executes one command of a log entry.
    pub(super) fn execute(&mut self, from: &Member, seq: u64, command: CommandKind) -> Answer {
        match command {
            CommandKind::Join(given_up) => self.join(from, seq, given_up),
            CommandKind::Renew(Renew { epoch, .. }) => self.renew(from, seq, epoch),
            CommandKind::Leave(epoch) => self.leave(from, seq, epoch),
            CommandKind::Lookup(lookup) => self.lookup(seq, &lookup),
            CommandKind::Claim(Claim { epoch, request }) => match request {
                Some(request) if is_valid_request(&request) => {
                    self.claim(from, seq, epoch, request)
                }
                _ => answer(seq, Verdict::DigestMismatch),
            },
            CommandKind::Complete(complete) => self.complete(seq, complete),
            CommandKind::HandOver(request) if is_valid_request(&request) => {
                self.hand_over(seq, request)
            }
            CommandKind::HandOver(_) => answer(seq, Verdict::DigestMismatch),
            CommandKind::Release(release) => self.release(seq, &release),
        }
    }

    /// The current state of a key. Only a hint, except for outcomes, which never change.
    pub fn lookup(&self, seq: u64, lookup: &Lookup) -> Answer {
        self.answer_if_taken(seq, &lookup.key, lookup.body_digest)
            .or_else(|| self.answer_if_blocked(seq))
            .unwrap_or_else(|| answer(seq, Verdict::NotFound))
    }

    /// The answer to a command for a key that can't be claimed; `None` if it can.
    fn answer_if_taken(&self, seq: u64, key: &[u8], body_digest: u64) -> Option<Answer> {
        let owned = self.requests.get(key)?;
        if owned.request.body_digest != body_digest {
            return Some(answer(seq, Verdict::DigestMismatch));
        }
        match &owned.state {
            RequestState::Ownerless | RequestState::HandedOver => None,
            RequestState::Started => Some(answer(seq, Verdict::InProgress)),
            RequestState::Completed(result) => Some(Answer {
                result: result.clone(),
                ..answer(seq, Verdict::Completed)
            }),
            RequestState::Failed => Some(answer(seq, Verdict::Failed)),
            RequestState::OutcomeUnknown => Some(Answer {
                ms: (owned.expires_at_ms - self.now_ms).max(0.0),
                ..answer(seq, Verdict::OutcomeUnknown)
            }),
        }
    }

    /// The answer while claims are blocked because an earlier group may have been lost.
    fn answer_if_blocked(&self, seq: u64) -> Option<Answer> {
        let blocked_ms = self.claims_blocked_ms();
        (blocked_ms > 0.0).then(|| Answer {
            ms: blocked_ms,
            ..answer(seq, Verdict::RetryLater)
        })
    }

    /// Grants a request to an owner, with a fencing token higher than all earlier ones.
    fn claim(&mut self, from: &Member, seq: u64, epoch: u64, request: KeyedRequest) -> Answer {
        if !self.is_held_by(epoch, from) {
            return answer(seq, Verdict::EpochEnded);
        }
        if let Some(fence) = self.fence_of_same_claim(epoch, &request) {
            return granted(seq, fence);
        }
        let rejection = self
            .answer_if_taken(seq, &request.key, request.body_digest)
            .or_else(|| self.answer_if_blocked(seq));
        if let Some(rejection) = rejection {
            return rejection;
        }
        let previous = self.requests.get(&request.key);
        let (deadline_ms, expires_at_ms) =
            previous.map_or((0.0, 0.0), |owned| (owned.deadline_ms, owned.expires_at_ms));
        let is_new = previous.is_none();
        let key = request.key.clone();
        let owned = OwnedRequest {
            epoch,
            fence: self.last_fence + 1,
            state: RequestState::Started,
            deadline_ms: deadline_ms.max(self.now_ms + request.deadline_ms),
            expires_at_ms: expires_at_ms.max(self.now_ms + request.retry_window_ms),
            request,
        };
        // A request that is already in the table already counts against the capacity.
        if is_new && !self.has_capacity_for(&owned) {
            return self.answer_full(seq);
        }
        self.last_fence += 1;
        self.replace_request(&key, Some(owned));
        granted(seq, self.last_fence)
    }

    /// The token that the same claim was granted before, if its answer was lost or the command was duplicated.
    fn fence_of_same_claim(&self, epoch: u64, request: &KeyedRequest) -> Option<u64> {
        let owned = self.requests.get(&request.key)?;
        let is_same = owned.state == RequestState::Started
            && owned.epoch == epoch
            && owned.request.execution_id == request.execution_id;
        is_same.then_some(owned.fence)
    }

    fn has_capacity_for(&self, owned: &OwnedRequest) -> bool {
        self.requests.len() < self.settings.max_requests
            && self.size_bytes + owned.size_bytes() <= self.settings.max_bytes
    }

    fn answer_full(&self, seq: u64) -> Answer {
        let next_expiry_ms = self.expiries.first().map_or(0.0, |(expires_at, _)| {
            f64::from_bits(*expires_at) - self.now_ms
        });
        Answer {
            ms: next_expiry_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS),
            ..answer(seq, Verdict::RetryLater)
        }
    }

    /// Records an outcome, also from an owner whose epoch has ended: as long as its token is the latest, no other owner
    /// has claimed the request, so there is no other outcome, and `OutcomeUnknown` is resolved.
    fn complete(&mut self, seq: u64, complete: Complete) -> Answer {
        let Complete { key, fence, result } = complete;
        let Some(owned) = self.requests.get(&key) else {
            return answer(seq, Verdict::Recorded);
        };
        if owned.fence != fence {
            return answer(seq, Verdict::Fenced);
        }
        if matches!(
            owned.state,
            RequestState::Completed(_) | RequestState::Failed
        ) {
            return answer(seq, Verdict::Recorded);
        }
        let mut owned = owned.clone();
        let freed_bytes = std::mem::take(&mut owned.request.body).len();
        let used_bytes = self.size_bytes - freed_bytes;
        let free_bytes = self.settings.max_bytes.saturating_sub(used_bytes);
        owned.state = match result {
            Some(result) if result.len() <= MAX_BODY_BYTES.min(free_bytes) => {
                RequestState::Completed(result)
            }
            // A result that exceeds the capacity is dropped. The end of the request is recorded, so it does not run
            // again.
            _ => RequestState::Failed,
        };
        self.replace_request(&key, Some(owned));
        answer(seq, Verdict::Recorded)
    }

    /// Stores a request that its owner never started, so that any owner may claim it.
    fn hand_over(&mut self, seq: u64, request: KeyedRequest) -> Answer {
        if let Some(taken) = self.answer_if_taken(seq, &request.key, request.body_digest) {
            return taken;
        }
        if self.requests.contains_key(&request.key) {
            return answer(seq, Verdict::Recorded);
        }
        let key = request.key.clone();
        let owned = OwnedRequest {
            epoch: 0,
            fence: 0,
            state: RequestState::HandedOver,
            deadline_ms: self.now_ms + request.deadline_ms,
            expires_at_ms: self.now_ms + request.retry_window_ms,
            request,
        };
        if !self.has_capacity_for(&owned) {
            return self.answer_full(seq);
        }
        self.replace_request(&key, Some(owned));
        answer(seq, Verdict::Recorded)
    }

    /// Removes a claim whose request was never started. The token proves that no other owner has claimed it since.
    fn release(&mut self, seq: u64, release: &Release) -> Answer {
        let is_unstarted_claim = self.requests.get(&release.key).is_some_and(|owned| {
            owned.fence == release.fence
                && matches!(owned.state, RequestState::Started | RequestState::Ownerless)
        });
        if is_unstarted_claim {
            self.replace_request(&release.key, None);
        }
        answer(seq, Verdict::Recorded)
    }
}

fn granted(seq: u64, fence: u64) -> Answer {
    Answer {
        number: fence,
        ..answer(seq, Verdict::Granted)
    }
}
