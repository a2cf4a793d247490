//! The task table itself: lookups and answers.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use asterdale::Handle;
use asterdale_parameters::Settings;

use super::link::RuntimeLink;
use super::recent_ids::RecentIds;
use super::record::{LogFields, TaskRecord};
use crate::counters::Counters;
use crate::idempotency::IdempotencyTable;
use crate::identity_gate::IdentityGate;
use crate::log::Log;
use crate::memory::spread_retry_after_ms;
use crate::message::{request_id_text, Frontends, Reply, RequestId, ResponseRoute, TaskId};
#[cfg(feature = "hot-restart")]
use crate::message::{IdempotencyKey, Mirror};
#[cfg(feature = "ownership")]
use crate::ownership::OwnershipTable;
use crate::records::Records;

/// What a task table is created with.
pub struct TasksInit {
    /// The engine's time, in milliseconds.
    pub now: f64,
    /// Settings of the policies.
    pub settings: Arc<Settings>,
    /// The idempotency table.
    pub idempotency: IdempotencyTable,
    /// Authentication and authorization of callers.
    pub identity_gate: IdentityGate,
    /// Replicated ownership.
    #[cfg(feature = "ownership")]
    pub ownership: OwnershipTable,
    /// Makes calls to the records service.
    pub records: Records,
    /// All connections.
    pub frontends: Arc<dyn Frontends>,
    /// Counters.
    pub counters: Arc<Counters>,
    /// The log.
    pub log: Log,
}

/// All state of the engine that the policies' actions change. The state of the policies is not part of it.
pub struct Tasks {
    /// Settings of the policies.
    pub settings: Arc<Settings>,
    /// The engine's time at the message that is being handled, in milliseconds.
    pub now: f64,
    /// When the next tick of the policies is due.
    pub next_tick_at: f64,
    /// The tasks, by the index of their handle.
    pub slots: Vec<Option<TaskRecord>>,
    /// Handles of the tasks that are not released, by request id.
    pub by_id: HashMap<RequestId, Handle>,
    /// The same handles, by task number.
    pub by_number: HashMap<TaskId, Handle>,
    /// Handles of the tasks that are not answered, by route.
    pub by_route: HashMap<ResponseRoute, Handle>,
    /// Ids of side-effecting requests that were started, also of those that are released.
    pub started_ids: RecentIds,
    /// The last task number that was assigned.
    pub last_number: TaskId,
    /// The task that is being received, until the policies give it a handle.
    pub arriving: Option<TaskRecord>,
    /// The idempotency table.
    pub idempotency: IdempotencyTable,
    /// Authentication and authorization of callers.
    pub identity_gate: IdentityGate,
    /// Tasks that joined an earlier attempt that has ended, with its result. Like the entries of the two queues below,
    /// they are reported to the policies once the current call to the policies has returned.
    pub joined_results: VecDeque<(TaskId, Option<Arc<[u8]>>)>,
    /// Tasks whose call could not be made.
    pub calls_not_made: VecDeque<TaskId>,
    /// Tasks that were not started.
    pub runs_not_started: VecDeque<TaskId>,
    /// Reports to the old process what it needs to take the work back if this process ends.
    #[cfg(feature = "hot-restart")]
    pub mirror: Option<Mirror>,
    /// Tasks that the new process started before this one took its work back.
    #[cfg(feature = "hot-restart")]
    pub started_by_successor: HashMap<RequestId, Option<(IdempotencyKey, TaskId)>>,
    /// Replicated ownership.
    #[cfg(feature = "ownership")]
    pub ownership: OwnershipTable,
    /// The link to the runtime.
    pub runtime: RuntimeLink,
    /// Makes calls to the records service.
    pub records: Records,
    /// All connections.
    pub frontends: Arc<dyn Frontends>,
    /// The policies' verdict: whether health checks pass.
    pub is_healthy: bool,
    /// Whether the verdict also applies to deep health checks; otherwise the runtime is asked.
    pub health_is_cached: bool,
    /// Counters.
    pub counters: Arc<Counters>,
    /// The log.
    pub log: Log,
}

impl Tasks {
    /// An empty table.
    pub fn new(init: TasksInit) -> Tasks {
        Tasks {
            settings: init.settings,
            now: init.now,
            next_tick_at: f64::INFINITY,
            slots: Vec::new(),
            by_id: HashMap::new(),
            started_ids: RecentIds::default(),
            by_number: HashMap::new(),
            by_route: HashMap::new(),
            last_number: 0,
            arriving: None,
            idempotency: init.idempotency,
            identity_gate: init.identity_gate,
            joined_results: VecDeque::new(),
            calls_not_made: VecDeque::new(),
            runs_not_started: VecDeque::new(),
            #[cfg(feature = "hot-restart")]
            mirror: None,
            #[cfg(feature = "hot-restart")]
            started_by_successor: HashMap::new(),
            #[cfg(feature = "ownership")]
            ownership: init.ownership,
            runtime: RuntimeLink::default(),
            records: init.records,
            frontends: init.frontends,
            is_healthy: true,
            health_is_cached: true,
            counters: init.counters,
            log: init.log,
        }
    }

    /// The task of this handle.
    pub fn task(&self, task: Handle) -> Option<&TaskRecord> {
        self.slots.get(task.index())?.as_ref()
    }

    /// The task of this handle, to be changed.
    pub fn task_mut(&mut self, task: Handle) -> Option<&mut TaskRecord> {
        self.slots.get_mut(task.index())?.as_mut()
    }

    /// Counts a request that a table has no capacity for. Returns its reply: it never ran.
    pub fn reject_for_full_table(&self) -> Reply {
        let rejected = &self.counters.requests_overloaded;
        rejected.add();
        self.counters.idempotency_table_full.add();
        let max_ms = self.settings.decisions.max_retry_after_ms;
        Reply::Rejected {
            is_final: false,
            retry_after_ms: spread_retry_after_ms(max_ms, rejected.get()),
        }
    }

    /// The memory of all tasks without their commands, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let records = self.slots.iter().flatten();
        records.map(TaskRecord::memory_bytes).sum()
    }

    /// The memory of the commands that may have to be sent again, in bytes.
    pub fn retained_command_bytes(&self) -> usize {
        let records = self.slots.iter().flatten();
        let commands = records.filter_map(|record| record.last_command.as_ref());
        commands.map(|command| command.line.capacity()).sum()
    }

    /// The fields that identify a task in a log line; empty for a task that has ended.
    pub fn log_fields(&self, task: Option<Handle>) -> LogFields {
        let Some(record) = task.and_then(|task| self.task(task)) else {
            return LogFields::default();
        };
        LogFields {
            id: request_id_text(&record.id).to_owned(),
            class: self.settings.class_names[record.class].clone(),
            tenant: record
                .caller
                .as_ref()
                .map_or_else(String::new, |caller| caller.claims.tenant.clone()),
        }
    }

    /// Answers a task whose client still waits; no other place does. Returns `false` if no client waits.
    pub fn answer(&mut self, task: Handle, reply: Reply) -> bool {
        let Some(responder) = self
            .task_mut(task)
            .and_then(|record| record.responder.take())
        else {
            return false;
        };
        self.by_route.remove(&responder.route());
        self.counters.tasks_open.sub();
        responder.answer(reply);
        true
    }

    /// Answers a task with a result. Returns `false` if no client waits.
    pub fn answer_served(&mut self, task: Handle, result: Arc<[u8]>) -> bool {
        self.answer(task, Reply::Served(result))
    }

    /// Answers a task as failed, if its client still waits.
    pub fn answer_failed(&mut self, task: Handle) {
        if self.answer(task, Reply::Failed) {
            self.counters.tasks_failed.add();
        }
    }
}
