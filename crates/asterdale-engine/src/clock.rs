//! The engine's time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch by the system's clock.
pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

/// The module's time: Unix time at the start, from then on by a clock that never steps.
pub(crate) struct Clock {
    unix: f64,
    began: Instant,
}

impl Clock {
    /// One that begins now.
    pub(crate) fn start() -> Clock {
        Clock {
            unix: unix_ms(),
            began: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> f64 {
        self.unix + self.began.elapsed().as_secs_f64() * 1000.0
    }

    /// Goes on from this time: another process's clock, which must not step for its tasks.
    #[cfg(feature = "hot-restart")]
    pub(crate) fn set(&mut self, now: f64) {
        (self.unix, self.began) = (now, Instant::now());
    }
}
