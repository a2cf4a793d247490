//! A simulated network of a few processes in one test process. Messages are delayed, and may be lost or duplicated, and
//! links may be cut, all determined by a seed. The processes learn of each other from their messages only: the network
//! knows which processes run, but does not pass that on.
#![allow(dead_code)] // each test file uses a part of this module

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use asterdale_membership::{Action, Event, Membership, MembershipConfig, Settings};
use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A message, by how its receiver handles it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Delivery {
    Datagram(Vec<u8>),
    /// The request of an exchange, and where the response goes.
    ExchangeRequest(SocketAddr, Vec<u8>),
    ExchangeResponse(Vec<u8>),
}

/// A message in flight, ordered by its delivery time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    /// In microseconds, as floating point numbers have no total order.
    deliver_us: u64,
    /// Keeps messages with the same delivery time in the order in which they were sent.
    sent_number: u64,
    to: SocketAddr,
    delivery: Delivery,
}

pub struct Network {
    pub now_ms: f64,
    pub processes: BTreeMap<SocketAddr, Membership>,
    /// Addresses of paused processes.
    pub paused: BTreeSet<SocketAddr>,
    /// Pairs of sender and receiver between which no message is delivered.
    pub cut_links: BTreeSet<(SocketAddr, SocketAddr)>,
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that a datagram is delivered twice.
    pub duplication: f64,
    /// A datagram takes 1 ms and up to this much more.
    pub jitter_ms: f64,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    sent_count: u64,
    random: Pcg64Mcg,
    /// All events so far: the time, the name of the process, and the event.
    pub events: Vec<(f64, String, Event)>,
    pub settings: Settings,
    seeds: Vec<SocketAddr>,
    started_count: u64,
    /// Whether a process that was declared dead rejoins at once.
    pub rejoins_at_once: bool,
}

/// The address of process n.
pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7000))
}

/// The name of process n.
pub fn name(n: usize) -> String {
    format!("m{n:03}")
}

impl Network {
    /// A network without processes; the first `seed_count` ones will be the seeds.
    pub fn new(random_seed: u64, seed_count: usize) -> Network {
        Network {
            now_ms: 0.0,
            processes: BTreeMap::new(),
            paused: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            loss: 0.0,
            duplication: 0.0,
            jitter_ms: 4.0,
            in_flight: BinaryHeap::new(),
            sent_count: 0,
            random: Pcg64Mcg::seed_from_u64(random_seed),
            events: Vec::new(),
            settings: Settings::default(),
            seeds: (0..seed_count).map(address).collect(),
            started_count: 0,
            rejoins_at_once: true,
        }
    }

    fn random_fraction(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The configuration with which process n starts if it knows this last generation.
    pub fn config(&mut self, n: usize, last_generation: u64) -> MembershipConfig {
        self.started_count += 1;
        MembershipConfig {
            name: name(n),
            address: address(n),
            last_generation,
            nonce: self.random.next_u64(),
            seeds: self.seeds.clone(),
            key: b"the fleet's key".to_vec(),
            settings: self.settings.clone(),
            random_seed: self.started_count,
        }
    }

    pub fn start(&mut self, n: usize) {
        let config = self.config(n, 0);
        self.add_process(config);
    }

    pub fn add_process(&mut self, config: MembershipConfig) {
        let process = Membership::new(self.now_ms, config);
        self.processes
            .insert(process.local_record().address, process);
    }

    pub fn kill(&mut self, n: usize) {
        self.processes.remove(&address(n));
        self.paused.remove(&address(n));
    }

    pub fn process(&self, n: usize) -> &Membership {
        &self.processes[&address(n)]
    }

    pub fn process_mut(&mut self, n: usize) -> &mut Membership {
        self.processes.get_mut(&address(n)).unwrap()
    }

    /// Cuts all links between the two sets, in both directions.
    pub fn cut(&mut self, one: &[usize], other: &[usize]) {
        for pair in links_between(one, other) {
            self.cut_links.insert(pair);
        }
    }

    /// Restores all links between the two sets.
    pub fn heal(&mut self, one: &[usize], other: &[usize]) {
        for pair in links_between(one, other) {
            self.cut_links.remove(&pair);
        }
    }

    pub fn send(&mut self, to: SocketAddr, delivery: Delivery, delay_ms: f64) {
        self.sent_count += 1;
        let deliver_us = ((self.now_ms + delay_ms) * 1000.0) as u64;
        self.in_flight.push(Reverse(InFlight {
            deliver_us,
            sent_number: self.sent_count,
            to,
            delivery,
        }));
    }

    /// Sends the datagrams among these actions, even over cut links.
    pub fn send_datagrams(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send(to, bytes) = action {
                self.send(to, Delivery::Datagram(bytes), 1.0);
            }
        }
    }

    fn run_actions(&mut self, from: SocketAddr, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => self.send_datagram(from, to, &bytes),
                Action::Exchange(to, bytes) => self.send_exchange_request(from, to, bytes),
                Action::Event(event) => self.handle_event(from, event),
            }
        }
    }

    fn send_datagram(&mut self, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        if self.cut_links.contains(&(from, to)) || self.random_fraction() < self.loss {
            return;
        }
        let copies = 1 + usize::from(self.random_fraction() < self.duplication);
        for _ in 0..copies {
            let delay_ms = 1.0 + self.jitter_ms * self.random_fraction();
            self.send(to, Delivery::Datagram(bytes.to_vec()), delay_ms);
        }
    }

    /// An exchange uses a stream, which is not subject to loss but needs the links of both directions.
    fn send_exchange_request(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        if !self.cut_links.contains(&(from, to)) && !self.cut_links.contains(&(to, from)) {
            let delay_ms = 2.0 + 2.0 * self.jitter_ms * self.random_fraction();
            self.send(to, Delivery::ExchangeRequest(from, bytes), delay_ms);
        }
    }

    fn handle_event(&mut self, from: SocketAddr, event: Event) {
        let name = self.processes[&from].local_record().name.clone();
        if matches!(event, Event::DeclaredDead { .. }) && self.rejoins_at_once {
            let now_ms = self.now_ms;
            let process = self.processes.get_mut(&from);
            let actions = process.map(|process| process.rejoin(now_ms));
            self.run_actions(from, actions.unwrap_or_default());
        }
        self.events.push((self.now_ms, name, event));
    }

    /// Runs for this many milliseconds.
    pub fn run(&mut self, duration_ms: f64) {
        let end_ms = self.now_ms + duration_ms;
        loop {
            let running = self
                .processes
                .iter()
                .filter(|(address, _)| !self.paused.contains(address));
            let (wake_ms, process) = running
                .map(|(&address, process)| (process.next_wake_ms(), address))
                .min_by(|one, other| one.0.total_cmp(&other.0))
                .unwrap_or((f64::INFINITY, address(0)));
            let delivery_ms = self
                .in_flight
                .peek()
                .map_or(f64::INFINITY, |next| next.0.deliver_us as f64 / 1000.0);
            if wake_ms.min(delivery_ms) > end_ms {
                self.now_ms = end_ms;
                return;
            }
            self.now_ms = self.now_ms.max(wake_ms.min(delivery_ms));
            if delivery_ms <= wake_ms {
                self.deliver_next();
            } else {
                self.wake(process);
            }
        }
    }

    fn wake(&mut self, process: SocketAddr) {
        let now_ms = self.now_ms;
        let woken = self.processes.get_mut(&process);
        let actions = woken.map(|process| process.wake(now_ms));
        self.run_actions(process, actions.unwrap_or_default());
    }

    fn deliver_next(&mut self) {
        let Some(Reverse(InFlight { to, delivery, .. })) = self.in_flight.pop() else {
            return;
        };
        if self.paused.contains(&to) {
            // The message stays in the receiver's socket buffer until the receiver resumes.
            return self.send(to, delivery, 100.0);
        }
        let now_ms = self.now_ms;
        let Some(process) = self.processes.get_mut(&to) else {
            return;
        };
        let actions = match delivery {
            Delivery::Datagram(bytes) => process.handle_datagram(now_ms, &bytes),
            Delivery::ExchangeRequest(from, bytes) => {
                let (response, actions) = process.handle_exchange_request(now_ms, &bytes);
                if let Some(response) = response {
                    self.send(from, Delivery::ExchangeResponse(response), 2.0);
                }
                actions
            }
            Delivery::ExchangeResponse(bytes) => process.handle_exchange_response(now_ms, &bytes),
        };
        self.run_actions(to, actions);
    }

    /// Why the processes have not converged; `None` if every running process is a member, has exactly the running
    /// processes in its view, and all hashes are equal.
    pub fn divergence(&self) -> Option<String> {
        let generation_by_name = |process: &Membership| {
            let record = process.local_record();
            (record.name.clone(), record.generation)
        };
        let running: BTreeMap<String, u64> =
            self.processes.values().map(generation_by_name).collect();
        for process in self.processes.values() {
            let name = &process.local_record().name;
            if !process.is_member() {
                return Some(format!("{name} is {}", process.state_name()));
            }
            let live_members = process.view().iter().filter(|entry| entry.record.is_live());
            let mut view: BTreeMap<String, u64> = live_members
                .map(|entry| (entry.record.name.clone(), entry.record.generation))
                .collect();
            view.extend([generation_by_name(process)]);
            if view != running {
                return Some(format!(
                    "{name} has the live members {view:?}, but {running:?} are running"
                ));
            }
        }
        let hashes: BTreeSet<u64> = self.processes.values().map(Membership::view_hash).collect();
        (hashes.len() > 1).then(|| "view hashes differ".to_owned())
    }

    /// Runs until the processes have converged, which must happen within the documented bound.
    pub fn converge(&mut self) {
        let bound_ms = self.settings.convergence_bound_ms(self.processes.len());
        let started_ms = self.now_ms;
        while let Some(divergence) = self.divergence() {
            assert!(
                self.now_ms - started_ms < bound_ms,
                "not converged within {bound_ms} ms: {divergence}"
            );
            self.run(100.0);
        }
    }

    /// The number of events of all processes that match the predicate, which gets the process's name and the event.
    pub fn count_events(&self, matches: impl Fn(&str, &Event) -> bool) -> usize {
        self.events
            .iter()
            .filter(|(_, process, event)| matches(process, event))
            .count()
    }
}

fn links_between(one: &[usize], other: &[usize]) -> Vec<(SocketAddr, SocketAddr)> {
    let pairs = one
        .iter()
        .flat_map(|&from| other.iter().map(move |&to| (address(from), address(to))));
    pairs
        .flat_map(|(from, to)| [(from, to), (to, from)])
        .collect()
}
