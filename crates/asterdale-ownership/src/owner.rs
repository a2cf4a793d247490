//! One owner's part: its epoch and its lease, what it wants of the keepers, and what it hears. It asks the keeper that
//! it believes to lead, again and again until it has an answer; all that it asks can be asked twice.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use asterdale_membership::authentication::MessageAuthenticator;

use crate::message::wire::{
    Answer, Answers, Asked, Claim, Drop as Dropped, End, Look, Order, Renew, Verdict,
};
use crate::message::{self, place, Member, Ordered, What, Work};
use crate::terms::Terms;
use crate::{Action, Told};

/// Orders in one letter.
const MOST_ORDERS: usize = 512;
/// Renewals whose answers may still come.
const RENEWALS: usize = 32;

/// What an owner wants of the keepers.
#[derive(Clone, Debug, PartialEq)]
pub enum Want {
    /// What is known of this key, with this sign of its body?
    Look(Vec<u8>, u64),
    /// It is about to start this.
    Claim(Work),
    /// What it claimed by this fence has ended, with a result or without.
    End(Vec<u8>, u64, Option<Vec<u8>>),
    /// It holds this and won't start it.
    Pass(Work),
}

#[derive(Clone, Debug)]
struct Pending {
    /// By what the program knows it; `None` once it does not care.
    number: Option<u64>,
    want: Want,
    sent_at: f64,
    /// The epoch that it was sent by.
    epoch: Option<u64>,
}

/// One owner's part.
#[derive(Clone, Debug)]
pub struct Owner {
    me: Member,
    keepers: Vec<SocketAddr>,
    /// Which it asks.
    target: usize,
    terms: Terms,
    seal: MessageAuthenticator,
    seq: u64,
    epoch: Option<u64>,
    /// The last that it had.
    given_up: u64,
    /// It acts by its lease until then, by its own clock.
    lease_until: f64,
    lapsed: bool,
    /// When each renewal, or wish to join, was sent, and of which epoch.
    renewals: BTreeMap<u64, (f64, Option<u64>)>,
    renew_at: f64,
    pending: BTreeMap<u64, Pending>,
    /// Claims that were kept and never started, to be dropped: key and fence.
    drops: BTreeMap<u64, (Vec<u8>, u64, f64)>,
    room: u32,
    answered_at: f64,
    leaving: bool,
    out: Vec<Action>,
}

impl Owner {
    /// An owner that starts now.
    pub fn new(
        now: f64,
        me: Member,
        keepers: Vec<SocketAddr>,
        terms: Terms,
        seal: MessageAuthenticator,
    ) -> Owner {
        Owner {
            me,
            keepers,
            target: 0,
            terms,
            seal,
            seq: 0,
            epoch: None,
            given_up: 0,
            lease_until: f64::NEG_INFINITY,
            lapsed: true,
            renewals: BTreeMap::new(),
            renew_at: now,
            pending: BTreeMap::new(),
            drops: BTreeMap::new(),
            room: 0,
            answered_at: now,
            leaving: false,
            out: Vec::new(),
        }
    }

    /// Until when it may start what it has claimed, and make calls for it, by its own clock.
    pub fn lease_until(&self) -> f64 {
        if self.epoch.is_some() {
            self.lease_until
        } else {
            f64::NEG_INFINITY
        }
    }

    /// Its epoch, while it has one.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Orders that have no answer yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// When it wants to be woken.
    pub fn next(&self) -> f64 {
        let again = self.terms.again_ms();
        let pending = self
            .pending
            .values()
            .filter(|pending| self.can_go(&pending.want));
        let pending = pending.map(|pending| pending.sent_at + again);
        let drops = self.drops.values().map(|(.., sent_at)| sent_at + again);
        let lapse = match (self.lapsed, self.epoch) {
            (false, _) => self.lease_until,
            (true, Some(_)) => self.lease_until + self.terms.lease_ms,
            (true, None) => f64::INFINITY,
        };
        pending
            .chain(drops)
            .fold(self.renew_at.min(lapse), f64::min)
    }

    /// Orphans that it would take now.
    pub fn room(&mut self, room: u32) {
        self.room = room;
    }

    /// The program wants this, and knows it by this number. It goes out with [`Owner::flush`].
    pub fn want(&mut self, number: u64, want: Want) {
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
    pub fn forget(&mut self, number: u64) {
        self.pending.retain(|_, pending| {
            if pending.number == Some(number) {
                pending.number = None;
            }
            pending.number.is_some() || !matches!(pending.want, Want::Look(..))
        });
    }

    /// What it claimed by this fence was never started.
    pub fn drop_claim(&mut self, key: Vec<u8>, fence: u64) {
        self.seq += 1;
        self.drops.insert(self.seq, (key, fence, f64::NEG_INFINITY));
    }

    /// It leaves: what it may still have started is orphaned now, not when its lease ends.
    pub fn leave(&mut self, now: f64) -> Vec<Action> {
        self.leaving = true;
        if let Some(epoch) = self.epoch.take() {
            self.seq += 1;
            let order = Order {
                seq: self.seq,
                what: Some(Ordered::Leave(epoch)),
            };
            self.send(vec![order]);
        }
        self.done(now)
    }

    /// It is time.
    pub fn wake(&mut self, now: f64) -> Vec<Action> {
        if now >= self.lease_until && !self.lapsed {
            self.lapsed = true;
            self.out
                .push(Action::Tell(Told::Lapsed(self.epoch.unwrap_or(0))));
        }
        // It can't hear, but perhaps it is heard: its renewals would keep what it can't do from those who can.
        if self.lapsed && now >= self.lease_until + self.terms.lease_ms {
            self.over();
        }
        if now >= self.renew_at && !self.leaving {
            self.renew_at = now + self.terms.renew_ms();
            self.seq += 1;
            let what = match self.epoch {
                Some(epoch) => Ordered::Renew(Renew {
                    epoch,
                    room: self.room,
                }),
                None => Ordered::Join(self.given_up),
            };
            while self.renewals.len() >= RENEWALS {
                self.renewals.pop_first();
            }
            self.renewals.insert(self.seq, (now, self.epoch));
            // Whoever does not answer for so long does not lead, or can't be reached.
            if now - self.answered_at > 1.5 * self.terms.renew_ms() {
                self.target = (self.target + 1) % self.keepers.len().max(1);
                self.unsend();
            }
            self.send(vec![Order {
                seq: self.seq,
                what: Some(what),
            }]);
        }
        self.done(now)
    }

    /// Answers have come.
    pub fn answers(&mut self, now: f64, answers: Answers) -> Vec<Action> {
        if answers.to != self.me.node {
            return Vec::new();
        }
        let leader = answers.leader.as_ref().and_then(place);
        for answer in answers.answers {
            let verdict = answer.verdict();
            if verdict == Verdict::Elsewhere {
                self.elsewhere(now, leader);
                continue;
            }
            self.answered_at = now;
            if let Some(sent) = self.renewals.remove(&answer.seq) {
                self.renewed(now, sent, answer);
            } else if let Some(pending) = self.pending.remove(&answer.seq) {
                if verdict == Verdict::Over && pending.epoch != self.epoch && self.epoch.is_some() {
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
                self.drops.remove(&answer.seq);
            }
        }
        std::mem::take(&mut self.out)
    }

    fn elsewhere(&mut self, now: f64, leader: Option<SocketAddr>) {
        let known = leader.and_then(|leader| self.keepers.iter().position(|at| *at == leader));
        if let Some(target) = known.filter(|target| *target != self.target) {
            (self.target, self.answered_at) = (target, now);
            self.unsend();
            // Its wish to join or renew goes to the right one now.
            self.renew_at = f64::NEG_INFINITY;
        } else if known.is_none() {
            self.target = (self.target + 1) % self.keepers.len().max(1);
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
                if answer.number > self.given_up.max(self.epoch.map_or(0, |epoch| epoch - 1)) =>
            {
                if self.epoch != Some(answer.number) {
                    self.epoch = Some(answer.number);
                    self.out.push(Action::Tell(Told::Epoch(answer.number)));
                }
            }
            Verdict::Renewed if self.epoch.is_some() && of == self.epoch => {
                if !answer.offers.is_empty() {
                    self.out.push(Action::Offered(answer.offers));
                }
            }
            Verdict::Over if of == self.epoch => return self.over(),
            _ => return,
        }
        // From when it was sent: the keepers count from when they wrote it, which is later.
        self.lease_until = self
            .lease_until
            .max(sent + self.terms.lease_ms - self.terms.margin_ms);
        if self.lapsed && now < self.lease_until {
            self.lapsed = false;
            self.out
                .push(Action::Tell(Told::Renewed(self.epoch.unwrap_or(0))));
        }
    }

    /// Its epoch is over: it asks for another. What it claimed by the old one may be somebody else's; its outcomes are
    /// still told, by their fences.
    fn over(&mut self) {
        if let Some(epoch) = self.epoch.take() {
            self.given_up = epoch;
            (self.lease_until, self.lapsed, self.renew_at) =
                (f64::NEG_INFINITY, true, f64::NEG_INFINITY);
            self.out.push(Action::Tell(Told::Over(epoch)));
        }
    }

    fn settled(&mut self, pending: Pending, answer: Answer) {
        let Pending { number, want, .. } = pending;
        let verdict = answer.verdict();
        if let (None, Want::Claim(work), Verdict::Yours) = (number, &want, verdict) {
            self.seq += 1;
            self.drops.insert(
                self.seq,
                (work.key.clone(), answer.number, f64::NEG_INFINITY),
            );
            return;
        }
        if verdict == Verdict::Over {
            self.over();
        }
        if let Some(number) = number {
            self.out.push(Action::Verdict(number, answer));
        }
    }

    /// Claims wait until there is an epoch to claim by.
    fn can_go(&self, want: &Want) -> bool {
        self.epoch.is_some() || !matches!(want, Want::Claim(_))
    }

    fn send(&mut self, orders: Vec<Order>) {
        if let Some(&to) = self.keepers.get(self.target) {
            let letter = message::encode(&self.seal, &self.me, What::Asked(Asked { orders }));
            self.out.push(Action::Send(to, letter));
        }
    }

    fn done(&mut self, now: f64) -> Vec<Action> {
        let before = now - self.terms.again_ms();
        let mut orders = Vec::new();
        let epoch = self.epoch;
        for (&seq, pending) in &mut self.pending {
            if pending.sent_at > before || orders.len() >= MOST_ORDERS {
                continue;
            }
            let what = match (&pending.want, epoch) {
                (Want::Claim(_), None) => continue,
                (Want::Claim(work), Some(epoch)) => Ordered::Claim(Claim {
                    epoch,
                    work: Some(work.clone()),
                }),
                (Want::Look(key, sign), _) => Ordered::Look(Look {
                    key: key.clone(),
                    sign: *sign,
                }),
                (Want::End(key, fence, result), _) => Ordered::End(End {
                    key: key.clone(),
                    fence: *fence,
                    result: result.clone(),
                }),
                (Want::Pass(work), _) => Ordered::Pass(work.clone()),
            };
            (pending.sent_at, pending.epoch) = (now, epoch);
            orders.push(Order {
                seq,
                what: Some(what),
            });
        }
        for (&seq, (key, fence, sent_at)) in &mut self.drops {
            if *sent_at <= before && orders.len() < MOST_ORDERS {
                *sent_at = now;
                let what = Ordered::Drop(Dropped {
                    key: key.clone(),
                    fence: *fence,
                });
                orders.push(Order {
                    seq,
                    what: Some(what),
                });
            }
        }
        if !orders.is_empty() {
            self.send(orders);
        }
        std::mem::take(&mut self.out)
    }
}
