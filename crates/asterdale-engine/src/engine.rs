//! The module's actor: owns the server's decisions, its tasks, their bodies, fingerprints and results, and is
//! the only one to call the module. Mail becomes calls on it; its answers become messages at once. It decides
//! nothing by itself.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale::events::{Arrival, Gauges, Outcome, PeerCounts};
use asterdale::parameters::Idempotency;
use asterdale::{Actions, Server};
use asterdale_identity::{Ask, Identity};
use asterdale_parameters::Settings;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};

use crate::checks::Check;
pub use crate::clock::unix_ms;
use crate::clock::Clock;
use crate::counters::{resident_kib, Counters};
use crate::idempotency::IdempotencyTable;
use crate::identity_gate::IdentityGate;
use crate::log::Log;
use crate::mailbox::MailboxSender;
use crate::message::{
    Endpoints, EngineMessage, FleetView, Frontends, KeyRefresh, LocalStatus, RegistryCommand,
    Reply, Request, RequestHead, ResponseRoute, RuntimeLinkCommand, TaskId,
};
use crate::records::Records;
use crate::tasks::{RuntimeLink, Slot, Tasks};

/// Gauges are asked for so long before the beat that uses them: several times what the answer takes.
const AHEAD_MS: f64 = 1.5;
/// Callers that the module is told apart, by their numbers. Beyond that their indices are given out anew, so
/// that numbers made up at random, or ever new ones, don't fill the memory. Far more than there are edge nodes,
/// and what the module counts of each fades within seconds.
const MOST_CALLERS: usize = 4096;
/// What is kept for nobody is looked for this often.
const SWEEP: Duration = Duration::from_secs(1);

/// Gauges older than this count as none. They are averages over half a second and come at every beat.
const STALE_MS: f64 = 500.0;

/// The actors around the host, and what all share.
pub struct EnginePorts {
    /// Makes calls.
    pub records: Records,
    /// Have the connections.
    pub frontends: Arc<dyn Frontends>,
    /// The list's actor.
    pub registry: MailboxSender<RegistryCommand>,
    /// The runtime's actor hears here where it is to link to, or not.
    pub runtime_link: Sender<RuntimeLinkCommand>,
    /// The issuer's actor, where there is one.
    pub issuer: Option<Sender<KeyRefresh>>,
    /// The other processes of the fleet, where this one talks with them.
    pub fleet: Option<Arc<dyn FleetView>>,
    /// Those who keep work in hand.
    #[cfg(feature = "ownership")]
    pub ownership: Option<Arc<dyn crate::message::OwnershipClient>>,
    /// Counts.
    pub counters: Arc<Counters>,
    /// Has lines.
    pub log: Log,
}

/// What the host is told at its start.
pub struct EngineSettings {
    /// What the decisions are told.
    pub settings: Arc<Settings>,
    /// Memory of this process, in bytes.
    pub memory_bytes: usize,
    /// From the notice to leave until the process is killed, in milliseconds.
    pub termination_grace_ms: f64,
    /// Where the peers listen.
    pub endpoints: Endpoints,
    /// Whether callers must be known, and what that takes.
    pub identity: Option<Identity>,
}

/// The actor.
pub struct Engine {
    pub(crate) server: Option<Server>,
    pub(crate) tasks: Tasks,
    pub(crate) clock: Clock,
    pub(crate) gauges: Gauges,
    /// When they came.
    pub(crate) gauges_at: f64,
    /// Small indices of the callers, by their number.
    pub(crate) edge_node_indexes: HashMap<u32, usize>,
    /// Deep checks that wait for the runtime, by their number.
    pub(crate) health_checks: HashMap<TaskId, Check>,
    /// The last call got a reply, whatever it said.
    pub(crate) records_reachable: bool,
    /// When to ask for gauges.
    pub(crate) gauges_due_at: f64,
    pub(crate) termination_grace_ms: f64,
    /// Where the peers listen.
    pub(crate) endpoints: Endpoints,
    pub(crate) registry: MailboxSender<RegistryCommand>,
    pub(crate) runtime_link: Sender<RuntimeLinkCommand>,
    fleet: Option<Arc<dyn FleetView>>,
    /// How long the runtime had been up when it last said so.
    pub(crate) runtime_up_ms: Option<f64>,
    /// Until when it counts as cold, once the module has begun.
    pub(crate) warming_up_until: f64,
    /// When all must be answered, once the notice has come.
    pub(crate) drain_deadline: Option<Instant>,
    /// Whether the work is another process's, or about to be.
    #[cfg(feature = "hot-restart")]
    pub(crate) paused: crate::paused::PausedState,
}

impl Engine {
    /// A host with nothing in it.
    pub fn new(begin: EngineSettings, around: EnginePorts) -> Engine {
        let EnginePorts {
            records,
            frontends: fronts,
            registry: list,
            runtime_link: moves,
            issuer,
            fleet: company,
            #[cfg(feature = "ownership")]
                ownership: custody,
            counters,
            log,
        } = around;
        let EngineSettings {
            settings: facts,
            memory_bytes: memory,
            termination_grace_ms: stop_ms,
            endpoints: peers,
            identity,
        } = begin;
        let longest = facts
            .decisions
            .classes
            .iter()
            .map(|s| s.deadline_ms)
            .fold(0.0, f64::max);
        let clock = Clock::start();
        Engine {
            server: None,
            tasks: Tasks {
                now: clock.now(),
                next_tick_at: f64::INFINITY,
                slots: Vec::new(),
                by_id: HashMap::new(),
                by_number: HashMap::new(),
                by_route: HashMap::new(),
                last_number: 0,
                arriving: None,
                idempotency: IdempotencyTable::new(memory, longest, facts.decisions.seed),
                identity_gate: IdentityGate::new(identity, issuer, &counters),
                joined_results: VecDeque::new(),
                calls_not_made: VecDeque::new(),
                runs_not_started: VecDeque::new(),
                #[cfg(feature = "hot-restart")]
                mirror: None,
                #[cfg(feature = "hot-restart")]
                started_by_successor: HashMap::new(),
                #[cfg(feature = "ownership")]
                ownership: crate::ownership::Desk::new(custody),
                runtime: RuntimeLink::default(),
                records,
                frontends: fronts,
                is_healthy: true,
                health_is_cached: true,
                counters,
                log,
                settings: facts,
            },
            clock,
            gauges: Gauges::default(),
            gauges_at: 0.0,
            edge_node_indexes: HashMap::new(),
            health_checks: HashMap::new(),
            records_reachable: true,
            gauges_due_at: f64::INFINITY,
            termination_grace_ms: stop_ms,
            endpoints: peers,
            registry: list,
            runtime_link: moves,
            fleet: company,
            runtime_up_ms: None,
            warming_up_until: f64::INFINITY,
            drain_deadline: None,
            #[cfg(feature = "hot-restart")]
            paused: crate::paused::PausedState::default(),
        }
    }

    /// Handles mail, or keeps it, or carries it to another process: whosever the work is.
    #[cfg(feature = "hot-restart")]
    pub(crate) fn dispatch(&mut self, mail: EngineMessage, mailbox: &Receiver<EngineMessage>) {
        let mail = if self.paused.is_paused() {
            self.forward_to_successor(mail)
        } else {
            Some(mail)
        };
        match mail {
            Some(EngineMessage::HotRestart(step)) => self.hot_restart_step(step, mailbox),
            Some(mail) => self.handle(mail),
            None => {}
        }
    }

    #[cfg(not(feature = "hot-restart"))]
    fn take_mail(&mut self, mail: EngineMessage, _: &Receiver<EngineMessage>) {
        self.handle(mail);
    }

    /// Handles mail until the backend has left.
    pub fn run(&mut self, mailbox: &Receiver<EngineMessage>) {
        let mut sweep = Instant::now() + SWEEP;
        loop {
            let wait = (self.tasks.next_tick_at.min(self.gauges_due_at) - self.clock.now()).clamp(0.0, 50.0);
            match mailbox.recv_timeout(Duration::from_micros((wait * 1000.0) as u64)) {
                Ok(mail) => self.dispatch(mail, mailbox),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            #[cfg(feature = "hot-restart")]
            if self.paused.is_paused() && self.guard_successor(mailbox) {
                return;
            }
            self.tasks.now = self.clock.now();
            if self.tasks.now >= self.gauges_due_at {
                self.request_gauges();
            }
            if self.tasks.now >= self.tasks.next_tick_at {
                self.tick();
            }
            #[cfg(feature = "ownership")]
            self.custody_tick();
            let at = Instant::now();
            if at >= sweep {
                sweep = at + SWEEP;
                self.sweep();
            }
            if self.drain_deadline.is_some_and(|by| at >= by) && self.close_connections(mailbox) {
                return;
            }
        }
    }

    /// Drops what is kept for nobody: fingerprints that have lapsed, checks that nobody waits for, runs that
    /// may never have begun.
    fn sweep(&mut self) {
        self.company();
        self.tasks.idempotency.sweep(self.tasks.now);
        self.tasks.resend(false);
        self.expire_health_checks();
    }

    /// Says to the other processes of the fleet what this one is doing, and hears how many there are.
    fn company(&mut self) {
        let Some(company) = &self.fleet else { return };
        let load = self
            .gauges
            .cpu
            .map_or(0.0, |cpu| (cpu * 100.0).clamp(0.0, 100.0));
        let cold = self.tasks.now < self.warming_up_until;
        let leaves = self.drain_deadline.is_some();
        company.publish_status(LocalStatus {
            accepts_work: self.tasks.is_healthy && !leaves,
            warming_up: cold,
            draining: leaves,
            load: load as u8,
        });
        if let Some(server) = &mut self.server {
            let counts = company.peer_counts();
            server.set_peers(counts.map(|(present, ready)| PeerCounts { present, ready }));
        }
    }

    pub(crate) fn handle(&mut self, mail: EngineMessage) {
        self.tasks.now = self.clock.now();
        match mail {
            EngineMessage::Request(request) => self.take(*request),
            EngineMessage::HealthCheck {
                client,
                request,
                deep,
            } => self.health_check(client, request, deep),
            EngineMessage::Abort(way) => {
                #[cfg(feature = "ownership")]
                self.tasks.left_parked(|parked| parked == way);
                self.abort_request(way);
            }
            EngineMessage::ConnectionClosed(connection) => {
                #[cfg(feature = "ownership")]
                self.tasks
                    .left_parked(|parked| parked.connection == connection);
                self.close_connection(connection);
            }
            EngineMessage::RuntimeConnected(commands) => self.runtime_connected(commands),
            EngineMessage::RuntimeDisconnected => {
                self.tasks.runtime.commands = None;
                self.fail_health_checks();
            }
            EngineMessage::RuntimeNotice(line) => self.runtime_notice(line),
            EngineMessage::CallEnded {
                task,
                outcome,
                duration_ms: took_ms,
                body,
            } => self.call_ended(task, outcome, took_ms, &body),
            EngineMessage::KeySet(set) => self.adopt_key_set(&set),
            EngineMessage::Reloaded(peers, facts) => {
                self.tasks.identity_gate.reload(facts, &self.tasks.log);
                self.endpoints_changed(peers);
            }
            #[cfg(feature = "ownership")]
            EngineMessage::OwnershipAnswer(number, answer) => self.kept(number, answer),
            #[cfg(feature = "ownership")]
            EngineMessage::OwnerlessRequests(all) => self.offered(all),
            EngineMessage::Drain => self.drain(),
            EngineMessage::PrintCounters => self.print_counters(),
            #[cfg(feature = "hot-restart")]
            EngineMessage::HotRestart(_) => {}
        }
        self.settle();
    }

    /// Starts the module, unless it has begun.
    pub(crate) fn start_server(&mut self, cold: bool, ago_ms: f64) {
        if self.server.is_none() {
            let mut told = self.tasks.settings.decisions.clone();
            told.slow_start |= cold;
            // The notice to leave may lie as long as answers may, before it is heeded: the grace began then.
            told.drain_grace_ms = (told.drain_grace_ms - self.close_allowance_ms()).max(0.0);
            slog::info!(self.tasks.log.lines, "host: begun"; "cold" => told.slow_start, "ago_ms" => ago_ms);
            // A cold server warms from the runtime's start on.
            let since = if told.slow_start {
                ago_ms.clamp(0.0, told.slow_start_ms)
            } else {
                0.0
            };
            self.warming_up_until = if told.slow_start {
                self.tasks.now - since + told.slow_start_ms
            } else {
                self.tasks.now
            };
            self.server = Some(Server::start(told, self.tasks.now - since, &mut self.tasks));
        }
    }

    pub(crate) fn tick(&mut self) {
        let (now, tasks) = (self.tasks.now, &mut self.tasks);
        // While a link is made anew the last gauges still tell more than none; old ones tell nothing.
        if now >= self.gauges_at + STALE_MS {
            self.gauges = Gauges::default();
        }
        if let Some(server) = &mut self.server {
            server.tick(now, self.gauges, tasks);
        }
        self.settle();
        self.gauges_due_at = self.tasks.next_tick_at - AHEAD_MS;
    }

    fn take(&mut self, request: Request) {
        self.take_in(request, false);
    }

    /// Takes a task in: one that the keepers were asked about already, or that has none.
    pub(crate) fn take_in(&mut self, request: Request, looked: bool) {
        #[cfg(not(feature = "ownership"))]
        let _ = looked;
        let Request {
            head: asked,
            token,
            certificate,
            body,
            client,
            request,
            received_at: since,
        } = request;
        let RequestHead {
            id,
            class: stage,
            tenant,
            start_ms,
            edge_node: caller,
            timeout_ms,
            cost_hint_ms: hint_ms,
            memory_kb: kb,
            idempotency_key: mut mark,
        } = asked;
        let tasks = &mut self.tasks;
        if tasks.by_route.contains_key(&ResponseRoute {
            connection: client.connection_id(),
            request,
        }) {
            // Two answers under one number could not be told apart: the first request keeps it.
            tasks.counters.requests_duplicate.add();
            return client.discard_request();
        }
        // Stamps are by the Unix clock, as is this difference alone.
        let since_ms = (unix_ms() - start_ms).max(0.0);
        // A stamp from before all else on its connection was read is wrong, and would be taken for a backlog.
        let unread_ms = since_ms.min(since.elapsed().as_secs_f64() * 1000.0);
        let ask = Ask {
            token: token.as_deref(),
            certificate: certificate.as_deref(),
            edge: caller,
            arrived_ms: tasks.now - unread_ms,
        };
        let who = match tasks.identify_caller(ask, (id, stage), &mut mark) {
            Ok(who) => who,
            Err(reply) => return client.answer(request, reply),
        };
        if tasks.by_id.contains_key(&id) {
            tasks.counters.tasks_malformed.add();
            return client.answer(request, Reply::Malformed);
        }
        let sign = tasks.idempotency.digest(&body);
        if mark
            .as_ref()
            .is_some_and(|mark| tasks.idempotency.has_other_body(mark, sign))
        {
            // Another task under a known key: its result is not this one's.
            tasks.counters.tasks_malformed.add();
            return client.answer(request, Reply::Malformed);
        }
        let repeat = mark
            .as_ref()
            .is_some_and(|mark| tasks.idempotency.is_repeat(mark, tasks.now - since_ms));
        #[cfg(feature = "ownership")]
        let mut kept = None;
        #[cfg(feature = "ownership")]
        if let Some(mark) = mark.as_ref().filter(|_| !repeat) {
            let owner = who.as_deref().map_or("", |who| &who.claims.tenant);
            let left_ms =
                timeout_ms.unwrap_or(tasks.settings.decisions.classes[stage].deadline_ms) - since_ms;
            kept = tasks.keeps(mark, owner, (left_ms, hint_ms, kb), &body);
            if let (Some(kept), false) = (&kept, looked) {
                let mark = Some(mark.clone());
                let asked = RequestHead {
                    id,
                    class: stage,
                    tenant,
                    start_ms,
                    edge_node: caller,
                    timeout_ms,
                    cost_hint_ms: hint_ms,
                    memory_kb: kb,
                    idempotency_key: mark,
                };
                let request = Request {
                    head: asked,
                    token,
                    certificate,
                    body,
                    client,
                    request,
                    received_at: since,
                };
                return tasks.look(request, kept);
            }
        }
        let marked = tasks.settings.decisions.classes[stage].idempotency == Idempotency::Keyed;
        if marked && !repeat && tasks.idempotency.is_full() {
            // It could not be remembered, and so must not run.
            tasks.counters.requests_overloaded.add();
            return client.answer(request, Reply::Overloaded);
        }
        let seat = match tasks.permit_request(who.as_deref(), (id, stage), hint_ms, repeat) {
            Ok(seat) => seat,
            Err(reply) => return client.answer(request, reply),
        };
        tasks.counters.tasks_taken.add();
        tasks.counters.tasks_open.add();
        if self.edge_node_indexes.len() >= MOST_CALLERS {
            self.edge_node_indexes.clear();
        }
        let left_ms = timeout_ms.map(|ms| (ms - since_ms).max(0.0));
        #[cfg(feature = "ownership")]
        let left_ms = kept
            .as_ref()
            .map_or(left_ms, |kept| Some(kept.of_use_ms(tasks.now)));
        let next = self.edge_node_indexes.len();
        let caller = *self.edge_node_indexes.entry(caller).or_insert(next);
        let arrival = Arrival {
            class: stage,
            tenant: tasks.identity_gate.tenant_index(who.as_deref(), tenant),
            caller,
            unread_ms,
            remaining_ms: left_ms,
            cost_hint_ms: hint_ms,
            memory_kb: kb,
            is_repeat: repeat,
        };
        tasks.last_number += 1;
        let (serial, back) = (tasks.last_number, Some((client, request)));
        let (caller, started, void, wants, sent) = (who, false, false, None, None);
        tasks.arriving = Some(Slot {
            number: serial,
            id,
            class: stage,
            body,
            body_digest: sign,
            back,
            idempotency_key: mark,
            caller,
            quota_seat: seat,
            started,
            must_not_start: void,
            #[cfg(feature = "ownership")]
            ownership: kept,
            pending_call: wants,
            last_command: sent,
        });
        // No request comes before the runtime is up, but for one by a list that is out of date: until the runtime says
        // otherwise the server counts as one that has just started.
        self.start_server(true, 0.0);
        if let Some(server) = &mut self.server {
            server.receive(self.tasks.now, arrival, &mut self.tasks);
        }
    }

    /// A set of keys has come. Whoever is revoked by it hears so at once where nothing runs for him yet; what
    /// runs goes on, and its result is kept.
    fn adopt_key_set(&mut self, set: &[u8]) {
        if !self
            .tasks
            .identity_gate
            .adopt_key_set(self.tasks.now, set, &self.tasks.log)
        {
            return;
        }
        // All are answered before the module hears of the first: what it frees must start none of the others.
        let revoked = self.tasks.revoked_tasks();
        for (serial, reply) in &revoked {
            let tasks = &mut self.tasks;
            let Some(task) = tasks.by_number.get(serial).copied() else {
                continue;
            };
            if let Some(slot) = tasks.slot(task) {
                slot.must_not_start = true;
            }
            tasks.answer(task, reply.clone());
            tasks.counters.tasks_revoked.add();
        }
        for (serial, _) in revoked {
            let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
                return;
            };
            if let Some(task) = tasks.by_number.get(&serial).copied() {
                task.caller_gone(server, tasks.now, tasks);
            }
        }
    }

    /// Nobody waits any more for this request.
    fn abort_request(&mut self, way: ResponseRoute) {
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
            return;
        };
        let Some(task) = tasks.by_route.remove(&way) else {
            return;
        };
        let Some((client, request)) = tasks.slot(task).and_then(|slot| slot.back.take()) else {
            return;
        };
        tasks.counters.tasks_aborted.add();
        tasks.counters.tasks_open.sub();
        // It is owed nothing; this frees its number on the connection.
        client.answer(request, Reply::CallerGone);
        #[cfg(feature = "ownership")]
        if tasks.goes_on(task) {
            return;
        }
        task.caller_gone(server, tasks.now, tasks);
    }

    /// A connection broke: nobody waits for what is open on it.
    fn close_connection(&mut self, connection: u64) {
        let all = self
            .tasks
            .by_route
            .keys()
            .filter(|way| way.connection == connection);
        for way in all.copied().collect::<Vec<_>>() {
            self.abort_request(way);
        }
    }

    /// Whatever became known while the module was deciding is told to it now.
    pub(crate) fn settle(&mut self) {
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
            return;
        };
        loop {
            if let Some((who, result)) = tasks.joined_results.pop_front() {
                let Some(task) = tasks.by_number.get(&who).copied() else {
                    continue;
                };
                let outcome = match result {
                    Some(result) => {
                        if tasks.answer_served(task, result) {
                            tasks.counters.tasks_joined.add();
                        }
                        Outcome::Ok
                    }
                    #[cfg(feature = "ownership")]
                    None if tasks.heard_in_vain(task) => Outcome::Failed,
                    None => {
                        tasks.answer_failed(task);
                        Outcome::Failed
                    }
                };
                task.run_ended(server, tasks.now, outcome, tasks);
            } else if let Some(who) = tasks.calls_not_made.pop_front() {
                let Some(task) = tasks.by_number.get(&who).copied() else {
                    continue;
                };
                tasks.counters.calls_failed.add();
                task.call_ended(server, tasks.now, Outcome::Unreachable, 0.0, tasks);
            } else if let Some(who) = tasks.runs_not_started.pop_front() {
                let Some(task) = tasks.by_number.get(&who).copied() else {
                    continue;
                };
                tasks.drop_idempotency_entry(task); // nothing was started: another of its tenant's may still run
                task.run_ended(server, tasks.now, Outcome::Stale, tasks);
            } else {
                return;
            }
        }
    }

    /// Prints the counters.
    pub fn print_counters(&self) {
        let tasks = &self.tasks;
        tasks
            .counters
            .idempotency_keys
            .set(tasks.idempotency.len());
        tasks.counters.result_bytes.set(tasks.idempotency.bytes());
        tasks.counters.memory_kib.set(resident_kib());
        tasks.identity_gate.update_counters();
        slog::info!(tasks.log.lines, "counters: {}", tasks.counters);
    }
}
