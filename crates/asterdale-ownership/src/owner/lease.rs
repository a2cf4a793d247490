//! The owner's side of its lease: joining, renewing, and ceasing to act before the lease expires.

use super::Owner;
use crate::message::wire::{Answer, Renew, Verdict};
use crate::message::CommandKind;
use crate::{Action, OwnershipEvent};

/// Maximum number of unanswered joins and renewals that are tracked: those of eight lease durations. The answer to an
/// older one could not extend the lease.
const MAX_RENEWALS: usize = 32;
/// Renewal intervals without any answer after which the owner tries the next replica: one renewal may be lost.
const MAX_UNANSWERED_INTERVALS: f64 = 1.5;

/// A join or renewal that was sent.
#[derive(Clone, Debug)]
pub(super) struct Renewal {
    sent_at_ms: f64,
    /// The epoch at that time; `None` for a join.
    epoch: Option<u64>,
}

impl Owner {
    /// Detects that the lease has lapsed, and gives up the epoch if its lease stays lapsed for another lease duration.
    pub(super) fn check_lease(&mut self, now_ms: f64) {
        if now_ms >= self.lease_until_ms && !self.lease_lapsed {
            self.lease_lapsed = true;
            self.report(OwnershipEvent::LeaseLapsed(self.epoch.unwrap_or(0)));
        }
        // The owner receives no answers, but its renewals may still reach the leader. They would extend the lease
        // there, and so keep other owners from taking over its requests.
        if self.lease_lapsed && now_ms >= self.lease_until_ms + self.settings.lease_ms {
            self.end_epoch();
        }
    }

    /// Sends a renewal of the epoch, or a join if the owner has none.
    pub(super) fn renew(&mut self, now_ms: f64) {
        let interval_ms = self.settings.renewal_interval_ms();
        self.next_renewal_at_ms = now_ms + interval_ms;
        let kind = match self.epoch {
            Some(epoch) => CommandKind::Renew(Renew {
                epoch,
                capacity: self.capacity,
            }),
            None => CommandKind::Join(self.last_ended_epoch),
        };
        let command = self.next_command(kind);
        while self.renewals.len() >= MAX_RENEWALS {
            self.renewals.pop_first();
        }
        let renewal = Renewal {
            sent_at_ms: now_ms,
            epoch: self.epoch,
        };
        self.renewals.insert(command.seq, renewal);
        // A replica that does not answer is not the leader or is unreachable.
        if now_ms - self.last_answer_at_ms > MAX_UNANSWERED_INTERVALS * interval_ms {
            self.try_next_replica();
            self.resend_pending();
        }
        self.send(vec![command]);
    }

    /// Handles the answer to a join or renewal, which may belong to an epoch that has ended in the meantime.
    pub(super) fn handle_renewal_answer(&mut self, now_ms: f64, renewal: Renewal, answer: Answer) {
        match answer.verdict() {
            Verdict::Joined if self.is_current_epoch(answer.number) => {
                if self.epoch != Some(answer.number) {
                    self.epoch = Some(answer.number);
                    self.report(OwnershipEvent::EpochGranted(answer.number));
                }
            }
            Verdict::Renewed if self.epoch.is_some() && renewal.epoch == self.epoch => {
                if !answer.offers.is_empty() {
                    self.actions.push(Action::OfferOwnerless(answer.offers));
                }
            }
            Verdict::EpochEnded if renewal.epoch == self.epoch => return self.end_epoch(),
            _ => return,
        }
        self.extend_lease(now_ms, renewal.sent_at_ms);
    }

    /// Whether a granted epoch is the current one or a later one, and was not given up.
    fn is_current_epoch(&self, epoch: u64) -> bool {
        let previous = self.epoch.map_or(0, |epoch| epoch - 1);
        epoch > self.last_ended_epoch.max(previous)
    }

    /// Extends the lease from the time at which the command was sent. The replicas count from the time at which they
    /// applied it, which is later, so the lease expires at this owner first. The margin covers clock drift, and the
    /// time between a check of the lease and the action that depends on it.
    fn extend_lease(&mut self, now_ms: f64, sent_at_ms: f64) {
        let until_ms = sent_at_ms + self.settings.lease_ms - self.settings.lease_margin_ms;
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        if self.lease_lapsed && now_ms < self.lease_until_ms {
            self.lease_lapsed = false;
            self.report(OwnershipEvent::LeaseRestored(self.epoch.unwrap_or(0)));
        }
    }

    /// Ends the epoch: other owners may have taken over its claims. A new epoch is requested at once. Outcomes of the
    /// old claims are still sent, as the table decides by their fencing tokens whether to record them.
    pub(super) fn end_epoch(&mut self) {
        if let Some(epoch) = self.epoch.take() {
            self.last_ended_epoch = epoch;
            self.lease_until_ms = f64::NEG_INFINITY;
            self.lease_lapsed = true;
            self.next_renewal_at_ms = f64::NEG_INFINITY;
            self.report(OwnershipEvent::EpochEnded(epoch));
        }
    }
}
