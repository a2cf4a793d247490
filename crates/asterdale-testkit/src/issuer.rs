//! A stand-in issuer: serves signed key sets over HTTP with entity tags, and can be slow, unavailable or rolled back,
//! or serve malformed or forged sets. It records when it delivered which set completely, for the oracle of a proof.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::services;
use crate::unix_ms;

/// How the issuer answers requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Serves the last published set.
    Good,
    /// Delays each reply by this many milliseconds.
    Slow(u64),
    /// Closes connections without a reply.
    Down,
    /// Serves the first published set.
    RolledBack,
    /// Serves a truncated body that is not a key set.
    Malformed,
    /// Serves a set that is signed with another root key.
    Forged,
}

#[derive(Default)]
struct State {
    behavior: Option<Behavior>,
    /// All published sets with their sequence numbers, in the order of publication.
    sets: Vec<(u64, String)>,
    forged: String,
    deliveries: Vec<(f64, u64)>,
    requests: u64,
    not_modified: u64,
}

/// The stand-in issuer.
#[derive(Clone)]
pub struct Issuer {
    /// The address at which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Issuer {
    /// Starts an issuer that has no key set yet.
    pub fn start() -> std::io::Result<Issuer> {
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = state.clone();
        let address = services::serve(move |stream| answer(&stream, &shared))?;
        Ok(Issuer { address, state })
    }

    /// Publishes a set, which is served from now on.
    pub fn publish(&self, seq: u64, set: String) {
        if let Ok(mut state) = self.state.lock() {
            state.sets.push((seq, set));
        }
    }

    /// Sets the body that is served with [`Behavior::Forged`].
    pub fn set_forged_key_set(&self, set: String) {
        if let Ok(mut state) = self.state.lock() {
            state.forged = set;
        }
    }

    /// Changes how requests are answered from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        if let Ok(mut state) = self.state.lock() {
            state.behavior = Some(behavior);
        }
    }

    /// The complete deliveries of a current set: the Unix time in milliseconds after its last byte was written, and its
    /// sequence number.
    pub fn deliveries(&self) -> Vec<(f64, u64)> {
        self.state
            .lock()
            .map(|state| state.deliveries.clone())
            .unwrap_or_default()
    }

    /// The number of requests, and how many of them were answered with status 304.
    pub fn request_counts(&self) -> (u64, u64) {
        self.state
            .lock()
            .map_or((0, 0), |state| (state.requests, state.not_modified))
    }
}

fn answer(stream: &TcpStream, state: &Mutex<State>) {
    let mut reader = BufReader::new(stream);
    let Some((head, _)) = services::read_request(&mut reader) else {
        return;
    };
    let (behavior, last, first, forged) = {
        let Ok(mut state) = state.lock() else { return };
        state.requests += 1;
        let behavior = state.behavior.unwrap_or(Behavior::Good);
        (
            behavior,
            state.sets.last().cloned(),
            state.sets.first().cloned(),
            state.forged.clone(),
        )
    };
    let (Some(last), Some(first)) = (last, first) else {
        return;
    };
    let mut out = stream;
    let send = |mut out: &TcpStream, tag: &str, body: &str| {
        let length = body.len();
        out.write_all(
            format!("HTTP/1.1 200 OK\r\nETag: \"{tag}\"\r\nContent-Length: {length}\r\n\r\n{body}")
                .as_bytes(),
        )
        .is_ok()
    };
    match behavior {
        Behavior::Down => {}
        Behavior::Malformed => {
            drop(out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"keys\":1"))
        }
        Behavior::RolledBack => drop(send(stream, "old", &first.1)),
        Behavior::Forged => drop(send(stream, "forged", &forged)),
        Behavior::Good | Behavior::Slow(_) => {
            if let Behavior::Slow(ms) = behavior {
                thread::sleep(Duration::from_millis(ms));
            }
            let known = format!("If-None-Match: \"{}\"", last.0);
            if head.lines().any(|line| line == known) {
                let _ = out.write_all(b"HTTP/1.1 304 Not Modified\r\nContent-Length: 0\r\n\r\n");
                if let Ok(mut state) = state.lock() {
                    state.not_modified += 1;
                }
            } else if send(stream, &last.0.to_string(), &last.1) {
                if let Ok(mut state) = state.lock() {
                    state.deliveries.push((unix_ms(), last.0));
                }
            }
        }
    }
}
