//! How connections end, and what the counters say of it.

use asterdale_testkit::scripted::{
    record, request, task_fields, unix_ms_text, Backend, EdgeConnection,
};

const ID_A: &str = "00000000000000aa";
/// The counters of connections that have ended, one for each reason.
const END_REASONS: [&str; 15] = [
    "finished",
    "not_kept",
    "repeated_errors",
    "body_too_long",
    "malformed",
    "over_memory",
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
