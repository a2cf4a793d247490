//! Ownership of keyed requests across backends: if a backend fails, another one takes over its requests, and each
//! request runs once. The state machines here do no I/O and read no clock: their inputs are messages, requests and
//! times; their outputs are messages, answers and the time of the next wake. `docs/takeover.md` compares the possible
//! designs, and lists which operations are allowed for each kind of request at each step.
//!
//! Before a keyed request starts, its claim is committed to a log that a majority of the replicas has stored (Raft, by
//! the `raft` crate). Its outcome is committed before its answer is sent. Each claim gets a fencing token higher than
//! all earlier ones, which is passed to the run and to every call to a dependency. This gives two guarantees: the log
//! agrees on who owns a request, and the dependency rejects calls of a former owner that has not yet noticed the loss.
//!
//! Modules, each using only those before it: [`settings`], [`message`] (encoding), [`table`] (the replicated state: the
//! owner and the outcome of each request), [`storage`] (a replica's durable state), [`raft_node`] (the log),
//! [`replica`] (one replica), [`owner`] (one owner).

pub mod failpoint;
pub mod message;
pub mod owner;
pub mod raft_node;
pub mod replica;
pub mod settings;
pub mod storage;
pub mod table;

pub use message::wire::{Answer, KeyedRequest, Member, Verdict};
pub use owner::{Owner, OwnershipRequest};
pub use replica::Replica;
pub use settings::OwnershipSettings;
pub use storage::{StorageWrite, StoredState};
pub use table::OwnershipTable;

/// An action that the caller of a state machine must execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this message to this address.
    Send(std::net::SocketAddr, Vec<u8>),
    /// Report this event to operators.
    Report(OwnershipEvent),
    /// Return the answer to the submitter of the request with this number.
    Answer(u64, Answer),
    /// Offer these ownerless requests to the engine, which may claim them.
    OfferOwnerless(Vec<KeyedRequest>),
    /// Make these writes durable before executing any later action. Only from a replica with durable storage.
    Persist(Vec<StorageWrite>),
}

/// An event that is reported to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipEvent {
    /// This replica has formed a group. Fields: group number, and for how many milliseconds it grants no claims.
    GroupFormed(u64, f64),
    /// This replica has joined the group of this number.
    GroupJoined(u64),
    /// This replica leads the group of this number.
    BecameLeader(u64),
    /// This replica no longer leads the group of this number.
    LostLeadership(u64),
    /// This replica has left the group of this number, because most of its members lost their state.
    GroupAbandoned(u64),
    /// This replica has restored its state from disk, as a member of the group of this number.
    RestoredFromDisk(u64),
    /// The restarted replica of this name replaces the member of the same name, which has lost its state.
    ReplicaReplaced(String),
    /// This owner may claim requests, in this epoch.
    EpochGranted(u64),
    /// This owner's epoch has ended: other owners may have taken over its claims.
    EpochEnded(u64),
    /// The lease of this epoch was not renewed in time: this owner starts no requests and makes no calls.
    LeaseLapsed(u64),
    /// The lease of this epoch is valid: this owner may start requests and make calls.
    LeaseRestored(u64),
}
