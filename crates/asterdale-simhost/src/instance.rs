//! One instance: a server, the numbers of its tasks on the wire, and its actions as records of the reply.

use std::collections::HashMap;

use asterdale::events::{Arrival, Gauges};
use asterdale::{Actions, Handle, Server};
use asterdale_parameters::Settings;

use crate::event::{ArrivalRecord, Event, TaskId};
use crate::wire::{action_code, nanoseconds, Problem, Reply};

/// The number of an instance on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InstanceId(pub u16);

/// Maps numbers on the wire to handles and indices of the decisions.
struct Names {
    instance: InstanceId,
    /// Handles of the tasks that have not been released. Never iterated, since the order of a hash map is random.
    handles: HashMap<TaskId, Handle>,
    /// Ids of tasks, by [`Handle::index`].
    ids: Vec<TaskId>,
    /// Small indices of the callers, by their number on the wire.
    callers: HashMap<u32, usize>,
    /// Wire number of the request that is being received.
    arriving: TaskId,
}

impl Names {
    fn new(instance: InstanceId) -> Self {
        Names {
            instance,
            handles: HashMap::new(),
            ids: Vec::new(),
            callers: HashMap::new(),
            arriving: TaskId(0),
        }
    }

    fn caller(&mut self, number: u32) -> usize {
        let next = self.callers.len();
        *self.callers.entry(number).or_insert(next)
    }
}

/// A server, its wire numbers, and the names of its gauges.
pub struct Instance {
    server: Server,
    names: Names,
    /// Names of the gauges, in the order of their values in a tick.
    gauge_names: Vec<String>,
}

impl Instance {
    /// Starts an instance; its first actions go into the reply.
    pub fn start(id: InstanceId, settings: Settings, now_ms: f64, reply: &mut Reply) -> Self {
        let mut names = Names::new(id);
        let mut writer = ActionWriter {
            names: &mut names,
            reply,
        };
        let server = Server::start(settings.decisions, now_ms, &mut writer);
        Instance {
            server,
            names,
            gauge_names: settings.gauge_names,
        }
    }

    /// Calls the server with an event. Events of tasks that have ended are ignored.
    ///
    /// # Errors
    /// A request is of a class that the settings don't have.
    pub fn handle(&mut self, event: Event, now_ms: f64, reply: &mut Reply) -> Result<(), Problem> {
        let known = |names: &Names, task| names.handles.get(&task).copied();
        let server = &mut self.server;
        let names = &mut self.names;
        match event {
            Event::CallNeeded(task) => {
                if let Some(handle) = known(names, task) {
                    handle.call_needed(server, now_ms, &mut ActionWriter { names, reply });
                }
            }
            Event::Drain { remaining_ms } => {
                server.drain(now_ms, remaining_ms, &mut ActionWriter { names, reply });
            }
            Event::CallerGone(task) => {
                if let Some(handle) = known(names, task) {
                    handle.caller_gone(server, now_ms, &mut ActionWriter { names, reply });
                }
            }
            Event::Arrival(record) => return self.receive(record, now_ms, reply),
            Event::Tick(values) => {
                let gauges = gauges(&self.gauge_names, &values);
                server.tick(now_ms, gauges, &mut ActionWriter { names, reply });
            }
            Event::RunEnded { task, outcome } => {
                if let Some(handle) = known(names, task) {
                    let writer = &mut ActionWriter { names, reply };
                    handle.run_ended(server, now_ms, outcome, writer);
                }
            }
            Event::CallEnded {
                task,
                outcome,
                took_ms,
            } => {
                if let Some(handle) = known(names, task) {
                    let writer = &mut ActionWriter { names, reply };
                    handle.call_ended(server, now_ms, outcome, took_ms, writer);
                }
            }
        }
        Ok(())
    }

    fn receive(
        &mut self,
        record: ArrivalRecord,
        now_ms: f64,
        reply: &mut Reply,
    ) -> Result<(), Problem> {
        let (class, classes) = (record.class, self.server.class_count());
        if class >= classes {
            return Err(Problem::UnknownClass { class, classes });
        }
        let names = &mut self.names;
        names.arriving = record.task;
        let arrival = Arrival {
            class,
            tenant: record.tenant,
            caller: names.caller(record.caller),
            unread_ms: record.unread_ms,
            remaining_ms: record.remaining_ms,
            cost_hint_ms: record.cost_hint_ms,
            memory_kb: record.memory_kb,
            is_repeat: record.is_repeat,
        };
        self.server
            .receive(now_ms, arrival, &mut ActionWriter { names, reply });
        Ok(())
    }
}

/// The gauges that the decisions use, by their names on the wire; others are ignored.
fn gauges(names: &[String], values: &[f64]) -> Gauges {
    let mut gauges = Gauges::default();
    for (name, &value) in names.iter().zip(values) {
        match name.as_str() {
            "core_use" => gauges.cpu = Some(value),
            "on_cores" => gauges.on_cores = Some(value),
            "heap_share" => gauges.memory = Some(value),
            "links" => gauges.connections = Some(value),
            _ => {}
        }
    }
    gauges
}

/// Writes the actions of one instance into the reply.
struct ActionWriter<'a> {
    names: &'a mut Names,
    reply: &'a mut Reply,
}

impl ActionWriter<'_> {
    fn action(&mut self, code: u8, fields: &[&[u8]]) {
        self.reply.action(self.names.instance.0, code, fields);
    }

    fn task_action(&mut self, code: u8, task: Handle, fields: &[&[u8]]) {
        let id = self.names.ids[task.index()].0.to_be_bytes();
        let mut all_fields: Vec<&[u8]> = vec![&id];
        all_fields.extend_from_slice(fields);
        self.action(code, &all_fields);
    }
}

impl Actions for ActionWriter<'_> {
    fn accepted(&mut self, task: Handle) {
        let names = &mut *self.names;
        if names.ids.len() <= task.index() {
            names.ids.resize(task.index() + 1, TaskId(0));
        }
        names.ids[task.index()] = names.arriving;
        names.handles.insert(names.arriving, task);
    }

    fn release(&mut self, task: Handle) {
        self.names.handles.remove(&self.names.ids[task.index()]);
    }

    fn start(&mut self, task: Handle) {
        self.task_action(action_code::START, task, &[]);
    }

    fn stop(&mut self, task: Handle) {
        self.task_action(action_code::STOP, task, &[]);
    }

    fn start_call(&mut self, task: Handle, timeout_ms: f64) {
        let fields: &[&[u8]] = &[&nanoseconds(timeout_ms)];
        self.task_action(action_code::START_CALL, task, fields);
    }

    fn skip_call(&mut self, task: Handle) {
        self.task_action(action_code::SKIP_CALL, task, &[]);
    }

    fn join_earlier_attempt(&mut self, task: Handle) {
        self.task_action(action_code::JOIN, task, &[]);
    }

    fn retain_idempotency_entry(&mut self, task: Handle, for_ms: f64) {
        let fields: &[&[u8]] = &[&nanoseconds(for_ms)];
        self.task_action(action_code::RETAIN_ENTRY, task, fields);
    }

    fn drop_idempotency_entry(&mut self, task: Handle) {
        self.task_action(action_code::DROP_ENTRY, task, &[]);
    }

    fn reject(&mut self, task: Handle, last_attempt: bool, retry_after_ms: f64) {
        let fields: &[&[u8]] = &[&[u8::from(last_attempt)], &nanoseconds(retry_after_ms)];
        self.task_action(action_code::REJECT, task, fields);
    }

    fn fail(&mut self, task: Handle) {
        self.task_action(action_code::FAIL, task, &[]);
    }

    fn publish_capacity_hint(&mut self, value: f64) {
        let value = (value as f32).to_be_bytes();
        self.action(action_code::CAPACITY_HINT, &[&value]);
    }

    fn set_health(&mut self, healthy: bool, recorded: bool) {
        let flags = [u8::from(healthy), u8::from(recorded)];
        self.action(action_code::SET_HEALTH, &[&flags]);
    }

    fn set_idle_timeout(&mut self, after_ms: f64) {
        self.action(action_code::SET_IDLE_TIMEOUT, &[&nanoseconds(after_ms)]);
    }

    fn schedule_tick(&mut self, at_ms: f64) {
        // The second field is a number that the simulator returns with the tick; it is not used.
        let fields: &[&[u8]] = &[&nanoseconds(at_ms), &0u32.to_be_bytes()];
        self.action(action_code::SCHEDULE_TICK, fields);
    }
}
