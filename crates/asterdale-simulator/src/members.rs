//! The view of the fleet at sizes that sockets don't reach: the same state machine as in the daemon, hundreds or
//! thousands of it, on a modelled network. It tells how long the loss of one takes to be seen, how often one that lives
//! is held for dead, what it costs, and how long a fleet takes to hold one view again after a partition.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use asterdale_membership::{Action, Event, MemberChange, Membership, MembershipConfig, Settings};
use rayon::prelude::*;
use serde::Serialize;

use crate::event_queue::EventQueue;
use crate::random::RandomStream;
use crate::Nanos;

/// What befalls the fleet, once it has settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Nothing: how often one that lives is accused.
    None,
    /// One dies.
    Crash,
    /// A tenth stands still again and again, for a second or two at a time.
    Stutter,
    /// Two halves are parted for longer than any suspicion lasts.
    Halves,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Play {
    /// How many.
    pub members: usize,
    /// What befalls them.
    pub fault: Fault,
    /// For so long, in seconds, after they have settled.
    pub seconds: f64,
    /// A datagram is lost with this chance.
    pub loss: f64,
    /// Without local health and shortening suspicion: SWIM alone. Not of the state machine, but of its terms: a
    /// suspicion lasts the least from the start.
    pub plain: bool,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// How many.
    pub members: usize,
    /// What befell them.
    pub fault: Fault,
    /// Seconds that they were looked at.
    pub seconds: f64,
    /// Until the first held the dead for dead, in milliseconds.
    pub first_ms: Option<f64>,
    /// Until all did.
    pub all_ms: Option<f64>,
    /// Of those who live: times that one was held for dead by anybody, counted once for each death told.
    pub false_deaths: u64,
    /// Times that one who lives was first suspected by somebody.
    pub false_suspicions: u64,
    /// Datagrams and bytes that a member sends in a second, exchanges' bytes among them.
    pub datagrams_a_second: f64,
    /// See above.
    pub bytes_a_second: f64,
    /// From the end of the fault until all hold the same.
    pub settled_ms: Option<f64>,
    /// The bound that the terms state for that.
    pub bound_ms: f64,
}

enum What {
    Wake,
    Datagram(Vec<u8>),
    Exchange(usize, Vec<u8>),
    Exchanged(Vec<u8>),
    GoesOn,
}

struct Net {
    now: Nanos,
    terms: Settings,
    all: Vec<Option<Membership>>,
    queue: EventQueue<(usize, What)>,
    wakes: Vec<Nanos>,
    chance: RandomStream,
    loss: f64,
    parted: bool,
    stopped: HashMap<usize, Vec<What>>,
    index: HashMap<SocketAddr, usize>,
    sent: (u64, u64),
    /// Who holds the one that died for dead, and since when.
    held: BTreeMap<usize, f64>,
    dead: Option<usize>,
    false_deaths: u64,
    false_suspicions: u64,
}

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([10, (n / 65_536) as u8, (n / 256) as u8, n as u8], 7000))
}

fn name(n: usize) -> String {
    format!("m{n:05}")
}

const MS: f64 = 1e6;

impl Net {
    fn new(play: &Play, seed: u64) -> Net {
        let mut terms = Settings::default();
        if play.plain {
            terms.max_suspicion_multiplier = 1.0;
        }
        let mut net = Net {
            now: 0,
            terms: terms.clone(),
            all: Vec::new(),
            queue: EventQueue::default(),
            wakes: Vec::new(),
            chance: RandomStream::new(seed, 77),
            loss: 0.0,
            parted: false,
            stopped: HashMap::new(),
            index: HashMap::new(),
            sent: (0, 0),
            held: BTreeMap::new(),
            dead: None,
            false_deaths: 0,
            false_suspicions: 0,
        };
        for n in 0..play.members {
            let start = MembershipConfig {
                name: name(n),
                address: at(n),
                last_generation: 0,
                nonce: seed << 20 | n as u64,
                seeds: (0..3.min(play.members)).map(at).collect(),
                key: b"key".to_vec(),
                settings: terms.clone(),
                random_seed: seed ^ (n as u64) << 32,
            };
            net.index.insert(at(n), n);
            net.wakes.push(Nanos::MAX);
            net.all.push(Some(Membership::new(0.0, start)));
            net.stir(n);
        }
        net
    }

    fn ms(&self) -> f64 {
        self.now as f64 / MS
    }

    /// Sees to it that this one is woken when it wants to be.
    fn stir(&mut self, n: usize) {
        let Some(fleet) = &self.all[n] else { return };
        let next = fleet.next_wake_ms();
        if next.is_finite() {
            let at = ((next * MS) as Nanos + 1).max(self.now);
            if at < self.wakes[n] {
                self.wakes[n] = at;
                self.queue.schedule(at, (n, What::Wake));
            }
        }
    }

    fn send(&mut self, to: usize, what: What, trips: f64) {
        // A data centre's network: half a millisecond, sometimes several.
        let after = trips * self.chance.lognormal(0.5, 0.8) * MS;
        self.queue.schedule(self.now + after as Nanos, (to, what));
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        !self.parted || (from < self.all.len() / 2) == (to < self.all.len() / 2)
    }

    fn act(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => {
                    self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
                    let Some(&to) = self.index.get(&to) else {
                        continue;
                    };
                    if self.passes(from, to) && self.chance.uniform() >= self.loss {
                        self.send(to, What::Datagram(bytes), 1.0);
                    }
                }
                Action::Exchange(to, bytes) => {
                    self.sent.1 += bytes.len() as u64;
                    let Some(&to) = self.index.get(&to) else {
                        continue;
                    };
                    if self.passes(from, to) {
                        self.send(to, What::Exchange(from, bytes), 2.0);
                    }
                }
                Action::Event(Event::DeclaredDead { .. }) => {
                    let now = self.ms();
                    let actions = self.all[from].as_mut().map(|fleet| fleet.rejoin(now));
                    self.act(from, actions.unwrap_or_default());
                }
                Action::Event(Event::MemberChanged {
                    name: whom,
                    change: what,
                    reported_by: by,
                    ..
                }) => {
                    let dead = self.dead.is_some_and(|dead| whom == name(dead));
                    match what {
                        MemberChange::Died if dead => {
                            self.held.entry(from).or_insert(self.now as f64 / MS);
                        }
                        MemberChange::Died if by == name(from) && !self.parted => {
                            self.false_deaths += 1
                        }
                        MemberChange::Suspected if by == name(from) && !dead && !self.parted => {
                            self.false_suspicions += 1;
                        }
                        _ => {}
                    }
                }
                Action::Event(_) => {}
            }
        }
    }

    fn run(&mut self, until: Nanos) {
        loop {
            let Some((at, (to, what))) = self.queue.pop() else {
                return;
            };
            if at > until {
                self.queue.schedule(at, (to, what));
                self.now = until;
                return;
            }
            self.now = at;
            if matches!(what, What::GoesOn) {
                for what in self.stopped.remove(&to).unwrap_or_default() {
                    self.take(to, what);
                }
                self.take(to, What::Wake);
                continue;
            }
            if let Some(waiting) = self.stopped.get_mut(&to) {
                if !matches!(what, What::Wake) {
                    waiting.push(what);
                }
                continue;
            }
            if matches!(what, What::Wake) {
                if at != self.wakes[to] {
                    continue;
                }
                self.wakes[to] = Nanos::MAX;
            }
            self.take(to, what);
        }
    }

    fn take(&mut self, to: usize, what: What) {
        let now = self.ms();
        let Some(fleet) = &mut self.all[to] else {
            return;
        };
        let actions = match what {
            What::Wake | What::GoesOn => fleet.wake(now),
            What::Datagram(bytes) => fleet.handle_datagram(now, &bytes),
            What::Exchanged(bytes) => fleet.handle_exchange_response(now, &bytes),
            What::Exchange(from, bytes) => {
                let (back, actions) = fleet.handle_exchange_request(now, &bytes);
                if let Some(back) = back {
                    self.sent.1 += back.len() as u64;
                    self.send(from, What::Exchanged(back), 1.0);
                }
                actions
            }
        };
        self.act(to, actions);
        self.stir(to);
    }

    fn settled(&self) -> bool {
        let live: Vec<&Membership> = self.all.iter().flatten().collect();
        let hash = live.first().map(|fleet| fleet.view_hash());
        live.iter().all(|fleet| {
            fleet.is_member()
                && fleet.view().live_count() + 1 == live.len()
                && Some(fleet.view_hash()) == hash
        })
    }

    /// Until all hold the same; how long that took, or nothing if it took more than the bound.
    fn settles(&mut self, bound_ms: f64) -> Option<f64> {
        let began = self.now;
        while !self.settled() {
            if (self.now - began) as f64 / MS > bound_ms {
                return None;
            }
            self.run(self.now + (50.0 * MS) as Nanos);
        }
        Some((self.now - began) as f64 / MS)
    }
}

/// Plays it once.
pub fn play(play: &Play, seed: u64) -> Figures {
    let mut net = Net::new(play, seed);
    let bound_ms = net.terms.convergence_bound_ms(play.members);
    net.settles(bound_ms);
    // What was told of the start has ridden its times: a fault meets a fleet that is well.
    net.run(net.now + (30.0 * 1e3 * MS) as Nanos);
    net.loss = play.loss;
    net.sent = (0, 0);
    (net.false_deaths, net.false_suspicions) = (0, 0);
    let (began, mut settled_ms) = (net.now, None);
    let end = began + (play.seconds * 1e9) as Nanos;
    match play.fault {
        Fault::None => net.run(end),
        Fault::Crash => {
            let who = net.chance.index(play.members);
            (net.all[who], net.dead) = (None, Some(who));
            net.run(end);
            settled_ms = net.settles(bound_ms);
        }
        Fault::Stutter => {
            let tenth = (play.members / 10).max(1);
            while net.now < end {
                for _ in 0..tenth {
                    let who = net.chance.index(tenth);
                    if let Entry::Vacant(place) = net.stopped.entry(who) {
                        place.insert(Vec::new());
                        let ms = 500.0 + 1500.0 * net.chance.uniform();
                        net.queue
                            .schedule(net.now + (ms * MS) as Nanos, (who, What::GoesOn));
                    }
                }
                net.run(net.now + (4e9) as Nanos);
            }
            settled_ms = net.settles(bound_ms);
        }
        Fault::Halves => {
            net.parted = true;
            let long =
                net.terms.max_suspicion_ms(play.members) + net.terms.min_suspicion_ms(play.members);
            net.run(net.now + (1.5 * long * MS) as Nanos);
            net.parted = false;
            net.loss = 0.0;
            settled_ms = net.settles(bound_ms);
        }
    }
    let seconds = (net.now - began) as f64 / 1e9;
    let since = |held: f64| held - began as f64 / MS;
    let whole = net.dead.is_some() && net.held.len() + 1 == play.members;
    Figures {
        members: play.members,
        fault: play.fault,
        seconds,
        first_ms: net.held.values().copied().reduce(f64::min).map(since),
        all_ms: whole
            .then(|| net.held.values().copied().reduce(f64::max).map(since))
            .flatten(),
        false_deaths: net.false_deaths,
        false_suspicions: net.false_suspicions,
        datagrams_a_second: net.sent.0 as f64 / seconds / play.members as f64,
        bytes_a_second: net.sent.1 as f64 / seconds / play.members as f64,
        settled_ms,
        bound_ms,
    }
}

/// Plays it with so many seeds, beside each other.
pub fn repeat(told: &Play, seeds: std::ops::Range<u64>) -> Vec<Figures> {
    seeds.into_par_iter().map(|seed| play(told, seed)).collect()
}

/// Published bounds of SWIM and Lifeguard for the detection of a crashed member, in milliseconds.
pub struct PublishedBounds {
    /// First detection if other members confirm the suspicion at once.
    pub earliest_detection_ms: f64,
    /// First detection if nobody confirms the suspicion.
    pub latest_detection_ms: f64,
    /// From the first detection until gossip has informed all members.
    pub dissemination_ms: f64,
}

/// The published bounds for this many members under the default settings.
pub fn published_bounds(members: usize) -> PublishedBounds {
    let settings = Settings::default();
    let e = std::f64::consts::E;
    // A crashed member is probed after e/(e-1) intervals on average, and the probe fails at the end of its interval.
    let probed_ms = settings.probe_interval_ms * (e / (e - 1.0) + 1.0);
    PublishedBounds {
        earliest_detection_ms: probed_ms + settings.min_suspicion_ms(members),
        latest_detection_ms: probed_ms + settings.max_suspicion_ms(members),
        dissemination_ms: settings.probe_interval_ms * f64::from(settings.retransmissions(members)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_crash_is_seen_by_all_within_the_published_bounds_and_nobody_else_is_held_for_dead() {
        for members in [10, 50] {
            let told = Play {
                members,
                fault: Fault::Crash,
                seconds: 90.0,
                loss: 0.02,
                plain: false,
            };
            let bounds = published_bounds(members);
            let max_ms = bounds.latest_detection_ms + bounds.dissemination_ms + 5_000.0;
            for figures in repeat(&told, 1..5) {
                let all = figures.all_ms.expect("all hold it for dead");
                assert!(all <= max_ms, "{figures:?}");
                assert!(
                    figures.false_deaths == 0 && figures.settled_ms.is_some(),
                    "{figures:?}"
                );
            }
        }
    }

    #[test]
    fn halves_hold_one_view_again_and_the_same_seed_gives_the_same() {
        let told = Play {
            members: 40,
            fault: Fault::Halves,
            seconds: 0.0,
            loss: 0.0,
            plain: false,
        };
        let (one, again) = (play(&told, 3), play(&told, 3));
        assert!(
            one.settled_ms.is_some_and(|ms| ms < one.bound_ms),
            "{one:?}"
        );
        assert_eq!(format!("{one:?}"), format!("{again:?}"));
    }
}
