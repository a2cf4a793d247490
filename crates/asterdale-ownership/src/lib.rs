//! Ownership of keyed requests across backends: a request whose backend is lost is taken over by another one, and runs
//! once. Without I/O and without a clock: messages, requests and times come in; messages, answers and the time of the
//! next wake go out. `docs/takeover.md` compares the possible designs, and lists what may be done with which kind of
//! request at which step.
//!
//! Before a keyed request starts, its claim is in a log that a majority of the replicas has stored (Raft, by the `raft`
//! crate). Its outcome is there before its answer leaves. A claim has a fencing token above all earlier ones, which goes
//! with the start and with every call to a dependency. So two guarantees add up: the log agrees on who owns a request,
//! and the dependency rejects an owner that has not noticed yet that it lost it.
//!
//! Modules, each using those before it: [`settings`], [`message`] (encoding), [`table`] (the replicated state: who owns
//! what, and how it ended), [`storage`] (a replica's durable state), [`raft_node`] (the log), [`replica`] (one replica),
//! [`owner`] (one owner).

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

/// What the caller of a state machine has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this message to this address.
    Send(std::net::SocketAddr, Vec<u8>),
    /// Report this event to operators.
    Report(OwnershipEvent),
    /// Hand the answer to whoever submitted the request with this number.
    Answer(u64, Answer),
    /// Offer these ownerless requests to the engine, which may claim them.
    OfferOwnerless(Vec<KeyedRequest>),
    /// Make these writes durable before any later action is done. Only for a replica with durable storage.
    Persist(Vec<StorageWrite>),
}

/// What operators are told.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipEvent {
    /// This replica has formed the group of this number, which grants no claims for so many milliseconds.
    GroupFormed(u64, f64),
    /// This replica is in the group of this number.
    GroupJoined(u64),
    /// This replica leads the group of this number.
    BecameLeader(u64),
    /// This replica no longer leads the group of this number.
    LostLeadership(u64),
    /// Most members of the group of this number lost their state: this replica has left it.
    GroupAbandoned(u64),
    /// This replica has restored its part of the log of the group of this number.
    RestoredFromDisk(u64),
    /// The restarted replica of this name takes the place of the member that it was.
    ReplicaReplaced(String),
    /// This owner may claim requests, in this epoch.
    EpochGranted(u64),
    /// This owner's epoch has ended: other owners may have its claims.
    EpochEnded(u64),
    /// The lease of this epoch can't be renewed: this owner starts nothing and makes no calls.
    LeaseLapsed(u64),
    /// The lease of this epoch is valid: this owner may start requests and make calls.
    LeaseRestored(u64),
}
