//! The state machine: one process's part in the talk of its fleet.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::failpoint::{self, Failpoint};
use crate::health::Health;
use crate::message::{
    self, wire, Ack, Bad, Message, Nack, Ping, What, Whole, MOST_DATAGRAM, MOST_EXCHANGE,
};
use crate::news::News;
use crate::record::{Notes, Record, Status};
use crate::seal::Seal;
use crate::suspicion::Suspicion;
use crate::terms::Terms;
use crate::view::{self, View};

/// A wake that comes so many intervals late was a pause: what was not heard meanwhile says nothing of others.
const PAUSE: f64 = 3.0;
/// Questions for others that are under way; more are passed over, as their answer would come too late.
const MOST_RELAYS: usize = 256;
/// A helper says that it heard nothing after this part of the time that it has.
const NACK: f64 = 0.8;
/// Messages a second that are read: so many, and so many more for each member. A fleet that is well sends a tenth.
const MOST_A_SECOND: (f64, f64) = (400.0, 40.0);
/// How many others hear of a leave directly, at once and once more.
const TOLD_OF_LEAVE: usize = 8;
/// More news than this take longer to ride to all than whole views take to pass: a half that was found
/// again, or everybody restarted. Then views are exchanged although news would explain how they differ.
const MOST_NEWS: usize = 4;
/// Suspects that are asked beside the probe of an interval, so that they can speak before their time is over. After a
/// partition there are as many as half of the fleet, and one probe an interval would reach most of them too late.
const ASKED_SOON: usize = 8;
/// Of a suspicion that was heard of, so many of those who hear it ask the suspect at once, in the mean.
const ASKING: f64 = 8.0;
/// Notes ride as news no more often than once in so many intervals.
const NOTES_EVERY: f64 = 2.0;

/// What a process is told at its start.
#[derive(Clone, Debug)]
pub struct Start {
    /// Its name.
    pub name: String,
    /// Where the others reach it.
    pub at: SocketAddr,
    /// The last generation that it knows of itself; 0 where it remembers none.
    pub generation: u64,
    /// A number that no other process has drawn.
    pub nonce: u64,
    /// Processes that are asked first.
    pub seeds: Vec<SocketAddr>,
    /// The fleet's key.
    pub key: Vec<u8>,
    /// What the fleet agrees on.
    pub terms: Terms,
    /// Chance comes from it.
    pub seed: u64,
}

/// What has become of another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is there, and was not known, or was dead.
    Came,
    /// It is there, and is a new one under a known name.
    Restarted,
    /// It is suspected.
    Suspected,
    /// It refuted that.
    Refuted,
    /// It is dead.
    Died,
    /// It has left.
    Left,
}

/// What the program is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Of the processes that had this one's name others remember this generation as the highest, or none: 0. Told before
    /// [`Event::Joined`].
    Remembered(u64),
    /// This process is a member from now on, in this generation.
    Joined(u64),
    /// What is held of another has changed.
    Changed {
        /// Whom.
        name: String,
        /// Its generation.
        generation: u64,
        /// What.
        what: Change,
        /// By whose word.
        by: String,
    },
    /// The others believe this process dead, and it can't be sure that it was heard by most: whatever it holds is
    /// to be given up before it goes on, by [`Fleet::given_up`].
    Fallen {
        /// By whose word.
        by: String,
    },
    /// It goes on in this generation.
    Renewed(u64),
    /// Another process may live under this name, there; this one is silent until that is known.
    Doubled(SocketAddr),
    /// Another process under this name is the newer one: this one is over.
    Superseded(SocketAddr),
    /// This process stood still for so many milliseconds.
    Paused(f64),
    /// Whether it hears more than half of the fleet.
    Certain(bool),
    /// Another speaks these versions alone, from the least to the most.
    Refused(u32, u32),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this datagram.
    Send(SocketAddr, Vec<u8>),
    /// Connect, send this, and bring what comes back to [`Fleet::exchanged`].
    Exchange(SocketAddr, Vec<u8>),
    /// The program is told.
    Event(Event),
}

/// How a process stands to its fleet.
#[derive(Clone, Debug, PartialEq)]
enum Standing {
    /// It asks the seeds, until then.
    Joining { until: f64, ask_at: f64 },
    /// It is a member.
    In,
    /// It has to give up what it holds; then it takes a generation above this one, and tells this one.
    Fallen {
        floor: u64,
        tell: Option<SocketAddr>,
    },
    /// Another may live under its name.
    Doubled {
        rival: Record,
        until: f64,
        ask_at: f64,
    },
    /// It has said that it leaves, and says so again then.
    Leaving { again: f64, until: f64 },
    /// It takes no part any more.
    Ended,
}

/// A probe under way.
#[derive(Clone, Debug)]
struct Probe {
    seq: u32,
    name: String,
    generation: u64,
    /// Others are asked then; never, once they are.
    ask_at: f64,
    helpers: usize,
    nacks: usize,
    acked: bool,
}

/// A probe made for another.
#[derive(Clone, Debug)]
struct Relay {
    to: SocketAddr,
    seq: u32,
    nack_at: f64,
    until: f64,
    nacked: bool,
}

macro_rules! counts {
    ($($(#[$text:meta])* $name:ident,)*) => {
        /// What it has seen, in numbers.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counts {
            $($(#[$text])* pub $name: u64,)*
        }
        impl Counts {
            /// All, by name.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

counts! {
    /// Messages sent.
    sent,
    /// Their bytes.
    bytes_sent,
    /// Messages heard.
    heard,
    /// Exchanges begun.
    exchanges,
    /// Not made with the fleet's key, or changed.
    foreign,
    /// Too long, or not to be read.
    unreadable,
    /// Of another version.
    versions,
    /// Of an older generation of a process that is known.
    older,
    /// More in a second than are read.
    flooded,
    /// More members than are kept.
    crowded,
    /// Suspicions that began here.
    suspected,
    /// Suspicions, whosever, that were refuted.
    refuted,
    /// Suspicions that ended here in a death.
    died,
    /// Suspicions of this process that it refuted.
    defended,
    /// Times that it had to give up what it held.
    fallen,
    /// Times that it stood still.
    pauses,
}

/// One process's part.
#[derive(Clone, Debug)]
pub struct Fleet {
    terms: Terms,
    seal: Seal,
    me: Record,
    seeds: Vec<SocketAddr>,
    standing: Standing,
    view: View,
    news: News,
    health: Health,
    probe: Option<Probe>,
    /// The rest of this round, last first.
    round: Vec<String>,
    relays: BTreeMap<u32, Relay>,
    /// Suspects that are asked soon, beside the probes.
    doubted: BTreeSet<String>,
    seq: u32,
    random: Pcg64Mcg,
    probe_at: f64,
    exchange_at: f64,
    /// With whom, where that is settled.
    exchange_with: Option<SocketAddr>,
    exchanged_at: f64,
    dead_at: f64,
    sweep_at: f64,
    notes_at: f64,
    notes: Notes,
    /// The highest generation under this name that others remember.
    known: u64,
    /// The same, but for what the program remembered itself.
    remembered: u64,
    /// When a probe was last answered.
    acked_at: f64,
    certain: bool,
    /// Since when; infinite while it is not.
    certain_since: f64,
    /// When it was to be woken.
    due: f64,
    /// Messages that may still be read, and as of when.
    allowed: (f64, f64),
    refused_at: f64,
    out: Vec<Action>,
    /// What it has seen.
    pub counts: Counts,
}

impl Fleet {
    /// A process that starts now. It is no member before [`Event::Joined`].
    pub fn new(now: f64, start: Start) -> Fleet {
        let Start {
            name,
            at,
            generation,
            nonce,
            mut seeds,
            key,
            terms,
            seed,
        } = start;
        seeds.retain(|&seed| seed != at);
        let me = Record {
            name,
            at,
            generation: 0,
            nonce,
            incarnation: 0,
            status: Status::Alive,
            notes: Notes::default(),
            by: String::new(),
        };
        let until = if seeds.is_empty() {
            now
        } else {
            now + terms.join * terms.interval_ms
        };
        let mut fleet = Fleet {
            seal: Seal::new(&key),
            me,
            seeds,
            standing: Standing::Joining { until, ask_at: now },
            view: View::default(),
            news: News::default(),
            health: Health::default(),
            probe: None,
            round: Vec::new(),
            relays: BTreeMap::new(),
            doubted: BTreeSet::new(),
            seq: 0,
            random: Pcg64Mcg::seed_from_u64(seed ^ nonce),
            probe_at: f64::INFINITY,
            exchange_at: f64::INFINITY,
            exchange_with: None,
            exchanged_at: f64::NEG_INFINITY,
            dead_at: f64::INFINITY,
            sweep_at: f64::INFINITY,
            notes_at: now,
            notes: Notes::default(),
            known: generation,
            remembered: 0,
            acked_at: f64::NEG_INFINITY,
            certain: false,
            certain_since: f64::INFINITY,
            due: now,
            allowed: (MOST_A_SECOND.0, now),
            refused_at: f64::NEG_INFINITY,
            out: Vec::new(),
            counts: Counts::default(),
            terms,
        };
        fleet.due = fleet.next();
        fleet
    }

    // ---- What the program asks ----

    /// What it says of itself.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// What it holds of the others.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Of the view, this process in it: two that hold the same hold the same members, in the same generations.
    pub fn hash(&self) -> u64 {
        self.view.hash()
            ^ if self.is_member() {
                view::hash(&self.me)
            } else {
                0
            }
    }

    /// It is a member.
    pub fn is_member(&self) -> bool {
        self.standing == Standing::In
    }

    /// It takes no part any more.
    pub fn is_over(&self) -> bool {
        self.standing == Standing::Ended
    }

    /// How it stands, in a word.
    pub fn standing(&self) -> &'static str {
        match self.standing {
            Standing::Joining { .. } => "joining",
            Standing::In => "in",
            Standing::Fallen { .. } => "fallen",
            Standing::Doubled { .. } => "doubled",
            Standing::Leaving { .. } => "leaving",
            Standing::Ended => "ended",
        }
    }

    /// The part of the fleet, as it was last whole, that counts as there: this process and those it hears of.
    pub fn part(&self) -> f64 {
        (self.view.there() + 1) as f64 / (self.view.roster() + 1) as f64
    }

    /// It hears more than half of the fleet as it was last whole, and has heard so lately. A minority is never
    /// certain; nor is a process that has just stood still.
    pub fn is_certain(&self, now: f64) -> bool {
        let lately = PAUSE * self.terms.interval_ms * self.health.factor() + self.terms.timeout_ms;
        let alone = self.view.roster() == 0;
        self.is_member() && self.part() > 0.5 && (alone || now - self.acked_at <= lately)
    }

    /// It has been certain for as long as the longest suspicion lasts.
    fn has_been_certain(&self, now: f64) -> bool {
        let long = self.terms.most_suspicion_ms(self.view.there() + 1);
        self.is_certain(now) && now - self.certain_since >= long
    }

    /// How old its view is: since a probe of it was last answered; infinite where none ever was, or it stood still.
    pub fn age_ms(&self, now: f64) -> f64 {
        now - self.acked_at
    }

    /// When it wants to be woken.
    pub fn next(&self) -> f64 {
        let standing = match self.standing {
            Standing::Joining { until, ask_at } => until.min(ask_at),
            Standing::Doubled { until, ask_at, .. } => until.min(ask_at),
            Standing::Leaving { again, until } => again.min(until),
            Standing::In => {
                let probe = self
                    .probe
                    .as_ref()
                    .map_or(f64::INFINITY, |probe| probe.ask_at);
                let timers = [
                    self.probe_at,
                    self.exchange_at,
                    self.dead_at,
                    self.sweep_at,
                    probe,
                ]
                .into_iter();
                timers.fold(f64::INFINITY, f64::min)
            }
            Standing::Fallen { .. } | Standing::Ended => f64::INFINITY,
        };
        if self.standing == Standing::Ended {
            return f64::INFINITY;
        }
        let ends = self
            .view
            .suspects()
            .filter_map(|seen| Some(seen.suspicion.as_ref()?.end()));
        let nacks = self.relays.values().map(|relay| {
            if relay.nacked {
                relay.until
            } else {
                relay.nack_at
            }
        });
        ends.chain(nacks).fold(standing, f64::min)
    }

    // ---- What comes in ----

    /// It is time.
    pub fn wake(&mut self, now: f64) -> Vec<Action> {
        self.stir(now);
        self.done(now)
    }

    /// A datagram has come.
    pub fn datagram(&mut self, now: f64, bytes: &[u8]) -> Vec<Action> {
        self.stir(now);
        if self.may_read(now) {
            if let Some((message, from)) = self.decode(now, bytes, MOST_DATAGRAM) {
                self.take(now, &message, from);
            }
        }
        self.done(now)
    }

    /// Another begins an exchange: what goes back, if anything does.
    pub fn exchange(&mut self, now: f64, bytes: &[u8]) -> (Option<Vec<u8>>, Vec<Action>) {
        self.stir(now);
        let mut back = None;
        if self.may_read(now) && self.standing != Standing::Ended {
            if let Some((message, from)) = self.decode(now, bytes, MOST_EXCHANGE) {
                if matches!(message.what, Some(What::Whole(Whole { reply: false }))) {
                    self.take(now, &message, from);
                    back = Some(self.whole(true));
                }
            }
        }
        (back, self.done(now))
    }

    /// What came back of an exchange.
    pub fn exchanged(&mut self, now: f64, bytes: &[u8]) -> Vec<Action> {
        self.stir(now);
        if let Some((message, from)) = self.decode(now, bytes, MOST_EXCHANGE) {
            if matches!(message.what, Some(What::Whole(Whole { reply: true }))) {
                self.take(now, &message, from);
                if matches!(self.standing, Standing::Joining { .. }) {
                    self.join(now);
                }
            }
        }
        self.done(now)
    }

    /// What this process says of itself from now on.
    pub fn note(&mut self, notes: Notes) {
        self.notes = notes;
    }

    /// It leaves: says so, and takes no part after that.
    pub fn leave(&mut self, now: f64) -> Vec<Action> {
        self.stir(now);
        match self.standing {
            Standing::In => {
                self.me.status = Status::Left;
                self.me.by.clone_from(&self.me.name);
                let interval = self.terms.interval_ms;
                self.standing = Standing::Leaving {
                    again: now + interval / 2.0,
                    until: now + interval,
                };
                self.say_left();
            }
            Standing::Leaving { .. } => {}
            _ => self.standing = Standing::Ended,
        }
        self.done(now)
    }

    /// Whatever it held is given up: it goes on in a new generation.
    pub fn given_up(&mut self, now: f64) -> Vec<Action> {
        self.stir(now);
        if let Standing::Fallen { floor, tell } = self.standing {
            self.me.generation = floor.max(self.me.generation) + 1;
            if failpoint::is_active(Failpoint::Generation) {
                self.me.generation = 1;
            }
            self.me.incarnation = 0;
            self.standing = Standing::In;
            self.begin_rounds(now);
            self.announce();
            self.event(Event::Renewed(self.me.generation));
            if let Some(at) = tell {
                (self.exchange_with, self.exchange_at) = (Some(at), now);
            }
        }
        self.done(now)
    }

    // ---- Time ----

    fn stir(&mut self, now: f64) {
        let late = now - self.due;
        if self.due.is_finite() && late > PAUSE * self.terms.interval_ms {
            self.counts.pauses += 1;
            self.event(Event::Paused(late));
            // What was not heard meanwhile accuses nobody, and who knows what the others hold of this one.
            self.view.extend(late);
            self.probe = None;
            self.relays.clear();
            self.health.worse();
            self.acked_at = f64::NEG_INFINITY;
            if self.is_member() {
                self.begin_rounds(now);
            }
        }
        match self.standing.clone() {
            Standing::Joining { until, .. } if now >= until => self.join(now),
            Standing::Joining { until, ask_at } if now >= ask_at => {
                if let Some(&seed) = self.one_of(&self.seeds.clone()) {
                    self.exchange_to(now, seed);
                }
                let ask_at = now + self.terms.interval_ms * (0.5 + 0.5 * self.share());
                self.standing = Standing::Joining { until, ask_at };
            }
            Standing::Doubled { rival, until, .. } if now >= until => {
                self.fall(rival.generation, None, &rival.by)
            }
            Standing::Doubled {
                rival,
                until,
                ask_at,
            } if now >= ask_at => {
                self.say(rival.at, What::Ping(Ping { seq: 0 }), None);
                let ask_at = now + self.terms.timeout_ms;
                self.standing = Standing::Doubled {
                    rival,
                    until,
                    ask_at,
                };
            }
            Standing::Leaving { until, .. } if now >= until => self.standing = Standing::Ended,
            Standing::Leaving { again, until } if now >= again => {
                self.say_left();
                self.standing = Standing::Leaving {
                    again: f64::INFINITY,
                    until,
                };
            }
            _ => {}
        }
        self.relay_timers(now);
        self.deaths(now);
        if self.is_member() {
            self.rounds(now);
        }
    }

    /// All that comes around.
    fn rounds(&mut self, now: f64) {
        if self.probe.as_ref().is_some_and(|probe| now >= probe.ask_at) {
            self.ask_others();
        }
        if now >= self.probe_at {
            self.probe_over(now);
            self.probe_next(now);
            self.ask_doubted();
        }
        if now >= self.exchange_at {
            self.exchange_next(now);
        }
        if now >= self.dead_at {
            self.ask_dead();
            self.dead_at =
                now + self.terms.ask_dead * self.terms.interval_ms * (0.75 + 0.5 * self.share());
        }
        if now >= self.sweep_at {
            self.sweep(now);
            self.sweep_at = now + self.terms.remember_ms / 16.0;
        }
        if self.notes != self.me.notes && now >= self.notes_at {
            self.notes_at = now + NOTES_EVERY * self.terms.interval_ms;
            self.me.notes = self.notes;
            self.me.incarnation += 1;
            self.announce();
        }
    }

    fn begin_rounds(&mut self, now: f64) {
        let interval = self.terms.interval_ms;
        // Processes that start in the same moment do not ask in the same.
        self.probe_at = now + interval * self.share();
        self.exchange_at = now + self.terms.exchange * interval * self.share();
        self.dead_at = now + self.terms.ask_dead * interval * self.share();
        self.sweep_at = now + self.terms.remember_ms / 16.0;
        (self.probe, self.exchange_with) = (None, None);
    }

    fn join(&mut self, now: f64) {
        self.me.generation = if failpoint::is_active(Failpoint::Generation) {
            1
        } else {
            self.known + 1
        };
        self.standing = Standing::In;
        self.begin_rounds(now);
        self.announce();
        self.event(Event::Remembered(self.remembered));
        self.event(Event::Joined(self.me.generation));
    }

    /// Tells all who have gone that they leave no gap in what is remembered: those gone for too long.
    fn sweep(&mut self, now: f64) {
        let old = |since: f64| now - since > self.terms.remember_ms;
        let names: Vec<String> = self
            .view
            .iter()
            .filter(|seen| !seen.record.is_in() && old(seen.since))
            .map(|seen| seen.record.name.clone())
            .collect();
        names.iter().for_each(|name| self.view.forget(name));
    }

    // ---- Probes ----

    /// The probe of this interval is over: if nobody has heard from its target, it is suspected.
    fn probe_over(&mut self, now: f64) {
        let Some(probe) = self.probe.take().filter(|probe| !probe.acked) else {
            return;
        };
        self.health.worse();
        // A helper that says nothing, not even that it heard nothing, may mean that this process hears badly.
        (probe.nacks..probe.helpers).for_each(|_| self.health.worse());
        let Some(seen) = self.view.get(&probe.name) else {
            return;
        };
        if seen.record.generation == probe.generation && seen.record.is_in() {
            let mut word = seen.record.clone();
            (word.status, word.by) = (Status::Suspect, self.me.name.clone());
            self.suspect(now, word);
        }
    }

    fn probe_next(&mut self, now: f64) {
        let factor = self.health.factor();
        self.probe_at = now + self.terms.interval_ms * factor;
        let target = loop {
            if let Some(name) = self.round.pop() {
                if self.view.get(&name).is_some_and(|seen| seen.record.is_in()) {
                    break name;
                }
            } else {
                let there = self.view.iter().filter(|seen| seen.record.is_in());
                self.round = there.map(|seen| seen.record.name.clone()).collect();
                if self.round.is_empty() {
                    return;
                }
                for n in (1..self.round.len()).rev() {
                    let other = (self.random.next_u64() % (n as u64 + 1)) as usize;
                    self.round.swap(n, other);
                }
            }
        };
        let Some(record) = self.view.get(&target).map(|seen| seen.record.clone()) else {
            return;
        };
        self.seq = self.seq.wrapping_add(1);
        self.probe = Some(Probe {
            seq: self.seq,
            name: target,
            generation: record.generation,
            ask_at: now + self.terms.timeout_ms * factor,
            helpers: 0,
            nacks: 0,
            acked: false,
        });
        self.say(
            record.at,
            What::Ping(Ping { seq: self.seq }),
            Some(&record.name),
        );
    }

    /// No answer in time: others are asked.
    fn ask_others(&mut self) {
        let Some(probe) = &mut self.probe else { return };
        probe.ask_at = f64::INFINITY;
        if probe.acked {
            return;
        }
        let (seq, name) = (probe.seq, probe.name.clone());
        let Some(target) = self.view.get(&name).map(|seen| seen.record.clone()) else {
            return;
        };
        let mut others: Vec<SocketAddr> = self
            .view
            .iter()
            .filter(|seen| seen.record.status == Status::Alive && seen.record.name != name)
            .map(|seen| seen.record.at)
            .collect();
        let helpers = self.terms.helpers.min(others.len());
        for _ in 0..helpers {
            let at = others.swap_remove((self.random.next_u64() % others.len() as u64) as usize);
            self.say(at, message::ask(seq, &target), None);
        }
        if let Some(probe) = &mut self.probe {
            probe.helpers = helpers;
        }
    }

    fn relay_timers(&mut self, now: f64) {
        let late: Vec<(SocketAddr, u32)> = self
            .relays
            .values_mut()
            .filter(|relay| !relay.nacked && now >= relay.nack_at)
            .map(|relay| {
                relay.nacked = true;
                (relay.to, relay.seq)
            })
            .collect();
        late.into_iter()
            .for_each(|(to, seq)| self.say(to, What::Nack(Nack { seq }), None));
        self.relays.retain(|_, relay| now < relay.until);
    }

    /// Suspicions that nobody refuted in time.
    fn deaths(&mut self, now: f64) {
        if failpoint::is_active(Failpoint::Suspicion) || self.standing == Standing::Ended {
            return;
        }
        let over = self
            .view
            .suspects()
            .filter(|seen| seen.suspicion.as_ref().is_some_and(|s| s.end() <= now));
        let over: Vec<Record> = over.map(|seen| seen.record.clone()).collect();
        for mut word in over {
            self.counts.died += 1;
            (word.status, word.by) = (Status::Dead, self.me.name.clone());
            // A death takes the next number: a refutation of the suspicion alone, that comes late, does not undo it.
            // Whoever was held for dead has to hear so before it can speak against it.
            word.incarnation += 1;
            self.put(now, word, Change::Died);
        }
    }

    /// Suspects hear that they are, some in each interval.
    fn ask_doubted(&mut self) {
        let mut asked = 0;
        while asked < ASKED_SOON {
            let Some(name) = self.doubted.pop_first() else {
                return;
            };
            let suspect = self
                .view
                .get(&name)
                .filter(|seen| seen.record.status == Status::Suspect);
            if let Some(word) = suspect.map(|seen| seen.record.clone()) {
                self.send_bare(word.at, What::Ping(Ping { seq: 0 }), &[word]);
                asked += 1;
            }
        }
    }

    /// One of the dead, or a seed that is no member, hears what is held of it, and can say that it lives.
    fn ask_dead(&mut self) {
        if failpoint::is_active(Failpoint::Dead) {
            return;
        }
        let dead = self
            .view
            .iter()
            .filter(|seen| seen.record.status == Status::Dead);
        let mut places: Vec<SocketAddr> = dead.map(|seen| seen.record.at).collect();
        let there: Vec<SocketAddr> = self
            .view
            .iter()
            .filter(|seen| seen.record.is_in())
            .map(|seen| seen.record.at)
            .collect();
        places.extend(self.seeds.iter().filter(|seed| !there.contains(seed)));
        places.sort_unstable();
        places.dedup();
        if let Some(&at) = self.one_of(&places) {
            let name = self
                .view
                .iter()
                .find(|seen| seen.record.at == at)
                .map(|seen| seen.record.name.clone());
            self.say(at, What::Ping(Ping { seq: 0 }), name.as_deref());
        }
    }

    // ---- Exchanges ----

    fn exchange_next(&mut self, now: f64) {
        let there = self.view.iter().filter(|seen| seen.record.is_in());
        let places: Vec<SocketAddr> = there.map(|seen| seen.record.at).collect();
        let with = self
            .exchange_with
            .take()
            .or_else(|| self.one_of(&places).copied());
        if let Some(at) = with {
            self.exchange_to(now, at);
        }
        self.exchange_at =
            now + self.terms.exchange * self.terms.interval_ms * (0.75 + 0.5 * self.share());
    }

    fn exchange_to(&mut self, now: f64, at: SocketAddr) {
        self.exchanged_at = now;
        self.counts.exchanges += 1;
        let bytes = self.whole(false);
        self.out.push(Action::Exchange(at, bytes));
    }

    /// Its view differs from another's, and there are no news that would explain it: they exchange, soon, and no more
    /// often than once an interval.
    fn differs(&mut self, now: f64, with: SocketAddr) {
        let interval = self.terms.interval_ms;
        let soon = now.max(self.exchanged_at + interval) + interval * self.share();
        if self.exchange_with.is_none() && soon < self.exchange_at {
            (self.exchange_at, self.exchange_with) = (soon, Some(with));
        }
    }

    fn whole(&mut self, reply: bool) -> Vec<u8> {
        let news = self
            .view
            .iter()
            .map(|seen| message::write(&seen.record))
            .collect();
        let message = self.message(What::Whole(Whole { reply }), news);
        let bytes = message::encode(&self.seal, &message);
        self.counts.sent += 1;
        self.counts.bytes_sent += bytes.len() as u64;
        bytes
    }

    // ---- Messages out ----

    fn message(&self, what: What, news: Vec<wire::Record>) -> Message {
        Message {
            from: Some(message::write(&self.me)),
            hash: self.hash(),
            joining: matches!(self.standing, Standing::Joining { .. }),
            news,
            what: Some(what),
        }
    }

    /// Sends a datagram with what news there are; first of all what is held of the one that it goes to, where that is
    /// not simply that it lives.
    fn say(&mut self, to: SocketAddr, what: What, about: Option<&str>) {
        let about = about
            .and_then(|name| self.view.get(name))
            .map(|seen| &seen.record);
        let first = about
            .filter(|record| record.status != Status::Alive)
            .cloned()
            .into_iter()
            .collect();
        self.send(to, what, first);
    }

    /// Sends a datagram with these words, and what news there is room for.
    fn send(&mut self, to: SocketAddr, what: What, mut words: Vec<Record>) {
        let room = message::room() - words.iter().map(message::size).sum::<usize>();
        let speaks = matches!(self.standing, Standing::In | Standing::Leaving { .. });
        let rides = self.terms.rides(self.view.there() + 1);
        if speaks {
            words.extend(self.news.take(room, rides, message::size));
        }
        self.send_bare(to, what, &words);
    }

    /// Sends a datagram with these words alone: news that may meet nobody would have ridden in vain.
    fn send_bare(&mut self, to: SocketAddr, what: What, words: &[Record]) {
        let news = words.iter().map(message::write).collect();
        let bytes = message::encode(&self.seal, &self.message(what, news));
        self.counts.sent += 1;
        self.counts.bytes_sent += bytes.len() as u64;
        self.out.push(Action::Send(to, bytes));
    }

    /// Somebody hears this word on its own name, however well the one that it speaks of is held to be.
    fn tell_of(&mut self, to: SocketAddr, word: Record) {
        let ack = Ack {
            seq: 0,
            of: self.me.name.clone(),
            generation: self.me.generation,
        };
        self.send(to, What::Ack(ack), vec![word]);
    }

    fn say_left(&mut self) {
        let there = self.view.iter().filter(|seen| seen.record.is_in());
        let mut places: Vec<SocketAddr> = there.map(|seen| seen.record.at).collect();
        self.news.add(self.me.clone());
        for _ in 0..TOLD_OF_LEAVE.min(places.len()) {
            let at = places.swap_remove((self.random.next_u64() % places.len() as u64) as usize);
            self.say(at, What::Ping(Ping { seq: 0 }), None);
        }
    }

    fn announce(&mut self) {
        self.me.by.clone_from(&self.me.name);
        self.news.add(self.me.clone());
    }

    // ---- Messages in ----

    fn may_read(&mut self, now: f64) -> bool {
        let a_second = MOST_A_SECOND.0 + MOST_A_SECOND.1 * self.view.len() as f64;
        let (left, at) = self.allowed;
        let left = (left + (now - at).max(0.0) / 1000.0 * a_second).min(a_second);
        let may = left >= 1.0;
        self.allowed = (if may { left - 1.0 } else { left }, now);
        if !may {
            self.counts.flooded += 1;
        }
        may
    }

    fn decode(&mut self, now: f64, bytes: &[u8], most: usize) -> Option<(Message, Record)> {
        match message::decode(&self.seal, bytes, most) {
            Ok(read) => {
                self.counts.heard += 1;
                return Some(read);
            }
            Err(Bad::Foreign) => self.counts.foreign += 1,
            Err(Bad::TooLong | Bad::Unreadable) => self.counts.unreadable += 1,
            Err(Bad::Version(_, at)) => {
                self.counts.versions += 1;
                // Once a second: whoever asks again and again is told no more often.
                if let Some(at) = at.filter(|_| now >= self.refused_at + 1000.0) {
                    self.refused_at = now;
                    self.say(at, message::refusal(), None);
                }
            }
        }
        None
    }

    fn take(&mut self, now: f64, message: &Message, from: Record) {
        if self.standing == Standing::Ended {
            return;
        }
        if from.name == self.me.name {
            return self.twin_speaks(message, &from);
        }
        let place = from.at;
        if !message.joining && !self.hear_from(now, &from) {
            // What an older process under this name says of anybody is as old; it hears who is the newer.
            self.counts.older += 1;
            if matches!(message.what, Some(What::Ping(_))) {
                if let Some(held) = self.view.get(&from.name).map(|seen| seen.record.clone()) {
                    self.tell_of(place, held);
                }
            }
            return;
        }
        let whole = matches!(message.what, Some(What::Whole(_)));
        for word in message
            .news
            .iter()
            .take(self.terms.most)
            .filter_map(message::read)
        {
            self.hear(now, word, Some(place));
        }
        if self.is_member()
            && !whole
            && !message.joining
            && message.hash != self.hash()
            && (self.news.is_empty() || self.news.len() > MOST_NEWS)
        {
            self.differs(now, place);
        }
        let silent = matches!(
            self.standing,
            Standing::Fallen { .. } | Standing::Doubled { .. }
        );
        match message.what.as_ref() {
            Some(What::Ping(ping)) if !silent => {
                let generation = self.me.generation;
                let ack = Ack {
                    seq: ping.seq,
                    of: self.me.name.clone(),
                    generation,
                };
                self.say(place, What::Ack(ack), Some(&from.name));
            }
            Some(What::Ack(ack)) => self.acked(now, ack),
            Some(What::Nack(nack)) => {
                let probe = self.probe.as_mut().filter(|probe| probe.seq == nack.seq);
                probe.into_iter().for_each(|probe| probe.nacks += 1);
            }
            Some(What::Ask(ask)) if !silent && self.relays.len() < MOST_RELAYS => {
                let Some(at) = message::asked(ask) else {
                    return;
                };
                self.seq = self.seq.wrapping_add(1);
                let time = self.terms.timeout_ms;
                let (nack_at, until) = (now + NACK * time, now + 4.0 * time);
                self.relays.insert(
                    self.seq,
                    Relay {
                        to: place,
                        seq: ask.seq,
                        nack_at,
                        until,
                        nacked: false,
                    },
                );
                let seq = self.seq;
                self.say(at, What::Ping(Ping { seq }), Some(&ask.name));
            }
            Some(What::Refusal(refusal)) => self.event(Event::Refused(refusal.least, refusal.most)),
            _ => {}
        }
    }

    fn acked(&mut self, now: f64, ack: &Ack) {
        if let Some(relay) = self.relays.remove(&ack.seq) {
            let passed = Ack {
                seq: relay.seq,
                of: ack.of.clone(),
                generation: ack.generation,
            };
            return self.say(relay.to, What::Ack(passed), None);
        }
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == ack.seq) else {
            return;
        };
        if probe.name == ack.of && !probe.acked {
            probe.acked = true;
            self.acked_at = now;
            self.health.better();
        }
    }

    /// A message from another process under this name.
    fn twin_speaks(&mut self, message: &Message, from: &Record) {
        if from.nonce == self.me.nonce || message.joining {
            return; // its own words, or one that will learn of this one as it joins
        }
        self.known = self.known.max(from.generation);
        self.remembered = self.remembered.max(from.generation);
        if matches!(
            self.standing,
            Standing::Joining { .. } | Standing::Leaving { .. }
        ) {
            return;
        }
        if from.run() > self.me.run() {
            self.standing = Standing::Ended;
            self.event(Event::Superseded(from.at));
        } else if matches!(message.what, Some(What::Ping(_))) && self.is_member() {
            let ack = Ack {
                seq: 0,
                of: self.me.name.clone(),
                generation: self.me.generation,
            };
            self.say(from.at, What::Ack(ack), None);
        }
    }

    /// The sender's word on itself; `false` if a newer process under its name is known.
    fn hear_from(&mut self, now: f64, from: &Record) -> bool {
        if let Some(seen) = self.view.get(&from.name) {
            if from.run() < seen.record.run() && !failpoint::is_active(Failpoint::Older) {
                return false;
            }
        }
        self.hear(now, from.clone(), Some(from.at));
        self.view.heard(&from.name, now);
        true
    }

    /// Somebody's word on a process, that came from there.
    fn hear(&mut self, now: f64, word: Record, from: Option<SocketAddr>) {
        if word.name == self.me.name {
            return self.hear_of_me(now, &word, from);
        }
        let Some(seen) = self.view.get(&word.name) else {
            if self.view.len() >= self.terms.most {
                self.counts.crowded += 1;
                return;
            }
            // One that is suspected counts as there, until somebody's probe of it fails here as well.
            return match word.status {
                Status::Alive => self.put(now, word, Change::Came),
                Status::Suspect => {
                    let mut there = word.clone();
                    there.status = Status::Alive;
                    self.put(now, there, Change::Came);
                    self.suspect(now, word);
                }
                // Who was never known and is gone makes no news; what is remembered of it does.
                Status::Dead | Status::Left => self.view.put(now, word, None),
            };
        };
        let held = seen.record.clone();
        match word.run().cmp(&held.run()) {
            Ordering::Less if failpoint::is_active(Failpoint::Older) => {
                self.put(now, word, Change::Restarted)
            }
            Ordering::Less => {}
            Ordering::Greater if word.is_in() => {
                // It heard nobody when it began, and took a number that was another's. Whoever puts its word in the
                // place of that one's, by whomever it came, tells it: nobody else may be left who remembers.
                if word.generation == held.generation && self.is_member() {
                    self.tell_of(word.at, held);
                }
                let mut there = word.clone();
                there.status = Status::Alive;
                self.put(now, there, Change::Restarted);
                if word.status == Status::Suspect {
                    self.suspect(now, word);
                }
            }
            Ordering::Greater => {
                let what = if word.status == Status::Left {
                    Change::Left
                } else {
                    Change::Died
                };
                self.put(now, word, what);
            }
            Ordering::Equal => self.hear_again(now, word, &held),
        }
    }

    /// A word on the process that is held.
    fn hear_again(&mut self, now: f64, word: Record, held: &Record) {
        if word.beats(held) == Ordering::Less || held.status == Status::Left {
            return;
        }
        match word.status {
            Status::Left => self.put(now, word, Change::Left),
            Status::Alive if word.incarnation > held.incarnation => {
                let what = match held.status {
                    Status::Suspect => {
                        self.counts.refuted += 1;
                        Some(Change::Refuted)
                    }
                    Status::Dead => Some(Change::Came),
                    _ => None, // its notes changed
                };
                match what {
                    Some(what) => self.put(now, word, what),
                    None => {
                        self.news.add(word.clone());
                        self.view.put(now, word, None);
                    }
                }
            }
            Status::Suspect
                if held.status != Status::Dead || word.incarnation > held.incarnation =>
            {
                self.suspect(now, word);
            }
            // A death that others tell is believed of one that is dead here, or not known to live; of one that lives
            // here it is a reason to ask it, soon.
            Status::Dead if held.is_in() => {
                let mut suspect = word.clone();
                // The number before the death's: here it would end in the same death, and no later one.
                suspect.incarnation = held.incarnation.max(word.incarnation.saturating_sub(1));
                suspect.status = Status::Suspect;
                if held.status == Status::Alive {
                    self.suspect(now, suspect);
                }
                if self
                    .view
                    .suspicion(&word.name)
                    .is_some_and(|suspicion| suspicion.death(now))
                {
                    self.round.push(word.name.clone());
                    self.doubted.insert(word.name);
                }
            }
            Status::Dead if word.incarnation > held.incarnation => self.view.put(now, word, None),
            _ => {}
        }
    }

    /// Somebody got no answer from this process.
    fn suspect(&mut self, now: f64, word: Record) {
        let size = self.view.there() + 1;
        let (least, most) = (
            self.terms.least_suspicion_ms(size),
            self.terms.most_suspicion_ms(size),
        );
        let Some(seen) = self.view.get(&word.name) else {
            return;
        };
        let (status, incarnation) = (seen.record.status, seen.record.incarnation);
        if status == Status::Suspect && incarnation == word.incarnation {
            let by = word.by.clone();
            if self
                .view
                .suspicion(&word.name)
                .is_some_and(|suspicion| suspicion.confirmed(&by))
            {
                self.news.add(word);
            }
            return;
        }
        if word.by == self.me.name {
            self.counts.suspected += 1;
        } else if self.share() * size as f64 <= ASKING {
            self.doubted.insert(word.name.clone());
        }
        // In a fleet of two or three there is nobody to confirm it.
        let most = if size <= 3 { least } else { most };
        let suspicion = Suspicion::new(now, &word.by, least, most);
        self.change(&word, Change::Suspected);
        self.news.add(word.clone());
        self.view.put(now, word, Some(suspicion));
    }

    /// Holds this word from now on, and tells of it.
    fn put(&mut self, now: f64, word: Record, what: Change) {
        self.change(&word, what);
        self.news.add(word.clone());
        self.view.put(now, word, None);
    }

    /// Somebody's word on a process under this name.
    fn hear_of_me(&mut self, now: f64, word: &Record, from: Option<SocketAddr>) {
        self.known = self.known.max(word.generation);
        self.remembered = self.remembered.max(word.generation);
        match &self.standing {
            Standing::Joining { .. } | Standing::Leaving { .. } | Standing::Ended => return,
            Standing::Fallen { floor, tell } => {
                let (floor, tell) = ((*floor).max(word.generation), *tell);
                self.standing = Standing::Fallen { floor, tell };
                return;
            }
            Standing::Doubled { rival, .. } => {
                if word.run() == rival.run() && !word.is_in() {
                    self.fall(word.generation, from, &word.by);
                }
                return;
            }
            Standing::In => {}
        }
        match word.run().cmp(&self.me.run()) {
            // One that took the same number as this one: whoever remembers it must not take this one for it.
            Ordering::Less if word.generation == self.me.generation => {
                self.fall(word.generation, from, &word.by);
            }
            // An earlier process's. Where it counts as there, the others have not heard of this one.
            Ordering::Less => {
                if word.is_in() {
                    self.announce();
                }
            }
            Ordering::Equal => self.accused(now, word, from),
            // A later process's. If it is gone, or was at this address, where only this one can be, its number is
            // all that is left of it; else it may live.
            Ordering::Greater if !word.is_in() || word.at == self.me.at => {
                self.fall(word.generation, from, &word.by)
            }
            Ordering::Greater => {
                let until = now + self.terms.most_suspicion_ms(self.view.there() + 1);
                self.standing = Standing::Doubled {
                    rival: word.clone(),
                    until,
                    ask_at: now,
                };
                self.event(Event::Doubled(word.at));
            }
        }
    }

    /// Somebody holds that this very process is suspect, dead or gone.
    fn accused(&mut self, now: f64, word: &Record, from: Option<SocketAddr>) {
        let old = word.incarnation < self.me.incarnation;
        match word.status {
            Status::Left => self.fall(word.generation, from, &word.by),
            _ if old => {
                // It was refuted already; whoever says so has not heard.
                if word.status != Status::Alive {
                    self.announce();
                }
            }
            Status::Suspect => self.defend(word.incarnation),
            // A part of the fleet that this one is not in may believe that. Where this one has heard most of the fleet
            // for as long as it takes to be held for dead, nobody has taken what it holds; else somebody may have, and
            // has only now been found again.
            Status::Dead if self.has_been_certain(now) => self.defend(word.incarnation),
            Status::Dead => self.fall(word.generation, from, &word.by),
            Status::Alive if word.incarnation > self.me.incarnation => {
                self.defend(word.incarnation)
            }
            Status::Alive => {}
        }
    }

    fn defend(&mut self, incarnation: u32) {
        self.counts.defended += 1;
        self.health.worse();
        self.me.incarnation = incarnation + u32::from(!failpoint::is_active(Failpoint::Refutation));
        self.announce();
    }

    fn fall(&mut self, floor: u64, tell: Option<SocketAddr>, by: &str) {
        self.counts.fallen += 1;
        self.standing = Standing::Fallen { floor, tell };
        self.event(Event::Fallen { by: by.to_owned() });
    }

    // ---- Small things ----

    fn share(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn one_of<'a, T>(&mut self, all: &'a [T]) -> Option<&'a T> {
        if all.is_empty() {
            return None;
        }
        all.get((self.random.next_u64() % all.len() as u64) as usize)
    }

    fn event(&mut self, event: Event) {
        self.out.push(Action::Event(event));
    }

    fn change(&mut self, word: &Record, what: Change) {
        let Record {
            name,
            generation,
            by,
            ..
        } = word.clone();
        self.event(Event::Changed {
            name,
            generation,
            what,
            by,
        });
    }

    fn done(&mut self, now: f64) -> Vec<Action> {
        let certain = self.is_certain(now);
        if certain != self.certain {
            self.certain = certain;
            self.certain_since = if certain { now } else { f64::INFINITY };
            self.event(Event::Certain(certain));
        }
        self.due = self.next();
        std::mem::take(&mut self.out)
    }
}
