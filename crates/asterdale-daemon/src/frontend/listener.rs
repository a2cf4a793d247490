//! The listening socket: binding it, and tracking whether its backlog may contain connections.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
#[cfg(feature = "tls")]
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use asterdale_engine::log::Log;
use mio::unix::SourceFd;
use mio::{Interest, Registry, Token};

#[cfg(feature = "tls")]
use super::tls::TlsAcceptor;

/// How long [`bind`] waits for an address that is in use: well within the 10 s in which a restarted process must be
/// ready.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(6);
/// The interval between the attempts of [`bind`].
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The settings of one listener.
#[derive(Clone)]
pub struct ListenerSettings {
    /// The address.
    pub address: SocketAddr,
    /// Connections get numbers above this one. Listeners of a process use disjoint ranges.
    pub first_connection: u64,
    /// How many listeners share the bounds of connections and memory.
    pub listener_count: usize,
    /// Starts TLS on the listener's connections. If absent, they are unencrypted.
    #[cfg(feature = "tls")]
    pub tls: Option<Arc<TlsAcceptor>>,
}

/// Listens at this address. A process that is about to exit may still use the address, so while it is in use, binding
/// is retried for up to 6 s.
pub fn bind(address: SocketAddr, log: &Log) -> io::Result<TcpListener> {
    let give_up_at = Instant::now() + ADDRESS_IN_USE_TIMEOUT;
    let mut is_logged = false;
    loop {
        match TcpListener::bind(address) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < give_up_at => {
                if !std::mem::replace(&mut is_logged, true) {
                    slog::warn!(log.lines, "frontend: the address is still in use"; "address" => %address);
                }
                thread::sleep(BIND_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// The result of one attempt to accept.
pub enum Accepted {
    /// A connection, which arrived no earlier than `not_before`.
    Connection {
        stream: TcpStream,
        not_before: Instant,
    },
    /// The client closed the connection before it was accepted, or the call was interrupted.
    Retry,
    /// The backlog is empty.
    BacklogEmpty,
    /// The call failed, usually because the process has no free descriptor.
    Failed(io::Error),
}

/// The listening socket of an event loop.
pub struct Listener {
    socket: TcpListener,
    /// The backlog may contain connections.
    is_ready: bool,
    /// No connection is accepted before this time.
    paused_until: Instant,
    /// When the backlog was last found empty.
    backlog_empty_at: Instant,
}

impl Listener {
    /// A listener on this socket, which is made non-blocking.
    pub fn new(socket: TcpListener, now: Instant) -> io::Result<Listener> {
        socket.set_nonblocking(true)?;
        Ok(Listener {
            socket,
            is_ready: true,
            paused_until: now,
            backlog_empty_at: now,
        })
    }

    /// Registers the socket with the poll. The listener counts as ready, because its backlog may already contain
    /// connections for which the poll reports no event.
    pub fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        self.is_ready = true;
        let fd = self.socket.as_raw_fd();
        registry.register(&mut SourceFd(&fd), token, Interest::READABLE)
    }

    /// Deregisters the socket from the poll.
    pub fn deregister(&self, registry: &Registry) -> io::Result<()> {
        registry.deregister(&mut SourceFd(&self.socket.as_raw_fd()))
    }

    /// Marks the listener as ready: the poll has reported connections.
    pub fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// The earliest time for the next attempt to accept a connection; `None` if the backlog was found empty.
    pub fn accept_not_before(&self) -> Option<Instant> {
        self.is_ready.then_some(self.paused_until)
    }

    /// Sets the time before which no connection is accepted.
    pub fn pause_until(&mut self, until: Instant) {
        self.paused_until = until;
    }

    /// Tries to accept one connection.
    pub fn accept(&mut self) -> Accepted {
        let not_before = self.backlog_empty_at;
        match self.socket.accept() {
            Ok((stream, _)) => Accepted::Connection { stream, not_before },
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                self.is_ready = false;
                self.backlog_empty_at = Instant::now();
                Accepted::BacklogEmpty
            }
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
                ) =>
            {
                Accepted::Retry
            }
            Err(e) => Accepted::Failed(e),
        }
    }
}
