//! Records, found in place in the buffer that a peer's bytes were read into.

use std::fmt;

const HEADER_BYTES: usize = 8;
const MIN_BUFFER_BYTES: usize = 4 * 1024;

/// Why what a peer sent can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolError {
    /// A record of another version of the protocol.
    UnsupportedVersion(u8),
    /// A record whose content is too short for its type.
    TruncatedRecord(u8),
    /// A parameter that is longer than what holds it.
    LengthOutOfBounds,
    /// More requests have begun, and not come whole, than a connection's may take.
    TooManyPendingBytes,
    /// A request was opened under the number of one that is open.
    DuplicateRequestId(u16),
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProtocolError::UnsupportedVersion(version) => {
                write!(f, "a record of version {version}")
            }
            ProtocolError::TruncatedRecord(kind) => {
                write!(f, "a record of type {kind} that is too short")
            }
            ProtocolError::LengthOutOfBounds => {
                f.write_str("a parameter longer than what holds it")
            }
            ProtocolError::TooManyPendingBytes => {
                f.write_str("more begun than a connection's requests may take")
            }
            ProtocolError::DuplicateRequestId(id) => write!(f, "request {id} opened twice"),
        }
    }
}

impl std::error::Error for ProtocolError {}

/// One record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// Its type, see [`crate::kind`].
    pub record_type: u8,
    /// The request it belongs to, 0 for none.
    pub request_id: u16,
    /// Its content without padding.
    pub content: &'a [u8],
}

/// What came in and was not yet taken, in one buffer.
#[derive(Default)]
pub struct RecordReader {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
}

impl RecordReader {
    /// Room for the next read: never empty, and enough for the record that has begun.
    pub fn free_space(&mut self) -> &mut [u8] {
        self.bytes.copy_within(self.start..self.end, 0);
        (self.start, self.end) = (0, self.end - self.start);
        let wanted = self.record_length().unwrap_or(0).max(MIN_BUFFER_BYTES);
        if self.bytes.len() != wanted && self.end < wanted {
            self.bytes.resize(wanted, 0);
            self.bytes.shrink_to(wanted);
        }
        &mut self.bytes[self.end..]
    }

    /// So many bytes were read into the room.
    pub fn commit(&mut self, count: usize) {
        self.end += count;
    }

    /// The memory that the buffer takes.
    pub fn buffer_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Nothing of a record lies here.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// The length of the record that begins here, once its header is here.
    fn record_length(&self) -> Option<usize> {
        let head = self.bytes[self.start..self.end].get(..HEADER_BYTES)?;
        Some(
            HEADER_BYTES
                + usize::from(u16::from_be_bytes([head[4], head[5]]))
                + usize::from(head[6]),
        )
    }

    /// Takes the next whole record, if there is one.
    pub fn next_record(&mut self) -> Result<Option<Record<'_>>, ProtocolError> {
        let Some(whole) = self.record_length() else {
            return Ok(None);
        };
        let head = &self.bytes[self.start..];
        if head[0] != 1 {
            return Err(ProtocolError::UnsupportedVersion(head[0]));
        }
        if self.end - self.start < whole {
            return Ok(None);
        }
        let content =
            HEADER_BYTES..HEADER_BYTES + usize::from(u16::from_be_bytes([head[4], head[5]]));
        self.start += whole;
        Ok(Some(Record {
            record_type: head[1],
            request_id: u16::from_be_bytes([head[2], head[3]]),
            content: &head[content],
        }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn records_are_found_wherever_the_bytes_are_cut() {
        // A record of 3 bytes with 5 of padding, then an empty one.
        let bytes = [
            1, 4, 0, 7, 0, 3, 5, 0, b'a', b'b', b'c', 9, 9, 9, 9, 9, 1, 5, 1, 2, 0, 0, 0, 0,
        ];
        for cut in 1..bytes.len() {
            let mut incoming = RecordReader::default();
            let mut got = Vec::new();
            for part in bytes.chunks(cut) {
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
            assert_eq!(
                got,
                [(4, 7, b"abc".to_vec()), (5, 258, Vec::new())],
                "cut at {cut}"
            );
            assert!(incoming.is_empty());
        }
    }

    #[test]
    fn a_record_larger_than_the_usual_room_gets_enough() {
        let mut incoming = RecordReader::default();
        incoming.free_space()[..8].copy_from_slice(&[1, 5, 0, 1, 255, 255, 255, 0]);
        incoming.commit(8);
        assert_eq!(incoming.next_record(), Ok(None));
        let room = incoming.free_space().len();
        assert_eq!(room, 65_535 + 255);
        incoming.commit(room);
        assert_eq!(
            incoming.next_record().unwrap().unwrap().content.len(),
            65_535
        );
        assert_eq!(incoming.free_space().len(), MIN_BUFFER_BYTES);
    }

    #[test]
    fn another_version_is_malformed_at_its_header() {
        let mut incoming = RecordReader::default();
        incoming.free_space()[..8].copy_from_slice(b"GET / HT");
        incoming.commit(8);
        assert_eq!(
            incoming.next_record(),
            Err(ProtocolError::UnsupportedVersion(b'G'))
        );
    }
}
