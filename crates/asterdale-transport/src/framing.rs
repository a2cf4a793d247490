//! Frames on TCP streams: a length in four bytes, big-endian, then the message. Streams of exchanges and persistent streams
//! arrive at the same listener; the highest bit of the first length distinguishes them.

/// The length of a frame's length field, in bytes.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Set in the length field of every frame on a persistent stream, and of no frame of an exchange.
pub(crate) const PERSISTENT_BIT: u32 = 0x8000_0000;

/// Returns the length field at the start of these bytes, or `None` if it is incomplete.
pub(crate) fn length_field(bytes: &[u8]) -> Option<u32> {
    bytes
        .first_chunk::<LENGTH_BYTES>()
        .map(|field| u32::from_be_bytes(*field))
}

/// The frame of a message of an exchange.
pub(crate) fn exchange_frame(message: &[u8]) -> Vec<u8> {
    frame(message, 0)
}

/// The frame of a message on a persistent stream.
pub(crate) fn persistent_frame(message: &[u8]) -> Vec<u8> {
    frame(message, PERSISTENT_BIT)
}

fn frame(message: &[u8], flags: u32) -> Vec<u8> {
    let mut frame = Vec::with_capacity(LENGTH_BYTES + message.len());
    frame.extend_from_slice(&(message.len() as u32 | flags).to_be_bytes());
    frame.extend_from_slice(message);
    frame
}
