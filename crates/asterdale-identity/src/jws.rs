//! JWS compact serialization (RFC 7515), signed with Ed25519 (RFC 8037).

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ed25519_dalek::{Signature, VerifyingKey};
use serde::{Deserialize, Serialize};

use crate::json_depth::parse_json;

/// The only supported algorithm. `none` and the symmetric ones are rejected before a key is looked up.
pub const ALGORITHM: &str = "EdDSA";

/// The protected header. Unknown fields are rejected, among them `jwk`, `jku`, `x5c` and `crit`: a field that says how
/// the signature is to be verified must not be ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JwsHeader {
    /// The algorithm.
    pub alg: String,
    /// The id of the key.
    pub kid: String,
    /// The media type of the document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub typ: Option<String>,
}

/// A decoded compact serialization, whose signature is not verified yet.
pub(crate) struct CompactJws<'a> {
    pub header: Vec<u8>,
    pub payload: Vec<u8>,
    /// The bytes that the signature covers.
    signing_input: &'a [u8],
    signature: Signature,
}

/// Why a signed document was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JwsError {
    /// The document is not a compact serialization of the expected type and algorithm.
    Malformed,
    /// None of the keys has signed the document.
    UntrustedSigner,
}

impl<'a> CompactJws<'a> {
    /// Splits and decodes the three parts. `None` unless the text consists of three parts in unpadded base64url,
    /// separated by dots. The JSON serializations, which allow several signatures, are not supported.
    pub fn decode(text: &'a [u8]) -> Option<CompactJws<'a>> {
        let mut dots = text
            .iter()
            .enumerate()
            .filter(|(_, &byte)| byte == b'.')
            .map(|(position, _)| position);
        let (first_dot, second_dot) = (dots.next()?, dots.next()?);
        if dots.next().is_some() {
            return None;
        }
        let decode = |part: &[u8]| URL_SAFE_NO_PAD.decode(part).ok();
        let signature = decode(&text[second_dot + 1..])?;
        Some(CompactJws {
            header: decode(&text[..first_dot])?,
            payload: decode(&text[first_dot + 1..second_dot])?,
            signing_input: &text[..second_dot],
            signature: Signature::from_slice(&signature).ok()?,
        })
    }

    /// Whether this key made the signature. The check is strict: keys of small order and malleable signatures fail.
    pub fn is_signed_by(&self, key: &VerifyingKey) -> bool {
        key.verify_strict(self.signing_input, &self.signature)
            .is_ok()
    }
}

/// Verifies a document of the media type `media_type` and returns its payload.
///
/// # Errors
/// [`JwsError`], also if none of `keys` has signed it.
pub(crate) fn verify_document(
    text: &[u8],
    media_type: &str,
    keys: &[VerifyingKey],
) -> Result<Vec<u8>, JwsError> {
    let jws = CompactJws::decode(text).ok_or(JwsError::Malformed)?;
    let header: JwsHeader = parse_json(&jws.header).ok_or(JwsError::Malformed)?;
    if header.alg != ALGORITHM || header.typ.as_deref() != Some(media_type) {
        return Err(JwsError::Malformed);
    }
    if !keys.iter().any(|key| jws.is_signed_by(key)) {
        return Err(JwsError::UntrustedSigner);
    }
    Ok(jws.payload)
}
