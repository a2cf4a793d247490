//! The command `asterdale fleet`: queries a serving process about its fleet, over its control socket.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use asterdale_transport::control::{self, ControlError};
use clap::{Args, Subcommand};
use serde_json::Value;

/// The process to query.
#[derive(Args)]
pub struct ProcessArgs {
    /// Control socket of the process: `fleet.control` of its start file
    #[arg(long)]
    control: PathBuf,
}

/// Subcommands of `asterdale fleet`.
#[derive(Subcommand)]
pub enum Command {
    /// Print the process's view of its fleet; exit code 1 if it can't reach a majority
    Show {
        #[command(flatten)]
        process: ProcessArgs,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Print each change of a member, until interrupted or the process ends
    Watch {
        #[command(flatten)]
        process: ProcessArgs,
        /// Polling interval, in milliseconds
        #[arg(long, default_value_t = 500)]
        every_ms: u64,
    },
    /// Print the process's state as an ownership replica; exit code 1 if it is in no group or the group has no leader
    #[command(name = "keepers")]
    Replicas {
        #[command(flatten)]
        process: ProcessArgs,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Make the process leave its fleet: it continues to serve, and the other members regard it as gone
    Leave {
        #[command(flatten)]
        process: ProcessArgs,
    },
}

/// The minimum polling interval of [`Command::Watch`], in milliseconds.
const MIN_WATCH_INTERVAL_MS: u64 = 10;
/// Exit code if the process can't be queried.
const EXIT_FAILED: u8 = 2;

/// Prints each change of a member, until a query fails.
fn watch(process: &ProcessArgs, every_ms: u64) -> Result<ExitCode, ControlError> {
    let mut previous: BTreeMap<String, (u64, String)> = BTreeMap::new();
    loop {
        let report = control::show(&process.control)?;
        let current: BTreeMap<_, _> = std::iter::once(&report.local)
            .chain(&report.members)
            .map(|member| {
                let state = (member.generation, member.status.clone());
                (member.name.clone(), state)
            })
            .collect();
        for (name, state) in &current {
            if previous.get(name) != Some(state) {
                println!("{name} generation {} {}", state.0, state.1);
            }
        }
        for name in previous.keys().filter(|name| !current.contains_key(*name)) {
            println!("{name} forgotten");
        }
        previous = current;
        thread::sleep(Duration::from_millis(every_ms.max(MIN_WATCH_INTERVAL_MS)));
    }
}

fn show(process: &ProcessArgs, as_json: bool) -> Result<ExitCode, ControlError> {
    let report = control::show(&process.control)?;
    let text = if as_json {
        serde_json::to_string(&report).unwrap_or_default()
    } else {
        report.to_table()
    };
    println!("{text}");
    Ok(success_if(report.has_majority))
}

fn show_replica(process: &ProcessArgs, as_json: bool) -> Result<ExitCode, ControlError> {
    let status = control::replica_status(&process.control)?;
    let text = if as_json {
        status.to_string()
    } else {
        replica_text(&status)
    };
    println!("{text}");
    let has_leader = status["leader"]
        .as_str()
        .is_some_and(|leader| !leader.is_empty());
    Ok(success_if(status["group"] != 0 && has_leader))
}

fn success_if(condition: bool) -> ExitCode {
    if condition {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// The names in a list of strings, or of objects with a field `name`.
fn joined_names(list: &Value) -> String {
    let name = |entry: &Value| {
        let name = entry.get("name").unwrap_or(entry);
        name.as_str().unwrap_or_default().to_owned()
    };
    let names: Vec<String> = list.as_array().into_iter().flatten().map(name).collect();
    names.join(" ")
}

/// A replica's status as readable text.
fn replica_text(status: &Value) -> String {
    let counts = status["kept"].as_object().into_iter().flatten();
    let counts: Vec<String> = counts
        .map(|(state, count)| format!("{state} {count}"))
        .collect();
    let quiet_s = status["quiet_ms"].as_f64().unwrap_or(0.0) / 1e3;
    [
        format!(
            "group {}, led by {}, {} entries",
            status["group"], status["leader"], status["applied"]
        ),
        format!("keepers: {}", joined_names(&status["members"])),
        format!("owners: {}", joined_names(&status["owners"])),
        format!("kept: {}; {} bytes", counts.join(", "), status["bytes"]),
        if quiet_s > 0.0 {
            format!("no claims are granted for {quiet_s:.1} s")
        } else {
            "claims are granted".to_owned()
        },
    ]
    .join("\n")
}

/// Runs the command, and prints its error.
pub fn run(command: &Command) -> ExitCode {
    let result = match command {
        Command::Show { process, json } => show(process, *json),
        Command::Watch { process, every_ms } => watch(process, *every_ms),
        Command::Replicas { process, json } => show_replica(process, *json),
        Command::Leave { process } => control::leave(&process.control).map(|()| ExitCode::SUCCESS),
    };
    result.unwrap_or_else(|e| {
        eprintln!("asterdale: {e}");
        ExitCode::from(EXIT_FAILED)
    })
}
