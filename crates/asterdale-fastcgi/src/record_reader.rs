//! Input buffer of a connection, from which complete records are parsed in place.

use crate::error::ProtocolError;

/// Length of a record header, in bytes.
pub(crate) const HEADER_BYTES: usize = 8;
/// Size of the buffer while no larger record is expected, in bytes. One read of this size takes many of the platform's
/// requests.
pub const DEFAULT_BUFFER_BYTES: usize = 4 * 1024;
/// The only protocol version of the specification.
pub(crate) const VERSION: u8 = 1;

/// One record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// The record type, see [`crate::record_type`].
    pub record_type: u8,
    /// The request that the record belongs to; 0 for a management record.
    pub request_id: u16,
    /// The content without the padding.
    pub content: &'a [u8],
}

/// The bytes that were received and not yet parsed, in one buffer.
#[derive(Default)]
pub struct RecordReader {
    buffer: Vec<u8>,
    /// The unparsed bytes are `buffer[start..end]`.
    start: usize,
    end: usize,
    /// How many bytes of a discarded record have not been received yet.
    awaited_discard: usize,
    /// How many bytes of discarded records were received since this was last asked for.
    discarded: usize,
}

impl RecordReader {
    /// Sets the buffer's size for the next read: large enough for the record whose header has been received.
    pub fn prepare_read(&mut self) {
        self.buffer.copy_within(self.start..self.end, 0);
        self.end -= self.start;
        self.start = 0;
        let required_bytes = self.record_length().unwrap_or(0).max(DEFAULT_BUFFER_BYTES);
        if self.buffer.len() != required_bytes && self.end < required_bytes {
            self.replace_buffer(required_bytes);
        }
    }

    /// Moves the unparsed bytes, which start at 0, to a buffer of this size. The old one is freed whole: a part of it
    /// that stayed allocated would keep the rest from being used for the next large buffer.
    fn replace_buffer(&mut self, size: usize) {
        let mut buffer = vec![0; size];
        buffer[..self.end].copy_from_slice(&self.buffer[..self.end]);
        self.buffer = buffer;
    }

    /// The buffer space for the next read. The space is never empty. Call [`RecordReader::commit`] after the read.
    pub fn free_space(&mut self) -> &mut [u8] {
        self.prepare_read();
        &mut self.buffer[self.end..]
    }

    /// Adds `count` bytes, which were read into [`RecordReader::free_space`], to the unparsed bytes.
    pub fn commit(&mut self, count: usize) {
        self.end += count;
        let discarded = self.awaited_discard.min(count);
        self.awaited_discard -= discarded;
        self.start += discarded;
        self.discarded += discarded;
    }

    /// Discards the record whose header has been received, if there is one, and frees the buffer that was kept for it.
    /// Returns the request that the record belongs to.
    pub fn discard_record(&mut self) -> Option<u16> {
        let request_id = self.record_length().map(|record_length| {
            let header = &self.buffer[self.start..];
            let request_id = u16::from_be_bytes([header[2], header[3]]);
            let received = record_length.min(self.end - self.start);
            self.start += received;
            self.awaited_discard = record_length - received;
            request_id
        });
        self.prepare_read();
        request_id
    }

    /// Returns how many bytes were received and discarded since the last call.
    pub fn take_discarded_bytes(&mut self) -> usize {
        std::mem::take(&mut self.discarded)
    }

    /// The size of the buffer, in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether every received byte has been parsed, and no record has been received in part.
    pub fn is_empty(&self) -> bool {
        self.start == self.end && self.awaited_discard == 0
    }

    /// The length of the first record with header and padding, in bytes; `None` until its header is complete.
    fn record_length(&self) -> Option<usize> {
        let header = self.buffer[self.start..self.end].get(..HEADER_BYTES)?;
        Some(HEADER_BYTES + content_length(header) + usize::from(header[6]))
    }

    /// Parses and removes the next record; `None` until it is complete.
    ///
    /// # Errors
    /// [`ProtocolError::UnsupportedVersion`] as soon as the header is complete. The record is not removed then.
    pub fn next_record(&mut self) -> Result<Option<Record<'_>>, ProtocolError> {
        let Some(record_length) = self.record_length() else {
            return Ok(None);
        };
        let bytes = &self.buffer[self.start..];
        if bytes[0] != VERSION {
            return Err(ProtocolError::UnsupportedVersion(bytes[0]));
        }
        if self.end - self.start < record_length {
            return Ok(None);
        }
        self.start += record_length;
        Ok(Some(Record {
            record_type: bytes[1],
            request_id: u16::from_be_bytes([bytes[2], bytes[3]]),
            content: &bytes[HEADER_BYTES..HEADER_BYTES + content_length(bytes)],
        }))
    }
}

/// The length of the content, from the header at the start of `record`.
fn content_length(record: &[u8]) -> usize {
    usize::from(u16::from_be_bytes([record[4], record[5]]))
}
