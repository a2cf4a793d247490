//! KeyedRequest in hand survives the loss of its backend: another takes it over, once. Without I/O and clock; letters, orders
//! and times come in; letters, verdicts and the next wake go out. `docs/takeover.md` weighs the ways, and has the table
//! of what may be done with a task of which kind at which step.
//!
//! **What is owned is agreed, what is fenced is fenced where the effect is.** Before a fingerprinted task starts, its
//! claim is in a log that a majority of keepers holds (the `raft` crate agrees on it); its outcome is there before the
//! answer leaves. A claim has a fence, a number above all earlier ones, which goes with the start and every call.
//!
//! Floors, from below: [`terms`], [`message`] (bytes), [`book`] (what the log adds up to: who owns what, and how it
//! ended), [`group`] (the log, by the library), [`saved`] (what a keeper has on disk), [`keeper`] (one keeper's part), [`owner`] (one owner's part).

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

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this letter there.
    Send(std::net::SocketAddr, Vec<u8>),
    /// A line for the log.
    Report(OwnershipEvent),
    /// An owner hears this of what it wanted, by the number that it gave.
    Answer(u64, Answer),
    /// An owner may take these orphans.
    OfferOwnerless(Vec<KeyedRequest>),
    /// This has to be on disk before whatever comes after it is done; never told to a keeper that has none.
    Persist(Vec<StorageWrite>),
}

/// What operators are told.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipEvent {
    /// A group of keepers is formed; nothing is claimed in it for so long.
    GroupFormed(u64, f64),
    /// This keeper belongs to a group from now on.
    GroupJoined(u64),
    /// It leads it.
    BecameLeader(u64),
    /// It leads no more.
    LostLeadership(u64),
    /// Most of the group came back without memory: it is given up.
    GroupAbandoned(u64),
    /// This keeper is the one that it was before its process ended, with its part of the log.
    RestoredFromDisk(u64),
    /// A keeper that came back empty takes the place of the one that it was.
    ReplicaReplaced(String),
    /// This owner may claim work, in this epoch.
    EpochGranted(u64),
    /// Its epoch is over: what it had claimed is no longer its own.
    EpochEnded(u64),
    /// Its lease can't be renewed: it starts nothing and calls nothing.
    LeaseLapsed(u64),
    /// It can be again.
    LeaseRestored(u64),
}
