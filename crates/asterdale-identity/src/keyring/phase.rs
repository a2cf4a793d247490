//! The phases of a key, as a function of its times.

use ed25519_dalek::VerifyingKey;

use super::key_set::{parse_public_key, PublicJwk, CURVE, KEY_TYPE};
use crate::failpoint::{self, Failpoint};
use crate::token::MAX_NAME_BYTES;

/// The phase of a key's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Published, but not used for signing yet.
    Announced,
    /// Used for signing.
    Active,
    /// Replaced by another key, but still accepted until the overlap ends.
    Outgoing,
    /// The overlap has ended, or the last set does not contain the key any more.
    Retired,
    /// Permanently distrusted.
    Revoked,
}

/// A key of the last adopted set, with its times in Unix milliseconds.
pub(super) struct ScheduledKey {
    pub public: VerifyingKey,
    active_from_ms: f64,
    /// The time of retirement, if the set has one.
    retired_from_ms: Option<f64>,
}

impl ScheduledKey {
    /// `None` if the key is of another type, weak or malformed, or its id is empty or too long.
    pub fn from_jwk(jwk: &PublicJwk) -> Option<ScheduledKey> {
        let is_supported = jwk.kty == KEY_TYPE
            && jwk.crv == CURVE
            && (1..=MAX_NAME_BYTES).contains(&jwk.kid.len());
        Some(ScheduledKey {
            public: parse_public_key(&jwk.public_key).filter(|_| is_supported)?,
            active_from_ms: jwk.from_ms,
            retired_from_ms: jwk.until_ms,
        })
    }

    /// The phase at a time. Revocations are not considered; [`super::Keyring::phase`] does that.
    pub fn phase(&self, time_ms: f64) -> Phase {
        let is_retired = self
            .retired_from_ms
            .is_some_and(|from_ms| time_ms >= from_ms);
        if is_retired && !failpoint::is_active(Failpoint::Overlap) {
            Phase::Retired
        } else if time_ms < self.active_from_ms {
            Phase::Announced
        } else if self.retired_from_ms.is_some() {
            Phase::Outgoing
        } else {
            Phase::Active
        }
    }
}
