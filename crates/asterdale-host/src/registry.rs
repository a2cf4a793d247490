//! The list's actor: reports to the registry that this backend is there, or leaving.

use std::io::{self, IoSlice};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};

use crate::counters::Counters;
use crate::gather;
use crate::http;
use crate::log::{Kind, Log};
use crate::mail::Word;

/// The list forgets a backend 3 s after its last report: one of three may be lost.
const EVERY: Duration = Duration::from_millis(900);
/// A report that failed is soon made again, for a registry that has just come back.
const AGAIN: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_millis(500);

/// Reports until the mailbox closes.
pub fn report(mut at: SocketAddr, name: &str, mailbox: &Receiver<Word>, counters: &Arc<Counters>, log: &Log) {
    static FAILED: Kind = Kind::new();
    static AGAIN_WELL: Kind = Kind::new();
    let mut state = "ready";
    let mut well = true;
    loop {
        let body = format!("{{\"state\":\"{state}\"}}");
        let head = format!(
            "PUT /v1/instances/{name} HTTP/1.1\r\nHost: {at}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        let wait = match call(at, head.as_bytes(), body.as_bytes()) {
            Ok(()) => {
                counters.reports.add();
                if !well && log.may(&AGAIN_WELL) {
                    slog::info!(log.lines, "registry: reports count again");
                }
                well = true;
                EVERY
            }
            Err(e) => {
                counters.reports_failed.add();
                if well && log.may(&FAILED) {
                    slog::warn!(log.lines, "registry: a report failed"; "why" => %e);
                }
                well = false;
                AGAIN
            }
        };
        // Whatever is told is reported at once.
        match mailbox.recv_timeout(wait) {
            Ok(Word::Leave) => state = "draining",
            Ok(Word::Move(to)) => at = to,
            Ok(Word::Quiet(true)) => loop {
                match mailbox.recv() {
                    Ok(Word::Quiet(false)) => break,
                    Ok(Word::Leave) => state = "draining",
                    Ok(Word::Move(to)) => at = to,
                    Ok(Word::Quiet(true)) => {}
                    Err(_) => return,
                }
            },
            Ok(Word::Quiet(false)) => {}
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn call(at: SocketAddr, head: &[u8], body: &[u8]) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&at, PATIENCE)?;
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.set_nodelay(true)?;
    gather::write(&stream, &mut [IoSlice::new(head), IoSlice::new(body)]).map_err(|(_, e)| e)?;
    match http::reply(&stream, Instant::now() + PATIENCE)?.status {
        204 => Ok(()),
        other => Err(io::Error::other(format!("status {other}"))),
    }
}
