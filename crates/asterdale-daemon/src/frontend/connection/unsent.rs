//! Replies that a client's socket has not accepted yet. The event loop writes them when the socket becomes writable.

use std::io;
use std::net::Shutdown;
use std::sync::Arc;

use asterdale_engine::memory::MemoryReservation;
use asterdale_engine::message;

use super::Connection;
use crate::frontend::context::ConnectionContext;

/// Replies that a client's socket has not accepted yet.
pub struct UnsentReplies {
    /// Keeps the connection open.
    _peer: Arc<dyn message::Connection>,
    bytes: Vec<u8>,
    /// The memory that is reserved for the replies among them.
    memory: MemoryReservation,
    /// How many of `bytes` are written.
    written: usize,
    /// When the socket last accepted bytes, in milliseconds since the frontend started.
    last_progress_ms: u64,
}

impl UnsentReplies {
    /// Bytes that are not written.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.written
    }

    fn record_written(&mut self, count: usize, now_ms: u64) {
        self.last_progress_ms = now_ms;
        self.written += count;
    }

    /// Frees written bytes once they are more than the unsent ones.
    fn release_written(&mut self) {
        if self.written > self.bytes.len() / 2 {
            self.bytes.drain(..self.written);
            self.bytes.shrink_to_fit();
            self.written = 0;
        }
    }
}

impl Connection {
    /// Adds bytes that the writer could not write, and writes what the socket accepts now. Returns `false` if the
    /// connection failed.
    pub fn add_unsent(
        &mut self,
        context: &ConnectionContext,
        peer: Arc<dyn message::Connection>,
        bytes: &[u8],
        memory: MemoryReservation,
    ) -> bool {
        let last_progress_ms = context.now_ms();
        let unsent = self.unsent.get_or_insert_with(|| UnsentReplies {
            _peer: peer,
            bytes: Vec::new(),
            memory: MemoryReservation::default(),
            written: 0,
            last_progress_ms,
        });
        unsent.bytes.reserve_exact(bytes.len());
        unsent.bytes.extend_from_slice(bytes);
        unsent.memory.merge(memory);
        context
            .counters
            .memory_unsent_replies
            .add_amount(bytes.len());
        self.write_unsent(context)
    }

    /// Writes unsent replies as far as the socket accepts them. Returns `false` if the connection failed.
    pub fn write_unsent(&mut self, context: &ConnectionContext) -> bool {
        let Some(unsent) = &mut self.unsent else {
            return self.stream.flush();
        };
        let piece = io::IoSlice::new(&unsent.bytes[unsent.written..]);
        match self.stream.write(&mut [piece]) {
            Ok(()) => {
                self.discard_unsent(context);
                true
            }
            Err((written, e)) if e.kind() == io::ErrorKind::WouldBlock => {
                if written > 0 {
                    context.counters.memory_unsent_replies.sub_amount(written);
                    unsent.record_written(written, context.now_ms());
                }
                unsent.release_written();
                let kept_bytes = unsent.bytes.len() + self.stream.unsent_bytes();
                unsent.memory.shrink_to(kept_bytes);
                true
            }
            Err(_) => false,
        }
    }

    /// Whether the client has accepted no reply bytes for longer than any caller waits.
    pub fn is_send_stalled(&self, context: &ConnectionContext, now_ms: u64) -> bool {
        self.unsent.as_ref().is_some_and(|unsent| {
            now_ms.saturating_sub(unsent.last_progress_ms) >= context.max_deadline_ms
        })
    }

    /// Drops unsent replies and shuts the socket down in both directions.
    pub fn abort(&mut self, context: &ConnectionContext) {
        self.stream.shutdown(Shutdown::Both);
        self.discard_unsent(context);
    }

    fn discard_unsent(&mut self, context: &ConnectionContext) {
        if let Some(unsent) = self.unsent.take() {
            context
                .counters
                .memory_unsent_replies
                .sub_amount(unsent.len());
        }
    }
}
