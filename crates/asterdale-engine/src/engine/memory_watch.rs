//! Notices when the process comes close to its memory limit, so that the counters of that moment are in the log.

use std::time::{Duration, Instant};

use super::Engine;
use crate::counters::resident_kib;

/// The interval between two looks at the resident memory.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The minimum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Resident memory above this part of the limit is reported, in percent.
const REPORTED_PERCENT: usize = 85;

/// When to look at the resident memory next.
pub(crate) struct MemoryWatch {
    limit_kib: usize,
    next_check: Instant,
}

impl MemoryWatch {
    /// Watches a process with this memory limit.
    pub(crate) fn new(limit_bytes: usize) -> MemoryWatch {
        MemoryWatch {
            limit_kib: limit_bytes / 1024,
            next_check: Instant::now(),
        }
    }

    /// The resident memory in KiB, if it is time to look and it is close to the limit.
    fn check(&mut self, now: Instant) -> Option<usize> {
        if now < self.next_check {
            return None;
        }
        self.next_check = now + CHECK_INTERVAL;
        let resident = resident_kib();
        let is_close = resident > self.limit_kib * REPORTED_PERCENT / 100;
        if is_close {
            self.next_check = now + REPORT_INTERVAL;
        }
        is_close.then_some(resident)
    }
}

impl Engine {
    /// Logs the counters if the resident memory is close to the limit.
    pub(super) fn watch_memory(&mut self, now: Instant) {
        let Some(resident_kib) = self.memory_watch.check(now) else {
            return;
        };
        slog::warn!(self.tasks.log.lines, "engine: memory close to its limit";
            "resident_kib" => resident_kib, "limit_kib" => self.memory_watch.limit_kib);
        self.print_counters();
    }
}
