use super::support::*;

#[test]
fn key_is_retained_before_the_run_and_dropped_on_rejection() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    server.receive(
        100.0,
        Arrival {
            unread_ms: 40.0,
            ..arrival(1)
        },
        &mut log,
    );
    assert_eq!(log.0, ["accepted 0", "retain 0 4968", "start 0"]);
    server.limiter.limit = 1.0;
    let queued = server.receive(100.0, arrival(1), &mut log);
    let memory = server.memory_kb;
    server.give_up(queued, &mut log);
    assert!(log
        .0
        .ends_with(&["reject 1".into(), "drop 1".into(), "release 1".into()]));
    assert_eq!(server.memory_kb, memory - 10.0 - 100.0);
}

#[test]
fn keys_count_as_memory_until_they_expire() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    let task = server.receive(0.0, arrival(1), &mut log);
    task.run_ended(&mut server, 50.0, Outcome::Ok, &mut log);
    assert_eq!(server.memory_kb, 100.0);
    server.advance_time(4_900.0);
    assert_eq!(server.memory_kb, 100.0);
    server.advance_time(5_200.0);
    assert_eq!(server.memory_kb, 0.0);
}

#[test]
fn key_that_expired_while_queued_is_subtracted_once() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    server.limiter.limit = 0.0;
    let queued = server.receive(0.0, arrival(1), &mut log);
    server.advance_time(6_000.0);
    server.give_up(queued, &mut log);
    assert_eq!(
        (server.memory_kb, server.idempotency_entries.total()),
        (0.0, 0.0)
    );
}

#[test]
fn retry_joins_its_earlier_attempt_and_is_never_rejected() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    server.receive(
        0.0,
        Arrival {
            is_repeat: true,
            ..arrival(1)
        },
        &mut log,
    );
    server.tick(9_999.0, Gauges::default(), &mut log);
    assert_eq!(
        log.0,
        ["accepted 0", "join 0", "tick", "fail 0", "release 0"]
    );
}

#[test]
fn task_without_memory_for_its_key_is_rejected() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    server.memory_kb = 0.9 * 10_000.0 - 50.0;
    server.receive(0.0, arrival(1), &mut log);
    assert_eq!(log.0, ["accepted 0", "reject 0", "release 0"]);
}
