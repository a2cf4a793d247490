//! A replica file written by an earlier release yields the same metadata and entries. The tests use package internals, since
//! [`ReplicaStore::open`] deletes contents with an old timestamp, and tests must not depend on the clock.
//! `tests/fixtures/folder/README.md` says how the file was made.

use super::*;

const STORED_FILE: &[u8] = include_bytes!("../../tests/fixtures/folder/keeper.redb");

fn stored_replica() -> ReplicaStore {
    ReplicaStore {
        store: Store::from_image(STORED_FILE.to_vec()).unwrap(),
    }
}

#[test]
fn stored_file_is_read_to_the_same_metadata_and_entries() {
    let mut replica = stored_replica();
    assert!(replica.store.check_integrity().unwrap());
    let ReplicaContents { metadata, entries } = replica.load().unwrap();
    let names: Vec<&str> = metadata.iter().map(|(name, _)| &name[..]).collect();
    assert_eq!(names, ["face", "hard", "mark", "name", "whole"]);
    let lengths: Vec<usize> = metadata.iter().map(|(_, value)| value.len()).collect();
    assert_eq!(lengths, [87, 15, 8, 2, 140]);
    assert_eq!(
        (TIMESTAMP_KEY, NAME_KEY, &metadata[3].1[..]),
        ("mark", "name", &b"k1"[..])
    );
    let unix_ms = f64::from_be_bytes(metadata[2].1[..].try_into().unwrap());
    assert!(
        (1_796_220_000_000.0..1_796_230_000_000.0).contains(&unix_ms),
        "{unix_ms}"
    );
    let indices: Vec<u64> = entries.iter().map(|(index, _)| *index).collect();
    assert_eq!(indices, (2..20).collect::<Vec<u64>>());
    let total_bytes: usize = entries.iter().map(|(_, entry)| entry.len()).sum();
    assert_eq!(total_bytes, 1215 - 18 * 12);
}

#[test]
fn stored_file_takes_changes() {
    let replica = stored_replica();
    replica
        .commit(&[
            ReplicaChange::DeleteThrough(17),
            ReplicaChange::ReplaceFrom {
                first_index: 19,
                entries: vec![vec![7]],
            },
        ])
        .unwrap();
    let entries = replica.load().unwrap().entries;
    let indices: Vec<u64> = entries.iter().map(|(index, _)| *index).collect();
    assert_eq!(indices, [18, 19]);
    assert_eq!(entries[1].1, [7]);
}
