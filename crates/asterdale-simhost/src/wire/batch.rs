//! Batches of events: a header, records of fixed size, and a tail for fields of variable size.

use super::error::{Malformed, Problem};

/// Size of a batch's header.
pub const HEADER_BYTES: usize = 16;
/// Size of an event record.
pub const RECORD_BYTES: usize = 64;
/// Maximum size of a batch: far above the largest real one, and small enough to be allocated.
const MAX_BATCH_BYTES: usize = 1 << 30;

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The time of the batch, in nanoseconds.
    pub clock_ns: u64,
    /// Size of the complete batch, header included.
    pub bytes: usize,
    /// Number of records.
    pub records: usize,
}

/// Reads a batch's header.
///
/// # Errors
/// A size in the header is invalid.
pub fn read_header(bytes: &[u8; HEADER_BYTES]) -> Result<Header, Malformed> {
    let fields = Record { bytes, start: 0 };
    let header = Header {
        clock_ns: fields.u64(0),
        bytes: fields.u32(8) as usize,
        records: fields.u32(12) as usize,
    };
    if header.bytes < HEADER_BYTES || header.bytes > MAX_BATCH_BYTES {
        return Err(Malformed::frame(8, Problem::InvalidSize(header.bytes)));
    }
    if header.records > (header.bytes - HEADER_BYTES) / RECORD_BYTES {
        let problem = Problem::TooManyRecords {
            records: header.records,
            bytes: header.bytes,
        };
        return Err(Malformed::frame(12, problem));
    }
    Ok(header)
}

/// One record; offsets of fields count from its first byte.
#[derive(Clone, Copy)]
pub struct Record<'a> {
    bytes: &'a [u8],
    start: usize,
}

impl Record<'_> {
    fn field<const N: usize>(&self, offset: usize) -> [u8; N] {
        let mut field = [0; N];
        let start = self.start + offset;
        field.copy_from_slice(&self.bytes[start..start + N]);
        field
    }

    /// The code of an event record.
    pub fn code(&self) -> u8 {
        self.u8(0)
    }

    /// One byte.
    pub fn u8(&self, offset: usize) -> u8 {
        self.bytes[self.start + offset]
    }

    /// Two bytes.
    pub fn u16(&self, offset: usize) -> u16 {
        u16::from_be_bytes(self.field(offset))
    }

    /// Four bytes.
    pub fn u32(&self, offset: usize) -> u32 {
        u32::from_be_bytes(self.field(offset))
    }

    /// Eight bytes.
    pub fn u64(&self, offset: usize) -> u64 {
        u64::from_be_bytes(self.field(offset))
    }

    /// A float of four bytes.
    pub fn f32(&self, offset: usize) -> f32 {
        f32::from_be_bytes(self.field(offset))
    }

    /// Nanoseconds, as milliseconds.
    pub fn milliseconds(&self, offset: usize) -> f64 {
        self.u64(offset) as f64 / 1e6
    }
}

/// A complete batch.
pub struct Batch<'a> {
    bytes: &'a [u8],
    /// Its header.
    pub header: Header,
}

impl<'a> Batch<'a> {
    /// A batch from its bytes, header included.
    ///
    /// # Errors
    /// There are not as many bytes as the header says.
    pub fn new(bytes: &'a [u8], header: Header) -> Result<Self, Malformed> {
        if bytes.len() != header.bytes {
            let problem = Problem::TruncatedBatch {
                received: bytes.len(),
                expected: header.bytes,
            };
            return Err(Malformed::frame(bytes.len(), problem));
        }
        Ok(Batch { bytes, header })
    }

    /// The record at this position.
    pub fn record(&self, index: usize) -> Record<'a> {
        Record {
            bytes: self.bytes,
            start: offset(index),
        }
    }

    /// A problem of the record at this position.
    pub fn malformed(&self, index: usize, problem: Problem) -> Malformed {
        Malformed {
            record: Some(index),
            offset: offset(index),
            problem,
        }
    }

    /// The bytes in the tail that a field of a record refers to, by their offset and their length.
    ///
    /// # Errors
    /// They lie outside of the tail.
    pub fn tail(&self, index: usize, field: usize) -> Result<&'a [u8], Malformed> {
        let record = self.record(index);
        let start = record.u32(field) as usize;
        let length = record.u32(field + 4) as usize;
        let tail = &self.bytes[offset(self.header.records)..];
        tail.get(start..start.saturating_add(length))
            .ok_or_else(|| Malformed {
                record: Some(index),
                offset: offset(index) + field,
                problem: Problem::OutsideTail {
                    length,
                    start,
                    tail: tail.len(),
                },
            })
    }
}

/// The offset of a record in its batch.
fn offset(index: usize) -> usize {
    HEADER_BYTES + index * RECORD_BYTES
}
