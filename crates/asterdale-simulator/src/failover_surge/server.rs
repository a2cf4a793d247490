//! A modelled server of the failover surge: its running requests share the cores equally.

/// Cores of a server.
pub(super) const CORES: f64 = 4.0;
/// Orphaned requests that may run per core, and per idle core that is offered. The engine has the same factor.
pub(super) const TAKEOVERS_PER_CORE: f64 = 2.0;

/// One request that runs on a server.
pub(super) struct Execution {
    pub(super) key: Vec<u8>,
    pub(super) fence: u64,
    /// Work of the request, in milliseconds of one core.
    pub(super) work_ms: f64,
    /// Part of the work that is still to be done.
    pub(super) remaining_ms: f64,
    pub(super) started_ms: f64,
    /// Deadline of an orphaned request that this server claimed; `None` for the server's own requests.
    pub(super) orphan_deadline_ms: Option<f64>,
}

#[derive(Default)]
pub(super) struct Server {
    pub(super) is_crashed: bool,
    /// Epoch of the server's lease.
    pub(super) epoch: u64,
    executions: Vec<Execution>,
    /// Claimed orphaned requests among the executions.
    takeovers: usize,
}

impl Server {
    /// Stops the server and drops its requests. Returns how many there were.
    pub(super) fn crash(&mut self) -> usize {
        self.is_crashed = true;
        self.executions.drain(..).count()
    }

    pub(super) fn start(&mut self, execution: Execution) {
        self.takeovers += usize::from(execution.orphan_deadline_ms.is_some());
        self.executions.push(execution);
    }

    /// Number of orphaned requests that the server may claim now.
    pub(super) fn takeover_capacity(&self) -> usize {
        let idle_cores = (CORES - self.executions.len() as f64).max(0.0);
        let until_limit = TAKEOVERS_PER_CORE * CORES - self.takeovers as f64;
        let capacity = (TAKEOVERS_PER_CORE * idle_cores).min(until_limit);
        capacity.max(0.0).ceil() as usize
    }

    /// Running requests per core.
    pub(super) fn concurrency(&self) -> f64 {
        self.executions.len() as f64 / CORES
    }

    /// Runs the requests for this long. Removes and returns those that complete, in the order of their start.
    pub(super) fn advance(&mut self, step_ms: f64) -> Vec<Execution> {
        let progress_ms = (CORES / self.executions.len().max(1) as f64).min(1.0) * step_ms;
        for execution in &mut self.executions {
            execution.remaining_ms -= progress_ms;
        }
        let (running, completed): (Vec<Execution>, Vec<Execution>) =
            std::mem::take(&mut self.executions)
                .into_iter()
                .partition(|execution| execution.remaining_ms > 0.0);
        self.executions = running;
        let is_takeover = |execution: &&Execution| execution.orphan_deadline_ms.is_some();
        self.takeovers -= completed.iter().filter(is_takeover).count();
        completed
    }
}
