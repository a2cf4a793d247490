//! Takeover: requests whose owner has ended pass through the policies of this backend like any other arrival.

use std::hash::Hasher as _;

use asterdale::events::Arrival;
use asterdale_ownership::KeyedRequest;
use siphasher::sip::SipHasher13;

use super::record::{Claim, OwnedTask, OwnershipKey};
use crate::engine::Engine;
use crate::memory::MemoryReservation;
use crate::message::{IdempotencyKey, RequestId, TaskId};
use crate::tasks::TaskRecord;

/// The most open taken-over tasks per core, so that a backend that takes over requests can still serve its own clients.
const MAX_TAKEOVERS_PER_CORE: f64 = 2.0;
/// The least memory that is reserved for a task that is taken over, in KiB: the policies do not accept zero.
const MIN_MEMORY_KB: f64 = 0.1;

impl Engine {
    /// Takes over ownerless requests, as long as there is capacity.
    pub(crate) fn take_over(&mut self, ownerless: Vec<KeyedRequest>) {
        for request in ownerless {
            if self.takeover_capacity() == 0 {
                return;
            }
            self.take_over_one(request);
        }
    }

    fn take_over_one(&mut self, request: KeyedRequest) {
        let tasks = &mut self.tasks;
        let mut names = tasks.settings.class_names.iter();
        let Some(class) = names.position(|name| *name == request.class) else {
            return;
        };
        let idempotency_key = idempotency_key_of(&request, class);
        let is_known = tasks.idempotency.is_repeat(&idempotency_key, tasks.now);
        let is_followed = tasks.ownership.remote_runs.contains_key(&idempotency_key);
        if is_known && !is_followed || tasks.idempotency.is_full() {
            return;
        }
        tasks.last_number += 1;
        let number = tasks.last_number;
        let Some(id) = new_request_id(tasks.settings.decisions.seed, number, &request.execution_id)
        else {
            return;
        };
        let arrival = arrival_of(&request, class);
        let body_digest = tasks.idempotency.digest(&request.body);
        let ownership = ownership_of_takeover(&request, tasks.now + request.deadline_ms);
        tasks.ownership.takeovers += 1;
        tasks.arriving = Some(TaskRecord {
            number,
            id,
            class,
            body: request.body,
            body_digest,
            responder: None,
            idempotency_key: Some(idempotency_key),
            caller: None,
            quota_permit: None,
            started: false,
            must_not_start: false,
            ownership: Some(ownership),
            pending_call: None,
            last_command: None,
            _memory: MemoryReservation::default(),
        });
        if let Some(server) = &mut self.server {
            server.receive(self.tasks.now, arrival, &mut self.tasks);
        }
    }

    /// How many more requests this process would take over now: in proportion to the idle part of the cores, and up to
    /// a total of [`MAX_TAKEOVERS_PER_CORE`] open ones per core.
    pub(super) fn takeover_capacity(&self) -> u32 {
        let tasks = &self.tasks;
        let is_draining = tasks.ownership.drain_deadline.is_some();
        if !tasks.is_healthy || is_draining || self.server.is_none() {
            return 0;
        }
        let cores = tasks.settings.decisions.cores;
        let idle_cores = cores * (1.0 - self.gauges.cpu.unwrap_or(1.0)).clamp(0.0, 1.0);
        let unused = (MAX_TAKEOVERS_PER_CORE * cores - tasks.ownership.takeovers as f64).max(0.0);
        (MAX_TAKEOVERS_PER_CORE * idle_cores)
            .min(unused)
            .ceil()
            .max(0.0) as u32
    }
}

/// The idempotency key of a request, which is the third part of its ownership key.
fn idempotency_key_of(request: &KeyedRequest, class: usize) -> IdempotencyKey {
    let mut parts = request.key.splitn(3, |byte| *byte == 0);
    IdempotencyKey {
        class,
        tenant: 0,
        bytes: parts.nth(2).unwrap_or_default().into(),
    }
}

fn ownership_of_takeover(request: &KeyedRequest, deadline: f64) -> OwnedTask {
    OwnedTask {
        key: OwnershipKey {
            bytes: request.key.clone(),
            body_digest: request.body_digest,
        },
        claim: Claim::None,
        sends_fence: true,
        is_takeover: true,
        attempt_deadline: deadline,
        request_deadline: deadline,
        cost_hint_ms: request.hint_ms,
        memory_kb: request.kb,
    }
}

fn arrival_of(request: &KeyedRequest, class: usize) -> Arrival {
    Arrival {
        class,
        tenant: 0,
        caller: 0,
        unread_ms: 0.0,
        remaining_ms: Some(request.deadline_ms),
        cost_hint_ms: Some(request.hint_ms).filter(|ms| *ms > 0.0),
        memory_kb: request.kb.max(MIN_MEMORY_KB),
        is_repeat: false,
    }
}

/// A request id that no edge node has assigned: a hash of the previous execution's id, the settings' seed and the
/// task's number.
fn new_request_id(seed: u64, number: TaskId, previous: &[u8]) -> Option<RequestId> {
    let mut hasher = SipHasher13::new_with_keys(seed, number);
    hasher.write(previous);
    format!("{:016x}", hasher.finish())
        .into_bytes()
        .try_into()
        .ok()
}
