//! Frames of the hot-restart protocol that an earlier release wrote are read to the same messages, and are written
//! again byte for byte: one or more of every kind, each field with a value of its own. `fixtures/frames/README.md` says
//! how the file was made.

use asterdale_hot_restart::frame::{encode, Incoming};
use asterdale_hot_restart::message::frame::What;
use asterdale_hot_restart::message::{
    Adopted, Called, Check, Go, Hello, Left, Loaded, Mirror, Offer, Outcome, Phase, Probed, Refuse,
    Release, Reply, State, Task, Upgrade, Way,
};
use asterdale_hot_restart::VERSION;

const FRAMES: &[u8] = include_bytes!("fixtures/frames/every-kind.bin");

fn way(connection: u64, request: u32) -> Option<Way> {
    Some(Way {
        connection,
        request,
    })
}

/// The messages in the order of the file.
fn messages() -> Vec<What> {
    let text = |text: &str| text.to_owned();
    vec![
        What::Hello(Hello {
            version: 1,
            shape: 1,
            nonce: vec![0xa1, 0xb2, 0xc3],
        }),
        What::Offer(Offer {
            epoch: 7,
            listeners: vec![text("127.0.0.1:8080"), text("[::1]:8443")],
        }),
        What::Adopted(Adopted {}),
        What::Trial(State {
            epoch: 0,
            part: vec![1, 2, 3],
            last: true,
        }),
        What::Probed(Probed {}),
        What::State(State {
            epoch: 8,
            part: vec![4, 5],
            last: false,
        }),
        What::State(State {
            epoch: 8,
            part: vec![6],
            last: true,
        }),
        What::Loaded(Loaded { epoch: 8 }),
        What::Go(Go { epoch: 9 }),
        What::Refuse(Refuse {
            why: text("other stages"),
        }),
        What::Task(Task {
            way: way(1 << 40, 513),
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
        }),
        // What is absent is told apart from what is empty.
        What::Task(Task {
            way: way(2, 1),
            id: vec![b'0'; 16],
            kb: 1.0,
            ..Task::default()
        }),
        What::Task(Task {
            way: way(2, 2),
            mark: Some(Vec::new()),
            token: Some(Vec::new()),
            ..Task::default()
        }),
        What::Left(Left {
            way: way(5, 6),
            all: false,
        }),
        What::Left(Left {
            way: way(5, 0),
            all: true,
        }),
        What::Called(Called {
            who: 77,
            outcome: 3,
            took_ms: 41.5,
            body: b"reply".to_vec(),
        }),
        What::Check(Check {
            way: way(8, 9),
            deep: true,
        }),
        What::Reply(Reply {
            way: way(10, 11),
            kind: 1,
            body: b"result".to_vec(),
            number: 1801,
        }),
        What::Mirror(Mirror {
            mark: b"key-2".to_vec(),
            stage: 1,
            tenant: 4,
            owner: 78,
            id: b"9b1f03aa5c7e2d42".to_vec(),
            what: 2,
            sign: 0x0123_4567_89ab_cdef,
            until_ms: 1_700_000_005_000.25,
            result: Some(b"sold".to_vec()),
        }),
        What::Mirror(Mirror {
            mark: b"key-3".to_vec(),
            owner: 79,
            what: 2,
            ..Mirror::default()
        }),
        What::Release(Release {}),
        What::Upgrade(Upgrade {
            program: text("/usr/local/bin/asterdale"),
        }),
        What::Phase(Phase {
            text: text("the state is under way"),
        }),
        What::Outcome(Outcome {
            done: true,
            why: text("done"),
            process: 4321,
        }),
    ]
}

#[test]
fn stored_frames_are_read_to_the_same_messages() {
    assert_eq!(VERSION, 1);
    let mut incoming = Incoming::default();
    incoming.add(FRAMES);
    for expected in messages() {
        assert_eq!(incoming.take(), Ok(Some(expected)));
    }
    assert_eq!(incoming.take(), Ok(None));
}

#[test]
fn the_messages_are_written_to_the_stored_bytes() {
    let bytes: Vec<u8> = messages().into_iter().flat_map(encode).collect();
    assert!(bytes == FRAMES, "the bytes differ");
}
