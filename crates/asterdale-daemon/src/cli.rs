//! The command line. Without arguments, the program serves.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};

use thiserror::Error;

use crate::serve::{report_start_error, serve, ServeOptions};
use crate::start;
use crate::{keys, token};

#[cfg(test)]
mod tests;

/// The exit code of a failed command.
const EXIT_COMMAND_FAILED: u8 = 2;

const EXAMPLES: &str = "\
Examples:
  ROUTER_CONFIG=deploy/loopback.json asterdale
  asterdale serve deploy/loopback.json --log json --level debug
  asterdale check deploy/identity.json
  asterdale fleet show --control /run/asterdale/fleet --json
  asterdale keys new --id root --out root.jwk
  asterdale token mint --key key.jwk --issuer office --audience asterdale --tenant house --subject ann --role clerk";

/// A backend that makes admission and scheduling decisions behind load balancers it does not control.
#[derive(Parser)]
#[command(name = "asterdale", version, after_help = EXAMPLES)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve requests; the default without a command
    Serve(Serve),
    /// Print all faults of a start file; exit code 2 if there are any
    Check {
        /// The start file
        file: PathBuf,
    },
    /// Print the JSON Schema of the start file
    Schema,
    /// Create, inspect and verify tokens
    #[command(subcommand)]
    Token(token::Command),
    /// Manage keys and key sets in files
    #[command(subcommand)]
    Keys(keys::Command),
    /// Request a hot restart of a serving process, and print its phases
    #[cfg(feature = "upgrade")]
    Upgrade {
        /// The control socket, as the start file names it
        #[arg(long)]
        control: PathBuf,
        /// The program of the new process; if absent, that of the serving process
        #[arg(long)]
        binary: Option<PathBuf>,
    },
    /// Show the fleet as a serving process sees it, or make that process leave it
    #[cfg(feature = "fleet")]
    #[command(subcommand)]
    Fleet(crate::fleet::Command),
    /// Inspect a process's journal on disk, also while it serves
    #[cfg(feature = "journal")]
    #[command(subcommand)]
    Journal(crate::journal::Command),
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

/// The options of `serve`.
#[derive(Args)]
struct Serve {
    /// The start file; if absent, the environment variable ROUTER_CONFIG names it
    file: Option<PathBuf>,
    /// The format of the log lines
    #[arg(long, value_enum, default_value_t)]
    log: LogFormat,
    /// The lowest severity of log lines that are written
    #[arg(long, value_enum, default_value_t)]
    level: Level,
}

impl From<Serve> for ServeOptions {
    fn from(Serve { file, log, level }: Serve) -> ServeOptions {
        let level = match level {
            Level::Critical => slog::Level::Critical,
            Level::Error => slog::Level::Error,
            Level::Warning => slog::Level::Warning,
            Level::Info => slog::Level::Info,
            Level::Debug => slog::Level::Debug,
        };
        ServeOptions {
            start_file: file,
            json_log: matches!(log, LogFormat::Json),
            log_level: Some(level),
        }
    }
}

/// The format of the log lines.
#[derive(Clone, Copy, Default, ValueEnum)]
enum LogFormat {
    /// Human-readable text
    #[default]
    Plain,
    /// One JSON object per line
    Json,
}

/// The severity of a log line.
#[derive(Clone, Copy, Default, ValueEnum)]
enum Level {
    /// The program can't continue
    Critical,
    /// Something was lost or skipped
    Error,
    /// Something unexpected happened
    Warning,
    /// A change of state
    #[default]
    Info,
    /// Details that are not needed in normal operation
    Debug,
}

/// The JSON Schema of the start file, as text.
pub fn schema() -> String {
    let schema = schemars::schema_for!(start::file::StartFile);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}

/// Checks a start file and prints its faults.
fn check(file: &Path) -> ExitCode {
    match start::from_file(file) {
        Ok(start) => {
            let callers = match start.identity {
                Some(_) => "known callers only",
                None => "any caller",
            };
            println!(
                "{}: good: {} stages, {callers}",
                file.display(),
                start.settings.class_names.len()
            );
            ExitCode::SUCCESS
        }
        Err(error) => report_start_error(&error),
    }
}

/// A command has failed.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    Token(#[from] token::TokenError),
    #[error(transparent)]
    Keys(#[from] keys::KeysError),
    #[cfg(feature = "upgrade")]
    #[error(transparent)]
    Upgrade(#[from] crate::upgrade::RequestUpgradeError),
}

/// Runs the command that the command line names. Prints its error if it fails.
pub fn run() -> ExitCode {
    match run_command(CommandLine::parse().command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("asterdale: {error}");
            ExitCode::from(EXIT_COMMAND_FAILED)
        }
    }
}

fn run_command(command: Option<Command>) -> Result<ExitCode, CommandError> {
    match command {
        None => return Ok(serve(ServeOptions::default())),
        Some(Command::Serve(options)) => return Ok(serve(options.into())),
        Some(Command::Check { file }) => return Ok(check(&file)),
        Some(Command::Schema) => println!("{}", schema()),
        Some(Command::Token(command)) => token::run(command)?,
        Some(Command::Keys(command)) => keys::run(command)?,
        #[cfg(feature = "upgrade")]
        Some(Command::Upgrade { control, binary }) => upgrade(&control, binary)?,
        #[cfg(feature = "fleet")]
        Some(Command::Fleet(command)) => return Ok(crate::fleet::run(&command)),
        #[cfg(feature = "journal")]
        Some(Command::Journal(command)) => return Ok(crate::journal::run(&command)),
        Some(Command::Completions { shell }) => print_completions(shell),
    }
    Ok(ExitCode::SUCCESS)
}

/// Requests an upgrade, and prints its phases and the process that serves from then on.
#[cfg(feature = "upgrade")]
fn upgrade(
    control: &Path,
    binary: Option<PathBuf>,
) -> Result<(), crate::upgrade::RequestUpgradeError> {
    let program = binary
        .map(|path| path.display().to_string())
        .unwrap_or_default();
    let process = crate::upgrade::request_upgrade(control, &program, |phase| println!("{phase}"))?;
    println!("done: process {process} serves");
    Ok(())
}

fn print_completions(shell: clap_complete::Shell) {
    clap_complete::generate(
        shell,
        &mut CommandLine::command(),
        "asterdale",
        &mut std::io::stdout(),
    );
}
