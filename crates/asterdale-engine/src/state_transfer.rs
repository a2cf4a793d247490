//! The host's state, as it passes to another process, and the host's part in a handover: it stops, gives its state,
//! and from then on carries between its own connections and its successor; or it goes on, or takes the work back.
//! When which of these is to be done is decided by `asterdale_hot_restart::giver`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale::{Actions, Handle, Server};
use asterdale_identity::failpoint::{self, Failpoint};
use asterdale_identity::Caller;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use serde::{Deserialize, Serialize};

use crate::engine::{Engine, EngineSettings};
use crate::idempotency::ExportedTable as Remembered;
use crate::message::{
    Connection, EngineMessage, IdempotencyKey, RegistryCommand, Reply, RequestId, ResponseRoute,
    RuntimeLinkCommand, TaskId,
};
use crate::paused::Guard;
use crate::runtime;
use crate::tasks::{SentCommand, Slot, Tasks};

/// Proof that all commands on the link have arrived is waited for so long before the state is made without it.
const PROOF: Duration = Duration::from_millis(250);
/// How often connections that are still there are asked to end, once the work is another's.
const HUSH: Duration = Duration::from_millis(50);
/// A guardian stays for so long after the last window that it knows of, in milliseconds.
const AFTER: f64 = 1000.0;

pub use crate::message::{HotRestartStep, Mirror, MirroredEvent, SuccessorLink};

/// A task that passes.
#[derive(Serialize, Deserialize)]
struct TransferredTask {
    handle: Handle,
    #[serde(rename = "serial")]
    number: TaskId,
    id: RequestId,
    #[serde(rename = "stage")]
    class: usize,
    body: Vec<u8>,
    #[serde(rename = "sign")]
    body_digest: u64,
    #[serde(rename = "way")]
    route: Option<ResponseRoute>,
    #[serde(rename = "mark")]
    idempotency_key: Option<IdempotencyKey>,
    caller: Option<Caller>,
    #[serde(rename = "place")]
    seat_key: Option<(u32, String)>,
    started: bool,
    #[serde(rename = "void")]
    must_not_start: bool,
    #[serde(rename = "wants")]
    pending_call: Option<(u64, Vec<u8>)>,
    #[serde(rename = "sent")]
    last_command: Option<SentCommand>,
}

/// All that passes.
#[derive(Serialize, Deserialize)]
struct TransferredState {
    now: f64,
    server: Option<Vec<u8>>,
    #[serde(rename = "serial")]
    last_number: TaskId,
    tasks: Vec<TransferredTask>,
    #[serde(rename = "remembered")]
    idempotency: Remembered,
    identity: Option<asterdale_identity::Passed>,
    #[serde(rename = "callers")]
    edge_node_indexes: HashMap<u32, usize>,
    /// The last notice read, and the gauges asked for and come.
    link: (u64, u64, u64),
    #[serde(rename = "good")]
    is_healthy: bool,
    #[serde(rename = "stored")]
    health_is_cached: bool,
}

/// Whether a host with so many stages could go on with this state.
pub fn check_state(state: &[u8], stages: usize) -> Result<(), String> {
    let passed: TransferredState = rmp_serde::from_slice(state).map_err(|e| format!("the state: {e}"))?;
    let Some(server) = passed.server else {
        return Ok(());
    };
    let server = Server::restore(&server).map_err(|e| format!("the module's state: {e:?}"))?;
    if server.class_count() != stages {
        return Err("the start file has other stages than the state".to_owned());
    }
    Ok(())
}

fn encode(passed: &TransferredState) -> Vec<u8> {
    // Maps, lists and numbers alone are written, into memory: that can't fail.
    rmp_serde::to_vec_named(passed).unwrap_or_default()
}

fn exported_task(handle: Handle, slot: &Slot, tasks: &Tasks) -> TransferredTask {
    TransferredTask {
        handle,
        number: slot.number,
        id: slot.id,
        class: slot.class,
        body: slot.body.clone(),
        body_digest: slot.body_digest,
        route: slot.back.as_ref().map(|(client, request)| ResponseRoute {
            connection: client.connection_id(),
            request: *request,
        }),
        idempotency_key: slot.idempotency_key.clone(),
        caller: slot.caller.as_deref().cloned(),
        seat_key: slot
            .quota_seat
            .as_ref()
            .and_then(|seat| tasks.identity_gate.seat_key(seat)),
        started: slot.started,
        must_not_start: slot.must_not_start,
        pending_call: slot.pending_call.clone(),
        last_command: slot.last_command.clone(),
    }
}

impl Engine {
    fn export(&self) -> Vec<u8> {
        let tasks = &self.tasks;
        let all = tasks.by_number.values().filter_map(|handle| {
            let slot = tasks.slots.get(handle.index())?.as_ref()?;
            Some(exported_task(*handle, slot, tasks))
        });
        encode(&TransferredState {
            now: tasks.now,
            server: self.server.as_ref().map(Server::snapshot),
            last_number: tasks.last_number,
            tasks: all.collect(),
            idempotency: tasks
                .idempotency
                .export(failpoint::is_active(Failpoint::Unpassed)),
            identity: tasks.identity_gate.export(),
            edge_node_indexes: self.edge_node_indexes.clone(),
            link: (tasks.runtime.last_notice, tasks.runtime.gauges_requested, tasks.runtime.gauges_received),
            is_healthy: tasks.is_healthy,
            health_is_cached: tasks.health_is_cached,
        })
    }

    /// A host that goes on with the state of another. `client` makes a way back over the other's connection.
    /// What does not fit together, or not with the start file, is refused.
    pub fn restore(
        begin: EngineSettings,
        around: crate::engine::EnginePorts,
        state: &[u8],
        client: &dyn Fn(u64) -> Arc<dyn Connection>,
        mirror: Option<Mirror>,
    ) -> Result<Engine, String> {
        let passed: TransferredState = rmp_serde::from_slice(state).map_err(|e| format!("the state: {e}"))?;
        let server = passed
            .server
            .map(|server| Server::restore(&server))
            .transpose();
        let server = server.map_err(|e| format!("the module's state: {e:?}"))?;
        let stages = begin.settings.class_names.len();
        if server
            .as_ref()
            .is_some_and(|server| server.class_count() != stages)
        {
            return Err("the start file has other stages than the state".to_owned());
        }
        let mut host = Engine::new(begin, around);
        host.clock.set(passed.now);
        let tasks = &mut host.tasks;
        tasks.now = passed.now;
        tasks.last_number = passed.last_number;
        tasks.idempotency.import(passed.idempotency);
        if let Some(identity) = passed.identity {
            tasks.identity_gate.import(passed.now, identity)?;
        }
        for task in passed.tasks {
            if task.class >= stages || task.handle.index() > 1 << 24 {
                return Err("a task of the state makes no sense".to_owned());
            }
            let seat = task.seat_key.and_then(|place| tasks.identity_gate.restore_seat(&place));
            let back = task.route.map(|way| (client(way.connection), way.request));
            tasks.arriving = Some(Slot {
                number: task.number,
                id: task.id,
                class: task.class,
                body: task.body,
                body_digest: task.body_digest,
                back,
                idempotency_key: task.idempotency_key,
                caller: task.caller.map(Arc::new),
                quota_seat: seat,
                started: task.started,
                must_not_start: task.must_not_start,
                #[cfg(feature = "ownership")]
                ownership: None, // a process that hands over talks with nobody
                pending_call: task.pending_call,
                last_command: task.last_command,
            });
            tasks.counters.tasks_taken.add();
            tasks.counters.tasks_open.add();
            tasks.accepted(task.handle);
        }
        (tasks.runtime.last_notice, tasks.runtime.gauges_requested, tasks.runtime.gauges_received) = passed.link;
        (tasks.is_healthy, tasks.health_is_cached) = (passed.is_healthy, passed.health_is_cached);
        tasks.mirror = mirror.filter(|_| !failpoint::is_active(Failpoint::Unmirrored));
        tasks.next_tick_at = passed.now;
        host.edge_node_indexes = passed.edge_node_indexes;
        host.server = server;
        Ok(host)
    }

    /// A word for the log of where this host stands.
    pub fn summary(&self) -> Option<asterdale::snapshot::Summary> {
        self.server.as_ref().map(Server::summary)
    }

    /// One step of a handover.
    pub(crate) fn hot_restart_step(&mut self, step: HotRestartStep, mailbox: &Receiver<EngineMessage>) {
        match step {
            // Of one that leaves there is nothing to take: the way back is dropped.
            HotRestartStep::Rehearse(_) | HotRestartStep::Freeze(_) if self.drain_deadline.is_some() => {}
            HotRestartStep::Rehearse(to) => drop(to.send(self.export())),
            HotRestartStep::Freeze(to) => self.freeze(&to, mailbox),
            HotRestartStep::Thaw => {
                self.paused.is_frozen = false;
                self.tasks.next_tick_at = self.tasks.next_tick_at.min(self.clock.now());
                self.reclaim_link();
                self.handle_deferred(mailbox);
            }
            HotRestartStep::Commit(port) => self.commit_to_successor(port, mailbox),
            HotRestartStep::PeerReply(way, reply) => self.relay_reply(way, reply),
            HotRestartStep::Mirrored(what) => self.apply_mirrored(what),
            HotRestartStep::Resume => self.resume(mailbox),
            HotRestartStep::Exit => {
                if let Some(guarding) = &mut self.paused.guarding {
                    guarding.guard_until = f64::NEG_INFINITY;
                }
            }
            HotRestartStep::GuardEnded => self.tasks.mirror = None,
        }
    }

    fn handle_deferred(&mut self, mailbox: &Receiver<EngineMessage>) {
        for mail in std::mem::take(&mut self.paused.deferred) {
            self.dispatch(mail, mailbox);
        }
    }

    /// Stops. What was sent to the runtime has arrived by the time the state is made, or counts as unproven;
    /// what the runtime says meanwhile is in the state. Nothing new is started: the link takes no commands.
    fn freeze(&mut self, to: &Sender<Vec<u8>>, mailbox: &Receiver<EngineMessage>) {
        let end = Instant::now() + PROOF;
        if self.tasks.runtime.commands.is_some() && !self.tasks.runtime.is_replaying {
            self.tasks
                .send(runtime::ask("gauges", crate::runtime_events::LAST));
        }
        self.tasks.runtime.is_replaying = true;
        while self.tasks.runtime.commands.is_some() {
            let left = end.saturating_duration_since(Instant::now());
            match mailbox.recv_timeout(left) {
                Ok(mail @ EngineMessage::RuntimeNotice(_)) => self.dispatch(mail, mailbox),
                Ok(mail) => self.paused.deferred.push(mail),
                Err(_) => break,
            }
        }
        self.tasks.runtime.commands = None;
        let _ = self.runtime_link.send(RuntimeLinkCommand::SetPaused(true));
        self.fail_health_checks();
        self.paused.is_frozen = true;
        self.tasks.now = self.clock.now();
        let _ = to.send(self.export());
    }

    /// The link is this process's again: what may not have arrived is sent again on the new one.
    fn reclaim_link(&mut self) {
        self.tasks.runtime.is_replaying = true;
        let _ = self.runtime_link.send(RuntimeLinkCommand::SetPaused(false));
    }

    fn commit_to_successor(&mut self, port: Box<dyn SuccessorLink>, mailbox: &Receiver<EngineMessage>) {
        let until = self.tasks.idempotency.last_window().max(self.tasks.now);
        self.paused.is_frozen = false;
        self.paused.guarding = Some(Guard {
            successor: Some(port),
            guard_until: until,
            ..Guard::default()
        });
        self.registry.send(RegistryCommand::SetPaused(true));
        self.tasks.frontends.set_paused(true);
        self.tasks.frontends.end_answered_connections();
        slog::info!(self.tasks.log.lines, "upgrade: the work is the new process's; this one guards it";
            "gist" => ?self.summary());
        self.handle_deferred(mailbox);
    }

    /// Carries mail to the successor; gives back what is this host's own all the same.
    pub(crate) fn forward_to_successor(&mut self, mail: EngineMessage) -> Option<EngineMessage> {
        let Some(Guard {
            forwarded,
            successor: Some(port),
            ..
        }) = &mut self.paused.guarding
        else {
            if matches!(mail, EngineMessage::HotRestart(_)) {
                return Some(mail);
            }
            self.paused.deferred.push(mail);
            return None;
        };
        match mail {
            EngineMessage::Request(request) => {
                let way = request.route();
                if forwarded.contains_key(&way) || self.tasks.by_route.contains_key(&way) {
                    request.client.discard_request();
                } else {
                    port.forward_request(way, &request);
                    forwarded.insert(way, request.client);
                }
            }
            EngineMessage::HealthCheck {
                client,
                request,
                deep,
            } => {
                let way = ResponseRoute {
                    connection: client.connection_id(),
                    request,
                };
                port.forward_health_check(way, deep);
                forwarded.insert(way, client);
            }
            EngineMessage::Abort(route) => {
                port.forward_abort(route.connection, Some(route.request))
            }
            EngineMessage::ConnectionClosed(connection) => port.forward_abort(connection, None),
            EngineMessage::CallEnded {
                task,
                outcome,
                duration_ms: took_ms,
                body,
            } => port.forward_call_result(task, outcome, took_ms, &body),
            // The peers, the link and the keys are the successor's.
            EngineMessage::RuntimeConnected(_)
            | EngineMessage::RuntimeDisconnected
            | EngineMessage::RuntimeNotice(_)
            | EngineMessage::KeySet(_)
            | EngineMessage::Reloaded(..) => {}
            // A process that hands over talks with no fleet.
            #[cfg(feature = "ownership")]
            EngineMessage::OwnershipAnswer(..) | EngineMessage::OwnerlessRequests(_) => {}
            EngineMessage::Drain => self.paused.must_exit = true,
            mail @ (EngineMessage::PrintCounters | EngineMessage::HotRestart(_)) => {
                return Some(mail)
            }
        }
        None
    }

    fn relay_reply(&mut self, way: ResponseRoute, reply: Reply) {
        if let Some(task) = self.tasks.by_route.get(&way).copied() {
            self.tasks.answer(task, reply);
            return;
        }
        let Some(guarding) = &mut self.paused.guarding else {
            return;
        };
        if let Some(client) = guarding.forwarded.remove(&way) {
            client.answer(way.request, reply);
        }
    }

    fn apply_mirrored(&mut self, what: MirroredEvent) {
        let Some(guarding) = &mut self.paused.guarding else {
            return;
        };
        let tasks = &mut self.tasks;
        match what {
            MirroredEvent::KeyRetained {
                key: mark,
                owner,
                until_ms: until,
            } => {
                guarding.guard_until = guarding.guard_until.max(until);
                tasks.last_number = tasks.last_number.max(owner.0);
                // Whoever waited for an earlier one is the other's.
                drop(tasks.idempotency.remember(mark, owner, until, None));
            }
            MirroredEvent::TaskStarted { id, key: mark } => {
                tasks.last_number = tasks
                    .last_number
                    .max(mark.as_ref().map_or(0, |(_, owner)| *owner));
                guarding.started_by_successor.insert(id, mark);
            }
            MirroredEvent::TaskEnded {
                key: mark,
                owner,
                result,
            } => {
                drop(tasks.idempotency.complete(&mark, owner, tasks.now, result));
            }
            MirroredEvent::KeyDropped { key: mark, owner } => {
                drop(tasks.idempotency.forget(&mark, owner))
            }
        }
    }

    /// Takes the work back. What the other has started is not started again here: its clients hear that nothing
    /// is promised, and its results come with the notices that were missed.
    fn resume(&mut self, mailbox: &Receiver<EngineMessage>) {
        let Some(guarding) = self.paused.guarding.take() else {
            return;
        };
        slog::error!(self.tasks.log.lines, "upgrade: the new process has ended; this one takes the work back";
            "started_there" => guarding.started_by_successor.len(), "unanswered" => guarding.forwarded.len());
        self.tasks.now = self.clock.now();
        for (ResponseRoute { request, .. }, client) in guarding.forwarded {
            client.answer(request, Reply::Failed);
        }
        self.tasks.started_by_successor = guarding.started_by_successor;
        self.tasks.frontends.set_paused(false);
        self.registry.send(RegistryCommand::SetPaused(false));
        self.reclaim_link();
        let over: Vec<Handle> = (self.tasks.by_number.values().copied())
            .filter(|task| {
                let slot = self.tasks.slots.get(task.index()).and_then(Option::as_ref);
                slot.is_some_and(|slot| {
                    !slot.started
                        && (slot.back.is_none() || self.tasks.started_by_successor.contains_key(&slot.id))
                })
            })
            .collect();
        // All are marked before the module hears of the first: what it frees must start none of the others.
        for task in &over {
            if let Some(slot) = self.tasks.slot(*task) {
                slot.must_not_start = true;
            }
            self.tasks.answer_failed(*task);
        }
        for task in over {
            if let Some(server) = &mut self.server {
                task.caller_gone(server, self.tasks.now, &mut self.tasks);
            }
        }
        self.tasks.next_tick_at = self.tasks.now;
        self.handle_deferred(mailbox);
    }

    /// What a host does that has given its work away; `true` once it has left.
    pub(crate) fn guard_successor(&mut self, mailbox: &Receiver<EngineMessage>) -> bool {
        let mut hush = Instant::now();
        while self.paused.is_paused() {
            match mailbox.recv_timeout(HUSH) {
                Ok(mail) => self.dispatch(mail, mailbox),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return true,
            }
            self.tasks.now = self.clock.now();
            let Some(guarding) = &mut self.paused.guarding else {
                continue;
            };
            let open = self.tasks.frontends.open_connections();
            if self.paused.must_exit || open == 0 && self.tasks.now > guarding.guard_until + AFTER {
                if let Some(port) = &mut guarding.successor {
                    port.guard_ended();
                }
                slog::info!(self.tasks.log.lines, "upgrade: this process leaves"; "connections" => open);
                return true;
            }
            if Instant::now() >= hush {
                hush = Instant::now() + HUSH;
                self.tasks.frontends.end_answered_connections();
            }
        }
        false
    }
}

#[cfg(test)]
mod tests;
