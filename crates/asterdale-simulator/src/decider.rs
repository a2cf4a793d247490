//! Decides for one simulated server: the real decision module, or one of the baseline policies it is compared with.
//!
//! Both take the same events and queue the same kind of actions, so the simulated server does not know which it has.

use std::collections::VecDeque;

use asterdale::events::{Arrival, Gauges, Outcome};
use asterdale::parameters::{
    CapacityHint, ClassParameters, Dependency, Idempotency, Parameters, Preemption,
};
use asterdale::{Actions, Handle, Server};

use self::baseline::Baseline;
use crate::experiment::{Experiment, Policy, RequestClass};

mod baseline;

/// Index of a request within its server. It is reused after the request is released.
pub type Slot = u32;

/// Action that the simulated server has to carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// The request that is being received has this slot from now on.
    Accept(Slot),
    /// The request needs nothing more; its slot may be reused.
    Release(Slot),
    /// Start to run the request.
    Start(Slot),
    /// Answer the request with the result of the earlier attempt that has the same idempotency key.
    JoinEarlierAttempt(Slot),
    /// Retain the request's idempotency entry for this many milliseconds.
    RetainIdempotencyEntry(Slot, f64),
    /// Drop the request's idempotency entry.
    DropIdempotencyEntry(Slot),
    /// Reject the request, which never ran; the caller is to retry after this many milliseconds.
    Reject(Slot, f64),
    /// Fail the request; it may have run.
    Fail(Slot),
    /// Call the decider's `tick` at this time, in milliseconds from the start of the run.
    ScheduleTick(f64),
}

/// Actions in the order in which they were decided, and the decision module's handles by slot.
#[derive(Default)]
pub struct ActionQueue {
    pending: VecDeque<Action>,
    handles: Vec<Option<Handle>>,
}

impl ActionQueue {
    /// Removes and returns the oldest action.
    pub fn pop(&mut self) -> Option<Action> {
        self.pending.pop_front()
    }

    /// Drops all actions: the server crashed.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    fn push(&mut self, action: Action) {
        self.pending.push_back(action);
    }

    fn handle(&self, slot: Slot) -> Option<Handle> {
        self.handles.get(slot as usize).copied().flatten()
    }
}

fn slot_of(task: Handle) -> Slot {
    task.index() as Slot
}

impl Actions for ActionQueue {
    fn accepted(&mut self, task: Handle) {
        let index = task.index();
        self.handles.resize(self.handles.len().max(index + 1), None);
        self.handles[index] = Some(task);
        self.push(Action::Accept(slot_of(task)));
    }
    fn release(&mut self, task: Handle) {
        self.push(Action::Release(slot_of(task)));
    }
    fn start(&mut self, task: Handle) {
        self.push(Action::Start(slot_of(task)));
    }
    fn join_earlier_attempt(&mut self, task: Handle) {
        self.push(Action::JoinEarlierAttempt(slot_of(task)));
    }
    fn retain_idempotency_entry(&mut self, task: Handle, for_ms: f64) {
        self.push(Action::RetainIdempotencyEntry(slot_of(task), for_ms));
    }
    fn drop_idempotency_entry(&mut self, task: Handle) {
        self.push(Action::DropIdempotencyEntry(slot_of(task)));
    }
    fn reject(&mut self, task: Handle, _: bool, retry_after_ms: f64) {
        self.push(Action::Reject(slot_of(task), retry_after_ms));
    }
    fn fail(&mut self, task: Handle) {
        self.push(Action::Fail(slot_of(task)));
    }
    fn schedule_tick(&mut self, at_ms: f64) {
        self.push(Action::ScheduleTick(at_ms));
    }

    // The simulated servers have no preemption, no dependency, no capacity hint, no health check and no connections.
    fn stop(&mut self, _: Handle) {}
    fn start_call(&mut self, _: Handle, _: f64) {}
    fn skip_call(&mut self, _: Handle) {}
    fn publish_capacity_hint(&mut self, _: f64) {}
    fn set_health(&mut self, _: bool, _: bool) {}
    fn set_idle_timeout(&mut self, _: f64) {}
}

/// Decider of one server.
pub enum Decider {
    /// The real decision module.
    Module(Box<Server>),
    /// A baseline policy.
    Baseline(Baseline),
}

impl Decider {
    /// The decider that the experiment asks for. With `slow_start` the decision module starts as after a crash.
    pub fn new(
        experiment: &Experiment,
        seed: u64,
        now_ms: f64,
        slow_start: bool,
        actions: &mut ActionQueue,
    ) -> Decider {
        actions.handles.clear();
        let policy = experiment.servers.policy;
        if policy == Policy::Asterdale {
            let parameters = module_parameters(experiment, seed, slow_start);
            Decider::Module(Box::new(Server::start(parameters, now_ms, actions)))
        } else {
            let cores = experiment.servers.cores;
            Decider::Baseline(Baseline::new(policy, cores, now_ms, actions))
        }
    }

    /// A request was read.
    pub fn receive(&mut self, now_ms: f64, arrival: Arrival, actions: &mut ActionQueue) {
        match self {
            // The handle is in the action queue already.
            Decider::Module(server) => drop(server.receive(now_ms, arrival, actions)),
            Decider::Baseline(baseline) => baseline.receive(now_ms, actions),
        }
    }

    /// A scheduled tick is due. `cpu` is the utilization from 0 to 1, `on_cores` the number of jobs on the cores.
    pub fn tick(&mut self, now_ms: f64, cpu: f64, on_cores: f64, actions: &mut ActionQueue) {
        match self {
            Decider::Module(server) => {
                let gauges = Gauges {
                    cpu: Some(cpu),
                    on_cores: Some(on_cores),
                    memory: None,
                    connections: None,
                };
                server.tick(now_ms, gauges, actions);
            }
            Decider::Baseline(baseline) => baseline.tick(now_ms, actions),
        }
    }

    /// A request's run, or the earlier attempt that it joined, ended.
    pub fn run_ended(&mut self, now_ms: f64, slot: Slot, is_ok: bool, actions: &mut ActionQueue) {
        match self {
            Decider::Module(server) => {
                let outcome = if is_ok { Outcome::Ok } else { Outcome::Failed };
                if let Some(handle) = actions.handle(slot) {
                    handle.run_ended(server, now_ms, outcome, actions);
                }
            }
            Decider::Baseline(baseline) => baseline.run_ended(now_ms, slot, actions),
        }
    }

    /// The caller of a request no longer waits for it.
    pub fn caller_gone(&mut self, now_ms: f64, slot: Slot, actions: &mut ActionQueue) {
        match self {
            Decider::Module(server) => {
                if let Some(handle) = actions.handle(slot) {
                    handle.caller_gone(server, now_ms, actions);
                }
            }
            Decider::Baseline(baseline) => baseline.caller_gone(slot, actions),
        }
    }

    /// Limit of concurrently running requests; infinite if there is none.
    pub fn concurrency_limit(&self) -> f64 {
        match self {
            Decider::Module(server) => server.summary().limit,
            Decider::Baseline(baseline) => baseline.concurrency_limit(),
        }
    }
}

/// Parameters of the decision module on the experiment's servers.
fn module_parameters(experiment: &Experiment, seed: u64, slow_start: bool) -> Parameters {
    Parameters {
        seed,
        cores: experiment.servers.cores,
        memory_kb: 1e12,
        running_memory_factor: 1.0,
        idempotency_entry_kb: 1.0,
        slow_start,
        slow_start_share: 1.0,
        slow_start_ms: 0.0,
        overload_factor: experiment.servers.crash_concurrency.min(1e6),
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
        max_retry_after_ms: if experiment.edges.honors_retry_after {
            1000.0
        } else {
            0.0
        },
        over_quota_weight_share: 1.0,
        weight_per_work: false,
        classes: experiment.classes.iter().map(class_parameters).collect(),
        tenants: Vec::new(),
    }
}

fn class_parameters(class: &RequestClass) -> ClassParameters {
    ClassParameters {
        objective_ms: class.objective_ms,
        deadline_ms: class.client_timeout_ms,
        weight: class.weight,
        late_weight_share: class.late_weight_share,
        degraded_weight_share: 0.0,
        makes_calls: false,
        idempotency: if class.is_keyed {
            Idempotency::Keyed
        } else {
            Idempotency::Idempotent
        },
        retry_window_ms: 2.0 * class.client_timeout_ms,
    }
}
