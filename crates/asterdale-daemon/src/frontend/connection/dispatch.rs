//! Parses the FastCGI records that a connection has received, and passes complete requests to the engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_engine::message::{EngineMessage, Reply, ResponseRoute, Shortage};
use asterdale_fastcgi::{
    end_request_response, protocol_status, unknown_type_response, values_response,
};
use asterdale_fastcgi::{AssemblyEvent, CompleteRequest, Response};

use super::admission::ReceivedTask;
use super::{Connection, EndReason, ReadOutcome};
use crate::frontend::context::ConnectionContext;
use crate::frontend::peer::Peer;
use crate::frontend::reply::encode_reply;
use crate::frontend::request_head::{self, RequestTarget};

/// Open requests that one connection may carry; set by the platform's protocol.
pub(super) const MAX_OPEN_REQUESTS: usize = 32;
/// Requests beyond that which are read all the same, so that repeats of earlier requests are found among them.
const MAX_EXCESS_REQUESTS: usize = 32;
/// Upper bound of the records that answer no request of the engine and wait for the writer. Reading pauses beyond it.
pub(super) const MAX_UNWRITTEN_RECORDS: usize = 4;
/// How long reading pauses for the writer.
const UNWRITTEN_RECORDS_PAUSE: Duration = Duration::from_millis(1);

/// The result of processing one record.
pub(super) enum Processed {
    /// It is part of a valid request.
    Accepted,
    /// It has no effect.
    Ignored,
    /// It aborts a request that was complete.
    Abort,
    /// It completes a request beyond the number that may be open, which the engine looks up.
    Excess,
    /// The request is not accepted, though nothing is wrong with it: it is aborted, or there are too many.
    Dismissed(Response),
    /// The request or management record is answered with this.
    Error(Response),
}

impl Connection {
    /// Processes the complete records that were read. Returns the outcome of the read if it is not to be continued.
    pub(super) fn process_records(
        &mut self,
        context: &mut ConnectionContext,
        peer: &Arc<Peer>,
    ) -> Option<ReadOutcome> {
        let outcome = self.process_until_paused(context, peer, Instant::now());
        self.has_unprocessed_records = matches!(outcome, Some(ReadOutcome::Paused(_)));
        let fits = self.account_for_buffers(context);
        match outcome {
            // The end of the connection frees its buffers.
            Some(ReadOutcome::Ended(_)) => outcome,
            _ if !fits => Some(ReadOutcome::OutOfMemory),
            _ => outcome,
        }
    }

    fn process_until_paused(
        &mut self,
        context: &ConnectionContext,
        peer: &Arc<Peer>,
        now: Instant,
    ) -> Option<ReadOutcome> {
        loop {
            if self.has_exceeded_withholding() {
                return Some(ReadOutcome::Ended(EndReason::RepeatedErrors));
            }
            if let Some(resume_at) = self.pause(peer, now) {
                return Some(ReadOutcome::Paused(resume_at));
            }
            let open = peer.open_requests() + self.requests.pending_count();
            let bytes_before = self.requests.pending_bytes();
            let record = match self.incoming.next_record() {
                Ok(Some(record)) => record,
                Ok(None) => return None,
                Err(malformed) => return Some(ReadOutcome::Ended(EndReason::Malformed(malformed))),
            };
            let length = record.content.len();
            let event = self
                .requests
                .handle_record(record, open < MAX_OPEN_REQUESTS + MAX_EXCESS_REQUESTS);
            // The request that the record completed or ended.
            let released = bytes_before.saturating_sub(self.requests.pending_bytes());
            match self.process_event(context, peer, event) {
                Processed::Accepted => {}
                Processed::Ignored => self.error_budget.charge_ignored(length, now),
                Processed::Abort => self.error_budget.charge(0, now),
                Processed::Excess => self.error_budget.charge(released, now),
                Processed::Dismissed(reply) => {
                    self.send_or_withhold(peer, reply);
                    self.error_budget.charge(released, now);
                }
                Processed::Error(reply) => {
                    self.send_or_withhold(peer, reply);
                    self.consecutive_error_replies += 1;
                    self.error_budget.charge(released + length, now);
                }
            }
        }
    }

    /// Until when reading pauses, if it does.
    fn pause(&mut self, peer: &Peer, now: Instant) -> Option<Instant> {
        if self.is_withholding() {
            return None;
        }
        if peer.unwritten_records() >= MAX_UNWRITTEN_RECORDS {
            return Some(now + UNWRITTEN_RECORDS_PAUSE);
        }
        self.error_budget.resume_at(now)
    }

    fn process_event(
        &mut self,
        context: &ConnectionContext,
        peer: &Arc<Peer>,
        event: AssemblyEvent,
    ) -> Processed {
        match event {
            AssemblyEvent::Pending => Processed::Accepted,
            AssemblyEvent::Ignored => Processed::Ignored,
            AssemblyEvent::Complete(request_id, request) => {
                self.process_complete_request(context, peer, request_id, request)
            }
            AssemblyEvent::Abort(_) if peer.open_requests() == 0 => Processed::Ignored,
            AssemblyEvent::Abort(request_id) => {
                let route = ResponseRoute {
                    connection: peer.connection,
                    request: request_id,
                };
                // The engine's mailbox closes only when the process ends.
                let _ = context.engine.send(EngineMessage::Abort(route));
                Processed::Abort
            }
            AssemblyEvent::EndRequest(request_id, status) => {
                let reply = end_request_response(request_id, status);
                if status == protocol_status::UNKNOWN_ROLE {
                    Processed::Error(reply)
                } else {
                    Processed::Dismissed(reply)
                }
            }
            AssemblyEvent::NotAccepted(request_id) => {
                // Its key is not known, so the reply does not state that it never ran.
                let reply = context.refuse(Shortage::OpenRequests).without_claim();
                Processed::Dismissed(encode_reply(request_id, reply))
            }
            AssemblyEvent::Rejected(request_id, fault) => {
                context.record_malformed_request(fault);
                Processed::Error(encode_reply(request_id, Reply::Malformed))
            }
            AssemblyEvent::GetValues(requested) => Processed::Error(values_response(
                &requested,
                context.max_connections,
                MAX_OPEN_REQUESTS,
            )),
            AssemblyEvent::UnknownType(kind) => Processed::Error(unknown_type_response(kind)),
        }
    }

    fn process_complete_request(
        &mut self,
        context: &ConnectionContext,
        peer: &Arc<Peer>,
        request_id: u16,
        request: CompleteRequest,
    ) -> Processed {
        let keep_connection = request.keep_connection;
        let processed = self.pass_to_engine(context, peer, request_id, request);
        if matches!(processed, Processed::Accepted) {
            self.consecutive_error_replies = 0;
            self.error_budget.add_for_request();
            self.has_unkept_request |= !keep_connection;
            self.release_withheld(peer);
        }
        processed
    }

    /// Passes a complete request or health check to the engine.
    fn pass_to_engine(
        &mut self,
        context: &ConnectionContext,
        peer: &Arc<Peer>,
        request_id: u16,
        request: CompleteRequest,
    ) -> Processed {
        let target = request_head::parse(
            &request.params,
            &context.settings,
            context.identity_required,
        );
        match target {
            Ok(RequestTarget::HealthCheck { deep }) => {
                self.pass_health_check(context, peer, request_id, deep)
            }
            Ok(RequestTarget::Task(head, token)) => {
                let task = ReceivedTask {
                    request: request_id,
                    head,
                    token,
                    body: request.body,
                };
                self.pass_task(context, peer, task)
            }
            Err(field) => {
                context.record_malformed_request(field);
                Processed::Error(encode_reply(request_id, Reply::Malformed))
            }
        }
    }

    fn pass_health_check(
        &mut self,
        context: &ConnectionContext,
        peer: &Arc<Peer>,
        request_id: u16,
        deep: bool,
    ) -> Processed {
        if peer.open_requests() >= MAX_OPEN_REQUESTS {
            let refusal = context.refuse(Shortage::OpenRequests);
            return Processed::Dismissed(encode_reply(request_id, refusal));
        }
        self.add_open_request(peer);
        // The engine's mailbox closes only when the process ends.
        let _ = context.engine.send(EngineMessage::HealthCheck {
            client: peer.clone(),
            request: request_id,
            deep,
        });
        Processed::Accepted
    }

    pub(super) fn add_open_request(&mut self, peer: &Peer) {
        self.has_received_request = true;
        peer.add_open_request();
    }
}
