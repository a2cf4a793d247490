//! How a replica forms or joins a Raft group, and abandons one that has lost its majority.

use rand_pcg::rand_core::Rng;

use super::{PeerHello, Replica, PRESENCE_TIMEOUT_TICKS};
use crate::failpoint::{self, Failpoint};
use crate::message::wire::{self, Hello};
use crate::message::{Member, MessageBody};
use crate::raft_node::{self, MemberId, RaftNode};
use crate::storage::{ReplicaIdentity, StorageWrite};
use crate::OwnershipEvent;

/// A group is abandoned after this many ticks without a leader, if most of its members restarted without state. This is
/// at least three election timeouts, and longer than the wait before a member is replaced.
const ABANDON_AFTER_TICKS: f64 = 60.0;

impl Replica {
    pub(super) fn send_hellos(&mut self) {
        if self.superseded {
            return;
        }
        let body = MessageBody::Hello(self.hello());
        let peers = self.replicas.iter();
        let addresses: Vec<_> = peers
            .filter(|(name, _)| *name != self.member.name)
            .map(|(_, address)| *address)
            .collect();
        for address in addresses {
            self.send(address, body.clone());
        }
    }

    fn hello(&self) -> Hello {
        let members = match &self.raft_node {
            Some(_) if !self.founders.is_empty() => self.founders.clone(),
            Some(raft_node) => raft_node.table.members.values().cloned().collect(),
            None => Vec::new(),
        };
        Hello {
            group: self.group(),
            highest_group: self.highest_group,
            members,
            members_are_founders: self.raft_node.is_some() && !self.founders.is_empty(),
        }
    }

    /// Number of this replica's group; 0 for none.
    fn group(&self) -> u64 {
        self.raft_node
            .as_ref()
            .map_or(0, |raft_node| raft_node.group)
    }

    pub(super) fn receive_hello(&mut self, now_ms: f64, from: &Member, hello: &Hello) {
        let highest_of_sender = hello.group.max(hello.highest_group);
        self.highest_group = self.highest_group.max(highest_of_sender);
        if from.name == self.member.name {
            return;
        }
        let peer = PeerHello {
            member: from.clone(),
            group: hello.group,
            received_at_ms: now_ms,
        };
        self.last_hellos.insert(from.name.clone(), peer);
        let mut members = hello.members.iter();
        let same_name_member = members.find(|member| member.name == self.member.name);
        match &self.raft_node {
            None if hello.members_are_founders
                && same_name_member.is_some_and(|member| member.node == self.member.node) =>
            {
                self.start_as_founder(now_ms, hello.group, hello.members.clone());
            }
            // The later group was formed when a process of each name had reported that it had no group. So another
            // process did so under this replica's name, or this process was paused for longer than the others waited.
            Some(raft_node) if hello.group > raft_node.group => {
                let group = raft_node.group;
                self.abandon_group(group);
                // This process already has a new node id, so a founder of its name with another id is another process.
                self.superseded = hello.members_are_founders
                    && same_name_member.is_some_and(|member| member.node != self.member.node);
            }
            _ => {}
        }
    }

    /// Adds the writes that store the identity and delete the log of the former identity.
    fn persist_identity(&mut self) {
        if !self.has_storage {
            return;
        }
        let identity = ReplicaIdentity {
            node: self.member.node,
            group: self.group(),
            highest_group: self.highest_group,
            founders: self.founders.clone(),
        };
        self.pending_writes.extend([
            StorageWrite::Identity(prost::Message::encode_to_vec(&identity)),
            StorageWrite::HardState(Vec::new()),
            StorageWrite::Snapshot {
                last_index: 0,
                bytes: Vec::new(),
                delete_all_entries: true,
            },
        ]);
    }

    fn member_id(&self, group: u64) -> MemberId {
        MemberId {
            group,
            node: self.member.node,
        }
    }

    fn start_as_founder(&mut self, now_ms: f64, group: u64, founders: Vec<Member>) {
        let id = self.member_id(group);
        self.raft_node = RaftNode::new(now_ms, id, &founders, &self.settings, self.has_storage);
        self.founders = founders;
        self.highest_group = self.highest_group.max(group);
        self.persist_identity();
        self.leaderless_since_ms = now_ms;
        if self.raft_node.is_some() {
            self.report(OwnershipEvent::GroupJoined(group));
        }
    }

    /// Leaves the group and draws a new node id: this replica may have voted under the old one, and drops that state.
    fn abandon_group(&mut self, group: u64) {
        self.raft_node = None;
        self.founders.clear();
        self.queued_proposals.clear();
        // `| 1` because node id 0 means none.
        self.member.node = self.random.next_u64() | 1;
        self.persist_identity();
        self.report(OwnershipEvent::GroupAbandoned(group));
    }

    pub(super) fn is_present(&self, now_ms: f64, hello: &PeerHello) -> bool {
        now_ms - hello.received_at_ms <= PRESENCE_TIMEOUT_TICKS * self.settings.tick_ms
    }

    /// Forms a group if this replica has none; otherwise maintains the members of its group.
    pub(super) fn check_group(&mut self, now_ms: f64) {
        if failpoint::is_active(Failpoint::KeepNodeIdWithoutState) {
            self.member.node = node_from_name(&self.member.name);
        }
        if self.raft_node.is_none() {
            return self.form_group_if_all_agree(now_ms);
        }
        self.reconcile_members(now_ms);
        self.abandon_group_if_lost(now_ms);
    }

    /// Abandons the group if it has had no leader for long and most of its members restarted without state.
    ///
    /// Those members will never vote in this group again, so it can't elect a leader. Committed entries may have been
    /// lost with their state, which is why the new group blocks claims for the longest retry window.
    fn abandon_group_if_lost(&mut self, now_ms: f64) {
        let Some(raft_node) = &self.raft_node else {
            return;
        };
        if raft_node.leader().is_some() {
            self.leaderless_since_ms = now_ms;
        }
        let members = &raft_node.table.members;
        let restarted_without_state = |member: &&Member| {
            self.last_hellos.get(&member.name).is_some_and(|hello| {
                self.is_present(now_ms, hello)
                    && hello.group == 0
                    && hello.member.node != member.node
            })
        };
        let lost_count = members.values().filter(restarted_without_state).count();
        let leaderless_ms = now_ms - self.leaderless_since_ms;
        if leaderless_ms > ABANDON_AFTER_TICKS * self.settings.tick_ms
            && lost_count * 2 > members.len()
        {
            let group = raft_node.group;
            self.abandon_group(group);
        }
    }

    /// Forms a group if this is the first of the configured replicas and all others are present and have no group.
    fn form_group_if_all_agree(&mut self, now_ms: f64) {
        let first = self.replicas.first();
        if first.is_none_or(|(name, _)| *name != self.member.name) {
            return;
        }
        let mut founders = vec![self.member.clone()];
        for (name, _) in self.replicas.iter().skip(1) {
            match self.last_hellos.get(name) {
                Some(hello) if self.is_present(now_ms, hello) && hello.group == 0 => {
                    founders.push(hello.member.clone());
                }
                _ => return,
            }
        }
        // Derived from the clock, so that the number is above that of an earlier group that no replica remembers.
        let running_s = ((now_ms - self.started_at_ms) / 1e3) as u64;
        let group = (self.unix_s + running_s).max(self.highest_group + 1);
        self.start_as_founder(now_ms, group, founders);
        let blocked_ms = self.settings.max_retry_window_ms;
        self.report(OwnershipEvent::GroupFormed(group, blocked_ms));
    }

    pub(super) fn receive_raft(&mut self, now_ms: f64, message: &wire::RaftMessage) {
        if self.is_added_by(message) {
            // The leader has added this replica as a learner, or it is a founder that has not yet received the list of
            // founders. In both cases the leader sends it the log or a snapshot.
            let id = self.member_id(message.group);
            self.raft_node = RaftNode::new(now_ms, id, &[], &self.settings, self.has_storage);
            self.founders.clear();
            self.persist_identity();
            self.leaderless_since_ms = now_ms;
            self.report(OwnershipEvent::GroupJoined(message.group));
        }
        let raft_node = self.raft_node.as_mut();
        if let Some(raft_node) = raft_node.filter(|node| node.group == message.group) {
            raft_node.step(&message.message);
        }
    }

    /// Whether the message makes this replica a member of a group. A group with a number below the highest seen is not
    /// accepted, as it may have been abandoned.
    fn is_added_by(&self, message: &wire::RaftMessage) -> bool {
        raft_node::recipient(&message.message) == Some(self.member.node)
            && !failpoint::is_active(Failpoint::KeepNodeIdWithoutState)
            && self.raft_node.is_none()
            && message.group >= self.highest_group
            && message.group > 0
    }
}

/// The node id that the failpoint `empty` gives a replica: the same after each restart, as if no state were lost.
fn node_from_name(name: &str) -> u64 {
    let hash = name.bytes().fold(1, |sum: u64, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    hash | 1
}
