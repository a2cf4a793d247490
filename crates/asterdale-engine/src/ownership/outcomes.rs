//! Outcomes: the reply of a run is sent once its outcome is replicated.

use std::sync::Arc;

use asterdale::Handle;
use asterdale_ownership::failpoint::{self, Failpoint};
use asterdale_ownership::{Answer, OwnershipRequest, Verdict};

use super::record::OwnedTask;
use super::table::{DetachedClient, EndedRun, PendingRequest, REMOTE_OWNER};
use crate::engine::Engine;
use crate::message::Reply;
use crate::tasks::Tasks;

impl Tasks {
    /// Takes the ownership out of a task whose run is over, if this process owns the task.
    fn take_granted(&mut self, task: Handle) -> Option<OwnedTask> {
        self.task_mut(task)?
            .ownership
            .take_if(|owned| owned.granted_fence().is_some())
    }

    /// Replicates the outcome of a run that ended with a result, if this process owns the task. The responder moves
    /// from the task to the pending request, and the reply is sent once the outcome is replicated.
    pub(crate) fn replicate_outcome(&mut self, task: Handle, result: &Arc<[u8]>) {
        let Some(owned) = self.take_granted(task) else {
            return;
        };
        let Some(record) = self.task_mut(task) else {
            return;
        };
        let (Some(fence), Some(idempotency_key), number) = (
            owned.granted_fence(),
            record.idempotency_key.clone(),
            record.number,
        ) else {
            return;
        };
        let mut responder = None;
        if failpoint::is_active(Failpoint::AnswerBeforeRecording) {
            if self.answer_served(task, result.clone()) {
                self.counters.tasks_served.add();
            }
        } else {
            record.idempotency_key = None;
            responder = record.responder.take();
        }
        if let Some(responder) = &responder {
            self.by_route.remove(&responder.route());
        }
        self.ownership.takeovers -= usize::from(owned.is_takeover);
        let request = OwnershipRequest::Complete {
            key: owned.key.bytes.clone(),
            fence,
            result: Some(result.to_vec()),
        };
        let ended = EndedRun {
            idempotency_key,
            task: number,
            key: owned.key,
            result: result.clone(),
            responder,
            deadline: owned.attempt_deadline,
        };
        self.ownership
            .request(request, PendingRequest::Outcome(Box::new(ended)));
    }

    /// Ends the ownership of a task whose run is over and has no result to replicate. `never_ran`: nothing was started,
    /// so the claim is reported as unused.
    pub(crate) fn end_ownership(&mut self, task: Handle, never_ran: bool) {
        let Some(owned) = self.take_granted(task) else {
            return;
        };
        self.ownership.takeovers -= usize::from(owned.is_takeover);
        let Some(fence) = owned.granted_fence() else {
            return;
        };
        if !never_ran {
            let request = OwnershipRequest::Complete {
                key: owned.key.bytes,
                fence,
                result: None,
            };
            self.ownership.request(request, PendingRequest::Nothing);
        } else if let Some(client) = &self.ownership.client {
            client.claim_unused(owned.key.bytes, fence);
        }
    }

    /// Ends the ownership of a task that the policies release. A run whose end was not seen is recorded as ended
    /// without a result, which is also what its retries on this backend get. While this process drains nothing is
    /// recorded, so that another backend can take the request over.
    pub(crate) fn release_ownership(&mut self, task: Handle) {
        let Some(owned) = self
            .task_mut(task)
            .and_then(|record| record.ownership.take())
        else {
            return;
        };
        self.ownership.takeovers -= usize::from(owned.is_takeover);
        if let (Some(fence), None) = (owned.granted_fence(), self.ownership.drain_deadline) {
            let request = OwnershipRequest::Complete {
                key: owned.key.bytes,
                fence,
                result: None,
            };
            self.ownership.request(request, PendingRequest::Nothing);
        }
    }
}

impl Engine {
    /// Handles the answer to the outcome of a run.
    pub(super) fn outcome_answered(&mut self, ended: EndedRun, answer: &Answer) {
        let tasks = &mut self.tasks;
        if answer.verdict() == Verdict::Fenced {
            return tasks.outcome_fenced(ended);
        }
        let EndedRun {
            idempotency_key,
            task,
            result,
            responder,
            ..
        } = ended;
        let joined =
            tasks
                .idempotency
                .complete(&idempotency_key, task, tasks.now, Some(result.clone()));
        tasks.notify_joined(joined, Some(&result));
        if let Some(responder) = responder {
            tasks.answer_detached(responder, Reply::Served(result));
        }
    }
}

impl Tasks {
    /// Handles an outcome that was rejected because another backend has taken the task over. The outcome of that run
    /// counts, and the clients here wait for it.
    fn outcome_fenced(&mut self, ended: EndedRun) {
        let (now, window_ms) = (self.now, self.retry_window_ms(ended.idempotency_key.class));
        let is_reassigned =
            self.idempotency
                .reassign(&ended.idempotency_key, ended.task, REMOTE_OWNER);
        if !is_reassigned && ended.responder.is_none() {
            return;
        }
        let run =
            self.ownership
                .follow_remote_run(now, &ended.idempotency_key, &ended.key, window_ms);
        run.detached
            .extend(ended.responder.map(|responder| DetachedClient {
                responder,
                deadline: ended.deadline,
                ran_here: true,
            }));
    }
}
