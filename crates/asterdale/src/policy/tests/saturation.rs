use super::support::*;

#[test]
fn core_time_of_a_run_is_its_share_of_the_cores() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    server.tick(
        10.0,
        Gauges {
            on_cores: Some(12.0),
            ..Gauges::default()
        },
        &mut log,
    );
    assert_eq!(server.core_clock.core_time_ms, 5.0);
    server.tick(
        20.0,
        Gauges {
            on_cores: Some(3.0),
            ..Gauges::default()
        },
        &mut log,
    );
    assert_eq!(server.core_clock.core_time_ms, 15.0);
}

#[test]
fn slow_runs_mean_full_cores_despite_a_low_cpu_gauge() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    (0..6).for_each(|_| put_task(&mut server, TaskState::Running, 0));
    let low = Gauges {
        cpu: Some(0.0),
        ..Gauges::default()
    };
    server.tick(10.0, low, &mut log);
    assert!(!server.limiter.cores_full);
    server.limiter.median_ratio = 1.5;
    server.tick(20.0, low, &mut log);
    assert!(server.limiter.cores_full);
    server.limiter.median_ratio = 0.0;
    server.tick(30.0, Gauges::default(), &mut log);
    assert!(server.limiter.cores_full);
}

#[test]
fn cores_are_full_with_half_a_core_idle() {
    for (cores, cpu, full) in [
        (2.0, 0.8, true),
        (2.0, 0.7, false),
        (6.0, 0.8, false),
        (6.0, 0.92, true),
    ] {
        let (mut server, mut log) = (
            started(Parameters {
                cores,
                ..parameters()
            }),
            Log::default(),
        );
        server.tick(
            10.0,
            Gauges {
                cpu: Some(cpu),
                ..Gauges::default()
            },
            &mut log,
        );
        assert_eq!(server.limiter.cores_full, full, "{cpu} of {cores} cores");
    }
}

#[test]
fn demand_of_twice_the_cores_means_full_cores_despite_the_cpu_gauge() {
    let (mut server, mut log) = (started(parameters()), Log::default());
    (0..parameters().cores as usize).for_each(|_| put_task(&mut server, TaskState::Running, 0));
    let cores = parameters().cores;
    for (demand, full) in [(1.9 * cores, false), (2.0 * cores, true)] {
        let gauges = Gauges {
            cpu: Some(0.5),
            on_cores: Some(demand),
            ..Gauges::default()
        };
        server.tick(10.0, gauges, &mut log);
        assert_eq!(server.limiter.cores_full, full, "{demand}");
    }
}
