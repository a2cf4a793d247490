//! Whether the cores are full, and how much core time each run got, by the server's own gauges.

use crate::events::Gauges;
use crate::state::Server;
use crate::task::TaskState;

impl Server {
    /// Reads the gauges of a tick.
    pub(super) fn read_gauges(&mut self, now_ms: f64, gauges: Gauges) {
        let cores = self.parameters.cores;
        // The share of a core that each run got: reading, health checks and runs divide the cores evenly.
        let share = gauges
            .on_cores
            .map_or(1.0, |wanting| (cores / wanting.max(1.0)).min(1.0));
        self.core_clock.core_time_ms += share * (now_ms - self.core_clock.last_tick_ms);
        self.core_clock.last_tick_ms = now_ms;
        // A gauge may be missing, late or wrong. With a run on every core, and the median run longer than the p95 of
        // uncontended ones or as much waiting there as the buffer allows, the cores are full whatever it shows.
        let all_busy = self.count(TaskState::Running) as f64 >= cores;
        let slow =
            all_busy && (self.limiter.median_ratio > 1.0 || gauges.on_cores >= Some(2.0 * cores));
        // With half a core idle, of however many, a queue is forming; of two cores, nine tenths is late, by trial.
        self.limiter.cores_full = gauges
            .cpu
            .map_or(all_busy, |cpu| cpu >= 1.0 - 0.5 / cores || slow);
        self.report.cpu = gauges.cpu.filter(|cpu| cpu.is_finite()).unwrap_or(1.0);
    }
}
