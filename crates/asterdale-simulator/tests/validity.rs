//! Tests of the simulation against closed-form results, for determinism, and for the effect of each fault.

use asterdale_simulator::experiment::{read, Experiment, Fault, Policy, Retry, Trouble};
use asterdale_simulator::world::play;
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
    let waits = full / (sum + full);
    1.0 + waits / (f64::from(servers) - offered)
}

#[test]
fn queue_with_several_servers_matches_erlang_formula() {
    for load in [0.5, 0.8] {
        let offered = 4.0 * load;
        let runs: Vec<f64> = (1..=8u64)
            .into_par_iter()
            .map(|seed| {
                play(
                    &experiment(Policy::Pool(1_000_000), 100.0 * offered, 300.0),
                    seed,
                )
                .mean_latency_ms
            })
            .collect();
        let (mean, wanted) = (runs.iter().sum::<f64>() / 8.0, 10.0 * erlang(4, offered));
        assert!(
            (mean / wanted - 1.0).abs() < 0.02,
            "{mean} ms, and {wanted} by the formula, at {load}"
        );
    }
}

#[test]
fn shared_cores_match_processor_sharing_formula() {
    // M/M/1 with processor sharing: the mean time is 1 / (1 - load), whatever the order.
    let mut one = experiment(Policy::Everything, 70.0, 600.0);
    one.servers.cores = 1.0;
    let runs: Vec<f64> = (1..=8u64)
        .into_par_iter()
        .map(|seed| play(&one, seed).mean_latency_ms)
        .collect();
    let mean = runs.iter().sum::<f64>() / 8.0;
    assert!((mean / (10.0 / 0.3) - 1.0).abs() < 0.03, "{mean}");
}

#[test]
fn accounting_obeys_littles_law_and_output_is_deterministic_on_any_thread_count() {
    let mut many = experiment(Policy::Asterdale, 2000.0, 8.0);
    (many.servers.count, many.edges.count, many.edges.way_ms) = (8, 5, 1.0);
    many.edges.retry = Retry::Budget(2, 0.2);
    let all = |threads| {
        let pool = rayon::ThreadPoolBuilder::new()
            .num_threads(threads)
            .build()
            .unwrap();
        pool.install(|| {
            (1..=4u64)
                .into_par_iter()
                .map(|seed| json!(play(&many, seed)).to_string())
                .collect::<Vec<_>>()
        })
    };
    let (one, four) = (all(1), all(4));
    assert_eq!(one, four);
    assert_ne!(one[0], one[1]);
    let outcome = play(&many, 1);
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

fn with(fault: Trouble, servers: usize) -> Experiment {
    let mut all = experiment(Policy::Asterdale, 600.0, 20.0);
    (
        all.servers.count,
        all.edges.count,
        all.edges.late_ms,
        all.edges.way_ms,
    ) = (4, 4, 500.0, 0.5);
    all.edges.retry = Retry::Fixed(2);
    all.stages[0].due_ms = 500.0;
    all.stages[0].limit_ms = 2000.0;
    all.faults = vec![Fault {
        at_s: 8.0,
        for_s: 4.0,
        first: 0,
        servers,
        what: fault,
    }];
    all
}

#[test]
fn each_fault_has_its_effect_and_ends() {
    let (calm, crash) = (
        play(&with(Trouble::Slow(1.0), 1), 3),
        play(&with(Trouble::Crash, 2), 3),
    );
    assert!(
        calm.earned_share > 0.999 && calm.violations.is_empty(),
        "{:?}",
        calm.violations
    );
    let up: Vec<usize> = crash
        .seconds
        .iter()
        .map(|second| second.servers_up)
        .collect();
    assert_eq!((up[5], up[9], up[15]), (4, 2, 4));
    assert!(crash.violations.is_empty(), "{:?}", crash.violations);
    let slow = play(&with(Trouble::Slow(0.2), 2), 3);
    assert!(
        slow.latency_ms["p99"] > 1.5 * calm.latency_ms["p99"],
        "{:?}",
        slow.latency_ms
    );
    let pause = play(&with(Trouble::Pause, 4), 3);
    assert_eq!(pause.seconds[9].met_objective, 0);
    assert!(
        pause.seconds[15].met_objective > 500,
        "{:?}",
        pause.seconds[15]
    );
}

#[test]
fn overload_crashes_the_accept_all_baseline_but_not_the_module() {
    let mut flood = with(Trouble::Slow(1.0), 1);
    (flood.servers.crowd, flood.servers.deadly) = (2.0, 8.0);
    flood.load[0].per_s = 4000.0;
    let ours = play(&flood, 1);
    flood.servers.policy = Policy::Everything;
    let theirs = play(&flood, 1);
    assert!(
        ours.overload_crashes == 0 && theirs.overload_crashes > 0,
        "{} and {}",
        ours.overload_crashes,
        theirs.overload_crashes
    );
    assert!(
        ours.earned_share > theirs.earned_share,
        "{} and {}",
        ours.earned_share,
        theirs.earned_share
    );
}
