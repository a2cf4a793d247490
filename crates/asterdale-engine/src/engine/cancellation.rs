//! Requests that end early, because the client gives up or the caller is revoked.

use super::Engine;
use crate::message::{Reply, ResponseRoute};

impl Engine {
    /// Adopts a new key set. Requests of callers that it revokes are denied at once if they have not started. Started
    /// runs continue, and their results are retained.
    pub(super) fn adopt_key_set(&mut self, set: &[u8]) {
        let tasks = &mut self.tasks;
        let is_new = tasks
            .identity_gate
            .adopt_key_set(tasks.now, set, &tasks.log);
        if !is_new {
            return;
        }
        // All of them are answered before the policies are notified of the first one, so that the capacity it frees
        // does not start another one.
        let revoked = tasks.revoked_tasks();
        for (number, reply) in &revoked {
            let Some(task) = tasks.by_number.get(number).copied() else {
                continue;
            };
            if let Some(record) = tasks.task_mut(task) {
                record.must_not_start = true;
            }
            tasks.answer(task, reply.clone());
            tasks.counters.tasks_revoked.add();
        }
        for (number, _) in revoked {
            let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
                return;
            };
            if let Some(task) = tasks.by_number.get(&number).copied() {
                task.caller_gone(server, tasks.now, tasks);
            }
        }
    }

    /// Handles a client that no longer waits for this request.
    pub(super) fn abort_request(&mut self, route: ResponseRoute) {
        #[cfg(feature = "ownership")]
        self.tasks.cancel_lookups(|looked_up| looked_up == route);
        self.abort_task(route);
    }

    /// Handles clients that no longer wait for any request of this connection.
    pub(super) fn abort_connection(&mut self, connection: u64) {
        #[cfg(feature = "ownership")]
        self.tasks
            .cancel_lookups(|looked_up| looked_up.connection == connection);
        let routes = self.tasks.by_route.keys();
        let routes: Vec<_> = routes
            .filter(|route| route.connection == connection)
            .copied()
            .collect();
        for route in routes {
            self.abort_task(route);
        }
    }

    fn abort_task(&mut self, route: ResponseRoute) {
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
            return;
        };
        let Some(task) = tasks.by_route.remove(&route) else {
            return;
        };
        let record = tasks.task_mut(task);
        let Some(responder) = record.and_then(|record| record.responder.take()) else {
            return;
        };
        tasks.counters.tasks_aborted.add();
        tasks.counters.tasks_open.sub();
        // The client reads no reply; this frees the request's number on the connection.
        responder.answer(Reply::CallerGone);
        #[cfg(feature = "ownership")]
        if tasks.continues_without_client(task) {
            return;
        }
        task.caller_gone(server, tasks.now, tasks);
    }
}
