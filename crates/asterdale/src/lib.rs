//! Admission and scheduling decisions for one server behind balancers that it does not control.
//!
//! A [`Server`] is started with its [`parameters`]. It is called with the [`events`] of its requests and with the
//! present time, and answers through the [`Actions`] of its host. It does no I/O and reads no clock. Times are
//! milliseconds on a clock of the host's choice.

pub mod actions;
pub mod events;
mod measure;
pub mod parameters;
mod policy;
#[cfg(feature = "snapshot")]
pub mod snapshot;
mod state;
mod task;
mod task_table;

pub use actions::Actions;
pub use state::Server;
pub use task::Handle;
