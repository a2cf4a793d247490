//! What checking signatures may cost. A signature costs some 50 µs; a fifth of a core that is asked to check
//! ever new wrong ones would do nothing else. Each edge node has a bucket, and all have one together: half of
//! that is only for those who have lately brought a token that was good. So numbers made up by the thousand, or
//! one edge node with a flood behind it, can't use up what the others need. Known tokens need no signature, and
//! don't come here.

use std::collections::HashMap;

/// Edge nodes that are told apart. Far more than there are; beyond that the one whose bucket has been full for
/// longest is forgotten, which costs it nothing.
const MOST_EDGES: usize = 1024;
/// A wrong signature costs as much as so many right ones: guessing is slowed, arriving customers are not.
const WRONG: f64 = 4.0;
/// An edge node that brought a good token this recently, in milliseconds, is in good standing.
const STANDING: f64 = 60_000.0;
/// Buckets hold what comes in so many seconds: customers come in waves.
const BURST: f64 = 2.0;

/// A token bucket: so many a second come in, it holds no more than its burst.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: f64,
    at: f64,
}

impl Bucket {
    /// A full one.
    pub fn full(now: f64, burst: f64) -> Bucket {
        Bucket {
            level: burst,
            at: now,
        }
    }

    fn fill(&mut self, now: f64, per_s: f64, burst: f64) {
        // A time that steps back fills nothing, and takes nothing away.
        self.level = (self.level + (now - self.at).max(0.0) * per_s / 1000.0).min(burst);
        self.at = self.at.max(now);
    }

    /// Takes one, or tells in how many milliseconds there will be one.
    pub fn take(&mut self, now: f64, per_s: f64, burst: f64) -> Result<(), f64> {
        self.fill(now, per_s, burst);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(if per_s > 0.0 {
            (1.0 - self.level) * 1000.0 / per_s
        } else {
            f64::INFINITY
        })
    }

    /// Takes more than was asked for; it may owe as much as its burst.
    fn charge(&mut self, more: f64, burst: f64) {
        self.level = (self.level - more).max(-burst);
    }
}

struct Edge {
    bucket: Bucket,
    good_at: f64,
}

/// What is left for signatures.
pub struct Budget {
    per_edge: f64,
    in_all: f64,
    edges: HashMap<u32, Edge>,
    /// For edge nodes that have not brought a good token lately, and for those that have.
    others: Bucket,
    standing: Bucket,
}

impl Budget {
    /// So many signatures a second for each edge node, and in all.
    pub fn new(now: f64, per_edge: f64, in_all: f64) -> Budget {
        let half = Bucket::full(now, BURST * in_all / 2.0);
        Budget {
            per_edge,
            in_all,
            edges: HashMap::new(),
            others: half,
            standing: half,
        }
    }

    /// Other rates from now on. Levels stay.
    pub fn retold(&mut self, per_edge: f64, in_all: f64) {
        (self.per_edge, self.in_all) = (per_edge, in_all);
    }

    fn pool(&mut self, good: bool) -> &mut Bucket {
        if good {
            &mut self.standing
        } else {
            &mut self.others
        }
    }

    /// Whether a signature may be checked for this edge node; if not, in how many milliseconds.
    pub fn take(&mut self, now: f64, edge: u32) -> Result<(), f64> {
        let (per_edge, half) = (self.per_edge, self.in_all / 2.0);
        if self.edges.len() >= MOST_EDGES && !self.edges.contains_key(&edge) {
            let fullest = self
                .edges
                .iter()
                .min_by(|a, b| a.1.bucket.at.total_cmp(&b.1.bucket.at));
            if let Some(idle) = fullest.map(|(&edge, _)| edge) {
                self.edges.remove(&idle);
            }
        }
        let known = self.edges.entry(edge).or_insert(Edge {
            bucket: Bucket::full(now, BURST * per_edge),
            good_at: f64::NEG_INFINITY,
        });
        known.bucket.take(now, per_edge, BURST * per_edge)?;
        let good = now - known.good_at < STANDING;
        let taken = self.pool(good).take(now, half, BURST * half);
        // Those in good standing may use what the others leave, not the other way about.
        match taken {
            Err(_) if good => self.others.take(now, half, BURST * half),
            taken => taken,
        }
    }

    /// How a signature turned out that was taken for this edge node.
    pub fn turned_out(&mut self, now: f64, edge: u32, right: bool) {
        let (per_edge, half) = (self.per_edge, self.in_all / 2.0);
        let Some(known) = self.edges.get_mut(&edge) else {
            return;
        };
        if right {
            known.good_at = now;
        } else {
            known.bucket.charge(WRONG - 1.0, BURST * per_edge);
            let good = now - known.good_at < STANDING;
            self.pool(good).charge(WRONG - 1.0, BURST * half);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Offers so many a second for ten seconds; how many were checked.
    fn offer(
        budget: &mut Budget,
        from: f64,
        per_s: u32,
        right: bool,
        edge: impl Fn(u32) -> u32,
    ) -> u32 {
        (0..10 * per_s)
            .filter(|&n| {
                let now = from + f64::from(n) * 1000.0 / f64::from(per_s);
                let taken = budget.take(now, edge(n)).is_ok();
                if taken {
                    budget.turned_out(now, edge(n), right);
                }
                taken
            })
            .count() as u32
    }

    #[test]
    fn right_ones_pass_at_the_rate_of_their_edge_node_and_wrong_ones_at_a_quarter() {
        let mut budget = Budget::new(0.0, 20.0, 1000.0);
        assert!((200..=240).contains(&offer(&mut budget, 0.0, 500, true, |_| 1)));
        let mut budget = Budget::new(0.0, 20.0, 1000.0);
        assert!((50..=60).contains(&offer(&mut budget, 0.0, 500, false, |_| 1)));
    }

    #[test]
    fn numbers_made_up_by_the_thousand_leave_half_for_those_in_good_standing() {
        let mut budget = Budget::new(0.0, 20.0, 100.0);
        assert_eq!(offer(&mut budget, 0.0, 10, true, |_| 1), 100);
        let (mut good, mut bad) = (0, 0);
        for n in 0..20_000u32 {
            let now = 10_000.0 + f64::from(n) / 2.0;
            if budget.take(now, 1000 + n).is_ok() {
                bad += 1;
                budget.turned_out(now, 1000 + n, false);
            }
            if n % 200 == 0 {
                good += budget.take(now, 1).is_ok() as u32;
                budget.turned_out(now, 1, true);
            }
        }
        assert_eq!(good, 100, "the edge node in good standing lost some");
        assert!(bad <= 200, "{bad} wrong ones were checked in 10 s");
        assert!(budget.edges.len() <= MOST_EDGES);
    }

    #[test]
    fn one_that_must_wait_is_told_how_long_and_a_clock_that_steps_back_costs_nothing() {
        let mut bucket = Bucket::full(5000.0, 1.0);
        bucket.take(5000.0, 4.0, 1.0).unwrap();
        let wait = bucket.take(5000.0, 4.0, 1.0).unwrap_err();
        assert_eq!(wait, 250.0);
        assert!(bucket.take(0.0, 4.0, 1.0).is_err());
        assert!(bucket.take(5000.0 + wait, 4.0, 1.0).is_ok());
    }
}
