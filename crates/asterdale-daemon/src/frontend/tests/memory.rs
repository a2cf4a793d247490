//! The memory that clients can fill: requests that wait for the engine, replies that wait for their clients, incomplete
//! requests. The tests count bytes against the shares of the budget.

use std::net::TcpStream;
use std::sync::Arc;

use asterdale_engine::memory::{
    lookup_bytes, ConnectionMemory, MemoryAccount, MemoryBudget, MemoryReservation,
};
use asterdale_engine::message::{Frontends, Reply, Shortage};
use asterdale_fastcgi::{record_type, DEFAULT_BUFFER_BYTES};
use asterdale_testkit::scripted::{
    record, request, start_file_json, task_fields, unix_ms_text, unused_address, wait_until,
    EdgeConnection,
};
use crossbeam_channel::unbounded;
use mio::{Events, Poll};
use serde_json::json;

use super::support::{TestFrontend, TEST_TIMEOUT};
use super::{connected_peer, FrontendCommand, OutgoingReply, Writer};
use crate::start::StartSettings;

/// The platform's largest body and key, in bytes, and open requests of one connection.
const BODY_BYTES: usize = 2048;
const KEY_BYTES: usize = 128;
const REQUESTS: u16 = 32;

/// The smallest memory of the platform.
fn start_file() -> StartSettings {
    let address = unused_address();
    let mut start = start_file_json(address, address, address, address);
    start["limits"] = json!({"memory_mb": 32, "sockets": 512});
    crate::start::parse(start.to_string().as_bytes(), None, None).unwrap()
}

/// A keyed request of the largest size, unlike any other.
fn largest_request(client: usize, number: u16) -> Vec<u8> {
    largest_request_of_class(client, number, "bid")
}

/// A request of this class and of the largest size, unlike any other. Requests of the class `page` have no key.
fn largest_request_of_class(client: usize, number: u16, class: &str) -> Vec<u8> {
    let (id, key) = (
        format!("{client:08x}{number:08x}"),
        format!("{client:064x}{number:064x}"),
    );
    let start = unix_ms_text();
    let fields = task_fields(&id, &start, &[("HTTP_IDEMPOTENCY_KEY", &key)]);
    request(number, &format!("/v1/{class}"), &fields, &[7; BODY_BYTES])
}

/// The length of a record's header, in bytes, and those of a request's first and last record.
const RECORD_HEAD_BYTES: usize = 8;
const BEGIN_RECORD_BYTES: usize = 19;
const LAST_RECORD_BYTES: usize = 11;

/// A record type that the specification does not define.
const RECORD_TYPE_UNKNOWN: u8 = 77;

/// The header of a record with this much content, which does not follow.
fn long_record_head(length: u16) -> Vec<u8> {
    let [high, low] = length.to_be_bytes();
    vec![1, record_type::PARAMS, 0, 9, high, low, 0, 0]
}

/// Opens connections, and waits until all of them are accepted.
fn connect_clients(frontend: &TestFrontend, count: usize) -> Vec<EdgeConnection<TcpStream>> {
    let clients = (0..count)
        .map(|_| EdgeConnection::new(frontend.connect()))
        .collect();
    wait_until("all connections", || {
        frontend.handle.open_connections() == count
    });
    clients
}

/// Connects clients whose records never end, until less than `room` bytes of the share of incomplete requests are left.
fn fill_share(
    frontend: &TestFrontend,
    share: usize,
    room: usize,
) -> Vec<EdgeConnection<TcpStream>> {
    let buffered = || frontend.counters.memory_partial_requests.get() as usize;
    let mut clients = Vec::new();
    while share - buffered() >= room {
        let (before, left) = (buffered(), share - buffered());
        let length = (left + DEFAULT_BUFFER_BYTES).min(u16::MAX.into()) - RECORD_HEAD_BYTES;
        let mut client = EdgeConnection::new(frontend.connect());
        client.send(&long_record_head(length as u16));
        clients.push(client);
        wait_until("a larger buffer", || buffered() > before);
    }
    clients
}

/// Connects clients with records of this length that never end, so many that they exceed the share of incomplete
/// requests.
fn exceed_share(
    frontend: &TestFrontend,
    start: &StartSettings,
    length: u16,
) -> Vec<EdgeConnection<TcpStream>> {
    // What a record takes beyond every connection's buffer counts towards the share.
    let kept = start.memory.partial_requests / (usize::from(length) - DEFAULT_BUFFER_BYTES);
    let unfinished_client = |_| {
        let mut client = EdgeConnection::new(frontend.connect());
        client.send(&long_record_head(length));
        client
    };
    (0..=kept).map(unfinished_client).collect()
}

/// Guards against requests that wait for the engine without a bound in bytes: a burst of them took the process over its
/// memory limit.
#[test]
fn requests_that_wait_for_the_engine_stay_within_their_share_and_the_rest_is_rejected_at_once() {
    const CLIENTS: usize = 100;
    let start = start_file();
    let frontend = TestFrontend::start(&start, 4096);
    let mut clients = connect_clients(&frontend, CLIENTS);
    for (index, client) in clients.iter_mut().enumerate() {
        for number in 1..=REQUESTS {
            client.send(&largest_request_of_class(index, number, "page"));
        }
    }
    let sent = CLIENTS * usize::from(REQUESTS);
    wait_until("all requests", || {
        let rejected = frontend.counters.requests_over_memory.get() as usize;
        frontend.mailbox.len() + rejected == sent
    });

    let share = start.memory.open_requests;
    let queued_bytes = frontend.counters.memory_queued_requests.get() as usize;
    assert!(queued_bytes <= share, "{queued_bytes} of {share}");
    assert!(frontend.request_memory.used() <= share);
    assert!(queued_bytes >= frontend.mailbox.len() * BODY_BYTES);

    // No client is without an open request, and each gets all of its answers.
    let mut open_requests = [0; CLIENTS];
    for _ in 0..frontend.mailbox.len() {
        let request = frontend.next_request();
        open_requests[request.client.connection_id() as usize - 1] += 1;
        request.answer(Reply::Failed);
    }
    for (client, open) in clients.iter_mut().zip(open_requests) {
        let replies: Vec<_> = (0..REQUESTS)
            .map(|_| client.read_response().expect("a reply to every request"))
            .collect();
        let rejected = replies.iter().filter(|reply| reply.status() == "503");
        assert!(rejected
            .clone()
            .all(|reply| reply.head.contains("Retry-After-Ms: ")));
        assert!(open >= 1);
        assert_eq!(rejected.count() + open, usize::from(REQUESTS));
    }
    wait_until("the release of all memory", || {
        frontend.request_memory.used() == 0
    });
    assert_eq!(frontend.counters.memory_queued_requests.get(), 0);
}

/// Guards against a keyed request that is refused before the idempotency table was asked, because there is no memory for
/// it: an attempt under its key may have run. Requests that are to be looked up wait for the engine within their share.
#[test]
fn a_keyed_request_without_memory_is_refused_by_nobody_but_the_engine() {
    const CLIENTS: usize = 100;
    let start = start_file();
    let frontend = TestFrontend::start(&start, 4096);
    let mut clients = connect_clients(&frontend, CLIENTS);
    for (index, client) in clients.iter_mut().enumerate() {
        for number in 1..=REQUESTS {
            client.send(&largest_request(index, number));
        }
    }
    let lookups = frontend.request_memory.lookups();
    wait_until("the wait for lookups", || {
        lookups.used() + lookup_bytes(BODY_BYTES, KEY_BYTES) > lookups.limit()
    });
    let counters = &frontend.counters;
    let share = start.memory.open_requests + start.memory.repeats;
    let mut looked_up = [0; CLIENTS];
    for _ in 0..CLIENTS * usize::from(REQUESTS) {
        assert!(counters.memory_queued_requests.get() as usize <= share);
        assert!(frontend.request_memory.used() <= share);
        let request = frontend.next_request();
        if let Some(shortage) = request.capacity.shortage() {
            assert_eq!(shortage, Shortage::Memory);
            looked_up[request.client.connection_id() as usize - 1] += 1;
            request.answer(shortage.refuse(counters, 1000.0));
        } else {
            request.answer(Reply::Failed);
        }
    }
    let refused: usize = looked_up.iter().sum();
    assert!(refused > 0);
    assert_eq!(counters.requests_over_memory.get() as usize, refused);
    for (client, looked_up) in clients.iter_mut().zip(looked_up) {
        let replies: Vec<_> = (0..REQUESTS)
            .map(|_| client.read_response().expect("a reply to every request"))
            .collect();
        let rejected = replies.iter().filter(|reply| reply.status() == "503");
        assert_eq!(rejected.count(), looked_up);
    }
    wait_until("the release of all memory", || {
        frontend.request_memory.used() == 0
    });
}

/// Guards against replies that are kept for a client that reads nothing, and are counted nowhere.
#[test]
fn the_memory_of_a_reply_is_reserved_until_its_client_has_accepted_it() {
    const REPLIES: u16 = 400;
    const BODY_BYTES: usize = 60_000;
    const MAX_HEAD_BYTES: usize = 200;
    let (mut poll, (writer, replies)) = (Poll::new().unwrap(), unbounded::<OutgoingReply>());
    let (peer, client, commands) = connected_peer(&poll, &writer);
    let account = MemoryAccount::new(&MemoryBudget {
        open_requests: usize::from(REPLIES) * BODY_BYTES,
        ..MemoryBudget::default()
    });
    let memory = ConnectionMemory::new(account.clone());
    for number in 0..REPLIES {
        let reserved = memory.reserve(BODY_BYTES).unwrap();
        peer.add_open_request();
        peer.answer_request(number, Reply::Served([7; BODY_BYTES].into()), reserved);
    }
    let writer = Writer {
        replies,
        engine: unbounded().0,
        counters: Arc::default(),
        started_at: std::time::Instant::now(),
    };
    std::thread::spawn(move || writer.run());
    poll.poll(&mut Events::with_capacity(1), Some(TEST_TIMEOUT))
        .unwrap();
    // The writer has passed on what the socket did not accept; only that is still reserved, with some heads.
    let (mut unsent, mut kept) = (Vec::new(), 0);
    wait_until("all unsent replies", || {
        for command in commands.take() {
            let FrontendCommand::WriteUnsent { bytes, memory, .. } = command else {
                panic!("the connection failed")
            };
            assert!(memory.bytes() + MAX_HEAD_BYTES * usize::from(REPLIES) >= bytes.len());
            kept += bytes.len();
            unsent.push(memory);
        }
        let reserved: usize = unsent.iter().map(MemoryReservation::bytes).sum();
        kept > 0 && account.used() == reserved
    });
    assert!(account.used() < usize::from(REPLIES) * BODY_BYTES);
    drop(unsent);
    assert_eq!(account.used(), 0);
    drop(client);
}

/// Guards against error replies that wait for the writer without a bound, when what is answered no longer ends the
/// connection.
#[test]
fn reading_pauses_while_error_replies_wait_for_the_writer() {
    const MAX_UNWRITTEN_RECORDS: usize = 4;
    let frontend = TestFrontend::start_without_writer(&start_file(), 1);
    let mut client = EdgeConnection::new(frontend.connect());
    let unknown = record(RECORD_TYPE_UNKNOWN, 0, &[]);
    client.send(&unknown.repeat(100));
    wait_until("the replies", || {
        frontend.replies.len() >= MAX_UNWRITTEN_RECORDS
    });
    // The event loop continues to read other connections.
    for number in 1..=3 {
        let mut other = EdgeConnection::new(frontend.connect());
        other.send(&super::health_check(number));
        frontend.next_message();
    }
    assert_eq!(frontend.replies.len(), MAX_UNWRITTEN_RECORDS);
}

/// Guards against buffers that have grown for a record whose rest never comes, and are counted nowhere.
#[test]
fn buffers_of_records_that_never_end_stay_within_their_share() {
    const CLIENTS: usize = 100;
    let start = start_file();
    let frontend = TestFrontend::start(&start, 1);
    let mut clients = connect_clients(&frontend, CLIENTS);
    for client in &mut clients {
        client.send(&long_record_head(u16::MAX));
    }
    let share = start.memory.partial_requests;
    let kept = share / usize::from(u16::MAX);
    wait_until("the drop of those beyond the share", || {
        frontend.counters.partial_requests_over_memory.get() as usize >= CLIENTS - kept - 2
    });
    let buffered = frontend.counters.memory_partial_requests.get() as usize;
    assert!(buffered <= share, "{buffered} of {share}");
    assert!(buffered >= share / 2, "{buffered} of {share}");
}

/// Guards against clients whose requests never end and cost another one its connection, because it is the next one whose
/// incomplete request grows.
#[test]
fn the_largest_incomplete_requests_give_way_and_a_small_one_is_completed() {
    let start = start_file();
    let frontend = TestFrontend::start(&start, 1);
    let mut sound = EdgeConnection::new(frontend.connect());
    // A connection that has brought a request is not ended as silent, however slow the machine is.
    sound.send(&largest_request(0, 1));
    frontend.next_request().answer(Reply::Failed);
    assert_eq!(sound.expect_status(1), "500");
    let bytes = largest_request(0, 2);
    let (begin, rest) = bytes.split_at(bytes.len() - BODY_BYTES);
    let (body, end) = rest.split_at(rest.len() - LAST_RECORD_BYTES);
    sound.send(begin);
    let buffered = || frontend.counters.memory_partial_requests.get() as usize;
    wait_until("half a request", || buffered() > 0);
    let share = start.memory.partial_requests;
    let clients = fill_share(&frontend, share, BODY_BYTES / 2);
    sound.send(body);
    wait_until("the drop of a larger one", || {
        frontend.counters.partial_requests_over_memory.get() > 0
    });
    sound.send(end);
    let request = frontend.next_request();
    assert_eq!(request.body, [7; BODY_BYTES]);
    request.answer(Reply::Failed);
    assert_eq!(sound.expect_status(2), "500");
    assert!(buffered() <= share);
    drop(clients);
}

/// Guards against malformed input that is forgotten because incomplete requests exceed their share at the same time.
#[test]
fn malformed_input_ends_its_connection_also_when_the_share_is_exceeded() {
    let start = start_file();
    let frontend = TestFrontend::start(&start, 1);
    let share = start.memory.partial_requests;
    let clients = fill_share(&frontend, share, BODY_BYTES / 2);
    let mut malformed = EdgeConnection::new(frontend.connect());
    let begin = &largest_request(0, 1)[..BEGIN_RECORD_BYTES];
    let params = record(record_type::PARAMS, 1, &[0; BODY_BYTES]);
    malformed.send(&[begin, &params, b"GET / HTTP/1.1"].concat());
    assert_eq!(malformed.read_response(), None);
    assert_eq!(frontend.counters.connections_malformed.get(), 1);
    drop(clients);
}

/// Guards against a connection that is read no further because one incomplete request on it takes the most memory of all:
/// only that request is rejected.
#[test]
fn a_connection_whose_incomplete_request_is_dropped_carries_its_other_requests() {
    const LARGE: usize = 60_000;
    const SMALLER: u16 = 50_000;
    let start = start_file();
    let frontend = TestFrontend::start(&start, 2);
    let mut edge = EdgeConnection::new(frontend.connect());
    edge.send(&largest_request(0, 1));
    let first = frontend.next_request();
    let begin = &largest_request(0, 2)[..BEGIN_RECORD_BYTES];
    edge.send(begin);
    edge.send(&record(record_type::PARAMS, 2, &[0; LARGE]));
    let counters = &frontend.counters;
    wait_until("the large request", || {
        counters.memory_partial_requests.get() as usize >= LARGE
    });
    let clients = exceed_share(&frontend, &start, SMALLER);
    // Its class is not known, so an earlier attempt may have run.
    let dropped = edge.read_response().expect("a reply to the large request");
    assert_eq!((dropped.request, dropped.status()), (2, "500"));
    assert!(dropped.head.contains("X-Outcome: unknown"), "{dropped:?}");
    assert!(dropped.head.contains("Retry-After-Ms: "), "{dropped:?}");

    edge.send(&largest_request(0, 3));
    frontend.next_request().answer(Reply::Failed);
    assert_eq!(edge.expect_status(3), "500");
    first.answer(Reply::Failed);
    assert_eq!(edge.expect_status(1), "500");
    drop(clients);
}

/// Guards against an incomplete request that is dropped with a reply that it never ran, although an earlier attempt under
/// its key may have run.
#[test]
fn a_dropped_incomplete_request_is_refused_only_if_its_class_has_no_keys() {
    const LARGE: usize = 60_000;
    const SMALLER: u16 = 40_000;
    for (class, expected_status) in [("page", "503"), ("bid", "500")] {
        let start = start_file();
        let frontend = TestFrontend::start(&start, 2);
        let mut edge = EdgeConnection::new(frontend.connect());
        let (time, filler) = (unix_ms_text(), "f".repeat(LARGE));
        let other = [("HTTP_IDEMPOTENCY_KEY", "key"), ("HTTP_X_FILLER", &filler)];
        let fields = task_fields("00000000000000aa", &time, &other);
        let bytes = request(7, &format!("/v1/{class}"), &fields, b"");
        edge.send(&bytes[..bytes.len() - LAST_RECORD_BYTES]);
        wait_until("the large request", || {
            frontend.counters.memory_partial_requests.get() as usize >= LARGE
        });
        let clients = exceed_share(&frontend, &start, SMALLER);
        let reply = edge.read_response().expect("a reply");
        assert_eq!((reply.request, reply.status()), (7, expected_status));
        assert!(reply.head.contains("Retry-After-Ms: "), "{reply:?}");
        drop(clients);
    }
}
