//! Stand-ins for the records service and the registry that read a request and answer it with success.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest head and the longest body that a stand-in reads, so that a broken peer can't make it buffer without
/// bound.
const MAX_BYTES: u64 = 64 * 1024;

/// Reads one HTTP request and returns its head and its body; `None` if it is malformed, too long or incomplete.
pub fn read_request(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    let mut limited = reader.take(MAX_BYTES);
    while !head.ends_with("\r\n\r\n") {
        if limited.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "));
    let length: u64 = length
        .map_or(Some(0), |length| length.parse().ok())
        .filter(|&n| n <= MAX_BYTES)?;
    let mut body = Vec::new();
    reader.take(length).read_to_end(&mut body).ok()?;
    (body.len() as u64 == length).then_some((head, body))
}

/// Listens on a loopback port and serves each connection on a thread of its own. Returns the address.
pub fn serve(handler: impl Fn(TcpStream) + Send + Sync + 'static) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    let handler = std::sync::Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handler = handler.clone();
            let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
            thread::spawn(move || handler(stream));
        }
    });
    Ok(at)
}

fn reply_always(reply: &'static [u8]) -> std::io::Result<SocketAddr> {
    serve(move |stream| {
        let mut reader = BufReader::new(&stream);
        if read_request(&mut reader).is_some() {
            let _ = (&stream).write_all(reply);
        }
    })
}

/// A records service that answers every call with success.
pub fn records() -> std::io::Result<SocketAddr> {
    reply_always(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
}

/// What a records service has recorded for an idempotency key.
#[derive(Clone, Debug, Default)]
pub struct Effect {
    /// How often the effect was executed.
    pub executions: u32,
    /// The highest fence among the calls with this key.
    pub highest_fence: u64,
    /// The reply to the last executed call.
    reply: Vec<u8>,
}

/// A records service that deduplicates fenced calls by the key that they carry as their body: it executes the effect
/// of a key once, repeats the reply for later calls, and rejects a call with a fence below the highest one seen for
/// the key. A call without a fence is executed every time.
#[derive(Clone, Default)]
pub struct IdempotentRecords {
    /// By the call's body.
    effects: Arc<Mutex<HashMap<Vec<u8>, Effect>>>,
    /// Calls that were rejected for a stale fence: the time, and the id of the run that made the call.
    stale_fence_rejections: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl IdempotentRecords {
    /// The recorded effects by key.
    pub fn effects(&self) -> HashMap<Vec<u8>, Effect> {
        self.effects
            .lock()
            .map(|effects| effects.clone())
            .unwrap_or_default()
    }

    /// Calls that were rejected for a stale fence: the time, and the id of the run that made the call.
    pub fn stale_fence_rejections(&self) -> Vec<(Instant, String)> {
        self.stale_fence_rejections
            .lock()
            .map(|stale_fence_rejections| stale_fence_rejections.clone())
            .unwrap_or_default()
    }

    fn call(&self, head: &str, body: &[u8]) -> Option<Vec<u8>> {
        let field = |name: &str| {
            head.lines()
                .find_map(|line| line.strip_prefix(name))
                .map(str::trim)
        };
        let fence: Option<u64> = field("Op-Fence: ").and_then(|fence| fence.parse().ok());
        let mut effects = self.effects.lock().ok()?;
        let effect = effects.entry(body.to_vec()).or_default();
        if let Some(fence) = fence {
            if fence < effect.highest_fence {
                let id = field("Op-Of: ").unwrap_or_default().to_owned();
                self.stale_fence_rejections
                    .lock()
                    .ok()?
                    .push((Instant::now(), id));
                return None;
            }
            effect.highest_fence = fence;
        }
        if effect.executions == 0 || fence.is_none() {
            effect.executions += 1;
            effect.reply = format!(
                "effect {} of {}",
                effect.executions,
                String::from_utf8_lossy(body)
            )
            .into_bytes();
        }
        Some(effect.reply.clone())
    }

    /// Serves calls on a loopback port; replies are delayed by up to this many milliseconds, depending on the body.
    pub fn serve(&self, max_delay_ms: u64) -> std::io::Result<SocketAddr> {
        let records = self.clone();
        serve(move |stream| {
            let mut reader = BufReader::new(&stream);
            let Some((head, body)) = read_request(&mut reader) else {
                return;
            };
            let reply = match records.call(&head, &body) {
                Some(reply) => {
                    let spread = body.iter().fold(0u64, |sum, byte| {
                        sum.wrapping_mul(31).wrapping_add((*byte).into())
                    });
                    thread::sleep(Duration::from_millis(spread % (max_delay_ms + 1)));
                    let head =
                        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", reply.len());
                    [head.as_bytes(), &reply].concat()
                }
                None => b"HTTP/1.1 409 Conflict\r\nOp-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n"
                    .to_vec(),
            };
            let _ = (&stream).write_all(&reply);
        })
    }
}

/// A registry that accepts every report.
pub fn registry() -> std::io::Result<SocketAddr> {
    reply_always(b"HTTP/1.1 204 No Content\r\n\r\n")
}
