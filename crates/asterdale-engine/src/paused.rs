//! What a host knows that has given its work away, or is about to: plain state, which [`crate::passing`] works on.

use std::collections::HashMap;
use std::sync::Arc;

use crate::message::{
    Connection, EngineMessage, IdempotencyKey, RequestId, ResponseRoute, SuccessorLink, TaskId,
};

/// What a guardian knows beyond its own state.
#[derive(Default)]
pub(crate) struct Guard {
    /// Requests that were forwarded, and are not answered.
    pub(crate) forwarded: HashMap<ResponseRoute, Arc<dyn Connection>>,
    /// Tasks that the other has started.
    pub(crate) started_by_successor: HashMap<RequestId, Option<(IdempotencyKey, TaskId)>>,
    /// The last window that it knows of ends then.
    pub(crate) guard_until: f64,
    pub(crate) successor: Option<Box<dyn SuccessorLink>>,
}

/// What a host that has given its work away, or is about to, does with its mail.
#[derive(Default)]
pub struct PausedState {
    pub(crate) is_frozen: bool,
    /// Mail that waits while it is not sure whose the work is.
    pub(crate) deferred: Vec<EngineMessage>,
    pub(crate) guarding: Option<Guard>,
    /// It is to leave.
    pub(crate) must_exit: bool,
}

impl PausedState {
    /// Whether nothing may be decided here.
    pub fn is_paused(&self) -> bool {
        self.is_frozen || self.guarding.is_some()
    }
}
