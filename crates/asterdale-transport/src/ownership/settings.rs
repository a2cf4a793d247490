//! The settings of the ownership actor, and what it reports to the program.

use std::net::SocketAddr;

use asterdale_membership::authentication::MessageAuthenticator;
use asterdale_ownership::{Answer, KeyedRequest, OwnershipEvent, OwnershipSettings};

use super::storage::{ReplicaDisk, StorageError};

/// How keyed requests are replicated.
#[derive(Clone, Debug)]
pub struct OwnershipActorSettings {
    /// The storage of this process, if it is a replica and has one.
    pub disk: Option<ReplicaDisk>,
    /// Names and addresses of all replicas. The list is the same in all processes.
    pub replicas: Vec<(String, SocketAddr)>,
    /// The settings of the protocol.
    pub parameters: OwnershipSettings,
    /// The Unix time in seconds.
    pub unix_time_s: u64,
}

/// The identity of the local process towards its peers.
#[derive(Clone, Debug)]
pub(crate) struct LocalProcess {
    pub(crate) name: String,
    pub(crate) node_id: u64,
    pub(crate) address: SocketAddr,
    pub(crate) authenticator: MessageAuthenticator,
    pub(crate) random_seed: u64,
}

/// What the ownership actor reports to the program.
pub enum OwnershipNotification {
    /// The answer to the request of this number.
    Answered(u64, Answer),
    /// Requests without an owner, which this process may take over.
    OwnerlessRequests(Vec<KeyedRequest>),
    /// An event for the log.
    Log(OwnershipEvent),
    /// The storage failed: this process has stopped being a replica.
    StorageFailed(StorageError),
}
