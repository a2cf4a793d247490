//! What a replica starts with: its configuration, and the member that its stored state makes it.

use std::net::SocketAddr;

use asterdale_membership::authentication::MessageAuthenticator;

use crate::message::Member;
use crate::raft_node::{MemberId, RaftNode};
use crate::settings::OwnershipSettings;
use crate::storage::{ReplicaIdentity, StoredState};

/// What a replica needs to start.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Its name and address. The node id is used unless another one is stored.
    pub member: Member,
    /// All replicas by name and address, in the same order in all processes.
    pub replicas: Vec<(String, SocketAddr)>,
    /// What the fleet agrees on.
    pub settings: OwnershipSettings,
    /// Authenticates messages by the fleet's key.
    pub authenticator: MessageAuthenticator,
    /// Seed of later node ids.
    pub seed: u64,
    /// The Unix time at the start, in seconds: group numbers grow with it.
    pub unix_s: u64,
    /// What was found in durable storage, empty if it was not trustworthy; `None` without durable storage.
    pub stored: Option<StoredState>,
}

/// The member that a restarted process was.
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
