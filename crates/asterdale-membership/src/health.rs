//! How far a process may trust its own ears (Lifeguard's local health multiplier): one that gets few answers, or late
//! ones, is likely to be slow itself, and asks longer before it accuses others.

/// The most that it counts, as published.
const MOST: u32 = 8;

/// From 0, well, to [`MOST`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Health(u32);

impl Health {
    /// A sign that this process is slow: a probe without an answer, a helper without a word, a suspicion of itself.
    pub fn worse(&mut self) {
        self.0 = (self.0 + 1).min(MOST);
    }

    /// A sign that it is not: a probe's answer in time.
    pub fn better(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// By how much it asks longer.
    pub fn factor(&self) -> f64 {
        f64::from(self.0 + 1)
    }
}
