//! Admission and scheduling decisions for one server behind load balancers that it does not control.
//!
//! The host starts a [`Server`] with its [`parameters`] and passes it [`events`] together with the current time. The
//! server requests [`Actions`], which the host carries out. The server itself does no I/O and reads no clock. Times are
//! milliseconds on a clock that the host chooses.

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
