//! Parsing of tokens: JWTs (RFC 7519) in JWS compact serialization. A token is parsed completely before its signature
//! is verified, so that a rejection for any other reason costs no cryptography. The content must not be trusted before
//! the signature is verified.

use ed25519_dalek::VerifyingKey;
use serde::{Deserialize, Serialize};

use crate::denial::DenialReason;
use crate::json_depth::parse_json;
use crate::jws::CompactJws;

pub use crate::jws::{JwsHeader, ALGORITHM};

/// The maximum length of a token, in bytes. A token is one parameter of a request, and the other parameters must fit
/// beside it.
pub const MAX_TOKEN_BYTES: usize = 4096;
/// The maximum number of roles in a token. The staff of an office has two or three.
pub const MAX_TOKEN_ROLES: usize = 8;
/// The maximum length of a name in a token (subject, tenant, role, ids), in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The claims of a token. Times are Unix seconds, as in RFC 7519. Unknown claims are ignored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    /// The issuer.
    pub iss: String,
    /// The audience.
    pub aud: Audience,
    /// The subject, unique within the tenant.
    pub sub: String,
    /// The tenant.
    pub tenant: String,
    /// The roles.
    pub roles: Vec<String>,
    /// The expiry time, from which on the token is not accepted.
    pub exp: f64,
    /// The time before which the token is not accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nbf: Option<f64>,
    /// The time of issue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub iat: Option<f64>,
    /// The token's own id, by which it can be revoked.
    pub jti: String,
}

/// The claim `aud`, in both forms of RFC 7519.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Audience {
    /// One name.
    One(String),
    /// Several names.
    Several(Vec<String>),
}

impl Audience {
    /// Whether `name` is part of the audience.
    pub fn contains(&self, name: &str) -> bool {
        match self {
            Audience::One(one) => one == name,
            Audience::Several(all) => all.iter().any(|one| one == name),
        }
    }
}

/// A parsed token, whose signature is not verified yet.
pub struct UnverifiedToken<'a> {
    /// The header.
    pub header: JwsHeader,
    /// The claims.
    pub claims: Claims,
    jws: CompactJws<'a>,
}

impl UnverifiedToken<'_> {
    /// Whether this key signed the token.
    pub fn is_signed_by(&self, key: &VerifyingKey) -> bool {
        self.jws.is_signed_by(key)
    }
}

/// Parses a token without verifying its signature.
///
/// # Errors
/// [`DenialReason::Malformed`], or [`DenialReason::UnsupportedAlgorithm`].
pub fn parse(text: &[u8]) -> Result<UnverifiedToken<'_>, DenialReason> {
    if text.len() > MAX_TOKEN_BYTES {
        return Err(DenialReason::Malformed);
    }
    let jws = CompactJws::decode(text).ok_or(DenialReason::Malformed)?;
    let header = parse_header(&jws.header)?;
    let claims: Claims = parse_json(&jws.payload).ok_or(DenialReason::Malformed)?;
    if !are_valid_claims(&claims) {
        return Err(DenialReason::Malformed);
    }
    Ok(UnverifiedToken {
        header,
        claims,
        jws,
    })
}

/// The algorithm is parsed separately first: a header with the algorithm `none` lacks a key id, but is to be denied
/// because of the algorithm.
fn parse_header(json: &[u8]) -> Result<JwsHeader, DenialReason> {
    #[derive(Deserialize)]
    struct Algorithm {
        alg: String,
    }
    let algorithm: Algorithm = parse_json(json).ok_or(DenialReason::Malformed)?;
    if algorithm.alg != ALGORITHM {
        return Err(DenialReason::UnsupportedAlgorithm);
    }
    let header: JwsHeader = parse_json(json).ok_or(DenialReason::Malformed)?;
    let is_jwt = header
        .typ
        .as_deref()
        .is_none_or(|media_type| media_type.eq_ignore_ascii_case("JWT"));
    if !is_jwt || !is_valid_name(&header.kid) {
        return Err(DenialReason::Malformed);
    }
    Ok(header)
}

fn are_valid_claims(claims: &Claims) -> bool {
    let names = [&claims.iss, &claims.sub, &claims.tenant, &claims.jti];
    let times = [Some(claims.exp), claims.nbf, claims.iat];
    names
        .into_iter()
        .chain(&claims.roles)
        .all(|name| is_valid_name(name))
        && claims.roles.len() <= MAX_TOKEN_ROLES
        && times.into_iter().flatten().all(f64::is_finite)
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control)
}
