//! The order of queued tasks: which one starts next, and which one is rejected first.

use crate::state::{Server, TenantState, RECENT_MS};
use crate::task::{Handle, Task, TaskState};

impl Server {
    /// The factor on the weight of a tenant's tasks, 1 within its quota. Each server gets an equal part of the quota.
    /// Requests beyond it count with `over_quota_weight_share`; as it isn't known which of the tasks are beyond the
    /// quota, all of them get the mean factor.
    pub(super) fn quota_factor(&self, tenant: &TenantState) -> f64 {
        let rate_per_s = tenant.recent_arrivals.total() / (RECENT_MS / 1000.0);
        let quota_per_s = tenant.parameters.quota_per_s / self.server_count().max(1.0);
        if rate_per_s <= quota_per_s {
            return 1.0;
        }
        (quota_per_s + (rate_per_s - quota_per_s) * self.parameters.over_quota_weight_share)
            / rate_per_s
    }

    /// The weight with which the answer of a task would count if it started now, per unit of core work.
    pub(super) fn weight_density(&self, task: &Task, now_ms: f64) -> f64 {
        let class = self.class(task);
        let late = now_ms + self.expected_run_ms(task) > task.objective_ms;
        let weight = class.parameters.weight
            * if late {
                class.parameters.late_weight_share
            } else {
                1.0
            };
        let cost = if self.parameters.weight_per_work {
            1.0
        } else {
            self.base_latency_or_largest(class).max(1e-6)
        };
        weight * self.quota_factor(&self.tenants[task.arrival.tenant]) / cost
    }

    fn queued(&self) -> impl Iterator<Item = Handle> + '_ {
        self.active
            .iter()
            .copied()
            .filter(|handle| self.tasks[handle.index()].state == TaskState::Queued)
    }

    /// The queued task that starts next: the one of the highest weight density, the oldest among equals.
    pub(super) fn next_to_start(&self, now_ms: f64) -> Option<Handle> {
        let rank = |handle: Handle| self.weight_density(&self.tasks[handle.index()], now_ms);
        self.queued()
            .map(|handle| (rank(handle), handle))
            .reduce(|best, other| if other.0 > best.0 { other } else { best })
            .map(|(_, handle)| handle)
    }

    /// The queued task that is rejected first: of the tenant with the most queued tasks, the one of the lowest weight
    /// density, the newest among equals. Tenants are compared by their queued tasks and not by their quota: by quota,
    /// the single task of a small tenant would be rejected before those of a tenant that floods the queue.
    pub(super) fn first_to_reject(&self, now_ms: f64) -> Option<Handle> {
        let rank = |handle: Handle| {
            let task = &self.tasks[handle.index()];
            let tenant = &self.tenants[task.arrival.tenant];
            (-(tenant.queued as f64), self.weight_density(task, now_ms))
        };
        self.queued()
            .map(|handle| (rank(handle), handle))
            .reduce(|worst, other| if other.0 <= worst.0 { other } else { worst })
            .map(|(_, handle)| handle)
    }
}
