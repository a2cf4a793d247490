//! Message authentication with the fleet's shared key: HMAC-SHA-256 (RFC 2104), truncated.
//!
//! An authenticated message is the protocol version (1 byte), the first `MAC_BYTES` of the MAC over version and body,
//! and the body. The MAC proves that the sender has the key, not which process it is: any process that has the key can
//! send messages under another process's name.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The protocol version that this release supports.
pub const PROTOCOL_VERSION: u8 = 1;
/// Length of the truncated MAC. RFC 2104 allows half of the hash; 128 bits cannot be guessed.
const MAC_BYTES: usize = 16;
/// Bytes before the body: version and MAC.
pub(crate) const HEADER_BYTES: usize = 1 + MAC_BYTES;

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthenticationError {
    /// The message is too short, or its MAC is wrong.
    #[error("the message's MAC is missing or wrong")]
    WrongMac,
    /// The MAC is right, but the message is of this other version.
    #[error("the message is of protocol version {0}, not {PROTOCOL_VERSION}")]
    UnsupportedVersion(u8),
}

/// Adds and verifies MACs with the fleet's key.
#[derive(Clone)]
pub struct MessageAuthenticator(Hmac<Sha256>);

impl MessageAuthenticator {
    /// Takes a key of any length; HMAC hashes long ones.
    pub fn new(key: &[u8]) -> MessageAuthenticator {
        let mac = Hmac::new_from_slice(key);
        MessageAuthenticator(mac.unwrap_or_else(|_| unreachable!("HMAC takes a key of any length")))
    }

    fn mac(&self, version: u8, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(&[version]);
        mac.update(body);
        mac
    }

    /// The message with this body: version, MAC and body.
    pub fn authenticate(&self, body: &[u8]) -> Vec<u8> {
        let mac = self.mac(PROTOCOL_VERSION, body).finalize().into_bytes();
        let mut message = Vec::with_capacity(HEADER_BYTES + body.len());
        message.push(PROTOCOL_VERSION);
        message.extend_from_slice(&mac[..MAC_BYTES]);
        message.extend_from_slice(body);
        message
    }

    /// The body of a message.
    ///
    /// # Errors
    ///
    /// If the MAC is wrong, or right for another version.
    pub fn verify<'a>(&self, message: &'a [u8]) -> Result<&'a [u8], AuthenticationError> {
        let (&version, rest) = message.split_first().ok_or(AuthenticationError::WrongMac)?;
        let (mac, body) = rest
            .split_at_checked(MAC_BYTES)
            .ok_or(AuthenticationError::WrongMac)?;
        self.mac(version, body)
            .verify_truncated_left(mac)
            .map_err(|_| AuthenticationError::WrongMac)?;
        if version == PROTOCOL_VERSION {
            Ok(body)
        } else {
            Err(AuthenticationError::UnsupportedVersion(version))
        }
    }
}

impl std::fmt::Debug for MessageAuthenticator {
    /// Omits the key.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("MessageAuthenticator")
    }
}

#[cfg(test)]
mod tests;
