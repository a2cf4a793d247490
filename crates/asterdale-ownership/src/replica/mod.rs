//! One replica of the ownership log: its Raft group, the members of that group, and the answers to owners.
//!
//! The replicas are configured by name. Hello messages tell which process currently has a name; the log records which
//! process is the member of that name.
//!
//! - **Forming a group** (`formation`): the first replica of the list forms a group once **all** replicas report that
//!   they have none, so no majority of an earlier group can still be active unnoticed. If a majority was only paused at
//!   that time, its group has a lower number, and so lower epochs and fencing tokens.
//! - **Replacing a member** (`membership`): a replica that restarts without its state never acts as its former member.
//!   It has a new node id, receives the log as a learner, and replaces the old member by a membership change.
//! - **Loss of a majority** (`formation`): if most members restarted without state, the others abandon the group. A new
//!   group is formed, which grants no claims before the longest retry window has passed.
//! - **Commands of owners** (`commands`): the leader proposes them and answers them once they are applied.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use asterdale_membership::authentication::MessageAuthenticator;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::message::wire::{self, Proposal};
use crate::message::{self, socket_addr, Member, MessageBody};
use crate::raft_node::{RaftMessageTo, RaftNode};
use crate::settings::OwnershipSettings;
use crate::storage::StorageWrite;
use crate::{Action, OwnershipEvent};

mod commands;
mod config;
mod formation;
mod membership;
mod status;

pub use config::ReplicaConfig;
use config::RestoredMember;
pub use status::ReplicaStatus;

/// Ticks between two hello messages to each other replica: as often as Raft's heartbeats.
const HELLO_TICKS: f64 = 3.0;
/// A replica is present if a hello was received within this many ticks: four hellos, of which three may be lost.
const PRESENCE_TIMEOUT_TICKS: f64 = 12.0;
/// A member that sent no message for this many ticks may be replaced: two election timeouts, so that a short pause does
/// not cause a replacement.
const REPLACE_AFTER_TICKS: f64 = 40.0;
/// The last message of a process is forgotten after this many ticks without another one.
const FORGET_AFTER_TICKS: f64 = 100.0 * REPLACE_AFTER_TICKS;

/// The last hello of another replica.
#[derive(Clone, Debug)]
struct PeerHello {
    member: Member,
    group: u64,
    received_at_ms: f64,
}

/// Time and source address of the last message of a process.
#[derive(Clone, Copy, Debug)]
struct LastMessage {
    received_at_ms: f64,
    address: SocketAddr,
}

/// One replica of the ownership log.
pub struct Replica {
    member: Member,
    replicas: Vec<(String, SocketAddr)>,
    settings: OwnershipSettings,
    authenticator: MessageAuthenticator,
    random: Pcg64Mcg,
    unix_s: u64,
    started_at_ms: f64,
    raft_node: Option<RaftNode>,
    /// The founders of this replica's group, if known.
    founders: Vec<Member>,
    /// The highest group number that this replica has seen.
    highest_group: u64,
    last_hellos: BTreeMap<String, PeerHello>,
    /// By node id. Also the source of the addresses of members that a learner does not know yet.
    last_messages: BTreeMap<u64, LastMessage>,
    next_hello_at_ms: f64,
    leaderless_since_ms: f64,
    queued_proposals: Vec<Proposal>,
    /// How many ownerless requests each owner can take, by node id.
    owner_capacities: BTreeMap<u64, u32>,
    /// Time until which an ownerless request is not offered again, by key.
    offered_until_ms: BTreeMap<Vec<u8>, f64>,
    /// Whether another process has this replica's name in a later group. A superseded replica ignores all messages.
    superseded: bool,
    has_storage: bool,
    /// Writes of the identity. They are returned together with those of the log, so that a crash can't leave an
    /// identity with the log of another one.
    pending_writes: Vec<StorageWrite>,
    actions: Vec<Action>,
}

impl Replica {
    /// A replica that starts now: as the former member if its stored state is complete, otherwise without a group.
    pub fn new(now_ms: f64, mut config: ReplicaConfig) -> Replica {
        let restored = RestoredMember::load(now_ms, &config);
        if let Some(restored) = &restored {
            config.member.node = restored.identity.node;
        }
        let mut replica = Replica::without_group(now_ms, config);
        if let Some(restored) = restored {
            let identity = restored.identity;
            replica.report(OwnershipEvent::RestoredFromDisk(identity.group));
            replica.raft_node = Some(restored.raft_node);
            replica.founders = identity.founders;
            replica.highest_group = identity.highest_group;
        }
        replica
    }

    fn without_group(now_ms: f64, config: ReplicaConfig) -> Replica {
        Replica {
            random: Pcg64Mcg::seed_from_u64(config.seed ^ config.member.node),
            member: config.member,
            replicas: config.replicas,
            settings: config.settings,
            authenticator: config.authenticator,
            unix_s: config.unix_s,
            started_at_ms: now_ms,
            raft_node: None,
            founders: Vec::new(),
            highest_group: 0,
            last_hellos: BTreeMap::new(),
            last_messages: BTreeMap::new(),
            next_hello_at_ms: now_ms,
            leaderless_since_ms: now_ms,
            queued_proposals: Vec::new(),
            owner_capacities: BTreeMap::new(),
            offered_until_ms: BTreeMap::new(),
            superseded: false,
            has_storage: config.stored.is_some(),
            pending_writes: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// The replica's Raft node, if it has a group.
    pub fn raft_node(&self) -> Option<&RaftNode> {
        self.raft_node.as_ref()
    }

    /// When [`Replica::wake`] is due, in the caller's milliseconds.
    pub fn next_wake_ms(&self) -> f64 {
        let raft_wake_ms = self
            .raft_node
            .as_ref()
            .map_or(f64::INFINITY, RaftNode::next_wake_ms);
        self.next_hello_at_ms.min(raft_wake_ms)
    }

    /// Handles all timers that are due.
    pub fn wake(&mut self, now_ms: f64) -> Vec<Action> {
        let tick_ms = self.settings.tick_ms;
        if now_ms >= self.next_hello_at_ms {
            self.next_hello_at_ms = now_ms + HELLO_TICKS * tick_ms;
            self.last_messages
                .retain(|_, last| now_ms - last.received_at_ms < FORGET_AFTER_TICKS * tick_ms);
            self.check_group(now_ms);
            self.send_hellos();
        }
        if let Some(raft_node) = &mut self.raft_node {
            raft_node.tick(now_ms);
            // Leases and retry windows must expire even if no owner sends a command.
            let max_unproposed_ms = self.settings.renewal_interval_ms() / 2.0;
            if raft_node.is_leader()
                && raft_node.since_last_proposal_ms(now_ms) >= max_unproposed_ms
            {
                raft_node.propose(now_ms, Vec::new());
            }
        }
        self.flush(now_ms)
    }

    /// Handles a message. Its commands are proposed by [`Replica::flush`], so that the commands of several messages
    /// share one log entry.
    pub fn receive(
        &mut self,
        now_ms: f64,
        from: &Member,
        address: SocketAddr,
        body: MessageBody,
    ) -> Vec<Action> {
        if self.superseded {
            return Vec::new();
        }
        let is_replica = self.replicas.iter().any(|(name, _)| *name == from.name);
        if is_replica {
            let last = LastMessage {
                received_at_ms: now_ms,
                address,
            };
            self.last_messages.insert(from.node, last);
        }
        match body {
            MessageBody::Hello(hello) if is_replica => self.receive_hello(now_ms, from, &hello),
            MessageBody::Raft(message) if is_replica => self.receive_raft(now_ms, &message),
            MessageBody::Commands(batch) => self.receive_commands(from, address, batch.commands),
            _ => {}
        }
        std::mem::take(&mut self.actions)
    }

    /// Proposes the queued commands and returns all pending actions, in order: those after an [`Action::Persist`] must
    /// not be executed before its writes are durable.
    pub fn flush(&mut self, now_ms: f64) -> Vec<Action> {
        let mut writes = std::mem::take(&mut self.pending_writes);
        let Some(raft_node) = &mut self.raft_node else {
            self.push_writes(writes);
            return std::mem::take(&mut self.actions);
        };
        if !self.queued_proposals.is_empty() {
            raft_node.propose(now_ms, std::mem::take(&mut self.queued_proposals));
        }
        let group = raft_node.group;
        let output = raft_node.process_ready(now_ms);
        let is_leader = raft_node.is_leader();
        writes.extend(output.writes);
        self.push_writes(writes);
        for message in output.messages {
            self.send_raft(group, message);
        }
        match output.leadership_change {
            Some(true) => self.report(OwnershipEvent::BecameLeader(group)),
            Some(false) => self.report(OwnershipEvent::LostLeadership(group)),
            None => {}
        }
        if is_leader {
            self.answer_owners(now_ms, output.answers);
        }
        std::mem::take(&mut self.actions)
    }

    fn push_writes(&mut self, writes: Vec<StorageWrite>) {
        if !writes.is_empty() {
            self.actions.push(Action::Persist(writes));
        }
    }

    fn send_raft(&mut self, group: u64, message: RaftMessageTo) {
        let member = self
            .raft_node
            .as_ref()
            .and_then(|raft_node| raft_node.table.members.get(&message.node));
        let last_address = || {
            let last = self.last_messages.get(&message.node);
            last.map(|last| last.address)
        };
        if let Some(address) = member.and_then(socket_addr).or_else(last_address) {
            let body = wire::RaftMessage {
                group,
                message: message.bytes,
            };
            self.send(address, MessageBody::Raft(body));
        }
    }

    fn send(&mut self, address: SocketAddr, body: MessageBody) {
        let message = message::encode(&self.authenticator, &self.member, body);
        self.actions.push(Action::Send(address, message));
    }

    fn report(&mut self, event: OwnershipEvent) {
        self.actions.push(Action::Report(event));
    }
}
