//! Adoption and rejection of key sets, and the phases of keys.

use std::collections::{HashMap, HashSet};

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::known_keys::MAX_KNOWN_KEYS;
use super::*;
use crate::mint::SecretKey;

fn secret_key(n: u8) -> SecretKey {
    SecretKey::from_seed([n; 32], &format!("k{n}"))
}

fn jwk(secret: &SecretKey, from_ms: f64, until_ms: Option<f64>) -> PublicJwk {
    let (kty, crv) = ("OKP".to_owned(), "Ed25519".to_owned());
    PublicJwk {
        kty,
        crv,
        kid: secret.id().to_owned(),
        public_key: secret.public_key_text(),
        from_ms,
        until_ms,
    }
}

fn key_set(seq: u64, keys: Vec<PublicJwk>) -> KeySet {
    KeySet {
        seq,
        issued_ms: 1000.0,
        keys,
        revoked: Revocations::default(),
    }
}

fn root() -> SecretKey {
    SecretKey::from_seed([99; 32], "root")
}

fn offer(keyring: &mut Keyring, set: &KeySet) -> Result<KeySetOutcome, KeySetError> {
    keyring.offer_key_set(1000.0, root().sign_key_set(set).as_bytes())
}

fn keyring() -> Keyring {
    Keyring::new(vec![root().public_key()], 5000.0)
}

#[test]
fn a_key_changes_its_phase_with_time() {
    let mut keyring = keyring();
    let keys = vec![
        jwk(&secret_key(1), 1000.0, Some(3000.0)),
        jwk(&secret_key(2), 2000.0, None),
    ];
    assert_eq!(
        offer(&mut keyring, &key_set(1, keys)),
        Ok(KeySetOutcome::Adopted)
    );
    use Phase::*;
    for (at, one, two) in [
        (999.0, Announced, Announced),
        (1000.0, Outgoing, Announced),
        (2000.0, Outgoing, Active),
        (2999.9, Outgoing, Active),
        (3000.0, Retired, Active),
    ] {
        assert_eq!(
            (keyring.phase("k1", at), keyring.phase("k2", at)),
            (Some(one), Some(two)),
            "{at}"
        );
    }
    assert_eq!(keyring.phase("k3", 2000.0), None);
    assert_eq!(keyring.check_key("k2", 1999.0, 1.0), Ok(()));
    assert_eq!(
        keyring.check_key("k2", 1998.9, 1.0),
        Err(DenialReason::KeyNotYetActive)
    );
    assert_eq!(keyring.check_key("k1", 3000.9, 1.0), Ok(()));
    assert_eq!(
        keyring.check_key("k1", 3001.1, 1.0),
        Err(DenialReason::KeyRetired)
    );
    // A key that a later set does not contain is retired at once.
    offer(
        &mut keyring,
        &key_set(2, vec![jwk(&secret_key(2), 2000.0, None)]),
    )
    .unwrap();
    assert_eq!(keyring.phase("k1", 2000.0), Some(Retired));
}

/// Sets that a keyring must reject after it has adopted set 5 with key `k1`. `reused` is another key with the id `k1`.
fn invalid_sets(reused: &PublicJwk) -> [(KeySet, KeySetError); 6] {
    let twice = jwk(&secret_key(2), 0.0, None);
    let mut weak = jwk(&secret_key(3), 0.0, None);
    weak.public_key = URL_SAFE_NO_PAD.encode([0; 32]);
    let ahead = KeySet {
        issued_ms: 1e9,
        ..key_set(6, vec![])
    };
    [
        (
            key_set(4, vec![jwk(&secret_key(1), 0.0, None)]),
            KeySetError::OlderSequence,
        ),
        (key_set(5, vec![]), KeySetError::ReusedSequence),
        (
            key_set(6, vec![reused.clone()]),
            KeySetError::ReusedKeyId("k1".into()),
        ),
        (
            key_set(6, vec![twice.clone(), twice]),
            KeySetError::InvalidKey("k2".into()),
        ),
        (key_set(6, vec![weak]), KeySetError::InvalidKey("k3".into())),
        (ahead, KeySetError::IssuedInFuture),
    ]
}

#[test]
fn a_rejected_set_changes_nothing() {
    let mut keyring = keyring();
    let good = key_set(5, vec![jwk(&secret_key(1), 0.0, None)]);
    offer(&mut keyring, &good).unwrap();
    let mut reused = jwk(&secret_key(2), 0.0, None);
    reused.kid = "k1".to_owned();
    for (bad, error) in invalid_sets(&reused) {
        assert_eq!(offer(&mut keyring, &bad), Err(error));
    }
    let signed_by_other_key = secret_key(1).sign_key_set(&key_set(6, vec![]));
    assert_eq!(
        keyring.offer_key_set(1000.0, signed_by_other_key.as_bytes()),
        Err(KeySetError::UntrustedSigner)
    );
    for invalid in [&b""[..], b"<html>", b"a.b.c", &[0xff; 99]] {
        assert_eq!(
            keyring.offer_key_set(1000.0, invalid),
            Err(KeySetError::Malformed)
        );
    }
    assert_eq!(offer(&mut keyring, &good), Ok(KeySetOutcome::Unchanged));
    assert_eq!(
        (keyring.sequence(), keyring.phase("k1", 1.0)),
        (Some(5), Some(Phase::Active))
    );
    // The key id stays known after later sets no longer contain the key.
    offer(&mut keyring, &key_set(6, vec![])).unwrap();
    assert_eq!(
        offer(&mut keyring, &key_set(7, vec![reused])),
        Err(KeySetError::ReusedKeyId("k1".into()))
    );
}

#[test]
fn a_revoked_key_stays_revoked() {
    let mut keyring = keyring();
    let key = jwk(&secret_key(1), 0.0, None);
    offer(&mut keyring, &key_set(1, vec![key.clone()])).unwrap();
    let mut bad = key_set(2, vec![key.clone()]);
    bad.revoked.keys.insert("k1".into());
    offer(&mut keyring, &bad).unwrap();
    offer(&mut keyring, &key_set(3, vec![key])).unwrap();
    assert_eq!(
        keyring.check_key("k1", 5.0, 0.0),
        Err(DenialReason::KeyRevoked)
    );
}

#[test]
fn a_set_is_usable_until_its_maximal_age() {
    let mut keyring = keyring();
    assert!(!keyring.has_usable_key_set(0.0));
    let text = root().sign_key_set(&key_set(1, vec![]));
    keyring.offer_key_set(1000.0, text.as_bytes()).unwrap();
    assert!(keyring.has_usable_key_set(6000.0) && !keyring.has_usable_key_set(6001.0));
    assert_eq!(
        keyring.offer_key_set(7000.0, text.as_bytes()),
        Ok(KeySetOutcome::Unchanged)
    );
    assert!(!keyring.has_usable_key_set(7000.0));
}

#[test]
fn known_keys_are_limited_and_revoked_ones_are_evicted_last() {
    let mut keyring = keyring();
    let numbered_key = |n: u64| {
        let mut key = jwk(&secret_key(1), 0.0, None);
        key.kid = format!("n{n}");
        key
    };
    let mut first = key_set(1, vec![numbered_key(0)]);
    first.revoked.keys.insert("n0".into());
    offer(&mut keyring, &first).unwrap();
    for n in 1..=MAX_KNOWN_KEYS as u64 + 5 {
        offer(&mut keyring, &key_set(n + 1, vec![numbered_key(n)])).unwrap();
    }
    assert_eq!(keyring.known_keys.len(), MAX_KNOWN_KEYS);
    assert_eq!(keyring.phase("n0", 1.0), Some(Phase::Revoked));
    assert_eq!(keyring.phase("n1", 1.0), None);
}

proptest! {
    // A fixed seed generates the same cases in each run, so that a failure can be reproduced.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]
    /// Sequence numbers only increase, an id never refers to another key, a revoked key is never accepted again, and a
    /// key is accepted only if the last adopted set says so.
    #[test]
    fn any_order_of_sets_keeps_the_invariants(
        sets in prop::collection::vec(
            (0u64..12, prop::collection::vec((0u8..4, 0u8..4, 0u32..9, prop::option::of(0u32..9)), 0..4),
                prop::option::of(0u8..4)), 1..24),
        time_ms in 0u32..10,
    ) {
        let mut keyring = keyring();
        let (mut last, mut key_by_id, mut revoked_ids) = (None, HashMap::new(), HashSet::new());
        for (seq, keys, revoke) in sets {
            let keys = keys.into_iter().map(|(id, key, from, until)| {
                let mut key = jwk(&secret_key(key), from.into(), until.map(f64::from));
                key.kid = format!("id{id}");
                key
            }).collect::<Vec<_>>();
            let mut set = key_set(seq, keys);
            set.revoked.keys.extend(revoke.map(|id| format!("id{id}")));
            let before = keyring.sequence();
            match offer(&mut keyring, &set) {
                Ok(KeySetOutcome::Adopted) => {
                    prop_assert!(before.is_none_or(|before| seq > before));
                    for key in &set.keys {
                        let known = key_by_id.entry(key.kid.clone()).or_insert_with(|| key.public_key.clone());
                        prop_assert_eq!(&*known, &key.public_key);
                    }
                    revoked_ids.extend(set.revoked.keys.iter().filter(|id| key_by_id.contains_key(*id)).cloned());
                    last = Some(set);
                }
                Ok(KeySetOutcome::Unchanged) => prop_assert_eq!(last.as_ref(), Some(&set)),
                Err(_) => prop_assert_eq!(keyring.sequence(), before),
            }
            for id in (0..4).map(|id| format!("id{id}")) {
                let is_expected = last.as_ref().is_some_and(|set| {
                    let until = |key: &PublicJwk| key.until_ms.unwrap_or(f64::INFINITY);
                    let is_accepted = |key: &&PublicJwk| {
                        key.kid == id && key.from_ms <= time_ms.into() && f64::from(time_ms) < until(key)
                    };
                    set.keys.iter().any(|key| is_accepted(&key)) && !set.revoked.keys.contains(&id)
                });
                prop_assert_eq!(keyring.check_key(&id, time_ms.into(), 0.0).is_ok(), is_expected && !revoked_ids.contains(&id));
            }
        }
    }
}
