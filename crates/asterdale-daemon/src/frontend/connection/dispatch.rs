//! Parses the FastCGI records that a connection has received, and passes complete requests to the engine.

use std::sync::Arc;

use asterdale_engine::message::{EngineMessage, Reply, Request, ResponseRoute};
use asterdale_fastcgi::{ended, refusal, unknown_type, values_result};
use asterdale_fastcgi::{Answer, Malformed, Step, Whole};

use super::{Connection, ReadEnd};
use crate::frontend::context::ConnectionContext;
use crate::frontend::peer::Peer;
use crate::frontend::reply::encode_reply;
use crate::frontend::request_head::{self, RequestTarget};

/// Open requests that one connection may carry; set by the platform's protocol.
const MAX_OPEN_REQUESTS: usize = 32;
/// Error replies and replies to management records in a row after which a connection ends. Edge nodes give no cause for
/// them; a client that repeats a malformed request at once would keep a core busy.
const MAX_CONSECUTIVE_ERROR_REPLIES: usize = 8;
/// Input buffer that every connection has, in bytes. It is not counted as buffered input.
const BASE_BUFFER_BYTES: usize = 8192;

/// What follows from one record.
enum Processed {
    /// Nothing to reply.
    Accepted,
    /// A reply to be sent at once.
    Reply(Answer),
    /// The connection is read no further.
    End(ReadEnd),
}

impl Connection {
    /// Processes the complete records that were read. Returns why the connection is read no further, if so.
    pub(super) fn process_records(
        &mut self,
        context: &mut ConnectionContext,
        peer: &Arc<Peer>,
    ) -> Option<ReadEnd> {
        loop {
            let open = peer.open_requests() + self.requests.begun();
            let step = match self.incoming.take() {
                Ok(Some(record)) => self.requests.take(record, open < MAX_OPEN_REQUESTS),
                Ok(None) => break,
                Err(malformed) => Err(malformed),
            };
            let processed = match step {
                Ok(step) => self.process_step(context, peer, step),
                Err(malformed) => Processed::End(ReadEnd::Malformed(malformed)),
            };
            match processed {
                Processed::Accepted => continue,
                Processed::End(end) => return Some(end),
                Processed::Reply(reply) => peer.send_record(reply),
            }
            self.consecutive_error_replies += 1;
            if self.consecutive_error_replies >= MAX_CONSECUTIVE_ERROR_REPLIES {
                return Some(ReadEnd::Finished);
            }
        }
        let bytes = self.incoming.size().saturating_sub(BASE_BUFFER_BYTES) + self.requests.bytes();
        (!self.set_buffered_bytes(context, bytes)).then_some(ReadEnd::OutOfMemory)
    }

    fn process_step(
        &mut self,
        context: &ConnectionContext,
        peer: &Arc<Peer>,
        step: Step,
    ) -> Processed {
        match step {
            Step::Nothing => Processed::Accepted,
            Step::Whole(request_id, request) => {
                self.process_complete_request(context, peer, request_id, request)
            }
            Step::Abort(request_id) => {
                let route = ResponseRoute {
                    connection: peer.connection,
                    request: request_id,
                };
                // The engine's mailbox closes only when the process ends.
                let _ = context.engine.send(EngineMessage::Abort(route));
                Processed::Accepted
            }
            Step::Refuse(request_id, state) => {
                if state == ended::OVERLOADED {
                    context.counters.requests_overloaded.add();
                }
                Processed::Reply(refusal(request_id, state))
            }
            Step::TooLong(request_id) => {
                context.record_malformed_request("body");
                peer.send_record(encode_reply(request_id, Reply::Malformed));
                Processed::End(ReadEnd::Finished)
            }
            Step::Values(requested) => Processed::Reply(values_result(
                &requested,
                context.max_connections,
                MAX_OPEN_REQUESTS,
            )),
            Step::Unknown(kind) => Processed::Reply(unknown_type(kind)),
        }
    }

    fn process_complete_request(
        &mut self,
        context: &ConnectionContext,
        peer: &Arc<Peer>,
        request_id: u16,
        request: Whole,
    ) -> Processed {
        let keep_connection = request.keep;
        match self.pass_to_engine(context, peer, request_id, request) {
            Ok(true) if keep_connection => {
                self.consecutive_error_replies = 0;
                Processed::Accepted
            }
            Ok(true) => Processed::End(ReadEnd::Finished),
            Ok(false) => Processed::Reply(encode_reply(request_id, Reply::Malformed)),
            Err(malformed) => Processed::End(ReadEnd::Malformed(malformed)),
        }
    }

    /// Passes a complete request or health check to the engine. Returns `false` for one with an invalid field.
    fn pass_to_engine(
        &mut self,
        context: &ConnectionContext,
        peer: &Arc<Peer>,
        request_id: u16,
        request: Whole,
    ) -> Result<bool, Malformed> {
        let target = request_head::parse(
            &request.params,
            &context.settings,
            context.identity_required,
        )?;
        let message = match target {
            RequestTarget::HealthCheck { deep } => EngineMessage::HealthCheck {
                client: peer.clone(),
                request: request_id,
                deep,
            },
            RequestTarget::Task(head, token) => EngineMessage::Request(Box::new(Request {
                head,
                token,
                certificate: self.stream.certificate(),
                body: request.body,
                client: peer.clone(),
                request: request_id,
                received_at: self.received_not_before,
            })),
            RequestTarget::Invalid { field } => {
                context.record_malformed_request(field);
                return Ok(false);
            }
        };
        self.has_received_request = true;
        peer.add_open_request();
        // The engine's mailbox closes only when the process ends.
        let _ = context.engine.send(message);
        Ok(true)
    }
}
