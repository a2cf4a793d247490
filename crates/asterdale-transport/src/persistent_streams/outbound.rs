//! A persistent stream that this process opens to a peer, with the queue of its messages.

use std::collections::VecDeque;
use std::io::{ErrorKind, IoSlice, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

use crate::framing::persistent_frame;

/// The maximal size of the queue, in bytes. Messages beyond it are dropped; their senders repeat what has to arrive.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;
/// A stream with queued messages that has written nothing for this long is closed.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// A stream without messages for this long is closed, and reopened for the next message.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The minimal interval between two attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// The maximal number of messages in one write.
const MAX_WRITE_MESSAGES: usize = 64;

/// The stream is broken and has to be closed.
struct Broken;

/// A persistent stream to a peer. It is opened when a message has to be sent.
pub(super) struct OutboundStream {
    pub(super) address: SocketAddr,
    stream: Option<TcpStream>,
    queue: VecDeque<Vec<u8>>,
    /// How much of the first message is written, in bytes.
    written_bytes: usize,
    /// The size of all queued messages, in bytes.
    queued_bytes: usize,
    /// When the stream was last opened or written to, or a message was added to an empty queue.
    last_progress: Instant,
    connect_not_before: Instant,
}

impl OutboundStream {
    pub(super) fn new(address: SocketAddr, now: Instant) -> OutboundStream {
        OutboundStream {
            address,
            stream: None,
            queue: VecDeque::new(),
            written_bytes: 0,
            queued_bytes: 0,
            last_progress: now,
            connect_not_before: now,
        }
    }

    /// Starts to connect unless there is a stream already. Returns whether there is a stream now.
    pub(super) fn ensure_connected(
        &mut self,
        registry: &Registry,
        token: Token,
        now: Instant,
    ) -> bool {
        if self.stream.is_some() {
            return true;
        }
        if now < self.connect_not_before {
            return false;
        }
        self.connect_not_before = now + RECONNECT_INTERVAL;
        let Ok(mut stream) = TcpStream::connect(self.address) else {
            return false;
        };
        // Without TCP_NODELAY messages are delayed, but nothing else changes.
        let _ = stream.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        if registry.register(&mut stream, token, interest).is_err() {
            return false;
        }
        self.stream = Some(stream);
        self.last_progress = now;
        true
    }

    /// Queues a message; `false` if the queue is full.
    pub(super) fn enqueue(&mut self, message: &[u8], now: Instant) -> bool {
        if self.queued_bytes + message.len() > MAX_QUEUED_BYTES {
            return false;
        }
        let frame = persistent_frame(message);
        if self.queue.is_empty() {
            self.last_progress = now;
        }
        self.queued_bytes += frame.len();
        self.queue.push_back(frame);
        true
    }

    /// Writes as much as the socket accepts. If the stream breaks, its queue is dropped; the senders repeat
    /// what has to arrive.
    pub(super) fn write(&mut self) {
        if self.stream.is_some() && self.try_write().is_err() {
            self.close();
        }
    }

    fn try_write(&mut self) -> Result<(), Broken> {
        self.check_peer()?;
        while !self.queue.is_empty() {
            match self.write_some() {
                Ok(0) => return Err(Broken),
                Ok(count) => {
                    self.last_progress = Instant::now();
                    self.remove_written(count);
                }
                Err(ErrorKind::WouldBlock | ErrorKind::NotConnected) => return Ok(()),
                Err(ErrorKind::Interrupted) => {}
                Err(_) => return Err(Broken),
            }
        }
        Ok(())
    }

    /// Checks that the peer has neither sent data, which it never does on this stream, nor closed the stream.
    fn check_peer(&mut self) -> Result<(), Broken> {
        let Some(stream) = &mut self.stream else {
            return Err(Broken);
        };
        match stream.read(&mut [0; 16]).map_err(|e| e.kind()) {
            Err(ErrorKind::WouldBlock | ErrorKind::NotConnected | ErrorKind::Interrupted) => Ok(()),
            Ok(_) | Err(_) => Err(Broken),
        }
    }

    fn write_some(&mut self) -> Result<usize, ErrorKind> {
        let Some(stream) = &mut self.stream else {
            return Err(ErrorKind::NotConnected);
        };
        let mut slices: Vec<IoSlice<'_>> = self
            .queue
            .iter()
            .take(MAX_WRITE_MESSAGES)
            .map(|frame| IoSlice::new(frame))
            .collect();
        if let (Some(first_slice), Some(first)) = (slices.first_mut(), self.queue.front()) {
            *first_slice = IoSlice::new(&first[self.written_bytes..]);
        }
        stream.write_vectored(&slices).map_err(|e| e.kind())
    }

    fn remove_written(&mut self, mut count: usize) {
        while let Some(first) = self.queue.front() {
            let remaining = first.len() - self.written_bytes;
            if count < remaining {
                self.written_bytes += count;
                return;
            }
            count -= remaining;
            self.queued_bytes -= first.len();
            self.written_bytes = 0;
            self.queue.pop_front();
        }
    }

    /// Whether the stream has queued messages and has made no progress for longer than [`STALL_TIMEOUT`].
    pub(super) fn is_stalled(&self, now: Instant) -> bool {
        !self.queue.is_empty() && now - self.last_progress > STALL_TIMEOUT
    }

    /// Whether the stream has had no messages for longer than [`IDLE_TIMEOUT`].
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.queue.is_empty() && now - self.last_progress > IDLE_TIMEOUT
    }

    /// Closes the stream and drops its queue.
    pub(super) fn close(&mut self) {
        self.stream = None;
        self.queue.clear();
        self.written_bytes = 0;
        self.queued_bytes = 0;
        self.connect_not_before = Instant::now() + RECONNECT_INTERVAL;
    }
}
