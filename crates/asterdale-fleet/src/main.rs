//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use asterdale_fleet::experiment::{self, Experiment, Policy};
use asterdale_fleet::result::Outcome;
use asterdale_fleet::world::play;
use clap::{Parser, Subcommand};
use rayon::prelude::*;
use serde_json::json;

/// What asterdale balances, in one process.
#[derive(Parser)]
#[command(name = "asterdale-fleet", version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play an experiment, and print what came of it as JSON; the speed goes to standard error
    Run {
        /// The experiment's file
        file: PathBuf,
        /// The seed, in place of the file's
        #[arg(long)]
        seed: Option<u64>,
        /// So many seeds from there on, beside each other
        #[arg(long, default_value_t = 1)]
        repeats: u64,
        /// Without the seconds
        #[arg(long)]
        brief: bool,
    },
    /// Play it under the module and each plain policy, with the same tasks, and print a table
    Policies {
        /// The experiment's file
        file: PathBuf,
        /// So many seeds each
        #[arg(long, default_value_t = 3)]
        repeats: u64,
    },
    /// Print the JSON Schema of an experiment's file
    Schema,
}

fn read(file: &PathBuf) -> Result<Experiment, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    experiment::read(&text).map_err(|wrong| wrong.join("\n"))
}

fn run(file: &PathBuf, seed: Option<u64>, repeats: u64, brief: bool) -> Result<(), String> {
    let experiment = read(file)?;
    let first = seed.unwrap_or(experiment.seed);
    let began = Instant::now();
    let all: Vec<Outcome> =
        (first..first + repeats).into_par_iter().map(|seed| play(&experiment, seed)).collect();
    let (took, events) = (began.elapsed().as_secs_f64(), all.iter().map(|one| one.events).sum::<u64>());
    let modelled = experiment.seconds * repeats as f64;
    eprintln!(
        "{events} events in {took:.2} s: {:.0} a second; {:.1} times real time",
        events as f64 / took,
        modelled / took
    );
    for (seed, outcome) in (first..).zip(all) {
        let mut shown = json!(outcome);
        shown["seed"] = json!(seed);
        if brief {
            shown.as_object_mut().map(|shown| shown.remove("seconds"));
        }
        println!("{shown}");
    }
    Ok(())
}

fn policies(file: &PathBuf, repeats: u64) -> Result<(), String> {
    let experiment = read(file)?;
    let cores = experiment.servers.cores.ceil() as usize;
    let all = [
        ("asterdale", Policy::Asterdale),
        ("everything", Policy::Everything),
        ("pool", Policy::Pool(4 * cores)),
        ("fixed", Policy::Fixed(2 * cores)),
        ("aimd", Policy::Aimd),
        ("codel", Policy::Codel),
    ];
    println!(
        "{:<12} {:>8} {:>8} {:>8} {:>7} {:>7}",
        "policy", "service", "p50 ms", "p99 ms", "tries", "broken"
    );
    for (name, policy) in all {
        let mut experiment = experiment.clone();
        experiment.servers.policy = policy;
        let seeds = experiment.seed..experiment.seed + repeats;
        let runs: Vec<Outcome> = seeds.into_par_iter().map(|seed| play(&experiment, seed)).collect();
        let mean = |of: &dyn Fn(&Outcome) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
        let quantile = |name: &'static str| mean(&|run| run.milliseconds[name]);
        let broken: u64 = runs.iter().flat_map(|run| run.broken.values()).sum();
        println!(
            "{name:<12} {:>8.4} {:>8.1} {:>8.1} {:>7.2} {broken:>7}",
            mean(&|run| run.service),
            quantile("p50"),
            quantile("p99"),
            mean(&|run| run.tries_each)
        );
    }
    Ok(())
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Run { file, seed, repeats, brief } => run(&file, seed, repeats.clamp(1, 10_000), brief),
        Command::Policies { file, repeats } => policies(&file, repeats.clamp(1, 1000)),
        Command::Schema => {
            let schema = schemars::schema_for!(Experiment);
            serde_json::to_string_pretty(&schema).map(|text| println!("{text}")).map_err(|e| e.to_string())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("asterdale-fleet: {why}");
            ExitCode::from(2)
        }
    }
}
