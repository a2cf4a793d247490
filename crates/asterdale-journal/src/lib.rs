//! State that lasts: what a process is about to run, and what came of it, on disk before anybody hears of it; so that
//! one that comes back knows what it may run, what it must not, and what it can't know. `docs/durable.md` weighs the ways.
//!
//! Floors, from below: [`entry`] (what lasts, as bytes), [`store`] (the files, by the `redb` crate, over a small trait that a
//! faulty disk can stand in for), [`ledger`] (what is known of each key, and what may be done; without I/O and clock),
//! [`trust`] (whether what a folder says may be believed; likewise), [`writer`] (the actor: many orders share a commit). Beside them [`shelf`]: a keeper's part of an agreed log.

pub mod actor;
pub mod entry;
pub mod failpoint;
pub mod index;
pub mod recovery;
pub mod replica_store;
pub mod store;

pub use actor::{start, Journal, JournalCommand, JournalEvent, JournalSettings};
pub use index::{KeyIndex, KeyStatus};
pub use recovery::{PreviousRun, RecoveryVerdict};
pub use store::{Store, StoreError};
