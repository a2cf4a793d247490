//! How far a process may trust its own ears (Lifeguard's local health multiplier): one that gets few answers, or late
//! ones, is likely to be slow itself, and asks longer before it accuses others.

/// The most that it counts, as published.
const MAX_SCORE: u32 = 8;

/// From 0, well, to [`MAX_SCORE`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// A sign that this process is slow: a probe without an answer, a helper without a word, a suspicion of itself.
    pub fn record_failure(&mut self) {
        self.0 = (self.0 + 1).min(MAX_SCORE);
    }

    /// A sign that it is not: a probe's answer in time.
    pub fn record_success(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// By how much it asks longer.
    pub fn timeout_multiplier(&self) -> f64 {
        f64::from(self.0 + 1)
    }
}
