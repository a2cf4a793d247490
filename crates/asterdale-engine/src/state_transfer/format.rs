//! The serialized state of the engine: MessagePack maps with field names, so that another release can read them. Stored
//! names must not change; a renamed field keeps its stored name by `serde(rename)`.

use std::collections::HashMap;

use asterdale::Handle;
use asterdale_identity::Caller;
use serde::{Deserialize, Serialize};

use crate::idempotency::ExportedTable;
use crate::message::{IdempotencyKey, RequestId, ResponseRoute, TaskId};
use crate::tasks::{PendingCall, SentCommand, TaskRecord, Tasks};

/// A task of the stored state.
#[derive(Serialize, Deserialize)]
pub(super) struct TransferredTask {
    pub(super) handle: Handle,
    #[serde(rename = "serial")]
    pub(super) number: TaskId,
    pub(super) id: RequestId,
    #[serde(rename = "stage")]
    pub(super) class: usize,
    pub(super) body: Vec<u8>,
    #[serde(rename = "sign")]
    pub(super) body_digest: u64,
    #[serde(rename = "way")]
    pub(super) route: Option<ResponseRoute>,
    #[serde(rename = "mark")]
    pub(super) idempotency_key: Option<IdempotencyKey>,
    pub(super) caller: Option<Caller>,
    /// The tenant and the role whose quota it counts against.
    #[serde(rename = "place")]
    pub(super) permit_owner: Option<(u32, String)>,
    pub(super) started: bool,
    #[serde(rename = "void")]
    pub(super) must_not_start: bool,
    #[serde(rename = "wants")]
    pub(super) pending_call: Option<PendingCall>,
    #[serde(rename = "sent")]
    pub(super) last_command: Option<SentCommand>,
}

impl TransferredTask {
    pub(super) fn new(handle: Handle, record: &TaskRecord, tasks: &Tasks) -> TransferredTask {
        let permit = record.quota_permit.as_ref();
        TransferredTask {
            handle,
            number: record.number,
            id: record.id,
            class: record.class,
            body: record.body.clone(),
            body_digest: record.body_digest,
            route: record.responder.as_ref().map(|responder| responder.route()),
            idempotency_key: record.idempotency_key.clone(),
            caller: record.caller.as_deref().cloned(),
            permit_owner: permit.and_then(|permit| tasks.identity_gate.permit_owner(permit)),
            started: record.started,
            must_not_start: record.must_not_start,
            pending_call: record.pending_call.clone(),
            last_command: record.last_command.clone(),
        }
    }
}

/// The state of the link to the runtime. It is stored as a list of numbers.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub(super) struct TransferredLink {
    pub(super) last_notice: u64,
    pub(super) gauges_requested: u64,
    pub(super) gauges_received: u64,
}

impl From<(u64, u64, u64)> for TransferredLink {
    fn from(numbers: (u64, u64, u64)) -> TransferredLink {
        let (last_notice, gauges_requested, gauges_received) = numbers;
        TransferredLink {
            last_notice,
            gauges_requested,
            gauges_received,
        }
    }
}

impl From<TransferredLink> for (u64, u64, u64) {
    fn from(link: TransferredLink) -> (u64, u64, u64) {
        (
            link.last_notice,
            link.gauges_requested,
            link.gauges_received,
        )
    }
}

/// The stored state.
#[derive(Serialize, Deserialize)]
pub(super) struct TransferredState {
    /// The engine's time, in milliseconds.
    pub(super) now: f64,
    /// The snapshot of the policies, once they have started.
    pub(super) server: Option<Vec<u8>>,
    #[serde(rename = "serial")]
    pub(super) last_number: TaskId,
    pub(super) tasks: Vec<TransferredTask>,
    #[serde(rename = "remembered")]
    pub(super) idempotency: ExportedTable,
    pub(super) identity: Option<asterdale_identity::IdentityState>,
    #[serde(rename = "callers")]
    pub(super) edge_node_indexes: HashMap<u32, usize>,
    pub(super) link: TransferredLink,
    #[serde(rename = "good")]
    pub(super) is_healthy: bool,
    #[serde(rename = "stored")]
    pub(super) health_is_cached: bool,
}

impl TransferredState {
    /// Serializes the state.
    pub(super) fn encode(&self) -> Vec<u8> {
        // Only maps, lists and numbers are written, and into memory, which cannot fail.
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Deserializes a state.
    pub(super) fn decode(bytes: &[u8]) -> Result<TransferredState, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}
