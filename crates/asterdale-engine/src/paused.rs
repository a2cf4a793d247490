//! The state of an engine that has handed its work over to another process in a hot restart, or is about to.
//! [`crate::state_transfer`] operates on it.

use std::collections::HashMap;
use std::sync::Arc;

use crate::message::{
    Connection, EngineMessage, IdempotencyKey, RequestId, ResponseRoute, SuccessorLink, TaskId,
};

/// What the old process records about the new one, so that it can take the work back if the new process ends.
#[derive(Default)]
pub(crate) struct Standby {
    /// Requests that were forwarded and are not yet answered.
    pub(crate) forwarded: HashMap<ResponseRoute, Arc<dyn Connection>>,
    /// Tasks that the new process has started.
    pub(crate) started_by_successor: HashMap<RequestId, Option<(IdempotencyKey, TaskId)>>,
    /// When the last idempotency window ends, in engine time.
    pub(crate) standby_until: f64,
    /// The link to the new process.
    pub(crate) successor: Option<Box<dyn SuccessorLink>>,
}

/// Whether this engine is paused, and what it needs while it is.
#[derive(Default)]
pub struct PausedState {
    /// The state was sent to the new process, which has not yet committed.
    pub(crate) is_frozen: bool,
    /// Messages that were received while the engine was frozen.
    pub(crate) deferred: Vec<EngineMessage>,
    /// Set once the work belongs to the new process.
    pub(crate) standby: Option<Standby>,
    /// The signal to shut down was received.
    pub(crate) must_exit: bool,
}

impl PausedState {
    /// Whether the engine is paused: it must make no decisions.
    pub fn is_paused(&self) -> bool {
        self.is_frozen || self.standby.is_some()
    }
}
