//! Messages as bytes: each behind its length. What is too long, or can't be read, ends the connection.

use prost::Message;

use crate::message::frame::What;
use crate::message::Frame;

/// A frame is no longer, in bytes: a task with its body, a result, or a part of a state.
pub const MOST: usize = 1024 * 1024;
/// So much of a state goes into one frame.
pub const PART: usize = 256 * 1024;
/// A state is no longer, in bytes.
pub const MOST_STATE: usize = 128 * 1024 * 1024;

/// Why bytes are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// It says that it is longer than any may be.
    TooLong,
    /// It is none.
    Unreadable,
}

/// A message as bytes.
pub fn encode(what: What) -> Vec<u8> {
    let frame = Frame { what: Some(what) };
    let mut bytes = (frame.encoded_len() as u32).to_be_bytes().to_vec();
    // Into a vector: there is always room.
    let _ = frame.encode(&mut bytes);
    bytes
}

/// Bytes that come in, until they are messages.
#[derive(Default)]
pub struct Incoming {
    bytes: Vec<u8>,
}

impl Incoming {
    /// More have come.
    pub fn add(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next message, once it is whole. One of a kind that is not known here is passed over.
    pub fn take(&mut self) -> Result<Option<What>, Bad> {
        loop {
            let Some(length) = self.bytes.first_chunk::<4>() else {
                return Ok(None);
            };
            let length = u32::from_be_bytes(*length) as usize;
            if length > MOST {
                return Err(Bad::TooLong);
            }
            let Some(body) = self.bytes.get(4..4 + length) else {
                return Ok(None);
            };
            let frame = Frame::decode(body).map_err(|_| Bad::Unreadable)?;
            self.bytes.drain(..4 + length);
            if frame.what.is_some() {
                return Ok(frame.what);
            }
        }
    }
}
