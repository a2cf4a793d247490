//! The steps of a hot restart in the old process.

use std::time::{Duration, Instant};

use asterdale::Handle;
use crossbeam_channel::{Receiver, Sender};

use crate::engine::Engine;
use crate::message::{
    EngineMessage, HotRestartStep, RegistryCommand, Reply, RuntimeLinkCommand, SuccessorLink,
};
use crate::paused::Standby;
use crate::runtime::protocol;
use crate::runtime_events::FLUSH_TAG;
use crate::tasks::TaskRecord;

/// How long a freeze waits for the confirmation that all commands to the runtime have arrived. After that the state is
/// exported without it.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

impl Engine {
    /// Carries out one step.
    pub(crate) fn hot_restart_step(
        &mut self,
        step: HotRestartStep,
        mailbox: &Receiver<EngineMessage>,
    ) {
        match step {
            // A draining process sends no state: the receiver sees that the channel is dropped.
            HotRestartStep::SendTrialState(_) | HotRestartStep::Freeze(_)
                if self.drain_deadline.is_some() => {}
            HotRestartStep::SendTrialState(to) => {
                // There is no receiver if the hot restart was given up.
                let _ = to.send(self.export());
            }
            HotRestartStep::Freeze(to) => self.freeze(&to, mailbox),
            HotRestartStep::Thaw => {
                self.paused.is_frozen = false;
                self.tasks.next_tick_at = self.tasks.next_tick_at.min(self.clock.now());
                self.reclaim_link();
                self.handle_deferred(mailbox);
            }
            HotRestartStep::Commit(successor) => self.commit_to_successor(successor, mailbox),
            HotRestartStep::PeerReply(route, reply) => self.relay_reply(route, reply),
            HotRestartStep::Mirrored(event) => self.apply_mirrored(event),
            HotRestartStep::TakeBack => self.resume(mailbox),
            HotRestartStep::Exit => {
                if let Some(standby) = &mut self.paused.standby {
                    standby.standby_until = f64::NEG_INFINITY;
                }
            }
            HotRestartStep::StopMirror => self.tasks.mirror = None,
        }
    }

    fn handle_deferred(&mut self, mailbox: &Receiver<EngineMessage>) {
        for message in std::mem::take(&mut self.paused.deferred) {
            self.dispatch(message, mailbox);
        }
    }

    /// Stops making decisions, and sends the state. By then the commands sent to the runtime have arrived or are
    /// treated as unconfirmed; notices that the runtime sends meanwhile are included in the state. Nothing is started,
    /// as the link takes no commands.
    fn freeze(&mut self, to: &Sender<Vec<u8>>, mailbox: &Receiver<EngineMessage>) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        if self.tasks.runtime.commands.is_some() && !self.tasks.runtime.is_replaying {
            self.tasks.send(protocol::gauges(FLUSH_TAG));
        }
        self.tasks.runtime.is_replaying = true;
        while self.tasks.runtime.commands.is_some() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match mailbox.recv_timeout(remaining) {
                Ok(message @ EngineMessage::RuntimeNotice(..)) => self.dispatch(message, mailbox),
                Ok(message) => self.paused.deferred.push(message),
                Err(_) => break,
            }
        }
        self.tasks.runtime.commands = None;
        // The runtime's actor runs as long as this one, so the command arrives.
        let _ = self.runtime_link.send(RuntimeLinkCommand::SetPaused(true));
        self.fail_health_checks();
        self.paused.is_frozen = true;
        self.tasks.now = self.clock.now();
        // There is no receiver if the hot restart was given up; `Thaw` follows then.
        let _ = to.send(self.export());
    }

    /// Takes back the link to the runtime. Commands that may not have arrived are sent again on the new connection.
    fn reclaim_link(&mut self) {
        self.tasks.runtime.is_replaying = true;
        // The runtime's actor runs as long as this one, so the command arrives.
        let _ = self.runtime_link.send(RuntimeLinkCommand::SetPaused(false));
    }

    /// The work belongs to the new process from now on, and this one goes on standby.
    fn commit_to_successor(
        &mut self,
        successor: Box<dyn SuccessorLink>,
        mailbox: &Receiver<EngineMessage>,
    ) {
        let last_window_end = self.tasks.idempotency.last_window_end();
        self.paused.is_frozen = false;
        self.paused.standby = Some(Standby {
            successor: Some(successor),
            standby_until: last_window_end.max(self.tasks.now),
            ..Standby::default()
        });
        self.registry.send(RegistryCommand::SetPaused(true));
        self.tasks.frontends.set_paused(true);
        self.tasks.frontends.end_answered_connections();
        slog::info!(self.tasks.log.lines, "hot restart: committed to the new process";
            "summary" => ?self.summary());
        self.handle_deferred(mailbox);
    }

    /// Takes the work back. Tasks that the new process has started are not started again: their clients get `Failed`,
    /// and the results arrive with the notices that were missed.
    fn resume(&mut self, mailbox: &Receiver<EngineMessage>) {
        let Some(standby) = self.paused.standby.take() else {
            return;
        };
        slog::error!(self.tasks.log.lines, "hot restart: new process ended, work taken back";
            "started_there" => standby.started_by_successor.len(), "unanswered" => standby.forwarded.len());
        self.tasks.now = self.clock.now();
        for (route, client) in standby.forwarded {
            client.answer(route.request, Reply::Failed);
        }
        self.tasks.started_by_successor = standby.started_by_successor;
        self.tasks.frontends.set_paused(false);
        self.registry.send(RegistryCommand::SetPaused(false));
        self.reclaim_link();
        self.end_tasks_of_successor();
        self.tasks.next_tick_at = self.tasks.now;
        self.handle_deferred(mailbox);
    }

    /// Ends the tasks that were not started here and that the new process has answered or started.
    fn end_tasks_of_successor(&mut self) {
        let tasks = &mut self.tasks;
        let is_over = |record: &TaskRecord| {
            let is_started_there = tasks.started_by_successor.contains_key(&record.id);
            !record.started && (record.responder.is_none() || is_started_there)
        };
        let ended_tasks: Vec<Handle> = tasks
            .by_number
            .values()
            .copied()
            .filter(|task| tasks.task(*task).is_some_and(is_over))
            .collect();
        // All are answered before the first is reported to the policies: the capacity that it frees must not start any
        // of the others.
        for task in &ended_tasks {
            if let Some(record) = tasks.task_mut(*task) {
                record.must_not_start = true;
            }
            tasks.answer_failed(*task);
        }
        for task in ended_tasks {
            if let Some(server) = &mut self.server {
                task.caller_gone(server, self.tasks.now, &mut self.tasks);
            }
        }
    }
}
