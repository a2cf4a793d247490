//! Bounds the work that one connection causes without bringing a valid request: error replies, replies to management
//! records, aborted requests, ignored input.
//!
//! The requests of many callers share a connection, so a spent budget does not end it: reading pauses until there is
//! some budget again.

use std::time::{Duration, Instant};

/// The budget of a new connection, and its upper bound, in units. An edge node can abort all open requests of a
/// connection twice without a pause.
const MAX_UNITS: i64 = 64;
/// The interval at which one unit is added.
const UNIT_INTERVAL: Duration = Duration::from_millis(5);
/// Units that each valid request adds.
const UNITS_PER_REQUEST: i64 = 8;
/// Units that must have been added before reading continues. More at once means fewer wake-ups.
const RESUME_UNITS: i64 = 8;
/// Bytes of a request that cost one unit if the request turns out to be of no use.
const BYTES_PER_UNIT: usize = 4 * 1024;
/// Bytes of ignored input that cost one unit. They are neither copied nor answered.
const IGNORED_BYTES_PER_UNIT: usize = 16 * 1024;
/// What handling an ignored record costs beside its length, in bytes.
const IGNORED_RECORD_BYTES: usize = 64;

/// The budget of one connection, in units; one unit is about the work of an error reply.
pub struct ErrorBudget {
    /// Negative if the last records cost more than there was.
    units: i64,
    refilled_at: Instant,
    /// Ignored bytes that have not been charged yet, less than [`IGNORED_BYTES_PER_UNIT`].
    ignored_bytes: usize,
    spent_since_request: i64,
}

impl ErrorBudget {
    /// A full budget.
    pub fn new(now: Instant) -> ErrorBudget {
        ErrorBudget {
            units: MAX_UNITS,
            refilled_at: now,
            ignored_bytes: 0,
            spent_since_request: 0,
        }
    }

    /// Charges for a record, and for this many bytes that were kept until then.
    pub fn charge(&mut self, bytes: usize, now: Instant) {
        self.spend(1 + (bytes / BYTES_PER_UNIT) as i64, now);
    }

    /// Charges for a record of this length that is ignored.
    pub fn charge_ignored(&mut self, bytes: usize, now: Instant) {
        self.ignored_bytes += bytes + IGNORED_RECORD_BYTES;
        let units = self.ignored_bytes / IGNORED_BYTES_PER_UNIT;
        self.ignored_bytes %= IGNORED_BYTES_PER_UNIT;
        if units > 0 {
            self.spend(units as i64, now);
        }
    }

    fn spend(&mut self, units: i64, now: Instant) {
        self.refill(now);
        self.units -= units;
        self.spent_since_request += units;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let added = (elapsed.as_micros() / UNIT_INTERVAL.as_micros()) as i64;
        if self.units + added >= MAX_UNITS {
            self.units = MAX_UNITS;
            self.refilled_at = now;
        } else {
            self.units += added;
            self.refilled_at += UNIT_INTERVAL * added as u32;
        }
    }

    /// Adds to the budget for a valid request.
    pub fn add_for_request(&mut self) {
        self.units = MAX_UNITS.min(self.units + UNITS_PER_REQUEST);
        self.spent_since_request = 0;
    }

    /// Units that were spent since the last valid request.
    pub fn spent_since_request(&self) -> i64 {
        self.spent_since_request
    }

    /// When reading may continue; `None` if it may now.
    pub fn resume_at(&mut self, now: Instant) -> Option<Instant> {
        if self.units > 0 {
            return None;
        }
        self.refill(now);
        if self.units > 0 {
            return None;
        }
        let missing = (RESUME_UNITS - self.units) as u32;
        Some(self.refilled_at + UNIT_INTERVAL * missing)
    }
}
