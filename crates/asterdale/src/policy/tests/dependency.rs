use super::support::*;

#[test]
fn given_up_call_counts_while_it_may_linger() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    put_task(&mut server, TaskState::Calling, 0);
    Handle(0).run_ended(&mut server, 100.0, Outcome::Cancelled, &mut log);
    assert_eq!(server.calls_in_flight(), 1.0);
    server.advance_time(301.0);
    assert_eq!(server.calls_in_flight(), 0.0);
}

#[test]
fn window_grows_by_one_a_round_and_is_cut_once_for_one_fault() {
    let shared = Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 10.0,
        ..parameters()
    };
    let (mut server, mut log) = (started(shared), Log::default());
    server.dependency.window = 4.0;
    let tasks: Vec<Handle> = (0..5)
        .map(|_| server.receive(0.0, arrival(0), &mut log))
        .collect();
    tasks
        .iter()
        .for_each(|task| task.call_needed(&mut server, 10.0, &mut log));
    tasks[0].call_ended(&mut server, 20.0, Outcome::Ok, 10.0, &mut log);
    assert_eq!(server.dependency.window, 4.25);
    tasks[1].call_ended(&mut server, 20.0, Outcome::Rejected, 10.0, &mut log);
    tasks[2].call_ended(&mut server, 20.0, Outcome::Rejected, 10.0, &mut log);
    assert!((server.dependency.window - 0.7 * 4.25).abs() < 1e-9);
}

#[test]
fn few_failures_keep_the_window() {
    let shared = Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 10.0,
        ..parameters()
    };
    let (mut server, mut log) = (started(shared), Log::default());
    (server.dependency.window, server.dependency.mean_call_ms) = (4.0, 10.0);
    let tasks: Vec<Handle> = (0..3)
        .map(|_| server.receive(0.0, arrival(0), &mut log))
        .collect();
    tasks
        .iter()
        .for_each(|task| task.call_needed(&mut server, 10.0, &mut log));
    tasks[0].call_ended(&mut server, 20.0, Outcome::Failed, 10.0, &mut log);
    tasks[1].call_ended(&mut server, 20.0, Outcome::TimedOut, 900.0, &mut log);
    assert_eq!(
        (server.dependency.window, server.dependency.mean_call_ms),
        (4.0, 12.0)
    );
    server.dependency.failure_share = 0.9;
    tasks[2].call_ended(&mut server, 40.0, Outcome::Failed, 10.0, &mut log);
    assert!(server.dependency.window < 4.0);
}

#[test]
fn window_of_a_shared_dependency_is_at_least_a_fifth_of_the_quota() {
    for (quota, min) in [(15.0, 3.0), (0.5, 1.0)] {
        let mut server = started(Parameters {
            dependency: Dependency::Shared,
            dependency_quota: quota,
            ..parameters()
        });
        server.dependency.window = 8.0;
        for n in 1..20 {
            server.cut_call_window(f64::from(n) * 10.0);
        }
        assert_eq!(server.dependency.window, min);
    }
}

#[test]
fn window_cut_to_one_recovers() {
    let shared = Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 10.0,
        ..parameters()
    };
    let (mut server, mut log) = (started(shared), Log::default());
    server.dependency.window = 1.0;
    let tasks: Vec<Handle> = (0..6)
        .map(|_| server.receive(0.0, arrival(0), &mut log))
        .collect();
    tasks
        .iter()
        .for_each(|task| task.call_needed(&mut server, 10.0, &mut log));
    assert_eq!(log.count("call"), 1);
    for task in tasks.iter().take(3) {
        task.call_ended(&mut server, 40.0, Outcome::Ok, 30.0, &mut log);
    }
    assert!(
        server.dependency.window >= 2.0 && log.count("call") >= 5,
        "{} {}",
        server.dependency.window,
        log.count("call")
    );
}

#[test]
fn tier_that_fails_few_calls_keeps_its_window() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    let task = server.receive(0.0, arrival(0), &mut log);
    task.call_needed(&mut server, 10.0, &mut log);
    server.dependency.window = 8.0;
    task.call_ended(&mut server, 20.0, Outcome::Rejected, 10.0, &mut log);
    assert_eq!(server.dependency.window, 8.0);
    server.dependency.failure_share = 0.9;
    server.cut_call_window(30.0);
    assert_eq!(server.dependency.window, 6.0); // a cut to 5.6 is raised to the cores
}

#[test]
fn reserved_call_time_stays_within_the_quota() {
    let mut server = started(Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 0.4,
        ..parameters()
    });
    assert!((server.available_call_ms(0.0) - 1_800.0).abs() < 1e-6);
    put_task(&mut server, TaskState::Calling, 0);
    (server.tasks[0].call_ends_ms, server.dependency.window) = (1_000.0, 3.0);
    server.dependency.lingering_until_ms.push(200.0);
    server.dependency.spent_ms.add(500.0);
    assert!((server.available_call_ms(100.0) - (1_800.0 - 900.0 - 100.0 - 500.0)).abs() < 1e-6);
}

#[test]
fn pause_after_a_shared_call_is_in_proportion_to_its_duration() {
    let shared = Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 0.5,
        ..parameters()
    };
    for (took_ms, pause_ms) in [(10.0, 10.0 / 0.225 - 10.0), (60.0, 60.0 / 0.225 - 60.0)] {
        let (mut server, mut log) = (started(shared.clone()), Log::default());
        let tasks: Vec<Handle> = (0..3)
            .map(|_| server.receive(0.0, arrival(0), &mut log))
            .collect();
        tasks
            .iter()
            .for_each(|task| task.call_needed(&mut server, 0.0, &mut log));
        // The window allows two calls, which is more than the paced quota.
        assert_eq!(log.count("call"), 2, "at the start no call is delayed");
        tasks[0].call_ended(&mut server, took_ms, Outcome::Ok, took_ms, &mut log);
        tasks[1].call_ended(&mut server, took_ms, Outcome::Ok, took_ms, &mut log);
        let next_start_ms = took_ms + 2.0 * pause_ms + took_ms; // two calls need twice the pause of one
        server.advance_time(next_start_ms - 5.0);
        server.start_queued_calls(next_start_ms - 5.0, &mut log);
        assert_eq!(log.count("call"), 2, "{took_ms}");
        server.advance_time(next_start_ms + 5.0);
        server.start_queued_calls(next_start_ms + 5.0, &mut log);
        assert_eq!(log.count("call"), 3, "{took_ms}");
    }
}

#[test]
fn unused_call_credit_is_kept_for_a_tenth_of_a_second() {
    let shared = Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 0.5,
        ..parameters()
    };
    let mut server = started(shared);
    server.advance_time(60_000.0);
    assert!(
        (server.dependency.credit_ms - 0.225 * 100.0).abs() < 1e-9,
        "{}",
        server.dependency.credit_ms
    );
}

#[test]
fn timed_out_call_counts_in_the_mean() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    let task = server.receive(0.0, arrival(0), &mut log);
    task.call_needed(&mut server, 10.0, &mut log);
    server.dependency.mean_call_ms = 600.0;
    task.call_ended(&mut server, 1_010.0, Outcome::TimedOut, 1_000.0, &mut log);
    assert_eq!(server.dependency.mean_call_ms, 680.0);
}
