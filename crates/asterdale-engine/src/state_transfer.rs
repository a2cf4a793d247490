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
use crate::idempotency::Passed as Remembered;
use crate::message::{
    Connection, EngineMessage, IdempotencyKey, RegistryCommand, Reply, RequestId, ResponseRoute,
    RuntimeLinkCommand, TaskId,
};
use crate::paused::Guarding;
use crate::runtime;
use crate::tasks::{Sent, Slot, Tasks};

/// Proof that all commands on the link have arrived is waited for so long before the state is made without it.
const PROOF: Duration = Duration::from_millis(250);
/// How often connections that are still there are asked to end, once the work is another's.
const HUSH: Duration = Duration::from_millis(50);
/// A guardian stays for so long after the last window that it knows of, in milliseconds.
const AFTER: f64 = 1000.0;

pub use crate::message::{HotRestartStep, Mirror, MirroredEvent, SuccessorLink};

/// A task that passes.
#[derive(Serialize, Deserialize)]
struct PassedTask {
    handle: Handle,
    serial: TaskId,
    id: RequestId,
    stage: usize,
    body: Vec<u8>,
    sign: u64,
    way: Option<ResponseRoute>,
    mark: Option<IdempotencyKey>,
    caller: Option<Caller>,
    place: Option<(u32, String)>,
    started: bool,
    void: bool,
    wants: Option<(u64, Vec<u8>)>,
    sent: Option<Sent>,
}

/// All that passes.
#[derive(Serialize, Deserialize)]
struct Passed {
    now: f64,
    server: Option<Vec<u8>>,
    serial: TaskId,
    tasks: Vec<PassedTask>,
    remembered: Remembered,
    identity: Option<asterdale_identity::Passed>,
    callers: HashMap<u32, usize>,
    /// The last notice read, and the gauges asked for and come.
    link: (u64, u64, u64),
    good: bool,
    stored: bool,
}

/// Whether a host with so many stages could go on with this state.
pub fn check_state(state: &[u8], stages: usize) -> Result<(), String> {
    let passed: Passed = rmp_serde::from_slice(state).map_err(|e| format!("the state: {e}"))?;
    let Some(server) = passed.server else {
        return Ok(());
    };
    let server = Server::restore(&server).map_err(|e| format!("the module's state: {e:?}"))?;
    if server.class_count() != stages {
        return Err("the start file has other stages than the state".to_owned());
    }
    Ok(())
}

fn encode(passed: &Passed) -> Vec<u8> {
    // Maps, lists and numbers alone are written, into memory: that can't fail.
    rmp_serde::to_vec_named(passed).unwrap_or_default()
}

fn task(handle: Handle, slot: &Slot, tasks: &Tasks) -> PassedTask {
    PassedTask {
        handle,
        serial: slot.serial,
        id: slot.id,
        stage: slot.stage,
        body: slot.body.clone(),
        sign: slot.sign,
        way: slot.back.as_ref().map(|(client, request)| ResponseRoute {
            connection: client.connection_id(),
            request: *request,
        }),
        mark: slot.mark.clone(),
        caller: slot.caller.as_deref().cloned(),
        place: slot
            .seat
            .as_ref()
            .and_then(|seat| tasks.callers.place(seat)),
        started: slot.started,
        void: slot.void,
        wants: slot.wants.clone(),
        sent: slot.sent.clone(),
    }
}

impl Engine {
    fn pass(&self) -> Vec<u8> {
        let tasks = &self.tasks;
        let all = tasks.by_serial.values().filter_map(|handle| {
            let slot = tasks.slots.get(handle.index())?.as_ref()?;
            Some(task(*handle, slot, tasks))
        });
        encode(&Passed {
            now: tasks.now,
            server: self.server.as_ref().map(Server::snapshot),
            serial: tasks.serial,
            tasks: all.collect(),
            remembered: tasks
                .fingerprints
                .pass(failpoint::is_active(Failpoint::Unpassed)),
            identity: tasks.callers.pass(),
            callers: self.callers.clone(),
            link: (tasks.link.last, tasks.link.asked, tasks.link.came),
            good: tasks.good,
            stored: tasks.stored,
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
        let passed: Passed = rmp_serde::from_slice(state).map_err(|e| format!("the state: {e}"))?;
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
        tasks.serial = passed.serial;
        tasks.fingerprints.go_on(passed.remembered);
        if let Some(identity) = passed.identity {
            tasks.callers.go_on(passed.now, identity)?;
        }
        for task in passed.tasks {
            if task.stage >= stages || task.handle.index() > 1 << 24 {
                return Err("a task of the state makes no sense".to_owned());
            }
            let seat = task.place.and_then(|place| tasks.callers.replace(&place));
            let back = task.way.map(|way| (client(way.connection), way.request));
            tasks.arriving = Some(Slot {
                serial: task.serial,
                id: task.id,
                stage: task.stage,
                body: task.body,
                sign: task.sign,
                back,
                mark: task.mark,
                caller: task.caller.map(Arc::new),
                seat,
                started: task.started,
                void: task.void,
                #[cfg(feature = "ownership")]
                kept: None, // a process that hands over talks with nobody
                wants: task.wants,
                sent: task.sent,
            });
            tasks.counters.tasks_taken.add();
            tasks.counters.tasks_open.add();
            tasks.accepted(task.handle);
        }
        (tasks.link.last, tasks.link.asked, tasks.link.came) = passed.link;
        (tasks.good, tasks.stored) = (passed.good, passed.stored);
        tasks.mirror = mirror.filter(|_| !failpoint::is_active(Failpoint::Unmirrored));
        tasks.wake_at = passed.now;
        host.callers = passed.callers;
        host.server = server;
        Ok(host)
    }

    /// A word for the log of where this host stands.
    pub fn summary(&self) -> Option<asterdale::snapshot::Summary> {
        self.server.as_ref().map(Server::summary)
    }

    /// One step of a handover.
    pub(crate) fn step(&mut self, step: HotRestartStep, mailbox: &Receiver<EngineMessage>) {
        match step {
            // Of one that leaves there is nothing to take: the way back is dropped.
            HotRestartStep::Rehearse(_) | HotRestartStep::Freeze(_) if self.leave_by.is_some() => {}
            HotRestartStep::Rehearse(to) => drop(to.send(self.pass())),
            HotRestartStep::Freeze(to) => self.freeze(&to, mailbox),
            HotRestartStep::Thaw => {
                self.aside.frozen = false;
                self.tasks.wake_at = self.tasks.wake_at.min(self.clock.now());
                self.link_again();
                self.handle_kept(mailbox);
            }
            HotRestartStep::Commit(port) => self.give(port, mailbox),
            HotRestartStep::PeerReply(way, reply) => self.relay(way, reply),
            HotRestartStep::Mirrored(what) => self.mirrored(what),
            HotRestartStep::Resume => self.resume(mailbox),
            HotRestartStep::Exit => {
                if let Some(guarding) = &mut self.aside.guarding {
                    guarding.until = f64::NEG_INFINITY;
                }
            }
            HotRestartStep::GuardEnded => self.tasks.mirror = None,
        }
    }

    fn handle_kept(&mut self, mailbox: &Receiver<EngineMessage>) {
        for mail in std::mem::take(&mut self.aside.kept) {
            self.take_mail(mail, mailbox);
        }
    }

    /// Stops. What was sent to the runtime has arrived by the time the state is made, or counts as unproven;
    /// what the runtime says meanwhile is in the state. Nothing new is started: the link takes no commands.
    fn freeze(&mut self, to: &Sender<Vec<u8>>, mailbox: &Receiver<EngineMessage>) {
        let end = Instant::now() + PROOF;
        if self.tasks.link.commands.is_some() && !self.tasks.link.replaying {
            self.tasks
                .send(runtime::ask("gauges", crate::runtime_events::LAST));
        }
        self.tasks.link.replaying = true;
        while self.tasks.link.commands.is_some() {
            let left = end.saturating_duration_since(Instant::now());
            match mailbox.recv_timeout(left) {
                Ok(mail @ EngineMessage::RuntimeNotice(_)) => self.take_mail(mail, mailbox),
                Ok(mail) => self.aside.kept.push(mail),
                Err(_) => break,
            }
        }
        self.tasks.link.commands = None;
        let _ = self.moves.send(RuntimeLinkCommand::SetPaused(true));
        self.checks_end();
        self.aside.frozen = true;
        self.tasks.now = self.clock.now();
        let _ = to.send(self.pass());
    }

    /// The link is this process's again: what may not have arrived is sent again on the new one.
    fn link_again(&mut self) {
        self.tasks.link.replaying = true;
        let _ = self.moves.send(RuntimeLinkCommand::SetPaused(false));
    }

    fn give(&mut self, port: Box<dyn SuccessorLink>, mailbox: &Receiver<EngineMessage>) {
        let until = self.tasks.fingerprints.last_window().max(self.tasks.now);
        self.aside.frozen = false;
        self.aside.guarding = Some(Guarding {
            port: Some(port),
            until,
            ..Guarding::default()
        });
        self.list.send(RegistryCommand::SetPaused(true));
        self.tasks.fronts.set_paused(true);
        self.tasks.fronts.end_answered_connections();
        slog::info!(self.tasks.log.lines, "upgrade: the work is the new process's; this one guards it";
            "gist" => ?self.summary());
        self.handle_kept(mailbox);
    }

    /// Carries mail to the successor; gives back what is this host's own all the same.
    pub(crate) fn carry(&mut self, mail: EngineMessage) -> Option<EngineMessage> {
        let Some(Guarding {
            carried,
            port: Some(port),
            ..
        }) = &mut self.aside.guarding
        else {
            if matches!(mail, EngineMessage::HotRestart(_)) {
                return Some(mail);
            }
            self.aside.kept.push(mail);
            return None;
        };
        match mail {
            EngineMessage::Request(request) => {
                let way = request.route();
                if carried.contains_key(&way) || self.tasks.by_way.contains_key(&way) {
                    request.client.discard_request();
                } else {
                    port.forward_request(way, &request);
                    carried.insert(way, request.client);
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
                carried.insert(way, client);
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
            EngineMessage::Drain => self.aside.gone = true,
            mail @ (EngineMessage::PrintCounters | EngineMessage::HotRestart(_)) => {
                return Some(mail)
            }
        }
        None
    }

    fn relay(&mut self, way: ResponseRoute, reply: Reply) {
        if let Some(task) = self.tasks.by_way.get(&way).copied() {
            self.tasks.answer(task, reply);
            return;
        }
        let Some(guarding) = &mut self.aside.guarding else {
            return;
        };
        if let Some(client) = guarding.carried.remove(&way) {
            client.answer(way.request, reply);
        }
    }

    fn mirrored(&mut self, what: MirroredEvent) {
        let Some(guarding) = &mut self.aside.guarding else {
            return;
        };
        let tasks = &mut self.tasks;
        match what {
            MirroredEvent::KeyRetained {
                key: mark,
                owner,
                until_ms: until,
            } => {
                guarding.until = guarding.until.max(until);
                tasks.serial = tasks.serial.max(owner.0);
                // Whoever waited for an earlier one is the other's.
                drop(tasks.fingerprints.remember(mark, owner, until, None));
            }
            MirroredEvent::TaskStarted { id, key: mark } => {
                tasks.serial = tasks
                    .serial
                    .max(mark.as_ref().map_or(0, |(_, owner)| *owner));
                guarding.elsewhere.insert(id, mark);
            }
            MirroredEvent::TaskEnded {
                key: mark,
                owner,
                result,
            } => {
                drop(tasks.fingerprints.ended(&mark, owner, tasks.now, result));
            }
            MirroredEvent::KeyDropped { key: mark, owner } => {
                drop(tasks.fingerprints.forget(&mark, owner))
            }
        }
    }

    /// Takes the work back. What the other has started is not started again here: its clients hear that nothing
    /// is promised, and its results come with the notices that were missed.
    fn resume(&mut self, mailbox: &Receiver<EngineMessage>) {
        let Some(guarding) = self.aside.guarding.take() else {
            return;
        };
        slog::error!(self.tasks.log.lines, "upgrade: the new process has ended; this one takes the work back";
            "started_there" => guarding.elsewhere.len(), "unanswered" => guarding.carried.len());
        self.tasks.now = self.clock.now();
        for (ResponseRoute { request, .. }, client) in guarding.carried {
            client.answer(request, Reply::Failed);
        }
        self.tasks.elsewhere = guarding.elsewhere;
        self.tasks.fronts.set_paused(false);
        self.list.send(RegistryCommand::SetPaused(false));
        self.link_again();
        let over: Vec<Handle> = (self.tasks.by_serial.values().copied())
            .filter(|task| {
                let slot = self.tasks.slots.get(task.index()).and_then(Option::as_ref);
                slot.is_some_and(|slot| {
                    !slot.started
                        && (slot.back.is_none() || self.tasks.elsewhere.contains_key(&slot.id))
                })
            })
            .collect();
        // All are marked before the module hears of the first: what it frees must start none of the others.
        for task in &over {
            if let Some(slot) = self.tasks.slot(*task) {
                slot.void = true;
            }
            self.tasks.failed(*task);
        }
        for task in over {
            if let Some(server) = &mut self.server {
                task.caller_gone(server, self.tasks.now, &mut self.tasks);
            }
        }
        self.tasks.wake_at = self.tasks.now;
        self.handle_kept(mailbox);
    }

    /// What a host does that has given its work away; `true` once it has left.
    pub(crate) fn guard(&mut self, mailbox: &Receiver<EngineMessage>) -> bool {
        let mut hush = Instant::now();
        while self.aside.stands() {
            match mailbox.recv_timeout(HUSH) {
                Ok(mail) => self.take_mail(mail, mailbox),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return true,
            }
            self.tasks.now = self.clock.now();
            let Some(guarding) = &mut self.aside.guarding else {
                continue;
            };
            let open = self.tasks.fronts.open_connections();
            if self.aside.gone || open == 0 && self.tasks.now > guarding.until + AFTER {
                if let Some(port) = &mut guarding.port {
                    port.guard_ended();
                }
                slog::info!(self.tasks.log.lines, "upgrade: this process leaves"; "connections" => open);
                return true;
            }
            if Instant::now() >= hush {
                hush = Instant::now() + HUSH;
                self.tasks.fronts.end_answered_connections();
            }
        }
        false
    }
}
