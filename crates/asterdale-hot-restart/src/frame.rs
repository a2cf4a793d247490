//! Frames: encoded messages, each preceded by its length in four bytes, big endian.

use prost::Message;
use thiserror::Error;

use crate::message::frame::Payload;
use crate::message::Frame;

/// The longest frame, in bytes: a request with its body, a result, or a chunk of a state.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// The most bytes of a state in one frame, so that other frames are not delayed by much.
pub const STATE_CHUNK_BYTES: usize = 256 * 1024;
/// The largest state, in bytes, to bound the memory of the process that reads it.
pub const MAX_STATE_BYTES: usize = 128 * 1024 * 1024;
/// The size of a frame's length field, in bytes.
const LENGTH_BYTES: usize = 4;

/// The bytes are not a valid frame. Nothing more can be read from the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length exceeds [`MAX_FRAME_BYTES`].
    #[error("a frame is too long")]
    TooLong,
    /// The bytes are not a message of the protocol.
    #[error("a frame can't be decoded")]
    Undecodable,
}

/// Encodes one message as a frame.
pub fn encode(payload: Payload) -> Vec<u8> {
    let frame = Frame {
        payload: Some(payload),
    };
    let mut bytes = (frame.encoded_len() as u32).to_be_bytes().to_vec();
    bytes.extend(frame.encode_to_vec());
    bytes
}

/// Decodes frames from bytes that arrive in pieces of any size.
#[derive(Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
}

impl FrameDecoder {
    /// Adds bytes that have arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message, or `None` until more bytes have arrived. Messages of an unknown kind are skipped.
    ///
    /// # Errors
    /// If the bytes are not a valid frame. The decoder can't be used after that.
    pub fn next_message(&mut self) -> Result<Option<Payload>, FrameError> {
        loop {
            let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
                return Ok(None);
            };
            let length = u32::from_be_bytes(*length) as usize;
            if length > MAX_FRAME_BYTES {
                return Err(FrameError::TooLong);
            }
            let end = LENGTH_BYTES + length;
            let Some(body) = self.buffer.get(LENGTH_BYTES..end) else {
                return Ok(None);
            };
            let frame = Frame::decode(body).map_err(|_| FrameError::Undecodable)?;
            self.buffer.drain(..end);
            if frame.payload.is_some() {
                return Ok(frame.payload);
            }
        }
    }
}
