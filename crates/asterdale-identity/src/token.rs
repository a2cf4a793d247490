//! The form of a token: a JWT (RFC 7519) in JWS compact form (RFC 7515), signed with Ed25519 (RFC 8037). It is
//! read whole before its signature is checked, so that whatever refuses it costs no cryptography. What is read
//! claims nothing until then.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ed25519_dalek::{Signature, VerifyingKey};
use serde::{Deserialize, Serialize};

use crate::denial::DenialReason;

/// A token is no longer, in bytes: a parameter of a request, beside which there must be room for others.
pub const MAX_TOKEN_BYTES: usize = 4096;
/// Roles that a token may carry. An office's staff has two or three.
pub const MAX_TOKEN_ROLES: usize = 8;
/// Names in a token (subject, tenant, role, ids) are no longer, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Brackets within brackets in a part. Claims need one; what is unknown may have a few.
const MAX_NESTING: usize = 8;

/// The one algorithm that is taken. `none` and the symmetric ones don't get as far as a key.
pub const ALGORITHM: &str = "EdDSA";

/// The head of a token. A field that tells how the signature is to be checked, and is not known here, must not
/// be passed over: all unknown ones are refused, `jwk`, `jku`, `x5c` and `crit` among them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JwsHeader {
    /// The algorithm.
    pub alg: String,
    /// The id of the key.
    pub kid: String,
    /// What it is a head of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub typ: Option<String>,
}

/// What a token claims. Times are Unix seconds, as RFC 7519 has them. Unknown claims are passed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    /// Who issued it.
    pub iss: String,
    /// For whom it is meant: one name, or several.
    pub aud: Audience,
    /// The subject: whom it speaks for, within the tenant.
    pub sub: String,
    /// The tenant.
    pub tenant: String,
    /// What the subject is there for.
    pub roles: Vec<String>,
    /// Not accepted from then on.
    pub exp: f64,
    /// Not accepted before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nbf: Option<f64>,
    /// When it was issued.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub iat: Option<f64>,
    /// Its own id, by which it can be revoked.
    pub jti: String,
}

/// `aud` as RFC 7519 allows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Audience {
    /// One name.
    One(String),
    /// Several.
    Several(Vec<String>),
}

impl Audience {
    /// Whether this name is meant.
    pub fn contains(&self, name: &str) -> bool {
        match self {
            Audience::One(one) => one == name,
            Audience::Several(all) => all.iter().any(|one| one == name),
        }
    }
}

/// A token as it was read, its signature not checked.
pub struct UnverifiedToken<'a> {
    /// Its head.
    pub header: JwsHeader,
    /// What it claims.
    pub claims: Claims,
    signing_input: &'a [u8],
    signature: Signature,
}

/// The three parts of the compact form, and what the signature covers.
struct CompactJws<'a> {
    header: Vec<u8>,
    payload: Vec<u8>,
    signing_input: &'a [u8],
    signature: Signature,
}

/// Takes the compact form apart. Anything but two dots (the JSON forms, with their several signatures, among
/// them) and strict base64url is malformed.
fn split_compact(text: &[u8]) -> Option<CompactJws<'_>> {
    let mut dots = text
        .iter()
        .enumerate()
        .filter(|(_, &byte)| byte == b'.')
        .map(|(at, _)| at);
    let (first, second) = (dots.next()?, dots.next()?);
    if dots.next().is_some() {
        return None;
    }
    let decode = |part: &[u8]| URL_SAFE_NO_PAD.decode(part).ok();
    let signature = decode(&text[second + 1..])?;
    Some(CompactJws {
        header: decode(&text[..first])?,
        payload: decode(&text[first + 1..second])?,
        signing_input: &text[..second],
        signature: Signature::from_slice(&signature).ok()?,
    })
}

/// Brackets within brackets, outside of strings. Counted before anything is read, so that depth costs nothing.
fn nesting_depth(json: &[u8]) -> usize {
    let (mut depth, mut deepest, mut quoted, mut escaped) = (0usize, 0, false, false);
    for &byte in json {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            _ if quoted => {}
            b'{' | b'[' => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

fn parse_json<'a, T: Deserialize<'a>>(json: &'a [u8]) -> Option<T> {
    (nesting_depth(json) <= MAX_NESTING).then(|| serde_json::from_slice(json).ok())?
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control)
}

/// Reads a token. What comes back is no more than a claim.
pub fn parse(text: &[u8]) -> Result<UnverifiedToken<'_>, DenialReason> {
    if text.len() > MAX_TOKEN_BYTES {
        return Err(DenialReason::Malformed);
    }
    let parts = split_compact(text).ok_or(DenialReason::Malformed)?;
    // The algorithm is told apart first: `none` has no key id, and its reason should be the true one.
    #[derive(Deserialize)]
    struct Algorithm {
        alg: String,
    }
    let named_alg: Algorithm = parse_json(&parts.header).ok_or(DenialReason::Malformed)?;
    if named_alg.alg != ALGORITHM {
        return Err(DenialReason::UnsupportedAlgorithm);
    }
    let head: JwsHeader = parse_json(&parts.header).ok_or(DenialReason::Malformed)?;
    if !is_valid_name(&head.kid)
        || head
            .typ
            .as_deref()
            .is_some_and(|typ| !typ.eq_ignore_ascii_case("JWT"))
    {
        return Err(DenialReason::Malformed);
    }
    let claims: Claims = parse_json(&parts.payload).ok_or(DenialReason::Malformed)?;
    let names = [&claims.iss, &claims.sub, &claims.tenant, &claims.jti];
    let sensible = names
        .into_iter()
        .chain(&claims.roles)
        .all(|name| is_valid_name(name))
        && claims.roles.len() <= MAX_TOKEN_ROLES
        && [Some(claims.exp), claims.nbf, claims.iat]
            .into_iter()
            .flatten()
            .all(f64::is_finite);
    if !sensible {
        return Err(DenialReason::Malformed);
    }
    Ok(UnverifiedToken {
        header: head,
        claims,
        signing_input: parts.signing_input,
        signature: parts.signature,
    })
}

impl UnverifiedToken<'_> {
    /// Whether this key signed it. Strict: no key of small order, and one signature only for each text.
    pub fn is_signed_by(&self, key: &VerifyingKey) -> bool {
        key.verify_strict(self.signing_input, &self.signature)
            .is_ok()
    }
}

/// Reads a signed document of another kind (a set of keys): its key id and its body, once any of these keys
/// proves to have signed it.
pub fn verify_document(
    text: &[u8],
    typ: &str,
    keys: &[VerifyingKey],
) -> Result<Vec<u8>, DenialReason> {
    let parts = split_compact(text).ok_or(DenialReason::Malformed)?;
    let head: JwsHeader = parse_json(&parts.header).ok_or(DenialReason::Malformed)?;
    if head.alg != ALGORITHM {
        return Err(DenialReason::UnsupportedAlgorithm);
    }
    if head.typ.as_deref() != Some(typ) {
        return Err(DenialReason::Malformed);
    }
    let proven = keys.iter().any(|key| {
        key.verify_strict(parts.signing_input, &parts.signature)
            .is_ok()
    });
    if !proven {
        return Err(DenialReason::BadSignature);
    }
    Ok(parts.payload)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::mint::{sign_jws, SecretKey};
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;
    use serde_json::{json, Value};

    fn claims() -> Value {
        json!({"iss": "i", "aud": ["x", "asterdale"], "sub": "s", "tenant": "t", "roles": ["clerk"],
            "exp": 2000.5, "jti": "1", "more": {"deep": [1]}})
    }

    fn made(head: Value, claims: Value) -> String {
        sign_jws(&SecretKey::from_seed([7; 32], "k"), &head, &claims)
    }

    fn reason(text: &[u8]) -> Option<DenialReason> {
        parse(text).err()
    }

    #[test]
    fn a_token_is_read_and_its_signature_belongs_to_its_text_and_key_alone() {
        let head = json!({"alg": "EdDSA", "kid": "k", "typ": "JWT"});
        let text = made(head.clone(), claims());
        let token = parse(text.as_bytes()).unwrap();
        assert!(token.claims.aud.contains("asterdale") && !token.claims.aud.contains("aster"));
        let (own, other) = (
            SecretKey::from_seed([7; 32], "k"),
            SecretKey::from_seed([8; 32], "k"),
        );
        assert!(token.is_signed_by(&own.public_key()) && !token.is_signed_by(&other.public_key()));
        let mut changed = claims();
        changed["sub"] = json!("other");
        let changed = made(head, changed);
        let (body, signature) = (
            changed.rsplit_once('.').unwrap().0,
            text.rsplit_once('.').unwrap().1,
        );
        let grafted = format!("{body}.{signature}");
        assert!(!parse(grafted.as_bytes())
            .unwrap()
            .is_signed_by(&own.public_key()));
    }

    #[test]
    fn only_the_named_algorithm_gets_as_far_as_a_key() {
        for alg in ["none", "None", "HS256", "RS256", "ES256", "eddsa", ""] {
            let text = made(json!({"alg": alg, "kid": "k"}), claims());
            assert_eq!(
                reason(text.as_bytes()),
                Some(DenialReason::UnsupportedAlgorithm),
                "{alg}"
            );
        }
    }

    #[test]
    fn a_head_that_says_how_to_check_itself_is_refused() {
        for (field, value) in [
            ("crit", json!(["exp"])),
            ("jwk", json!({"kty": "OKP"})),
            ("jku", json!("http://localhost/")),
            ("x5c", json!([])),
            ("b64", json!(false)),
            ("typ", json!("keys+jws")),
            ("kid", json!("")),
            ("kid", json!(5)),
        ] {
            let mut head = json!({"alg": "EdDSA", "kid": "k"});
            head[field] = value;
            assert_eq!(
                reason(made(head, claims()).as_bytes()),
                Some(DenialReason::Malformed),
                "{field}"
            );
        }
    }

    #[test]
    fn claims_that_are_missing_too_many_or_too_large_are_malformed() {
        let head = || json!({"alg": "EdDSA", "kid": "k"});
        let deep = (0..9).fold(json!(1), |inner, _| json!([inner]));
        for (field, value) in [
            ("iss", Value::Null),
            ("jti", Value::Null),
            ("tenant", json!("")),
            ("sub", json!("x".repeat(129))),
            ("sub", json!("a\nb")),
            ("exp", json!("soon")),
            ("exp", Value::Null),
            ("roles", json!(vec!["r"; 9])),
            ("more", deep),
            ("more", json!("x".repeat(4000))),
        ] {
            let mut all = claims();
            all[field] = value;
            assert_eq!(
                reason(made(head(), all).as_bytes()),
                Some(DenialReason::Malformed),
                "{field}"
            );
        }
        let twice = r#"{"iss":"i","aud":"a","sub":"s","sub":"t","tenant":"t","roles":[],"exp":1,"jti":"1"}"#;
        let text = crate::mint::sign_jws_bytes(
            &SecretKey::from_seed([7; 32], "k"),
            &head(),
            twice.as_bytes(),
        );
        assert_eq!(
            reason(text.as_bytes()),
            Some(DenialReason::Malformed),
            "a claim that comes twice"
        );
    }

    #[test]
    fn other_forms_are_malformed() {
        let text = made(json!({"alg": "EdDSA", "kid": "k"}), claims());
        for bad in [
            String::new(),
            format!("{text}."),
            format!(".{text}"),
            format!("{text}="),
            format!("{text} "),
            text.replacen('.', "", 1),
            format!("{{\"payload\":\"x\",\"signatures\":[{{\"signature\":\"{text}\"}}]}}"),
        ] {
            assert_eq!(
                reason(bad.as_bytes()),
                Some(DenialReason::Malformed),
                "{bad}"
            );
        }
    }

    proptest! {
        // The same cases each time: a run that fails can be run again.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]
        #[test]
        fn arbitrary_bytes_never_panic_and_never_pass(bytes: Vec<u8>, at: prop::sample::Index, bit in 0u8..8) {
            let key = SecretKey::from_seed([7; 32], "k").public_key();
            if let Ok(token) = parse(&bytes) {
                prop_assert!(!token.is_signed_by(&key));
            }
            let mut text = made(json!({"alg": "EdDSA", "kid": "k"}), claims()).into_bytes();
            let at = at.index(text.len());
            text[at] ^= 1 << bit;
            if let Ok(token) = parse(&text) {
                prop_assert!(!token.is_signed_by(&key), "one bit at {at}");
            }
        }
    }
}
