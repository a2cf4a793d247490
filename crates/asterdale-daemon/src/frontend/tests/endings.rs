//! How connections end that fail or whose clients stop, and how a full mailbox delays reading.

use std::io::Write;
use std::sync::Arc;

use asterdale_engine::message::{Connection, EngineMessage, Reply};
use asterdale_testkit::scripted::{start_file_json, unused_address, wait_until};
use crossbeam_channel::unbounded;
use mio::Poll;
use serde_json::json;

use super::support::TestFrontend;
use super::{connected_peer, health_check, FrontendCommand, Writer};
use crate::start::StartSettings;

/// No caller waits longer than a second.
fn start_file() -> StartSettings {
    let address = unused_address();
    let mut start = start_file_json(address, address, address, address);
    for class in start["settings"]["lanes"].as_array_mut().unwrap() {
        class["deadlineNs"] = json!(1_000_000_000);
        class["objectiveNs"] = json!(500_000_000);
    }
    crate::start::parse(start.to_string().as_bytes(), None, None).unwrap()
}

fn next_health_check(frontend: &TestFrontend) -> u16 {
    match frontend.next_message() {
        EngineMessage::HealthCheck { request, .. } => request,
        _ => panic!("not a health check"),
    }
}

/// Guards against requests that are lost while the engine takes none: reading waits for it.
#[test]
fn a_full_mailbox_delays_requests_and_loses_none() {
    const REQUESTS: u8 = 30;
    let frontend = TestFrontend::start(&start_file(), 1);
    let mut client = frontend.connect();
    (1..=REQUESTS).for_each(|number| client.write_all(&health_check(number)).unwrap());
    wait_until("a full mailbox", || frontend.mailbox.is_full());
    let numbers: Vec<u16> = (0..REQUESTS)
        .map(|_| next_health_check(&frontend))
        .collect();
    assert!(numbers.into_iter().eq(1..=REQUESTS.into()));
}

/// Guards against a client that reads nothing and keeps its connection for ever: the engine is told that nobody waits.
#[test]
fn a_client_that_reads_no_replies_loses_its_connection_after_the_longest_deadline() {
    let frontend = TestFrontend::start(&start_file(), 1);
    let mut client = frontend.connect();
    let reply: Arc<[u8]> = [7; 60_000].into();
    // Replies until neither the client's nor the backend's socket takes more, and no further request is read.
    loop {
        // A busy machine's writer may be behind by more replies than a connection may carry.
        wait_until("the writer", || {
            frontend.counters.memory_queued_replies.get() == 0
        });
        client.write_all(&health_check(1)).unwrap();
        match frontend.next_message() {
            EngineMessage::HealthCheck {
                client: peer,
                request,
                ..
            } => peer.answer(request, Reply::Served(reply.clone())),
            EngineMessage::ConnectionClosed(1) => break,
            _ => panic!("neither a health check nor the end of the connection"),
        }
    }
    wait_until("its count", || {
        frontend.counters.connections_send_stalled.get() == 1
    });
    assert_eq!(frontend.counters.connections_broken.get(), 0);
}

/// Guards against a connection that can't be written to and stays open: the engine and the event loop are told.
#[test]
fn a_failed_write_is_reported_to_the_engine_and_the_event_loop() {
    let (poll, (writer, replies)) = (Poll::new().unwrap(), unbounded());
    let (peer, client, commands) = connected_peer(&poll, &writer);
    let (engine, mailbox) = unbounded();
    let writer = Writer {
        replies,
        engine,
        counters: Arc::default(),
        started_at: std::time::Instant::now(),
    };
    std::thread::spawn(move || writer.run());
    peer.add_open_request();
    peer.clone().answer(1, Reply::Failed);
    wait_until("a reply that the client has not read", || {
        client.peek(&mut [0]).is_ok()
    });
    // The system resets a connection that is closed with unread input.
    drop(client);
    peer.add_open_request();
    peer.clone().answer(2, Reply::Failed);
    let message = mailbox.recv_timeout(super::TEST_TIMEOUT).unwrap();
    assert!(matches!(message, EngineMessage::ConnectionClosed(1)));
    wait_until("the event loop's command", || {
        let mut received = commands.take();
        received.any(|command| matches!(command, FrontendCommand::WriteFailed { connection: 1 }))
    });
    assert!(peer.has_write_failed());
}

/// Guards against requests that are passed to the engine after their client has reset its connection: the system still
/// hands out what had arrived before.
#[test]
fn requests_that_are_unread_when_their_client_resets_its_connection_are_discarded() {
    const OTHER_REQUESTS: u8 = 4;
    let frontend = TestFrontend::start(&start_file(), 1);
    let mut client = frontend.connect();
    client.write_all(&health_check(1)).unwrap();
    let EngineMessage::HealthCheck { client: peer, .. } = frontend.next_message() else {
        panic!("not a health check")
    };
    peer.answer(1, Reply::Malformed);
    client.peek(&mut [0]).unwrap();
    // The event loop has read these at once when the mailbox is full, and then waits for the engine.
    let mut other = frontend.connect();
    let checks: Vec<u8> = (1..=OTHER_REQUESTS).flat_map(health_check).collect();
    other.write_all(&checks).unwrap();
    wait_until("a full mailbox", || frontend.mailbox.is_full());
    (2..=30).for_each(|number| client.write_all(&health_check(number)).unwrap());
    // Closing a socket with an unread reply resets the connection.
    drop(client);

    let mut passed = 0;
    while !matches!(frontend.next_message(), EngineMessage::ConnectionClosed(1)) {
        passed += 1;
    }
    assert_eq!(passed, OTHER_REQUESTS);
    wait_until("the end of the connection", || {
        frontend.counters.connections_broken.get() == 1
    });
}
