//! The end of tasks whose idempotency key is retained, and of the tasks that joined them.

use std::sync::Arc;

use asterdale::Handle;

use super::table::Tasks;
use crate::message::TaskId;
#[cfg(feature = "hot-restart")]
use crate::message::{MirroredEvent, RequestId};

impl Tasks {
    /// Queues the result of an earlier attempt for the tasks that joined it.
    pub fn notify_joined(&mut self, joined: Vec<TaskId>, result: Option<&Arc<[u8]>>) {
        self.joined_results
            .extend(joined.into_iter().map(|task| (task, result.cloned())));
    }

    /// Records the end of a task in its idempotency entry, with its result if it has one, and notifies the tasks that
    /// joined it.
    pub fn complete_key(&mut self, task: Handle, result: Option<&Arc<[u8]>>) {
        let now = self.now;
        let Some(record) = self.task(task) else {
            return;
        };
        let (number, Some(key)) = (record.number, record.idempotency_key.clone()) else {
            return;
        };
        #[cfg(feature = "hot-restart")]
        if let Some(mirror) = &mut self.mirror {
            mirror(MirroredEvent::TaskEnded {
                key: key.clone(),
                owner: number,
                result: result.cloned(),
            });
        }
        let joined = self
            .idempotency
            .complete(&key, number, now, result.cloned());
        self.notify_joined(joined, result);
    }

    /// Handles the end of a run that the new process started before this one took the work back: tasks that repeat it
    /// get its result. `never_ran`: nothing was started.
    #[cfg(feature = "hot-restart")]
    pub fn complete_successor_run(
        &mut self,
        id: &RequestId,
        never_ran: bool,
        result: Option<&Arc<[u8]>>,
    ) {
        let Some(Some((key, owner))) = self.started_by_successor.remove(id) else {
            return;
        };
        let joined = if never_ran {
            self.idempotency.forget(&key, owner)
        } else {
            self.idempotency
                .complete(&key, owner, self.now, result.cloned())
        };
        self.notify_joined(joined, result);
    }
}
