//! Lifeguard's local health multiplier (LHA-Probe): a process that does not receive expected answers is probably slow
//! itself, so it waits longer before it suspects others.

/// The maximum score, as in the Lifeguard paper.
const MAX_SCORE: u32 = 8;

/// The score, from 0 (healthy) to `MAX_SCORE`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Counts a sign that this process is slow: a probe without an ack, a relay without a nack, a suspicion or reported
    /// death of this process, or a pause.
    pub fn record_failure(&mut self) {
        self.0 = (self.0 + 1).min(MAX_SCORE);
    }

    /// Counts a sign that this process is healthy: an ack to its probe.
    pub fn record_success(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// The factor by which the probe interval and the probe timeout are longer than configured.
    pub fn timeout_multiplier(&self) -> f64 {
        f64::from(self.0 + 1)
    }
}
