//! One owner's part: its epoch and its lease, what it wants of the keepers, and what it hears. It asks the keeper that
//! it believes to lead, again and again until it has an answer; all that it asks can be asked twice.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use asterdale_membership::authentication::MessageAuthenticator;

use crate::message::wire::{
    Answer, Answers, Claim, Command, CommandBatch, Complete, Lookup, Release as Dropped, Renew,
    Verdict,
};
use crate::message::{self, socket_addr, CommandKind, KeyedRequest, Member, MessageBody};
use crate::settings::OwnershipSettings;
use crate::{Action, OwnershipEvent};

/// Orders in one letter.
const MOST_ORDERS: usize = 512;
/// Renewals whose answers may still come.
const RENEWALS: usize = 32;

/// What an owner wants of the keepers.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipRequest {
    /// What is known of this key, with this sign of its body?
    Lookup(Vec<u8>, u64),
    /// It is about to start this.
    Claim(KeyedRequest),
    /// What it claimed by this fence has ended, with a result or without.
    Complete(Vec<u8>, u64, Option<Vec<u8>>),
    /// It holds this and won't start it.
    HandOver(KeyedRequest),
}

#[derive(Clone, Debug)]
struct Pending {
    /// By what the program knows it; `None` once it does not care.
    number: Option<u64>,
    want: OwnershipRequest,
    sent_at: f64,
    /// The epoch that it was sent by.
    epoch: Option<u64>,
}

/// One owner's part.
#[derive(Clone, Debug)]
pub struct Owner {
    member: Member,
    replicas: Vec<SocketAddr>,
    /// Which it asks.
    target: usize,
    settings: OwnershipSettings,
    authenticator: MessageAuthenticator,
    seq: u64,
    epoch: Option<u64>,
    /// The last that it had.
    last_ended_epoch: u64,
    /// It acts by its lease until then, by its own clock.
    lease_until_ms: f64,
    lease_lapsed: bool,
    /// When each renewal, or wish to join, was sent, and of which epoch.
    renewals: BTreeMap<u64, (f64, Option<u64>)>,
    next_renewal_at_ms: f64,
    pending: BTreeMap<u64, Pending>,
    /// Claims that were kept and never started, to be dropped: key and fence.
    releases: BTreeMap<u64, (Vec<u8>, u64, f64)>,
    capacity: u32,
    last_answer_at_ms: f64,
    shutting_down: bool,
    actions: Vec<Action>,
}

impl Owner {
    /// An owner that starts now.
    pub fn new(
        now: f64,
        me: Member,
        keepers: Vec<SocketAddr>,
        terms: OwnershipSettings,
        authenticator: MessageAuthenticator,
    ) -> Owner {
        Owner {
            member: me,
            replicas: keepers,
            target: 0,
            settings: terms,
            authenticator,
            seq: 0,
            epoch: None,
            last_ended_epoch: 0,
            lease_until_ms: f64::NEG_INFINITY,
            lease_lapsed: true,
            renewals: BTreeMap::new(),
            next_renewal_at_ms: now,
            pending: BTreeMap::new(),
            releases: BTreeMap::new(),
            capacity: 0,
            last_answer_at_ms: now,
            shutting_down: false,
            actions: Vec::new(),
        }
    }

    /// Until when it may start what it has claimed, and make calls for it, by its own clock.
    pub fn lease_until_ms(&self) -> f64 {
        if self.epoch.is_some() {
            self.lease_until_ms
        } else {
            f64::NEG_INFINITY
        }
    }

    /// Its epoch, while it has one.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Orders that have no answer yet.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// When it wants to be woken.
    pub fn next_wake_ms(&self) -> f64 {
        let again = self.settings.retry_interval_ms();
        let pending = self
            .pending
            .values()
            .filter(|pending| self.can_go(&pending.want));
        let pending = pending.map(|pending| pending.sent_at + again);
        let drops = self.releases.values().map(|(.., sent_at)| sent_at + again);
        let lapse = match (self.lease_lapsed, self.epoch) {
            (false, _) => self.lease_until_ms,
            (true, Some(_)) => self.lease_until_ms + self.settings.lease_ms,
            (true, None) => f64::INFINITY,
        };
        pending
            .chain(drops)
            .fold(self.next_renewal_at_ms.min(lapse), f64::min)
    }

    /// Orphans that it would take now.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// The program wants this, and knows it by this number. It goes out with [`Owner::flush`].
    pub fn submit(&mut self, number: u64, want: OwnershipRequest) {
        self.seq += 1;
        let pending = Pending {
            number: Some(number),
            want,
            sent_at: f64::NEG_INFINITY,
            epoch: None,
        };
        self.pending.insert(self.seq, pending);
    }

    /// What was wanted since the last time goes out together.
    pub fn flush(&mut self, now: f64) -> Vec<Action> {
        self.done(now)
    }

    /// The program does not wait any more for this. A claim of it that is kept all the same is dropped; what must be
    /// kept is told until it is.
    pub fn stop_waiting(&mut self, number: u64) {
        self.pending.retain(|_, pending| {
            if pending.number == Some(number) {
                pending.number = None;
            }
            pending.number.is_some() || !matches!(pending.want, OwnershipRequest::Lookup(..))
        });
    }

    /// What it claimed by this fence was never started.
    pub fn release_claim(&mut self, key: Vec<u8>, fence: u64) {
        self.seq += 1;
        self.releases
            .insert(self.seq, (key, fence, f64::NEG_INFINITY));
    }

    /// It leaves: what it may still have started is orphaned now, not when its lease ends.
    pub fn shut_down(&mut self, now: f64) -> Vec<Action> {
        self.shutting_down = true;
        if let Some(epoch) = self.epoch.take() {
            self.seq += 1;
            let command = Command {
                seq: self.seq,
                kind: Some(CommandKind::Leave(epoch)),
            };
            self.send(vec![command]);
        }
        self.done(now)
    }

    /// It is time.
    pub fn wake(&mut self, now: f64) -> Vec<Action> {
        if now >= self.lease_until_ms && !self.lease_lapsed {
            self.lease_lapsed = true;
            self.actions
                .push(Action::Report(OwnershipEvent::LeaseLapsed(
                    self.epoch.unwrap_or(0),
                )));
        }
        // It can't hear, but perhaps it is heard: its renewals would keep what it can't do from those who can.
        if self.lease_lapsed && now >= self.lease_until_ms + self.settings.lease_ms {
            self.over();
        }
        if now >= self.next_renewal_at_ms && !self.shutting_down {
            self.next_renewal_at_ms = now + self.settings.renewal_interval_ms();
            self.seq += 1;
            let what = match self.epoch {
                Some(epoch) => CommandKind::Renew(Renew {
                    epoch,
                    capacity: self.capacity,
                }),
                None => CommandKind::Join(self.last_ended_epoch),
            };
            while self.renewals.len() >= RENEWALS {
                self.renewals.pop_first();
            }
            self.renewals.insert(self.seq, (now, self.epoch));
            // Whoever does not answer for so long does not lead, or can't be reached.
            if now - self.last_answer_at_ms > 1.5 * self.settings.renewal_interval_ms() {
                self.target = (self.target + 1) % self.replicas.len().max(1);
                self.unsend();
            }
            self.send(vec![Command {
                seq: self.seq,
                kind: Some(what),
            }]);
        }
        self.done(now)
    }

    /// Answers have come.
    pub fn receive(&mut self, now: f64, answers: Answers) -> Vec<Action> {
        if answers.to != self.member.node {
            return Vec::new();
        }
        let leader = answers.leader.as_ref().and_then(socket_addr);
        for answer in answers.answers {
            let verdict = answer.verdict();
            if verdict == Verdict::NotLeader {
                self.elsewhere(now, leader);
                continue;
            }
            self.last_answer_at_ms = now;
            if let Some(sent) = self.renewals.remove(&answer.seq) {
                self.renewed(now, sent, answer);
            } else if let Some(pending) = self.pending.remove(&answer.seq) {
                if verdict == Verdict::EpochEnded
                    && pending.epoch != self.epoch
                    && self.epoch.is_some()
                {
                    // It was over by then; the claim goes out by the one that it has now.
                    self.pending.insert(
                        answer.seq,
                        Pending {
                            sent_at: f64::NEG_INFINITY,
                            ..pending
                        },
                    );
                    continue;
                }
                self.settled(pending, answer);
            } else {
                self.releases.remove(&answer.seq);
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn elsewhere(&mut self, now: f64, leader: Option<SocketAddr>) {
        let known = leader.and_then(|leader| self.replicas.iter().position(|at| *at == leader));
        if let Some(target) = known.filter(|target| *target != self.target) {
            (self.target, self.last_answer_at_ms) = (target, now);
            self.unsend();
            // Its wish to join or renew goes to the right one now.
            self.next_renewal_at_ms = f64::NEG_INFINITY;
        } else if known.is_none() {
            self.target = (self.target + 1) % self.replicas.len().max(1);
        }
    }

    fn unsend(&mut self) {
        self.pending
            .values_mut()
            .for_each(|pending| pending.sent_at = f64::NEG_INFINITY);
    }

    /// An answer may come late, when its epoch is no longer the one that it has.
    fn renewed(&mut self, now: f64, (sent, of): (f64, Option<u64>), answer: Answer) {
        match answer.verdict() {
            Verdict::Joined
                if answer.number
                    > self
                        .last_ended_epoch
                        .max(self.epoch.map_or(0, |epoch| epoch - 1)) =>
            {
                if self.epoch != Some(answer.number) {
                    self.epoch = Some(answer.number);
                    self.actions
                        .push(Action::Report(OwnershipEvent::EpochGranted(answer.number)));
                }
            }
            Verdict::Renewed if self.epoch.is_some() && of == self.epoch => {
                if !answer.offers.is_empty() {
                    self.actions.push(Action::OfferOwnerless(answer.offers));
                }
            }
            Verdict::EpochEnded if of == self.epoch => return self.over(),
            _ => return,
        }
        // From when it was sent: the keepers count from when they wrote it, which is later.
        self.lease_until_ms = self
            .lease_until_ms
            .max(sent + self.settings.lease_ms - self.settings.lease_margin_ms);
        if self.lease_lapsed && now < self.lease_until_ms {
            self.lease_lapsed = false;
            self.actions
                .push(Action::Report(OwnershipEvent::LeaseRestored(
                    self.epoch.unwrap_or(0),
                )));
        }
    }

    /// Its epoch is over: it asks for another. What it claimed by the old one may be somebody else's; its outcomes are
    /// still told, by their fences.
    fn over(&mut self) {
        if let Some(epoch) = self.epoch.take() {
            self.last_ended_epoch = epoch;
            (
                self.lease_until_ms,
                self.lease_lapsed,
                self.next_renewal_at_ms,
            ) = (f64::NEG_INFINITY, true, f64::NEG_INFINITY);
            self.actions
                .push(Action::Report(OwnershipEvent::EpochEnded(epoch)));
        }
    }

    fn settled(&mut self, pending: Pending, answer: Answer) {
        let Pending { number, want, .. } = pending;
        let verdict = answer.verdict();
        if let (None, OwnershipRequest::Claim(work), Verdict::Granted) = (number, &want, verdict) {
            self.seq += 1;
            self.releases.insert(
                self.seq,
                (work.key.clone(), answer.number, f64::NEG_INFINITY),
            );
            return;
        }
        if verdict == Verdict::EpochEnded {
            self.over();
        }
        if let Some(number) = number {
            self.actions.push(Action::Answer(number, answer));
        }
    }

    /// Claims wait until there is an epoch to claim by.
    fn can_go(&self, want: &OwnershipRequest) -> bool {
        self.epoch.is_some() || !matches!(want, OwnershipRequest::Claim(_))
    }

    fn send(&mut self, commands: Vec<Command>) {
        if let Some(&to) = self.replicas.get(self.target) {
            let letter = message::encode(
                &self.authenticator,
                &self.member,
                MessageBody::Commands(CommandBatch { commands }),
            );
            self.actions.push(Action::Send(to, letter));
        }
    }

    fn done(&mut self, now: f64) -> Vec<Action> {
        let before = now - self.settings.retry_interval_ms();
        let mut commands = Vec::new();
        let epoch = self.epoch;
        for (&seq, pending) in &mut self.pending {
            if pending.sent_at > before || commands.len() >= MOST_ORDERS {
                continue;
            }
            let what = match (&pending.want, epoch) {
                (OwnershipRequest::Claim(_), None) => continue,
                (OwnershipRequest::Claim(work), Some(epoch)) => CommandKind::Claim(Claim {
                    epoch,
                    request: Some(work.clone()),
                }),
                (OwnershipRequest::Lookup(key, sign), _) => CommandKind::Lookup(Lookup {
                    key: key.clone(),
                    body_digest: *sign,
                }),
                (OwnershipRequest::Complete(key, fence, result), _) => {
                    CommandKind::Complete(Complete {
                        key: key.clone(),
                        fence: *fence,
                        result: result.clone(),
                    })
                }
                (OwnershipRequest::HandOver(work), _) => CommandKind::HandOver(work.clone()),
            };
            (pending.sent_at, pending.epoch) = (now, epoch);
            commands.push(Command {
                seq,
                kind: Some(what),
            });
        }
        for (&seq, (key, fence, sent_at)) in &mut self.releases {
            if *sent_at <= before && commands.len() < MOST_ORDERS {
                *sent_at = now;
                let what = CommandKind::Release(Dropped {
                    key: key.clone(),
                    fence: *fence,
                });
                commands.push(Command {
                    seq,
                    kind: Some(what),
                });
            }
        }
        if !commands.is_empty() {
            self.send(commands);
        }
        std::mem::take(&mut self.actions)
    }
}
