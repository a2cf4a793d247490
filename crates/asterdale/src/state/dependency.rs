//! State of the calls to the dependency.

use crate::measure::{Histogram, TimeBuckets};
use crate::parameters::{Dependency, Parameters};

/// State of `policy::dependency` and `policy::calls`.
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct DependencyState {
    /// How many calls may be in flight.
    #[cfg_attr(feature = "snapshot", serde(rename = "call_window"))]
    pub window: f64,
    /// Credit for the pacing of calls to a shared dependency: the time that calls may still spend there. No call starts
    /// while it is negative.
    #[cfg_attr(feature = "snapshot", serde(rename = "call_credit"))]
    pub credit_ms: f64,
    /// The fraction of recent calls that failed.
    #[cfg_attr(feature = "snapshot", serde(rename = "call_fails"))]
    pub failure_share: f64,
    #[cfg_attr(feature = "snapshot", serde(rename = "cut_at"))]
    pub last_cut_ms: f64,
    /// Mean duration of recent calls.
    #[cfg_attr(feature = "snapshot", serde(rename = "call_ms"))]
    pub mean_call_ms: f64,
    /// Durations of successful calls, over a longer time than the mean.
    #[cfg_attr(feature = "snapshot", serde(rename = "call_times"))]
    pub call_durations: Histogram,
    /// For each call that was given up and may still linger: the latest time at which it can be in progress.
    #[cfg_attr(feature = "snapshot", serde(rename = "lingering"))]
    pub lingering_until_ms: Vec<f64>,
    /// Number of calls in flight times their duration, over the dependency's averaging window.
    #[cfg_attr(feature = "snapshot", serde(rename = "call_time"))]
    pub spent_ms: TimeBuckets,
}

impl DependencyState {
    pub fn new(parameters: &Parameters, now_ms: f64) -> Self {
        DependencyState {
            // The window grows as it is used. With two calls, one can measure the dependency's latency while another
            // is in flight.
            window: if parameters.dependency == Dependency::Shared {
                2.0
            } else {
                parameters.cores
            },
            credit_ms: 0.0,
            failure_share: 0.0,
            last_cut_ms: now_ms,
            mean_call_ms: 0.0,
            call_durations: Histogram::of_latencies(),
            lingering_until_ms: Vec::new(),
            // 21 buckets of a twentieth of the window each, as the current one is only partly filled.
            spent_ms: TimeBuckets::new(1.05 * parameters.dependency_window_ms, 21, now_ms),
        }
    }
}
