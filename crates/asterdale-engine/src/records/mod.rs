//! The actor that makes calls to the records service: one thread makes all calls, each on its own non-blocking
//! connection.

mod protocol;

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale::events::Outcome;
use crossbeam_channel::Sender;
use mio::{Events, Poll, Token};

use self::protocol::{connect_outcome, exchange_outcome, request_bytes, response_outcome};
use crate::counters::Counters;
use crate::exchange::Exchange;
use crate::log::{Log, LogLimit};
use crate::mailbox::{self, MailboxReceiver, MailboxSender};
use crate::memory::ByteSemaphore;
use crate::message::{request_id_text, Call, CallEnd, EngineMessage};

/// The maximum timeout of a call, even if the policies allow more.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Incomplete responses up to this length, in bytes, are bounded by the number of open calls alone.
const SHORT_RESPONSE_BYTES: usize = 8 * 1024;
/// The poll token of the mailbox; the tokens of calls are the numbers below it.
const MAILBOX: Token = Token(usize::MAX);
/// The maximum number of events per poll; there are seldom more calls in flight.
const EVENTS_PER_POLL: usize = 64;

/// A call, and the address to make it to.
struct AddressedCall {
    address: SocketAddr,
    call: Call,
}

/// The sender of calls.
pub struct Records {
    address: SocketAddr,
    calls: MailboxSender<AddressedCall>,
    counters: Arc<Counters>,
}

/// The actor.
pub struct RecordsClientActor {
    poll: Poll,
    mailbox: MailboxReceiver<AddressedCall>,
    engine: Sender<EngineMessage>,
    /// Bounds the bytes of responses that the engine has not handled, and those of long incomplete ones.
    received: Arc<ByteSemaphore>,
    counters: Arc<Counters>,
    log: Log,
    open: HashMap<usize, OpenCall>,
    /// The deadlines of the open calls.
    deadlines: BTreeSet<(Instant, usize)>,
    next_number: usize,
}

/// A call in flight.
struct OpenCall {
    call: Call,
    exchange: Exchange,
    deadline: Instant,
}

/// The engine has ended, and so this actor ends as well.
struct EngineEnded;

/// Creates a sender of calls to this address, and the actor that makes them. No connection is made before the first
/// call.
///
/// # Errors
/// The system cannot create a poll.
pub fn new(
    address: SocketAddr,
    engine: Sender<EngineMessage>,
    received: Arc<ByteSemaphore>,
    counters: Arc<Counters>,
    log: Log,
) -> io::Result<(Records, RecordsClientActor)> {
    let poll = Poll::new()?;
    let (calls, mailbox) = mailbox::open(&poll, MAILBOX)?;
    let records = Records {
        address,
        calls,
        counters: counters.clone(),
    };
    let actor = RecordsClientActor {
        poll,
        mailbox,
        engine,
        received,
        counters,
        log,
        open: HashMap::new(),
        deadlines: BTreeSet::new(),
        next_number: 0,
    };
    Ok((records, actor))
}

impl Records {
    /// Sets the service's address for later calls. Calls in flight stay on their connections to the earlier address.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
    }

    /// Makes a call, and reports its end to the engine as a message. Returns `false` if the call could not be made.
    pub fn call(&self, mut call: Call) -> bool {
        call.timeout = call.timeout.min(MAX_CALL_TIMEOUT);
        self.counters.calls_sent.add();
        self.calls.send(AddressedCall {
            address: self.address,
            call,
        })
    }
}

impl RecordsClientActor {
    /// Makes calls until the engine has ended.
    pub fn serve(mut self) {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        while self.run_once(&mut events).is_ok() {}
    }

    /// One iteration of the event loop. All events of the iteration are handled even if the first one shows that the
    /// engine has ended.
    fn run_once(&mut self, events: &mut Events) -> Result<(), EngineEnded> {
        let next_deadline = self.deadlines.first();
        let wait =
            next_deadline.map(|&(deadline, _)| deadline.saturating_duration_since(Instant::now()));
        // An interrupted poll is repeated by the loop; a poll that was created successfully has no other errors.
        let _ = self.poll.poll(events, wait);
        let calls: Vec<_> = self.mailbox.take().collect();
        let mut result = calls.into_iter().try_for_each(|call| self.start(call));
        for event in &*events {
            result = result.and(self.advance(event.token().0));
        }
        let now = Instant::now();
        while let Some(&(_, number)) = self
            .deadlines
            .first()
            .filter(|&&(deadline, _)| deadline <= now)
        {
            result = result.and(self.end(number, Outcome::TimedOut, Vec::new()));
        }
        result
    }

    /// Starts a call on a new connection. Connections are not reused: late bytes of one response could be read as the
    /// response to the next call, and a call on a connection that the service has already closed fails in the same way
    /// as a call that has run.
    fn start(&mut self, AddressedCall { address, call }: AddressedCall) -> Result<(), EngineEnded> {
        let number = self.next_number;
        // Wraps around below the mailbox's token. A number is not reused while its earlier call can still be in flight.
        self.next_number = (self.next_number + 1) % MAILBOX.0;
        let deadline = call.requested_at + call.timeout;
        let request = request_bytes(address, &call, deadline);
        match Exchange::begin(&self.poll, Token(number), address, request) {
            Ok(exchange) => {
                self.deadlines.insert((deadline, number));
                let open = OpenCall {
                    call,
                    exchange,
                    deadline,
                };
                self.open.insert(number, open);
                Ok(())
            }
            Err(e) => {
                let outcome = connect_outcome(&e);
                if outcome == Outcome::Unreachable && e.kind() != io::ErrorKind::ConnectionRefused {
                    self.report_call_not_made(&call, &e);
                }
                self.report_end(&call, outcome, Vec::new())
            }
        }
    }

    /// Reports a call for which the system refused the resources of a connection.
    fn report_call_not_made(&self, call: &Call, error: &io::Error) {
        static NOT_MADE: LogLimit = LogLimit::new();
        self.counters.calls_unmade.add();
        if self.log.allows(&NOT_MADE) {
            slog::error!(self.log.lines, "records: call could not be made"; "error" => %error,
                "id" => request_id_text(&call.id), "open_calls" => self.open.len());
        }
    }

    /// Continues a call whose connection is readable or writable.
    fn advance(&mut self, number: usize) -> Result<(), EngineEnded> {
        let Some(open) = self.open.get_mut(&number) else {
            return Ok(());
        };
        match open.exchange.advance() {
            Ok(None) => self.bound_incomplete_responses(),
            Ok(Some(response)) => self.end(number, response_outcome(&response), response.body),
            Err(e) => {
                let outcome = if open.exchange.connected() {
                    exchange_outcome(&e)
                } else {
                    connect_outcome(&e)
                };
                self.end(number, outcome, Vec::new())
            }
        }
    }

    /// Ends the calls with the longest incomplete responses until those of all calls are within their bound. A single
    /// long response is bounded by its own limit.
    fn bound_incomplete_responses(&mut self) -> Result<(), EngineEnded> {
        loop {
            let mut long_responses: Vec<_> = self
                .open
                .iter()
                .map(|(&number, open)| (open.exchange.received_bytes(), number))
                .filter(|&(bytes, _)| bytes > SHORT_RESPONSE_BYTES)
                .collect();
            let total: usize = long_responses.iter().map(|&(bytes, _)| bytes).sum();
            if long_responses.len() < 2 || total <= self.received.limit() {
                return Ok(());
            }
            long_responses.sort_unstable();
            if let Some((_, longest)) = long_responses.pop() {
                self.end(longest, Outcome::Reset, Vec::new())?;
            }
        }
    }

    /// Ends an open call and closes its connection. This is the only place where open calls end.
    fn end(&mut self, number: usize, outcome: Outcome, body: Vec<u8>) -> Result<(), EngineEnded> {
        let Some(open) = self.open.remove(&number) else {
            return Ok(());
        };
        self.deadlines.remove(&(open.deadline, number));
        self.report_end(&open.call, outcome, body)
    }

    fn report_end(&self, call: &Call, outcome: Outcome, body: Vec<u8>) -> Result<(), EngineEnded> {
        let duration_ms = call.requested_at.elapsed().as_secs_f64() * 1000.0;
        let end = CallEnd {
            task: call.task,
            outcome,
            duration_ms,
            permit: self.received.acquire(body.len()),
            body,
        };
        let ended = EngineMessage::CallEnded(end);
        self.engine.send(ended).map_err(|_| EngineEnded)
    }
}

#[cfg(test)]
mod tests;
