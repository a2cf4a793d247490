//! Replicas and owners on a simulated network that loses, duplicates, delays and blocks messages, at random by a seed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use asterdale_membership::authentication::MessageAuthenticator;
use asterdale_ownership::message::{decode, member, MessageBody};
use asterdale_ownership::replica::{Replica, ReplicaConfig};
use asterdale_ownership::{
    Action, Answer, KeyedRequest, Owner, OwnershipEvent, OwnershipRequest, OwnershipSettings,
    StorageWrite, StoredState, Verdict,
};
use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Duration of a simulation step, in milliseconds.
const STEP_MS: f64 = 10.0;
/// Latency of a message, and the maximum random delay that is added while the loss rate is not 0, in milliseconds.
const LATENCY_MS: f64 = 1.0;
const MAX_DELAY_MS: f64 = 40.0;
const FIRST_PORT: u16 = 9000;
/// Owners are numbered from here, replicas from 0.
pub const FIRST_OWNER: usize = 100;

fn address(process: usize) -> SocketAddr {
    ([127, 0, 0, 1], FIRST_PORT + process as u16).into()
}

fn process_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

/// A message in flight.
struct InFlightMessage {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

pub struct Network {
    pub now_ms: f64,
    pub replicas: BTreeMap<usize, Replica>,
    pub owners: BTreeMap<usize, Owner>,
    /// Paused processes: their timers do not fire, and messages to them are queued.
    pub paused: BTreeSet<usize>,
    /// Pairs of sender and recipient whose messages are all lost.
    pub disconnected: BTreeSet<(usize, usize)>,
    pub loss_rate: f64,
    pub duplicate_rate: f64,
    /// Answers to owners, by owner and request number.
    pub answers: BTreeMap<(usize, u64), Answer>,
    pub offers: Vec<(usize, KeyedRequest)>,
    pub events: Vec<(usize, OwnershipEvent)>,
    /// The encoded table by group and log index, of the first replica that applied that index.
    tables: BTreeMap<(u64, u64), Vec<u8>>,
    /// By time of arrival (as ordered bits) and message number.
    in_flight: BTreeMap<(u64, u64), InFlightMessage>,
    message_count: u64,
    random: Pcg64Mcg,
    settings: OwnershipSettings,
    configured_replicas: usize,
    /// Whether replicas that are started from now on have durable storage.
    pub durable: bool,
    pub disks: BTreeMap<usize, StoredState>,
    /// Replicas whose writes fail.
    pub failing_disks: BTreeSet<usize>,
}

/// Applies a write to a disk.
fn apply_write(disk: &mut StoredState, write: StorageWrite) {
    match write {
        StorageWrite::Identity(bytes) => disk.identity = bytes,
        StorageWrite::HardState(bytes) => disk.hard_state = bytes,
        StorageWrite::Snapshot {
            last_index,
            bytes,
            delete_all_entries,
        } => {
            disk.snapshot = bytes;
            disk.entries
                .retain(|(index, _)| !delete_all_entries && *index > last_index);
        }
        StorageWrite::Entries(first_index, entries) => {
            disk.entries.retain(|(index, _)| *index < first_index);
            disk.entries.extend((first_index..).zip(entries));
        }
    }
}

impl Network {
    pub fn new(seed: u64, replicas: usize, owners: usize, settings: OwnershipSettings) -> Network {
        let mut net = Network {
            now_ms: 0.0,
            replicas: BTreeMap::new(),
            owners: BTreeMap::new(),
            paused: BTreeSet::new(),
            disconnected: BTreeSet::new(),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            answers: BTreeMap::new(),
            offers: Vec::new(),
            events: Vec::new(),
            tables: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            message_count: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            settings,
            configured_replicas: replicas,
            durable: false,
            disks: BTreeMap::new(),
            failing_disks: BTreeSet::new(),
        };
        (0..replicas).for_each(|n| net.start_replica(n));
        (0..owners).for_each(|n| net.start_owner(FIRST_OWNER + n));
        net
    }

    fn authenticator() -> MessageAuthenticator {
        MessageAuthenticator::new(b"key")
    }

    /// Starts a new process of a replica, with the state on its disk or without state.
    pub fn start_replica(&mut self, n: usize) {
        let node = self.random.next_u64() | 1;
        let replicas = 0..self.configured_replicas;
        let stored = self
            .durable
            .then(|| self.disks.get(&n).cloned().unwrap_or_default());
        let config = ReplicaConfig {
            member: member(&format!("k{n}"), node, address(n)),
            replicas: replicas.map(|n| (format!("k{n}"), address(n))).collect(),
            settings: self.settings.clone(),
            authenticator: Network::authenticator(),
            seed: node,
            unix_s: 1000,
            stored,
        };
        self.replicas.insert(n, Replica::new(self.now_ms, config));
    }

    /// Sets how many replicas all processes are configured with.
    pub fn configure_replicas(&mut self, replicas: usize) {
        self.configured_replicas = replicas;
        let owners: Vec<usize> = self.owners.keys().copied().collect();
        owners.into_iter().for_each(|n| self.start_owner(n));
    }

    /// Starts a new process of an owner.
    pub fn start_owner(&mut self, n: usize) {
        let node = self.random.next_u64() | 1;
        let replicas = (0..self.configured_replicas).map(address).collect();
        let member = member(&format!("o{n}"), node, address(n));
        let (settings, authenticator) = (self.settings.clone(), Network::authenticator());
        let owner = Owner::new(self.now_ms, member, replicas, settings, authenticator);
        self.owners.insert(n, owner);
    }

    /// A random number in the range `0.0..1.0`.
    fn random_fraction(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn execute(&mut self, process: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => self.send(process, process_at(to), &bytes),
                Action::Persist(writes) => {
                    if self.failing_disks.contains(&process) {
                        // No later action may be executed, and the process can't continue as this member.
                        assert!(!writes.is_empty());
                        self.replicas.remove(&process);
                        return;
                    }
                    let disk = self.disks.entry(process).or_default();
                    writes
                        .into_iter()
                        .for_each(|write| apply_write(disk, write));
                }
                Action::Report(event) => self.events.push((process, event)),
                Action::Answer(number, answer) => {
                    self.answers.insert((process, number), answer);
                }
                Action::OfferOwnerless(requests) => {
                    let offers = requests.into_iter().map(|request| (process, request));
                    self.offers.extend(offers);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if self.disconnected.contains(&(from, to)) || self.random_fraction() < self.loss_rate {
            return;
        }
        let is_duplicated = self.random_fraction() < self.duplicate_rate;
        for _ in 0..1 + usize::from(is_duplicated) {
            let delay_ms = if self.loss_rate > 0.0 {
                self.random_fraction() * MAX_DELAY_MS
            } else {
                0.0
            };
            let message = InFlightMessage {
                from,
                to,
                bytes: bytes.to_vec(),
            };
            self.enqueue(self.now_ms + LATENCY_MS + delay_ms, message);
        }
    }

    fn enqueue(&mut self, arrival_ms: f64, message: InFlightMessage) {
        self.message_count += 1;
        self.in_flight
            .insert((arrival_ms.to_bits(), self.message_count), message);
    }

    /// Advances the time by one step: delivers the messages that have arrived, fires timers, compares the tables.
    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        while let Some(first) = self.in_flight.first_entry() {
            if f64::from_bits(first.key().0) > self.now_ms {
                break;
            }
            let message = first.remove();
            if self.paused.contains(&message.to) {
                self.enqueue(self.now_ms + STEP_MS, message);
            } else {
                self.deliver(&message);
            }
        }
        self.fire_timers();
        self.compare_tables();
    }

    fn deliver(&mut self, message: &InFlightMessage) {
        let Some((from, address, body)) = decode(&Network::authenticator(), &message.bytes) else {
            panic!("message of process {} can't be decoded", message.from)
        };
        let (now_ms, to) = (self.now_ms, message.to);
        let actions = match (body, self.owners.get_mut(&to), self.replicas.get_mut(&to)) {
            (MessageBody::Answers(answers), Some(owner), _) => {
                let mut actions = owner.receive(now_ms, answers);
                actions.extend(owner.flush(now_ms));
                actions
            }
            (body, _, Some(replica)) => {
                let mut actions = replica.receive(now_ms, &from, address, body);
                actions.extend(replica.flush(now_ms));
                actions
            }
            _ => return,
        };
        self.execute(to, actions);
    }

    fn fire_timers(&mut self) {
        let now_ms = self.now_ms;
        let processes = self.replicas.keys().chain(self.owners.keys()).copied();
        let running = processes.filter(|process| !self.paused.contains(process));
        for process in running.collect::<Vec<_>>() {
            let mut actions = Vec::new();
            if let Some(replica) = self.replicas.get_mut(&process) {
                if replica.next_wake_ms() <= now_ms {
                    actions = replica.wake(now_ms);
                }
            } else if let Some(owner) = self.owners.get_mut(&process) {
                if owner.next_wake_ms() <= now_ms {
                    actions = owner.wake(now_ms);
                }
            }
            self.execute(process, actions);
        }
    }

    /// Checks that replicas which have applied the same index of the same log have the same table.
    fn compare_tables(&mut self) {
        let nodes = self.replicas.values().filter_map(Replica::raft_node);
        for raft_node in nodes {
            let mut table = raft_node.table.clone();
            // Membership changes are not commands to the table, so the members are not compared.
            table.members.clear();
            let bytes = table.encode();
            let (group, index) = (raft_node.group, raft_node.applied_index());
            let expected = self
                .tables
                .entry((group, index))
                .or_insert_with(|| bytes.clone());
            assert!(
                *expected == bytes,
                "tables differ at index {index} of group {group}"
            );
        }
    }

    /// Advances the time by this duration.
    pub fn run(&mut self, duration_ms: f64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Advances the time until a condition is met. Returns the simulated time that this took, in milliseconds.
    pub fn run_until(&mut self, what: &str, max_ms: f64, is_met: impl Fn(&Network) -> bool) -> f64 {
        let start_ms = self.now_ms;
        while !is_met(self) {
            assert!(
                self.now_ms < start_ms + max_ms,
                "timed out waiting for {what}; events: {:?}",
                self.events
            );
            self.step();
        }
        self.now_ms - start_ms
    }

    /// Submits a request of an owner under a number.
    pub fn submit(&mut self, owner: usize, number: u64, request: OwnershipRequest) {
        let now_ms = self.now_ms;
        if let Some(state) = self.owners.get_mut(&owner) {
            state.submit(number, request);
            let actions = state.flush(now_ms);
            self.execute(owner, actions);
        }
    }

    pub fn verdict(&self, owner: usize, number: u64) -> Option<Verdict> {
        self.answers.get(&(owner, number)).map(Answer::verdict)
    }

    /// Submits a request and waits for its answer.
    pub fn submit_and_wait(
        &mut self,
        owner: usize,
        number: u64,
        request: OwnershipRequest,
    ) -> Answer {
        self.submit(owner, number, request);
        self.run_until("an answer", 30_000.0, |net| {
            net.answers.contains_key(&(owner, number))
        });
        self.answers[&(owner, number)].clone()
    }

    /// The number of a leader that is not paused.
    pub fn leader(&self) -> Option<usize> {
        let leads = |replica: &Replica| replica.raft_node().is_some_and(|node| node.is_leader());
        self.replicas
            .iter()
            .find(|(n, replica)| !self.paused.contains(n) && leads(replica))
            .map(|(n, _)| *n)
    }

    /// Whether an owner may act under its lease now.
    pub fn has_lease(&self, owner: usize) -> bool {
        self.owners[&owner].lease_until_ms() > self.now_ms
    }

    /// Waits until this many owners have leases, and then for another second.
    pub fn run_until_leases(&mut self, owners: usize) {
        self.run_until("leases", 20_000.0, |net| {
            (FIRST_OWNER..FIRST_OWNER + owners).all(|owner| net.has_lease(owner))
        });
        self.run(1000.0);
    }

    /// Number of events that meet a condition.
    pub fn count_events(&self, is_counted: impl Fn(&OwnershipEvent) -> bool) -> usize {
        let events = self.events.iter();
        events.filter(|(_, event)| is_counted(event)).count()
    }

    pub fn random_below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit
    }
}

/// A fenced request with this key and this number as its execution id.
pub fn request(key: u64, execution: u64) -> KeyedRequest {
    KeyedRequest {
        key: key.to_be_bytes().to_vec(),
        class: "bid".to_owned(),
        execution_id: format!("{execution:016x}").into_bytes(),
        body: b"body".to_vec(),
        deadline_ms: 60_000.0,
        retry_window_ms: 600_000.0,
        fenced: true,
        ..KeyedRequest::default()
    }
}

pub fn claim(key: u64, execution: u64) -> OwnershipRequest {
    OwnershipRequest::Claim(request(key, execution))
}

pub fn lookup(key: u64) -> OwnershipRequest {
    OwnershipRequest::Lookup {
        key: request(key, 0).key,
        body_digest: 0,
    }
}

pub fn complete(key: u64, fence: u64, result: Option<&[u8]>) -> OwnershipRequest {
    OwnershipRequest::Complete {
        key: request(key, 0).key,
        fence,
        result: result.map(<[u8]>::to_vec),
    }
}

pub fn settings() -> OwnershipSettings {
    OwnershipSettings {
        max_retry_window_ms: 500.0,
        ..OwnershipSettings::default()
    }
}
