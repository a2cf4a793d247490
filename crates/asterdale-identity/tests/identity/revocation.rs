//! Revocation of tokens, subjects, tenants and keys.

use asterdale_identity::keyring::KeySet;
use asterdale_identity::{DenialReason, Identity};

use crate::support::*;

type Change = fn(&mut KeySet);

/// Changes of the key set after which a token of tenant `a` is denied, with the reason of the denial.
fn changes() -> [(Change, DenialReason); 5] {
    [
        (
            |set| {
                set.revoked.tokens.insert(string("1"));
            },
            DenialReason::TokenRevoked,
        ),
        (
            |set| {
                set.revoked.subjects.insert(string("a/s"));
            },
            DenialReason::SubjectRevoked,
        ),
        (
            |set| {
                set.revoked.tenants.insert(string("a"));
            },
            DenialReason::TenantRevoked,
        ),
        (
            |set| {
                set.revoked.keys.insert(string("k2"));
            },
            DenialReason::KeyRevoked,
        ),
        (
            |set| set.keys.retain(|key| key.kid != "k2"),
            DenialReason::KeyRetired,
        ),
    ]
}

#[test]
fn cached_tokens_are_denied_once_revoked() {
    for (change, reason) in changes() {
        let mut identity = identity();
        let (good, other) = (
            token(2, |_| ()),
            token(1, |claims| *claims = claims_of_tenant_b()),
        );
        assert_eq!(
            (
                authenticate(&mut identity, NOW_MS, &good),
                authenticate(&mut identity, NOW_MS, &other)
            ),
            (Ok(0), Ok(1))
        );
        let caller = identity
            .authenticate(NOW_MS, credentials(&good, NOW_MS))
            .unwrap();
        assert_eq!(identity.revocation(&caller), None);
        identity
            .offer_key_set(NOW_MS, signed_set(2, change).as_bytes())
            .unwrap();
        let checked = identity.signatures_checked();
        for _ in 0..1000 {
            assert_eq!(authenticate(&mut identity, NOW_MS, &good), Err(reason));
        }
        assert_eq!(
            identity.revocation(&caller),
            (reason != DenialReason::KeyRetired).then_some(reason)
        );
        assert_eq!(authenticate(&mut identity, NOW_MS, &other), Ok(1));
        assert_eq!(
            identity.signatures_checked(),
            checked,
            "a signature was checked"
        );
    }
}

#[test]
fn without_a_usable_key_set_only_revocations_are_decided() {
    let good = token(2, |claims| claims.exp += 1e6);
    let mut identity = Identity::new(NOW_MS, settings()).unwrap();
    // Without a key set it cannot be decided that the key is unknown.
    assert_eq!(
        authenticate(&mut identity, NOW_MS, &good),
        Err(DenialReason::NoUsableKeySet)
    );
    identity
        .offer_key_set(
            NOW_MS,
            signed_set(1, |set| {
                set.revoked.tokens.insert(string("9"));
            })
            .as_bytes(),
        )
        .unwrap();
    assert_eq!(authenticate(&mut identity, NOW_MS + 60_000.0, &good), Ok(0));
    let revoked = token(2, |claims| (claims.exp, claims.jti) = (1e9, string("9")));
    assert_eq!(
        authenticate(&mut identity, NOW_MS + 60_001.0, &good),
        Err(DenialReason::NoUsableKeySet)
    );
    assert_eq!(
        authenticate(&mut identity, NOW_MS + 60_001.0, &revoked),
        Err(DenialReason::TokenRevoked)
    );
    let fresh = signed_set(2, |set| set.issued_ms = NOW_MS + 60_000.0);
    identity
        .offer_key_set(NOW_MS + 60_001.0, fresh.as_bytes())
        .unwrap();
    assert_eq!(authenticate(&mut identity, NOW_MS + 60_001.0, &good), Ok(0));
}
