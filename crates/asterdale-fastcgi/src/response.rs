//! Encoded responses, in up to three pieces for a vectored write.

use std::io::IoSlice;
use std::sync::Arc;

use crate::record_reader::{HEADER_BYTES, VERSION};
use crate::{protocol_status, record_type, Params};

/// The maximum length of a record's content, in bytes: the length field is a `u16`.
const MAX_CONTENT_BYTES: usize = u16::MAX as usize;
/// Records are padded to a multiple of this many bytes, as the specification recommends.
const ALIGNMENT_BYTES: usize = 8;
/// Length of the content of END_REQUEST and of UNKNOWN_TYPE, in bytes.
const FIXED_CONTENT_BYTES: usize = 8;

/// Encoded records for one peer. The body is shared, not copied.
#[derive(Clone, Debug)]
pub struct Response {
    prefix: Vec<u8>,
    body: Arc<[u8]>,
    suffix: Vec<u8>,
}

impl Response {
    /// A complete response: one STDOUT record with `head` and `body`, the end of that stream, and END_REQUEST. A body
    /// that does not fit into the record beside `head` (64 KiB - 1 in all) is truncated.
    ///
    /// # Panics
    /// If `head` alone exceeds that length.
    pub fn new(request_id: u16, head: &str, body: Arc<[u8]>) -> Response {
        let body = if head.len() + body.len() > MAX_CONTENT_BYTES {
            body[..MAX_CONTENT_BYTES - head.len()].into()
        } else {
            body
        };
        let content_bytes = head.len() + body.len();
        let padding_bytes = content_bytes.next_multiple_of(ALIGNMENT_BYTES) - content_bytes;
        let mut prefix = Vec::with_capacity(HEADER_BYTES + head.len());
        prefix.extend(header(
            record_type::STDOUT,
            request_id,
            content_bytes,
            padding_bytes as u8,
        ));
        prefix.extend_from_slice(head.as_bytes());
        let mut suffix = vec![0; padding_bytes];
        suffix.extend(header(record_type::STDOUT, request_id, 0, 0));
        suffix.extend(end_request(request_id, protocol_status::COMPLETE));
        Response {
            prefix,
            body,
            suffix,
        }
    }

    /// The pieces to write, in order.
    pub fn slices(&self) -> [IoSlice<'_>; 3] {
        [
            IoSlice::new(&self.prefix),
            IoSlice::new(&self.body),
            IoSlice::new(&self.suffix),
        ]
    }

    /// Its length, in bytes.
    pub fn byte_count(&self) -> usize {
        self.prefix.len() + self.body.len() + self.suffix.len()
    }

    fn single_record(record: Vec<u8>) -> Response {
        Response {
            prefix: record,
            body: Arc::new([]),
            suffix: Vec::new(),
        }
    }
}

/// An END_REQUEST alone, with a status of [`crate::protocol_status`].
pub fn end_request_response(request_id: u16, status: u8) -> Response {
    Response::single_record(end_request(request_id, status).to_vec())
}

/// The response to a management record of a type that is not supported.
pub fn unknown_type_response(unknown_type: u8) -> Response {
    let mut record = header(record_type::UNKNOWN_TYPE, 0, FIXED_CONTENT_BYTES, 0).to_vec();
    record.push(unknown_type);
    record.extend([0; FIXED_CONTENT_BYTES - 1]);
    Response::single_record(record)
}

/// The response to GET_VALUES with content `query`: those of the requested variables that are supported.
pub fn values_response(
    query: &[u8],
    max_connections: usize,
    max_requests_per_connection: usize,
) -> Response {
    let variables = [
        ("FCGI_MAX_CONNS", max_connections.to_string()),
        (
            "FCGI_MAX_REQS",
            (max_connections * max_requests_per_connection).to_string(),
        ),
        ("FCGI_MPXS_CONNS", "1".to_owned()),
    ];
    let mut content = Vec::new();
    for (name, value) in &variables {
        let is_requested = Params(query)
            .flatten()
            .any(|(requested, _)| requested == name.as_bytes());
        if is_requested {
            content.extend([name.len() as u8, value.len() as u8]);
            content.extend_from_slice(name.as_bytes());
            content.extend_from_slice(value.as_bytes());
        }
    }
    let mut record = header(record_type::GET_VALUES_RESULT, 0, content.len(), 0).to_vec();
    record.extend(content);
    Response::single_record(record)
}

fn header(
    record_type: u8,
    request_id: u16,
    content_bytes: usize,
    padding_bytes: u8,
) -> [u8; HEADER_BYTES] {
    let [id_high, id_low] = request_id.to_be_bytes();
    let [length_high, length_low] = (content_bytes as u16).to_be_bytes();
    let reserved = 0;
    [
        VERSION,
        record_type,
        id_high,
        id_low,
        length_high,
        length_low,
        padding_bytes,
        reserved,
    ]
}

/// An encoded END_REQUEST: the header, four bytes of application status (0), the protocol status, three reserved bytes.
fn end_request(request_id: u16, status: u8) -> [u8; HEADER_BYTES + FIXED_CONTENT_BYTES] {
    const STATUS_OFFSET: usize = HEADER_BYTES + 4;
    let mut record = [0; HEADER_BYTES + FIXED_CONTENT_BYTES];
    record[..HEADER_BYTES].copy_from_slice(&header(
        record_type::END_REQUEST,
        request_id,
        FIXED_CONTENT_BYTES,
        0,
    ));
    record[STATUS_OFFSET] = status;
    record
}
