//! Fixtures of the tests: parameters, arrivals, and a host that records actions.

pub(super) use crate::actions::Actions;
pub(super) use crate::events::{Arrival, Gauges, Outcome, PeerCounts};
pub(super) use crate::measure::Histogram;
pub(super) use crate::parameters::{
    CapacityHint, ClassParameters, Dependency, Idempotency, Parameters, Preemption,
    TenantParameters,
};
pub(super) use crate::policy::TICK_MS;
pub(super) use crate::state::{Server, TenantState, LATENCY_WINDOWS};
pub(super) use crate::task::{Handle, Task, TaskState};

pub(super) fn parameters() -> Parameters {
    let class = |idempotency, weight| ClassParameters {
        objective_ms: 2_000.0,
        deadline_ms: 10_000.0,
        weight,
        late_weight_share: 0.2,
        degraded_weight_share: if idempotency == Idempotency::Idempotent {
            0.5
        } else {
            0.0
        },
        makes_calls: true,
        idempotency,
        retry_window_ms: 5_000.0,
    };
    Parameters {
        seed: 1,
        cores: 6.0,
        memory_kb: 10_000.0,
        running_memory_factor: 16.0,
        idempotency_entry_kb: 100.0,
        slow_start: false,
        slow_start_share: 0.25,
        slow_start_ms: 10_000.0,
        overload_factor: 8.0,
        tick_ms: 4.0,
        drain_grace_ms: 2_000.0,
        servers: 20.0,
        callers: 3.0,
        dependency: Dependency::Tier,
        dependency_quota: 0.0,
        dependency_window_ms: 5_000.0,
        call_linger_ms: 200.0,
        idle_timeout_ms: 30_000.0,
        response_reuse_ms: 0.0,
        preemption: Preemption::Abort,
        capacity_hint: CapacityHint::Unused,
        max_retry_after_ms: 1_000.0,
        over_quota_weight_share: 0.1,
        weight_per_work: false,
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(Idempotency::Keyed, 3.0),
        ],
        tenants: Vec::new(),
    }
}

pub(super) fn started(parameters: Parameters) -> Server {
    Server::start(parameters, 0.0, &mut Log::default())
}

pub(super) fn arrival(class: usize) -> Arrival {
    Arrival {
        class,
        tenant: 0,
        caller: 0,
        unread_ms: 0.0,
        remaining_ms: Some(10_000.0),
        cost_hint_ms: None,
        memory_kb: 10.0,
        is_repeat: false,
    }
}

pub(super) fn tenant_with_quota(quota_per_s: f64) -> TenantState {
    TenantState::new(&TenantParameters { quota_per_s }, 0.0)
}

/// Inserts a task that has been in this state since time 0, as if it had been received.
pub(super) fn put_task(server: &mut Server, state: TaskState, class: usize) {
    let mut task = Task::new(arrival(class), 0.0);
    (task.deadline_ms, task.objective_ms) = (10_000.0, 2_000.0);
    task.may_have_run = state != TaskState::Queued;
    let handle = server.insert(task);
    server.set_state(handle, state);
}

/// Adds samples of this ratio to the current window.
pub(super) fn add_ratios(server: &mut Server, ratio: f64, samples: usize) {
    let limiter = &mut server.limiter;
    (0..samples).for_each(|_| limiter.ratio_windows[limiter.current_window].add(ratio));
}

/// Records actions by name and task. The log of the snapshot tests records all arguments, to compare two servers.
#[derive(Default)]
pub(super) struct Log(pub Vec<String>);

impl Log {
    pub fn count(&self, action: &str) -> usize {
        self.0
            .iter()
            .filter(|line| line.starts_with(action))
            .count()
    }
    fn record(&mut self, action: &str, task: Handle) {
        self.0.push(format!("{action} {}", task.0));
    }
}

impl Actions for Log {
    fn accepted(&mut self, task: Handle) {
        self.record("accepted", task);
    }
    fn release(&mut self, task: Handle) {
        self.record("release", task);
    }
    fn start(&mut self, task: Handle) {
        self.record("start", task);
    }
    fn stop(&mut self, task: Handle) {
        self.record("stop", task);
    }
    fn start_call(&mut self, task: Handle, _: f64) {
        self.record("call", task);
    }
    fn skip_call(&mut self, task: Handle) {
        self.record("skip", task);
    }
    fn join_earlier_attempt(&mut self, task: Handle) {
        self.record("join", task);
    }
    fn retain_idempotency_entry(&mut self, task: Handle, for_ms: f64) {
        self.0.push(format!("retain {} {for_ms}", task.0));
    }
    fn drop_idempotency_entry(&mut self, task: Handle) {
        self.record("drop", task);
    }
    fn reject(&mut self, task: Handle, last_attempt: bool, _: f64) {
        self.0.push(format!(
            "reject {}{}",
            task.0,
            if last_attempt { " last" } else { "" }
        ));
    }
    fn fail(&mut self, task: Handle) {
        self.record("fail", task);
    }
    fn publish_capacity_hint(&mut self, value: f64) {
        self.0.push(format!("hint {value}"));
    }
    fn set_health(&mut self, healthy: bool, _: bool) {
        self.0.push(format!("health {healthy}"));
    }
    fn set_idle_timeout(&mut self, after_ms: f64) {
        self.0.push(format!("idle_timeout {after_ms}"));
    }
    fn schedule_tick(&mut self, _: f64) {
        self.0.push("tick".into());
    }
}
