//! A network of a few processes in one, for tests: everything that passes takes a while, may be lost, doubled or
//! cut, and all of it follows from a seed. What is true of who lives is known here, and told by nobody.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use asterdale_membership::{Action, Event, Membership, MembershipConfig, Settings};
use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum What {
    Datagram(Vec<u8>),
    /// An exchange's first side, from there.
    Exchange(SocketAddr, Vec<u8>),
    Exchanged(Vec<u8>),
}

/// In thousandths of milliseconds, so that it can be ordered.
type Micros = u64;

pub struct Net {
    pub now: f64,
    pub all: BTreeMap<SocketAddr, Membership>,
    /// Those that stand still.
    pub paused: BTreeSet<SocketAddr>,
    /// From the first to the second nothing passes.
    pub cut: BTreeSet<(SocketAddr, SocketAddr)>,
    /// A datagram is lost with this chance.
    pub loss: f64,
    /// And doubled with this one.
    pub doubled: f64,
    /// They take from 1 ms to so many more.
    pub spread: f64,
    under_way: BinaryHeap<std::cmp::Reverse<(Micros, u64, SocketAddr, What)>>,
    came: u64,
    random: Pcg64Mcg,
    pub events: Vec<(f64, String, Event)>,
    pub terms: Settings,
    seeds: Vec<SocketAddr>,
    started: u64,
    /// Gives up at once what it holds when it is believed dead.
    pub gives_up: bool,
}

pub fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7000))
}

pub fn name(n: usize) -> String {
    format!("m{n:03}")
}

impl Net {
    pub fn new(seed: u64, seeds: usize) -> Net {
        Net {
            now: 0.0,
            all: BTreeMap::new(),
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            doubled: 0.0,
            spread: 4.0,
            under_way: BinaryHeap::new(),
            came: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            events: Vec::new(),
            terms: Settings::default(),
            seeds: (0..seeds).map(at).collect(),
            started: 0,
            gives_up: true,
        }
    }

    fn share(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// What process n is told at a start, if it remembers this generation.
    pub fn told(&mut self, n: usize, generation: u64) -> MembershipConfig {
        self.started += 1;
        MembershipConfig {
            name: name(n),
            address: at(n),
            last_generation: generation,
            nonce: self.random.next_u64(),
            seeds: self.seeds.clone(),
            key: b"the fleet's key".to_vec(),
            settings: self.terms.clone(),
            random_seed: self.started,
        }
    }

    pub fn start(&mut self, n: usize) {
        let told = self.told(n, 0);
        self.add(told);
    }

    pub fn add(&mut self, told: MembershipConfig) {
        let fleet = Membership::new(self.now, told);
        self.all.insert(fleet.local_record().address, fleet);
    }

    pub fn kill(&mut self, n: usize) {
        self.all.remove(&at(n));
        self.paused.remove(&at(n));
    }

    pub fn fleet(&self, n: usize) -> &Membership {
        &self.all[&at(n)]
    }

    /// Cuts or joins the two sets, both ways.
    pub fn part(&mut self, one: &[usize], other: &[usize], cut: bool) {
        for &a in one {
            for &b in other {
                for pair in [(at(a), at(b)), (at(b), at(a))] {
                    if cut {
                        self.cut.insert(pair);
                    } else {
                        self.cut.remove(&pair);
                    }
                }
            }
        }
    }

    pub fn send(&mut self, to: SocketAddr, what: What, after: f64) {
        self.came += 1;
        let due = ((self.now + after) * 1000.0) as Micros;
        self.under_way
            .push(std::cmp::Reverse((due, self.came, to, what)));
    }

    fn act(&mut self, from: SocketAddr, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => {
                    if self.cut.contains(&(from, to)) || self.share() < self.loss {
                        continue;
                    }
                    let times = 1 + usize::from(self.share() < self.doubled);
                    for _ in 0..times {
                        let after = 1.0 + self.spread * self.share();
                        self.send(to, What::Datagram(bytes.clone()), after);
                    }
                }
                // A stream gets through where both ways are open, whatever is lost of it on the way.
                Action::Exchange(to, bytes) => {
                    if !self.cut.contains(&(from, to)) && !self.cut.contains(&(to, from)) {
                        let after = 2.0 + 2.0 * self.spread * self.share();
                        self.send(to, What::Exchange(from, bytes), after);
                    }
                }
                Action::Event(event) => {
                    let name = self.all[&from].local_record().name.clone();
                    if matches!(event, Event::DeclaredDead { .. }) && self.gives_up {
                        let actions = self
                            .all
                            .get_mut(&from)
                            .map(|fleet| fleet.rejoin(self.now))
                            .unwrap_or_default();
                        self.act(from, actions);
                    }
                    self.events.push((self.now, name, event));
                }
            }
        }
    }

    /// Goes on for so many milliseconds.
    pub fn run(&mut self, ms: f64) {
        let end = self.now + ms;
        loop {
            let awake = self.all.iter().filter(|(at, _)| !self.paused.contains(at));
            let wake = awake
                .map(|(&at, fleet)| (fleet.next_wake_ms(), at))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let due = self
                .under_way
                .peek()
                .map_or(f64::INFINITY, |next| next.0 .0 as f64 / 1000.0);
            let (wakes, who) = wake.unwrap_or((f64::INFINITY, at(0)));
            if wakes.min(due) > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(wakes.min(due));
            if due <= wakes {
                let Some(std::cmp::Reverse((.., to, what))) = self.under_way.pop() else {
                    return;
                };
                if self.paused.contains(&to) {
                    // What waits for it lies there until it goes on, as in a socket's buffer.
                    self.send(to, what, 100.0);
                    continue;
                }
                self.deliver(to, what);
            } else {
                let now = self.now;
                let actions = self
                    .all
                    .get_mut(&who)
                    .map(|fleet| fleet.wake(now))
                    .unwrap_or_default();
                self.act(who, actions);
            }
        }
    }

    fn deliver(&mut self, to: SocketAddr, what: What) {
        let now = self.now;
        let Some(fleet) = self.all.get_mut(&to) else {
            return;
        };
        let actions = match what {
            What::Datagram(bytes) => fleet.handle_datagram(now, &bytes),
            What::Exchange(from, bytes) => {
                let (back, actions) = fleet.handle_exchange_request(now, &bytes);
                if let Some(back) = back {
                    self.send(from, What::Exchanged(back), 2.0);
                }
                actions
            }
            What::Exchanged(bytes) => fleet.handle_exchange_response(now, &bytes),
        };
        self.act(to, actions);
    }

    /// Why it has not settled: every process that runs is a member, holds those who run and nobody else, and all
    /// have the same hash.
    pub fn unsettled(&self) -> Option<String> {
        let live: BTreeMap<String, u64> = self
            .all
            .values()
            .map(|fleet| {
                (
                    fleet.local_record().name.clone(),
                    fleet.local_record().generation,
                )
            })
            .collect();
        for fleet in self.all.values() {
            if !fleet.is_member() {
                return Some(format!(
                    "{} is {}",
                    fleet.local_record().name,
                    fleet.state_name()
                ));
            }
            let there = fleet.view().iter().filter(|seen| seen.record.is_live());
            let mut held: BTreeMap<String, u64> = there
                .map(|seen| (seen.record.name.clone(), seen.record.generation))
                .collect();
            held.insert(
                fleet.local_record().name.clone(),
                fleet.local_record().generation,
            );
            if held != live {
                return Some(format!(
                    "{} holds {held:?} of {live:?}",
                    fleet.local_record().name
                ));
            }
        }
        let hashes: BTreeSet<u64> = self.all.values().map(Membership::view_hash).collect();
        (hashes.len() > 1).then(|| "hashes differ".to_owned())
    }

    /// Goes on until it has settled; how long that took. No longer than the bound.
    pub fn settles(&mut self) -> f64 {
        let (began, bound) = (self.now, self.terms.convergence_bound_ms(self.all.len()));
        while let Some(why) = self.unsettled() {
            assert!(self.now - began < bound, "not within {bound} ms: {why}");
            self.run(100.0);
        }
        self.now - began
    }

    /// How often this happened, as any process saw it.
    pub fn count(&self, holds: impl Fn(&str, &Event) -> bool) -> usize {
        self.events
            .iter()
            .filter(|(_, who, event)| holds(who, event))
            .count()
    }
}
