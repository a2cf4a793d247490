//! What an engine knows that has given its work to another process, or is about to: plain state, which
//! [`crate::state_transfer`] works on.

use std::collections::HashMap;
use std::sync::Arc;

use crate::message::{
    Connection, EngineMessage, IdempotencyKey, RequestId, ResponseRoute, SuccessorLink, TaskId,
};

/// What the old process knows of the new one while it could take the work back.
#[derive(Default)]
pub(crate) struct Standby {
    /// Requests that were forwarded and are not answered.
    pub(crate) forwarded: HashMap<ResponseRoute, Arc<dyn Connection>>,
    /// Tasks that the new process has started.
    pub(crate) started_by_successor: HashMap<RequestId, Option<(IdempotencyKey, TaskId)>>,
    /// When the last idempotency window closes, in engine time.
    pub(crate) standby_until: f64,
    /// The link to the new process.
    pub(crate) successor: Option<Box<dyn SuccessorLink>>,
}

/// Whether an engine decides nothing, and what it does with messages then.
#[derive(Default)]
pub struct PausedState {
    /// The state was sent, and nobody has accepted it yet.
    pub(crate) is_frozen: bool,
    /// Messages that came while frozen.
    pub(crate) deferred: Vec<EngineMessage>,
    /// The work belongs to the new process.
    pub(crate) standby: Option<Standby>,
    /// The signal to shut down has come.
    pub(crate) must_exit: bool,
}

impl PausedState {
    /// Whether nothing may be decided here.
    pub fn is_paused(&self) -> bool {
        self.is_frozen || self.standby.is_some()
    }
}
