//! Cost of authenticating new, cached and denied tokens, and of authorizing a request. Not part of CI:
//! `cargo bench -p asterdale-identity`.

use std::cell::{Cell, RefCell};

use asterdale_identity::keyring::KeySet;
use asterdale_identity::mint::SecretKey;
use asterdale_identity::token::{Audience, Claims};
use asterdale_identity::{AccessRequest, Credentials, Identity, IdentitySettings, Role, Tenant};
use divan::{black_box, Bencher};

const NOW_MS: f64 = 1e12;

fn identity() -> (Identity, SecretKey) {
    let (root, key) = (
        SecretKey::from_seed([1; 32], "root"),
        SecretKey::from_seed([2; 32], "k"),
    );
    let role = Role {
        name: "r".into(),
        request_classes: vec![0],
        max_concurrent: usize::MAX,
        requests_per_s: f64::INFINITY,
        burst: f64::INFINITY,
        max_cost_ms: f64::INFINITY,
    };
    let settings = IdentitySettings {
        seed: 1,
        issuer: "i".into(),
        audience: "a".into(),
        root_keys: vec![root.public_key()],
        max_key_set_age_ms: f64::INFINITY,
        clock_skew_ms: 500.0,
        cached_tokens: 2048,
        signatures_per_edge_per_s: 1e12,
        signatures_per_s: 1e12,
        roles: vec![role],
        tenants: vec![Tenant {
            name: "t".into(),
            scheduling_tenant: 0,
            roles: vec!["r".into()],
        }],
        certificate_mappings: Vec::new(),
    };
    let mut identity = Identity::new(NOW_MS, settings).unwrap();
    let mut set = KeySet::empty();
    set.announce(NOW_MS, "k", &key.public_key_text(), 0.0)
        .unwrap();
    set.revoked.tokens.insert("gone".into());
    set.advance_sequence(NOW_MS);
    identity
        .offer_key_set(NOW_MS, root.sign_key_set(&set).as_bytes())
        .unwrap();
    (identity, key)
}

fn token(key: &SecretKey, jti: &str) -> String {
    key.sign_token(&Claims {
        iss: "i".into(),
        aud: Audience::One("a".into()),
        sub: "s".into(),
        tenant: "t".into(),
        roles: vec!["r".into()],
        exp: NOW_MS,
        nbf: None,
        iat: None,
        jti: jti.into(),
    })
}

fn is_authenticated(identity: &mut Identity, token: &str) -> bool {
    identity
        .authenticate(
            NOW_MS,
            Credentials {
                token: Some(token.as_bytes()),
                certificate: None,
                edge_node: 1,
                received_ms: NOW_MS,
            },
        )
        .is_ok()
}

/// A token that is not cached: one signature verification.
#[divan::bench(sample_count = 200)]
fn new_token(bencher: Bencher<'_, '_>) {
    let (identity, key) = identity();
    let identity = RefCell::new(identity);
    let token_number = Cell::new(0u64);
    bencher
        .with_inputs(|| {
            token_number.set(token_number.get() + 1);
            token(&key, &token_number.get().to_string())
        })
        .bench_local_values(|token| assert!(is_authenticated(&mut identity.borrow_mut(), &token)));
}

/// A cached token: a digest, a look-up, and the checks of its claims.
#[divan::bench]
fn known_token(bencher: Bencher<'_, '_>) {
    let (mut identity, key) = identity();
    let token = token(&key, "1");
    bencher.bench_local(|| assert!(is_authenticated(&mut identity, black_box(&token))));
}

/// A token that was denied before: a digest and a look-up.
#[divan::bench]
fn revoked_token_again(bencher: Bencher<'_, '_>) {
    let (mut identity, key) = identity();
    let token = token(&key, "gone");
    bencher.bench_local(|| assert!(!is_authenticated(&mut identity, black_box(&token))));
}

/// An expired token: parsed, its key looked up, and denied without a signature verification.
#[divan::bench(sample_count = 200)]
fn expired_token(bencher: Bencher<'_, '_>) {
    let (mut identity, key) = identity();
    let token = token(&key, "1");
    bencher.bench_local(|| {
        let late_ms = NOW_MS * 1e3 + 1e6;
        let credentials = Credentials {
            token: Some(black_box(token.as_bytes())),
            certificate: None,
            edge_node: 1,
            received_ms: late_ms,
        };
        assert!(identity.authenticate(late_ms, credentials).is_err());
    });
}

/// Authorization alone.
#[divan::bench]
fn permit(bencher: Bencher<'_, '_>) {
    let (mut identity, key) = identity();
    let token = token(&key, "1");
    let credentials = Credentials {
        token: Some(token.as_bytes()),
        certificate: None,
        edge_node: 1,
        received_ms: NOW_MS,
    };
    let caller = identity.authenticate(NOW_MS, credentials).unwrap();
    let request = AccessRequest {
        request_class: 0,
        declared_cost_ms: Some(1.0),
        is_repeat: false,
    };
    bencher.bench_local(|| {
        let permit = identity.authorize(NOW_MS, &caller, &request).unwrap();
        identity.release(permit.unwrap());
    });
}

fn main() {
    divan::main();
}
