//! Violations of the protocol: those after which a connection's input cannot be parsed any further, and those that
//! concern one request.

use thiserror::Error;

/// Why the input of a connection cannot be parsed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A record has this protocol version, which is not 1.
    #[error("FastCGI version {0} is not supported")]
    UnsupportedVersion(u8),
    /// The length of a parameter's name or value exceeds the remaining bytes.
    #[error("the length of a parameter exceeds the remaining bytes")]
    LengthOutOfBounds,
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
    /// Its BEGIN_REQUEST is shorter than the specification requires.
    #[error("its first record is truncated")]
    TruncatedBegin,
    /// It was opened with the id of an incomplete request, which is rejected too.
    #[error("its id is in use by an incomplete request")]
    DuplicateId,
}
