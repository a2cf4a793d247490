//! Accepts connections, in batches, within the bound of open connections.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_engine::log::LogLimit;
use mio::unix::SourceFd;
use mio::{Interest, Token};

use super::{EventLoop, LISTENER};
use crate::frontend::connection::Connection;
use crate::frontend::listener::Accepted;
use crate::frontend::peer::Peer;
use crate::frontend::stream::ClientStream;

/// Upper bound of connections that are accepted before open ones are read again: after a release hundreds arrive at
/// once.
const ACCEPT_BATCH: usize = 32;
/// How long accepting pauses once the bound of open connections is reached.
const MAX_CONNECTIONS_PAUSE: Duration = Duration::from_millis(2);
/// How long accepting pauses after a failure, usually for want of a descriptor.
const ACCEPT_FAILED_PAUSE: Duration = Duration::from_millis(20);

static ACCEPT_FAULT: LogLimit = LogLimit::new();

impl EventLoop {
    /// Accepts up to [`ACCEPT_BATCH`] connections.
    pub(super) fn accept_batch(&mut self) {
        for _ in 0..ACCEPT_BATCH {
            let Some(listener) = self.listener.as_mut().filter(|_| !self.accept_paused) else {
                return;
            };
            let now = Instant::now();
            if listener.accept_not_before().is_none_or(|from| now < from) {
                return;
            }
            // The bound leaves descriptors for the runtime, the records service and the registry. The idle check ends
            // excess idle connections in advance, ten times a second. If the bound is reached all the same, idle
            // connections are reduced to half their usual bound.
            if self.connections.len() >= self.context.max_connections {
                listener.pause_until(now + MAX_CONNECTIONS_PAUSE);
                self.context.counters.accept_pauses.add();
                let max_idle = self.settings.max_idle_connections / 2;
                self.end_excess_idle_connections(|_| max_idle);
                return;
            }
            if !self.accept_one() {
                return;
            }
        }
    }

    /// Tries to accept one connection. Returns whether there may be more now.
    fn accept_one(&mut self) -> bool {
        let Some(listener) = self.listener.as_mut() else {
            return false;
        };
        match listener.accept() {
            Accepted::Connection { stream, not_before } => {
                self.context.counters.connections_accepted.add();
                if let Err(e) = self.add_connection(stream, not_before) {
                    self.context.counters.connections_setup_failed.add();
                    if self.context.log.allows(&ACCEPT_FAULT) {
                        slog::error!(self.context.log.lines, "frontend: connection setup failed"; "error" => %e);
                    }
                }
                true
            }
            Accepted::Retry => true,
            Accepted::BacklogEmpty => false,
            Accepted::Failed(e) => {
                // The connection stays in the backlog until a descriptor is free. Data that its client has already sent
                // counts as accepted, and closing the connection would lose it.
                listener.pause_until(Instant::now() + ACCEPT_FAILED_PAUSE);
                self.record_accept_failure(&e);
                self.end_excess_idle_connections(|idle| idle / 2);
                false
            }
        }
    }

    fn record_accept_failure(&self, error: &io::Error) {
        let context = &self.context;
        context.counters.accept_pauses.add();
        context.counters.accepts_refused.add();
        if context.log.allows(&ACCEPT_FAULT) {
            slog::error!(context.log.lines, "frontend: accept paused"; "error" => %error,
                "open_connections" => self.connections.len());
        }
    }

    #[cfg(feature = "tls")]
    fn client_stream(&self, stream: TcpStream) -> io::Result<ClientStream> {
        match &self.tls {
            Some(acceptor) => acceptor
                .accept(stream)
                .map(|session| ClientStream::Tls(Box::new(session))),
            None => Ok(ClientStream::Plain(stream)),
        }
    }

    #[cfg(not(feature = "tls"))]
    fn client_stream(&self, stream: TcpStream) -> io::Result<ClientStream> {
        Ok(ClientStream::Plain(stream))
    }

    /// Adds a connection that arrived no earlier than `not_before`.
    fn add_connection(&mut self, stream: TcpStream, not_before: Instant) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Arc::new(self.client_stream(stream)?);
        self.last_connection += 1;
        let (number, now_ms) = (self.last_connection, self.context.now_ms());
        let interest = if stream.is_plain() {
            Interest::READABLE
        } else {
            // A TLS handshake also writes.
            Interest::READABLE | Interest::WRITABLE
        };
        self.poll.registry().register(
            &mut SourceFd(&stream.fd()),
            Token(number as usize),
            interest,
        )?;
        let (writer, commands) = (
            self.settings.writer.clone(),
            self.settings.handle.commands(),
        );
        let peer = Peer::new(
            number,
            stream.clone(),
            writer,
            commands,
            self.context.counters.clone(),
            self.context.request_memory.clone(),
        );
        let mut connection = Connection::new(stream, peer, now_ms, not_before);
        // Most clients send their first request at once, so the connection is read without waiting for an event.
        connection.read_scheduled = true;
        self.connections.insert(number, connection);
        self.settings
            .handle
            .set_open_connections(self.connections.len());
        self.context.counters.connections_open.add();
        self.read_queue.push_back(number);
        Ok(())
    }

    /// Stops or resumes accepting, while another process accepts from the same socket.
    pub(super) fn set_accept_paused(&mut self, paused: bool) {
        if std::mem::replace(&mut self.accept_paused, paused) == paused {
            return;
        }
        let Some(listener) = &mut self.listener else {
            return;
        };
        let registry = self.poll.registry();
        let result = if paused {
            listener.deregister(registry)
        } else {
            listener.register(registry, LISTENER)
        };
        // The socket was registered before, so this is not expected to fail. If registering it again fails, the
        // listener accepts no further connections.
        if let Err(e) = result {
            slog::error!(self.context.log.lines, "frontend: listener registration failed"; "error" => %e);
        }
    }

    /// Accepts everything in the backlog, beyond all bounds, then closes the listener.
    pub(super) fn stop_listening(&mut self) {
        if !self.accept_paused {
            while self.accept_one() {}
        }
        if let Some(listener) = self.listener.take().filter(|_| !self.accept_paused) {
            // The descriptor is closed next, which removes it from the poll in any case, unless another process
            // shares it.
            let _ = listener.deregister(self.poll.registry());
        }
        self.settings.handle.set_listener_closed();
    }
}
