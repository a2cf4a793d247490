//! Hot restart: the engine's state is transferred to a new process (`restore`). The old process then forwards
//! messages between its connections and the new engine (`standby`), continues to serve, or takes the work back
//! (`steps`). `asterdale_hot_restart::old_process` decides which.

mod format;
mod restore;
mod standby;
mod steps;

pub use self::restore::{check_state, RestoreError};
pub use crate::message::{HotRestartStep, Mirror, MirroredEvent, SuccessorLink};

#[cfg(test)]
mod tests;
