//! Notices of the runtime, and the ends of calls that its runs have made.

use std::sync::Arc;

use asterdale::events::{Gauges, Outcome};
use asterdale::Actions;

use crate::engine::Engine;
use crate::log::LogLimit;
use crate::message::{CallEnd, RequestId, RunOutcome, RuntimeNotice, TaskId};
use crate::runtime::protocol;
use crate::tasks::PendingCall;

impl Engine {
    pub(crate) fn runtime_notice(&mut self, notice: RuntimeNotice) {
        match notice {
            RuntimeNotice::Ready {
                slow_start,
                uptime_ms,
            } => self.runtime_ready(slow_start, uptime_ms),
            RuntimeNotice::Ignored(sequence) => {
                if let Some(sequence) = sequence {
                    self.is_first_notice(sequence);
                }
            }
            RuntimeNotice::RunEnded {
                sequence,
                id,
                outcome,
                body,
            } => {
                if self.is_first_notice(sequence) {
                    self.run_ended(&id, outcome, body);
                }
            }
            RuntimeNotice::CallNeeded { sequence, id, body } => {
                if self.is_first_notice(sequence) {
                    let notice = sequence;
                    self.call_needed(&id, PendingCall { notice, body });
                }
            }
            RuntimeNotice::Gauges { tag, values } => {
                self.gauges_answered(&tag);
                self.read_gauges(&values);
            }
            RuntimeNotice::HealthVerdict { tag, healthy } => self.health_verdict(&tag, healthy),
            RuntimeNotice::Rejected { command, id } => self.command_rejected(&command, id),
        }
    }

    /// Handles a run that waits for a call to the records service.
    fn call_needed(&mut self, id: &RequestId, call: PendingCall) {
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
            return;
        };
        let Some(task) = tasks.by_id.get(id).copied() else {
            return;
        };
        let Some(record) = tasks.task_mut(task) else {
            return;
        };
        record.pending_call = Some(call);
        record.last_command = None; // the run has continued, so the command has arrived
        task.call_needed(server, tasks.now, tasks);
    }

    fn command_rejected(&mut self, command: &str, id: Option<RequestId>) {
        static REJECTED: LogLimit = LogLimit::new();
        if self.tasks.log.allows(&REJECTED) {
            let task = id.and_then(|id| self.tasks.by_id.get(&id).copied());
            let fields = self.tasks.log_fields(task);
            slog::error!(self.tasks.log.lines, "runtime: command rejected"; "command" => command,
                "id" => fields.id, "class" => fields.class, "tenant" => fields.tenant);
        }
        // After a rejected start nothing runs. After the rejection of another command, the run waits for its call until
        // its task is given up.
        if let (Some(id), "start") = (id, command) {
            self.run_ended(&id, RunOutcome::Noop, Vec::new());
        }
    }

    fn read_gauges(&mut self, values: &[f64]) {
        self.gauges_at = self.tasks.now;
        self.gauges = Gauges::default();
        for (name, &value) in self.tasks.settings.gauge_names.iter().zip(values) {
            match name.as_str() {
                "core_use" => self.gauges.cpu = Some(value),
                "on_cores" => self.gauges.on_cores = Some(value),
                "heap_share" => self.gauges.memory = Some(value),
                "links" => self.gauges.connections = Some(value),
                _ => {}
            }
        }
    }

    /// Handles the end of a run, or a run that was never started.
    pub(super) fn run_ended(&mut self, id: &RequestId, outcome: RunOutcome, body: Vec<u8>) {
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
            return;
        };
        let never_ran = outcome == RunOutcome::Noop;
        let result: Option<Arc<[u8]>> = (outcome == RunOutcome::Passed).then(|| body.into());
        #[cfg(feature = "hot-restart")]
        tasks.complete_successor_run(id, never_ran, result.as_ref());
        let Some(task) = tasks.by_id.get(id).copied() else {
            return;
        };
        let policy_outcome = match (outcome, &result) {
            (RunOutcome::Passed, Some(result)) => {
                tasks.counters.runs_passed.add();
                #[cfg(feature = "ownership")]
                tasks.replicate_outcome(task, result);
                if tasks.answer_served(task, result.clone()) {
                    tasks.counters.tasks_served.add();
                }
                Outcome::Ok
            }
            (RunOutcome::Killed, _) => {
                tasks.counters.runs_killed.add();
                Outcome::Cancelled
            }
            (RunOutcome::Noop, _) => {
                tasks.counters.runs_killed.add();
                Outcome::Stale
            }
            _ => {
                tasks.counters.runs_failed.add();
                tasks.answer_failed(task);
                Outcome::Failed
            }
        };
        #[cfg(feature = "ownership")]
        tasks.end_ownership(task, never_ran);
        if never_ran {
            tasks.drop_idempotency_entry(task); // another request under this key may still run
        } else {
            tasks.complete_key(task, result.as_ref());
        }
        task.run_ended(server, tasks.now, policy_outcome, tasks);
    }

    /// Handles the end of a call to the records service.
    pub(crate) fn call_ended(&mut self, end: &CallEnd) {
        let (number, outcome) = (end.task, end.outcome);
        if self.server.is_none() {
            return;
        }
        if outcome == Outcome::Ok {
            self.tasks.counters.calls_passed.add();
        } else {
            self.tasks.counters.calls_failed.add();
        }
        self.log_records_reachability(number, outcome);
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
            return;
        };
        let Some(task) = tasks.by_number.get(&number).copied() else {
            return; // its task has ended
        };
        if outcome == Outcome::Ok {
            let Some(record) = tasks.task_mut(task) else {
                return;
            };
            if record.pending_call.take().is_none() {
                return;
            }
            let line = protocol::give(&record.id, &end.body);
            tasks.send_command(task, line, false);
        }
        task.call_ended(server, tasks.now, outcome, end.duration_ms, tasks);
    }

    /// Logs when the records service becomes unreachable, and when it responds again.
    fn log_records_reachability(&mut self, number: TaskId, outcome: Outcome) {
        static UNREACHABLE: LogLimit = LogLimit::new();
        static REACHABLE: LogLimit = LogLimit::new();
        let is_reachable = !matches!(outcome, Outcome::Unreachable | Outcome::Reset);
        if is_reachable == self.records_reachable {
            return;
        }
        self.records_reachable = is_reachable;
        let tasks = &self.tasks;
        if is_reachable && tasks.log.allows(&REACHABLE) {
            slog::info!(tasks.log.lines, "records: service responds again");
        } else if !is_reachable && tasks.log.allows(&UNREACHABLE) {
            let fields = tasks.log_fields(tasks.by_number.get(&number).copied());
            slog::warn!(tasks.log.lines, "records: call failed, service unreachable";
                "outcome" => ?outcome, "id" => fields.id, "class" => fields.class,
                "tenant" => fields.tenant);
        }
    }
}
