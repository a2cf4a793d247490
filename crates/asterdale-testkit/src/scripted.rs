//! A backend under test with stand-ins for the services it is connected to. A test controls each step of the
//! stand-ins. Every wait is for an observed event and panics after `WAIT_TIMEOUT`. Only tests use this module; items
//! whose name is enough have no doc comment.
#![allow(missing_docs)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use asterdale_fastcgi::{record_type, RecordReader};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

/// The longest wait for an event, far longer than any event takes on a slow machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls until the condition is true; `what` names it in the panic after `WAIT_TIMEOUT`.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// An address at which nothing listens. Its loopback IP address is used once only, so no other listener takes the port.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (n, process) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    SocketAddr::from((
        [
            127,
            64 + (process % 128) as u8,
            (process / 128 % 256) as u8,
            n as u8,
        ],
        8080,
    ))
}

/// The content of a valid start file with these addresses.
pub fn start_file_json(
    listen: SocketAddr,
    runtime: SocketAddr,
    records: SocketAddr,
    registry: SocketAddr,
) -> Value {
    json!({"name": "n1", "listen": listen, "runtime": runtime, "registry": registry, "records": records,
        "seed": "8c1f30d27a5be964", "stop_ms": 4000,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "extra": {"below": "shared", "blowup": 16.0, "callsOut": 10.0, "classCalls": [true, true],
                "cores": 2, "depWindowNs": 5_000_000_000u64, "entryKb": 10.0, "halt": "silent",
                "idleNs": 30_000_000_000u64, "lingersNs": 1_000_000, "memoryKb": 90_000.0,
                "ownStats": ["core_use", "on_cores", "heap_share", "links"], "passesDeadline": true,
                "say": "silent", "upstreams": 2, "worthWithout": [0.6, 0.0]},
            "guarantees": {"coldNs": 1_000_000_000, "drainGraceNs": 0, "overloadFactor": 5.0,
                "startCapacity": 0.3},
            "lanes": [
                {"name": "page", "deadlineNs": 20_000_000_000u64, "objectiveNs": 15_000_000_000u64,
                    "repeat": "repeatable", "worth": 1.0, "lateShare": 0.2},
                {"name": "bid", "deadlineNs": 20_000_000_000u64, "objectiveNs": 15_000_000_000u64,
                    "repeat": "by_key", "worth": 3.0, "memorySpanNs": 60_000_000_000u64}],
            "limits": {"maxRetryAfterNs": 1_000_000_000, "retryAfter": true},
            "overShareWorth": 0.1, "servers": 2, "tickNs": 5_000_000, "worthBy": "work"}})
}

/// A running backend with its stand-ins.
pub struct Backend {
    child: Child,
    listen: SocketAddr,
    pub runtime: Runtime,
    pub records: Records,
    /// The bodies of the reports that the registry received.
    pub reports: Receiver<String>,
    log: Arc<Mutex<String>>,
    start_file: PathBuf,
    config: Value,
}

/// Starts the daemon with this start file; returns the process and the path of the file.
pub fn launch(config: &Value) -> (Child, PathBuf) {
    let name = format!(
        "asterdale-test-{}-{:?}",
        std::process::id(),
        thread::current().id()
    );
    let start_file = std::env::temp_dir().join(name);
    std::fs::write(&start_file, config.to_string()).unwrap();
    let child = Command::new(crate::process::program())
        .env_remove("ROUTER_NAME")
        .env_remove("ROUTER_LISTEN")
        .env("ROUTER_CONFIG", &start_file)
        // A process that outlives the test run must not keep its standard output open.
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    (child, start_file)
}

impl Backend {
    /// Starts a backend and waits until its runtime is ready.
    pub fn start() -> Backend {
        let backend = Backend::start_before_runtime(|_| ());
        backend.runtime.set_ready();
        wait_until("the runtime link", || {
            backend.runtime.shared.lock().unwrap().is_ready
        });
        backend
    }

    /// Starts a backend whose runtime accepts the link and is not ready yet; `change` may edit the start file.
    pub fn start_before_runtime(change: impl FnOnce(&mut Value)) -> Backend {
        let listen = unused_address();
        let (runtime, records) = (Runtime::new(), Records::new());
        let (reports, registry) = registry();
        let mut config = start_file_json(listen, runtime.address, records.address, registry);
        change(&mut config);
        let (child, start_file) = launch(&config);
        let log = Arc::default();
        let mut backend = Backend {
            child,
            listen,
            runtime,
            records,
            reports,
            log,
            start_file,
            config,
        };
        backend.collect_log();
        backend
    }

    fn collect_log(&mut self) {
        let (stderr, lines) = (self.child.stderr.take().unwrap(), self.log.clone());
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let mut log = lines.lock().unwrap();
                log.push_str(&line);
                log.push('\n');
            }
        });
    }

    /// Kills the backend and starts it again with the same stand-ins and start file.
    pub fn kill_and_restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.runtime.shared.lock().unwrap().is_ready = false;
        (self.child, self.start_file) = launch(&self.config);
        self.collect_log();
        wait_until("the runtime link", || {
            self.runtime.shared.lock().unwrap().is_ready
        });
    }

    /// Opens a connection as an edge node does.
    pub fn connect(&self) -> EdgeConnection {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Ok(stream) = TcpStream::connect(self.listen) {
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                return EdgeConnection::new(stream);
            }
            assert!(
                Instant::now() < end,
                "the backend does not listen; its log: {}",
                self.log()
            );
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// The path of its start file, which processes started by a hot restart read as well.
    pub fn start_file(&self) -> &std::path::Path {
        &self.start_file
    }

    /// The process id.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Replaces the start file by this text and sends SIGHUP to reload it.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.start_file, text).unwrap();
        self.signal("-HUP");
    }

    /// Edits the start file in memory and returns its text; later edits include this one.
    pub fn edit_start_file(&mut self, change: impl FnOnce(&mut Value)) -> String {
        change(&mut self.config);
        self.config.to_string()
    }

    /// Reloads the backend with new addresses of runtime, records service and registry. The new runtime continues the
    /// notices of the old one. Returns the old stand-ins.
    pub fn move_services(&mut self) -> (Runtime, Records, Receiver<String>) {
        let (runtime, records, (reports, registry)) = (Runtime::new(), Records::new(), registry());
        for (field, address) in [
            ("runtime", runtime.address),
            ("records", records.address),
            ("registry", registry),
        ] {
            self.config[field] = json!(address);
        }
        {
            let mut shared = runtime.shared.lock().unwrap();
            (shared.is_up, shared.notices) =
                (true, self.runtime.shared.lock().unwrap().notices.clone());
        }
        self.reload(&self.config.to_string());
        (
            std::mem::replace(&mut self.runtime, runtime),
            std::mem::replace(&mut self.records, records),
            std::mem::replace(&mut self.reports, reports),
        )
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill {name} {}", self.child.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .unwrap()
            .success());
    }

    /// Waits until the process has exited; returns its exit status and its log.
    pub fn wait_for_exit(&mut self) -> (ExitStatus, String) {
        let mut status = None;
        wait_until("the process to exit", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        wait_until("the final counters in the log", || {
            self.log().contains("counters: ")
        });
        (status.unwrap(), self.log())
    }

    /// Requests reports of the counters with SIGUSR1 until the condition is true for one.
    pub fn counters_until(&self, condition: impl Fn(&dyn Fn(&str) -> u64) -> bool) {
        wait_until("the counters", || {
            let before = self.log().matches("counters: ").count();
            self.signal("-USR1");
            wait_until("a report of the counters", || {
                self.log().matches("counters: ").count() > before
            });
            let log = self.log();
            condition(&|name| counter(&log, name))
        });
    }
}

/// The value of a counter in the last report of this log.
pub fn counter(log: &str, name: &str) -> u64 {
    let report = log.rsplit("counters: ").next().unwrap();
    let found = report
        .split_whitespace()
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    found
        .unwrap_or_else(|| panic!("no counter {name} in {report}"))
        .trim_end_matches(',')
        .parse()
        .unwrap()
}

impl Drop for Backend {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.start_file);
    }
}

fn registry() -> (Receiver<String>, SocketAddr) {
    let (listener, address) = listener();
    let (sender, reports) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let mut reader = BufReader::new(&stream);
            let Some((head, body)) = crate::services::read_request(&mut reader) else {
                continue;
            };
            assert!(
                head.starts_with("PUT /v1/instances/n1 HTTP/1.1\r\n"),
                "{head}"
            );
            let _ = (&stream).write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            if sender.send(String::from_utf8(body).unwrap()).is_err() {
                return;
            }
        }
    });
    (reports, address)
}

/// The records service; it passes each call to the test.
pub struct Records {
    address: SocketAddr,
    calls: Receiver<Call>,
}

/// A call without a reply yet; dropping it closes the connection.
pub struct Call {
    pub head: String,
    pub body: Vec<u8>,
    stream: TcpStream,
    return_connection: Sender<TcpStream>,
}

impl Records {
    fn new() -> Records {
        let (listener, address) = listener();
        let (sender, calls) = channel();
        let (return_connection, returned) = channel::<TcpStream>();
        let serve =
            move |stream: TcpStream, sender: Sender<Call>, return_connection: Sender<TcpStream>| {
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream);
                    if let Some((head, body)) = crate::services::read_request(&mut reader) {
                        let _ = sender.send(Call {
                            head,
                            body,
                            stream: reader.into_inner(),
                            return_connection,
                        });
                    }
                })
            };
        let (sender_for_new, return_connection_again) = (sender.clone(), return_connection.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                serve(stream, sender_for_new.clone(), return_connection.clone());
            }
        });
        thread::spawn(move || {
            for stream in returned {
                serve(stream, sender.clone(), return_connection_again.clone());
            }
        });
        Records { address, calls }
    }

    pub fn next_call(&self) -> Call {
        self.calls
            .recv_timeout(WAIT_TIMEOUT)
            .expect("no call to the records service arrived")
    }
}

impl Call {
    /// The backend's address of its connection.
    pub fn peer_address(&self) -> SocketAddr {
        self.stream.peer_addr().unwrap()
    }

    /// Sends the reply and keeps the connection open for the next call.
    pub fn reply(mut self, status: &str, body: &[u8]) {
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.stream
            .write_all(&[head.as_bytes(), body].concat())
            .unwrap();
        self.return_connection.send(self.stream).unwrap();
    }
}

/// The runtime; it answers `sync` once it is up, and `gauges`, and passes all other commands to the test.
pub struct Runtime {
    address: SocketAddr,
    commands: Receiver<Value>,
    shared: Arc<Mutex<RuntimeState>>,
}

struct RuntimeState {
    is_up: bool,
    /// The uptime that it reports.
    uptime_ms: f64,
    /// Whether received lines are discarded.
    discard_input: bool,
    link: Option<TcpStream>,
    /// All notices so far; the first has number 1.
    notices: Vec<Value>,
    /// The number of the last notice that the backend has, from its last `sync`.
    last_synced_notice: Option<u64>,
    is_ready: bool,
}

impl Default for RuntimeState {
    fn default() -> RuntimeState {
        let (is_up, discard_input, is_ready) = (false, false, false);
        RuntimeState {
            is_up,
            uptime_ms: 60_000.0,
            discard_input,
            link: None,
            notices: Vec::new(),
            last_synced_notice: None,
            is_ready,
        }
    }
}

impl RuntimeState {
    fn send_line(&self, line: &Value) {
        if let Some(mut link) = self.link.as_ref() {
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }
    fn become_ready(&mut self) {
        if let (true, false, Some(no)) = (self.is_up, self.is_ready, self.last_synced_notice) {
            self.is_ready = true;
            self.send_line(&json!({"t": "ready", "status": "LOADED", "time_ms": self.uptime_ms}));
            self.notices
                .iter()
                .skip(no as usize)
                .for_each(|notice| self.send_line(notice));
        }
    }
}

impl Runtime {
    fn new() -> Runtime {
        let (listener, address) = listener();
        let (sender, commands) = channel();
        let shared = Arc::new(Mutex::new(RuntimeState::default()));
        let state = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                {
                    let mut shared = state.lock().unwrap();
                    (shared.last_synced_notice, shared.is_ready) = (None, false);
                    shared.link = Some(stream.try_clone().unwrap());
                }
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    let line: Value = serde_json::from_str(&line).unwrap();
                    let mut shared = state.lock().unwrap();
                    if shared.discard_input {
                        continue;
                    }
                    match line["t"].as_str().unwrap() {
                        "sync" => {
                            shared.last_synced_notice = line["no"].as_u64();
                            shared.become_ready();
                        }
                        "gauges" if shared.is_ready => {
                            shared.send_line(
                                &json!({"t": "load", "mark": line["mark"], "v": [0.1, 1, 0.1, 1]}),
                            );
                        }
                        "gauges" => shared.send_line(&json!({"t": "nack", "status": "gauges"})),
                        _ => drop(sender.send(line)),
                    }
                }
            }
        });
        Runtime {
            address,
            commands,
            shared,
        }
    }

    /// Makes the runtime ready; the link becomes ready when `sync` has arrived on it.
    pub fn set_ready(&self) {
        let mut shared = self.shared.lock().unwrap();
        shared.is_up = true;
        shared.become_ready();
    }

    /// Starts or stops discarding received lines. When it stops, the current link is closed, because it may have lost
    /// lines.
    pub fn set_discard_input(&self, discard_input: bool) {
        let mut shared = self.shared.lock().unwrap();
        shared.discard_input = discard_input;
        if let (false, Some(link)) = (discard_input, &shared.link) {
            let _ = link.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Waits for the next command other than `sync` and `gauges`, and checks its name.
    pub fn expect_command(&self, name: &str) -> Value {
        let command = self
            .commands
            .recv_timeout(WAIT_TIMEOUT)
            .unwrap_or_else(|_| panic!("no {name} command arrived"));
        assert_eq!(command["t"], name, "{command}");
        command
    }

    /// The next command, if one has arrived.
    pub fn try_next_command(&self) -> Option<Value> {
        self.commands.try_recv().ok()
    }

    /// Sends a line that is not a notice.
    pub fn send_line(&self, line: &str) {
        let shared = self.shared.lock().unwrap();
        shared
            .link
            .as_ref()
            .unwrap()
            .write_all(format!("{line}\n").as_bytes())
            .unwrap();
    }

    fn notice(&self, mut notice: Value) {
        let mut shared = self.shared.lock().unwrap();
        notice["no"] = json!(shared.notices.len() + 1);
        if shared.is_ready {
            shared.send_line(&notice);
        }
        shared.notices.push(notice);
    }

    pub fn send_run_end(&self, id: &str, status: &str, body: &[u8]) {
        let body = STANDARD.encode(body);
        self.notice(json!({"t": "end", "rid": id, "status": status, "time_ms": 3.5, "b64": body}));
    }

    pub fn send_call_request(&self, id: &str, body: &[u8]) {
        self.notice(json!({"t": "wants", "rid": id, "b64": STANDARD.encode(body)}));
    }

    /// Replaces the runtime by a new one: short uptime, no runs, and notices numbered from 1.
    pub fn replace_runtime(&self) {
        self.break_link(|runtime| {
            let mut shared = runtime.shared.lock().unwrap();
            (shared.uptime_ms, shared.notices) = (1.0, Vec::new());
        });
    }

    /// Closes the link, calls `meanwhile`, and makes the runtime ready again. Notices added meanwhile are sent only on
    /// the next link.
    pub fn break_link(&self, meanwhile: impl FnOnce(&Runtime)) {
        {
            let mut shared = self.shared.lock().unwrap();
            (shared.is_up, shared.is_ready) = (false, false);
            let link = shared.link.take().unwrap();
            link.shutdown(std::net::Shutdown::Both).unwrap();
        }
        meanwhile(self);
        self.set_ready();
    }
}

/// An edge node's side of one connection.
pub struct EdgeConnection<S = TcpStream> {
    pub stream: S,
    incoming: RecordReader,
}

/// A complete answer.
#[derive(Debug, PartialEq)]
pub struct Response {
    pub request: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// The FastCGI protocol status.
    pub protocol_status: u8,
}

impl Response {
    pub fn status(&self) -> &str {
        self.head
            .lines()
            .find_map(|line| line.strip_prefix("Status: "))
            .unwrap_or("none")
    }
}

pub fn record(kind: u8, request: u16, content: &[u8]) -> Vec<u8> {
    let mut bytes = vec![1, kind];
    bytes.extend(request.to_be_bytes());
    bytes.extend((content.len() as u16).to_be_bytes());
    bytes.extend([3, 0]);
    bytes.extend_from_slice(content);
    bytes.extend([0xee; 3]);
    bytes
}

/// Encodes a request as FastCGI records. The fields have CGI names; fields with an empty value are omitted.
pub fn request(request: u16, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut params = Vec::new();
    for (name, value) in [("REQUEST_METHOD", "POST"), ("SCRIPT_NAME", path)]
        .iter()
        .chain(fields)
    {
        if !value.is_empty() {
            params.push(name.len() as u8);
            params.extend((0x8000_0000 | value.len() as u32).to_be_bytes());
            params.extend_from_slice(name.as_bytes());
            params.extend_from_slice(value.as_bytes());
        }
    }
    let mut bytes = record(
        record_type::BEGIN_REQUEST,
        request,
        &[0, 1, 1, 0, 0, 0, 0, 0],
    );
    let (one, two) = params.split_at(params.len() / 2);
    for part in [one, two, &[]] {
        bytes.extend(record(record_type::PARAMS, request, part));
    }
    if !body.is_empty() {
        bytes.extend(record(record_type::STDIN, request, body));
    }
    bytes.extend(record(record_type::STDIN, request, &[]));
    bytes
}

/// The fields of a request; those in `other` replace the default ones.
pub fn task_fields<'a>(
    id: &'a str,
    start: &'a str,
    other: &[(&'a str, &'a str)],
) -> Vec<(&'a str, &'a str)> {
    let mut fields = vec![
        ("HTTP_X_REQUEST_ID", id),
        ("HTTP_X_REQUEST_START", start),
        ("HTTP_X_CALLER", "4"),
        ("HTTP_X_TIMEOUT_MS", "20000"),
        ("HTTP_X_COST_MS", "12.50"),
        ("HTTP_X_MEMORY_KB", "24.5"),
        ("HTTP_X_RANK", "0.6250"),
        ("HTTP_X_NEVER_HEARD_OF", "1"),
    ];
    for &(name, value) in other {
        fields.retain(|&(known, _)| known != name);
        fields.push((name, value));
    }
    fields
}

pub fn unix_ms_text() -> String {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
        .to_string()
}

impl<S: Read + Write> EdgeConnection<S> {
    /// Wraps an open connection.
    pub fn new(stream: S) -> EdgeConnection<S> {
        EdgeConnection {
            stream,
            incoming: RecordReader::default(),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.try_send(bytes).unwrap();
    }

    pub fn try_send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request of this request class.
    pub fn send_task(
        &mut self,
        number: u16,
        request_class: &str,
        id: &str,
        other: &[(&str, &str)],
    ) {
        let start = unix_ms_text();
        let path = format!("/v1/{request_class}");
        self.send(&request(
            number,
            &path,
            &task_fields(id, &start, other),
            b"ask\0\xff",
        ));
    }

    /// Reads the next complete answer; `None` if the connection has ended.
    pub fn read_response(&mut self) -> Option<Response> {
        self.try_read_response()
            .unwrap_or_else(|e| panic!("reading an answer failed: {e}"))
    }

    /// Like [`EdgeConnection::read_response`], but returns an error if the answer is malformed or the stream's read
    /// timeout passes.
    pub fn try_read_response(&mut self) -> std::io::Result<Option<Response>> {
        let bad = |what: String| std::io::Error::new(std::io::ErrorKind::InvalidData, what);
        let mut stdout = Vec::new();
        loop {
            while let Some(record) = self
                .incoming
                .next_record()
                .map_err(|e| bad(e.to_string()))?
            {
                match record.record_type {
                    record_type::STDOUT => stdout.extend_from_slice(record.content),
                    record_type::END_REQUEST => {
                        let head_end = stdout.windows(4).position(|four| four == b"\r\n\r\n");
                        let head_end = head_end.map_or(stdout.len(), |start| start + 4);
                        return Ok(Some(Response {
                            request: record.request_id,
                            head: String::from_utf8(stdout[..head_end].to_vec())
                                .map_err(|e| bad(e.to_string()))?,
                            body: stdout[head_end..].to_vec(),
                            protocol_status: record.content.get(4).copied().unwrap_or(u8::MAX),
                        }));
                    }
                    other => return Err(bad(format!("unexpected record of type {other}"))),
                }
            }
            match self.stream.read(self.incoming.free_space()) {
                Ok(0) => return Ok(None),
                Ok(count) => self.incoming.commit(count),
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return Ok(None),
                Err(e) => return Err(e),
            }
        }
    }

    /// Reads the next answer, checks that it is for this request, and returns its status.
    pub fn expect_status(&mut self, number: u16) -> String {
        let answer = self.read_response().expect("the connection ended");
        assert_eq!(answer.request, number, "{answer:?}");
        answer.status().to_owned()
    }
}
