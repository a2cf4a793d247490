//! What the module's actor does with the word of the runtime, with calls and checks: the link, its replay and its moves,
//! gauges, ends of runs and of calls.

use std::sync::Arc;
use std::time::Instant;

use asterdale::parameters::{Gauges, Outcome};
use asterdale::Actions;
use crossbeam_channel::Sender;

use crate::checks::{checked, Check, LONGEST_CHECK};
use crate::engine::Engine;
use crate::log::Kind;
use crate::message::{
    Connection, Endpoints, RegistryCommand, RequestId, RunOutcome, RuntimeLinkCommand,
    RuntimeNotice, TaskId,
};
use crate::runtime;
use crate::tasks::{Sent, Slot};

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
    pub(crate) fn ask(&mut self) {
        self.ask_at = f64::INFINITY;
        let now = self.tasks.now;
        let tasks = &mut self.tasks;
        let link = &mut tasks.link;
        // Counted by beats: while the machine pauses there are none, and the runtime owes nothing.
        if now >= link.move_by {
            (link.move_by, link.commands) = (f64::INFINITY, None);
        }
        let owed = if link.replaying {
            link.ready
        } else {
            link.asked != link.came
        };
        link.silent = if owed { link.silent + 1 } else { 0 };
        if link.silent >= SILENT {
            link.silent = 0;
            link.commands = None; // the link ends, and is made again
        }
        let due = link.asked == link.came || now >= link.asked_at + 500.0;
        if link.commands.is_some() && !link.replaying && due {
            link.asked_at = now;
            let line = runtime::ask("gauges", &tasks.link.asked.to_string());
            tasks.link.asked += 1;
            tasks.send(line);
        }
    }

    pub(crate) fn linked(&mut self, commands: Sender<String>) {
        let _ = commands.try_send(runtime::sync(self.tasks.link.last));
        let link = &mut self.tasks.link;
        (link.commands, link.replaying, link.ready) = (Some(commands), true, false);
        link.move_by = f64::INFINITY;
    }

    /// The runtime is up and sends the notices that were missed. What was under way when the last link broke
    /// may have arrived or not: until the answer to this, which comes after them, nothing else is sent, so
    /// that no run that has ended is started. Asked any sooner, a runtime that is not up turns it down.
    pub(crate) fn ready(&mut self, cold: bool, ago_ms: f64) {
        let up_before = self.runtime_up_ms.replace(ago_ms);
        let replaced = up_before.is_some_and(|before| ago_ms + RESTART_SLACK_MS < before);
        if self.server.is_none() {
            self.begin(cold, ago_ms);
        } else if up_before.is_none() || replaced {
            self.runtime_began(cold, ago_ms);
        }
        if replaced {
            self.runtime_replaced();
        }
        let link = &mut self.tasks.link;
        (link.ready, link.silent) = (true, 0);
        if let Some(commands) = &link.commands {
            let _ = commands.try_send(runtime::ask("gauges", REPLAY));
        }
    }

    /// The runtime has said how it began when the module had begun already.
    fn runtime_began(&mut self, cold: bool, ago_ms: f64) {
        let now = self.tasks.now;
        let cold = cold || self.tasks.facts.decisions.slow_start;
        slog::info!(self.tasks.log.lines, "host: the runtime has begun"; "cold" => cold, "ago_ms" => ago_ms);
        self.cold_until = if cold {
            now - ago_ms + self.tasks.facts.decisions.slow_start_ms
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
        let handed = |slot: &&Slot| slot.started && slot.sent.as_ref().is_none_or(Sent::was_handed);
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
        self.tasks.link.last = 0;
        for id in lost {
            self.run_over(&id, RunOutcome::Failed, Vec::new());
        }
    }

    /// All missed notices are read: what may not have arrived is sent again.
    pub(crate) fn replayed(&mut self) {
        self.tasks.link.replaying = false;
        self.tasks.send_again(true);
    }

    /// The start file was read again. Calls and reports go to the new addresses from now on. The link to the
    /// runtime moves once all commands on the old one have arrived: what comes meanwhile waits for the new.
    pub(crate) fn moved(&mut self, to: Endpoints) {
        let was = std::mem::replace(&mut self.peers, to);
        self.tasks.counters.reloads.add();
        slog::info!(self.tasks.log.lines, "host: the start file is read again"; "runtime" => %to.runtime,
            "records" => %to.records, "registry" => %to.registry);
        self.tasks.records.go_to(to.records);
        if was.registry != to.registry {
            self.list.send(RegistryCommand::SetAddress(to.registry));
        }
        if was.runtime == to.runtime {
            return;
        }
        let _ = self.moves.send(RuntimeLinkCommand::SetAddress(to.runtime));
        if self.tasks.link.replaying {
            // One that is moving goes on; one that takes nothing yet has nothing to lose.
            if !self.tasks.link.move_by.is_finite() {
                self.tasks.link.commands = None;
            }
        } else if self.tasks.send(runtime::ask("gauges", LAST)) {
            (self.tasks.link.replaying, self.tasks.link.move_by) =
                (true, self.tasks.now + MOVING_MS);
        }
    }

    /// Every command on the link that is to end has arrived.
    pub(crate) fn flushed(&mut self) {
        let link = &mut self.tasks.link;
        link.asked += 1;
        (link.came, link.move_by, link.commands) = (link.asked, f64::INFINITY, None);
    }

    /// A notice is counted once, whichever link it came over.
    pub(crate) fn first(&mut self, no: u64) -> bool {
        let last = self.tasks.link.last;
        if no > last.saturating_add(MOST_AHEAD) {
            // Taken for the last, it would have all true ones passed over as known.
            self.tasks.counters.runtime_lines_malformed.add();
            return false;
        }
        self.tasks.link.last = last.max(no);
        no > last
    }

    pub(crate) fn line(&mut self, line: RuntimeNotice) {
        static NACK: Kind = Kind::new();
        match line {
            RuntimeNotice::Ready {
                slow_start: cold,
                uptime_ms: time_ms,
            } => self.ready(cold, time_ms),
            RuntimeNotice::Ignored(no) => drop(no.map(|no| self.first(no))),
            RuntimeNotice::RunEnded {
                sequence: no,
                id,
                outcome: how,
                body,
            } if self.first(no) => self.run_over(&id, how, body),
            RuntimeNotice::CallNeeded {
                sequence: no,
                id,
                body,
            } if self.first(no) => {
                let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
                    return;
                };
                let Some(task) = tasks.by_id.get(&id).copied() else {
                    return;
                };
                let Some(slot) = tasks.slot(task) else { return };
                (slot.wants, slot.sent) = (Some((no, body)), None);
                task.call_needed(server, tasks.now, tasks);
            }
            RuntimeNotice::RunEnded { .. } | RuntimeNotice::CallNeeded { .. } => {}
            RuntimeNotice::Gauges { tag: mark, values } => {
                match mark.parse::<u64>() {
                    Ok(number) => self.tasks.link.came = self.tasks.link.came.max(number + 1),
                    Err(_) if mark == REPLAY => self.replayed(),
                    Err(_) if mark == LAST => self.flushed(),
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
                    .and_then(|number: u64| self.checks.remove(&number));
                if let Some(check) = check {
                    checked(&check.client, check.request, good);
                }
            }
            RuntimeNotice::Rejected { command, id } => {
                if self.tasks.log.allows(&NACK) {
                    let about = id.and_then(|id| self.tasks.by_id.get(&id).copied());
                    let about = about
                        .and_then(|task| self.tasks.about(task))
                        .unwrap_or_default();
                    slog::error!(self.tasks.log.lines, "runtime: a command was not carried out";
                        "command" => &command, "id" => about.id, "stage" => about.stage,
                        "tenant" => about.tenant);
                }
                // Nothing runs. A run that waits at its call stays there until its task is given up.
                if let (Some(id), "start") = (id, command.as_str()) {
                    self.run_over(&id, RunOutcome::Noop, Vec::new());
                }
            }
        }
    }

    pub(crate) fn read_gauges(&mut self, values: &[f64]) {
        self.read_at = self.tasks.now;
        self.gauges = Gauges::default();
        for (name, &value) in self.tasks.facts.gauge_names.iter().zip(values) {
            match name.as_str() {
                "core_use" => self.gauges.cpu = Some(value),
                "on_cores" => self.gauges.on_cores = Some(value),
                "heap_share" => self.gauges.memory = Some(value),
                "links" => self.gauges.connections = Some(value),
                _ => {}
            }
        }
    }

    pub(crate) fn run_over(&mut self, id: &RequestId, how: RunOutcome, body: Vec<u8>) {
        let (Some(server), tasks) = (&mut self.server, &mut self.tasks) else {
            return;
        };
        let result: Option<Arc<[u8]>> = (how == RunOutcome::Passed).then(|| body.into());
        #[cfg(feature = "hot-restart")]
        tasks.ended_elsewhere(id, how == RunOutcome::Noop, result.as_ref());
        let Some(task) = tasks.by_id.get(id).copied() else {
            return;
        };
        let outcome = match (how, &result) {
            (RunOutcome::Passed, Some(result)) => {
                tasks.counters.runs_passed.add();
                #[cfg(feature = "ownership")]
                tasks.outcome(task, result);
                if tasks.finished(task, result.clone()) {
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
                tasks.failed(task);
                Outcome::Failed
            }
        };
        #[cfg(feature = "ownership")]
        tasks.over_without(task, how == RunOutcome::Noop);
        if how == RunOutcome::Noop {
            tasks.drop_idempotency_entry(task); // nothing was started: a true try under this key may still run
        } else {
            tasks.ended(task, result.as_ref());
        }
        task.run_ended(server, tasks.now, outcome, tasks);
    }

    pub(crate) fn called(&mut self, who: TaskId, outcome: Outcome, took_ms: f64, body: &[u8]) {
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
        if well != self.records_well {
            self.records_well = well;
            if well && tasks.log.allows(&REPLIES) {
                slog::info!(tasks.log.lines, "records: replies again");
            } else if !well && tasks.log.allows(&RECORDS) {
                let about = tasks
                    .by_serial
                    .get(&who)
                    .copied()
                    .and_then(|task| tasks.about(task));
                let about = about.unwrap_or_default();
                slog::warn!(tasks.log.lines, "records: a call broke"; "how" => ?outcome, "id" => about.id,
                    "stage" => about.stage, "tenant" => about.tenant);
            }
        }
        let Some(task) = tasks.by_serial.get(&who).copied() else {
            return;
        }; // its task is over
        if outcome == Outcome::Ok {
            let Some(slot) = tasks.slot(task) else { return };
            if slot.wants.take().is_none() {
                return;
            }
            let line = runtime::give(&slot.id, body);
            tasks.command(task, line, false);
        }
        task.call_ended(server, tasks.now, outcome, took_ms, tasks);
    }

    pub(crate) fn check(&mut self, client: Arc<dyn Connection>, request: u16, deep: bool) {
        let tasks = &mut self.tasks;
        tasks.counters.checks.add();
        if deep && !tasks.stored && tasks.good {
            if tasks.link.commands.is_none() || tasks.link.replaying {
                return checked(&client, request, false);
            }
            tasks.serial += 1;
            self.checks.insert(
                tasks.serial,
                Check {
                    client,
                    request,
                    since: Instant::now(),
                },
            );
            let line = runtime::ask("selftest", &tasks.serial.to_string());
            tasks.send(line);
            return;
        }
        checked(&client, request, tasks.good);
    }

    /// Nobody will say how the deep checks end.
    pub(crate) fn checks_end(&mut self) {
        self.checks
            .drain()
            .for_each(|(_, check)| checked(&check.client, check.request, false));
    }

    /// Checks that nobody waits for any more end.
    pub(crate) fn checks_lapse(&mut self) {
        self.checks.retain(|_, check| {
            let waits = check.since.elapsed() < LONGEST_CHECK;
            if !waits {
                checked(&check.client, check.request, false);
            }
            waits
        });
    }
}
