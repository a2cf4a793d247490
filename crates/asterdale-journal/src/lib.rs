//! The write-ahead journal of keyed requests. The intent of an execution is on disk before it starts, and its outcome before
//! it is reported. After a crash the journal tells the next run of the process which requests it may execute, which it must
//! not execute, and which may have been executed. `docs/durable.md` has the design and its alternatives.
//!
//! Modules, lowest first:
//! - [`entry`]: the stored records and their encoding.
//! - [`store`]: the database file. It accesses the disk through a trait, which tests implement with injected faults.
//! - [`index`]: the status of each key, and whether it may be executed, without I/O or a clock.
//! - [`recovery`]: whether the folder holds everything that the last run wrote, without I/O or a clock.
//! - [`command`] and [`journal`]: the actor's messages, and the handle to it. The actor writes many commands in one commit.
//! - [`replica_store`]: the log storage of an ownership replica, in a file of its own.

mod actor;
mod clock;
pub mod command;
pub mod entry;
pub mod error;
pub mod failpoint;
mod folder;
pub mod index;
pub mod journal;
pub mod recovery;
pub mod replica_store;
pub mod store;

pub use command::{JournalAnswer, JournalCommand, JournalEvent, JournalSettings};
pub use error::{Damage, StartError, StoreError};
pub use index::{IndexLimits, KeyIndex, KeyStatus};
pub use journal::{start, Journal};
pub use recovery::{PreviousRun, RecoveryVerdict};
pub use store::Store;
