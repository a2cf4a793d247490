//! What a verdict costs: a token that is new, one that is known, one that is refused. Not part of CI:
//! `cargo bench -p asterdale-identity`.

use asterdale_identity::authorization::{Role, Tenant};
use asterdale_identity::keyring::KeySet;
use asterdale_identity::mint::SecretKey;
use asterdale_identity::token::{Audience, Claims};
use asterdale_identity::{Credentials, Identity, IdentitySettings};
use divan::{black_box, Bencher};

const NOW: f64 = 1e12;

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
    let facts = IdentitySettings {
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
    let mut identity = Identity::new(NOW, facts).unwrap();
    let mut set = KeySet::empty();
    set.announce(NOW, "k", &key.public_key_text(), 0.0).unwrap();
    set.revoked.tokens.insert("gone".into());
    set.advance_sequence(NOW);
    identity
        .offer_key_set(NOW, root.sign_key_set(&set).as_bytes())
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
        exp: NOW,
        nbf: None,
        iat: None,
        jti: jti.into(),
    })
}

fn ask(identity: &mut Identity, token: &str) -> bool {
    identity
        .authenticate(
            NOW,
            Credentials {
                token: Some(token.as_bytes()),
                certificate: None,
                edge_node: 1,
                received_ms: NOW,
            },
        )
        .is_ok()
}

/// One signature each.
#[divan::bench(sample_count = 200)]
fn new_token(bencher: Bencher<'_, '_>) {
    let (identity, key) = identity();
    let (identity, n) = (
        std::cell::RefCell::new(identity),
        std::cell::Cell::new(0u64),
    );
    bencher
        .with_inputs(|| {
            n.set(n.get() + 1);
            token(&key, &n.get().to_string())
        })
        .bench_local_values(|token| assert!(ask(&mut identity.borrow_mut(), &token)));
}

/// A digest, a look-up, and a look at what it rests on.
#[divan::bench]
fn known_token(bencher: Bencher<'_, '_>) {
    let (mut identity, key) = identity();
    let token = token(&key, "1");
    bencher.bench_local(|| assert!(ask(&mut identity, black_box(&token))));
}

/// A digest and a look-up.
#[divan::bench]
fn revoked_token_again(bencher: Bencher<'_, '_>) {
    let (mut identity, key) = identity();
    let token = token(&key, "gone");
    bencher.bench_local(|| assert!(!ask(&mut identity, black_box(&token))));
}

/// Read, looked up, and refused without a signature.
#[divan::bench(sample_count = 200)]
fn expired_token(bencher: Bencher<'_, '_>) {
    let (mut identity, key) = identity();
    let token = token(&key, "1");
    bencher.bench_local(|| {
        let late = NOW * 1e3 + 1e6;
        let ask = Credentials {
            token: Some(black_box(token.as_bytes())),
            certificate: None,
            edge_node: 1,
            received_ms: late,
        };
        assert!(identity.authenticate(late, ask).is_err());
    });
}

/// Rights alone, for a caller that is known.
#[divan::bench]
fn permit(bencher: Bencher<'_, '_>) {
    let (mut identity, key) = identity();
    let token = token(&key, "1");
    let ask = Credentials {
        token: Some(token.as_bytes()),
        certificate: None,
        edge_node: 1,
        received_ms: NOW,
    };
    let caller = identity.authenticate(NOW, ask).unwrap();
    bencher.bench_local(|| {
        let seat = identity
            .authorize(NOW, &caller, 0, Some(1.0), false)
            .unwrap();
        identity.release(seat.unwrap());
    });
}

fn main() {
    divan::main();
}
