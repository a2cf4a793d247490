//! State machine of the keys that may sign tokens, driven by signed key sets.
//!
//! A key set is a JWS signed by a root key. Its payload is a JWK Set (RFC 7517) with times, a sequence number and
//! revocations. A key's phase is a function of the last adopted set and the time, so the end of an overlap needs no
//! event:
//!
//! ```text
//!   announced --from_ms--> active --a later set has until_ms--> outgoing --until_ms--> retired
//!       any of them --a set revokes the key--> revoked, permanently
//! ```
//!
//! A set that is older, malformed, not signed by a root key, or that contains a known key id with another key is
//! rejected, and the last adopted set stays in use.

mod key_set;
mod known_keys;
mod phase;
mod rotation;

use std::collections::HashMap;

use ed25519_dalek::VerifyingKey;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::denial::DenialReason;
use crate::jws::{verify_document, JwsError};
use crate::token::Claims;

pub use key_set::{
    parse_public_key, KeySet, PublicJwk, Revocations, KEY_SET_TYPE, MAX_KEYS, MAX_KEY_SET_BYTES,
};
pub(crate) use key_set::{CURVE, KEY_TYPE};
pub use phase::Phase;
pub use rotation::RotationError;

use known_keys::{KnownKey, KnownKeys};
use phase::ScheduledKey;

/// How far ahead of the local clock the signing time of a key set may be, in milliseconds. A larger difference means
/// that one of the clocks is wrong, so that the age of the set could not be determined.
const MAX_ISSUED_AHEAD_MS: f64 = 300_000.0;

/// The result of offering a key set that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeySetOutcome {
    /// The set replaced the last one.
    Adopted,
    /// The set is the last one, byte for byte.
    Unchanged,
}

/// Why a key set was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeySetError {
    /// The key set is too long, or not a JWS in compact serialization with a key set as its payload.
    #[error("the key set is malformed")]
    Malformed,
    /// No root key signed it.
    #[error("the key set is not signed by a root key")]
    UntrustedSigner,
    /// Its sequence number is lower than the last one's.
    #[error("the key set is older than the last one")]
    OlderSequence,
    /// It has the sequence number of the last one, but different content.
    #[error("the key set has the sequence number of the last one, but different content")]
    ReusedSequence,
    /// This key id belongs to another key.
    #[error("the key id {0} belongs to another key")]
    ReusedKeyId(String),
    /// The key of this id is invalid, occurs twice, or exceeds [`MAX_KEYS`].
    #[error("the key {0} is invalid, occurs twice, or exceeds the maximum number of keys")]
    InvalidKey(String),
    /// It was signed in the future.
    #[error("the key set was signed in the future")]
    IssuedInFuture,
}

/// The state of a keyring that a hot restart transfers. Its field names are part of the stored form.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeyringState {
    /// The text of the last adopted set.
    #[serde(rename = "set")]
    key_set: Option<Vec<u8>>,
    #[serde(rename = "seen")]
    known_keys: HashMap<String, KnownKey>,
}

struct AdoptedSet {
    sequence: u64,
    text: Vec<u8>,
}

/// The keys and revocations of the last adopted set, and the keys of earlier ones.
pub struct Keyring {
    root_keys: Vec<VerifyingKey>,
    max_age_ms: f64,
    adopted: Option<AdoptedSet>,
    issued_ms: f64,
    keys: HashMap<String, ScheduledKey>,
    revocations: Revocations,
    known_keys: KnownKeys,
}

impl Keyring {
    /// An empty keyring. Key sets must be signed by one of these root keys, and are usable for `max_age_ms` after their
    /// signing time.
    pub fn new(root_keys: Vec<VerifyingKey>, max_age_ms: f64) -> Keyring {
        Keyring {
            root_keys,
            max_age_ms,
            adopted: None,
            issued_ms: f64::NEG_INFINITY,
            keys: HashMap::new(),
            revocations: Revocations::default(),
            known_keys: KnownKeys::default(),
        }
    }

    /// Changes the root keys and the age limit for future checks. The adopted keys are kept.
    pub fn reconfigure(&mut self, root_keys: Vec<VerifyingKey>, max_age_ms: f64) {
        (self.root_keys, self.max_age_ms) = (root_keys, max_age_ms);
    }

    /// Verifies a signed key set and adopts it.
    ///
    /// # Errors
    /// The reason for which the set is rejected. The last adopted one stays then.
    pub fn offer_key_set(
        &mut self,
        now_ms: f64,
        text: &[u8],
    ) -> Result<KeySetOutcome, KeySetError> {
        if text.len() > MAX_KEY_SET_BYTES {
            return Err(KeySetError::Malformed);
        }
        if self
            .adopted
            .as_ref()
            .is_some_and(|adopted| adopted.text == text)
        {
            return Ok(KeySetOutcome::Unchanged);
        }
        let payload =
            verify_document(text, KEY_SET_TYPE, &self.root_keys).map_err(|error| match error {
                JwsError::UntrustedSigner => KeySetError::UntrustedSigner,
                JwsError::Malformed => KeySetError::Malformed,
            })?;
        // The parser's error is dropped, as it would repeat text of the set.
        let set: KeySet = serde_json::from_slice(&payload).map_err(|_| KeySetError::Malformed)?;
        self.check_sequence(set.seq)?;
        if set.issued_ms > now_ms + MAX_ISSUED_AHEAD_MS {
            return Err(KeySetError::IssuedInFuture);
        }
        if !set.revoked.is_within_limits() {
            return Err(KeySetError::Malformed);
        }
        let keys = self.scheduled_keys(&set)?;
        self.adopt(set, keys, text);
        Ok(KeySetOutcome::Adopted)
    }

    fn check_sequence(&self, sequence: u64) -> Result<(), KeySetError> {
        match self.sequence() {
            Some(last) if sequence < last => Err(KeySetError::OlderSequence),
            Some(last) if sequence == last => Err(KeySetError::ReusedSequence),
            _ => Ok(()),
        }
    }

    /// The keys of a set, each checked by itself and against the keys of earlier sets.
    fn scheduled_keys(&self, set: &KeySet) -> Result<HashMap<String, ScheduledKey>, KeySetError> {
        let mut keys = HashMap::new();
        for jwk in &set.keys {
            let has_space = keys.len() < MAX_KEYS;
            let key = ScheduledKey::from_jwk(jwk)
                .filter(|_| has_space)
                .ok_or_else(|| invalid_key(jwk))?;
            if !self.known_keys.is_consistent(&jwk.kid, &key.public) {
                return Err(KeySetError::ReusedKeyId(jwk.kid.clone()));
            }
            if keys.insert(jwk.kid.clone(), key).is_some() {
                return Err(invalid_key(jwk));
            }
        }
        Ok(keys)
    }

    fn adopt(&mut self, set: KeySet, keys: HashMap<String, ScheduledKey>, text: &[u8]) {
        self.known_keys.record(set.seq, &keys, &set.revoked.keys);
        self.keys = keys;
        self.revocations = set.revoked;
        self.issued_ms = set.issued_ms;
        self.adopted = Some(AdoptedSet {
            sequence: set.seq,
            text: text.to_vec(),
        });
    }

    /// The state to transfer to another process.
    pub fn export_state(&self) -> KeyringState {
        KeyringState {
            key_set: self.adopted.as_ref().map(|adopted| adopted.text.clone()),
            known_keys: self.known_keys.export(),
        }
    }

    /// Restores the state of another process. The key set in it is verified like any other.
    ///
    /// # Errors
    /// The reason for which the key set is rejected. Nothing changes then.
    pub fn restore_state(&mut self, now_ms: f64, state: KeyringState) -> Result<(), KeySetError> {
        if let Some(text) = &state.key_set {
            self.offer_key_set(now_ms, text)?;
        }
        self.known_keys.restore(state.known_keys);
        Ok(())
    }

    /// The sequence number of the last adopted set.
    pub fn sequence(&self) -> Option<u64> {
        self.adopted.as_ref().map(|adopted| adopted.sequence)
    }

    /// The age of the last adopted set, in milliseconds; infinite before the first.
    pub fn age_ms(&self, now_ms: f64) -> f64 {
        (now_ms - self.issued_ms).max(0.0)
    }

    /// Whether a set was adopted that is not too old.
    pub fn has_usable_key_set(&self, now_ms: f64) -> bool {
        self.age_ms(now_ms) <= self.max_age_ms && self.adopted.is_some()
    }

    /// The phase of a key at a time; `None` if no set so far contained it.
    pub fn phase(&self, id: &str, time_ms: f64) -> Option<Phase> {
        if self.is_key_revoked(id) {
            return Some(Phase::Revoked);
        }
        match self.keys.get(id) {
            Some(key) => Some(key.phase(time_ms)),
            None => self.known_keys.contains(id).then_some(Phase::Retired),
        }
    }

    /// Whether a set has revoked this key.
    pub fn is_key_revoked(&self, id: &str) -> bool {
        self.revocations.keys.contains(id) || self.known_keys.is_revoked(id)
    }

    /// Checks that tokens of this key are accepted at a time, with the clock skew as tolerance.
    ///
    /// # Errors
    /// The reason for which they are not.
    pub fn check_key(&self, id: &str, time_ms: f64, skew_ms: f64) -> Result<(), DenialReason> {
        let is_accepted =
            |phase: Option<Phase>| matches!(phase, Some(Phase::Active | Phase::Outgoing));
        match self.phase(id, time_ms) {
            phase if is_accepted(phase) => Ok(()),
            Some(Phase::Announced) if is_accepted(self.phase(id, time_ms + skew_ms)) => Ok(()),
            Some(Phase::Retired) if is_accepted(self.phase(id, time_ms - skew_ms)) => Ok(()),
            Some(Phase::Announced) => Err(DenialReason::KeyNotYetActive),
            Some(Phase::Revoked) => Err(DenialReason::KeyRevoked),
            Some(_) => Err(DenialReason::KeyRetired),
            None => Err(DenialReason::KeyUnknown),
        }
    }

    /// The key of this id, in any phase, if the last adopted set contains it.
    pub fn verifying_key(&self, id: &str) -> Option<&VerifyingKey> {
        self.keys.get(id).map(|key| &key.public)
    }

    /// Checks that the token, the subject and the tenant of these claims are not revoked. Allocates only if subjects
    /// are revoked.
    ///
    /// # Errors
    /// The revocation that applies.
    pub fn check_revocations(&self, claims: &Claims) -> Result<(), DenialReason> {
        self.revocations.check(claims)
    }
}

fn invalid_key(jwk: &PublicJwk) -> KeySetError {
    KeySetError::InvalidKey(jwk.kid.chars().take(crate::token::MAX_NAME_BYTES).collect())
}

#[cfg(test)]
mod tests;
