//! Pending ownership requests, and what is needed to handle their answers.

use std::collections::HashMap;
use std::sync::Arc;

use asterdale_ownership::OwnershipRequest;

use super::record::OwnershipKey;
use crate::message::{
    IdempotencyKey, OwnershipClient, Reply, Request, Responder, ResponseRoute, TaskId,
};

/// The interval between polls of a remote run.
pub(super) const POLL_INTERVAL_MS: f64 = 40.0;
/// A client whose reply is still waiting for the replicas is answered this long before it gives up: with `Unknown` if
/// its task may have run.
pub(super) const ANSWER_MARGIN_MS: f64 = 20.0;
/// The owner of remote runs in the idempotency table. No task of this process has this number.
pub(super) const REMOTE_OWNER: TaskId = 0;
/// A lookup without an answer after this time is given up; the claim then finds out whether another process owns the
/// request. This is ten times what replicas on the same network take to answer, and a small part of any deadline.
const LOOKUP_TIMEOUT_MS: f64 = 200.0;
/// A claim without an answer after this many lease lengths is given up: the task is rejected as never started.
const CLAIM_TIMEOUT_LEASES: f64 = 1.0;

/// What a pending ownership request is for, with what is needed to handle its answer.
pub(super) enum PendingRequest {
    /// The lookup of a request that the policies have not seen yet.
    Lookup {
        request: Box<Request>,
        idempotency_key: IdempotencyKey,
        key: OwnershipKey,
        /// When it was sent, in engine time.
        sent_at: f64,
    },
    /// The poll of a remote run.
    Poll(IdempotencyKey),
    /// The claim of a task that the policies have started.
    Claim { task: TaskId, sent_at: f64 },
    /// An outcome that must be replicated before the reply is sent.
    Outcome(Box<EndedRun>),
    /// The hand-off of a queued task while this process drains.
    HandOff {
        idempotency_key: IdempotencyKey,
        key: OwnershipKey,
        responder: Responder,
        /// The reply if no other backend takes the task over.
        fallback: Reply,
    },
    /// A request that is sent only for its effect: its answer is ignored.
    Nothing,
}

/// A run that ended here with a result.
pub(super) struct EndedRun {
    pub(super) idempotency_key: IdempotencyKey,
    pub(super) task: TaskId,
    pub(super) key: OwnershipKey,
    pub(super) result: Arc<[u8]>,
    pub(super) responder: Option<Responder>,
    /// When its client gives up, in engine time.
    pub(super) deadline: f64,
}

/// A run on another backend that clients of this backend wait for.
pub(super) struct RemoteRun {
    pub(super) key: OwnershipKey,
    /// Whether a poll is pending.
    pub(super) is_polling: bool,
    pub(super) next_poll_at: f64,
    /// Since when polls have found no owner, in engine time.
    pub(super) ownerless_since: Option<f64>,
    /// When the retry window of its idempotency key ends, in engine time.
    pub(super) window_end: f64,
    /// Waiting clients whose tasks the policies have released.
    pub(super) detached: Vec<DetachedClient>,
}

/// A client that still waits for its reply although the policies have released its task.
pub(super) struct DetachedClient {
    pub(super) responder: Responder,
    /// When it gives up, in engine time.
    pub(super) deadline: f64,
    /// Whether its attempt ran here. It must then never get a rejection, which says that the attempt never ran.
    pub(super) ran_here: bool,
}

/// Pending requests that have timed out.
#[derive(Default)]
pub(super) struct Overdue {
    pub(super) lookups: Vec<u64>,
    pub(super) claims: Vec<(u64, TaskId)>,
    /// Clients of ended runs that are about to give up.
    pub(super) responders: Vec<Responder>,
}

/// The pending ownership requests and the remote runs. It is empty where ownership is not replicated.
pub struct OwnershipTable {
    pub(super) client: Option<Arc<dyn OwnershipClient>>,
    next_number: u64,
    pub(super) pending: HashMap<u64, PendingRequest>,
    /// The numbers of pending lookups, by the response route of their request.
    pub(super) lookups: HashMap<ResponseRoute, u64>,
    pub(super) remote_runs: HashMap<IdempotencyKey, RemoteRun>,
    /// Replies to tasks that waited for a remote run and did not get its result.
    pub(super) replies: HashMap<TaskId, Reply>,
    pub(super) next_tick_at: f64,
    /// While this process drains: when all requests must be answered, in engine time.
    pub(super) drain_deadline: Option<f64>,
    /// The number of open tasks that were taken over.
    pub(super) takeovers: usize,
}

impl OwnershipTable {
    /// A table that sends requests to this client; without a client nothing is replicated.
    pub fn new(client: Option<Arc<dyn OwnershipClient>>) -> OwnershipTable {
        OwnershipTable {
            client,
            next_number: 1,
            pending: HashMap::new(),
            lookups: HashMap::new(),
            remote_runs: HashMap::new(),
            replies: HashMap::new(),
            next_tick_at: 0.0,
            drain_deadline: None,
            takeovers: 0,
        }
    }

    /// Sends a request to the replicas. Returns its number.
    pub(super) fn request(&mut self, request: OwnershipRequest, pending: PendingRequest) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.pending.insert(number, pending);
        if let Some(client) = &self.client {
            client.request(number, request);
        }
        number
    }

    /// The length of a lease, in milliseconds.
    pub(super) fn lease_ms(&self) -> f64 {
        self.client.as_ref().map_or(0.0, |client| client.lease_ms())
    }

    /// Records that this process drains, and must have answered all requests by the deadline.
    pub fn drain_until(&mut self, deadline: f64) {
        self.drain_deadline = Some(deadline);
    }

    /// Releases all requests as this process terminates: other backends may take over those that it has not completed.
    /// Nothing is replicated from then on.
    pub fn release_all(&mut self) {
        if let Some(client) = self.client.take() {
            client.release_all();
        }
    }

    /// Returns the remote run under this idempotency key, and starts to poll it if it is new.
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

    /// Finds the requests that have timed out. Outcomes whose clients are about to give up stay pending, but lose their
    /// responders.
    pub(super) fn overdue(&mut self, now: f64) -> Overdue {
        let claim_timeout_ms = CLAIM_TIMEOUT_LEASES * self.lease_ms();
        let mut overdue = Overdue::default();
        for (&number, pending) in &mut self.pending {
            match pending {
                PendingRequest::Lookup { sent_at, .. } if now > *sent_at + LOOKUP_TIMEOUT_MS => {
                    overdue.lookups.push(number);
                }
                PendingRequest::Claim { task, sent_at } if now > *sent_at + claim_timeout_ms => {
                    overdue.claims.push((number, *task));
                }
                PendingRequest::Outcome(ended) if now > ended.deadline - ANSWER_MARGIN_MS => {
                    overdue.responders.extend(ended.responder.take());
                }
                _ => {}
            }
        }
        overdue
    }
}
