//! The edge: all that comes over one listener. One thread ([`Loop`]) waits for the listener and all connections
//! together, reads what has come, and turns bytes into tasks for the module's actor ([`connection`]); the others
//! hold this handle.

mod connection;
mod serve;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use asterdale_engine::counters::Counters;
use asterdale_engine::log::Log;
use asterdale_engine::mailbox::{self, MailboxSender};
use asterdale_engine::message::{EngineMessage, Frontends};
use crossbeam_channel::{Receiver, Sender};
use mio::Poll;

use crate::peer::{Outgoing, Peer, Writer};
use crate::start::Start;
#[cfg(feature = "tls")]
use crate::tls::Doorkeeper;

pub use serve::Loop;

/// So long an address that is in use is waited for: well inside the 10 s in which a restart is to be ready.
const ADDRESS_IN_USE: Duration = Duration::from_secs(6);
const ASKED_AGAIN: Duration = Duration::from_millis(20);

/// What the edge's thread is told.
pub enum Word {
    /// Connections that carry nothing are closed after so many milliseconds from now on.
    Idle(u64),
    /// Stop listening, after what the machine has accepted is taken.
    Close,
    /// Let every connection end once all that has come over it is answered.
    Hush,
    /// Another process takes what comes from now on, or this one again.
    Aside(bool),
    /// These bytes the writer could not write; what it has for this peer from now on comes here too.
    Owed(Arc<Peer>, Vec<u8>),
    /// This connection broke; the host knows.
    Broke(u64),
    /// Nobody holds this connection's peer any more.
    Free(u64),
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

/// An edge, as all hold it who tell it anything.
pub struct Edge {
    post: MailboxSender<Word>,
    /// Connections that are open.
    open: AtomicUsize,
    /// It was told to stop listening.
    closing: AtomicBool,
    /// It has stopped.
    closed: AtomicBool,
    host: Sender<EngineMessage>,
    began: Instant,
}

impl Frontends for Edge {
    fn close_idle(&self, after_ms: f64) {
        self.post.send(Word::Idle(after_ms.max(1.0) as u64));
    }

    /// A listener that was told to stop and has not looked yet counts as one: what the machine has accepted may
    /// still come of it.
    fn open_connections(&self) -> usize {
        let listens = self.closing.load(Ordering::SeqCst) && !self.closed.load(Ordering::SeqCst);
        self.open.load(Ordering::SeqCst) + usize::from(listens)
    }

    fn stop_listening(&self) {
        self.closing.store(true, Ordering::SeqCst);
        self.post.send(Word::Close);
    }

    fn set_paused(&self, aside: bool) {
        self.post.send(Word::Aside(aside));
    }

    fn end_answered_connections(&self) {
        self.post.send(Word::Hush);
    }
}

impl Edge {
    /// An edge at this door, and the loop that serves it once it runs.
    pub fn new(
        start: &Start,
        door: Door,
        host: Sender<EngineMessage>,
        writer: Sender<Outgoing>,
        counters: Arc<Counters>,
        log: Log,
        began: Instant,
    ) -> io::Result<(Arc<Edge>, Loop)> {
        let poll = Poll::new()?;
        let (post, letters) = mailbox::open(&poll, serve::LETTERS)?;
        let longest = start
            .settings
            .decisions
            .classes
            .iter()
            .map(|s| s.deadline_ms)
            .fold(1000.0, f64::max);
        let edge = Arc::new(Edge {
            post,
            open: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            host,
            began,
        });
        let shared = connection::Shared {
            facts: start.settings.clone(),
            asked_who: start.identity.is_some(),
            host: edge.host.clone(),
            counters,
            log,
            most_connections: most_connections(start, door.share),
            unread: 0,
            most_unread: start.memory_bytes / 8 / door.share,
            longest_ms: longest as u64,
            began,
        };
        // Many times as many as edge nodes keep where they come again.
        let most_quiet = (start.max_descriptors / 8 / door.share).max(16);
        let idle_ms = start.settings.decisions.idle_timeout_ms as u64;
        let around = serve::Around {
            edge: edge.clone(),
            writer,
            most_quiet,
            idle_ms,
        };
        Ok((edge, Loop::new(poll, letters, door, shared, around)))
    }

    /// The writer of all connections.
    pub fn writer(&self, answers: Receiver<Outgoing>, counters: Arc<Counters>) -> Writer {
        Writer {
            answers,
            host: self.host.clone(),
            counters,
            began: self.began,
        }
    }
}

/// Edge nodes open half of the descriptors at most. Of the rest some are for checks, 64 (fewer where there are few)
/// for calls, the runtime and the registry. A connection takes up to 64 KiB by itself, what the kernel keeps for it
/// included: half of the memory.
fn most_connections(start: &Start, share: usize) -> usize {
    (start.max_descriptors * 3 / 4)
        .min(start.max_descriptors.saturating_sub(64))
        .max(start.max_descriptors / 2)
        .min(start.memory_bytes / 2 / 65_536)
        .div_euclid(share)
        .max(1)
}

/// Listens at this address. A process that is still ending may hold it for a moment: it is waited for.
pub fn bind(at: SocketAddr, log: &Log) -> io::Result<TcpListener> {
    let until = Instant::now() + ADDRESS_IN_USE;
    let mut told = false;
    loop {
        match TcpListener::bind(at) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < until => {
                if !std::mem::replace(&mut told, true) {
                    slog::warn!(log.lines, "edge: the address is still in use"; "at" => %at);
                }
                thread::sleep(ASKED_AGAIN);
            }
            other => return other,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use asterdale_engine::message::Reply;
    use crossbeam_channel::{bounded, unbounded};
    use serde_json::json;
    use std::io::{Read, Write};
    use std::net::TcpStream;

    /// A check as an edge node sends it; its path is the one parameter.
    fn check(request: u8) -> Vec<u8> {
        let mut bytes = vec![
            1, 1, 0, request, 0, 8, 0, 0, 0, 1, 1, 0, 0, 0, 0, 0, 1, 4, 0, request, 0, 23, 0, 0,
        ];
        bytes.extend(b"\x0b\x08SCRIPT_NAME/healthz\0\0");
        bytes.extend([1, 4, 0, request, 0, 0, 0, 0, 1, 5, 0, request, 0, 0, 0, 0]);
        bytes
    }

    #[test]
    fn what_crosses_the_end_of_a_reading_is_answered_while_something_is_open() {
        let start = json!({"name": "n", "listen": "127.0.0.1:0", "runtime": "127.0.0.1:1", "registry":
            "127.0.0.1:1", "records": "127.0.0.1:1", "seed": "1", "stop_ms": 1, "limits": {"memory_mb": 32,
            "sockets": 64}, "settings": {"extra": {"cores": 1, "memoryKb": 1}, "lanes": [{"name": "page"}]}});
        let start = crate::start::parse(start.to_string().as_bytes(), None, None).unwrap();
        let ((host, mailbox), (writer, answers)) = (bounded(9), unbounded());
        let (log, _guard) = Log::to_stderr("n", false, slog::Level::Info);
        let door = Door {
            listen: start.listen,
            first: 0,
            share: 1,
            #[cfg(feature = "tls")]
            tls: None,
        };
        let (edge, serving) = Edge::new(
            &start,
            door,
            host,
            writer,
            Arc::default(),
            log,
            Instant::now(),
        )
        .unwrap();
        let writer = edge.writer(answers, Arc::default());
        thread::spawn(move || writer.serve());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        thread::spawn(move || serving.serve(listener));
        let mut far = TcpStream::connect(at).unwrap();
        far.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        let next = || {
            mailbox
                .recv_timeout(Duration::from_secs(30))
                .expect("a check")
        };
        far.write_all(&check(1)).unwrap();
        let EngineMessage::HealthCheck {
            client, request: 1, ..
        } = next()
        else {
            panic!()
        };
        edge.end_answered_connections();
        thread::sleep(Duration::from_millis(20));
        far.write_all(&check(2)).unwrap();
        let EngineMessage::HealthCheck { request: 2, .. } = next() else {
            panic!()
        };
        (1..=2).for_each(|request| client.clone().answer(request, Reply::Malformed));
        drop(client);
        let mut all = Vec::new();
        far.read_to_end(&mut all).unwrap();
        assert_eq!(
            all.windows(11)
                .filter(|part| part == b"Status: 400")
                .count(),
            2
        );
    }
}
