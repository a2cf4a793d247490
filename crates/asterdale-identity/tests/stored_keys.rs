//! Compatibility with stored files: key files, a key set and a token that the command line of an earlier release wrote
//! are parsed to the same ids, times and names, lead to the same decisions on callers, and are serialized to the same
//! bytes. Times are passed in. `fixtures/keys/README.md` describes how the files were made.

use asterdale_identity::keyring::{
    parse_public_key, KeySet, KeySetError, KeySetOutcome, Keyring, Phase, PublicJwk, Revocations,
    KEY_SET_TYPE,
};
use asterdale_identity::mint::SecretKey;
use asterdale_identity::token::{self, Audience, Claims, JwsHeader};
use asterdale_identity::{Credentials, DenialReason, Identity, IdentitySettings, Role, Tenant};

const ROOT: &str = include_str!("fixtures/keys/root-1.jwk");
const SIGN: &str = include_str!("fixtures/keys/sign-2.jwk");
const SET: &str = include_str!("fixtures/keys/set.json");
const SIGNED_SET: &str = include_str!("fixtures/keys/set.jws");
const TOKEN: &str = include_str!("fixtures/keys/token.txt");

const ROOT_PUBLIC: &str = "imbCdf7bBhekbXjMNmHotlCMAfBEsKuMbkYJMrYEdLE";
const SIGN_PUBLIC: &str = "guccx6cHBIMiwrPtzHdQFMmpLWtihrYdQr-Wm0w--N8";
/// When the set was signed, and the token issued (to the second).
const SIGNED_MS: f64 = 1_796_220_625_444.241_7;
const ISSUED_S: f64 = 1_796_220_625.0;

fn text(text: &str) -> String {
    text.to_owned()
}

fn expected_set() -> KeySet {
    let key = |kid: &str, public_key: &str, from_ms, until_ms| {
        let (kty, crv) = (text("OKP"), text("Ed25519"));
        PublicJwk {
            kty,
            crv,
            kid: text(kid),
            public_key: text(public_key),
            from_ms,
            until_ms,
        }
    };
    let first = "ZNoCqxLC0cFNUGx1qdOJ1HGxpqrgcCCKY681SccGcGY";
    let third = "IRVzrJTzobHZ_JaTBQR4mApogu_JwV_HuihGS6crLZc";
    let until_ms = Some(1_796_224_225_415.276_6);
    KeySet {
        seq: 2,
        issued_ms: SIGNED_MS,
        keys: vec![
            key("sign-1", first, 1_796_220_625_403.446_3, until_ms),
            key("sign-2", SIGN_PUBLIC, 1_796_220_625_415.276_6, None),
            key("sign-3", third, 1_796_307_025_423.817, None),
        ],
        revoked: Revocations {
            tokens: [text("token-0")].into(),
            subjects: [text("house/gone")].into(),
            tenants: [text("former")].into(),
            keys: [text("sign-0")].into(),
        },
    }
}

fn claims() -> Claims {
    Claims {
        iss: text("issuer"),
        aud: Audience::One(text("asterdale")),
        sub: text("desk"),
        tenant: text("house"),
        roles: vec![text("clerk"), text("buyer")],
        exp: ISSUED_S + 600.0,
        nbf: Some(ISSUED_S),
        iat: Some(ISSUED_S),
        jti: text("token-1"),
    }
}

fn identity() -> Identity {
    let role = Role {
        name: text("clerk"),
        request_classes: vec![0],
        max_concurrent: 9,
        requests_per_s: 100.0,
        burst: 100.0,
        max_cost_ms: f64::INFINITY,
    };
    let tenant = |name: &str| Tenant {
        name: text(name),
        scheduling_tenant: 1,
        roles: vec![text("clerk")],
    };
    let settings = IdentitySettings {
        seed: 5,
        issuer: text("issuer"),
        audience: text("asterdale"),
        root_keys: vec![parse_public_key(ROOT_PUBLIC).unwrap()],
        max_key_set_age_ms: 86_400_000.0,
        clock_skew_ms: 500.0,
        cached_tokens: 64,
        signatures_per_edge_per_s: 10.0,
        signatures_per_s: 100.0,
        roles: vec![role],
        tenants: vec![tenant("other"), tenant("house"), tenant("former")],
        certificate_mappings: Vec::new(),
    };
    Identity::new(SIGNED_MS, settings).unwrap()
}

#[test]
fn stored_key_files_are_read_and_written_again() {
    for (file, id, public) in [(ROOT, "root-1", ROOT_PUBLIC), (SIGN, "sign-2", SIGN_PUBLIC)] {
        let secret = SecretKey::from_jwk(file).unwrap();
        assert_eq!((secret.id(), &secret.public_key_text()[..]), (id, public));
        assert!(&secret.to_jwk()[..] == file, "the bytes of {id} differ");
    }
}

#[test]
fn a_stored_set_is_read_and_written_again() {
    let set: KeySet = serde_json::from_str(SET).unwrap();
    assert_eq!(set, expected_set());
    assert_eq!(serde_json::to_string_pretty(&set).unwrap(), SET);
    // Ed25519 signatures are deterministic.
    assert_eq!(
        SecretKey::from_jwk(ROOT).unwrap().sign_key_set(&set),
        SIGNED_SET
    );
}

#[test]
fn a_stored_signed_set_gives_its_keys_the_same_phases() {
    assert_eq!(KEY_SET_TYPE, "asterdale-keys+jws");
    let mut keyring = Keyring::new(vec![parse_public_key(ROOT_PUBLIC).unwrap()], 86_400_000.0);
    assert_eq!(
        keyring.offer_key_set(SIGNED_MS, SIGNED_SET.as_bytes()),
        Ok(KeySetOutcome::Adopted)
    );
    assert_eq!(
        keyring.offer_key_set(SIGNED_MS, SIGNED_SET.as_bytes()),
        Ok(KeySetOutcome::Unchanged)
    );
    assert_eq!(
        (keyring.sequence(), keyring.age_ms(SIGNED_MS + 7.0)),
        (Some(2), 7.0)
    );
    let phases = |at: f64| {
        ["sign-0", "sign-1", "sign-2", "sign-3", "sign-4"].map(|id| keyring.phase(id, at))
    };
    use Phase::*;
    let (revoked, active) = (Some(Revoked), Some(Active));
    assert_eq!(
        phases(SIGNED_MS),
        [revoked, Some(Outgoing), active, Some(Announced), None]
    );
    assert_eq!(
        phases(1_796_224_225_416.0),
        [revoked, Some(Retired), active, Some(Announced), None]
    );
    assert_eq!(
        phases(1_796_307_025_424.0),
        [revoked, Some(Retired), active, active, None]
    );
    let mut other = Keyring::new(vec![parse_public_key(SIGN_PUBLIC).unwrap()], 86_400_000.0);
    assert_eq!(
        other.offer_key_set(SIGNED_MS, SIGNED_SET.as_bytes()),
        Err(KeySetError::UntrustedSigner)
    );
}

#[test]
fn a_stored_token_is_read_and_written_again() {
    let token_text = TOKEN.strip_suffix('\n').unwrap();
    let parsed = token::parse(token_text.as_bytes()).unwrap();
    let typ = Some(text("JWT"));
    assert_eq!(
        parsed.header,
        JwsHeader {
            alg: text("EdDSA"),
            kid: text("sign-2"),
            typ
        }
    );
    assert_eq!(parsed.claims, claims());
    assert!(parsed.is_signed_by(&parse_public_key(SIGN_PUBLIC).unwrap()));
    assert_eq!(
        SecretKey::from_jwk(SIGN).unwrap().sign_token(&claims()),
        token_text
    );
}

#[test]
fn a_stored_token_is_accepted_until_it_expires_and_revoked_tokens_are_denied() {
    let mut identity = identity();
    identity
        .offer_key_set(SIGNED_MS, SIGNED_SET.as_bytes())
        .unwrap();
    let mut check = |now_ms: f64, token: &str| {
        let credentials = Credentials {
            token: Some(token.as_bytes()),
            certificate: None,
            edge_node: 4,
            received_ms: now_ms,
        };
        identity
            .authenticate(now_ms, credentials)
            .map(|caller| (caller.tenant, caller.key.clone()))
            .map_err(|denial| denial.reason)
    };
    let (token, end_ms) = (TOKEN.trim_end(), (ISSUED_S + 600.0) * 1000.0);
    assert_eq!(check(SIGNED_MS, token), Ok((1, Some(text("sign-2")))));
    assert_eq!(check(end_ms + 499.0, token), Ok((1, Some(text("sign-2")))));
    assert_eq!(check(end_ms + 500.0, token), Err(DenialReason::Expired));
    let signing_key = SecretKey::from_jwk(SIGN).unwrap();
    for (claims, reason) in [
        (
            Claims {
                jti: text("token-0"),
                ..claims()
            },
            DenialReason::TokenRevoked,
        ),
        (
            Claims {
                sub: text("gone"),
                ..claims()
            },
            DenialReason::SubjectRevoked,
        ),
        (
            Claims {
                tenant: text("former"),
                ..claims()
            },
            DenialReason::TenantRevoked,
        ),
    ] {
        assert_eq!(
            check(SIGNED_MS, &signing_key.sign_token(&claims)),
            Err(reason)
        );
    }
}
