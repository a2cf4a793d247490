use super::*;
use crate::parameters::{ClassParameters, TenantParameters};

pub fn told() -> Parameters {
    let stage = |repeat, utility| ClassParameters {
        objective_ms: 2_000.0,
        deadline_ms: 10_000.0,
        weight: utility,
        late_weight_share: 0.2,
        degraded_weight_share: if repeat == Idempotency::Idempotent {
            0.5
        } else {
            0.0
        },
        makes_calls: true,
        idempotency: repeat,
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
            stage(Idempotency::Idempotent, 1.0),
            stage(Idempotency::Keyed, 3.0),
        ],
        tenants: Vec::new(),
    }
}

pub fn server(told: Parameters) -> Server {
    Server::start(told, 0.0, &mut Log::default())
}

pub fn arrival(stage: usize) -> Arrival {
    Arrival {
        class: stage,
        tenant: 0,
        caller: 0,
        unread_ms: 0.0,
        remaining_ms: Some(10_000.0),
        cost_hint_ms: None,
        memory_kb: 10.0,
        is_repeat: false,
    }
}

pub fn customer(allowance_per_s: f64) -> Customer {
    let facts = TenantParameters {
        quota_per_s: allowance_per_s,
    };
    Customer {
        facts,
        read: Ring::new(4_000.0, 8, 0.0),
        held: 0,
    }
}

/// A task in this state since time 0, as if it had been taken.
pub fn put(s: &mut Server, state: State, stage: usize) {
    let mut task = Task::read(arrival(stage), 0.0);
    (task.due, task.aim, task.ran) = (10_000.0, 2_000.0, state != State::Held);
    s.tasks.push(task);
    let n = s.tasks.len() as u32 - 1;
    s.live.push(n);
    s.enter(n, state);
}

/// Samples of this ratio in the present window.
pub fn ratios(s: &mut Server, ratio: f64, n: usize) {
    (0..n).for_each(|_| s.windows[s.window].add(ratio));
}

/// The answers, a word or two each.
#[derive(Default)]
pub struct Log(pub Vec<String>);

impl Log {
    pub fn count(&self, what: &str) -> usize {
        self.0.iter().filter(|line| line.starts_with(what)).count()
    }
    fn say(&mut self, what: &str, task: Handle) {
        self.0.push(format!("{what} {}", task.0));
    }
}

impl Actions for Log {
    fn accepted(&mut self, task: Handle) {
        self.say("seat", task);
    }
    fn release(&mut self, task: Handle) {
        self.say("release", task);
    }
    fn start(&mut self, task: Handle) {
        self.say("run", task);
    }
    fn stop(&mut self, task: Handle) {
        self.say("stop", task);
    }
    fn start_call(&mut self, task: Handle, _: f64) {
        self.say("call", task);
    }
    fn skip_call(&mut self, task: Handle) {
        self.say("skip", task);
    }
    fn join_earlier_attempt(&mut self, task: Handle) {
        self.say("join", task);
    }
    fn retain_idempotency_entry(&mut self, task: Handle, for_ms: f64) {
        self.0.push(format!("remember {} {for_ms}", task.0));
    }
    fn drop_idempotency_entry(&mut self, task: Handle) {
        self.say("forget", task);
    }
    fn reject(&mut self, task: Handle, last: bool, _: f64) {
        self.0.push(format!(
            "reject {}{}",
            task.0,
            if last { " last" } else { "" }
        ));
    }
    fn fail(&mut self, task: Handle) {
        self.say("abandon", task);
    }
    fn publish_capacity_hint(&mut self, value: f64) {
        self.0.push(format!("advertise {value}"));
    }
    fn set_health(&mut self, good: bool, _: bool) {
        self.0.push(format!("health {good}"));
    }
    fn set_idle_timeout(&mut self, after_ms: f64) {
        self.0.push(format!("close {after_ms}"));
    }
    fn schedule_tick(&mut self, _: f64) {
        self.0.push("wake".into());
    }
}
