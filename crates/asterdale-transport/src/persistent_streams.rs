//! The thread of the persistent streams between the ownership actors of the fleet's processes. A stream carries messages in
//! one direction; answers arrive on a stream that the peer opens. One thread polls all streams.
//!
//! A peer without the fleet's key is disconnected at its first message. A peer that sends too much or too slowly, or
//! stops reading, uses one of a limited number of streams and that stream's limited buffer, and does not affect the others.

mod inbound;
mod outbound;

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_membership::authentication::MessageAuthenticator;
use crossbeam_channel::{unbounded, Receiver, Sender};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};

use crate::threads;
use inbound::{InboundStream, Parsed};
use outbound::OutboundStream;

/// The maximal number of streams that peers have opened.
const MAX_INBOUND_STREAMS: usize = 512;
/// The maximal number of streams that this process has opened.
const MAX_OUTBOUND_STREAMS: usize = 512;
/// The maximal size of all partly received messages, in bytes. The stream that exceeds it is closed.
const MAX_PARTIAL_BYTES: usize = 64 * 1024 * 1024;
/// The interval at which the time limits of streams are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// The longest wait for an event. Well below [`SWEEP_INTERVAL`], so that sweeps are on time.
const MAX_POLL_WAIT: Duration = Duration::from_millis(200);
/// The maximal number of events that one poll returns.
const EVENT_CAPACITY: usize = 256;
const COMMANDS: Token = Token(usize::MAX);

/// A command to the thread.
enum StreamCommand {
    /// Send a message to this address.
    Send(SocketAddr, Vec<u8>),
    /// Take over an accepted stream, and the bytes that have been read from it.
    Adopt(TcpStream, Vec<u8>),
}

/// A handle to the thread.
#[derive(Clone)]
pub(crate) struct PersistentStreams {
    commands: Sender<StreamCommand>,
    waker: Arc<Waker>,
}

impl PersistentStreams {
    fn command(&self, command: StreamCommand) {
        if self.commands.send(command).is_ok() {
            // If the wake-up fails, the command is handled at the next event, or after `MAX_POLL_WAIT`.
            let _ = self.waker.wake();
        }
    }

    /// Takes over an accepted stream, and the bytes that have been read from it.
    pub(crate) fn adopt(&self, stream: TcpStream, received: Vec<u8>) {
        self.command(StreamCommand::Adopt(stream, received));
    }

    /// Sends a message. It is lost if the stream breaks or its queue is full.
    pub(crate) fn send(&self, to: SocketAddr, message: Vec<u8>) {
        self.command(StreamCommand::Send(to, message));
    }
}

/// The receiver of messages was dropped: the thread ends.
struct Disconnected;

/// The state of the thread.
struct Worker {
    poll: Poll,
    commands: Receiver<StreamCommand>,
    messages: Sender<Vec<u8>>,
    authenticator: MessageAuthenticator,
    inbound: HashMap<usize, InboundStream>,
    outbound: HashMap<usize, OutboundStream>,
    outbound_numbers: HashMap<SocketAddr, usize>,
    /// Inbound streams that may have more to read. They are served round robin.
    readable: VecDeque<usize>,
    /// The size of all partly received messages, in bytes.
    partial_bytes: usize,
    last_number: usize,
}

/// Starts the thread. Messages whose authentication code is valid are sent to `messages`, or dropped if it is full.
pub(crate) fn start(
    authenticator: MessageAuthenticator,
    messages: Sender<Vec<u8>>,
) -> io::Result<PersistentStreams> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), COMMANDS)?);
    let (sender, commands) = unbounded();
    let worker = Worker {
        poll,
        commands,
        messages,
        authenticator,
        inbound: HashMap::new(),
        outbound: HashMap::new(),
        outbound_numbers: HashMap::new(),
        readable: VecDeque::new(),
        partial_bytes: 0,
        last_number: 0,
    };
    threads::spawn("streams", move || worker.run())?;
    Ok(PersistentStreams {
        commands: sender,
        waker,
    })
}

impl Worker {
    fn run(mut self) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        let mut next_sweep = Instant::now();
        loop {
            match self.poll.poll(&mut events, Some(self.poll_wait())) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return,
                _ => {}
            }
            for event in &events {
                self.handle_event(event.token());
            }
            self.handle_commands();
            if self.read_all_readable().is_err() {
                return;
            }
            let now = Instant::now();
            if now >= next_sweep {
                next_sweep = now + SWEEP_INTERVAL;
                self.enforce_time_limits(now);
            }
        }
    }

    fn poll_wait(&self) -> Duration {
        if self.readable.is_empty() {
            MAX_POLL_WAIT
        } else {
            Duration::ZERO
        }
    }

    fn handle_event(&mut self, token: Token) {
        let Token(number) = token;
        if token == COMMANDS {
            return;
        }
        if self.inbound.contains_key(&number) {
            self.readable.push_back(number);
        } else {
            self.write(number);
        }
    }

    /// Handles all queued commands before it writes, so that the messages of one stream share a write.
    fn handle_commands(&mut self) {
        let commands: Vec<StreamCommand> = self.commands.try_iter().collect();
        let mut to_write: Vec<usize> = Vec::new();
        for command in commands {
            match command {
                StreamCommand::Send(to, message) => to_write.extend(self.enqueue(to, &message)),
                StreamCommand::Adopt(stream, received) => self.adopt(stream, received),
            }
        }
        to_write.sort_unstable();
        to_write.dedup();
        for number in to_write {
            self.write(number);
        }
    }

    /// Reads once from each stream that may have more data.
    fn read_all_readable(&mut self) -> Result<(), Disconnected> {
        for _ in 0..self.readable.len() {
            let Some(number) = self.readable.pop_front() else {
                break;
            };
            self.read(number)?;
        }
        Ok(())
    }

    fn new_number(&mut self) -> usize {
        self.last_number = (self.last_number + 1) % COMMANDS.0;
        self.last_number
    }

    fn adopt(&mut self, mut stream: TcpStream, received: Vec<u8>) {
        if self.inbound.len() >= MAX_INBOUND_STREAMS {
            return; // the stream is closed, and the peer connects again later
        }
        let number = self.new_number();
        let registered =
            self.poll
                .registry()
                .register(&mut stream, Token(number), Interest::READABLE);
        if registered.is_ok() {
            self.partial_bytes += received.len();
            self.inbound
                .insert(number, InboundStream::new(stream, received));
            self.readable.push_back(number);
        }
    }

    fn close_inbound(&mut self, number: usize) {
        if let Some(stream) = self.inbound.remove(&number) {
            self.partial_bytes -= stream.buffered_bytes();
        }
    }

    fn read(&mut self, number: usize) -> Result<(), Disconnected> {
        let Some(stream) = self.inbound.get_mut(&number) else {
            return Ok(());
        };
        let read = stream.read();
        self.partial_bytes += read.bytes;
        let parsed = stream.deliver_messages(&self.authenticator, &self.messages);
        let (consumed_bytes, is_valid) = match parsed {
            Parsed::Valid { consumed_bytes } => (consumed_bytes, true),
            Parsed::Invalid { consumed_bytes } => (consumed_bytes, false),
            Parsed::Disconnected => return Err(Disconnected),
        };
        self.partial_bytes -= consumed_bytes;
        let is_over_limit = self.partial_bytes > MAX_PARTIAL_BYTES && stream.buffered_bytes() > 0;
        if read.is_closed || !is_valid || is_over_limit {
            self.close_inbound(number);
        } else if read.may_have_more {
            self.readable.push_back(number);
        }
        Ok(())
    }

    /// Queues a message for a stream, which is opened if necessary. Returns the stream's number, or `None` if the message is
    /// dropped.
    fn enqueue(&mut self, to: SocketAddr, message: &[u8]) -> Option<usize> {
        let now = Instant::now();
        let number = self.outbound_number(to, now)?;
        let stream = self.outbound.get_mut(&number)?;
        let registry = self.poll.registry();
        let is_queued =
            stream.ensure_connected(registry, Token(number), now) && stream.enqueue(message, now);
        is_queued.then_some(number)
    }

    fn outbound_number(&mut self, to: SocketAddr, now: Instant) -> Option<usize> {
        if let Some(&number) = self.outbound_numbers.get(&to) {
            return Some(number);
        }
        if self.outbound.len() >= MAX_OUTBOUND_STREAMS {
            return None;
        }
        let number = self.new_number();
        self.outbound.insert(number, OutboundStream::new(to, now));
        self.outbound_numbers.insert(to, number);
        Some(number)
    }

    fn write(&mut self, number: usize) {
        if let Some(stream) = self.outbound.get_mut(&number) {
            stream.write();
        }
    }

    fn enforce_time_limits(&mut self, now: Instant) {
        let timed_out: Vec<usize> = self
            .inbound
            .iter()
            .filter(|(_, stream)| stream.is_message_timed_out(now))
            .map(|(&number, _)| number)
            .collect();
        for number in timed_out {
            self.close_inbound(number);
        }
        for stream in self.outbound.values_mut() {
            if stream.is_stalled(now) {
                stream.close();
            }
        }
        let idle: Vec<usize> = self
            .outbound
            .iter()
            .filter(|(_, stream)| stream.is_idle(now))
            .map(|(&number, _)| number)
            .collect();
        for number in idle {
            if let Some(stream) = self.outbound.remove(&number) {
                self.outbound_numbers.remove(&stream.address);
            }
        }
    }
}
