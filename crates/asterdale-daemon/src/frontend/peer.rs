//! The client of one connection, as referred to by everything that has to reply to it.

use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

use asterdale_engine::counters::Counters;
use asterdale_engine::mailbox::MailboxSender;
use asterdale_engine::memory::{ConnectionMemory, MemoryAccount, MemoryReservation};
use asterdale_engine::message::{Connection, EngineMessage, Reply};
use asterdale_fastcgi::Response;
use crossbeam_channel::Sender;

use super::command::FrontendCommand;
use super::reply::encode_reply;
use super::stream::ClientStream;

/// The client of one connection. The connection is closed after the last reference to its peer is dropped, which means
/// that no reply is outstanding.
pub struct Peer {
    /// The connection's number, unique within this process.
    pub connection: u64,
    stream: Arc<ClientStream>,
    writer: Sender<OutgoingReply>,
    counters: Arc<Counters>,
    /// The memory that requests on this connection have reserved.
    memory: Arc<ConnectionMemory>,
    /// Requests passed to the engine whose replies the writer has not started to write.
    open_requests: AtomicUsize,
    /// Other records that the writer has not started to write.
    unwritten_records: AtomicUsize,
    /// When the writer last wrote, in milliseconds since the frontend started.
    last_write_ms: AtomicU64,
    /// Whether the socket's send buffer has ever been full. From then on, only the event loop writes.
    written_by_event_loop: AtomicBool,
    /// Whether a write has failed, after which the stream is shut down.
    write_failed: AtomicBool,
    event_loop: MailboxSender<FrontendCommand>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.event_loop.send(FrontendCommand::PeerReleased {
            connection: self.connection,
        });
    }
}

/// A reply that is queued for the writer.
pub struct OutgoingReply {
    /// Its recipient.
    pub peer: Arc<Peer>,
    /// The encoded reply.
    pub response: Response,
    /// Whether it answers a request that [`Peer::open_requests`] counts.
    pub closes_request: bool,
    /// The memory that is reserved for it.
    pub memory: MemoryReservation,
}

impl Peer {
    /// The peer of a new connection.
    pub fn new(
        connection: u64,
        stream: Arc<ClientStream>,
        writer: Sender<OutgoingReply>,
        event_loop: MailboxSender<FrontendCommand>,
        counters: Arc<Counters>,
        request_memory: Arc<MemoryAccount>,
    ) -> Arc<Peer> {
        Arc::new(Peer {
            connection,
            stream,
            writer,
            counters,
            memory: ConnectionMemory::new(request_memory),
            open_requests: AtomicUsize::new(0),
            unwritten_records: AtomicUsize::new(0),
            last_write_ms: 0.into(),
            written_by_event_loop: false.into(),
            write_failed: false.into(),
            event_loop,
        })
    }

    /// Requests passed to the engine whose replies the writer has not started to write.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Counts one more request as passed to the engine.
    pub fn add_open_request(&self) {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Records passed to [`Peer::send_record`], or counted in advance, that the writer has not started to write.
    pub fn unwritten_records(&self) -> usize {
        self.unwritten_records.load(Ordering::Relaxed)
    }

    /// Records that the writer writes at `now_ms`, and that this write contains the replies to `completed_requests`
    /// requests and `other_records` records.
    pub fn record_write(&self, now_ms: u64, completed_requests: usize, other_records: usize) {
        self.last_write_ms.store(now_ms, Ordering::Relaxed);
        self.unwritten_records
            .fetch_sub(other_records, Ordering::Relaxed);
        self.open_requests
            .fetch_sub(completed_requests, Ordering::AcqRel);
    }

    /// When the writer last wrote, in milliseconds since the frontend started.
    pub fn last_write_ms(&self) -> u64 {
        self.last_write_ms.load(Ordering::Relaxed)
    }

    /// Reserves memory for a request; `None` if there is none for it now.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        self.memory.reserve(bytes)
    }

    /// Reserves memory for a request that repeats an earlier one; `None` if there is none for it now.
    pub fn reserve_for_repeat(&self, bytes: usize) -> Option<MemoryReservation> {
        self.memory.reserve_for_repeat(bytes)
    }

    /// Answers a request that [`Peer::open_requests`] counts. The reply is queued for the writer, whose queue is bounded
    /// by the number of open requests. `memory` is released once the reply is written.
    pub fn answer_request(self: &Arc<Peer>, request: u16, reply: Reply, memory: MemoryReservation) {
        self.clone()
            .queue(encode_reply(request, reply), true, memory);
    }

    fn queue(self: Arc<Peer>, response: Response, closes_request: bool, memory: MemoryReservation) {
        let queued = &self.counters.memory_queued_replies;
        queued.add_amount(response.byte_count());
        let writer = self.writer.clone();
        // The writer's thread runs until the process ends; without it no reply could be written anyway.
        let _ = writer.send(OutgoingReply {
            peer: self,
            response,
            closes_request,
            memory,
        });
    }

    /// Queues a record that does not answer a request that was passed to the engine.
    pub fn send_record(self: &Arc<Peer>, response: Response) {
        self.add_unwritten_record();
        self.answer_record(response);
    }

    /// Counts one more record as not written, before there is one.
    pub fn add_unwritten_record(&self) {
        self.unwritten_records.fetch_add(1, Ordering::Relaxed);
    }

    /// Queues a record that [`Peer::add_unwritten_record`] has counted.
    pub fn answer_record(self: &Arc<Peer>, response: Response) {
        self.clone()
            .queue(response, false, MemoryReservation::default());
    }

    /// Notes that a record that [`Peer::add_unwritten_record`] has counted will not be sent.
    pub fn discard_record(&self) {
        self.unwritten_records.fetch_sub(1, Ordering::Relaxed);
    }

    /// Bytes of this peer's stream that are encrypted and that the socket has not accepted.
    pub fn unsent_bytes(&self) -> usize {
        self.stream.unsent_bytes()
    }

    /// Whether only the event loop may write to this peer.
    pub fn is_written_by_event_loop(&self) -> bool {
        self.written_by_event_loop.load(Ordering::Relaxed)
    }

    /// Writes as much as the socket accepts now. `Err` carries the number of bytes written if that was not all. A
    /// connection that fails is shut down and reported to the engine and the event loop; that counts as written.
    pub fn write(
        &self,
        pieces: &mut [IoSlice<'_>],
        engine: &Sender<EngineMessage>,
    ) -> Result<(), usize> {
        match self.stream.write(pieces) {
            Ok(()) => Ok(()),
            Err((written, e)) if e.kind() == io::ErrorKind::WouldBlock => Err(written),
            Err(_) => {
                self.write_failed.store(true, Ordering::Release);
                self.stream.shutdown(Shutdown::Both);
                // The engine's mailbox closes only when the process ends.
                let _ = engine.send(EngineMessage::ConnectionClosed(self.connection));
                self.event_loop.send(FrontendCommand::WriteFailed {
                    connection: self.connection,
                });
                Ok(())
            }
        }
    }

    /// Whether a write has failed, so that the end of the stream is this process's own.
    pub fn has_write_failed(&self) -> bool {
        self.write_failed.load(Ordering::Acquire)
    }

    /// From now on only the event loop writes. Returns whether this is the first time for this peer.
    pub fn switch_to_event_loop(&self) -> bool {
        !self.written_by_event_loop.swap(true, Ordering::Relaxed)
    }

    /// Passes these bytes to the event loop, which writes them and then releases `memory`.
    pub fn send_unsent(self: &Arc<Peer>, bytes: Vec<u8>, memory: MemoryReservation) {
        self.event_loop.send(FrontendCommand::WriteUnsent {
            peer: self.clone(),
            bytes,
            memory,
        });
    }
}

impl Connection for Peer {
    fn connection_id(&self) -> u64 {
        self.connection
    }

    fn discard_request(&self) {
        self.open_requests.fetch_sub(1, Ordering::Relaxed);
    }

    fn answer(self: Arc<Peer>, request: u16, reply: Reply) {
        self.answer_request(request, reply, MemoryReservation::default());
    }
}
