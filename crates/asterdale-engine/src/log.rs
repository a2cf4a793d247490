//! The log: lines to standard error. Writing never blocks the caller, and a fault of one kind is logged at most once a
//! second.

use std::io::{LineWriter, Stderr};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Instant;

use slog::{Drain, Level, LevelFilter, Logger};
use slog_async::AsyncGuard;

/// The most lines that are queued to be written.
const MAX_QUEUED_LINES: usize = 256;
/// The minimum time between two lines about one kind of fault, in milliseconds.
const MIN_INTERVAL_MS: u64 = 1000;
/// Lines up to this length, in bytes, are written by one system call.
const LINE_BUFFER_BYTES: usize = 8192;

/// The log.
#[derive(Clone)]
pub struct Log {
    /// The logger. Check [`Log::allows`] before logging a fault that may repeat.
    pub lines: Logger,
    start: Instant,
}

impl Log {
    /// A log whose lines are written by a separate thread. Lines that do not fit its queue are dropped, and their
    /// number is logged. Dropping the guard writes the remaining lines and joins the thread.
    pub fn to_stderr(name: &str, json: bool, level: Level) -> (Log, AsyncGuard) {
        // A closed standard error must not end the program.
        if json {
            return Log::through(
                slog_json::Json::default(line_buffered_stderr()).ignore_res(),
                name,
                level,
            );
        }
        let decorator = slog_term::PlainDecorator::new(line_buffered_stderr());
        Log::through(
            slog_term::FullFormat::new(decorator).build().ignore_res(),
            name,
            level,
        )
    }

    fn through<D>(drain: D, name: &str, level: Level) -> (Log, AsyncGuard)
    where
        D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
    {
        let (drain, guard) = slog_async::Async::new(drain)
            .chan_size(MAX_QUEUED_LINES)
            .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
            .build_with_guard();
        // The filter comes before the queue, so that lines below the level take no space in it.
        let drain = LevelFilter::new(drain.ignore_res(), level).ignore_res();
        let lines = Logger::root(drain, slog::o!("backend" => name.to_owned()));
        (
            Log {
                lines,
                start: Instant::now(),
            },
            guard,
        )
    }

    /// Whether a fault of this kind may be logged now: at most once a second.
    pub fn allows(&self, kind: &LogLimit) -> bool {
        let now = self.start.elapsed().as_millis() as u64 + MIN_INTERVAL_MS;
        let last = kind.0.load(Relaxed);
        now >= last + MIN_INTERVAL_MS
            && kind.0.compare_exchange(last, now, Relaxed, Relaxed).is_ok()
    }
}

/// Standard error, written a line at a time: during a hot restart two processes share it, and parts of their lines
/// would otherwise be interleaved.
fn line_buffered_stderr() -> LineWriter<Stderr> {
    LineWriter::with_capacity(LINE_BUFFER_BYTES, std::io::stderr())
}

/// An error with its sources, on one line.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text.push_str(": ");
        text.push_str(&error.to_string());
        source = error.source();
    }
    text
}

/// The rate limit of one kind of fault: when it was logged last, in milliseconds since `MIN_INTERVAL_MS` before the
/// log's start; 0 for never.
pub struct LogLimit(AtomicU64);

impl Default for LogLimit {
    fn default() -> LogLimit {
        LogLimit::new()
    }
}

impl LogLimit {
    /// A fault that was never logged.
    pub const fn new() -> LogLimit {
        LogLimit(AtomicU64::new(0))
    }
}
