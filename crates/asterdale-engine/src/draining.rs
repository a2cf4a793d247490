//! The notice to leave, and the way out.

use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;

use crate::engine::Engine;
use crate::message::{EngineMessage, RegistryCommand};

/// For answers to get out and connections to end, before the process is killed: the module is told a notice
/// that is shorter by this, or by a quarter of a very short one.
const WAY_OUT_MS: f64 = 300.0;
/// While leaving, connections that came last are let end after so long: a request crosses a close no longer.
const HUSH: Duration = Duration::from_millis(50);

impl Engine {
    pub(crate) fn drain(&mut self) {
        if self.drain_deadline.is_some() {
            return;
        }
        let left_ms = self.termination_grace_ms - self.close_allowance_ms();
        slog::info!(self.tasks.log.lines, "host: leaving"; "answers_within_ms" => left_ms);
        self.drain_deadline = Some(Instant::now() + Duration::from_millis(left_ms as u64));
        self.registry.send(RegistryCommand::Drain);
        self.start_server(false, 0.0);
        #[cfg(feature = "ownership")]
        self.tasks.ownership.leaves_by(self.tasks.now + left_ms);
        if let Some(server) = &mut self.server {
            server.drain(self.tasks.now, left_ms, &mut self.tasks);
        }
    }

    /// After all that was read is answered: lets the connections end, and waits for them.
    pub(crate) fn close_connections(&mut self, mailbox: &Receiver<EngineMessage>) -> bool {
        self.tasks.frontends.stop_listening();
        let last = Instant::now() + Duration::from_millis((0.8 * self.close_allowance_ms()) as u64);
        let mut hush = Instant::now();
        while self.tasks.frontends.open_connections() > 0 && Instant::now() < last {
            // Again and again: connections that were accepted last have had time to bring their request.
            if Instant::now() >= hush {
                self.tasks.frontends.end_answered_connections();
                hush += HUSH;
            }
            if let Ok(mail) = mailbox.recv_timeout(Duration::from_millis(2)) {
                self.handle(mail);
            }
            self.tasks.now = self.clock.now();
            if self.tasks.now >= self.tasks.next_tick_at {
                self.tick();
            }
            #[cfg(feature = "ownership")]
            self.custody_tick();
        }
        #[cfg(feature = "ownership")]
        self.tasks.ownership.leave();
        let open = self.tasks.frontends.open_connections();
        slog::info!(self.tasks.log.lines, "host: left"; "connections" => open);
        true
    }

    pub(crate) fn close_allowance_ms(&self) -> f64 {
        WAY_OUT_MS.min(self.termination_grace_ms / 4.0)
    }
}
