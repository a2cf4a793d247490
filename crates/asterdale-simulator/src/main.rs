//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use asterdale_simulator::experiment::{self, Experiment, Policy};
use asterdale_simulator::failover_surge::{self, Scenario};
use asterdale_simulator::members::{self, Fault, Figures, Play};
use asterdale_simulator::report::RunReport;
use asterdale_simulator::world::play;
use clap::{Parser, Subcommand, ValueEnum};
use rayon::prelude::*;
use serde_json::json;

/// What asterdale balances, in one process.
#[derive(Parser)]
#[command(name = "asterdale-simulator", version)]
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
    /// Play the view of the fleet, each size and fault with several seeds; a line of JSON for each play
    Members {
        /// How many members, one size after the other
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000])]
        members: Vec<usize>,
        /// What befalls them
        #[arg(long, value_enum, value_delimiter = ',', default_values_t = [Befalls::Crash])]
        faults: Vec<Befalls>,
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
enum Befalls {
    /// Nothing
    None,
    /// One dies
    Crash,
    /// A tenth stands still again and again
    Stutter,
    /// Two halves are parted for longer than any suspicion lasts
    Halves,
}

impl std::fmt::Display for Befalls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let value = self.to_possible_value();
        f.write_str(value.as_ref().map_or("", |value| value.get_name()))
    }
}

fn read(file: &PathBuf) -> Result<Experiment, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    experiment::read(&text).map_err(|wrong| wrong.join("\n"))
}

fn run(file: &PathBuf, seed: Option<u64>, repeats: u64, brief: bool) -> Result<(), String> {
    let experiment = read(file)?;
    let first = seed.unwrap_or(experiment.seed);
    let began = Instant::now();
    let all: Vec<RunReport> = (first..first + repeats)
        .into_par_iter()
        .map(|seed| play(&experiment, seed))
        .collect();
    let (took, events) = (
        began.elapsed().as_secs_f64(),
        all.iter().map(|one| one.events).sum::<u64>(),
    );
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
        let runs: Vec<RunReport> = seeds
            .into_par_iter()
            .map(|seed| play(&experiment, seed))
            .collect();
        let mean =
            |of: &dyn Fn(&RunReport) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
        let quantile = |name: &'static str| mean(&|run| run.latency_ms[name]);
        let broken: u64 = runs.iter().flat_map(|run| run.violations.values()).sum();
        println!(
            "{name:<12} {:>8.4} {:>8.1} {:>8.1} {:>7.2} {broken:>7}",
            mean(&|run| run.earned_share),
            quantile("p50"),
            quantile("p99"),
            mean(&|run| run.attempts_per_request)
        );
    }
    Ok(())
}

/// Detection over the size: what was modelled, and the published bounds.
fn plot(file: &PathBuf, all: &[Figures]) -> Result<(), Box<dyn std::error::Error>> {
    use plotters::prelude::*;
    let sizes: Vec<usize> = {
        let mut sizes: Vec<usize> = all.iter().map(|figures| figures.members).collect();
        sizes.sort_unstable();
        sizes.dedup();
        sizes
    };
    let (Some(&least), Some(&most)) = (sizes.first(), sizes.last()) else {
        return Ok(());
    };
    let highest = members::published_ms(most).1 / 1e3 * 1.3;
    let area = SVGBackend::new(file, (900, 560)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Seconds until a dead member is held for dead",
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(
            (least as f64 * 0.8..most as f64 * 1.25).log_scale(),
            0.0..highest,
        )?;
    chart
        .configure_mesh()
        .x_desc("members")
        .y_desc("seconds")
        .draw()?;
    let line = |of: &dyn Fn((f64, f64, f64)) -> f64| -> Vec<(f64, f64)> {
        sizes
            .iter()
            .map(|&n| (n as f64, of(members::published_ms(n)) / 1e3))
            .collect()
    };
    chart
        .draw_series(LineSeries::new(line(&|(least, ..)| least), &BLUE))?
        .label("bound, suspicion confirmed at once")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], BLUE));
    chart
        .draw_series(LineSeries::new(
            line(&|(_, most, spread)| most + spread),
            &RED,
        ))?
        .label("bound, never confirmed, and the news' rides")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], RED));
    let points = |of: &dyn Fn(&Figures) -> Option<f64>| -> Vec<(f64, f64)> {
        all.iter()
            .filter_map(|figures| Some((figures.members as f64, of(figures)? / 1e3)))
            .collect()
    };
    chart
        .draw_series(
            points(&|f| f.first_ms)
                .into_iter()
                .map(|at| Circle::new(at, 3, BLACK.filled())),
        )?
        .label("the first holds it for dead")
        .legend(|(x, y)| Circle::new((x + 10, y), 3, BLACK.filled()));
    chart
        .draw_series(
            points(&|f| f.all_ms)
                .into_iter()
                .map(|at| TriangleMarker::new(at, 5, GREEN.filled())),
        )?
        .label("all do")
        .legend(|(x, y)| TriangleMarker::new((x + 10, y), 5, GREEN.filled()));
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}

fn view(
    sizes: &[usize],
    faults: &[Befalls],
    told: &Play,
    repeats: u64,
    file: Option<&PathBuf>,
) -> Result<(), String> {
    let mut all = Vec::new();
    for &members in sizes {
        for fault in faults {
            let fault = match fault {
                Befalls::None => Fault::None,
                Befalls::Crash => Fault::Crash,
                Befalls::Stutter => Fault::Stutter,
                Befalls::Halves => Fault::Halves,
            };
            let told = Play {
                members: members.clamp(2, 20_000),
                fault,
                ..told.clone()
            };
            let figures = members::repeat(&told, 1..repeats + 1);
            figures
                .iter()
                .for_each(|figures| println!("{}", json!(figures)));
            all.extend(figures);
        }
    }
    match file {
        Some(file) => plot(file, &all).map_err(|e| format!("{}: {e}", file.display())),
        None => Ok(()),
    }
}

/// Simulates the failover surge for each size and load, with the capacity bound and without it.
fn failover_surge(
    sizes: &[usize],
    crash_share: f64,
    loads: &[f64],
    repeats: u64,
) -> Result<(), String> {
    for &servers in sizes {
        for &load in loads {
            for capacity_bound in [true, false] {
                let scenario = Scenario {
                    servers: servers.clamp(2, 10_000),
                    crash_share: crash_share.clamp(0.0, 0.9),
                    load: load.clamp(0.0, 1.0),
                    capacity_bound,
                };
                for seed in 0..repeats {
                    let report = failover_surge::simulate(&scenario, seed);
                    println!(
                        "{}",
                        serde_json::to_string(&report).map_err(|e| e.to_string())?
                    );
                }
            }
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Run {
            file,
            seed,
            repeats,
            brief,
        } => run(&file, seed, repeats.clamp(1, 10_000), brief),
        Command::Policies { file, repeats } => policies(&file, repeats.clamp(1, 1000)),
        Command::Members {
            members,
            faults,
            seconds,
            loss,
            plain,
            repeats,
            plot,
        } => {
            let told = Play {
                members: 0,
                fault: Fault::None,
                seconds,
                loss: loss.clamp(0.0, 1.0),
                plain,
            };
            view(
                &members,
                &faults,
                &told,
                repeats.clamp(1, 1000),
                plot.as_ref(),
            )
        }
        Command::Wave {
            servers,
            lost,
            load,
            repeats,
        } => failover_surge(&servers, lost, &load, repeats.clamp(1, 1000)),
        Command::Schema => {
            let schema = schemars::schema_for!(Experiment);
            serde_json::to_string_pretty(&schema)
                .map(|text| println!("{text}"))
                .map_err(|e| e.to_string())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("asterdale-simulator: {why}");
            ExitCode::from(2)
        }
    }
}
