//! The durable state of a replica that has durable storage: its identity, Raft's hard state, snapshot and log.
//!
//! The writes of a turn must be durable before any message of that turn is sent: votes, acknowledgements of entries and
//! answers to owners must still hold after the replica restarts. A replica that restarts with its complete state is the
//! same member of its group; one that lacks any part of it must join as a new member.

use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb::{Entry as RaftEntry, HardState, Snapshot};
use raft::storage::MemStorage;

use crate::message::Member;

/// A write that must be durable. Writes are applied in order.
#[derive(Clone, Debug, PartialEq)]
pub enum StorageWrite {
    /// Replaces the replica's identity ([`ReplicaIdentity`], encoded).
    Identity(Vec<u8>),
    /// Replaces Raft's hard state: term, vote, commit index.
    HardState(Vec<u8>),
    /// Replaces the snapshot. Log entries up to its last index are no longer needed.
    Snapshot {
        /// Index of the last entry that the snapshot covers.
        last_index: u64,
        /// The snapshot, encoded.
        bytes: Vec<u8>,
        /// Whether later entries are deleted too, because they belong to another log.
        delete_all_entries: bool,
    },
    /// Appends entries, the first of which has this index, after deleting all stored entries from that index on.
    Entries(u64, Vec<Vec<u8>>),
}

/// The contents of durable storage at the start of a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The last [`StorageWrite::Identity`]; empty if there was none.
    pub identity: Vec<u8>,
    /// The last [`StorageWrite::HardState`]; empty if there was none.
    pub hard_state: Vec<u8>,
    /// The last [`StorageWrite::Snapshot`]; empty if there was none.
    pub snapshot: Vec<u8>,
    /// All entries by index, in ascending order.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// Which member of which group a replica is.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplicaIdentity {
    /// Its node id.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Its group's number; 0 for none.
    #[prost(uint64, tag = "2")]
    pub group: u64,
    /// The highest group number that it has seen.
    #[prost(uint64, tag = "3")]
    pub highest_group: u64,
    /// The founders of its group, if it knows them.
    #[prost(message, repeated, tag = "4")]
    pub founders: Vec<Member>,
}

/// A log in memory and the snapshot that precedes its first entry.
pub(crate) struct RestoredLog {
    pub(crate) log: MemStorage,
    pub(crate) snapshot: Snapshot,
}

impl StoredState {
    /// The stored identity; `None` if there is none or it can't be decoded.
    pub fn identity(&self) -> Option<ReplicaIdentity> {
        ReplicaIdentity::decode(&self.identity[..])
            .ok()
            .filter(|identity| identity.node != 0)
    }

    /// Rebuilds the log; `None` if any part is missing or inconsistent. The replica then has to join as a new member:
    /// with part of its state lost, it could vote for a leader that lacks committed entries.
    pub(crate) fn restore_log(&self) -> Option<RestoredLog> {
        let snapshot = Snapshot::parse_from_bytes(&self.snapshot).ok()?;
        let mut hard_state = HardState::parse_from_bytes(&self.hard_state).ok()?;
        let snapshot_index = snapshot.get_metadata().index;
        let log = MemStorage::new();
        if snapshot_index > 0 {
            log.wl().apply_snapshot(snapshot.clone()).ok()?;
        }
        let entries = self.contiguous_entries_after(snapshot_index)?;
        let last_index = snapshot_index + entries.len() as u64;
        if hard_state.commit > last_index {
            // Entries that this replica acknowledged are missing.
            return None;
        }
        log.wl().append(&entries).ok()?;
        hard_state.commit = hard_state.commit.max(snapshot_index);
        hard_state.term = hard_state.term.max(snapshot.get_metadata().term);
        log.wl().set_hardstate(hard_state);
        Some(RestoredLog { log, snapshot })
    }

    /// The entries after an index; `None` if one is missing or can't be decoded.
    fn contiguous_entries_after(&self, index: u64) -> Option<Vec<RaftEntry>> {
        let mut entries = Vec::new();
        for (number, bytes) in self.entries.iter().filter(|(number, _)| *number > index) {
            let entry = RaftEntry::parse_from_bytes(bytes).ok()?;
            let expected_index = index + 1 + entries.len() as u64;
            if entry.index != *number || entry.index != expected_index {
                return None;
            }
            entries.push(entry);
        }
        Some(entries)
    }
}

/// The write that stores these entries; `None` if there are none, or one can't be encoded.
pub(crate) fn entries_write(entries: &[RaftEntry]) -> Option<StorageWrite> {
    let first_index = entries.first()?.index;
    let encoded: Vec<Vec<u8>> = entries
        .iter()
        .filter_map(|entry| entry.write_to_bytes().ok())
        .collect();
    (encoded.len() == entries.len()).then_some(StorageWrite::Entries(first_index, encoded))
}
