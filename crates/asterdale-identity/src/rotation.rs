//! The issuer's side of the keyring: how a set is changed, step by step, by whoever runs the keys. Times are
//! Unix milliseconds. Nothing here signs: see [`crate::mint`].

use crate::keyring::{parse_public_key, KeySet, PublicJwk, MAX_KEYS};

/// How long a retired key stays in the sets after its overlap, in milliseconds: who looks a set over sees what
/// went last. A day.
const RETIRED_KEY_LISTED_MS: f64 = 86_400_000.0;

impl KeySet {
    /// A set with nothing in it.
    pub fn empty() -> KeySet {
        KeySet {
            seq: 0,
            issued_ms: 0.0,
            keys: Vec::new(),
            revoked: Default::default(),
        }
    }

    fn find(&mut self, id: &str) -> Result<&mut PublicJwk, String> {
        self.keys
            .iter_mut()
            .find(|key| key.kid == id)
            .ok_or(format!("{id}: no key of this id is in the set"))
    }

    /// Announces a key: it signs from then on. Serving processes need to have the set before that.
    pub fn announce(&mut self, now: f64, id: &str, x: &str, from_ms: f64) -> Result<(), String> {
        parse_public_key(x).ok_or(format!("{id}: this is no public key"))?;
        if self.keys.iter().any(|key| key.kid == id) || self.revoked.keys.contains(id) {
            return Err(format!("{id}: this id is taken; a new key wants a new id"));
        }
        self.keys.retain(|key| {
            key.until_ms
                .is_none_or(|until| now < until + RETIRED_KEY_LISTED_MS)
        });
        if self.keys.len() >= MAX_KEYS {
            return Err(format!("the set holds {MAX_KEYS} keys, as many as it may"));
        }
        let (kty, crv) = ("OKP".to_owned(), "Ed25519".to_owned());
        let (kid, x) = (id.to_owned(), x.to_owned());
        self.keys.push(PublicJwk {
            kty,
            crv,
            kid,
            x,
            from_ms,
            until_ms: None,
        });
        Ok(())
    }

    /// This key signs from now on; all others that sign go, and are served for so long yet.
    pub fn activate(&mut self, now: f64, id: &str, overlap_ms: f64) -> Result<(), String> {
        let key = self.find(id)?;
        if key.until_ms.is_some() {
            return Err(format!(
                "{id}: this key goes, or is gone; announce a new one"
            ));
        }
        key.from_ms = key.from_ms.min(now);
        for key in self
            .keys
            .iter_mut()
            .filter(|key| key.kid != id && key.from_ms <= now)
        {
            key.until_ms = Some(
                key.until_ms
                    .map_or(now + overlap_ms, |until| until.min(now + overlap_ms)),
            );
        }
        Ok(())
    }

    /// This key is served no more from then on.
    pub fn retire(&mut self, id: &str, until_ms: f64) -> Result<(), String> {
        let key = self.find(id)?;
        key.until_ms = Some(key.until_ms.map_or(until_ms, |until| until.min(until_ms)));
        Ok(())
    }

    /// The next set in the row.
    pub fn advance_sequence(&mut self, now: f64) {
        self.seq += 1;
        self.issued_ms = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::keyring::{Keyring, Phase};
    use crate::mint::SecretKey;

    #[test]
    fn a_rotation_goes_step_by_step_and_every_step_can_be_published() {
        let root = SecretKey::generate("root").unwrap();
        let (one, two) = (
            SecretKey::generate("one").unwrap(),
            SecretKey::generate("two").unwrap(),
        );
        let (mut set, mut ring) = (
            KeySet::empty(),
            Keyring::new(vec![root.public_key()], f64::INFINITY),
        );
        let mut publish = |set: &mut KeySet, now: f64| {
            set.advance_sequence(now);
            ring.offer_key_set(now, root.sign_key_set(set).as_bytes())
                .unwrap();
            (ring.phase("one", now), ring.phase("two", now))
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
        // Activated again it prolongs nothing.
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
    fn ids_are_never_taken_twice_and_old_keys_leave_the_set() {
        let (mut set, key) = (
            KeySet::empty(),
            SecretKey::generate("k").unwrap().public_key_text(),
        );
        for n in 0..40 {
            let now = f64::from(n) * RETIRED_KEY_LISTED_MS;
            set.announce(now, &format!("k{n}"), &key, now).unwrap();
            set.activate(now, &format!("k{n}"), 1.0).unwrap();
        }
        assert!(set.keys.len() <= 3, "{}", set.keys.len());
        assert!(
            set.announce(0.0, "k39", &key, 0.0).is_err()
                && set.announce(0.0, "n", "x", 0.0).is_err()
        );
        set.revoked.keys.insert("gone".to_owned());
        assert!(
            set.announce(0.0, "gone", &key, 0.0).is_err()
                && set.activate(0.0, "gone", 0.0).is_err()
        );
        (0..20).for_each(|n| drop(set.announce(0.0, &format!("m{n}"), &key, 0.0)));
        assert_eq!(set.keys.len(), MAX_KEYS);
    }
}
