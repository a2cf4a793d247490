//! The records service's actors: each makes one call at a time, on a connection of its own. One that is idle
//! takes the next call; where none is, one more begins.

use std::io::{self, IoSlice};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use asterdale::told::Outcome;
use crossbeam_channel::{bounded, Receiver, Sender, TrySendError};

use crate::counters::Counters;
use crate::gather;
use crate::http::{self, Reply};
use crate::mail::{text, Call, Mail};

/// An actor that has had no call for so long ends.
const IDLE: Duration = Duration::from_secs(5);
/// No call waits longer, whatever patience is given.
const LONGEST: Duration = Duration::from_secs(60);

/// The way to the records service.
pub struct Records {
    at: SocketAddr,
    calls: Sender<(SocketAddr, Call)>,
    waiting: Receiver<(SocketAddr, Call)>,
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

    /// The service listens here from now on. Calls that are out end where they are.
    pub fn go_to(&mut self, at: SocketAddr) {
        self.at = at;
    }

    /// Makes a call; its end comes as mail. `false` if none could be begun.
    pub fn call(&self, mut call: Call) -> bool {
        call.patience = call.patience.min(LONGEST);
        self.counters.calls_sent.add();
        let call = match self.calls.try_send((self.at, call)) {
            Ok(()) => return true,
            Err(TrySendError::Full(call) | TrySendError::Disconnected(call)) => call,
        };
        let (waiting, host) = (self.waiting.clone(), self.host.clone());
        let actor = thread::Builder::new().name("call".to_owned()).stack_size(64 * 1024);
        actor.spawn(move || serve(call, &waiting, &host)).is_ok()
    }
}

fn serve(first: (SocketAddr, Call), waiting: &Receiver<(SocketAddr, Call)>, host: &Sender<Mail>) {
    let mut next = Some(first);
    while let Some((at, call)) = next {
        let (outcome, body) = make(at, &call);
        let took_ms = call.asked.elapsed().as_secs_f64() * 1000.0;
        if host.send(Mail::Called { who: call.who, outcome, took_ms, body }).is_err() {
            return;
        }
        next = waiting.recv_timeout(IDLE).ok();
    }
}

/// Makes a call, on a connection of its own. On one that is kept, what comes late (a second copy, noise) could
/// be read as the reply to the next call; and one that the service has forgotten breaks at its next call just
/// as one whose call has run.
fn make(at: SocketAddr, call: &Call) -> (Outcome, Vec<u8>) {
    let end = call.asked + call.patience;
    let left = || end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let stream = match TcpStream::connect_timeout(&at, left()) {
        Ok(stream) => stream,
        Err(e) => return (broken(&e), Vec::new()),
    };
    let head = format!(
        "POST /records/op HTTP/1.1\r\nHost: {at}\r\nOp-Of: {}\r\nOp-Wait-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        text(&call.id),
        left().as_millis(),
        call.body.len()
    );
    let reply = stream
        .set_nodelay(true)
        .and_then(|()| stream.set_write_timeout(Some(left())))
        .and_then(|()| {
            gather::write(&stream, &mut [IoSlice::new(head.as_bytes()), IoSlice::new(&call.body)])
                .map_err(|(_, e)| e)
        })
        .and_then(|()| http::reply(&stream, end));
    match reply {
        Ok(reply) => (outcome(&reply), reply.body),
        // Dropping the connection gives the call up.
        Err(e) => (broken_off(&e), Vec::new()),
    }
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
        let reply = |status, not_begun| Reply { status, not_begun, tag: None, body: Vec::new() };
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
