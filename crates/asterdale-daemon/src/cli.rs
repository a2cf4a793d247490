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
const FAILED: u8 = 2;

const EXAMPLES: &str = "\
Examples:
  ROUTER_CONFIG=deploy/loopback.json asterdale
  asterdale serve deploy/loopback.json --log json --level debug
  asterdale check deploy/identity.json
  asterdale fleet show --control /run/asterdale/fleet --json
  asterdale keys new --id root --out root.jwk
  asterdale token mint --key key.jwk --issuer office --audience asterdale --tenant house --subject ann --role clerk";

/// Decides admission and scheduling for a server behind other people's balancers, and serves.
#[derive(Parser)]
#[command(name = "asterdale", version, after_help = EXAMPLES)]
struct Line {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve: what the program does without words, too
    Serve(Serve),
    /// Tell all that is wrong with a start file; exit code 2 if anything is
    Check {
        /// The start file
        file: PathBuf,
    },
    /// Print the JSON Schema of the start file
    Schema,
    /// Make, read and judge tokens
    #[command(subcommand)]
    Token(token::Command),
    /// Keep keys and sets of keys, on files
    #[command(subcommand)]
    Keys(keys::Command),
    /// Ask a serving process to hand over to a new one, and tell how far it is
    #[cfg(feature = "upgrade")]
    Upgrade {
        /// The control socket, as the start file names it
        #[arg(long)]
        control: PathBuf,
        /// The new program; the one that serves if absent
        #[arg(long)]
        binary: Option<PathBuf>,
    },
    /// Look at the fleet as a serving process holds it, or have that process leave it
    #[cfg(feature = "fleet")]
    #[command(subcommand)]
    Fleet(crate::fleet::Command),
    /// Look at what a process has on disk, also while it serves
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
    /// The start file; the variable ROUTER_CONFIG if absent
    file: Option<PathBuf>,
    /// The form of the log's lines
    #[arg(long, value_enum, default_value_t)]
    log: Form,
    /// The least weighty lines that are written
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
            json_log: matches!(log, Form::Json),
            log_level: Some(level),
        }
    }
}

/// The form of the log's lines.
#[derive(Clone, Copy, Default, ValueEnum)]
enum Form {
    /// For people
    #[default]
    Plain,
    /// A JSON object a line
    Json,
}

/// How weighty a line is.
#[derive(Clone, Copy, Default, ValueEnum)]
enum Level {
    /// The program can't go on
    Critical,
    /// Something was lost or passed over
    Error,
    /// Something is not as it should be
    Warning,
    /// A change of state
    #[default]
    Info,
    /// More than is wanted day by day
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
    match run_command(Line::parse().command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("asterdale: {error}");
            ExitCode::from(FAILED)
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
        &mut Line::command(),
        "asterdale",
        &mut std::io::stdout(),
    );
}
