//! When to ask the issuer for its set again. All servers of a fleet start at about the same time and see the
//! same failures: each waits a share of its own, so that an issuer that comes back is not asked by all at once.

use rand_pcg::rand_core::Rng;
use rand_pcg::Pcg32;

/// The first wait after a failure, in milliseconds. It doubles with each further one.
const INITIAL_BACKOFF_MS: f64 = 250.0;
/// Asked for out of turn (a key that no set has held), the issuer is asked no sooner than so long after the
/// last time, in milliseconds: key ids made up by callers must not become a flood at the issuer.
const MIN_EARLY_INTERVAL_MS: f64 = 1000.0;

/// When to ask next.
pub struct RefreshSchedule {
    interval_ms: f64,
    failures: u32,
    random: Pcg32,
    last_request_ms: f64,
    next_request_ms: f64,
}

impl RefreshSchedule {
    /// Asks at once, and then about as often as this.
    pub fn new(now: f64, every_ms: f64, seed: u64) -> RefreshSchedule {
        let chance = Pcg32::new(seed, 0x1d);
        RefreshSchedule {
            interval_ms: every_ms,
            failures: 0,
            random: chance,
            last_request_ms: f64::NEG_INFINITY,
            next_request_ms: now,
        }
    }

    /// When to ask next.
    pub fn next_request_ms(&self) -> f64 {
        self.next_request_ms
    }

    /// It is being asked now.
    pub fn on_request(&mut self, now: f64) {
        self.last_request_ms = now;
    }

    /// It has answered, or not.
    pub fn on_response(&mut self, now: f64, well: bool) {
        let share = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        self.failures = if well {
            0
        } else {
            self.failures.saturating_add(1)
        };
        self.next_request_ms = now
            + if well {
                self.interval_ms * (0.8 + 0.2 * share)
            } else {
                let doubled = INITIAL_BACKOFF_MS * 2f64.powi(self.failures.min(20) as i32 - 1);
                doubled.min(self.interval_ms) * (0.5 + 0.5 * share)
            };
    }

    /// Somebody needs a newer set than there is.
    pub fn request_early(&mut self) {
        self.next_request_ms = self
            .next_request_ms
            .min(self.last_request_ms + MIN_EARLY_INTERVAL_MS);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn failures_are_asked_about_ever_more_seldom_and_a_success_ends_that() {
        let mut refresh = RefreshSchedule::new(0.0, 30_000.0, 1);
        assert_eq!(refresh.next_request_ms(), 0.0);
        for (n, most) in [
            250.0, 500.0, 1000.0, 2000.0, 4000.0, 8000.0, 16000.0, 30000.0, 30000.0,
        ]
        .iter()
        .enumerate()
        {
            refresh.on_response(0.0, false);
            assert!(
                (most / 2.0..=*most).contains(&refresh.next_request_ms()),
                "{n}: {}",
                refresh.next_request_ms()
            );
        }
        refresh.on_response(0.0, true);
        assert!((24_000.0..=30_000.0).contains(&refresh.next_request_ms()));
    }

    #[test]
    fn servers_that_failed_together_do_not_come_back_together() {
        let at = |seed| {
            let mut refresh = RefreshSchedule::new(0.0, 30_000.0, seed);
            (0..6).for_each(|_| refresh.on_response(0.0, false));
            refresh.next_request_ms()
        };
        let mut all: Vec<f64> = (0..100).map(at).collect();
        all.sort_by(f64::total_cmp);
        assert!(all[90] - all[10] > 2000.0, "{all:?}");
    }

    #[test]
    fn keys_made_up_by_callers_ask_no_more_than_once_a_second() {
        let mut refresh = RefreshSchedule::new(0.0, 30_000.0, 1);
        let mut asked = 0;
        for now in 0..10_000 {
            refresh.request_early();
            if f64::from(now) >= refresh.next_request_ms() {
                refresh.on_request(now.into());
                refresh.on_response(now.into(), true);
                asked += 1;
            }
        }
        assert_eq!(asked, 10);
    }
}
