//! The records service's actors: each has a connection and makes one call at a time. One that is idle takes
//! the next call; where none is, one more begins.

use std::io::{self, IoSlice};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use asterdale::told::Outcome;
use crossbeam_channel::{bounded, Receiver, Sender, TrySendError};

use crate::counters::Counters;
use crate::fingerprints::Serial;
use crate::gather;
use crate::head::Id;
use crate::host::Mail;
use crate::http::{self, Reply};
use crate::runtime;

/// The service closes connections that stand idle for 10 s: ours are closed well before.
const IDLE: Duration = Duration::from_secs(5);
/// No call waits longer, whatever patience is given.
const LONGEST: Duration = Duration::from_secs(60);

/// A call to be made.
pub struct Call {
    /// For whom.
    pub who: Serial,
    /// Its id.
    pub id: Id,
    /// What the call carries.
    pub body: Vec<u8>,
    /// When it was asked for.
    pub asked: Instant,
    /// How long it may take from then on.
    pub patience: Duration,
}

/// The way to the records service.
pub struct Records {
    at: SocketAddr,
    calls: Sender<Call>,
    waiting: Receiver<Call>,
    host: Sender<Mail>,
    counters: Arc<Counters>,
}

impl Records {
    /// Nothing is connected before the first call.
    pub fn new(at: SocketAddr, host: Sender<Mail>, counters: Arc<Counters>) -> Records {
        // No place in it: a call is handed over only to an actor that waits for one.
        let (calls, waiting) = bounded(0);
        Records { at, calls, waiting, host, counters }
    }

    /// Makes a call; its end comes as mail. `false` if none could be begun.
    pub fn call(&self, mut call: Call) -> bool {
        call.patience = call.patience.min(LONGEST);
        self.counters.calls_sent.add();
        let call = match self.calls.try_send(call) {
            Ok(()) => return true,
            Err(TrySendError::Full(call) | TrySendError::Disconnected(call)) => call,
        };
        let (at, waiting, host) = (self.at, self.waiting.clone(), self.host.clone());
        let actor = thread::Builder::new().name("call".to_owned()).stack_size(64 * 1024);
        actor.spawn(move || serve(at, call, &waiting, &host)).is_ok()
    }
}

fn serve(at: SocketAddr, first: Call, waiting: &Receiver<Call>, host: &Sender<Mail>) {
    let (mut kept, mut next) = (None, Some(first));
    while let Some(call) = next {
        let (outcome, body) = make(at, &call, &mut kept);
        let took_ms = call.asked.elapsed().as_secs_f64() * 1000.0;
        if host.send(Mail::Called { who: call.who, outcome, took_ms, body }).is_err() {
            return;
        }
        next = waiting.recv_timeout(IDLE).ok();
    }
}

/// Makes a call on the kept connection, or on a new one; keeps it if it can carry another.
fn make(at: SocketAddr, call: &Call, kept: &mut Option<TcpStream>) -> (Outcome, Vec<u8>) {
    let end = call.asked + call.patience;
    let left = || end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let stream = match kept.take().filter(still_open) {
        Some(stream) => stream,
        None => match TcpStream::connect_timeout(&at, left()) {
            Ok(stream) => stream,
            Err(e) => return (broken(&e), Vec::new()),
        },
    };
    let head = format!(
        "POST /records/op HTTP/1.1\r\nHost: {at}\r\nOp-Of: {}\r\nOp-Wait-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        runtime::text(&call.id),
        left().as_millis(),
        call.body.len()
    );
    let reply = stream
        .set_nodelay(true)
        .and_then(|()| stream.set_write_timeout(Some(left())))
        .and_then(|()| gather::write(&stream, &mut [IoSlice::new(head.as_bytes()), IoSlice::new(&call.body)]))
        .and_then(|()| http::reply(&stream, end));
    match reply {
        Ok(reply) => {
            if reply.keep {
                *kept = Some(stream);
            }
            (outcome(&reply), reply.body)
        }
        // Dropping the connection gives the call up.
        Err(e) => (broken_off(&e), Vec::new()),
    }
}

/// Whether nothing has come, and no end, since the last reply.
fn still_open(stream: &TcpStream) -> bool {
    let quiet = |stream: &TcpStream| {
        stream.set_nonblocking(true)?;
        let seen = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        Ok::<bool, io::Error>(matches!(seen, Err(e) if e.kind() == io::ErrorKind::WouldBlock))
    };
    quiet(stream).unwrap_or(false)
}

/// What a reply proves.
fn outcome(reply: &Reply) -> Outcome {
    match (reply.status, reply.not_begun) {
        (200, _) => Outcome::Ok,
        (503, true) => Outcome::Full,
        (409, true) => Outcome::Moot,
        (504, _) => Outcome::Timeout,
        _ => Outcome::Error,
    }
}

/// What a connection that was not made proves: only a refused one that nothing ran.
fn broken(e: &io::Error) -> Outcome {
    match e.kind() {
        io::ErrorKind::ConnectionRefused => Outcome::Unreachable,
        _ => broken_off(e),
    }
}

/// What a connection that broke during a call proves: nothing.
fn broken_off(e: &io::Error) -> Outcome {
    match e.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Outcome::Timeout,
        _ => Outcome::Reset,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_the_service_says_never_began_never_ran() {
        let reply = |status, not_begun| Reply { status, not_begun, keep: true, body: Vec::new() };
        for (status, not_begun, wanted) in [
            (200, false, Outcome::Ok),
            (503, true, Outcome::Full),
            (503, false, Outcome::Error),
            (409, true, Outcome::Moot),
            (409, false, Outcome::Error),
            (500, false, Outcome::Error),
            (500, true, Outcome::Error),
            (504, false, Outcome::Timeout),
            (302, false, Outcome::Error),
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
        for kind in [ConnectionReset, BrokenPipe, UnexpectedEof, InvalidData, TimedOut, WouldBlock] {
            assert!(!broken(&kind.into()).never_ran() && !broken_off(&kind.into()).never_ran());
        }
        assert!(!broken_off(&ConnectionRefused.into()).never_ran());
    }
}
