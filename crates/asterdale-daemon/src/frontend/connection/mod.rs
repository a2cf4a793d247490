//! The state of one connection, which belongs to the event loop's thread.
//!
//! A connection passes through three phases. While *reading*, its requests are parsed ([`dispatch`]) and passed to the
//! engine. While *answering*, nothing more is read but outstanding replies still go out. While *lingering*, everything is
//! answered, and what the client still sends is discarded until the socket can be closed without a reset ([`closing`]).

mod admission;
mod closing;
mod dispatch;
mod end_reason;
mod error_budget;
mod outcome;
mod partial_requests;
mod unsent;
mod withheld;

#[cfg(test)]
mod tests;

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_engine::memory::CONNECTION_BYTES;
use asterdale_fastcgi::{RecordReader, RequestAssembler, DEFAULT_BUFFER_BYTES};

use super::context::ConnectionContext;
use super::peer::Peer;
use super::stream::ClientStream;
use dispatch::{MAX_OPEN_REQUESTS, MAX_UNWRITTEN_RECORDS};
pub use end_reason::EndReason;
use error_budget::ErrorBudget;
pub use outcome::ReadOutcome;
use unsent::UnsentReplies;
use withheld::WithheldReplies;

/// Once everything is answered, the socket is closed when the client has sent nothing for this long.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(50);
/// Bytes of unsent replies beyond which nothing more is read from a client: one that sends requests and reads no
/// replies must not fill the memory.
const MAX_UNSENT_BYTES: usize = 4 * 1024;
/// Upper bound of the memory of a queued reply that no memory is reserved for, in bytes: one without a body.
const SHORT_REPLY_BYTES: usize = 192;
/// Upper bound of the memory of a connection's own state, in bytes: in the event loop, its peer and its stream.
const STATE_BYTES: usize = 1024;
const _: () = assert!(
    DEFAULT_BUFFER_BYTES
        + MAX_UNSENT_BYTES
        + (MAX_OPEN_REQUESTS + MAX_UNWRITTEN_RECORDS) * SHORT_REPLY_BYTES
        + STATE_BYTES
        <= CONNECTION_BYTES
);

enum Phase {
    /// Requests are read.
    Reading(Arc<Peer>),
    /// Nothing more is read. Replies may still be sent, because there are references to the peer.
    Answering,
    /// There are no references to the peer left. Input is discarded until `close_at`.
    Lingering { close_at: Instant, reads: usize },
}

/// An open connection.
pub struct Connection {
    /// Its byte stream.
    pub stream: Arc<ClientStream>,
    phase: Phase,
    incoming: RecordReader,
    requests: RequestAssembler,
    /// Its part of [`ConnectionContext::buffered_bytes`].
    buffered_bytes: usize,
    /// When the connection was accepted, in milliseconds since the frontend started.
    pub accepted_at_ms: u64,
    /// When bytes last arrived, in milliseconds since the frontend started.
    last_read_ms: u64,
    /// The request that is being read arrived no earlier than this: everything that arrived before then was read.
    received_not_before: Instant,
    /// When a read last found nothing.
    drained_at: Instant,
    /// Whether any bytes have arrived.
    has_received_bytes: bool,
    /// Whether a complete and valid request has arrived.
    pub has_received_request: bool,
    /// Whether a valid request did not ask for the connection to be kept.
    has_unkept_request: bool,
    /// Replies to invalid requests and to management records since the last valid request.
    consecutive_error_replies: usize,
    error_budget: ErrorBudget,
    /// Whether reading paused before all records that were read had been processed.
    has_unprocessed_records: bool,
    /// Whether the connection is to end as soon as all requests read from it are answered.
    pub end_requested: bool,
    /// Why the connection ends, once that is known: the first reason.
    end_reason: Option<EndReason>,
    /// Consecutive reads without input since `end_requested` was set.
    empty_reads_while_ending: usize,
    /// Whether the connection is in the event loop's queue of connections to be read.
    pub read_scheduled: bool,
    unsent: Option<UnsentReplies>,
    /// Replies that are withheld; see [`withheld`].
    withheld: Option<WithheldReplies>,
}

impl Connection {
    /// A connection accepted at `accepted_at_ms`, which arrived no earlier than `not_before`.
    pub fn new(
        stream: Arc<ClientStream>,
        peer: Arc<Peer>,
        accepted_at_ms: u64,
        not_before: Instant,
    ) -> Connection {
        Connection {
            stream,
            phase: Phase::Reading(peer),
            incoming: RecordReader::default(),
            requests: RequestAssembler::default(),
            buffered_bytes: 0,
            accepted_at_ms,
            last_read_ms: accepted_at_ms,
            received_not_before: not_before,
            drained_at: not_before,
            has_received_bytes: false,
            has_received_request: false,
            has_unkept_request: false,
            consecutive_error_replies: 0,
            error_budget: ErrorBudget::new(not_before),
            has_unprocessed_records: false,
            end_requested: false,
            end_reason: None,
            empty_reads_while_ending: 0,
            read_scheduled: false,
            unsent: None,
            withheld: None,
        }
    }

    /// The peer, while requests are read.
    fn peer(&self) -> Option<&Arc<Peer>> {
        match &self.phase {
            Phase::Reading(peer) => Some(peer),
            Phase::Answering | Phase::Lingering { .. } => None,
        }
    }

    /// Whether requests are still read from it.
    pub fn is_reading(&self) -> bool {
        self.peer().is_some()
    }

    /// Whether it has ended, or is to end once all requests read from it are answered.
    pub fn is_ending(&self) -> bool {
        self.end_requested || !self.is_reading()
    }

    /// Whether any request on it may still wait for a reply.
    pub fn has_open_requests(&self) -> bool {
        self.peer().is_none_or(|peer| peer.open_requests() > 0)
    }

    /// Whether part of a request has been read.
    pub fn has_partial_request(&self) -> bool {
        !self.incoming.is_empty() || self.requests.pending_count() > 0
    }

    /// When bytes last arrived or the writer last wrote, in milliseconds since the frontend started.
    pub fn last_activity_ms(&self) -> u64 {
        let last_write_ms = self.peer().map_or(0, |peer| peer.last_write_ms());
        self.last_read_ms.max(last_write_ms)
    }

    /// Reads once, and passes the requests that are complete to the engine.
    pub fn read(&mut self, context: &mut ConnectionContext) -> ReadOutcome {
        let Phase::Reading(peer) = &self.phase else {
            return ReadOutcome::Drained;
        };
        let peer = peer.clone();
        let unsent_bytes = self.unsent.as_ref().map_or(0, UnsentReplies::len);
        if unsent_bytes + self.stream.unsent_bytes() > MAX_UNSENT_BYTES {
            // Reading continues once the socket has accepted the replies.
            return ReadOutcome::Drained;
        }
        if self.has_unprocessed_records {
            if let Some(outcome) = self.process_records(context, &peer) {
                return outcome;
            }
        }
        self.update_withholding();
        let had_partial_request = self.has_partial_request();
        // The buffer may grow for the rest of a record, and the read may then find nothing.
        self.incoming.prepare_read();
        if !self.account_for_buffers(context) {
            return ReadOutcome::OutOfMemory;
        }
        match self.stream.read(self.incoming.free_space()) {
            Ok(0) if peer.has_write_failed() => ReadOutcome::Ended(EndReason::Broken),
            Ok(0) => ReadOutcome::Ended(EndReason::ClientFinished),
            Ok(count) => {
                self.record_read(context, count, had_partial_request);
                self.process_records(context, &peer)
                    .unwrap_or(ReadOutcome::More)
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => ReadOutcome::More,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                self.drained_at = Instant::now();
                if self.ends_once_drained() {
                    ReadOutcome::Ended(EndReason::RepeatedErrors)
                } else {
                    ReadOutcome::Drained
                }
            }
            Err(_) => ReadOutcome::Ended(EndReason::Broken),
        }
    }

    /// Records that `count` bytes were read.
    fn record_read(
        &mut self,
        context: &ConnectionContext,
        count: usize,
        had_partial_request: bool,
    ) {
        self.incoming.commit(count);
        let discarded = self.incoming.take_discarded_bytes();
        if discarded > 0 {
            self.error_budget.charge_ignored(discarded, Instant::now());
        }
        self.last_read_ms = context.now_ms();
        self.empty_reads_while_ending = 0;
        // The first bytes may have arrived at any time since the connection did, so `received_not_before` is not
        // changed for them.
        if !had_partial_request && std::mem::replace(&mut self.has_received_bytes, true) {
            self.received_not_before = self.drained_at;
        }
    }
}
