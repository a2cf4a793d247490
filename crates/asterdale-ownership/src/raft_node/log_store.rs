//! The log storage that the `raft` crate reads: entries in memory, and the latest snapshot for followers that need
//! compacted entries.

use std::cell::RefCell;
use std::rc::Rc;

use raft::eraftpb::{Entry as RaftEntry, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};

/// Shared between the `raft` crate, which reads it, and the node, which writes it.
#[derive(Clone)]
pub(super) struct LogStore {
    pub(super) log: MemStorage,
    /// Stored here because the snapshots of the crate's `MemStorage` have no data.
    pub(super) latest_snapshot: Rc<RefCell<Snapshot>>,
}

impl LogStore {
    pub(super) fn new(log: MemStorage, snapshot: Snapshot) -> LogStore {
        LogStore {
            log,
            latest_snapshot: Rc::new(RefCell::new(snapshot)),
        }
    }
}

impl Storage for LogStore {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_bytes: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<RaftEntry>> {
        self.log.entries(low, high, max_bytes, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.log.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.log.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.log.last_index()
    }

    fn snapshot(&self, _request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        Ok(self.latest_snapshot.borrow().clone())
    }
}
