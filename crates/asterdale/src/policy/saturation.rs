//! Detection of full cores, and the core time that each run receives, from the server's own gauges.

use crate::events::Gauges;
use crate::state::Server;
use crate::task::TaskState;

impl Server {
    /// Evaluates the gauges of a tick.
    pub(super) fn read_gauges(&mut self, now_ms: f64, gauges: Gauges) {
        let cores = self.parameters.cores;
        // The share of a core that each run received: runs, reading and health checks share the cores evenly.
        let share = gauges
            .on_cores
            .map_or(1.0, |demand| (cores / demand.max(1.0)).min(1.0));
        self.core_clock.core_time_ms += share * (now_ms - self.core_clock.last_tick_ms);
        self.core_clock.last_tick_ms = now_ms;
        // The CPU gauge may be missing, late or wrong. With at least as many runs as cores, the cores are full whatever
        // it shows if the median run takes longer than the p95 of uncontended ones, or if the demand is twice the
        // cores, which is as much waiting as the latency buffer allows.
        let all_busy = self.count(TaskState::Running) as f64 >= cores;
        let slow =
            all_busy && (self.limiter.median_ratio > 1.0 || gauges.on_cores >= Some(2.0 * cores));
        // When at most half a core is idle, whatever their number, a queue begins to form. A threshold of nine tenths
        // would be too late with two cores.
        self.limiter.cores_full = gauges
            .cpu
            .map_or(all_busy, |cpu| cpu >= 1.0 - 0.5 / cores || slow);
        self.report.cpu = gauges.cpu.filter(|cpu| cpu.is_finite()).unwrap_or(1.0);
    }
}
