//! Commands that other threads send to a frontend's event loop.

use std::sync::Arc;

use asterdale_engine::memory::MemoryReservation;
use asterdale_engine::message::Connection;

/// A command to the event loop of one listener.
pub enum FrontendCommand {
    /// From now on, close connections that have been idle for `timeout_ms` milliseconds; 0 turns this off.
    SetIdleTimeout { timeout_ms: u64 },
    /// Accept what is in the listen backlog, then close the listener.
    StopListening,
    /// End each connection as soon as all requests read from it are answered.
    EndAnsweredConnections,
    /// During a hot restart: stop (`true`) or resume (`false`) accepting, because another process accepts meanwhile.
    SetAcceptPaused(bool),
    /// Write these bytes once the socket accepts them: the writer could not. All later replies to this peer also come
    /// this way, so their order is kept.
    WriteUnsent {
        /// The peer; this reference keeps the connection open.
        peer: Arc<dyn Connection>,
        /// The bytes, in order.
        bytes: Vec<u8>,
        /// The memory that is reserved for them.
        memory: MemoryReservation,
    },
    /// A write to this connection failed. The engine has been notified.
    WriteFailed { connection: u64 },
    /// The last reference to this connection's peer was dropped: no reply can follow.
    PeerReleased { connection: u64 },
}
