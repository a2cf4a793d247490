//! Commands of owners, which the leader queues for the log and answers once they are applied; and offers of ownerless
//! requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::Replica;
use crate::message::wire::{Answer, Answers, Command, KeyedRequest, Proposal, Renew, Verdict};
use crate::message::{socket_addr, CommandKind, Member, MessageBody};
use crate::raft_node::RaftNode;

/// Maximum commands queued for the next log entry. Further ones are dropped; owners repeat unanswered commands.
const MAX_QUEUED_PROPOSALS: usize = 16_384;
/// Maximum number of owners whose capacity is stored: several times the owners of a large fleet.
const MAX_KNOWN_OWNERS: usize = 4096;
/// Maximum ownerless requests offered to one owner at once, so that the load after a failover spreads over many owners.
const MAX_OFFERS: usize = 64;

impl Replica {
    /// Handles the commands of one message of an owner.
    pub(super) fn receive_commands(
        &mut self,
        from: &Member,
        address: SocketAddr,
        commands: Vec<Command>,
    ) {
        let Some(raft_node) = self.raft_node.as_ref().filter(|node| node.is_leader()) else {
            return self.redirect(from.node, address, &commands);
        };
        let mut lookups = Vec::new();
        let mut replicated = Vec::new();
        for command in commands {
            match &command.kind {
                // The answer to a lookup is only a hint, so the leader reads its own table and does not use the log.
                Some(CommandKind::Lookup(lookup)) => {
                    lookups.push(raft_node.table.lookup(command.seq, lookup));
                }
                Some(_) => replicated.push(command),
                None => {}
            }
        }
        for command in replicated {
            self.queue_command(from, command);
        }
        if !lookups.is_empty() {
            self.send_answers(from.node, address, lookups, None);
        }
    }

    /// Redirects the owner to the leader. One answer is enough for all commands of the message.
    fn redirect(&mut self, owner: u64, address: SocketAddr, commands: &[Command]) {
        let leader = self.raft_node.as_ref().and_then(RaftNode::leader).cloned();
        let not_leader = |command: &Command| Answer {
            seq: command.seq,
            verdict: Verdict::NotLeader.into(),
            ..Answer::default()
        };
        let answers = commands.iter().take(1).map(not_leader).collect();
        self.send_answers(owner, address, answers, leader);
    }

    fn queue_command(&mut self, from: &Member, command: Command) {
        if let Some(CommandKind::Renew(Renew { capacity, .. })) = command.kind {
            let capacities = &mut self.owner_capacities;
            if capacities.len() < MAX_KNOWN_OWNERS || capacities.contains_key(&from.node) {
                capacities.insert(from.node, capacity);
            }
        }
        if self.queued_proposals.len() < MAX_QUEUED_PROPOSALS {
            self.queued_proposals.push(Proposal {
                from: Some(from.clone()),
                command: Some(command),
            });
        }
    }

    /// Sends the answers to applied commands, one message to each owner.
    pub(super) fn answer_owners(&mut self, now_ms: f64, answers: Vec<(Member, Answer)>) {
        let mut by_owner: BTreeMap<u64, (Member, Vec<Answer>)> = BTreeMap::new();
        for (owner, mut answer) in answers {
            if answer.verdict() == Verdict::Renewed {
                answer.offers = self.next_offers(now_ms, owner.node);
            }
            by_owner
                .entry(owner.node)
                .or_insert_with(|| (owner, Vec::new()))
                .1
                .push(answer);
        }
        for (owner, answers) in by_owner.into_values() {
            if let Some(address) = socket_addr(&owner) {
                self.send_answers(owner.node, address, answers, None);
            }
        }
    }

    fn send_answers(
        &mut self,
        owner: u64,
        address: SocketAddr,
        answers: Vec<Answer>,
        leader: Option<Member>,
    ) {
        let answers = Answers {
            answers,
            leader,
            to: owner,
        };
        self.send(address, MessageBody::Answers(answers));
    }

    /// Ownerless requests to offer to an owner that has capacity, earliest deadline first. Each is offered to one owner
    /// at a time, to avoid races between owners. An offer grants nothing: the owner still has to claim the request.
    fn next_offers(&mut self, now_ms: f64, owner: u64) -> Vec<KeyedRequest> {
        let Some(raft_node) = &self.raft_node else {
            return Vec::new();
        };
        let capacity = self.owner_capacities.get(&owner);
        let capacity = capacity.map_or(0, |&capacity| capacity as usize);
        self.offered_until_ms.retain(|_, until| *until > now_ms);
        let table = &raft_node.table;
        let offers: Vec<KeyedRequest> = table
            .claimable()
            .filter(|owned| !self.offered_until_ms.contains_key(&owned.request.key))
            .take(capacity.min(MAX_OFFERS))
            .map(|owned| KeyedRequest {
                deadline_ms: owned.deadline_ms - table.now_ms(),
                retry_window_ms: owned.expires_at_ms - table.now_ms(),
                ..owned.request.clone()
            })
            .collect();
        for request in &offers {
            self.offered_until_ms
                .insert(request.key.clone(), now_ms + self.settings.lease_ms);
        }
        offers
    }
}
