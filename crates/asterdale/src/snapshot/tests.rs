use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;
use crate::actions::Actions;
use crate::events::*;
use crate::parameters::*;
use crate::task::Handle;

/// Records all actions with their arguments, and which tasks are open and running.
#[derive(Clone, Default)]
struct Log {
    actions: Vec<String>,
    open: Vec<Handle>,
    running: Vec<Handle>,
}

impl Log {
    fn record(&mut self, action: &str, task: Handle) {
        self.actions.push(format!("{action} {}", task.index()));
    }
}

impl Actions for Log {
    fn accepted(&mut self, task: Handle) {
        self.record("accepted", task);
        self.open.push(task);
    }
    fn release(&mut self, task: Handle) {
        self.record("release", task);
        self.open.retain(|open| *open != task);
        self.running.retain(|running| *running != task);
    }
    fn start(&mut self, task: Handle) {
        self.record("start", task);
        self.running.push(task);
    }
    fn stop(&mut self, task: Handle) {
        self.record("stop", task);
    }
    fn start_call(&mut self, task: Handle, timeout_ms: f64) {
        self.actions
            .push(format!("call {} {timeout_ms}", task.index()));
    }
    fn skip_call(&mut self, task: Handle) {
        self.record("skip", task);
    }
    fn join_earlier_attempt(&mut self, task: Handle) {
        self.record("join", task);
    }
    fn retain_idempotency_entry(&mut self, task: Handle, for_ms: f64) {
        self.actions
            .push(format!("retain {} {for_ms}", task.index()));
    }
    fn drop_idempotency_entry(&mut self, task: Handle) {
        self.record("drop", task);
    }
    fn reject(&mut self, task: Handle, last_attempt: bool, retry_after_ms: f64) {
        self.actions.push(format!(
            "reject {} {last_attempt} {retry_after_ms}",
            task.index()
        ));
    }
    fn fail(&mut self, task: Handle) {
        self.record("fail", task);
    }
    fn publish_capacity_hint(&mut self, value: f64) {
        self.actions.push(format!("hint {value}"));
    }
    fn set_health(&mut self, healthy: bool, recorded: bool) {
        self.actions.push(format!("health {healthy} {recorded}"));
    }
    fn set_idle_timeout(&mut self, after_ms: f64) {
        self.actions.push(format!("idle_timeout {after_ms}"));
    }
    fn schedule_tick(&mut self, at_ms: f64) {
        self.actions.push(format!("tick {at_ms}"));
    }
}

fn parameters() -> Parameters {
    let class = |idempotency, weight| ClassParameters {
        objective_ms: 500.0,
        deadline_ms: 2_000.0,
        weight,
        late_weight_share: 0.2,
        degraded_weight_share: 0.5,
        makes_calls: true,
        idempotency,
        retry_window_ms: 5_000.0,
    };
    Parameters {
        seed: 3,
        cores: 2.0,
        memory_kb: 9_000.0,
        running_memory_factor: 16.0,
        idempotency_entry_kb: 10.0,
        slow_start: false,
        slow_start_share: 0.25,
        slow_start_ms: 1_000.0,
        overload_factor: 5.0,
        tick_ms: 5.0,
        drain_grace_ms: 0.0,
        servers: 2.0,
        callers: 2.0,
        dependency: Dependency::Shared,
        dependency_quota: 10.0,
        dependency_window_ms: 5_000.0,
        call_linger_ms: 10.0,
        idle_timeout_ms: 30_000.0,
        response_reuse_ms: 0.0,
        preemption: Preemption::Unsupported,
        capacity_hint: CapacityHint::Unused,
        max_retry_after_ms: 1_000.0,
        over_quota_weight_share: 0.1,
        weight_per_work: true,
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(Idempotency::Keyed, 3.0),
        ],
        tenants: vec![
            TenantParameters { quota_per_s: 5.0 },
            TenantParameters { quota_per_s: 50.0 },
        ],
    }
}

/// Applies one event, whose kind and values are derived from random numbers.
fn apply_event(server: &mut Server, log: &mut Log, now_ms: f64, (kind, n): (u8, usize)) {
    let pick = |from: &[Handle]| from.get(n % from.len().max(1)).copied();
    match kind {
        0..5 => {
            let arrival = Arrival {
                class: n % 2,
                tenant: n / 2 % 2,
                caller: n / 4 % 3,
                unread_ms: (n % 7) as f64,
                remaining_ms: Some(100.0 + (n % 900) as f64),
                cost_hint_ms: (n % 3 > 0).then_some(1.0 + (n % 40) as f64),
                memory_kb: 5.0,
                is_repeat: n % 17 == 0,
            };
            server.receive(now_ms, arrival, log);
        }
        5..8 => {
            let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Failed][n % 3];
            if let Some(task) = pick(&log.running) {
                task.run_ended(server, now_ms, outcome, log);
            }
        }
        8 => {
            if let Some(task) = pick(&log.open) {
                task.caller_gone(server, now_ms, log);
            }
        }
        9 => {
            if let Some(task) = pick(&log.running) {
                task.call_needed(server, now_ms, log);
                let outcome = [Outcome::Ok, Outcome::Rejected, Outcome::TimedOut][n % 3];
                task.call_ended(server, now_ms, outcome, (n % 90) as f64, log);
            }
        }
        _ => {
            let cpu = Some((n % 11) as f64 / 10.0);
            server.tick(
                now_ms,
                Gauges {
                    cpu,
                    ..Gauges::default()
                },
                log,
            );
        }
    }
}

proptest! {
    // The seed is fixed, so that a failing case can be repeated.
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]
    /// A restored server makes exactly the same decisions as the server that wrote the snapshot.
    #[test]
    fn restored_server_decides_like_the_original(
        events in prop::collection::vec((0u8..16, 0usize..10_000, 0.0f64..40.0), 20..300),
        split in prop::sample::Index::arbitrary(),
    ) {
        let (mut log, mut now_ms) = (Log::default(), 1e12);
        let mut server = Server::start(parameters(), now_ms, &mut log);
        let (before, after) = events.split_at(split.index(events.len()));
        for &(kind, n, gap_ms) in before {
            now_ms += gap_ms;
            apply_event(&mut server, &mut log, now_ms, (kind, n));
        }
        let bytes = server.snapshot();
        let mut restored = Server::restore(&bytes).unwrap();
        prop_assert_eq!(restored.summary(), server.summary());
        let mut restored_log = log.clone();
        for &(kind, n, gap_ms) in after {
            now_ms += gap_ms;
            apply_event(&mut server, &mut log, now_ms, (kind, n));
            apply_event(&mut restored, &mut restored_log, now_ms, (kind, n));
        }
        prop_assert_eq!(log.actions, restored_log.actions);
        prop_assert_eq!(server.snapshot(), restored.snapshot());
    }

    /// Damaged bytes are rejected, or are restored, but never panic.
    #[test]
    fn damaged_bytes_never_panic(at in prop::sample::Index::arbitrary(), byte: u8, cut in prop::bool::ANY) {
        let mut log = Log::default();
        let mut server = Server::start(parameters(), 1e12, &mut log);
        (0..30).for_each(|n| apply_event(&mut server, &mut log, 1e12 + n as f64, ((n % 16) as u8, n * 31)));
        let mut bytes = server.snapshot();
        let at = at.index(bytes.len());
        if cut {
            bytes.truncate(at);
        } else {
            bytes[at] = byte;
        }
        let restored = Server::restore(&bytes);
        prop_assert!(!cut || restored.is_err());
    }
}

#[test]
fn inconsistent_snapshot_is_rejected() {
    let mut log = Log::default();
    let mut server = Server::start(parameters(), 1e12, &mut log);
    (0..20).for_each(|n| apply_event(&mut server, &mut log, 1e12 + n as f64, (0, n)));
    let valid = server.snapshot();
    assert!(Server::restore(&valid).is_ok());
    type Change = fn(&mut Server);
    let changes: [(Change, &str); 6] = [
        (|server| server.active.push(Handle(7_000)), "task slots"),
        (
            |server| server.free_slots.push(server.active[0]),
            "task slots",
        ),
        (
            |server| server.limiter.current_window = 99,
            "latency windows",
        ),
        (
            |server| server.tasks[server.active[0].index()].arrival.class = 9,
            "classes of tasks",
        ),
        (|server| server.tasks_by_state[1] += 1, "counts of tasks"),
        (|server| server.tenants.clear(), "tenants"),
    ];
    for (change, expected) in changes {
        let mut server = Server::restore(&valid).unwrap();
        change(&mut server);
        match Server::restore(&server.snapshot()).err() {
            Some(InvalidSnapshot::Inconsistent(part)) => assert_eq!(part, expected),
            other => panic!("{expected}: {other:?}"),
        }
    }
}
