//! How a connection ends without losing requests or replies that are in transit.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use asterdale_engine::message::EngineMessage;

use super::{Connection, EndReason, Phase, ReadOutcome, LINGER_TIMEOUT};
use crate::frontend::context::ConnectionContext;

/// A connection without open or partial requests ends after this many consecutive replies to invalid requests and to
/// management records.
const MAX_CONSECUTIVE_ERROR_REPLIES: usize = 8;
/// Such replies after which reading stops as soon as a read finds nothing. A client that sends the next request as soon
/// as it has a reply would otherwise seldom be found silent.
const MAX_ERROR_REPLIES_WHILE_ENDING: usize = 12;
/// A connection without open requests ends once it has spent this many units of its error budget since its last valid
/// request, also with partial requests.
const MAX_SPENT_UNITS: i64 = 64;
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
                // The reason was recorded when the end was requested.
                ReadOutcome::Ended(self.end_reason.unwrap_or(EndReason::ClientFinished))
            }
            outcome => outcome,
        }
    }

    /// Why the connection is to end once it is answered, if what was read from it is a reason.
    pub fn due_end(&self) -> Option<EndReason> {
        if self.end_requested {
            None
        } else if self.has_unkept_request {
            Some(EndReason::NotKept)
        } else {
            self.has_only_errors().then_some(EndReason::RepeatedErrors)
        }
    }

    /// Whether the client sends nothing but errors.
    fn has_only_errors(&self) -> bool {
        let has_error_replies = self.consecutive_error_replies >= MAX_CONSECUTIVE_ERROR_REPLIES
            && !self.has_partial_request();
        !self.has_open_requests()
            && (has_error_replies || self.error_budget.spent_since_request() >= MAX_SPENT_UNITS)
    }

    /// Whether reading stops after a read that found nothing: no complete request that was received is unanswered.
    pub(super) fn ends_once_drained(&self) -> bool {
        let has_error_replies = self.consecutive_error_replies >= MAX_ERROR_REPLIES_WHILE_ENDING
            && !self.has_partial_request();
        self.end_requested
            && !self.has_open_requests()
            && (has_error_replies || self.is_withholding())
    }

    /// Records why the connection ends. Only the first reason counts.
    pub fn record_end_reason(&mut self, context: &ConnectionContext, reason: EndReason) {
        if self.end_reason.is_none() {
            self.end_reason = Some(reason);
            reason.record(&context.counters, &context.log);
        }
    }

    /// Stops reading. Open requests are still answered; when the last reference to the peer is dropped, the event loop
    /// is notified.
    pub fn stop_reading(&mut self, context: &mut ConnectionContext, reason: EndReason) {
        let Some(peer) = self.peer().cloned() else {
            return;
        };
        if reason == EndReason::Broken {
            // The engine's mailbox closes only when the process ends.
            let _ = context
                .engine
                .send(EngineMessage::ConnectionClosed(peer.connection));
        }
        self.release_withheld(&peer);
        self.record_end_reason(context, reason);
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
