//! An edge node's connection, as the platform's protocol has it: opened when needed, made again when it ends; a
//! request that crosses a close is sent once more; a refused connection proves that nothing ran.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::scripted::{request, EdgeConnection, Response};

/// A connection that ends this soon after a request was written to it, without an answer, may have been closed
/// while nothing was open: the request goes out once more.
const CROSSES: Duration = Duration::from_millis(50);
/// Longer than any caller waits for a whole answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// The moments at which one lane of many brings its tasks.
pub struct Pacer {
    every: Duration,
    next: Instant,
}

impl Pacer {
    /// Of this lane, where so many together bring so many tasks a second.
    pub fn new(lane: u64, lanes: u64, rate: f64) -> Pacer {
        let every = Duration::from_secs_f64(lanes as f64 / rate);
        Pacer {
            every,
            next: Instant::now() + every.mul_f64(lane as f64 / lanes as f64),
        }
    }

    /// Waits for the next one. A lane that is late goes on from now: it makes up for nothing.
    pub fn wait(&mut self) {
        std::thread::sleep(self.next.saturating_duration_since(Instant::now()));
        self.next = (self.next + self.every).max(Instant::now());
    }
}

/// How a try ended.
#[derive(Debug)]
pub enum RequestOutcome {
    /// With a whole answer.
    Answered(Response),
    /// The connection was refused: nothing ran.
    Refused,
    /// The connection ended without a whole answer, or none came in all the time there is.
    Lost,
}

/// One connection, with one request open at a time.
pub struct EdgeClient {
    at: SocketAddr,
    edge: Option<EdgeConnection>,
    number: u16,
    patience: Duration,
}

impl EdgeClient {
    /// Nothing is connected before the first request.
    pub fn new(at: SocketAddr) -> EdgeClient {
        EdgeClient {
            at,
            edge: None,
            number: 0,
            patience: PATIENCE,
        }
    }

    /// Waits no longer than this for an answer.
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

    /// Sends a request and waits for its end.
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
