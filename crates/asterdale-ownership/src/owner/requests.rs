//! Requests of the owner: sent together, repeated until they are answered.

use super::{Owner, OwnershipRequest};
use crate::message::wire::{Answer, Claim, Command, Complete, Lookup, Release, Verdict};
use crate::message::CommandKind;
use crate::Action;

/// Commands in one message: about a mebibyte with the longest bodies of the platform (2 KiB).
const MAX_COMMANDS_PER_MESSAGE: usize = 512;

/// The time of sending of what is to be sent at the next opportunity.
const UNSENT: f64 = f64::NEG_INFINITY;

/// A request without an answer.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    /// The caller's number for it; `None` once the caller has stopped waiting.
    number: Option<u64>,
    request: OwnershipRequest,
    sent_at_ms: f64,
    /// The epoch under which it was last sent.
    epoch: Option<u64>,
}

/// A claim to be given up.
#[derive(Clone, Debug)]
pub(super) struct PendingRelease {
    key: Vec<u8>,
    fence: u64,
    sent_at_ms: f64,
}

impl Owner {
    /// Takes a request, which the caller knows by this number. It is sent by [`Owner::flush`].
    pub fn submit(&mut self, number: u64, request: OwnershipRequest) {
        self.seq += 1;
        let pending = PendingRequest {
            number: Some(number),
            request,
            sent_at_ms: UNSENT,
            epoch: None,
        };
        self.pending.insert(self.seq, pending);
    }

    /// The caller no longer waits for this request. A lookup is dropped. All others are repeated until they are
    /// answered; a claim that is granted after all is released.
    pub fn stop_waiting(&mut self, number: u64) {
        self.pending.retain(|_, pending| {
            if pending.number == Some(number) {
                pending.number = None;
            }
            pending.number.is_some() || !matches!(pending.request, OwnershipRequest::Lookup { .. })
        });
    }

    /// Gives up a claim whose request was never started.
    pub fn release_claim(&mut self, key: Vec<u8>, fence: u64) {
        self.seq += 1;
        let release = PendingRelease {
            key,
            fence,
            sent_at_ms: UNSENT,
        };
        self.releases.insert(self.seq, release);
    }

    /// Sends what was submitted since the last time, and repeats what has waited for an answer for too long.
    pub fn flush(&mut self, now_ms: f64) -> Vec<Action> {
        let resend_before_ms = now_ms - self.settings.retry_interval_ms();
        let mut commands = Vec::new();
        self.collect_requests(now_ms, resend_before_ms, &mut commands);
        self.collect_releases(now_ms, resend_before_ms, &mut commands);
        if !commands.is_empty() {
            self.send(commands);
        }
        std::mem::take(&mut self.actions)
    }

    fn collect_requests(&mut self, now_ms: f64, before_ms: f64, commands: &mut Vec<Command>) {
        for (&seq, pending) in &mut self.pending {
            if pending.sent_at_ms > before_ms || commands.len() >= MAX_COMMANDS_PER_MESSAGE {
                continue;
            }
            if let Some(kind) = command_kind(&pending.request, self.epoch) {
                pending.sent_at_ms = now_ms;
                pending.epoch = self.epoch;
                commands.push(Command {
                    seq,
                    kind: Some(kind),
                });
            }
        }
    }

    fn collect_releases(&mut self, now_ms: f64, before_ms: f64, commands: &mut Vec<Command>) {
        for (&seq, release) in &mut self.releases {
            if release.sent_at_ms > before_ms || commands.len() >= MAX_COMMANDS_PER_MESSAGE {
                continue;
            }
            release.sent_at_ms = now_ms;
            let kind = CommandKind::Release(Release {
                key: release.key.clone(),
                fence: release.fence,
            });
            commands.push(Command {
                seq,
                kind: Some(kind),
            });
        }
    }

    /// When what has no answer is to be sent again.
    pub(super) fn retry_times_ms(&self) -> impl Iterator<Item = f64> + '_ {
        let interval_ms = self.settings.retry_interval_ms();
        let can_be_sent = |pending: &&PendingRequest| {
            self.epoch.is_some() || !matches!(pending.request, OwnershipRequest::Claim(_))
        };
        let requests = self.pending.values().filter(can_be_sent);
        let requests = requests.map(|pending| pending.sent_at_ms);
        let releases = self.releases.values().map(|release| release.sent_at_ms);
        requests
            .chain(releases)
            .map(move |sent_at_ms| sent_at_ms + interval_ms)
    }

    /// Has everything without an answer sent again at the next opportunity: another replica is asked now.
    pub(super) fn resend_pending(&mut self) {
        for pending in self.pending.values_mut() {
            pending.sent_at_ms = UNSENT;
        }
    }

    pub(super) fn handle_request_answer(&mut self, mut pending: PendingRequest, answer: Answer) {
        let is_epoch_ended = answer.verdict() == Verdict::EpochEnded;
        if is_epoch_ended && self.epoch.is_some() && pending.epoch != self.epoch {
            // The answer is about an earlier epoch: the claim is sent again under the present one.
            pending.sent_at_ms = UNSENT;
            self.pending.insert(answer.seq, pending);
            return;
        }
        let Some(number) = pending.number else {
            return self.handle_abandoned_answer(pending, &answer);
        };
        if is_epoch_ended {
            self.end_epoch();
        }
        self.actions.push(Action::Answer(number, answer));
    }

    /// Handles an answer for which nobody waits any more.
    fn handle_abandoned_answer(&mut self, pending: PendingRequest, answer: &Answer) {
        match (pending.request, answer.verdict()) {
            (OwnershipRequest::Claim(request), Verdict::Granted) => {
                self.release_claim(request.key, answer.number);
            }
            (_, Verdict::EpochEnded) => self.end_epoch(),
            _ => {}
        }
    }
}

/// The command for a request; `None` for a claim without an epoch to claim under, which waits for one.
fn command_kind(request: &OwnershipRequest, epoch: Option<u64>) -> Option<CommandKind> {
    Some(match request {
        OwnershipRequest::Claim(request) => CommandKind::Claim(Claim {
            epoch: epoch?,
            request: Some(request.clone()),
        }),
        OwnershipRequest::Lookup { key, body_digest } => CommandKind::Lookup(Lookup {
            key: key.clone(),
            body_digest: *body_digest,
        }),
        OwnershipRequest::Complete { key, fence, result } => CommandKind::Complete(Complete {
            key: key.clone(),
            fence: *fence,
            result: result.clone(),
        }),
        OwnershipRequest::HandOver(request) => CommandKind::HandOver(request.clone()),
    })
}
