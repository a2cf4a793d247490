use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use asterdale_transport::control;
use clap::{Args, Subcommand};

/// Where the process is asked.
#[derive(Args)]
pub struct At {
    /// The control socket, as the start file names it in `fleet.control`
    #[arg(long)]
    control: PathBuf,
}

/// What is asked about the fleet.
#[derive(Subcommand)]
pub enum Command {
    /// Print what the process holds of its fleet; exit code 1 if it is not certain of it
    Show {
        #[command(flatten)]
        at: At,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Print each change, as it is held, until interrupted or the process ends
    Watch {
        #[command(flatten)]
        at: At,
        /// How often to look, in milliseconds
        #[arg(long, default_value_t = 500)]
        every_ms: u64,
    },
    /// Print what the process holds as a keeper of work in hand; exit code 1 if it is in no group, or nobody leads it
    Keepers {
        #[command(flatten)]
        at: At,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Have the process leave its fleet: it serves on, and counts as gone
    Leave {
        #[command(flatten)]
        at: At,
    },
}

fn watch(at: &At, every_ms: u64) -> Result<(), control::ControlError> {
    let mut held: BTreeMap<String, (u64, String)> = BTreeMap::new();
    loop {
        let shown = control::show(&at.control)?;
        let all = std::iter::once(&shown.local).chain(&shown.members);
        let now: BTreeMap<_, _> = all
            .map(|m| (m.name.clone(), (m.generation, m.status.clone())))
            .collect();
        for (name, (generation, status)) in &now {
            if held.get(name) != Some(&(*generation, status.clone())) {
                println!("{name} generation {generation} {status}");
            }
        }
        for name in held.keys().filter(|name| !now.contains_key(*name)) {
            println!("{name} forgotten");
        }
        held = now;
        thread::sleep(Duration::from_millis(every_ms.max(10)));
    }
}

/// What a keeper holds, for people.
fn kept(shown: &serde_json::Value) -> String {
    let names = |list: &serde_json::Value, field: Option<&str>| {
        let name = |one: &serde_json::Value| {
            field
                .map_or(one, |field| &one[field])
                .as_str()
                .unwrap_or_default()
                .to_owned()
        };
        list.as_array()
            .into_iter()
            .flatten()
            .map(name)
            .collect::<Vec<_>>()
            .join(" ")
    };
    let kept = shown["kept"].as_object().into_iter().flatten();
    let kept: Vec<String> = kept.map(|(state, n)| format!("{state} {n}")).collect();
    let quiet = shown["quiet_ms"].as_f64().unwrap_or(0.0) / 1e3;
    [
        format!(
            "group {}, led by {}, {} entries",
            shown["group"], shown["leader"], shown["applied"]
        ),
        format!("keepers: {}", names(&shown["members"], None)),
        format!("owners: {}", names(&shown["owners"], Some("name"))),
        format!("kept: {}; {} bytes", kept.join(", "), shown["bytes"]),
        if quiet > 0.0 {
            format!("nothing is claimed for {quiet:.1} s")
        } else {
            "claims are taken".to_owned()
        },
    ]
    .join("\n")
}

/// Does it.
pub fn run(command: &Command) -> ExitCode {
    let done = match command {
        Command::Show { at, json } => control::show(&at.control).map(|shown| {
            let text = if *json {
                serde_json::to_string(&shown).unwrap_or_default()
            } else {
                shown.to_table()
            };
            println!("{text}");
            if shown.has_majority {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }),
        Command::Watch { at, every_ms } => watch(at, *every_ms).map(|()| ExitCode::SUCCESS),
        Command::Keepers { at, json } => control::replica_status(&at.control).map(|shown| {
            println!(
                "{}",
                if *json {
                    shown.to_string()
                } else {
                    kept(&shown)
                }
            );
            if shown["group"] != 0
                && shown["leader"]
                    .as_str()
                    .is_some_and(|leader| !leader.is_empty())
            {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }),
        Command::Leave { at } => control::leave(&at.control).map(|()| ExitCode::SUCCESS),
    };
    done.unwrap_or_else(|why| {
        eprintln!("asterdale: {why}");
        ExitCode::from(2)
    })
}
