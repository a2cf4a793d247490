//! The issuer's side: secret keys, tokens and signed sets of keys. For the command line and for stand-ins; a
//! serving process has no secret.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ed25519_dalek::{Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use zeroize::{Zeroize, ZeroizeOnDrop, Zeroizing};

use crate::keyring::{KeySet, KEY_SET_TYPE};
use crate::token::{Claims, ALGORITHM};

/// A key that signs. Its secret half is wiped when it is dropped, and never printed.
pub struct SecretKey {
    id: String,
    key: SigningKey,
}

/// A secret key as a file holds it: a JWK of RFC 8037.
#[derive(Serialize, Deserialize, Zeroize, ZeroizeOnDrop)]
struct SecretJwk {
    kty: String,
    crv: String,
    kid: String,
    x: String,
    d: String,
}

impl std::fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Secret({})", self.id)
    }
}

impl SecretKey {
    /// The key that these bytes make.
    pub fn from_seed(seed: [u8; 32], id: &str) -> SecretKey {
        let seed = Zeroizing::new(seed);
        SecretKey {
            id: id.to_owned(),
            key: SigningKey::from_bytes(&seed),
        }
    }

    /// A new key, from the system's source of chance.
    pub fn generate(id: &str) -> Result<SecretKey, String> {
        let mut seed = Zeroizing::new([0; 32]);
        getrandom::fill(seed.as_mut()).map_err(|e| format!("no random bytes: {e}"))?;
        Ok(SecretKey {
            id: id.to_owned(),
            key: SigningKey::from_bytes(&seed),
        })
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Its public half.
    pub fn public_key(&self) -> VerifyingKey {
        self.key.verifying_key()
    }

    /// Its public half as start files and sets of keys hold it.
    pub fn public_key_text(&self) -> String {
        URL_SAFE_NO_PAD.encode(self.public_key().as_bytes())
    }

    /// The text of its file, which tells the secret.
    pub fn to_jwk(&self) -> Zeroizing<String> {
        let secret = Zeroizing::new(self.key.to_bytes());
        let jwk = SecretJwk {
            kty: "OKP".to_owned(),
            crv: "Ed25519".to_owned(),
            kid: self.id.clone(),
            x: self.public_key_text(),
            d: URL_SAFE_NO_PAD.encode(secret.as_ref()),
        };
        Zeroizing::new(serde_json::to_string_pretty(&jwk).unwrap_or_default())
    }

    /// Reads such a text. An error names the field, never its content.
    pub fn from_jwk(text: &str) -> Result<SecretKey, String> {
        let jwk: SecretJwk =
            serde_json::from_str(text).map_err(|_| "this is no private JWK".to_owned())?;
        if jwk.kty != "OKP" || jwk.crv != "Ed25519" {
            return Err("kty, crv: OKP and Ed25519 are wanted".to_owned());
        }
        let bytes = Zeroizing::new(
            URL_SAFE_NO_PAD
                .decode(&jwk.d)
                .map_err(|_| "d: base64url is wanted")?,
        );
        let seed = <[u8; 32]>::try_from(bytes.as_slice()).map_err(|_| "d: 32 bytes are wanted")?;
        let secret = SecretKey::from_seed(seed, &jwk.kid);
        if secret.public_key_text() != jwk.x {
            return Err("x: this is not the public half of d".to_owned());
        }
        Ok(secret)
    }

    /// A token with these claims.
    pub fn sign_token(&self, claims: &Claims) -> String {
        sign_jws(
            self,
            &json!({"alg": ALGORITHM, "kid": self.id, "typ": "JWT"}),
            &json!(claims),
        )
    }

    /// A set of keys, signed. The key is a root.
    pub fn sign_key_set(&self, set: &KeySet) -> String {
        sign_jws(
            self,
            &json!({"alg": ALGORITHM, "kid": self.id, "typ": KEY_SET_TYPE}),
            &json!(set),
        )
    }
}

/// A JWS in compact form, whatever its head says.
pub fn sign_jws(secret: &SecretKey, head: &Value, body: &Value) -> String {
    sign_jws_bytes(secret, head, body.to_string().as_bytes())
}

/// The same with a body that need not be JSON.
pub fn sign_jws_bytes(secret: &SecretKey, head: &Value, body: &[u8]) -> String {
    let mut text = URL_SAFE_NO_PAD.encode(head.to_string());
    text.push('.');
    URL_SAFE_NO_PAD.encode_string(body, &mut text);
    let signature = secret.key.sign(text.as_bytes());
    text.push('.');
    URL_SAFE_NO_PAD.encode_string(signature.to_bytes(), &mut text);
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_secret_comes_back_from_its_file_and_is_never_shown() {
        let secret = SecretKey::generate("k1").unwrap();
        let text = secret.to_jwk();
        let again = SecretKey::from_jwk(&text).unwrap();
        assert_eq!(
            (again.id(), again.public_key()),
            ("k1", secret.public_key())
        );
        assert_eq!(format!("{secret:?}"), "Secret(k1)");
        let other = SecretKey::generate("k1").unwrap();
        let wrong = text.replace(&secret.public_key_text(), &other.public_key_text());
        assert!(SecretKey::from_jwk(&wrong).unwrap_err().starts_with("x: "));
        assert!(SecretKey::from_jwk("{}").is_err());
    }
}
