//! Events that the policies' actions have queued while the policies were deciding.

use std::sync::Arc;

use asterdale::events::Outcome;
use asterdale::{Actions, Handle};

use super::Engine;
use crate::message::TaskId;
use crate::tasks::Tasks;

impl Tasks {
    fn handle_of(&self, number: TaskId) -> Option<Handle> {
        self.by_number.get(&number).copied()
    }

    /// Answers a task that joined an earlier attempt, which has ended. Returns the outcome for the policies.
    fn answer_joined(&mut self, task: Handle, result: Option<Arc<[u8]>>) -> Outcome {
        if let Some(result) = result {
            if self.answer_served(task, result) {
                self.counters.tasks_joined.add();
            }
            return Outcome::Ok;
        }
        #[cfg(feature = "ownership")]
        if self.answer_without_remote_result(task) {
            return Outcome::Failed;
        }
        self.answer_failed(task);
        Outcome::Failed
    }
}

impl Engine {
    /// Reports queued events to the policies until there are none: joined results first, then calls that were not
    /// made, then runs that were not started.
    pub(crate) fn report_queued_events(&mut self) {
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
            return;
        };
        loop {
            if let Some((number, result)) = tasks.joined_results.pop_front() {
                if let Some(task) = tasks.handle_of(number) {
                    let outcome = tasks.answer_joined(task, result);
                    task.run_ended(server, tasks.now, outcome, tasks);
                }
            } else if let Some(number) = tasks.calls_not_made.pop_front() {
                if let Some(task) = tasks.handle_of(number) {
                    tasks.counters.calls_failed.add();
                    task.call_ended(server, tasks.now, Outcome::Unreachable, 0.0, tasks);
                }
            } else if let Some(number) = tasks.runs_not_started.pop_front() {
                if let Some(task) = tasks.handle_of(number) {
                    // Nothing was started: another request of its tenant under this key may still run.
                    tasks.drop_idempotency_entry(task);
                    task.run_ended(server, tasks.now, Outcome::Stale, tasks);
                }
            } else {
                return;
            }
        }
    }
}
