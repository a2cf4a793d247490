//! Tests of the simulation against closed-form results, for determinism, and for the effect of each fault.

use asterdale_simulator::experiment::{read, Experiment, Fault, FaultKind, Policy, Retry};
use asterdale_simulator::world::simulate;
use rayon::prelude::*;
use serde_json::json;

fn experiment(policy: Policy, per_s: f64, seconds: f64) -> Experiment {
    let text = json!({"seed": 1, "seconds": seconds, "warm_s": 5, "servers": {"count": 1, "cores": 4, "policy": policy},
        "edges": {"count": 2, "pick": "two_choices"}, "load": [{"at_s": 0, "per_s": per_s}],
        "stages": [{"name": "a", "share": 1, "work_ms": 10, "due_ms": 1e5, "limit_ms": 1e5}]});
    read(&text.to_string()).unwrap()
}

/// The mean time in an M/M/c queue, by Erlang's formula, in the unit of the service time.
fn erlang(servers: u32, offered: f64) -> f64 {
    let mut term = 1.0;
    let mut sum = 1.0;
    for n in 1..servers {
        term *= offered / f64::from(n);
        sum += term;
    }
    let full =
        term * offered / f64::from(servers) * f64::from(servers) / (f64::from(servers) - offered);
    let wait_probability = full / (sum + full);
    1.0 + wait_probability / (f64::from(servers) - offered)
}

#[test]
fn queue_with_several_servers_matches_erlang_formula() {
    for load in [0.5, 0.8] {
        let offered = 4.0 * load;
        let runs: Vec<f64> = (1..=8u64)
            .into_par_iter()
            .map(|seed| {
                simulate(
                    &experiment(Policy::Pool(1_000_000), 100.0 * offered, 300.0),
                    seed,
                )
                .mean_latency_ms
            })
            .collect();
        let (mean, expected) = (runs.iter().sum::<f64>() / 8.0, 10.0 * erlang(4, offered));
        assert!(
            (mean / expected - 1.0).abs() < 0.02,
            "{mean} ms instead of {expected} ms at load {load}"
        );
    }
}

#[test]
fn shared_cores_match_processor_sharing_formula() {
    // M/M/1 with processor sharing: the mean time is 1 / (1 - load), whatever the order.
    let mut single_core = experiment(Policy::Everything, 70.0, 600.0);
    single_core.servers.cores = 1.0;
    let runs: Vec<f64> = (1..=8u64)
        .into_par_iter()
        .map(|seed| simulate(&single_core, seed).mean_latency_ms)
        .collect();
    let mean = runs.iter().sum::<f64>() / 8.0;
    assert!((mean / (10.0 / 0.3) - 1.0).abs() < 0.03, "{mean}");
}

#[test]
fn accounting_obeys_littles_law_and_output_is_deterministic_on_any_thread_count() {
    let mut fleet = experiment(Policy::Asterdale, 2000.0, 8.0);
    (
        fleet.servers.count,
        fleet.edges.count,
        fleet.edges.network_delay_ms,
    ) = (8, 5, 1.0);
    fleet.edges.retry = Retry::Budget(2, 0.2);
    let run_seeds = |threads| {
        let pool = rayon::ThreadPoolBuilder::new()
            .num_threads(threads)
            .build()
            .unwrap();
        pool.install(|| {
            (1..=4u64)
                .into_par_iter()
                .map(|seed| json!(simulate(&fleet, seed)).to_string())
                .collect::<Vec<_>>()
        })
    };
    let (one_thread, four_threads) = (run_seeds(1), run_seeds(4));
    assert_eq!(one_thread, four_threads);
    assert_ne!(one_thread[0], one_thread[1]);
    let outcome = simulate(&fleet, 1);
    assert!(
        (outcome.little_law_ratio - 1.0).abs() < 1e-9,
        "{}",
        outcome.little_law_ratio
    );
    assert!(
        outcome.violations.is_empty() && outcome.earned_share > 0.99,
        "{outcome:?}"
    );
    let ends: u64 = outcome
        .requests
        .iter()
        .filter(|(name, _)| **name != "came")
        .map(|(_, n)| n)
        .sum();
    assert_eq!(ends, outcome.requests["came"]);
}

fn experiment_with_fault(fault: FaultKind, servers: usize) -> Experiment {
    let mut faulty = experiment(Policy::Asterdale, 600.0, 20.0);
    (
        faulty.servers.count,
        faulty.edges.count,
        faulty.edges.detection_delay_ms,
        faulty.edges.network_delay_ms,
    ) = (4, 4, 500.0, 0.5);
    faulty.edges.retry = Retry::Fixed(2);
    faulty.classes[0].objective_ms = 500.0;
    faulty.classes[0].client_timeout_ms = 2000.0;
    faulty.faults = vec![Fault {
        at_s: 8.0,
        duration_s: 4.0,
        first_server: 0,
        servers,
        kind: fault,
    }];
    faulty
}

#[test]
fn each_fault_has_its_effect_and_ends() {
    let (no_fault, crash) = (
        simulate(&experiment_with_fault(FaultKind::Slow(1.0), 1), 3),
        simulate(&experiment_with_fault(FaultKind::Crash, 2), 3),
    );
    assert!(
        no_fault.earned_share > 0.999 && no_fault.violations.is_empty(),
        "{:?}",
        no_fault.violations
    );
    let up: Vec<usize> = crash
        .seconds
        .iter()
        .map(|second| second.servers_up)
        .collect();
    assert_eq!((up[5], up[9], up[15]), (4, 2, 4));
    assert!(crash.violations.is_empty(), "{:?}", crash.violations);
    let slow = simulate(&experiment_with_fault(FaultKind::Slow(0.2), 2), 3);
    assert!(
        slow.latency_ms["p99"] > 1.5 * no_fault.latency_ms["p99"],
        "{:?}",
        slow.latency_ms
    );
    let pause = simulate(&experiment_with_fault(FaultKind::Pause, 4), 3);
    assert_eq!(pause.seconds[9].met_objective, 0);
    assert!(
        pause.seconds[15].met_objective > 500,
        "{:?}",
        pause.seconds[15]
    );
}

#[test]
fn overload_crashes_the_accept_all_baseline_but_not_the_module() {
    let mut overload = experiment_with_fault(FaultKind::Slow(1.0), 1);
    (
        overload.servers.max_concurrency,
        overload.servers.crash_concurrency,
    ) = (2.0, 8.0);
    overload.load[0].per_s = 4000.0;
    let module = simulate(&overload, 1);
    overload.servers.policy = Policy::Everything;
    let accept_all = simulate(&overload, 1);
    assert!(
        module.overload_crashes == 0 && accept_all.overload_crashes > 0,
        "{} and {}",
        module.overload_crashes,
        accept_all.overload_crashes
    );
    assert!(
        module.earned_share > accept_all.earned_share,
        "{} and {}",
        module.earned_share,
        accept_all.earned_share
    );
}
