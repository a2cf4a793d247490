//! How connections end, what the counters say of it, and that what one caller sends costs no other caller of the same
//! connection its answer.

use std::io::Write;
use std::time::{Duration, Instant};

use asterdale_fastcgi::record_type;
use asterdale_testkit::scripted::{
    record, request, task_fields, unix_ms_text, wait_until, Backend, EdgeConnection, Response,
    WAIT_TIMEOUT,
};
use serde_json::json;

const ID_A: &str = "00000000000000aa";
const ID_B: &str = "00000000000000bb";
/// The role Responder, with KEEP_CONN.
const BEGIN: &[u8] = &[0, 1, 1, 0, 0, 0, 0, 0];
/// The protocol status of a request that is one too many.
const OVERLOADED: u8 = 2;
/// The counters of connections that have ended, one for each reason.
const END_REASONS: [&str; 13] = [
    "finished",
    "not_kept",
    "repeated_errors",
    "malformed",
    "broken",
    "send_stalled",
    "lapsed",
    "silent",
    "stalled",
    "idle",
    "given_up",
    "drained",
    "setup_failed",
];
/// The offset of the flags in an encoded request, which begins with its BEGIN_REQUEST.
const FLAGS_OFFSET: usize = 10;

/// The length of an encoded request's last record.
const LAST_RECORD_BYTES: usize = 11;

/// A request that does not ask for its connection to be kept.
fn unkept_request(number: u16, id: &str) -> Vec<u8> {
    let mut bytes = request(
        number,
        "/v1/page",
        &task_fields(id, &unix_ms_text(), &[]),
        b"ask",
    );
    bytes[FLAGS_OFFSET] = 0;
    bytes
}

fn malformed_request(number: u16) -> Vec<u8> {
    request(number, "/v1/unknown", &[], b"")
}

fn read_to_end(edge: &mut EdgeConnection) {
    while edge.read_response().is_some() {}
}

/// Guards against connections that end without a counter that says why: requests that were lost with them could not be
/// told from requests that their client had given up.
#[test]
fn each_connection_that_ended_is_counted_with_one_reason() {
    let backend = Backend::start();
    let mut unkept = backend.connect();
    unkept.send(&unkept_request(1, ID_A));
    backend.runtime.expect_command("start");
    backend.runtime.send_run_end(ID_A, "PASS", b"");
    read_to_end(&mut unkept);
    let mut malformed = backend.connect();
    malformed.send(b"GET / HTTP/1.1\r\n\r\n");
    read_to_end(&mut malformed);
    let mut repeated = backend.connect();
    (1..=8).for_each(|number| repeated.send(&malformed_request(number)));
    read_to_end(&mut repeated);
    let mut silent = backend.connect();
    read_to_end(&mut silent);
    drop(backend.connect());
    // This one is reset: its client closes it without having read the reply.
    let mut reset = backend.connect();
    reset.send(&record(77, 0, &[]));
    backend.counters_until(|count| count("connections_open") == 1);
    drop(reset);
    backend.counters_until(|count| {
        let ended = END_REASONS.map(|reason| count(&format!("connections_{reason}")));
        let accepted = count("connections_accepted");
        count("connections_open") == 0
            && ended.iter().sum::<u64>() == accepted
            && count("connections_not_kept") == 1
            && count("connections_malformed") == 1
            && count("connections_repeated_errors") == 1
            && count("connections_silent") == 1
    });
}

/// A request of which only the first records arrive, and which is aborted.
fn aborted_request(number: u16) -> Vec<u8> {
    let mut bytes = record(record_type::BEGIN_REQUEST, number, BEGIN);
    bytes.extend(record(record_type::PARAMS, number, &[0; 100]));
    bytes.extend(record(record_type::ABORT_REQUEST, number, &[]));
    bytes
}

/// A request whose body is too long, and does not end.
fn long_request(number: u16) -> Vec<u8> {
    let mut bytes = record(record_type::BEGIN_REQUEST, number, BEGIN);
    bytes.extend(record(record_type::STDIN, number, &[0; 60_000]));
    bytes
}

/// An edge node's connection on which request 1 is running.
fn connection_with_running_request(backend: &Backend) -> EdgeConnection {
    let mut edge = backend.connect();
    edge.send_task(1, "page", ID_A, &[]);
    backend.runtime.expect_command("start");
    edge
}

/// Checks that a connection with request 1 open still takes a second request, and answers both.
fn assert_others_are_answered(backend: &Backend, edge: &mut EdgeConnection) {
    edge.send_task(2, "page", ID_B, &[]);
    assert_eq!(backend.runtime.expect_command("start")["rid"], ID_B);
    for (number, id) in [(2, ID_B), (1, ID_A)] {
        backend.runtime.send_run_end(id, "PASS", b"");
        assert_eq!(edge.expect_status(number), "200");
    }
}

fn expect_responses(edge: &mut EdgeConnection, count: u16) -> Vec<Response> {
    (0..count)
        .map(|_| edge.read_response().expect("the connection ended"))
        .collect()
}

/// Guards against an edge node's connection that is read no further because eight of its clients have left in a row:
/// the requests of the others, written whole while the open ones were still answered, got no answer.
#[test]
fn aborted_incomplete_requests_cost_no_other_request_of_their_connection() {
    const ABORTED: u16 = 200;
    let backend = Backend::start();
    let mut edge = connection_with_running_request(&backend);
    for number in 10..10 + ABORTED {
        edge.send(&aborted_request(number));
    }
    for (response, number) in expect_responses(&mut edge, ABORTED).iter().zip(10..) {
        assert_eq!((response.request, response.protocol_status), (number, 0));
    }
    assert_others_are_answered(&backend, &mut edge);
}

/// Guards against the same end after eight requests beyond the number that a connection may carry.
#[test]
fn requests_beyond_the_limit_cost_no_other_request_of_their_connection() {
    const OPEN: u16 = 32;
    const REJECTED: u16 = 100;
    let backend = Backend::start_before_runtime(|config| {
        config["settings"]["extra"]["cores"] = json!(40);
    });
    backend.runtime.set_ready();
    let mut edge = backend.connect();
    let id = |number: u16| format!("{number:016x}");
    for number in 1..=OPEN + REJECTED {
        edge.send_task(number, "page", &id(number), &[]);
    }
    for (response, number) in expect_responses(&mut edge, REJECTED).iter().zip(OPEN + 1..) {
        let expected = (number, OVERLOADED);
        assert_eq!((response.request, response.protocol_status), expected);
    }
    for number in 1..=OPEN {
        backend.runtime.expect_command("start");
        backend.runtime.send_run_end(&id(number), "PASS", b"");
        assert_eq!(edge.expect_status(number), "200");
    }
    edge.send_task(1, "page", ID_A, &[]);
    backend.runtime.expect_command("start");
    backend.runtime.send_run_end(ID_A, "PASS", b"");
    assert_eq!(edge.expect_status(1), "200");
}

/// Guards against the same end after eight invalid requests, while another one is open or not complete.
#[test]
fn invalid_requests_cost_no_other_request_of_their_connection() {
    const INVALID: u16 = 50;
    let backend = Backend::start();
    let mut edge = connection_with_running_request(&backend);
    (0..INVALID).for_each(|number| edge.send(&malformed_request(10 + number)));
    for response in expect_responses(&mut edge, INVALID) {
        assert_eq!(response.status(), "400");
    }
    assert_others_are_answered(&backend, &mut edge);

    // Now nothing is open, and the end of the next request's body has not arrived.
    let start = unix_ms_text();
    let bytes = request(3, "/v1/page", &task_fields(ID_A, &start, &[]), b"ask");
    let (begin, end) = bytes.split_at(bytes.len() - LAST_RECORD_BYTES);
    edge.send(begin);
    (0..INVALID).for_each(|number| edge.send(&malformed_request(10 + number)));
    for response in expect_responses(&mut edge, INVALID) {
        assert_eq!(response.status(), "400");
    }
    edge.send(end);
    assert_eq!(backend.runtime.expect_command("start")["rid"], ID_A);
    backend.runtime.send_run_end(ID_A, "PASS", b"");
    assert_eq!(edge.expect_status(3), "200");
}

/// Guards against one caller's request whose body or parameters are too long, for which the connection of all ended.
#[test]
fn a_request_that_is_too_long_costs_no_other_request_of_its_connection() {
    let long = [0; 60_000];
    let backend = Backend::start();
    let mut edge = connection_with_running_request(&backend);
    for kind in [record_type::STDIN, record_type::PARAMS] {
        edge.send(&record(record_type::BEGIN_REQUEST, 9, BEGIN));
        (0..3).for_each(|_| edge.send(&record(kind, 9, &long)));
        assert_eq!(edge.expect_status(9), "400");
    }
    assert_others_are_answered(&backend, &mut edge);
}

/// Guards against one caller's request that violates the protocol, for which the connection of all ended.
#[test]
fn a_request_that_violates_the_protocol_costs_no_other_request_of_its_connection() {
    let begin = |number| record(record_type::BEGIN_REQUEST, number, BEGIN);
    let truncated_begin = record(record_type::BEGIN_REQUEST, 9, &BEGIN[..2]);
    let same_id_twice = [begin(9), begin(9)].concat();
    let truncated_parameter = [
        begin(9),
        record(record_type::PARAMS, 9, &[200]),
        record(record_type::PARAMS, 9, &[]),
        record(record_type::STDIN, 9, &[]),
    ]
    .concat();
    let backend = Backend::start();
    let mut edge = connection_with_running_request(&backend);
    for bytes in [truncated_begin, same_id_twice, truncated_parameter] {
        edge.send(&bytes);
        assert_eq!(edge.expect_status(9), "400");
    }
    assert_others_are_answered(&backend, &mut edge);
    backend.counters_until(|count| count("tasks_malformed") == 3);
}

/// Guards against a request without KEEP_CONN that ends the reading of its connection, while another one is not complete:
/// the connection ends once both are answered.
#[test]
fn a_request_without_keep_connection_costs_no_other_request_of_its_connection() {
    let backend = Backend::start();
    let mut edge = backend.connect();
    let start = unix_ms_text();
    let bytes = request(1, "/v1/page", &task_fields(ID_A, &start, &[]), b"ask");
    let (begin, end) = bytes.split_at(bytes.len() - LAST_RECORD_BYTES);
    edge.send(begin);
    edge.send(&unkept_request(2, ID_B));
    assert_eq!(backend.runtime.expect_command("start")["rid"], ID_B);
    edge.send(end);
    assert_eq!(backend.runtime.expect_command("start")["rid"], ID_A);
    for (number, id) in [(2, ID_B), (1, ID_A)] {
        backend.runtime.send_run_end(id, "PASS", b"");
        assert_eq!(edge.expect_status(number), "200");
    }
    assert_eq!(edge.read_response(), None);
}

/// Guards against a client that repeats such records without pause for ever: with nothing open on its connection, it
/// is closed, though it never stops to send.
#[test]
fn a_client_that_sends_nothing_but_errors_is_closed() {
    let backend = Backend::start();
    for bytes in [
        aborted_request(1),
        malformed_request(1),
        record(record_type::GET_VALUES, 0, &[]),
        record(record_type::ABORT_REQUEST, 1, &[]),
        record(record_type::STDIN, 1, &[0; 60_000]),
        long_request(1),
    ] {
        let mut client = backend.connect().stream;
        let repeated = bytes.repeat(100);
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        while client.write_all(&repeated).is_ok() {
            assert!(Instant::now() < give_up_at, "record {}", bytes[1]);
        }
    }
    backend.counters_until(|count| {
        count("connections_repeated_errors") == 6 && count("connections_open") == 0
    });
}

/// Guards against a request that is lost behind many aborted ones: its connection is to end, as nothing is open on it,
/// and its edge node has sent no more than it may without a reply.
#[test]
fn a_request_behind_aborted_ones_is_answered_although_its_connection_is_to_end() {
    const OUTSTANDING: u16 = 20;
    const ABORTED: u16 = 200;
    let backend = Backend::start();
    let mut edge = connection_with_running_request(&backend);
    // An edge node whose clients leave one after the other, until reading pauses after every few of them.
    let numbers = 10..10 + OUTSTANDING;
    numbers.clone().for_each(|n| edge.send(&aborted_request(n)));
    for _ in 0..ABORTED {
        let number = edge.read_response().expect("the connection ended").request;
        edge.send(&aborted_request(number));
    }
    edge.send_task(2, "page", ID_B, &[]);
    // Nothing but the unread request is open from here on.
    backend.runtime.send_run_end(ID_A, "PASS", b"");
    assert_eq!(backend.runtime.expect_command("start")["rid"], ID_B);
    backend.runtime.send_run_end(ID_B, "PASS", b"");
    let mut answered: Vec<u16> = expect_responses(&mut edge, OUTSTANDING + 2)
        .into_iter()
        .map(|response| response.request)
        .collect();
    answered.sort_unstable();
    assert!(answered.into_iter().eq([1, 2].into_iter().chain(numbers)));
}

/// Guards against a client that keeps a core busy with such records while a request of its own is open, so that its
/// connection does not end: reading from it pauses. The bound grows with the time that the test itself has taken, so a
/// busy machine can't fail it.
#[test]
fn a_client_that_repeats_errors_beside_an_open_request_is_read_at_a_bounded_rate() {
    const BURST: u32 = 64;
    const ADDED_FOR_REQUEST: u32 = 8;
    const INTERVAL: Duration = Duration::from_millis(5);
    const ROUNDS: u32 = 300;
    let backend = Backend::start();
    let started_at = Instant::now();
    let mut edge = connection_with_running_request(&backend);
    let mut sender = edge.stream.try_clone().unwrap();
    let flood = std::thread::spawn(move || while sender.write_all(&aborted_request(9)).is_ok() {});
    let mut errors = 0;
    while errors < ROUNDS {
        assert_eq!(edge.read_response().unwrap().request, 9);
        errors += 1;
        let added = started_at.elapsed().as_millis() / INTERVAL.as_millis();
        assert!(errors <= BURST + ADDED_FOR_REQUEST + added as u32);
    }
    backend.runtime.send_run_end(ID_A, "PASS", b"");
    while edge.read_response().unwrap().request != 1 {}
    drop(backend);
    flood.join().unwrap();
}

/// Guards against runs for clients that are gone: a connection that is reset aborts what is open on it.
#[test]
fn a_connection_that_is_reset_aborts_its_open_requests() {
    let backend = Backend::start();
    let mut edge = connection_with_running_request(&backend);
    edge.send(&record(record_type::GET_VALUES, 0, &[]));
    wait_until("an unread reply", || edge.stream.peek(&mut [0]).is_ok());
    drop(edge);
    backend.counters_until(|count| {
        count("tasks_aborted") == 1 && count("tasks_open") == 0 && count("connections_broken") == 1
    });
}

/// Guards against a connection that is kept for ever for a request whose rest never comes.
#[test]
fn a_connection_with_nothing_but_a_stalled_request_ends() {
    let backend = Backend::start_before_runtime(|config| {
        for class in config["settings"]["lanes"].as_array_mut().unwrap() {
            class["deadlineNs"] = json!(1_000_000_000);
            class["objectiveNs"] = json!(500_000_000);
        }
    });
    backend.runtime.set_ready();
    let mut edge = connection_with_running_request(&backend);
    backend.runtime.send_run_end(ID_A, "PASS", b"");
    assert_eq!(edge.expect_status(1), "200");
    edge.send(&record(record_type::BEGIN_REQUEST, 2, BEGIN));
    assert_eq!(edge.read_response(), None);
    backend.counters_until(|count| {
        count("connections_stalled") == 1 && count("connections_malformed") == 0
    });
}
