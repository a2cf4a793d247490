//! The configuration with which a replica starts, and the member that is restored from its stored state.

use std::net::SocketAddr;

use asterdale_membership::authentication::MessageAuthenticator;

use crate::message::Member;
use crate::raft_node::{MemberId, RaftNode};
use crate::settings::OwnershipSettings;
use crate::storage::{ReplicaIdentity, StoredState};

/// The configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// The replica's name, address and node id. A stored node id takes precedence.
    pub member: Member,
    /// Names and addresses of all replicas, in the same order in all processes.
    pub replicas: Vec<(String, SocketAddr)>,
    /// The settings, which must be the same in all processes.
    pub settings: OwnershipSettings,
    /// Authenticates messages with the fleet's key.
    pub authenticator: MessageAuthenticator,
    /// Seed for the node ids that this replica draws itself.
    pub seed: u64,
    /// The Unix time at the start, in seconds, from which group numbers are derived.
    pub unix_s: u64,
    /// The contents of durable storage, or the default value if they can't be trusted; `None` without durable storage.
    pub stored: Option<StoredState>,
}

/// The group member that this process was before it restarted.
pub(super) struct RestoredMember {
    pub(super) identity: ReplicaIdentity,
    pub(super) raft_node: RaftNode,
}

impl RestoredMember {
    pub(super) fn load(now_ms: f64, config: &ReplicaConfig) -> Option<RestoredMember> {
        let stored = config.stored.as_ref()?;
        let identity = stored.identity()?;
        if identity.group == 0 {
            return None;
        }
        let id = MemberId {
            group: identity.group,
            node: identity.node,
        };
        let raft_node = RaftNode::restore(now_ms, id, stored, &config.settings)?;
        Some(RestoredMember {
            identity,
            raft_node,
        })
    }
}
