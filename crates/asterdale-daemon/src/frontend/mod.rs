//! The FastCGI frontend: accepts connections on a listener, reads requests from them, passes complete requests to the
//! engine and writes its replies.
//!
//! Two kinds of threads do this. Each listener has an [`EventLoop`], which waits for the listening socket and all its
//! connections together and does all reading. One [`Writer`] writes the replies of all listeners; bytes that a socket
//! does not accept at once go to the event loop, which writes them when the socket becomes writable.
//!
//! ```text
//! socket -> event_loop -> connection -> request_head -> engine
//! socket <- writer <- peer <- reply <- engine
//! ```

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
mod writer;

#[cfg(test)]
mod tests;

use std::io;
use std::sync::Arc;
use std::time::Instant;

use asterdale_engine::counters::Counters;
use asterdale_engine::log::Log;
use asterdale_engine::mailbox;
use asterdale_engine::message::EngineMessage;
use crossbeam_channel::Sender;
use mio::Poll;

use crate::start::Start;
use context::ConnectionContext;
use event_loop::EventLoopSettings;

pub use event_loop::EventLoop;
pub use handle::{FrontendGroup, FrontendHandle};
pub use listener::{bind, ListenerSettings};
pub use peer::OutgoingReply;
#[cfg(feature = "tls")]
pub use tls::TlsAcceptor;
pub use writer::Writer;

/// Memory that a connection takes at most by itself, in bytes: its buffers, and those of its socket in the kernel.
const CONNECTION_BYTES: usize = 64 * 1024;
/// Descriptors kept free for connections to the runtime, the records service and the registry, and for health checks.
const RESERVED_DESCRIPTORS: usize = 64;
/// Idle connections that are kept in any case.
const MIN_IDLE_CONNECTIONS: usize = 16;
/// Lower bound of the longest deadline, in milliseconds: classes with short deadlines don't end slow clients sooner.
const MIN_LONGEST_DEADLINE_MS: f64 = 1000.0;

/// What a frontend is connected to. All frontends of a process share these.
#[derive(Clone)]
pub struct FrontendPorts {
    /// Receives requests.
    pub engine: Sender<EngineMessage>,
    /// Receives replies to be written.
    pub writer: Sender<OutgoingReply>,
    pub counters: Arc<Counters>,
    pub log: Log,
    /// Time 0 of the frontends, the same as the writer's.
    pub started_at: Instant,
}

/// Creates a frontend for this listener. It serves once its event loop runs.
///
/// # Errors
/// If the system refuses a poll or a waker.
pub fn create(
    start: &Start,
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
    let context = connection_context(start, listener.listener_count, ports);
    let event_loop = EventLoop::new(poll, commands, listener, context, settings);
    Ok((handle, event_loop))
}

fn connection_context(
    start: &Start,
    listener_count: usize,
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
        counters: ports.counters,
        log: ports.log,
        max_connections: max_connections(start, listener_count),
        buffered_bytes: 0,
        max_buffered_bytes: start.memory_bytes / 8 / listener_count,
        max_deadline_ms: max_deadline_ms as u64,
        started_at: ports.started_at,
    }
}

/// Several times the number of connections that edge nodes keep open for reuse.
fn max_idle_connections(start: &Start, listener_count: usize) -> usize {
    (start.max_descriptors / 8 / listener_count).max(MIN_IDLE_CONNECTIONS)
}

/// Edge nodes open as many connections as half of the descriptors at most. Some of the rest are for health checks, and
/// [`RESERVED_DESCRIPTORS`] (fewer where there are few) for connections that this process opens. All connections take
/// half of the memory at most.
fn max_connections(start: &Start, listener_count: usize) -> usize {
    (start.max_descriptors * 3 / 4)
        .min(start.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS))
        .max(start.max_descriptors / 2)
        .min(start.memory_bytes / 2 / CONNECTION_BYTES)
        .div_euclid(listener_count)
        .max(1)
}
