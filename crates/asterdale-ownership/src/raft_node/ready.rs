//! The ready loop of the `raft` crate: stores and applies entries, and collects messages to send.

use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb::{Entry as RaftEntry, EntryType, Message};
use raft::{LightReady, Ready, StateRole};

use super::RaftNode;
use crate::message::wire::{Answer, LogEntry};
use crate::message::Member;
use crate::storage::{self, StorageWrite};

/// The output of one turn.
#[derive(Default)]
pub struct ReadyOutput {
    /// Writes that must be durable before any message or answer is sent.
    pub writes: Vec<StorageWrite>,
    /// Encoded Raft messages.
    pub messages: Vec<RaftMessageTo>,
    /// Answers to owners. Only the leader sends them.
    pub answers: Vec<(Member, Answer)>,
    /// `Some(true)` if this node became the leader in this turn, `Some(false)` if it lost the leadership.
    pub leadership_change: Option<bool>,
}

/// An encoded Raft message and its recipient.
pub struct RaftMessageTo {
    /// The recipient's node id.
    pub node: u64,
    /// The message, as the `raft` crate encodes it.
    pub bytes: Vec<u8>,
}

impl RaftNode {
    /// Processes everything that Raft has ready: stores and applies entries, collects messages and answers.
    ///
    /// A message may be collected before the entries that it depends on are written, because all messages are sent only
    /// after [`ReadyOutput::writes`] is durable.
    pub fn process_ready(&mut self, now_ms: f64) -> ReadyOutput {
        let mut output = ReadyOutput::default();
        while self.raft.has_ready() {
            let ready = self.raft.ready();
            let light_ready = self.handle_ready(ready, &mut output);
            self.handle_light_ready(light_ready, &mut output);
            self.raft.advance_apply();
        }
        self.compact_if_needed();
        output.leadership_change = self.update_leadership(now_ms);
        output.writes = self.writes.as_mut().map(std::mem::take).unwrap_or_default();
        output
    }

    fn handle_ready(&mut self, mut ready: Ready, output: &mut ReadyOutput) -> LightReady {
        output.collect_messages(ready.take_messages());
        if ready.snapshot().get_metadata().index > 0 {
            self.install_snapshot(ready.snapshot());
        }
        let committed = ready.take_committed_entries();
        self.apply(committed, output);
        if !ready.entries().is_empty() {
            // Can't fail: Raft's new entries continue the log that it read from this store, without a gap.
            let _ = self.store.log.wl().append(ready.entries());
            if self.writes.is_some() {
                self.persist(storage::entries_write(ready.entries()));
            }
        }
        if let Some(state) = ready.hs() {
            self.store.log.wl().set_hardstate(state.clone());
            self.persist(state.write_to_bytes().ok().map(StorageWrite::HardState));
        }
        output.collect_messages(ready.take_persisted_messages());
        self.raft.advance(ready)
    }

    fn handle_light_ready(&mut self, mut light_ready: LightReady, output: &mut ReadyOutput) {
        if let Some(commit) = light_ready.commit_index() {
            self.store.log.wl().mut_hard_state().set_commit(commit);
        }
        output.collect_messages(light_ready.take_messages());
        let committed = light_ready.take_committed_entries();
        self.apply(committed, output);
    }

    /// Returns whether the leadership has changed since the last turn, and to what.
    fn update_leadership(&mut self, now_ms: f64) -> Option<bool> {
        let is_leader = self.raft.raft.state == StateRole::Leader;
        if is_leader == self.was_leader {
            return None;
        }
        self.was_leader = is_leader;
        self.change_in_progress = false;
        // Another node may have been the leader until now, and its entries included that time: counting it again would
        // end leases early.
        self.last_proposal_ms = now_ms;
        Some(is_leader)
    }

    fn apply(&mut self, committed: Vec<RaftEntry>, output: &mut ReadyOutput) {
        for entry in committed {
            self.applied_index = entry.index;
            match entry.get_entry_type() {
                EntryType::EntryNormal => {
                    // The first entry of a leader is empty: it has no commands and no elapsed time.
                    if let Ok(entry) = LogEntry::decode(&entry.data[..]) {
                        output.answers.extend(self.table.apply(entry));
                    }
                }
                EntryType::EntryConfChangeV2 => {
                    self.apply_membership_change(&entry.data, entry.term);
                }
                // Never proposed.
                EntryType::EntryConfChange => {}
            }
        }
    }
}

impl ReadyOutput {
    fn collect_messages(&mut self, messages: Vec<Message>) {
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                self.messages.push(RaftMessageTo {
                    node: message.to,
                    bytes,
                });
            }
        }
    }
}
