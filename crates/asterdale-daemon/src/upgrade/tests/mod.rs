//! Tests of messages over a channel: descriptors, states in chunks, replies, mirrored events.

mod stored_frames;

use std::net::TcpListener;
use std::os::unix::net::UnixStream;

use asterdale_engine::message::{IdempotencyKey, Reply};
use asterdale_engine::state_transfer::MirroredEvent;
use asterdale_hot_restart::frame::STATE_CHUNK_BYTES;
use asterdale_hot_restart::message::frame::Payload;
use asterdale_hot_restart::message::{Listeners, ResponseRoute as RouteFrame};
use asterdale_identity::DenialStatus;

use super::channel::{listener_address, open_channel};
use super::mirror::{mirror_frame, mirrored_event};
use super::reply::{reply, reply_frame, route};

#[test]
fn replies_and_routes_are_read_back_from_their_messages() {
    let denied = |kind| Reply::Denied {
        kind,
        retry_after_ms: 7,
    };
    for expected in [
        Reply::Served([1, 2].into()),
        Reply::Rejected {
            is_final: true,
            retry_after_ms: 900,
        },
        Reply::Rejected {
            is_final: false,
            retry_after_ms: 0,
        },
        Reply::Overloaded,
        Reply::Failed,
        Reply::Malformed,
        Reply::CallerGone,
        Reply::HealthChecked(true),
        Reply::HealthChecked(false),
        denied(DenialStatus::Unauthenticated),
        denied(DenialStatus::Forbidden),
        denied(DenialStatus::QuotaExceeded),
        denied(DenialStatus::Unavailable),
    ] {
        assert_eq!(
            reply(reply_frame((1 << 40, 9).into(), &expected)),
            Some(((1 << 40, 9).into(), expected))
        );
    }
    assert_eq!(
        route(Some(RouteFrame {
            connection: 1,
            request: 70_000
        })),
        None
    );
}

#[test]
fn a_descriptor_arrives_with_its_frame_and_other_frames_follow() {
    let (one, two) = UnixStream::pair().unwrap();
    let ((writer, _), (_, mut reader)) = (open_channel(one).unwrap(), open_channel(two).unwrap());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let message = Listeners {
        epoch: 1,
        addresses: vec![listener_address(&listener)],
    };
    writer
        .send_with(Payload::Listeners(message.clone()), &[&listener])
        .unwrap();
    // The state exceeds the socket buffer, so it is written on another thread while this one reads.
    let state_writer = writer.clone();
    let writing = std::thread::spawn(move || {
        state_writer.send_state(&vec![7; 3 * STATE_CHUNK_BYTES], Payload::State, 4)
    });
    assert_eq!(reader.read().unwrap(), Some(Payload::Listeners(message)));
    let received = TcpListener::from(reader.descriptors.pop().unwrap());
    assert_eq!(listener_address(&received), listener_address(&listener));
    let mut all = Vec::new();
    while let Some(Payload::State(chunk)) = reader.read().unwrap() {
        all.extend(chunk.bytes);
        if chunk.is_last {
            break;
        }
    }
    assert_eq!(all.len(), 3 * STATE_CHUNK_BYTES);
    writing.join().unwrap().unwrap();
    writer.shut_down();
    assert_eq!(reader.read().unwrap(), None);
}

#[test]
fn mirrored_events_are_read_back_from_their_messages() {
    let key = || IdempotencyKey {
        class: 1,
        tenant: 2,
        bytes: b"key".as_slice().into(),
    };
    for event in [
        MirroredEvent::KeyRetained {
            key: key(),
            owner: 7,
            body_digest: 9,
            until_ms: 1e12,
        },
        MirroredEvent::TaskStarted {
            id: *b"9b1f03aa5c7e2d41",
            key: Some((key(), 7)),
        },
        MirroredEvent::TaskStarted {
            id: *b"9b1f03aa5c7e2d41",
            key: None,
        },
        MirroredEvent::TaskEnded {
            key: key(),
            owner: 7,
            result: Some([1].into()),
        },
        MirroredEvent::TaskEnded {
            key: key(),
            owner: 7,
            result: None,
        },
        MirroredEvent::KeyDropped {
            key: key(),
            owner: 7,
        },
    ] {
        assert_eq!(mirrored_event(mirror_frame(event.clone())), Some(event));
    }
}
