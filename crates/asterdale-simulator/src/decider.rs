//! Who decides: the module itself, or one of the plain policies that it is measured against. Both speak through
//! the module's own [`Machine`].

use std::collections::VecDeque;

use asterdale::events::{Arrival, Gauges, Outcome};
use asterdale::parameters::{
    CapacityHint, ClassParameters, Dependency, Idempotency, Parameters, Preemption,
};
use asterdale::{Actions, Handle, Server};

use crate::experiment::{Experiment, Policy};

/// A task inside a server, by a small number that is given out again.
pub type Seat = u32;

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// The task that is being taken is known by this number.
    Seat(Seat),
    /// Nothing more will be asked of it.
    Release(Seat),
    /// Start it.
    Run(Seat),
    /// Answer it with the result of the try that it repeats.
    Join(Seat),
    /// Remember its key for so many milliseconds.
    Remember(Seat, f64),
    /// Forget its key.
    Forget(Seat),
    /// It never ran; stay away for so many milliseconds.
    Reject(Seat, f64),
    /// Nothing is promised.
    Abandon(Seat),
    /// Ask again then, in milliseconds.
    Wake(f64),
}

/// ActionList in the order in which they were asked for.
#[derive(Default)]
pub struct ActionList {
    /// What is to be done.
    pub all: VecDeque<Action>,
    handles: Vec<Option<Handle>>,
}

impl Actions for ActionList {
    fn accepted(&mut self, task: Handle) {
        let n = task.index();
        self.handles.resize(self.handles.len().max(n + 1), None);
        self.handles[n] = Some(task);
        self.all.push_back(Action::Seat(n as Seat));
    }
    fn release(&mut self, task: Handle) {
        self.all.push_back(Action::Release(task.index() as Seat));
    }
    fn start(&mut self, task: Handle) {
        self.all.push_back(Action::Run(task.index() as Seat));
    }
    fn stop(&mut self, _: Handle) {}
    fn start_call(&mut self, _: Handle, _: f64) {}
    fn skip_call(&mut self, _: Handle) {}
    fn join_earlier_attempt(&mut self, task: Handle) {
        self.all.push_back(Action::Join(task.index() as Seat));
    }
    fn retain_idempotency_entry(&mut self, task: Handle, for_ms: f64) {
        self.all
            .push_back(Action::Remember(task.index() as Seat, for_ms));
    }
    fn drop_idempotency_entry(&mut self, task: Handle) {
        self.all.push_back(Action::Forget(task.index() as Seat));
    }
    fn reject(&mut self, task: Handle, _: bool, stay_away_ms: f64) {
        self.all
            .push_back(Action::Reject(task.index() as Seat, stay_away_ms));
    }
    fn fail(&mut self, task: Handle) {
        self.all.push_back(Action::Abandon(task.index() as Seat));
    }
    fn publish_capacity_hint(&mut self, _: f64) {}
    fn set_health(&mut self, _: bool, _: bool) {}
    fn set_idle_timeout(&mut self, _: f64) {}
    fn schedule_tick(&mut self, at_ms: f64) {
        self.all.push_back(Action::Wake(at_ms));
    }
}

/// Who decides for one server.
pub enum Decider {
    /// The module.
    Module(Box<Server>),
    /// A plain policy.
    Plain(Plain),
}

/// What the module is told of an experiment's servers.
fn told(experiment: &Experiment, seed: u64, cold: bool) -> Parameters {
    let stage = |stage: &crate::experiment::Stage| ClassParameters {
        objective_ms: stage.due_ms,
        deadline_ms: stage.limit_ms,
        weight: stage.utility,
        late_weight_share: stage.late_share,
        degraded_weight_share: 0.0,
        makes_calls: false,
        idempotency: if stage.fingerprinted {
            Idempotency::Keyed
        } else {
            Idempotency::Idempotent
        },
        retry_window_ms: 2.0 * stage.limit_ms,
    };
    Parameters {
        seed,
        cores: experiment.servers.cores,
        memory_kb: 1e12,
        running_memory_factor: 1.0,
        idempotency_entry_kb: 1.0,
        slow_start: cold,
        slow_start_share: 1.0,
        slow_start_ms: 0.0,
        overload_factor: experiment.servers.deadly.min(1e6),
        tick_ms: 1.0,
        drain_grace_ms: 0.0,
        servers: experiment.servers.count as f64,
        callers: experiment.edges.count as f64,
        dependency: Dependency::Absent,
        dependency_quota: 0.0,
        dependency_window_ms: 1000.0,
        call_linger_ms: 0.0,
        idle_timeout_ms: 0.0,
        response_reuse_ms: 0.0,
        preemption: Preemption::Unsupported,
        capacity_hint: CapacityHint::Unused,
        max_retry_after_ms: if experiment.edges.heeds { 1000.0 } else { 0.0 },
        over_quota_weight_share: 1.0,
        weight_per_work: false,
        classes: experiment.stages.iter().map(stage).collect(),
        tenants: Vec::new(),
    }
}

impl Decider {
    /// As the experiment has it; a server that comes back is cold.
    pub fn new(
        experiment: &Experiment,
        seed: u64,
        now_ms: f64,
        cold: bool,
        to: &mut ActionList,
    ) -> Decider {
        to.handles.clear();
        match experiment.servers.policy {
            Policy::Asterdale => Decider::Module(Box::new(Server::start(
                told(experiment, seed, cold),
                now_ms,
                to,
            ))),
            policy => Decider::Plain(Plain::new(policy, experiment.servers.cores, now_ms, to)),
        }
    }

    /// A task has been read.
    pub fn take(&mut self, now_ms: f64, arrival: Arrival, to: &mut ActionList) {
        match self {
            Decider::Module(server) => drop(server.receive(now_ms, arrival, to)),
            Decider::Plain(plain) => plain.take(now_ms, to),
        }
    }

    /// It wanted to be asked now.
    pub fn beat(&mut self, now_ms: f64, cpu: f64, on_cores: f64, to: &mut ActionList) {
        match self {
            Decider::Module(server) => {
                let gauges = Gauges {
                    cpu: Some(cpu),
                    on_cores: Some(on_cores),
                    memory: None,
                    connections: None,
                };
                server.tick(now_ms, gauges, to);
            }
            Decider::Plain(plain) => plain.beat(now_ms, to),
        }
    }

    /// A run, or what a task had joined, is over.
    pub fn over(&mut self, now_ms: f64, seat: Seat, well: bool, to: &mut ActionList) {
        match self {
            Decider::Module(server) => {
                let how = if well { Outcome::Ok } else { Outcome::Failed };
                if let Some(handle) = to.handles.get(seat as usize).copied().flatten() {
                    handle.run_ended(server, now_ms, how, to);
                }
            }
            Decider::Plain(plain) => plain.over(now_ms, seat, to),
        }
    }

    /// Nobody waits any more.
    pub fn left(&mut self, now_ms: f64, seat: Seat, to: &mut ActionList) {
        match self {
            Decider::Module(server) => {
                if let Some(handle) = to.handles.get(seat as usize).copied().flatten() {
                    handle.caller_gone(server, now_ms, to);
                }
            }
            Decider::Plain(plain) => plain.left(seat, to),
        }
    }

    /// The limit of running tasks, where there is one.
    pub fn limit(&self) -> f64 {
        match self {
            Decider::Module(server) => server.summary().limit,
            Decider::Plain(plain) => plain.limit,
        }
    }
}

/// A window of AIMD, in milliseconds: that of the module.
const WINDOW: f64 = 500.0;
/// What CoDel bears, and for how long, in milliseconds: its published figures.
const SOJOURN: f64 = 5.0;
const INTERVAL: f64 = 100.0;

/// A plain policy.
pub struct Plain {
    policy: Policy,
    cores: f64,
    limit: f64,
    running: usize,
    held: VecDeque<(Seat, f64)>,
    /// By seat: when it was started, while it runs.
    started: Vec<Option<f64>>,
    free: Vec<Seat>,
    least_ms: f64,
    slow: bool,
    above_since: Option<f64>,
}

impl Plain {
    fn new(policy: Policy, cores: f64, now_ms: f64, to: &mut ActionList) -> Plain {
        let limit = match policy {
            Policy::Everything => f64::INFINITY,
            Policy::Fixed(limit) => limit as f64,
            _ => cores.ceil(),
        };
        if policy == Policy::Aimd {
            to.all.push_back(Action::Wake(now_ms + WINDOW));
        }
        Plain {
            policy,
            cores,
            limit,
            running: 0,
            held: VecDeque::new(),
            started: Vec::new(),
            free: Vec::new(),
            least_ms: f64::INFINITY,
            slow: false,
            above_since: None,
        }
    }

    fn take(&mut self, now_ms: f64, to: &mut ActionList) {
        let seat = self.free.pop().unwrap_or(self.started.len() as Seat);
        if seat as usize == self.started.len() {
            self.started.push(None);
        }
        to.all.push_back(Action::Seat(seat));
        let holds = match self.policy {
            Policy::Pool(most) => most,
            Policy::Aimd => self.cores.ceil() as usize,
            Policy::Codel => usize::MAX,
            Policy::Everything | Policy::Fixed(_) | Policy::Asterdale => 0,
        };
        if (self.running as f64) < self.limit {
            self.start(now_ms, seat, to);
        } else if self.held.len() < holds {
            self.held.push_back((seat, now_ms));
        } else {
            self.turn_away(seat, to);
        }
    }

    fn start(&mut self, now_ms: f64, seat: Seat, to: &mut ActionList) {
        self.started[seat as usize] = Some(now_ms);
        self.running += 1;
        to.all.push_back(Action::Run(seat));
    }

    fn turn_away(&mut self, seat: Seat, to: &mut ActionList) {
        to.all.push_back(Action::Reject(seat, 0.0));
        to.all.push_back(Action::Release(seat));
        self.free.push(seat);
    }

    fn over(&mut self, now_ms: f64, seat: Seat, to: &mut ActionList) {
        let Some(started) = self.started[seat as usize].take() else {
            return;
        };
        self.running -= 1;
        self.free.push(seat);
        to.all.push_back(Action::Release(seat));
        self.least_ms = self.least_ms.min(now_ms - started);
        self.slow |= now_ms - started > 2.0 * self.least_ms;
        while (self.running as f64) < self.limit {
            let Some((seat, since)) = self.held.pop_front() else {
                return;
            };
            if self.policy == Policy::Codel {
                if now_ms - since < SOJOURN {
                    self.above_since = None;
                } else if now_ms - *self.above_since.get_or_insert(now_ms) >= INTERVAL {
                    self.turn_away(seat, to);
                    continue;
                }
            }
            self.start(now_ms, seat, to);
        }
    }

    fn beat(&mut self, now_ms: f64, to: &mut ActionList) {
        if self.policy == Policy::Aimd {
            self.limit = if self.slow {
                (0.9 * self.limit).max(1.0)
            } else {
                self.limit + 1.0
            };
            self.slow = false;
            to.all.push_back(Action::Wake(now_ms + WINDOW));
        }
    }

    /// What runs goes on: these know no other way.
    fn left(&mut self, seat: Seat, to: &mut ActionList) {
        if let Some(n) = self.held.iter().position(|(held, _)| *held == seat) {
            self.held.remove(n);
            self.free.push(seat);
            to.all.push_back(Action::Release(seat));
        }
    }
}
