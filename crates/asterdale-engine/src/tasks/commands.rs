//! Commands to the runtime, and resending them after the link has broken.

use asterdale::Handle;

use super::record::SentCommand;
use super::table::Tasks;
use crate::message::QueuedCommand;

impl Tasks {
    /// Sends a command about a task. A command that cannot be sent now is sent on the next link. `idempotent`: it may
    /// arrive twice without harm.
    pub fn send_command(&mut self, task: Handle, line: String, idempotent: bool) {
        let next_gauges = self.runtime.gauges_requested;
        let handed_to_link = self.send(line.clone());
        if let Some(record) = self.task_mut(task) {
            record.last_command = Some(SentCommand {
                line,
                next_gauges,
                handed_to_link,
                // A command that no link accepted is sent on the next one, whatever the gauges prove about other
                // commands.
                needs_resend: !handed_to_link,
                idempotent,
            });
        }
    }

    /// Sends a line; `false` if no link accepts it.
    pub fn send(&mut self, line: String) -> bool {
        let (Some(commands), false) = (&self.runtime.commands, self.runtime.is_replaying) else {
            return false;
        };
        let command = QueuedCommand::new(&self.counters, line);
        let sent = commands.try_send(command).is_ok();
        if !sent {
            // The runtime reads nothing. Dropping the sender of commands ends the link, and its actor makes a new one.
            self.runtime.commands = None;
        }
        sent
    }

    /// On a new link, resends every command that is not proven to have arrived on the old one. Commands that may not be
    /// resent now wait until their task is answered.
    pub fn resend_on_new_link(&mut self) {
        let received = self.runtime.gauges_received;
        for record in self.slots.iter_mut().flatten() {
            if let Some(command) = &mut record.last_command {
                command.needs_resend |= command.next_gauges >= received;
            }
        }
        self.resend_pending();
        self.runtime.gauges_received = self.runtime.gauges_requested;
    }

    /// Resends the commands that need to be resent and may be resent by now.
    pub fn resend_pending(&mut self) {
        for index in 0..self.slots.len() {
            let Some(line) = self.line_to_resend(index) else {
                continue;
            };
            if !self.send(line) {
                continue;
            }
            let next_gauges = self.runtime.gauges_requested;
            let record = self.slots[index].as_mut();
            if let Some(command) = record.and_then(|record| record.last_command.as_mut()) {
                command.handed_to_link = true;
                command.needs_resend = false;
                command.next_gauges = next_gauges;
            }
        }
    }

    fn line_to_resend(&self, index: usize) -> Option<String> {
        let record = self.slots[index].as_ref()?;
        let command = record.last_command.as_ref()?;
        let may_resend = command.needs_resend && command.may_be_resent(record.responder.is_none());
        may_resend.then(|| command.line.clone())
    }
}
