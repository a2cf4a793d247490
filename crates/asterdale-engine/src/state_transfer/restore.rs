//! Export and restore of an engine's state.

use std::sync::Arc;

use asterdale::{Actions, Server};
use asterdale_identity::failpoint::{self, Failpoint};

use super::format::{TransferredLink, TransferredState, TransferredTask};
use crate::engine::{Engine, EnginePorts, EngineSettings};
use crate::memory::MemoryReservation;
use crate::message::{Connection, Mirror, Responder};
use crate::tasks::{TaskRecord, Tasks};

/// The highest index of a task's handle that is accepted. The task table allocates all slots below an index, so a
/// forged handle must not exhaust the memory.
const MAX_TASK_INDEX: usize = 1 << 24;

/// Why a state cannot be restored.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    /// The bytes are no state.
    #[error("the state cannot be read")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// The policies' part cannot be restored.
    #[error("the policies' state cannot be restored")]
    Policies(#[from] asterdale::snapshot::InvalidSnapshot),
    /// The start file has another number of request classes.
    #[error("the start file has {expected} request classes, the state has {found}")]
    ClassCount {
        /// In the start file.
        expected: usize,
        /// In the state.
        found: usize,
    },
    /// The state has authenticated callers, and the start file does not configure identity.
    #[error("identity is on in the state, and off in the start file")]
    IdentityOff,
    /// The identity part cannot be restored.
    #[error("the identity state cannot be restored")]
    Identity(#[from] asterdale_identity::IdentityError),
    /// A task's class or handle is out of range.
    #[error("task {number} of the state is invalid")]
    InvalidTask {
        /// The task's number.
        number: u64,
    },
}

/// Restores the policies, if they had started.
fn restore_server(
    snapshot: Option<Vec<u8>>,
    classes: usize,
) -> Result<Option<Server>, RestoreError> {
    let Some(snapshot) = snapshot else {
        return Ok(None);
    };
    let server = Server::restore(&snapshot)?;
    if server.class_count() != classes {
        return Err(RestoreError::ClassCount {
            expected: classes,
            found: server.class_count(),
        });
    }
    Ok(Some(server))
}

/// Checks that an engine with this many request classes could restore this state.
///
/// # Errors
/// If it could not.
pub fn check_state(state: &[u8], classes: usize) -> Result<(), RestoreError> {
    let state = TransferredState::decode(state)?;
    restore_server(state.server, classes).map(drop)
}

impl Engine {
    /// The state as bytes.
    pub(super) fn export(&self) -> Vec<u8> {
        let tasks = &self.tasks;
        let transferred = tasks.by_number.values().filter_map(|handle| {
            let record = tasks.task(*handle)?;
            Some(TransferredTask::new(*handle, record, tasks))
        });
        let state = TransferredState {
            now: tasks.now,
            server: self.server.as_ref().map(Server::snapshot),
            last_number: tasks.last_number,
            tasks: transferred.collect(),
            idempotency: tasks
                .idempotency
                .export(failpoint::is_active(Failpoint::EntriesNotTransferred)),
            identity: tasks.identity_gate.export(),
            edge_node_indexes: self.edge_node_indexes.clone(),
            link: TransferredLink {
                last_notice: tasks.runtime.last_notice,
                gauges_requested: tasks.runtime.gauges_requested,
                gauges_received: tasks.runtime.gauges_received,
            },
            is_healthy: tasks.is_healthy,
            health_is_cached: tasks.health_is_cached,
        };
        state.encode()
    }

    /// Creates an engine that continues from the state of another process. `client` makes a connection that answers
    /// over the connection of the other process with the given number. The mirror is notified of what the other process
    /// must know.
    ///
    /// # Errors
    /// If the state is malformed, or does not fit the start file.
    pub fn restore(
        settings: EngineSettings,
        ports: EnginePorts,
        state: &[u8],
        client: &dyn Fn(u64) -> Arc<dyn Connection>,
        mirror: Option<Mirror>,
    ) -> Result<Engine, RestoreError> {
        let state = TransferredState::decode(state)?;
        let classes = settings.settings.class_names.len();
        let server = restore_server(state.server, classes)?;
        let mut engine = Engine::new(settings, ports);
        engine.clock.set(state.now);
        let tasks = &mut engine.tasks;
        tasks.now = state.now;
        tasks.last_number = state.last_number;
        tasks.idempotency.import(state.idempotency);
        if let Some(identity) = state.identity {
            let policy = tasks.identity_gate.identity_mut();
            policy
                .ok_or(RestoreError::IdentityOff)?
                .restore_state(state.now, identity)?;
        }
        for task in state.tasks {
            if task.class >= classes || task.handle.index() > MAX_TASK_INDEX {
                return Err(RestoreError::InvalidTask {
                    number: task.number,
                });
            }
            tasks.restore_task(task, client);
        }
        tasks.runtime.last_notice = state.link.last_notice;
        tasks.runtime.gauges_requested = state.link.gauges_requested;
        tasks.runtime.gauges_received = state.link.gauges_received;
        tasks.is_healthy = state.is_healthy;
        tasks.health_is_cached = state.health_is_cached;
        tasks.mirror = mirror.filter(|_| !failpoint::is_active(Failpoint::Unmirrored));
        tasks.next_tick_at = state.now;
        engine.edge_node_indexes = state.edge_node_indexes;
        engine.server = server;
        Ok(engine)
    }

    /// A summary of the policies' state for the log; `None` before they have started.
    pub fn summary(&self) -> Option<asterdale::snapshot::Summary> {
        self.server.as_ref().map(Server::summary)
    }
}

impl Tasks {
    fn restore_task(&mut self, task: TransferredTask, client: &dyn Fn(u64) -> Arc<dyn Connection>) {
        let permit_owner = task.permit_owner.as_ref();
        let quota_permit = permit_owner.and_then(|key| self.identity_gate.reacquire_permit(key));
        let responder = task.route.map(|route| Responder {
            client: client(route.connection),
            request: route.request,
        });
        self.arriving = Some(TaskRecord {
            number: task.number,
            id: task.id,
            class: task.class,
            body: task.body,
            body_digest: task.body_digest,
            responder,
            idempotency_key: task.idempotency_key,
            caller: task.caller.map(Arc::new),
            quota_permit,
            started: task.started,
            must_not_start: task.must_not_start,
            #[cfg(feature = "ownership")]
            ownership: None, // a process that can do a hot restart is not in a fleet
            pending_call: task.pending_call,
            last_command: task.last_command,
            _memory: MemoryReservation::default(),
        });
        self.counters.tasks_taken.add();
        self.counters.tasks_open.add();
        self.accepted(task.handle);
    }
}
