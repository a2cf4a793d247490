//! Compatibility of the wire format: datagrams and exchange messages that an earlier release encoded are decoded to the
//! same messages and records, and these are encoded to the same bytes. There is one message of every kind, with a
//! different value in each field. `fixtures/datagrams/README.md` says how the file was made.

use std::net::SocketAddr;

use asterdale_membership::authentication::{MessageAuthenticator, PROTOCOL_VERSION};
use asterdale_membership::message::wire::{Address, Record as StoredRecord};
use asterdale_membership::message::{
    decode, decode_record, encode, encode_record, ping_request_address, Ack, FullView, Message,
    Nack, Payload, Ping, PingRequest, VersionRejection, MAX_EXCHANGE_BYTES,
};
use asterdale_membership::{MemberRecord, Metadata, Phase, Status};

const DATAGRAMS: &[u8] = include_bytes!("fixtures/datagrams/every-kind.bin");
const KEY: &[u8] = b"the key of the stored datagrams";

fn text(text: &str) -> String {
    text.to_owned()
}

fn alpha_address() -> SocketAddr {
    ([10, 0, 0, 7], 4100).into()
}

fn beta_address() -> SocketAddr {
    ([0xfd00, 0, 0, 0, 0, 0, 0, 9], 4200).into()
}

/// The sender's record in every message.
fn sender_record() -> StoredRecord {
    StoredRecord {
        name: text("alpha"),
        address: Some(Address {
            ip: vec![10, 0, 0, 7],
            port: 4100,
        }),
        generation: 12,
        nonce: 0x0102_0304_0506_0708,
        incarnation: 3,
        status: 0,
        phase: 1,
        load_percent: 37,
        warm_percent: 88,
        reported_by: text("alpha"),
    }
}

/// Records that have each status and each phase.
fn gossip_records() -> Vec<StoredRecord> {
    (0..4u32)
        .map(|n| StoredRecord {
            name: format!("beta-{n}"),
            address: Some(Address {
                ip: vec![0xfd, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9],
                port: 4200,
            }),
            generation: 20 + u64::from(n),
            nonce: 30 + u64::from(n),
            incarnation: 40 + n,
            status: n,
            phase: n,
            load_percent: 50 + n,
            warm_percent: 60 + n,
            reported_by: text("gamma"),
        })
        .collect()
}

/// The messages in the order of the file.
fn expected_messages() -> Vec<Message> {
    let payloads = [
        Payload::Ping(Ping { seq: 101 }),
        Payload::Ack(Ack {
            seq: 102,
            target: text("beta"),
            generation: 21,
        }),
        Payload::PingRequest(PingRequest {
            seq: 103,
            name: text("beta"),
            address: Some(Address {
                ip: vec![10, 0, 0, 7],
                port: 4100,
            }),
        }),
        Payload::Nack(Nack { seq: 104 }),
        Payload::FullView(FullView { is_reply: true }),
        Payload::VersionRejection(VersionRejection {
            min_version: 1,
            max_version: 2,
        }),
    ];
    let message = |(n, payload): (usize, Payload)| Message {
        sender: Some(sender_record()),
        view_hash: 0xfedc_ba98_7654_3210,
        joining: n == 0,
        records: if n == 4 { gossip_records() } else { Vec::new() },
        payload: Some(payload),
    };
    payloads.into_iter().enumerate().map(message).collect()
}

/// The messages of the file, in which a length of four bytes precedes each message.
fn stored_messages() -> Vec<&'static [u8]> {
    let (mut rest, mut all) = (DATAGRAMS, Vec::new());
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let (message, after) = after.split_at(u32::from_be_bytes(*length) as usize);
        all.push(message);
        rest = after;
    }
    all
}

/// The decoded message at this index in the file.
fn stored_message(index: usize) -> (Message, MemberRecord) {
    let authenticator = MessageAuthenticator::new(KEY);
    decode(&authenticator, stored_messages()[index], MAX_EXCHANGE_BYTES).unwrap()
}

#[test]
fn stored_datagrams_decode_to_the_same_messages() {
    assert_eq!(PROTOCOL_VERSION, 1);
    let authenticator = MessageAuthenticator::new(KEY);
    let metadata = Metadata {
        phase: Phase::Ready,
        load_percent: 37,
        warm_percent: 88,
    };
    let from = MemberRecord {
        name: text("alpha"),
        address: alpha_address(),
        generation: 12,
        nonce: 0x0102_0304_0506_0708,
        incarnation: 3,
        status: Status::Alive,
        metadata,
        reported_by: text("alpha"),
    };
    assert_eq!(encode_record(&from), sender_record());
    let stored = stored_messages();
    assert_eq!(stored.len(), expected_messages().len());
    for (bytes, expected) in stored.into_iter().zip(expected_messages()) {
        assert_eq!(
            decode(&authenticator, bytes, MAX_EXCHANGE_BYTES),
            Ok((expected, from.clone()))
        );
    }
}

#[test]
fn stored_records_decode_with_every_status_and_phase() {
    let (message, _) = stored_message(4);
    let records: Vec<MemberRecord> = message
        .records
        .iter()
        .map(|record| decode_record(record).unwrap())
        .collect();
    let states: Vec<(Status, Phase)> = records
        .iter()
        .map(|record| (record.status, record.metadata.phase))
        .collect();
    let expected = [
        (Status::Alive, Phase::WarmingUp),
        (Status::Suspect, Phase::Ready),
        (Status::Dead, Phase::AtCapacity),
        (Status::Left, Phase::Draining),
    ];
    assert_eq!(states, expected);
    let dead = &records[2];
    assert_eq!(dead.run_id(), (22, 32));
    assert_eq!((dead.incarnation, dead.address), (42, beta_address()));
    assert_eq!(dead.metadata.load_percent, 52);
    assert_eq!(dead.metadata.warm_percent, 62);
    assert_eq!(dead.reported_by, "gamma");
    let encoded: Vec<StoredRecord> = records.iter().map(encode_record).collect();
    assert_eq!(encoded, gossip_records());
}

#[test]
fn stored_ping_request_decodes() {
    let (message, _) = stored_message(2);
    let Some(Payload::PingRequest(request)) = message.payload else {
        panic!("the stored message is not a ping request")
    };
    assert_eq!(ping_request_address(&request), Some(alpha_address()));
}

#[test]
fn messages_encode_to_the_stored_bytes() {
    let authenticator = MessageAuthenticator::new(KEY);
    for (bytes, message) in stored_messages().into_iter().zip(expected_messages()) {
        assert!(
            encode(&authenticator, &message) == bytes,
            "the bytes of {message:?} differ"
        );
    }
}
