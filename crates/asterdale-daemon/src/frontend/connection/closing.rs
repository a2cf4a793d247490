//! How a connection ends without losing requests or replies that are in transit.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use asterdale_engine::log::LogLimit;
use asterdale_engine::message::EngineMessage;

use super::{Connection, Phase, ReadEnd, ReadOutcome, LINGER_TIMEOUT};
use crate::frontend::context::ConnectionContext;

/// A connection that is to end waits for the rest of a partial request until this many consecutive reads have found
/// nothing. The event loop reads every 2 ms, so this is 50 ms: about the time in which a client resends a request that
/// arrived after the close.
const MAX_EMPTY_READS: usize = 25;
/// Upper bound of reads while lingering, after which the connection is closed even if the client keeps sending.
const MAX_LINGER_READS: usize = 64;
/// Upper bound of the bytes that one read while lingering discards.
const DISCARD_BUFFER_BYTES: usize = 1024;

impl Connection {
    /// Reads from a connection that is to end, if everything on it is answered.
    ///
    /// A client can't know of the end before it has the last reply, so requests that it sends until then are still read
    /// and answered. The socket's write side is shut down right after a read that found nothing. This keeps the
    /// interval short in which a request can arrive too late to be read, however long this process is descheduled.
    pub fn read_while_ending(&mut self, context: &mut ConnectionContext) -> ReadOutcome {
        let Phase::Reading(peer) = &self.phase else {
            return ReadOutcome::Drained;
        };
        // Every other reference to the peer belongs to a reply that is outstanding or about to be written.
        let awaits_reply = peer.open_requests() > 0 || Arc::strong_count(peer) > 1;
        if awaits_reply {
            return ReadOutcome::Drained;
        }
        match self.read(context) {
            ReadOutcome::Drained if self.has_open_requests() => ReadOutcome::Drained,
            ReadOutcome::Drained => {
                self.empty_reads_while_ending += 1;
                if self.has_partial_request() && self.empty_reads_while_ending < MAX_EMPTY_READS {
                    return ReadOutcome::Drained;
                }
                self.stream.finish();
                ReadOutcome::Ended(ReadEnd::Finished)
            }
            outcome => outcome,
        }
    }

    /// Stops reading. Open requests are still answered; when the last reference to the peer is dropped, the event loop
    /// is notified.
    pub fn stop_reading(&mut self, context: &mut ConnectionContext, end: ReadEnd) {
        let Phase::Reading(peer) = &self.phase else {
            return;
        };
        record_read_end(context, peer.connection, end);
        self.phase = Phase::Answering;
        (self.incoming, self.requests) = Default::default();
        self.set_buffered_bytes(context, 0);
    }

    /// Shuts the write side down and starts to linger: no reply is outstanding.
    pub fn start_lingering(&mut self, now: Instant) {
        self.stream.finish();
        self.phase = Phase::Lingering {
            close_at: now + LINGER_TIMEOUT,
            reads: 0,
        };
    }

    /// Discards what the client has sent meanwhile: closing a socket with unread input would reset the connection, and
    /// the client could lose a reply that it has not read yet. Returns `true` when the socket can be closed.
    pub fn linger(&mut self, now: Instant) -> bool {
        let Phase::Lingering { close_at, reads } = &mut self.phase else {
            return false;
        };
        let mut discarded = [0; DISCARD_BUFFER_BYTES];
        while *reads < MAX_LINGER_READS {
            *reads += 1;
            match self.stream.read(&mut discarded) {
                Ok(1..) => *close_at = now + LINGER_TIMEOUT,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return self.end_requested || now >= *close_at
                }
                _ => return true,
            }
        }
        true
    }
}

/// Counts and logs why reading from a connection ended, and notifies the engine if the connection failed.
fn record_read_end(context: &ConnectionContext, connection: u64, end: ReadEnd) {
    static MALFORMED: LogLimit = LogLimit::new();
    static OUT_OF_MEMORY: LogLimit = LogLimit::new();
    let (counters, log) = (&context.counters, &context.log);
    match end {
        ReadEnd::Finished => {}
        ReadEnd::Malformed(malformed) => {
            counters.connections_malformed.add();
            if log.allows(&MALFORMED) {
                slog::warn!(log.lines, "frontend: connection ended, malformed input"; "error" => %malformed);
            }
        }
        ReadEnd::OutOfMemory => {
            counters.connections_over_memory.add();
            if log.allows(&OUT_OF_MEMORY) {
                slog::warn!(
                    log.lines,
                    "frontend: connection ended, no memory for its partial requests"
                );
            }
        }
        ReadEnd::Broken => {
            counters.connections_broken.add();
            // The engine's mailbox closes only when the process ends.
            let _ = context
                .engine
                .send(EngineMessage::ConnectionClosed(connection));
        }
    }
}
