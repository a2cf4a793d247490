//! What clients see at the bounds of a small process's memory.

use std::time::{Duration, Instant};

use asterdale_testkit::scripted::{wait_until, Backend, EdgeConnection, Response, WAIT_TIMEOUT};
use serde_json::json;

/// The least memory that every build accepts, in MB.
const MEMORY_MB: u32 = 11;
/// More keyed requests than a process of that size retains.
const REQUESTS: usize = 600;

/// Waits for the next response. Each run that is started meanwhile ends with a result.
fn response_while_runs_pass(backend: &Backend, edge: &mut EdgeConnection) -> Response {
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if let Some(command) = backend.runtime.try_next_command() {
            let id = command["rid"].as_str().unwrap();
            backend.runtime.send_run_end(id, "PASS", b"done");
        }
        if let Ok(response) = edge.try_read_response() {
            return response.expect("the connection ended");
        }
    }
    panic!("no response")
}

/// Guards against a rejection without advice once no more idempotency keys can be retained: clients came again at once.
#[test]
fn a_keyed_request_that_cannot_be_retained_is_rejected_with_advice_and_never_runs() {
    let backend =
        Backend::start_before_runtime(|start| start["limits"]["memory_mb"] = json!(MEMORY_MB));
    backend.runtime.set_ready();
    wait_until("the start of the server", || {
        backend.log().contains("engine: server started")
    });
    let mut edge = backend.connect();
    let poll_interval = Some(Duration::from_millis(1));
    edge.stream.set_read_timeout(poll_interval).unwrap();
    let mut served = 0;
    let rejection = (0..REQUESTS).find_map(|number| {
        let (id, key) = (format!("{number:016x}"), format!("key-{number}"));
        edge.send_task(1, "bid", &id, &[("HTTP_IDEMPOTENCY_KEY", &key)]);
        let response = response_while_runs_pass(&backend, &mut edge);
        served += usize::from(response.status() == "200");
        (response.status() != "200").then_some(response)
    });
    let rejection = rejection.expect("a rejection");
    assert_eq!(rejection.status(), "503", "{rejection:?}");
    assert!(rejection.head.contains("Retry-After-Ms: "), "{rejection:?}");
    assert!(served > 100, "{served}");
    assert_eq!(backend.runtime.try_next_command(), None);
    // A repeat needs no entry of its own, so it is not rejected.
    let first_key = [("HTTP_IDEMPOTENCY_KEY", "key-0")];
    edge.send_task(1, "bid", "00000000000000aa", &first_key);
    let repeat = response_while_runs_pass(&backend, &mut edge);
    assert_eq!(
        (repeat.status(), repeat.body.as_slice()),
        ("200", &b"done"[..])
    );
    backend.counters_until(|count| {
        count("requests_overloaded") == 1
            && count("idempotency_table_full") == 1
            && count("runs_started") == served as u64
    });
}
