//! The durable state of a replica of an earlier release, and its ownership table, are decoded to the same leases,
//! requests, fences and epochs, and are encoded to the same bytes. `fixtures/ownership/README.md` says how the files
//! were made.

use std::net::SocketAddr;

use asterdale_membership::authentication::MessageAuthenticator;
use asterdale_ownership::message::wire::{self, LogEntry};
use asterdale_ownership::message::{member, CommandKind};
use asterdale_ownership::replica::{Replica, ReplicaConfig};
use asterdale_ownership::storage::ReplicaIdentity;
use asterdale_ownership::table::RequestState;
use asterdale_ownership::{
    Action, KeyedRequest, OwnershipEvent, OwnershipSettings, OwnershipTable, StoredState,
};
use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb::{Entry as RaftEntry, EntryType, HardState, Snapshot};

const IDENTITY: &[u8] = include_bytes!("fixtures/ownership/face.bin");
const HARD_STATE: &[u8] = include_bytes!("fixtures/ownership/hard.bin");
const SNAPSHOT: &[u8] = include_bytes!("fixtures/ownership/whole.bin");
const ENTRIES: &[u8] = include_bytes!("fixtures/ownership/entries.bin");
const TABLE: &[u8] = include_bytes!("fixtures/ownership/book.bin");

/// Fencing tokens and epochs of a group start at the group's number times this factor.
const NUMBERS_PER_GROUP: u64 = 1 << 30;

fn settings() -> OwnershipSettings {
    OwnershipSettings {
        max_retry_window_ms: 500.0,
        ..OwnershipSettings::default()
    }
}

fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9000 + n).into()
}

/// The replica's log entries, each preceded by its index (8 bytes) and its length (4 bytes).
fn entries() -> Vec<(u64, Vec<u8>)> {
    let (mut rest, mut all) = (ENTRIES, Vec::new());
    while let Some((number, after)) = rest.split_first_chunk::<8>() {
        let (length, after) = after.split_first_chunk::<4>().unwrap();
        let (entry, after) = after.split_at(u32::from_be_bytes(*length) as usize);
        all.push((u64::from_be_bytes(*number), entry.to_vec()));
        rest = after;
    }
    all
}

fn stored() -> StoredState {
    StoredState {
        identity: IDENTITY.to_vec(),
        hard_state: HARD_STATE.to_vec(),
        snapshot: SNAPSHOT.to_vec(),
        entries: entries(),
    }
}

#[test]
fn stored_identity_is_read_and_written_again() {
    let identity = stored().identity().unwrap();
    let founders = vec![
        member("k0", 10_277_665_017_230_984_823, address(0)),
        member("k1", 7_228_268_180_155_082_411, address(1)),
        member("k2", 13_638_903_821_675_014_887, address(2)),
    ];
    assert_eq!(
        identity,
        ReplicaIdentity {
            node: 7_228_268_180_155_082_411,
            group: 1000,
            highest_group: 1000,
            founders
        }
    );
    assert_eq!(identity.encode_to_vec(), IDENTITY);
}

#[test]
fn replica_restores_itself_from_stored_state() {
    let config = ReplicaConfig {
        member: member("k1", 4321, address(1)),
        replicas: (0..3u16).map(|n| (format!("k{n}"), address(n))).collect(),
        settings: settings(),
        authenticator: MessageAuthenticator::new(b"key"),
        seed: 1,
        unix_s: 2000,
        stored: Some(stored()),
    };
    let mut replica = Replica::new(0.0, config);
    let actions = replica.wake(0.0);
    assert!(
        actions.contains(&Action::Report(OwnershipEvent::RestoredFromDisk(1000))),
        "{actions:?}"
    );
    let status = replica.status();
    // Entries are applied up to the stored commit index; a leader has yet to confirm the later ones.
    assert_eq!(
        (
            status.group,
            status.members.clone(),
            status.claims_blocked_ms
        ),
        (1000, names(&["k1", "k0", "k2"]), 0.0)
    );
    let epochs = [
        ("o100".to_owned(), 1000 * NUMBERS_PER_GROUP + 1),
        ("o101".to_owned(), 1000 * NUMBERS_PER_GROUP + 2),
    ];
    assert_eq!(status.owners, epochs);
    // Started, ownerless, handed over, completed, failed, outcome unknown.
    assert_eq!(
        (
            status.applied_index,
            status.requests_by_state,
            status.size_bytes
        ),
        (19, [2, 0, 1, 1, 0, 0], 1110)
    );
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn stored_entries_give_the_same_table() {
    let snapshot = Snapshot::parse_from_bytes(SNAPSHOT).unwrap();
    let hard_state = HardState::parse_from_bytes(HARD_STATE).unwrap();
    assert_eq!(
        (
            snapshot.get_metadata().index,
            snapshot.get_metadata().term,
            hard_state.commit
        ),
        (1, 1, 19)
    );
    assert_eq!(
        (
            snapshot.write_to_bytes().unwrap(),
            hard_state.write_to_bytes().unwrap()
        ),
        (SNAPSHOT.to_vec(), HARD_STATE.to_vec())
    );
    let mut table = OwnershipTable::decode(snapshot.get_data(), settings()).unwrap();
    assert!(
        table.encode() == snapshot.get_data(),
        "the bytes of the first table differ"
    );
    assert_eq!(entries().len(), 18);
    for (number, bytes) in entries() {
        let logged = RaftEntry::parse_from_bytes(&bytes).unwrap();
        assert_eq!(
            (logged.index, logged.get_entry_type()),
            (number, EntryType::EntryNormal)
        );
        assert_eq!(logged.write_to_bytes().unwrap(), bytes);
        if logged.data.is_empty() {
            continue; // the first entry of a new leader
        }
        let entry = LogEntry::decode(&logged.data[..]).unwrap();
        assert_eq!(entry.encode_to_vec(), &logged.data[..]);
        table.apply(entry);
    }
    let fences: Vec<(u64, &RequestState)> = table
        .requests()
        .values()
        .map(|owned| (owned.fence, &owned.state))
        .collect();
    let ended = RequestState::Completed(b"sold for 7".to_vec());
    let expected = [
        (1000 * NUMBERS_PER_GROUP + 1, &ended),
        (1000 * NUMBERS_PER_GROUP + 2, &RequestState::Started),
        (1000 * NUMBERS_PER_GROUP + 3, &RequestState::Started),
        (0, &RequestState::HandedOver),
    ];
    assert_eq!(fences, expected);
}

/// The ownerless request of the stored table.
fn stored_request() -> KeyedRequest {
    KeyedRequest {
        key: vec![b'k', 1],
        class: "bid".to_owned(),
        execution_id: b"0000000000000001".to_vec(),
        body_digest: 0xfeed_0001,
        body: vec![1; 3],
        deadline_ms: 10_001.0,
        retry_window_ms: 20_001.0,
        hint_ms: 12.5,
        kb: 6.75,
        fenced: true,
    }
}

/// Checks epoch, token and state of all requests of the stored table, and one of them in full.
fn check_stored_requests(table: &OwnershipTable) {
    let requests: Vec<_> = table
        .requests()
        .values()
        .map(|owned| (owned.epoch, owned.fence, &owned.state))
        .collect();
    let (first, second) = (3 * NUMBERS_PER_GROUP + 1, 3 * NUMBERS_PER_GROUP + 2);
    let ended = RequestState::Completed(b"sold for 7".to_vec());
    let expected = [
        (first, 3 * NUMBERS_PER_GROUP + 1, &RequestState::Ownerless),
        (
            first,
            3 * NUMBERS_PER_GROUP + 2,
            &RequestState::OutcomeUnknown,
        ),
        (second, 3 * NUMBERS_PER_GROUP + 3, &ended),
        (second, 3 * NUMBERS_PER_GROUP + 4, &RequestState::Failed),
        (second, 3 * NUMBERS_PER_GROUP + 5, &RequestState::Started),
        (0, 0, &RequestState::HandedOver),
    ];
    assert_eq!(requests, expected);
    let ownerless = &table.requests()[&vec![b'k', 1]];
    assert_eq!(
        (ownerless.deadline_ms, ownerless.expires_at_ms),
        (10_602.0, 20_602.0)
    );
    assert_eq!(ownerless.request, stored_request());
    assert_eq!(
        table
            .claimable()
            .map(|owned| owned.fence)
            .collect::<Vec<_>>(),
        [3 * NUMBERS_PER_GROUP + 1, 0]
    );
}

#[test]
fn stored_table_is_read_to_the_same_leases_and_requests() {
    let table = OwnershipTable::decode(TABLE, settings()).unwrap();
    assert_eq!(
        (
            table.now_ms(),
            table.claims_blocked_ms(),
            table.size_bytes()
        ),
        (610.5, 0.0, 1582)
    );
    let leases = table.leases();
    let lease = |epoch: u64| {
        let lease = &leases[&epoch];
        (
            &lease.name[..],
            lease.node,
            lease.expires_at_ms,
            lease.renewed,
        )
    };
    assert_eq!(leases.len(), 2);
    assert_eq!(
        lease(3 * NUMBERS_PER_GROUP + 2),
        ("owner-2", 2, 2609.0, true)
    );
    assert_eq!(
        lease(3 * NUMBERS_PER_GROUP + 3),
        ("owner-1", 8, 2610.5, false)
    );
    let replica = |n: u64| {
        member(
            &format!("keeper-{n}"),
            90 + n,
            ([10, 0, 1, n as u8], 4100).into(),
        )
    };
    let members: Vec<_> = table.members.values().cloned().collect();
    assert_eq!(members, [replica(1), replica(2), replica(3)]);
    check_stored_requests(&table);
}

#[test]
fn stored_table_continues_its_epochs_and_fences() {
    let mut table = OwnershipTable::decode(TABLE, settings()).unwrap();
    let mut execute = |from: &wire::Member, kind: CommandKind| {
        let command = Some(wire::Command {
            seq: 1,
            kind: Some(kind),
        });
        let from = Some(from.clone());
        let proposals = vec![wire::Proposal { from, command }];
        let answers = table.apply(LogEntry {
            elapsed_ms: 1.0,
            proposals,
        });
        (answers[0].1.verdict(), answers[0].1.number)
    };
    // The process that was replaced, and a new one.
    let replaced = member("owner-1", 1, ([10, 0, 0, 1], 4001).into());
    let renew = |epoch| CommandKind::Renew(wire::Renew { epoch, capacity: 0 });
    assert_eq!(
        execute(&replaced, renew(3 * NUMBERS_PER_GROUP + 1)),
        (wire::Verdict::EpochEnded, 0)
    );
    let new = member("owner-3", 3, ([10, 0, 0, 3], 4003).into());
    assert_eq!(
        execute(&new, CommandKind::Join(0)),
        (wire::Verdict::Joined, 3 * NUMBERS_PER_GROUP + 4)
    );
    let request = KeyedRequest {
        key: b"new".to_vec(),
        execution_id: vec![b'9'; 16],
        retry_window_ms: 1000.0,
        ..KeyedRequest::default()
    };
    let claim = CommandKind::Claim(wire::Claim {
        epoch: 3 * NUMBERS_PER_GROUP + 4,
        request: Some(request),
    });
    assert_eq!(
        execute(&new, claim),
        (wire::Verdict::Granted, 3 * NUMBERS_PER_GROUP + 6)
    );
}

#[test]
fn stored_table_is_written_again_byte_for_byte() {
    assert!(
        OwnershipTable::decode(TABLE, settings()).unwrap().encode() == TABLE,
        "the bytes differ"
    );
}
