//! Changes of the group's members through the log (Raft thesis, chapter 4; joint consensus where two members change at
//! once).

use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState};

use super::snapshots::COMPACTION_ENTRIES;
use super::RaftNode;
use crate::message::Member;

/// The step of a replacement that was proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplacementStep {
    /// No step: this node can't propose now, the learner is still behind, or the new member is already a voter.
    None,
    /// Adds the new member as a learner.
    AddLearner,
    /// Makes the learner a voter and removes the old member.
    Promote,
}

impl RaftNode {
    /// Proposes the next step of replacing a member by `new`, the process that now has the member's name.
    ///
    /// The new process first becomes a learner: it has no vote while it lacks committed entries, so it can't help to
    /// elect a leader that lacks them. Once it has nearly caught up, one joint change makes it a voter and removes the
    /// old process, so the number of voters stays the same and no name ever has two votes.
    pub fn propose_replacement(&mut self, new: &Member) -> ReplacementStep {
        if !self.is_leader() || self.change_in_progress {
            return ReplacementStep::None;
        }
        let (changes, step) = match self.raft.raft.prs().get(new.node) {
            None => {
                let add = single_change(ConfChangeType::AddLearnerNode, new.node);
                (vec![add], ReplacementStep::AddLearner)
            }
            Some(_) if !self.is_caught_up_learner(new.node) => return ReplacementStep::None,
            Some(_) => (self.promotion(new), ReplacementStep::Promote),
        };
        let mut change = ConfChangeV2::default();
        change.set_changes(changes.into());
        change.set_context(new.encode_to_vec().into());
        self.propose_change(change);
        if self.change_in_progress {
            step
        } else {
            ReplacementStep::None
        }
    }

    fn is_caught_up_learner(&self, node: u64) -> bool {
        let tracker = self.raft.raft.prs();
        let is_learner = tracker.conf().learners().contains(&node);
        let committed = self.raft.raft.raft_log.committed;
        is_learner
            && tracker.get(node).is_some_and(|progress| {
                progress.matched > 0 && progress.matched + COMPACTION_ENTRIES >= committed
            })
    }

    /// The changes that make a learner a voter and remove the other members of the same name.
    fn promotion(&self, new: &Member) -> Vec<ConfChangeSingle> {
        let mut changes = vec![single_change(ConfChangeType::AddNode, new.node)];
        let replaced = self
            .table
            .members
            .values()
            .filter(|member| member.name == new.name && member.node != new.node);
        changes
            .extend(replaced.map(|member| single_change(ConfChangeType::RemoveNode, member.node)));
        changes
    }

    /// Proposes the removal of a member, if this node is the leader and no other change is in progress.
    pub fn propose_removal(&mut self, node: u64) {
        if !self.is_leader() || self.change_in_progress || !self.table.members.contains_key(&node) {
            return;
        }
        let mut change = ConfChangeV2::default();
        change
            .mut_changes()
            .push(single_change(ConfChangeType::RemoveNode, node));
        self.propose_change(change);
    }

    fn propose_change(&mut self, change: ConfChangeV2) {
        self.change_in_progress = self.raft.propose_conf_change(Vec::new(), change).is_ok();
    }

    /// Applies a committed change of the members.
    pub(super) fn apply_membership_change(&mut self, bytes: &[u8], term: u64) {
        let Ok(change) = ConfChangeV2::parse_from_bytes(bytes) else {
            return;
        };
        if let Ok(state) = self.raft.apply_conf_change(&change) {
            if let Ok(new) = Member::decode(change.get_context()) {
                if is_in_group(&state, new.node) {
                    self.table.members.insert(new.node, new);
                }
            }
            self.table
                .members
                .retain(|node, _| is_in_group(&state, *node));
            self.store.log.wl().set_conf_state(state);
            // A snapshot from before the change does not list the new member, which therefore could not install it.
            self.write_snapshot(term);
        }
        // The `raft` crate leaves a joint configuration automatically, by an empty change.
        self.change_in_progress = false;
    }
}

fn single_change(kind: ConfChangeType, node: u64) -> ConfChangeSingle {
    let mut change = ConfChangeSingle::default();
    change.set_change_type(kind);
    change.node_id = node;
    change
}

fn is_in_group(state: &ConfState, node: u64) -> bool {
    [&state.voters, &state.learners, &state.voters_outgoing]
        .into_iter()
        .any(|nodes| nodes.contains(&node))
}
