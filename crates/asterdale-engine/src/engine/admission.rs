//! Admission of a request: identity, idempotency and ownership checks, and then the policies.

use asterdale::events::Arrival;
use asterdale::parameters::Idempotency;
use asterdale_identity::{Caller, ConcurrencyPermit, Credentials};
use std::sync::Arc;

use super::Engine;
use crate::clock::unix_ms;
use crate::message::{Reply, Request, Responder};
#[cfg(feature = "ownership")]
use crate::ownership::OwnedTask;
use crate::tasks::{TaskRecord, Tasks};

/// The maximum number of edge nodes that the policies distinguish. When it is reached, all indexes are assigned anew,
/// so that forged edge node numbers cannot fill the memory. There are far fewer real edge nodes, and the policies'
/// counts for each of them decay within seconds.
const MAX_EDGE_NODES: usize = 4096;

/// A received request, and what the engine determines about it before the policies decide.
pub(super) struct Arrived {
    pub(super) request: Request,
    /// How long ago the edge node received it, in milliseconds.
    age_ms: f64,
    /// How long it was in this process's socket buffers before it was read, in milliseconds.
    unread_ms: f64,
    caller: Option<Arc<Caller>>,
    body_digest: u64,
    pub(super) is_repeat: bool,
    #[cfg(feature = "ownership")]
    ownership: Option<OwnedTask>,
}

impl Arrived {
    fn new(request: Request) -> Arrived {
        // The edge node's timestamp is Unix time, so its age is computed with the system clock and not with the
        // engine's.
        let age_ms = (unix_ms() - request.head.start_ms).max(0.0);
        // A timestamp before the previous read of its connection is wrong, and would be mistaken for a backlog of
        // unread requests.
        let unread_ms = age_ms.min(request.received_at.elapsed().as_secs_f64() * 1000.0);
        Arrived {
            request,
            age_ms,
            unread_ms,
            caller: None,
            body_digest: 0,
            is_repeat: false,
            #[cfg(feature = "ownership")]
            ownership: None,
        }
    }

    /// How long the client will still wait, in milliseconds, if the request states its timeout.
    fn remaining_ms(&self) -> Option<f64> {
        let timeout_ms = self.request.head.timeout_ms;
        timeout_ms.map(|timeout_ms| (timeout_ms - self.age_ms).max(0.0))
    }
}

impl Tasks {
    /// Authenticates the caller, and checks the request against earlier ones with the same id or idempotency key.
    ///
    /// # Errors
    /// The reply to a request that is not processed further.
    fn identify(&mut self, arrived: &mut Arrived) -> Result<(), Reply> {
        let request = &mut arrived.request;
        let credentials = Credentials {
            token: request.token.as_deref(),
            certificate: request.certificate.as_deref(),
            edge_node: request.head.edge_node,
            received_ms: self.now - arrived.unread_ms,
        };
        arrived.caller = self.authenticate(credentials, &mut request.head)?;
        let id = &request.head.id;
        if self.by_id.contains_key(id) || self.started_ids.contains(id) {
            self.counters.tasks_malformed.add();
            return Err(Reply::Malformed);
        }
        arrived.body_digest = self.idempotency.digest(&request.body);
        let Some(key) = &request.head.idempotency_key else {
            return Ok(());
        };
        if self.idempotency.has_other_body(key, arrived.body_digest) {
            // A different request under a known key: the result under that key is not the result of this request.
            self.counters.tasks_malformed.add();
            return Err(Reply::Malformed);
        }
        arrived.is_repeat = self.idempotency.is_repeat(key, self.now - arrived.age_ms);
        Ok(())
    }

    /// Checks the capacity of the idempotency table, and reserves a part of the caller's quota.
    ///
    /// # Errors
    /// The reply to a request that is not processed further.
    fn reserve(&mut self, arrived: &Arrived) -> Result<Option<ConcurrencyPermit>, Reply> {
        let head = &arrived.request.head;
        let idempotency = self.settings.decisions.classes[head.class].idempotency;
        let needs_entry = idempotency == Idempotency::Keyed && !arrived.is_repeat;
        if needs_entry && self.idempotency.is_full() {
            // Its entry could not be retained, so the request must not run.
            return Err(self.reject_for_full_table());
        }
        self.authorize(arrived.caller.as_deref(), head, arrived.is_repeat)
    }

    /// The replicated ownership of a request. `None` if its class has no replicated ownership, or if the request is a
    /// repeat of one in this process.
    #[cfg(feature = "ownership")]
    fn ownership_of_arrived(&self, arrived: &Arrived) -> Option<OwnedTask> {
        let head = &arrived.request.head;
        let key = head
            .idempotency_key
            .as_ref()
            .filter(|_| !arrived.is_repeat)?;
        let caller = arrived.caller.as_deref();
        let tenant = caller.map_or("", |caller| &caller.claims.tenant);
        let deadline_ms = self.settings.decisions.classes[head.class].deadline_ms;
        let left_ms = head.timeout_ms.unwrap_or(deadline_ms) - arrived.age_ms;
        self.ownership_of(head, key, tenant, left_ms, &arrived.request.body)
    }

    /// Creates the task of a request that has passed the checks.
    fn new_record(
        &mut self,
        arrived: Arrived,
        quota_permit: Option<ConcurrencyPermit>,
    ) -> TaskRecord {
        self.last_number += 1;
        let request = arrived.request;
        TaskRecord {
            number: self.last_number,
            id: request.head.id,
            class: request.head.class,
            body: request.body,
            body_digest: arrived.body_digest,
            responder: Some(Responder {
                client: request.client,
                request: request.request,
            }),
            idempotency_key: request.head.idempotency_key,
            caller: arrived.caller,
            quota_permit,
            started: false,
            must_not_start: false,
            #[cfg(feature = "ownership")]
            ownership: arrived.ownership,
            pending_call: None,
            last_command: None,
            _memory: request.capacity.into_task_memory(),
        }
    }
}

impl Engine {
    /// Receives a request from a frontend.
    pub(super) fn receive(&mut self, request: Request) {
        self.admit(request, false);
    }

    /// Receives a request again, after its ownership has been looked up at the replicas.
    #[cfg(feature = "ownership")]
    pub(crate) fn receive_looked_up(&mut self, request: Request) {
        self.admit(request, true);
    }

    fn admit(&mut self, request: Request, is_looked_up: bool) {
        let tasks = &mut self.tasks;
        if tasks.by_route.contains_key(&request.route()) {
            // Two replies with the same request number could not be told apart: the first request keeps the number.
            tasks.counters.requests_duplicate.add();
            return request.client.discard_request();
        }
        let mut arrived = Arrived::new(request);
        let identified = tasks
            .identify(&mut arrived)
            .and_then(|()| tasks.check_capacity(&arrived));
        if let Err(reply) = identified {
            return tasks.answer_refused(arrived.request, reply);
        }
        #[cfg(feature = "ownership")]
        {
            arrived.ownership = tasks.ownership_of_arrived(&arrived);
            if let (Some(owned), false) = (&arrived.ownership, is_looked_up) {
                return tasks.look_up(arrived.request, &owned.key);
            }
        }
        #[cfg(not(feature = "ownership"))]
        debug_assert!(!is_looked_up, "only the `ownership` feature has lookups");
        let quota_permit = match tasks.reserve(&arrived) {
            Ok(quota_permit) => quota_permit,
            Err(reply) => return tasks.answer_refused(arrived.request, reply),
        };
        self.hand_to_policies(arrived, quota_permit);
    }

    fn hand_to_policies(&mut self, arrived: Arrived, quota_permit: Option<ConcurrencyPermit>) {
        self.tasks.counters.tasks_taken.add();
        self.tasks.counters.tasks_open.add();
        let arrival = self.arrival(&arrived);
        let record = self.tasks.new_record(arrived, quota_permit);
        self.tasks.arriving = Some(record);
        // Requests arrive before the runtime is up only because of an outdated endpoint list. Until the runtime reports
        // its state, the server is treated as one that has just started.
        self.start_server(true, 0.0);
        if let Some(server) = &mut self.server {
            server.receive(self.tasks.now, arrival, &mut self.tasks);
        }
    }

    /// The description of a request for the policies.
    fn arrival(&mut self, arrived: &Arrived) -> Arrival {
        let head = &arrived.request.head;
        let caller = self.edge_node_index(head.edge_node);
        let tasks = &self.tasks;
        let remaining_ms = arrived.remaining_ms();
        #[cfg(feature = "ownership")]
        let remaining_ms = match &arrived.ownership {
            Some(owned) => Some(owned.remaining_ms(tasks.now)),
            None => remaining_ms,
        };
        Arrival {
            class: head.class,
            tenant: tasks
                .identity_gate
                .tenant_index(arrived.caller.as_deref(), head.tenant),
            caller,
            unread_ms: arrived.unread_ms,
            remaining_ms,
            cost_hint_ms: head.cost_hint_ms,
            memory_kb: head.memory_kb,
            is_repeat: arrived.is_repeat,
        }
    }

    fn edge_node_index(&mut self, edge_node: u32) -> usize {
        if self.edge_node_indexes.len() >= MAX_EDGE_NODES {
            self.edge_node_indexes.clear();
        }
        let next = self.edge_node_indexes.len();
        *self.edge_node_indexes.entry(edge_node).or_insert(next)
    }
}
