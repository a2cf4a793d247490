//! The issuer's actor: fetches the key set over HTTP and passes it to the engine. When to fetch is decided by
//! [`RefreshSchedule`]; whether a set is accepted, by the keyring.

use std::io::{self, IoSlice};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_identity::refresh::RefreshSchedule;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};

use crate::counters::Counters;
use crate::http;
use crate::log::{Log, LogLimit};
use crate::message::EngineMessage;
use crate::vectored_write;

pub use crate::message::{KeyRefresh, KeySource};

/// The timeout of a fetch. Until a fetch succeeds, the last set stays in use.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest wait for a command, in milliseconds, so that it fits a `Duration` whatever the interval.
const MAX_WAIT_MS: f64 = 3.6e6;

/// A key set, and its entity tag for the next conditional request.
struct FetchedSet {
    set: Vec<u8>,
    tag: Option<Vec<u8>>,
}

/// The engine has ended, and so this actor ends as well.
struct EngineEnded;

struct Fetcher<'a> {
    source: KeySource,
    seed: u64,
    start: Instant,
    refresh: RefreshSchedule,
    tag: Option<Vec<u8>>,
    /// Whether the last fetch succeeded.
    is_available: bool,
    engine: &'a Sender<EngineMessage>,
    counters: &'a Counters,
    log: &'a Log,
}

/// Fetches key sets until all senders of commands are dropped or the engine has ended. The seed spreads the fetches of
/// many processes over time.
pub fn fetch(
    source: KeySource,
    seed: u64,
    commands: &Receiver<KeyRefresh>,
    engine: &Sender<EngineMessage>,
    counters: &Arc<Counters>,
    log: &Log,
) {
    let start = Instant::now();
    let mut fetcher = Fetcher {
        refresh: RefreshSchedule::new(elapsed_ms(start), source.interval_ms, seed),
        source,
        seed,
        start,
        tag: None,
        is_available: true,
        engine,
        counters,
        log,
    };
    loop {
        let wait_ms = (fetcher.refresh.next_request_ms() - fetcher.now()).clamp(0.0, MAX_WAIT_MS);
        match commands.recv_timeout(Duration::from_micros((wait_ms * 1000.0) as u64)) {
            Ok(KeyRefresh::Requested) => fetcher.refresh.request_early(),
            Ok(KeyRefresh::SetSource(source)) => fetcher.set_source(source),
            Err(RecvTimeoutError::Timeout) => {
                if fetcher.fetch_once().is_err() {
                    return;
                }
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn elapsed_ms(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1000.0
}

impl Fetcher<'_> {
    fn now(&self) -> f64 {
        elapsed_ms(self.start)
    }

    fn set_source(&mut self, source: KeySource) {
        if source != self.source {
            self.refresh = RefreshSchedule::new(self.now(), source.interval_ms, self.seed);
            self.tag = None;
            self.source = source;
        }
    }

    fn fetch_once(&mut self) -> Result<(), EngineEnded> {
        static FAILED: LogLimit = LogLimit::new();
        static AVAILABLE: LogLimit = LogLimit::new();
        self.refresh.on_request(self.now());
        let fetched = get(&self.source, self.tag.as_deref());
        self.refresh.on_response(self.now(), fetched.is_ok());
        let fetched = match fetched {
            Ok(fetched) => fetched,
            Err(e) => {
                self.counters.issuer_failed.add();
                if std::mem::replace(&mut self.is_available, false) && self.log.allows(&FAILED) {
                    slog::warn!(self.log.lines, "issuer: key set fetch failed, the last set stays in use";
                        "error" => %e);
                }
                return Ok(());
            }
        };
        if !std::mem::replace(&mut self.is_available, true) && self.log.allows(&AVAILABLE) {
            slog::info!(self.log.lines, "issuer: key set fetched again");
        }
        let Some(FetchedSet { set, tag }) = fetched else {
            return Ok(());
        };
        self.tag = tag;
        self.engine
            .send(EngineMessage::KeySet(set))
            .map_err(|_| EngineEnded)
    }
}

/// Makes one conditional request on a new connection. Returns the set; `None` if it has not changed.
fn get(source: &KeySource, tag: Option<&[u8]>) -> io::Result<Option<FetchedSet>> {
    let deadline = Instant::now() + FETCH_TIMEOUT;
    let stream = TcpStream::connect_timeout(&source.address, FETCH_TIMEOUT)?;
    stream.set_write_timeout(Some(FETCH_TIMEOUT))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "GET {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n",
        source.path, source.address
    );
    let slices = match tag {
        Some(tag) => [head.as_bytes(), b"If-None-Match: ", tag, b"\r\n\r\n"],
        None => [head.as_bytes(), b"\r\n", b"", b""],
    };
    vectored_write::write(&stream, &mut slices.map(IoSlice::new)).map_err(|(_, error)| error)?;
    let response = http::read_response(&stream, deadline)?;
    match response.status {
        200 => Ok(Some(FetchedSet {
            set: response.body,
            tag: response.tag,
        })),
        304 if tag.is_some() => Ok(None),
        other => Err(io::Error::other(format!("status {other}"))),
    }
}
