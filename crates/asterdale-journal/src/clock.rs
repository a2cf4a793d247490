//! The wall clock, for timestamps that are stored in files.

use std::time::{SystemTime, UNIX_EPOCH};

/// The Unix time in milliseconds; 0 for a clock that is set before 1970. It may step.
pub(crate) fn unix_time_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64() * 1e3)
}
