//! The command line of the test harness.

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
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start a daemon with all its stand-ins, drive a steady load, and print the outcome of the requests
    Demo {
        /// Requests per second
        #[arg(long, default_value_t = 150.0)]
        rate: f64,
        /// Duration of the load in seconds
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
    /// Run a proof under load and faults drawn from the seed; the last line has the figures, exit code 0 only if it
    /// held
    Prove {
        /// Which proof
        name: Proof,
        /// Seed of the load and the faults
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Duration of the load in seconds
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// Proof upgrade: number of hot restarts
        #[arg(long, default_value_t = 10)]
        upgrades: u32,
        /// Proof upgrade: how many of the hot restarts are made to fail
        #[arg(long, default_value_t = 3)]
        fails: u32,
        /// Proofs fleet, takeover and restarts: number of processes; 12, 9 and 6 if absent
        #[arg(long)]
        members: Option<usize>,
        /// Proof takeover: how many of the processes are ownership replicas
        #[arg(long, default_value_t = 3)]
        keepers: usize,
        /// Proofs takeover and restarts: requests per second over all processes
        #[arg(long, default_value_t = 120.0)]
        rate: f64,
        /// Proof fleet: interval between membership probes in milliseconds
        #[arg(long, default_value_t = 100.0)]
        interval_ms: f64,
        /// How many times the sequence of all kinds of faults is run
        #[arg(long, default_value_t = 1)]
        rounds: u32,
        /// Proof takeover: each process has a journal directory, and replicas persist the replicated log
        #[arg(long)]
        journal: bool,
        /// A failpoint to activate in the daemon; the proof must fail then
        #[arg(long, alias = "plant")]
        failpoint: Option<String>,
    },
    /// Measure the cost of replacing a serving process, by hot restart and by stop and start
    Replace {
        /// Requests per second
        #[arg(long, default_value_t = 200.0)]
        rate: f64,
    },
    /// Measure what replicating its ownership adds to the latency and CPU time of a keyed request
    #[command(name = "price")]
    OwnershipCost {
        /// Number of processes
        #[arg(long, default_value_t = 5)]
        members: usize,
        /// Keyed requests per second over all processes; one measurement for each rate
        #[arg(long, value_delimiter = ',', default_value = "200,2000")]
        rates: Vec<f64>,
        /// Numbers of ownership replicas; one measurement for each
        #[arg(
            long = "keepers",
            value_name = "KEEPERS",
            value_delimiter = ',',
            default_value = "0,3,5"
        )]
        ownership_replicas: Vec<usize>,
        /// Add a measurement at each rate with a journal directory for each process and no replicas
        #[arg(long)]
        journal: bool,
        /// Duration of each measurement in seconds
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Seed of the load
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measure the effect of membership while a third of the processes is down under load
    #[command(name = "third")]
    PartialOutage {
        /// Number of processes
        #[arg(long, default_value_t = 9)]
        members: usize,
        /// Requests per second over all processes
        #[arg(long, default_value_t = 260.0)]
        rate: f64,
        /// Duration of each phase in seconds
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        /// Number of seeds; each is run with and without membership
        #[arg(long, default_value_t = 2)]
        repeats: u64,
        /// The first seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Hold many connections open under load; report growth of memory, threads and descriptors, and the outcome of
    /// each request; exit code 0 only if no request was lost and nothing grows
    Soak {
        /// Number of connections held open
        #[arg(long, default_value_t = 600)]
        connections: usize,
        /// Requests per second
        #[arg(long, default_value_t = 200.0)]
        rate: f64,
        /// Duration in seconds; an hour is 3600, below 100 no growth rates are computed
        #[arg(long, default_value_t = 240)]
        seconds: u64,
        /// Send each request on a connection of its own, which then stays open
        #[arg(long = "once")]
        one_request_per_connection: bool,
        /// Seed of the request ids
        #[arg(long, default_value_t = 1)]
        seed: u32,
    },
    /// Measure how a flood of retries with a revoked token affects the other requests
    Flood {
        /// Retries with a revoked token per second
        #[arg(long, default_value_t = 2000.0)]
        flood: f64,
        /// Requests with a valid token per second
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        /// Duration of each turn in seconds
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// The fraction of a core that the daemon may use
        #[arg(long, default_value_t = 0.2)]
        share: f64,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Proof {
    /// Keys rotate and are revoked under load
    Rotation,
    /// The serving process is replaced by hot restarts under load
    Upgrade,
    /// Membership among many processes converges after crashes, pauses and partitions
    Fleet,
    /// Requests survive the loss of their backend: crashes, pauses and partitions of owners and replicas under load
    Takeover,
    /// Started requests are known after a crash: kills, lost journal directories, directories restored from older
    /// copies
    Restarts,
}

fn main() -> ExitCode {
    let result = match CommandLine::parse().command {
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
            let proof = ProofConfig {
                seed,
                seconds,
                failpoint: failpoint.clone(),
            };
            let (proof_name, figures) = match name {
                Proof::Rotation => ("rotation", rotation::prove(&proof)),
                Proof::Fleet => {
                    let members = members.unwrap_or(12).clamp(3, 60);
                    (
                        "fleet",
                        fleet::prove(&fleet::Config {
                            proof,
                            members,
                            interval_ms,
                            rounds,
                        }),
                    )
                }
                Proof::Takeover => {
                    let members = members.unwrap_or(9).clamp(6, 60);
                    let (ownership_replicas, rate) = (
                        (keepers | 1).clamp(3, 7.min(members)),
                        rate.clamp(1.0, 5000.0),
                    );
                    (
                        "takeover",
                        takeover::prove(&takeover::Config {
                            proof,
                            members,
                            ownership_replicas,
                            rate,
                            rounds,
                            has_journal: journal,
                        }),
                    )
                }
                Proof::Restarts => {
                    let (members, rate) =
                        (members.unwrap_or(6).clamp(3, 60), rate.clamp(1.0, 5000.0));
                    (
                        "restarts",
                        restarts::prove(&restarts::Config {
                            proof,
                            members,
                            rate,
                            rounds,
                        }),
                    )
                }
                Proof::Upgrade => (
                    "upgrade",
                    upgrade::prove(&proof, upgrades, fails.min(upgrades)),
                ),
            };
            figures.map(|mut figures| {
                let held = figures["held"] == true;
                (figures["name"], figures["seed"]) = (json!(proof_name), json!(seed));
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
            ownership_replicas,
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
                ownership_replicas,
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
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("asterdale-testkit: {error}");
            ExitCode::from(2)
        }
    }
}
