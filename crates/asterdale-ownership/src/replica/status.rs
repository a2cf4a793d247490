//! The status of a replica, for operators.

use super::Replica;
use crate::table::{OwnershipTable, RequestState};

/// The state of a replica, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaStatus {
    /// The group's number; 0 for none.
    pub group: u64,
    /// The leader's name; empty if none is known.
    pub leader: String,
    /// Names of the members.
    pub members: Vec<String>,
    /// Owners whose lease has not expired, by name and epoch.
    pub owners: Vec<(String, u64)>,
    /// Requests by state: started, ownerless, handed over, completed, failed, outcome unknown.
    pub requests_by_state: [usize; 6],
    /// Size of the table, in bytes.
    pub size_bytes: usize,
    /// Remaining time during which claims are blocked, in milliseconds.
    pub claims_blocked_ms: f64,
    /// Index of the last applied log entry.
    pub applied_index: u64,
}

impl Replica {
    /// The current status; the default value while the replica has no group.
    pub fn status(&self) -> ReplicaStatus {
        let Some(raft_node) = &self.raft_node else {
            return ReplicaStatus::default();
        };
        let table = &raft_node.table;
        let leader = raft_node.leader().map(|leader| leader.name.clone());
        let members = table.members.values().map(|member| member.name.clone());
        let owners = table
            .leases()
            .iter()
            .map(|(&epoch, lease)| (lease.name.clone(), epoch));
        ReplicaStatus {
            group: raft_node.group,
            leader: leader.unwrap_or_default(),
            members: members.collect(),
            owners: owners.collect(),
            requests_by_state: count_by_state(table),
            size_bytes: table.size_bytes(),
            claims_blocked_ms: table.claims_blocked_ms(),
            applied_index: raft_node.applied_index(),
        }
    }
}

fn count_by_state(table: &OwnershipTable) -> [usize; 6] {
    let mut counts = [0; 6];
    for owned in table.requests().values() {
        let position = match owned.state {
            RequestState::Started => 0,
            RequestState::Ownerless => 1,
            RequestState::HandedOver => 2,
            RequestState::Completed(_) => 3,
            RequestState::Failed => 4,
            RequestState::OutcomeUnknown => 5,
        };
        counts[position] += 1;
    }
    counts
}
