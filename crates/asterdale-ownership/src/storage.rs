//! What a keeper has on disk, where it has one: its number, its group, and its part of the log. Whatever is saved in a turn
//! has to be there before any letter of that turn leaves: a vote, a word that an entry is held, an answer to an owner rest
//! on it. One that comes back with all of it is the keeper that it was; one that lacks anything is another.

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
        /// Later entries are to be deleted too: they belong to another log.
        delete_all_entries: bool,
    },
    /// Appends entries, the first of which has this index. Stored entries from that index on are deleted before.
    Entries(u64, Vec<Vec<u8>>),
}

/// What was found in durable storage.
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

/// Who a keeper was.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplicaIdentity {
    /// Its number.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Its group's; 0 for none.
    #[prost(uint64, tag = "2")]
    pub group: u64,
    /// The highest number of a group that it has heard of.
    #[prost(uint64, tag = "3")]
    pub highest_group: u64,
    /// Those that its group was formed of, where it knows.
    #[prost(message, repeated, tag = "4")]
    pub founders: Vec<Member>,
}

impl StoredState {
    /// Who it was; `None` where nothing was saved, or nothing that can be read.
    pub fn identity(&self) -> Option<ReplicaIdentity> {
        ReplicaIdentity::decode(&self.identity[..])
            .ok()
            .filter(|face| face.node != 0)
    }

    /// The library's memory of it, and the book that it begins with. What does not fit together is no memory.
    pub(crate) fn log(&self) -> Option<(MemStorage, Snapshot)> {
        let whole = Snapshot::parse_from_bytes(&self.snapshot).ok()?;
        let mut hard = HardState::parse_from_bytes(&self.hard_state).ok()?;
        let log = MemStorage::new();
        let from = whole.get_metadata().index;
        if from > 0 {
            log.wl().apply_snapshot(whole.clone()).ok()?;
        }
        let mut entries = Vec::new();
        for (number, bytes) in self.entries.iter().filter(|(number, _)| *number > from) {
            let entry = RaftEntry::parse_from_bytes(bytes).ok()?;
            if entry.index != *number || entry.index != from + 1 + entries.len() as u64 {
                return None;
            }
            entries.push(entry);
        }
        let last = from + entries.len() as u64;
        if hard.commit > last {
            return None; // it has said that it holds more
        }
        log.wl().append(&entries).ok()?;
        hard.commit = hard.commit.max(from);
        hard.term = hard.term.max(whole.get_metadata().term);
        log.wl().set_hardstate(hard);
        Some((log, whole))
    }
}

/// Entries, as they are saved.
pub(crate) fn entries(entries: &[RaftEntry]) -> Option<StorageWrite> {
    let first = entries.first()?.index;
    let bytes: Vec<Vec<u8>> = entries
        .iter()
        .filter_map(|entry| entry.write_to_bytes().ok())
        .collect();
    (bytes.len() == entries.len()).then_some(StorageWrite::Entries(first, bytes))
}
