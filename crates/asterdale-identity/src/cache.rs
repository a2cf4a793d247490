//! Tokens whose signature was checked, by a keyed digest of their text: one that comes again costs a look-up.
//! What is kept is who it speaks for, never that it passes: key, times and revocations are looked at anew each
//! time, so that no entry can outlive what it rests on.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use sha2::{Digest as _, Sha512};

use crate::who::{Caller, Why};

/// Of a token's text: the first half of a SHA-512 over a secret and the text.
pub type Digest = [u8; 32];

/// Makes digests that nobody outside can foresee, so that nobody can choose the places they take.
pub struct Digests {
    key: [u8; 64],
}

impl Digests {
    /// From the process's seed.
    pub fn new(seed: u64) -> Digests {
        Digests {
            key: Sha512::digest(seed.to_le_bytes()).into(),
        }
    }

    /// The digest of this text.
    pub fn of(&self, text: &[u8]) -> Digest {
        let mut hash = Sha512::new();
        hash.update(self.key);
        hash.update(text);
        let mut digest = [0; 32];
        digest.copy_from_slice(&hash.finalize()[..32]);
        digest
    }
}

/// Tokens that were refused for what can't change before the next set of keys. A table of fixed size in which
/// a newer one takes the place of an older: a look-up and an entry cost the same however many are wrong.
pub struct RefusedTokens {
    places: Vec<Option<(Digest, Why)>>,
}

impl RefusedTokens {
    /// With so many places.
    pub fn new(places: usize) -> RefusedTokens {
        RefusedTokens {
            places: vec![None; places.max(1)],
        }
    }

    fn place(&self, digest: &Digest) -> usize {
        let number = u64::from_le_bytes(digest[..8].try_into().unwrap_or_default());
        (number % self.places.len() as u64) as usize
    }

    /// Why this one was refused, if it is known.
    pub fn get(&self, digest: &Digest) -> Option<Why> {
        self.places[self.place(digest)]
            .as_ref()
            .filter(|(known, _)| known == digest)
            .map(|(_, why)| *why)
    }

    /// This one is refused for so long as the set of keys stays.
    pub fn put(&mut self, digest: Digest, why: Why) {
        let place = self.place(&digest);
        self.places[place] = Some((digest, why));
    }

    /// The set of keys has changed.
    pub fn clear(&mut self) {
        self.places.fill(None);
    }
}

/// Tokens that were proven. When it is full the tenant with most tokens in it loses its oldest: one that mints
/// tokens by the thousand pushes out its own.
pub struct Proven {
    most: usize,
    all: HashMap<Digest, Arc<Caller>>,
    /// Those of each tenant, the oldest first.
    tenants: Vec<VecDeque<Digest>>,
}

impl Proven {
    /// With room for so many.
    pub fn new(most: usize) -> Proven {
        Proven {
            most: most.max(1),
            all: HashMap::new(),
            tenants: Vec::new(),
        }
    }

    /// Who it speaks for, if it was proven.
    pub fn get(&self, digest: &Digest) -> Option<&Arc<Caller>> {
        self.all.get(digest)
    }

    /// It was proven.
    pub fn put(&mut self, digest: Digest, caller: Arc<Caller>) {
        while self.all.len() >= self.most {
            let most = self.tenants.iter_mut().max_by_key(|tokens| tokens.len());
            let Some(oldest) = most.and_then(VecDeque::pop_front) else {
                break;
            };
            self.all.remove(&oldest);
        }
        let tenant = caller.tenant as usize;
        if self.tenants.len() <= tenant {
            self.tenants.resize_with(tenant + 1, VecDeque::new);
        }
        if self.all.insert(digest, caller).is_none() {
            self.tenants[tenant].push_back(digest);
        }
    }

    /// Keeps those for which this holds.
    pub fn retain(&mut self, mut holds: impl FnMut(&Caller) -> bool) {
        let all = &mut self.all;
        all.retain(|_, caller| holds(caller));
        self.tenants
            .iter_mut()
            .for_each(|tokens| tokens.retain(|digest| all.contains_key(digest)));
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn caller(tenant: u32, n: u32) -> Arc<Caller> {
        Arc::new(Caller::for_tests(tenant, &n.to_string()))
    }

    #[test]
    fn a_tenant_with_ever_new_tokens_pushes_out_its_own() {
        let digests = Digests::new(7);
        let mut proven = Proven::new(10);
        for n in 0..3 {
            proven.put(digests.of(&[n]), caller(0, n.into()));
        }
        for n in 0..1000u32 {
            proven.put(digests.of(&n.to_le_bytes()), caller(1, n));
        }
        assert_eq!(proven.len(), 10);
        assert!((0..3).all(|n| proven.get(&digests.of(&[n])).is_some()));
        assert!(proven.get(&digests.of(&999u32.to_le_bytes())).is_some());
        proven.retain(|caller| caller.tenant == 0);
        assert_eq!((proven.len(), proven.tenants[1].len()), (3, 0));
    }

    #[test]
    fn a_refused_token_is_known_by_its_whole_digest_and_forgotten_with_the_set() {
        let (one, two) = (Digests::new(1), Digests::new(2));
        assert_ne!(one.of(b"token"), two.of(b"token"));
        let mut refused = RefusedTokens::new(1);
        refused.put(one.of(b"a"), Why::TokenRevoked);
        assert_eq!(
            (refused.get(&one.of(b"a")), refused.get(&one.of(b"b"))),
            (Some(Why::TokenRevoked), None)
        );
        refused.put(one.of(b"b"), Why::Signature);
        assert_eq!(
            (refused.get(&one.of(b"a")), refused.get(&one.of(b"b"))),
            (None, Some(Why::Signature))
        );
        refused.clear();
        assert_eq!(refused.get(&one.of(b"b")), None);
    }
}
