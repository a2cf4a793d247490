//! The task table: every request that the server's policies know, with its body, its responder and its state. The
//! policies' actions are carried out here; no decisions are made.

mod actions;
mod commands;
mod completion;
mod link;
mod recent_ids;
mod record;
mod table;

#[cfg(feature = "hot-restart")]
pub use record::SentCommand;
pub use record::{PendingCall, TaskRecord};
pub use table::{Tasks, TasksInit};
