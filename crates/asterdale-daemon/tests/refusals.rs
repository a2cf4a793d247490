//! What a request gets whose key has run or is running, on each path that refuses new requests. A refusal (503, 429,
//! OVERLOADED) states that the request never ran, and its client may send it to another process, where it runs again.

use std::time::Duration;

use asterdale_testkit::scripted::{
    counter, record, request, task_fields, unix_ms_text, wait_until, Backend, EdgeConnection,
    Response,
};
use serde_json::json;

/// The least memory that every build accepts, in MB.
const MEMORY_MB: u32 = 11;
/// Requests that one connection may have open; set by the platform's protocol.
const MAX_OPEN_REQUESTS: u16 = 32;
/// Requests beyond these that are read before one is answered at its first record.
const MAX_EXCESS_REQUESTS: u16 = 32;
/// OVERLOADED, the protocol status of FastCGI.
const OVERLOADED: u8 = 2;
const BEGIN_REQUEST: u8 = 1;

const SERVED_KEY: &str = "key that was served";
const RUNNING_KEY: &str = "key that is running";
const RUNNING_ID: &str = "00000000000000b2";
const RESULT: &[u8] = b"the result";

/// A backend that starts every request at once.
fn backend_with_memory(memory_mb: u32) -> Backend {
    let backend = Backend::start_before_runtime(|start| {
        start["limits"]["memory_mb"] = json!(memory_mb);
        start["settings"]["extra"]["cores"] = json!(100);
    });
    backend.runtime.set_ready();
    backend
}

/// A connection on which a request with [`SERVED_KEY`] was served, and one with [`RUNNING_KEY`] runs as number 1.
fn connection_with_known_keys(backend: &Backend) -> EdgeConnection {
    const SERVED_ID: &str = "00000000000000b1";
    let mut edge = backend.connect();
    send_keyed(&mut edge, 1, SERVED_ID, SERVED_KEY);
    backend.runtime.expect_command("start");
    backend.runtime.send_run_end(SERVED_ID, "PASS", RESULT);
    assert_eq!(edge.expect_status(1), "200");
    send_keyed(&mut edge, 1, RUNNING_ID, RUNNING_KEY);
    assert_eq!(backend.runtime.expect_command("start")["rid"], RUNNING_ID);
    edge
}

fn send_keyed(edge: &mut EdgeConnection, number: u16, id: &str, key: &str) {
    edge.send_task(number, "bid", id, &[("HTTP_IDEMPOTENCY_KEY", key)]);
}

fn next_response(edge: &mut EdgeConnection, number: u16) -> Response {
    let response = edge.read_response().expect("the connection ended");
    assert_eq!(response.request, number, "{response:?}");
    response
}

/// A repeat of the served request gets its result.
fn assert_repeat_is_served(edge: &mut EdgeConnection, number: u16, id: &str) {
    send_keyed(edge, number, id, SERVED_KEY);
    let response = next_response(edge, number);
    assert_eq!(response.status(), "200", "{response:?}");
    assert_eq!(response.body, RESULT);
}

/// Ends the run of [`RUNNING_KEY`]: number 1 and its repeats get the result, whatever their order.
fn assert_run_answers(backend: &Backend, edge: &mut EdgeConnection, repeats: &[u16]) {
    backend.runtime.send_run_end(RUNNING_ID, "PASS", RESULT);
    let mut answered: Vec<u16> = (0..=repeats.len())
        .map(|_| {
            let response = edge.read_response().expect("the connection ended");
            assert_eq!(response.status(), "200", "{response:?}");
            assert_eq!(response.body, RESULT);
            response.request
        })
        .collect();
    answered.sort_unstable();
    assert_eq!(answered, [&[1], repeats].concat());
}

fn assert_nothing_keyed_is_started(backend: &Backend) {
    while let Some(command) = backend.runtime.try_next_command() {
        assert_ne!(command["route"], "bid", "{command}");
    }
}

fn assert_outcome_unknown(response: &Response) {
    assert_eq!(response.status(), "500", "{response:?}");
    assert!(response.head.contains("X-Outcome: unknown"), "{response:?}");
}

/// Takes all memory of new requests by requests without keys that do not end.
fn take_request_memory(backend: &Backend) -> Vec<EdgeConnection> {
    let mut clients: Vec<_> = (0..4).map(|_| backend.connect()).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        for number in 1..=MAX_OPEN_REQUESTS {
            let id = format!("{index:08x}{number:08x}");
            client.send_task(number, "page", &id, &[]);
        }
    }
    let sent = clients.len() as u64 * u64::from(MAX_OPEN_REQUESTS);
    backend.counters_until(|count| {
        let taken = count("tasks_taken") - 2;
        assert_eq!(count("tasks_rejected"), 0);
        count("requests_over_memory") > 0 && taken + count("requests_over_memory") == sent
    });
    clients
}

/// Guards against a refusal of keyed requests that have run or are running, while others take all memory of requests
/// (review, case 6).
#[test]
fn repeats_get_their_result_or_join_their_run_while_there_is_no_memory_for_new_requests() {
    let backend = backend_with_memory(MEMORY_MB);
    let mut edge = connection_with_known_keys(&backend);
    let clients = take_request_memory(&backend);

    assert_repeat_is_served(&mut edge, 2, "00000000000000c2");
    send_keyed(&mut edge, 3, "00000000000000c3", "a new key");
    let refusal = next_response(&mut edge, 3);
    assert_eq!(refusal.status(), "503", "{refusal:?}");
    assert!(refusal.head.contains("Retry-After-Ms: "), "{refusal:?}");
    let (start, other) = (unix_ms_text(), [("HTTP_IDEMPOTENCY_KEY", SERVED_KEY)]);
    let fields = task_fields("00000000000000c4", &start, &other);
    edge.send(&request(4, "/v1/bid", &fields, b"another body"));
    assert_eq!(next_response(&mut edge, 4).status(), "400");
    send_keyed(&mut edge, 5, "00000000000000c5", RUNNING_KEY);
    backend.counters_until(|count| count("requests_looked_up") == 3);
    assert_run_answers(&backend, &mut edge, &[5]);
    assert_nothing_keyed_is_started(&backend);
    drop(clients);
}

/// Guards against a refusal of repeats once their own share of the memory is taken as well.
#[test]
fn repeats_for_which_there_is_no_memory_either_are_not_refused() {
    const REPEATS: u16 = 20;
    let backend = backend_with_memory(MEMORY_MB);
    let mut edge = connection_with_known_keys(&backend);
    let clients = take_request_memory(&backend);
    for number in 2..2 + REPEATS {
        let id = format!("{:016x}", 0xc000 + u32::from(number));
        send_keyed(&mut edge, number, &id, RUNNING_KEY);
    }
    let mut joined: Vec<u16> = (2..2 + REPEATS).collect();
    backend.counters_until(|count| count("requests_looked_up") == u64::from(REPEATS));
    let without_memory = counter(&backend.log(), "repeats_over_memory");
    assert!(without_memory > 0 && without_memory < u64::from(REPEATS));
    for _ in 0..without_memory {
        let response = edge.read_response().expect("the connection ended");
        assert_outcome_unknown(&response);
        assert!(response.head.contains("Retry-After-Ms: "), "{response:?}");
        joined.retain(|&number| number != response.request);
    }
    assert_run_answers(&backend, &mut edge, &joined);
    assert_nothing_keyed_is_started(&backend);
    drop(clients);
}

/// Guards against OVERLOADED for keyed requests that have run or are running, as their connection has too many requests
/// open.
#[test]
fn repeats_beyond_the_open_requests_of_a_connection_get_their_result_or_join_their_run() {
    let backend = backend_with_memory(192);
    let mut edge = connection_with_known_keys(&backend);
    for number in 2..=MAX_OPEN_REQUESTS {
        edge.send_task(number, "page", &format!("{number:016x}"), &[]);
        backend.runtime.expect_command("start");
    }
    assert_repeat_is_served(&mut edge, 40, "00000000000000c2");
    send_keyed(&mut edge, 41, "00000000000000c3", "a new key");
    edge.send_task(42, "page", "00000000000000c4", &[]);
    let (mut first, mut second) = (edge.read_response().unwrap(), edge.read_response().unwrap());
    if first.request > second.request {
        std::mem::swap(&mut first, &mut second);
    }
    for (response, number) in [(&first, 41), (&second, 42)] {
        let expected = (number, OVERLOADED);
        assert_eq!((response.request, response.protocol_status), expected);
    }
    send_keyed(&mut edge, 43, "00000000000000c5", RUNNING_KEY);
    backend.counters_until(|count| count("requests_looked_up") == 3);
    assert_run_answers(&backend, &mut edge, &[43]);
    assert_nothing_keyed_is_started(&backend);
}

/// Guards against OVERLOADED for a request that is answered at its first record, before its key is known.
#[test]
fn a_request_that_is_not_read_is_not_refused() {
    let backend = backend_with_memory(192);
    let mut edge = connection_with_known_keys(&backend);
    let begin = |number: u16| record(BEGIN_REQUEST, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
    let last_read = MAX_OPEN_REQUESTS + MAX_EXCESS_REQUESTS;
    (2..=last_read).for_each(|number| edge.send(&begin(number)));
    edge.send(&begin(last_read + 1));
    assert_outcome_unknown(&next_response(&mut edge, last_read + 1));
    assert_run_answers(&backend, &mut edge, &[]);
}

/// Guards against a refusal of keyed requests that have run or are running, as they come again after the grace of a
/// drain.
#[test]
fn repeats_get_their_result_or_join_their_run_after_the_grace_of_a_drain() {
    let mut backend = backend_with_memory(192);
    let mut edge = connection_with_known_keys(&backend);
    backend.signal("-TERM");
    wait_until("the report of the drain", || {
        backend
            .reports
            .try_iter()
            .any(|report| report.contains("draining"))
    });
    // The grace of this backend is zero. A start in the future makes the request no older than it is.
    let now: u64 = unix_ms_text().parse().unwrap();
    let start = (now + 1000).to_string();
    let fields = [
        ("HTTP_IDEMPOTENCY_KEY", "a new key"),
        ("HTTP_X_REQUEST_START", &start),
    ];
    edge.send_task(2, "bid", "00000000000000c2", &fields);
    let refusal = next_response(&mut edge, 2);
    assert_eq!(refusal.status(), "503", "{refusal:?}");
    assert_repeat_is_served(&mut edge, 3, "00000000000000c3");
    send_keyed(&mut edge, 4, "00000000000000c4", RUNNING_KEY);
    assert_repeat_is_served(&mut edge, 5, "00000000000000c5");
    assert_run_answers(&backend, &mut edge, &[4]);
    assert_nothing_keyed_is_started(&backend);
    assert!(backend.wait_for_exit().0.success());
}

/// Guards against a refusal of a repeat whose first attempt waits in the queue.
#[test]
fn a_repeat_of_a_queued_request_waits_for_its_run() {
    let backend = Backend::start_before_runtime(|start| {
        start["settings"]["extra"]["cores"] = json!(1);
    });
    backend.runtime.set_ready();
    let mut edge = backend.connect();
    // The runtime ends none of these, so the last one of them is queued.
    let mut queued = 0;
    for number in 1..=MAX_OPEN_REQUESTS / 2 {
        let id = format!("{number:016x}");
        send_keyed(&mut edge, number, &id, &id);
        queued = number;
    }
    backend.counters_until(|count| {
        count("tasks_taken") == u64::from(queued) && count("runs_started") < u64::from(queued)
    });
    let key = format!("{queued:016x}");
    send_keyed(&mut edge, queued + 1, "00000000000000c1", &key);
    backend.counters_until(|count| count("tasks_taken") == u64::from(queued) + 1);
    // Every run ends as soon as it starts, until the queue is empty.
    let mut answered = 0;
    while answered < queued + 1 {
        while let Some(command) = backend.runtime.try_next_command() {
            let id = command["rid"].as_str().unwrap();
            assert_ne!(id, "00000000000000c1");
            backend.runtime.send_run_end(id, "PASS", RESULT);
        }
        edge.stream
            .set_read_timeout(Some(Duration::from_millis(1)))
            .unwrap();
        if let Ok(response) = edge.try_read_response() {
            let response = response.expect("the connection ended");
            assert_eq!(response.status(), "200", "{response:?}");
            answered += 1;
        }
    }
}
