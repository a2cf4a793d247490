//! Schedule of the requests for a new key set to the issuer. All servers of a fleet start at about the same time and
//! see the same failures, so each adds a random delay of its own, and an issuer that recovers is not queried by all
//! servers at once.

use rand_pcg::rand_core::Rng;
use rand_pcg::Pcg32;

/// The backoff after the first failure, in milliseconds. It doubles with each further failure.
const INITIAL_BACKOFF_MS: f64 = 250.0;
/// The number of consecutive failures beyond which the backoff does not double any more, which keeps the power of two
/// finite. The interval limits the backoff far earlier.
const MAX_COUNTED_FAILURES: u32 = 20;
/// The minimum time between two requests if one is requested early (for an unknown key id), in milliseconds. Without
/// this limit, callers could flood the issuer with requests by sending made-up key ids.
const MIN_EARLY_INTERVAL_MS: f64 = 1000.0;
/// The stream number of the random generator, which separates it from other generators with the same seed.
const RANDOM_STREAM: u64 = 0x1d;

/// When to request the key set next. Times are milliseconds by the caller's clock.
pub struct RefreshSchedule {
    interval_ms: f64,
    consecutive_failures: u32,
    random: Pcg32,
    last_request_ms: f64,
    next_request_ms: f64,
}

impl RefreshSchedule {
    /// A schedule with the first request at once, and then about one per `interval_ms`.
    pub fn new(now_ms: f64, interval_ms: f64, seed: u64) -> RefreshSchedule {
        RefreshSchedule {
            interval_ms,
            consecutive_failures: 0,
            random: Pcg32::new(seed, RANDOM_STREAM),
            last_request_ms: f64::NEG_INFINITY,
            next_request_ms: now_ms,
        }
    }

    /// The time of the next request.
    pub fn next_request_ms(&self) -> f64 {
        self.next_request_ms
    }

    /// Records that a request is sent now.
    pub fn on_request(&mut self, now_ms: f64) {
        self.last_request_ms = now_ms;
    }

    /// Records the result of a request, and schedules the next one.
    pub fn on_response(&mut self, now_ms: f64, has_succeeded: bool) {
        let jitter = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        let delay_ms = if has_succeeded {
            self.consecutive_failures = 0;
            self.interval_ms * (0.8 + 0.2 * jitter)
        } else {
            self.consecutive_failures = self.consecutive_failures.saturating_add(1);
            let doublings = self.consecutive_failures.min(MAX_COUNTED_FAILURES) as i32 - 1;
            let backoff_ms = INITIAL_BACKOFF_MS * 2f64.powi(doublings);
            backoff_ms.min(self.interval_ms) * (0.5 + 0.5 * jitter)
        };
        self.next_request_ms = now_ms + delay_ms;
    }

    /// Schedules the next request earlier, as a newer key set is needed.
    pub fn request_early(&mut self) {
        let earliest_ms = self.last_request_ms + MIN_EARLY_INTERVAL_MS;
        self.next_request_ms = self.next_request_ms.min(earliest_ms);
    }
}
