//! Ownership requests that are under way, and what waits for their answers.

use std::collections::HashMap;
use std::sync::Arc;

use asterdale_ownership::OwnershipRequest;

use super::record::OwnershipKey;
use crate::message::{
    IdempotencyKey, OwnershipClient, Reply, Request, Responder, ResponseRoute, TaskId,
};

/// The interval between polls of a remote run.
pub(super) const POLL_INTERVAL_MS: f64 = 40.0;
/// A reply that still waits for the replicas is replaced by `Unknown` this long before its client gives up.
pub(super) const ANSWER_MARGIN_MS: f64 = 20.0;
/// The owner of remote runs in the idempotency table: no task of this process has this number.
pub(super) const REMOTE_OWNER: TaskId = 0;
/// A look-up without an answer after this time is given up, and the claim decides. Ten times what replicas on the same
/// network take, and a small part of any deadline.
const LOOKUP_TIMEOUT_MS: f64 = 200.0;
/// A claim without an answer after this many leases is given up: the task is rejected as never started.
const CLAIM_TIMEOUT_LEASES: f64 = 1.0;

/// What waits for the answer to an ownership request.
pub(super) enum Awaiting {
    /// The look-up of a request that the policies have not seen.
    Lookup {
        request: Box<Request>,
        idempotency_key: IdempotencyKey,
        key: OwnershipKey,
        /// When it was sent, in engine time.
        since: f64,
    },
    /// The poll of a remote run.
    Poll(IdempotencyKey),
    /// The claim of a task that the policies have started.
    Claim { task: TaskId, since: f64 },
    /// An outcome that must be replicated before its reply leaves.
    Outcome(Box<EndedRun>),
    /// The hand-off of a queued task while this process drains.
    HandOff {
        idempotency_key: IdempotencyKey,
        key: OwnershipKey,
        responder: Responder,
        /// The reply if no other backend takes it.
        fallback: Reply,
    },
    /// Nothing: the request is sent for its effect alone.
    Nothing,
}

/// A run that ended here with a result.
pub(super) struct EndedRun {
    pub(super) idempotency_key: IdempotencyKey,
    pub(super) task: TaskId,
    pub(super) key: OwnershipKey,
    pub(super) result: Arc<[u8]>,
    pub(super) responder: Option<Responder>,
    /// When its client gives up.
    pub(super) deadline: f64,
}

/// A run on another backend, which clients of this one wait for.
pub(super) struct RemoteRun {
    pub(super) key: OwnershipKey,
    /// A poll is under way.
    pub(super) is_polling: bool,
    pub(super) next_poll_at: f64,
    /// Since when polls have found no owner.
    pub(super) ownerless_since: Option<f64>,
    /// When the window of its idempotency key closes.
    pub(super) window_end: f64,
    /// Clients whose tasks the policies have released.
    pub(super) detached: Vec<DetachedClient>,
}

/// A client whose task the policies have released, and who still waits.
pub(super) struct DetachedClient {
    pub(super) responder: Responder,
    /// When it gives up.
    pub(super) deadline: f64,
    /// Its attempt ran here, so it must never be told that it did not.
    pub(super) ran_here: bool,
}

/// Requests whose answer is late.
#[derive(Default)]
pub(super) struct Overdue {
    pub(super) lookups: Vec<u64>,
    pub(super) claims: Vec<(u64, TaskId)>,
    /// Clients of ended runs that are about to give up.
    pub(super) responders: Vec<Responder>,
}

/// Ownership requests under way. All of it is empty where ownership is not replicated.
pub struct OwnershipTable {
    pub(super) client: Option<Arc<dyn OwnershipClient>>,
    next_number: u64,
    pub(super) awaiting: HashMap<u64, Awaiting>,
    /// Look-ups by the route of their request.
    pub(super) lookups: HashMap<ResponseRoute, u64>,
    pub(super) remote_runs: HashMap<IdempotencyKey, RemoteRun>,
    /// Replies to tasks that waited for a remote run without getting its result.
    pub(super) replies: HashMap<TaskId, Reply>,
    pub(super) next_tick_at: f64,
    /// When everything must be answered, while this process drains.
    pub(super) drain_deadline: Option<f64>,
    /// Tasks in hand that were taken over.
    pub(super) takeovers: usize,
}

impl OwnershipTable {
    /// A table that asks this client; without one nothing is replicated.
    pub fn new(client: Option<Arc<dyn OwnershipClient>>) -> OwnershipTable {
        OwnershipTable {
            client,
            next_number: 1,
            awaiting: HashMap::new(),
            lookups: HashMap::new(),
            remote_runs: HashMap::new(),
            replies: HashMap::new(),
            next_tick_at: 0.0,
            drain_deadline: None,
            takeovers: 0,
        }
    }

    /// Sends a request; its number.
    pub(super) fn request(&mut self, want: OwnershipRequest, awaiting: Awaiting) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.awaiting.insert(number, awaiting);
        if let Some(client) = &self.client {
            client.request(number, want);
        }
        number
    }

    /// The length of a lease, in milliseconds.
    pub(super) fn lease_ms(&self) -> f64 {
        self.client.as_ref().map_or(0.0, |client| client.lease_ms())
    }

    /// This process drains, and has answered everything by then.
    pub fn drain_until(&mut self, deadline: f64) {
        self.drain_deadline = Some(deadline);
    }

    /// This process terminates: anybody may take what it has not completed. Nothing is replicated from then on.
    pub fn release_all(&mut self) {
        if let Some(client) = self.client.take() {
            client.release_all();
        }
    }

    /// The remote run under this idempotency key, which is polled from now on.
    pub(super) fn follow_remote_run(
        &mut self,
        now: f64,
        idempotency_key: &IdempotencyKey,
        key: &OwnershipKey,
        window_ms: f64,
    ) -> &mut RemoteRun {
        self.remote_runs
            .entry(idempotency_key.clone())
            .or_insert_with(|| RemoteRun {
                key: key.clone(),
                is_polling: false,
                next_poll_at: now + POLL_INTERVAL_MS,
                ownerless_since: None,
                window_end: now + window_ms,
                detached: Vec::new(),
            })
    }

    /// Finds the requests that have waited too long. Responders of late outcomes are taken out.
    pub(super) fn overdue(&mut self, now: f64) -> Overdue {
        let claim_timeout_ms = CLAIM_TIMEOUT_LEASES * self.lease_ms();
        let mut overdue = Overdue::default();
        for (&number, awaiting) in &mut self.awaiting {
            match awaiting {
                Awaiting::Lookup { since, .. } if now > *since + LOOKUP_TIMEOUT_MS => {
                    overdue.lookups.push(number);
                }
                Awaiting::Claim { task, since } if now > *since + claim_timeout_ms => {
                    overdue.claims.push((number, *task));
                }
                Awaiting::Outcome(ended) if now > ended.deadline - ANSWER_MARGIN_MS => {
                    overdue.responders.extend(ended.responder.take());
                }
                _ => {}
            }
        }
        overdue
    }
}
