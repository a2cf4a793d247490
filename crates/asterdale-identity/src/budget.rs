//! What checking signatures may cost. A signature costs some 50 µs; a fifth of a core that is asked to check
//! ever new wrong ones would do nothing else. Each edge node has a bucket, and all have one together: half of
//! that is only for those who have lately brought a token that was good. So numbers made up by the thousand, or
//! one edge node with a flood behind it, can't use up what the others need. Known tokens need no signature, and
//! don't come here.

use std::collections::HashMap;

/// Edge nodes that are told apart. Far more than there are; beyond that the one whose bucket has been full for
/// longest is forgotten, which costs it nothing.
const MAX_EDGE_NODES: usize = 1024;
/// A wrong signature costs as much as so many right ones: guessing is slowed, arriving customers are not.
const INVALID_SIGNATURE_COST: f64 = 4.0;
/// An edge node that brought a good token this recently, in milliseconds, is in good standing.
const TRUST_PERIOD_MS: f64 = 60_000.0;
/// Buckets hold what comes in so many seconds: customers come in waves.
const BURST_S: f64 = 2.0;

/// A token bucket: so many a second come in, it holds no more than its burst.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    level: f64,
    updated_ms: f64,
}

impl TokenBucket {
    /// A full one.
    pub fn full(now: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            level: burst,
            updated_ms: now,
        }
    }

    fn refill(&mut self, now: f64, per_s: f64, burst: f64) {
        // A time that steps back fills nothing, and takes nothing away.
        self.level = (self.level + (now - self.updated_ms).max(0.0) * per_s / 1000.0).min(burst);
        self.updated_ms = self.updated_ms.max(now);
    }

    /// Takes one, or tells in how many milliseconds there will be one.
    pub fn try_take(&mut self, now: f64, per_s: f64, burst: f64) -> Result<(), f64> {
        self.refill(now, per_s, burst);
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

struct EdgeNode {
    bucket: TokenBucket,
    last_valid_ms: f64,
}

/// What is left for signatures.
pub struct SignatureBudget {
    per_edge_per_s: f64,
    total_per_s: f64,
    edges: HashMap<u32, EdgeNode>,
    /// For edge nodes that have not brought a good token lately, and for those that have.
    untrusted_pool: TokenBucket,
    trusted_pool: TokenBucket,
}

impl SignatureBudget {
    /// So many signatures a second for each edge node, and in all.
    pub fn new(now: f64, per_edge: f64, in_all: f64) -> SignatureBudget {
        let half = TokenBucket::full(now, BURST_S * in_all / 2.0);
        SignatureBudget {
            per_edge_per_s: per_edge,
            total_per_s: in_all,
            edges: HashMap::new(),
            untrusted_pool: half,
            trusted_pool: half,
        }
    }

    /// Other rates from now on. Levels stay.
    pub fn reconfigure(&mut self, per_edge: f64, in_all: f64) {
        (self.per_edge_per_s, self.total_per_s) = (per_edge, in_all);
    }

    fn pool(&mut self, good: bool) -> &mut TokenBucket {
        if good {
            &mut self.trusted_pool
        } else {
            &mut self.untrusted_pool
        }
    }

    /// Whether a signature may be checked for this edge node; if not, in how many milliseconds.
    pub fn try_take(&mut self, now: f64, edge: u32) -> Result<(), f64> {
        let (per_edge, half) = (self.per_edge_per_s, self.total_per_s / 2.0);
        if self.edges.len() >= MAX_EDGE_NODES && !self.edges.contains_key(&edge) {
            let fullest = self
                .edges
                .iter()
                .min_by(|a, b| a.1.bucket.updated_ms.total_cmp(&b.1.bucket.updated_ms));
            if let Some(idle) = fullest.map(|(&edge, _)| edge) {
                self.edges.remove(&idle);
            }
        }
        let known = self.edges.entry(edge).or_insert(EdgeNode {
            bucket: TokenBucket::full(now, BURST_S * per_edge),
            last_valid_ms: f64::NEG_INFINITY,
        });
        known.bucket.try_take(now, per_edge, BURST_S * per_edge)?;
        let good = now - known.last_valid_ms < TRUST_PERIOD_MS;
        let taken = self.pool(good).try_take(now, half, BURST_S * half);
        // Those in good standing may use what the others leave, not the other way about.
        match taken {
            Err(_) if good => self.untrusted_pool.try_take(now, half, BURST_S * half),
            taken => taken,
        }
    }

    /// How a signature turned out that was taken for this edge node.
    pub fn record_result(&mut self, now: f64, edge: u32, right: bool) {
        let (per_edge, half) = (self.per_edge_per_s, self.total_per_s / 2.0);
        let Some(known) = self.edges.get_mut(&edge) else {
            return;
        };
        if right {
            known.last_valid_ms = now;
        } else {
            known
                .bucket
                .charge(INVALID_SIGNATURE_COST - 1.0, BURST_S * per_edge);
            let good = now - known.last_valid_ms < TRUST_PERIOD_MS;
            self.pool(good)
                .charge(INVALID_SIGNATURE_COST - 1.0, BURST_S * half);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Offers so many a second for ten seconds; how many were checked.
    fn offer(
        budget: &mut SignatureBudget,
        from: f64,
        per_s: u32,
        right: bool,
        edge: impl Fn(u32) -> u32,
    ) -> u32 {
        (0..10 * per_s)
            .filter(|&n| {
                let now = from + f64::from(n) * 1000.0 / f64::from(per_s);
                let taken = budget.try_take(now, edge(n)).is_ok();
                if taken {
                    budget.record_result(now, edge(n), right);
                }
                taken
            })
            .count() as u32
    }

    #[test]
    fn right_ones_pass_at_the_rate_of_their_edge_node_and_wrong_ones_at_a_quarter() {
        let mut budget = SignatureBudget::new(0.0, 20.0, 1000.0);
        assert!((200..=240).contains(&offer(&mut budget, 0.0, 500, true, |_| 1)));
        let mut budget = SignatureBudget::new(0.0, 20.0, 1000.0);
        assert!((50..=60).contains(&offer(&mut budget, 0.0, 500, false, |_| 1)));
    }

    #[test]
    fn numbers_made_up_by_the_thousand_leave_half_for_those_in_good_standing() {
        let mut budget = SignatureBudget::new(0.0, 20.0, 100.0);
        assert_eq!(offer(&mut budget, 0.0, 10, true, |_| 1), 100);
        let (mut good, mut bad) = (0, 0);
        for n in 0..20_000u32 {
            let now = 10_000.0 + f64::from(n) / 2.0;
            if budget.try_take(now, 1000 + n).is_ok() {
                bad += 1;
                budget.record_result(now, 1000 + n, false);
            }
            if n % 200 == 0 {
                good += budget.try_take(now, 1).is_ok() as u32;
                budget.record_result(now, 1, true);
            }
        }
        assert_eq!(good, 100, "the edge node in good standing lost some");
        assert!(bad <= 200, "{bad} wrong ones were checked in 10 s");
        assert!(budget.edges.len() <= MAX_EDGE_NODES);
    }

    #[test]
    fn one_that_must_wait_is_told_how_long_and_a_clock_that_steps_back_costs_nothing() {
        let mut bucket = TokenBucket::full(5000.0, 1.0);
        bucket.try_take(5000.0, 4.0, 1.0).unwrap();
        let wait = bucket.try_take(5000.0, 4.0, 1.0).unwrap_err();
        assert_eq!(wait, 250.0);
        assert!(bucket.try_take(0.0, 4.0, 1.0).is_err());
        assert!(bucket.try_take(5000.0 + wait, 4.0, 1.0).is_ok());
    }
}
