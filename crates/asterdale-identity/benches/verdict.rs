//! What a verdict costs: a token that is new, one that is known, one that is refused. Not part of CI:
//! `cargo bench -p asterdale-identity`.

use asterdale_identity::keyring::Published;
use asterdale_identity::mint::Secret;
use asterdale_identity::rights::{Role, Tenant};
use asterdale_identity::token::{Audience, Claims};
use asterdale_identity::{Ask, Facts, Identity};
use divan::{black_box, Bencher};

const NOW: f64 = 1e12;

fn identity() -> (Identity, Secret) {
    let (root, key) = (
        Secret::from_seed([1; 32], "root"),
        Secret::from_seed([2; 32], "k"),
    );
    let role = Role {
        name: "r".into(),
        stages: vec![0],
        open: usize::MAX,
        per_s: f64::INFINITY,
        burst: f64::INFINITY,
        hint_ms: f64::INFINITY,
    };
    let facts = Facts {
        seed: 1,
        issuer: "i".into(),
        audience: "a".into(),
        roots: vec![root.public()],
        most_age_ms: f64::INFINITY,
        skew_ms: 500.0,
        cache: 2048,
        per_edge: 1e12,
        in_all: 1e12,
        roles: vec![role],
        tenants: vec![Tenant {
            name: "t".into(),
            customer: 0,
            roles: vec!["r".into()],
        }],
        certificates: Vec::new(),
    };
    let mut identity = Identity::new(NOW, facts).unwrap();
    let mut set = Published::empty();
    set.announce(NOW, "k", &key.public_text(), 0.0).unwrap();
    set.revoked.tokens.insert("gone".into());
    set.next(NOW);
    identity.offer(NOW, root.set(&set).as_bytes()).unwrap();
    (identity, key)
}

fn token(key: &Secret, jti: &str) -> String {
    key.token(&Claims {
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
        .identify(
            NOW,
            Ask {
                token: Some(token.as_bytes()),
                certificate: None,
                edge: 1,
                arrived_ms: NOW,
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
        let ask = Ask {
            token: Some(black_box(token.as_bytes())),
            certificate: None,
            edge: 1,
            arrived_ms: late,
        };
        assert!(identity.identify(late, ask).is_err());
    });
}

/// Rights alone, for a caller that is known.
#[divan::bench]
fn permit(bencher: Bencher<'_, '_>) {
    let (mut identity, key) = identity();
    let token = token(&key, "1");
    let ask = Ask {
        token: Some(token.as_bytes()),
        certificate: None,
        edge: 1,
        arrived_ms: NOW,
    };
    let caller = identity.identify(NOW, ask).unwrap();
    bencher.bench_local(|| {
        let seat = identity.permit(NOW, &caller, 0, Some(1.0), false).unwrap();
        identity.leave(seat.unwrap());
    });
}

fn main() {
    divan::main();
}
