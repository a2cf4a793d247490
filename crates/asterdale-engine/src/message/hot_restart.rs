//! Messages of a hot restart, between the engines of the old and the new process.

use std::sync::Arc;

use asterdale::events::Outcome;
use crossbeam_channel::Sender;

use super::request::{IdempotencyKey, Reply, Request, RequestId, ResponseRoute, TaskId};

/// A step of a hot restart, as the engine carries it out.
pub enum HotRestartStep {
    /// Send the state for a trial restore, and continue.
    SendTrialState(Sender<Vec<u8>>),
    /// Stop, and send the state.
    Freeze(Sender<Vec<u8>>),
    /// Continue: the work stays in this process.
    Thaw,
    /// The work belongs to the new process: forward to it whatever arrives here.
    Commit(Box<dyn SuccessorLink>),
    /// The new process's reply to a request that was forwarded to it or whose task was transferred to it.
    PeerReply(ResponseRoute, Reply),
    /// An event of the new process.
    Mirrored(MirroredEvent),
    /// The new process has ended: take the work back.
    TakeBack,
    /// Exit once the connections have ended: no process needs this one on standby any more.
    Exit,
    /// The old process is no longer on standby: stop mirroring events to it.
    StopMirror,
}

/// The old process's link to the new one.
pub trait SuccessorLink: Send {
    /// Forwards a request. Its `received_at` bounds the time for which it may have been unread.
    fn forward_request(&mut self, route: ResponseRoute, request: &Request);
    /// Forwards a health check.
    fn forward_health_check(&mut self, route: ResponseRoute, deep: bool);
    /// Reports that the client no longer waits for a request, or (`None`) for any request of a connection.
    fn forward_abort(&mut self, connection: u64, request: Option<u16>);
    /// Forwards the result of a call that this process made.
    fn forward_call_result(
        &mut self,
        task: TaskId,
        outcome: Outcome,
        duration_ms: f64,
        body: &[u8],
    );
    /// Reports that this process has left standby: all connections and all idempotency windows have ended.
    fn standby_ended(&mut self);
}

/// An event of the new process. It is reported to the old process before it takes effect, so that the old process can
/// take the work back.
#[derive(Clone, Debug, PartialEq)]
pub enum MirroredEvent {
    /// An idempotency key is retained.
    KeyRetained {
        /// The key.
        key: IdempotencyKey,
        /// Its task.
        owner: TaskId,
        /// The digest of the task's body.
        body_digest: u64,
        /// The end of its window, in the engine's time.
        until_ms: f64,
    },
    /// A task that must not run twice is started.
    TaskStarted {
        /// Its request id.
        id: RequestId,
        /// Its idempotency key and its number, where it has a key.
        key: Option<(IdempotencyKey, TaskId)>,
    },
    /// A task with an idempotency key has ended.
    TaskEnded {
        /// The key.
        key: IdempotencyKey,
        /// Its task.
        owner: TaskId,
        /// Its result, if there is one.
        result: Option<Arc<[u8]>>,
    },
    /// An idempotency key is dropped.
    KeyDropped {
        /// The key.
        key: IdempotencyKey,
        /// Its task.
        owner: TaskId,
    },
}

/// Reports an event to the old process before the event takes effect.
pub type Mirror = Box<dyn FnMut(MirroredEvent) + Send>;
