//! The subcommands. Each prints its results on standard output.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::Instant;

use asterdale_simulator::experiment::{self, Experiment, InvalidExperiment, Policy};
use asterdale_simulator::failover_surge;
use asterdale_simulator::membership::{self, Fault};
use asterdale_simulator::report::RunReport;
use asterdale_simulator::world;
use rayon::prelude::*;
use serde_json::json;

use crate::plot::plot_detection;

/// Why a subcommand failed. The texts are shown to the user as they are.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The experiment's file cannot be read.
    #[error("{}: {source}", .file.display())]
    ReadFile {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The experiment's file is invalid.
    #[error(transparent)]
    InvalidExperiment(#[from] InvalidExperiment),
    /// The plot cannot be written.
    #[error("{}: {source}", .file.display())]
    WritePlot {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: Box<dyn Error>,
    },
    /// A result cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

fn read_experiment(file: &Path) -> Result<Experiment, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|source| CommandError::ReadFile {
        file: file.to_owned(),
        source,
    })?;
    Ok(experiment::read(&text)?)
}

/// Runs an experiment with consecutive seeds and prints a report for each; the speed goes to standard error.
pub fn run(
    file: &Path,
    first_seed: Option<u64>,
    repeats: u64,
    is_brief: bool,
) -> Result<(), CommandError> {
    let experiment = read_experiment(file)?;
    let first_seed = first_seed.unwrap_or(experiment.seed);
    let started_at = Instant::now();
    let reports: Vec<RunReport> = (first_seed..first_seed + repeats)
        .into_par_iter()
        .map(|seed| world::simulate(&experiment, seed))
        .collect();
    let took_s = started_at.elapsed().as_secs_f64();
    let events: u64 = reports.iter().map(|report| report.events).sum();
    let simulated_s = experiment.seconds * repeats as f64;
    eprintln!(
        "{events} events in {took_s:.2} s: {:.0} a second; {:.1} times real time",
        events as f64 / took_s,
        simulated_s / took_s
    );
    for (seed, report) in (first_seed..).zip(reports) {
        let mut shown = json!(report);
        shown["seed"] = json!(seed);
        if is_brief {
            shown.as_object_mut().map(|shown| shown.remove("seconds"));
        }
        println!("{shown}");
    }
    Ok(())
}

/// Runs an experiment under each policy with the same requests and prints a table of the means.
pub fn compare_policies(file: &Path, repeats: u64) -> Result<(), CommandError> {
    let mut experiment = read_experiment(file)?;
    let cores = experiment.servers.cores.ceil() as usize;
    println!(
        "{:<12} {:>8} {:>8} {:>8} {:>7} {:>7}",
        "policy", "service", "p50 ms", "p99 ms", "tries", "broken"
    );
    for (name, policy) in [
        ("asterdale", Policy::Asterdale),
        ("everything", Policy::Everything),
        ("pool", Policy::Pool(4 * cores)),
        ("fixed", Policy::Fixed(2 * cores)),
        ("aimd", Policy::Aimd),
        ("codel", Policy::Codel),
    ] {
        experiment.servers.policy = policy;
        let reports: Vec<RunReport> = (experiment.seed..experiment.seed + repeats)
            .into_par_iter()
            .map(|seed| world::simulate(&experiment, seed))
            .collect();
        print_policy(name, &reports);
    }
    Ok(())
}

fn print_policy(name: &str, reports: &[RunReport]) {
    let mean = |value: &dyn Fn(&RunReport) -> f64| {
        reports.iter().map(value).sum::<f64>() / reports.len() as f64
    };
    let quantile_ms = |name: &'static str| mean(&|report| report.latency_ms[name]);
    let violations: u64 = reports
        .iter()
        .flat_map(|report| report.violations.values())
        .sum();
    println!(
        "{name:<12} {:>8.4} {:>8.1} {:>8.1} {:>7.2} {violations:>7}",
        mean(&|report| report.earned_share),
        quantile_ms("p50"),
        quantile_ms("p99"),
        mean(&|report| report.attempts_per_request)
    );
}

/// Simulates the membership for each size and fault, prints the reports, and plots them if a file is given.
/// `template` holds what is the same for all runs.
pub fn simulate_membership(
    sizes: &[usize],
    faults: &[Fault],
    template: &membership::Scenario,
    repeats: u64,
    plot_file: Option<&Path>,
) -> Result<(), CommandError> {
    let mut all_reports = Vec::new();
    for &members in sizes {
        for &fault in faults {
            let scenario = membership::Scenario {
                members: members.clamp(2, 20_000),
                fault,
                ..template.clone()
            };
            let reports = membership::simulate_all(&scenario, 1..repeats + 1);
            for report in &reports {
                println!("{}", json!(report));
            }
            all_reports.extend(reports);
        }
    }
    let Some(file) = plot_file else {
        return Ok(());
    };
    plot_detection(file, &all_reports).map_err(|source| CommandError::WritePlot {
        file: file.to_owned(),
        source,
    })
}

/// Simulates the failover surge for each size and load, with the capacity bound and without it, and prints the reports.
pub fn simulate_failover_surge(
    sizes: &[usize],
    crash_share: f64,
    loads: &[f64],
    repeats: u64,
) -> Result<(), CommandError> {
    for &servers in sizes {
        for &load in loads {
            for capacity_bound in [true, false] {
                let scenario = failover_surge::Scenario {
                    servers: servers.clamp(2, 10_000),
                    crash_share: crash_share.clamp(0.0, 0.9),
                    load: load.clamp(0.0, 1.0),
                    capacity_bound,
                };
                for seed in 0..repeats {
                    let report = failover_surge::simulate(&scenario, seed);
                    println!("{}", serde_json::to_string(&report)?);
                }
            }
        }
    }
    Ok(())
}

/// Prints the JSON Schema of an experiment's file.
pub fn print_schema() -> Result<(), CommandError> {
    let schema = schemars::schema_for!(Experiment);
    println!("{}", serde_json::to_string_pretty(&schema)?);
    Ok(())
}
