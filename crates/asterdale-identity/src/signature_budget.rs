//! Limit on the CPU time for verifying signatures.
//!
//! A verification takes about 50 µs, so a flood of new invalid tokens could occupy a core. Each edge node has a token
//! bucket, and all edge nodes share two pools of half the total rate each: one for edge nodes that recently forwarded a
//! valid token (trusted), one for the others. Thus neither many forged edge node numbers nor a flood through one edge
//! node uses up the budget that trusted edge nodes need. Cached tokens need no verification and are not limited.

use std::collections::HashMap;

use crate::token_bucket::TokenBucket;

/// The maximum number of edge nodes that are tracked, far more than there are. Beyond it, the one that has been idle
/// for longest is removed: its bucket is full again, so it loses no budget.
const MAX_EDGE_NODES: usize = 1024;
/// The cost of an invalid signature, in valid ones. It slows down guessing without slowing down valid callers.
const INVALID_SIGNATURE_COST: f64 = 4.0;
/// How long an edge node stays trusted after a valid token, in milliseconds.
const TRUST_PERIOD_MS: f64 = 60_000.0;
/// The size of the buckets, in seconds of their rate: callers arrive in bursts.
const BURST_S: f64 = 2.0;

struct EdgeNode {
    bucket: TokenBucket,
    /// When it last forwarded a valid token that was not cached, in milliseconds.
    last_valid_ms: f64,
}

impl EdgeNode {
    fn is_trusted(&self, now_ms: f64) -> bool {
        now_ms - self.last_valid_ms < TRUST_PERIOD_MS
    }
}

/// The budget for verifying signatures.
pub(crate) struct SignatureBudget {
    per_edge_per_s: f64,
    total_per_s: f64,
    edges: HashMap<u32, EdgeNode>,
    untrusted_pool: TokenBucket,
    trusted_pool: TokenBucket,
}

impl SignatureBudget {
    /// A full budget with these rates of signatures per second, for each edge node and in total.
    pub fn new(now_ms: f64, per_edge_per_s: f64, total_per_s: f64) -> SignatureBudget {
        let pool = TokenBucket::full(now_ms, BURST_S * total_per_s / 2.0);
        SignatureBudget {
            per_edge_per_s,
            total_per_s,
            edges: HashMap::new(),
            untrusted_pool: pool,
            trusted_pool: pool,
        }
    }

    /// Changes the rates. The levels of the buckets stay.
    pub fn reconfigure(&mut self, per_edge_per_s: f64, total_per_s: f64) {
        (self.per_edge_per_s, self.total_per_s) = (per_edge_per_s, total_per_s);
    }

    /// Takes one signature verification from the budget for this edge node.
    ///
    /// # Errors
    /// The milliseconds until one is available.
    pub fn try_take(&mut self, now_ms: f64, edge_node: u32) -> Result<(), f64> {
        let (edge_rate, pool_rate) = (self.per_edge_per_s, self.total_per_s / 2.0);
        self.make_space_for(edge_node);
        let edge = self.edges.entry(edge_node).or_insert(EdgeNode {
            bucket: TokenBucket::full(now_ms, BURST_S * edge_rate),
            last_valid_ms: f64::NEG_INFINITY,
        });
        edge.bucket
            .try_take(now_ms, edge_rate, BURST_S * edge_rate)?;
        let is_trusted = edge.is_trusted(now_ms);
        let taken = self
            .pool(is_trusted)
            .try_take(now_ms, pool_rate, BURST_S * pool_rate);
        // Trusted edge nodes may use what the untrusted ones leave, but not vice versa.
        match taken {
            Err(_) if is_trusted => {
                self.untrusted_pool
                    .try_take(now_ms, pool_rate, BURST_S * pool_rate)
            }
            taken => taken,
        }
    }

    /// Records the result of a verification that was taken from the budget for this edge node.
    pub fn record_result(&mut self, now_ms: f64, edge_node: u32, is_valid: bool) {
        let (edge_rate, pool_rate) = (self.per_edge_per_s, self.total_per_s / 2.0);
        let Some(edge) = self.edges.get_mut(&edge_node) else {
            return;
        };
        if is_valid {
            edge.last_valid_ms = now_ms;
            return;
        }
        let surcharge = INVALID_SIGNATURE_COST - 1.0;
        edge.bucket.charge(surcharge, BURST_S * edge_rate);
        let is_trusted = edge.is_trusted(now_ms);
        self.pool(is_trusted).charge(surcharge, BURST_S * pool_rate);
    }

    fn pool(&mut self, is_trusted: bool) -> &mut TokenBucket {
        if is_trusted {
            &mut self.trusted_pool
        } else {
            &mut self.untrusted_pool
        }
    }

    /// Removes the edge node that has been idle for longest, if `edge_node` is new and there is no space for it.
    fn make_space_for(&mut self, edge_node: u32) {
        if self.edges.len() < MAX_EDGE_NODES || self.edges.contains_key(&edge_node) {
            return;
        }
        let longest_idle = self
            .edges
            .iter()
            .min_by(|(_, left), (_, right)| {
                left.bucket.updated_ms.total_cmp(&right.bucket.updated_ms)
            })
            .map(|(&number, _)| number);
        if let Some(number) = longest_idle {
            self.edges.remove(&number);
        }
    }
}

#[cfg(test)]
mod tests;
