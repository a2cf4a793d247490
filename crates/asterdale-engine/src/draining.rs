//! Graceful shutdown: draining, and then closing the connections.

use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;

use crate::engine::Engine;
use crate::message::{EngineMessage, RegistryCommand};

/// The part of the termination grace period that is reserved for sending the last replies and closing connections. If
/// the grace period is short, it is limited to a quarter of it.
const CLOSE_ALLOWANCE_MS: f64 = 300.0;
/// The share of that allowance for which the engine waits for connections to close; the rest is for the exit of the
/// process.
const CLOSE_WAIT_SHARE: f64 = 0.8;
/// The interval between attempts to close connections without open requests. It is longer than the time that a request
/// takes to arrive if the edge node sent it before it saw the close.
const CLOSE_INTERVAL: Duration = Duration::from_millis(50);
/// The longest wait for a message while connections are being closed.
const MESSAGE_WAIT: Duration = Duration::from_millis(2);

impl Engine {
    /// Starts a graceful shutdown, unless one is under way.
    pub(crate) fn drain(&mut self) {
        if self.drain_deadline.is_some() {
            return;
        }
        let remaining_ms = self.termination_grace_ms - self.close_allowance_ms();
        slog::info!(self.tasks.log.lines, "engine: draining"; "answers_within_ms" => remaining_ms);
        self.drain_deadline = Some(Instant::now() + Duration::from_millis(remaining_ms as u64));
        self.registry.send(RegistryCommand::Drain);
        self.start_server(false, 0.0);
        #[cfg(feature = "ownership")]
        self.tasks
            .ownership
            .drain_until(self.tasks.now + remaining_ms);
        if let Some(server) = &mut self.server {
            server.drain(self.tasks.now, remaining_ms, &mut self.tasks);
        }
    }

    /// Closes the connections, once every request that was read has been answered, and waits for them to end. Returns
    /// `true` when the process may exit.
    pub(crate) fn close_connections(&mut self, mailbox: &Receiver<EngineMessage>) -> bool {
        self.tasks.frontends.stop_listening();
        let wait_ms = CLOSE_WAIT_SHARE * self.close_allowance_ms();
        let deadline = Instant::now() + Duration::from_millis(wait_ms as u64);
        let mut next_close = Instant::now();
        while self.tasks.frontends.open_connections() > 0 && Instant::now() < deadline {
            // Repeated, so that the connections that were accepted last have time to deliver their request.
            if Instant::now() >= next_close {
                self.tasks.frontends.end_answered_connections();
                next_close += CLOSE_INTERVAL;
            }
            if let Ok(message) = mailbox.recv_timeout(MESSAGE_WAIT) {
                self.handle(message);
            }
            self.tasks.now = self.clock.now();
            if self.tasks.now >= self.tasks.next_tick_at {
                self.tick();
            }
            #[cfg(feature = "ownership")]
            self.ownership_tick();
        }
        #[cfg(feature = "ownership")]
        self.tasks.ownership.release_all();
        slog::info!(self.tasks.log.lines, "engine: drained";
            "connections" => self.tasks.frontends.open_connections());
        true
    }

    /// The part of the termination grace period, in milliseconds, that replies and connections need after the last
    /// request has been answered.
    pub(crate) fn close_allowance_ms(&self) -> f64 {
        CLOSE_ALLOWANCE_MS.min(self.termination_grace_ms / 4.0)
    }
}
