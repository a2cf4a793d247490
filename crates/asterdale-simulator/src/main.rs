//! Command line of the simulator.
//!
//! The comments on the arguments are the help texts that the command prints.

use std::path::PathBuf;
use std::process::ExitCode;

use asterdale_simulator::membership::{Fault, Scenario};
use clap::{Parser, Subcommand, ValueEnum};

use crate::commands::CommandError;

mod commands;
mod plot;

/// Highest number of seeds of one `run`.
const MAX_RUN_REPEATS: u64 = 10_000;
/// Highest number of seeds of the other subcommands, which simulate several scenarios each.
const MAX_REPEATS: u64 = 1000;
/// Exit code if a subcommand fails.
const EXIT_FAILED: u8 = 2;

/// Deterministic simulation of a fleet of servers behind load balancers
#[derive(Parser)]
#[command(name = "asterdale-simulator", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment and print a report as JSON; the speed goes to standard error
    Run {
        /// The experiment's file
        file: PathBuf,
        /// Seed, instead of the one in the file
        #[arg(long)]
        seed: Option<u64>,
        /// Number of consecutive seeds, which are run in parallel
        #[arg(long, default_value_t = 1)]
        repeats: u64,
        /// Leave out the report of each second
        #[arg(long)]
        brief: bool,
    },
    /// Run an experiment under the decision module and each baseline policy, with the same requests, and print a table
    Policies {
        /// The experiment's file
        file: PathBuf,
        /// Number of seeds per policy
        #[arg(long, default_value_t = 3)]
        repeats: u64,
    },
    /// Simulate the fleet's membership for each size and fault with several seeds; prints a line of JSON per simulation
    Members {
        /// Numbers of members to simulate
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000])]
        members: Vec<usize>,
        /// Faults to inject
        #[arg(long, value_enum, value_delimiter = ',', default_values_t = [FaultArgument::Crash])]
        faults: Vec<FaultArgument>,
        /// Observed time in seconds
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// Probability that a datagram is lost, from 0 to 1
        #[arg(long, default_value_t = 0.01)]
        loss: f64,
        /// Plain SWIM: suspicions last the minimum time from the start, without Lifeguard's suspicion timeout
        #[arg(long)]
        plain: bool,
        /// Number of seeds per size and fault
        #[arg(long, default_value_t = 5)]
        repeats: u64,
        /// SVG file for a plot of the detection time over the number of members, with the published bounds
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Simulate the failover surge: the survivors of a crash claim the requests of the crashed servers, with the owners'
    /// capacity bound and without it; prints a line of JSON per simulation
    Wave {
        /// Numbers of servers to simulate
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000])]
        servers: Vec<usize>,
        /// Share of the servers that crash at the same time, from 0 to 0.9
        #[arg(long, default_value_t = 0.33)]
        lost: f64,
        /// CPU utilizations before the crash, from 0 to 1
        #[arg(long, value_delimiter = ',', default_values_t = [0.5, 0.8])]
        load: Vec<f64>,
        /// Number of seeds per size and load
        #[arg(long, default_value_t = 3)]
        repeats: u64,
    },
    /// Print the JSON Schema of an experiment's file
    Schema,
}

/// Fault of the membership simulation.
#[derive(Clone, Copy, ValueEnum)]
enum FaultArgument {
    /// No fault
    None,
    /// One member crashes
    Crash,
    /// A tenth of the members pause repeatedly
    Stutter,
    /// The network is partitioned into two halves for longer than any suspicion lasts
    Halves,
}

impl std::fmt::Display for FaultArgument {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let value = self.to_possible_value();
        f.write_str(value.as_ref().map_or("", |value| value.get_name()))
    }
}

impl From<FaultArgument> for Fault {
    fn from(argument: FaultArgument) -> Fault {
        match argument {
            FaultArgument::None => Fault::None,
            FaultArgument::Crash => Fault::Crash,
            FaultArgument::Stutter => Fault::RepeatedPauses,
            FaultArgument::Halves => Fault::Partition,
        }
    }
}

fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Run {
            file,
            seed,
            repeats,
            brief,
        } => commands::run(&file, seed, repeats.clamp(1, MAX_RUN_REPEATS), brief),
        Command::Policies { file, repeats } => {
            commands::compare_policies(&file, repeats.clamp(1, MAX_REPEATS))
        }
        Command::Members {
            members,
            faults,
            seconds,
            loss,
            plain,
            repeats,
            plot,
        } => {
            let template = Scenario {
                members: 0,
                fault: Fault::None,
                seconds,
                loss: loss.clamp(0.0, 1.0),
                is_plain_swim: plain,
            };
            let faults: Vec<Fault> = faults.into_iter().map(Fault::from).collect();
            let repeats = repeats.clamp(1, MAX_REPEATS);
            commands::simulate_membership(&members, &faults, &template, repeats, plot.as_deref())
        }
        Command::Wave {
            servers,
            lost,
            load,
            repeats,
        } => {
            let repeats = repeats.clamp(1, MAX_REPEATS);
            commands::simulate_failover_surge(&servers, lost, &load, repeats)
        }
        Command::Schema => commands::print_schema(),
    }
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("asterdale-simulator: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
