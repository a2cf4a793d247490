use super::support::*;

#[test]
fn limit_starts_at_cores_and_doubles_without_a_base() {
    let mut server = started(parameters());
    assert_eq!(server.limiter.limit, 6.0);
    server.limiter.peak_concurrency = [20.0; 2];
    server.update_limit(500.0);
    assert_eq!(server.limiter.limit, 12.0 + 12f64.sqrt());
}

#[test]
fn with_idle_cores_the_limit_grows_to_half_over_the_tested_peak() {
    let mut server = started(parameters());
    server.update_limit(500.0);
    assert_eq!(server.limiter.limit, 9.0);
    server.limiter.limit = 30.0;
    server.classes[0].base_latency = 10.0;
    add_ratios(&mut server, 4.0, 30);
    server.update_limit(1000.0);
    assert_eq!(server.limiter.limit, 30.0);
}

#[test]
fn with_full_cores_the_limit_follows_the_clamped_gradient_plus_headroom() {
    // Half of the limit runs; with all of it running, runs would take twice as long.
    for (ratio, gradient) in [(1.0, 1.0f64), (50.0, 0.5), (1.333, 0.75)] {
        let mut server = started(parameters());
        server.classes[0].base_latency = 10.0;
        server.limiter.cores_full = true;
        (server.limiter.limit, server.limiter.peak_concurrency) = (16.0, [16.0; 2]);
        add_ratios(&mut server, ratio, 30);
        server.update_limit(500.0);
        let expected = 16.0 * gradient + (16.0 * gradient).sqrt();
        assert!(
            (server.limiter.limit - expected).abs() < 0.05 * expected,
            "{ratio}: {} for {expected}",
            server.limiter.limit
        );
    }
}

#[test]
fn empty_window_with_full_cores_keeps_the_limit() {
    let mut server = started(parameters());
    server.classes[0].base_latency = 10.0;
    server.limiter.cores_full = true;
    server.limiter.limit = 11.0;
    server.update_limit(500.0);
    assert_eq!(server.limiter.limit, 11.0);
}

#[test]
fn unfinished_slow_runs_lower_the_limit() {
    let mut server = started(parameters());
    server.classes[0].base_latency = 10.0;
    server.limiter.cores_full = true;
    server.limiter.limit = 20.0;
    put_task(&mut server, TaskState::Running, 0);
    server.update_limit(5000.0);
    assert!(server.limiter.limit < 14.0 && server.limiter.median_ratio > 2.0);
}

#[test]
fn limit_stays_between_cores_and_max_concurrency() {
    let mut server = started(parameters());
    server.classes[0].base_latency = 10.0;
    server.limiter.cores_full = true;
    add_ratios(&mut server, 100.0, 30);
    server.update_limit(500.0);
    assert_eq!(server.limiter.limit, 6.0);
    server.limiter.limit = 1000.0;
    server.limiter.ratio_windows = vec![Histogram::of_latencies(); LATENCY_WINDOWS];
    server.update_limit(1000.0);
    assert_eq!(server.limiter.limit, server.max_concurrency());
}

#[test]
fn full_cores_without_a_base_pin_the_limit_until_there_is_one() {
    let mut server = started(parameters());
    server.limiter.cores_full = true;
    server.limiter.limit = 20.0;
    server.update_limit(500.0);
    server.update_limit(1000.0);
    assert!(server.limiter.pinned);
    assert_eq!(server.limiter.limit, 6.0);
    server.core_clock.core_time_ms = 100.0;
    server.record_run(&Task::new(arrival(0), 400.0), 1100.0); // started beside others before the pin
    assert_eq!(server.classes[0].uncontended_runs.total, 0);
    (0..60).for_each(|_| server.record_run(&Task::new(arrival(0), 1000.0), 1300.0));
    assert!(!server.limiter.pinned && (server.classes[0].base_latency - 100.0).abs() < 5.0);
    assert!(server.limiter.next_pin_ms >= 181_300.0 && server.limiter.next_pin_ms < 271_400.0);
}

#[test]
fn limit_is_not_pinned_before_the_cores_are_full() {
    let mut server = started(parameters());
    server.limiter.next_pin_ms = 0.0;
    server.update_limit(500.0);
    assert!(!server.limiter.pinned);
}

#[test]
fn slow_start_is_discounted_and_faults_do_not_raise_the_base() {
    let mut server = started(Parameters {
        slow_start: true,
        slow_start_ms: 10_000.0,
        slow_start_share: 0.25,
        ..parameters()
    });
    let mut task = Task::new(arrival(0), 1000.0);
    (task.uncontended, server.core_clock.core_time_ms) = (true, 100.0);
    (0..30).for_each(|_| server.record_run(&task, 1100.0));
    let speed = 0.25 + 0.75 * 0.11;
    assert!((server.classes[0].base_latency - 100.0 * speed).abs() < 2.0);
    server.classes[0].base_latency = 10.0;
    task.started_ms = 20_000.0;
    (0..30).for_each(|_| server.record_run(&task, 20_100.0));
    assert_eq!(server.classes[0].base_latency, 10.0);
}

#[test]
fn max_concurrency_follows_the_slow_start() {
    let mut server = started(Parameters {
        slow_start: true,
        slow_start_ms: 10_000.0,
        slow_start_share: 0.25,
        ..parameters()
    });
    let at_start = server.max_concurrency();
    server.last_event_ms = 10_000.0;
    assert!(
        (at_start - 0.8 * 6.0 * 2.75).abs() < 1e-9
            && (server.max_concurrency() - 0.8 * 48.0).abs() < 1e-9
    );
}

#[test]
fn fewer_tasks_run_with_a_read_backlog() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    server.limiter.cores_full = true;
    server.receive(
        0.0,
        Arrival {
            unread_ms: 20.0,
            ..arrival(0)
        },
        &mut log,
    );
    assert_eq!(
        (
            server.limiter.unread_ms,
            server.limiter.min_unread_ms,
            server.max_running()
        ),
        (20.0, 20.0, 6.0)
    );
    server.limiter.unread_ms = 50.0;
    assert!((server.max_running() - 4.8).abs() < 1e-9);
    server.limiter.mean_run_ms = 100.0; // requests that are unread for half a run are no backlog
    assert_eq!(server.max_running(), 6.0);
    server.limiter.unread_ms = 5_000.0;
    assert_eq!(server.max_running(), 3.0);
    server.limiter.mean_run_ms = 320.0; // reading costs a sixteenth of a run
    assert_eq!(server.max_running(), 1.5);
    server.limiter.cores_full = false;
    assert_eq!(server.max_running(), 6.0);
}

#[test]
fn limit_at_its_floor_grows_again_with_fast_runs() {
    let mut server = started(parameters());
    (
        server.classes[0].base_latency,
        server.limiter.cores_full,
        server.limiter.limit,
    ) = (10.0, true, 6.0);
    server.limiter.ratio_windows[server.limiter.current_window] = Histogram::of_latencies();
    add_ratios(&mut server, 0.4, 30);
    server.update_limit(500.0);
    assert!(server.limiter.limit > 6.0);
}
