//! Messages between the engine and the actors that hold the links to the runtime, the records service, the registry and
//! the key issuer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::request::{RequestId, TaskId};
use crate::counters::{Counters, GaugePart};

/// A call to the records service.
pub struct Call {
    /// The task that makes it.
    pub task: TaskId,
    /// The request id of that task.
    pub id: RequestId,
    /// The call's body.
    pub body: Vec<u8>,
    /// When the engine requested it.
    pub requested_at: Instant,
    /// How long it may take from then on.
    pub timeout: Duration,
    /// The claim of its task, if ownership is replicated: the records service rejects older fences.
    #[cfg(feature = "ownership")]
    pub fence: Option<CallFence>,
}

/// The claim that a call is made under.
#[cfg(feature = "ownership")]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallFence {
    /// The ownership key of the task, in hexadecimal digits.
    pub key: String,
    /// The fencing token of the claim.
    pub fence: u64,
}

/// A command to the registry's actor.
pub enum RegistryCommand {
    /// Report this backend as draining from now on.
    Drain,
    /// Use this address of the registry from now on.
    SetAddress(SocketAddr),
    /// `true`: another process reports from now on. `false`: this process reports again.
    SetPaused(bool),
}

/// A command to the runtime's actor.
pub enum RuntimeLinkCommand {
    /// Use this address of the runtime from now on.
    SetAddress(SocketAddr),
    /// `true`: another process holds the link from now on. `false`: this process holds it again.
    SetPaused(bool),
}

/// A command line that is queued for the runtime.
pub struct QueuedCommand {
    /// The line.
    pub line: String,
    _gauge: GaugePart,
}

impl QueuedCommand {
    /// Counts this line as queued.
    pub fn new(counters: &Arc<Counters>, line: String) -> QueuedCommand {
        let bytes = line.capacity();
        QueuedCommand {
            line,
            _gauge: GaugePart::new(counters, |counters| &counters.memory_queued_commands, bytes),
        }
    }
}

/// A notice from the runtime.
#[derive(Debug, PartialEq)]
pub enum RuntimeNotice {
    /// The reply to the `sync` command.
    Ready {
        /// Whether the runtime started without warm state.
        slow_start: bool,
        /// How long ago the runtime started, in milliseconds.
        uptime_ms: f64,
    },
    /// A run has ended.
    RunEnded {
        /// The notice's sequence number.
        sequence: u64,
        /// The request id of the task.
        id: RequestId,
        /// How it ended.
        outcome: RunOutcome,
        /// Its result.
        body: Vec<u8>,
    },
    /// A run waits for a call to the records service.
    CallNeeded {
        /// The notice's sequence number.
        sequence: u64,
        /// The request id of the task.
        id: RequestId,
        /// The call's body.
        body: Vec<u8>,
    },
    /// The gauges.
    Gauges {
        /// The tag of their request.
        tag: String,
        /// Their values, in the order of the settings' gauge names.
        values: Vec<f64>,
    },
    /// The result of a deep health check.
    HealthVerdict {
        /// The tag of its request.
        tag: String,
        /// Whether it passed.
        healthy: bool,
    },
    /// A command was not executed.
    Rejected {
        /// The command's name.
        command: String,
        /// The request id that the command referred to, if any.
        id: Option<RequestId>,
    },
    /// A notice of which only the sequence number is used, if it has one.
    Ignored(Option<u64>),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// With a result.
    Passed,
    /// Without a result.
    Failed,
    /// It was stopped, or the runtime ended it at a call.
    Killed,
    /// Nothing was started.
    Noop,
}

/// Where the issuer publishes its key set.
#[derive(Clone, Debug, PartialEq)]
pub struct KeySource {
    /// The issuer's address.
    pub address: SocketAddr,
    /// The path of the key set.
    pub path: String,
    /// The refresh interval, in milliseconds.
    pub interval_ms: f64,
}

/// A command to the issuer's actor.
pub enum KeyRefresh {
    /// A token refers to a key that is in no known set: there may be a newer set.
    Requested,
    /// Fetch the key set from this source from now on.
    SetSource(KeySource),
}
