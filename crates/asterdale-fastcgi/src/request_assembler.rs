//! State machine that assembles the requests of one connection from its records.

use std::collections::HashMap;

use crate::error::RequestFault;
use crate::record_reader::Record;
use crate::{protocol_status, record_type};

/// Memory limit for the incomplete requests of one connection, in bytes. The 32 concurrent requests that the platform
/// sends at most need less, so whoever exceeds it has sent a request that is longer than those.
const MAX_PENDING_BYTES: usize = 96 * 1024;
/// The platform's limit for a request body, in bytes.
const MAX_BODY_BYTES: usize = 2 * 1024;
/// Bytes of a GET_VALUES query that are answered, several times what all variables of the specification take.
const MAX_QUERY_BYTES: usize = 1024;
/// The role FCGI_RESPONDER, the only one that is implemented.
const ROLE_RESPONDER: u16 = 1;
/// The flag FCGI_KEEP_CONN of BEGIN_REQUEST.
const FLAG_KEEP_CONNECTION: u8 = 1;

/// A request whose parameters and body have been received completely.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteRequest {
    /// The encoded parameters, see [`crate::Params`].
    pub params: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub keep_connection: bool,
}

/// A request that was dropped before it was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DroppedRequest {
    /// Its encoded parameters, if all of them had been received.
    pub params: Option<Vec<u8>>,
}

struct PendingRequest {
    request: CompleteRequest,
    params_complete: bool,
    body_complete: bool,
}

/// The memory of an incomplete request without its parameters and body, in bytes: at most every second place of a table
/// that has grown is free.
const PENDING_REQUEST_BYTES: usize = 2 * size_of::<(u16, PendingRequest)>();
/// A table of incomplete requests that is empty and has more places than this is freed.
const KEPT_PLACES: usize = 7;

/// The result of handling one record.
#[derive(Debug, PartialEq, Eq)]
pub enum AssemblyEvent {
    /// The record was added to an incomplete request, which needs more records.
    Pending,
    /// The record belongs to no incomplete request, or to a stream that has ended. It has no effect.
    Ignored,
    /// The request of this id is complete.
    Complete(u16, CompleteRequest),
    /// The peer cancels the request of this id, which was complete before.
    Abort(u16),
    /// The caller must send END_REQUEST for this id with this protocol status now.
    EndRequest(u16, u8),
    /// The caller did not accept this request. The rest of its records will be ignored; the caller must answer it now.
    NotAccepted(u16),
    /// This request can't be accepted. It is dropped, and the rest of its records will be ignored; the caller must
    /// answer it now.
    Rejected(u16, RequestFault),
    /// The caller must answer this GET_VALUES query now.
    GetValues(Vec<u8>),
    /// The caller must answer this unknown management record type now.
    UnknownType(u8),
}

/// The incomplete requests of one connection.
#[derive(Default)]
pub struct RequestAssembler {
    pending: HashMap<u16, PendingRequest>,
    /// Bytes of the pending parameters and bodies.
    pending_bytes: usize,
}

impl RequestAssembler {
    /// The number of incomplete requests.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// The memory that the incomplete requests take, in bytes.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes + self.pending.len() * PENDING_REQUEST_BYTES
    }

    /// Handles the next record. A new request is dropped unless `accepts_request`.
    pub fn handle_record(&mut self, record: Record<'_>, accepts_request: bool) -> AssemblyEvent {
        let Record {
            record_type,
            request_id,
            content,
        } = record;
        if request_id == 0 {
            return management_event(record_type, content);
        }
        match record_type {
            record_type::BEGIN_REQUEST => self.begin(request_id, content, accepts_request),
            record_type::ABORT_REQUEST => self.abort(request_id),
            record_type::PARAMS => self.append_params(request_id, content),
            record_type::STDIN => self.append_body(request_id, content),
            _ => AssemblyEvent::Ignored,
        }
    }

    fn begin(&mut self, request_id: u16, content: &[u8], accepts_request: bool) -> AssemblyEvent {
        // The records that follow can't be attributed to one of two requests, so neither may be completed.
        if self.remove(request_id).is_some() {
            return AssemblyEvent::Rejected(request_id, RequestFault::DuplicateId);
        }
        let &[role_high, role_low, flags, ..] = content else {
            return AssemblyEvent::Rejected(request_id, RequestFault::TruncatedBegin);
        };
        if u16::from_be_bytes([role_high, role_low]) != ROLE_RESPONDER {
            let status = protocol_status::UNKNOWN_ROLE;
            return AssemblyEvent::EndRequest(request_id, status);
        }
        if !accepts_request {
            return AssemblyEvent::NotAccepted(request_id);
        }
        let request = CompleteRequest {
            keep_connection: flags & FLAG_KEEP_CONNECTION != 0,
            ..CompleteRequest::default()
        };
        let pending = PendingRequest {
            request,
            params_complete: false,
            body_complete: false,
        };
        self.pending.insert(request_id, pending);
        AssemblyEvent::Pending
    }

    /// An incomplete request was never passed to the caller and did not run, so END_REQUEST is sent at once. The caller
    /// aborts a complete one.
    fn abort(&mut self, request_id: u16) -> AssemblyEvent {
        match self.remove(request_id) {
            Some(_) => AssemblyEvent::EndRequest(request_id, protocol_status::COMPLETE),
            None => AssemblyEvent::Abort(request_id),
        }
    }

    fn append_params(&mut self, request_id: u16, content: &[u8]) -> AssemblyEvent {
        let Some(pending) = self.pending.get_mut(&request_id) else {
            return AssemblyEvent::Ignored;
        };
        if pending.params_complete {
            return AssemblyEvent::Ignored;
        }
        pending.params_complete = content.is_empty();
        append_exactly(&mut pending.request.params, content);
        self.pending_bytes += content.len();
        self.complete_or_check_limit(request_id)
    }

    fn append_body(&mut self, request_id: u16, content: &[u8]) -> AssemblyEvent {
        let Some(pending) = self.pending.get_mut(&request_id) else {
            return AssemblyEvent::Ignored;
        };
        if pending.body_complete {
            return AssemblyEvent::Ignored;
        }
        pending.body_complete = content.is_empty();
        if pending.request.body.len() + content.len() > MAX_BODY_BYTES {
            self.remove(request_id);
            return AssemblyEvent::Rejected(request_id, RequestFault::BodyTooLong);
        }
        append_exactly(&mut pending.request.body, content);
        self.pending_bytes += content.len();
        self.complete_or_check_limit(request_id)
    }

    /// Returns the request once both of its streams have ended, in either order.
    fn complete_or_check_limit(&mut self, request_id: u16) -> AssemblyEvent {
        let is_complete = self
            .pending
            .get(&request_id)
            .is_some_and(|pending| pending.params_complete && pending.body_complete);
        if is_complete {
            return self
                .remove(request_id)
                .map_or(AssemblyEvent::Pending, |request| {
                    AssemblyEvent::Complete(request_id, request)
                });
        }
        if self.pending_bytes <= MAX_PENDING_BYTES {
            return AssemblyEvent::Pending;
        }
        // The largest request is at least as long as the record that has exceeded the limit, so the rest is within it.
        let largest = self
            .largest_pending(Some(request_id))
            .map_or(request_id, |(id, _)| id);
        self.remove(largest);
        AssemblyEvent::Rejected(largest, RequestFault::TooManyPendingBytes)
    }

    /// The incomplete request that takes the most memory, and its length in bytes; of several, `preferred`.
    pub fn largest_pending(&self, preferred: Option<u16>) -> Option<(u16, usize)> {
        self.pending
            .iter()
            .map(|(&id, pending)| {
                (
                    id,
                    pending.request.params.len() + pending.request.body.len(),
                )
            })
            .max_by_key(|&(id, length)| (length, Some(id) == preferred))
    }

    /// Drops an incomplete request; the rest of its records will be ignored. `None` if there is none of this id.
    pub fn drop_pending(&mut self, request_id: u16) -> Option<DroppedRequest> {
        let has_all_params = self.pending.get(&request_id)?.params_complete;
        let request = self.remove(request_id)?;
        Some(DroppedRequest {
            params: has_all_params.then_some(request.params),
        })
    }

    fn remove(&mut self, request_id: u16) -> Option<CompleteRequest> {
        let request = self.pending.remove(&request_id)?.request;
        self.pending_bytes -= request.params.len() + request.body.len();
        if self.pending.is_empty() && self.pending.capacity() > KEPT_PLACES {
            self.pending = HashMap::new();
        }
        Some(request)
    }
}

/// Appends without spare capacity, which would stay allocated as long as the request.
fn append_exactly(bytes: &mut Vec<u8>, content: &[u8]) {
    bytes.reserve_exact(content.len());
    bytes.extend_from_slice(content);
}

/// The event for a record of request id 0. Record types that belong to a request are ignored.
fn management_event(record_type: u8, content: &[u8]) -> AssemblyEvent {
    match record_type {
        record_type::GET_VALUES => {
            let length = content.len().min(MAX_QUERY_BYTES);
            AssemblyEvent::GetValues(content[..length].to_vec())
        }
        record_type::BEGIN_REQUEST..=record_type::STDIN => AssemblyEvent::Ignored,
        unknown => AssemblyEvent::UnknownType(unknown),
    }
}
