//! Tests of the frontend that need its private state: requests that arrive while a connection is ending, and replies
//! that a client's socket does not accept at once.

mod endings;
mod memory;
mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use asterdale_engine::mailbox::{self, MailboxReceiver};
use asterdale_engine::memory::{MemoryAccount, MemoryBudget};
use asterdale_engine::message::{EngineMessage, Frontends, Reply};
use asterdale_fastcgi::Response;
use crossbeam_channel::{unbounded, Sender};
use mio::{Events, Poll, Token};
use serde_json::json;

use super::command::FrontendCommand;
use super::peer::Peer;
use super::stream::ClientStream;
use super::{OutgoingReply, Writer};
use crate::start::StartSettings;
use support::{TestFrontend, TEST_TIMEOUT};

/// A health check as an edge node sends it; its path is the one parameter.
fn health_check(request: u8) -> Vec<u8> {
    let mut bytes = vec![
        1, 1, 0, request, 0, 8, 0, 0, 0, 1, 1, 0, 0, 0, 0, 0, 1, 4, 0, request, 0, 23, 0, 0,
    ];
    bytes.extend(b"\x0b\x08SCRIPT_NAME/healthz\0\0");
    bytes.extend([1, 4, 0, request, 0, 0, 0, 0, 1, 5, 0, request, 0, 0, 0, 0]);
    bytes
}

fn start_file() -> StartSettings {
    let start = json!({"name": "n", "listen": "127.0.0.1:0", "runtime": "127.0.0.1:1", "registry":
        "127.0.0.1:1", "records": "127.0.0.1:1", "seed": "1", "stop_ms": 1, "limits": {"memory_mb": 32,
        "sockets": 64}, "settings": {"extra": {"cores": 1, "memoryKb": 1}, "lanes": [{"name": "page"}]}});
    crate::start::parse(start.to_string().as_bytes(), None, None).unwrap()
}

#[test]
fn request_sent_to_an_ending_connection_is_answered_while_another_is_open() {
    let frontend = TestFrontend::start(&start_file(), 9);
    let mut client = frontend.connect();

    client.write_all(&health_check(1)).unwrap();
    let EngineMessage::HealthCheck {
        client: peer,
        request: 1,
        ..
    } = frontend.next_message()
    else {
        panic!("not the first health check")
    };
    frontend.handle.end_answered_connections();
    thread::sleep(Duration::from_millis(20));
    client.write_all(&health_check(2)).unwrap();
    let EngineMessage::HealthCheck { request: 2, .. } = frontend.next_message() else {
        panic!("not the second health check")
    };
    (1..=2).for_each(|request| peer.clone().answer(request, Reply::Malformed));
    drop(peer);

    let mut received = Vec::new();
    client.read_to_end(&mut received).unwrap();
    let replies = received
        .windows(11)
        .filter(|part| part == b"Status: 400")
        .count();
    assert_eq!(replies, 2);
}

/// A peer whose event loop is the returned mailbox, and its client's socket.
fn connected_peer(
    poll: &Poll,
    writer: &Sender<OutgoingReply>,
) -> (Arc<Peer>, TcpStream, MailboxReceiver<FrontendCommand>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    server.set_nonblocking(true).unwrap();
    let (event_loop, commands) = mailbox::open(poll, Token(0)).unwrap();
    let stream = Arc::new(ClientStream::Plain(server));
    let peer = Peer::new(
        1,
        stream,
        writer.clone(),
        event_loop,
        Arc::default(),
        MemoryAccount::new(&MemoryBudget::default()),
    );
    let client = listener.accept().unwrap().0;
    (peer, client, commands)
}

#[test]
fn replies_that_the_socket_does_not_accept_go_to_the_event_loop_complete_and_in_order() {
    // Far more than any socket buffers.
    const REPLIES: usize = 400;
    const BODY_BYTES: usize = 60_000;
    const ENCODED_BYTES: usize = 60_032;
    let (mut poll, (writer, replies)) = (Poll::new().unwrap(), unbounded());
    let (engine, _mailbox) = unbounded();
    let (peer, mut client, commands) = connected_peer(&poll, &writer);
    for n in 0..REPLIES {
        let body = vec![n as u8; BODY_BYTES].into();
        peer.send_record(Response::new(n as u16, "", body));
    }
    let writer = Writer {
        replies,
        engine,
        counters: Arc::default(),
        started_at: Instant::now(),
    };
    thread::spawn(move || writer.run());
    // The client reads nothing until the writer has found the socket's send buffer full: a fast reader could keep the
    // buffer from ever filling up.
    poll.poll(&mut Events::with_capacity(1), Some(TEST_TIMEOUT))
        .unwrap();
    client
        .set_read_timeout(Some(Duration::from_millis(1)))
        .unwrap();
    let (mut received, mut unsent, mut chunk) = (Vec::new(), Vec::new(), vec![0; 65_536]);
    let give_up_at = Instant::now() + TEST_TIMEOUT;
    while received.len() + unsent.len() < REPLIES * ENCODED_BYTES && Instant::now() < give_up_at {
        if let Ok(count) = client.read(&mut chunk) {
            received.extend_from_slice(&chunk[..count]);
        }
        for command in commands.take() {
            let FrontendCommand::WriteUnsent { bytes, .. } = command else {
                panic!("the connection failed")
            };
            unsent.extend(bytes);
        }
    }
    assert!(!unsent.is_empty() && !received.is_empty());
    received.extend(unsent);
    assert_eq!(received.len(), REPLIES * ENCODED_BYTES);
    for (n, reply) in received.chunks(ENCODED_BYTES).enumerate() {
        let body = &reply[8..8 + BODY_BYTES];
        assert!(body.iter().all(|&byte| byte == n as u8), "{n}");
    }
}
