//! Frames of the hot-restart protocol that an earlier release wrote are decoded to the same messages, and encoded again
//! to the same bytes. There is at least one frame of every kind, and each field has a distinct value.
//! `fixtures/frames/README.md` says how the file was made.

use asterdale_hot_restart::frame::{encode, FrameDecoder};
use asterdale_hot_restart::message::frame::Payload;
use asterdale_hot_restart::message::{
    Abort, CallEnded, Go, HealthCheck, Hello, Listeners, ListenersAdopted, Mirror, Outcome,
    Progress, Refuse, Release, Reply, Request, ResponseRoute, StateChunk, StateLoaded,
    TrialStateLoaded, Upgrade,
};
use asterdale_hot_restart::VERSION;

const FRAMES: &[u8] = include_bytes!("fixtures/frames/every-kind.bin");

fn route(connection: u64, request: u32) -> Option<ResponseRoute> {
    Some(ResponseRoute {
        connection,
        request,
    })
}

/// The messages in the order of the file.
fn messages() -> Vec<Payload> {
    let mut messages = hand_over_messages();
    messages.extend(request_messages());
    messages.extend(reply_messages());
    messages.extend(control_messages());
    messages
}

fn text(text: &str) -> String {
    text.to_owned()
}

/// From the hello to `Go`, and a refusal.
fn hand_over_messages() -> Vec<Payload> {
    vec![
        Payload::Hello(Hello {
            version: 1,
            state_format: 1,
            nonce: vec![0xa1, 0xb2, 0xc3],
        }),
        Payload::Listeners(Listeners {
            epoch: 7,
            addresses: vec![text("127.0.0.1:8080"), text("[::1]:8443")],
        }),
        Payload::ListenersAdopted(ListenersAdopted {}),
        Payload::TrialState(StateChunk {
            epoch: 0,
            bytes: vec![1, 2, 3],
            is_last: true,
        }),
        Payload::TrialStateLoaded(TrialStateLoaded {}),
        Payload::State(StateChunk {
            epoch: 8,
            bytes: vec![4, 5],
            is_last: false,
        }),
        Payload::State(StateChunk {
            epoch: 8,
            bytes: vec![6],
            is_last: true,
        }),
        Payload::StateLoaded(StateLoaded { epoch: 8 }),
        Payload::Go(Go { epoch: 9 }),
        Payload::Refuse(Refuse {
            reason: text("other stages"),
        }),
    ]
}

/// Messages that are relayed to the new process.
fn request_messages() -> Vec<Payload> {
    vec![
        Payload::Request(Request {
            route: route(1 << 40, 513),
            id: b"9b1f03aa5c7e2d41".to_vec(),
            request_class: 1,
            start_ms: 1_700_000_000_123.5,
            edge_node: 3,
            timeout_ms: Some(900.25),
            cost_hint_ms: Some(12.5),
            memory_kb: 6.75,
            idempotency_key: Some(b"key-1".to_vec()),
            body: b"body".to_vec(),
            token: Some(b"token".to_vec()),
            unread_ms: 4.5,
            tenant: 2,
        }),
        // An absent field is distinguished from an empty one.
        Payload::Request(Request {
            route: route(2, 1),
            id: vec![b'0'; 16],
            memory_kb: 1.0,
            ..Request::default()
        }),
        Payload::Request(Request {
            route: route(2, 2),
            idempotency_key: Some(Vec::new()),
            token: Some(Vec::new()),
            ..Request::default()
        }),
        Payload::Abort(Abort {
            route: route(5, 6),
            entire_connection: false,
        }),
        Payload::Abort(Abort {
            route: route(5, 0),
            entire_connection: true,
        }),
        Payload::CallEnded(CallEnded {
            task_id: 77,
            outcome: 3,
            took_ms: 41.5,
            body: b"reply".to_vec(),
        }),
        Payload::HealthCheck(HealthCheck {
            route: route(8, 9),
            is_deep: true,
        }),
    ]
}

/// Messages that are sent to the old process, and its release.
fn reply_messages() -> Vec<Payload> {
    vec![
        Payload::Reply(Reply {
            route: route(10, 11),
            kind: 1,
            body: b"result".to_vec(),
            number: 1801,
        }),
        Payload::Mirror(Mirror {
            idempotency_key: b"key-2".to_vec(),
            request_class: 1,
            tenant: 4,
            owner: 78,
            request_id: b"9b1f03aa5c7e2d42".to_vec(),
            event: 2,
            body_digest: 0x0123_4567_89ab_cdef,
            expires_ms: 1_700_000_005_000.25,
            result: Some(b"sold".to_vec()),
        }),
        Payload::Mirror(Mirror {
            idempotency_key: b"key-3".to_vec(),
            owner: 79,
            event: 2,
            ..Mirror::default()
        }),
        Payload::Release(Release {}),
    ]
}

/// Messages between the control socket and the requester of an upgrade.
fn control_messages() -> Vec<Payload> {
    vec![
        Payload::Upgrade(Upgrade {
            program: text("/usr/local/bin/asterdale"),
        }),
        Payload::Progress(Progress {
            phase: text("the state is under way"),
        }),
        Payload::Outcome(Outcome {
            succeeded: true,
            reason: text("done"),
            process_id: 4321,
        }),
    ]
}

#[test]
fn stored_frames_are_read_to_the_same_messages() {
    assert_eq!(VERSION, 1);
    let mut decoder = FrameDecoder::default();
    decoder.push(FRAMES);
    for expected in messages() {
        assert_eq!(decoder.next_message(), Ok(Some(expected)));
    }
    assert_eq!(decoder.next_message(), Ok(None));
}

#[test]
fn the_messages_are_written_to_the_stored_bytes() {
    let bytes: Vec<u8> = messages().into_iter().flat_map(encode).collect();
    assert!(bytes == FRAMES, "the bytes differ");
}
