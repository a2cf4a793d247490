//! The FastCGI frontend: accepts connections on a listener, reads requests from them, passes complete requests to the
//! engine and writes its replies.
//!
//! Two kinds of threads do this. Each listener has an [`EventLoop`], which polls the listening socket and all its
//! connections and does all reading. One [`Writer`] writes the replies of all listeners; bytes that a socket does not
//! accept at once go to the event loop, which writes them when the socket becomes writable.
//!
//! ```text
//! socket -> event_loop -> connection -> request_head -> engine
//! socket <- writer <- peer <- reply <- engine
//! ```

mod admitted_request;
mod command;
mod connection;
mod context;
mod event_loop;
mod handle;
mod listener;
mod peer;
mod reply;
mod request_head;
mod stream;
#[cfg(feature = "tls")]
mod tls;
mod unreserved_request;
mod writer;

#[cfg(test)]
mod tests;

use std::io;
use std::sync::Arc;
use std::time::Instant;

use asterdale_engine::counters::Counters;
use asterdale_engine::log::Log;
use asterdale_engine::mailbox;
#[cfg(feature = "tls")]
use asterdale_engine::memory::TLS_CONNECTION_BYTES;
use asterdale_engine::memory::{MemoryAccount, CONNECTION_BYTES};
use asterdale_engine::message::EngineMessage;
use crossbeam_channel::Sender;
use mio::Poll;

use crate::start::StartSettings;
use context::ConnectionContext;
use event_loop::EventLoopSettings;

pub use event_loop::EventLoop;
pub use handle::{FrontendGroup, FrontendHandle};
pub use listener::{bind, ListenerSettings};
pub use peer::OutgoingReply;
#[cfg(feature = "tls")]
pub use tls::TlsAcceptor;
pub use writer::Writer;

/// Descriptors kept free for connections to the runtime, the records service and the registry, and for health checks.
const RESERVED_DESCRIPTORS: usize = 64;
/// Lower bound of [`max_idle_connections`], however few descriptors there are.
const MIN_IDLE_CONNECTIONS: usize = 16;
/// Lower bound of [`ConnectionContext::max_deadline_ms`], in milliseconds. Connections of slow clients are not closed
/// sooner than this, even if all classes have shorter deadlines.
const MIN_LONGEST_DEADLINE_MS: f64 = 1000.0;

/// The channels, counters and log that all frontends of a process share.
#[derive(Clone)]
pub struct FrontendPorts {
    /// Receives requests.
    pub engine: Sender<EngineMessage>,
    /// Receives replies to be written.
    pub writer: Sender<OutgoingReply>,
    /// The memory that requests of all listeners have reserved.
    pub request_memory: Arc<MemoryAccount>,
    pub counters: Arc<Counters>,
    pub log: Log,
    /// The origin of the frontends' and the writer's timestamps.
    pub started_at: Instant,
}

/// Creates a frontend for this listener. It serves once its event loop runs.
///
/// # Errors
/// If the poll or its waker can't be created.
pub fn create(
    start: &StartSettings,
    listener: ListenerSettings,
    ports: FrontendPorts,
) -> io::Result<(Arc<FrontendHandle>, EventLoop)> {
    let poll = Poll::new()?;
    let (sender, commands) = mailbox::open(&poll, event_loop::MAILBOX)?;
    let handle = Arc::new(FrontendHandle::new(sender));
    let settings = EventLoopSettings {
        handle: handle.clone(),
        writer: ports.writer.clone(),
        max_idle_connections: max_idle_connections(start, listener.listener_count),
        idle_timeout_ms: start.settings.decisions.idle_timeout_ms as u64,
    };
    let context = connection_context(start, &listener, ports);
    let event_loop = EventLoop::new(poll, commands, listener, context, settings);
    Ok((handle, event_loop))
}

fn connection_context(
    start: &StartSettings,
    listener: &ListenerSettings,
    ports: FrontendPorts,
) -> ConnectionContext {
    let max_deadline_ms = start
        .settings
        .decisions
        .classes
        .iter()
        .map(|class| class.deadline_ms)
        .fold(MIN_LONGEST_DEADLINE_MS, f64::max);
    ConnectionContext {
        settings: start.settings.clone(),
        identity_required: start.identity.is_some(),
        engine: ports.engine,
        request_memory: ports.request_memory,
        counters: ports.counters,
        log: ports.log,
        max_connections: max_connections(start, listener),
        buffered_bytes: 0,
        max_buffered_bytes: start.memory.partial_requests / listener.listener_count,
        max_deadline_ms: max_deadline_ms as u64,
        started_at: ports.started_at,
    }
}

/// The upper bound of one listener's idle connections: several times the number that edge nodes keep open for reuse.
fn max_idle_connections(start: &StartSettings, listener_count: usize) -> usize {
    (start.max_descriptors / 8 / listener_count).max(MIN_IDLE_CONNECTIONS)
}

/// The upper bound of one listener's connections. Edge nodes open at most half as many connections as there are
/// descriptors. Some of the other descriptors are for health checks, and [`RESERVED_DESCRIPTORS`] (fewer if the limit
/// is low) for connections that this process opens. All connections together stay within their share of the memory.
fn max_connections(start: &StartSettings, listener: &ListenerSettings) -> usize {
    (start.max_descriptors * 3 / 4)
        .min(start.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS))
        .max(start.max_descriptors / 2)
        .min(start.memory.connections / connection_bytes(listener))
        .div_euclid(listener.listener_count)
        .max(1)
}

#[cfg(feature = "tls")]
fn connection_bytes(listener: &ListenerSettings) -> usize {
    if listener.tls.is_some() {
        TLS_CONNECTION_BYTES
    } else {
        CONNECTION_BYTES
    }
}

#[cfg(not(feature = "tls"))]
fn connection_bytes(_: &ListenerSettings) -> usize {
    CONNECTION_BYTES
}
