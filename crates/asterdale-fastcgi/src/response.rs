//! Answers, laid out for gathered writes.

use std::io::IoSlice;
use std::sync::Arc;

use crate::params::Params;
use crate::record_type;

fn header(kind: u8, id: u16, length: usize, padding: u8) -> [u8; 8] {
    let (id, length) = (id.to_be_bytes(), (length as u16).to_be_bytes());
    [1, kind, id[0], id[1], length[0], length[1], padding, 0]
}

fn end_request(id: u16, state: u8) -> [u8; 16] {
    let mut out = [0; 16];
    out[..8].copy_from_slice(&header(record_type::END_REQUEST, id, 8, 0));
    out[12] = state;
    out
}

/// Bytes that go to the peer: a front, a body that may be shared, and an end.
#[derive(Clone, Debug)]
pub struct Response {
    prefix: Vec<u8>,
    body: Arc<[u8]>,
    suffix: Vec<u8>,
}

impl Response {
    /// A whole answer: one STDOUT record with head and body, the end of that stream, and END_REQUEST. Head
    /// and body together must be under 64 KiB; the body is cut there.
    pub fn new(id: u16, head: &str, body: Arc<[u8]>) -> Response {
        let body = if head.len() + body.len() > 65_535 {
            body[..65_535 - head.len()].into()
        } else {
            body
        };
        let length = head.len() + body.len();
        let padding = (8 - length % 8) % 8;
        let mut front = Vec::with_capacity(8 + head.len());
        front.extend(header(record_type::STDOUT, id, length, padding as u8));
        front.extend_from_slice(head.as_bytes());
        let mut end = vec![0; padding];
        end.extend(header(record_type::STDOUT, id, 0, 0));
        end.extend(end_request(id, crate::protocol_status::COMPLETE));
        Response {
            prefix: front,
            body,
            suffix: end,
        }
    }

    /// The pieces to be written, in order.
    pub fn slices(&self) -> [IoSlice<'_>; 3] {
        [
            IoSlice::new(&self.prefix),
            IoSlice::new(&self.body),
            IoSlice::new(&self.suffix),
        ]
    }

    fn single_record(front: Vec<u8>) -> Response {
        Response {
            prefix: front,
            body: Arc::new([]),
            suffix: Vec::new(),
        }
    }
}

/// An END_REQUEST alone, with a protocol state.
pub fn end_request_response(id: u16, state: u8) -> Response {
    Response::single_record(end_request(id, state).to_vec())
}

/// The answer to a management record of an unknown type.
pub fn unknown_type_response(unknown: u8) -> Response {
    let mut front = header(record_type::UNKNOWN_TYPE, 0, 8, 0).to_vec();
    front.extend([unknown, 0, 0, 0, 0, 0, 0, 0]);
    Response::single_record(front)
}

/// The answer to GET_VALUES: those of the variables that are asked for and known here.
pub fn values_response(asked: &[u8], connections: usize, a_connection: usize) -> Response {
    let known = [
        ("FCGI_MAX_CONNS", connections.to_string()),
        ("FCGI_MAX_REQS", (connections * a_connection).to_string()),
        ("FCGI_MPXS_CONNS", "1".to_owned()),
    ];
    let mut content = Vec::new();
    for (name, value) in &known {
        if Params(asked)
            .flatten()
            .any(|(wanted, _)| wanted == name.as_bytes())
        {
            content.extend([name.len() as u8, value.len() as u8]);
            content.extend_from_slice(name.as_bytes());
            content.extend_from_slice(value.as_bytes());
        }
    }
    let mut front = header(record_type::GET_VALUES_RESULT, 0, content.len(), 0).to_vec();
    front.extend(content);
    Response::single_record(front)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::RecordReader;

    fn read(answer: &Response) -> Vec<(u8, u16, Vec<u8>)> {
        let bytes = answer
            .slices()
            .iter()
            .flat_map(|part| part.to_vec())
            .collect::<Vec<u8>>();
        let (mut incoming, mut got) = (RecordReader::default(), Vec::new());
        for part in bytes.chunks(4096) {
            incoming.free_space()[..part.len()].copy_from_slice(part);
            incoming.commit(part.len());
            while let Some(record) = incoming.next_record().unwrap() {
                got.push((
                    record.record_type,
                    record.request_id,
                    record.content.to_vec(),
                ));
            }
        }
        got
    }

    #[test]
    fn an_answer_is_its_stream_the_end_of_it_and_an_end_request() {
        for length in 0..9 {
            let answer = Response::new(300, "Status: 200\r\n\r\n", vec![9; length].into());
            let mut content = b"Status: 200\r\n\r\n".to_vec();
            content.extend(vec![9; length]);
            let end = vec![0; 8];
            assert_eq!(
                read(&answer),
                [(6, 300, content), (6, 300, Vec::new()), (3, 300, end)]
            );
        }
    }

    #[test]
    fn values_that_are_asked_for_are_told_and_others_are_not() {
        let got = read(&values_response(b"\x0f\0FCGI_MPXS_CONNS\x03\0ABC", 5, 32));
        assert_eq!(got, [(10, 0, b"\x0f\x01FCGI_MPXS_CONNS1".to_vec())]);
        assert_eq!(
            read(&unknown_type_response(99)),
            [(11, 0, vec![99, 0, 0, 0, 0, 0, 0, 0])]
        );
        assert_eq!(
            read(&end_request_response(2, 3)),
            [(3, 2, vec![0, 0, 0, 0, 3, 0, 0, 0])]
        );
    }
}
