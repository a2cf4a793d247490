//! A check over each message, made with the fleet's key (HMAC-SHA-256, RFC 2104): whoever has the key may speak for
//! anybody, whoever has not is not heard. A message is a version (1 byte), the check's first 16 bytes, and the rest.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The version that this release speaks.
pub const PROTOCOL_VERSION: u8 = 1;
/// Of the check: half of it, which the RFC allows, and nobody can guess.
const MAC_BYTES: usize = 16;

/// Why a message is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthenticationError {
    /// It is too short, or its check is wrong.
    WrongMac,
    /// Its check is right, and it is of this other version.
    UnsupportedVersion(u8),
}

/// The fleet's key.
#[derive(Clone)]
pub struct MessageAuthenticator(Hmac<Sha256>);

impl MessageAuthenticator {
    /// From the key's bytes, of any number.
    pub fn new(key: &[u8]) -> MessageAuthenticator {
        // A key of any length will do: longer ones are hashed.
        MessageAuthenticator(
            Hmac::new_from_slice(key).unwrap_or_else(|_| unreachable!("HMAC takes any key")),
        )
    }

    fn mac(&self, version: u8, body: &[u8]) -> Hmac<Sha256> {
        let mut check = self.0.clone();
        check.update(&[version]);
        check.update(body);
        check
    }

    /// A body as a message.
    pub fn authenticate(&self, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(1 + MAC_BYTES + body.len());
        bytes.push(PROTOCOL_VERSION);
        bytes.extend_from_slice(
            &self.mac(PROTOCOL_VERSION, body).finalize().into_bytes()[..MAC_BYTES],
        );
        bytes.extend_from_slice(body);
        bytes
    }

    /// The body of a message.
    pub fn verify<'a>(&self, message: &'a [u8]) -> Result<&'a [u8], AuthenticationError> {
        let (&version, rest) = message.split_first().ok_or(AuthenticationError::WrongMac)?;
        let (check, body) = rest
            .split_at_checked(MAC_BYTES)
            .ok_or(AuthenticationError::WrongMac)?;
        self.mac(version, body)
            .verify_truncated_left(check)
            .map_err(|_| AuthenticationError::WrongMac)?;
        if version == PROTOCOL_VERSION {
            Ok(body)
        } else {
            Err(AuthenticationError::UnsupportedVersion(version))
        }
    }
}

impl std::fmt::Debug for MessageAuthenticator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Seal")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_was_made_with_the_key_and_not_changed_is_heard() {
        let (seal, other) = (
            MessageAuthenticator::new(b"the fleet's"),
            MessageAuthenticator::new(b"another's"),
        );
        let message = seal.authenticate(b"hello");
        assert_eq!(seal.verify(&message), Ok(&b"hello"[..]));
        assert_eq!(other.verify(&message), Err(AuthenticationError::WrongMac));
        for at in 0..message.len() {
            let mut changed = message.clone();
            changed[at] ^= 4;
            assert_eq!(
                seal.verify(&changed),
                Err(AuthenticationError::WrongMac),
                "{at}"
            );
            assert_eq!(
                seal.verify(&message[..at]),
                Err(AuthenticationError::WrongMac),
                "{at}"
            );
        }
        let mut newer = vec![9];
        newer.extend_from_slice(&seal.mac(9, b"x").finalize().into_bytes()[..MAC_BYTES]);
        newer.push(b'x');
        assert_eq!(
            seal.verify(&newer),
            Err(AuthenticationError::UnsupportedVersion(9))
        );
    }
}
