//! The issuer side: secret keys, tokens and signed key sets. It is used by the command line and by test stand-ins; a
//! backend has no secret key.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ed25519_dalek::{Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use thiserror::Error;
use zeroize::{Zeroize, ZeroizeOnDrop, Zeroizing};

use crate::keyring::{KeySet, CURVE, KEY_SET_TYPE, KEY_TYPE};
use crate::token::{Claims, ALGORITHM};

/// A signing key. The secret is zeroized on drop, and never printed.
pub struct SecretKey {
    id: String,
    key: SigningKey,
}

/// Why a secret key could not be generated or parsed. Messages name the field, never its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SecretKeyError {
    /// The system's random number generator failed.
    #[error("the system's random number generator failed: {0}")]
    Random(#[from] getrandom::Error),
    /// The text is not a private JWK.
    #[error("this is not a private JWK")]
    NotPrivateJwk,
    /// The key is of another type or curve.
    #[error("kty, crv: only OKP and Ed25519 are supported")]
    UnsupportedKeyType,
    /// The secret is not encoded in base64url.
    #[error("d: this is not base64url")]
    InvalidEncoding,
    /// The secret is not 32 bytes long.
    #[error("d: this is not 32 bytes long")]
    InvalidLength,
    /// The public key does not belong to the secret.
    #[error("x: this is not the public key of d")]
    PublicKeyMismatch,
}

/// A secret key as a file contains it: a JWK of RFC 8037.
#[derive(Serialize, Deserialize, Zeroize, ZeroizeOnDrop)]
struct SecretJwk {
    kty: String,
    crv: String,
    kid: String,
    #[serde(rename = "x")]
    public_key: String,
    #[serde(rename = "d")]
    secret_key: String,
}

impl std::fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "SecretKey({})", self.id)
    }
}

impl SecretKey {
    /// The key with these secret bytes.
    pub fn from_seed(seed: [u8; 32], id: &str) -> SecretKey {
        let seed = Zeroizing::new(seed);
        SecretKey {
            id: id.to_owned(),
            key: SigningKey::from_bytes(&seed),
        }
    }

    /// A new key, from the system's random number generator.
    ///
    /// # Errors
    /// [`SecretKeyError::Random`].
    pub fn generate(id: &str) -> Result<SecretKey, SecretKeyError> {
        let mut seed = Zeroizing::new([0; 32]);
        getrandom::fill(seed.as_mut())?;
        Ok(SecretKey {
            id: id.to_owned(),
            key: SigningKey::from_bytes(&seed),
        })
    }

    /// The key id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The public key.
    pub fn public_key(&self) -> VerifyingKey {
        self.key.verifying_key()
    }

    /// The public key in base64url, as start files and key sets contain it.
    pub fn public_key_text(&self) -> String {
        URL_SAFE_NO_PAD.encode(self.public_key().as_bytes())
    }

    /// The text of the key file, which contains the secret.
    pub fn to_jwk(&self) -> Zeroizing<String> {
        let secret = Zeroizing::new(self.key.to_bytes());
        let jwk = SecretJwk {
            kty: KEY_TYPE.to_owned(),
            crv: CURVE.to_owned(),
            kid: self.id.clone(),
            public_key: self.public_key_text(),
            secret_key: URL_SAFE_NO_PAD.encode(secret.as_ref()),
        };
        Zeroizing::new(serde_json::to_string_pretty(&jwk).unwrap_or_default())
    }

    /// Parses the text of a key file.
    ///
    /// # Errors
    /// [`SecretKeyError`], without any content of the file.
    pub fn from_jwk(text: &str) -> Result<SecretKey, SecretKeyError> {
        let jwk: SecretJwk =
            serde_json::from_str(text).map_err(|_| SecretKeyError::NotPrivateJwk)?;
        if jwk.kty != KEY_TYPE || jwk.crv != CURVE {
            return Err(SecretKeyError::UnsupportedKeyType);
        }
        let decoded = URL_SAFE_NO_PAD
            .decode(&jwk.secret_key)
            .map_err(|_| SecretKeyError::InvalidEncoding)?;
        let bytes = Zeroizing::new(decoded);
        let seed =
            <[u8; 32]>::try_from(bytes.as_slice()).map_err(|_| SecretKeyError::InvalidLength)?;
        let secret = SecretKey::from_seed(seed, &jwk.kid);
        if secret.public_key_text() != jwk.public_key {
            return Err(SecretKeyError::PublicKeyMismatch);
        }
        Ok(secret)
    }

    /// Signs a token with these claims.
    pub fn sign_token(&self, claims: &Claims) -> String {
        self.sign_typed("JWT", &json!(claims))
    }

    /// Signs a key set. Servers accept it if this key is a root key.
    pub fn sign_key_set(&self, set: &KeySet) -> String {
        self.sign_typed(KEY_SET_TYPE, &json!(set))
    }

    fn sign_typed(&self, media_type: &str, payload: &Value) -> String {
        let header = json!({"alg": ALGORITHM, "kid": self.id, "typ": media_type});
        sign_jws(self, &header, payload)
    }
}

/// Signs a JWS in compact serialization. The header is not checked.
pub fn sign_jws(key: &SecretKey, header: &Value, payload: &Value) -> String {
    sign_jws_bytes(key, header, payload.to_string().as_bytes())
}

/// As [`sign_jws`], with a payload that need not be JSON.
pub fn sign_jws_bytes(key: &SecretKey, header: &Value, payload: &[u8]) -> String {
    let mut text = URL_SAFE_NO_PAD.encode(header.to_string());
    text.push('.');
    URL_SAFE_NO_PAD.encode_string(payload, &mut text);
    let signature = key.key.sign(text.as_bytes());
    text.push('.');
    URL_SAFE_NO_PAD.encode_string(signature.to_bytes(), &mut text);
    text
}
