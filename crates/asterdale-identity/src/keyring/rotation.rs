//! The issuer's changes to a key set: announce, activate and retire keys. Times are Unix milliseconds. Signing is in
//! [`crate::mint`].

use thiserror::Error;

use super::key_set::{parse_public_key, KeySet, PublicJwk, Revocations, MAX_KEYS};

/// How long a retired key stays in the sets, in milliseconds: one day, so that recently retired keys can be seen in a
/// set.
const RETIRED_KEY_LISTED_MS: f64 = 86_400_000.0;

/// Why a key set cannot be changed as requested.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RotationError {
    /// The set contains no key of this id.
    #[error("{0}: the set contains no key of this id")]
    UnknownKey(String),
    /// The public key to announce under this id is invalid.
    #[error("{0}: this is not a valid public key")]
    InvalidPublicKey(String),
    /// This id is in use or revoked.
    #[error("{0}: this key id is in use; a new key needs a new id")]
    KeyIdInUse(String),
    /// The set contains the maximal number of keys.
    #[error("the set already contains the maximum of {MAX_KEYS} keys")]
    TooManyKeys,
    /// The key of this id is outgoing or retired.
    #[error("{0}: this key is outgoing or retired; announce a new one")]
    KeyRetiring(String),
}

impl KeySet {
    /// An empty set, which was never signed.
    pub fn empty() -> KeySet {
        KeySet {
            seq: 0,
            issued_ms: 0.0,
            keys: Vec::new(),
            revoked: Revocations::default(),
        }
    }

    fn find_key(&mut self, id: &str) -> Result<&mut PublicJwk, RotationError> {
        self.keys
            .iter_mut()
            .find(|key| key.kid == id)
            .ok_or_else(|| RotationError::UnknownKey(id.to_owned()))
    }

    /// Announces a key that becomes active at `from_ms`. Servers must have received the set by then. Keys that were
    /// retired long ago are removed.
    ///
    /// # Errors
    /// [`RotationError`] for an invalid key, an id that is in use, or too many keys.
    pub fn announce(
        &mut self,
        now_ms: f64,
        id: &str,
        public_key: &str,
        from_ms: f64,
    ) -> Result<(), RotationError> {
        if parse_public_key(public_key).is_none() {
            return Err(RotationError::InvalidPublicKey(id.to_owned()));
        }
        if self.keys.iter().any(|key| key.kid == id) || self.revoked.keys.contains(id) {
            return Err(RotationError::KeyIdInUse(id.to_owned()));
        }
        self.keys.retain(|key| {
            key.until_ms
                .is_none_or(|until_ms| now_ms < until_ms + RETIRED_KEY_LISTED_MS)
        });
        if self.keys.len() >= MAX_KEYS {
            return Err(RotationError::TooManyKeys);
        }
        self.keys.push(PublicJwk::new(id, public_key, from_ms));
        Ok(())
    }

    /// Activates a key now. All other active keys become outgoing, and are retired after `overlap_ms` or earlier.
    ///
    /// # Errors
    /// [`RotationError`] for an unknown key, or one that is outgoing or retired.
    pub fn activate(
        &mut self,
        now_ms: f64,
        id: &str,
        overlap_ms: f64,
    ) -> Result<(), RotationError> {
        let key = self.find_key(id)?;
        if key.until_ms.is_some() {
            return Err(RotationError::KeyRetiring(id.to_owned()));
        }
        key.from_ms = key.from_ms.min(now_ms);
        let others = self
            .keys
            .iter_mut()
            .filter(|key| key.kid != id && key.from_ms <= now_ms);
        for other in others {
            other.retire_by(now_ms + overlap_ms);
        }
        Ok(())
    }

    /// Retires a key at `until_ms`, or at its previous retirement time if that is earlier.
    ///
    /// # Errors
    /// [`RotationError::UnknownKey`].
    pub fn retire(&mut self, id: &str, until_ms: f64) -> Result<(), RotationError> {
        self.find_key(id)?.retire_by(until_ms);
        Ok(())
    }

    /// Prepares the set for signing: it gets the next sequence number, and `now_ms` as its signing time.
    pub fn advance_sequence(&mut self, now_ms: f64) {
        self.seq += 1;
        self.issued_ms = now_ms;
    }
}

impl PublicJwk {
    fn retire_by(&mut self, until_ms: f64) {
        let earliest_ms = self
            .until_ms
            .map_or(until_ms, |earlier| earlier.min(until_ms));
        self.until_ms = Some(earliest_ms);
    }
}
