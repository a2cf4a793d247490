//! One connection, as the edge's thread holds it: what has come and was not handed on, what the writer left for
//! later, and how far its end is. It reads when it is told that there may be something, as much as one look takes.

use std::io;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_engine::counters::Counters;
use asterdale_engine::log::{Log, LogLimit};
use asterdale_engine::message::{EngineMessage, Reply, Request, ResponseRoute};
use asterdale_fastcgi::{
    end_request_response, protocol_status, unknown_type_response, values_response,
};
use asterdale_fastcgi::{
    AssemblyEvent, CompleteRequest, ProtocolError, RecordReader, RequestAssembler,
};
use asterdale_parameters::Settings;
use crossbeam_channel::Sender;

use crate::head::{self, Head};
use crate::peer::{encoded, Peer};
use crate::wire::Wire;

/// Open requests that a connection carries, by the platform's protocol.
const MOST_OPEN: usize = 32;
/// Answers in a row to what makes no sense, and to management records, after which a connection ends. Edge nodes give
/// no cause for them; whoever asks again as soon as it is turned away would keep the core busy.
const MOST_TOLD: usize = 8;
/// Bytes of answers that wait for a peer, past which no more is read from it: one that asks and reads nothing
/// must not fill the memory. As much as a way back commonly holds.
const MOST_OWED: usize = 64 * 1024;
/// How often half a request is waited for, after a reading was ended: 50 ms, as long as one that crosses an end
/// comes again.
const MOST_ROUNDS: usize = 25;
/// The last of what a peer sends is read away for so long after its last byte.
pub const LAST: Duration = Duration::from_millis(50);
/// Looks that this takes at most: one that goes on sending is cut off.
const MOST_LAST: usize = 64;

/// What all connections of a listener share.
pub struct Shared {
    /// What stages there are.
    pub facts: Arc<Settings>,
    /// It matters who is calling.
    pub asked_who: bool,
    /// Takes tasks.
    pub host: Sender<EngineMessage>,
    /// Counts.
    pub counters: Arc<Counters>,
    /// Has lines.
    pub log: Log,
    /// Connections that there is room for.
    pub most_connections: usize,
    /// Bytes that connections have read and not yet handed on.
    pub unread: usize,
    /// How many they may be.
    pub most_unread: usize,
    /// The longest that any caller waits, in milliseconds.
    pub longest_ms: u64,
    /// The edge's time 0.
    pub began: Instant,
}

impl Shared {
    /// Milliseconds since the edge began.
    pub fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn makes_no_sense(&self, field: &'static str) {
        static SENSELESS: LogLimit = LogLimit::new();
        self.counters.tasks_malformed.add();
        if self.log.allows(&SENSELESS) {
            slog::warn!(self.log.lines, "edge: a request makes no sense"; "field" => field);
        }
    }
}

/// How a connection's reading ended.
pub enum End {
    /// The peer says no more, or nothing more is wanted from it; what is open is still answered.
    Quiet,
    /// What it says can't be read; what is open is still answered.
    Malformed(ProtocolError),
    /// It began more than there is memory for; what is open is still answered.
    Crowded,
    /// It broke: nobody is there to be answered.
    Broken,
}

/// How a look at a connection went.
pub enum Look {
    /// All that was there is read.
    Empty,
    /// There may be more: it is the others' turn first.
    More,
    /// Its reading ended.
    End(End),
}

/// Answers that wait until the peer reads.
struct Owed {
    /// Keeps the connection.
    _peer: Arc<Peer>,
    bytes: Vec<u8>,
    from: usize,
    /// When any of it last went out.
    went: u64,
}

/// How far a connection is.
enum Phase {
    /// It is read.
    Reading(Arc<Peer>),
    /// Its reading ended; somebody still holds its peer.
    Owing,
    /// Nobody does: the last of what the peer sends is read away until then.
    Last { until: Instant, looks: usize },
}

/// A connection, as long as it is open.
pub struct Connection {
    /// Its way in and out.
    pub wire: Arc<Wire>,
    phase: Phase,
    incoming: RecordReader,
    requests: RequestAssembler,
    /// Its part of [`Shared::unread`].
    unread: usize,
    /// When it was accepted, in milliseconds since the edge began.
    pub born: u64,
    /// When anything last came.
    read: u64,
    /// It came no earlier than this: all that came before then was read.
    since: Instant,
    /// When it was last found empty.
    emptied: Instant,
    /// The first bytes have come.
    began: bool,
    /// It has brought a whole request that made sense.
    pub asked: bool,
    told: usize,
    /// Its reading is to end once nothing is open on it.
    pub hushed: bool,
    /// Looks since then that found nothing.
    rounds: usize,
    /// There may be something to read.
    pub ready: bool,
    owed: Option<Owed>,
}

impl Connection {
    /// One that has just come, and came no earlier than `since`.
    pub fn new(wire: Arc<Wire>, peer: Arc<Peer>, born: u64, since: Instant) -> Connection {
        Connection {
            wire,
            phase: Phase::Reading(peer),
            incoming: RecordReader::default(),
            requests: RequestAssembler::default(),
            unread: 0,
            born,
            read: born,
            since,
            emptied: since,
            began: false,
            asked: false,
            told: 0,
            hushed: false,
            rounds: 0,
            ready: false,
            owed: None,
        }
    }

    /// Its peer, as long as it is read.
    fn peer(&self) -> Option<&Arc<Peer>> {
        match &self.phase {
            Phase::Reading(peer) => Some(peer),
            _ => None,
        }
    }

    /// It is still read.
    pub fn reads(&self) -> bool {
        self.peer().is_some()
    }

    /// Its reading has ended, or is to end.
    pub fn ending(&self) -> bool {
        self.hushed || !self.reads()
    }

    /// Requests on it wait for an answer, as far as the edge knows.
    pub fn busy(&self) -> bool {
        self.peer()
            .is_none_or(|peer| peer.open.load(Ordering::Acquire) > 0)
    }

    /// Half a request is there.
    pub fn half(&self) -> bool {
        !self.incoming.is_empty() || self.requests.pending_count() > 0
    }

    /// When anything last came or went.
    pub fn last(&self) -> u64 {
        self.read.max(
            self.peer()
                .map_or(0, |peer| peer.wrote.load(Ordering::Relaxed)),
        )
    }

    /// Takes note of the memory that it takes now; `false` if that is more than there is room for.
    fn fits(&mut self, shared: &mut Shared, bytes: usize) -> bool {
        let grows = bytes > self.unread;
        shared.unread = shared.unread + bytes - self.unread;
        self.unread = bytes;
        !grows || shared.unread <= shared.most_unread
    }

    /// Reads once, and hands on what has come whole.
    pub fn look(&mut self, shared: &mut Shared) -> Look {
        let Phase::Reading(peer) = &self.phase else {
            return Look::Empty;
        };
        let peer = peer.clone();
        if self
            .owed
            .as_ref()
            .is_some_and(|owed| owed.bytes.len() - owed.from > MOST_OWED)
        {
            return Look::Empty; // looked at again when that has gone out
        }
        let half = self.half();
        match self.wire.read(self.incoming.free_space()) {
            Ok(0) => Look::End(End::Quiet),
            Ok(count) => {
                self.incoming.commit(count);
                self.read = shared.clock();
                self.rounds = 0;
                if !half {
                    // The first bytes may have come any time since it was accepted.
                    if std::mem::replace(&mut self.began, true) {
                        self.since = self.emptied;
                    }
                }
                match self.take(shared, &peer) {
                    Some(end) => Look::End(end),
                    None => Look::More,
                }
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Look::More,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                self.emptied = Instant::now();
                Look::Empty
            }
            Err(_) => Look::End(End::Broken),
        }
    }

    /// Takes the records that are there; how the reading ended, if it did.
    fn take(&mut self, shared: &mut Shared, peer: &Arc<Peer>) -> Option<End> {
        loop {
            let open = peer.open.load(Ordering::Acquire) + self.requests.pending_count();
            let step = match self.incoming.next_record() {
                Ok(Some(record)) => self.requests.handle_record(record, open < MOST_OPEN),
                Ok(None) => break,
                Err(what) => Err(what),
            };
            let reply = match step {
                Ok(AssemblyEvent::Pending) => continue,
                Ok(AssemblyEvent::Complete(id, whole)) => {
                    let keep = whole.keep_connection;
                    match self.whole(shared, peer, id, whole) {
                        Ok(true) if keep => {
                            self.told = 0;
                            continue;
                        }
                        Ok(true) => return Some(End::Quiet),
                        Ok(false) => encoded(id, Reply::Malformed),
                        Err(what) => return Some(End::Malformed(what)),
                    }
                }
                Ok(AssemblyEvent::Abort(id)) => {
                    let _ = shared.host.send(EngineMessage::Abort(ResponseRoute {
                        connection: peer.connection,
                        request: id,
                    }));
                    continue;
                }
                Ok(AssemblyEvent::EndRequest(id, state)) => {
                    if state == protocol_status::OVERLOADED {
                        shared.counters.requests_overloaded.add();
                    }
                    end_request_response(id, state)
                }
                Ok(AssemblyEvent::BodyTooLong(id)) => {
                    shared.makes_no_sense("body");
                    peer.tell(encoded(id, Reply::Malformed));
                    return Some(End::Quiet);
                }
                Ok(AssemblyEvent::GetValues(asked)) => {
                    values_response(&asked, shared.most_connections, MOST_OPEN)
                }
                Ok(AssemblyEvent::UnknownType(kind)) => unknown_type_response(kind),
                Err(what) => return Some(End::Malformed(what)),
            };
            peer.tell(reply);
            self.told += 1;
            if self.told >= MOST_TOLD {
                return Some(End::Quiet);
            }
        }
        // The usual buffer of a connection is no part of it: that one is always there.
        let bytes =
            self.incoming.buffer_bytes().saturating_sub(8192) + self.requests.pending_bytes();
        (!self.fits(shared, bytes)).then_some(End::Crowded)
    }

    /// A request has come whole: a health check or a task goes to the host; `false` for what makes no sense.
    fn whole(
        &mut self,
        shared: &Shared,
        peer: &Arc<Peer>,
        id: u16,
        whole: CompleteRequest,
    ) -> Result<bool, ProtocolError> {
        let client = peer.clone();
        let mail = match head::read(&whole.params, &shared.facts, shared.asked_who)? {
            Head::Check { deep } => EngineMessage::HealthCheck {
                client,
                request: id,
                deep,
            },
            Head::Task(asked, token) => {
                let (body, certificate, since) = (whole.body, self.wire.certificate(), self.since);
                EngineMessage::Request(Box::new(Request {
                    head: asked,
                    token,
                    certificate,
                    body,
                    client,
                    request: id,
                    received_at: since,
                }))
            }
            Head::Senseless(field) => {
                shared.makes_no_sense(field);
                return Ok(false);
            }
        };
        self.asked = true;
        peer.open.fetch_add(1, Ordering::Relaxed);
        let _ = shared.host.send(mail);
        Ok(true)
    }

    /// A look at one whose reading is to end. Whatever crosses the end of the reading is still read, and answered,
    /// while something is open: the peer can't know of the end before the last answer. The end is told the
    /// moment after nothing was found, so that next to nothing crosses it however long this process is paused.
    pub fn cross(&mut self, shared: &mut Shared) -> Look {
        let Phase::Reading(peer) = &self.phase else {
            return Look::Empty;
        };
        // Whoever else holds the peer owes an answer, or is about to write one.
        let open = peer.open.load(Ordering::Acquire) > 0 || Arc::strong_count(peer) > 1;
        if open {
            return Look::Empty;
        }
        match self.look(shared) {
            Look::Empty if self.busy() => Look::Empty,
            Look::Empty => {
                self.rounds += 1;
                if self.half() && self.rounds < MOST_ROUNDS {
                    return Look::Empty;
                }
                self.wire.finish();
                Look::End(End::Quiet)
            }
            other => other,
        }
    }

    /// Nothing more is read. What is open is still answered; the last who holds the peer tells the loop.
    pub fn end(&mut self, shared: &mut Shared, end: End) {
        static MALFORMED: LogLimit = LogLimit::new();
        static CROWDED: LogLimit = LogLimit::new();
        let Phase::Reading(peer) = &self.phase else {
            return;
        };
        match end {
            End::Quiet => {}
            End::Malformed(what) => {
                shared.counters.connections_malformed.add();
                if shared.log.allows(&MALFORMED) {
                    slog::warn!(shared.log.lines, "edge: a connection ends, malformed"; "what" => %what);
                }
            }
            End::Crowded => {
                shared.counters.connections_over_memory.add();
                if shared.log.allows(&CROWDED) {
                    slog::warn!(
                        shared.log.lines,
                        "edge: a connection ends, no memory for what it begins"
                    );
                }
            }
            End::Broken => {
                shared.counters.connections_broken.add();
                let _ = shared
                    .host
                    .send(EngineMessage::ConnectionClosed(peer.connection));
            }
        }
        self.phase = Phase::Owing;
        (self.incoming, self.requests) = Default::default();
        self.fits(shared, 0);
    }

    /// Nobody owes an answer on it any more: says so, and reads away the last of what the peer sends.
    pub fn free(&mut self, now: Instant) {
        self.wire.finish();
        self.phase = Phase::Last {
            until: now + LAST,
            looks: 0,
        };
    }

    /// Reads away what the peer has sent meanwhile: closing over unread bytes would reset the connection and could
    /// take an answer along that it has not read yet. `true` once it can be closed.
    pub fn last_look(&mut self, now: Instant) -> bool {
        let Phase::Last { until, looks } = &mut self.phase else {
            return false;
        };
        let mut rest = [0; 1024];
        while *looks < MOST_LAST {
            *looks += 1;
            match self.wire.read(&mut rest) {
                Ok(1..) => *until = now + LAST,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return self.hushed || now >= *until
                }
                _ => return true,
            }
        }
        true
    }

    /// The writer leaves these bytes; the peer reads too slowly. `false` if the connection broke.
    pub fn owe(&mut self, shared: &Shared, peer: Arc<Peer>, bytes: &[u8]) -> bool {
        let went = shared.clock();
        let owed = self.owed.get_or_insert_with(|| Owed {
            _peer: peer,
            bytes: Vec::new(),
            from: 0,
            went,
        });
        owed.bytes.extend_from_slice(bytes);
        self.pay(shared)
    }

    /// Writes what is owed as far as the peer takes it. `false` if the connection broke.
    pub fn pay(&mut self, shared: &Shared) -> bool {
        let Some(owed) = &mut self.owed else {
            return self.wire.flush();
        };
        let piece = io::IoSlice::new(&owed.bytes[owed.from..]);
        match self.wire.write(&mut [piece]) {
            Ok(()) => {
                self.owed = None;
                true
            }
            Err((written, e)) if e.kind() == io::ErrorKind::WouldBlock => {
                if written > 0 {
                    owed.went = shared.clock();
                    owed.from += written;
                }
                // What has gone out is let go of before it is more than what has not.
                if owed.from > owed.bytes.len() / 2 {
                    owed.bytes.drain(..owed.from);
                    owed.from = 0;
                }
                true
            }
            Err(_) => false,
        }
    }

    /// The peer has taken nothing of what it is owed for so long that nobody waits for it any more.
    pub fn stuck(&self, shared: &Shared, now: u64) -> bool {
        self.owed
            .as_ref()
            .is_some_and(|owed| now.saturating_sub(owed.went) >= shared.longest_ms)
    }

    /// It is of no more use: whatever is owed is dropped, and the socket ends at once.
    pub fn break_off(&mut self) {
        self.wire.shutdown(Shutdown::Both);
        self.owed = None;
    }
}
