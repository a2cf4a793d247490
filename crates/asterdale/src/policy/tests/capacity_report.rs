use super::support::*;

#[test]
fn idle_timeout_falls_with_idle_cores_and_few_returning_callers() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    server.report.cpu = 0.1;
    server.report_capacity(&mut log);
    assert_eq!(log.count("idle_timeout"), 0); // callers count as returning at the start
    for caller in 0..30 {
        server.receive(
            0.0,
            Arrival {
                caller,
                ..arrival(0)
            },
            &mut log,
        );
    }
    (0..10).for_each(|_| server.report_capacity(&mut log));
    assert_eq!(
        (
            server.report.idle_timeout_ms,
            log.count("idle_timeout 7500"),
            log.count("idle_timeout 500")
        ),
        (500.0, 1, 1)
    );
    server.report.cpu = 1.0;
    (0..10).for_each(|_| server.report_capacity(&mut log));
    assert_eq!(server.report.idle_timeout_ms, 15_000.0);
    for _ in 0..30 {
        server.receive(0.0, arrival(0), &mut log);
    }
    server.report.cpu = 0.1;
    server.report_capacity(&mut log);
    assert!(server.report.returning_share > 0.5 && server.report.idle_timeout_ms == 30_000.0);
    // the timeout is doubled, as callers return
}

#[test]
fn credit_is_cut_by_a_fifth_grows_by_one_and_keeps_its_floor() {
    let (mut server, mut log) = (
        started(Parameters {
            capacity_hint: CapacityHint::Credit,
            ..parameters()
        }),
        Log::default(),
    );
    (
        server.report.credit,
        server.rejections.since_update,
        server.limiter.limit,
    ) = (5.0, 1, 12.0);
    server.report_capacity(&mut log);
    assert_eq!(server.report.credit, 4.0);
    server.report_capacity(&mut log);
    assert_eq!(server.report.credit, 5.0);
    (
        server.report.credit,
        server.rejections.since_update,
        server.limiter.median_ratio,
    ) = (0.1, 1, 4.0);
    server.report_capacity(&mut log);
    assert_eq!(
        (server.report.credit, log.0.last().unwrap().as_str()),
        (2.0, "hint 0.5")
    );
    server.report.tasks_by_caller = vec![30.0, 10.0, 0.0];
    server.report.credit = 100.0;
    server.report_capacity(&mut log);
    assert_eq!(server.report.credit, 18.0);
}
