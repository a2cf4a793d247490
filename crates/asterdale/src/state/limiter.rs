//! State of the concurrency limiter.

use crate::measure::Histogram;

/// Time between two updates of the limit and of what is reported, as in the limiter's design.
pub(crate) const UPDATE_INTERVAL_MS: f64 = 500.0;
/// Windows of latencies that are retained: 4 s are several times as long as a run, enough samples for a p95.
pub(crate) const LATENCY_WINDOWS: usize = 8;

/// What `policy::limiter` records.
#[cfg_attr(feature = "snapshot", derive(serde::Serialize, serde::Deserialize))]
pub(crate) struct LimiterState {
    /// Runs, and tasks queued to choose from, that the server takes at once.
    pub limit: f64,
    #[cfg_attr(feature = "snapshot", serde(rename = "next_update"))]
    pub next_update_ms: f64,
    /// The limit is pinned to the cores, to measure base latencies.
    pub pinned: bool,
    #[cfg_attr(feature = "snapshot", serde(rename = "pinned_at"))]
    pub pinned_since_ms: f64,
    #[cfg_attr(feature = "snapshot", serde(rename = "next_pin"))]
    pub next_pin_ms: f64,
    /// No core was idle at the last tick.
    pub cores_full: bool,
    /// Ratios of run time over base latency, a histogram for each of the last windows.
    #[cfg_attr(feature = "snapshot", serde(rename = "windows"))]
    pub ratio_windows: Vec<Histogram>,
    #[cfg_attr(feature = "snapshot", serde(rename = "window"))]
    pub current_window: usize,
    /// The most tasks that were queued and running at once, in this window and in the one before.
    #[cfg_attr(feature = "snapshot", serde(rename = "busiest"))]
    pub peak_concurrency: [f64; 2],
    /// The median of recent ratios; 0 while there are none.
    #[cfg_attr(feature = "snapshot", serde(rename = "pace"))]
    pub median_ratio: f64,
    /// Mean time that recent requests lay unread.
    #[cfg_attr(feature = "snapshot", serde(rename = "unread"))]
    pub unread_ms: f64,
    /// The lowest such mean; infinite before the first request.
    #[cfg_attr(feature = "snapshot", serde(rename = "unread_best"))]
    pub min_unread_ms: f64,
    /// Mean time of recent runs.
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
