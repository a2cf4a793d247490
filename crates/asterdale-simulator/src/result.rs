//! What came of a run. No wall clock is in it: two runs of one file and seed are alike to the byte.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Tasks that came.
    pub came: u64,
    /// Tries that were sent.
    pub tries: u64,
    /// Tasks that were finished in their due time, and later.
    pub in_time: u64,
    /// See above.
    pub late: u64,
    /// Tasks that failed: their client gave up, or no try was left.
    pub failed: u64,
    /// Tries that were rejected.
    pub rejected: u64,
    /// The part of all cores in use.
    pub cpu: f64,
    /// The mean limit of running tasks over the servers that are there.
    pub limit: f64,
    /// Servers that are there.
    pub up: usize,
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// The utility that was earned, of all that could be.
    pub service: f64,
    /// Tasks that were counted, and how they ended.
    pub tasks: BTreeMap<&'static str, u64>,
    /// Tries for each task.
    pub tries_each: f64,
    /// Quantiles of the finished tasks' times, in milliseconds.
    pub milliseconds: BTreeMap<&'static str, f64>,
    /// The mean of those times.
    pub mean_ms: f64,
    /// Rules that were broken, and how often.
    pub broken: BTreeMap<&'static str, u64>,
    /// Tasks in the fleet on average, over what Little's law makes of rate and time: 1 where the books are right.
    pub little: f64,
    /// Events that happened.
    pub events: u64,
    /// Servers that died.
    pub deaths: u64,
    /// Second by second.
    pub seconds: Vec<Second>,
}

/// Quantiles in milliseconds of a histogram of microseconds.
pub fn quantiles(all: &Histogram<u64>) -> BTreeMap<&'static str, f64> {
    let at = |quantile| all.value_at_quantile(quantile) as f64 / 1e3;
    [
        ("p50", 0.5),
        ("p90", 0.9),
        ("p99", 0.99),
        ("p999", 0.999),
        ("max", 1.0),
    ]
    .into_iter()
    .map(|(name, quantile)| (name, at(quantile)))
    .collect()
}
