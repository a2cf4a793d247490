//! One member of a Raft group: drives the `raft` crate and applies committed entries to the ownership table.
//!
//! The log is in memory. With durable storage, the state that Raft requires to be durable is also returned as writes,
//! which must be stored before any message of the same turn is sent. A process that restarts without that state may
//! have lost a vote, so it is a new member with a new node id, which the group adds by a membership change.

use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Message, MessageType, Snapshot};
use raft::storage::MemStorage;
use raft::{Config, RawNode};

use crate::message::wire::{LogEntry, Proposal};
use crate::message::Member;
use crate::settings::OwnershipSettings;
use crate::storage::{RestoredLog, StorageWrite, StoredState};
use crate::table::OwnershipTable;

mod log_store;
mod membership_change;
mod ready;
mod snapshots;

use log_store::LogStore;
pub use membership_change::ReplacementStep;
pub use ready::{RaftMessageTo, ReadyOutput};

/// An election starts after ten to twenty ticks without a heartbeat of the leader, which sends one every three ticks:
/// two heartbeats may be lost.
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 3;
/// Maximum size of the entries in one message: well below the maximum message size, and a fraction of a second on a
/// slow network.
const MAX_ENTRIES_BYTES: u64 = 1024 * 1024;
/// Maximum number of messages with entries in flight to one follower.
const MAX_INFLIGHT_MESSAGES: usize = 64;

/// Which member of which group a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberId {
    /// The group's number.
    pub group: u64,
    /// The node id of the process.
    pub node: u64,
}

/// A member of a Raft group.
pub struct RaftNode {
    /// The group's number.
    pub group: u64,
    /// This process's node id.
    pub node: u64,
    /// The state machine: the result of all applied entries.
    pub table: OwnershipTable,
    raft: RawNode<LogStore>,
    store: LogStore,
    settings: OwnershipSettings,
    applied_index: u64,
    compacted_index: u64,
    /// When the last entry was proposed, by this process's clock. The next entry contains the time elapsed since.
    last_proposal_ms: f64,
    /// Whether this node was the leader at the end of the last turn.
    was_leader: bool,
    next_tick_ms: f64,
    /// Whether a membership change is proposed and not yet applied. Raft allows one at a time.
    change_in_progress: bool,
    /// Pending writes; `None` without durable storage.
    writes: Option<Vec<StorageWrite>>,
}

impl RaftNode {
    /// A founder of a group, if `members` lists this node; otherwise a member that receives the log from the leader.
    /// `None` if the `raft` crate rejects the configuration.
    pub fn new(
        now_ms: f64,
        id: MemberId,
        members: &[Member],
        settings: &OwnershipSettings,
        has_storage: bool,
    ) -> Option<RaftNode> {
        let table = OwnershipTable::new(id.group, members, settings.clone());
        let is_founder = members.iter().any(|member| member.node == id.node);
        let mut snapshot = Snapshot::default();
        let log = MemStorage::new();
        if is_founder {
            snapshot = founding_snapshot(&table, members);
            log.wl().apply_snapshot(snapshot.clone()).ok()?;
        }
        let restored = RestoredLog { log, snapshot };
        let mut raft_node = RaftNode::with_log(now_ms, id, restored, table, settings)?;
        if has_storage {
            raft_node.writes = Some(Vec::new());
            raft_node.persist_snapshot(true);
        }
        Some(raft_node)
    }

    /// The member that this process was before it restarted; `None` if the stored state is incomplete.
    pub fn restore(
        now_ms: f64,
        id: MemberId,
        stored: &StoredState,
        settings: &OwnershipSettings,
    ) -> Option<RaftNode> {
        let restored = stored.restore_log()?;
        let table = if restored.snapshot.get_metadata().index > 0 {
            OwnershipTable::decode(restored.snapshot.get_data(), settings.clone())?
        } else {
            OwnershipTable::new(id.group, &[], settings.clone())
        };
        let mut raft_node = RaftNode::with_log(now_ms, id, restored, table, settings)?;
        raft_node.writes = Some(Vec::new());
        Some(raft_node)
    }

    fn with_log(
        now_ms: f64,
        id: MemberId,
        restored: RestoredLog,
        table: OwnershipTable,
        settings: &OwnershipSettings,
    ) -> Option<RaftNode> {
        let applied_index = restored.snapshot.get_metadata().index;
        let store = LogStore::new(restored.log, restored.snapshot);
        let config = Config {
            id: id.node,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            max_size_per_msg: MAX_ENTRIES_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            applied: applied_index,
            // A leader that is partitioned from the majority steps down, and a member that was partitioned does not
            // depose a working leader when it is connected again.
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        Some(RaftNode {
            group: id.group,
            node: id.node,
            table,
            raft: RawNode::new(&config, store.clone(), &logger).ok()?,
            store,
            settings: settings.clone(),
            applied_index,
            compacted_index: applied_index,
            last_proposal_ms: now_ms,
            was_leader: false,
            next_tick_ms: now_ms + settings.tick_ms,
            change_in_progress: false,
            writes: None,
        })
    }

    /// Whether this node was the leader at the end of the last turn.
    pub fn is_leader(&self) -> bool {
        self.was_leader
    }

    /// The leader, as far as this node knows.
    pub fn leader(&self) -> Option<&Member> {
        self.table.members.get(&self.raft.raft.leader_id)
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// When [`RaftNode::tick`] is due, in the caller's milliseconds.
    pub fn next_wake_ms(&self) -> f64 {
        self.next_tick_ms
    }

    /// Advances Raft's timers by one tick if it is due. A late call counts as one tick, however late: a process that
    /// was paused received no heartbeats in that time, which does not mean that the leader has failed.
    pub fn tick(&mut self, now_ms: f64) {
        if now_ms >= self.next_tick_ms {
            self.next_tick_ms = now_ms + self.settings.tick_ms;
            self.raft.tick();
        }
    }

    /// Handles a Raft message. One that is malformed or addressed to another node is ignored, as if it were lost.
    pub fn step(&mut self, bytes: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return;
        };
        // A heartbeat to a member that lost its state can have a commit index beyond the end of that member's log, on
        // which the `raft` crate panics.
        let is_commit_beyond_log = message.get_msg_type() == MessageType::MsgHeartbeat
            && message.commit > self.raft.raft.raft_log.last_index();
        if message.to == self.node && !is_commit_beyond_log {
            // An error means that this node can't use the message. Raft retransmits what is needed.
            let _ = self.raft.step(message);
        }
    }

    /// Proposes an entry with these commands, if this node is the leader. An entry without commands only advances the
    /// table's time. Returns whether the entry was proposed; if not, the owners repeat their commands.
    pub fn propose(&mut self, now_ms: f64, proposals: Vec<Proposal>) -> bool {
        if !self.is_leader() {
            return false;
        }
        let entry = LogEntry {
            elapsed_ms: (now_ms - self.last_proposal_ms).max(0.0),
            proposals,
        };
        let is_proposed = self.raft.propose(Vec::new(), entry.encode_to_vec()).is_ok();
        if is_proposed {
            self.last_proposal_ms = now_ms;
        }
        is_proposed
    }

    /// Milliseconds since the last proposal.
    pub fn since_last_proposal_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.last_proposal_ms
    }

    fn persist(&mut self, write: Option<StorageWrite>) {
        if let Some(writes) = &mut self.writes {
            writes.extend(write);
        }
    }
}

/// The snapshot with which all founders start: the same index, term, voters and table, as if a first entry had been
/// committed.
fn founding_snapshot(table: &OwnershipTable, founders: &[Member]) -> Snapshot {
    let state = ConfState {
        voters: founders.iter().map(|member| member.node).collect(),
        ..ConfState::default()
    };
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().set_conf_state(state);
    snapshot.mut_metadata().index = 1;
    snapshot.mut_metadata().term = 1;
    snapshot.set_data(table.encode().into());
    snapshot
}

/// The node id of the recipient of an encoded Raft message.
pub fn recipient(bytes: &[u8]) -> Option<u64> {
    let message = Message::parse_from_bytes(bytes).ok()?;
    Some(message.to)
}
