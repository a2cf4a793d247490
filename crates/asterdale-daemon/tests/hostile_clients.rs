//! Clients that write slowly, stop, flood or leave: what they cost the process and the clients beside them.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use asterdale_testkit::scripted::{
    record, request, task_fields, unix_ms_text, wait_until, Backend, EdgeConnection, Response,
    WAIT_TIMEOUT,
};
use serde_json::json;

/// The smallest memory of the platform, in MB and in KiB.
const MEMORY_MB: u64 = 32;
const MEMORY_KIB: u64 = MEMORY_MB * 1_000_000 / 1024;
const BEGIN_REQUEST: u8 = 1;
const PARAMS: u8 = 4;
const BEGIN: &[u8] = &[0, 1, 1, 0, 0, 0, 0, 0];
/// The length of an encoded request's last record.
const LAST_RECORD_BYTES: usize = 11;

fn small_backend() -> Backend {
    let backend = Backend::start_before_runtime(|start| {
        start["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 512});
        start["settings"]["extra"]["cores"] = json!(100);
    });
    backend.runtime.set_ready();
    backend
}

/// The largest resident memory that the process has had, in KiB.
fn peak_memory_kib(backend: &Backend) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", backend.process_id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap()
}

/// Sends a request and returns its answer. Runs that start meanwhile end with a result if their id is this one's, and are
/// rejected by the runtime otherwise, as it knows no other request.
fn answer_of(backend: &Backend, edge: &mut EdgeConnection, class: &str, id: &str) -> Response {
    edge.send_task(1, class, id, &[("HTTP_IDEMPOTENCY_KEY", id)]);
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        while let Some(command) = backend.runtime.try_next_command() {
            let started = command["rid"].as_str().unwrap();
            if started == id {
                backend.runtime.send_run_end(id, "PASS", id.as_bytes());
            } else {
                let nack = json!({"t": "nack", "status": "start", "rid": started});
                backend.runtime.send_line(&nack.to_string());
            }
        }
        if let Ok(response) = edge.try_read_response() {
            return response.expect("the connection ended");
        }
    }
    panic!("no answer")
}

fn sound_connection(backend: &Backend) -> EdgeConnection {
    let edge = backend.connect();
    let poll_interval = Some(Duration::from_millis(1));
    edge.stream.set_read_timeout(poll_interval).unwrap();
    edge
}

/// One request after the other is served with its own result.
fn assert_requests_are_served(backend: &Backend, edge: &mut EdgeConnection, count: u32, from: u32) {
    for number in from..from + count {
        let id = format!("{number:016x}");
        let class = ["page", "bid"][number as usize % 2];
        let response = answer_of(backend, edge, class, &id);
        assert_eq!(response.status(), "200", "{response:?}");
        assert_eq!(response.body, id.as_bytes());
    }
}

/// A request whose head has very many short fields; the names are new in each.
fn request_with_many_fields(number: u16) -> Vec<u8> {
    const FIELDS: usize = 16_000;
    let fields: Vec<u8> = (0..FIELDS)
        .flat_map(|n| [2, 1, (n % 251) as u8, (n / 251) as u8, b'v'])
        .collect();
    let mut bytes = record(BEGIN_REQUEST, number, BEGIN);
    for part in fields.chunks(1000) {
        bytes.extend(record(PARAMS, number, part));
    }
    bytes
}

/// Guards against memory without a bound for hundreds of clients that write a byte at a time, stop half way through a large
/// request, or send heads of very many short fields.
#[test]
fn hundreds_of_clients_that_write_slowly_or_stop_stay_within_the_memory_limit() {
    const CLIENTS: u16 = 400;
    const ROUNDS: u32 = 40;
    let backend = small_backend();
    let mut edge = sound_connection(&backend);
    assert_requests_are_served(&backend, &mut edge, 2, 1);
    let (time, filler) = (unix_ms_text(), "f".repeat(60_000));
    let fields = task_fields("00000000000000aa", &time, &[("HTTP_X_FILLER", &filler)]);
    let large = request(1, "/v1/page", &fields, &[7; 2048]);
    let many_fields = request_with_many_fields(1);
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| backend.connect()).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        client.stream.set_nonblocking(true).unwrap();
        match index % 4 {
            0 => drop(client.stream.write(&large[..large.len() / 2])),
            1 => drop(client.stream.write(&many_fields)),
            2 => drop(
                client
                    .stream
                    .write(&large[..large.len() - LAST_RECORD_BYTES]),
            ),
            _ => {} // it writes a byte at a time
        }
    }
    let small = request(
        1,
        "/v1/page",
        &task_fields("00000000000000ab", &time, &[]),
        b"",
    );
    for round in 0..ROUNDS {
        for client in clients.iter_mut().skip(3).step_by(4) {
            drop(client.stream.write(&small[round as usize..=round as usize]));
        }
        assert_requests_are_served(&backend, &mut edge, 1, 100 + round);
    }
    backend.counters_until(|count| {
        count("partial_requests_over_memory") > 0
            && count("connections_accepted") > u64::from(CLIENTS) / 2
    });
    let peak = peak_memory_kib(&backend);
    assert!(peak < MEMORY_KIB, "{peak} KiB of {MEMORY_KIB}");
    println!("peak {peak} KiB of {MEMORY_KIB}");
}

/// A client that sends without a pause, on one connection as long as it stays open, and reads what it gets.
struct Flood {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl Flood {
    /// Sends the request with this number, and then the next one.
    fn start(backend: &Backend, encode: impl Fn(u64) -> Vec<u8> + Send + 'static) -> Flood {
        let address = backend.connect().stream.peer_addr().unwrap();
        let (stop, sent): (Arc<AtomicBool>, Arc<AtomicU64>) = Default::default();
        let (is_stopped, count) = (stop.clone(), sent.clone());
        let thread = thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            drain(&stream);
            while !is_stopped.load(Ordering::Relaxed) {
                let number = count.fetch_add(1, Ordering::Relaxed);
                if stream.write_all(&encode(number)).is_err() {
                    stream = TcpStream::connect(address).unwrap();
                    drain(&stream);
                }
            }
            let _ = stream.shutdown(Shutdown::Both);
        });
        Flood { stop, sent, thread }
    }

    fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
    }
}

/// Reads and discards what arrives on this connection.
fn drain(stream: &TcpStream) {
    let mut stream = stream.try_clone().unwrap();
    thread::spawn(move || {
        let mut discarded = [0; 4096];
        while stream.read(&mut discarded).is_ok_and(|count| count > 0) {}
    });
}

/// While this flood goes on, sound clients are served and the memory stays within its limit.
fn assert_flood_costs_nobody_an_answer(encode: impl Fn(u64) -> Vec<u8> + Send + 'static) {
    const SENT: u64 = 20_000;
    const REQUESTS: u32 = 100;
    let backend = small_backend();
    let mut edge = sound_connection(&backend);
    assert_requests_are_served(&backend, &mut edge, 2, 1);
    let flood = Flood::start(&backend, encode);
    wait_until("the flood", || flood.sent() > 100);
    let (mut served, mut sent_before) = (0, 0);
    while served < REQUESTS || (flood.sent() < SENT && flood.sent() > sent_before) {
        sent_before = flood.sent();
        assert_requests_are_served(&backend, &mut edge, 20, 0x1000 + served);
        served += 20;
    }
    assert!(!flood.thread.is_finished());
    let sent = flood.sent();
    flood.end();
    let peak = peak_memory_kib(&backend);
    assert!(peak < MEMORY_KIB, "{peak} KiB of {MEMORY_KIB}");
    println!("sent {sent}, served {served}, peak {peak} KiB");
}

/// Guards against answers that come late or never while one client sends invalid requests without a pause.
#[test]
fn a_flood_of_invalid_requests_costs_nobody_an_answer() {
    assert_flood_costs_nobody_an_answer(|number| {
        let name = format!("/v1/class-{number}");
        match number % 4 {
            0 => request(1, &name, &[], b""),
            1 => record(PARAMS, (number % 60_000) as u16, &[]),
            2 => record((number % 200) as u8 + 12, 0, &number.to_be_bytes()),
            _ => record(
                BEGIN_REQUEST,
                (number % 60_000) as u16,
                &[0, 2, 1, 0, 0, 0, 0, 0],
            ),
        }
    });
}

/// Guards against memory that grows with each new name that one client sends.
#[test]
fn a_flood_under_ever_new_names_costs_nobody_an_answer_and_no_memory() {
    assert_flood_costs_nobody_an_answer(|number| {
        let (id, node) = (format!("f{number:015x}"), format!("{number}"));
        let (key, time) = (format!("key {number}"), unix_ms_text());
        let fields = [
            ("HTTP_IDEMPOTENCY_KEY", key.as_str()),
            ("HTTP_X_CALLER", &node),
            ("HTTP_X_OBJECT", &key),
            ("HTTP_X_TENANT", &key),
        ];
        let class = ["/v1/bid", "/v1/page"][number as usize % 2];
        request(
            (number % 30) as u16 + 1,
            class,
            &task_fields(&id, &time, &fields),
            b"x",
        )
    });
}

/// Guards against a second run of a request that comes again under its id after its client has left.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_is_not_run_twice() {
    const ID: &str = "00000000000000e1";
    for (class, after_run) in [("bid", "200"), ("once", "400")] {
        let backend = Backend::start_before_runtime(|start| {
            let mut once = start["settings"]["lanes"][0].clone();
            once["name"] = json!("once");
            once["repeat"] = json!("once");
            start["settings"]["lanes"]
                .as_array_mut()
                .unwrap()
                .push(once);
            start["settings"]["extra"]["classCalls"] = json!([true, true, true]);
            start["settings"]["extra"]["worthWithout"] = json!([0.6, 0.0, 0.0]);
        });
        backend.runtime.set_ready();
        let fields = [("HTTP_IDEMPOTENCY_KEY", "key")];
        let mut edge = backend.connect();
        edge.send_task(1, class, ID, &fields);
        assert_eq!(backend.runtime.expect_command("start")["rid"], ID);
        drop(edge);
        backend.counters_until(|count| count("connections_finished") == 1);
        // It runs.
        let mut again = backend.connect();
        again.send_task(1, class, ID, &fields);
        assert_eq!(again.expect_status(1), "400");
        backend.runtime.send_run_end(ID, "PASS", b"done");
        backend.counters_until(|count| count("runs_passed") == 1);
        // It has run.
        again.send_task(2, class, ID, &fields);
        assert_eq!(again.expect_status(2), after_run);
        assert_eq!(backend.runtime.try_next_command(), None);
    }
}
