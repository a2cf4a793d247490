//! Proofs: real daemons on loopback, load and faults drawn from a seed, and an oracle that shares no code with
//! what it checks. Counts and rules give the verdict, never a time.

pub mod fleet;
mod keyed_load;
pub mod restarts;
pub mod rotation;
pub mod takeover;
pub mod upgrade;

use hdrhistogram::Histogram;
use serde_json::{json, Value};

/// What a proof is told.
#[derive(Clone)]
pub struct ProofConfig {
    /// Load and faults are drawn from it.
    pub seed: u64,
    /// How long the load lasts.
    pub seconds: u64,
    /// The failpoint that is active in the daemon: the proof must not hold then.
    pub failpoint: Option<String>,
}

/// A histogram of milliseconds, in microseconds inside, up to a minute.
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
