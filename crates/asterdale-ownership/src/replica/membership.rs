//! Reconciles the members of the Raft group with the configured replicas. Only the leader does this.

use std::collections::BTreeSet;

use super::{PeerHello, Replica, REPLACE_AFTER_TICKS};
use crate::message::Member;
use crate::raft_node::{RaftNode, ReplacementStep};
use crate::OwnershipEvent;

impl Replica {
    /// Proposes at most one change: a replacement of a restarted member first, then the removal of one that is no
    /// longer configured.
    pub(super) fn reconcile_members(&mut self, now_ms: f64) {
        let Some(raft_node) = self.raft_node.as_ref().filter(|node| node.is_leader()) else {
            return;
        };
        let replacement = self.find_replacement(now_ms, raft_node);
        let unconfigured = self.find_unconfigured_member(raft_node);
        let Some(raft_node) = &mut self.raft_node else {
            return;
        };
        if let Some(new) = replacement {
            if raft_node.propose_replacement(&new) == ReplacementStep::Promote {
                self.report(OwnershipEvent::ReplicaReplaced(new.name));
            }
        } else if let Some(node) = unconfigured {
            raft_node.propose_removal(node);
        }
    }

    /// The first present replica that may replace the member of the same name.
    fn find_replacement(&self, now_ms: f64, raft_node: &RaftNode) -> Option<Member> {
        let hellos = self.replicas.iter().filter_map(|(name, _)| {
            self.last_hellos
                .get(name)
                .filter(|hello| self.is_present(now_ms, hello))
        });
        hellos
            .filter(|hello| self.may_replace(now_ms, hello, raft_node))
            .map(|hello| hello.member.clone())
            .next()
    }

    /// Whether the process that sent this hello may replace the members that have its name.
    ///
    /// Those members must have sent no message for [`REPLACE_AFTER_TICKS`]: if one were still alive, two processes of
    /// the same name could vote. The process must not belong to another group, as its log would be of no use in this
    /// one.
    fn may_replace(&self, now_ms: f64, hello: &PeerHello, raft_node: &RaftNode) -> bool {
        let members = raft_node.table.members.values();
        let nodes: BTreeSet<u64> = members
            .filter(|member| member.name == hello.member.name)
            .map(|member| member.node)
            .collect();
        let is_only_member = nodes.len() == 1 && nodes.contains(&hello.member.node);
        let has_no_other_group = hello.group == 0 || hello.group == raft_node.group;
        let mut old_nodes = nodes.iter().filter(|node| **node != hello.member.node);
        has_no_other_group && !is_only_member && old_nodes.all(|node| self.is_silent(now_ms, *node))
    }

    fn is_silent(&self, now_ms: f64, node: u64) -> bool {
        let max_silence_ms = REPLACE_AFTER_TICKS * self.settings.tick_ms;
        self.last_messages
            .get(&node)
            .is_none_or(|last| now_ms - last.received_at_ms > max_silence_ms)
    }

    fn find_unconfigured_member(&self, raft_node: &RaftNode) -> Option<u64> {
        let is_configured =
            |member: &Member| self.replicas.iter().any(|(name, _)| *name == member.name);
        let mut members = raft_node.table.members.values();
        members
            .find(|member| !is_configured(member))
            .map(|member| member.node)
    }
}
