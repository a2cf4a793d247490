//! A deep health check that waits for the runtime's verdict.

use std::time::{Duration, Instant};

use crate::message::{Reply, Responder};

/// A deep health check fails if the runtime has not answered within this time: no client waits longer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A deep health check in progress.
pub struct HealthCheck {
    responder: Responder,
    started_at: Instant,
}

impl HealthCheck {
    /// A check that starts now.
    pub fn new(responder: Responder) -> HealthCheck {
        HealthCheck {
            responder,
            started_at: Instant::now(),
        }
    }

    /// Whether it has timed out.
    pub fn is_expired(&self) -> bool {
        self.started_at.elapsed() >= TIMEOUT
    }

    /// Answers the health check.
    pub fn answer(&self, is_healthy: bool) {
        self.responder
            .clone()
            .answer(Reply::HealthChecked(is_healthy));
    }
}
