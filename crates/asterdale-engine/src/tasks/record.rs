//! One task of the table.

use std::sync::Arc;

use asterdale_identity::{Caller, ConcurrencyPermit};
use asterdale_parameters::Settings;

use crate::memory::MemoryReservation;
use crate::message::{IdempotencyKey, RequestId, Responder, TaskId};
#[cfg(feature = "ownership")]
use crate::ownership::OwnedTask;
use crate::runtime::protocol;

/// The last command about a task, which may have been lost with the link that carried it.
#[derive(Clone)]
#[cfg_attr(feature = "hot-restart", derive(serde::Serialize, serde::Deserialize))]
pub struct SentCommand {
    /// The command line.
    pub line: String,
    /// The number of the first gauges request after it: the answer to that proves that the command arrived.
    #[cfg_attr(feature = "hot-restart", serde(rename = "before"))]
    pub next_gauges: u64,
    /// A link accepted it, so it may have arrived.
    #[cfg_attr(feature = "hot-restart", serde(rename = "handed"))]
    pub handed_to_link: bool,
    /// It may not have arrived, and the link that carried it is gone.
    #[cfg_attr(feature = "hot-restart", serde(rename = "adrift"))]
    pub needs_resend: bool,
    /// It may arrive twice at any time without harm.
    #[cfg_attr(feature = "hot-restart", serde(rename = "harmless"))]
    pub idempotent: bool,
}

impl SentCommand {
    /// Whether it may be sent on a new link. While a second copy is in transit, the run may end or request its next
    /// call. The copy would then start the run again, or be taken for the response to the wrong call. The command of a
    /// task that may have started is therefore not resent before the task is answered, at its deadline at the latest;
    /// after that the runtime ignores a second start.
    pub fn may_be_resent(&self, is_answered: bool) -> bool {
        !self.handed_to_link || self.idempotent || is_answered
    }
}

/// A call that a run waits for. In stored state it is the pair of its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "hot-restart", derive(serde::Serialize, serde::Deserialize))]
#[cfg_attr(
    feature = "hot-restart",
    serde(from = "(u64, Vec<u8>)", into = "(u64, Vec<u8>)")
)]
pub struct PendingCall {
    /// The sequence number of the runtime's notice.
    pub notice: u64,
    /// The call's body.
    pub body: Vec<u8>,
}

impl From<(u64, Vec<u8>)> for PendingCall {
    fn from((notice, body): (u64, Vec<u8>)) -> PendingCall {
        PendingCall { notice, body }
    }
}

impl From<PendingCall> for (u64, Vec<u8>) {
    fn from(call: PendingCall) -> (u64, Vec<u8>) {
        (call.notice, call.body)
    }
}

/// A task that the policies know.
pub struct TaskRecord {
    /// Its number in this process.
    pub number: TaskId,
    /// Its request id.
    pub id: RequestId,
    /// Its request class, by its index in the settings.
    pub class: usize,
    /// Its body.
    pub body: Vec<u8>,
    /// The idempotency table's digest of its body.
    pub body_digest: u64,
    /// Answers its request; `None` once it is answered.
    pub responder: Option<Responder>,
    /// Identifies repeats of it.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The authenticated caller.
    pub caller: Option<Arc<Caller>>,
    /// Its part of the caller's concurrency quota.
    pub quota_permit: Option<ConcurrencyPermit>,
    /// The start command was sent.
    pub started: bool,
    /// Its caller was revoked before it started, or it was taken back: it must not start.
    pub must_not_start: bool,
    /// Its replicated ownership, if its class has one.
    #[cfg(feature = "ownership")]
    pub ownership: Option<OwnedTask>,
    /// The call that its run waits for.
    pub pending_call: Option<PendingCall>,
    /// The last command about it.
    pub last_command: Option<SentCommand>,
    /// Its memory; empty for a task that did not arrive over a connection of this process.
    pub _memory: MemoryReservation,
}

impl TaskRecord {
    /// The memory that it takes without its last command, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let key = self.idempotency_key.as_ref();
        size_of::<TaskRecord>()
            + self.body.capacity()
            + key.map_or(0, |key| key.bytes.len())
            + self
                .pending_call
                .as_ref()
                .map_or(0, |call| call.body.capacity())
    }

    /// The command line that starts its run.
    pub fn start_line(&self, settings: &Settings) -> String {
        let class = &settings.class_names[self.class];
        #[cfg(feature = "ownership")]
        if let Some(fence) = self.ownership.as_ref().and_then(OwnedTask::fence_to_send) {
            return protocol::start_fenced(&self.id, class, &self.body, fence);
        }
        protocol::start(&self.id, class, &self.body)
    }
}

/// The fields that identify a task in a log line.
#[derive(Default)]
pub struct LogFields {
    /// Its request id.
    pub id: String,
    /// The name of its request class.
    pub class: String,
    /// Its tenant; empty where callers are not authenticated.
    pub tenant: String,
}
