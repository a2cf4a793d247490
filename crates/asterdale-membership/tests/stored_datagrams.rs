//! Datagrams and exchanges that an earlier release wrote are read to the same messages and records, and are written
//! again byte for byte: one of every kind, each field with a value of its own. `fixtures/datagrams/README.md` says how
//! the file was made.

use std::net::SocketAddr;

use asterdale_membership::message::wire::{Address, Record as StoredRecord};
use asterdale_membership::message::{
    asked, decode, encode, read, write, Ack, Ask, Message, Nack, Ping, Refusal, What, Whole,
    MOST_EXCHANGE,
};
use asterdale_membership::seal::{Seal, VERSION};
use asterdale_membership::{Notes, Phase, Record, Status};

const DATAGRAMS: &[u8] = include_bytes!("fixtures/datagrams/every-kind.bin");
const KEY: &[u8] = b"the key of the stored datagrams";

fn text(text: &str) -> String {
    text.to_owned()
}

fn alpha() -> SocketAddr {
    ([10, 0, 0, 7], 4100).into()
}

fn beta() -> SocketAddr {
    ([0xfd00, 0, 0, 0, 0, 0, 0, 9], 4200).into()
}

/// The sender, as messages carry it.
fn sender() -> StoredRecord {
    StoredRecord {
        name: text("alpha"),
        at: Some(Address {
            ip: vec![10, 0, 0, 7],
            port: 4100,
        }),
        generation: 12,
        nonce: 0x0102_0304_0506_0708,
        incarnation: 3,
        status: 0,
        phase: 1,
        load: 37,
        warm: 88,
        by: text("alpha"),
    }
}

/// A record in each status and phase.
fn news() -> Vec<StoredRecord> {
    (0..4u32)
        .map(|n| StoredRecord {
            name: format!("beta-{n}"),
            at: Some(Address {
                ip: vec![0xfd, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9],
                port: 4200,
            }),
            generation: 20 + u64::from(n),
            nonce: 30 + u64::from(n),
            incarnation: 40 + n,
            status: n,
            phase: n,
            load: 50 + n,
            warm: 60 + n,
            by: text("gamma"),
        })
        .collect()
}

/// The messages in the order of the file.
fn messages() -> Vec<Message> {
    let kinds = [
        What::Ping(Ping { seq: 101 }),
        What::Ack(Ack {
            seq: 102,
            of: text("beta"),
            generation: 21,
        }),
        What::Ask(Ask {
            seq: 103,
            name: text("beta"),
            at: Some(Address {
                ip: vec![10, 0, 0, 7],
                port: 4100,
            }),
        }),
        What::Nack(Nack { seq: 104 }),
        What::Whole(Whole { reply: true }),
        What::Refusal(Refusal { least: 1, most: 2 }),
    ];
    let whole = |(n, what): (usize, What)| Message {
        from: Some(sender()),
        hash: 0xfedc_ba98_7654_3210,
        joining: n == 0,
        news: if n == 4 { news() } else { Vec::new() },
        what: Some(what),
    };
    kinds.into_iter().enumerate().map(whole).collect()
}

/// The file: each message behind its length in four bytes.
fn stored() -> Vec<&'static [u8]> {
    let (mut rest, mut all) = (DATAGRAMS, Vec::new());
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let (message, after) = after.split_at(u32::from_be_bytes(*length) as usize);
        all.push(message);
        rest = after;
    }
    all
}

#[test]
fn stored_datagrams_are_read_to_the_same_messages() {
    assert_eq!(VERSION, 1);
    let seal = Seal::new(KEY);
    let notes = Notes {
        phase: Phase::Ready,
        load: 37,
        warm: 88,
    };
    let from = Record {
        name: text("alpha"),
        at: alpha(),
        generation: 12,
        nonce: 0x0102_0304_0506_0708,
        incarnation: 3,
        status: Status::Alive,
        notes,
        by: text("alpha"),
    };
    assert_eq!(write(&from), sender());
    let stored = stored();
    assert_eq!(stored.len(), messages().len());
    for (bytes, expected) in stored.into_iter().zip(messages()) {
        assert_eq!(
            decode(&seal, bytes, MOST_EXCHANGE),
            Ok((expected, from.clone()))
        );
    }
}

#[test]
fn stored_records_are_read_in_every_status_and_phase() {
    let (message, _) = decode(&Seal::new(KEY), stored()[4], MOST_EXCHANGE).unwrap();
    let records: Vec<Record> = message
        .news
        .iter()
        .map(|record| read(record).unwrap())
        .collect();
    let states: Vec<(Status, Phase)> = records
        .iter()
        .map(|one| (one.status, one.notes.phase))
        .collect();
    let expected = [
        (Status::Alive, Phase::Cold),
        (Status::Suspect, Phase::Ready),
        (Status::Dead, Phase::Full),
        (Status::Left, Phase::Leaving),
    ];
    assert_eq!(states, expected);
    assert_eq!(
        (records[2].run(), records[2].incarnation, records[2].at),
        ((22, 32), 42, beta())
    );
    assert_eq!(
        (
            records[2].notes.load,
            records[2].notes.warm,
            &records[2].by[..]
        ),
        (52, 62, "gamma")
    );
    assert_eq!(records.iter().map(write).collect::<Vec<_>>(), news());
    let (question, _) = decode(&Seal::new(KEY), stored()[2], MOST_EXCHANGE).unwrap();
    let Some(What::Ask(ask)) = question.what else {
        panic!("another kind")
    };
    assert_eq!(asked(&ask), Some(alpha()));
}

#[test]
fn the_messages_are_written_to_the_stored_bytes() {
    let seal = Seal::new(KEY);
    for (bytes, message) in stored().into_iter().zip(messages()) {
        assert!(
            encode(&seal, &message) == bytes,
            "the bytes of {message:?} differ"
        );
    }
}
