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
use crate::experiment::{Experiment, Trouble};
use crate::random::RandomStream;
use crate::report::{quantiles_ms, RunReport, SecondReport};
use crate::{millis, nanos, Nanos};

/// Window of the CPU utilization gauge, in nanoseconds: the same as that of the platform's gauge.
const GAUGE: Nanos = 500_000_000;
/// How long a server has to be overloaded without a break until it crashes, in nanoseconds.
const DEADLY: Nanos = 1_000_000_000;
/// Time that is simulated after the last client's timeout, in milliseconds. Later events are dropped.
const AFTER: f64 = 1000.0;

enum Event {
    /// The next request arrives at its edge node.
    Task,
    /// An attempt reaches its server.
    Arrive(u32),
    /// A job on a server's cores completes. Ignored if the version of the cores has changed since.
    End(u32, u64),
    /// A tick that a server's decider scheduled. Ignored in a later incarnation of the server.
    Beat(u32, u32),
    /// An edge node receives an attempt's outcome, with the Retry-After in milliseconds.
    Hear(u32, AttemptOutcome, f64),
    /// The edge node's timeout of an attempt has passed.
    TryOver(u32),
    /// A client's timeout has passed.
    ClientOver(u32),
    /// The delay before a request's retry has passed.
    Again(u32),
    /// A server is notified that the edge node no longer waits for an attempt.
    Left(u32),
    /// A fault starts (`true`) or ends.
    Fault(u32, bool),
    /// The edge nodes detect that a server is up (`true`) or down.
    Seen(u32, bool),
    /// Crashes the server if it has been overloaded for too long. Ignored in a later incarnation of the server.
    Crowd(u32, u32),
    /// A second of the report ends.
    Second,
}

struct Task {
    stage: usize,
    work_ms: f64,
    subject: u64,
    edge: usize,
    born: Nanos,
    tries: u32,
    last: Option<usize>,
    /// The attempt that the edge node waits for.
    open: Option<u32>,
    over: bool,
    counted: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Where {
    Way,
    Reading(JobHandle),
    Inside(Slot, Option<JobHandle>),
    Over,
}

struct Try {
    task: u32,
    server: usize,
    /// Incarnation of the server that received it.
    life: u32,
    arrived: Nanos,
    at: Where,
    /// Whether the edge node still waits for it.
    waited: bool,
    /// Whether the server has answered it.
    answered: bool,
}

#[derive(Clone)]
enum Fate {
    Open(Vec<u32>),
    Finished,
    Failed,
}

struct Machine {
    cores: Cores,
    decider: Option<Decider>,
    actions: ActionQueue,
    life: u32,
    paused: bool,
    /// Attempts that arrived while the server was paused.
    waiting: Vec<u32>,
    slots: Vec<Option<u32>>,
    /// By class and subject: the attempt that owns the idempotency entry, when the entry expires, and its state. Never
    /// iterated, since the order of a hash map is random.
    known: HashMap<(usize, u64), (u32, Nanos, Fate)>,
    gauge: VecDeque<(Nanos, f64)>,
    crowded: Option<Nanos>,
    beat_at: Nanos,
}

/// State of one simulation run.
pub struct World<'a> {
    experiment: &'a Experiment,
    seed: u64,
    now: Nanos,
    end: Nanos,
    queue: EventQueue<Event>,
    tasks: Vec<Task>,
    /// In the order in which they were sent. All attempts before `oldest` have ended at their server.
    tries: Vec<Try>,
    oldest: usize,
    servers: Vec<Machine>,
    seen: Vec<bool>,
    edges: Vec<Edge>,
    ring: HashRing,
    coming: RandomStream,
    working: RandomStream,
    way: RandomStream,
    next_subject: u64,
    checker: AttemptChecker,
    counts: BTreeMap<&'static str, u64>,
    earned: f64,
    possible: f64,
    tries_sent: u64,
    times: Histogram<u64>,
    sum_ms: f64,
    /// Requests in the fleet, the integral of that number over time in milliseconds, and the time of the last update.
    inside: (u64, f64, Nanos),
    spent_ms: f64,
    second: SecondReport,
    seconds: Vec<SecondReport>,
    busy_before: f64,
    deaths: u64,
}

/// Simulates an experiment with this seed.
pub fn play(experiment: &Experiment, seed: u64) -> RunReport {
    let mut world = World::new(experiment, seed);
    world.run();
    world.outcome()
}

impl<'a> World<'a> {
    fn new(experiment: &'a Experiment, seed: u64) -> World<'a> {
        let servers = experiment.servers.count;
        let machine = |_| Machine {
            cores: Cores::new(experiment.servers.cores, experiment.servers.crowd),
            decider: None,
            actions: ActionQueue::default(),
            life: 0,
            paused: false,
            waiting: Vec::new(),
            slots: Vec::new(),
            known: HashMap::new(),
            gauge: VecDeque::new(),
            crowded: None,
            beat_at: 0,
        };
        let edge = |n| Edge::new(servers, RandomStream::new(seed, 1000 + n as u64));
        World {
            experiment,
            seed,
            now: 0,
            end: nanos(experiment.seconds * 1e3),
            queue: EventQueue::default(),
            tasks: Vec::new(),
            tries: Vec::new(),
            oldest: 0,
            servers: (0..servers).map(machine).collect(),
            seen: vec![true; servers],
            edges: (0..experiment.edges.count).map(edge).collect(),
            ring: HashRing::new(servers),
            coming: RandomStream::new(seed, 1),
            working: RandomStream::new(seed, 2),
            way: RandomStream::new(seed, 3),
            next_subject: 1 << 32,
            checker: AttemptChecker::default(),
            counts: BTreeMap::new(),
            earned: 0.0,
            possible: 0.0,
            tries_sent: 0,
            times: Histogram::new_with_bounds(1, 3_600_000_000, 3)
                .unwrap_or_else(|e| panic!("invalid histogram bounds: {e}")),
            sum_ms: 0.0,
            inside: (0, 0.0, 0),
            spent_ms: 0.0,
            second: SecondReport::default(),
            seconds: Vec::new(),
            busy_before: 0.0,
            deaths: 0,
        }
    }

    fn run(&mut self) {
        for n in 0..self.servers.len() {
            self.rise(n, false);
        }
        for (n, fault) in self.experiment.faults.iter().enumerate() {
            self.queue
                .schedule(nanos(fault.at_s * 1e3), Event::Fault(n as u32, true));
            self.queue.schedule(
                nanos((fault.at_s + fault.for_s) * 1e3),
                Event::Fault(n as u32, false),
            );
        }
        self.queue.schedule(nanos(1e3), Event::Second);
        self.next_task(0);
        let longest = self
            .experiment
            .stages
            .iter()
            .map(|stage| stage.limit_ms)
            .fold(0.0, f64::max);
        let last = self.end + nanos(longest + AFTER);
        while let Some((at, event)) = self.queue.pop() {
            if at > last {
                break;
            }
            self.now = at;
            self.happen(event);
        }
        self.checker.finish(last);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Task => self.task(),
            Event::Arrive(n) => self.arrive(n),
            Event::End(server, version) => self.ends(server as usize, version),
            Event::Beat(server, life) => self.beat(server as usize, life),
            Event::Hear(n, outcome, away_ms) => self.hear(n, outcome, away_ms),
            Event::TryOver(n) => self.try_over(n),
            Event::ClientOver(task) => self.client_over(task),
            Event::Again(task) => self.send(task),
            Event::Left(n) => self.left(n),
            Event::Fault(n, begins) => self.fault(n as usize, begins),
            Event::Seen(server, up) => self.seen[server as usize] = up,
            Event::Crowd(server, life) => self.crowd(server as usize, life),
            Event::Second => self.second_over(),
        }
    }

    // ---- Requests and edge nodes ----

    /// Schedules the next request of a Poisson process whose rate changes over time. Candidates are drawn at the highest
    /// rate and accepted with the ratio of the present rate to it (thinning).
    fn next_task(&mut self, from: Nanos) {
        let most = self
            .experiment
            .load
            .iter()
            .map(|point| point.per_s)
            .fold(0.0, f64::max);
        let mut at = from;
        if most <= 0.0 {
            return;
        }
        loop {
            at += nanos(self.coming.exponential(1e3 / most)).max(1);
            if at >= self.end {
                return;
            }
            if self.coming.uniform() * most < self.experiment.rate(millis(at) / 1e3) {
                return self.queue.schedule(at, Event::Task);
            }
        }
    }

    fn task(&mut self) {
        self.next_task(self.now);
        let all: f64 = self.experiment.stages.iter().map(|stage| stage.share).sum();
        let mut left = self.working.uniform() * all;
        let pick = self.experiment.stages.iter().position(|stage| {
            left -= stage.share;
            left < 0.0
        });
        let stage = pick.unwrap_or(self.experiment.stages.len() - 1);
        let facts = &self.experiment.stages[stage];
        let work_ms = match facts.sigma {
            Some(sigma) => self.working.lognormal(facts.work_ms, sigma),
            None => self.working.exponential(facts.work_ms),
        };
        let (hot, which) = (
            self.working.uniform() < facts.hot,
            self.working.index(facts.subjects.max(1)),
        );
        let subject = if hot {
            0
        } else if facts.subjects > 0 {
            which as u64
        } else {
            self.next_subject += 1;
            self.next_subject
        };
        let edge = self.working.index(self.edges.len());
        let counted = self.now >= nanos(self.experiment.warm_s * 1e3);
        let (born, last, open, tries, over) = (self.now, None, None, 0, false);
        let task = Task {
            stage,
            work_ms,
            subject,
            edge,
            born,
            tries,
            last,
            open,
            over,
            counted,
        };
        let n = self.tasks.len() as u32;
        self.tasks.push(task);
        self.second.arrived += 1;
        if counted {
            self.possible += facts.utility;
            *self.counts.entry("came").or_default() += 1;
        }
        self.count_inside(1);
        self.queue
            .schedule(self.now + nanos(facts.limit_ms), Event::ClientOver(n));
        self.send(n);
    }

    fn count_inside(&mut self, change: i64) {
        let (inside, sum, at) = self.inside;
        let sum = sum + inside as f64 * millis(self.now - at);
        self.inside = (inside.saturating_add_signed(change), sum, self.now);
    }

    fn way_nanos(&mut self) -> Nanos {
        nanos(self.experiment.edges.way_ms * (0.5 + self.way.uniform()))
    }

    fn send(&mut self, n: u32) {
        let task = &self.tasks[n as usize];
        if task.over || task.open.is_some() {
            return;
        }
        let (edge, subject, last) = (task.edge, task.subject, task.last);
        let picked = self.edges[edge].pick(&PickRequest {
            now: self.now,
            pick: self.experiment.edges.pick,
            is_up: &self.seen,
            ring: &self.ring,
            subject,
            last_server: last,
        });
        let Some(server) = picked else {
            return self.fail(n, "no server");
        };
        let task = &mut self.tasks[n as usize];
        task.tries += 1;
        let first = task.tries == 1;
        let attempt = Try {
            task: n,
            server,
            life: 0,
            arrived: 0,
            at: Where::Way,
            waited: true,
            answered: false,
        };
        let open = self.tries.len() as u32;
        self.tries.push(attempt);
        let task = &mut self.tasks[n as usize];
        (task.open, task.last) = (Some(open), Some(server));
        let limit = task.born + nanos(self.experiment.stages[task.stage].limit_ms);
        if first {
            self.edges[edge].record_first_attempt(server);
        } else {
            self.edges[edge].record_retry(server);
        }
        self.tries_sent += 1;
        self.second.attempts += 1;
        let way = self.way_nanos();
        self.queue.schedule(self.now + way, Event::Arrive(open));
        let patience = self.experiment.edges.try_ms;
        if patience > 0.0 && self.now + nanos(patience) < limit {
            self.queue
                .schedule(self.now + nanos(patience), Event::TryOver(open));
        }
    }

    /// The edge node stops waiting for this attempt and notifies the server.
    fn give_up_try(&mut self, n: u32) {
        let attempt = &mut self.tries[n as usize];
        if !attempt.waited {
            return;
        }
        attempt.waited = false;
        let (server, task) = (attempt.server, attempt.task);
        let edge = self.tasks[task as usize].edge;
        self.edges[edge].record_end(server);
        self.tasks[task as usize].open = None;
        let way = self.way_nanos();
        self.queue.schedule(self.now + way, Event::Left(n));
    }

    fn try_over(&mut self, n: u32) {
        let attempt = &self.tries[n as usize];
        if attempt.waited {
            let task = attempt.task;
            self.give_up_try(n);
            self.again(task, "timed out");
        }
    }

    fn again(&mut self, n: u32, why: &'static str) {
        let (edge, tries) = (self.tasks[n as usize].edge, self.tasks[n as usize].tries);
        match self.edges[edge].retry_delay_ms(&self.experiment.edges, tries) {
            Some(wait) => self.queue.schedule(self.now + nanos(wait), Event::Again(n)),
            None => self.fail(n, why),
        }
    }

    fn fail(&mut self, n: u32, why: &'static str) {
        let task = &mut self.tasks[n as usize];
        if std::mem::replace(&mut task.over, true) {
            return;
        }
        if task.counted {
            *self.counts.entry(why).or_default() += 1;
        }
        self.second.failed += 1;
        self.spent_ms += millis(self.now - self.tasks[n as usize].born);
        self.count_inside(-1);
    }

    fn client_over(&mut self, n: u32) {
        if !self.tasks[n as usize].over {
            if let Some(open) = self.tasks[n as usize].open {
                self.give_up_try(open);
            }
            self.fail(n, "client gave up");
        }
    }

    fn hear(&mut self, n: u32, outcome: AttemptOutcome, away_ms: f64) {
        let attempt = &self.tries[n as usize];
        let (task, server, waited) = (attempt.task, attempt.server, attempt.waited);
        if !waited {
            return;
        }
        self.tries[n as usize].waited = false;
        let edge = self.tasks[task as usize].edge;
        self.edges[edge].record_end(server);
        if away_ms > 0.0 && self.experiment.edges.heeds {
            self.edges[edge].avoid(server, self.now + nanos(away_ms));
        }
        self.tasks[task as usize].open = None;
        match outcome {
            AttemptOutcome::Served => self.finish(task),
            AttemptOutcome::Rejected => {
                self.second.rejected += 1;
                self.again(task, "rejected");
            }
            AttemptOutcome::Failed => self.again(task, "abandoned"),
            AttemptOutcome::ConnectionRefused | AttemptOutcome::ConnectionLost => {
                self.again(task, "broken")
            }
        }
    }

    fn finish(&mut self, n: u32) {
        let task = &mut self.tasks[n as usize];
        if std::mem::replace(&mut task.over, true) {
            return;
        }
        let (stage, took) = (&self.experiment.stages[task.stage], self.now - task.born);
        let in_time = took <= nanos(stage.due_ms);
        if task.counted {
            self.earned += stage.utility * if in_time { 1.0 } else { stage.late_share };
            *self
                .counts
                .entry(if in_time { "in time" } else { "late" })
                .or_default() += 1;
            let _ = self.times.record((took / 1000).max(1));
            self.sum_ms += millis(took);
        }
        self.spent_ms += millis(took);
        if in_time {
            self.second.met_objective += 1;
        } else {
            self.second.missed_objective += 1;
        }
        self.count_inside(-1);
    }

    // ---- Servers ----

    fn key(&self, n: u32) -> Option<(usize, u64)> {
        let task = &self.tasks[self.tries[n as usize].task as usize];
        self.experiment.stages[task.stage]
            .fingerprinted
            .then_some((task.stage, task.subject))
    }

    fn rise(&mut self, n: usize, again: bool) {
        let seed = self.seed.wrapping_mul(31).wrapping_add(n as u64);
        let now = millis(self.now);
        let machine = &mut self.servers[n];
        machine.life += 1;
        machine.decider = Some(Decider::new(
            self.experiment,
            seed,
            now,
            again,
            &mut machine.actions,
        ));
        self.act(n, None);
    }

    /// Crashes a server: its state is lost, and its connections to the edge nodes break.
    fn fall(&mut self, n: usize) {
        let now = self.now;
        let machine = &mut self.servers[n];
        machine.decider = None;
        machine.actions.clear();
        machine.cores.clear(now);
        machine.slots.clear();
        machine.known.clear();
        (machine.paused, machine.crowded) = (false, None);
        machine.waiting.clear();
        let life = machine.life;
        let over = |attempt: &Try| attempt.at == Where::Over;
        while self.tries.get(self.oldest).is_some_and(over) {
            self.oldest += 1;
        }
        for open in self.oldest as u32..self.tries.len() as u32 {
            let attempt = &mut self.tries[open as usize];
            if attempt.server == n
                && attempt.life == life
                && !matches!(attempt.at, Where::Way | Where::Over)
            {
                attempt.at = Where::Over;
                self.checker.excuse(u64::from(open));
                let way = self.way_nanos();
                self.queue.schedule(
                    now + way,
                    Event::Hear(open, AttemptOutcome::ConnectionLost, 0.0),
                );
            }
        }
        let late = nanos(self.experiment.edges.late_ms);
        self.queue
            .schedule(now + late, Event::Seen(n as u32, false));
    }

    fn arrive(&mut self, n: u32) {
        let server = self.tries[n as usize].server;
        let machine = &mut self.servers[server];
        if machine.decider.is_none() {
            self.tries[n as usize].at = Where::Over;
            let way = self.way_nanos();
            return self.queue.schedule(
                self.now + way,
                Event::Hear(n, AttemptOutcome::ConnectionRefused, 0.0),
            );
        }
        if machine.paused {
            return machine.waiting.push(n);
        }
        let attempt = &mut self.tries[n as usize];
        (attempt.life, attempt.arrived) = (machine.life, self.now);
        let task = &self.tasks[attempt.task as usize];
        let by = task.born + nanos(self.experiment.stages[task.stage].limit_ms);
        if attempt.waited {
            self.checker.record_arrival(u64::from(n), by);
        }
        let place =
            machine
                .cores
                .start(self.now, u64::from(n) << 1, self.experiment.servers.read_ms);
        self.tries[n as usize].at = Where::Reading(place);
        self.foresee(server);
    }

    fn foresee(&mut self, server: usize) {
        let machine = &mut self.servers[server];
        let crowd = machine.cores.running() as f64
            > self.experiment.servers.deadly * self.experiment.servers.cores;
        if crowd && machine.crowded.is_none() {
            machine.crowded = Some(self.now);
            self.queue
                .schedule(self.now + DEADLY, Event::Crowd(server as u32, machine.life));
        } else if !crowd {
            machine.crowded = None;
        }
        if !machine.paused {
            if let Some(at) = machine.cores.next_completion() {
                self.queue.schedule(
                    at.max(self.now),
                    Event::End(server as u32, machine.cores.version()),
                );
            }
        }
    }

    fn crowd(&mut self, n: usize, life: u32) {
        let machine = &self.servers[n];
        let stayed = machine
            .crowded
            .is_some_and(|since| self.now >= since + DEADLY);
        if machine.life == life && machine.decider.is_some() && stayed {
            self.deaths += 1;
            self.fall(n);
        }
    }

    fn ends(&mut self, server: usize, version: u64) {
        if self.servers[server].cores.version() != version || self.servers[server].paused {
            return;
        }
        while let Some(job) = self.servers[server].cores.pop_completed(self.now) {
            let n = (job >> 1) as u32;
            if job & 1 == 0 {
                self.read(server, n);
            } else {
                self.run_over(server, n);
            }
        }
        self.foresee(server);
    }

    /// An attempt has been read: passes it to the decider.
    fn read(&mut self, server: usize, n: u32) {
        let (task, arrived) = (self.tries[n as usize].task, self.tries[n as usize].arrived);
        let task = &self.tasks[task as usize];
        let stage = &self.experiment.stages[task.stage];
        let by = task.born + nanos(stage.limit_ms);
        let key = self.key(n);
        let now = self.now;
        let known = key.and_then(|key| self.servers[server].known.get(&key));
        let arrival = Arrival {
            class: task.stage,
            tenant: 0,
            caller: task.edge,
            unread_ms: millis(now - arrived),
            remaining_ms: Some(millis(by.saturating_sub(now))),
            cost_hint_ms: Some(stage.work_ms),
            memory_kb: 1.0,
            is_repeat: known.is_some_and(|(_, until, _)| arrived < *until),
        };
        let machine = &mut self.servers[server];
        if let Some(decider) = &mut machine.decider {
            decider.receive(millis(now), arrival, &mut machine.actions);
        }
        self.act(server, Some(n));
        // The edge node may have stopped waiting while the attempt was being read.
        if !self.tries[n as usize].waited {
            self.left_inside(n);
        }
    }

    fn answer(&mut self, n: u32, outcome: AttemptOutcome, away_ms: f64) {
        if std::mem::replace(&mut self.tries[n as usize].answered, true) {
            return;
        }
        self.checker.record_answer(self.now, u64::from(n), outcome);
        let way = self.way_nanos();
        self.queue
            .schedule(self.now + way, Event::Hear(n, outcome, away_ms));
    }

    fn run_over(&mut self, server: usize, n: u32) {
        self.answer(n, AttemptOutcome::Served, 0.0);
        let key = self.key(n);
        let machine = &mut self.servers[server];
        let known = key
            .and_then(|key| machine.known.get_mut(&key))
            .filter(|(owner, ..)| *owner == n);
        let waiting = match known {
            Some((_, _, fate)) => match std::mem::replace(fate, Fate::Finished) {
                Fate::Open(waiting) => waiting,
                _ => Vec::new(),
            },
            None => Vec::new(),
        };
        self.over_inside(server, n, true);
        for n in waiting {
            self.answer(n, AttemptOutcome::Served, 0.0);
            self.over_inside(server, n, true);
        }
    }

    fn over_inside(&mut self, server: usize, n: u32, well: bool) {
        let Where::Inside(slot, _) = self.tries[n as usize].at else {
            return;
        };
        let machine = &mut self.servers[server];
        if let Some(decider) = &mut machine.decider {
            decider.run_ended(millis(self.now), slot, well, &mut machine.actions);
        }
        self.act(server, None);
    }

    fn left(&mut self, n: u32) {
        let attempt = &self.tries[n as usize];
        match attempt.at {
            Where::Inside(..) => {
                self.checker.excuse(u64::from(n));
                self.left_inside(n);
            }
            // The decider doesn't know the attempt yet: `is_awaited` is checked after reading.
            Where::Reading(_) | Where::Way => self.checker.excuse(u64::from(n)),
            Where::Over => {}
        }
    }

    fn left_inside(&mut self, n: u32) {
        let Where::Inside(slot, _) = self.tries[n as usize].at else {
            return;
        };
        let server = self.tries[n as usize].server;
        let machine = &mut self.servers[server];
        if let Some(decider) = &mut machine.decider {
            decider.caller_gone(millis(self.now), slot, &mut machine.actions);
        }
        self.act(server, None);
    }

    fn beat(&mut self, n: usize, life: u32) {
        let now = self.now;
        let machine = &mut self.servers[n];
        if machine.life != life || machine.beat_at > now || machine.decider.is_none() {
            return;
        }
        if machine.paused {
            return self
                .queue
                .schedule(now + 10_000_000, Event::Beat(n as u32, life));
        }
        // CPU utilization over the gauge's window.
        machine.cores.set_speed(now, machine.cores.speed());
        machine.gauge.push_back((now, machine.cores.busy_ms()));
        while machine.gauge.len() > 2 && machine.gauge[1].0 + GAUGE <= now {
            machine.gauge.pop_front();
        }
        let (from, busy) = machine.gauge[0];
        let cpu = match millis(now - from) {
            0.0 => 0.0,
            ms => (machine.cores.busy_ms() - busy) / (ms * self.experiment.servers.cores),
        };
        let on_cores = machine.cores.running() as f64;
        if let Some(decider) = &mut machine.decider {
            decider.tick(millis(now), cpu.min(1.0), on_cores, &mut machine.actions);
        }
        self.act(n, None);
        self.foresee(n);
    }

    /// Executes the decider's actions. `arriving` is the attempt that has just been passed to it.
    fn act(&mut self, server: usize, arriving: Option<u32>) {
        let now = self.now;
        while let Some(action) = self.servers[server].actions.pop() {
            let at = |world: &World<'_>, slot: Slot| {
                world.servers[server]
                    .slots
                    .get(slot as usize)
                    .copied()
                    .flatten()
            };
            match action {
                Action::Accept(slot) => {
                    let Some(n) = arriving else { continue };
                    let slots = &mut self.servers[server].slots;
                    slots.resize(slots.len().max(slot as usize + 1), None);
                    slots[slot as usize] = Some(n);
                    self.tries[n as usize].at = Where::Inside(slot, None);
                }
                Action::Release(slot) => {
                    let Some(n) = at(self, slot) else { continue };
                    self.servers[server].slots[slot as usize] = None;
                    let known = self
                        .key(n)
                        .and_then(|key| self.servers[server].known.get_mut(&key));
                    if let Some((owner, _, fate @ Fate::Open(_))) = known {
                        if *owner == n {
                            *fate = Fate::Failed;
                        }
                    }
                    self.tries[n as usize].at = Where::Over;
                }
                Action::Start(slot) => {
                    let Some(n) = at(self, slot) else { continue };
                    let work = self.tasks[self.tries[n as usize].task as usize].work_ms;
                    let life = self.servers[server].life;
                    let key = self.key(n).map(|(stage, subject)| ExecutionScope {
                        key: subject << 6 | stage as u64,
                        server,
                        incarnation: life,
                    });
                    self.checker.record_start(u64::from(n), key);
                    let place = self.servers[server]
                        .cores
                        .start(now, u64::from(n) << 1 | 1, work);
                    self.tries[n as usize].at = Where::Inside(slot, Some(place));
                    self.foresee(server);
                }
                Action::JoinEarlierAttempt(slot) => {
                    let Some(n) = at(self, slot) else { continue };
                    let known = self
                        .key(n)
                        .and_then(|key| self.servers[server].known.get_mut(&key));
                    match known.map(|(_, _, fate)| fate) {
                        Some(Fate::Open(waiting)) => waiting.push(n),
                        Some(Fate::Finished) => {
                            self.answer(n, AttemptOutcome::Served, 0.0);
                            self.join_over(server, n, true);
                        }
                        Some(Fate::Failed) | None => {
                            self.answer(n, AttemptOutcome::Failed, 0.0);
                            self.join_over(server, n, false);
                        }
                    }
                }
                Action::RetainIdempotencyEntry(slot, for_ms) => {
                    let Some(n) = at(self, slot) else { continue };
                    if let Some(key) = self.key(n) {
                        let entry = (n, now + nanos(for_ms), Fate::Open(Vec::new()));
                        self.servers[server].known.insert(key, entry);
                    }
                }
                Action::DropIdempotencyEntry(slot) => {
                    let Some(n) = at(self, slot) else { continue };
                    if let Some(key) = self.key(n) {
                        let known = &mut self.servers[server].known;
                        if known.get(&key).is_some_and(|(owner, ..)| *owner == n) {
                            let waiting = match known.remove(&key) {
                                Some((_, _, Fate::Open(waiting))) => waiting,
                                _ => Vec::new(),
                            };
                            for n in waiting {
                                self.answer(n, AttemptOutcome::Failed, 0.0);
                                self.join_over(server, n, false);
                            }
                        }
                    }
                }
                Action::Reject(slot, away_ms) => {
                    if let Some(n) = at(self, slot) {
                        self.answer(n, AttemptOutcome::Rejected, away_ms);
                    }
                }
                Action::Fail(slot) => {
                    if let Some(n) = at(self, slot) {
                        self.answer(n, AttemptOutcome::Failed, 0.0);
                    }
                }
                Action::ScheduleTick(at_ms) => {
                    let at = nanos(at_ms).max(now + 1);
                    let machine = &mut self.servers[server];
                    machine.beat_at = at;
                    self.queue
                        .schedule(at, Event::Beat(server as u32, machine.life));
                }
            }
        }
    }

    /// The earlier attempt that this one joined has ended. Leaves the resulting actions to `execute_actions`, which calls
    /// this function.
    fn join_over(&mut self, server: usize, n: u32, well: bool) {
        let Where::Inside(slot, _) = self.tries[n as usize].at else {
            return;
        };
        let machine = &mut self.servers[server];
        if let Some(decider) = &mut machine.decider {
            decider.run_ended(millis(self.now), slot, well, &mut machine.actions);
        }
    }

    // ---- Faults and accounting ----

    fn fault(&mut self, n: usize, begins: bool) {
        let fault = &self.experiment.faults[n];
        for server in fault.first..fault.first + fault.servers {
            match (fault.what, begins) {
                (Trouble::Crash, true) if self.servers[server].decider.is_some() => {
                    self.fall(server)
                }
                (Trouble::Crash, false) if self.servers[server].decider.is_none() => {
                    self.rise(server, true);
                    let late = nanos(self.experiment.edges.late_ms);
                    self.queue
                        .schedule(self.now + late, Event::Seen(server as u32, true));
                }
                (Trouble::Crash, _) => {}
                (Trouble::Slow(part), _) => {
                    let now = self.now;
                    self.servers[server]
                        .cores
                        .set_speed(now, if begins { part } else { 1.0 });
                    self.foresee(server);
                }
                (Trouble::Pause, _) => {
                    let now = self.now;
                    let machine = &mut self.servers[server];
                    machine.cores.set_speed(now, if begins { 0.0 } else { 1.0 });
                    machine.paused = begins;
                    for n in std::mem::take(&mut machine.waiting) {
                        self.arrive(n);
                    }
                    self.foresee(server);
                }
            }
        }
    }

    fn second_over(&mut self) {
        let now = self.now;
        let up = self
            .servers
            .iter()
            .filter(|machine| machine.decider.is_some())
            .count();
        let mut busy = 0.0;
        for machine in &mut self.servers {
            let speed = machine.cores.speed();
            machine.cores.set_speed(now, speed);
            busy += machine.cores.busy_ms();
        }
        for server in 0..self.servers.len() {
            self.foresee(server);
        }
        let limits = self
            .servers
            .iter()
            .filter_map(|machine| machine.decider.as_ref().map(Decider::concurrency_limit));
        let mut second = std::mem::take(&mut self.second);
        second.mean_limit =
            limits.filter(|limit| limit.is_finite()).sum::<f64>() / up.max(1) as f64;
        second.cpu_utilization = (busy - self.busy_before)
            / (1e3 * self.experiment.servers.cores * self.servers.len() as f64);
        second.servers_up = up;
        self.busy_before = busy;
        self.seconds.push(second);
        if now < self.end {
            self.queue.schedule(now + nanos(1e3), Event::Second);
        }
    }

    fn outcome(mut self) -> RunReport {
        self.count_inside(0);
        let finished = self.times.len().max(1) as f64;
        let came: u64 = self.seconds.iter().map(|second| second.arrived).sum();
        RunReport {
            earned_share: if self.possible > 0.0 {
                self.earned / self.possible
            } else {
                0.0
            },
            attempts_per_request: self.tries_sent as f64 / came.max(1) as f64,
            latency_ms: quantiles_ms(&self.times),
            mean_latency_ms: self.sum_ms / finished,
            little_law_ratio: if self.spent_ms > 0.0 {
                self.inside.1 / self.spent_ms
            } else {
                1.0
            },
            requests: self.counts,
            violations: self.checker.violations,
            events: self.queue.scheduled_count(),
            overload_crashes: self.deaths,
            seconds: self.seconds,
        }
    }
}
