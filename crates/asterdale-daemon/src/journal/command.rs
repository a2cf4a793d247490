//! The command `asterdale journal`: checks and prints a journal directory, even while a process uses it.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use asterdale_journal::entry::ExecutionState;
use asterdale_journal::store::{catch_library_panic, Store, StoredState, STATE_FILE};
use clap::Subcommand;
use serde_json::json;

/// Subcommands of `asterdale journal`. None of them changes the directory.
#[derive(Subcommand)]
pub enum Command {
    /// Check every page and entry; exit code 1 if anything is damaged
    Check {
        /// Journal directory
        folder: PathBuf,
    },
    /// Print the entries, one JSON object per key
    Dump {
        /// Journal directory
        folder: PathBuf,
    },
    /// Print the header of the journal file, and counts of its entries
    Stats {
        /// Journal directory
        folder: PathBuf,
    },
}

/// How often the file is read at most: a read that coincides with a commit is repeated.
const TRIES: u32 = 5;

/// Reads the present state of the journal file. Returns the state, whether all pages are intact, and the length of the
/// file in bytes.
fn read(folder: &Path) -> Result<(StoredState, bool, u64), String> {
    let file = folder.join(STATE_FILE);
    let mut why = String::new();
    for _ in 0..TRIES {
        let bytes = std::fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        let length = bytes.len() as u64;
        let looked = catch_library_panic(|| {
            Store::from_image(bytes)
                .and_then(|mut store| Ok((store.check_integrity()?, store.load()?)))
        });
        match looked {
            Ok((sound, found)) => return Ok((found, sound, length)),
            Err(e) => why = e.to_string(),
        }
    }
    Err(format!("{}: {why}", file.display()))
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).replace('\0', "/")
}

fn done(command: &Command) -> Result<ExitCode, String> {
    let (Command::Check { folder } | Command::Dump { folder } | Command::Stats { folder }) =
        command;
    let (found, sound, length) = read(folder)?;
    let face = found.header.clone().unwrap_or_default();
    let count = |stage| {
        found
            .entries
            .iter()
            .filter(|(_, entry)| entry.state() == stage)
            .count()
    };
    match command {
        Command::Check { .. } => {
            let good = sound && found.damaged_entries == 0 && found.header.is_some();
            println!(
                "{}",
                json!({"good": good, "pages": sound, "damaged_entries": found.damaged_entries,
                "keys": found.entries.len()})
            );
            return Ok(if good {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            });
        }
        Command::Dump { .. } => {
            for (key, entry) in &found.entries {
                println!(
                    "{}",
                    json!({"key": text(key), "stage": entry.state().to_string(),
                    "id": text(&entry.attempt_id), "run": entry.run, "left_ms": (entry.expires_at_ms - face.folder_time_ms).round(),
                    "result_bytes": entry.result.len()})
                );
            }
        }
        Command::Stats { .. } => {
            println!(
                "{}",
                json!({"name": face.name, "folder": format!("{:016x}", face.folder_id), "run": face.run,
                "generation": face.generation, "quiet_ms": (face.quiet_until_ms - face.folder_time_ms).max(0.0).round(),
                "marked_unix_ms": face.unix_time_ms.round(), "bytes": length, "intents": count(ExecutionState::Intent),
                "passed": count(ExecutionState::Succeeded), "failed": count(ExecutionState::Failed), "damaged_entries": found.damaged_entries})
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs the command, and prints its error.
pub fn run(command: &Command) -> ExitCode {
    done(command).unwrap_or_else(|why| {
        eprintln!("asterdale: {why}");
        ExitCode::from(2)
    })
}
