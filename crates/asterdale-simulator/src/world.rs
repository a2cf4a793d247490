//! One simulation run: requests arrive, edge nodes send attempts, servers read, decide and execute, and faults start and
//! end.

use std::collections::{BTreeMap, HashMap, VecDeque};

use asterdale::events::Arrival;
use hdrhistogram::Histogram;

use crate::attempt_checker::{AttemptChecker, AttemptOutcome, ExecutionScope};
use crate::cores::{Cores, JobHandle};
use crate::decider::{Action, ActionQueue, Decider, Slot};
use crate::edge::{Edge, HashRing, PickRequest};
use crate::event_queue::EventQueue;
use crate::experiment::{Experiment, FaultKind};
use crate::random::RandomStream;
use crate::report::{quantiles_ms, RunReport, SecondReport};
use crate::{millis, nanos, Nanos};

/// Window of the CPU utilization gauge, in nanoseconds: the same as that of the platform's gauge.
const GAUGE_WINDOW_NS: Nanos = 500_000_000;
/// How long a server has to be overloaded without a break until it crashes, in nanoseconds.
const OVERLOAD_TO_CRASH_NS: Nanos = 1_000_000_000;
/// Time that is simulated after the last client's timeout, in milliseconds. Later events are dropped.
const EXTRA_TIME_MS: f64 = 1000.0;

enum Event {
    /// The next request arrives at its edge node.
    RequestArrival,
    /// An attempt reaches its server.
    AttemptArrival(u32),
    /// A job on a server's cores completes. Ignored if the version of the cores has changed since.
    JobCompletion(u32, u64),
    /// A tick that a server's decider scheduled. Ignored in a later incarnation of the server.
    Tick(u32, u32),
    /// An edge node receives an attempt's outcome, with the Retry-After in milliseconds.
    Outcome(u32, AttemptOutcome, f64),
    /// The edge node's timeout of an attempt has passed.
    AttemptTimeout(u32),
    /// A client's timeout has passed.
    ClientTimeout(u32),
    /// The delay before a request's retry has passed.
    Retry(u32),
    /// A server is notified that the edge node no longer waits for an attempt.
    CallerGone(u32),
    /// A fault starts (`true`) or ends.
    FaultChange(u32, bool),
    /// The edge nodes detect that a server is up (`true`) or down.
    ServerDetected(u32, bool),
    /// Crashes the server if it has been overloaded for too long. Ignored in a later incarnation of the server.
    Overload(u32, u32),
    /// A second of the report ends.
    SecondEnd,
}

struct Request {
    class: usize,
    work_ms: f64,
    subject: u64,
    edge: usize,
    arrived_at: Nanos,
    attempt_count: u32,
    last_server: Option<usize>,
    /// The attempt that the edge node waits for.
    open_attempt: Option<u32>,
    is_ended: bool,
    /// Whether it arrived after the warm-up.
    is_counted: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    /// On its way to the server.
    Sent,
    /// The server reads it; the decider does not know it yet.
    Reading(JobHandle),
    /// Its slot in the decider, and its job on the cores once it runs.
    Accepted(Slot, Option<JobHandle>),
    Ended,
}

struct Attempt {
    request: u32,
    server: usize,
    /// Incarnation of the server that received it.
    incarnation: u32,
    received_at: Nanos,
    state: AttemptState,
    /// Whether the edge node still waits for it.
    is_awaited: bool,
    /// Whether the server has answered it.
    is_answered: bool,
}

/// State of an idempotency entry, by the run of the attempt that owns it.
#[derive(Clone)]
enum EntryState {
    /// Not ended yet; the attempts that joined it.
    Pending(Vec<u32>),
    Served,
    Failed,
}

/// One server.
struct Machine {
    cores: Cores,
    decider: Option<Decider>,
    actions: ActionQueue,
    incarnation: u32,
    is_paused: bool,
    /// Attempts that arrived while the server was paused.
    deferred_attempts: Vec<u32>,
    /// By the decider's slot: the attempt that has it.
    slots: Vec<Option<u32>>,
    /// By class and subject: the attempt that owns the idempotency entry, when the entry expires, and its state. Never
    /// iterated, since the order of a hash map is random.
    idempotency_entries: HashMap<(usize, u64), (u32, Nanos, EntryState)>,
    /// Times and core time used by then, in milliseconds, over the window of the CPU gauge.
    busy_samples: VecDeque<(Nanos, f64)>,
    overloaded_since: Option<Nanos>,
    next_tick_at: Nanos,
}

/// State of one simulation run.
pub struct World<'a> {
    experiment: &'a Experiment,
    seed: u64,
    now: Nanos,
    end: Nanos,
    queue: EventQueue<Event>,
    requests: Vec<Request>,
    /// In the order in which they were sent. All attempts before `first_active` have ended at their server.
    attempts: Vec<Attempt>,
    first_active: usize,
    servers: Vec<Machine>,
    /// By server: whether the edge nodes see it as up.
    is_up: Vec<bool>,
    edges: Vec<Edge>,
    ring: HashRing,
    arrival_random: RandomStream,
    request_random: RandomStream,
    delay_random: RandomStream,
    next_subject: u64,
    checker: AttemptChecker,
    request_counts: BTreeMap<&'static str, u64>,
    earned_weight: f64,
    possible_weight: f64,
    attempts_sent: u64,
    latencies_us: Histogram<u64>,
    latency_sum_ms: f64,
    /// Requests in the fleet, the integral of that number over time in milliseconds, and the time of the last update.
    in_flight: (u64, f64, Nanos),
    time_in_fleet_ms: f64,
    current_second: SecondReport,
    seconds: Vec<SecondReport>,
    busy_before_ms: f64,
    overload_crashes: u64,
}

/// Simulates an experiment with this seed.
pub fn simulate(experiment: &Experiment, seed: u64) -> RunReport {
    let mut world = World::new(experiment, seed);
    world.run();
    world.into_report()
}

impl<'a> World<'a> {
    fn new(experiment: &'a Experiment, seed: u64) -> World<'a> {
        let servers = experiment.servers.count;
        let machine = |_| Machine {
            cores: Cores::new(experiment.servers.cores, experiment.servers.max_concurrency),
            decider: None,
            actions: ActionQueue::default(),
            incarnation: 0,
            is_paused: false,
            deferred_attempts: Vec::new(),
            slots: Vec::new(),
            idempotency_entries: HashMap::new(),
            busy_samples: VecDeque::new(),
            overloaded_since: None,
            next_tick_at: 0,
        };
        let edge = |index| Edge::new(servers, RandomStream::new(seed, 1000 + index as u64));
        World {
            experiment,
            seed,
            now: 0,
            end: nanos(experiment.seconds * 1e3),
            queue: EventQueue::default(),
            requests: Vec::new(),
            attempts: Vec::new(),
            first_active: 0,
            servers: (0..servers).map(machine).collect(),
            is_up: vec![true; servers],
            edges: (0..experiment.edges.count).map(edge).collect(),
            ring: HashRing::new(servers),
            arrival_random: RandomStream::new(seed, 1),
            request_random: RandomStream::new(seed, 2),
            delay_random: RandomStream::new(seed, 3),
            next_subject: 1 << 32,
            checker: AttemptChecker::default(),
            request_counts: BTreeMap::new(),
            earned_weight: 0.0,
            possible_weight: 0.0,
            attempts_sent: 0,
            latencies_us: Histogram::new_with_bounds(1, 3_600_000_000, 3)
                .unwrap_or_else(|e| panic!("invalid histogram bounds: {e}")),
            latency_sum_ms: 0.0,
            in_flight: (0, 0.0, 0),
            time_in_fleet_ms: 0.0,
            current_second: SecondReport::default(),
            seconds: Vec::new(),
            busy_before_ms: 0.0,
            overload_crashes: 0,
        }
    }

    fn run(&mut self) {
        for server in 0..self.servers.len() {
            self.start_server(server, false);
        }
        for (index, fault) in self.experiment.faults.iter().enumerate() {
            self.queue.schedule(
                nanos(fault.at_s * 1e3),
                Event::FaultChange(index as u32, true),
            );
            self.queue.schedule(
                nanos((fault.at_s + fault.duration_s) * 1e3),
                Event::FaultChange(index as u32, false),
            );
        }
        self.queue.schedule(nanos(1e3), Event::SecondEnd);
        self.schedule_next_request(0);
        let longest_timeout_ms = self
            .experiment
            .classes
            .iter()
            .map(|class| class.client_timeout_ms)
            .fold(0.0, f64::max);
        let last_event_at = self.end + nanos(longest_timeout_ms + EXTRA_TIME_MS);
        while let Some((time, event)) = self.queue.pop() {
            if time > last_event_at {
                break;
            }
            self.now = time;
            self.handle_event(event);
        }
        self.checker.finish(last_event_at);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestArrival => self.request_arrived(),
            Event::AttemptArrival(id) => self.attempt_arrived(id),
            Event::JobCompletion(server, version) => self.complete_jobs(server as usize, version),
            Event::Tick(server, incarnation) => self.tick(server as usize, incarnation),
            Event::Outcome(id, outcome, retry_ms) => self.on_outcome(id, outcome, retry_ms),
            Event::AttemptTimeout(id) => self.attempt_timed_out(id),
            Event::ClientTimeout(id) => self.client_timed_out(id),
            Event::Retry(id) => self.send_attempt(id),
            Event::CallerGone(id) => self.caller_gone(id),
            Event::FaultChange(index, starts) => self.apply_fault(index as usize, starts),
            Event::ServerDetected(server, is_up) => self.is_up[server as usize] = is_up,
            Event::Overload(server, incarnation) => self.check_load(server as usize, incarnation),
            Event::SecondEnd => self.end_second(),
        }
    }

    // ---- Requests and edge nodes ----

    /// Schedules the next request of a Poisson process whose rate changes over time. Candidates are drawn at the highest
    /// rate and accepted with the ratio of the present rate to it (thinning).
    fn schedule_next_request(&mut self, from: Nanos) {
        let max_rate = self
            .experiment
            .load
            .iter()
            .map(|point| point.per_s)
            .fold(0.0, f64::max);
        let mut time = from;
        if max_rate <= 0.0 {
            return;
        }
        loop {
            time += nanos(self.arrival_random.exponential(1e3 / max_rate)).max(1);
            if time >= self.end {
                return;
            }
            if self.arrival_random.uniform() * max_rate < self.experiment.rate(millis(time) / 1e3) {
                return self.queue.schedule(time, Event::RequestArrival);
            }
        }
    }

    fn request_arrived(&mut self) {
        self.schedule_next_request(self.now);
        let total_share: f64 = self
            .experiment
            .classes
            .iter()
            .map(|class| class.share)
            .sum();
        let mut remaining_share = self.request_random.uniform() * total_share;
        let picked = self.experiment.classes.iter().position(|class| {
            remaining_share -= class.share;
            remaining_share < 0.0
        });
        let class = picked.unwrap_or(self.experiment.classes.len() - 1);
        let parameters = &self.experiment.classes[class];
        let work_ms = match parameters.sigma {
            Some(sigma) => self.request_random.lognormal(parameters.work_ms, sigma),
            None => self.request_random.exponential(parameters.work_ms),
        };
        let (is_hot, subject_index) = (
            self.request_random.uniform() < parameters.hot_share,
            self.request_random.index(parameters.subjects.max(1)),
        );
        let subject = if is_hot {
            0
        } else if parameters.subjects > 0 {
            subject_index as u64
        } else {
            self.next_subject += 1;
            self.next_subject
        };
        let edge = self.request_random.index(self.edges.len());
        let is_counted = self.now >= nanos(self.experiment.warm_up_s * 1e3);
        let (arrived_at, last_server, open_attempt, attempt_count, is_ended) =
            (self.now, None, None, 0, false);
        let request = Request {
            class,
            work_ms,
            subject,
            edge,
            arrived_at,
            attempt_count,
            last_server,
            open_attempt,
            is_ended,
            is_counted,
        };
        let request_id = self.requests.len() as u32;
        self.requests.push(request);
        self.current_second.arrived += 1;
        if is_counted {
            self.possible_weight += parameters.weight;
            *self.request_counts.entry("came").or_default() += 1;
        }
        self.update_in_flight(1);
        self.queue.schedule(
            self.now + nanos(parameters.client_timeout_ms),
            Event::ClientTimeout(request_id),
        );
        self.send_attempt(request_id);
    }

    fn update_in_flight(&mut self, change: i64) {
        let (count, integral, updated_at) = self.in_flight;
        let integral = integral + count as f64 * millis(self.now - updated_at);
        self.in_flight = (count.saturating_add_signed(change), integral, self.now);
    }

    fn network_delay(&mut self) -> Nanos {
        nanos(self.experiment.edges.network_delay_ms * (0.5 + self.delay_random.uniform()))
    }

    fn send_attempt(&mut self, request_id: u32) {
        let request = &self.requests[request_id as usize];
        if request.is_ended || request.open_attempt.is_some() {
            return;
        }
        let (edge, subject, previous) = (request.edge, request.subject, request.last_server);
        let picked = self.edges[edge].pick(&PickRequest {
            now: self.now,
            pick: self.experiment.edges.pick,
            is_up: &self.is_up,
            ring: &self.ring,
            subject,
            last_server: previous,
        });
        let Some(server) = picked else {
            return self.request_failed(request_id, "no server");
        };
        let request = &mut self.requests[request_id as usize];
        request.attempt_count += 1;
        let is_first = request.attempt_count == 1;
        let attempt = Attempt {
            request: request_id,
            server,
            incarnation: 0,
            received_at: 0,
            state: AttemptState::Sent,
            is_awaited: true,
            is_answered: false,
        };
        let open_attempt = self.attempts.len() as u32;
        self.attempts.push(attempt);
        let request = &mut self.requests[request_id as usize];
        (request.open_attempt, request.last_server) = (Some(open_attempt), Some(server));
        let client_timeout_at =
            request.arrived_at + nanos(self.experiment.classes[request.class].client_timeout_ms);
        if is_first {
            self.edges[edge].record_first_attempt(server);
        } else {
            self.edges[edge].record_retry(server);
        }
        self.attempts_sent += 1;
        self.current_second.attempts += 1;
        let delay = self.network_delay();
        self.queue
            .schedule(self.now + delay, Event::AttemptArrival(open_attempt));
        let timeout_ms = self.experiment.edges.attempt_timeout_ms;
        if timeout_ms > 0.0 && self.now + nanos(timeout_ms) < client_timeout_at {
            self.queue.schedule(
                self.now + nanos(timeout_ms),
                Event::AttemptTimeout(open_attempt),
            );
        }
    }

    /// The edge node stops waiting for this attempt and notifies the server.
    fn give_up_attempt(&mut self, attempt_id: u32) {
        let attempt = &mut self.attempts[attempt_id as usize];
        if !attempt.is_awaited {
            return;
        }
        attempt.is_awaited = false;
        let (server, request) = (attempt.server, attempt.request);
        let edge = self.requests[request as usize].edge;
        self.edges[edge].record_end(server);
        self.requests[request as usize].open_attempt = None;
        let delay = self.network_delay();
        self.queue
            .schedule(self.now + delay, Event::CallerGone(attempt_id));
    }

    fn attempt_timed_out(&mut self, attempt_id: u32) {
        let attempt = &self.attempts[attempt_id as usize];
        if attempt.is_awaited {
            let request = attempt.request;
            self.give_up_attempt(attempt_id);
            self.retry_or_fail(request, "timed out");
        }
    }

    fn retry_or_fail(&mut self, request_id: u32, reason: &'static str) {
        let (edge, attempt_count) = (
            self.requests[request_id as usize].edge,
            self.requests[request_id as usize].attempt_count,
        );
        match self.edges[edge].retry_delay_ms(&self.experiment.edges, attempt_count) {
            Some(delay_ms) => self
                .queue
                .schedule(self.now + nanos(delay_ms), Event::Retry(request_id)),
            None => self.request_failed(request_id, reason),
        }
    }

    fn request_failed(&mut self, request_id: u32, reason: &'static str) {
        let request = &mut self.requests[request_id as usize];
        if std::mem::replace(&mut request.is_ended, true) {
            return;
        }
        if request.is_counted {
            *self.request_counts.entry(reason).or_default() += 1;
        }
        self.current_second.failed += 1;
        self.time_in_fleet_ms += millis(self.now - self.requests[request_id as usize].arrived_at);
        self.update_in_flight(-1);
    }

    fn client_timed_out(&mut self, request_id: u32) {
        if !self.requests[request_id as usize].is_ended {
            if let Some(open_attempt) = self.requests[request_id as usize].open_attempt {
                self.give_up_attempt(open_attempt);
            }
            self.request_failed(request_id, "client gave up");
        }
    }

    fn on_outcome(&mut self, attempt_id: u32, outcome: AttemptOutcome, retry_after_ms: f64) {
        let attempt = &self.attempts[attempt_id as usize];
        let (request, server, is_awaited) = (attempt.request, attempt.server, attempt.is_awaited);
        if !is_awaited {
            return;
        }
        self.attempts[attempt_id as usize].is_awaited = false;
        let edge = self.requests[request as usize].edge;
        self.edges[edge].record_end(server);
        if retry_after_ms > 0.0 && self.experiment.edges.honors_retry_after {
            self.edges[edge].avoid(server, self.now + nanos(retry_after_ms));
        }
        self.requests[request as usize].open_attempt = None;
        match outcome {
            AttemptOutcome::Served => self.request_served(request),
            AttemptOutcome::Rejected => {
                self.current_second.rejected += 1;
                self.retry_or_fail(request, "rejected");
            }
            AttemptOutcome::Failed => self.retry_or_fail(request, "abandoned"),
            AttemptOutcome::ConnectionRefused | AttemptOutcome::ConnectionLost => {
                self.retry_or_fail(request, "broken")
            }
        }
    }

    fn request_served(&mut self, request_id: u32) {
        let request = &mut self.requests[request_id as usize];
        if std::mem::replace(&mut request.is_ended, true) {
            return;
        }
        let (class, latency) = (
            &self.experiment.classes[request.class],
            self.now - request.arrived_at,
        );
        let met_objective = latency <= nanos(class.objective_ms);
        if request.is_counted {
            self.earned_weight += class.weight
                * if met_objective {
                    1.0
                } else {
                    class.late_weight_share
                };
            *self
                .request_counts
                .entry(if met_objective { "in time" } else { "late" })
                .or_default() += 1;
            let _ = self.latencies_us.record((latency / 1000).max(1));
            self.latency_sum_ms += millis(latency);
        }
        self.time_in_fleet_ms += millis(latency);
        if met_objective {
            self.current_second.met_objective += 1;
        } else {
            self.current_second.missed_objective += 1;
        }
        self.update_in_flight(-1);
    }

    // ---- Servers ----

    fn key(&self, attempt_id: u32) -> Option<(usize, u64)> {
        let request = &self.requests[self.attempts[attempt_id as usize].request as usize];
        self.experiment.classes[request.class]
            .is_keyed
            .then_some((request.class, request.subject))
    }

    fn start_server(&mut self, server: usize, after_crash: bool) {
        let seed = self.seed.wrapping_mul(31).wrapping_add(server as u64);
        let now_ms = millis(self.now);
        let machine = &mut self.servers[server];
        machine.incarnation += 1;
        machine.decider = Some(Decider::new(
            self.experiment,
            seed,
            now_ms,
            after_crash,
            &mut machine.actions,
        ));
        self.execute_actions(server, None);
    }

    /// Crashes a server: its state is lost, and its connections to the edge nodes break.
    fn crash_server(&mut self, server: usize) {
        let now = self.now;
        let machine = &mut self.servers[server];
        machine.decider = None;
        machine.actions.clear();
        machine.cores.clear(now);
        machine.slots.clear();
        machine.idempotency_entries.clear();
        (machine.is_paused, machine.overloaded_since) = (false, None);
        machine.deferred_attempts.clear();
        let incarnation = machine.incarnation;
        let has_ended = |attempt: &Attempt| attempt.state == AttemptState::Ended;
        while self.attempts.get(self.first_active).is_some_and(has_ended) {
            self.first_active += 1;
        }
        for attempt_id in self.first_active as u32..self.attempts.len() as u32 {
            let attempt = &mut self.attempts[attempt_id as usize];
            if attempt.server == server
                && attempt.incarnation == incarnation
                && !matches!(attempt.state, AttemptState::Sent | AttemptState::Ended)
            {
                attempt.state = AttemptState::Ended;
                self.checker.excuse(u64::from(attempt_id));
                let delay = self.network_delay();
                self.queue.schedule(
                    now + delay,
                    Event::Outcome(attempt_id, AttemptOutcome::ConnectionLost, 0.0),
                );
            }
        }
        let detection_delay = nanos(self.experiment.edges.detection_delay_ms);
        self.queue.schedule(
            now + detection_delay,
            Event::ServerDetected(server as u32, false),
        );
    }

    fn attempt_arrived(&mut self, attempt_id: u32) {
        let server = self.attempts[attempt_id as usize].server;
        let machine = &mut self.servers[server];
        if machine.decider.is_none() {
            self.attempts[attempt_id as usize].state = AttemptState::Ended;
            let delay = self.network_delay();
            return self.queue.schedule(
                self.now + delay,
                Event::Outcome(attempt_id, AttemptOutcome::ConnectionRefused, 0.0),
            );
        }
        if machine.is_paused {
            return machine.deferred_attempts.push(attempt_id);
        }
        let attempt = &mut self.attempts[attempt_id as usize];
        (attempt.incarnation, attempt.received_at) = (machine.incarnation, self.now);
        let request = &self.requests[attempt.request as usize];
        let deadline =
            request.arrived_at + nanos(self.experiment.classes[request.class].client_timeout_ms);
        if attempt.is_awaited {
            self.checker.record_arrival(u64::from(attempt_id), deadline);
        }
        let job = machine.cores.start(
            self.now,
            u64::from(attempt_id) << 1,
            self.experiment.servers.read_work_ms,
        );
        self.attempts[attempt_id as usize].state = AttemptState::Reading(job);
        self.schedule_server_events(server);
    }

    fn schedule_server_events(&mut self, server: usize) {
        let machine = &mut self.servers[server];
        let is_overloaded = machine.cores.running() as f64
            > self.experiment.servers.crash_concurrency * self.experiment.servers.cores;
        if is_overloaded && machine.overloaded_since.is_none() {
            machine.overloaded_since = Some(self.now);
            self.queue.schedule(
                self.now + OVERLOAD_TO_CRASH_NS,
                Event::Overload(server as u32, machine.incarnation),
            );
        } else if !is_overloaded {
            machine.overloaded_since = None;
        }
        if !machine.is_paused {
            if let Some(at) = machine.cores.next_completion() {
                self.queue.schedule(
                    at.max(self.now),
                    Event::JobCompletion(server as u32, machine.cores.version()),
                );
            }
        }
    }

    fn check_load(&mut self, server: usize, incarnation: u32) {
        let machine = &self.servers[server];
        let is_still_overloaded = machine
            .overloaded_since
            .is_some_and(|since| self.now >= since + OVERLOAD_TO_CRASH_NS);
        if machine.incarnation == incarnation && machine.decider.is_some() && is_still_overloaded {
            self.overload_crashes += 1;
            self.crash_server(server);
        }
    }

    fn complete_jobs(&mut self, server: usize, version: u64) {
        if self.servers[server].cores.version() != version || self.servers[server].is_paused {
            return;
        }
        while let Some(job) = self.servers[server].cores.pop_completed(self.now) {
            let attempt_id = (job >> 1) as u32;
            if job & 1 == 0 {
                self.attempt_read(server, attempt_id);
            } else {
                self.run_completed(server, attempt_id);
            }
        }
        self.schedule_server_events(server);
    }

    /// An attempt has been read: passes it to the decider.
    fn attempt_read(&mut self, server: usize, attempt_id: u32) {
        let (request, received_at) = (
            self.attempts[attempt_id as usize].request,
            self.attempts[attempt_id as usize].received_at,
        );
        let request = &self.requests[request as usize];
        let class = &self.experiment.classes[request.class];
        let deadline = request.arrived_at + nanos(class.client_timeout_ms);
        let key = self.key(attempt_id);
        let now = self.now;
        let entry = key.and_then(|key| self.servers[server].idempotency_entries.get(&key));
        let arrival = Arrival {
            class: request.class,
            tenant: 0,
            caller: request.edge,
            unread_ms: millis(now - received_at),
            remaining_ms: Some(millis(deadline.saturating_sub(now))),
            cost_hint_ms: Some(class.work_ms),
            memory_kb: 1.0,
            is_repeat: entry.is_some_and(|(_, until, _)| received_at < *until),
        };
        let machine = &mut self.servers[server];
        if let Some(decider) = &mut machine.decider {
            decider.receive(millis(now), arrival, &mut machine.actions);
        }
        self.execute_actions(server, Some(attempt_id));
        // The edge node may have stopped waiting while the attempt was being read.
        if !self.attempts[attempt_id as usize].is_awaited {
            self.report_caller_gone(attempt_id);
        }
    }

    fn answer(&mut self, attempt_id: u32, outcome: AttemptOutcome, retry_after_ms: f64) {
        if std::mem::replace(&mut self.attempts[attempt_id as usize].is_answered, true) {
            return;
        }
        self.checker
            .record_answer(self.now, u64::from(attempt_id), outcome);
        let delay = self.network_delay();
        self.queue.schedule(
            self.now + delay,
            Event::Outcome(attempt_id, outcome, retry_after_ms),
        );
    }

    fn run_completed(&mut self, server: usize, attempt_id: u32) {
        self.answer(attempt_id, AttemptOutcome::Served, 0.0);
        let key = self.key(attempt_id);
        let machine = &mut self.servers[server];
        let entry = key
            .and_then(|key| machine.idempotency_entries.get_mut(&key))
            .filter(|(owner, ..)| *owner == attempt_id);
        let joined = match entry {
            Some((_, _, entry_state)) => match std::mem::replace(entry_state, EntryState::Served) {
                EntryState::Pending(joined) => joined,
                _ => Vec::new(),
            },
            None => Vec::new(),
        };
        self.report_run_end(server, attempt_id, true);
        for attempt_id in joined {
            self.answer(attempt_id, AttemptOutcome::Served, 0.0);
            self.report_run_end(server, attempt_id, true);
        }
    }

    fn report_run_end(&mut self, server: usize, attempt_id: u32, is_ok: bool) {
        let AttemptState::Accepted(slot, _) = self.attempts[attempt_id as usize].state else {
            return;
        };
        let machine = &mut self.servers[server];
        if let Some(decider) = &mut machine.decider {
            decider.run_ended(millis(self.now), slot, is_ok, &mut machine.actions);
        }
        self.execute_actions(server, None);
    }

    fn caller_gone(&mut self, id: u32) {
        let attempt = &self.attempts[id as usize];
        match attempt.state {
            AttemptState::Accepted(..) => {
                self.checker.excuse(u64::from(id));
                self.report_caller_gone(id);
            }
            // The decider doesn't know the attempt yet: `is_awaited` is checked after reading.
            AttemptState::Reading(_) | AttemptState::Sent => self.checker.excuse(u64::from(id)),
            AttemptState::Ended => {}
        }
    }

    fn report_caller_gone(&mut self, attempt_id: u32) {
        let AttemptState::Accepted(slot, _) = self.attempts[attempt_id as usize].state else {
            return;
        };
        let server = self.attempts[attempt_id as usize].server;
        let machine = &mut self.servers[server];
        if let Some(decider) = &mut machine.decider {
            decider.caller_gone(millis(self.now), slot, &mut machine.actions);
        }
        self.execute_actions(server, None);
    }

    fn tick(&mut self, server: usize, incarnation: u32) {
        let now = self.now;
        let machine = &mut self.servers[server];
        if machine.incarnation != incarnation
            || machine.next_tick_at > now
            || machine.decider.is_none()
        {
            return;
        }
        if machine.is_paused {
            return self
                .queue
                .schedule(now + 10_000_000, Event::Tick(server as u32, incarnation));
        }
        // CPU utilization over the gauge's window.
        machine.cores.set_speed(now, machine.cores.speed());
        machine
            .busy_samples
            .push_back((now, machine.cores.busy_ms()));
        while machine.busy_samples.len() > 2 && machine.busy_samples[1].0 + GAUGE_WINDOW_NS <= now {
            machine.busy_samples.pop_front();
        }
        let (sampled_at, busy_before) = machine.busy_samples[0];
        let cpu = match millis(now - sampled_at) {
            0.0 => 0.0,
            ms => (machine.cores.busy_ms() - busy_before) / (ms * self.experiment.servers.cores),
        };
        let on_cores = machine.cores.running() as f64;
        if let Some(decider) = &mut machine.decider {
            decider.tick(millis(now), cpu.min(1.0), on_cores, &mut machine.actions);
        }
        self.execute_actions(server, None);
        self.schedule_server_events(server);
    }

    /// Executes the decider's actions. `arriving` is the attempt that has just been passed to it.
    fn execute_actions(&mut self, server: usize, arriving: Option<u32>) {
        let now = self.now;
        while let Some(action) = self.servers[server].actions.pop() {
            // The id of the attempt in a slot.
            let find = |world: &World<'_>, slot: Slot| {
                world.servers[server]
                    .slots
                    .get(slot as usize)
                    .copied()
                    .flatten()
            };
            match action {
                Action::Accept(slot) => {
                    let Some(id) = arriving else { continue };
                    let slots = &mut self.servers[server].slots;
                    slots.resize(slots.len().max(slot as usize + 1), None);
                    slots[slot as usize] = Some(id);
                    self.attempts[id as usize].state = AttemptState::Accepted(slot, None);
                }
                Action::Release(slot) => {
                    let Some(id) = find(self, slot) else { continue };
                    self.servers[server].slots[slot as usize] = None;
                    let entry = self
                        .key(id)
                        .and_then(|key| self.servers[server].idempotency_entries.get_mut(&key));
                    if let Some((owner, _, entry_state @ EntryState::Pending(_))) = entry {
                        if *owner == id {
                            *entry_state = EntryState::Failed;
                        }
                    }
                    self.attempts[id as usize].state = AttemptState::Ended;
                }
                Action::Start(slot) => {
                    let Some(id) = find(self, slot) else { continue };
                    let work_ms =
                        self.requests[self.attempts[id as usize].request as usize].work_ms;
                    let current = self.servers[server].incarnation;
                    let key = self.key(id).map(|(class, subject)| ExecutionScope {
                        key: subject << 6 | class as u64,
                        server,
                        incarnation: current,
                    });
                    self.checker.record_start(u64::from(id), key);
                    let job =
                        self.servers[server]
                            .cores
                            .start(now, u64::from(id) << 1 | 1, work_ms);
                    self.attempts[id as usize].state = AttemptState::Accepted(slot, Some(job));
                    self.schedule_server_events(server);
                }
                Action::JoinEarlierAttempt(slot) => {
                    let Some(id) = find(self, slot) else { continue };
                    let entry = self
                        .key(id)
                        .and_then(|key| self.servers[server].idempotency_entries.get_mut(&key));
                    match entry.map(|(_, _, entry_state)| entry_state) {
                        Some(EntryState::Pending(joined)) => joined.push(id),
                        Some(EntryState::Served) => {
                            self.answer(id, AttemptOutcome::Served, 0.0);
                            self.report_joined_end(server, id, true);
                        }
                        Some(EntryState::Failed) | None => {
                            self.answer(id, AttemptOutcome::Failed, 0.0);
                            self.report_joined_end(server, id, false);
                        }
                    }
                }
                Action::RetainIdempotencyEntry(slot, for_ms) => {
                    let Some(id) = find(self, slot) else { continue };
                    if let Some(key) = self.key(id) {
                        let entry = (id, now + nanos(for_ms), EntryState::Pending(Vec::new()));
                        self.servers[server].idempotency_entries.insert(key, entry);
                    }
                }
                Action::DropIdempotencyEntry(slot) => {
                    let Some(id) = find(self, slot) else { continue };
                    if let Some(key) = self.key(id) {
                        let entries = &mut self.servers[server].idempotency_entries;
                        if entries.get(&key).is_some_and(|(owner, ..)| *owner == id) {
                            let joined = match entries.remove(&key) {
                                Some((_, _, EntryState::Pending(joined))) => joined,
                                _ => Vec::new(),
                            };
                            for id in joined {
                                self.answer(id, AttemptOutcome::Failed, 0.0);
                                self.report_joined_end(server, id, false);
                            }
                        }
                    }
                }
                Action::Reject(slot, retry_after_ms) => {
                    if let Some(id) = find(self, slot) {
                        self.answer(id, AttemptOutcome::Rejected, retry_after_ms);
                    }
                }
                Action::Fail(slot) => {
                    if let Some(id) = find(self, slot) {
                        self.answer(id, AttemptOutcome::Failed, 0.0);
                    }
                }
                Action::ScheduleTick(at_ms) => {
                    let at = nanos(at_ms).max(now + 1);
                    let machine = &mut self.servers[server];
                    machine.next_tick_at = at;
                    self.queue
                        .schedule(at, Event::Tick(server as u32, machine.incarnation));
                }
            }
        }
    }

    /// The earlier attempt that this one joined has ended. Leaves the resulting actions to `execute_actions`, which calls
    /// this function.
    fn report_joined_end(&mut self, server: usize, attempt_id: u32, is_ok: bool) {
        let AttemptState::Accepted(slot, _) = self.attempts[attempt_id as usize].state else {
            return;
        };
        let machine = &mut self.servers[server];
        if let Some(decider) = &mut machine.decider {
            decider.run_ended(millis(self.now), slot, is_ok, &mut machine.actions);
        }
    }

    // ---- Faults and accounting ----

    fn apply_fault(&mut self, index: usize, starts: bool) {
        let fault = &self.experiment.faults[index];
        for server in fault.first_server..fault.first_server + fault.servers {
            match (fault.kind, starts) {
                (FaultKind::Crash, true) if self.servers[server].decider.is_some() => {
                    self.crash_server(server)
                }
                (FaultKind::Crash, false) if self.servers[server].decider.is_none() => {
                    self.start_server(server, true);
                    let detection_delay = nanos(self.experiment.edges.detection_delay_ms);
                    self.queue.schedule(
                        self.now + detection_delay,
                        Event::ServerDetected(server as u32, true),
                    );
                }
                (FaultKind::Crash, _) => {}
                (FaultKind::Slow(speed), _) => {
                    let now = self.now;
                    self.servers[server]
                        .cores
                        .set_speed(now, if starts { speed } else { 1.0 });
                    self.schedule_server_events(server);
                }
                (FaultKind::Pause, _) => {
                    let now = self.now;
                    let machine = &mut self.servers[server];
                    machine.cores.set_speed(now, if starts { 0.0 } else { 1.0 });
                    machine.is_paused = starts;
                    for attempt_id in std::mem::take(&mut machine.deferred_attempts) {
                        self.attempt_arrived(attempt_id);
                    }
                    self.schedule_server_events(server);
                }
            }
        }
    }

    fn end_second(&mut self) {
        let now = self.now;
        let servers_up = self
            .servers
            .iter()
            .filter(|machine| machine.decider.is_some())
            .count();
        let mut busy_ms = 0.0;
        for machine in &mut self.servers {
            let speed = machine.cores.speed();
            machine.cores.set_speed(now, speed);
            busy_ms += machine.cores.busy_ms();
        }
        for server in 0..self.servers.len() {
            self.schedule_server_events(server);
        }
        let limits = self
            .servers
            .iter()
            .filter_map(|machine| machine.decider.as_ref().map(Decider::concurrency_limit));
        let mut second = std::mem::take(&mut self.current_second);
        second.mean_limit =
            limits.filter(|limit| limit.is_finite()).sum::<f64>() / servers_up.max(1) as f64;
        second.cpu_utilization = (busy_ms - self.busy_before_ms)
            / (1e3 * self.experiment.servers.cores * self.servers.len() as f64);
        second.servers_up = servers_up;
        self.busy_before_ms = busy_ms;
        self.seconds.push(second);
        if now < self.end {
            self.queue.schedule(now + nanos(1e3), Event::SecondEnd);
        }
    }

    fn into_report(mut self) -> RunReport {
        self.update_in_flight(0);
        let served = self.latencies_us.len().max(1) as f64;
        let arrived: u64 = self.seconds.iter().map(|second| second.arrived).sum();
        RunReport {
            earned_share: if self.possible_weight > 0.0 {
                self.earned_weight / self.possible_weight
            } else {
                0.0
            },
            attempts_per_request: self.attempts_sent as f64 / arrived.max(1) as f64,
            latency_ms: quantiles_ms(&self.latencies_us),
            mean_latency_ms: self.latency_sum_ms / served,
            little_law_ratio: if self.time_in_fleet_ms > 0.0 {
                self.in_flight.1 / self.time_in_fleet_ms
            } else {
                1.0
            },
            requests: self.request_counts,
            violations: self.checker.violations,
            events: self.queue.scheduled_count(),
            overload_crashes: self.overload_crashes,
            seconds: self.seconds,
        }
    }
}
