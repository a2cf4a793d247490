//! The edge: the listener, a reader's thread for each connection, and the keeper, which ends those that say
//! nothing. The reader turns bytes into tasks for the module's actor. A connection ends when nobody owes it an
//! answer any more, at the end of the reader.

use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};

use asterdale_facts::Facts;
use asterdale_fastcgi::{ended, refusal, unknown_type, values_result};
use asterdale_fastcgi::{Incoming, Malformed, Requests, Step, Whole};
use asterdale_host::counters::Counters;
use asterdale_host::host::unix_ms;
use asterdale_host::log::{Kind, Log};
use asterdale_host::mail::{Fronts, Mail, Reply, Request};
use crossbeam_channel::{Receiver, Sender};

use crate::head::{self, Head};
use crate::peer::{self, encoded, Outgoing, Peer, Writer};
use crate::start::Start;
#[cfg(feature = "tls")]
use crate::tls::Doorkeeper;
use crate::wire::Wire;

/// Open requests that a connection carries, by the platform's protocol.
const MOST_OPEN: usize = 32;
/// Of a connection's thread: its buffers lie on the heap.
const STACK: usize = 64 * 1024;
/// Answers to what makes no sense, and to management records, after which a connection ends. Edge nodes give
/// no cause for them; whoever asks again as soon as it is turned away would keep the core busy.
const MOST_TOLD: usize = 8;
/// How often the keeper looks.
const ROUND: Duration = Duration::from_millis(100);

/// A connection that brings no whole request for so long, in milliseconds, ends: bad clients are owed a word
/// within 3 s of connecting. Edge nodes connect when they have a request.
const FIRST: u64 = 2000;
/// The first request of a connection that is younger, in milliseconds, is taken to be under way.
const COMING: u64 = 200;
/// How often a connection whose reading was ended is looked at for what crossed that.
const CROSSING: Duration = Duration::from_millis(2);
/// And how often for the rest of half a request: 50 ms, as long as one that crosses an end comes again.
const MOST_ROUNDS: usize = 25;
/// So long accepting pauses at the most connections.
const PAUSE: Duration = Duration::from_millis(2);

/// A connection, as long as it is open.
struct Open {
    stream: Weak<Wire>,
    peer: Weak<Peer>,
    /// When it was accepted, in milliseconds since the edge began.
    born: u64,
    /// Its reading was ended.
    ending: bool,
}

impl Open {
    /// Ends its reading; what was read is still answered.
    fn hush(&mut self) {
        self.ending = true;
        if let Some(peer) = self.peer.upgrade() {
            peer.hushed.store(true, Ordering::Release);
        }
        if let Some(stream) = self.stream.upgrade() {
            stream.shutdown(Shutdown::Read);
        }
    }
}

/// What tells one listener's connections from another's.
#[derive(Clone)]
pub struct Door {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its connections are numbered from here on: no two of the process have the same number.
    pub first: u64,
    /// Of the connections that there is room for, it has one in so many.
    pub share: usize,
    /// Begins the TLS of its connections; without it they are plain.
    #[cfg(feature = "tls")]
    pub tls: Option<Arc<Doorkeeper>>,
}

/// What all connections of a listener share.
pub struct Edge {
    door: Door,
    facts: Arc<Facts>,
    /// It matters who is calling.
    asked_who: bool,
    host: Sender<Mail>,
    writer: Sender<Outgoing>,
    counters: Arc<Counters>,
    log: Log,
    most_connections: usize,
    /// Of those, so many may stay open with nothing open on them: each has a thread, which wakes whenever the
    /// process was stopped at its limit of CPU and goes on.
    most_quiet: usize,
    /// Bytes that connections have read and not yet handed on, and how many they may be.
    unread: AtomicUsize,
    most_unread: usize,
    /// The longest that any caller waits: what stands still for that long serves nobody.
    longest: Duration,
    /// Connections that carried nothing for so many milliseconds are closed; 0 for never.
    idle_ms: AtomicU64,
    closing: AtomicBool,
    /// Another process takes what comes.
    aside: AtomicBool,
    connections: Mutex<HashMap<u64, Open>>,
    began: Instant,
}

/// The part of [`Edge::unread`] that is one connection's, given back when its reading ends.
struct Unread<'a> {
    edge: &'a Edge,
    bytes: usize,
}

impl Unread<'_> {
    /// Takes note of how much it is now; `false` if that is more than there is room for.
    fn is(&mut self, bytes: usize) -> bool {
        let all = self.edge.unread.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.edge.unread.fetch_sub(self.bytes, Ordering::Relaxed);
        let grows = bytes > self.bytes;
        self.bytes = bytes;
        !grows || all <= self.edge.most_unread
    }
}

impl Drop for Unread<'_> {
    fn drop(&mut self) {
        self.is(0);
    }
}

impl Fronts for Edge {
    fn close_idle(&self, after_ms: f64) {
        self.idle_ms.store(after_ms.max(1.0) as u64, Ordering::Relaxed);
    }

    fn open(&self) -> usize {
        self.connections.lock().map_or(0, |all| all.len())
    }

    fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
        // The listener's thread waits in accept: a connection wakes it, which is dropped at once.
        let _ = TcpStream::connect_timeout(&self.door.listen, Duration::from_millis(100));
    }

    fn aside(&self, aside: bool) {
        self.aside.store(aside, Ordering::SeqCst);
    }

    fn hush(&self) {
        if let Ok(mut all) = self.connections.lock() {
            all.values_mut().for_each(Open::hush);
        }
    }
}

/// How a connection's reading ended.
enum End {
    /// The peer says no more, or nothing more is wanted from it; what is open is still answered.
    Quiet,
    /// What it says can't be read; what is open is still answered.
    Malformed(Malformed),
    /// It began more than there is memory for; what is open is still answered.
    Crowded,
    /// It broke: nobody is there to be answered.
    Broken,
}

impl Edge {
    /// An edge that will listen at this door.
    pub fn new(
        start: &Start,
        door: Door,
        host: Sender<Mail>,
        writer: Sender<Outgoing>,
        counters: Arc<Counters>,
        log: Log,
        began: Instant,
    ) -> Edge {
        let facts = start.facts.clone();
        let longest = facts.told.stages.iter().map(|s| s.limit_ms).fold(1000.0, f64::max);
        Edge {
            host,
            writer,
            counters,
            log,
            // Edge nodes open half of the descriptors at most. Of the rest some are for checks, 64 (fewer where
            // there are few) for calls, the runtime and the registry. A connection takes up to 64 KiB by
            // itself, its stack in the kernel included: half of the memory.
            most_connections: (start.descriptors * 3 / 4)
                .min(start.descriptors.saturating_sub(64))
                .max(start.descriptors / 2)
                .min(start.memory / 2 / 65_536)
                .div_euclid(door.share)
                .max(1),
            // Many times as many as edge nodes keep where they come again.
            most_quiet: (start.descriptors / 8 / door.share).max(16),
            unread: AtomicUsize::new(0),
            most_unread: start.memory / 8 / door.share,
            longest: Duration::from_millis(longest as u64),
            idle_ms: AtomicU64::new(facts.told.idle_ms as u64),
            facts,
            asked_who: start.identity.is_some(),
            closing: AtomicBool::new(false),
            aside: AtomicBool::new(false),
            connections: Mutex::default(),
            began,
            door,
        }
    }

    /// The listener, so that the program can end at once if the address is taken.
    pub fn bind(&self) -> io::Result<TcpListener> {
        TcpListener::bind(self.door.listen)
    }

    /// Gives up the connections that serve least until no more than so many are quiet, with nothing open: first
    /// of all those that have never brought a request, then the longest quiet. What crosses the close comes
    /// again on another. Gives back how many.
    fn make_room(&self, all: &mut HashMap<u64, Open>, quiet: usize) -> usize {
        let now = self.clock();
        let rank = |open: &Open| {
            let peer = open.peer.upgrade().filter(|peer| peer.open.load(Ordering::Acquire) == 0)?;
            // The first request of a connection that has just come may be under way.
            let young = now < open.born + COMING;
            (!open.ending && !young).then(|| (peer.asked.load(Ordering::Relaxed), peer.last()))
        };
        let mut ranked: Vec<_> = all.iter().filter_map(|(&n, open)| Some((rank(open)?, n))).collect();
        let over = ranked.len().saturating_sub(quiet);
        if over > 0 {
            ranked.sort_unstable();
        }
        for (_, n) in &ranked[..over] {
            all.get_mut(n).into_iter().for_each(Open::hush);
            self.counters.connections_given_up.add();
        }
        over
    }

    /// The keeper's thread: ends the connections that say nothing, so that their readers need not look at the
    /// time.
    pub fn keep(&self) {
        loop {
            thread::sleep(ROUND);
            self.look_round(self.clock());
        }
    }

    fn look_round(&self, now: u64) {
        static STALLED: Kind = Kind::new();
        let idle = match self.idle_ms.load(Ordering::Relaxed) {
            0 => u64::MAX,
            idle => idle,
        };
        let longest = self.longest.as_millis() as u64;
        let Ok(mut all) = self.connections.lock() else { return };
        for open in all.values_mut().filter(|open| !open.ending) {
            let Some(peer) = open.peer.upgrade() else { continue };
            // In this order: the writer says when it writes before it counts.
            let busy = peer.open.load(Ordering::Acquire) > 0;
            let quiet = now.saturating_sub(peer.last());
            let half = peer.half.load(Ordering::Relaxed);
            let until_ms = open.stream.upgrade().and_then(|wire| Some(wire.certificate()?.until_ms));
            if until_ms.is_some_and(|until| unix_ms() >= until) {
                // Nothing of it would be let in any more; what is open on it is still answered.
                self.counters.connections_lapsed.add();
            } else if !peer.asked.load(Ordering::Relaxed) && now >= open.born + FIRST {
                self.counters.connections_silent.add();
            } else if !busy && half && quiet >= longest {
                self.counters.connections_malformed.add();
                if self.log.may(&STALLED) {
                    slog::warn!(self.log.lines, "edge: a connection ends, half a request stood still");
                }
            } else if !busy && !half && quiet >= idle {
                self.counters.connections_idle.add();
            } else {
                continue;
            }
            open.hush();
        }
        self.make_room(&mut all, self.most_quiet);
    }

    /// Accepts connections until the edge closes.
    pub fn accept(self: &Arc<Edge>, listener: &TcpListener) {
        static FAULT: Kind = Kind::new();
        let mut next = self.door.first;
        loop {
            let closing = self.closing.load(Ordering::SeqCst);
            if !closing && self.aside.load(Ordering::SeqCst) {
                thread::sleep(PAUSE * 5);
                continue;
            }
            if closing && listener.set_nonblocking(true).is_err() {
                return;
            }
            // Descriptors are left for the runtime, the records and the registry. The keeper makes room ahead; if
            // more than that come at once, half of the quiet ones go.
            if !closing && self.open() >= self.most_connections {
                self.counters.accept_pauses.add();
                if let Ok(mut all) = self.connections.lock() {
                    self.make_room(&mut all, self.most_quiet / 2);
                }
                thread::sleep(PAUSE);
                continue;
            }
            let waits = Instant::now();
            match listener.accept() {
                Ok((stream, _)) => {
                    next += 1;
                    self.counters.connections_accepted.add();
                    if let Err(e) = self.begin(next, stream, waits) {
                        if self.log.may(&FAULT) {
                            slog::error!(self.log.lines, "edge: a connection can't be served"; "why" => %e);
                        }
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if closing && e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    self.counters.accept_pauses.add();
                    if self.log.may(&FAULT) {
                        slog::error!(self.log.lines, "edge: accepting pauses"; "why" => %e);
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            }
        }
    }

    #[cfg(feature = "tls")]
    fn wire(&self, stream: TcpStream) -> io::Result<Wire> {
        match &self.door.tls {
            Some(doorkeeper) => doorkeeper.begin(stream).map(|session| Wire::Tls(Box::new(session))),
            None => Ok(Wire::Plain(stream)),
        }
    }

    #[cfg(not(feature = "tls"))]
    fn wire(&self, stream: TcpStream) -> io::Result<Wire> {
        Ok(Wire::Plain(stream))
    }

    /// Starts the reader of a connection.
    fn begin(self: &Arc<Edge>, connection: u64, stream: TcpStream, waits: Instant) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let stream = self.wire(stream)?;
        peer::prepare(&stream)?;
        let (stream, born) = (Arc::new(stream), self.clock());
        let (peer, free) = Peer::new(connection, stream.clone(), self.writer.clone(), born);
        if let Ok(mut all) = self.connections.lock() {
            let (stream, peer) = (Arc::downgrade(&stream), Arc::downgrade(&peer));
            all.insert(connection, Open { stream, peer, born, ending: false });
        }
        self.counters.connections_open.add();
        let edge = self.clone();
        let reader = thread::Builder::new().name("reader".to_owned()).stack_size(STACK).spawn(move || {
            let mut unread = Unread { edge: &edge, bytes: 0 };
            let end = edge.read(&stream, &peer, &mut unread, waits);
            drop((peer, unread));
            edge.end(connection, &stream, &free, end);
        });
        if reader.is_err() {
            self.forget(connection);
        }
        reader.map(|_| ())
    }

    /// The one place where a connection is given back: once nobody holds its peer, its last answer written.
    fn end(&self, connection: u64, stream: &Wire, free: &Receiver<()>, end: End) {
        static MALFORMED: Kind = Kind::new();
        static CROWDED: Kind = Kind::new();
        match end {
            End::Quiet => {}
            End::Malformed(what) => {
                self.counters.connections_malformed.add();
                if self.log.may(&MALFORMED) {
                    slog::warn!(self.log.lines, "edge: a connection ends, malformed"; "what" => %what);
                }
            }
            End::Crowded => {
                self.counters.connections_crowded.add();
                if self.log.may(&CROWDED) {
                    slog::warn!(self.log.lines, "edge: a connection ends, no memory for what it begins");
                }
            }
            End::Broken => {
                self.counters.connections_broken.add();
                let _ = self.host.send(Mail::Gone(connection));
            }
        }
        let _ = free.recv();
        // What the peer has sent meanwhile is read away: closing over unread bytes would reset the
        // connection and could take an answer along that it has not read yet.
        stream.finish();
        let _ = stream.read_within(Duration::from_millis(50));
        let mut rest = [0; 1024];
        for _ in 0..64 {
            if !matches!(stream.read(&mut rest), Ok(1..)) {
                break;
            }
        }
        self.forget(connection);
    }

    fn forget(&self, connection: u64) {
        if let Ok(mut all) = self.connections.lock() {
            all.remove(&connection);
        }
        self.counters.connections_open.sub();
    }

    /// The writer of all connections.
    pub fn writer(&self, answers: Receiver<Outgoing>) -> Writer {
        Writer { answers, host: self.host.clone(), began: self.began, longest: self.longest }
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// The reader's thread, until the connection's reading ends.
    fn read(&self, stream: &Wire, peer: &Arc<Peer>, unread: &mut Unread<'_>, mut since: Instant) -> End {
        let (mut incoming, mut requests) = (Incoming::default(), Requests::default());
        let (mut first, mut told, mut rounds) = (true, 0, 0);
        loop {
            loop {
                let open = peer.open.load(Ordering::Acquire) + requests.begun();
                let step = match incoming.take() {
                    Ok(Some(record)) => requests.take(record, open < MOST_OPEN),
                    Ok(None) => break,
                    Err(what) => Err(what),
                };
                let reply = match step {
                    Ok(Step::Nothing) => continue,
                    Ok(Step::Whole(id, whole)) => {
                        let keep = whole.keep;
                        match self.whole(stream, peer, id, whole, since) {
                            Ok(true) if keep => continue,
                            Ok(true) => return End::Quiet,
                            Ok(false) => encoded(id, Reply::Senseless),
                            Err(what) => return End::Malformed(what),
                        }
                    }
                    Ok(Step::Abort(id)) => {
                        let _ = self.host.send(Mail::Abort((peer.connection, id)));
                        continue;
                    }
                    Ok(Step::Refuse(id, state)) => {
                        if state == ended::OVERLOADED {
                            self.counters.requests_over.add();
                        }
                        refusal(id, state)
                    }
                    Ok(Step::TooLong(id)) => {
                        self.makes_no_sense("body");
                        peer.tell(encoded(id, Reply::Senseless));
                        return End::Quiet;
                    }
                    Ok(Step::Values(asked)) => values_result(&asked, self.most_connections, MOST_OPEN),
                    Ok(Step::Unknown(kind)) => unknown_type(kind),
                    Err(what) => return End::Malformed(what),
                };
                peer.tell(reply);
                told += 1;
                if told >= MOST_TOLD {
                    return End::Quiet;
                }
            }
            // The usual buffer of a connection is no part of it: that one is always there.
            if !unread.is(incoming.size().saturating_sub(8192) + requests.bytes()) {
                return End::Crowded;
            }
            let half = !incoming.is_empty() || requests.begun() > 0;
            peer.half.store(half, Ordering::Relaxed);
            // All that came before was read: a request that comes now came no earlier.
            let now = Instant::now();
            match stream.read(incoming.room()) {
                // Whatever crosses the end of the reading is still read, and answered, while something is open:
                // the peer can't know of the end before the last answer. The end is told the moment after
                // nothing was found, so that next to nothing crosses it however long this process is paused.
                Ok(0) if peer.hushed.load(Ordering::Acquire) => {
                    let open = peer.open.load(Ordering::Acquire) > 0 || Arc::strong_count(peer) > 1;
                    rounds += 1;
                    if !(open || half && rounds < MOST_ROUNDS) {
                        stream.finish();
                        return End::Quiet;
                    }
                    thread::sleep(CROSSING);
                }
                Ok(0) => return End::Quiet,
                Ok(count) => {
                    incoming.filled(count);
                    peer.read.store(self.clock(), Ordering::Relaxed);
                    if !half && !std::mem::take(&mut first) {
                        since = now;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return End::Broken,
            }
        }
    }

    /// A request has come whole: a health check or a task goes to the host; `false` for what makes no sense.
    fn whole(
        &self,
        stream: &Wire,
        peer: &Arc<Peer>,
        id: u16,
        whole: Whole,
        since: Instant,
    ) -> Result<bool, Malformed> {
        let mail = match head::read(&whole.params, &self.facts, self.asked_who)? {
            Head::Check { deep } => Mail::Check { client: peer.clone(), request: id, deep },
            Head::Task(asked, token) => {
                let (client, body, certificate) = (peer.clone(), whole.body, stream.certificate());
                Mail::Task(Box::new(Request { asked, token, certificate, body, client, request: id, since }))
            }
            Head::Senseless(field) => {
                self.makes_no_sense(field);
                return Ok(false);
            }
        };
        peer.asked.store(true, Ordering::Relaxed);
        peer.open.fetch_add(1, Ordering::Relaxed);
        let _ = self.host.send(mail);
        Ok(true)
    }

    fn makes_no_sense(&self, field: &'static str) {
        static SENSELESS: Kind = Kind::new();
        self.counters.tasks_senseless.add();
        if self.log.may(&SENSELESS) {
            slog::warn!(self.log.lines, "edge: a request makes no sense"; "field" => field);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crossbeam_channel::{bounded, unbounded};
    use serde_json::json;
    use std::io::{Read, Write};

    /// A check as an edge node sends it; its path is the one parameter.
    fn check(request: u8) -> Vec<u8> {
        let mut bytes =
            vec![1, 1, 0, request, 0, 8, 0, 0, 0, 1, 1, 0, 0, 0, 0, 0, 1, 4, 0, request, 0, 23, 0, 0];
        bytes.extend(b"\x0b\x08SCRIPT_NAME/healthz\0\0");
        bytes.extend([1, 4, 0, request, 0, 0, 0, 0, 1, 5, 0, request, 0, 0, 0, 0]);
        bytes
    }

    #[test]
    fn what_crosses_the_end_of_a_reading_is_answered_while_something_is_open() {
        let start = json!({"name": "n", "listen": "127.0.0.1:0", "runtime": "127.0.0.1:1", "registry":
            "127.0.0.1:1", "records": "127.0.0.1:1", "seed": "1", "stop_ms": 1, "limits": {"memory_mb": 32,
            "sockets": 64}, "settings": {"extra": {"cores": 1, "memoryKb": 1}, "lanes": [{"name": "page"}]}});
        let start = crate::start::read(start.to_string().as_bytes(), None, None).unwrap();
        let ((host, mailbox), (writer, answers)) = (bounded(9), unbounded());
        let (log, _guard) = Log::to_stderr("n", false, slog::Level::Info);
        let door = Door {
            listen: start.listen,
            first: 0,
            share: 1,
            #[cfg(feature = "tls")]
            tls: None,
        };
        let edge = Arc::new(Edge::new(&start, door, host, writer, Arc::default(), log, Instant::now()));
        let writer = edge.writer(answers);
        thread::spawn(move || writer.serve());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut far = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        far.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        edge.begin(1, listener.accept().unwrap().0, Instant::now()).unwrap();
        let next = || mailbox.recv_timeout(Duration::from_secs(30)).expect("a check");
        far.write_all(&check(1)).unwrap();
        let Mail::Check { client, request: 1, .. } = next() else { panic!() };
        edge.hush();
        thread::sleep(CROSSING * 10);
        far.write_all(&check(2)).unwrap();
        let Mail::Check { request: 2, .. } = next() else { panic!() };
        (1..=2).for_each(|request| client.clone().answer(request, Reply::Senseless));
        drop(client);
        let mut all = Vec::new();
        far.read_to_end(&mut all).unwrap();
        assert_eq!(all.windows(11).filter(|part| part == b"Status: 400").count(), 2);
    }
}
