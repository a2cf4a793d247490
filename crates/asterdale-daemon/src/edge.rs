//! The edge: the listener, and two threads a connection. The reader turns bytes into tasks for the module's
//! actor; the writer owns what goes out. A connection ends when both have ended, at the end of the reader.

use std::collections::HashMap;
use std::io::{self, IoSlice, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};

use asterdale_facts::Facts;
use asterdale_fastcgi::{ended, refusal, unknown_type, values_result};
use asterdale_fastcgi::{Answer, Incoming, Malformed, Requests, Step, Whole};
use crossbeam_channel::{bounded, never, select, Receiver, Sender};

use crate::counters::Counters;
use crate::gather;
use crate::head::{self, Asked, Head};
use crate::host::Mail;
use crate::log::{Kind, Log};
use crate::start::Start;

/// Open requests that a connection carries, by the platform's protocol.
const MOST_OPEN: usize = 32;
/// Of both threads of a connection: their buffers lie on the heap.
const STACK: usize = 64 * 1024;
/// Answers that one gathered write takes at most.
const GATHERED: usize = 64;

/// A connection that brings no whole request for so long, in milliseconds, ends: bad clients are owed a word
/// within 3 s of connecting. Edge nodes connect when they have a request.
const FIRST: u64 = 2000;
/// The first request of a connection that is younger, in milliseconds, is taken to be under way.
const COMING: u64 = 200;
/// Connections short of the most at which others are given up for them.
const AHEAD: usize = 8;

/// The way back to an edge node, for one connection.
pub struct Peer {
    /// A number that no other connection of this process has.
    pub connection: u64,
    answers: Sender<Answer>,
    /// Requests that went to the host and whose answer the writer does not have.
    open: AtomicUsize,
    /// When the reader last read and the writer last wrote, in milliseconds since the edge began.
    read: AtomicU64,
    wrote: AtomicU64,
    /// It has brought a whole request that made sense.
    asked: AtomicBool,
}

/// A connection, as long as it is open.
struct Open {
    stream: Weak<TcpStream>,
    peer: Weak<Peer>,
    /// It was given up for others, and ends.
    given_up: bool,
}

impl Peer {
    /// A request that will get no answer of its own.
    pub fn drop_one(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Hands an answer to the writer. There is room: no more requests are open than it has places.
    pub fn answer(&self, answer: Answer) {
        let _ = self.answers.try_send(answer);
    }
}

/// What all connections share.
pub struct Edge {
    listen: SocketAddr,
    facts: Arc<Facts>,
    host: Sender<Mail>,
    counters: Arc<Counters>,
    log: Log,
    most_connections: usize,
    /// Bytes that connections have read and not yet handed on, and how many they may be.
    unread: AtomicUsize,
    most_unread: usize,
    /// The longest that any caller waits: what stands still for that long serves nobody.
    longest: Duration,
    /// Connections that carried nothing for so many milliseconds are closed; 0 for never.
    idle_ms: AtomicU64,
    closing: AtomicBool,
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

/// How a connection's reading ended.
enum End {
    /// The peer says no more, or nothing more is wanted from it; what is open is still answered.
    Quiet,
    /// It carried nothing for long.
    Idle,
    /// What it says can't be read; what is open is still answered.
    Malformed(Malformed),
    /// It brought no whole request that made sense, in all the time that it is given.
    Silent,
    /// Half a request stood still for longer than any caller waits; what is open is still answered.
    Stalled,
    /// It began more than there is memory for; what is open is still answered.
    Crowded,
    /// It broke: nobody is there to be answered.
    Broken,
}

impl Edge {
    /// An edge that will listen where the start file says.
    pub fn new(start: &Start, host: Sender<Mail>, counters: Arc<Counters>, log: Log) -> Edge {
        let facts = start.facts.clone();
        let longest = facts.told.stages.iter().map(|s| s.limit_ms).fold(1000.0, f64::max);
        Edge {
            listen: start.listen,
            host,
            counters,
            log,
            // Edge nodes open half of the descriptors at most. Of the rest some are for checks, 64 (fewer where
            // there are few) for calls, the runtime and the registry. A connection takes up to 64 KiB by
            // itself, stacks in the kernel included: half of the memory.
            most_connections: (start.descriptors * 3 / 4)
                .min(start.descriptors.saturating_sub(64))
                .max(start.descriptors / 2)
                .min(start.memory / 2 / 65_536)
                .max(1),
            unread: AtomicUsize::new(0),
            most_unread: start.memory / 8,
            longest: Duration::from_millis(longest as u64),
            idle_ms: AtomicU64::new(facts.told.idle_ms as u64),
            facts,
            closing: AtomicBool::new(false),
            connections: Mutex::default(),
            began: Instant::now(),
        }
    }

    /// The listener, so that the program can end at once if the address is taken.
    pub fn bind(&self) -> io::Result<TcpListener> {
        TcpListener::bind(self.listen)
    }

    /// Connections that carry nothing are closed after so long from now on.
    pub fn close_idle(&self, after_ms: f64) {
        self.idle_ms.store(after_ms.max(1.0) as u64, Ordering::Relaxed);
    }

    /// How many connections are open.
    pub fn open(&self) -> usize {
        self.connections.lock().map_or(0, |all| all.len())
    }

    /// Stops listening, after the connections that the machine has accepted are taken.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
        // The listener's thread waits in accept: a connection wakes it, which is dropped at once.
        let _ = TcpStream::connect_timeout(&self.listen, Duration::from_millis(100));
    }

    /// Lets every connection end once all that has come over it is answered.
    pub fn hush(&self) {
        if let Ok(all) = self.connections.lock() {
            for stream in all.values().filter_map(|open| open.stream.upgrade()) {
                let _ = stream.shutdown(Shutdown::Read);
            }
        }
    }

    /// Gives up the connection that serves least, so that the door stays open: first of all one that has never
    /// brought a request, else one with nothing open, the longest quiet of them. What crosses the close comes
    /// again on another. `false` if there is none.
    fn make_room(&self) -> bool {
        let now = self.clock();
        let Ok(mut all) = self.connections.lock() else { return false };
        let rank = |open: &Open| {
            let peer = open.peer.upgrade().filter(|peer| peer.open.load(Ordering::Acquire) == 0)?;
            let last = peer.read.load(Ordering::Relaxed).max(peer.wrote.load(Ordering::Relaxed));
            // The first request of a connection that has just come may be under way.
            let young = now < last + COMING;
            let asked = peer.asked.load(Ordering::Relaxed);
            Some((if asked { 1 } else { 2 * u8::from(young) }, last))
        };
        let ranked =
            all.values_mut().filter(|open| !open.given_up).filter_map(|open| Some((rank(open)?, open)));
        let Some((_, open)) = ranked.min_by_key(|(rank, _)| *rank) else { return false };
        open.given_up = true;
        let Some(stream) = open.stream.upgrade() else { return false };
        self.counters.connections_given_up.add();
        stream.shutdown(Shutdown::Read).is_ok()
    }

    /// Accepts connections until the edge closes.
    pub fn accept(self: &Arc<Edge>, listener: &TcpListener) {
        static FAULT: Kind = Kind::new();
        let mut next = 0;
        loop {
            let closing = self.closing.load(Ordering::SeqCst);
            if closing && listener.set_nonblocking(true).is_err() {
                return;
            }
            // Descriptors are left for the runtime, the records and the registry. Some room is made ahead.
            let open = self.open();
            let made = !closing && open + AHEAD >= self.most_connections && self.make_room();
            if !closing && open >= self.most_connections {
                self.counters.accept_pauses.add();
                thread::sleep(Duration::from_millis(if made { 1 } else { 10 }));
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

    /// Starts the two threads of a connection.
    fn begin(self: &Arc<Edge>, connection: u64, stream: TcpStream, waits: Instant) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.longest))?;
        let stream = Arc::new(stream);
        let (answers, for_writer) = bounded(MOST_OPEN);
        let (control, control_for_writer) = bounded(4);
        let peer = Arc::new(Peer {
            connection,
            answers,
            open: AtomicUsize::new(0),
            read: self.clock().into(),
            wrote: 0.into(),
            asked: false.into(),
        });
        let (edge, weak, out) = (self.clone(), Arc::downgrade(&peer), stream.clone());
        let spawn = |name: &str| thread::Builder::new().name(name.to_owned()).stack_size(STACK);
        let writer = spawn("writer")
            .spawn(move || edge.write(connection, &out, &weak, &for_writer, control_for_writer))?;
        let edge = self.clone();
        if let Ok(mut all) = self.connections.lock() {
            let (stream, peer) = (Arc::downgrade(&stream), Arc::downgrade(&peer));
            all.insert(connection, Open { stream, peer, given_up: false });
        }
        self.counters.connections_open.add();
        let reader = spawn("reader").spawn(move || {
            let mut unread = Unread { edge: &edge, bytes: 0 };
            let end = edge.read(&stream, &peer, &control, &mut unread, waits);
            drop((peer, control, unread));
            edge.end(connection, &stream, writer, end);
        });
        if reader.is_err() {
            self.forget(connection);
        }
        reader.map(|_| ())
    }

    /// The one place where a connection is given back: after the writer has ended, its last answer written.
    fn end(&self, connection: u64, stream: &TcpStream, writer: thread::JoinHandle<()>, end: End) {
        static MALFORMED: Kind = Kind::new();
        static CROWDED: Kind = Kind::new();
        match end {
            End::Quiet => {}
            End::Idle => self.counters.connections_idle.add(),
            End::Malformed(what) => {
                self.counters.connections_malformed.add();
                if self.log.may(&MALFORMED) {
                    slog::warn!(self.log.lines, "edge: a connection ends, malformed"; "what" => %what);
                }
            }
            End::Silent => self.counters.connections_silent.add(),
            End::Stalled => {
                self.counters.connections_malformed.add();
                if self.log.may(&MALFORMED) {
                    slog::warn!(self.log.lines, "edge: a connection ends, half a request stood still");
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
        let _ = writer.join();
        // What the peer has sent meanwhile is read away: closing over unread bytes would reset the
        // connection and could take an answer along that it has not read yet.
        let _ = stream.shutdown(Shutdown::Write);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
        let (mut rest, mut reader) = ([0; 1024], stream);
        for _ in 0..64 {
            if !matches!(reader.read(&mut rest), Ok(1..)) {
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

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// The writer's thread: all answers that lie ready go out in one gathered write.
    fn write(
        &self,
        connection: u64,
        stream: &TcpStream,
        peer: &Weak<Peer>,
        answers: &Receiver<Answer>,
        mut control: Receiver<Answer>,
    ) {
        let mut broken = false;
        loop {
            let mut ready = Vec::new();
            let mut owed = 0;
            select! {
                recv(answers) -> answer => match answer {
                    Ok(answer) => {
                        ready.push(answer);
                        ready.extend(answers.try_iter().take(GATHERED));
                        owed = ready.len();
                    }
                    Err(_) => {
                        ready.extend(control.try_iter());
                        if ready.is_empty() {
                            return;
                        }
                    }
                },
                recv(control) -> answer => match answer {
                    Ok(answer) => ready.push(answer),
                    Err(_) => control = never(),
                },
            }
            // Counted before they are written: the peer may open the next ones as soon as it has read these.
            if let Some(peer) = peer.upgrade() {
                peer.wrote.store(self.clock(), Ordering::Relaxed);
                peer.open.fetch_sub(owed, Ordering::AcqRel);
            }
            let mut pieces: Vec<IoSlice<'_>> = ready.iter().flat_map(Answer::slices).collect();
            if !broken && gather::write(stream, &mut pieces).is_err() {
                broken = true;
                // Wakes the reader, whose end gives the connection back.
                let _ = stream.shutdown(Shutdown::Both);
                let _ = self.host.send(Mail::Gone(connection));
            }
        }
    }

    /// The reader's thread, until the connection's reading ends.
    fn read(
        &self,
        mut stream: &TcpStream,
        peer: &Arc<Peer>,
        control: &Sender<Answer>,
        unread: &mut Unread<'_>,
        mut since: Instant,
    ) -> End {
        let (mut incoming, mut requests) = (Incoming::default(), Requests::default());
        let (born, mut last, mut waits, mut first) = (self.clock(), self.clock(), None, true);
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
                        if let Err(what) = self.whole(peer, control, id, whole, since) {
                            return End::Malformed(what);
                        }
                        if !keep {
                            return End::Quiet;
                        }
                        continue;
                    }
                    Ok(Step::Abort(id)) => {
                        let _ = self.host.send(Mail::Abort(peer.connection, id));
                        continue;
                    }
                    Ok(Step::Refuse(id, state)) => {
                        if state == ended::OVERLOADED {
                            self.counters.requests_over.add();
                        }
                        refusal(id, state)
                    }
                    Ok(Step::TooLong(id)) => {
                        let _ = control.send(self.makes_no_sense(id, "body"));
                        return End::Quiet;
                    }
                    Ok(Step::Values(asked)) => values_result(&asked, self.most_connections, MOST_OPEN),
                    Ok(Step::Unknown(kind)) => unknown_type(kind),
                    Err(what) => return End::Malformed(what),
                };
                if control.send(reply).is_err() {
                    return End::Quiet;
                }
            }
            // The usual buffer of a connection is no part of it: that one is always there.
            if !unread.is(incoming.size().saturating_sub(8192) + requests.bytes()) {
                return End::Crowded;
            }
            // Half a request that stands still is waited for as long as any caller waits.
            let half = !incoming.is_empty() || requests.begun() > 0;
            let limit = match self.idle_ms.load(Ordering::Relaxed) {
                _ if half => self.longest.as_millis() as u64,
                0 => self.longest.as_millis() as u64 * 1000,
                idle => idle,
            };
            // In this order: the writer says when it writes before it counts.
            let busy = peer.open.load(Ordering::Acquire) > 0;
            let latest = last.max(peer.wrote.load(Ordering::Relaxed));
            let quiet = self.clock().saturating_sub(latest);
            if quiet >= limit && !busy {
                return if half { End::Stalled } else { End::Idle };
            }
            let mut wait = if busy { limit } else { limit - quiet };
            if !peer.asked.load(Ordering::Relaxed) {
                let age = self.clock() - born;
                if age >= FIRST {
                    return End::Silent;
                }
                wait = wait.min(FIRST - age);
            }
            let wait = Some(Duration::from_millis(wait));
            if wait != waits {
                waits = wait;
                if stream.set_read_timeout(wait).is_err() {
                    return End::Broken;
                }
            }
            // All that came before was read: a request that comes now came no earlier.
            let now = Instant::now();
            match stream.read(incoming.room()) {
                Ok(0) => return End::Quiet,
                Ok(count) => {
                    incoming.filled(count);
                    last = self.clock();
                    peer.read.store(last, Ordering::Relaxed);
                    if !half && !std::mem::take(&mut first) {
                        since = now;
                    }
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                Err(_) => return End::Broken,
            }
        }
    }

    /// A request has come whole: a health check or a task goes to the host, anything else is answered here.
    fn whole(
        &self,
        peer: &Arc<Peer>,
        control: &Sender<Answer>,
        id: u16,
        whole: Whole,
        since: Instant,
    ) -> Result<(), Malformed> {
        let mail = match head::read(&whole.params, &self.facts)? {
            Head::Check { deep } => Mail::Check { peer: peer.clone(), request: id, deep },
            Head::Task(asked) => {
                let (peer, body) = (peer.clone(), whole.body);
                Mail::Task(Box::new(Request { asked, body, peer, request: id, since }))
            }
            Head::Senseless(field) => {
                let _ = control.send(self.makes_no_sense(id, field));
                return Ok(());
            }
        };
        peer.asked.store(true, Ordering::Relaxed);
        peer.open.fetch_add(1, Ordering::Relaxed);
        let _ = self.host.send(mail);
        Ok(())
    }
}

impl Edge {
    fn makes_no_sense(&self, request: u16, field: &'static str) -> Answer {
        static SENSELESS: Kind = Kind::new();
        self.counters.tasks_senseless.add();
        if self.log.may(&SENSELESS) {
            slog::warn!(self.log.lines, "edge: a request makes no sense"; "field" => field);
        }
        senseless(request)
    }
}

/// The answer to a request that lacks a field, or has a senseless one. It claims nothing.
pub fn senseless(request: u16) -> Answer {
    Answer::new(request, "Status: 400\r\nContent-Type: text/plain\r\n\r\n", Arc::new([]))
}

/// A task that has come whole, for the host.
pub struct Request {
    /// Its head.
    pub asked: Asked,
    /// Its body.
    pub body: Vec<u8>,
    /// The way back.
    pub peer: Arc<Peer>,
    /// Its number on that connection.
    pub request: u16,
    /// It came no earlier: all that came before then was read.
    pub since: Instant,
}
