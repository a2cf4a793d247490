//! The concurrency limit: a gradient limiter over run latencies, with a base latency that is measured while the limit
//! is pinned to the cores. `docs/design.md` names the original design and the differences from it.

use crate::measure::Histogram;
use crate::state::{ClassState, LimiterState, Server, LATENCY_WINDOWS};
use crate::task::{Task, TaskState};

/// Time between two pins; up to half as much is added at random, as in the original design of the limiter.
const PIN_INTERVAL_MS: f64 = 180_000.0;
/// How far the p95 of latencies may exceed the base: a run may take twice its base latency, half of it waiting.
const LATENCY_BUFFER: f64 = 2.0;
/// The minimum number of samples for a p95.
const MIN_SAMPLES: u32 = 20;
/// The number of samples of a class after which the counts of older ones are halved.
const MAX_SAMPLES: u32 = 500;
/// A pin ends after this many runs of all classes together.
const PINNED_RUNS: u32 = 60;
/// Fraction of the survivable concurrency that is used. The rest is a margin, as the concurrency is an average and
/// tasks return from calls between two ticks.
const SURVIVABLE_FRACTION: f64 = 0.8;
/// Weight of a new sample in the means of run times and of unread times.
const MEAN_WEIGHT: f64 = 0.05;

impl LimiterState {
    /// Records the time between arrival and reading of a request.
    pub(super) fn record_unread(&mut self, unread_ms: f64, tick_ms: f64) {
        let weight = if self.min_unread_ms.is_finite() {
            MEAN_WEIGHT
        } else {
            1.0
        };
        self.unread_ms += weight * (unread_ms - self.unread_ms);
        self.min_unread_ms = self.min_unread_ms.min(self.unread_ms.max(tick_ms.max(1.0)));
    }

    fn start_window(&mut self) {
        self.peak_concurrency = [0.0, self.peak_concurrency[0]];
        self.min_unread_ms *= 1.01; // an unusually low minimum loses its effect in about a minute
        self.current_window = (self.current_window + 1) % LATENCY_WINDOWS;
        self.ratio_windows[self.current_window] = Histogram::of_latencies();
    }
}

impl Server {
    /// Draws the time until the limit is pinned next.
    pub(super) fn draw_pin_interval_ms(&mut self) -> f64 {
        PIN_INTERVAL_MS * (1.0 + 0.5 * self.rng.next())
    }

    /// The fraction of its full speed that the server is guaranteed to have; it grows linearly over the slow start.
    fn guaranteed_speed(&self, now_ms: f64) -> f64 {
        let parameters = &self.parameters;
        if !parameters.slow_start || now_ms >= self.runtime_started_ms + parameters.slow_start_ms {
            return 1.0;
        }
        parameters.slow_start_share
            + (1.0 - parameters.slow_start_share) * (now_ms - self.runtime_started_ms)
                / parameters.slow_start_ms
    }

    /// How many tasks may be running or at a call, as all of them could need a core at the same time.
    pub(super) fn max_concurrency(&self) -> f64 {
        let over_cores =
            (self.parameters.overload_factor - 1.0) * self.guaranteed_speed(self.last_event_ms);
        (SURVIVABLE_FRACTION * self.parameters.cores * (1.0 + over_cores)).max(1.0)
    }

    /// How many tasks of the limit may run. `LATENCY_BUFFER` allows latency to double, so half of it is waiting. With
    /// full cores that half is spent in the queue, where the order can be chosen, and not on the cores, where
    /// concurrency costs speed.
    pub(super) fn max_running(&self) -> f64 {
        let limiter = &self.limiter;
        if !limiter.cores_full {
            return limiter.limit;
        }
        // Reading shares the cores with runs, and a request that is read late has little value left. When requests are
        // unread for over half a run and over twice the minimum, fewer tasks may run: down to half, or to less where
        // reading costs under an eighth of a run. Where reading is expensive, half is the minimum, as quick rejections
        // lead to more requests to read.
        let min_fraction = (4.0 * limiter.min_unread_ms / limiter.mean_run_ms)
            .clamp((1.0 / self.parameters.cores).min(0.5), 0.5);
        let run_fraction = ((2.0 * limiter.min_unread_ms).max(0.5 * limiter.mean_run_ms)
            / limiter.unread_ms)
            .clamp(min_fraction, 1.0);
        // At least one run, also with one core.
        ((limiter.limit / 2.0).max(self.parameters.cores) * run_fraction).max(1.0)
    }

    /// Ends a latency window and sets the limit by the latencies of recent runs.
    pub(super) fn update_limit(&mut self, now_ms: f64) {
        let recent = self.recent_ratios(now_ms);
        // Without any sample the ratio is reset, so that a server that rejects all work as too slow tries again.
        self.limiter.median_ratio = if recent.total > 0 {
            recent.quantile(0.5)
        } else {
            0.0
        };
        let has_base = self.classes.iter().any(|class| class.base_latency > 0.0);
        self.apply_gradient(&recent, has_base);
        let limiter = &mut self.limiter;
        if limiter.cores_full && !limiter.pinned && (!has_base || now_ms >= limiter.next_pin_ms) {
            (limiter.pinned, limiter.pinned_since_ms) = (true, now_ms);
            for class in &mut self.classes {
                class.uncontended_runs = Histogram::of_latencies();
            }
        }
        let cores = self.parameters.cores;
        self.limiter.limit = self
            .limiter
            .limit
            .clamp(cores, self.max_concurrency().max(cores));
        self.limiter.start_window();
    }

    /// Ratios of run time to base latency, of unfinished slow runs and of the newest windows.
    fn recent_ratios(&self, now_ms: f64) -> Histogram {
        // Runs that take over twice their base latency count before they end: when work stops or becomes very slow no
        // run ends, and a window that is empty for that reason doesn't mean low latency.
        let mut recent = Histogram::of_latencies();
        for &handle in &self.active {
            let task = &self.tasks[handle.index()];
            let ratio = task.run_ms(now_ms) / self.base_latency(task).max(1e-9);
            if task.state == TaskState::Running
                && self.base_latency(task) > 0.0
                && ratio > LATENCY_BUFFER
            {
                recent.add(ratio);
            }
        }
        // The duration of a run is a large part of a window, so one window has too few samples for a p95.
        for age in 0..LATENCY_WINDOWS {
            if recent.total < MIN_SAMPLES {
                let window =
                    (self.limiter.current_window + LATENCY_WINDOWS - age) % LATENCY_WINDOWS;
                recent.merge(&self.limiter.ratio_windows[window]);
            }
        }
        recent
    }

    /// Multiplies the limit by the latency gradient and adds the square root of the product as headroom.
    fn apply_gradient(&mut self, recent: &Histogram, has_base: bool) {
        // Latencies are measured with `max_running` concurrent runs. With as many as the limit they would be longer in
        // proportion.
        let sample = recent.quantile(0.95) * (self.limiter.limit / self.max_running()).min(2.0);
        let gradient = if sample > 0.0 {
            (LATENCY_BUFFER / sample).clamp(0.5, 2.0)
        } else {
            1.0
        };
        let limiter = &mut self.limiter;
        // The limit grows to at most 1.5 times the recent peak: one far beyond the concurrency that has been tested
        // would let a burst overload the cores before the first latency is measured.
        let peak = limiter.peak_concurrency[0].max(limiter.peak_concurrency[1]);
        let max_tested = 1.5 * peak.max(self.parameters.cores);
        // While cores are idle the limit never falls, and grows at each update.
        let growth = if has_base { gradient.max(1.0) } else { 2.0 };
        let scaled = limiter.limit * if limiter.cores_full { gradient } else { growth };
        if limiter.cores_full && limiter.pinned {
            limiter.limit = self.parameters.cores;
        } else if !limiter.cores_full || recent.total > 0 {
            limiter.limit = (scaled + scaled.sqrt()).min(max_tested.max(limiter.limit));
        }
    }

    /// Records a successful run as a sample for the window, and for the base latency if it was uncontended or began
    /// during a pin.
    pub(super) fn record_run(&mut self, task: &Task, now_ms: f64) {
        let run_ms = task.run_ms(now_ms);
        self.limiter.mean_run_ms += MEAN_WEIGHT * (run_ms - self.limiter.mean_run_ms);
        if self.base_latency(task) > 0.0 {
            let ratio = run_ms / self.base_latency(task);
            self.limiter.ratio_windows[self.limiter.current_window].add(ratio);
        }
        // Core times of a slow start are scaled by the guaranteed speed; unscaled they would raise the base latency for
        // minutes.
        let core_ms = task.used_core_ms + self.core_clock.core_time_ms - task.resumed_at_core_ms;
        let unit_core_ms = core_ms * self.guaranteed_speed(now_ms)
            / task.arrival.cost_hint_ms.unwrap_or(1.0).max(1e-3);
        let (pinned, pinned_since_ms) = (self.limiter.pinned, self.limiter.pinned_since_ms);
        let class = &mut self.classes[task.arrival.class];
        // Runs of over three times the base latency indicate a fault and not a new base; only a pin may raise it that
        // far.
        if !(task.uncontended || (pinned && task.started_ms >= pinned_since_ms))
            || (!pinned && class.base_latency > 0.0 && unit_core_ms > 3.0 * class.base_latency)
        {
            return;
        }
        class.add_uncontended_run(unit_core_ms);
        let samples = self
            .classes
            .iter()
            .map(|class| class.uncontended_runs.total);
        if pinned && samples.sum::<u32>() >= PINNED_RUNS {
            self.limiter.pinned = false;
            self.limiter.next_pin_ms = now_ms + self.draw_pin_interval_ms();
        }
    }

    /// The base latency of a class; a class that has none yet gets the largest of the others.
    pub(super) fn base_latency_or_largest(&self, class: &ClassState) -> f64 {
        if class.base_latency > 0.0 {
            return class.base_latency;
        }
        let base_latencies = self.classes.iter().map(|class| class.base_latency);
        base_latencies.fold(0.0, f64::max)
    }

    /// The base latency of a task: that of its class, times its cost hint if there is one. 0 if unknown.
    fn base_latency(&self, task: &Task) -> f64 {
        let class = self.class(task);
        task.arrival
            .cost_hint_ms
            .map_or(class.base_latency, |hint| {
                hint * self.base_latency_or_largest(class)
            })
    }

    /// How long a task would run if it started now; 0 while that is unknown.
    pub(super) fn expected_run_ms(&self, task: &Task) -> f64 {
        self.base_latency(task) * self.limiter.median_ratio
    }
}

impl ClassState {
    fn add_uncontended_run(&mut self, unit_core_ms: f64) {
        self.uncontended_runs.add(unit_core_ms);
        // The original design of the limiter waits for 500 runs, which would take minutes here.
        if self.uncontended_runs.total >= MIN_SAMPLES {
            self.base_latency = self.uncontended_runs.quantile(0.95);
        }
        if self.uncontended_runs.total >= MAX_SAMPLES {
            self.uncontended_runs.halve();
        }
    }
}
