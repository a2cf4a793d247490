//! The frames of the wire: reading batches of events, writing replies. Big-endian, no padding.

use std::fmt;

/// Size of a batch's header.
pub const HEADER: usize = 16;
/// Size of an event record.
pub const EVENT: usize = 64;
const REPLY_HEADER: usize = 8;
const ACTION: usize = 16;
/// No batch may claim more than this many bytes.
const MOST_BYTES: usize = 1 << 30;

/// What is wrong with a frame, and where.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed {
    /// Position of the record in its frame, if it is about one.
    pub record: Option<usize>,
    /// Offset in the frame, in bytes.
    pub offset: usize,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.record {
            Some(record) => write!(f, "record {record}, offset {}: {}", self.offset, self.what),
            None => write!(f, "frame, offset {}: {}", self.offset, self.what),
        }
    }
}

impl std::error::Error for Malformed {}

fn frame_error(offset: usize, what: impl Into<String>) -> Malformed {
    Malformed {
        record: None,
        offset,
        what: what.into(),
    }
}

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The batch's clock in nanoseconds.
    pub clock_ns: u64,
    /// Bytes of the whole frame.
    pub size: usize,
    /// Records in it.
    pub records: usize,
}

/// Reads a batch's header and checks that its sizes can be true.
pub fn header(bytes: &[u8; HEADER]) -> Result<Header, Malformed> {
    let field = Fields { bytes, at: 0 };
    let head = Header {
        clock_ns: field.u64(0),
        size: field.u32(8) as usize,
        records: field.u32(12) as usize,
    };
    if head.size < HEADER || head.size > MOST_BYTES {
        return Err(frame_error(8, format!("a size of {} bytes", head.size)));
    }
    if head.records > (head.size - HEADER) / EVENT {
        return Err(frame_error(
            12,
            format!("{} records in {} bytes", head.records, head.size),
        ));
    }
    Ok(head)
}

/// One record; offsets count from its first byte.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Fields<'a> {
    fn take<const N: usize>(&self, offset: usize) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.bytes[self.at + offset..self.at + offset + N]);
        out
    }
    /// One byte.
    pub fn u8(&self, offset: usize) -> u8 {
        self.bytes[self.at + offset]
    }
    /// Two bytes.
    pub fn u16(&self, offset: usize) -> u16 {
        u16::from_be_bytes(self.take(offset))
    }
    /// Four bytes.
    pub fn u32(&self, offset: usize) -> u32 {
        u32::from_be_bytes(self.take(offset))
    }
    /// Eight bytes.
    pub fn u64(&self, offset: usize) -> u64 {
        u64::from_be_bytes(self.take(offset))
    }
    /// A float of four bytes.
    pub fn f32(&self, offset: usize) -> f32 {
        f32::from_be_bytes(self.take(offset))
    }
    /// Nanoseconds as milliseconds.
    pub fn ms(&self, offset: usize) -> f64 {
        self.u64(offset) as f64 / 1e6
    }
}

/// A whole batch.
pub struct Batch<'a> {
    bytes: &'a [u8],
    /// Its header.
    pub header: Header,
}

impl<'a> Batch<'a> {
    /// A batch whose header has been read before; `bytes` holds the whole frame.
    pub fn new(bytes: &'a [u8], header: Header) -> Result<Self, Malformed> {
        if bytes.len() != header.size {
            return Err(frame_error(
                bytes.len(),
                format!("{} bytes of {}", bytes.len(), header.size),
            ));
        }
        Ok(Batch { bytes, header })
    }
    /// The record at this position.
    pub fn record(&self, n: usize) -> Fields<'a> {
        Fields {
            bytes: self.bytes,
            at: HEADER + n * EVENT,
        }
    }
    /// The offset of a record, for messages.
    pub fn offset(&self, n: usize) -> usize {
        HEADER + n * EVENT
    }
    /// Data of a record's field that lies in the tail.
    pub fn tail(&self, n: usize, field: usize) -> Result<&'a [u8], Malformed> {
        let record = self.record(n);
        let (from, len) = (record.u32(field) as usize, record.u32(field + 4) as usize);
        let tail = &self.bytes[HEADER + self.header.records * EVENT..];
        tail.get(from..from.saturating_add(len))
            .ok_or_else(|| Malformed {
                record: Some(n),
                offset: self.offset(n) + field,
                what: format!("{len} bytes at {from} of a tail of {}", tail.len()),
            })
    }
}

/// A reply being written.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    instance: Option<u16>,
}

impl Reply {
    /// Starts anew for the next batch.
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
        self.instance = None;
    }
    fn push(&mut self, code: u8, parts: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        for part in parts {
            self.records.extend_from_slice(part);
        }
        self.records.resize(start + ACTION, 0);
    }
    /// An action of this instance; its fields are given in order, already encoded.
    pub fn action(&mut self, instance: u16, code: u8, parts: &[&[u8]]) {
        if self.instance != Some(instance) {
            self.push(6, &[&instance.to_be_bytes()]);
            self.instance = Some(instance);
        }
        self.push(code, parts);
    }
    /// An action whose only field is a text.
    pub fn text(&mut self, instance: u16, code: u8, text: &str) {
        let at = self.tail.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        self.action(
            instance,
            code,
            &[&at.to_be_bytes(), &(text.len() as u32).to_be_bytes()],
        );
    }
    /// The whole frame.
    pub fn frame(&self) -> Vec<u8> {
        let size = REPLY_HEADER + self.records.len() + self.tail.len();
        let mut out = Vec::with_capacity(size);
        out.extend_from_slice(&(size as u32).to_be_bytes());
        out.extend_from_slice(&((self.records.len() / ACTION) as u32).to_be_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        out
    }
}

/// Milliseconds as whole nanoseconds.
pub fn nanos(ms: f64) -> [u8; 8] {
    ((ms.max(0.0) * 1e6).round() as u64).to_be_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_empty_batch_of_the_wire_page() {
        let bytes: [u8; 16] = [
            0, 0, 0, 1, 0xf5, 0x68, 0xbf, 0x90, 0, 0, 0, 0x10, 0, 0, 0, 0,
        ];
        let head = header(&bytes).unwrap();
        assert_eq!(
            (head.clock_ns, head.size, head.records),
            (0x1f568bf90, 16, 0)
        );
        assert_eq!(Reply::default().frame(), [0, 0, 0, 8, 0, 0, 0, 0]);
    }

    #[test]
    fn a_header_that_cannot_be_true_names_its_offset() {
        let mut bytes = [0u8; 16];
        bytes[11] = 15;
        assert_eq!(header(&bytes).unwrap_err().offset, 8);
        bytes[11] = 64;
        bytes[15] = 1;
        assert_eq!(header(&bytes).unwrap_err().offset, 12);
    }

    #[test]
    fn a_text_lies_in_the_shared_tail_and_the_instance_is_named_once() {
        let mut reply = Reply::default();
        reply.action(3, 1, &[&7u32.to_be_bytes()]);
        reply.text(3, 12, "ab");
        reply.text(5, 12, "cde");
        let frame = reply.frame();
        assert_eq!(frame.len(), 8 + 5 * 16 + 5);
        assert_eq!(frame[7], 5);
        assert_eq!(&frame[8 + 16..8 + 21], [1, 0, 0, 0, 7]);
        assert_eq!(
            &frame[8 + 4 * 16 + 1..8 + 4 * 16 + 9],
            [0, 0, 0, 2, 0, 0, 0, 3]
        );
        assert_eq!(&frame[88..], b"abcde");
    }

    #[test]
    fn a_tail_field_outside_the_frame_names_its_record() {
        let mut bytes = vec![0u8; HEADER + EVENT];
        bytes[HEADER + 9..HEADER + 13].copy_from_slice(&u32::MAX.to_be_bytes());
        let head = Header {
            clock_ns: 0,
            size: bytes.len(),
            records: 1,
        };
        let bad = Batch::new(&bytes, head).unwrap().tail(0, 9).unwrap_err();
        assert_eq!((bad.record, bad.offset), (Some(0), HEADER + 9));
    }
}
