//! The handle of a frontend, through which the engine controls it.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

use asterdale_engine::mailbox::MailboxSender;
use asterdale_engine::message::Frontends;

use super::command::FrontendCommand;

/// The handle of one listener's frontend. The event loop updates the number of open connections and the closed state.
pub struct FrontendHandle {
    commands: MailboxSender<FrontendCommand>,
    open_connections: AtomicUsize,
    /// Whether [`Frontends::stop_listening`] was called.
    stop_requested: AtomicBool,
    /// Whether the listener is closed.
    listener_closed: AtomicBool,
}

impl FrontendHandle {
    /// The handle of an event loop that receives `commands`.
    pub fn new(commands: MailboxSender<FrontendCommand>) -> FrontendHandle {
        FrontendHandle {
            commands,
            open_connections: AtomicUsize::new(0),
            stop_requested: AtomicBool::new(false),
            listener_closed: AtomicBool::new(false),
        }
    }

    /// A sender of commands to the event loop.
    pub fn commands(&self) -> MailboxSender<FrontendCommand> {
        self.commands.clone()
    }

    /// Publishes the number of open connections; called by the event loop.
    pub fn set_open_connections(&self, count: usize) {
        self.open_connections.store(count, Ordering::SeqCst);
    }

    /// Publishes that the listener is closed; called by the event loop.
    pub fn set_listener_closed(&self) {
        self.listener_closed.store(true, Ordering::SeqCst);
    }
}

impl Frontends for FrontendHandle {
    fn close_idle(&self, after_ms: f64) {
        self.commands.send(FrontendCommand::SetIdleTimeout {
            timeout_ms: after_ms.max(1.0) as u64,
        });
    }

    /// The number of open connections. A listener that was asked to stop and is not closed yet counts as one more,
    /// because it may still accept connections from its backlog.
    fn open_connections(&self) -> usize {
        let is_stopping = self.stop_requested.load(Ordering::SeqCst)
            && !self.listener_closed.load(Ordering::SeqCst);
        self.open_connections.load(Ordering::SeqCst) + usize::from(is_stopping)
    }

    fn stop_listening(&self) {
        self.stop_requested.store(true, Ordering::SeqCst);
        self.commands.send(FrontendCommand::StopListening);
    }

    fn set_paused(&self, paused: bool) {
        self.commands.send(FrontendCommand::SetAcceptPaused(paused));
    }

    fn end_answered_connections(&self) {
        self.commands.send(FrontendCommand::EndAnsweredConnections);
    }
}

/// The frontends of all listeners, which the engine controls together.
pub struct FrontendGroup(pub Vec<Arc<FrontendHandle>>);

impl Frontends for FrontendGroup {
    fn close_idle(&self, after_ms: f64) {
        self.0.iter().for_each(|handle| handle.close_idle(after_ms));
    }

    fn open_connections(&self) -> usize {
        self.0.iter().map(|handle| handle.open_connections()).sum()
    }

    fn stop_listening(&self) {
        self.0.iter().for_each(|handle| handle.stop_listening());
    }

    fn end_answered_connections(&self) {
        self.0
            .iter()
            .for_each(|handle| handle.end_answered_connections());
    }

    fn set_paused(&self, paused: bool) {
        self.0.iter().for_each(|handle| handle.set_paused(paused));
    }
}
