//! The engine: the one actor that owns the server's policies and the task table. It translates messages into calls to
//! the policies, and carries out the policies' actions immediately. It makes no decisions of its own.

mod admission;
mod cancellation;
mod memory_watch;
mod queued_events;
mod refusal;
mod settings;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale::events::Gauges;
use asterdale::Server;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};

use self::memory_watch::MemoryWatch;
pub use self::settings::{EnginePorts, EngineSettings};
pub use crate::clock::unix_ms;
use crate::clock::Clock;
use crate::counters::resident_kib;
use crate::health_check::HealthCheck;
use crate::idempotency::{IdempotencyLimits, IdempotencyTable};
use crate::identity_gate::IdentityGate;
use crate::mailbox::MailboxSender;
use crate::memory::MemoryAccount;
use crate::message::{
    Endpoints, EngineMessage, FleetView, LocalStatus, RegistryCommand, RuntimeLinkCommand, TaskId,
};
#[cfg(feature = "ownership")]
use crate::ownership::OwnershipTable;
#[cfg(feature = "hot-restart")]
use crate::paused::PausedState;
use crate::tasks::{Tasks, TasksInit};

/// Gauges are requested this long before the tick that uses them: several times the runtime's response time.
const GAUGES_LEAD_MS: f64 = 1.5;
/// Gauges older than this are treated as unknown. They are averages over half a second and arrive for every tick.
const GAUGES_STALE_MS: f64 = 500.0;
/// The interval at which expired state is dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The longest wait for a message, in milliseconds, so that deadlines that are not in engine time are noticed in time.
const MAX_WAIT_MS: f64 = 50.0;

/// The actor.
pub struct Engine {
    /// The policies; `None` until the runtime is up or the first request has come.
    pub(crate) server: Option<Server>,
    pub(crate) tasks: Tasks,
    pub(crate) clock: Clock,
    pub(crate) gauges: Gauges,
    /// When the gauges were received, in engine time.
    pub(crate) gauges_at: f64,
    /// Indexes of the edge nodes for the policies, by the nodes' numbers.
    pub(crate) edge_node_indexes: HashMap<u32, usize>,
    /// Deep health checks that wait for the runtime, by their tag.
    pub(crate) health_checks: HashMap<TaskId, HealthCheck>,
    /// Whether the records service was reachable at the last call, whatever its response was.
    pub(crate) records_reachable: bool,
    /// When to request gauges, in engine time.
    pub(crate) gauges_due_at: f64,
    pub(crate) termination_grace_ms: f64,
    pub(crate) endpoints: Endpoints,
    pub(crate) registry: MailboxSender<RegistryCommand>,
    pub(crate) runtime_link: Sender<RuntimeLinkCommand>,
    fleet: Option<Arc<dyn FleetView>>,
    /// The uptime that the runtime reported last, in milliseconds.
    pub(crate) runtime_uptime_ms: Option<f64>,
    /// When this backend has warmed up, in engine time; infinite before the policies have started.
    pub(crate) warming_up_until: f64,
    /// When all requests must have been answered, once this process is draining.
    pub(crate) drain_deadline: Option<Instant>,
    memory_watch: MemoryWatch,
    request_memory: Arc<MemoryAccount>,
    /// Whether the work has been handed over to another process, or is about to be.
    #[cfg(feature = "hot-restart")]
    pub(crate) paused: PausedState,
}

impl Engine {
    /// Creates an engine without tasks.
    pub fn new(init: EngineSettings, ports: EnginePorts) -> Engine {
        let clock = Clock::start();
        let classes = &init.settings.decisions.classes;
        let longest_deadline_ms = classes
            .iter()
            .map(|class| class.deadline_ms)
            .fold(0.0, f64::max);
        let seed = init.settings.decisions.seed;
        let tasks = Tasks::new(TasksInit {
            now: clock.now(),
            settings: init.settings,
            idempotency: IdempotencyTable::new(
                IdempotencyLimits::from(&init.memory),
                longest_deadline_ms,
                seed,
            ),
            identity_gate: IdentityGate::new(init.identity, ports.issuer, &ports.counters),
            #[cfg(feature = "ownership")]
            ownership: OwnershipTable::new(ports.ownership),
            records: ports.records,
            frontends: ports.frontends,
            counters: ports.counters,
            log: ports.log,
        });
        Engine {
            server: None,
            tasks,
            clock,
            gauges: Gauges::default(),
            gauges_at: 0.0,
            edge_node_indexes: HashMap::new(),
            health_checks: HashMap::new(),
            records_reachable: true,
            gauges_due_at: f64::INFINITY,
            termination_grace_ms: init.termination_grace_ms,
            endpoints: init.endpoints,
            registry: ports.registry,
            runtime_link: ports.runtime_link,
            fleet: ports.fleet,
            runtime_uptime_ms: None,
            warming_up_until: f64::INFINITY,
            drain_deadline: None,
            request_memory: ports.request_memory,
            memory_watch: MemoryWatch::new(init.memory.total()),
            #[cfg(feature = "hot-restart")]
            paused: PausedState::default(),
        }
    }

    /// Handles a message, or defers it, or forwards it to the process that has taken over the work.
    #[cfg(feature = "hot-restart")]
    pub(crate) fn dispatch(&mut self, message: EngineMessage, mailbox: &Receiver<EngineMessage>) {
        let message = if self.paused.is_paused() {
            self.forward_to_successor(message)
        } else {
            Some(message)
        };
        match message {
            Some(EngineMessage::HotRestart(step)) => self.hot_restart_step(step, mailbox),
            Some(message) => self.handle(message),
            None => {}
        }
    }

    #[cfg(not(feature = "hot-restart"))]
    fn dispatch(&mut self, message: EngineMessage, _: &Receiver<EngineMessage>) {
        self.handle(message);
    }

    /// Handles messages until the process has shut down gracefully, or all senders are dropped.
    pub fn run(&mut self, mailbox: &Receiver<EngineMessage>) {
        let mut next_sweep = Instant::now() + SWEEP_INTERVAL;
        loop {
            let next_event_at = self.tasks.next_tick_at.min(self.gauges_due_at);
            let wait_ms = (next_event_at - self.clock.now()).clamp(0.0, MAX_WAIT_MS);
            match mailbox.recv_timeout(Duration::from_micros((wait_ms * 1000.0) as u64)) {
                Ok(message) => self.dispatch(message, mailbox),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            #[cfg(feature = "hot-restart")]
            if self.paused.is_paused() && self.run_while_paused(mailbox) {
                return;
            }
            self.run_timers();
            let now = Instant::now();
            self.watch_memory(now);
            if now >= next_sweep {
                next_sweep = now + SWEEP_INTERVAL;
                self.sweep();
            }
            let is_drained = self.drain_deadline.is_some_and(|deadline| now >= deadline);
            if is_drained && self.close_connections(mailbox) {
                return;
            }
        }
    }

    /// Requests gauges and ticks the policies when these are due.
    fn run_timers(&mut self) {
        self.tasks.now = self.clock.now();
        if self.tasks.now >= self.gauges_due_at {
            self.request_gauges();
        }
        if self.tasks.now >= self.tasks.next_tick_at {
            self.tick();
        }
        #[cfg(feature = "ownership")]
        self.ownership_tick();
    }

    /// Exchanges the status with the fleet, drops expired idempotency entries and health checks, and resends the
    /// commands that may be resent by now.
    fn sweep(&mut self) {
        self.exchange_status();
        self.tasks.idempotency.sweep(self.tasks.now);
        self.tasks.resend_pending();
        self.expire_health_checks();
    }

    /// Publishes this process's status to the fleet, and passes the number of other processes to the policies.
    fn exchange_status(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        let load_percent = self
            .gauges
            .cpu
            .map_or(0.0, |cpu| (cpu * 100.0).clamp(0.0, 100.0));
        let draining = self.drain_deadline.is_some();
        fleet.publish_status(LocalStatus {
            accepts_work: self.tasks.is_healthy && !draining,
            warming_up: self.tasks.now < self.warming_up_until,
            draining,
            load: load_percent as u8,
        });
        if let Some(server) = &mut self.server {
            server.set_peers(fleet.peer_counts());
        }
    }

    /// Handles a message, and then the events that the policies' actions have queued.
    pub(crate) fn handle(&mut self, message: EngineMessage) {
        self.tasks.now = self.clock.now();
        match message {
            EngineMessage::Request(request) => self.receive(*request),
            EngineMessage::HealthCheck {
                client,
                request,
                deep,
            } => self.health_check(client, request, deep),
            EngineMessage::Abort(route) => self.abort_request(route),
            EngineMessage::ConnectionClosed(connection) => self.abort_connection(connection),
            EngineMessage::RuntimeConnected(commands) => self.runtime_connected(commands),
            EngineMessage::RuntimeDisconnected => self.runtime_disconnected(),
            EngineMessage::RuntimeNotice(notice, _) => self.runtime_notice(notice),
            EngineMessage::CallEnded(end) => self.call_ended(&end),
            EngineMessage::KeySet(set) => self.adopt_key_set(&set),
            EngineMessage::Reloaded(endpoints, identity) => {
                self.tasks.identity_gate.reload(identity, &self.tasks.log);
                self.endpoints_changed(endpoints);
            }
            #[cfg(feature = "ownership")]
            EngineMessage::OwnershipAnswer(number, answer) => {
                self.ownership_answered(number, &answer);
            }
            #[cfg(feature = "ownership")]
            EngineMessage::OwnerlessRequests(ownerless) => self.take_over(ownerless),
            EngineMessage::Drain => self.drain(),
            EngineMessage::PrintCounters => self.print_counters(),
            #[cfg(feature = "hot-restart")]
            EngineMessage::HotRestart(_) => {} // `dispatch` has handled it
        }
        self.report_queued_events();
    }

    /// Starts the policies, unless they have already started. `uptime_ms` is the uptime of the runtime.
    pub(crate) fn start_server(&mut self, slow_start: bool, uptime_ms: f64) {
        if self.server.is_some() {
            return;
        }
        let now = self.tasks.now;
        let mut settings = self.tasks.settings.decisions.clone();
        settings.slow_start |= slow_start;
        // The shutdown signal may be handled late, by up to the close allowance: the grace period began when it was
        // sent.
        settings.drain_grace_ms = (settings.drain_grace_ms - self.close_allowance_ms()).max(0.0);
        slog::info!(self.tasks.log.lines, "engine: server started";
            "slow_start" => settings.slow_start, "runtime_uptime_ms" => uptime_ms);
        // Slow start is counted from the start of the runtime.
        let (elapsed_ms, warming_up_until) = if settings.slow_start {
            let elapsed_ms = uptime_ms.clamp(0.0, settings.slow_start_ms);
            (elapsed_ms, now - elapsed_ms + settings.slow_start_ms)
        } else {
            (0.0, now)
        };
        self.warming_up_until = warming_up_until;
        self.server = Some(Server::start(settings, now - elapsed_ms, &mut self.tasks));
    }

    /// Ticks the policies.
    pub(crate) fn tick(&mut self) {
        let (now, tasks) = (self.tasks.now, &mut self.tasks);
        // While the link is re-established, the last gauges are still better than none. Stale gauges carry no
        // information.
        if now >= self.gauges_at + GAUGES_STALE_MS {
            self.gauges = Gauges::default();
        }
        if let Some(server) = &mut self.server {
            server.tick(now, self.gauges, tasks);
        }
        self.report_queued_events();
        self.gauges_due_at = self.tasks.next_tick_at - GAUGES_LEAD_MS;
    }

    /// Logs all counters.
    pub fn print_counters(&self) {
        let (tasks, counters) = (&self.tasks, &self.tasks.counters);
        counters.idempotency_keys.set(tasks.idempotency.len());
        counters.result_bytes.set(tasks.idempotency.bytes());
        counters
            .memory_open_requests
            .set(self.request_memory.used());
        counters.memory_tasks.set(tasks.memory_bytes());
        counters
            .memory_retained_commands
            .set(tasks.retained_command_bytes());
        counters
            .memory_idempotency_entries
            .set(tasks.idempotency.entry_bytes());
        counters.memory_kib.set(resident_kib());
        tasks.identity_gate.update_counters();
        slog::info!(tasks.log.lines, "counters: {}", counters);
    }
}
