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

/// What asterdale balances, in one process.
#[derive(Parser)]
#[command(name = "asterdale-simulator", version)]
struct Arguments {
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
    /// Play the view of the fleet, each size and fault with several seeds; a line of JSON for each play
    Members {
        /// How many members, one size after the other
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000])]
        members: Vec<usize>,
        /// What befalls them
        #[arg(long, value_enum, value_delimiter = ',', default_values_t = [FaultArgument::Crash])]
        faults: Vec<FaultArgument>,
        /// For so many seconds
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// A datagram is lost with this chance
        #[arg(long, default_value_t = 0.01)]
        loss: f64,
        /// Suspicions last the least from the start, as in SWIM alone
        #[arg(long)]
        plain: bool,
        /// So many seeds
        #[arg(long, default_value_t = 5)]
        repeats: u64,
        /// Plot the time to detection over the size, with the published bounds, into this file (SVG)
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Play the wave of work after a loss that the others take over, with the bound of owners and without; a line of
    /// JSON for each play
    Wave {
        /// How many servers, one size after the other
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000])]
        servers: Vec<usize>,
        /// The part of them that dies at once
        #[arg(long, default_value_t = 0.33)]
        lost: f64,
        /// Busy part of the cores before that, one after the other
        #[arg(long, value_delimiter = ',', default_values_t = [0.5, 0.8])]
        load: Vec<f64>,
        /// So many seeds
        #[arg(long, default_value_t = 3)]
        repeats: u64,
    },
    /// Print the JSON Schema of an experiment's file
    Schema,
}

/// What befalls a fleet.
#[derive(Clone, Copy, ValueEnum)]
enum FaultArgument {
    /// Nothing
    None,
    /// One dies
    Crash,
    /// A tenth stands still again and again
    Stutter,
    /// Two halves are parted for longer than any suspicion lasts
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
