//! Turns signals into messages to the engine, a reload or a hot restart.

use std::io;
#[cfg(feature = "upgrade")]
use std::path::PathBuf;
use std::sync::Arc;

use asterdale_engine::counters::Counters;
use asterdale_engine::log::{Log, LogLimit};
use asterdale_engine::message::EngineMessage;
use crossbeam_channel::Sender;
#[cfg(feature = "upgrade")]
use signal_hook::consts::SIGUSR2;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

use crate::error::with_sources;
use crate::reload::Reload;
#[cfg(feature = "upgrade")]
use crate::threads;

#[cfg(feature = "upgrade")]
const CAUGHT_SIGNALS: [i32; 5] = [SIGTERM, SIGINT, SIGUSR1, SIGHUP, SIGUSR2];
#[cfg(not(feature = "upgrade"))]
const CAUGHT_SIGNALS: [i32; 4] = [SIGTERM, SIGINT, SIGUSR1, SIGHUP];

/// Catches the signals that [`SignalHandler`] handles. From now on these signals no longer end the process.
pub fn catch() -> io::Result<Signals> {
    Signals::new(CAUGHT_SIGNALS)
}

/// Handles signals: SIGTERM and SIGINT drain the process, SIGUSR1 prints the counters, SIGHUP reads the start file
/// again, SIGUSR2 requests a hot restart.
pub struct SignalHandler {
    pub engine: Sender<EngineMessage>,
    pub reload: Reload,
    /// The control socket of this process, on which hot restarts are requested.
    #[cfg(feature = "upgrade")]
    pub control_socket: Option<PathBuf>,
    pub counters: Arc<Counters>,
    pub log: Log,
}

impl SignalHandler {
    /// Handles signals until the engine ends.
    pub fn run(&self, mut signals: Signals) {
        for signal in signals.forever() {
            let is_engine_running = match signal {
                SIGUSR1 => self.send(EngineMessage::PrintCounters),
                #[cfg(feature = "upgrade")]
                SIGUSR2 => self.start_hot_restart(),
                SIGHUP => self.reload(),
                _ => self.send(EngineMessage::Drain),
            };
            if !is_engine_running {
                return;
            }
        }
    }

    /// Returns `false` if the engine has ended.
    fn send(&self, message: EngineMessage) -> bool {
        self.engine.send(message).is_ok()
    }

    /// Reads the start file again; an invalid one changes nothing. Returns `false` if the engine has ended.
    fn reload(&self) -> bool {
        static RELOAD_FAILED: LogLimit = LogLimit::new();
        match self.reload.run(&self.engine) {
            Ok(is_engine_running) => is_engine_running,
            Err(e) => {
                self.counters.reloads_failed.add();
                if self.log.allows(&RELOAD_FAILED) {
                    slog::error!(self.log.lines, "daemon: reload failed, start file ignored"; "error" => with_sources(&e));
                }
                true
            }
        }
    }

    /// Requests a hot restart on a thread of its own, because it takes longer than other signals may be delayed. Its
    /// progress and result are logged.
    #[cfg(feature = "upgrade")]
    fn start_hot_restart(&self) -> bool {
        let Some(control_socket) = self.control_socket.clone() else {
            return true;
        };
        let request = move || {
            // The control server logs every outcome, including failures.
            let _ = crate::upgrade::request_upgrade(&control_socket, "", |_| ());
        };
        if let Err(e) = threads::spawn("upgrade", request) {
            self.counters.threads_refused.add();
            slog::error!(self.log.lines, "hot restart: not started"; "error" => with_sources(&e));
        }
        true
    }
}
