//! The records service's actor: one thread makes all calls, each on a connection of its own, none of which it
//! waits for alone.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale::events::Outcome;
use crossbeam_channel::Sender;
use mio::{Events, Poll, Token};

use crate::counters::Counters;
use crate::exchange::Exchange;
use crate::http::Reply;
use crate::log::{Kind, Log};
use crate::mailbox::{self, MailboxReceiver, MailboxSender};
use crate::message::{request_id_text, Call, EngineMessage};

/// No call waits longer, whatever patience is given.
const LONGEST: Duration = Duration::from_secs(60);
/// The mailbox's; calls have the numbers below it.
const LETTERS: Token = Token(usize::MAX);
/// Events that one look takes; there are seldom more calls out.
const EVENTS: usize = 64;

/// The fields of a call whose task is claimed: by them whoever has the effect has it once, and refuses older claims.
#[cfg(feature = "ownership")]
fn fenced(call: &Call) -> String {
    call.fence
        .as_ref()
        .map_or_else(String::new, |(key, fence)| {
            format!("Op-Key: {key}\r\nOp-Fence: {fence}\r\n")
        })
}

#[cfg(not(feature = "ownership"))]
const fn fenced(_: &Call) -> &'static str {
    ""
}

/// The way to the records service.
pub struct Records {
    at: SocketAddr,
    calls: MailboxSender<(SocketAddr, Call)>,
    counters: Arc<Counters>,
}

/// The actor.
pub struct RecordsClientActor {
    poll: Poll,
    letters: MailboxReceiver<(SocketAddr, Call)>,
    host: Sender<EngineMessage>,
    counters: Arc<Counters>,
    log: Log,
    open: HashMap<usize, Open>,
    /// When each is given up.
    ends: BTreeSet<(Instant, usize)>,
    next: usize,
}

/// A call that is out.
struct Open {
    call: Call,
    exchange: Exchange,
    end: Instant,
}

/// The way to the records service, and its actor. Nothing is connected before the first call.
pub fn new(
    at: SocketAddr,
    host: Sender<EngineMessage>,
    counters: Arc<Counters>,
    log: Log,
) -> io::Result<(Records, RecordsClientActor)> {
    let poll = Poll::new()?;
    let (calls, letters) = mailbox::open(&poll, LETTERS)?;
    let records = Records {
        at,
        calls,
        counters: counters.clone(),
    };
    let (open, ends) = (HashMap::new(), BTreeSet::new());
    Ok((
        records,
        RecordsClientActor {
            poll,
            letters,
            host,
            counters,
            log,
            open,
            ends,
            next: 0,
        },
    ))
}

impl Records {
    /// The service listens here from now on. Calls that are out end where they are.
    pub fn go_to(&mut self, at: SocketAddr) {
        self.at = at;
    }

    /// Makes a call; its end comes as mail. `false` if none could be begun.
    pub fn call(&self, mut call: Call) -> bool {
        call.timeout = call.timeout.min(LONGEST);
        self.counters.calls_sent.add();
        self.calls.send((self.at, call))
    }
}

impl RecordsClientActor {
    /// Makes calls until the host is gone.
    pub fn serve(mut self) {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            let first = self
                .ends
                .first()
                .map(|&(end, _)| end.saturating_duration_since(Instant::now()));
            // Interrupted, it looks again; nothing else can go wrong with a poll that was made.
            let _ = self.poll.poll(&mut events, first);
            let letters: Vec<_> = self.letters.take().collect();
            let mut well = letters.into_iter().all(|(at, call)| self.begin(at, call));
            for event in &events {
                well &= self.go_on(event.token().0);
            }
            let now = Instant::now();
            while let Some(&(_, call)) = self.ends.first().filter(|&&(end, _)| end <= now) {
                well &= self.over(call, Outcome::TimedOut, Vec::new());
            }
            if !well {
                return;
            }
        }
    }

    /// Connects. A connection carries one call: on one that is kept, what comes late (a second copy, noise) could
    /// be read as the reply to the next; and one that the service has forgotten breaks at its next call just as
    /// one whose call has run. `false` if the host is gone.
    fn begin(&mut self, at: SocketAddr, call: Call) -> bool {
        static UNMADE: Kind = Kind::new();
        let number = self.next;
        // Numbers come again after a lifetime of calls, and never the mailbox's.
        self.next = (self.next + 1) % LETTERS.0;
        let end = call.requested_at + call.timeout;
        match Exchange::begin(&self.poll, Token(number), at, request(at, &call, end)) {
            Ok(exchange) => {
                self.ends.insert((end, number));
                self.open.insert(
                    number,
                    Open {
                        call,
                        exchange,
                        end,
                    },
                );
                true
            }
            Err(e) => {
                let outcome = broken(&e);
                if outcome == Outcome::Unreachable && e.kind() != io::ErrorKind::ConnectionRefused {
                    self.counters.calls_unmade.add();
                    if self.log.allows(&UNMADE) {
                        slog::error!(self.log.lines, "records: a call can't be made"; "why" => %e,
                            "id" => request_id_text(&call.id), "open" => self.open.len());
                    }
                }
                self.tell(&call, outcome, Vec::new())
            }
        }
    }

    /// Something can be read or written for this call. `false` if the host is gone.
    fn go_on(&mut self, number: usize) -> bool {
        let Some(open) = self.open.get_mut(&number) else {
            return true;
        };
        match open.exchange.go_on() {
            Ok(None) => true,
            Ok(Some(reply)) => self.over(number, outcome(&reply), reply.body),
            Err(e) => {
                let outcome = if open.exchange.connected() {
                    broken_off(&e)
                } else {
                    broken(&e)
                };
                self.over(number, outcome, Vec::new())
            }
        }
    }

    /// The one place where a call's connection is given back; dropping it gives the call up.
    fn over(&mut self, number: usize, outcome: Outcome, body: Vec<u8>) -> bool {
        let Some(open) = self.open.remove(&number) else {
            return true;
        };
        self.ends.remove(&(open.end, number));
        self.tell(&open.call, outcome, body)
    }

    fn tell(&self, call: &Call, outcome: Outcome, body: Vec<u8>) -> bool {
        let took_ms = call.requested_at.elapsed().as_secs_f64() * 1000.0;
        self.host
            .send(EngineMessage::CallEnded {
                task: call.task,
                outcome,
                duration_ms: took_ms,
                body,
            })
            .is_ok()
    }
}

/// A call as the service reads it; it says how long this process still waits.
fn request(at: SocketAddr, call: &Call, end: Instant) -> Vec<u8> {
    let wait_ms = end
        .saturating_duration_since(Instant::now())
        .as_millis()
        .max(1);
    let mut bytes = format!(
        "POST /records/op HTTP/1.1\r\nHost: {at}\r\nOp-Of: {}\r\nOp-Wait-Ms: {wait_ms}\r\n{}\
         Content-Length: {}\r\n\r\n",
        request_id_text(&call.id),
        fenced(call),
        call.body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(&call.body);
    bytes
}

/// What a reply proves.
fn outcome(reply: &Reply) -> Outcome {
    match (reply.status, reply.not_begun) {
        (200, _) => Outcome::Ok,
        (503, true) => Outcome::Rejected,
        (409, true) => Outcome::Stale,
        (504, _) => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}

/// What a connection that was not made proves: that nothing ran only where it was refused, or where this process
/// had nothing left to make it with.
fn broken(e: &io::Error) -> Outcome {
    match e.kind() {
        io::ErrorKind::ConnectionRefused => Outcome::Unreachable,
        _ if short(e) => Outcome::Unreachable,
        _ => broken_off(e),
    }
}

/// The system refused a descriptor (EMFILE, ENFILE), a port (EADDRNOTAVAIL) or memory for one (ENOBUFS).
fn short(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    e.kind() == io::ErrorKind::AddrNotAvailable
        || matches!(e.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS))
}

/// What a connection that broke during a call proves: nothing.
fn broken_off(e: &io::Error) -> Outcome {
    match e.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Outcome::TimedOut,
        _ => Outcome::Reset,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_the_service_says_never_began_never_ran() {
        let reply = |status, not_begun| Reply {
            status,
            not_begun,
            tag: None,
            body: Vec::new(),
        };
        for (status, not_begun, wanted) in [
            (200, false, Outcome::Ok),
            (503, true, Outcome::Rejected),
            (503, false, Outcome::Failed),
            (409, true, Outcome::Stale),
            (409, false, Outcome::Failed),
            (500, false, Outcome::Failed),
            (500, true, Outcome::Failed),
            (504, false, Outcome::TimedOut),
            (302, false, Outcome::Failed),
        ] {
            let got = outcome(&reply(status, not_begun));
            assert_eq!(got, wanted, "{status} {not_begun}");
            assert_eq!(got.never_ran(), not_begun && matches!(status, 503 | 409));
        }
    }

    #[test]
    fn only_a_refused_connection_proves_that_nothing_ran() {
        use io::ErrorKind::*;
        assert_eq!(broken(&ConnectionRefused.into()), Outcome::Unreachable);
        for kind in [
            ConnectionReset,
            BrokenPipe,
            UnexpectedEof,
            InvalidData,
            TimedOut,
            WouldBlock,
        ] {
            assert!(!broken(&kind.into()).never_ran() && !broken_off(&kind.into()).never_ran());
        }
        assert!(!broken_off(&ConnectionRefused.into()).never_ran());
    }
}
