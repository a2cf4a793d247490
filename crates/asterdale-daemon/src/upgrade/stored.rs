//! Frames that the side of a hot restart before this release wrote mean the same replies, requests, outcomes and words to
//! a guardian: the numbers by which frames carry them are theirs. `tests/fixtures/frames/README.md` says how the file was
//! made.

use asterdale::events::Outcome;
use asterdale_engine::message::{IdempotencyKey, Reply, ResponseRoute};
use asterdale_engine::state_transfer::MirroredEvent;
use asterdale_hot_restart::frame::{encode, Incoming};
use asterdale_hot_restart::message::{Left, Mirror, Reply as ReplyFrame, Task};
use asterdale_identity::DenialStatus;

use super::port::{from_after, from_before, hello, mirror_frame};
use super::wire::{open, reply, reply_frame, way_frame};
use super::*;

const FRAMES: &[u8] = include_bytes!("../../tests/fixtures/frames/meanings.bin");
const WAY: ResponseRoute = ResponseRoute {
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

/// A reply of each kind, by the number that stands for the kind.
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

/// Each word to a guardian, by the number that stands for it.
fn words() -> Vec<(u32, MirroredEvent)> {
    let mark = || IdempotencyKey {
        class: 1,
        tenant: 2,
        bytes: b"key-1".as_slice().into(),
    };
    let id = *b"9b1f03aa5c7e2d41";
    vec![
        (
            0,
            MirroredEvent::KeyRetained {
                key: mark(),
                owner: 7,
                body_digest: 9,
                until_ms: 1_700_000_005_000.25,
            },
        ),
        (
            1,
            MirroredEvent::TaskStarted {
                id,
                key: Some((mark(), 7)),
            },
        ),
        (1, MirroredEvent::TaskStarted { id, key: None }),
        (
            2,
            MirroredEvent::TaskEnded {
                key: mark(),
                owner: 7,
                result: Some(b"sold".as_slice().into()),
            },
        ),
        (
            2,
            MirroredEvent::TaskEnded {
                key: mark(),
                owner: 7,
                result: None,
            },
        ),
        (
            3,
            MirroredEvent::KeyDropped {
                key: mark(),
                owner: 7,
            },
        ),
    ]
}

fn task() -> Task {
    Task {
        way: way_frame(WAY),
        id: b"9b1f03aa5c7e2d41".to_vec(),
        stage: 1,
        start_ms: 1_700_000_000_123.5,
        caller: 3,
        timeout_ms: Some(900.25),
        hint_ms: Some(12.5),
        kb: 6.75,
        mark: Some(b"key-1".to_vec()),
        body: b"body".to_vec(),
        token: Some(b"token".to_vec()),
        unread_ms: 4.5,
        tenant: 2,
    }
}

/// The frames in the order of the file.
fn frames() -> Vec<What> {
    let replies = replies()
        .into_iter()
        .map(|(_, reply)| What::Reply(reply_frame(WAY, &reply)));
    let words = words()
        .into_iter()
        .map(|(_, word)| What::Mirror(mirror_frame(word)));
    let called = (0..8).map(|outcome| {
        What::Called(message::Called {
            who: 77,
            outcome,
            took_ms: 41.5,
            body: b"reply".to_vec(),
        })
    });
    let left = |all| {
        What::Left(Left {
            way: way_frame(WAY),
            all,
        })
    };
    let mut all = vec![hello(b"nonce".to_vec())];
    all.extend(replies.chain(words).chain(called));
    all.extend([What::Task(task()), left(false), left(true)]);
    all
}

fn stored() -> Vec<What> {
    let mut incoming = Incoming::default();
    incoming.add(FRAMES);
    std::iter::from_fn(|| incoming.take().unwrap()).collect()
}

#[test]
fn the_frames_are_written_to_the_stored_bytes() {
    let bytes: Vec<u8> = frames().into_iter().flat_map(encode).collect();
    assert!(bytes == FRAMES, "the bytes differ");
}

#[test]
fn stored_replies_and_words_to_a_guardian_mean_the_same() {
    let mut stored = stored().into_iter();
    let Some(What::Hello(hello)) = stored.next() else {
        panic!("no greeting")
    };
    assert_eq!(
        (hello.version, hello.shape, &hello.nonce[..]),
        (1, 1, &b"nonce"[..])
    );
    for (number, expected) in replies() {
        let Some(What::Reply(frame)) = stored.next() else {
            panic!("no reply")
        };
        assert_eq!((frame.kind, reply(frame)), (number, Some((WAY, expected))));
    }
    for (number, expected) in words() {
        let Some(What::Mirror(frame)) = stored.next() else {
            panic!("no word")
        };
        assert_eq!(frame.what, number);
        let Some(HotRestartStep::Mirrored(word)) = from_after(What::Mirror(frame)) else {
            panic!("not understood")
        };
        assert_eq!(word, expected);
    }
    // What a later release may say claims nothing, or is passed over.
    let unknown = ReplyFrame {
        way: way_frame(WAY),
        kind: 99,
        ..ReplyFrame::default()
    };
    assert_eq!(reply(unknown), Some((WAY, Reply::Failed)));
    assert!(from_after(What::Mirror(Mirror {
        what: 99,
        ..Mirror::default()
    }))
    .is_none());
}

#[test]
fn stored_requests_and_outcomes_mean_the_same() {
    let (line, _) = open(UnixStream::pair().unwrap().0).unwrap();
    let mut stored = stored()
        .into_iter()
        .skip(1 + replies().len() + words().len());
    let mut next = || from_before(stored.next().unwrap(), &line, 2).unwrap();
    for expected in OUTCOMES {
        let EngineMessage::CallEnded {
            task: who,
            outcome,
            duration_ms: took_ms,
            body,
        } = next()
        else {
            panic!("no outcome")
        };
        assert_eq!(
            (who, outcome, took_ms, &body[..]),
            (77, expected, 41.5, &b"reply"[..])
        );
    }
    let EngineMessage::Request(request) = next() else {
        panic!("no request")
    };
    let (asked, sent) = (&request.head, task());
    assert_eq!(
        (&asked.id[..], asked.class, asked.edge_node, asked.tenant),
        (&sent.id[..], 1, 3, 2)
    );
    assert_eq!(
        (asked.start_ms, asked.timeout_ms, asked.cost_hint_ms),
        (1_700_000_000_123.5, Some(900.25), Some(12.5))
    );
    let mark = IdempotencyKey {
        class: 1,
        tenant: 2,
        bytes: b"key-1".as_slice().into(),
    };
    assert_eq!(
        (asked.memory_kb, asked.idempotency_key.as_ref()),
        (6.75, Some(&mark))
    );
    assert_eq!(
        (&request.body[..], request.token.as_deref()),
        (&b"body"[..], Some(&b"token"[..]))
    );
    assert_eq!(request.route(), WAY);
    assert!(matches!(next(), EngineMessage::Abort(way) if way == WAY));
    assert!(
        matches!(next(), EngineMessage::ConnectionClosed(connection) if connection == WAY.connection)
    );
}

/// A process starts its successor with these, and finds it by nothing else: they stay as long as any release that may be
/// replaced knows them.
#[test]
fn the_environment_of_a_successor_has_these_names() {
    assert_eq!(
        [CONTROL, NONCE],
        ["ASTERDALE_HANDOVER", "ASTERDALE_HANDOVER_NONCE"]
    );
}
