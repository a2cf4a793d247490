//! A deep health check that waits for the runtime's verdict.

use std::time::{Duration, Instant};

use crate::message::{Reply, Responder};

/// A deep health check without a verdict fails after this time: by then nobody waits for it.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A deep health check under way.
pub struct HealthCheck {
    responder: Responder,
    since: Instant,
}

impl HealthCheck {
    /// A check that starts now.
    pub fn new(responder: Responder) -> HealthCheck {
        HealthCheck {
            responder,
            since: Instant::now(),
        }
    }

    /// Whether nobody waits for it any more.
    pub fn is_expired(&self) -> bool {
        self.since.elapsed() >= TIMEOUT
    }

    /// Answers it.
    pub fn answer(&self, is_healthy: bool) {
        self.responder
            .clone()
            .answer(Reply::HealthChecked(is_healthy));
    }
}
