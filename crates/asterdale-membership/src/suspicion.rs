//! The timer of one suspicion, as in Lifeguard's LHA-Suspicion.
//!
//! A suspicion starts with the longest timeout and shortens with each independent confirmation, that is, a failed probe
//! by another process. One slow process alone therefore cannot have others declared dead quickly, while several that
//! agree can.

/// Confirmations after which the timeout is at its minimum: as many as an indirect probe has relays.
pub const MAX_CONFIRMATIONS: usize = 3;

/// A running suspicion.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    started_ms: f64,
    min_ms: f64,
    max_ms: f64,
    /// Names of the process that raised it, and of those that confirmed it.
    reporters: Vec<String>,
    /// Whether another process reported that the suspicion expired there.
    death_reported: bool,
}

impl Suspicion {
    /// Starts a suspicion that lasts `max_ms` without confirmations, and `min_ms` with [`MAX_CONFIRMATIONS`].
    pub fn new(now_ms: f64, reporter: &str, min_ms: f64, max_ms: f64) -> Suspicion {
        Suspicion {
            started_ms: now_ms,
            min_ms,
            max_ms,
            reporters: vec![reporter.to_owned()],
            death_reported: false,
        }
    }

    /// Adds a confirmation. Returns `false` if this reporter has already reported the suspicion, or if there are
    /// [`MAX_CONFIRMATIONS`] already.
    pub fn confirm(&mut self, reporter: &str) -> bool {
        if self.reporters.len() > MAX_CONFIRMATIONS
            || self.reporters.iter().any(|known| known == reporter)
        {
            return false;
        }
        self.reporters.push(reporter.to_owned());
        true
    }

    /// Shortens the suspicion because another process reported the death: it expires after at most the minimum timeout
    /// from now. Returns `false` if a death was reported before.
    pub fn report_death(&mut self, now_ms: f64) -> bool {
        let is_first = !self.death_reported;
        if is_first {
            let deadline_ms = self.deadline_ms().min(now_ms + self.min_ms);
            self.death_reported = true;
            self.max_ms = deadline_ms - self.started_ms;
            self.min_ms = self.min_ms.min(self.max_ms);
        }
        is_first
    }

    /// Postpones the deadline by the duration of a pause of this process, as it could not receive a refutation then.
    pub fn extend(&mut self, pause_ms: f64) {
        self.started_ms += pause_ms;
    }

    /// Names of the process that raised the suspicion, and of those that confirmed it.
    pub fn reporters(&self) -> &[String] {
        &self.reporters
    }

    /// When the suspect is to be declared dead. Lifeguard's formula: the timeout falls from the maximum to the minimum
    /// with the logarithm of the confirmations.
    pub fn deadline_ms(&self) -> f64 {
        let confirmations = (self.reporters.len() - 1).min(MAX_CONFIRMATIONS) as f64;
        let reduction = (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        self.started_ms + (self.max_ms - (self.max_ms - self.min_ms) * reduction).max(self.min_ms)
    }
}

#[cfg(test)]
mod tests;
