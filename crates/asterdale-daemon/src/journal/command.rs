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
const MAX_READ_ATTEMPTS: u32 = 5;

/// Reads the present state of the journal file. Returns the state, whether all pages are intact, and the length of the
/// file in bytes.
fn read_state(folder: &Path) -> Result<(StoredState, bool, u64), String> {
    let file = folder.join(STATE_FILE);
    let mut error_text = String::new();
    for _ in 0..MAX_READ_ATTEMPTS {
        let bytes = std::fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        let length = bytes.len() as u64;
        let result = catch_library_panic(|| {
            Store::from_image(bytes)
                .and_then(|mut store| Ok((store.check_integrity()?, store.load()?)))
        });
        match result {
            Ok((pages_intact, state)) => return Ok((state, pages_intact, length)),
            Err(e) => error_text = e.to_string(),
        }
    }
    Err(format!("{}: {error_text}", file.display()))
}

fn printable(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).replace('\0', "/")
}

fn execute(command: &Command) -> Result<ExitCode, String> {
    let (Command::Check { folder } | Command::Dump { folder } | Command::Stats { folder }) =
        command;
    let (state, pages_intact, length) = read_state(folder)?;
    let header = state.header.clone().unwrap_or_default();
    let count = |execution_state| {
        state
            .entries
            .iter()
            .filter(|(_, entry)| entry.state() == execution_state)
            .count()
    };
    match command {
        Command::Check { .. } => {
            let is_intact = pages_intact && state.damaged_entries == 0 && state.header.is_some();
            println!(
                "{}",
                json!({"good": is_intact, "pages": pages_intact, "damaged_entries": state.damaged_entries,
                "keys": state.entries.len()})
            );
            return Ok(if is_intact {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            });
        }
        Command::Dump { .. } => {
            for (key, entry) in &state.entries {
                println!(
                    "{}",
                    json!({"key": printable(key), "stage": entry.state().to_string(),
                    "id": printable(&entry.attempt_id), "run": entry.run, "left_ms": (entry.expires_at_ms - header.folder_time_ms).round(),
                    "result_bytes": entry.result.len()})
                );
            }
        }
        Command::Stats { .. } => {
            println!(
                "{}",
                json!({"name": header.name, "folder": format!("{:016x}", header.folder_id), "run": header.run,
                "generation": header.generation, "quiet_ms": (header.quiet_until_ms - header.folder_time_ms).max(0.0).round(),
                "marked_unix_ms": header.unix_time_ms.round(), "bytes": length, "intents": count(ExecutionState::Intent),
                "passed": count(ExecutionState::Succeeded), "failed": count(ExecutionState::Failed), "damaged_entries": state.damaged_entries})
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs the command, and prints its error.
pub fn run(command: &Command) -> ExitCode {
    execute(command).unwrap_or_else(|error| {
        eprintln!("asterdale: {error}");
        ExitCode::from(2)
    })
}
