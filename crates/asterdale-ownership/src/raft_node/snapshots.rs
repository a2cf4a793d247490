//! Snapshots of the ownership table: writing and installing them, and compacting the log.

use protobuf::Message as _;
use raft::eraftpb::Snapshot;
use raft::Storage as _;

use super::RaftNode;
use crate::storage::StorageWrite;
use crate::table::OwnershipTable;

/// Applied entries that compaction leaves in the log, for followers that are slightly behind: those of more than a few
/// seconds. A follower that is further behind gets a snapshot.
const RETAINED_ENTRIES: u64 = 2048;
/// The log is compacted once it has this many entries more than the retained ones: compaction writes a snapshot, so it
/// must not happen for every entry.
pub(super) const COMPACTION_ENTRIES: u64 = 1024;

impl RaftNode {
    /// Replaces the log and the table of this node by the leader's snapshot.
    pub(super) fn install_snapshot(&mut self, snapshot: &Snapshot) {
        // Rejected if this node's log starts after the snapshot: its own state is newer.
        if self
            .store
            .log
            .wl()
            .apply_snapshot(snapshot.clone())
            .is_err()
        {
            return;
        }
        if let Some(table) = OwnershipTable::decode(snapshot.get_data(), self.settings.clone()) {
            self.table = table;
        }
        self.applied_index = snapshot.get_metadata().index;
        self.compacted_index = self.applied_index;
        *self.store.latest_snapshot.borrow_mut() = snapshot.clone();
        self.persist_snapshot(true);
    }

    /// Writes a snapshot and compacts the log, once the log has grown enough.
    pub(super) fn compact_if_needed(&mut self) {
        if self.applied_index < self.compacted_index + RETAINED_ENTRIES + COMPACTION_ENTRIES {
            return;
        }
        let Ok(term) = self.store.log.term(self.applied_index) else {
            return;
        };
        self.write_snapshot(term);
        self.compacted_index = self.applied_index - RETAINED_ENTRIES;
        // Fails only for an index beyond the end of the log, and the entry at this index has been applied.
        let _ = self.store.log.wl().compact(self.compacted_index);
    }

    /// Makes a snapshot of the current table; `term` is the term of the last applied entry.
    pub(super) fn write_snapshot(&mut self, term: u64) {
        let Ok(state) = self.store.log.initial_state() else {
            return;
        };
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().set_conf_state(state.conf_state);
        snapshot.mut_metadata().index = self.applied_index;
        snapshot.mut_metadata().term = term;
        snapshot.set_data(self.table.encode().into());
        *self.store.latest_snapshot.borrow_mut() = snapshot;
        self.persist_snapshot(false);
    }

    /// Adds the write that stores the latest snapshot, with `delete_all_entries` if stored entries belong to another
    /// log.
    pub(super) fn persist_snapshot(&mut self, delete_all_entries: bool) {
        if self.writes.is_none() {
            return;
        }
        let write = {
            let snapshot = self.store.latest_snapshot.borrow();
            snapshot
                .write_to_bytes()
                .ok()
                .map(|bytes| StorageWrite::Snapshot {
                    last_index: snapshot.get_metadata().index,
                    bytes,
                    delete_all_entries,
                })
        };
        self.persist(write);
    }
}
