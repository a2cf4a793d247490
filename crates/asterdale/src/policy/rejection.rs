//! Tasks that are given up: their final answer, and the Retry-After that a rejection carries.

use super::TICK_MS;
use crate::actions::Actions;
use crate::events::PeerCounts;
use crate::parameters::CapacityHint;
use crate::state::Server;
use crate::task::{Handle, TaskState};

/// Fraction of the requests read up to which rejections count as few. With 0.05 other servers stay idle; with 0.2
/// retries cost too much reading in overload.
const LOW_REJECTION_SHARE: f64 = 0.1;
/// With up to this many servers in the tier, the work that a long Retry-After moves away would overload the others.
const MIN_SERVERS_TO_MOVE_WORK: f64 = 4.0;

/// What a rejection tells the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RetryAdvice {
    /// The caller should not retry on another server.
    pub last_attempt: bool,
    /// How long it should send nothing to this server.
    pub retry_after_ms: f64,
}

impl Server {
    /// Gives up a task: answers it at once, and aborts its run where that is possible.
    pub(super) fn give_up(&mut self, handle: Handle, actions: &mut dyn Actions) {
        let task = self.tasks[handle.index()];
        if !task.answered {
            if task.may_have_run && (!self.is_idempotent(&task) || task.state == TaskState::Joined)
            {
                actions.fail(handle);
            } else {
                let advice = self.retry_advice();
                actions.reject(handle, advice.last_attempt, advice.retry_after_ms);
                self.rejections.since_update += 1;
                self.rejections.recent.add(1.0);
            }
            self.tasks[handle.index()].answered = true;
        }
        match task.state {
            TaskState::Running if self.can_abort(&task) => actions.stop(handle),
            TaskState::Queued | TaskState::Joined => {
                self.drop_entry(handle, actions);
                self.release(handle, actions);
            }
            _ => {} // `Handle::run_ended` will be called and releases the task
        }
    }

    /// The advice that a rejection gives now.
    pub(super) fn retry_advice(&mut self) -> RetryAdvice {
        let max_ms = self.parameters.max_retry_after_ms;
        if self.drain_notice.is_some() {
            return RetryAdvice {
                last_attempt: false,
                retry_after_ms: max_ms,
            };
        }
        let jittered_ms = max_ms * (0.5 + 0.5 * self.rng.next());
        // With few recent rejections the overload is short or only of this server, and the caller may retry on another
        // one. Else the servers behind the same balancers are probably overloaded too, and retries there only cost
        // reading. That this server is in its slow start or has slow runs doesn't show that others have capacity: after
        // a release many servers are warming up, and when all work becomes more expensive all servers look slow.
        let arrivals = self
            .tenants
            .iter()
            .map(|tenant| tenant.recent_arrivals.total())
            .sum::<f64>()
            .max(1.0);
        let rejected_share = self.rejections.recent.total() / arrivals;
        let few_rejections = rejected_share <= LOW_REJECTION_SHARE;
        // Without credit, Retry-After is what steers callers: with few rejections, a long one moves work to servers
        // with capacity, except among four servers or fewer, which it would overload. Else it grows with the share of
        // rejections, so that no cores stay idle.
        let moves_work = few_rejections && self.parameters.capacity_hint != CapacityHint::Credit;
        let min_fraction = if moves_work {
            1.0 - MIN_SERVERS_TO_MOVE_WORK / self.server_count().max(MIN_SERVERS_TO_MOVE_WORK)
        } else {
            0.0
        };
        // Retries on other servers are useless if the view of the fleet shows none that accepts work and has completed
        // its slow start.
        let no_peer_ready = self.peers.is_some_and(|peers| peers.ready < 1.0);
        RetryAdvice {
            last_attempt: !few_rejections || no_peer_ready,
            retry_after_ms: (rejected_share.max(min_fraction) * jittered_ms)
                .max(max_ms.min(TICK_MS)),
        }
    }

    /// The number of servers in this tier: from the view of the fleet where there is one, else that at the start.
    pub(super) fn server_count(&self) -> f64 {
        self.peers
            .map_or(self.parameters.servers, |peers| peers.present + 1.0)
    }

    /// Sets the counts from a view of the fleet, `None` where there is none. They may be stale or wrong, so they affect
    /// only the advice of rejections and a tenant's quota on this server, and never what may run.
    pub fn set_peers(&mut self, peers: Option<PeerCounts>) {
        self.peers = peers;
    }
}
