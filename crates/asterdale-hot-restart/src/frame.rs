//! Frames: messages as bytes, each after its length in four bytes, big endian.

use prost::Message;
use thiserror::Error;

use crate::message::frame::Payload;
use crate::message::Frame;

/// The longest frame, in bytes: a request with its body, a result, or a chunk of a state.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// The bytes of a state that go into one frame: few enough that other frames are not delayed by much.
pub const STATE_CHUNK_BYTES: usize = 256 * 1024;
/// The largest state, in bytes, to bound the memory of the process that reads it.
pub const MAX_STATE_BYTES: usize = 128 * 1024 * 1024;
/// The bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// Bytes that are no frame. The connection can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length is beyond [`MAX_FRAME_BYTES`].
    #[error("a frame is too long")]
    TooLong,
    /// The bytes are no message of the protocol.
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
    /// If the bytes are no frame; the decoder is of no use from then on.
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
