//! A check over each message, made with the fleet's key (HMAC-SHA-256, RFC 2104): whoever has the key may speak for
//! anybody, whoever has not is not heard. A message is a version (1 byte), the check's first 16 bytes, and the rest.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The version that this release speaks.
pub const VERSION: u8 = 1;
/// Of the check: half of it, which the RFC allows, and nobody can guess.
const CHECK: usize = 16;

/// Why a message is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unheard {
    /// It is too short, or its check is wrong.
    Foreign,
    /// Its check is right, and it is of this other version.
    Version(u8),
}

/// The fleet's key.
#[derive(Clone)]
pub struct Seal(Hmac<Sha256>);

impl Seal {
    /// From the key's bytes, of any number.
    pub fn new(key: &[u8]) -> Seal {
        // A key of any length will do: longer ones are hashed.
        Seal(Hmac::new_from_slice(key).unwrap_or_else(|_| unreachable!("HMAC takes any key")))
    }

    fn check(&self, version: u8, body: &[u8]) -> Hmac<Sha256> {
        let mut check = self.0.clone();
        check.update(&[version]);
        check.update(body);
        check
    }

    /// A body as a message.
    pub fn close(&self, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(1 + CHECK + body.len());
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.check(VERSION, body).finalize().into_bytes()[..CHECK]);
        bytes.extend_from_slice(body);
        bytes
    }

    /// The body of a message.
    pub fn open<'a>(&self, message: &'a [u8]) -> Result<&'a [u8], Unheard> {
        let (&version, rest) = message.split_first().ok_or(Unheard::Foreign)?;
        let (check, body) = rest.split_at_checked(CHECK).ok_or(Unheard::Foreign)?;
        self.check(version, body)
            .verify_truncated_left(check)
            .map_err(|_| Unheard::Foreign)?;
        if version == VERSION {
            Ok(body)
        } else {
            Err(Unheard::Version(version))
        }
    }
}

impl std::fmt::Debug for Seal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Seal")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_was_made_with_the_key_and_not_changed_is_heard() {
        let (seal, other) = (Seal::new(b"the fleet's"), Seal::new(b"another's"));
        let message = seal.close(b"hello");
        assert_eq!(seal.open(&message), Ok(&b"hello"[..]));
        assert_eq!(other.open(&message), Err(Unheard::Foreign));
        for at in 0..message.len() {
            let mut changed = message.clone();
            changed[at] ^= 4;
            assert_eq!(seal.open(&changed), Err(Unheard::Foreign), "{at}");
            assert_eq!(seal.open(&message[..at]), Err(Unheard::Foreign), "{at}");
        }
        let mut newer = vec![9];
        newer.extend_from_slice(&seal.check(9, b"x").finalize().into_bytes()[..CHECK]);
        newer.push(b'x');
        assert_eq!(seal.open(&newer), Err(Unheard::Version(9)));
    }
}
