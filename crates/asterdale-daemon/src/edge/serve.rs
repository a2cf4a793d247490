//! The edge's thread: waits for the listener, all connections and its mailbox together, and looks at whichever has
//! something, each in turn. It also ends connections that say nothing.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_engine::engine::unix_ms;
use asterdale_engine::log::LogLimit;
use asterdale_engine::mailbox::MailboxReceiver;
use asterdale_engine::message::EngineMessage;
use crossbeam_channel::Sender;
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};

use super::connection::{Connection, End, Look, Shared, LAST};
use super::{Door, Edge, Word};
use crate::peer::{Outgoing, Peer};
#[cfg(feature = "tls")]
use crate::tls::Doorkeeper;
use crate::wire::Wire;

/// The mailbox's, and the listener's; connections have the numbers below them.
pub const LETTERS: Token = Token(usize::MAX);
const LISTENER: Token = Token(usize::MAX - 1);
/// Events that one wait takes.
const EVENTS: usize = 256;
/// Connections that are taken before the others have their turn: a release brings hundreds at once.
const BITE: usize = 32;
/// How often connections that say nothing are looked for.
const ROUND: Duration = Duration::from_millis(100);
/// A connection that brings no whole request for so long, in milliseconds, ends: bad clients are owed a word
/// within 3 s of connecting. Edge nodes connect when they have a request.
const FIRST: u64 = 2000;
/// The first request of a connection that is younger, in milliseconds, is taken to be under way.
const COMING: u64 = 200;
/// How often a connection whose reading is to end is looked at for what crosses that.
const CROSSING: Duration = Duration::from_millis(2);
/// So long accepting pauses at the most connections.
const PAUSE: Duration = Duration::from_millis(2);
/// And where the system refuses a descriptor.
const REFUSED: Duration = Duration::from_millis(20);

/// What the loop has beside what its connections share.
pub struct Around {
    /// The handle that others hold.
    pub edge: Arc<Edge>,
    /// The writer of all connections.
    pub writer: Sender<Outgoing>,
    /// So many connections may stay open with nothing open on them.
    pub most_quiet: usize,
    /// Connections that carried nothing for so many milliseconds are closed; 0 for never.
    pub idle_ms: u64,
}

/// The listener, as long as it listens.
struct Ear {
    listener: TcpListener,
    /// There may be connections to be taken.
    ready: bool,
    /// None is taken before then.
    not_before: Instant,
    /// When none was there.
    empty: Instant,
}

/// The edge's thread, before it runs.
pub struct Loop {
    poll: Poll,
    letters: MailboxReceiver<Word>,
    #[cfg(feature = "tls")]
    tls: Option<Arc<Doorkeeper>>,
    shared: Shared,
    around: Around,
    ear: Option<Ear>,
    aside: bool,
    all: HashMap<u64, Connection>,
    next: u64,
    /// Connections that may have something to read, in the order of their turns.
    turns: VecDeque<u64>,
    /// Connections whose reading is to end.
    hushed: Vec<u64>,
    /// Connections whose last bytes are read away, and until when at least, in this order.
    last: VecDeque<(Instant, u64)>,
}

impl Loop {
    /// One that will serve this door.
    pub fn new(
        poll: Poll,
        letters: MailboxReceiver<Word>,
        door: Door,
        shared: Shared,
        around: Around,
    ) -> Loop {
        Loop {
            poll,
            letters,
            next: door.first,
            #[cfg(feature = "tls")]
            tls: door.tls,
            shared,
            around,
            ear: None,
            aside: false,
            all: HashMap::new(),
            turns: VecDeque::new(),
            hushed: Vec::new(),
            last: VecDeque::new(),
        }
    }

    /// Takes connections from this listener and serves them, for as long as the process lives.
    pub fn serve(mut self, listener: TcpListener) -> io::Result<()> {
        let now = Instant::now();
        listener.set_nonblocking(true)?;
        self.ear = Some(Ear {
            listener,
            ready: true,
            not_before: now,
            empty: now,
        });
        self.listen(true)?;
        let mut events = Events::with_capacity(EVENTS);
        let (mut round, mut crossing) = (now + ROUND, now);
        loop {
            let wait = self.wait(round, crossing);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            for event in &events {
                match event.token() {
                    LETTERS => {}
                    LISTENER => self.ear.iter_mut().for_each(|ear| ear.ready = true),
                    Token(number) => self.stirs(number as u64, event.is_writable()),
                }
            }
            let letters: Vec<Word> = self.letters.take().collect();
            letters.into_iter().for_each(|word| self.told(word));
            self.accept();
            for _ in 0..self.turns.len() {
                let Some(number) = self.turns.pop_front() else {
                    break;
                };
                self.turn(number);
            }
            let now = Instant::now();
            if !self.hushed.is_empty() && now >= crossing {
                crossing = now + CROSSING;
                self.cross();
            }
            while self.last.front().is_some_and(|&(until, _)| until <= now) {
                let Some((_, number)) = self.last.pop_front() else {
                    break;
                };
                if !self.last_look(number, now) {
                    self.last.push_back((now + LAST, number));
                }
            }
            if now >= round {
                round = now + ROUND;
                self.look_round(self.shared.clock());
            }
        }
    }

    /// How long there is nothing to do unless something comes.
    fn wait(&self, round: Instant, crossing: Instant) -> Duration {
        if !self.turns.is_empty() {
            return Duration::ZERO;
        }
        let mut until = round;
        if let Some(ear) = self.ear.as_ref().filter(|ear| ear.ready && !self.aside) {
            until = until.min(ear.not_before);
        }
        if !self.hushed.is_empty() {
            until = until.min(crossing);
        }
        if let Some(&(last, _)) = self.last.front() {
            until = until.min(last);
        }
        until.saturating_duration_since(Instant::now())
    }

    /// Hears of the listener, or no longer.
    fn listen(&mut self, hear: bool) -> io::Result<()> {
        let Some(ear) = &mut self.ear else {
            return Ok(());
        };
        let fd = ear.listener.as_raw_fd();
        if hear {
            ear.ready = true;
            self.poll
                .registry()
                .register(&mut SourceFd(&fd), LISTENER, Interest::READABLE)
        } else {
            self.poll.registry().deregister(&mut SourceFd(&fd))
        }
    }

    /// Something has come over this connection, or it takes bytes again.
    fn stirs(&mut self, number: u64, writable: bool) {
        let Some(connection) = self.all.get_mut(&number) else {
            return;
        };
        let broke = writable && !connection.pay(&self.shared);
        if broke {
            return self.broke(number);
        }
        if connection.reads() {
            if !std::mem::replace(&mut connection.ready, true) {
                self.turns.push_back(number);
            }
        } else {
            self.last_look(number, Instant::now());
        }
    }

    fn told(&mut self, word: Word) {
        match word {
            Word::Idle(ms) => self.around.idle_ms = ms,
            Word::Hush => {
                let all: Vec<u64> = self.all.keys().copied().collect();
                all.into_iter().for_each(|number| self.hush(number));
            }
            Word::Aside(aside) => {
                if std::mem::replace(&mut self.aside, aside) != aside {
                    // It was registered once: a fault here would show as a listener that hears nothing.
                    if let Err(e) = self.listen(!aside) {
                        slog::error!(self.shared.log.lines, "edge: the listener is not heard"; "why" => %e);
                    }
                }
            }
            Word::Close => {
                // All that the machine has accepted is taken, whatever the bounds say.
                while !self.aside && self.accept_one().is_some_and(|end| !end) {}
                if !self.aside {
                    let _ = self.listen(false);
                }
                self.ear = None;
                self.around.edge.closed.store(true, Ordering::SeqCst);
            }
            Word::Owed(peer, bytes) => self.owed(&peer, &bytes),
            Word::Broke(number) => self.over(number, End::Quiet),
            Word::Free(number) => {
                let (now, Some(connection)) = (Instant::now(), self.all.get_mut(&number)) else {
                    return;
                };
                connection.free(now);
                if !self.last_look(number, now) {
                    self.last.push_back((now + LAST, number));
                }
            }
        }
    }

    /// Takes the connections that have come, a bite at a time.
    fn accept(&mut self) {
        for _ in 0..BITE {
            let Some(ear) = self.ear.as_mut().filter(|ear| ear.ready && !self.aside) else {
                return;
            };
            let now = Instant::now();
            if now < ear.not_before {
                return;
            }
            // Descriptors are left for the runtime, the records and the registry. Room is made ahead, ten times a
            // second; if more than that come at once, half of the quiet ones go.
            if self.all.len() >= self.shared.most_connections {
                ear.not_before = now + PAUSE;
                self.shared.counters.accept_pauses.add();
                let most = self.around.most_quiet / 2;
                self.make_room(|_| most);
                return;
            }
            if self.accept_one().is_none_or(|end| end) {
                return;
            }
        }
    }

    /// Takes one connection. Whether there are no more now; `None` where there is no listener.
    fn accept_one(&mut self) -> Option<bool> {
        static FAULT: LogLimit = LogLimit::new();
        let ear = self.ear.as_mut()?;
        let since = ear.empty;
        match ear.listener.accept() {
            Ok((stream, _)) => {
                self.shared.counters.connections_accepted.add();
                if let Err(e) = self.begin(stream, since) {
                    if self.shared.log.allows(&FAULT) {
                        slog::error!(self.shared.log.lines, "edge: a connection can't be served"; "why" => %e);
                    }
                }
                Some(false)
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                (ear.ready, ear.empty) = (false, Instant::now());
                Some(true)
            }
            // One that its peer has given up meanwhile.
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
                ) =>
            {
                Some(false)
            }
            Err(e) => {
                // It waits in the machine's queue, and is taken when there is a descriptor: what it has written
                // was accepted, and closing it would lose that.
                ear.not_before = Instant::now() + REFUSED;
                self.shared.counters.accept_pauses.add();
                self.shared.counters.accepts_refused.add();
                if self.shared.log.allows(&FAULT) {
                    slog::error!(self.shared.log.lines, "edge: accepting pauses"; "why" => %e,
                        "open" => self.all.len());
                }
                self.make_room(|quiet| quiet / 2);
                Some(true)
            }
        }
    }

    #[cfg(feature = "tls")]
    fn wire(&self, stream: TcpStream) -> io::Result<Wire> {
        match &self.tls {
            Some(doorkeeper) => doorkeeper
                .begin(stream)
                .map(|session| Wire::Tls(Box::new(session))),
            None => Ok(Wire::Plain(stream)),
        }
    }

    #[cfg(not(feature = "tls"))]
    fn wire(&self, stream: TcpStream) -> io::Result<Wire> {
        Ok(Wire::Plain(stream))
    }

    /// Begins with a connection that came no earlier than `since`.
    fn begin(&mut self, stream: TcpStream, since: Instant) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let wire = Arc::new(self.wire(stream)?);
        self.next += 1;
        let (number, born) = (self.next, self.shared.clock());
        let interest = if wire.is_plain() {
            Interest::READABLE
        } else {
            Interest::READABLE | Interest::WRITABLE
        };
        self.poll.registry().register(
            &mut SourceFd(&wire.fd()),
            Token(number as usize),
            interest,
        )?;
        let post = self.around.edge.post.clone();
        let peer = Peer::new(number, wire.clone(), self.around.writer.clone(), post);
        let mut connection = Connection::new(wire, peer, born, since);
        connection.ready = true;
        self.all.insert(number, connection);
        self.around
            .edge
            .open
            .store(self.all.len(), Ordering::SeqCst);
        self.shared.counters.connections_open.add();
        // Most bring their first request at once.
        self.turns.push_back(number);
        Ok(())
    }

    /// It is this connection's turn: one look.
    fn turn(&mut self, number: u64) {
        let Some(connection) = self
            .all
            .get_mut(&number)
            .filter(|connection| connection.reads())
        else {
            return;
        };
        match connection.look(&mut self.shared) {
            Look::More => self.turns.push_back(number),
            Look::Empty => connection.ready = false,
            Look::End(end) => self.over(number, end),
        }
    }

    /// This connection's reading ended.
    fn over(&mut self, number: u64, end: End) {
        if let Some(connection) = self.all.get_mut(&number) {
            connection.end(&mut self.shared, end);
        }
    }

    /// This connection is of no more use: its peer takes nothing, or is gone.
    fn broke(&mut self, number: u64) {
        if let Some(connection) = self.all.get_mut(&number) {
            connection.break_off();
            let _ = self
                .shared
                .host
                .send(EngineMessage::ConnectionClosed(number));
            self.over(number, End::Quiet);
        }
    }

    /// The writer leaves these bytes to the loop.
    fn owed(&mut self, peer: &Arc<Peer>, bytes: &[u8]) {
        let number = peer.connection;
        let Some(connection) = self.all.get_mut(&number) else {
            return;
        };
        let fd = connection.wire.fd();
        let either = Interest::READABLE | Interest::WRITABLE;
        let heard =
            self.poll
                .registry()
                .reregister(&mut SourceFd(&fd), Token(number as usize), either);
        if heard.is_err() || !connection.owe(&self.shared, peer.clone(), bytes) {
            self.broke(number);
        }
    }

    /// Its reading is to end; what was read is still answered.
    fn hush(&mut self, number: u64) {
        let Some(connection) = self.all.get_mut(&number) else {
            return;
        };
        if !std::mem::replace(&mut connection.hushed, true) && connection.reads() {
            self.hushed.push(number);
        }
    }

    /// Looks at those whose reading is to end.
    fn cross(&mut self) {
        for number in std::mem::take(&mut self.hushed) {
            let Some(connection) = self
                .all
                .get_mut(&number)
                .filter(|connection| connection.reads())
            else {
                continue;
            };
            match connection.cross(&mut self.shared) {
                Look::End(end) => self.over(number, end),
                _ => self.hushed.push(number),
            }
        }
    }

    /// Reads away what has come after the last answer, and closes once nothing does. Whether it is closed.
    fn last_look(&mut self, number: u64, now: Instant) -> bool {
        let over = self
            .all
            .get_mut(&number)
            .is_none_or(|connection| connection.last_look(now));
        if over {
            self.forget(number);
        }
        over
    }

    /// The one place where a connection is given back: once nobody holds its peer, its last answer written.
    fn forget(&mut self, number: u64) {
        // Its descriptor leaves the poll as it closes: nobody else holds it.
        if self.all.remove(&number).is_some() {
            self.shared.counters.connections_open.sub();
            self.around
                .edge
                .open
                .store(self.all.len(), Ordering::SeqCst);
        }
    }

    /// Gives up the connections that serve least until no more than `keep` of those that are quiet stay, with
    /// nothing open: first of all those that have never brought a request, then the longest quiet. What crosses the
    /// close comes again on another.
    fn make_room(&mut self, keep: impl Fn(usize) -> usize) {
        let now = self.shared.clock();
        // The first request of a connection that has just come may be under way.
        let counts = |c: &Connection| !c.ending() && !c.busy() && now >= c.born + COMING;
        let ranked = self.all.iter().filter(|(_, c)| counts(c));
        let mut ranked: Vec<_> = ranked
            .map(|(&number, c)| (c.asked, c.last(), number))
            .collect();
        let over = ranked.len().saturating_sub(keep(ranked.len()));
        if over > 0 {
            ranked.sort_unstable();
        }
        for &(.., number) in &ranked[..over] {
            self.hush(number);
            self.shared.counters.connections_given_up.add();
        }
    }

    /// Ends the connections that say nothing.
    fn look_round(&mut self, now: u64) {
        static STALLED: LogLimit = LogLimit::new();
        static STUCK: LogLimit = LogLimit::new();
        let idle = if self.around.idle_ms == 0 {
            u64::MAX
        } else {
            self.around.idle_ms
        };
        let (shared, mut ends, mut stuck) = (&self.shared, Vec::new(), Vec::new());
        for (&number, connection) in &self.all {
            if connection.stuck(shared, now) {
                stuck.push(number);
            }
            if connection.ending() {
                continue;
            }
            // In this order: the writer says when it writes before it counts.
            let busy = connection.busy();
            let quiet = now.saturating_sub(connection.last());
            let half = connection.half();
            let until_ms = connection
                .wire
                .certificate()
                .map(|certificate| certificate.not_after_ms);
            if until_ms.is_some_and(|until| unix_ms() >= until) {
                // Nothing of it would be let in any more; what is open on it is still answered.
                shared.counters.connections_lapsed.add();
            } else if !connection.asked && now >= connection.born + FIRST {
                shared.counters.connections_silent.add();
            } else if !busy && half && quiet >= shared.longest_ms {
                shared.counters.connections_malformed.add();
                if shared.log.allows(&STALLED) {
                    slog::warn!(
                        shared.log.lines,
                        "edge: a connection ends, half a request stood still"
                    );
                }
            } else if !busy && !half && quiet >= idle {
                shared.counters.connections_idle.add();
            } else {
                continue;
            }
            ends.push(number);
        }
        ends.into_iter().for_each(|number| self.hush(number));
        for number in stuck {
            self.shared.counters.connections_broken.add();
            if self.shared.log.allows(&STUCK) {
                slog::warn!(
                    self.shared.log.lines,
                    "edge: a connection ends, its peer takes no answers"
                );
            }
            self.broke(number);
        }
        let most = self.around.most_quiet;
        self.make_room(|_| most);
    }
}
