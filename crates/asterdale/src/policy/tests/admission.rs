use super::support::*;

#[test]
fn arrivals_over_the_limit_queue_and_are_rejected_early_with_full_cores() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    for _ in 0..20 {
        server.receive(0.0, arrival(0), &mut log);
    }
    assert_eq!((log.count("start"), log.count("reject")), (6, 0));
    let full = Gauges {
        cpu: Some(1.0),
        ..Gauges::default()
    };
    server.tick(10.0, full, &mut log);
    assert_eq!(
        (server.count(TaskState::Queued), log.count("reject")),
        (6, 8)
    );
    server.tick(2_000.0 / 6.0 + 20.0, full, &mut log);
    assert_eq!(server.count(TaskState::Queued), 0);
}

#[test]
fn with_full_cores_half_of_the_limit_runs_and_the_densest_starts_next() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    (server.limiter.limit, server.limiter.cores_full) = (16.0, true);
    for n in 0..12 {
        server.receive(0.0, arrival(n / 11), &mut log);
    }
    assert_eq!(
        (
            server.count(TaskState::Running),
            server.count(TaskState::Queued)
        ),
        (8, 4)
    );
    Handle(0).run_ended(&mut server, 50.0, Outcome::Ok, &mut log);
    assert!(log.0.contains(&"start 11".to_string()));
}

#[test]
fn queue_wait_is_longer_with_few_cores() {
    for (cores, rejected) in [(6.0, 1), (2.0, 0)] {
        let (mut server, mut log) = (
            started(Parameters {
                cores,
                ..parameters()
            }),
            Log::default(),
        );
        server.limiter.mean_run_ms = 600.0;
        (0..=cores as usize).for_each(|n| {
            put_task(
                &mut server,
                if n == 0 {
                    TaskState::Queued
                } else {
                    TaskState::Running
                },
                0,
            )
        });
        server.tick(
            420.0,
            Gauges {
                cpu: Some(1.0),
                ..Gauges::default()
            },
            &mut log,
        ); // a sixth of the objective of 2 s is 333 ms
        assert_eq!(log.count("reject"), rejected, "{cores} cores");
    }
}

#[test]
fn with_full_cores_nothing_starts_that_would_end_late() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    (
        server.classes[0].base_latency,
        server.limiter.median_ratio,
        server.limiter.cores_full,
    ) = (3_000.0, 1.0, true);
    put_task(&mut server, TaskState::Running, 0);
    server.receive(0.0, arrival(0), &mut log);
    assert_eq!((log.count("start"), log.count("reject")), (0, 1));
}

#[test]
fn running_task_is_answered_before_its_deadline() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    put_task(&mut server, TaskState::Running, 1);
    server.tick(9_985.0, Gauges::default(), &mut log);
    assert_eq!(log.count("fail"), 0);
    server.tick(9_995.0, Gauges::default(), &mut log);
    server.tick(10_005.0, Gauges::default(), &mut log);
    assert_eq!((log.count("fail"), log.count("stop")), (1, 0));
}

#[test]
fn idempotent_run_without_value_is_aborted_with_full_cores() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    server.classes[0].parameters.late_weight_share = 0.0;
    put_task(&mut server, TaskState::Running, 0);
    server.tick(
        2_010.0,
        Gauges {
            cpu: Some(0.5),
            ..Gauges::default()
        },
        &mut log,
    );
    assert_eq!((log.count("reject"), log.count("stop")), (0, 0));
    server.tick(
        2_020.0,
        Gauges {
            cpu: Some(1.0),
            ..Gauges::default()
        },
        &mut log,
    );
    assert_eq!(log.0[log.0.len() - 2..], ["reject 0", "stop 0"]);
}

#[test]
fn no_run_starts_without_memory() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    put_task(&mut server, TaskState::Running, 0);
    server.memory_kb = 8_900.0;
    server.receive(0.0, arrival(0), &mut log);
    assert_eq!(log.count("start"), 0);
}

#[test]
fn tasks_at_a_call_count_for_max_concurrency_only() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    (0..10).for_each(|_| put_task(&mut server, TaskState::Calling, 0));
    server.receive(0.0, arrival(0), &mut log);
    assert_eq!(log.count("start"), 1);
    (0..40).for_each(|_| put_task(&mut server, TaskState::Calling, 0));
    server.receive(0.0, arrival(0), &mut log);
    assert_eq!(log.count("start"), 1);
}

#[test]
fn slow_server_rejects_late_work_but_keeps_one_run() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    (server.classes[0].base_latency, server.limiter.median_ratio) = (1_000.0, 20.0);
    server.receive(0.0, arrival(0), &mut log);
    server.receive(0.0, arrival(0), &mut log);
    assert_eq!((log.count("start"), log.count("reject")), (1, 1));
}

#[test]
fn one_core_with_zero_parameters_still_serves() {
    let zero_parameters = Parameters {
        cores: 1.0,
        servers: 0.0,
        callers: 0.0,
        dependency: Dependency::Shared,
        dependency_window_ms: 0.0,
        idle_timeout_ms: 0.0,
        max_retry_after_ms: 0.0,
        overload_factor: 0.0,
        capacity_hint: CapacityHint::Credit,
        ..parameters()
    };
    let (mut server, mut log) = (started(zero_parameters), Log::default());
    server.tenants = vec![tenant_with_quota(0.0)];
    let task = server.receive(
        0.0,
        Arrival {
            caller: 900,
            tenant: 7,
            remaining_ms: None,
            ..arrival(0)
        },
        &mut log,
    );
    (1..60).for_each(|n| server.tick(10.0 * f64::from(n), Gauges::default(), &mut log));
    task.call_needed(&mut server, 600.0, &mut log);
    server.tick(
        2_000.0,
        Gauges {
            cpu: Some(f64::NAN),
            ..Gauges::default()
        },
        &mut log,
    );
    assert_eq!(
        (log.count("start"), log.count("call"), log.count("skip")),
        (1, 0, 1)
    ); // with a quota of zero no call starts
    task.run_ended(&mut server, 2_100.0, Outcome::Ok, &mut log);
    server.receive(2_200.0, arrival(0), &mut log);
    assert_eq!((log.count("start"), log.count("idle_timeout")), (2, 0)); // it still starts runs
    (server.limiter.cores_full, server.limiter.unread_ms) = (true, 1e6);
    assert_eq!((server.max_running(), server.report.cpu), (1.0, 1.0));
}
