//! The log: lines to standard error, never waited for, and no flood of one kind of fault.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Instant;

use slog::{o, Drain, Level, LevelFilter, Logger};
use slog_async::AsyncGuard;

/// Where lines go.
#[derive(Clone)]
pub struct Log {
    /// For a change of state, which is rare by itself.
    pub lines: Logger,
    born: Instant,
}

impl Log {
    /// A log whose lines are written by a thread of its own; what it can't keep up with is dropped and
    /// counted there. The guard's end writes what is left.
    pub fn to_stderr(name: &str, json: bool, level: Level) -> (Log, AsyncGuard) {
        // A standard error that takes nothing must not end the program.
        if json {
            return Log::through(
                slog_json::Json::default(std::io::stderr()).ignore_res(),
                name,
                level,
            );
        }
        let decorator = slog_term::PlainDecorator::new(std::io::stderr());
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
            .chan_size(256)
            .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
            .build_with_guard();
        // Before the channel, so that lines that are not wanted cost no place in it.
        let drain = LevelFilter::new(drain.ignore_res(), level).ignore_res();
        let lines = Logger::root(drain, o!("backend" => name.to_owned()));
        (
            Log {
                lines,
                born: Instant::now(),
            },
            guard,
        )
    }

    /// Whether a fault of this kind may have a line now: one a second.
    pub fn allows(&self, kind: &Kind) -> bool {
        let now = self.born.elapsed().as_millis() as u64 + 1000;
        let last = kind.0.load(Relaxed);
        now >= last + 1000 && kind.0.compare_exchange(last, now, Relaxed, Relaxed).is_ok()
    }
}

/// A kind of fault that could come in floods.
pub struct Kind(AtomicU64);

impl Default for Kind {
    fn default() -> Kind {
        Kind::new()
    }
}

impl Kind {
    /// One that has had no line yet.
    pub const fn new() -> Kind {
        Kind(AtomicU64::new(0))
    }
}
