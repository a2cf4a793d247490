//! State of the concurrency limiter.

use crate::measure::Histogram;

/// Time between two updates of the limit and of the capacity report, as in the original design of the limiter.
pub(crate) const UPDATE_INTERVAL_MS: f64 = 500.0;
/// The number of latency windows that are retained. Their 4 s are several times the duration of a run, which gives
/// enough samples for a p95.
pub(crate) const LATENCY_WINDOWS: usize = 8;

/// State of `policy::limiter`.
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct LimiterState {
    /// The concurrency limit: running tasks and the queued ones from which the next run is chosen.
    pub limit: f64,
    #[cfg_attr(feature = "snapshot", serde(rename = "next_update"))]
    pub next_update_ms: f64,
    /// The limit is pinned to the cores, to measure base latencies.
    pub pinned: bool,
    #[cfg_attr(feature = "snapshot", serde(rename = "pinned_at"))]
    pub pinned_since_ms: f64,
    #[cfg_attr(feature = "snapshot", serde(rename = "next_pin"))]
    pub next_pin_ms: f64,
    /// The cores were full at the last tick, by the rules of `policy::saturation`.
    pub cores_full: bool,
    /// Ratios of run time to base latency, one histogram for each of the last windows.
    #[cfg_attr(feature = "snapshot", serde(rename = "windows"))]
    pub ratio_windows: Vec<Histogram>,
    #[cfg_attr(feature = "snapshot", serde(rename = "window"))]
    pub current_window: usize,
    /// The highest number of queued and running tasks together, in this window and in the one before.
    #[cfg_attr(feature = "snapshot", serde(rename = "busiest"))]
    pub peak_concurrency: [f64; 2],
    /// The median of recent ratios; 0 while there are none.
    #[cfg_attr(feature = "snapshot", serde(rename = "pace"))]
    pub median_ratio: f64,
    /// Mean time between arrival and reading of recent requests.
    #[cfg_attr(feature = "snapshot", serde(rename = "unread"))]
    pub unread_ms: f64,
    /// The lowest such mean; infinite before the first request.
    #[cfg_attr(feature = "snapshot", serde(rename = "unread_best"))]
    pub min_unread_ms: f64,
    /// Mean run time of recent runs.
    #[cfg_attr(feature = "snapshot", serde(rename = "run_ms"))]
    pub mean_run_ms: f64,
}

impl LimiterState {
    pub fn new(cores: f64, now_ms: f64) -> Self {
        LimiterState {
            limit: cores,
            next_update_ms: now_ms + UPDATE_INTERVAL_MS,
            pinned: false,
            pinned_since_ms: now_ms,
            next_pin_ms: now_ms,
            cores_full: false,
            ratio_windows: vec![Histogram::of_latencies(); LATENCY_WINDOWS],
            current_window: 0,
            peak_concurrency: [0.0; 2],
            median_ratio: 0.0,
            unread_ms: 0.0,
            min_unread_ms: f64::INFINITY,
            mean_run_ms: 0.0,
        }
    }
}
