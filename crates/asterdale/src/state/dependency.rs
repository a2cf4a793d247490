//! State of the calls to the dependency.

use crate::measure::{Histogram, TimeBuckets};
use crate::parameters::{Dependency, Parameters};

/// What `policy::dependency` and `policy::calls` record.
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct DependencyState {
    /// How many calls may be in flight.
    #[cfg_attr(feature = "snapshot", serde(rename = "call_window"))]
    pub window: f64,
    /// Time that calls may still spend at a shared dependency; while it is negative no call goes out.
    #[cfg_attr(feature = "snapshot", serde(rename = "call_credit"))]
    pub credit_ms: f64,
    /// The part of recent calls that failed.
    #[cfg_attr(feature = "snapshot", serde(rename = "call_fails"))]
    pub failure_share: f64,
    #[cfg_attr(feature = "snapshot", serde(rename = "cut_at"))]
    pub last_cut_ms: f64,
    /// Mean duration of recent calls.
    #[cfg_attr(feature = "snapshot", serde(rename = "call_ms"))]
    pub mean_call_ms: f64,
    /// Durations of the calls that succeeded, over a longer time.
    #[cfg_attr(feature = "snapshot", serde(rename = "call_times"))]
    pub call_durations: Histogram,
    /// Calls that were given up and may still be in flight: when each has ended for sure.
    #[cfg_attr(feature = "snapshot", serde(rename = "lingering"))]
    pub lingering_until_ms: Vec<f64>,
    /// Calls in flight times their duration, over the dependency's averaging window.
    #[cfg_attr(feature = "snapshot", serde(rename = "call_time"))]
    pub spent_ms: TimeBuckets,
}

impl DependencyState {
    pub fn new(parameters: &Parameters, now_ms: f64) -> Self {
        DependencyState {
            // Grown as it is used; with two, one call can time the dependency while another is in flight.
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
            // 21 buckets of a twentieth of the window: the current one is only partly filled.
            spent_ms: TimeBuckets::new(1.05 * parameters.dependency_window_ms, 21, now_ms),
        }
    }
}
