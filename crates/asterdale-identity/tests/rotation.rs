//! The issuer's changes to a key set, as a keyring adopts them.

use asterdale_identity::keyring::{KeySet, Keyring, Phase, MAX_KEYS};
use asterdale_identity::mint::SecretKey;

/// How long a retired key stays in the sets, in milliseconds.
const RETIRED_KEY_LISTED_MS: f64 = 86_400_000.0;

#[test]
fn every_step_of_a_rotation_is_accepted_by_a_keyring() {
    let root = SecretKey::generate("root").unwrap();
    let (one, two) = (
        SecretKey::generate("one").unwrap(),
        SecretKey::generate("two").unwrap(),
    );
    let (mut set, mut keyring) = (
        KeySet::empty(),
        Keyring::new(vec![root.public_key()], f64::INFINITY),
    );
    let mut publish = |set: &mut KeySet, now_ms: f64| {
        set.advance_sequence(now_ms);
        keyring
            .offer_key_set(now_ms, root.sign_key_set(set).as_bytes())
            .unwrap();
        (keyring.phase("one", now_ms), keyring.phase("two", now_ms))
    };
    set.announce(0.0, "one", &one.public_key_text(), 0.0)
        .unwrap();
    assert_eq!(publish(&mut set, 0.0), (Some(Phase::Active), None));
    set.announce(10.0, "two", &two.public_key_text(), 1e6)
        .unwrap();
    assert_eq!(
        publish(&mut set, 10.0),
        (Some(Phase::Active), Some(Phase::Announced))
    );
    set.activate(20.0, "two", 100.0).unwrap();
    assert_eq!(
        publish(&mut set, 20.0),
        (Some(Phase::Outgoing), Some(Phase::Active))
    );
    assert_eq!(
        publish(&mut set, 120.0),
        (Some(Phase::Retired), Some(Phase::Active))
    );
    // Activating the key again does not extend the overlap.
    set.activate(130.0, "two", 100.0).unwrap();
    assert_eq!(
        publish(&mut set, 130.0),
        (Some(Phase::Retired), Some(Phase::Active))
    );
    set.retire("two", 140.0).unwrap();
    set.retire("two", 999.0).unwrap();
    assert_eq!(
        publish(&mut set, 140.0),
        (Some(Phase::Retired), Some(Phase::Retired))
    );
}

#[test]
fn key_ids_are_never_reused_and_old_keys_are_removed() {
    let (mut set, key) = (
        KeySet::empty(),
        SecretKey::generate("k").unwrap().public_key_text(),
    );
    for n in 0..40 {
        let now_ms = f64::from(n) * RETIRED_KEY_LISTED_MS;
        set.announce(now_ms, &format!("k{n}"), &key, now_ms)
            .unwrap();
        set.activate(now_ms, &format!("k{n}"), 1.0).unwrap();
    }
    assert!(set.keys.len() <= 3, "{}", set.keys.len());
    assert!(
        set.announce(0.0, "k39", &key, 0.0).is_err() && set.announce(0.0, "n", "x", 0.0).is_err()
    );
    set.revoked.keys.insert("gone".to_owned());
    assert!(
        set.announce(0.0, "gone", &key, 0.0).is_err() && set.activate(0.0, "gone", 0.0).is_err()
    );
    (0..20).for_each(|n| drop(set.announce(0.0, &format!("m{n}"), &key, 0.0)));
    assert_eq!(set.keys.len(), MAX_KEYS);
}
