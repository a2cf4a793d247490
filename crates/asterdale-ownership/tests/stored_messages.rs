//! Messages between replicas and owners that an earlier release encoded are decoded to the same values and encoded to
//! the same bytes: every kind, every command and every verdict, each field with a distinct value.
//! `fixtures/ownership/README.md` says how the file was made.

use asterdale_membership::authentication::MessageAuthenticator;
use asterdale_ownership::message::wire::{
    Answers, Claim, Command, CommandBatch, Complete, Hello, LogEntry, Lookup, Proposal,
    RaftMessage, Release, Renew,
};
use asterdale_ownership::message::{decode, encode, member, socket_addr, CommandKind, MessageBody};
use asterdale_ownership::{Answer, KeyedRequest, Member, Verdict};
use prost::Message as _;

const MESSAGES: &[u8] = include_bytes!("fixtures/ownership/letters.bin");
const KEY: &[u8] = b"the key of the stored letters";

fn sender() -> Member {
    member("alpha", 0x0102_0304_0506_0708, ([10, 0, 0, 7], 4100).into())
}

fn other_member() -> Member {
    member("beta", 9, ([0xfd00, 0, 0, 0, 0, 0, 0, 9], 4200).into())
}

fn request() -> KeyedRequest {
    KeyedRequest {
        key: b"bid\0house\0key-1".to_vec(),
        class: "bid".to_owned(),
        execution_id: b"0000000000000001".to_vec(),
        body_digest: 0xfeed_beef,
        body: b"body".to_vec(),
        deadline_ms: 1900.25,
        retry_window_ms: 5000.5,
        hint_ms: 12.5,
        kb: 6.75,
        fenced: true,
    }
}

/// One command of each kind.
fn commands() -> Vec<Command> {
    let kinds = [
        CommandKind::Join(41),
        CommandKind::Renew(Renew {
            epoch: 42,
            capacity: 43,
        }),
        CommandKind::Leave(44),
        CommandKind::Lookup(Lookup {
            key: b"key-2".to_vec(),
            body_digest: 45,
        }),
        CommandKind::Claim(Claim {
            epoch: 46,
            request: Some(request()),
        }),
        CommandKind::Complete(Complete {
            key: b"key-3".to_vec(),
            fence: 47,
            result: Some(b"sold".to_vec()),
        }),
        CommandKind::Complete(Complete {
            key: b"key-4".to_vec(),
            fence: 48,
            result: None,
        }),
        CommandKind::HandOver(request()),
        CommandKind::Release(Release {
            key: b"key-5".to_vec(),
            fence: 49,
        }),
    ];
    (1..)
        .zip(kinds)
        .map(|(seq, kind)| Command {
            seq,
            kind: Some(kind),
        })
        .collect()
}

/// The verdicts in the order of their encoded numbers.
const VERDICTS: [Verdict; 14] = [
    Verdict::NotLeader,
    Verdict::Joined,
    Verdict::Renewed,
    Verdict::EpochEnded,
    Verdict::NotFound,
    Verdict::Granted,
    Verdict::InProgress,
    Verdict::Completed,
    Verdict::Failed,
    Verdict::OutcomeUnknown,
    Verdict::RetryLater,
    Verdict::DigestMismatch,
    Verdict::Recorded,
    Verdict::Fenced,
];

/// One answer with each verdict.
fn answers() -> Vec<Answer> {
    let answer = |n: i32| Answer {
        seq: 100 + n as u64,
        verdict: n,
        number: 200 + n as u64,
        result: vec![n as u8; 2],
        ms: 0.5 + f64::from(n),
        offers: if n == 2 { vec![request()] } else { Vec::new() },
    };
    (0..14).map(answer).collect()
}

/// The messages in the order of the file.
fn messages() -> Vec<MessageBody> {
    vec![
        MessageBody::Hello(Hello {
            group: 1000,
            highest_group: 1001,
            members: vec![sender(), other_member()],
            members_are_founders: true,
        }),
        MessageBody::Raft(RaftMessage {
            group: 1000,
            message: vec![1, 2, 3],
        }),
        MessageBody::Commands(CommandBatch {
            commands: commands(),
        }),
        MessageBody::Answers(Answers {
            answers: answers(),
            leader: Some(other_member()),
            to: 0x0807_0605_0403_0201,
        }),
    ]
}

/// An entry of the log, which is part of Raft messages and of the durable state.
fn entry() -> LogEntry {
    let proposals = commands().into_iter().map(|command| Proposal {
        from: Some(other_member()),
        command: Some(command),
    });
    LogEntry {
        elapsed_ms: 7.25,
        proposals: proposals.collect(),
    }
}

/// The parts of the file, each preceded by its length in four bytes; the log entry is the last part.
fn stored() -> Vec<&'static [u8]> {
    let (mut rest, mut all) = (MESSAGES, Vec::new());
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let (part, after) = after.split_at(u32::from_be_bytes(*length) as usize);
        all.push(part);
        rest = after;
    }
    all
}

#[test]
fn stored_messages_are_read() {
    let (authenticator, stored) = (MessageAuthenticator::new(KEY), stored());
    assert_eq!(stored.len(), messages().len() + 1);
    let address = ([10, 0, 0, 7], 4100).into();
    for (bytes, expected) in stored.into_iter().zip(messages()) {
        assert_eq!(
            decode(&authenticator, bytes),
            Some((sender(), address, expected))
        );
    }
    assert_eq!(
        socket_addr(&other_member()),
        Some(([0xfd00, 0, 0, 0, 0, 0, 0, 9], 4200).into())
    );
}

#[test]
fn every_stored_verdict_is_read() {
    let Some((_, _, MessageBody::Answers(answers))) =
        decode(&MessageAuthenticator::new(KEY), stored()[3])
    else {
        panic!("the stored answers can't be decoded")
    };
    let verdicts: Vec<Verdict> = answers.answers.iter().map(Answer::verdict).collect();
    assert_eq!(verdicts, VERDICTS);
}

#[test]
fn stored_log_entry_is_read_and_written_again() {
    assert_eq!(LogEntry::decode(stored()[4]), Ok(entry()));
    assert_eq!(entry().encode_to_vec(), stored()[4]);
}

#[test]
fn messages_are_written_to_the_stored_bytes() {
    let authenticator = MessageAuthenticator::new(KEY);
    for (bytes, what) in stored().into_iter().zip(messages()) {
        assert!(
            encode(&authenticator, &sender(), what.clone()) == bytes,
            "the bytes of {what:?} differ"
        );
    }
}
