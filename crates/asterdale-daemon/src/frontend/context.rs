//! What all connections of one listener share: settings, the number of buffered bytes, and the sender to the engine.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Instant;

use asterdale_engine::counters::Counters;
use asterdale_engine::log::{Log, LogLimit};
use asterdale_engine::memory::MemoryAccount;
use asterdale_engine::message::{EngineMessage, Reply, Shortage};
use asterdale_parameters::Settings;
use crossbeam_channel::Sender;

/// What all connections of one listener share. Owned by the listener's event loop.
pub struct ConnectionContext {
    /// The service's settings, among them the request classes.
    pub settings: Arc<Settings>,
    /// Whether callers must be identified. If so, the `Authorization` header is read.
    pub identity_required: bool,
    /// Receives requests.
    pub engine: Sender<EngineMessage>,
    pub counters: Arc<Counters>,
    pub log: Log,
    /// The memory that requests of all connections have reserved.
    pub request_memory: Arc<MemoryAccount>,
    /// Upper bound of open connections.
    pub max_connections: usize,
    /// Bytes of incomplete requests that all connections buffer.
    pub buffered_bytes: usize,
    /// Upper bound of `buffered_bytes`.
    pub max_buffered_bytes: usize,
    /// The longest deadline of any request class, in milliseconds. No caller waits longer for a reply.
    pub max_deadline_ms: u64,
    /// When the frontend started.
    pub started_at: Instant,
}

impl ConnectionContext {
    /// Milliseconds since the frontend started.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Counts and logs a request in which this field is missing or invalid, or that has this fault.
    pub fn record_malformed_request(&self, field: impl Display) {
        static MALFORMED_REQUEST: LogLimit = LogLimit::new();
        self.counters.tasks_malformed.add();
        if self.log.allows(&MALFORMED_REQUEST) {
            slog::warn!(self.log.lines, "frontend: malformed request"; "field" => %field);
        }
    }

    /// Counts and logs a request that is refused for this reason. Returns its reply.
    pub fn refuse(&self, shortage: Shortage) -> Reply {
        static NO_MEMORY: LogLimit = LogLimit::new();
        if shortage == Shortage::Memory && self.log.allows(&NO_MEMORY) {
            slog::warn!(self.log.lines, "frontend: request rejected, no memory for it";
                "reserved_bytes" => self.request_memory.used());
        }
        let max_retry_after_ms = self.settings.decisions.max_retry_after_ms;
        shortage.refuse(&self.counters, max_retry_after_ms)
    }

    /// Accounts for a connection whose buffers change from `previous` to `current` bytes. Returns `false` if the
    /// buffers grow and the total of all connections exceeds its bound.
    pub fn update_buffered_bytes(&mut self, previous: usize, current: usize) -> bool {
        let grows = current > previous;
        self.buffered_bytes = self.buffered_bytes + current - previous;
        let buffered = &self.counters.memory_partial_requests;
        buffered.add_amount(current);
        buffered.sub_amount(previous);
        !grows || self.buffered_bytes <= self.max_buffered_bytes
    }
}
