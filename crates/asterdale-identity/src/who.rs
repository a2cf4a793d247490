//! Who is calling, and why a caller was turned away: the words that all parts of this package share.

use serde::{Deserialize, Serialize};

use crate::token::Claims;

/// Why a caller was turned away. In the words of the log and the counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// There is neither a token nor a certificate.
    Missing,
    /// It can't be read, or has more or less than a token may have.
    Malformed,
    /// Its algorithm is not the one that is taken.
    Algorithm,
    /// No set has held its key.
    KeyUnknown,
    /// Its key does not sign yet.
    KeyEarly,
    /// Its key's overlap has ended.
    KeyRetired,
    /// Its key is revoked.
    KeyRevoked,
    /// Its signature is not by its key.
    Signature,
    /// It is not valid yet.
    Early,
    /// It is not valid any more.
    Expired,
    /// Another issuer made it.
    Issuer,
    /// It is meant for others.
    Audience,
    /// Nobody is known by any name of the certificate.
    CertificateName,
    /// It is revoked itself.
    TokenRevoked,
    /// Its subject is.
    SubjectRevoked,
    /// Its tenant is.
    TenantRevoked,
    /// No tenant of this name is known here.
    Tenant,
    /// None of its roles is one that the tenant's people may have.
    Role,
    /// None of its roles may ask for this stage.
    Stage,
    /// It claims a larger cost than its role may.
    Hint,
    /// The tenant has as many tasks open in this role as it may.
    Open,
    /// The tenant's tasks in this role come faster than they may.
    Rate,
    /// There is no set of keys, or it is too old.
    NoKeys,
    /// Its edge node has used up the signatures that may be checked for it now.
    Busy,
}

/// What is said to a caller that is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// 401: not known. Of the kind 'abandoned': nothing is said of whether anything ran.
    Unknown,
    /// 403: known, and not allowed. Likewise.
    Forbidden,
    /// 429: allowed, and too much for now. This try never ran.
    Over,
    /// 503: can't be told now. This try never ran.
    Unable,
}

impl Why {
    /// What is said.
    pub fn kind(self) -> Kind {
        use Why::*;
        match self {
            Tenant | Role | Stage | Hint => Kind::Forbidden,
            Open | Rate => Kind::Over,
            NoKeys | Busy => Kind::Unable,
            _ => Kind::Unknown,
        }
    }

    /// Whether the same bytes will be refused for it until the next set of keys comes, whenever they arrived.
    /// What is over by time is not among it: a task that is read late may have come before that.
    pub(crate) fn lasts(self) -> bool {
        use Why::*;
        matches!(
            self,
            Malformed
                | Algorithm
                | KeyRevoked
                | Signature
                | Issuer
                | Audience
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
