//! What a host knows that has given its work away, or is about to: plain state, which [`crate::passing`] works on.

use std::collections::HashMap;
use std::sync::Arc;

use crate::message::{
    Connection, EngineMessage, IdempotencyKey, RequestId, ResponseRoute, SuccessorLink, TaskId,
};

/// What a guardian knows beyond its own state.
#[derive(Default)]
pub(crate) struct Guarding {
    /// Requests that were carried, and are not answered.
    pub(crate) carried: HashMap<ResponseRoute, Arc<dyn Connection>>,
    /// Tasks that the other has started.
    pub(crate) elsewhere: HashMap<RequestId, Option<(IdempotencyKey, TaskId)>>,
    /// The last window that it knows of ends then.
    pub(crate) until: f64,
    pub(crate) port: Option<Box<dyn SuccessorLink>>,
}

/// What a host that has given its work away, or is about to, does with its mail.
#[derive(Default)]
pub struct Aside {
    pub(crate) frozen: bool,
    /// Mail that waits while it is not sure whose the work is.
    pub(crate) kept: Vec<EngineMessage>,
    pub(crate) guarding: Option<Guarding>,
    /// It is to leave.
    pub(crate) gone: bool,
}

impl Aside {
    /// Whether nothing may be decided here.
    pub fn stands(&self) -> bool {
        self.frozen || self.guarding.is_some()
    }
}
