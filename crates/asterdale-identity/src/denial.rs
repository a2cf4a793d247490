//! Reasons for which a caller is denied, and the status of the response.

use thiserror::Error;

/// Why a caller was denied. Logs carry the variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DenialReason {
    /// There is neither a token nor a certificate.
    #[error("the request carries neither a token nor a certificate")]
    MissingCredentials,
    /// The token cannot be parsed, or breaks a limit.
    #[error("the token is malformed")]
    Malformed,
    /// The token's algorithm is not [`crate::token::ALGORITHM`].
    #[error("the token's algorithm is not supported")]
    UnsupportedAlgorithm,
    /// No key set so far contained the token's key.
    #[error("the token's key is unknown")]
    KeyUnknown,
    /// The token's key is announced, but not active yet.
    #[error("the token's key is not active yet")]
    KeyNotYetActive,
    /// The token's key is retired.
    #[error("the token's key is retired")]
    KeyRetired,
    /// The token's key is revoked.
    #[error("the token's key is revoked")]
    KeyRevoked,
    /// The signature was not made with the token's key.
    #[error("the token's signature is invalid")]
    BadSignature,
    /// The token or certificate is not valid yet.
    #[error("the credentials are not valid yet")]
    NotYetValid,
    /// The token or certificate has expired.
    #[error("the credentials have expired")]
    Expired,
    /// The token was issued by another issuer.
    #[error("the token was issued by another issuer")]
    WrongIssuer,
    /// The token is meant for another audience.
    #[error("the token is meant for another audience")]
    WrongAudience,
    /// No certificate mapping contains any of the certificate's names.
    #[error("no name of the certificate is mapped to a caller")]
    UnknownCertificate,
    /// The token or certificate itself is revoked.
    #[error("the credentials are revoked")]
    TokenRevoked,
    /// The subject is revoked.
    #[error("the subject is revoked")]
    SubjectRevoked,
    /// The tenant is revoked.
    #[error("the tenant is revoked")]
    TenantRevoked,
    /// The settings contain no tenant of this name.
    #[error("the tenant is unknown")]
    UnknownTenant,
    /// The tenant is granted none of the caller's roles.
    #[error("the tenant is granted none of the caller's roles")]
    RoleNotGranted,
    /// None of the caller's roles permits the request class.
    #[error("no role of the caller permits the request class")]
    RequestClassNotAllowed,
    /// The declared cost exceeds the role's limit.
    #[error("the declared cost exceeds the role's limit")]
    CostNotAllowed,
    /// The tenant has reached the role's limit of concurrent requests.
    #[error("the tenant has reached the role's concurrency limit")]
    ConcurrencyQuota,
    /// The tenant has exceeded the role's request rate.
    #[error("the tenant has exceeded the role's request rate")]
    RateQuota,
    /// There is no key set, or it is too old.
    #[error("there is no usable key set")]
    NoUsableKeySet,
    /// The signature budget of the edge node, or of all edge nodes together, is used up.
    #[error("the signature budget is used up")]
    SignatureBudget,
}

/// The status of the response to a denied caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialStatus {
    /// 401: not authenticated. Says nothing about whether an earlier attempt ran.
    Unauthenticated,
    /// 403: authenticated, but not permitted. Says nothing about whether an earlier attempt ran.
    Forbidden,
    /// 429: permitted, but over the quota. This attempt did not run.
    QuotaExceeded,
    /// 503: no decision is possible now. This attempt did not run.
    Unavailable,
}

/// A denial, with the time after which a retry may succeed.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("{reason}")]
pub struct Denial {
    /// The reason.
    pub reason: DenialReason,
    /// When to retry, in milliseconds from now; 0 for no advice.
    pub retry_after_ms: f64,
}

impl From<DenialReason> for Denial {
    fn from(reason: DenialReason) -> Denial {
        Denial {
            reason,
            retry_after_ms: 0.0,
        }
    }
}

impl DenialReason {
    /// The status of the response to the caller.
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

    /// Whether the denial of a token may be cached until the next key set, which requires that the denial does not
    /// depend on when the token was received. Reasons that depend on the time are not cacheable: a request that is read
    /// late may have been received before the expiry.
    pub(crate) fn is_cacheable(self) -> bool {
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
