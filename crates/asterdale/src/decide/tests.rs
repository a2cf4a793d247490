use super::*;

mod support;
use support::*;

#[test]
fn the_limit_starts_at_the_cores_and_doubles_with_room_before_a_base() {
    let mut s = server(told());
    assert_eq!(s.limit, 6.0);
    s.busiest = [20.0; 2];
    s.update(500.0);
    assert_eq!(s.limit, 12.0 + 12f64.sqrt());
}

#[test]
fn with_room_the_limit_grows_to_half_more_than_was_tried_and_never_falls() {
    let mut s = server(told());
    s.update(500.0);
    assert_eq!(s.limit, 9.0);
    s.limit = 30.0;
    s.stages[0].base = 10.0;
    ratios(&mut s, 4.0, 30);
    s.update(1000.0);
    assert_eq!(s.limit, 30.0);
}

#[test]
fn with_full_cores_the_limit_follows_the_gradient_with_headroom_and_clamp() {
    // Half of the limit runs, so runs beside all of it would take twice as long.
    for (ratio, gradient) in [(1.0, 1.0f64), (50.0, 0.5), (1.333, 0.75)] {
        let mut s = server(told());
        s.stages[0].base = 10.0;
        s.cores_full = true;
        (s.limit, s.busiest) = (16.0, [16.0; 2]);
        ratios(&mut s, ratio, 30);
        s.update(500.0);
        let want = 16.0 * gradient + (16.0 * gradient).sqrt();
        assert!(
            (s.limit - want).abs() < 0.05 * want,
            "{ratio}: {} for {want}",
            s.limit
        );
    }
}

#[test]
fn an_empty_window_with_full_cores_changes_nothing() {
    let mut s = server(told());
    s.stages[0].base = 10.0;
    s.cores_full = true;
    s.limit = 11.0;
    s.update(500.0);
    assert_eq!(s.limit, 11.0);
}

#[test]
fn work_that_has_stopped_counts_though_nothing_ends() {
    let mut s = server(told());
    s.stages[0].base = 10.0;
    s.cores_full = true;
    s.limit = 20.0;
    put(&mut s, State::Running, 0);
    s.update(5000.0);
    assert!(s.limit < 14.0 && s.pace > 2.0);
}

#[test]
fn the_limit_floors_at_the_cores_and_stays_under_the_survivable_crowd() {
    let mut s = server(told());
    s.stages[0].base = 10.0;
    s.cores_full = true;
    ratios(&mut s, 100.0, 30);
    s.update(500.0);
    assert_eq!(s.limit, 6.0);
    s.limit = 1000.0;
    s.windows = vec![Spread::new(FINEST, STEP); WINDOWS];
    s.update(1000.0);
    assert_eq!(s.limit, s.crowd_ceiling());
}

#[test]
fn full_cores_without_a_base_pin_the_limit_until_runs_give_one() {
    let mut s = server(told());
    s.cores_full = true;
    s.limit = 20.0;
    s.update(500.0);
    s.update(1000.0);
    assert!(s.pinned);
    assert_eq!(s.limit, 6.0);
    s.core_time = 100.0;
    s.sample(Task::read(arrival(0), 400.0), 1100.0); // begun in the crowd before the pin
    assert_eq!(s.stages[0].calm.total, 0);
    (0..60).for_each(|_| s.sample(Task::read(arrival(0), 1000.0), 1300.0));
    assert!(!s.pinned && (s.stages[0].base - 100.0).abs() < 5.0);
    assert!(s.next_pin >= 181_300.0 && s.next_pin < 271_400.0);
}

#[test]
fn the_pin_waits_for_full_cores() {
    let mut s = server(told());
    s.next_pin = 0.0;
    s.update(500.0);
    assert!(!s.pinned);
}

#[test]
fn a_cold_run_counts_at_the_guaranteed_speed_and_trouble_raises_no_base() {
    let mut s = server(Parameters {
        slow_start: true,
        slow_start_ms: 10_000.0,
        slow_start_share: 0.25,
        ..told()
    });
    let mut task = Task::read(arrival(0), 1000.0);
    (task.calm, s.core_time) = (true, 100.0);
    (0..30).for_each(|_| s.sample(task, 1100.0));
    let speed = 0.25 + 0.75 * 0.11;
    assert!((s.stages[0].base - 100.0 * speed).abs() < 2.0);
    s.stages[0].base = 10.0;
    task.started = 20_000.0;
    (0..30).for_each(|_| s.sample(task, 20_100.0));
    assert_eq!(s.stages[0].base, 10.0);
}

#[test]
fn a_run_counts_for_the_base_by_what_it_had_of_a_core() {
    let (mut s, mut m) = (server(told()), Log::default());
    s.tick(
        10.0,
        Gauges {
            on_cores: Some(12.0),
            ..Gauges::default()
        },
        &mut m,
    );
    assert_eq!(s.core_time, 5.0);
    s.tick(
        20.0,
        Gauges {
            on_cores: Some(3.0),
            ..Gauges::default()
        },
        &mut m,
    );
    assert_eq!(s.core_time, 15.0);
}

#[test]
fn the_cold_crowd_follows_the_guaranteed_ramp() {
    let mut s = server(Parameters {
        slow_start: true,
        slow_start_ms: 10_000.0,
        slow_start_share: 0.25,
        ..told()
    });
    let cold = s.crowd_ceiling();
    s.last_beat = 10_000.0;
    assert!(
        (cold - 0.8 * 6.0 * 2.75).abs() < 1e-9 && (s.crowd_ceiling() - 0.8 * 48.0).abs() < 1e-9
    );
}

#[test]
fn arrivals_over_the_limit_wait_while_there_is_room_and_are_refused_early_when_full() {
    let (mut s, mut m) = (server(told()), Log::default());
    for _ in 0..20 {
        s.receive(0.0, arrival(0), &mut m);
    }
    assert_eq!((m.count("run"), m.count("reject")), (6, 0));
    let full = Gauges {
        cpu: Some(1.0),
        ..Gauges::default()
    };
    s.tick(10.0, full, &mut m);
    assert_eq!((s.in_state(State::Held), m.count("reject")), (6, 8));
    s.tick(2_000.0 / 6.0 + 20.0, full, &mut m);
    assert_eq!(s.in_state(State::Held), 0);
}

#[test]
fn with_full_cores_half_of_the_limit_runs_and_the_hold_picks_the_densest() {
    let (mut s, mut m) = (server(told()), Log::default());
    (s.limit, s.cores_full) = (16.0, true);
    for n in 0..12 {
        s.receive(0.0, arrival(n / 11), &mut m);
    }
    assert_eq!(
        (s.in_state(State::Running), s.in_state(State::Held)),
        (8, 4)
    );
    Handle(0).run_ended(&mut s, 50.0, Outcome::Ok, &mut m);
    assert!(m.0.contains(&"run 11".to_string()));
}

#[test]
fn a_place_in_the_hold_lasts_longer_where_cores_come_free_seldom() {
    for (cores, rejected) in [(6.0, 1), (2.0, 0)] {
        let (mut s, mut m) = (server(Parameters { cores, ..told() }), Log::default());
        s.run_ms = 600.0;
        (0..=cores as usize)
            .for_each(|n| put(&mut s, if n == 0 { State::Held } else { State::Running }, 0));
        s.tick(
            420.0,
            Gauges {
                cpu: Some(1.0),
                ..Gauges::default()
            },
            &mut m,
        ); // a sixth of 2 s is 333 ms
        assert_eq!(m.count("reject"), rejected, "{cores} cores");
    }
}

#[test]
fn runs_give_way_when_reading_backs_up() {
    let (mut s, mut m) = (server(told()), Log::default());
    s.cores_full = true;
    s.receive(
        0.0,
        Arrival {
            unread_ms: 20.0,
            ..arrival(0)
        },
        &mut m,
    );
    assert_eq!((s.unread, s.unread_best, s.width()), (20.0, 20.0, 6.0));
    s.unread = 50.0;
    assert!((s.width() - 4.8).abs() < 1e-9);
    s.run_ms = 100.0; // to lie unread for half of that is no backlog
    assert_eq!(s.width(), 6.0);
    s.unread = 5_000.0;
    assert_eq!(s.width(), 3.0);
    s.run_ms = 320.0; // reading is cheap, at a sixteenth of a run
    assert_eq!(s.width(), 1.5);
    s.cores_full = false;
    assert_eq!(s.width(), 6.0);
}

#[test]
fn cores_are_full_when_runs_say_so_though_the_gauge_reads_low() {
    let (mut s, mut m) = (server(told()), Log::default());
    (0..6).for_each(|_| put(&mut s, State::Running, 0));
    let low = Gauges {
        cpu: Some(0.0),
        ..Gauges::default()
    };
    s.tick(10.0, low, &mut m);
    assert!(!s.cores_full);
    s.pace = 1.5;
    s.tick(20.0, low, &mut m);
    assert!(s.cores_full);
    s.pace = 0.0;
    s.tick(30.0, Gauges::default(), &mut m);
    assert!(s.cores_full);
}

#[test]
fn cores_are_full_with_half_a_core_idle_however_many_there_are() {
    for (cores, cpu, full) in [
        (2.0, 0.8, true),
        (2.0, 0.7, false),
        (6.0, 0.8, false),
        (6.0, 0.92, true),
    ] {
        let (mut s, mut m) = (server(Parameters { cores, ..told() }), Log::default());
        s.tick(
            10.0,
            Gauges {
                cpu: Some(cpu),
                ..Gauges::default()
            },
            &mut m,
        );
        assert_eq!(s.cores_full, full, "{cpu} of {cores} cores");
    }
}

#[test]
fn with_full_cores_nothing_starts_that_would_end_late() {
    let (mut s, mut m) = (server(told()), Log::default());
    (s.stages[0].base, s.pace, s.cores_full) = (3_000.0, 1.0, true);
    put(&mut s, State::Running, 0);
    s.receive(0.0, arrival(0), &mut m);
    assert_eq!((m.count("run"), m.count("reject")), (0, 1));
}

#[test]
fn a_task_still_running_when_its_caller_stops_waiting_is_answered_in_time() {
    let (mut s, mut m) = (server(told()), Log::default());
    put(&mut s, State::Running, 1);
    s.tick(9_985.0, Gauges::default(), &mut m);
    assert_eq!(m.count("abandon"), 0);
    s.tick(9_995.0, Gauges::default(), &mut m);
    s.tick(10_005.0, Gauges::default(), &mut m);
    assert_eq!((m.count("abandon"), m.count("stop")), (1, 0));
}

#[test]
fn restartable_work_that_earns_nothing_is_stopped_at_once_when_cores_are_full() {
    let (mut s, mut m) = (server(told()), Log::default());
    s.stages[0].facts.late_weight_share = 0.0;
    put(&mut s, State::Running, 0);
    s.tick(
        2_010.0,
        Gauges {
            cpu: Some(0.5),
            ..Gauges::default()
        },
        &mut m,
    );
    assert_eq!((m.count("reject"), m.count("stop")), (0, 0));
    s.tick(
        2_020.0,
        Gauges {
            cpu: Some(1.0),
            ..Gauges::default()
        },
        &mut m,
    );
    assert_eq!(m.0[m.0.len() - 2..], ["reject 0", "stop 0"]);
}

#[test]
fn a_fingerprinted_task_is_remembered_before_it_runs_and_forgotten_when_rejected() {
    let (mut s, mut m) = (server(told()), Log::default());
    s.receive(
        100.0,
        Arrival {
            unread_ms: 40.0,
            ..arrival(1)
        },
        &mut m,
    );
    assert_eq!(m.0, ["seat 0", "remember 0 4968", "run 0"]);
    s.limit = 1.0;
    let held = s.receive(100.0, arrival(1), &mut m);
    let memory = s.memory;
    s.give_up(held.0, &mut m);
    assert!(m
        .0
        .ends_with(&["reject 1".into(), "forget 1".into(), "release 1".into()]));
    assert_eq!(s.memory, memory - 10.0 - 100.0);
}

#[test]
fn fingerprints_count_as_memory_until_they_lapse() {
    let (mut s, mut m) = (server(told()), Log::default());
    let task = s.receive(0.0, arrival(1), &mut m);
    task.run_ended(&mut s, 50.0, Outcome::Ok, &mut m);
    assert_eq!(s.memory, 100.0);
    s.pass_time(4_900.0);
    assert_eq!(s.memory, 100.0);
    s.pass_time(5_200.0);
    assert_eq!(s.memory, 0.0);
}

#[test]
fn a_fingerprint_that_lapsed_in_the_hold_is_not_counted_off_twice() {
    let (mut s, mut m) = (server(told()), Log::default());
    s.limit = 0.0;
    let held = s.receive(0.0, arrival(1), &mut m);
    s.pass_time(6_000.0);
    s.give_up(held.0, &mut m);
    assert_eq!((s.memory, s.entries.total()), (0.0, 0.0));
}

#[test]
fn a_call_given_up_with_its_task_still_counts_while_it_may_linger() {
    let (mut s, mut m) = (server(told()), Log::default());
    put(&mut s, State::Calling, 0);
    Handle(0).run_ended(&mut s, 100.0, Outcome::Cancelled, &mut m);
    assert_eq!(s.calls_in_hand(), 1.0);
    s.pass_time(301.0);
    assert_eq!(s.calls_in_hand(), 0.0);
}

#[test]
fn a_stage_without_a_base_is_not_taken_for_free() {
    let mut s = server(told());
    s.stages[0].base = 100.0;
    put(&mut s, State::Held, 0);
    put(&mut s, State::Held, 1);
    let density = |n: usize| s.density(&s.tasks[n], 0.0);
    assert!((density(1) / density(0) - 3.0).abs() < 1e-9);
}

#[test]
fn a_repeat_joins_the_earlier_try_and_is_never_rejected() {
    let (mut s, mut m) = (server(told()), Log::default());
    s.receive(
        0.0,
        Arrival {
            is_repeat: true,
            ..arrival(1)
        },
        &mut m,
    );
    s.tick(9_999.0, Gauges::default(), &mut m);
    assert_eq!(m.0, ["seat 0", "join 0", "wake", "abandon 0", "release 0"]);
}

#[test]
fn without_memory_for_its_fingerprint_a_task_is_rejected() {
    let (mut s, mut m) = (server(told()), Log::default());
    s.memory = 0.9 * 10_000.0 - 50.0;
    s.receive(0.0, arrival(1), &mut m);
    assert_eq!(m.0, ["seat 0", "reject 0", "release 0"]);
}

#[test]
fn no_run_starts_that_the_memory_cannot_carry() {
    let (mut s, mut m) = (server(told()), Log::default());
    put(&mut s, State::Running, 0);
    s.memory = 8_900.0;
    s.receive(0.0, arrival(0), &mut m);
    assert_eq!(m.count("run"), 0);
}

#[test]
fn tasks_at_a_call_count_against_the_crowd_but_not_against_the_limit() {
    let (mut s, mut m) = (server(told()), Log::default());
    (0..10).for_each(|_| put(&mut s, State::Calling, 0));
    s.receive(0.0, arrival(0), &mut m);
    assert_eq!(m.count("run"), 1);
    (0..40).for_each(|_| put(&mut s, State::Calling, 0));
    s.receive(0.0, arrival(0), &mut m);
    assert_eq!(m.count("run"), 1);
}

#[test]
fn a_drain_counts_from_the_arrival_not_from_the_reading() {
    let (mut s, mut m) = (server(told()), Log::default());
    s.drain(1_000.0, 5_000.0, &mut m);
    s.receive(
        3_500.0,
        Arrival {
            unread_ms: 600.0,
            ..arrival(0)
        },
        &mut m,
    );
    s.receive(
        3_500.0,
        Arrival {
            unread_ms: 400.0,
            ..arrival(0)
        },
        &mut m,
    );
    assert_eq!(
        m.0,
        [
            "health false",
            "seat 0",
            "run 0",
            "seat 1",
            "reject 1",
            "release 1"
        ]
    );
}

#[test]
fn everything_read_is_answered_before_the_stop() {
    let (mut s, mut m) = (server(told()), Log::default());
    put(&mut s, State::Running, 1);
    s.drain(0.0, 3_000.0, &mut m);
    s.receive(100.0, arrival(1), &mut m);
    s.tick(2_975.0, Gauges::default(), &mut m);
    assert_eq!(m.count("abandon"), 2);
}

#[test]
fn a_call_is_repeated_only_when_it_surely_never_ran() {
    for (how, calls, end) in [
        (Outcome::Rejected, 2, 0),
        (Outcome::TimedOut, 1, 1),
        (Outcome::Failed, 1, 1),
    ] {
        let (mut s, mut m) = (server(told()), Log::default());
        let task = s.receive(0.0, arrival(1), &mut m);
        task.call_needed(&mut s, 10.0, &mut m);
        task.call_ended(&mut s, 20.0, how, 10.0, &mut m);
        s.tick(500.0, Gauges::default(), &mut m);
        assert_eq!(
            (m.count("call"), m.count("abandon")),
            (calls, end),
            "{how:?}"
        );
    }
}

#[test]
fn a_call_that_comes_too_late_is_left_out_where_that_earns() {
    let (mut s, mut m) = (server(told()), Log::default());
    s.call_ms = 500.0;
    let task = s.receive(0.0, arrival(0), &mut m);
    task.call_needed(&mut s, 1_600.0, &mut m);
    assert_eq!((m.count("call"), m.count("skip")), (0, 1));
}

#[test]
fn the_call_window_grows_by_one_a_round_and_is_cut_once_for_one_trouble() {
    let shared = Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 10.0,
        ..told()
    };
    let (mut s, mut m) = (server(shared), Log::default());
    s.call_window = 4.0;
    let tasks: Vec<Handle> = (0..5).map(|_| s.receive(0.0, arrival(0), &mut m)).collect();
    tasks
        .iter()
        .for_each(|t| t.call_needed(&mut s, 10.0, &mut m));
    tasks[0].call_ended(&mut s, 20.0, Outcome::Ok, 10.0, &mut m);
    assert_eq!(s.call_window, 4.25);
    tasks[1].call_ended(&mut s, 20.0, Outcome::Rejected, 10.0, &mut m);
    tasks[2].call_ended(&mut s, 20.0, Outcome::Rejected, 10.0, &mut m);
    assert!((s.call_window - 0.7 * 4.25).abs() < 1e-9);
}

#[test]
fn advice_to_stay_away_is_long_only_where_many_others_can_take_what_it_moves() {
    for (servers, least, most) in [(16.0, 375.0, 750.0), (3.0, 10.0, 10.0)] {
        let mut s = server(Parameters {
            servers,
            max_retry_after_ms: 1_000.0,
            ..told()
        });
        s.customers[0].read.add(100.0);
        let (last, stay) = s.advice();
        assert!(!last && (least..=most).contains(&stay), "{servers}: {stay}");
        s.rejected.add(40.0);
        let (last, stay) = s.advice();
        assert!(last && (200.0..=400.0).contains(&stay), "{servers}: {stay}");
    }
}

#[test]
fn a_view_of_the_fleet_says_how_many_share_and_whether_elsewhere_helps() {
    let mut s = server(Parameters {
        tenants: vec![crate::parameters::TenantParameters { quota_per_s: 100.0 }],
        ..told()
    });
    // 10 a second came here, of which 100 / 20 servers are its share; with ten there it is all.
    s.customers[0].read.add(40.0);
    assert!(s.in_share(&s.customers[0]) < 1.0);
    s.set_peers(Some(PeerCounts {
        present: 9.0,
        ready: 9.0,
    }));
    assert_eq!(s.in_share(&s.customers[0]), 1.0);
    assert!(!s.advice().0);
    // A view without a warm server besides this one: the next would turn it away, or be pushed over.
    s.set_peers(Some(PeerCounts {
        present: 9.0,
        ready: 0.0,
    }));
    assert!(s.advice().0);
    // Alone, there is nobody to move work to.
    s.set_peers(Some(PeerCounts {
        present: 0.0,
        ready: 0.0,
    }));
    assert!(s.advice().0 && s.advice().1 <= BEAT);
    // Nothing known: as at the start.
    s.set_peers(None);
    assert!(!s.advice().0 && s.in_share(&s.customers[0]) < 1.0);
}

#[test]
fn spoilt_replies_and_one_that_never_comes_leave_the_calls_of_others_alone() {
    let shared = Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 10.0,
        ..told()
    };
    let (mut s, mut m) = (server(shared), Log::default());
    (s.call_window, s.call_ms) = (4.0, 10.0);
    let tasks: Vec<Handle> = (0..3).map(|_| s.receive(0.0, arrival(0), &mut m)).collect();
    tasks
        .iter()
        .for_each(|t| t.call_needed(&mut s, 10.0, &mut m));
    tasks[0].call_ended(&mut s, 20.0, Outcome::Failed, 10.0, &mut m);
    tasks[1].call_ended(&mut s, 20.0, Outcome::TimedOut, 900.0, &mut m);
    assert_eq!((s.call_window, s.call_ms), (4.0, 12.0));
    s.call_fails = 0.9;
    tasks[2].call_ended(&mut s, 40.0, Outcome::Failed, 10.0, &mut m);
    assert!(s.call_window < 4.0);
}

#[test]
fn a_call_that_takes_many_times_the_usual_is_not_waited_for() {
    for (call_ms, most) in [(0.0, 40.0), (10.0, 160.0), (400.0, 6_400.0)] {
        let (mut s, mut m) = (server(told()), Log::default());
        s.call_ms = call_ms;
        let task = s.receive(0.0, arrival(1), &mut m);
        task.call_needed(&mut s, 10.0, &mut m);
        let patience = s.tasks[task.index()].until - 10.0 - s.told.call_linger_ms;
        assert!(
            m.count("call") == 1 && patience <= most && patience >= most * 0.9,
            "{call_ms}: {patience}"
        );
    }
}

#[test]
fn cores_that_twice_as_many_want_are_full_before_the_cpu_gauge_shows_it() {
    let (mut s, mut m) = (server(told()), Log::default());
    (0..told().cores as usize).for_each(|_| put(&mut s, State::Running, 0));
    let cores = told().cores;
    for (wanted, full) in [(1.9 * cores, false), (2.0 * cores, true)] {
        let gauges = Gauges {
            cpu: Some(0.5),
            on_cores: Some(wanted),
            ..Gauges::default()
        };
        s.tick(10.0, gauges, &mut m);
        assert_eq!(s.cores_full, full, "{wanted}");
    }
}

#[test]
fn a_shared_layer_that_slows_still_gets_a_fifth_of_our_slice() {
    for (calls_share, least) in [(15.0, 3.0), (0.5, 1.0)] {
        let mut s = server(Parameters {
            dependency: Dependency::Shared,
            dependency_quota: calls_share,
            ..told()
        });
        s.call_window = 8.0;
        for n in 1..20 {
            s.cut_calls(f64::from(n) * 10.0);
        }
        assert_eq!(s.call_window, least);
    }
}

#[test]
fn a_call_window_cut_to_one_recovers_by_the_calls_it_lets_out() {
    let shared = Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 10.0,
        ..told()
    };
    let (mut s, mut m) = (server(shared), Log::default());
    s.call_window = 1.0;
    let tasks: Vec<Handle> = (0..6).map(|_| s.receive(0.0, arrival(0), &mut m)).collect();
    tasks
        .iter()
        .for_each(|t| t.call_needed(&mut s, 10.0, &mut m));
    assert_eq!(m.count("call"), 1);
    for task in tasks.iter().take(3) {
        task.call_ended(&mut s, 40.0, Outcome::Ok, 30.0, &mut m);
    }
    assert!(
        s.call_window >= 2.0 && m.count("call") >= 5,
        "{} {}",
        s.call_window,
        m.count("call")
    );
}

#[test]
fn a_limit_at_its_floor_grows_again_once_runs_are_quick() {
    let mut s = server(told());
    (s.stages[0].base, s.cores_full, s.limit) = (10.0, true, 6.0);
    s.windows[s.window] = Spread::new(FINEST, STEP);
    ratios(&mut s, 0.4, 30);
    s.update(500.0);
    assert!(s.limit > 6.0);
}

#[test]
fn a_tier_below_that_fails_few_calls_keeps_its_window() {
    let (mut s, mut m) = (server(told()), Log::default());
    let task = s.receive(0.0, arrival(0), &mut m);
    task.call_needed(&mut s, 10.0, &mut m);
    s.call_window = 8.0;
    task.call_ended(&mut s, 20.0, Outcome::Rejected, 10.0, &mut m);
    assert_eq!(s.call_window, 8.0);
    s.call_fails = 0.9;
    s.cut_calls(30.0);
    assert_eq!(s.call_window, 6.0); // 5.6, but it starts and floors at the cores
}

#[test]
fn calls_stay_within_the_slice_even_if_all_last_as_long_as_they_may() {
    let mut s = server(Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 0.4,
        ..told()
    });
    assert!((s.call_room(0.0) - 1_800.0).abs() < 1e-6);
    put(&mut s, State::Calling, 0);
    (s.tasks[0].until, s.call_window) = (1_000.0, 3.0);
    s.lingering.push(200.0);
    s.call_time.add(500.0);
    assert!((s.call_room(100.0) - (1_800.0 - 900.0 - 100.0 - 500.0)).abs() < 1e-6);
}

#[test]
fn a_call_to_a_shared_dependency_is_followed_by_a_pause_in_proportion_to_the_time_it_took() {
    let shared = Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 0.5,
        ..told()
    };
    for (took, pause) in [(10.0, 10.0 / 0.225 - 10.0), (60.0, 60.0 / 0.225 - 60.0)] {
        let (mut s, mut m) = (server(shared.clone()), Log::default());
        let tasks: Vec<Handle> = (0..3).map(|_| s.receive(0.0, arrival(0), &mut m)).collect();
        tasks
            .iter()
            .for_each(|t| t.call_needed(&mut s, 0.0, &mut m));
        // The window would let two out; their sum over all servers would be many times what it takes at once.
        assert_eq!(m.count("call"), 2, "at the start nothing is owed");
        tasks[0].call_ended(&mut s, took, Outcome::Ok, took, &mut m);
        tasks[1].call_ended(&mut s, took, Outcome::Ok, took, &mut m);
        let again = took + 2.0 * pause + took; // what two calls owe is twice what one does
        s.pass_time(again - 5.0);
        s.place_calls(again - 5.0, &mut m);
        assert_eq!(m.count("call"), 2, "{took}");
        s.pass_time(again + 5.0);
        s.place_calls(again + 5.0, &mut m);
        assert_eq!(m.count("call"), 3, "{took}");
    }
}

#[test]
fn time_for_calls_that_was_not_used_is_kept_for_a_tenth_of_a_second_only() {
    let shared = Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 0.5,
        ..told()
    };
    let mut s = server(shared);
    s.pass_time(60_000.0);
    assert!(
        (s.call_credit - 0.225 * 100.0).abs() < 1e-9,
        "{}",
        s.call_credit
    );
}

#[test]
fn a_place_in_the_queue_for_calls_is_reckoned_by_what_all_may_have_at_the_dependency() {
    let shared = Parameters {
        dependency: Dependency::Shared,
        dependency_quota: 0.5,
        ..told()
    };
    let (mut s, mut m) = (server(shared), Log::default());
    (s.call_ms, s.call_credit) = (45.0, -1.0);
    (0..20).for_each(|_| put(&mut s, State::Parked, 0));
    s.place_calls(0.0, &mut m);
    // 200 ms each: of the 2,000 ms to the aim, ten have a turn; the others go on without their call at once.
    assert_eq!((m.count("call"), m.count("skip")), (0, 10));
}

#[test]
fn the_densest_task_runs_next_and_the_customer_with_most_in_the_hold_loses() {
    let mut s = server(told());
    s.customers = vec![customer(20.0), customer(200.0)];
    for (stage, who) in [(0, 0), (1, 1), (0, 1), (0, 1)] {
        put(&mut s, State::Held, stage);
        let n = *s.live.last().unwrap();
        s.customers[0].held -= 1;
        s.customers[who].held += 1;
        s.tasks[n as usize].asked.tenant = who;
    }
    assert_eq!((s.best_held(0.0), s.worst_held(0.0)), (Some(1), Some(3)));
}

#[test]
fn what_a_customer_sends_beyond_its_share_here_counts_little() {
    let mut s = server(told());
    s.customers = vec![customer(100.0)];
    s.customers[0].read.add(40.0); // 10 a second, of which 100 / 20 servers are its share
    assert!((s.in_share(&s.customers[0]) - 0.55).abs() < 1e-9);
}

#[test]
fn a_task_may_go_elsewhere_unless_many_are_rejected_also_by_the_cold_and_slow() {
    let mut s = server(Parameters {
        slow_start: true,
        ..told()
    });
    s.customers[0].read.add(100.0);
    s.rejected.add(8.0);
    assert!(!s.advice().0 && s.advice().1 >= 500.0);
    s.rejected.add(12.0);
    assert!(s.advice().1 <= 200.0);
    assert!(s.advice().0);
    s.pace = 3.0;
    assert!(s.advice().0);
}

#[test]
fn a_crawling_server_stays_in_the_list_and_a_leaving_one_does_not() {
    let (mut s, mut m) = (server(told()), Log::default());
    s.stages[0].base = 10.0;
    (0..6).for_each(|_| put(&mut s, State::Running, 0));
    s.tick(
        600.0,
        Gauges {
            cpu: Some(1.0),
            ..Gauges::default()
        },
        &mut m,
    );
    assert!(s.pace > 2.0 && m.count("health false") == 0);
    s.drain(700.0, 2_000.0, &mut m);
    assert_eq!(m.count("health false"), 1);
}

#[test]
fn a_slow_server_gives_up_what_cannot_end_in_time_but_keeps_one_run_to_measure() {
    let (mut s, mut m) = (server(told()), Log::default());
    (s.stages[0].base, s.pace) = (1_000.0, 20.0);
    s.receive(0.0, arrival(0), &mut m);
    s.receive(0.0, arrival(0), &mut m);
    assert_eq!((m.count("run"), m.count("reject")), (1, 1));
}

#[test]
fn work_that_must_call_is_not_begun_when_the_queue_for_calls_is_too_long() {
    let (mut s, mut m) = (server(told()), Log::default());
    (s.call_window, s.call_ms) = (1.0, 600.0);
    put(&mut s, State::Running, 0);
    s.cores_full = true;
    (0..2).for_each(|_| put(&mut s, State::Parked, 1));
    s.receive(0.0, arrival(1), &mut m);
    assert_eq!((m.count("run"), m.count("reject")), (1, 0));
    put(&mut s, State::Parked, 1); // with its own call, too many
    s.receive(0.0, arrival(1), &mut m);
    s.receive(0.0, arrival(0), &mut m);
    assert_eq!((m.count("run"), m.count("reject")), (2, 1));
}

#[test]
fn work_whose_call_can_no_longer_help_leaves_at_once() {
    let (mut s, mut m) = (server(told()), Log::default());
    s.stages[1].facts.late_weight_share = 0.0;
    (s.call_window, s.call_ms) = (1.0, 300.0);
    [0, 1, 1, 0]
        .iter()
        .for_each(|&stage| put(&mut s, State::Parked, stage));
    s.tasks[1].aim = 990.0;
    s.tasks.iter_mut().skip(2).for_each(|t| t.aim = 1_500.0);
    s.place_calls(1_000.0, &mut m);
    // The first has time for its turn; the last has not; one is past its aim and earns nothing any more.
    assert_eq!(m.0, ["call 2", "abandon 1", "skip 3"]);
}

#[test]
fn a_call_that_timed_out_took_at_least_that_long() {
    let (mut s, mut m) = (server(told()), Log::default());
    let task = s.receive(0.0, arrival(0), &mut m);
    task.call_needed(&mut s, 10.0, &mut m);
    s.call_ms = 600.0;
    task.call_ended(&mut s, 1_010.0, Outcome::TimedOut, 1_000.0, &mut m);
    assert_eq!(s.call_ms, 680.0);
}

#[test]
fn idle_connections_are_closed_sooner_while_cores_have_room_and_callers_do_not_come_again() {
    let (mut s, mut m) = (server(told()), Log::default());
    s.cpu = 0.1;
    s.say(&mut m);
    assert_eq!(m.count("close"), 0); // for all it knows callers come again
    for caller in 0..30 {
        s.receive(
            0.0,
            Arrival {
                caller,
                ..arrival(0)
            },
            &mut m,
        );
    }
    (0..10).for_each(|_| s.say(&mut m));
    assert_eq!(
        (s.idle, m.count("close 7500"), m.count("close 500")),
        (500.0, 1, 1)
    );
    s.cpu = 1.0;
    (0..10).for_each(|_| s.say(&mut m));
    assert_eq!(s.idle, 15_000.0);
    for _ in 0..30 {
        s.receive(0.0, arrival(0), &mut m);
    }
    s.cpu = 0.1;
    s.say(&mut m);
    assert!(s.again > 0.5 && s.idle == 30_000.0); // doubled, for they do come again
}

#[test]
fn one_core_with_nothing_told_takes_runs_and_answers() {
    let nothing = Parameters {
        cores: 1.0,
        servers: 0.0,
        callers: 0.0,
        dependency: Dependency::Shared,
        dependency_window_ms: 0.0,
        idle_timeout_ms: 0.0,
        max_retry_after_ms: 0.0,
        overload_factor: 0.0,
        capacity_hint: CapacityHint::Credit,
        ..told()
    };
    let (mut s, mut m) = (server(nothing), Log::default());
    s.customers = vec![customer(0.0)];
    let task = s.receive(
        0.0,
        Arrival {
            caller: 900,
            tenant: 7,
            remaining_ms: None,
            ..arrival(0)
        },
        &mut m,
    );
    (1..60).for_each(|n| s.tick(10.0 * f64::from(n), Gauges::default(), &mut m));
    task.call_needed(&mut s, 600.0, &mut m);
    s.tick(
        2_000.0,
        Gauges {
            cpu: Some(f64::NAN),
            ..Gauges::default()
        },
        &mut m,
    );
    assert_eq!(
        (m.count("run"), m.count("call"), m.count("skip")),
        (1, 0, 1)
    ); // a slice of zero allows none
    task.run_ended(&mut s, 2_100.0, Outcome::Ok, &mut m);
    s.receive(2_200.0, arrival(0), &mut m);
    assert_eq!((m.count("run"), m.count("close")), (2, 0)); // and it is not locked out
    (s.cores_full, s.unread) = (true, 1e6);
    assert_eq!((s.width(), s.cpu), (1.0, 1.0));
}

#[test]
fn credit_is_cut_by_a_share_grows_by_one_and_keeps_its_floor() {
    let (mut s, mut m) = (
        server(Parameters {
            capacity_hint: CapacityHint::Credit,
            ..told()
        }),
        Log::default(),
    );
    (s.credit, s.turned_away, s.limit) = (5.0, 1, 12.0);
    s.say(&mut m);
    assert_eq!(s.credit, 4.0);
    s.say(&mut m);
    assert_eq!(s.credit, 5.0);
    (s.credit, s.turned_away, s.pace) = (0.1, 1, 4.0);
    s.say(&mut m);
    assert_eq!(
        (s.credit, m.0.last().unwrap().as_str()),
        (2.0, "advertise 0.5")
    );
    s.callers = vec![30.0, 10.0, 0.0];
    s.credit = 100.0;
    s.say(&mut m);
    assert_eq!(s.credit, 18.0);
}
