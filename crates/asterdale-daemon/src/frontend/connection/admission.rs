//! Passes complete requests to the engine: with memory of their own, or to be looked up if there is no capacity for a new
//! request.

use std::sync::Arc;

use asterdale_engine::memory::{lookup_bytes, request_bytes, MemoryReservation, REPLY_BYTES};
use asterdale_engine::message::{
    other_parts_bytes, Connection as EngineConnection, EngineMessage, Request, RequestCapacity,
    RequestHead, Shortage,
};

use super::dispatch::{Processed, MAX_OPEN_REQUESTS};
use super::Connection;
use crate::frontend::admitted_request::AdmittedRequest;
use crate::frontend::context::ConnectionContext;
use crate::frontend::peer::Peer;
use crate::frontend::reply::encode_reply;
use crate::frontend::request_head;
use crate::frontend::unreserved_request::UnreservedRequest;

/// A complete and valid request.
pub struct ReceivedTask {
    /// Its number on the connection.
    pub request: u16,
    /// Its parameters.
    pub head: RequestHead,
    /// The caller's token, where callers are authenticated.
    pub token: Option<Box<[u8]>>,
    /// Its body.
    pub body: Vec<u8>,
}

impl ReceivedTask {
    fn other_parts_bytes(&self) -> usize {
        other_parts_bytes(&self.head, self.token.as_deref())
    }

    /// Reserves the memory of the request and its reply.
    fn reserve(&self, peer: &Peer) -> Result<MemoryReservation, Shortage> {
        if peer.open_requests() >= MAX_OPEN_REQUESTS {
            return Err(Shortage::OpenRequests);
        }
        let bytes = request_bytes(self.body.len(), self.other_parts_bytes()) + REPLY_BYTES;
        peer.reserve(bytes).ok_or(Shortage::Memory)
    }
}

impl Connection {
    /// Passes a request to the engine, or refuses it if there is no capacity for it and it repeats no earlier one.
    pub(super) fn pass_task(
        &mut self,
        context: &ConnectionContext,
        peer: &Arc<Peer>,
        task: ReceivedTask,
    ) -> Processed {
        match task.reserve(peer) {
            Ok(mut memory) => {
                let client = AdmittedRequest::new(peer.clone(), memory.split_off(REPLY_BYTES));
                self.add_open_request(peer);
                self.send_task(context, task, client, RequestCapacity::Reserved(memory));
                Processed::Accepted
            }
            Err(shortage) if request_head::is_keyed(&task.head, &context.settings) => {
                self.look_up(context, peer, task, shortage)
            }
            Err(Shortage::Memory) => {
                self.reject_for_memory(context, peer, task.request);
                Processed::Accepted
            }
            Err(shortage) => {
                let refusal = context.refuse(shortage);
                Processed::Dismissed(encode_reply(task.request, refusal))
            }
        }
    }

    /// Lets the engine look up a keyed request that there is no capacity for: only its idempotency table shows whether an
    /// attempt under its key has run. Waits while too many requests are to be looked up, as for a full mailbox.
    fn look_up(
        &mut self,
        context: &ConnectionContext,
        peer: &Arc<Peer>,
        task: ReceivedTask,
        shortage: Shortage,
    ) -> Processed {
        let bytes = lookup_bytes(task.body.len(), task.other_parts_bytes());
        let capacity = RequestCapacity::RepeatOnly {
            shortage,
            lookup: context.request_memory.lookups().acquire(bytes),
        };
        self.has_received_request = true;
        let client = UnreservedRequest::new(peer.clone());
        self.send_task(context, task, client, capacity);
        match shortage {
            Shortage::Memory => Processed::Accepted,
            Shortage::OpenRequests => Processed::Excess,
        }
    }

    fn send_task(
        &self,
        context: &ConnectionContext,
        task: ReceivedTask,
        client: Arc<dyn EngineConnection>,
        capacity: RequestCapacity,
    ) {
        let ReceivedTask {
            request,
            head,
            token,
            body,
        } = task;
        let queued = Request::gauge_part(&context.counters, &head, token.as_deref(), &body);
        // The engine's mailbox closes only when the process ends.
        let _ = context
            .engine
            .send(EngineMessage::Request(Box::new(Request {
                head,
                token,
                certificate: self.stream.certificate(),
                body,
                client,
                request,
                received_at: self.received_not_before,
                capacity,
                queued: Some(queued),
            })));
    }

    /// Answers a valid request that there is no memory for. It counts as open until its reply is written, which bounds
    /// the replies that are queued for one connection.
    fn reject_for_memory(
        &mut self,
        context: &ConnectionContext,
        peer: &Arc<Peer>,
        request_id: u16,
    ) {
        self.add_open_request(peer);
        let refusal = context.refuse(Shortage::Memory);
        peer.answer_request(request_id, refusal, MemoryReservation::default());
    }
}
