//! Messages to the engine.

use std::net::SocketAddr;
use std::sync::Arc;

use asterdale::events::Outcome;
use crossbeam_channel::Sender;

#[cfg(feature = "hot-restart")]
use super::hot_restart::HotRestartStep;
use crate::memory::BytePermit;

use super::links::{QueuedCommand, RuntimeNotice};
use super::request::{Connection, Request, ResponseRoute, TaskId};

/// A message to the engine.
pub enum EngineMessage {
    /// A complete request.
    Request(Box<Request>),
    /// A health check.
    HealthCheck {
        /// The connection that the response goes to.
        client: Arc<dyn Connection>,
        /// The request's number on that connection.
        request: u16,
        /// Whether it also checks that the runtime executes work.
        deep: bool,
    },
    /// The edge node no longer waits for the response to this request.
    Abort(ResponseRoute),
    /// The connection with this number is closed.
    ConnectionClosed(u64),
    /// The link to the runtime is established, and accepts command lines through this channel.
    RuntimeConnected(Sender<QueuedCommand>),
    /// The link to the runtime is closed.
    RuntimeDisconnected,
    /// A notice from the runtime. The permit bounds the bytes of those that wait.
    RuntimeNotice(RuntimeNotice, BytePermit),
    /// A call to the records service has ended.
    CallEnded(CallEnd),
    /// A key set, as read from a file or fetched from the issuer.
    KeySet(Vec<u8>),
    /// The start file was reloaded. These addresses of the services and these identity settings apply from now on.
    Reloaded(Endpoints, Option<Box<asterdale_identity::IdentitySettings>>),
    /// A step of a hot restart.
    #[cfg(feature = "hot-restart")]
    HotRestart(HotRestartStep),
    /// The answer to the ownership request with this number.
    #[cfg(feature = "ownership")]
    OwnershipAnswer(u64, asterdale_ownership::Answer),
    /// Requests without an owner, which this process may take over.
    #[cfg(feature = "ownership")]
    OwnerlessRequests(Vec<asterdale_ownership::KeyedRequest>),
    /// Shut down gracefully.
    Drain,
    /// Print the counters.
    PrintCounters,
}

/// The end of a call to the records service.
pub struct CallEnd {
    /// The task that made it.
    pub task: TaskId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took, in milliseconds.
    pub duration_ms: f64,
    /// The response's body.
    pub body: Vec<u8>,
    /// Bounds the bytes of the responses that wait for the engine.
    pub permit: BytePermit,
}

/// The addresses of the services that the engine depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoints {
    /// The runtime.
    pub runtime: SocketAddr,
    /// The registry.
    pub registry: SocketAddr,
    /// The records service.
    pub records: SocketAddr,
}
