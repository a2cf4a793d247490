//! The old process on standby, while the work belongs to the new process: it forwards messages between its connections
//! and the new engine, and keeps the state that it needs to take the work back up to date.

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};

use crate::engine::Engine;
use crate::idempotency::Owner;
use crate::message::{EngineMessage, MirroredEvent, Reply, Responder, ResponseRoute};
use crate::paused::Standby;

/// The interval at which connections without open requests are closed while this process is on standby.
const CLOSE_INTERVAL: Duration = Duration::from_millis(50);
/// The process stays on standby this long after the last idempotency window that it knows of, in milliseconds.
const STANDBY_MARGIN_MS: f64 = 1000.0;

impl Engine {
    /// Forwards a message to the new process. Returns a message that this process must handle itself.
    pub(crate) fn forward_to_successor(&mut self, message: EngineMessage) -> Option<EngineMessage> {
        let message = self.answer_request_without_capacity(message)?;
        let Some(Standby {
            forwarded,
            successor: Some(successor),
            ..
        }) = &mut self.paused.standby
        else {
            return self.defer(message);
        };
        match message {
            EngineMessage::Request(request) => {
                let route = request.route();
                if forwarded.contains_key(&route) || self.tasks.by_route.contains_key(&route) {
                    request.client.discard_request();
                } else {
                    successor.forward_request(route, &request);
                    forwarded.insert(route, request.client);
                }
            }
            EngineMessage::HealthCheck {
                client,
                request,
                deep,
            } => {
                let responder = Responder { client, request };
                successor.forward_health_check(responder.route(), deep);
                forwarded.insert(responder.route(), responder.client);
            }
            EngineMessage::Abort(route) => {
                successor.forward_abort(route.connection, Some(route.request));
            }
            EngineMessage::ConnectionClosed(connection) => {
                successor.forward_abort(connection, None);
            }
            EngineMessage::CallEnded(end) => {
                successor.forward_call_result(end.task, end.outcome, end.duration_ms, &end.body);
            }
            EngineMessage::Drain => self.paused.must_exit = true,
            EngineMessage::PrintCounters | EngineMessage::HotRestart(_) => return Some(message),
            // The new process has its own addresses, link and key sets.
            EngineMessage::RuntimeConnected(_)
            | EngineMessage::RuntimeDisconnected
            | EngineMessage::RuntimeNotice(..)
            | EngineMessage::KeySet(_)
            | EngineMessage::Reloaded(..) => {}
            // A process that can do a hot restart is not in a fleet.
            #[cfg(feature = "ownership")]
            EngineMessage::OwnershipAnswer(..) | EngineMessage::OwnerlessRequests(_) => {}
        }
        None
    }

    /// Answers a request for which there was no capacity, which is not forwarded because it must not become a task.
    /// Which keys are retained is known to the other process alone, so the reply does not state that it never ran.
    fn answer_request_without_capacity(&self, message: EngineMessage) -> Option<EngineMessage> {
        let EngineMessage::Request(request) = message else {
            return Some(message);
        };
        let Some(shortage) = request.capacity.shortage() else {
            return Some(EngineMessage::Request(request));
        };
        let max_retry_after_ms = self.tasks.settings.decisions.max_retry_after_ms;
        let refusal = shortage.refuse(&self.tasks.counters, max_retry_after_ms);
        self.tasks.counters.tasks_unknown.add();
        request.answer(refusal.without_claim());
        None
    }

    /// Defers a message until it is decided which process has the work.
    fn defer(&mut self, message: EngineMessage) -> Option<EngineMessage> {
        if matches!(message, EngineMessage::HotRestart(_)) {
            return Some(message);
        }
        self.paused.deferred.push(message);
        None
    }

    /// Sends a reply of the new process to the client of a task that was transferred or of a request that was
    /// forwarded.
    pub(super) fn relay_reply(&mut self, route: ResponseRoute, reply: Reply) {
        if let Some(task) = self.tasks.by_route.get(&route).copied() {
            self.tasks.answer(task, reply);
            return;
        }
        let Some(standby) = &mut self.paused.standby else {
            return;
        };
        if let Some(client) = standby.forwarded.remove(&route) {
            client.answer(route.request, reply);
        }
    }

    /// Applies an event of the new process to the state of this one. Tasks that joined an earlier attempt belong to the
    /// new process: they are not notified of its end here.
    pub(super) fn apply_mirrored(&mut self, event: MirroredEvent) {
        let Some(standby) = &mut self.paused.standby else {
            return;
        };
        let tasks = &mut self.tasks;
        match event {
            MirroredEvent::KeyRetained {
                key,
                owner,
                body_digest,
                until_ms,
            } => {
                standby.standby_until = standby.standby_until.max(until_ms);
                tasks.last_number = tasks.last_number.max(owner);
                let owner = Owner {
                    task: owner,
                    body_digest,
                };
                tasks.idempotency.retain(key, owner, until_ms, None);
            }
            MirroredEvent::TaskStarted { id, key } => {
                let number = key.as_ref().map_or(0, |(_, owner)| *owner);
                tasks.last_number = tasks.last_number.max(number);
                standby.started_by_successor.insert(id, key);
            }
            MirroredEvent::TaskEnded { key, owner, result } => {
                tasks.idempotency.complete(&key, owner, tasks.now, result);
            }
            MirroredEvent::KeyDropped { key, owner } => {
                tasks.idempotency.forget(&key, owner);
            }
        }
    }

    /// Handles messages while this process may not make decisions. Returns `true` once the process may exit.
    pub(crate) fn run_while_paused(&mut self, mailbox: &Receiver<EngineMessage>) -> bool {
        let mut next_close = Instant::now();
        while self.paused.is_paused() {
            match mailbox.recv_timeout(CLOSE_INTERVAL) {
                Ok(message) => self.dispatch(message, mailbox),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return true,
            }
            self.tasks.now = self.clock.now();
            let Some(standby) = &mut self.paused.standby else {
                continue;
            };
            let open_connections = self.tasks.frontends.open_connections();
            let is_over =
                open_connections == 0 && self.tasks.now > standby.standby_until + STANDBY_MARGIN_MS;
            if self.paused.must_exit || is_over {
                if let Some(successor) = &mut standby.successor {
                    successor.standby_ended();
                }
                slog::info!(self.tasks.log.lines, "hot restart: old process exits"; "connections" => open_connections);
                return true;
            }
            if Instant::now() >= next_close {
                next_close = Instant::now() + CLOSE_INTERVAL;
                self.tasks.frontends.end_answered_connections();
            }
        }
        false
    }
}
