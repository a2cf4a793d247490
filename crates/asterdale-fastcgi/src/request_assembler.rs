//! Requests put together from the records of one connection.

use std::collections::HashMap;

use crate::record_reader::{ProtocolError, Record};
use crate::record_type;

/// What the requests of one connection that have begun may take in all: 32 heads and bodies of the platform
/// take less. So a thousand connections that begin and never end can't fill the memory.
const MAX_PENDING_BYTES: usize = 96 * 1024;
/// The platform's bound for a body.
const MAX_BODY_BYTES: usize = 2 * 1024;
/// The role that this side plays.
const RESPONDER: u16 = 1;
const FLAG_KEEP_CONNECTION: u8 = 1;

/// A request that has come whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteRequest {
    /// Its parameters, see [`crate::Params`].
    pub params: Vec<u8>,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection stays open after the answer.
    pub keep_connection: bool,
}

struct PendingRequest {
    request: CompleteRequest,
    params_done: bool,
    body_done: bool,
}

/// What a record comes to.
#[derive(Debug, PartialEq, Eq)]
pub enum AssemblyEvent {
    /// More records are needed, or this one means nothing here.
    Pending,
    /// This request has come whole.
    Complete(u16, CompleteRequest),
    /// The peer no longer waits for this request, which had come whole before.
    Abort(u16),
    /// Owed at once: an END_REQUEST with this protocol state.
    EndRequest(u16, u8),
    /// This request's body is too long, and may never end: the request is over, and what follows is no use.
    BodyTooLong(u16),
    /// Owed at once: the values of the variables that are named.
    GetValues(Vec<u8>),
    /// Owed at once: this type is not known.
    UnknownType(u8),
}

/// The requests of one connection that have not come whole.
#[derive(Default)]
pub struct RequestAssembler {
    pending: HashMap<u16, PendingRequest>,
    /// Bytes of their parameters and bodies.
    pending_bytes: usize,
}

impl RequestAssembler {
    /// How many have begun and not come whole.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// The memory that they take.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    fn remove(&mut self, id: u16) -> Option<CompleteRequest> {
        let whole = self.pending.remove(&id)?.request;
        self.pending_bytes -= whole.params.len() + whole.body.len();
        Some(whole)
    }

    /// Takes the next record. `more` says whether another request may be opened.
    pub fn handle_record(
        &mut self,
        record: Record<'_>,
        more: bool,
    ) -> Result<AssemblyEvent, ProtocolError> {
        let Record {
            record_type: kind,
            request_id: id,
            content,
        } = record;
        if id == 0 {
            return Ok(match kind {
                record_type::GET_VALUES => AssemblyEvent::GetValues(content.to_vec()),
                record_type::BEGIN_REQUEST..=record_type::STDIN => AssemblyEvent::Pending,
                other => AssemblyEvent::UnknownType(other),
            });
        }
        match kind {
            record_type::BEGIN_REQUEST => {
                let body = content
                    .get(..3)
                    .ok_or(ProtocolError::TruncatedRecord(kind))?;
                if u16::from_be_bytes([body[0], body[1]]) != RESPONDER {
                    return Ok(AssemblyEvent::EndRequest(
                        id,
                        crate::protocol_status::UNKNOWN_ROLE,
                    ));
                }
                if self.pending.contains_key(&id) {
                    return Err(ProtocolError::DuplicateRequestId(id));
                }
                if !more {
                    return Ok(AssemblyEvent::EndRequest(
                        id,
                        crate::protocol_status::OVERLOADED,
                    ));
                }
                let whole = CompleteRequest {
                    keep_connection: body[2] & FLAG_KEEP_CONNECTION != 0,
                    ..CompleteRequest::default()
                };
                self.pending.insert(
                    id,
                    PendingRequest {
                        request: whole,
                        params_done: false,
                        body_done: false,
                    },
                );
            }
            record_type::ABORT_REQUEST => {
                // One that never came whole was not taken: nothing ran, and it ends here.
                let known = self.remove(id).is_some();
                return Ok(if known {
                    AssemblyEvent::EndRequest(id, crate::protocol_status::COMPLETE)
                } else {
                    AssemblyEvent::Abort(id)
                });
            }
            record_type::PARAMS | record_type::STDIN => {
                let Some(partial) = self.pending.get_mut(&id) else {
                    return Ok(AssemblyEvent::Pending);
                };
                let CompleteRequest { params, body, .. } = &mut partial.request;
                if kind == record_type::PARAMS && !partial.params_done {
                    partial.params_done = content.is_empty();
                    params.extend_from_slice(content);
                    self.pending_bytes += content.len();
                } else if kind == record_type::STDIN && !partial.body_done {
                    partial.body_done = content.is_empty();
                    if body.len() + content.len() > MAX_BODY_BYTES {
                        self.remove(id);
                        return Ok(AssemblyEvent::BodyTooLong(id));
                    }
                    body.extend_from_slice(content);
                    self.pending_bytes += content.len();
                }
                // Two streams, which may end in either order.
                if partial.params_done && partial.body_done {
                    return Ok(self.remove(id).map_or(AssemblyEvent::Pending, |whole| {
                        AssemblyEvent::Complete(id, whole)
                    }));
                }
                if self.pending_bytes > MAX_PENDING_BYTES {
                    return Err(ProtocolError::TooManyPendingBytes);
                }
            }
            _ => {}
        }
        Ok(AssemblyEvent::Pending)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(kind: u8, id: u16, content: &[u8]) -> Record<'_> {
        Record {
            record_type: kind,
            request_id: id,
            content,
        }
    }

    const BEGIN: &[u8] = &[0, 1, 1, 0, 0, 0, 0, 0];

    #[test]
    fn requests_that_interleave_come_whole_each_by_itself() {
        let mut requests = RequestAssembler::default();
        for (kind, id, content) in [
            (1, 1, BEGIN),
            (1, 2, &[0, 1, 0, 0, 0, 0, 0, 0]),
            (4, 2, b"pa"),
            (4, 1, b"one"),
            (4, 2, b"rt"),
            (4, 2, b""),
            (5, 2, b""),
        ] {
            let step = requests
                .handle_record(record(kind, id, content), true)
                .unwrap();
            let whole = CompleteRequest {
                params: b"part".to_vec(),
                ..CompleteRequest::default()
            };
            assert_eq!(
                step,
                if kind == 5 {
                    AssemblyEvent::Complete(2, whole)
                } else {
                    AssemblyEvent::Pending
                }
            );
        }
        assert_eq!(requests.pending_count(), 1);
        assert_eq!(
            requests.handle_record(record(4, 1, b""), true),
            Ok(AssemblyEvent::Pending)
        );
        assert_eq!(
            requests.handle_record(record(5, 1, b"\0\xff"), true),
            Ok(AssemblyEvent::Pending)
        );
        let whole = CompleteRequest {
            params: b"one".to_vec(),
            body: b"\0\xff".to_vec(),
            keep_connection: true,
        };
        assert_eq!(
            requests.handle_record(record(5, 1, b""), true),
            Ok(AssemblyEvent::Complete(1, whole))
        );
    }

    #[test]
    fn the_two_streams_may_end_in_either_order() {
        let mut requests = RequestAssembler::default();
        for (kind, content) in [(1, BEGIN), (5, &b"body"[..]), (5, b""), (4, b"head")] {
            assert_eq!(
                requests.handle_record(record(kind, 1, content), true),
                Ok(AssemblyEvent::Pending)
            );
        }
        let whole = CompleteRequest {
            params: b"head".to_vec(),
            body: b"body".to_vec(),
            keep_connection: true,
        };
        assert_eq!(
            requests.handle_record(record(4, 1, b""), true),
            Ok(AssemblyEvent::Complete(1, whole))
        );
        assert_eq!((requests.pending_count(), requests.pending_bytes()), (0, 0));
    }

    #[test]
    fn a_body_that_is_too_long_is_known_before_its_end() {
        let mut requests = RequestAssembler::default();
        requests.handle_record(record(1, 1, BEGIN), true).unwrap();
        assert_eq!(
            requests.handle_record(record(5, 1, &[7; 2048]), true),
            Ok(AssemblyEvent::Pending)
        );
        assert_eq!(
            requests.handle_record(record(5, 1, &[7]), true),
            Ok(AssemblyEvent::BodyTooLong(1))
        );
        assert_eq!((requests.pending_count(), requests.pending_bytes()), (0, 0));
    }

    #[test]
    fn requests_that_begin_and_never_end_have_a_bound() {
        let mut requests = RequestAssembler::default();
        for round in 0..4 {
            requests.handle_record(record(1, 1, BEGIN), true).unwrap();
            assert_eq!(
                requests.handle_record(record(4, 1, &[0; 60_000]), true),
                Ok(AssemblyEvent::Pending),
                "{round}"
            );
            requests.handle_record(record(2, 1, b""), true).unwrap();
        }
        requests.handle_record(record(1, 1, BEGIN), true).unwrap();
        requests.handle_record(record(1, 2, BEGIN), true).unwrap();
        assert_eq!(
            requests.handle_record(record(4, 1, &[0; 60_000]), true),
            Ok(AssemblyEvent::Pending)
        );
        assert_eq!(
            requests.handle_record(record(4, 2, &[0; 60_000]), true),
            Err(ProtocolError::TooManyPendingBytes)
        );
    }

    #[test]
    fn what_can_not_be_taken_is_refused_or_malformed() {
        let mut requests = RequestAssembler::default();
        assert_eq!(
            requests.handle_record(record(1, 1, &[0, 2, 1]), true),
            Ok(AssemblyEvent::EndRequest(1, 3))
        );
        assert_eq!(
            requests.handle_record(record(1, 1, BEGIN), false),
            Ok(AssemblyEvent::EndRequest(1, 2))
        );
        assert_eq!(
            requests.handle_record(record(1, 1, &[0]), true),
            Err(ProtocolError::TruncatedRecord(1))
        );
        assert_eq!(
            requests.handle_record(record(1, 1, BEGIN), true),
            Ok(AssemblyEvent::Pending)
        );
        assert_eq!(
            requests.handle_record(record(1, 1, BEGIN), true),
            Err(ProtocolError::DuplicateRequestId(1))
        );
        assert_eq!(
            requests.handle_record(record(2, 1, b""), true),
            Ok(AssemblyEvent::EndRequest(1, 0))
        );
        assert_eq!(
            requests.handle_record(record(2, 1, b""), true),
            Ok(AssemblyEvent::Abort(1))
        );
        assert_eq!(
            requests.handle_record(record(4, 9, b"x"), true),
            Ok(AssemblyEvent::Pending)
        );
        assert_eq!(
            requests.handle_record(record(77, 0, b"x"), true),
            Ok(AssemblyEvent::UnknownType(77))
        );
        assert_eq!(
            requests.handle_record(record(9, 0, b"x"), true),
            Ok(AssemblyEvent::GetValues(b"x".to_vec()))
        );
    }
}
