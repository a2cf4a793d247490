use super::support::*;

#[test]
fn drain_grace_counts_from_the_arrival() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    server.drain(1_000.0, 5_000.0, &mut log);
    server.receive(
        3_500.0,
        Arrival {
            unread_ms: 600.0,
            ..arrival(0)
        },
        &mut log,
    );
    server.receive(
        3_500.0,
        Arrival {
            unread_ms: 400.0,
            ..arrival(0)
        },
        &mut log,
    );
    assert_eq!(
        log.0,
        [
            "health false",
            "accepted 0",
            "start 0",
            "accepted 1",
            "reject 1",
            "release 1"
        ]
    );
}

#[test]
fn every_task_is_answered_before_the_stop() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    put_task(&mut server, TaskState::Running, 1);
    server.drain(0.0, 3_000.0, &mut log);
    server.receive(100.0, arrival(1), &mut log);
    server.tick(2_975.0, Gauges::default(), &mut log);
    assert_eq!(log.count("fail"), 2);
}

#[test]
fn slow_server_stays_healthy_and_a_draining_one_does_not() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    server.classes[0].base_latency = 10.0;
    (0..6).for_each(|_| put_task(&mut server, TaskState::Running, 0));
    server.tick(
        600.0,
        Gauges {
            cpu: Some(1.0),
            ..Gauges::default()
        },
        &mut log,
    );
    assert!(server.limiter.median_ratio > 2.0 && log.count("health false") == 0);
    server.drain(700.0, 2_000.0, &mut log);
    assert_eq!(log.count("health false"), 1);
}
