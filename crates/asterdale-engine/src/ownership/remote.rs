//! Runs on other backends that clients of this backend wait for.

use asterdale::Handle;
use asterdale_ownership::{Answer, OwnershipRequest, Verdict};

use super::answers::{rejected, reply_to};
use super::table::{
    DetachedClient, PendingRequest, ANSWER_MARGIN_MS, POLL_INTERVAL_MS, REMOTE_OWNER,
};
use crate::engine::Engine;
use crate::message::{IdempotencyKey, Reply, Responder, TaskId};
use crate::tasks::Tasks;

/// A run that two polls in a row have found without an owner is given up: its clients may retry.
const OWNERLESS_TIMEOUT_MS: f64 = 1.5 * POLL_INTERVAL_MS;
/// The retry delay that is sent with `Unknown`: by then the next poll has been answered.
pub(super) const POLL_RETRY_AFTER_MS: u64 = POLL_INTERVAL_MS as u64;

impl Tasks {
    /// Answers a task that waited for a remote run and did not get its result, if a reply was recorded for it. Returns
    /// whether one was.
    pub(crate) fn answer_without_remote_result(&mut self, task: Handle) -> bool {
        let Some(number) = self.task(task).map(|record| record.number) else {
            return false;
        };
        let Some(reply) = self.ownership.replies.remove(&number) else {
            return false;
        };
        self.answer_and_count(task, reply);
        true
    }

    /// When this process takes over a remote run: makes the tasks that had joined it wait for the run here. Returns
    /// those that do not wait.
    pub(crate) fn rejoin_after_takeover(
        &mut self,
        key: &IdempotencyKey,
        joined: Vec<TaskId>,
    ) -> Vec<TaskId> {
        let Some(run) = self.ownership.remote_runs.get(key) else {
            return joined;
        };
        if run.detached.is_empty() {
            self.ownership.remote_runs.remove(key);
        }
        for task in joined {
            self.idempotency.join(key, task);
        }
        Vec::new()
    }

    /// Ends a remote run, as far as this process knows of it: all clients that wait for it get this reply.
    pub(super) fn remote_run_ended(&mut self, key: &IdempotencyKey, reply: &Reply) {
        let Some(run) = self.ownership.remote_runs.remove(key) else {
            return;
        };
        for client in run.detached {
            self.answer_client_of_remote_run(client, reply);
        }
        match reply {
            Reply::Served(result) => {
                let joined =
                    self.idempotency
                        .complete(key, REMOTE_OWNER, self.now, Some(result.clone()));
                self.notify_joined(joined, Some(result));
            }
            Reply::Failed => {
                let joined = self.idempotency.complete(key, REMOTE_OWNER, self.now, None);
                self.notify_joined(joined, None);
            }
            _ => {
                // A later retry is looked up again.
                let joined = self.idempotency.forget(key, REMOTE_OWNER);
                // A task that the policies have released gets no reply here.
                let waiting = joined
                    .iter()
                    .filter(|task| self.by_number.contains_key(task));
                self.ownership
                    .replies
                    .extend(waiting.map(|task| (*task, reply.clone())));
                self.notify_joined(joined, None);
            }
        }
    }

    fn answer_client_of_remote_run(&self, client: DetachedClient, reply: &Reply) {
        let says_never_ran = matches!(reply, Reply::Rejected { .. });
        let reply = if says_never_ran && client.ran_here {
            Reply::Unknown {
                retry_after_ms: POLL_RETRY_AFTER_MS,
            }
        } else {
            reply.clone()
        };
        self.answer_detached(client.responder, reply);
    }

    /// Polls the remote runs that are due, and gives up those whose retry window has ended. Returns the clients that
    /// are about to give up.
    pub(super) fn poll_remote_runs(&mut self) -> Vec<Responder> {
        let now = self.now;
        let (mut polls, mut ended, mut responders) = (Vec::new(), Vec::new(), Vec::new());
        for (idempotency_key, run) in &mut self.ownership.remote_runs {
            let (waiting, expiring): (Vec<_>, Vec<_>) = std::mem::take(&mut run.detached)
                .into_iter()
                .partition(|client| now <= client.deadline - ANSWER_MARGIN_MS);
            run.detached = waiting;
            responders.extend(expiring.into_iter().map(|client| client.responder));
            if now > run.window_end {
                ended.push(idempotency_key.clone());
            } else if !run.is_polling && now >= run.next_poll_at {
                run.is_polling = true;
                polls.push((idempotency_key.clone(), run.key.clone()));
            }
        }
        for (idempotency_key, key) in polls {
            let lookup = OwnershipRequest::Lookup {
                key: key.bytes,
                body_digest: key.body_digest,
            };
            self.ownership
                .request(lookup, PendingRequest::Poll(idempotency_key));
        }
        for idempotency_key in ended {
            self.remote_run_ended(&idempotency_key, &Reply::Unknown { retry_after_ms: 0 });
        }
        responders
    }
}

impl Engine {
    /// Handles the answer to a poll.
    pub(super) fn poll_answered(&mut self, key: &IdempotencyKey, answer: &Answer) {
        let tasks = &mut self.tasks;
        let now = tasks.now;
        let Some(run) = tasks.ownership.remote_runs.get_mut(key) else {
            return;
        };
        run.is_polling = false;
        run.next_poll_at = now + POLL_INTERVAL_MS;
        match answer.verdict() {
            Verdict::InProgress => run.ownerless_since = None,
            Verdict::NotFound => {
                let since = *run.ownerless_since.get_or_insert(now);
                if now - since >= OWNERLESS_TIMEOUT_MS {
                    // The owner has ended, or released the request before it started. The attempts that wait here
                    // never ran, so their clients may retry: as a first attempt, or joining the run of the backend
                    // that took the request over.
                    tasks.remote_run_ended(key, &rejected(0));
                }
            }
            Verdict::Completed | Verdict::Failed | Verdict::OutcomeUnknown => {
                if let Some(reply) = reply_to(answer, 0.0) {
                    tasks.remote_run_ended(key, &reply);
                }
            }
            _ => {}
        }
    }
}
