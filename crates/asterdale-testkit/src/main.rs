//! The rig's command line.

#![allow(
    clippy::cognitive_complexity,
    clippy::min_ident_chars,
    clippy::too_many_arguments,
    clippy::too_many_lines,
    reason = "not finished for readers yet, see docs/readability.md"
)]

use std::process::ExitCode;

use asterdale_testkit::proofs::{fleet, restarts, rotation, takeover, upgrade, ProofConfig};
use asterdale_testkit::{demo, flood, ownership_cost, partial_outage, replace, soak};
use clap::{Parser, Subcommand, ValueEnum};
use serde_json::json;
use std::time::Duration;

/// Stand-ins, a demonstration and proofs, all on loopback.
#[derive(Parser)]
#[command(name = "asterdale-testkit", version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start everything, drive a steady load, and tell what became of it
    Demo {
        /// Tasks a second
        #[arg(long, default_value_t = 150.0)]
        rate: f64,
        /// How long
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
    /// Run a proof: load and faults from the seed; the last line is its figures, exit code 0 only if it held
    Prove {
        /// Which
        name: Proof,
        /// Load and faults are drawn from it
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How long the load lasts
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// Of the proof upgrade: how many there are
        #[arg(long, default_value_t = 10)]
        upgrades: u32,
        /// And how many of them are made to fail
        #[arg(long, default_value_t = 3)]
        fails: u32,
        /// Of the proofs fleet, takeover and restarts: how many processes; 12, 9 and 6 if absent
        #[arg(long)]
        members: Option<usize>,
        /// Of the proof takeover: how many of them keep work in hand
        #[arg(long, default_value_t = 3)]
        keepers: usize,
        /// Of the proofs takeover and restarts: tasks a second in all
        #[arg(long, default_value_t = 120.0)]
        rate: f64,
        /// From one probe to the next, in milliseconds
        #[arg(long, default_value_t = 100.0)]
        interval_ms: f64,
        /// How often all kinds of faults come
        #[arg(long, default_value_t = 1)]
        rounds: u32,
        /// Of the proof takeover: each process has a folder on disk, and keepers their part of the log
        #[arg(long)]
        journal: bool,
        /// A failpoint to activate in the daemon: the proof must not hold then
        #[arg(long, alias = "plant")]
        failpoint: Option<String>,
    },
    /// Measure what replacing a serving process costs, by handing over and by stopping and starting it
    Replace {
        /// Tasks a second
        #[arg(long, default_value_t = 200.0)]
        rate: f64,
    },
    /// Measure what it costs a bid that others keep it
    #[command(name = "price")]
    OwnershipCost {
        /// Processes
        #[arg(long, default_value_t = 5)]
        members: usize,
        /// Bids a second in all
        #[arg(long, value_delimiter = ',', default_value = "200,2000")]
        rates: Vec<f64>,
        /// How many processes keep them
        #[arg(long, value_delimiter = ',', default_value = "0,3,5")]
        keepers: Vec<usize>,
        /// One more at each rate, with a folder on disk for each process and no keepers
        #[arg(long)]
        journal: bool,
        /// Seconds of each
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Chance of the load
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measure what a view of the fleet is worth while a third of it dies under load
    #[command(name = "third")]
    PartialOutage {
        /// Processes
        #[arg(long, default_value_t = 9)]
        members: usize,
        /// Tasks a second in all
        #[arg(long, default_value_t = 260.0)]
        rate: f64,
        /// Seconds of each part
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        /// Seeds, each with a view and without
        #[arg(long, default_value_t = 2)]
        repeats: u64,
        /// The first of them
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Hold a crowd of connections open for long: memory, threads and descriptors by their slope, and what became of
    /// each request; exit code 0 only if nothing was lost and nothing grows
    Soak {
        /// Connections held open
        #[arg(long, default_value_t = 600)]
        connections: usize,
        /// Requests a second
        #[arg(long, default_value_t = 200.0)]
        rate: f64,
        /// How long; an hour is 3600, under 100 the slopes are not told
        #[arg(long, default_value_t = 240)]
        seconds: u64,
        /// Each request comes on a connection of its own, which then stays
        #[arg(long = "once")]
        one_request_per_connection: bool,
        /// Ids are drawn from it
        #[arg(long, default_value_t = 1)]
        seed: u32,
    },
    /// Measure what a flood of revoked retries costs the others
    Flood {
        /// Revoked retries a second
        #[arg(long, default_value_t = 2000.0)]
        flood: f64,
        /// Good tasks a second
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        /// Seconds of each turn
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// The part of a core that the daemon has
        #[arg(long, default_value_t = 0.2)]
        share: f64,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Proof {
    /// Keys rotate and are revoked under load
    Rotation,
    /// The serving process is replaced under load
    Upgrade,
    /// Many processes keep a view of each other through crashes, pauses and partitions
    Fleet,
    /// Work in hand survives its backend: crashes, pauses and partitions of owners and keepers under load
    Takeover,
    /// What was begun is known after a crash: kills, lost folders, folders put back from older copies
    Restarts,
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Demo { rate, seconds } => demo::run(&demo::Config {
            rate: rate.clamp(1.0, 5000.0),
            seconds,
        })
        .map(|text| {
            println!("{text}");
            true
        }),
        Command::Prove {
            name,
            seed,
            seconds,
            upgrades,
            fails,
            members,
            keepers,
            rate,
            interval_ms,
            rounds,
            journal,
            failpoint,
        } => {
            let order = ProofConfig {
                seed,
                seconds,
                failpoint: failpoint.clone(),
            };
            let (called, figures) = match name {
                Proof::Rotation => ("rotation", rotation::prove(&order)),
                Proof::Fleet => {
                    let members = members.unwrap_or(12).clamp(3, 60);
                    (
                        "fleet",
                        fleet::prove(&fleet::Told {
                            order,
                            members,
                            interval_ms,
                            rounds,
                        }),
                    )
                }
                Proof::Takeover => {
                    let members = members.unwrap_or(9).clamp(6, 60);
                    let (keepers, rate) = (
                        (keepers | 1).clamp(3, 7.min(members)),
                        rate.clamp(1.0, 5000.0),
                    );
                    (
                        "takeover",
                        takeover::prove(&takeover::Told {
                            order,
                            members,
                            keepers,
                            rate,
                            rounds,
                            lasts: journal,
                        }),
                    )
                }
                Proof::Restarts => {
                    let (members, rate) =
                        (members.unwrap_or(6).clamp(3, 60), rate.clamp(1.0, 5000.0));
                    (
                        "restarts",
                        restarts::prove(&restarts::Told {
                            order,
                            members,
                            rate,
                            rounds,
                        }),
                    )
                }
                Proof::Upgrade => (
                    "upgrade",
                    upgrade::prove(&order, upgrades, fails.min(upgrades)),
                ),
            };
            figures.map(|mut figures| {
                let held = figures["held"] == true;
                (figures["name"], figures["seed"]) = (json!(called), json!(seed));
                figures["failpoint"] = json!(failpoint);
                println!("{figures}");
                held
            })
        }
        Command::Replace { rate } => replace::measure(rate).map(|figures| {
            println!("{figures:#}");
            true
        }),
        Command::OwnershipCost {
            members,
            rates,
            keepers,
            journal,
            seconds,
            seed,
        } => {
            let rates = rates
                .into_iter()
                .map(|rate| rate.clamp(1.0, 10_000.0))
                .collect();
            ownership_cost::measure(&ownership_cost::Config {
                members: members.clamp(1, 60),
                rates,
                keepers,
                journal,
                seconds,
                seed,
            })
            .map(|figures| {
                println!("{figures}");
                true
            })
        }
        Command::PartialOutage {
            members,
            rate,
            seconds,
            repeats,
            seed,
        } => {
            let members = members.clamp(3, 60);
            let rate = rate.clamp(1.0, 5000.0);
            partial_outage::measure(
                &partial_outage::Config {
                    members,
                    rate,
                    seconds,
                    seed,
                },
                repeats.clamp(1, 100),
            )
            .map(|figures| {
                println!("{figures}");
                true
            })
        }
        Command::Soak {
            connections,
            rate,
            seconds,
            one_request_per_connection,
            seed,
        } => {
            let (rate, duration) = (rate.clamp(0.1, 5000.0), Duration::from_secs(seconds));
            let connections = connections.clamp(1, 8000);
            soak::run(&soak::SoakConfig {
                connections,
                rate,
                duration,
                one_request_per_connection,
                seed,
            })
            .map(|figures| {
                println!("{figures}");
                figures["held"] == true
            })
        }
        Command::Flood {
            flood,
            rate,
            seconds,
            share,
        } => flood::measure(&flood::Config {
            flood,
            rate,
            seconds,
            share,
        })
        .map(|figures| {
            println!("{figures:#}");
            true
        }),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("asterdale-testkit: {why}");
            ExitCode::from(2)
        }
    }
}
