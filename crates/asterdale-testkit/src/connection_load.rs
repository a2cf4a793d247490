//! Load over hundreds or thousands of edge nodes' connections, driven by one thread: a steady rate of requests over
//! persistent connections, or each request on a new connection that then stays open. Outcomes are counted only from
//! what is received on the connections.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use asterdale_fastcgi::{record_type, RecordReader};
use hdrhistogram::Histogram;
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};

use crate::proofs::histogram;
use crate::{scripted, unix_ms};

/// The configuration of the load.
#[derive(Clone)]
pub struct LoadConfig {
    /// The address at which the backend listens.
    pub address: SocketAddr,
    /// The number of connections held open.
    pub connections: usize,
    /// The number of edge nodes to which the connections belong.
    pub edge_nodes: usize,
    /// Requests per second over all connections.
    pub rate: f64,
    /// The duration of the load.
    pub duration: Duration,
    /// Whether each request is sent on a new connection, which stays open until the backend closes it.
    pub one_request_per_connection: bool,
    /// The request classes of the requests, in turn.
    pub request_classes: Vec<&'static str>,
    /// The timeout of a request in milliseconds.
    pub timeout_ms: u64,
    /// If a connection ends without an answer within this time after a request was sent, the request is taken to have
    /// crossed the close and is sent once more: 50 ms by the platform's protocol, longer if this process may notice the
    /// close late. If the backend had accepted it before, it runs twice, which the simulated runtime records.
    pub resend_window: Duration,
    /// Seed of the request ids; loads on the same backend must have different seeds.
    pub seed: u32,
}

/// Counts of the requests by outcome.
pub struct LoadStats {
    /// Requests sent.
    pub sent: u64,
    /// Number of answers by status.
    pub answers_by_status: BTreeMap<String, u64>,
    /// Requests whose connection ended without a complete answer, or that had none 1 s after their timeout.
    pub lost: u64,
    /// Answers to requests that were not outstanding.
    pub unexpected_answers: u64,
    /// Connections that were refused or could not be opened.
    pub failed_connects: u64,
    /// Connections that the backend closed.
    pub closed_connections: u64,
    /// Latency of the answers with status 200.
    pub latency: Histogram<u64>,
}

impl LoadStats {
    /// The number of answers with this status.
    pub fn count_with_status(&self, status: &str) -> u64 {
        self.answers_by_status.get(status).copied().unwrap_or(0)
    }

    /// The number of all answers.
    pub fn answer_count(&self) -> u64 {
        self.answers_by_status.values().sum()
    }
}

/// A request without an answer yet.
struct OutstandingRequest {
    bytes: Vec<u8>,
    sent: Instant,
    is_resend: bool,
}

struct Connection {
    stream: TcpStream,
    incoming: RecordReader,
    stdout: HashMap<u16, Vec<u8>>,
    open: HashMap<u16, OutstandingRequest>,
    next: u16,
}

/// The load while it runs.
pub struct ConnectionLoad {
    config: LoadConfig,
    poll: Poll,
    connections: HashMap<usize, Connection>,
    next_number: usize,
    next_turn: usize,
    /// The outcomes so far.
    pub stats: LoadStats,
}

impl ConnectionLoad {
    /// Prepares the load; nothing is connected yet.
    pub fn new(config: LoadConfig) -> io::Result<ConnectionLoad> {
        let stats = LoadStats {
            sent: 0,
            answers_by_status: BTreeMap::new(),
            lost: 0,
            unexpected_answers: 0,
            failed_connects: 0,
            closed_connections: 0,
            latency: histogram(),
        };
        Ok(ConnectionLoad {
            config,
            poll: Poll::new()?,
            connections: HashMap::new(),
            next_number: 0,
            next_turn: 0,
            stats,
        })
    }

    /// Opens a connection and returns its number.
    fn connect(&mut self) -> Option<usize> {
        let stream = TcpStream::connect_timeout(&self.config.address, Duration::from_secs(10));
        let result = stream.and_then(|stream| {
            stream.set_nodelay(true)?;
            stream.set_nonblocking(true)?;
            let fd = stream.as_raw_fd();
            let token = Token(self.next_number);
            self.poll
                .registry()
                .register(&mut SourceFd(&fd), token, Interest::READABLE)?;
            Ok(stream)
        });
        let Ok(stream) = result else {
            self.stats.failed_connects += 1;
            return None;
        };
        let connection = Connection {
            stream,
            incoming: RecordReader::default(),
            stdout: HashMap::new(),
            open: HashMap::new(),
            next: 0,
        };
        self.connections.insert(self.next_number, connection);
        self.next_number += 1;
        Some(self.next_number - 1)
    }

    /// Opens connections up to this number, or until a connect fails. A request is sent on each, because edge nodes
    /// connect only when they have a request.
    pub fn open_up_to(&mut self, connections: usize) {
        while self.connections.len() < connections {
            let Some(number) = self.connect() else { return };
            self.send_on(number);
            self.wait(Instant::now());
        }
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Sends the next request, on a new connection or on the next one in turn.
    fn send_next(&mut self) {
        if self.config.one_request_per_connection {
            let Some(number) = self.connect() else { return };
            return self.send_on(number);
        }
        self.open_up_to(self.config.connections);
        // Round robin in the order of the connections' numbers.
        let mut numbers: Vec<usize> = self.connections.keys().copied().collect();
        if numbers.is_empty() {
            return;
        }
        numbers.sort_unstable();
        self.next_turn += 1;
        self.send_on(numbers[self.next_turn % numbers.len()]);
    }

    fn send_on(&mut self, number: usize) {
        let n = self.stats.sent;
        self.stats.sent += 1;
        let id = format!("{:08x}{:08x}", self.config.seed, n as u32);
        let idempotency_key = format!("{:016x}{n:016x}", self.config.seed);
        let (start, edge_node) = (
            (unix_ms() as u64).to_string(),
            (number % self.config.edge_nodes).to_string(),
        );
        let timeout = self.config.timeout_ms.to_string();
        let request_class =
            self.config.request_classes[n as usize % self.config.request_classes.len()];
        let other = [
            ("HTTP_X_CALLER", edge_node.as_str()),
            ("HTTP_X_TIMEOUT_MS", &timeout),
            ("HTTP_X_COST_MS", "4"),
            ("HTTP_X_MEMORY_KB", "8"),
            ("HTTP_IDEMPOTENCY_KEY", &idempotency_key),
        ];
        let fields = scripted::task_fields(&id, &start, &other);
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.next = connection.next % 30_000 + 1;
        let bytes = scripted::request(
            connection.next,
            &format!("/v1/{request_class}"),
            &fields,
            b"ask",
        );
        self.send(number, bytes, false);
    }

    fn send(&mut self, number: usize, bytes: Vec<u8>, is_resend: bool) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let request = connection.next;
        // A request is far smaller than a socket's send buffer; if it does not fit, the backend does not read.
        let sent = connection.stream.write_all(&bytes);
        connection.open.insert(
            request,
            OutstandingRequest {
                bytes,
                sent: Instant::now(),
                is_resend,
            },
        );
        if sent.is_err() {
            self.connection_ended(number);
        }
    }

    /// Handles the end of a connection: its outstanding requests are sent once more if they may have crossed the close,
    /// and are counted as lost otherwise.
    fn connection_ended(&mut self, number: usize) {
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        let _ = self
            .poll
            .registry()
            .deregister(&mut SourceFd(&connection.stream.as_raw_fd()));
        drop(connection.stream);
        self.stats.closed_connections += 1;
        for (request, outstanding) in connection.open {
            let may_resend =
                outstanding.sent.elapsed() < self.config.resend_window && !outstanding.is_resend;
            match may_resend.then(|| self.connect()).flatten() {
                Some(number) => {
                    if let Some(connection) = self.connections.get_mut(&number) {
                        connection.next = request;
                    }
                    self.send(number, outstanding.bytes, true);
                }
                None => self.stats.lost += 1,
            }
        }
    }

    /// Reads and evaluates what this connection has received.
    fn read(&mut self, number: usize) {
        loop {
            let Some(connection) = self.connections.get_mut(&number) else {
                return;
            };
            match connection.stream.read(connection.incoming.free_space()) {
                Ok(0) => return self.connection_ended(number),
                Ok(count) => connection.incoming.commit(count),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return self.connection_ended(number),
            }
            loop {
                match connection.incoming.next_record() {
                    Ok(Some(record)) if record.record_type == record_type::STDOUT => {
                        connection
                            .stdout
                            .entry(record.request_id)
                            .or_default()
                            .extend_from_slice(record.content);
                    }
                    Ok(Some(record)) if record.record_type == record_type::END_REQUEST => {
                        let head = connection
                            .stdout
                            .remove(&record.request_id)
                            .unwrap_or_default();
                        let Some(outstanding) = connection.open.remove(&record.request_id) else {
                            self.stats.unexpected_answers += 1;
                            continue;
                        };
                        let head = String::from_utf8_lossy(&head);
                        let status = head.lines().find_map(|line| line.strip_prefix("Status: "));
                        let status = status.unwrap_or("none").to_owned();
                        if status == "200" {
                            let _ = self
                                .stats
                                .latency
                                .record((outstanding.sent.elapsed().as_micros() as u64).max(1));
                        }
                        *self.stats.answers_by_status.entry(status).or_default() += 1;
                    }
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => return self.connection_ended(number),
                }
            }
        }
    }

    fn wait(&mut self, until: Instant) {
        let mut events = Events::with_capacity(1024);
        let remaining = until.saturating_duration_since(Instant::now());
        let _ = self.poll.poll(&mut events, Some(remaining));
        let numbers: Vec<usize> = events.iter().map(|event| event.token().0).collect();
        numbers.into_iter().for_each(|number| self.read(number));
    }

    /// Runs the load. `inspect` is called about once per `interval`, and stops the load by returning `false`.
    pub fn run(&mut self, interval: Duration, mut inspect: impl FnMut(&LoadStats) -> bool) {
        let request_interval = Duration::from_secs_f64(1.0 / self.config.rate);
        if !self.config.one_request_per_connection {
            self.open_up_to(self.config.connections);
        }
        let now = Instant::now();
        let (mut next, mut next_inspection) = (now, now + interval);
        let end = now + self.config.duration;
        while next < end {
            while Instant::now() < next {
                self.wait(next);
            }
            self.send_next();
            next += request_interval;
            if Instant::now() >= next_inspection {
                next_inspection += interval;
                if !inspect(&self.stats) {
                    break;
                }
            }
        }
        // Outstanding requests may still be answered until 1 s after their timeout.
        let deadline = Instant::now() + Duration::from_millis(self.config.timeout_ms + 1000);
        while self
            .connections
            .values()
            .any(|connection| !connection.open.is_empty())
            && Instant::now() < deadline
        {
            self.wait(deadline.min(Instant::now() + Duration::from_millis(100)));
        }
        self.stats.lost += self
            .connections
            .values()
            .map(|connection| connection.open.len() as u64)
            .sum::<u64>();
    }
}
