//! Periodic work: requests to the replicas that have timed out, clients that are about to give up, and polls.

use asterdale::Handle;

use super::answers::rejected;
use super::record::Claim;
use super::remote::POLL_RETRY_AFTER_MS;
use super::table::ANSWER_MARGIN_MS;
use crate::engine::Engine;
use crate::message::{Reply, TaskId};
use crate::tasks::{TaskRecord, Tasks};

/// The interval of the periodic work.
const TICK_INTERVAL_MS: f64 = 20.0;

/// A task whose client is about to give up.
struct ExpiringTask {
    task: Handle,
    /// Whether it may have run, here or on another backend.
    may_have_run: bool,
}

impl Tasks {
    fn expiring_tasks(&self) -> Vec<ExpiringTask> {
        let expiring = |record: &TaskRecord| {
            let owned = record.ownership.as_ref()?;
            let is_expiring =
                record.responder.is_some() && self.now > owned.attempt_deadline - ANSWER_MARGIN_MS;
            if !is_expiring {
                return None;
            }
            Some(ExpiringTask {
                task: self.by_number.get(&record.number).copied()?,
                may_have_run: matches!(owned.claim, Claim::Granted(_) | Claim::Remote),
            })
        };
        self.slots.iter().flatten().filter_map(expiring).collect()
    }
}

impl Engine {
    /// Does the periodic work, if its interval has passed.
    pub(crate) fn ownership_tick(&mut self) {
        let now = self.tasks.now;
        if now < self.tasks.ownership.next_tick_at {
            return;
        }
        let Some(client) = self.tasks.ownership.client.clone() else {
            return;
        };
        self.tasks.ownership.next_tick_at = now + TICK_INTERVAL_MS;
        client.set_takeover_capacity(self.takeover_capacity());
        let overdue = self.tasks.ownership.overdue(now);
        for number in overdue.lookups {
            if let Some(request) = self.tasks.take_lookup(number) {
                self.receive_looked_up(request);
            }
        }
        for (number, task) in overdue.claims {
            self.tasks.ownership.pending.remove(&number);
            client.cancel(number);
            self.claim_timed_out(task);
        }
        self.answer_expiring_tasks();
        let polled = self.tasks.poll_remote_runs();
        for responder in overdue.responders.into_iter().chain(polled) {
            let reply = Reply::Unknown {
                retry_after_ms: POLL_RETRY_AFTER_MS,
            };
            self.tasks.answer_detached(responder, reply);
        }
        self.report_queued_events();
    }

    fn claim_timed_out(&mut self, number: TaskId) {
        let retry_after_ms = self.tasks.ownership.lease_ms() as u64;
        if let Some(task) = self.tasks.by_number.get(&number).copied() {
            self.never_started(task, rejected(retry_after_ms));
        }
    }

    fn answer_expiring_tasks(&mut self) {
        for ExpiringTask { task, may_have_run } in self.tasks.expiring_tasks() {
            if may_have_run {
                // The run continues, and a retry gets its result.
                let reply = Reply::Unknown {
                    retry_after_ms: POLL_RETRY_AFTER_MS,
                };
                self.tasks.answer_and_count(task, reply);
                continue;
            }
            self.tasks.answer_and_count(task, rejected(0));
            if let Some(server) = &mut self.server {
                task.caller_gone(server, self.tasks.now, &mut self.tasks);
            }
        }
    }
}
