//! Runs the backend in the foreground: reads the start file, sets up the log and serves until the engine ends.

use std::path::PathBuf;
use std::process::ExitCode;

use asterdale_engine::log::Log;

use crate::assembly;
use crate::error::with_sources;
use crate::reload::read_start;
use crate::start::StartError;

/// Exit code of a process that ends by a panic; the one that Rust uses for a panic of the main thread.
const EXIT_PANIC: i32 = 101;
/// Exit code if the start file can't be read.
const EXIT_INVALID_START: u8 = 2;

/// How to serve.
#[derive(Default)]
pub struct ServeOptions {
    /// The start file. If absent, an environment variable names it.
    pub start_file: Option<PathBuf>,
    /// Write log lines as JSON objects.
    pub json_log: bool,
    /// The lowest level of log lines that are written; `Info` if absent.
    pub log_level: Option<slog::Level>,
}

/// Prints what is wrong with a start file on standard error, a line each, and returns the exit code for it.
pub fn report_start_error(error: &StartError) -> ExitCode {
    error
        .faults()
        .iter()
        .for_each(|fault| eprintln!("asterdale: {fault}"));
    ExitCode::from(EXIT_INVALID_START)
}

/// Serves until the process is told to stop.
pub fn serve(options: ServeOptions) -> ExitCode {
    exit_on_panic();
    let start = match read_start(options.start_file.as_deref()) {
        Ok(start) => start,
        Err(error) => return report_start_error(&error),
    };
    let level = options.log_level.unwrap_or(slog::Level::Info);
    let (log, guard) = Log::to_stderr(&start.name, options.json_log, level);
    let result = assembly::run(start, options.start_file, &log);
    if let Err(e) = &result {
        slog::crit!(log.lines, "daemon: cannot serve"; "error" => with_sources(e));
    }
    // The guard writes what is still buffered; that needs the last user of the log to be gone.
    drop(log);
    drop(guard);
    if result.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Makes a panic of any thread end the process: with one of its actors gone, the others would accept requests that nobody
/// completes.
fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        #[cfg(feature = "journal")]
        if asterdale_journal::store::is_catching_panics() {
            return;
        }
        default_hook(panic);
        std::process::exit(EXIT_PANIC);
    }));
}
