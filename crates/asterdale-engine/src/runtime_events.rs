//! What the module's actor does with the word of the runtime, with calls and checks: the link, its replay and its moves,
//! gauges, ends of runs and of calls.

use std::sync::Arc;
use std::time::Instant;

use asterdale::events::{Gauges, Outcome};
use asterdale::Actions;
use crossbeam_channel::Sender;

use crate::checks::{answer_health_check, Check, LONGEST_CHECK};
use crate::engine::Engine;
use crate::log::Kind;
use crate::message::{
    Connection, Endpoints, RegistryCommand, RequestId, RunOutcome, RuntimeLinkCommand,
    RuntimeNotice, TaskId,
};
use crate::runtime;
use crate::tasks::{SentCommand, Slot};

/// A runtime that owes gauges for so many beats (3 s) may have lost its link without a word. A new one does no
/// harm.
const SILENT: u32 = 300;
/// Before the link moves to another address, so long is waited for the proof that all commands arrived.
const MOVING_MS: f64 = 300.0;

/// A runtime that has been up for less than before, by more than this, is another one: what it says is rounded.
const RESTART_SLACK_MS: f64 = 1000.0;
/// A notice with a number further ahead than this makes no sense: as many are not missed between two links.
const MOST_AHEAD: u64 = 1_000_000;

/// Marks the gauges whose coming proves that all commands on a link that is to end arrived.
pub(crate) const LAST: &str = "last";
/// Marks the gauges whose coming shows that all missed notices were sent.
const REPLAY: &str = "replay";

impl Engine {
    /// Asks for the gauges, a moment before the beat that uses them. A runtime that is slow to answer is not
    /// asked again meanwhile, or for half a second.
    pub(crate) fn request_gauges(&mut self) {
        self.gauges_due_at = f64::INFINITY;
        let now = self.tasks.now;
        let tasks = &mut self.tasks;
        let link = &mut tasks.runtime;
        // Counted by beats: while the machine pauses there are none, and the runtime owes nothing.
        if now >= link.move_deadline {
            (link.move_deadline, link.commands) = (f64::INFINITY, None);
        }
        let owed = if link.is_replaying {
            link.is_ready
        } else {
            link.gauges_requested != link.gauges_received
        };
        link.silent_ticks = if owed { link.silent_ticks + 1 } else { 0 };
        if link.silent_ticks >= SILENT {
            link.silent_ticks = 0;
            link.commands = None; // the link ends, and is made again
        }
        let due = link.gauges_requested == link.gauges_received || now >= link.gauges_requested_at + 500.0;
        if link.commands.is_some() && !link.is_replaying && due {
            link.gauges_requested_at = now;
            let line = runtime::ask("gauges", &tasks.runtime.gauges_requested.to_string());
            tasks.runtime.gauges_requested += 1;
            tasks.send(line);
        }
    }

    pub(crate) fn runtime_connected(&mut self, commands: Sender<String>) {
        let _ = commands.try_send(runtime::sync(self.tasks.runtime.last_notice));
        let link = &mut self.tasks.runtime;
        (link.commands, link.is_replaying, link.is_ready) = (Some(commands), true, false);
        link.move_deadline = f64::INFINITY;
    }

    /// The runtime is up and sends the notices that were missed. What was under way when the last link broke
    /// may have arrived or not: until the answer to this, which comes after them, nothing else is sent, so
    /// that no run that has ended is started. Asked any sooner, a runtime that is not up turns it down.
    pub(crate) fn runtime_ready(&mut self, cold: bool, ago_ms: f64) {
        let up_before = self.runtime_up_ms.replace(ago_ms);
        let replaced = up_before.is_some_and(|before| ago_ms + RESTART_SLACK_MS < before);
        if self.server.is_none() {
            self.start_server(cold, ago_ms);
        } else if up_before.is_none() || replaced {
            self.runtime_started(cold, ago_ms);
        }
        if replaced {
            self.runtime_replaced();
        }
        let link = &mut self.tasks.runtime;
        (link.is_ready, link.silent_ticks) = (true, 0);
        if let Some(commands) = &link.commands {
            let _ = commands.try_send(runtime::ask("gauges", REPLAY));
        }
    }

    /// The runtime has said how it began when the module had begun already.
    fn runtime_started(&mut self, cold: bool, ago_ms: f64) {
        let now = self.tasks.now;
        let cold = cold || self.tasks.settings.decisions.slow_start;
        slog::info!(self.tasks.log.lines, "host: the runtime has begun"; "cold" => cold, "ago_ms" => ago_ms);
        self.warming_up_until = if cold {
            now - ago_ms + self.tasks.settings.decisions.slow_start_ms
        } else {
            now
        };
        if let Some(server) = &mut self.server {
            server.runtime_started(cold, now - ago_ms);
        }
    }

    /// Another runtime is in the place of the one before: it numbers its notices anew, and whatever had been handed
    /// to the one before may have run and will never be heard of.
    fn runtime_replaced(&mut self) {
        static REPLACED: Kind = Kind::new();
        let handed = |slot: &&Slot| slot.started && slot.last_command.as_ref().is_none_or(SentCommand::may_have_arrived);
        let lost: Vec<RequestId> = self
            .tasks
            .slots
            .iter()
            .flatten()
            .filter(handed)
            .map(|slot| slot.id)
            .collect();
        if self.tasks.log.allows(&REPLACED) {
            slog::error!(self.tasks.log.lines, "runtime: it has been replaced"; "runs_lost" => lost.len());
        }
        self.tasks.runtime.last_notice = 0;
        for id in lost {
            self.run_ended(&id, RunOutcome::Failed, Vec::new());
        }
    }

    /// All missed notices are read: what may not have arrived is sent again.
    pub(crate) fn replayed(&mut self) {
        self.tasks.runtime.is_replaying = false;
        self.tasks.resend(true);
    }

    /// The start file was read again. Calls and reports go to the new addresses from now on. The link to the
    /// runtime moves once all commands on the old one have arrived: what comes meanwhile waits for the new.
    pub(crate) fn endpoints_changed(&mut self, to: Endpoints) {
        let was = std::mem::replace(&mut self.endpoints, to);
        self.tasks.counters.reloads.add();
        slog::info!(self.tasks.log.lines, "host: the start file is read again"; "runtime" => %to.runtime,
            "records" => %to.records, "registry" => %to.registry);
        self.tasks.records.go_to(to.records);
        if was.registry != to.registry {
            self.registry.send(RegistryCommand::SetAddress(to.registry));
        }
        if was.runtime == to.runtime {
            return;
        }
        let _ = self.runtime_link.send(RuntimeLinkCommand::SetAddress(to.runtime));
        if self.tasks.runtime.is_replaying {
            // One that is moving goes on; one that takes nothing yet has nothing to lose.
            if !self.tasks.runtime.move_deadline.is_finite() {
                self.tasks.runtime.commands = None;
            }
        } else if self.tasks.send(runtime::ask("gauges", LAST)) {
            (self.tasks.runtime.is_replaying, self.tasks.runtime.move_deadline) =
                (true, self.tasks.now + MOVING_MS);
        }
    }

    /// Every command on the link that is to end has arrived.
    pub(crate) fn commands_flushed(&mut self) {
        let link = &mut self.tasks.runtime;
        link.gauges_requested += 1;
        (link.gauges_received, link.move_deadline, link.commands) = (link.gauges_requested, f64::INFINITY, None);
    }

    /// A notice is counted once, whichever link it came over.
    pub(crate) fn is_first_notice(&mut self, no: u64) -> bool {
        let last = self.tasks.runtime.last_notice;
        if no > last.saturating_add(MOST_AHEAD) {
            // Taken for the last, it would have all true ones passed over as known.
            self.tasks.counters.runtime_lines_malformed.add();
            return false;
        }
        self.tasks.runtime.last_notice = last.max(no);
        no > last
    }

    pub(crate) fn runtime_notice(&mut self, line: RuntimeNotice) {
        static NACK: Kind = Kind::new();
        match line {
            RuntimeNotice::Ready {
                slow_start: cold,
                uptime_ms: time_ms,
            } => self.runtime_ready(cold, time_ms),
            RuntimeNotice::Ignored(no) => drop(no.map(|no| self.is_first_notice(no))),
            RuntimeNotice::RunEnded {
                sequence: no,
                id,
                outcome: how,
                body,
            } if self.is_first_notice(no) => self.run_ended(&id, how, body),
            RuntimeNotice::CallNeeded {
                sequence: no,
                id,
                body,
            } if self.is_first_notice(no) => {
                let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
                    return;
                };
                let Some(task) = tasks.by_id.get(&id).copied() else {
                    return;
                };
                let Some(slot) = tasks.slot(task) else { return };
                (slot.pending_call, slot.last_command) = (Some((no, body)), None);
                task.call_needed(server, tasks.now, tasks);
            }
            RuntimeNotice::RunEnded { .. } | RuntimeNotice::CallNeeded { .. } => {}
            RuntimeNotice::Gauges { tag: mark, values } => {
                match mark.parse::<u64>() {
                    Ok(number) => self.tasks.runtime.gauges_received = self.tasks.runtime.gauges_received.max(number + 1),
                    Err(_) if mark == REPLAY => self.replayed(),
                    Err(_) if mark == LAST => self.commands_flushed(),
                    Err(_) => {}
                }
                self.read_gauges(&values);
            }
            RuntimeNotice::HealthVerdict {
                tag: mark,
                healthy: good,
            } => {
                let check = mark
                    .parse()
                    .ok()
                    .and_then(|number: u64| self.health_checks.remove(&number));
                if let Some(check) = check {
                    answer_health_check(&check.client, check.request, good);
                }
            }
            RuntimeNotice::Rejected { command, id } => {
                if self.tasks.log.allows(&NACK) {
                    let about = id.and_then(|id| self.tasks.by_id.get(&id).copied());
                    let about = about
                        .and_then(|task| self.tasks.log_fields(task))
                        .unwrap_or_default();
                    slog::error!(self.tasks.log.lines, "runtime: a command was not carried out";
                        "command" => &command, "id" => about.id, "stage" => about.class,
                        "tenant" => about.tenant);
                }
                // Nothing runs. A run that waits at its call stays there until its task is given up.
                if let (Some(id), "start") = (id, command.as_str()) {
                    self.run_ended(&id, RunOutcome::Noop, Vec::new());
                }
            }
        }
    }

    pub(crate) fn read_gauges(&mut self, values: &[f64]) {
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

    pub(crate) fn run_ended(&mut self, id: &RequestId, how: RunOutcome, body: Vec<u8>) {
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
            return;
        };
        let result: Option<Arc<[u8]>> = (how == RunOutcome::Passed).then(|| body.into());
        #[cfg(feature = "hot-restart")]
        tasks.complete_successor_run(id, how == RunOutcome::Noop, result.as_ref());
        let Some(task) = tasks.by_id.get(id).copied() else {
            return;
        };
        let outcome = match (how, &result) {
            (RunOutcome::Passed, Some(result)) => {
                tasks.counters.runs_passed.add();
                #[cfg(feature = "ownership")]
                tasks.outcome(task, result);
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
        tasks.over_without(task, how == RunOutcome::Noop);
        if how == RunOutcome::Noop {
            tasks.drop_idempotency_entry(task); // nothing was started: a true try under this key may still run
        } else {
            tasks.complete_key(task, result.as_ref());
        }
        task.run_ended(server, tasks.now, outcome, tasks);
    }

    pub(crate) fn call_ended(&mut self, who: TaskId, outcome: Outcome, took_ms: f64, body: &[u8]) {
        static RECORDS: Kind = Kind::new();
        static REPLIES: Kind = Kind::new();
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
            return;
        };
        if outcome == Outcome::Ok {
            tasks.counters.calls_passed.add();
        } else {
            tasks.counters.calls_failed.add();
        }
        let well = !matches!(outcome, Outcome::Unreachable | Outcome::Reset);
        if well != self.records_reachable {
            self.records_reachable = well;
            if well && tasks.log.allows(&REPLIES) {
                slog::info!(tasks.log.lines, "records: replies again");
            } else if !well && tasks.log.allows(&RECORDS) {
                let about = tasks
                    .by_number
                    .get(&who)
                    .copied()
                    .and_then(|task| tasks.log_fields(task));
                let about = about.unwrap_or_default();
                slog::warn!(tasks.log.lines, "records: a call broke"; "how" => ?outcome, "id" => about.id,
                    "stage" => about.class, "tenant" => about.tenant);
            }
        }
        let Some(task) = tasks.by_number.get(&who).copied() else {
            return;
        }; // its task is over
        if outcome == Outcome::Ok {
            let Some(slot) = tasks.slot(task) else { return };
            if slot.pending_call.take().is_none() {
                return;
            }
            let line = runtime::give(&slot.id, body);
            tasks.send_command(task, line, false);
        }
        task.call_ended(server, tasks.now, outcome, took_ms, tasks);
    }

    pub(crate) fn health_check(&mut self, client: Arc<dyn Connection>, request: u16, deep: bool) {
        let tasks = &mut self.tasks;
        tasks.counters.checks.add();
        if deep && !tasks.health_is_cached && tasks.is_healthy {
            if tasks.runtime.commands.is_none() || tasks.runtime.is_replaying {
                return answer_health_check(&client, request, false);
            }
            tasks.last_number += 1;
            self.health_checks.insert(
                tasks.last_number,
                Check {
                    client,
                    request,
                    since: Instant::now(),
                },
            );
            let line = runtime::ask("selftest", &tasks.last_number.to_string());
            tasks.send(line);
            return;
        }
        answer_health_check(&client, request, tasks.is_healthy);
    }

    /// Nobody will say how the deep checks end.
    pub(crate) fn fail_health_checks(&mut self) {
        self.health_checks
            .drain()
            .for_each(|(_, check)| answer_health_check(&check.client, check.request, false));
    }

    /// Checks that nobody waits for any more end.
    pub(crate) fn expire_health_checks(&mut self) {
        self.health_checks.retain(|_, check| {
            let waits = check.since.elapsed() < LONGEST_CHECK;
            if !waits {
                answer_health_check(&check.client, check.request, false);
            }
            waits
        });
    }
}
