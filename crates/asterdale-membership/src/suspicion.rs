//! A suspicion: how long it lasts, and who shares it. It shortens with each that confirms it by a failed probe of its
//! own (Lifeguard), so that a slow process alone accuses nobody quickly, and many together do.

/// Those who confirm it after the first, from which on it is as short as it gets: as many as helpers are asked.
pub const MAX_CONFIRMATIONS: usize = 3;

/// A suspicion.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    started_ms: f64,
    min_ms: f64,
    max_ms: f64,
    /// Who shares it: the first, and those who confirmed it.
    reporters: Vec<String>,
    /// Somebody says that it has ended in a death.
    death_reported: bool,
}

impl Suspicion {
    /// One that begins now, by this one's word, and lasts so long.
    pub fn new(now: f64, by: &str, least: f64, most: f64) -> Suspicion {
        Suspicion {
            started_ms: now,
            min_ms: least,
            max_ms: most,
            reporters: vec![by.to_owned()],
            death_reported: false,
        }
    }

    /// This one shares it; `true` if that is news.
    pub fn confirm(&mut self, by: &str) -> bool {
        if self.reporters.len() > MAX_CONFIRMATIONS || self.reporters.iter().any(|one| one == by) {
            return false;
        }
        self.reporters.push(by.to_owned());
        true
    }

    /// Somebody holds that it is over, and the process dead: it is given the least time from now on, no more.
    pub fn report_death(&mut self, now: f64) -> bool {
        let news = !self.death_reported;
        if news {
            let end = self.deadline_ms().min(now + self.min_ms);
            (self.death_reported, self.max_ms) = (true, end - self.started_ms);
            self.min_ms = self.min_ms.min(self.max_ms);
        }
        news
    }

    /// This process stood still for so long, and would have heard of a refutation.
    pub fn extend(&mut self, by: f64) {
        self.started_ms += by;
    }

    /// Whoever shares it.
    pub fn reporters(&self) -> &[String] {
        &self.reporters
    }

    /// When it ends in a death.
    pub fn deadline_ms(&self) -> f64 {
        let confirmed = (self.reporters.len() - 1).min(MAX_CONFIRMATIONS) as f64;
        let part = (confirmed + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        self.started_ms + (self.max_ms - (self.max_ms - self.min_ms) * part).max(self.min_ms)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_shortens_with_each_new_accuser_down_to_the_least() {
        let mut one = Suspicion::new(100.0, "a", 10.0, 60.0);
        assert_eq!(one.deadline_ms(), 160.0);
        assert!(!one.confirm("a"));
        let mut ends = vec![one.deadline_ms()];
        for by in ["b", "c", "d"] {
            assert!(one.confirm(by) && !one.confirm(by));
            ends.push(one.deadline_ms());
        }
        assert!(ends.windows(2).all(|two| two[1] < two[0]));
        assert!((one.deadline_ms() - 110.0).abs() < 1e-9);
        assert!(!one.confirm("e"));
    }

    #[test]
    fn a_death_that_is_told_leaves_the_least_time_and_never_lengthens_it() {
        let mut one = Suspicion::new(0.0, "a", 10.0, 60.0);
        assert!(one.report_death(20.0) && !one.report_death(25.0));
        assert_eq!(one.deadline_ms(), 30.0);
        let mut late = Suspicion::new(0.0, "a", 10.0, 60.0);
        late.report_death(55.0);
        assert_eq!(late.deadline_ms(), 60.0);
    }
}
