//! The issuer's actor: fetches the set of keys over HTTP, on a connection a time, and hands it to the host. When
//! to ask is decided by [`Refresh`]; whether a set counts, by the keyring.

use std::io::{self, IoSlice};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_identity::refresh::Refresh;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};

use crate::counters::Counters;
use crate::http;
use crate::log::{Kind, Log};
use crate::message::EngineMessage;
use crate::vectored_write;

/// No issuer is waited for longer: the last set serves meanwhile.
const PATIENCE: Duration = Duration::from_secs(2);

pub use crate::message::{KeyRefresh, KeySource};

/// Fetches until the mailbox closes.
pub fn fetch(
    mut place: KeySource,
    seed: u64,
    nudges: &Receiver<KeyRefresh>,
    host: &Sender<EngineMessage>,
    counters: &Arc<Counters>,
    log: &Log,
) {
    static FAILED: Kind = Kind::new();
    static AGAIN_WELL: Kind = Kind::new();
    let began = Instant::now();
    let now = || began.elapsed().as_secs_f64() * 1000.0;
    let mut refresh = Refresh::new(now(), place.interval_ms, seed);
    let (mut tag, mut well) = (None, true);
    loop {
        let wait = (refresh.next_at() - now()).clamp(0.0, 3.6e6);
        match nudges.recv_timeout(Duration::from_micros((wait * 1000.0) as u64)) {
            Ok(KeyRefresh::Requested) => {
                refresh.wanted();
                continue;
            }
            Ok(KeyRefresh::SetSource(to)) => {
                if to != place {
                    (refresh, tag) = (Refresh::new(now(), to.interval_ms, seed), None);
                    place = to;
                }
                continue;
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        refresh.asked(now());
        let got = get(&place, tag.as_deref());
        refresh.turned_out(now(), got.is_ok());
        match got {
            Ok(got) => {
                if !std::mem::replace(&mut well, true) && log.allows(&AGAIN_WELL) {
                    slog::info!(log.lines, "issuer: gives sets again");
                }
                let Some((set, its_tag)) = got else { continue };
                tag = its_tag;
                if host.send(EngineMessage::KeySet(set)).is_err() {
                    return;
                }
            }
            Err(e) => {
                counters.issuer_failed.add();
                if std::mem::replace(&mut well, false) && log.allows(&FAILED) {
                    slog::warn!(log.lines, "issuer: no set, the last one serves"; "why" => %e);
                }
            }
        }
    }
}

type Fetched = (Vec<u8>, Option<Vec<u8>>);

/// One conditional request: the set and its tag, or nothing where it has not changed.
fn get(place: &KeySource, tag: Option<&[u8]>) -> io::Result<Option<Fetched>> {
    let end = Instant::now() + PATIENCE;
    let stream = TcpStream::connect_timeout(&place.address, PATIENCE)?;
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "GET {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n",
        place.path, place.address
    );
    let pieces = match tag {
        Some(tag) => [head.as_bytes(), b"If-None-Match: ", tag, b"\r\n\r\n"],
        None => [head.as_bytes(), b"\r\n", b"", b""],
    };
    vectored_write::write(&stream, &mut pieces.map(IoSlice::new)).map_err(|(_, e)| e)?;
    let reply = http::reply(&stream, end)?;
    match reply.status {
        200 => Ok(Some((reply.body, reply.tag))),
        304 if tag.is_some() => Ok(None),
        other => Err(io::Error::other(format!("status {other}"))),
    }
}
