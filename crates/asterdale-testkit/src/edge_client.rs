//! The client side of an edge node's connection, as the platform's protocol specifies it: opened when needed and again
//! after it has ended. A request that crosses a close on the wire is sent once more; a refused connection proves that
//! nothing ran.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::scripted::{request, EdgeConnection, Response};

/// If a connection ends without an answer this soon after a request was written, the backend may have closed it while
/// it was idle, so the request is sent once more.
const RESEND_WINDOW: Duration = Duration::from_millis(50);
/// The longest wait for an answer; longer than the timeout of any request.
const MAX_TIMEOUT: Duration = Duration::from_secs(30);

/// Paces the requests of one thread among several that together produce a given rate.
pub struct Pacer {
    interval: Duration,
    next: Instant,
}

impl Pacer {
    /// The pacer of one thread out of `threads`, which together send `rate` requests per second.
    pub fn new(thread: u64, threads: u64, rate: f64) -> Pacer {
        let interval = Duration::from_secs_f64(threads as f64 / rate);
        Pacer {
            interval,
            next: Instant::now() + interval.mul_f64(thread as f64 / threads as f64),
        }
    }

    /// Waits until the next request is due. A thread that is late continues from the current time and does not catch
    /// up.
    pub fn wait(&mut self) {
        std::thread::sleep(self.next.saturating_duration_since(Instant::now()));
        self.next = (self.next + self.interval).max(Instant::now());
    }
}

/// The outcome of one attempt.
#[derive(Debug)]
pub enum RequestOutcome {
    /// A complete answer was received.
    Answered(Response),
    /// The connection was refused: nothing ran.
    Refused,
    /// The connection ended without a complete answer, or none arrived within the timeout.
    Lost,
}

/// A client with one connection and one outstanding request at a time.
pub struct EdgeClient {
    address: SocketAddr,
    connection: Option<EdgeConnection>,
    request_id: u16,
    timeout: Duration,
}

impl EdgeClient {
    /// A client of the backend at this address; it connects with the first request.
    pub fn new(address: SocketAddr) -> EdgeClient {
        EdgeClient {
            address,
            connection: None,
            request_id: 0,
            timeout: MAX_TIMEOUT,
        }
    }

    /// Limits the wait for each answer to this duration.
    pub fn set_timeout(&mut self, timeout: Duration) {
        self.timeout = timeout.min(MAX_TIMEOUT);
        if let Some(connection) = &self.connection {
            let _ = connection.stream.set_read_timeout(Some(self.timeout));
        }
    }

    fn connect(&self) -> io::Result<EdgeConnection> {
        let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(5))?;
        stream.set_read_timeout(Some(self.timeout))?;
        stream.set_nodelay(true)?;
        Ok(EdgeConnection::new(stream))
    }

    /// Sends a request and waits for its answer.
    pub fn request(&mut self, path: &str, fields: &[(&str, &str)], body: &[u8]) -> RequestOutcome {
        for is_resend in [false, true] {
            if is_resend || self.connection.is_none() {
                match self.connect() {
                    Ok(connection) => self.connection = Some(connection),
                    Err(_) => return RequestOutcome::Refused,
                }
            }
            let Some(connection) = &mut self.connection else {
                return RequestOutcome::Lost;
            };
            self.request_id = self.request_id % 30_000 + 1;
            let sent_at = Instant::now();
            let sent = connection.try_send(&request(self.request_id, path, fields, body));
            let result = sent.and_then(|()| connection.try_read_response());
            match result {
                Ok(Some(answer)) if answer.request == self.request_id => {
                    return RequestOutcome::Answered(answer)
                }
                Ok(None) | Err(_) if sent_at.elapsed() < RESEND_WINDOW && !is_resend => {
                    self.close()
                }
                _ => {
                    self.close();
                    return RequestOutcome::Lost;
                }
            }
        }
        RequestOutcome::Lost
    }

    fn close(&mut self) {
        if let Some(connection) = self.connection.take() {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }
}
