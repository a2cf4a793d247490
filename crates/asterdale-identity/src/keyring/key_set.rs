//! The payload of a signed key set: public keys with times, a sequence number and revocations. It is JSON in files and
//! on the wire; its field names are part of that format.

use std::collections::HashSet;

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ed25519_dalek::VerifyingKey;
use serde::{Deserialize, Serialize};

use crate::denial::DenialReason;
use crate::token::Claims;

/// The media type (`typ`) in the header of a signed key set.
pub const KEY_SET_TYPE: &str = "asterdale-keys+jws";
/// The maximum length of a signed key set, in bytes. It also limits a response of the issuer.
pub const MAX_KEY_SET_BYTES: usize = 64 * 1024;
/// The maximum number of keys in a set. A rotation needs three: announced, active and outgoing.
pub const MAX_KEYS: usize = 16;
/// The maximum number of revocations of one kind in a set: about as many as fit into [`MAX_KEY_SET_BYTES`]. Few are
/// needed where tokens expire within minutes.
const MAX_REVOCATIONS_PER_KIND: usize = 4096;
/// The key type (`kty`) of RFC 8037.
pub(crate) const KEY_TYPE: &str = "OKP";
/// The curve (`crv`) of RFC 8037 that is supported.
pub(crate) const CURVE: &str = "Ed25519";

/// A key set. Times are Unix milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySet {
    /// The sequence number, which increases with each set that is signed.
    pub seq: u64,
    /// When the set was signed.
    pub issued_ms: f64,
    /// The keys.
    pub keys: Vec<PublicJwk>,
    /// The revocations.
    #[serde(default)]
    pub revoked: Revocations,
}

/// A public key: a JWK of RFC 8037, with times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublicJwk {
    /// The key type, `OKP`.
    pub kty: String,
    /// The curve, `Ed25519`.
    pub crv: String,
    /// The key id.
    pub kid: String,
    /// The public key (`x`): 32 bytes in base64url.
    #[serde(rename = "x")]
    pub public_key: String,
    /// When the key becomes active.
    pub from_ms: f64,
    /// When the key is retired, the end of its overlap with the next one; `None` while no next one is active.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until_ms: Option<f64>,
}

impl PublicJwk {
    /// A key that becomes active at `from_ms`. `public_key` is not checked.
    pub(super) fn new(kid: &str, public_key: &str, from_ms: f64) -> PublicJwk {
        PublicJwk {
            kty: KEY_TYPE.to_owned(),
            crv: CURVE.to_owned(),
            kid: kid.to_owned(),
            public_key: public_key.to_owned(),
            from_ms,
            until_ms: None,
        }
    }
}

/// What a key set revokes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Revocations {
    /// Token ids (`jti`), and SHA-256 of certificates.
    pub tokens: HashSet<String>,
    /// Subjects, each as `tenant/subject`.
    pub subjects: HashSet<String>,
    /// Tenants.
    pub tenants: HashSet<String>,
    /// Key ids.
    pub keys: HashSet<String>,
}

impl Revocations {
    pub(super) fn is_within_limits(&self) -> bool {
        [&self.tokens, &self.subjects, &self.tenants, &self.keys]
            .iter()
            .all(|names| names.len() <= MAX_REVOCATIONS_PER_KIND)
    }

    /// Checks claims against the revocations of tenants, subjects and tokens, in this order.
    pub(super) fn check(&self, claims: &Claims) -> Result<(), DenialReason> {
        if self.tenants.contains(&claims.tenant) {
            return Err(DenialReason::TenantRevoked);
        }
        // The name is formatted only if subjects are revoked, as formatting allocates.
        let is_subject_revoked = !self.subjects.is_empty()
            && self
                .subjects
                .contains(&format!("{}/{}", claims.tenant, claims.sub));
        if is_subject_revoked {
            return Err(DenialReason::SubjectRevoked);
        }
        if self.tokens.contains(&claims.jti) {
            return Err(DenialReason::TokenRevoked);
        }
        Ok(())
    }
}

/// Parses a public key from base64url. `None` if it is invalid, or weak (of small order).
pub fn parse_public_key(text: &str) -> Option<VerifyingKey> {
    let bytes: [u8; 32] = URL_SAFE_NO_PAD.decode(text).ok()?.try_into().ok()?;
    VerifyingKey::from_bytes(&bytes)
        .ok()
        .filter(|key| !key.is_weak())
}
