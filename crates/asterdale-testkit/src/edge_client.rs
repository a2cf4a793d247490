//! The client side of an edge node's connection, as the platform's protocol specifies it: opened when needed and again
//! after it has ended. A request that crosses a close on the wire is sent once more; a refused connection proves that
//! nothing ran.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::scripted::{request, EdgeConnection, Response};

/// If a connection ends without an answer this soon after a request was written, the backend may have closed it while
/// it was idle, so the request is sent once more.
const CROSSES: Duration = Duration::from_millis(50);
/// The longest wait for an answer; longer than the timeout of any request.
const PATIENCE: Duration = Duration::from_secs(30);

/// Paces the requests of one thread among several that together produce a given rate.
pub struct Pacer {
    every: Duration,
    next: Instant,
}

impl Pacer {
    /// The pacer of one thread out of `threads`, which together send `rate` requests per second.
    pub fn new(lane: u64, lanes: u64, rate: f64) -> Pacer {
        let every = Duration::from_secs_f64(lanes as f64 / rate);
        Pacer {
            every,
            next: Instant::now() + every.mul_f64(lane as f64 / lanes as f64),
        }
    }

    /// Waits until the next request is due. A thread that is late continues from the current time and does not catch up.
    pub fn wait(&mut self) {
        std::thread::sleep(self.next.saturating_duration_since(Instant::now()));
        self.next = (self.next + self.every).max(Instant::now());
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
    at: SocketAddr,
    edge: Option<EdgeConnection>,
    number: u16,
    patience: Duration,
}

impl EdgeClient {
    /// A client of the backend at this address; it connects with the first request.
    pub fn new(at: SocketAddr) -> EdgeClient {
        EdgeClient {
            at,
            edge: None,
            number: 0,
            patience: PATIENCE,
        }
    }

    /// Limits the wait for each answer to this duration.
    pub fn set_timeout(&mut self, patience: Duration) {
        self.patience = patience.min(PATIENCE);
        if let Some(edge) = &self.edge {
            let _ = edge.stream.set_read_timeout(Some(self.patience));
        }
    }

    fn connect(&self) -> io::Result<EdgeConnection> {
        let stream = TcpStream::connect_timeout(&self.at, Duration::from_secs(5))?;
        stream.set_read_timeout(Some(self.patience))?;
        stream.set_nodelay(true)?;
        Ok(EdgeConnection::new(stream))
    }

    /// Sends a request and waits for its answer.
    pub fn request(&mut self, path: &str, fields: &[(&str, &str)], body: &[u8]) -> RequestOutcome {
        for fresh in [false, true] {
            if fresh || self.edge.is_none() {
                match self.connect() {
                    Ok(edge) => self.edge = Some(edge),
                    Err(_) => return RequestOutcome::Refused,
                }
            }
            let Some(edge) = &mut self.edge else {
                return RequestOutcome::Lost;
            };
            self.number = self.number % 30_000 + 1;
            let began = Instant::now();
            let sent = edge.try_send(&request(self.number, path, fields, body));
            let got = sent.and_then(|()| edge.try_read_response());
            match got {
                Ok(Some(answer)) if answer.request == self.number => {
                    return RequestOutcome::Answered(answer)
                }
                Ok(None) | Err(_) if began.elapsed() < CROSSES && !fresh => self.close(),
                _ => {
                    self.close();
                    return RequestOutcome::Lost;
                }
            }
        }
        RequestOutcome::Lost
    }

    fn close(&mut self) {
        if let Some(edge) = self.edge.take() {
            let _ = edge.stream.shutdown(Shutdown::Both);
        }
    }
}
