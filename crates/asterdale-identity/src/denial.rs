//! Who is calling, and why a caller was turned away: the words that all parts of this package share.

use serde::{Deserialize, Serialize};

use crate::token::Claims;

/// Why a caller was turned away. In the words of the log and the counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialReason {
    /// There is neither a token nor a certificate.
    MissingCredentials,
    /// It can't be read, or has more or less than a token may have.
    Malformed,
    /// Its algorithm is not the one that is taken.
    UnsupportedAlgorithm,
    /// No set has held its key.
    KeyUnknown,
    /// Its key does not sign yet.
    KeyNotYetActive,
    /// Its key's overlap has ended.
    KeyRetired,
    /// Its key is revoked.
    KeyRevoked,
    /// Its signature is not by its key.
    BadSignature,
    /// It is not valid yet.
    NotYetValid,
    /// It is not valid any more.
    Expired,
    /// Another issuer made it.
    WrongIssuer,
    /// It is meant for others.
    WrongAudience,
    /// Nobody is known by any name of the certificate.
    UnknownCertificate,
    /// It is revoked itself.
    TokenRevoked,
    /// Its subject is.
    SubjectRevoked,
    /// Its tenant is.
    TenantRevoked,
    /// No tenant of this name is known here.
    UnknownTenant,
    /// None of its roles is one that the tenant's people may have.
    RoleNotGranted,
    /// None of its roles may ask for this stage.
    RequestClassNotAllowed,
    /// It claims a larger cost than its role may.
    CostNotAllowed,
    /// The tenant has as many tasks open in this role as it may.
    ConcurrencyQuota,
    /// The tenant's tasks in this role come faster than they may.
    RateQuota,
    /// There is no set of keys, or it is too old.
    NoUsableKeySet,
    /// Its edge node has used up the signatures that may be checked for it now.
    SignatureBudget,
}

/// What is said to a caller that is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialStatus {
    /// 401: not known. Of the kind 'abandoned': nothing is said of whether anything ran.
    Unauthenticated,
    /// 403: known, and not allowed. Likewise.
    Forbidden,
    /// 429: allowed, and too much for now. This try never ran.
    QuotaExceeded,
    /// 503: can't be told now. This try never ran.
    Unavailable,
}

impl DenialReason {
    /// What is said.
    pub fn status(self) -> DenialStatus {
        use DenialReason::*;
        match self {
            UnknownTenant | RoleNotGranted | RequestClassNotAllowed | CostNotAllowed => {
                DenialStatus::Forbidden
            }
            ConcurrencyQuota | RateQuota => DenialStatus::QuotaExceeded,
            NoUsableKeySet | SignatureBudget => DenialStatus::Unavailable,
            _ => DenialStatus::Unauthenticated,
        }
    }

    /// Whether the same bytes will be refused for it until the next set of keys comes, whenever they arrived.
    /// What is over by time is not among it: a task that is read late may have come before that.
    pub(crate) fn lasts_until_next_key_set(self) -> bool {
        use DenialReason::*;
        matches!(
            self,
            Malformed
                | UnsupportedAlgorithm
                | KeyRevoked
                | BadSignature
                | WrongIssuer
                | WrongAudience
                | TokenRevoked
                | SubjectRevoked
                | TenantRevoked
        )
    }
}

/// Who is calling: a token that was proven.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Caller {
    /// The tenant's number, which no other tenant has in the life of this process.
    pub tenant: u32,
    /// The key that signed; a certificate's caller has none.
    pub key: Option<String>,
    /// What the token says, or what the start file says of the certificate.
    pub claims: Claims,
}

impl Caller {
    #[cfg(test)]
    pub(crate) fn for_tests(tenant: u32, jti: &str) -> Caller {
        let text = |text: &str| text.to_owned();
        let aud = crate::token::Audience::One(text("asterdale"));
        let (iss, sub, name, jti) = (text("i"), text("s"), tenant.to_string(), text(jti));
        let claims = Claims {
            iss,
            aud,
            sub,
            tenant: name,
            roles: vec![],
            exp: 1e9,
            nbf: None,
            iat: None,
            jti,
        };
        Caller {
            tenant,
            key: Some(text("k")),
            claims,
        }
    }
}
