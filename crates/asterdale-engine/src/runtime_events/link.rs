//! The link to the runtime: its start, the replay of missed notices, moves to another address, and the gauges, whose
//! arrival proves which lines have arrived.

use crossbeam_channel::Sender;

use super::{FLUSH_TAG, REPLAY_TAG};
use crate::engine::Engine;
use crate::log::LogLimit;
use crate::message::{
    Endpoints, QueuedCommand, RegistryCommand, RequestId, RunOutcome, RuntimeLinkCommand,
};
use crate::runtime::protocol;
use crate::tasks::TaskRecord;

/// If an answer of the runtime is outstanding at this many consecutive ticks (3 s), the link may be broken without this
/// process noticing. It is then replaced by a new one, which does no harm. Ticks are counted instead of time, because
/// there are none while the machine is paused and the runtime cannot answer.
const MAX_SILENT_TICKS: u32 = 300;
/// While a gauges request is unanswered, no further one is sent within this time.
const GAUGES_TIMEOUT_MS: f64 = 500.0;
/// How long to wait, before the link moves to another address, for the proof that all commands have arrived.
const MOVE_TIMEOUT_MS: f64 = 300.0;
/// A runtime whose uptime is lower than before by more than this is a new process. The slack is needed because uptimes
/// are rounded.
const RESTART_SLACK_MS: f64 = 1000.0;
/// A notice whose sequence number is ahead of the last one by more than this is malformed: fewer notices than this are
/// missed between two links.
const MAX_SEQUENCE_GAP: u64 = 1_000_000;

impl Engine {
    /// Requests the gauges, shortly before the tick that uses them.
    pub(crate) fn request_gauges(&mut self) {
        self.gauges_due_at = f64::INFINITY;
        let now = self.tasks.now;
        let link = &mut self.tasks.runtime;
        if now >= link.move_deadline {
            link.move_deadline = f64::INFINITY;
            link.commands = None;
        }
        let has_unanswered = link.gauges_requested != link.gauges_received;
        let is_outstanding = if link.is_replaying {
            link.is_ready
        } else {
            has_unanswered
        };
        link.silent_ticks = if is_outstanding {
            link.silent_ticks + 1
        } else {
            0
        };
        if link.silent_ticks >= MAX_SILENT_TICKS {
            link.silent_ticks = 0;
            link.commands = None; // ends the link; its actor makes a new one
        }
        let is_due = !has_unanswered || now >= link.gauges_requested_at + GAUGES_TIMEOUT_MS;
        if link.commands.is_some() && !link.is_replaying && is_due {
            link.gauges_requested_at = now;
            let line = protocol::gauges(&link.gauges_requested.to_string());
            link.gauges_requested += 1;
            self.tasks.send(line);
        }
    }

    /// Handles a new link.
    pub(crate) fn runtime_connected(&mut self, commands: Sender<QueuedCommand>) {
        let link = &mut self.tasks.runtime;
        // If the link has already ended, `RuntimeDisconnected` follows.
        let line = protocol::sync(link.last_notice);
        let _ = commands.try_send(QueuedCommand::new(&self.tasks.counters, line));
        link.commands = Some(commands);
        link.is_replaying = true;
        link.is_ready = false;
        link.move_deadline = f64::INFINITY;
    }

    /// Handles the end of the link.
    pub(crate) fn runtime_disconnected(&mut self) {
        self.tasks.runtime.commands = None;
        self.fail_health_checks();
    }

    /// Handles the notice that the runtime is up. The runtime then resends the notices that were missed. Commands that
    /// were sent when the last link broke may or may not have arrived. No other command is sent until the gauges
    /// request is answered, which happens after the missed notices: so no run that has ended is started again. The
    /// request is not sent earlier, because a runtime that is not up would reject it.
    pub(super) fn runtime_ready(&mut self, slow_start: bool, uptime_ms: f64) {
        let earlier_uptime_ms = self.runtime_uptime_ms.replace(uptime_ms);
        let is_replaced =
            earlier_uptime_ms.is_some_and(|earlier_ms| uptime_ms + RESTART_SLACK_MS < earlier_ms);
        if self.server.is_none() {
            self.start_server(slow_start, uptime_ms);
        } else if earlier_uptime_ms.is_none() || is_replaced {
            self.runtime_started(slow_start, uptime_ms);
        }
        if is_replaced {
            self.runtime_replaced();
        }
        let link = &mut self.tasks.runtime;
        link.is_ready = true;
        link.silent_ticks = 0;
        if let Some(commands) = &link.commands {
            // If the link has already ended, `RuntimeDisconnected` follows.
            let line = protocol::gauges(REPLAY_TAG);
            let _ = commands.try_send(QueuedCommand::new(&self.tasks.counters, line));
        }
    }

    /// Handles the report of how the runtime started, when the policies have started before.
    fn runtime_started(&mut self, slow_start: bool, uptime_ms: f64) {
        let now = self.tasks.now;
        let settings = &self.tasks.settings.decisions;
        let slow_start = slow_start || settings.slow_start;
        slog::info!(self.tasks.log.lines, "engine: runtime started";
            "slow_start" => slow_start, "runtime_uptime_ms" => uptime_ms);
        self.warming_up_until = if slow_start {
            now - uptime_ms + settings.slow_start_ms
        } else {
            now
        };
        if let Some(server) = &mut self.server {
            server.runtime_started(slow_start, now - uptime_ms);
        }
    }

    /// Handles the replacement of the runtime process by another one, which restarts the sequence numbers of its
    /// notices. Runs whose start was sent to the earlier process may have run, and their outcome will never be known:
    /// they are treated as failed.
    fn runtime_replaced(&mut self) {
        static REPLACED: LogLimit = LogLimit::new();
        let may_have_run = |record: &&TaskRecord| {
            let command = record.last_command.as_ref();
            record.started && command.is_none_or(|command| command.handed_to_link)
        };
        let lost: Vec<RequestId> = self
            .tasks
            .slots
            .iter()
            .flatten()
            .filter(may_have_run)
            .map(|record| record.id)
            .collect();
        if self.tasks.log.allows(&REPLACED) {
            slog::error!(self.tasks.log.lines, "runtime: process replaced"; "runs_lost" => lost.len());
        }
        self.tasks.runtime.last_notice = 0;
        for id in lost {
            self.run_ended(&id, RunOutcome::Failed, Vec::new());
        }
    }

    /// Handles what the arrival of gauges with this tag proves.
    pub(super) fn gauges_answered(&mut self, tag: &str) {
        let link = &mut self.tasks.runtime;
        match tag.parse::<u64>() {
            Ok(number) => link.gauges_received = link.gauges_received.max(number + 1),
            Err(_) if tag == REPLAY_TAG => {
                // All missed notices have been read.
                link.is_replaying = false;
                self.tasks.resend_on_new_link();
            }
            Err(_) if tag == FLUSH_TAG => {
                // All commands on the link that is to end have arrived.
                link.gauges_requested += 1;
                link.gauges_received = link.gauges_requested;
                link.move_deadline = f64::INFINITY;
                link.commands = None;
            }
            Err(_) => {}
        }
    }

    /// Handles a reload of the start file: calls and reports use the new addresses from now on. The link to the runtime
    /// moves once all commands on the old link have arrived; later commands are sent on the new one.
    pub(crate) fn endpoints_changed(&mut self, endpoints: Endpoints) {
        let earlier = std::mem::replace(&mut self.endpoints, endpoints);
        self.tasks.counters.reloads.add();
        slog::info!(self.tasks.log.lines, "engine: start file reloaded"; "runtime" => %endpoints.runtime,
            "records" => %endpoints.records, "registry" => %endpoints.registry);
        self.tasks.records.set_address(endpoints.records);
        if earlier.registry != endpoints.registry {
            self.registry
                .send(RegistryCommand::SetAddress(endpoints.registry));
        }
        if earlier.runtime == endpoints.runtime {
            return;
        }
        // Cannot fail: the runtime's actor ends after this one.
        let _ = self
            .runtime_link
            .send(RuntimeLinkCommand::SetAddress(endpoints.runtime));
        if self.tasks.runtime.is_replaying {
            // A move in progress continues. A link on which no commands are sent yet has none to lose and is dropped.
            if !self.tasks.runtime.move_deadline.is_finite() {
                self.tasks.runtime.commands = None;
            }
        } else if self.tasks.send(protocol::gauges(FLUSH_TAG)) {
            self.tasks.runtime.is_replaying = true;
            self.tasks.runtime.move_deadline = self.tasks.now + MOVE_TIMEOUT_MS;
        }
    }

    /// Whether a notice is read for the first time, over this link or an earlier one. Records it as read.
    pub(super) fn is_first_notice(&mut self, sequence: u64) -> bool {
        let last = self.tasks.runtime.last_notice;
        if sequence > last.saturating_add(MAX_SEQUENCE_GAP) {
            // If it were recorded as the last one, all valid notices would be skipped as already read.
            self.tasks.counters.runtime_lines_malformed.add();
            return false;
        }
        self.tasks.runtime.last_notice = last.max(sequence);
        sequence > last
    }
}
