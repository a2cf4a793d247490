//! The complete state of a server as bytes and back, for a hot restart on the same machine.
//!
//! Snapshots are MessagePack maps by field name, so that a release with fewer fields can read those of one with more.
//! A decoded snapshot is checked before any decision uses it.

use serde::{Deserialize, Serialize};

use crate::state::Server;
use crate::task::{TaskState, TASK_STATES};

#[cfg(test)]
mod tests;

/// The version of the snapshot format. It is raised when a field changes its meaning or a new one has no safe default;
/// snapshots can't be exchanged between different versions.
pub const FORMAT_VERSION: u32 = 1;
/// The size limit of a snapshot that is read: some 100,000 tasks.
const MAX_SNAPSHOT_BYTES: usize = 64 * 1024 * 1024;

/// Why bytes are not a valid snapshot.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSnapshot {
    /// There are more bytes than a snapshot may have.
    #[error("reading a snapshot: {bytes} bytes are over the limit of {MAX_SNAPSHOT_BYTES}")]
    TooLarge {
        /// The number of bytes.
        bytes: usize,
    },
    /// The bytes don't decode to the expected maps.
    #[error("decoding a snapshot")]
    Undecodable(#[from] rmp_serde::decode::Error),
    /// The bytes were decoded, but this part contradicts the others.
    #[error("checking a snapshot: {0} are inconsistent")]
    Inconsistent(&'static str),
}

/// Key figures of a server, which differ between a restored server and one that has just started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The concurrency limit.
    pub limit: f64,
    /// The base latency of each request class; 0 where there is none yet.
    #[serde(rename = "bases")]
    pub base_latencies: Vec<f64>,
    /// How many calls to the dependency may be in flight.
    pub call_window: f64,
    /// The median of recent ratios of run time to base latency.
    #[serde(rename = "pace")]
    pub median_ratio: f64,
    /// Tasks that have not been released.
    pub tasks: usize,
}

impl Server {
    /// The state as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        // Encoding can't fail: only maps, lists and numbers are written, and they are written to memory.
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Decodes and checks a snapshot. The host then calls [`Server::tick`] soon, as if it had been scheduled.
    ///
    /// # Errors
    /// There are too many bytes, they can't be decoded, or the decoded parts contradict each other.
    pub fn restore(bytes: &[u8]) -> Result<Server, InvalidSnapshot> {
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            let bytes = bytes.len();
            return Err(InvalidSnapshot::TooLarge { bytes });
        }
        let server: Server = rmp_serde::from_slice(bytes)?;
        server.check()?;
        Ok(server)
    }

    /// The key figures of this server.
    pub fn summary(&self) -> Summary {
        Summary {
            limit: self.limiter.limit,
            base_latencies: self
                .classes
                .iter()
                .map(|class| class.base_latency)
                .collect(),
            call_window: self.dependency.window,
            median_ratio: self.limiter.median_ratio,
            tasks: self.active.len(),
        }
    }

    /// Checks that all indices are in range and that counts match the tasks, as decisions rely on both.
    fn check(&self) -> Result<(), InvalidSnapshot> {
        let classes = &self.classes;
        let same_classes = classes.len() == self.parameters.classes.len();
        ensure("classes", same_classes && !classes.is_empty())?;
        ensure("tenants", !self.tenants.is_empty())?;
        let limiter = &self.limiter;
        ensure(
            "latency windows",
            limiter.current_window < limiter.ratio_windows.len(),
        )?;
        let buckets = [
            &self.idempotency_entries,
            &self.dependency.spent_ms,
            &self.rejections.recent,
        ];
        let buckets_valid = buckets.iter().all(|buckets| buckets.is_valid());
        ensure("time buckets", buckets_valid)?;
        let mut tenants = self.tenants.iter();
        let arrivals_valid = tenants.all(|tenant| tenant.recent_arrivals.is_valid());
        ensure("time buckets of tenants", arrivals_valid)?;
        self.check_slots()?;
        self.check_tasks()
    }

    /// Checks that each slot is listed exactly once, as active or as free.
    fn check_slots(&self) -> Result<(), InvalidSnapshot> {
        let slots = self.tasks.len();
        let sum = self.active.len() + self.free_slots.len();
        ensure("task slots", sum == slots)?;
        let mut seen = vec![false; slots];
        for handle in self.active.iter().chain(&self.free_slots) {
            let seen = seen
                .get_mut(handle.index())
                .ok_or(InvalidSnapshot::Inconsistent("task slots"))?;
            ensure("task slots", !std::mem::replace(seen, true))?;
        }
        Ok(())
    }

    /// Checks the indices and the states of active tasks.
    fn check_tasks(&self) -> Result<(), InvalidSnapshot> {
        let mut counts = [0; TASK_STATES];
        for handle in &self.active {
            let task = &self.tasks[handle.index()];
            let arrival = &task.arrival;
            ensure("classes of tasks", arrival.class < self.classes.len())?;
            ensure("tenants of tasks", arrival.tenant < self.tenants.len())?;
            let callers = self.report.tasks_by_caller.len();
            ensure("callers of tasks", arrival.caller < callers)?;
            ensure("states of tasks", task.state != TaskState::Free)?;
            counts[task.state as usize] += 1;
        }
        let used_states = TaskState::Free as usize + 1..TASK_STATES;
        let counts_match = used_states
            .into_iter()
            .all(|state| counts[state] == self.tasks_by_state[state]);
        ensure("counts of tasks", counts_match)
    }
}

fn ensure(what: &'static str, consistent: bool) -> Result<(), InvalidSnapshot> {
    if consistent {
        Ok(())
    } else {
        Err(InvalidSnapshot::Inconsistent(what))
    }
}
