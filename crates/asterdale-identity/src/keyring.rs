//! The keyring: which keys may have signed a token, at what time. A state machine that sets of keys move.
//!
//! A set is a JWS signed by a root key; its body is a JWK set (RFC 7517) with times, a sequence number, and what
//! is revoked. A key's phase is a function of the last set and the time: nothing needs to be told when an
//! overlap ends.
//!
//! ```text
//!   announced --from--> active --a later set gives it an end--> outgoing --until--> retired
//!       any of them --a set says so--> revoked, for good
//! ```
//!
//! A set that is older, unreadable, not signed by a root, or that brings a known key id with another key is
//! refused whole, and the last good one stays.

use std::collections::{HashMap, HashSet};

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ed25519_dalek::VerifyingKey;
use serde::{Deserialize, Serialize};

use crate::denial::DenialReason;
use crate::failpoint::{self, Failpoint};
use crate::token::{verify_document, Claims, MAX_NAME_BYTES};

/// `typ` in the head of a set.
pub const KEY_SET_TYPE: &str = "asterdale-keys+jws";
/// A set is no longer, in bytes: what one reply of an issuer may hold.
pub const MAX_KEY_SET_BYTES: usize = 64 * 1024;
/// Keys in one set. Rotation needs three: the next, the one that signs, the one that goes.
pub const MAX_KEYS: usize = 16;
/// Key ids that are remembered with their key, over all sets: at a key a minute, most of a day. Beyond that the
/// oldest that is in no set is forgotten; a revoked one last.
const MAX_KNOWN_KEYS: usize = 1024;
/// Names that are revoked, of one kind, in one set: what fits it, roughly. Tokens end by themselves, so the
/// list of those is short where they live for minutes.
const MAX_REVOCATIONS_PER_KIND: usize = 4096;
/// A set that was signed this much later than now, in milliseconds, comes from an issuer whose clock is off, or
/// ours is: its age could not be told.
const MAX_ISSUED_AHEAD_MS: f64 = 300_000.0;

/// A set of keys, as its body holds it. Times are Unix milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySet {
    /// Grows by at least one with each set that differs.
    pub seq: u64,
    /// When it was signed. Its age counts from then.
    pub issued_ms: f64,
    /// The keys.
    pub keys: Vec<PublicJwk>,
    /// What is revoked, whatever its signature says.
    #[serde(default)]
    pub revoked: Revocations,
}

/// A public key of a set: a JWK of RFC 8037, with times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublicJwk {
    /// `OKP`.
    pub kty: String,
    /// `Ed25519`.
    pub crv: String,
    /// Its id.
    pub kid: String,
    /// The key, 32 bytes in base64url.
    pub x: String,
    /// It signs from then on.
    pub from_ms: f64,
    /// It is served until then: the end of the overlap, once it goes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until_ms: Option<f64>,
}

/// What is revoked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Revocations {
    /// Ids of tokens.
    pub tokens: HashSet<String>,
    /// Subjects, as `tenant/subject`.
    pub subjects: HashSet<String>,
    /// Tenants.
    pub tenants: HashSet<String>,
    /// Ids of keys.
    pub keys: HashSet<String>,
}

/// Where a key is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Known, and not signing yet.
    Announced,
    /// Signing.
    Active,
    /// Another one signs; it is served until the overlap ends.
    Outgoing,
    /// The overlap has ended, or the last set no longer holds it.
    Retired,
    /// Not to be trusted any more, for good.
    Revoked,
}

/// What became of a set that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeySetOutcome {
    /// It is the set now.
    Adopted,
    /// It is the set already, to the byte.
    Unchanged,
}

/// Why a set was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySetError {
    /// It is too long, or no JWS in compact form with a set as its body.
    Malformed,
    /// No root signed it.
    UntrustedSigner,
    /// Its number is lower than the last one's.
    OlderSequence,
    /// It has the last one's number and differs from it.
    ReusedSequence,
    /// This key id is known with another key.
    ReusedKeyId(String),
    /// It holds this key id twice, or with no sound key, or too many of them.
    InvalidKey(String),
    /// It was signed in the future.
    IssuedInFuture,
}

struct ScheduledKey {
    public: VerifyingKey,
    from_ms: f64,
    until_ms: f64,
    /// It has an end, or had one in an earlier set.
    has_end: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct KnownKey {
    #[serde(rename = "bytes")]
    public_bytes: [u8; 32],
    revoked: bool,
    /// The number of the last set that held it.
    #[serde(rename = "last")]
    last_sequence: u64,
}

/// What a ring knows beyond the start file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeyringState {
    #[serde(rename = "set")]
    key_set: Option<Vec<u8>>,
    #[serde(rename = "seen")]
    known_keys: HashMap<String, KnownKey>,
}

/// The keys, as the sets so far tell them.
pub struct Keyring {
    root_keys: Vec<VerifyingKey>,
    keys: HashMap<String, ScheduledKey>,
    known_keys: HashMap<String, KnownKey>,
    revocations: Revocations,
    /// The number and text of the last set.
    last_set: Option<(u64, Vec<u8>)>,
    issued_ms: f64,
    /// A set serves for so long after it was signed; infinite for ever.
    max_age_ms: f64,
}

/// Reads a public key from its text.
pub fn parse_public_key(text: &str) -> Option<VerifyingKey> {
    let bytes: [u8; 32] = URL_SAFE_NO_PAD.decode(text).ok()?.try_into().ok()?;
    VerifyingKey::from_bytes(&bytes)
        .ok()
        .filter(|key| !key.is_weak())
}

impl Keyring {
    /// A ring without keys. Sets must be signed by one of these roots, and serve for so long after that.
    pub fn new(roots: Vec<VerifyingKey>, most_age_ms: f64) -> Keyring {
        Keyring {
            root_keys: roots,
            keys: HashMap::new(),
            known_keys: HashMap::new(),
            revocations: Revocations::default(),
            last_set: None,
            issued_ms: f64::NEG_INFINITY,
            max_age_ms: most_age_ms,
        }
    }

    /// Other roots and another age from now on: the start file was read again. The keys stay.
    pub fn reconfigure(&mut self, roots: Vec<VerifyingKey>, most_age_ms: f64) {
        (self.root_keys, self.max_age_ms) = (roots, most_age_ms);
    }

    /// Offers a set.
    pub fn offer_key_set(&mut self, now: f64, text: &[u8]) -> Result<KeySetOutcome, KeySetError> {
        if text.len() > MAX_KEY_SET_BYTES {
            return Err(KeySetError::Malformed);
        }
        if self.last_set.as_ref().is_some_and(|(_, last)| last == text) {
            return Ok(KeySetOutcome::Unchanged);
        }
        let body =
            verify_document(text, KEY_SET_TYPE, &self.root_keys).map_err(|why| match why {
                DenialReason::BadSignature => KeySetError::UntrustedSigner,
                _ => KeySetError::Malformed,
            })?;
        let set: KeySet = serde_json::from_slice(&body).map_err(|_| KeySetError::Malformed)?;
        let keys = self.validate(now, &set)?;
        self.adopt(set, keys, text);
        Ok(KeySetOutcome::Adopted)
    }

    fn validate(
        &self,
        now: f64,
        set: &KeySet,
    ) -> Result<HashMap<String, ScheduledKey>, KeySetError> {
        if let Some((last, _)) = self.last_set {
            if set.seq < last {
                return Err(KeySetError::OlderSequence);
            }
            if set.seq == last {
                return Err(KeySetError::ReusedSequence);
            }
        }
        if set.issued_ms > now + MAX_ISSUED_AHEAD_MS {
            return Err(KeySetError::IssuedInFuture);
        }
        let Revocations {
            tokens,
            subjects,
            tenants,
            keys: revoked,
        } = &set.revoked;
        let lists = [tokens, subjects, tenants, revoked];
        if lists
            .iter()
            .any(|list| list.len() > MAX_REVOCATIONS_PER_KIND)
        {
            return Err(KeySetError::Malformed);
        }
        let mut keys = HashMap::new();
        for key in &set.keys {
            let bad = || KeySetError::InvalidKey(key.kid.chars().take(MAX_NAME_BYTES).collect());
            let fits = key.kty == "OKP"
                && key.crv == "Ed25519"
                && (1..=MAX_NAME_BYTES).contains(&key.kid.len())
                && keys.len() < MAX_KEYS;
            let public = parse_public_key(&key.x).filter(|_| fits).ok_or_else(bad)?;
            if self
                .known_keys
                .get(&key.kid)
                .is_some_and(|seen| seen.public_bytes != *public.as_bytes())
            {
                return Err(KeySetError::ReusedKeyId(key.kid.clone()));
            }
            let until_ms = key.until_ms.unwrap_or(f64::INFINITY);
            let key_now = ScheduledKey {
                public,
                from_ms: key.from_ms,
                until_ms,
                has_end: key.until_ms.is_some(),
            };
            if keys.insert(key.kid.clone(), key_now).is_some() {
                return Err(bad());
            }
        }
        Ok(keys)
    }

    fn adopt(&mut self, set: KeySet, keys: HashMap<String, ScheduledKey>, text: &[u8]) {
        for (id, key) in &keys {
            let bytes = *key.public.as_bytes();
            let seen = self.known_keys.entry(id.clone()).or_insert(KnownKey {
                public_bytes: bytes,
                revoked: false,
                last_sequence: 0,
            });
            seen.last_sequence = set.seq;
        }
        for id in &set.revoked.keys {
            if let Some(seen) = self.known_keys.get_mut(id) {
                seen.revoked = true;
            }
        }
        while self.known_keys.len() > MAX_KNOWN_KEYS {
            let idle = self
                .known_keys
                .iter()
                .filter(|(id, _)| !keys.contains_key(*id));
            let oldest = idle
                .min_by_key(|(_, seen)| (seen.revoked, seen.last_sequence))
                .map(|(id, _)| id.clone());
            let Some(oldest) = oldest else { break };
            self.known_keys.remove(&oldest);
        }
        self.keys = keys;
        self.revocations = set.revoked;
        self.issued_ms = set.issued_ms;
        self.last_set = Some((set.seq, text.to_vec()));
    }

    /// What the ring knows beyond the start file, for a process that goes on with it.
    pub fn export_state(&self) -> KeyringState {
        let set = self.last_set.as_ref().map(|(_, text)| text.clone());
        KeyringState {
            key_set: set,
            known_keys: self.known_keys.clone(),
        }
    }

    /// Goes on with what another process knew. The set is judged as any that is offered.
    pub fn restore_state(&mut self, now: f64, passed: KeyringState) -> Result<(), KeySetError> {
        if let Some(set) = &passed.key_set {
            self.offer_key_set(now, set)?;
        }
        let room = MAX_KNOWN_KEYS.saturating_sub(self.known_keys.len());
        for (id, seen) in passed.known_keys.into_iter().take(room) {
            let known = self.known_keys.entry(id).or_insert_with(|| seen.clone());
            known.revoked |= seen.revoked;
        }
        Ok(())
    }

    /// The number of the last set.
    pub fn sequence(&self) -> Option<u64> {
        self.last_set.as_ref().map(|(seq, _)| *seq)
    }

    /// How old the last set is, in milliseconds; infinite before the first.
    pub fn age_ms(&self, now: f64) -> f64 {
        (now - self.issued_ms).max(0.0)
    }

    /// Whether there is a set that is not too old.
    pub fn has_usable_key_set(&self, now: f64) -> bool {
        self.age_ms(now) <= self.max_age_ms && self.last_set.is_some()
    }

    /// The phase of a key at this time; `None` for one that is in no set so far.
    pub fn phase(&self, id: &str, at: f64) -> Option<Phase> {
        if self.revocations.keys.contains(id)
            || self.known_keys.get(id).is_some_and(|seen| seen.revoked)
        {
            return Some(Phase::Revoked);
        }
        let Some(key) = self.keys.get(id) else {
            return self.known_keys.get(id).map(|_| Phase::Retired);
        };
        Some(match key {
            _ if at >= key.until_ms && !failpoint::is_active(Failpoint::Overlap) => Phase::Retired,
            _ if at < key.from_ms => Phase::Announced,
            _ if key.has_end => Phase::Outgoing,
            _ => Phase::Active,
        })
    }

    /// Whether tokens of this key pass at this time, and if not, why. Clocks may be apart by the skew: a key
    /// passes so much before it begins and after it ends.
    pub fn check_key(&self, id: &str, at: f64, skew_ms: f64) -> Result<(), DenialReason> {
        let good = |phase| matches!(phase, Some(Phase::Active | Phase::Outgoing));
        match self.phase(id, at) {
            phase if good(phase) => Ok(()),
            Some(Phase::Announced) if good(self.phase(id, at + skew_ms)) => Ok(()),
            Some(Phase::Retired) if good(self.phase(id, at - skew_ms)) => Ok(()),
            Some(Phase::Announced) => Err(DenialReason::KeyNotYetActive),
            Some(Phase::Revoked) => Err(DenialReason::KeyRevoked),
            Some(_) => Err(DenialReason::KeyRetired),
            None => Err(DenialReason::KeyUnknown),
        }
    }

    /// The key of this id, in whatever phase.
    pub fn verifying_key(&self, id: &str) -> Option<&VerifyingKey> {
        self.keys.get(id).map(|key| &key.public)
    }

    /// Whether these claims are revoked by a name in them. Nothing is allocated but for a subject's name, and
    /// that only where subjects are revoked.
    pub fn check_revocations(&self, claims: &Claims) -> Result<(), DenialReason> {
        let Revocations {
            tokens,
            subjects,
            tenants,
            ..
        } = &self.revocations;
        if tenants.contains(&claims.tenant) {
            return Err(DenialReason::TenantRevoked);
        }
        if !subjects.is_empty() && subjects.contains(&format!("{}/{}", claims.tenant, claims.sub)) {
            return Err(DenialReason::SubjectRevoked);
        }
        if tokens.contains(&claims.jti) {
            return Err(DenialReason::TokenRevoked);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::mint::SecretKey;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn secret(n: u8) -> SecretKey {
        SecretKey::from_seed([n; 32], &format!("k{n}"))
    }

    fn published(secret: &SecretKey, from_ms: f64, until_ms: Option<f64>) -> PublicJwk {
        let (kty, crv) = ("OKP".to_owned(), "Ed25519".to_owned());
        PublicJwk {
            kty,
            crv,
            kid: secret.id().to_owned(),
            x: secret.public_key_text(),
            from_ms,
            until_ms,
        }
    }

    fn set(seq: u64, keys: Vec<PublicJwk>) -> KeySet {
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

    fn offer(ring: &mut Keyring, set: &KeySet) -> Result<KeySetOutcome, KeySetError> {
        ring.offer_key_set(1000.0, root().sign_key_set(set).as_bytes())
    }

    fn ring() -> Keyring {
        Keyring::new(vec![root().public_key()], 5000.0)
    }

    #[test]
    fn a_key_goes_through_its_phases_by_time_alone() {
        let mut ring = ring();
        let keys = vec![
            published(&secret(1), 1000.0, Some(3000.0)),
            published(&secret(2), 2000.0, None),
        ];
        assert_eq!(offer(&mut ring, &set(1, keys)), Ok(KeySetOutcome::Adopted));
        use Phase::*;
        for (at, one, two) in [
            (999.0, Announced, Announced),
            (1000.0, Outgoing, Announced),
            (2000.0, Outgoing, Active),
            (2999.9, Outgoing, Active),
            (3000.0, Retired, Active),
        ] {
            assert_eq!(
                (ring.phase("k1", at), ring.phase("k2", at)),
                (Some(one), Some(two)),
                "{at}"
            );
        }
        assert_eq!(ring.phase("k3", 2000.0), None);
        assert_eq!(ring.check_key("k2", 1999.0, 1.0), Ok(()));
        assert_eq!(
            ring.check_key("k2", 1998.9, 1.0),
            Err(DenialReason::KeyNotYetActive)
        );
        assert_eq!(ring.check_key("k1", 3000.9, 1.0), Ok(()));
        assert_eq!(
            ring.check_key("k1", 3001.1, 1.0),
            Err(DenialReason::KeyRetired)
        );
        // One that a later set leaves out is retired at once.
        offer(
            &mut ring,
            &set(2, vec![published(&secret(2), 2000.0, None)]),
        )
        .unwrap();
        assert_eq!(ring.phase("k1", 2000.0), Some(Retired));
    }

    #[test]
    fn a_set_that_may_not_count_changes_nothing() {
        let mut ring = ring();
        let good = set(5, vec![published(&secret(1), 0.0, None)]);
        offer(&mut ring, &good).unwrap();
        let mut reused = published(&secret(2), 0.0, None);
        reused.kid = "k1".to_owned();
        let twice = published(&secret(2), 0.0, None);
        let mut weak = published(&secret(3), 0.0, None);
        weak.x = URL_SAFE_NO_PAD.encode([0; 32]);
        let ahead = KeySet {
            issued_ms: 1e9,
            ..set(6, vec![])
        };
        for (bad, why) in [
            (
                set(4, vec![published(&secret(1), 0.0, None)]),
                KeySetError::OlderSequence,
            ),
            (set(5, vec![]), KeySetError::ReusedSequence),
            (
                set(6, vec![reused.clone()]),
                KeySetError::ReusedKeyId("k1".into()),
            ),
            (
                set(6, vec![twice.clone(), twice]),
                KeySetError::InvalidKey("k2".into()),
            ),
            (set(6, vec![weak]), KeySetError::InvalidKey("k3".into())),
            (ahead, KeySetError::IssuedInFuture),
        ] {
            assert_eq!(offer(&mut ring, &bad), Err(why));
        }
        let by_other = secret(1).sign_key_set(&set(6, vec![]));
        assert_eq!(
            ring.offer_key_set(1000.0, by_other.as_bytes()),
            Err(KeySetError::UntrustedSigner)
        );
        for rubbish in [&b""[..], b"<html>", b"a.b.c", &[0xff; 99]] {
            assert_eq!(
                ring.offer_key_set(1000.0, rubbish),
                Err(KeySetError::Malformed)
            );
        }
        assert_eq!(offer(&mut ring, &good), Ok(KeySetOutcome::Unchanged));
        assert_eq!(
            (ring.sequence(), ring.phase("k1", 1.0)),
            (Some(5), Some(Phase::Active))
        );
        // The id stays taken after the key is gone from the sets.
        offer(&mut ring, &set(6, vec![])).unwrap();
        assert_eq!(
            offer(&mut ring, &set(7, vec![reused])),
            Err(KeySetError::ReusedKeyId("k1".into()))
        );
    }

    #[test]
    fn a_revoked_key_stays_so_whatever_later_sets_say() {
        let mut ring = ring();
        let key = published(&secret(1), 0.0, None);
        offer(&mut ring, &set(1, vec![key.clone()])).unwrap();
        let mut bad = set(2, vec![key.clone()]);
        bad.revoked.keys.insert("k1".into());
        offer(&mut ring, &bad).unwrap();
        offer(&mut ring, &set(3, vec![key])).unwrap();
        assert_eq!(
            ring.check_key("k1", 5.0, 0.0),
            Err(DenialReason::KeyRevoked)
        );
    }

    #[test]
    fn a_set_serves_until_its_age_and_one_that_comes_again_is_no_younger() {
        let mut ring = ring();
        assert!(!ring.has_usable_key_set(0.0));
        let text = root().sign_key_set(&set(1, vec![]));
        ring.offer_key_set(1000.0, text.as_bytes()).unwrap();
        assert!(ring.has_usable_key_set(6000.0) && !ring.has_usable_key_set(6001.0));
        assert_eq!(
            ring.offer_key_set(7000.0, text.as_bytes()),
            Ok(KeySetOutcome::Unchanged)
        );
        assert!(!ring.has_usable_key_set(7000.0));
    }

    #[test]
    fn ids_that_are_remembered_have_a_bound_and_revoked_ones_stay_longest() {
        let mut ring = ring();
        let many = |n: u64| {
            let mut key = published(&secret(1), 0.0, None);
            key.kid = format!("n{n}");
            key
        };
        let mut first = set(1, vec![many(0)]);
        first.revoked.keys.insert("n0".into());
        offer(&mut ring, &first).unwrap();
        for n in 1..=MAX_KNOWN_KEYS as u64 + 5 {
            offer(&mut ring, &set(n + 1, vec![many(n)])).unwrap();
        }
        assert_eq!(ring.known_keys.len(), MAX_KNOWN_KEYS);
        assert_eq!(ring.phase("n0", 1.0), Some(Phase::Revoked));
        assert_eq!(ring.phase("n1", 1.0), None);
    }

    proptest! {
        // The same cases each time: a run that fails can be run again.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]
        /// Whatever sets come in whatever order: numbers only grow, an id never changes its key, what was
        /// revoked never passes again, and a key passes only if the last set that counted says so.
        #[test]
        fn no_order_of_sets_breaks_the_ring(
            sets in prop::collection::vec(
                (0u64..12, prop::collection::vec((0u8..4, 0u8..4, 0u32..9, prop::option::of(0u32..9)), 0..4),
                    prop::option::of(0u8..4)), 1..24),
            at in 0u32..10,
        ) {
            let mut ring = ring();
            let (mut last, mut keys_of, mut gone) = (None, HashMap::new(), HashSet::new());
            for (seq, keys, revoke) in sets {
                let keys = keys.into_iter().map(|(id, key, from, until)| {
                    let mut key = published(&secret(key), from.into(), until.map(f64::from));
                    key.kid = format!("id{id}");
                    key
                }).collect::<Vec<_>>();
                let mut offered = set(seq, keys);
                offered.revoked.keys.extend(revoke.map(|id| format!("id{id}")));
                let before = ring.sequence();
                match offer(&mut ring, &offered) {
                    Ok(KeySetOutcome::Adopted) => {
                        prop_assert!(before.is_none_or(|before| seq > before));
                        for key in &offered.keys {
                            let known = keys_of.entry(key.kid.clone()).or_insert_with(|| key.x.clone());
                            prop_assert_eq!(&*known, &key.x);
                        }
                        gone.extend(offered.revoked.keys.iter().filter(|id| keys_of.contains_key(*id)).cloned());
                        last = Some(offered);
                    }
                    Ok(KeySetOutcome::Unchanged) => prop_assert_eq!(last.as_ref(), Some(&offered)),
                    Err(_) => prop_assert_eq!(ring.sequence(), before),
                }
                for id in (0..4).map(|id| format!("id{id}")) {
                    let says = last.as_ref().is_some_and(|set| {
                        let until = |key: &PublicJwk| key.until_ms.unwrap_or(f64::INFINITY);
                        let holds = |key: &&PublicJwk| {
                            key.kid == id && key.from_ms <= at.into() && f64::from(at) < until(key)
                        };
                        set.keys.iter().any(|key| holds(&key)) && !set.revoked.keys.contains(&id)
                    });
                    prop_assert_eq!(ring.check_key(&id, at.into(), 0.0).is_ok(), says && !gone.contains(&id));
                }
            }
        }
    }
}
