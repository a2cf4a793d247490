//! Model checking of three processes: every order of a few steps in which messages are delivered, lost, duplicated or
//! reordered, and one process crashes and restarts without its earlier state. The properties that must hold:
//!
//! 1. No process replaces a record by one of an older run under the same name.
//! 2. No process has a record of a run (generation and nonce) that never existed.
//! 3. No process has a higher incarnation of a run than the run took itself, except that the record of a death has the
//!    next one.
//! 4. A process never has an entry of itself, and its incarnation never decreases within a generation.
//! 5. From every state in which the faults end, all live processes get equal views, within the documented bound.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use asterdale_membership::{Action, Event, Membership, MembershipConfig, Settings, Status};

/// Number of steps of which every order is explored: tens of thousands of states, in seconds.
const STEP_COUNT: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Delivery {
    Datagram(Vec<u8>),
    ExchangeRequest(SocketAddr, Vec<u8>),
    ExchangeResponse(Vec<u8>),
}

/// The next step of the model. The number is the index of a message in flight, or of a process.
#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    /// Time passes until the next timer of a process is due.
    Wake,
    Crash(usize),
    Restart(usize),
}

#[derive(Clone)]
struct Model {
    now_ms: f64,
    processes: BTreeMap<SocketAddr, Membership>,
    in_flight: Vec<(SocketAddr, Delivery)>,
    losses_left: u32,
    duplicates_left: u32,
    crashes_left: u32,
    restarts_left: u32,
    /// The highest incarnation of each run so far, by name, generation and nonce.
    taken_runs: BTreeMap<(String, u64, u64), u32>,
    /// The newest run of each name that each process has had in its view.
    newest_runs: BTreeMap<(SocketAddr, String), (u64, u64)>,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7000))
}

fn config(n: usize, nonce: u64) -> MembershipConfig {
    let settings = Settings {
        suspicion_multiplier: 2.0,
        max_suspicion_multiplier: 2.0,
        exchange_intervals: 8.0,
        dead_ping_intervals: 2.0,
        ..Settings::default()
    };
    MembershipConfig {
        name: format!("m{n}"),
        address: address(n),
        last_generation: 0,
        nonce,
        seeds: vec![address(0), address(1)],
        key: b"key".to_vec(),
        settings,
        random_seed: n as u64,
    }
}

impl Model {
    /// Three processes with equal views, and no message in flight.
    fn new() -> Model {
        let mut model = Model {
            now_ms: 0.0,
            processes: BTreeMap::new(),
            in_flight: Vec::new(),
            losses_left: 2,
            duplicates_left: 1,
            crashes_left: 1,
            restarts_left: 1,
            taken_runs: BTreeMap::new(),
            newest_runs: BTreeMap::new(),
        };
        for n in 0..3 {
            model.start(n, n as u64 + 1);
        }
        model.run_without_faults(30_000.0);
        assert_eq!(model.divergence(), None);
        model.in_flight.clear();
        model
    }

    fn start(&mut self, n: usize, nonce: u64) {
        let process = Membership::new(self.now_ms, config(n, nonce));
        self.processes.insert(address(n), process);
    }

    fn run_actions(&mut self, from: SocketAddr, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => self.in_flight.push((to, Delivery::Datagram(bytes))),
                Action::Exchange(to, bytes) => {
                    let request = Delivery::ExchangeRequest(from, bytes);
                    self.in_flight.push((to, request));
                }
                Action::Event(Event::DeclaredDead { .. }) => {
                    let now_ms = self.now_ms;
                    let process = self.processes.get_mut(&from);
                    let actions = process.map(|process| process.rejoin(now_ms));
                    self.run_actions(from, actions.unwrap_or_default());
                }
                Action::Event(_) => {}
            }
        }
    }

    fn deliver(&mut self, to: SocketAddr, delivery: Delivery) {
        let now_ms = self.now_ms;
        let Some(process) = self.processes.get_mut(&to) else {
            return;
        };
        let actions = match delivery {
            Delivery::Datagram(bytes) => process.handle_datagram(now_ms, &bytes),
            Delivery::ExchangeRequest(from, bytes) => {
                let (response, actions) = process.handle_exchange_request(now_ms, &bytes);
                let response = response.map(Delivery::ExchangeResponse);
                self.in_flight
                    .extend(response.map(|response| (from, response)));
                actions
            }
            Delivery::ExchangeResponse(bytes) => process.handle_exchange_response(now_ms, &bytes),
        };
        self.run_actions(to, actions);
        self.check_properties();
    }

    fn wake_next(&mut self) {
        let next = self
            .processes
            .iter()
            .map(|(&address, process)| (process.next_wake_ms(), address))
            .min_by(|one, other| one.0.total_cmp(&other.0));
        if let Some((wake_ms, address)) = next.filter(|(wake_ms, _)| wake_ms.is_finite()) {
            self.now_ms = self.now_ms.max(wake_ms);
            let now_ms = self.now_ms;
            let process = self.processes.get_mut(&address);
            let actions = process.map(|process| process.wake(now_ms));
            self.run_actions(address, actions.unwrap_or_default());
            self.check_properties();
        }
    }

    /// The steps that may come next. Only the first three messages in flight are considered, as orders of more messages
    /// differ little.
    fn possible_steps(&self) -> Vec<Step> {
        let messages = 0..self.in_flight.len().min(3);
        let mut steps: Vec<Step> = messages.clone().map(Step::Deliver).collect();
        if self.losses_left > 0 {
            steps.extend(messages.clone().map(Step::Lose));
        }
        if self.duplicates_left > 0 {
            steps.extend(messages.map(Step::Duplicate));
        }
        // Time passes for all processes alike, so no process is woken repeatedly while many messages are in flight.
        if self.in_flight.len() < 4 {
            steps.push(Step::Wake);
        }
        if self.crashes_left > 0 {
            steps.extend([0, 2].map(Step::Crash));
        }
        if self.restarts_left > 0 {
            let crashed = (0..3).filter(|&n| !self.processes.contains_key(&address(n)));
            steps.extend(crashed.map(Step::Restart));
        }
        steps
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Deliver(n) => {
                let (to, delivery) = self.in_flight.remove(n);
                self.deliver(to, delivery);
            }
            Step::Lose(n) => {
                self.losses_left -= 1;
                self.in_flight.remove(n);
            }
            Step::Duplicate(n) => {
                self.duplicates_left -= 1;
                let (to, delivery) = self.in_flight[n].clone();
                self.deliver(to, delivery);
            }
            Step::Wake => self.wake_next(),
            Step::Crash(n) => {
                self.crashes_left -= 1;
                self.processes.remove(&address(n));
                self.newest_runs
                    .retain(|(process, _), _| *process != address(n));
            }
            Step::Restart(n) => {
                self.restarts_left -= 1;
                self.start(n, 10 + n as u64);
            }
        }
    }

    /// Checks properties 1 to 4.
    fn check_properties(&mut self) {
        let members = self
            .processes
            .values()
            .filter(|process| process.is_member());
        for local in members.map(Membership::local_record) {
            let run = (local.name.clone(), local.generation, local.nonce);
            let highest_incarnation = self.taken_runs.entry(run).or_default();
            assert!(
                local.incarnation >= *highest_incarnation,
                "the incarnation decreased: {local:?}"
            );
            *highest_incarnation = local.incarnation;
        }
        for (&address, process) in &self.processes {
            for record in process.view().iter().map(|entry| &entry.record) {
                assert_ne!(record.name, process.local_record().name);
                let run = (record.name.clone(), record.generation, record.nonce);
                let highest_incarnation = self
                    .taken_runs
                    .get(&run)
                    .unwrap_or_else(|| panic!("the run never existed: {record:?}"));
                let incarnation_of_run = record
                    .incarnation
                    .saturating_sub(u32::from(record.status != Status::Alive));
                assert!(
                    incarnation_of_run <= *highest_incarnation,
                    "the run never had this incarnation: {record:?}"
                );
                let name = record.name.clone();
                let newest_run = self.newest_runs.entry((address, name)).or_default();
                assert!(
                    record.run_id() >= *newest_run,
                    "{address} replaced a newer run by {record:?}"
                );
                *newest_run = record.run_id();
            }
        }
    }

    /// Runs without faults: messages are delivered in order, and all of them before time passes.
    fn run_without_faults(&mut self, duration_ms: f64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            while !self.in_flight.is_empty() {
                let (to, delivery) = self.in_flight.remove(0);
                self.deliver(to, delivery);
            }
            self.wake_next();
        }
    }

    /// Describes the processes if their views are not equal and complete.
    fn divergence(&self) -> Option<String> {
        let hashes: HashSet<u64> = self.processes.values().map(Membership::view_hash).collect();
        let is_complete = |process: &Membership| {
            process.view().live_count() + 1 == self.processes.len() && process.is_member()
        };
        let has_converged = hashes.len() == 1 && self.processes.values().all(is_complete);
        (!has_converged).then(|| {
            let describe = |process: &Membership| {
                let name = process.local_record().name.clone();
                let live_count = process.view().live_count();
                format!("{name} is {}, {live_count} live", process.state_name())
            };
            let processes: Vec<String> = self.processes.values().map(describe).collect();
            processes.join("; ")
        })
    }

    /// Checks property 5, on a copy.
    fn check_convergence(&self) {
        let mut model = self.clone();
        let bound_ms = config(0, 0).settings.convergence_bound_ms(3);
        let started_ms = model.now_ms;
        while let Some(divergence) = model.divergence() {
            assert!(
                model.now_ms - started_ms < bound_ms,
                "not converged: {divergence}"
            );
            model.run_without_faults(1000.0);
        }
    }

    /// Equal for equal states, whatever the order of the messages in flight.
    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for (address, process) in &self.processes {
            (address, format!("{process:?}")).hash(&mut hasher);
        }
        let mut in_flight = self.in_flight.clone();
        in_flight.sort();
        in_flight.hash(&mut hasher);
        let faults_left = [
            self.losses_left,
            self.duplicates_left,
            self.crashes_left,
            self.restarts_left,
        ];
        faults_left.hash(&mut hasher);
        hasher.finish()
    }
}

/// Explores every order of this many steps. Collects the states seen, and counts the states after the last step.
fn explore(
    model: &Model,
    depth: usize,
    seen: &mut HashSet<(usize, u64)>,
    final_state_count: &mut u64,
) {
    if !seen.insert((depth, model.state_hash())) {
        return;
    }
    if depth == 0 {
        *final_state_count += 1;
        // Checks every fourth state: they differ by only a step or two, and this check takes most of the time.
        if *final_state_count % 4 == 0 {
            model.check_convergence();
        }
        return;
    }
    for step in model.possible_steps() {
        let mut next = model.clone();
        next.apply_step(step);
        explore(&next, depth - 1, seen, final_state_count);
    }
}

#[test]
fn every_order_of_a_few_steps_keeps_the_properties() {
    let (mut seen, mut final_state_count) = (HashSet::new(), 0);
    explore(&Model::new(), STEP_COUNT, &mut seen, &mut final_state_count);
    assert!(seen.len() > 2_000, "{} states", seen.len());
    eprintln!("{} states, {final_state_count} final", seen.len());
}

#[test]
fn long_random_runs_keep_the_properties() {
    use rand_pcg::rand_core::{Rng, SeedableRng};
    for random_seed in 0..60 {
        let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(random_seed);
        let mut model = Model::new();
        model.losses_left = 40;
        model.duplicates_left = 20;
        model.crashes_left = 6;
        model.restarts_left = 6;
        for _ in 0..400 {
            let steps = model.possible_steps();
            model.apply_step(steps[(random.next_u64() % steps.len() as u64) as usize]);
            if model.processes.len() < 2 {
                model.crashes_left = 0;
            }
        }
        model.check_convergence();
    }
}
