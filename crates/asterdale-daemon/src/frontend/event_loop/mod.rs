//! The event loop of one listener: polls the listening socket, all connections and its mailbox, and serves those that
//! are ready in turn.
//!
//! [`accept`] accepts new connections, [`closing`] ends connections, [`idle`] looks for those that are no longer
//! useful.

mod accept;
mod closing;
mod idle;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_engine::mailbox::MailboxReceiver;
use asterdale_engine::memory::MemoryReservation;
use asterdale_engine::message::{self, EngineMessage};
use crossbeam_channel::Sender;
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};

use super::command::FrontendCommand;
use super::connection::{Connection, EndReason, ReadOutcome};
use super::context::ConnectionContext;
use super::handle::FrontendHandle;
use super::listener::{Listener, ListenerSettings};
use super::peer::OutgoingReply;
#[cfg(feature = "tls")]
use super::tls::TlsAcceptor;

/// The mailbox's token. Connections have their numbers as tokens, which are far lower.
pub const MAILBOX: Token = Token(usize::MAX);
const LISTENER: Token = Token(usize::MAX - 1);
/// Events that one poll returns at most.
const MAX_EVENTS: usize = 256;
/// The interval between checks for idle and stalled connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which a connection that is to end is read. Its client may send requests until it notices the end.
const ENDING_READ_INTERVAL: Duration = Duration::from_millis(2);

/// What an event loop needs in addition to its [`ConnectionContext`].
pub struct EventLoopSettings {
    /// The handle through which the engine controls this frontend.
    pub handle: Arc<FrontendHandle>,
    /// Receives replies to be written, for any connection.
    pub writer: Sender<OutgoingReply>,
    /// Upper bound of connections without open requests.
    pub max_idle_connections: usize,
    /// Connections without traffic for this many milliseconds are closed; 0 turns this off.
    pub idle_timeout_ms: u64,
}

/// The event loop of one listener.
pub struct EventLoop {
    poll: Poll,
    commands: MailboxReceiver<FrontendCommand>,
    #[cfg(feature = "tls")]
    tls: Option<Arc<TlsAcceptor>>,
    context: ConnectionContext,
    settings: EventLoopSettings,
    /// `None` before the loop runs, and once it has stopped listening.
    listener: Option<Listener>,
    accept_paused: bool,
    connections: HashMap<u64, Connection>,
    last_connection: u64,
    /// Connections that may have input, in the order in which they are read.
    read_queue: VecDeque<u64>,
    /// Connections from which nothing is read before this time.
    paused: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Connections that are to end once they are answered.
    ending: Vec<u64>,
    /// Lingering connections, each with the earliest time at which it can be closed, in that order.
    lingering: VecDeque<(Instant, u64)>,
    next_idle_check: Instant,
    next_ending_read: Instant,
}

impl EventLoop {
    /// An event loop that does not listen yet. `commands` wakes `poll` with the token [`MAILBOX`].
    pub fn new(
        poll: Poll,
        commands: MailboxReceiver<FrontendCommand>,
        listener: ListenerSettings,
        context: ConnectionContext,
        settings: EventLoopSettings,
    ) -> EventLoop {
        let now = Instant::now();
        EventLoop {
            poll,
            commands,
            last_connection: listener.first_connection,
            #[cfg(feature = "tls")]
            tls: listener.tls,
            context,
            settings,
            listener: None,
            accept_paused: false,
            connections: HashMap::new(),
            read_queue: VecDeque::new(),
            paused: BinaryHeap::new(),
            ending: Vec::new(),
            lingering: VecDeque::new(),
            next_idle_check: now,
            next_ending_read: now,
        }
    }

    /// Serves this socket until the process ends.
    ///
    /// # Errors
    /// Returns only if the poll fails.
    pub fn run(mut self, socket: TcpListener) -> io::Result<()> {
        self.start_listening(socket)?;
        let mut events = Events::with_capacity(MAX_EVENTS);
        loop {
            let timeout = self.poll_timeout();
            match self.poll.poll(&mut events, Some(timeout)) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            self.handle_events(&events);
            self.handle_commands();
            self.accept_batch();
            self.read_queued_connections();
            self.run_timers(Instant::now());
        }
    }

    fn start_listening(&mut self, socket: TcpListener) -> io::Result<()> {
        let now = Instant::now();
        let mut listener = Listener::new(socket, now)?;
        listener.register(self.poll.registry(), LISTENER)?;
        self.listener = Some(listener);
        self.next_idle_check = now + IDLE_CHECK_INTERVAL;
        self.next_ending_read = now;
        Ok(())
    }

    /// How long the poll may wait for events: until the next timer is due.
    fn poll_timeout(&self) -> Duration {
        if !self.read_queue.is_empty() {
            return Duration::ZERO;
        }
        let accept = self
            .listener
            .as_ref()
            .filter(|_| !self.accept_paused)
            .and_then(Listener::accept_not_before);
        let ending = (!self.ending.is_empty()).then_some(self.next_ending_read);
        let lingering = self.lingering.front().map(|&(close_at, _)| close_at);
        let paused = self.paused.peek().map(|Reverse((resume_at, _))| *resume_at);
        let wake_at = [accept, ending, lingering, paused]
            .into_iter()
            .flatten()
            .fold(self.next_idle_check, Instant::min);
        wake_at.saturating_duration_since(Instant::now())
    }

    fn handle_events(&mut self, events: &Events) {
        for event in events {
            match event.token() {
                MAILBOX => {}
                LISTENER => self.listener.iter_mut().for_each(Listener::set_ready),
                Token(number) if event.is_error() => self.handle_reset(number as u64),
                Token(number) => self.handle_readiness(number as u64, event.is_writable()),
            }
        }
    }

    /// Handles a connection that its client has reset. What had arrived before and is unread is discarded: nobody waits
    /// for it, and the client may send it again elsewhere.
    fn handle_reset(&mut self, number: u64) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if connection.is_reading() {
            self.abort(number, EndReason::Broken);
        } else {
            self.linger(number, Instant::now());
        }
    }

    /// Handles a connection that has input, or whose socket accepts bytes again.
    fn handle_readiness(&mut self, number: u64, is_writable: bool) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if is_writable && !connection.write_unsent(&self.context) {
            return self.abort(number, EndReason::Broken);
        }
        if !connection.is_reading() {
            self.linger(number, Instant::now());
        } else if !std::mem::replace(&mut connection.read_scheduled, true) {
            self.read_queue.push_back(number);
        }
    }

    fn handle_commands(&mut self) {
        let commands: Vec<FrontendCommand> = self.commands.take().collect();
        for command in commands {
            self.handle_command(command);
        }
    }

    fn handle_command(&mut self, command: FrontendCommand) {
        match command {
            FrontendCommand::SetIdleTimeout { timeout_ms } => {
                self.settings.idle_timeout_ms = timeout_ms;
            }
            FrontendCommand::StopListening => self.stop_listening(),
            FrontendCommand::EndAnsweredConnections => self.end_all_when_answered(),
            FrontendCommand::SetAcceptPaused(paused) => self.set_accept_paused(paused),
            FrontendCommand::WriteUnsent {
                peer,
                bytes,
                memory,
            } => self.write_unsent(peer, &bytes, memory),
            FrontendCommand::WriteFailed { connection } => {
                self.stop_reading(connection, EndReason::Broken);
            }
            FrontendCommand::PeerReleased { connection } => self.start_lingering(connection),
        }
    }

    /// Reads once from each connection that is queued now.
    fn read_queued_connections(&mut self) {
        for _ in 0..self.read_queue.len() {
            let Some(number) = self.read_queue.pop_front() else {
                break;
            };
            self.read(number);
        }
    }

    fn read(&mut self, number: u64) {
        self.read_once(number);
        let connection = self.connections.get(&number);
        if let Some(reason) = connection.and_then(Connection::due_end) {
            self.end_when_answered(number, reason);
        }
    }

    fn read_once(&mut self, number: u64) {
        let Some(connection) = self
            .connections
            .get_mut(&number)
            .filter(|connection| connection.is_reading())
        else {
            return;
        };
        match connection.read(&mut self.context) {
            ReadOutcome::More => self.read_queue.push_back(number),
            ReadOutcome::Drained => connection.read_scheduled = false,
            ReadOutcome::Paused(resume_at) => self.paused.push(Reverse((resume_at, number))),
            ReadOutcome::OutOfMemory => {
                self.drop_largest_partial_requests();
                self.read_queue.push_back(number);
            }
            ReadOutcome::Ended(reason) => self.stop_reading(number, reason),
        }
    }

    /// Drops incomplete requests, on the connections that have the most of them, until those of all connections are
    /// within their bound. The connection that has exceeded the bound is seldom the one that fills it.
    pub(super) fn drop_largest_partial_requests(&mut self) {
        while self.context.buffered_bytes > self.context.max_buffered_bytes {
            let connections = self.connections.values_mut();
            let largest = connections
                .filter(|connection| connection.buffered_bytes() > 0)
                .max_by_key(|connection| connection.buffered_bytes());
            let Some(connection) = largest else {
                return;
            };
            connection.drop_largest_partial_request(&mut self.context);
        }
    }

    /// Queues the connections whose pause is over.
    fn resume_paused_connections(&mut self, now: Instant) {
        while let Some(&Reverse((resume_at, number))) = self.paused.peek() {
            if resume_at > now {
                return;
            }
            self.paused.pop();
            self.read_queue.push_back(number);
        }
    }

    fn run_timers(&mut self, now: Instant) {
        self.resume_paused_connections(now);
        if !self.ending.is_empty() && now >= self.next_ending_read {
            self.next_ending_read = now + ENDING_READ_INTERVAL;
            self.read_ending_connections();
        }
        self.close_lingered_connections(now);
        if now >= self.next_idle_check {
            self.next_idle_check = now + IDLE_CHECK_INTERVAL;
            self.end_idle_connections(self.context.now_ms());
        }
    }

    /// Takes over bytes that the writer could not write.
    fn write_unsent(
        &mut self,
        peer: Arc<dyn message::Connection>,
        bytes: &[u8],
        memory: MemoryReservation,
    ) {
        let number = peer.connection_id();
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let fd = connection.stream.fd();
        let registered = self.poll.registry().reregister(
            &mut SourceFd(&fd),
            Token(number as usize),
            Interest::READABLE | Interest::WRITABLE,
        );
        if registered.is_err() || !connection.add_unsent(&self.context, peer, bytes, memory) {
            self.abort(number, EndReason::Broken);
        }
    }

    /// Stops reading from this connection.
    fn stop_reading(&mut self, number: u64, reason: EndReason) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.stop_reading(&mut self.context, reason);
        }
    }

    /// Ends a connection whose client accepts nothing or is gone.
    fn abort(&mut self, number: u64, reason: EndReason) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.abort(&self.context);
            // The engine's mailbox closes only when the process ends.
            let _ = self
                .context
                .engine
                .send(EngineMessage::ConnectionClosed(number));
            connection.stop_reading(&mut self.context, reason);
        }
    }
}
