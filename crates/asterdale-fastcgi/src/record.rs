//! Records, found in place in the buffer that a peer's bytes were read into.

use std::fmt;

const HEADER: usize = 8;
const ROOM: usize = 4 * 1024;

/// Why what a peer sent can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// A record of another version of the protocol.
    Version(u8),
    /// A record whose content is too short for its type.
    Short(u8),
    /// A parameter that is longer than what holds it.
    Length,
    /// More requests have begun, and not come whole, than a connection's may take.
    TooMuch,
    /// A request was opened under the number of one that is open.
    Twice(u16),
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Version(version) => write!(f, "a record of version {version}"),
            Malformed::Short(kind) => write!(f, "a record of type {kind} that is too short"),
            Malformed::Length => f.write_str("a parameter longer than what holds it"),
            Malformed::TooMuch => f.write_str("more begun than a connection's requests may take"),
            Malformed::Twice(id) => write!(f, "request {id} opened twice"),
        }
    }
}

impl std::error::Error for Malformed {}

/// One record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// Its type, see [`crate::kind`].
    pub kind: u8,
    /// The request it belongs to, 0 for none.
    pub id: u16,
    /// Its content without padding.
    pub content: &'a [u8],
}

/// What came in and was not yet taken, in one buffer.
#[derive(Default)]
pub struct Incoming {
    bytes: Vec<u8>,
    from: usize,
    to: usize,
}

impl Incoming {
    /// Room for the next read: never empty, and enough for the record that has begun.
    pub fn room(&mut self) -> &mut [u8] {
        self.bytes.copy_within(self.from..self.to, 0);
        (self.from, self.to) = (0, self.to - self.from);
        let wanted = self.whole().unwrap_or(0).max(ROOM);
        if self.bytes.len() != wanted && self.to < wanted {
            self.bytes.resize(wanted, 0);
            self.bytes.shrink_to(wanted);
        }
        &mut self.bytes[self.to..]
    }

    /// So many bytes were read into the room.
    pub fn filled(&mut self, count: usize) {
        self.to += count;
    }

    /// The memory that the buffer takes.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// Nothing of a record lies here.
    pub fn is_empty(&self) -> bool {
        self.from == self.to
    }

    /// The length of the record that begins here, once its header is here.
    fn whole(&self) -> Option<usize> {
        let head = self.bytes[self.from..self.to].get(..HEADER)?;
        Some(HEADER + usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6]))
    }

    /// Takes the next whole record, if there is one.
    pub fn take(&mut self) -> Result<Option<Record<'_>>, Malformed> {
        let Some(whole) = self.whole() else {
            return Ok(None);
        };
        let head = &self.bytes[self.from..];
        if head[0] != 1 {
            return Err(Malformed::Version(head[0]));
        }
        if self.to - self.from < whole {
            return Ok(None);
        }
        let content = HEADER..HEADER + usize::from(u16::from_be_bytes([head[4], head[5]]));
        self.from += whole;
        Ok(Some(Record {
            kind: head[1],
            id: u16::from_be_bytes([head[2], head[3]]),
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
            let mut incoming = Incoming::default();
            let mut got = Vec::new();
            for part in bytes.chunks(cut) {
                incoming.room()[..part.len()].copy_from_slice(part);
                incoming.filled(part.len());
                while let Some(record) = incoming.take().unwrap() {
                    got.push((record.kind, record.id, record.content.to_vec()));
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
        let mut incoming = Incoming::default();
        incoming.room()[..8].copy_from_slice(&[1, 5, 0, 1, 255, 255, 255, 0]);
        incoming.filled(8);
        assert_eq!(incoming.take(), Ok(None));
        let room = incoming.room().len();
        assert_eq!(room, 65_535 + 255);
        incoming.filled(room);
        assert_eq!(incoming.take().unwrap().unwrap().content.len(), 65_535);
        assert_eq!(incoming.room().len(), ROOM);
    }

    #[test]
    fn another_version_is_malformed_at_its_header() {
        let mut incoming = Incoming::default();
        incoming.room()[..8].copy_from_slice(b"GET / HT");
        incoming.filled(8);
        assert_eq!(incoming.take(), Err(Malformed::Version(b'G')));
    }
}
