//! Hot restart: the engine's state passes to a new process ([`restore`]), and this one then forwards between its
//! connections and the new engine ([`standby`]), continues by itself, or takes the work back ([`steps`]). Which of these
//! is to be done is decided by `asterdale_hot_restart::old_process`.

mod format;
mod restore;
mod standby;
mod steps;

pub use self::restore::{check_state, RestoreError};
pub use crate::message::{HotRestartStep, Mirror, MirroredEvent, SuccessorLink};

#[cfg(test)]
mod tests;
