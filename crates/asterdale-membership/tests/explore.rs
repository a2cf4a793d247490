//! Three processes, and everything that may happen to what passes between them in every order: a datagram comes, is
//! lost, comes twice or after a later one; one process crashes, and starts anew without memory. What must hold:
//!
//! 1. No process ever goes back to an older process under a name than the one it has held.
//! 2. Nobody holds a process that never was: no run (generation and nonce) but one that was taken.
//! 3. Nobody holds more of a process's own words (incarnations) than it has said; a death takes the next number.
//! 4. A process never holds itself for another, and never takes a lower generation.
//! 5. From every state in which the faults end, all who live come to hold the same, within the stated bound.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use asterdale_membership::{Action, Event, Membership, MembershipConfig, Settings, Status};

/// Steps of every order: tens of thousands of states, in seconds.
const DEPTH: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum What {
    Datagram(Vec<u8>),
    Exchange(SocketAddr, Vec<u8>),
    Exchanged(Vec<u8>),
}

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Step {
    Comes(usize),
    Lost(usize),
    Twice(usize),
    /// The next one to be woken is.
    Time,
    Crash(usize),
    Restart(usize),
}

#[derive(Clone)]
struct World {
    now: f64,
    all: BTreeMap<SocketAddr, Membership>,
    under_way: Vec<(SocketAddr, What)>,
    losses: u32,
    doubles: u32,
    crashes: u32,
    restarts: u32,
    /// Runs that were ever taken, by name, and the highest incarnation that each has said.
    taken: BTreeMap<(String, u64, u64), u32>,
    /// The highest run that each holder has held of each name.
    held: BTreeMap<(SocketAddr, String), (u64, u64)>,
}

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7000))
}

fn told(n: usize, nonce: u64) -> MembershipConfig {
    let terms = Settings {
        suspicion_multiplier: 2.0,
        max_suspicion_multiplier: 2.0,
        exchange_intervals: 8.0,
        dead_ping_intervals: 2.0,
        ..Settings::default()
    };
    let (name, seeds) = (format!("m{n}"), vec![at(0), at(1)]);
    MembershipConfig {
        name,
        address: at(n),
        last_generation: 0,
        nonce,
        seeds,
        key: b"key".to_vec(),
        settings: terms,
        random_seed: n as u64,
    }
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: 0.0,
            all: BTreeMap::new(),
            under_way: Vec::new(),
            losses: 2,
            doubles: 1,
            crashes: 1,
            restarts: 1,
            taken: BTreeMap::new(),
            held: BTreeMap::new(),
        };
        (0..3).for_each(|n| {
            drop(
                world
                    .all
                    .insert(at(n), Membership::new(0.0, told(n, n as u64 + 1))),
            )
        });
        world.fairly(30_000.0);
        assert_eq!(world.unsettled(), None);
        world.under_way.clear();
        world
    }

    fn act(&mut self, from: SocketAddr, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => self.under_way.push((to, What::Datagram(bytes))),
                Action::Exchange(to, bytes) => {
                    self.under_way.push((to, What::Exchange(from, bytes)))
                }
                Action::Event(Event::DeclaredDead { .. }) => {
                    let actions = self.all.get_mut(&from).map(|fleet| fleet.rejoin(self.now));
                    self.act(from, actions.unwrap_or_default());
                }
                Action::Event(_) => {}
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
                self.under_way
                    .extend(back.map(|back| (from, What::Exchanged(back))));
                actions
            }
            What::Exchanged(bytes) => fleet.handle_exchange_response(now, &bytes),
        };
        self.act(to, actions);
        self.check();
    }

    fn time(&mut self) {
        let wake = self
            .all
            .iter()
            .map(|(&at, fleet)| (fleet.next_wake_ms(), at))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((due, who)) = wake.filter(|(due, _)| due.is_finite()) {
            self.now = self.now.max(due);
            let now = self.now;
            let actions = self
                .all
                .get_mut(&who)
                .map(|fleet| fleet.wake(now))
                .unwrap_or_default();
            self.act(who, actions);
            self.check();
        }
    }

    /// What may happen next. Of what is under way the first three: more differ in nothing but their place.
    fn steps(&self) -> Vec<Step> {
        let first = 0..self.under_way.len().min(3);
        let mut steps: Vec<Step> = first.clone().map(Step::Comes).collect();
        if self.losses > 0 {
            steps.extend(first.clone().map(Step::Lost));
        }
        if self.doubles > 0 {
            steps.extend(first.map(Step::Twice));
        }
        // Time passes for all in step: nobody wakes while a dozen messages wait.
        if self.under_way.len() < 4 {
            steps.push(Step::Time);
        }
        if self.crashes > 0 {
            steps.extend([0, 2].map(Step::Crash));
        }
        if self.restarts > 0 {
            steps.extend(
                (0..3)
                    .filter(|&n| !self.all.contains_key(&at(n)))
                    .map(Step::Restart),
            );
        }
        steps
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Comes(n) => {
                let (to, what) = self.under_way.remove(n);
                self.deliver(to, what);
            }
            Step::Lost(n) => {
                self.losses -= 1;
                self.under_way.remove(n);
            }
            Step::Twice(n) => {
                self.doubles -= 1;
                let (to, what) = self.under_way[n].clone();
                self.deliver(to, what);
            }
            Step::Time => self.time(),
            Step::Crash(n) => {
                self.crashes -= 1;
                self.all.remove(&at(n));
                self.held.retain(|(holder, _), _| *holder != at(n));
            }
            Step::Restart(n) => {
                self.restarts -= 1;
                self.all
                    .insert(at(n), Membership::new(self.now, told(n, 10 + n as u64)));
            }
        }
    }

    /// Properties 1 to 4.
    fn check(&mut self) {
        for fleet in self.all.values().filter(|fleet| fleet.is_member()) {
            let me = fleet.local_record();
            let said = self
                .taken
                .entry((me.name.clone(), me.generation, me.nonce))
                .or_default();
            assert!(me.incarnation >= *said, "{me:?} goes back");
            *said = me.incarnation;
        }
        for (&holder, fleet) in &self.all {
            for seen in fleet.view().iter() {
                let record = &seen.record;
                assert_ne!(record.name, fleet.local_record().name);
                let run = (record.name.clone(), record.generation, record.nonce);
                let said = self
                    .taken
                    .get(&run)
                    .unwrap_or_else(|| panic!("{record:?} never was"));
                let spoken = record
                    .incarnation
                    .saturating_sub(u32::from(record.status != Status::Alive));
                assert!(spoken <= *said, "{record:?} was never said");
                let held = self.held.entry((holder, record.name.clone())).or_default();
                assert!(record.run_id() >= *held, "{holder} goes back to {record:?}");
                *held = record.run_id();
            }
        }
    }

    /// Goes on without faults: whatever is under way comes, in order, before time passes.
    fn fairly(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            while !self.under_way.is_empty() {
                let (to, what) = self.under_way.remove(0);
                self.deliver(to, what);
            }
            self.time();
        }
    }

    fn unsettled(&self) -> Option<String> {
        let hashes: HashSet<u64> = self.all.values().map(Membership::view_hash).collect();
        let there = |fleet: &Membership| {
            fleet.view().live_count() + 1 == self.all.len() && fleet.is_member()
        };
        let well = hashes.len() == 1 && self.all.values().all(there);
        let views = || {
            let all = self.all.values().map(|f| {
                (
                    f.local_record().name.clone(),
                    f.state_name(),
                    f.view().live_count(),
                )
            });
            format!("{:?}", all.collect::<Vec<_>>())
        };
        (!well).then(views)
    }

    /// Property 5.
    fn settles(&self) {
        let mut world = self.clone();
        let bound = told(0, 0).settings.convergence_bound_ms(3);
        let began = world.now;
        loop {
            let Some(why) = world.unsettled() else { return };
            assert!(world.now - began < bound, "not settled: {why}");
            world.fairly(1000.0);
        }
    }

    fn mark(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for (at, fleet) in &self.all {
            (at, format!("{fleet:?}")).hash(&mut hasher);
        }
        let mut under_way = self.under_way.clone();
        under_way.sort();
        (
            under_way,
            self.losses,
            self.doubles,
            self.crashes,
            self.restarts,
        )
            .hash(&mut hasher);
        hasher.finish()
    }
}

/// Every order of so many steps; how many states there were, and how many of them were ends.
fn explore(world: &World, depth: usize, seen: &mut HashSet<(usize, u64)>, ends: &mut u64) {
    if !seen.insert((depth, world.mark())) {
        return;
    }
    if depth == 0 {
        *ends += 1;
        // Each fourth end: they differ by a step or two, and playing on takes most of the time.
        if *ends % 4 == 0 {
            world.settles();
        }
        return;
    }
    for step in world.steps() {
        let mut next = world.clone();
        next.take(step);
        explore(&next, depth - 1, seen, ends);
    }
}

#[test]
fn every_order_of_a_few_steps_keeps_the_properties() {
    let (mut seen, mut ends) = (HashSet::new(), 0);
    explore(&World::new(), DEPTH, &mut seen, &mut ends);
    assert!(seen.len() > 2_000, "{} states", seen.len());
    eprintln!("{} states, {ends} ends", seen.len());
}

#[test]
fn long_ways_through_them_keep_the_properties() {
    use rand_pcg::rand_core::{Rng, SeedableRng};
    for seed in 0..60 {
        let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::new();
        (world.losses, world.doubles, world.crashes, world.restarts) = (40, 20, 6, 6);
        for _ in 0..400 {
            let steps = world.steps();
            world.take(steps[(random.next_u64() % steps.len() as u64) as usize]);
            if world.all.len() < 2 {
                world.crashes = 0;
            }
        }
        world.settles();
    }
}
