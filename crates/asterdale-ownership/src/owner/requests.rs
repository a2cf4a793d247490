//! Requests of the owner: sent in batches, repeated until they are answered.

use super::{Owner, OwnershipRequest};
use crate::message::wire::{Answer, Claim, Command, Complete, Lookup, Release, Verdict};
use crate::message::CommandKind;
use crate::Action;

/// Maximum commands in one message: about 1 MiB with the longest bodies of the platform (2 KiB).
const MAX_COMMANDS_PER_MESSAGE: usize = 512;

/// Value of `sent_at_ms` that makes the next flush send the command.
const UNSENT: f64 = f64::NEG_INFINITY;

/// An unanswered request.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    /// The caller's number for it; `None` once the caller has stopped waiting.
    number: Option<u64>,
    request: OwnershipRequest,
    sent_at_ms: f64,
    /// The epoch under which it was last sent.
    epoch: Option<u64>,
}

/// An unanswered release of a claim.
#[derive(Clone, Debug)]
pub(super) struct PendingRelease {
    key: Vec<u8>,
    fence: u64,
    sent_at_ms: f64,
}

impl Owner {
    /// Queues a request, which the caller identifies by this number. [`Owner::flush`] sends it.
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

    /// Notes that the caller no longer waits for this request. A lookup is dropped. All other requests are repeated
    /// until they are answered; if a claim is then granted, it is released.
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

    /// Sends all requests submitted since the last flush, and repeats those unanswered for a retry interval.
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

    /// The times at which unanswered commands are sent again.
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

    /// Makes the next flush send all unanswered requests again, as the target replica has changed.
    pub(super) fn resend_pending(&mut self) {
        for pending in self.pending.values_mut() {
            pending.sent_at_ms = UNSENT;
        }
    }

    pub(super) fn handle_request_answer(&mut self, mut pending: PendingRequest, answer: Answer) {
        let is_epoch_ended = answer.verdict() == Verdict::EpochEnded;
        if is_epoch_ended && self.epoch.is_some() && pending.epoch != self.epoch {
            // The answer is about an earlier epoch: the claim is sent again under the current one.
            pending.sent_at_ms = UNSENT;
            self.pending.insert(answer.seq, pending);
            return;
        }
        let Some(number) = pending.number else {
            return self.handle_late_answer(pending, &answer);
        };
        if is_epoch_ended {
            self.end_epoch();
        }
        self.actions.push(Action::Answer(number, answer));
    }

    /// Handles the answer to a request whose caller has stopped waiting.
    fn handle_late_answer(&mut self, pending: PendingRequest, answer: &Answer) {
        match (pending.request, answer.verdict()) {
            (OwnershipRequest::Claim(request), Verdict::Granted) => {
                self.release_claim(request.key, answer.number);
            }
            (_, Verdict::EpochEnded) => self.end_epoch(),
            _ => {}
        }
    }
}

/// The command for a request; `None` for a claim while there is no epoch to claim it under.
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
