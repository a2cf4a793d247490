//! The thread that runs exchanges of full membership views. It polls all streams together. A stream carries one message in
//! each direction. The number of streams and their duration are limited, so that a slow or silent peer occupies a stream for
//! two seconds at most.

mod stream;

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{unbounded, Receiver, Sender};
use mio::net::TcpStream;
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token, Waker};

use crate::framing::exchange_frame;
use crate::messages::MembershipMessage;
use crate::persistent_streams::PersistentStreams;
use crate::threads;
use stream::{ExchangeStream, Progress, Role};

/// The maximal duration of an exchange. Full views have some KiB, and the network takes some milliseconds.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximal number of concurrent exchanges that peers have requested. Usually there is one in several seconds.
const MAX_RESPONDER_STREAMS: usize = 32;
/// The maximal number of concurrent exchanges that this process has requested.
const MAX_REQUESTER_STREAMS: usize = 8;
/// The maximal number of events that one poll returns.
const EVENT_CAPACITY: usize = 64;
const LISTENER: Token = Token(usize::MAX);
const COMMANDS: Token = Token(usize::MAX - 1);

/// A command to the thread.
pub(crate) enum ExchangeCommand {
    /// Request an exchange.
    Request {
        /// The peer's address.
        to: SocketAddr,
        /// The request.
        bytes: Vec<u8>,
    },
    /// Respond to a request, or close its stream.
    Respond {
        /// The number of the request's stream.
        stream: usize,
        /// The response, if there is one.
        response: Option<Vec<u8>>,
    },
}

/// A handle to the thread.
pub(crate) struct Exchanges {
    commands: Sender<ExchangeCommand>,
    waker: Arc<Waker>,
}

impl Exchanges {
    /// Sends a command. Never waits.
    pub(crate) fn send(&self, command: ExchangeCommand) {
        if self.commands.send(command).is_ok() {
            // If the wake-up fails, the command is handled at the next event of a stream.
            let _ = self.waker.wake();
        }
    }
}

/// The state of the thread.
struct Worker {
    poll: Poll,
    listener: TcpListener,
    commands: Receiver<ExchangeCommand>,
    mailbox: Sender<MembershipMessage>,
    /// Takes over streams whose first length field marks them as persistent.
    persistent: Option<PersistentStreams>,
    streams: HashMap<usize, ExchangeStream>,
    last_number: usize,
}

/// Starts the thread, which accepts streams from this listener.
pub(crate) fn start(
    listener: TcpListener,
    mailbox: Sender<MembershipMessage>,
    persistent: Option<PersistentStreams>,
) -> io::Result<Exchanges> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), COMMANDS)?);
    listener.set_nonblocking(true)?;
    let descriptor = listener.as_raw_fd();
    poll.registry()
        .register(&mut SourceFd(&descriptor), LISTENER, Interest::READABLE)?;
    let (sender, commands) = unbounded();
    let worker = Worker {
        poll,
        listener,
        commands,
        mailbox,
        persistent,
        streams: HashMap::new(),
        last_number: 0,
    };
    threads::spawn("exchanges", move || worker.run())?;
    Ok(Exchanges {
        commands: sender,
        waker,
    })
}

impl Worker {
    fn run(mut self) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            match self.poll.poll(&mut events, self.time_to_first_deadline()) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return,
                _ => {}
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    COMMANDS => {}
                    Token(number) => self.advance(number),
                }
            }
            let commands: Vec<ExchangeCommand> = self.commands.try_iter().collect();
            for command in commands {
                self.handle(command);
            }
            let now = Instant::now();
            self.streams.retain(|_, stream| stream.deadline > now);
        }
    }

    fn time_to_first_deadline(&self) -> Option<Duration> {
        let now = Instant::now();
        self.streams
            .values()
            .map(|stream| stream.deadline.saturating_duration_since(now))
            .min()
    }

    fn handle(&mut self, command: ExchangeCommand) {
        match command {
            ExchangeCommand::Request { to, bytes } => self.request(to, &bytes),
            ExchangeCommand::Respond {
                stream: number,
                response: Some(response),
            } => {
                if let Some(stream) = self.streams.get_mut(&number) {
                    stream.outgoing = exchange_frame(&response);
                }
                self.advance(number);
            }
            ExchangeCommand::Respond {
                stream: number,
                response: None,
            } => drop(self.streams.remove(&number)),
        }
    }

    fn has_capacity(&self, role: Role) -> bool {
        let max_streams = match role {
            Role::Requester => MAX_REQUESTER_STREAMS,
            Role::Responder => MAX_RESPONDER_STREAMS,
        };
        let streams = self.streams.values();
        streams.filter(|stream| stream.role == role).count() < max_streams
    }

    fn accept(&mut self) {
        loop {
            match self.listener.accept() {
                // At the limit the stream is closed, and the peer requests an exchange from another member.
                Ok((stream, _)) => {
                    if self.has_capacity(Role::Responder) && stream.set_nonblocking(true).is_ok() {
                        self.add(TcpStream::from_std(stream), Role::Responder, Vec::new());
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    fn request(&mut self, to: SocketAddr, bytes: &[u8]) {
        if !self.has_capacity(Role::Requester) {
            return;
        }
        if let Ok(stream) = TcpStream::connect(to) {
            self.add(stream, Role::Requester, exchange_frame(bytes));
        }
    }

    fn add(&mut self, mut stream: TcpStream, role: Role, outgoing: Vec<u8>) {
        self.last_number = (self.last_number + 1) % COMMANDS.0;
        let number = self.last_number;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = self
            .poll
            .registry()
            .register(&mut stream, Token(number), interest);
        if registered.is_ok() {
            let deadline = Instant::now() + EXCHANGE_TIMEOUT;
            let stream = ExchangeStream::new(stream, role, outgoing, deadline);
            self.streams.insert(number, stream);
        }
    }

    /// Writes and reads as much as a stream allows.
    fn advance(&mut self, number: usize) {
        let Some(stream) = self.streams.get_mut(&number) else {
            return;
        };
        let role = stream.role;
        match stream.advance() {
            Ok(Progress::Pending) => {}
            Ok(Progress::Received(bytes)) if role == Role::Requester => {
                self.streams.remove(&number);
                self.deliver(MembershipMessage::ExchangeResponse(bytes));
            }
            Ok(Progress::Received(bytes)) => self.deliver(MembershipMessage::ExchangeRequest {
                stream: number,
                bytes,
            }),
            Ok(Progress::Persistent) => self.hand_over(number),
            Ok(Progress::Done) | Err(_) => drop(self.streams.remove(&number)),
        }
    }

    fn deliver(&self, message: MembershipMessage) {
        // If the mailbox is full, the message is dropped, like a datagram, and the stream is closed at its deadline.
        let _ = self.mailbox.try_send(message);
    }

    fn hand_over(&mut self, number: usize) {
        let Some(mut stream) = self.streams.remove(&number) else {
            return;
        };
        let Some(persistent) = &self.persistent else {
            return;
        };
        let registry = self.poll.registry();
        if registry.deregister(&mut stream.stream).is_ok() {
            persistent.adopt(stream.stream, stream.received);
        }
    }
}
