//! The thread that writes replies to all connections. What a socket does not accept at once is passed to the event
//! loop, which polls all sockets, so that no slow client delays the replies to others.

use std::io::IoSlice;
use std::sync::Arc;
use std::time::Instant;

use asterdale_engine::counters::Counters;
use asterdale_engine::memory::MemoryReservation;
use asterdale_engine::message::EngineMessage;
use crossbeam_channel::{Receiver, Sender};

use super::peer::{OutgoingReply, Peer};

/// Upper bound of the replies that a batch contains after its first one. It bounds the memory of the gathered writes.
const MAX_BATCH_REPLIES: usize = 256;

/// The writer of all connections.
pub struct Writer {
    /// Replies to be written.
    pub replies: Receiver<OutgoingReply>,
    /// Is notified of connections that fail.
    pub engine: Sender<EngineMessage>,
    pub counters: Arc<Counters>,
    /// When the frontend started.
    pub started_at: Instant,
}

impl Writer {
    /// Writes until every sender of replies is dropped. All replies that are queued for one connection go out in one
    /// gathered write.
    pub fn run(&self) {
        while let Ok(first) = self.replies.recv() {
            let mut batch = vec![first];
            batch.extend(self.replies.try_iter().take(MAX_BATCH_REPLIES));
            // The sort is stable: replies of one connection stay in order.
            batch.sort_by_key(|reply| reply.peer.connection);
            batch
                .chunk_by_mut(|one, next| one.peer.connection == next.peer.connection)
                .for_each(|replies| self.write_to_one_peer(replies));
        }
    }

    /// Writes these replies, all to the same peer.
    fn write_to_one_peer(&self, replies: &mut [OutgoingReply]) {
        let peer = replies[0].peer.clone();
        let completed = replies.iter().filter(|reply| reply.closes_request).count();
        // Counted before the write: the client may send its next requests as soon as it has read these replies.
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        peer.record_write(now_ms, completed, replies.len() - completed);
        let written = if peer.is_written_by_event_loop() {
            Err(0)
        } else {
            let mut pieces: Vec<IoSlice<'_>> = pieces_of(replies).collect();
            peer.write(&mut pieces, &self.engine)
        };
        let bytes = replies
            .iter()
            .map(|reply| reply.response.byte_count())
            .sum();
        self.counters.memory_queued_replies.sub_amount(bytes);
        if let Err(written) = written {
            self.pass_to_event_loop(&peer, replies, written);
        }
    }

    /// Passes what the socket has not accepted to the event loop, after `written` bytes, with the memory of these
    /// replies.
    fn pass_to_event_loop(&self, peer: &Arc<Peer>, replies: &mut [OutgoingReply], written: usize) {
        // From now on all replies to this peer take the same path, so their order is kept.
        if peer.switch_to_event_loop() {
            self.counters.connections_slow.add();
        }
        let unsent: Vec<u8> = pieces_of(replies)
            .flat_map(|piece| piece.to_vec())
            .skip(written)
            .collect();
        let mut memory = MemoryReservation::default();
        for reply in replies {
            memory.merge(std::mem::take(&mut reply.memory));
        }
        memory.shrink_to(unsent.len() + peer.unsent_bytes());
        peer.send_unsent(unsent, memory);
    }
}

fn pieces_of(replies: &[OutgoingReply]) -> impl Iterator<Item = IoSlice<'_>> {
    replies.iter().flat_map(|reply| reply.response.slices())
}
