//! The command line. Without words the program serves, as it always has.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};

use crate::serve::{report_start_error, serve, ServeOptions};
use crate::start;
use crate::{keys, token};

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

/// How to serve.
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

/// The schema of the start file, as text.
pub fn schema() -> String {
    let schema = schemars::schema_for!(start::file::StartFile);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}

fn check(file: &Path) -> ExitCode {
    match start::from_file(file) {
        Ok(start) => {
            let callers = if start.identity.is_some() {
                "known callers only"
            } else {
                "any caller"
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

/// Does what the command line says.
pub fn run() -> ExitCode {
    let done = match Line::parse().command {
        None => return serve(ServeOptions::default()),
        Some(Command::Serve(how)) => return serve(how.into()),
        Some(Command::Check { file }) => return check(&file),
        Some(Command::Schema) => {
            println!("{}", schema());
            Ok(())
        }
        Some(Command::Token(command)) => token::run(command),
        Some(Command::Keys(command)) => keys::run(command),
        #[cfg(feature = "upgrade")]
        Some(Command::Upgrade { control, binary }) => {
            let binary = binary
                .map(|path| path.display().to_string())
                .unwrap_or_default();
            crate::upgrade::request_upgrade(&control, &binary, |phase| println!("{phase}"))
                .map(|process| println!("done: process {process} serves"))
                .map_err(|e| e.to_string())
        }
        #[cfg(feature = "fleet")]
        Some(Command::Fleet(command)) => return crate::fleet::run(&command),
        #[cfg(feature = "journal")]
        Some(Command::Journal(command)) => return crate::journal::run(&command),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(
                shell,
                &mut Line::command(),
                "asterdale",
                &mut std::io::stdout(),
            );
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("asterdale: {why}");
            ExitCode::from(2)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_command_line_is_sound_and_its_examples_can_be_read() {
        Line::command().debug_assert();
        for example in EXAMPLES.lines().skip(1) {
            let words = example
                .split_whitespace()
                .skip_while(|word| *word != "asterdale");
            assert!(Line::try_parse_from(words).is_ok(), "{example}");
        }
        assert!(Line::try_parse_from(["asterdale", "unheard"]).is_err());
    }
}
