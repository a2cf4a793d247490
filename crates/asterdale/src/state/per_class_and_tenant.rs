//! State of each request class and of each tenant.

use super::limiter::{LATENCY_WINDOWS, UPDATE_INTERVAL_MS};
use crate::measure::{Histogram, TimeBuckets};
use crate::parameters::{ClassParameters, TenantParameters};

/// The time over which recent arrivals and rejections are counted: the span of all latency windows.
pub(crate) const RECENT_MS: f64 = LATENCY_WINDOWS as f64 * UPDATE_INTERVAL_MS;

/// A counter of the events of the last [`RECENT_MS`].
pub(crate) fn recent_events(now_ms: f64) -> TimeBuckets {
    TimeBuckets::new(RECENT_MS, LATENCY_WINDOWS, now_ms)
}

/// One request class.
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct ClassState {
    #[cfg_attr(feature = "snapshot", serde(rename = "facts"))]
    pub parameters: ClassParameters,
    /// Core time of runs that were uncontended or began during a pin, per unit of hinted work.
    #[cfg_attr(feature = "snapshot", serde(rename = "calm"))]
    pub uncontended_runs: Histogram,
    /// The p95 of `uncontended_runs`; 0 until there are enough samples.
    #[cfg_attr(feature = "snapshot", serde(rename = "base"))]
    pub base_latency: f64,
}

impl ClassState {
    pub fn new(parameters: &ClassParameters) -> Self {
        ClassState {
            parameters: parameters.clone(),
            uncontended_runs: Histogram::of_latencies(),
            base_latency: 0.0,
        }
    }
}

/// One tenant.
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct TenantState {
    #[cfg_attr(feature = "snapshot", serde(rename = "facts"))]
    pub parameters: TenantParameters,
    #[cfg_attr(feature = "snapshot", serde(rename = "read"))]
    pub recent_arrivals: TimeBuckets,
    /// How many of its tasks are queued.
    #[cfg_attr(feature = "snapshot", serde(rename = "held"))]
    pub queued: usize,
}

impl TenantState {
    pub fn new(parameters: &TenantParameters, now_ms: f64) -> Self {
        TenantState {
            parameters: parameters.clone(),
            recent_arrivals: recent_events(now_ms),
            queued: 0,
        }
    }
}
