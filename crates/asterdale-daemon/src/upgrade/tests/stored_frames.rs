//! Tests that frames written by an earlier release are still read as the same replies, requests, outcomes and mirrored
//! events: the numbers that stand for them in messages must not change, so that processes of different releases
//! understand each other. `tests/fixtures/frames/README.md` says how the file of frames was made.

use std::os::unix::net::UnixStream;

use asterdale::events::Outcome;
use asterdale_engine::message::{EngineMessage, IdempotencyKey, Reply, ResponseRoute};
use asterdale_engine::state_transfer::{HotRestartStep, MirroredEvent};
use asterdale_hot_restart::frame::{encode, FrameDecoder};
use asterdale_hot_restart::message::frame::Payload;
use asterdale_hot_restart::message::{
    Abort, CallEnded, Mirror, Reply as ReplyFrame, Request as RequestFrame,
};
use asterdale_identity::DenialStatus;

use crate::upgrade::channel::open_channel;
use crate::upgrade::mirror::mirror_frame;
use crate::upgrade::new_process::hello;
use crate::upgrade::relay::{engine_message, hot_restart_step};
use crate::upgrade::reply::{reply, reply_frame, route_frame};
use crate::upgrade::{CONTROL_VARIABLE, NONCE_VARIABLE};

const FRAMES: &[u8] = include_bytes!("../../../tests/fixtures/frames/meanings.bin");
const ROUTE: ResponseRoute = ResponseRoute {
    connection: 1 << 40,
    request: 513,
};
const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::Unreachable,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Stale,
];

/// A reply of each kind, with the number of its kind in messages.
fn replies() -> Vec<(u32, Reply)> {
    let denied = |kind| Reply::Denied {
        kind,
        retry_after_ms: 7,
    };
    vec![
        (0, Reply::Served(b"sold for 7".as_slice().into())),
        (
            1,
            Reply::Rejected {
                is_final: true,
                retry_after_ms: 900,
            },
        ),
        (
            1,
            Reply::Rejected {
                is_final: false,
                retry_after_ms: 901,
            },
        ),
        (2, Reply::Overloaded),
        (3, Reply::Failed),
        (4, Reply::Malformed),
        (5, Reply::CallerGone),
        (6, Reply::HealthChecked(true)),
        (6, Reply::HealthChecked(false)),
        (7, denied(DenialStatus::Unauthenticated)),
        (8, denied(DenialStatus::Forbidden)),
        (9, denied(DenialStatus::QuotaExceeded)),
        (10, denied(DenialStatus::Unavailable)),
    ]
}

/// A mirrored event of each kind, with the number of its kind in messages.
fn mirrored_events() -> Vec<(u32, MirroredEvent)> {
    let key = || IdempotencyKey {
        class: 1,
        tenant: 2,
        bytes: b"key-1".as_slice().into(),
    };
    let id = *b"9b1f03aa5c7e2d41";
    vec![
        (
            0,
            MirroredEvent::KeyRetained {
                key: key(),
                owner: 7,
                body_digest: 9,
                until_ms: 1_700_000_005_000.25,
            },
        ),
        (
            1,
            MirroredEvent::TaskStarted {
                id,
                key: Some((key(), 7)),
            },
        ),
        (1, MirroredEvent::TaskStarted { id, key: None }),
        (
            2,
            MirroredEvent::TaskEnded {
                key: key(),
                owner: 7,
                result: Some(b"sold".as_slice().into()),
            },
        ),
        (
            2,
            MirroredEvent::TaskEnded {
                key: key(),
                owner: 7,
                result: None,
            },
        ),
        (
            3,
            MirroredEvent::KeyDropped {
                key: key(),
                owner: 7,
            },
        ),
    ]
}

fn request() -> RequestFrame {
    RequestFrame {
        route: route_frame(ROUTE),
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
    }
}

/// The frames in the order of the file.
fn frames() -> Vec<Payload> {
    let replies = replies()
        .into_iter()
        .map(|(_, reply)| Payload::Reply(reply_frame(ROUTE, &reply)));
    let events = mirrored_events()
        .into_iter()
        .map(|(_, event)| Payload::Mirror(mirror_frame(event)));
    let calls = (0..8).map(|outcome| {
        Payload::CallEnded(CallEnded {
            task_id: 77,
            outcome,
            took_ms: 41.5,
            body: b"reply".to_vec(),
        })
    });
    let abort = |entire_connection| {
        Payload::Abort(Abort {
            route: route_frame(ROUTE),
            entire_connection,
        })
    };
    let mut all = vec![hello(b"nonce".to_vec())];
    all.extend(replies.chain(events).chain(calls));
    all.extend([Payload::Request(request()), abort(false), abort(true)]);
    all
}

fn stored() -> Vec<Payload> {
    let mut decoder = FrameDecoder::default();
    decoder.push(FRAMES);
    std::iter::from_fn(|| decoder.next_message().unwrap()).collect()
}

#[test]
fn the_frames_are_written_to_the_stored_bytes() {
    let bytes: Vec<u8> = frames().into_iter().flat_map(encode).collect();
    assert!(bytes == FRAMES, "the bytes differ");
}

#[test]
fn stored_replies_and_mirrored_events_mean_the_same() {
    let mut stored = stored().into_iter();
    let Some(Payload::Hello(hello)) = stored.next() else {
        panic!("no hello")
    };
    assert_eq!(
        (hello.version, hello.state_format, &hello.nonce[..]),
        (1, 1, &b"nonce"[..])
    );
    for (number, expected) in replies() {
        let Some(Payload::Reply(frame)) = stored.next() else {
            panic!("no reply")
        };
        assert_eq!(
            (frame.kind, reply(frame)),
            (number, Some((ROUTE, expected)))
        );
    }
    for (number, expected) in mirrored_events() {
        let Some(Payload::Mirror(frame)) = stored.next() else {
            panic!("no event")
        };
        assert_eq!(frame.event, number);
        let Some(HotRestartStep::Mirrored(event)) = hot_restart_step(Payload::Mirror(frame)) else {
            panic!("event not recognized")
        };
        assert_eq!(event, expected);
    }
    // A kind that only a later release knows: a reply is read as failed, an event is skipped.
    let unknown = ReplyFrame {
        route: route_frame(ROUTE),
        kind: 99,
        ..ReplyFrame::default()
    };
    assert_eq!(reply(unknown), Some((ROUTE, Reply::Failed)));
    assert!(hot_restart_step(Payload::Mirror(Mirror {
        event: 99,
        ..Mirror::default()
    }))
    .is_none());
}

#[test]
fn stored_requests_and_outcomes_mean_the_same() {
    let (writer, _) = open_channel(UnixStream::pair().unwrap().0).unwrap();
    let mut stored = stored()
        .into_iter()
        .skip(1 + replies().len() + mirrored_events().len());
    let mut next = || engine_message(stored.next().unwrap(), &writer, 2).unwrap();
    for expected in OUTCOMES {
        let EngineMessage::CallEnded(end) = next() else {
            panic!("no outcome")
        };
        assert_eq!(
            (end.task, end.outcome, end.duration_ms, &end.body[..]),
            (77, expected, 41.5, &b"reply"[..])
        );
    }
    let EngineMessage::Request(relayed) = next() else {
        panic!("no request")
    };
    let (head, sent) = (&relayed.head, request());
    assert_eq!(
        (&head.id[..], head.class, head.edge_node, head.tenant),
        (&sent.id[..], 1, 3, 2)
    );
    assert_eq!(
        (head.start_ms, head.timeout_ms, head.cost_hint_ms),
        (1_700_000_000_123.5, Some(900.25), Some(12.5))
    );
    let idempotency_key = IdempotencyKey {
        class: 1,
        tenant: 2,
        bytes: b"key-1".as_slice().into(),
    };
    assert_eq!(
        (head.memory_kb, head.idempotency_key.as_ref()),
        (6.75, Some(&idempotency_key))
    );
    assert_eq!(
        (&relayed.body[..], relayed.token.as_deref()),
        (&b"body"[..], Some(&b"token"[..]))
    );
    assert_eq!(relayed.route(), ROUTE);
    assert!(matches!(next(), EngineMessage::Abort(route) if route == ROUTE));
    assert!(
        matches!(next(), EngineMessage::ConnectionClosed(connection) if connection == ROUTE.connection)
    );
}

/// The old process starts the new one with these variables, so their names must stay the same as long as any release
/// that may be replaced uses them.
#[test]
fn the_environment_variables_have_these_names() {
    assert_eq!(
        [CONTROL_VARIABLE, NONCE_VARIABLE],
        ["ASTERDALE_HANDOVER", "ASTERDALE_HANDOVER_NONCE"]
    );
}
