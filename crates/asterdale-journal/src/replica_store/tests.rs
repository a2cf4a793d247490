use super::*;

const MAX_FILE_BYTES: u64 = 64 << 20;

fn set_hard_state(value: u8) -> ReplicaChange {
    ReplicaChange::SetMetadata("hard", vec![value])
}

fn replace_from(first_index: u64, entries: impl IntoIterator<Item = u8>) -> ReplicaChange {
    ReplicaChange::ReplaceFrom {
        first_index,
        entries: entries.into_iter().map(|byte| vec![byte]).collect(),
    }
}

fn set_timestamp(replica: &ReplicaStore, unix_ms: f64) {
    let transaction = replica.store.begin_write().unwrap();
    transaction
        .open_table(METADATA_TABLE)
        .unwrap()
        .insert(TIMESTAMP_KEY, &unix_ms.to_be_bytes()[..])
        .unwrap();
    transaction.commit().unwrap();
}

#[test]
fn contents_are_read_again_unless_they_are_old_or_of_another_replica() {
    let folder = std::env::temp_dir().join(format!("asterdale-replica-{}", std::process::id()));
    // An earlier test run may have left a folder; usually there is none.
    let _ = std::fs::remove_dir_all(&folder);
    let open = |name: &str| ReplicaStore::open(&folder, name, MAX_FILE_BYTES).unwrap();
    let (replica, contents) = open("a");
    assert_eq!(contents, ReplicaContents::default());
    let second = ReplicaStore::open(&folder, "a", MAX_FILE_BYTES);
    assert!(matches!(second, Err(StoreError::Locked)), "{second:?}");
    replica
        .commit(&[replace_from(1, 1..9), set_hard_state(7)])
        .unwrap();
    // A new leader's entries replace those of an earlier leader, and a snapshot covers the first two entries.
    replica
        .commit(&[replace_from(5, [50]), ReplicaChange::DeleteThrough(2)])
        .unwrap();
    drop(replica);
    let (replica, contents) = open("a");
    assert_eq!(
        contents.entries,
        [(3, vec![3]), (4, vec![4]), (5, vec![50])]
    );
    assert!(contents.metadata.contains(&("hard".to_owned(), vec![7])));
    // The timestamp of an old copy.
    set_timestamp(&replica, unix_time_ms() - 10.0 * recovery::FRESH_AGE_MAX_MS);
    drop(replica);
    let (replica, contents) = open("a");
    assert_eq!(contents, ReplicaContents::default());
    replica.commit(&[set_hard_state(8)]).unwrap();
    drop(replica);
    assert_eq!(open("b").1, ReplicaContents::default(), "another replica");
    assert_eq!(open("a").1, ReplicaContents::default(), "deleted by b");
    std::fs::remove_dir_all(folder).unwrap();
}
