//! Proofs: each runs real daemons on loopback, with load and faults drawn from a seed, and an oracle that shares no
//! code with the daemon that it checks. The verdict follows from counts and rules, never from a measured time.

pub mod fleet;
mod keyed_load;
pub mod restarts;
pub mod rotation;
pub mod takeover;
pub mod upgrade;

use hdrhistogram::Histogram;
use serde_json::{json, Value};

/// The configuration that all proofs share.
#[derive(Clone)]
pub struct ProofConfig {
    /// Seed of the load and the faults.
    pub seed: u64,
    /// Duration of the load in seconds, for a proof whose duration does not follow from its faults.
    pub seconds: u64,
    /// The failpoint that is active in the daemons; the proof must then fail.
    pub failpoint: Option<String>,
}

/// A histogram of durations of up to one minute, recorded in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3)
        .unwrap_or_else(|e| panic!("bounds of a histogram: {e}"))
}

/// Quantiles of a histogram, in milliseconds.
pub fn quantiles(durations: &Histogram<u64>) -> Value {
    let quantile_ms =
        |quantile| (durations.value_at_quantile(quantile) as f64 / 10.0).round() / 100.0;
    json!({"p50": quantile_ms(0.5), "p90": quantile_ms(0.9), "p99": quantile_ms(0.99), "p999": quantile_ms(0.999), "max": quantile_ms(1.0)})
}
