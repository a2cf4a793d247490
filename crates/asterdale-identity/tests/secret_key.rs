//! Key files.

use asterdale_identity::mint::SecretKey;

#[test]
fn a_secret_key_is_read_back_from_its_file_and_never_printed() {
    let secret = SecretKey::generate("k1").unwrap();
    let text = secret.to_jwk();
    let again = SecretKey::from_jwk(&text).unwrap();
    assert_eq!(
        (again.id(), again.public_key()),
        ("k1", secret.public_key())
    );
    assert_eq!(format!("{secret:?}"), "SecretKey(k1)");
    let other = SecretKey::generate("k1").unwrap();
    let mismatch = text.replace(&secret.public_key_text(), &other.public_key_text());
    assert!(SecretKey::from_jwk(&mismatch)
        .unwrap_err()
        .to_string()
        .starts_with("x: "));
    assert!(SecretKey::from_jwk("{}").is_err());
}
