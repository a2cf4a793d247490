//! Admission and scheduling decisions for one server behind balancers that it does not control.
//!
//! [`decide`] holds every decision. It is told what it needs at the start ([`told`]), hears what happens
//! through method calls, and answers through the [`machine::Machine`] trait. It does no I/O and reads no
//! clock.

pub mod actions;
pub mod decide;
pub mod events;
mod measure;
pub mod parameters;
#[cfg(feature = "snapshot")]
pub mod snapshot;
mod state;

pub use actions::Actions;
pub use decide::{Handle, Server};
