//! The memory of a connection's incomplete requests, which counts towards a bound that all connections share.

use std::time::Instant;

use asterdale_engine::log::LogLimit;
use asterdale_engine::memory::MemoryReservation;
use asterdale_engine::message::Shortage;
use asterdale_fastcgi::{DroppedRequest, DEFAULT_BUFFER_BYTES};

use super::Connection;
use crate::frontend::context::ConnectionContext;
use crate::frontend::request_head;

impl Connection {
    /// The memory of its incomplete requests, in bytes, as it was accounted for last.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Accounts for the memory of incomplete requests and of a buffer that is larger than every connection's. Returns
    /// `false` if that of all connections then exceeds its bound.
    pub(super) fn account_for_buffers(&mut self, context: &mut ConnectionContext) -> bool {
        let bytes = self.long_record_bytes() + self.requests.pending_bytes();
        self.set_buffered_bytes(context, bytes)
    }

    /// Accounts for `bytes` of buffered input. Returns `false` if the input of all connections then exceeds its bound.
    pub(super) fn set_buffered_bytes(
        &mut self,
        context: &mut ConnectionContext,
        bytes: usize,
    ) -> bool {
        let fits = context.update_buffered_bytes(self.buffered_bytes, bytes);
        self.buffered_bytes = bytes;
        fits
    }

    /// The part of the input buffer that is kept for a long record, in bytes.
    fn long_record_bytes(&self) -> usize {
        self.incoming
            .buffer_bytes()
            .saturating_sub(DEFAULT_BUFFER_BYTES)
    }

    /// Drops the incomplete request that takes the most memory, or the record that is being received if that takes
    /// more, and rejects the request. The other requests of the connection are not affected.
    pub fn drop_largest_partial_request(&mut self, context: &mut ConnectionContext) {
        let bytes_before = self.buffered_bytes;
        let largest = self.requests.largest_pending(None);
        let record_bytes = self.long_record_bytes();
        let request_id = match largest {
            Some((id, length)) if length >= record_bytes => Some(id),
            _ => self.incoming.discard_record(),
        };
        record_drop(context);
        let dropped = request_id.and_then(|id| Some((id, self.requests.drop_pending(id)?)));
        if let Some((id, request)) = dropped {
            self.answer_dropped_request(context, id, &request);
        }
        self.account_for_buffers(context);
        let dropped_bytes = bytes_before.saturating_sub(self.buffered_bytes);
        self.error_budget.charge(dropped_bytes, Instant::now());
    }

    /// Answers a request that was dropped before it was complete. The reply states that it never ran only if no earlier
    /// attempt of it can have run either. The request counts as open until its reply is written, which bounds the
    /// replies that are queued for the connection.
    fn answer_dropped_request(
        &self,
        context: &ConnectionContext,
        request_id: u16,
        dropped: &DroppedRequest,
    ) {
        let Some(peer) = self.peer() else { return };
        let refusal = context.refuse(Shortage::Memory);
        let params = dropped.params.as_deref();
        let may_be_keyed =
            params.is_none_or(|params| request_head::names_keyed_class(params, &context.settings));
        let reply = if may_be_keyed {
            context.counters.tasks_unknown.add();
            refusal.without_claim()
        } else {
            refusal
        };
        peer.add_open_request();
        peer.answer_request(request_id, reply, MemoryReservation::default());
    }
}

fn record_drop(context: &ConnectionContext) {
    static OUT_OF_MEMORY: LogLimit = LogLimit::new();
    context.counters.partial_requests_over_memory.add();
    if context.log.allows(&OUT_OF_MEMORY) {
        slog::warn!(
            context.log.lines,
            "frontend: partial request dropped, no memory for it"
        );
    }
}
