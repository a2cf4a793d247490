//! Report of one run. It holds no wall-clock times: the same experiment and seed give the same bytes.
//!
//! The serialized names are the command's output format and differ from the fields' names.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// One simulated second of a run. Requests are counted in the second in which the event happens.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SecondReport {
    /// Requests that arrived.
    #[serde(rename = "came")]
    pub arrived: u64,
    /// Attempts that edge nodes sent.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Requests that were served within their latency objective.
    #[serde(rename = "in_time")]
    pub met_objective: u64,
    /// Requests that were served after their latency objective.
    #[serde(rename = "late")]
    pub missed_objective: u64,
    /// Requests that failed: the client timed out, or no retry was left.
    pub failed: u64,
    /// Attempts that were rejected.
    pub rejected: u64,
    /// CPU utilization over the cores of all servers, from 0 to 1.
    #[serde(rename = "cpu")]
    pub cpu_utilization: f64,
    /// Mean concurrency limit of the servers that are up and have one.
    #[serde(rename = "limit")]
    pub mean_limit: f64,
    /// Servers that are up at the end of the second.
    #[serde(rename = "up")]
    pub servers_up: usize,
}

/// Report of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunReport {
    /// Earned weight as a share of the possible weight, from 0 to 1.
    #[serde(rename = "service")]
    pub earned_share: f64,
    /// Counted requests in all (`came`) and by their end. Requests of the warm-up are not counted.
    #[serde(rename = "tasks")]
    pub requests: BTreeMap<&'static str, u64>,
    /// Mean number of attempts per request.
    #[serde(rename = "tries_each")]
    pub attempts_per_request: f64,
    /// Latency quantiles of the served requests, in milliseconds.
    #[serde(rename = "milliseconds")]
    pub latency_ms: BTreeMap<&'static str, f64>,
    /// Mean latency of the served requests, in milliseconds.
    #[serde(rename = "mean_ms")]
    pub mean_latency_ms: f64,
    /// Violations of the servers' guarantees, and how often each happened.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<&'static str, u64>,
    /// Mean number of requests in the fleet relative to the value that Little's law gives. 1 if the accounting is right.
    #[serde(rename = "little")]
    pub little_law_ratio: f64,
    /// Events that were scheduled.
    pub events: u64,
    /// Servers that crashed from overload.
    #[serde(rename = "deaths")]
    pub overload_crashes: u64,
    /// Each simulated second.
    pub seconds: Vec<SecondReport>,
}

/// Quantiles of a histogram of microseconds, in milliseconds.
pub fn quantiles_ms(histogram_us: &Histogram<u64>) -> BTreeMap<&'static str, f64> {
    [
        ("p50", 0.5),
        ("p90", 0.9),
        ("p99", 0.99),
        ("p999", 0.999),
        ("max", 1.0),
    ]
    .into_iter()
    .map(|(name, quantile)| (name, histogram_us.value_at_quantile(quantile) as f64 / 1e3))
    .collect()
}
