//! Parsing of tokens.

use asterdale_identity::mint::{sign_jws, sign_jws_bytes, SecretKey};
use asterdale_identity::token::parse;
use asterdale_identity::DenialReason;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

fn claims() -> Value {
    json!({"iss": "i", "aud": ["x", "asterdale"], "sub": "s", "tenant": "t", "roles": ["clerk"],
        "exp": 2000.5, "jti": "1", "more": {"deep": [1]}})
}

fn signed(header: Value, claims: Value) -> String {
    sign_jws(&SecretKey::from_seed([7; 32], "k"), &header, &claims)
}

fn parse_error(text: &[u8]) -> Option<DenialReason> {
    parse(text).err()
}

#[test]
fn a_signature_is_valid_for_its_text_and_key_only() {
    let head = json!({"alg": "EdDSA", "kid": "k", "typ": "JWT"});
    let text = signed(head.clone(), claims());
    let token = parse(text.as_bytes()).unwrap();
    assert!(token.claims.aud.contains("asterdale") && !token.claims.aud.contains("aster"));
    let (own, other) = (
        SecretKey::from_seed([7; 32], "k"),
        SecretKey::from_seed([8; 32], "k"),
    );
    assert!(token.is_signed_by(&own.public_key()) && !token.is_signed_by(&other.public_key()));
    let mut changed = claims();
    changed["sub"] = json!("other");
    let changed = signed(head, changed);
    let (body, signature) = (
        changed.rsplit_once('.').unwrap().0,
        text.rsplit_once('.').unwrap().1,
    );
    let with_other_signature = format!("{body}.{signature}");
    assert!(!parse(with_other_signature.as_bytes())
        .unwrap()
        .is_signed_by(&own.public_key()));
}

#[test]
fn other_algorithms_are_rejected() {
    for alg in ["none", "None", "HS256", "RS256", "ES256", "eddsa", ""] {
        let text = signed(json!({"alg": alg, "kid": "k"}), claims());
        assert_eq!(
            parse_error(text.as_bytes()),
            Some(DenialReason::UnsupportedAlgorithm),
            "{alg}"
        );
    }
}

#[test]
fn unknown_header_fields_are_rejected() {
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
            parse_error(signed(head, claims()).as_bytes()),
            Some(DenialReason::Malformed),
            "{field}"
        );
    }
}

#[test]
fn invalid_claims_are_malformed() {
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
            parse_error(signed(head(), all).as_bytes()),
            Some(DenialReason::Malformed),
            "{field}"
        );
    }
    let duplicate_claim =
        r#"{"iss":"i","aud":"a","sub":"s","sub":"t","tenant":"t","roles":[],"exp":1,"jti":"1"}"#;
    let text = sign_jws_bytes(
        &SecretKey::from_seed([7; 32], "k"),
        &head(),
        duplicate_claim.as_bytes(),
    );
    assert_eq!(
        parse_error(text.as_bytes()),
        Some(DenialReason::Malformed),
        "a duplicate claim"
    );
}

#[test]
fn other_serializations_are_malformed() {
    let text = signed(json!({"alg": "EdDSA", "kid": "k"}), claims());
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
            parse_error(bad.as_bytes()),
            Some(DenialReason::Malformed),
            "{bad}"
        );
    }
}

proptest! {
    // A fixed seed generates the same cases in each run, so that a failure can be reproduced.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]
    #[test]
    fn arbitrary_bytes_neither_panic_nor_verify(bytes: Vec<u8>, at: prop::sample::Index, bit in 0u8..8) {
        let key = SecretKey::from_seed([7; 32], "k").public_key();
        if let Ok(token) = parse(&bytes) {
            prop_assert!(!token.is_signed_by(&key));
        }
        let mut text = signed(json!({"alg": "EdDSA", "kid": "k"}), claims()).into_bytes();
        let at = at.index(text.len());
        text[at] ^= 1 << bit;
        if let Ok(token) = parse(&text) {
            prop_assert!(!token.is_signed_by(&key), "accepted with a flipped bit in byte {at}");
        }
    }
}
