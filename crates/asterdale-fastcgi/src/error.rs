//! Violations of the protocol: those after which a connection's input cannot be parsed any further, and those that
//! concern one request.

use thiserror::Error;

/// Why the input of a connection cannot be parsed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A record has this protocol version, which is not 1.
    #[error("FastCGI version {0} is not supported")]
    UnsupportedVersion(u8),
    /// The content of a record of this type is shorter than the type requires.
    #[error("a record of type {0} is truncated")]
    TruncatedRecord(u8),
    /// The length of a parameter's name or value exceeds the remaining bytes.
    #[error("the length of a parameter exceeds the remaining bytes")]
    LengthOutOfBounds,
    /// A request was opened with this id while another request of the same id was incomplete.
    #[error("request id {0} is in use by an incomplete request")]
    DuplicateRequestId(u16),
}

/// Why one request is rejected. The other requests of its connection are not affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestFault {
    /// Its body exceeds the limit, and may be endless.
    #[error("the body is too long")]
    BodyTooLong,
    /// It is the largest incomplete request of a connection whose incomplete requests exceed their memory limit.
    #[error("the incomplete requests of its connection exceed their memory limit")]
    TooManyPendingBytes,
}
