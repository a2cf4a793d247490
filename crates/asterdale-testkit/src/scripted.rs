//! A backend under test, and small stand-ins for all that it talks to, which do what a test tells them, one
//! step at a time. Every wait is for something observed, and ends with a panic after `PATIENCE`. Names say what
//! things are; it is for tests alone.
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

/// Far longer than anything takes on a slow machine.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until this is true.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// An address where nobody listens, on a loopback address of its own: no other listener gets its port.
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

/// A start file that works; the addresses are given.
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

/// A backend that runs, with its stand-ins.
pub struct Backend {
    child: Child,
    listen: SocketAddr,
    pub runtime: Runtime,
    pub records: Records,
    /// Bodies of the reports that came to the registry.
    pub reports: Receiver<String>,
    log: Arc<Mutex<String>>,
    file: PathBuf,
    config: Value,
}

/// Starts the program with this start file.
pub fn launch(config: &Value) -> (Child, PathBuf) {
    let name = format!(
        "asterdale-test-{}-{:?}",
        std::process::id(),
        thread::current().id()
    );
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, config.to_string()).unwrap();
    let child = Command::new(crate::process::program())
        .env_remove("ROUTER_NAME")
        .env_remove("ROUTER_LISTEN")
        .env("ROUTER_CONFIG", &file)
        // A process that is left behind must not hold the output of the tests.
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    (child, file)
}

impl Backend {
    /// One whose runtime is up.
    pub fn start() -> Backend {
        let backend = Backend::start_before_runtime(|_| ());
        backend.runtime.set_ready();
        wait_until("the link", || backend.runtime.shared.lock().unwrap().ready);
        backend
    }

    /// One whose runtime takes the link and is not up yet; the start file can be changed.
    pub fn start_before_runtime(change: impl FnOnce(&mut Value)) -> Backend {
        let listen = unused_address();
        let (runtime, records) = (Runtime::new(), Records::new());
        let (reports, registry) = registry();
        let mut config = start_file_json(listen, runtime.at, records.at, registry);
        change(&mut config);
        let (child, file) = launch(&config);
        let log = Arc::default();
        let mut backend = Backend {
            child,
            listen,
            runtime,
            records,
            reports,
            log,
            file,
            config,
        };
        backend.listen_to_log();
        backend
    }

    fn listen_to_log(&mut self) {
        let (stderr, lines) = (self.child.stderr.take().unwrap(), self.log.clone());
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let mut log = lines.lock().unwrap();
                log.push_str(&line);
                log.push('\n');
            }
        });
    }

    /// Kills it, and starts it anew among the same stand-ins, by the same start file.
    pub fn kill_and_restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.runtime.shared.lock().unwrap().ready = false;
        (self.child, self.file) = launch(&self.config);
        self.listen_to_log();
        wait_until("the link", || self.runtime.shared.lock().unwrap().ready);
    }

    /// A connection as an edge node opens it.
    pub fn connect(&self) -> EdgeConnection {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Ok(stream) = TcpStream::connect(self.listen) {
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
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

    /// Its start file, which its successors read, too.
    pub fn start_file(&self) -> &std::path::Path {
        &self.file
    }

    /// Its process's number.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Puts this text in the place of the start file, and has it read.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("-HUP");
    }

    /// The start file with a change, as text; later changes build on it.
    pub fn edit_start_file(&mut self, change: impl FnOnce(&mut Value)) -> String {
        change(&mut self.config);
        self.config.to_string()
    }

    /// Moves all that the backend talks to to new addresses, where the runtime's notices go on; what was there
    /// before comes back.
    pub fn move_services(&mut self) -> (Runtime, Records, Receiver<String>) {
        let (runtime, records, (reports, registry)) = (Runtime::new(), Records::new(), registry());
        for (field, at) in [
            ("runtime", runtime.at),
            ("records", records.at),
            ("registry", registry),
        ] {
            self.config[field] = json!(at);
        }
        {
            let mut shared = runtime.shared.lock().unwrap();
            (shared.up, shared.notices) =
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

    /// Waits for its end; how it ended, and its log.
    pub fn wait_for_exit(&mut self) -> (ExitStatus, String) {
        let mut status = None;
        wait_until("the end", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        wait_until("the last line", || self.log().contains("counters: "));
        (status.unwrap(), self.log())
    }

    /// The counters, printed on request: asked for until `holds`.
    pub fn counters_until(&self, holds: impl Fn(&dyn Fn(&str) -> u64) -> bool) {
        wait_until("the counters", || {
            let before = self.log().matches("counters: ").count();
            self.signal("-USR1");
            wait_until("a report", || {
                self.log().matches("counters: ").count() > before
            });
            let log = self.log();
            holds(&|name| counter(&log, name))
        });
    }
}

/// A counter in the last report of this log.
pub fn counter(log: &str, name: &str) -> u64 {
    let report = log.rsplit("counters: ").next().unwrap();
    let found = report
        .split_whitespace()
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    found
        .unwrap_or_else(|| panic!("no {name} in {report}"))
        .trim_end_matches(',')
        .parse()
        .unwrap()
}

impl Drop for Backend {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn registry() -> (Receiver<String>, SocketAddr) {
    let (listener, at) = listener();
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
    (reports, at)
}

/// The records service: hands each call to the test.
pub struct Records {
    at: SocketAddr,
    calls: Receiver<Call>,
}

/// A call that waits for its reply; dropping it breaks the connection.
pub struct Call {
    pub head: String,
    pub body: Vec<u8>,
    stream: TcpStream,
    again: Sender<TcpStream>,
}

impl Records {
    fn new() -> Records {
        let (listener, at) = listener();
        let (sender, calls) = channel();
        let (again, replied) = channel::<TcpStream>();
        let serve = move |stream: TcpStream, sender: Sender<Call>, again: Sender<TcpStream>| {
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                if let Some((head, body)) = crate::services::read_request(&mut reader) {
                    let _ = sender.send(Call {
                        head,
                        body,
                        stream: reader.into_inner(),
                        again,
                    });
                }
            })
        };
        let (first, once_more) = (sender.clone(), again.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                serve(stream, first.clone(), again.clone());
            }
        });
        thread::spawn(move || {
            for stream in replied {
                serve(stream, sender.clone(), once_more.clone());
            }
        });
        Records { at, calls }
    }

    pub fn next_call(&self) -> Call {
        self.calls.recv_timeout(PATIENCE).expect("no call came")
    }
}

impl Call {
    /// The other end of its connection.
    pub fn peer_address(&self) -> SocketAddr {
        self.stream.peer_addr().unwrap()
    }

    /// Replies, and keeps the connection for the next call.
    pub fn reply(mut self, status: &str, body: &[u8]) {
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.stream
            .write_all(&[head.as_bytes(), body].concat())
            .unwrap();
        self.again.send(self.stream).unwrap();
    }
}

/// The runtime: answers `sync` once it is up, and gauges; hands all other commands to the test.
pub struct Runtime {
    at: SocketAddr,
    commands: Receiver<Value>,
    shared: Arc<Mutex<Shared>>,
}

struct Shared {
    up: bool,
    /// How long it has been up, as it says.
    up_ms: f64,
    /// Whatever comes is lost.
    deaf: bool,
    link: Option<TcpStream>,
    /// All notices so far, numbered from 1.
    notices: Vec<Value>,
    /// The number in the last `sync`.
    synced: Option<u64>,
    ready: bool,
}

impl Default for Shared {
    fn default() -> Shared {
        let (up, deaf, ready) = (false, false, false);
        Shared {
            up,
            up_ms: 60_000.0,
            deaf,
            link: None,
            notices: Vec::new(),
            synced: None,
            ready,
        }
    }
}

impl Shared {
    fn say(&self, line: &Value) {
        if let Some(mut link) = self.link.as_ref() {
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }
    fn ready(&mut self) {
        if let (true, false, Some(no)) = (self.up, self.ready, self.synced) {
            self.ready = true;
            self.say(&json!({"t": "ready", "status": "LOADED", "time_ms": self.up_ms}));
            self.notices
                .iter()
                .skip(no as usize)
                .for_each(|notice| self.say(notice));
        }
    }
}

impl Runtime {
    fn new() -> Runtime {
        let (listener, at) = listener();
        let (sender, commands) = channel();
        let shared = Arc::new(Mutex::new(Shared::default()));
        let all = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                {
                    let mut shared = all.lock().unwrap();
                    (shared.synced, shared.ready) = (None, false);
                    shared.link = Some(stream.try_clone().unwrap());
                }
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    let line: Value = serde_json::from_str(&line).unwrap();
                    let mut shared = all.lock().unwrap();
                    if shared.deaf {
                        continue;
                    }
                    match line["t"].as_str().unwrap() {
                        "sync" => {
                            shared.synced = line["no"].as_u64();
                            shared.ready();
                        }
                        "gauges" if shared.ready => {
                            shared.say(
                                &json!({"t": "load", "mark": line["mark"], "v": [0.1, 1, 0.1, 1]}),
                            );
                        }
                        "gauges" => shared.say(&json!({"t": "nack", "status": "gauges"})),
                        _ => drop(sender.send(line)),
                    }
                }
            }
        });
        Runtime {
            at,
            commands,
            shared,
        }
    }

    /// It comes up.
    pub fn set_ready(&self) {
        let mut shared = self.shared.lock().unwrap();
        shared.up = true;
        shared.ready();
    }

    /// From now on whatever comes is lost, or not; a link that is made meanwhile breaks at the end of it.
    pub fn set_discard_input(&self, deaf: bool) {
        let mut shared = self.shared.lock().unwrap();
        shared.deaf = deaf;
        if let (false, Some(link)) = (deaf, &shared.link) {
            let _ = link.shutdown(std::net::Shutdown::Both);
        }
    }

    /// The next command that is not about gauges.
    pub fn expect_command(&self, name: &str) -> Value {
        let command = self
            .commands
            .recv_timeout(PATIENCE)
            .unwrap_or_else(|_| panic!("no {name} came"));
        assert_eq!(command["t"], name, "{command}");
        command
    }

    /// Whether a command has come that the test has not seen.
    pub fn try_next_command(&self) -> Option<Value> {
        self.commands.try_recv().ok()
    }

    /// Says a line that is no notice.
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
        if shared.ready {
            shared.say(&notice);
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

    /// Another runtime takes its place: up for a moment, with no work, and notices numbered anew.
    pub fn replace_runtime(&self) {
        self.break_link(|runtime| {
            let mut shared = runtime.shared.lock().unwrap();
            (shared.up_ms, shared.notices) = (1.0, Vec::new());
        });
    }

    /// Breaks the link. What is noticed meanwhile comes only with the next one.
    pub fn break_link(&self, meanwhile: impl FnOnce(&Runtime)) {
        {
            let mut shared = self.shared.lock().unwrap();
            (shared.up, shared.ready) = (false, false);
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

/// A whole answer.
#[derive(Debug, PartialEq)]
pub struct Response {
    pub request: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// The protocol state.
    pub state: u8,
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

/// A request as records. The fields are CGI names; one that is empty is left out.
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

/// The fields of a task; those given replace the usual ones.
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
    /// A connection that is open already.
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

    /// Sends a task of this stage.
    pub fn send_task(&mut self, number: u16, stage: &str, id: &str, other: &[(&str, &str)]) {
        let start = unix_ms_text();
        let path = format!("/v1/{stage}");
        self.send(&request(
            number,
            &path,
            &task_fields(id, &start, other),
            b"ask\0\xff",
        ));
    }

    /// The next whole answer; `None` at the end of the connection.
    pub fn read_response(&mut self) -> Option<Response> {
        self.try_read_response()
            .unwrap_or_else(|e| panic!("no answer came: {e}"))
    }

    /// The same; an answer that can't be read is an error, as is none in the time that the stream is given.
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
                        let at = stdout.windows(4).position(|four| four == b"\r\n\r\n");
                        let at = at.map_or(stdout.len(), |at| at + 4);
                        return Ok(Some(Response {
                            request: record.request_id,
                            head: String::from_utf8(stdout[..at].to_vec())
                                .map_err(|e| bad(e.to_string()))?,
                            body: stdout[at..].to_vec(),
                            state: record.content.get(4).copied().unwrap_or(u8::MAX),
                        }));
                    }
                    other => return Err(bad(format!("a record of type {other}"))),
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

    /// The status of the next answer, which is for this request.
    pub fn expect_status(&mut self, number: u16) -> String {
        let answer = self.read_response().expect("the connection ended");
        assert_eq!(answer.request, number, "{answer:?}");
        answer.status().to_owned()
    }
}
