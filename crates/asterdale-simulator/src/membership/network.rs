//! Simulated network of membership state machines: delays, loss, partitions, crashes and pauses.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use asterdale_membership::{Action, Event, MemberChange, Membership, MembershipConfig, Settings};

use super::Scenario;
use crate::event_queue::EventQueue;
use crate::random::RandomStream;
use crate::Nanos;

pub(super) const NANOS_PER_MS: f64 = 1e6;
/// Random stream of this model. Streams of other models have other numbers.
const RANDOM_STREAM: u64 = 77;
/// Members whose addresses a starting member knows.
const SEED_MEMBERS: usize = 3;
/// One-way delay in a data centre: half a millisecond on average, sometimes several milliseconds.
const MEAN_DELAY_MS: f64 = 0.5;
/// Standard deviation of the delay's logarithm.
const DELAY_SIGMA: f64 = 0.8;
/// Interval at which the members are checked for agreement, in milliseconds.
const AGREEMENT_CHECK_MS: f64 = 50.0;

enum Delivery {
    Wake,
    Datagram(Vec<u8>),
    /// A request of a state exchange, with the index of the member that sent it.
    ExchangeRequest(usize, Vec<u8>),
    ExchangeResponse(Vec<u8>),
    /// A paused member continues.
    Resume,
}

pub(super) struct Network {
    pub(super) now: Nanos,
    pub(super) settings: Settings,
    /// Probability that a datagram is lost.
    pub(super) loss: f64,
    pub(super) is_partitioned: bool,
    pub(super) false_deaths: u64,
    pub(super) false_suspicions: u64,
    pub(super) datagrams_sent: u64,
    pub(super) bytes_sent: u64,
    /// `None` for a crashed member.
    machines: Vec<Option<Membership>>,
    queue: EventQueue<(usize, Delivery)>,
    /// By member: time of its next scheduled wake-up.
    wake_times: Vec<Nanos>,
    random: RandomStream,
    /// Paused members and what was delivered to them meanwhile.
    paused: HashMap<usize, Vec<Delivery>>,
    index_by_address: HashMap<SocketAddr, usize>,
    crashed: Option<usize>,
    /// When each member declared the crashed one dead, in milliseconds.
    detections_ms: BTreeMap<usize, f64>,
}

fn address_of(index: usize) -> SocketAddr {
    let host = [10, (index / 65_536) as u8, (index / 256) as u8, index as u8];
    SocketAddr::from((host, 7000))
}

fn name_of(index: usize) -> String {
    format!("m{index:05}")
}

impl Network {
    pub(super) fn new(scenario: &Scenario, seed: u64) -> Network {
        let mut settings = Settings::default();
        if scenario.is_plain_swim {
            settings.max_suspicion_multiplier = 1.0;
        }
        let mut network = Network {
            now: 0,
            settings,
            loss: 0.0,
            is_partitioned: false,
            false_deaths: 0,
            false_suspicions: 0,
            datagrams_sent: 0,
            bytes_sent: 0,
            machines: Vec::new(),
            queue: EventQueue::default(),
            wake_times: Vec::new(),
            random: RandomStream::new(seed, RANDOM_STREAM),
            paused: HashMap::new(),
            index_by_address: HashMap::new(),
            crashed: None,
            detections_ms: BTreeMap::new(),
        };
        for index in 0..scenario.members {
            network.add_member(index, scenario.members, seed);
        }
        network
    }

    fn add_member(&mut self, index: usize, members: usize, seed: u64) {
        let config = MembershipConfig {
            name: name_of(index),
            address: address_of(index),
            last_generation: 0,
            nonce: seed << 20 | index as u64,
            seeds: (0..SEED_MEMBERS.min(members)).map(address_of).collect(),
            key: b"key".to_vec(),
            settings: self.settings.clone(),
            random_seed: seed ^ (index as u64) << 32,
        };
        self.index_by_address.insert(address_of(index), index);
        self.wake_times.push(Nanos::MAX);
        self.machines.push(Some(Membership::new(0.0, config)));
        self.schedule_wake(index);
    }

    /// Number of members, crashed ones included.
    pub(super) fn members(&self) -> usize {
        self.machines.len()
    }

    pub(super) fn reset_counters(&mut self) {
        self.datagrams_sent = 0;
        self.bytes_sent = 0;
        self.false_deaths = 0;
        self.false_suspicions = 0;
    }

    pub(super) fn crash_random_member(&mut self) {
        let index = self.random.index(self.members());
        self.machines[index] = None;
        self.crashed = Some(index);
    }

    /// Pauses a random one of the first `count` members, unless it is paused already.
    pub(super) fn pause_random_member(&mut self, count: usize) {
        let index = self.random.index(count);
        if let Entry::Vacant(entry) = self.paused.entry(index) {
            entry.insert(Vec::new());
            let pause_ms = 500.0 + 1500.0 * self.random.uniform();
            let resume_at = self.now + (pause_ms * NANOS_PER_MS) as Nanos;
            self.queue.schedule(resume_at, (index, Delivery::Resume));
        }
    }

    pub(super) fn first_detection_ms(&self) -> Option<f64> {
        self.detections_ms.values().copied().reduce(f64::min)
    }

    pub(super) fn last_detection_ms(&self) -> Option<f64> {
        self.detections_ms.values().copied().reduce(f64::max)
    }

    /// Whether all live members have declared the crashed one dead.
    pub(super) fn has_full_detection(&self) -> bool {
        self.crashed.is_some() && self.detections_ms.len() + 1 == self.members()
    }

    /// Runs until all members agree, and returns how long that took in milliseconds; `None` if it exceeds the bound.
    pub(super) fn run_until_agreement(&mut self, bound_ms: f64) -> Option<f64> {
        let started_at = self.now;
        while !self.has_agreement() {
            if (self.now - started_at) as f64 / NANOS_PER_MS > bound_ms {
                return None;
            }
            self.run(self.now + (AGREEMENT_CHECK_MS * NANOS_PER_MS) as Nanos);
        }
        Some((self.now - started_at) as f64 / NANOS_PER_MS)
    }

    /// Whether all live members have the same view, with all live members in it.
    fn has_agreement(&self) -> bool {
        let live: Vec<&Membership> = self.machines.iter().flatten().collect();
        let first_hash = live.first().map(|machine| machine.view_hash());
        live.iter().all(|machine| {
            machine.is_member()
                && machine.view().live_count() + 1 == live.len()
                && Some(machine.view_hash()) == first_hash
        })
    }

    /// Runs until this time.
    pub(super) fn run(&mut self, until: Nanos) {
        while let Some((time, (to, delivery))) = self.queue.pop() {
            if time > until {
                self.queue.schedule(time, (to, delivery));
                self.now = until;
                return;
            }
            self.now = time;
            self.deliver(to, delivery);
        }
    }

    fn deliver(&mut self, to: usize, delivery: Delivery) {
        if matches!(delivery, Delivery::Resume) {
            return self.resume(to);
        }
        let is_wake = matches!(delivery, Delivery::Wake);
        if let Some(waiting) = self.paused.get_mut(&to) {
            // A wake-up is not queued, since a resumed member is woken in any case.
            if !is_wake {
                waiting.push(delivery);
            }
            return;
        }
        if is_wake {
            // An earlier wake-up was scheduled since and has replaced this one.
            if self.now != self.wake_times[to] {
                return;
            }
            self.wake_times[to] = Nanos::MAX;
        }
        self.handle(to, delivery);
    }

    fn resume(&mut self, index: usize) {
        for delivery in self.paused.remove(&index).unwrap_or_default() {
            self.handle(index, delivery);
        }
        self.handle(index, Delivery::Wake);
    }

    fn handle(&mut self, to: usize, delivery: Delivery) {
        let now_ms = self.now_ms();
        let Some(machine) = &mut self.machines[to] else {
            return;
        };
        let actions = match delivery {
            Delivery::Wake | Delivery::Resume => machine.wake(now_ms),
            Delivery::Datagram(bytes) => machine.handle_datagram(now_ms, &bytes),
            Delivery::ExchangeResponse(bytes) => machine.handle_exchange_response(now_ms, &bytes),
            Delivery::ExchangeRequest(from, bytes) => {
                let (response, actions) = machine.handle_exchange_request(now_ms, &bytes);
                if let Some(response) = response {
                    self.bytes_sent += response.len() as u64;
                    self.send(from, Delivery::ExchangeResponse(response), 1.0);
                }
                actions
            }
        };
        self.execute(to, actions);
        self.schedule_wake(to);
    }

    fn execute(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => self.send_datagram(from, to, bytes),
                Action::Exchange(to, bytes) => self.send_exchange(from, to, bytes),
                Action::Event(Event::DeclaredDead { .. }) => {
                    let now_ms = self.now_ms();
                    let machine = self.machines[from].as_mut();
                    let actions = machine.map(|machine| machine.rejoin(now_ms));
                    self.execute(from, actions.unwrap_or_default());
                }
                Action::Event(Event::MemberChanged {
                    name,
                    change,
                    reported_by,
                    ..
                }) => {
                    let is_crashed = self.crashed.is_some_and(|index| name == name_of(index));
                    let is_own_report = reported_by == name_of(from);
                    self.record_change(from, change, is_crashed, is_own_report);
                }
                Action::Event(_) => {}
            }
        }
    }

    fn send_datagram(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.datagrams_sent += 1;
        self.bytes_sent += bytes.len() as u64;
        let Some(&to) = self.index_by_address.get(&to) else {
            return;
        };
        if self.is_reachable(from, to) && self.random.uniform() >= self.loss {
            self.send(to, Delivery::Datagram(bytes), 1.0);
        }
    }

    fn send_exchange(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.bytes_sent += bytes.len() as u64;
        let Some(&to) = self.index_by_address.get(&to) else {
            return;
        };
        if self.is_reachable(from, to) {
            // The connection is opened first, which takes another trip.
            self.send(to, Delivery::ExchangeRequest(from, bytes), 2.0);
        }
    }

    fn record_change(
        &mut self,
        observer: usize,
        change: MemberChange,
        is_crashed: bool,
        is_own_report: bool,
    ) {
        let is_false = is_own_report && !is_crashed && !self.is_partitioned;
        match change {
            MemberChange::Died if is_crashed => {
                let now_ms = self.now_ms();
                self.detections_ms.entry(observer).or_insert(now_ms);
            }
            MemberChange::Died if is_false => self.false_deaths += 1,
            MemberChange::Suspected if is_false => self.false_suspicions += 1,
            _ => {}
        }
    }

    fn now_ms(&self) -> f64 {
        self.now as f64 / NANOS_PER_MS
    }

    /// Delivers after this many one-way trips.
    fn send(&mut self, to: usize, delivery: Delivery, trips: f64) {
        let delay_ms = self.random.lognormal(MEAN_DELAY_MS, DELAY_SIGMA);
        let delay = trips * delay_ms * NANOS_PER_MS;
        self.queue
            .schedule(self.now + delay as Nanos, (to, delivery));
    }

    /// Whether both members are on the same side of the partition, if there is one.
    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let half = self.members() / 2;
        !self.is_partitioned || (from < half) == (to < half)
    }

    /// Schedules the member's next wake-up, unless an earlier one is scheduled.
    fn schedule_wake(&mut self, index: usize) {
        let Some(machine) = &self.machines[index] else {
            return;
        };
        let next_ms = machine.next_wake_ms();
        if !next_ms.is_finite() {
            return;
        }
        let time = ((next_ms * NANOS_PER_MS) as Nanos + 1).max(self.now);
        if time < self.wake_times[index] {
            self.wake_times[index] = time;
            self.queue.schedule(time, (index, Delivery::Wake));
        }
    }
}
