use super::support::*;

#[test]
fn non_idempotent_call_is_retried_only_if_it_never_ran() {
    for (outcome, calls, failures) in [
        (Outcome::Rejected, 2, 0),
        (Outcome::TimedOut, 1, 1),
        (Outcome::Failed, 1, 1),
    ] {
        let (mut server, mut log) = (started(parameters()), Log::default());
        let task = server.receive(0.0, arrival(1), &mut log);
        task.call_needed(&mut server, 10.0, &mut log);
        task.call_ended(&mut server, 20.0, outcome, 10.0, &mut log);
        server.tick(500.0, Gauges::default(), &mut log);
        assert_eq!(
            (log.count("call"), log.count("fail")),
            (calls, failures),
            "{outcome:?}"
        );
    }
}

#[test]
fn late_call_is_skipped_if_a_degraded_answer_has_value() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    server.dependency.mean_call_ms = 500.0;
    let task = server.receive(0.0, arrival(0), &mut log);
    task.call_needed(&mut server, 1_600.0, &mut log);
    assert_eq!((log.count("call"), log.count("skip")), (0, 1));
}

#[test]
fn call_timeout_is_sixteen_times_the_mean() {
    for (call_ms, max_ms) in [(0.0, 40.0), (10.0, 160.0), (400.0, 6_400.0)] {
        let (mut server, mut log) = (started(parameters()), Log::default());
        server.dependency.mean_call_ms = call_ms;
        let task = server.receive(0.0, arrival(1), &mut log);
        task.call_needed(&mut server, 10.0, &mut log);
        let timeout_ms =
            server.tasks[task.index()].call_ends_ms - 10.0 - server.parameters.call_linger_ms;
        assert!(
            log.count("call") == 1 && timeout_ms <= max_ms && timeout_ms >= max_ms * 0.9,
            "{call_ms}: {timeout_ms}"
        );
    }
}

#[test]
fn wait_in_the_call_queue_follows_the_quota() {
    let shared = Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 0.5,
        ..parameters()
    };
    let (mut server, mut log) = (started(shared), Log::default());
    (server.dependency.mean_call_ms, server.dependency.credit_ms) = (45.0, -1.0);
    (0..20).for_each(|_| put_task(&mut server, TaskState::CallQueued, 0));
    server.start_queued_calls(0.0, &mut log);
    // Calls start 200 ms apart: ten of them fit before the objective at 2,000 ms, the other tasks skip theirs.
    assert_eq!((log.count("call"), log.count("skip")), (0, 10));
}

#[test]
fn task_that_must_call_does_not_start_behind_a_long_call_queue() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    (server.dependency.window, server.dependency.mean_call_ms) = (1.0, 600.0);
    put_task(&mut server, TaskState::Running, 0);
    server.limiter.cores_full = true;
    (0..2).for_each(|_| put_task(&mut server, TaskState::CallQueued, 1));
    server.receive(0.0, arrival(1), &mut log);
    assert_eq!((log.count("start"), log.count("reject")), (1, 0));
    put_task(&mut server, TaskState::CallQueued, 1); // with the task's own call the queue is too long
    server.receive(0.0, arrival(1), &mut log);
    server.receive(0.0, arrival(0), &mut log);
    assert_eq!((log.count("start"), log.count("reject")), (2, 1));
}

#[test]
fn task_past_its_objective_is_given_up_instead_of_calling() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    server.classes[1].parameters.late_weight_share = 0.0;
    (server.dependency.window, server.dependency.mean_call_ms) = (1.0, 300.0);
    [0, 1, 1, 0]
        .iter()
        .for_each(|&class| put_task(&mut server, TaskState::CallQueued, class));
    server.tasks[1].objective_ms = 990.0;
    server
        .tasks
        .iter_mut()
        .skip(2)
        .for_each(|task| task.objective_ms = 1_500.0);
    server.start_queued_calls(1_000.0, &mut log);
    // Task 2 has time for its call, task 3 has not; task 1 is past its objective, so its answer has no value.
    assert_eq!(log.0, ["call 2", "fail 1", "skip 3"]);
}
