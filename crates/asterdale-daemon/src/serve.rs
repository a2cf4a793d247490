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
/// Exit code if the start file can't be read or is invalid.
const EXIT_INVALID_START: u8 = 2;

/// The options of [`serve`].
#[derive(Default)]
pub struct ServeOptions {
    /// The start file. If absent, an environment variable names it.
    pub start_file: Option<PathBuf>,
    /// Write log lines as JSON objects.
    pub json_log: bool,
    /// The lowest level of log lines that are written; `Info` if absent.
    pub log_level: Option<slog::Level>,
}

/// Prints the faults of a start file on standard error, one per line, and returns the exit code for an invalid start
/// file.
pub fn report_start_error(error: &StartError) -> ExitCode {
    error
        .faults()
        .iter()
        .for_each(|fault| eprintln!("asterdale: {fault}"));
    ExitCode::from(EXIT_INVALID_START)
}

/// Serves until the process has drained after a signal to stop, or can't serve.
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
    // Dropping the guard writes the lines that are still buffered. The last reference to the log must be dropped
    // before.
    drop(log);
    drop(guard);
    if result.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Makes a panic of any thread end the process: if one actor ended alone, the others would accept requests that are
/// never completed.
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
