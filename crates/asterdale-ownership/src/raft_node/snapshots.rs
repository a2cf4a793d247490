//! Snapshots of the ownership table: writing, installing, and compacting the log behind them.

use protobuf::Message as _;
use raft::eraftpb::Snapshot;
use raft::Storage as _;

use super::RaftNode;
use crate::storage::StorageWrite;
use crate::table::OwnershipTable;

/// Entries that stay in the log behind the last applied one, for followers that are a little late: more than a few
/// seconds' worth. A follower that is further behind gets a snapshot.
const RETAINED_ENTRIES: u64 = 2048;
/// The log is compacted once it is this many entries longer than what is retained: compaction writes a snapshot, so it
/// must not happen for every entry.
pub(super) const COMPACTION_ENTRIES: u64 = 1024;

impl RaftNode {
    /// Takes over the leader's snapshot in place of the own log and table.
    pub(super) fn install_snapshot(&mut self, snapshot: &Snapshot) {
        // Refused if the own log begins after it: what is here is newer.
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
        // Fails only for an index beyond the log, and this one has been applied.
        let _ = self.store.log.wl().compact(self.compacted_index);
    }

    /// Makes a snapshot of the table as it is now; `term` is that of the last applied entry.
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

    /// Has the latest snapshot stored. `delete_all_entries` where the stored entries belong to another log.
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
