//! The storage of this process as an ownership replica: its identity, its Raft hard state, and its part of the
//! replicated log.

use std::path::Path;
use std::sync::{Arc, Mutex};

use asterdale_engine::log::Log;
use asterdale_journal::replica_store::{ReplicaChange, ReplicaStore};
use asterdale_ownership::{StorageWrite, StoredState};
use asterdale_transport::ownership::{ReplicaDisk, ReplicaStorage, StorageError};

use super::JournalError;
use crate::start::StartSettings;

/// Name under which the replica's identity is stored.
pub const IDENTITY: &str = "face";
/// Name under which its Raft hard state is stored.
pub const HARD_STATE: &str = "hard";
/// Name under which its snapshot is stored.
pub const SNAPSHOT: &str = "whole";

struct JournalReplicaStorage(ReplicaStore);

impl ReplicaStorage for JournalReplicaStorage {
    fn save(&mut self, writes: Vec<StorageWrite>) -> Result<(), StorageError> {
        let mut changes = Vec::with_capacity(writes.len());
        for write in writes {
            add_changes(&mut changes, write);
        }
        self.0.commit(&changes).map_err(StorageError::new)
    }
}

/// Adds the changes that make up `write`, in the order in which they must be applied.
fn add_changes(changes: &mut Vec<ReplicaChange>, write: StorageWrite) {
    match write {
        StorageWrite::Identity(identity) => {
            changes.push(ReplicaChange::SetMetadata(IDENTITY, identity));
        }
        StorageWrite::HardState(hard_state) => {
            changes.push(ReplicaChange::SetMetadata(HARD_STATE, hard_state));
        }
        StorageWrite::Snapshot {
            last_index,
            bytes,
            delete_all_entries,
        } => {
            changes.push(ReplicaChange::SetMetadata(SNAPSHOT, bytes));
            changes.push(if delete_all_entries {
                ReplicaChange::DeleteAll
            } else {
                ReplicaChange::DeleteThrough(last_index)
            });
        }
        StorageWrite::Entries(first_index, entries) => {
            changes.push(ReplicaChange::ReplaceFrom {
                first_index,
                entries,
            });
        }
    }
}

/// Opens the storage of this process as a replica. Returns `None` if it is not a replica or has no journal.
pub fn open_replica_disk(
    start: &StartSettings,
    log: &Log,
) -> Result<Option<ReplicaDisk>, JournalError> {
    let (Some(journal), Some(ownership)) = (&start.journal, &start.ownership) else {
        return Ok(None);
    };
    let is_replica = ownership
        .replicas
        .iter()
        .any(|(name, _)| *name == start.name);
    if !is_replica {
        return Ok(None);
    }
    let folder = Path::new(&journal.folder);
    let (store, found) = ReplicaStore::open(folder, &start.name, journal.max_disk_bytes)
        .map_err(|e| JournalError::Open(e.into()))?;
    slog::info!(log.lines, "journal: replicated log open"; "entries" => found.entries.len());
    let metadata = |name: &str| {
        found
            .metadata
            .iter()
            .find(|(stored, _)| stored == name)
            .map(|(_, value)| value.clone())
            .unwrap_or_default()
    };
    let saved = StoredState {
        identity: metadata(IDENTITY),
        hard_state: metadata(HARD_STATE),
        snapshot: metadata(SNAPSHOT),
        entries: found.entries.clone(),
    };
    Ok(Some(ReplicaDisk {
        saved,
        storage: Arc::new(Mutex::new(JournalReplicaStorage(store))),
    }))
}
