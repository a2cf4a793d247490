//! A suspicion: how long it lasts, and who shares it. It shortens with each that confirms it by a failed probe of its
//! own (Lifeguard), so that a slow process alone accuses nobody quickly, and many together do.

/// Those who confirm it after the first, from which on it is as short as it gets: as many as helpers are asked.
pub const MOST: usize = 3;

/// A suspicion.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    began: f64,
    least: f64,
    most: f64,
    /// Who shares it: the first, and those who confirmed it.
    by: Vec<String>,
    /// Somebody says that it has ended in a death.
    death: bool,
}

impl Suspicion {
    /// One that begins now, by this one's word, and lasts so long.
    pub fn new(now: f64, by: &str, least: f64, most: f64) -> Suspicion {
        Suspicion {
            began: now,
            least,
            most,
            by: vec![by.to_owned()],
            death: false,
        }
    }

    /// This one shares it; `true` if that is news.
    pub fn confirmed(&mut self, by: &str) -> bool {
        if self.by.len() > MOST || self.by.iter().any(|one| one == by) {
            return false;
        }
        self.by.push(by.to_owned());
        true
    }

    /// Somebody holds that it is over, and the process dead: it is given the least time from now on, no more.
    pub fn death(&mut self, now: f64) -> bool {
        let news = !self.death;
        if news {
            let end = self.end().min(now + self.least);
            (self.death, self.most) = (true, end - self.began);
            self.least = self.least.min(self.most);
        }
        news
    }

    /// This process stood still for so long, and would have heard of a refutation.
    pub fn extend(&mut self, by: f64) {
        self.began += by;
    }

    /// Whoever shares it.
    pub fn by(&self) -> &[String] {
        &self.by
    }

    /// When it ends in a death.
    pub fn end(&self) -> f64 {
        let confirmed = (self.by.len() - 1).min(MOST) as f64;
        let part = (confirmed + 1.0).ln() / (MOST as f64 + 1.0).ln();
        self.began + (self.most - (self.most - self.least) * part).max(self.least)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_shortens_with_each_new_accuser_down_to_the_least() {
        let mut one = Suspicion::new(100.0, "a", 10.0, 60.0);
        assert_eq!(one.end(), 160.0);
        assert!(!one.confirmed("a"));
        let mut ends = vec![one.end()];
        for by in ["b", "c", "d"] {
            assert!(one.confirmed(by) && !one.confirmed(by));
            ends.push(one.end());
        }
        assert!(ends.windows(2).all(|two| two[1] < two[0]));
        assert!((one.end() - 110.0).abs() < 1e-9);
        assert!(!one.confirmed("e"));
    }

    #[test]
    fn a_death_that_is_told_leaves_the_least_time_and_never_lengthens_it() {
        let mut one = Suspicion::new(0.0, "a", 10.0, 60.0);
        assert!(one.death(20.0) && !one.death(25.0));
        assert_eq!(one.end(), 30.0);
        let mut late = Suspicion::new(0.0, "a", 10.0, 60.0);
        late.death(55.0);
        assert_eq!(late.end(), 60.0);
    }
}
