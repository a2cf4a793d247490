//! The engine's time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch, by the system clock.
pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since_epoch| since_epoch.as_secs_f64() * 1000.0)
}

/// A clock that shows Unix time when it starts, and from then on is monotonic: steps of the system clock do not affect
/// it.
pub(crate) struct Clock {
    start_unix_ms: f64,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Clock {
        Clock {
            start_unix_ms: unix_ms(),
            start: Instant::now(),
        }
    }

    /// The time, in milliseconds.
    pub(crate) fn now(&self) -> f64 {
        self.start_unix_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Continues another process's clock from this time, so that the time does not step for the tasks taken over from
    /// it.
    #[cfg(feature = "hot-restart")]
    pub(crate) fn set(&mut self, now: f64) {
        self.start_unix_ms = now;
        self.start = Instant::now();
    }
}
