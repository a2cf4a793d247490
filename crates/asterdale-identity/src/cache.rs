//! Tokens whose signature was checked, by a keyed digest of their text: one that comes again costs a look-up.
//! What is kept is who it speaks for, never that it passes: key, times and revocations are looked at anew each
//! time, so that no entry can outlive what it rests on.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use sha2::{Digest as _, Sha512};

use crate::denial::{Caller, DenialReason};

/// Of a token's text: the first half of a SHA-512 over a secret and the text.
pub type Digest = [u8; 32];

/// Makes digests that nobody outside can foresee, so that nobody can choose the places they take.
pub struct TokenDigester {
    key: [u8; 64],
}

impl TokenDigester {
    /// From the process's seed.
    pub fn new(seed: u64) -> TokenDigester {
        TokenDigester {
            key: Sha512::digest(seed.to_le_bytes()).into(),
        }
    }

    /// The digest of this text.
    pub fn digest(&self, text: &[u8]) -> Digest {
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
pub struct RejectedTokens {
    slots: Vec<Option<(Digest, DenialReason)>>,
}

impl RejectedTokens {
    /// With so many places.
    pub fn new(places: usize) -> RejectedTokens {
        RejectedTokens {
            slots: vec![None; places.max(1)],
        }
    }

    fn slot_index(&self, digest: &Digest) -> usize {
        let number = u64::from_le_bytes(digest[..8].try_into().unwrap_or_default());
        (number % self.slots.len() as u64) as usize
    }

    /// Why this one was refused, if it is known.
    pub fn get(&self, digest: &Digest) -> Option<DenialReason> {
        self.slots[self.slot_index(digest)]
            .as_ref()
            .filter(|(known, _)| known == digest)
            .map(|(_, why)| *why)
    }

    /// This one is refused for so long as the set of keys stays.
    pub fn insert(&mut self, digest: Digest, why: DenialReason) {
        let place = self.slot_index(&digest);
        self.slots[place] = Some((digest, why));
    }

    /// The set of keys has changed.
    pub fn clear(&mut self) {
        self.slots.fill(None);
    }
}

/// Tokens that were proven. When it is full the tenant with most tokens in it loses its oldest: one that mints
/// tokens by the thousand pushes out its own.
pub struct VerifiedTokens {
    max_tokens: usize,
    callers: HashMap<Digest, Arc<Caller>>,
    /// Those of each tenant, the oldest first.
    tokens_by_tenant: Vec<VecDeque<Digest>>,
}

impl VerifiedTokens {
    /// With room for so many.
    pub fn new(most: usize) -> VerifiedTokens {
        VerifiedTokens {
            max_tokens: most.max(1),
            callers: HashMap::new(),
            tokens_by_tenant: Vec::new(),
        }
    }

    /// Who it speaks for, if it was proven.
    pub fn get(&self, digest: &Digest) -> Option<&Arc<Caller>> {
        self.callers.get(digest)
    }

    /// It was proven.
    pub fn insert(&mut self, digest: Digest, caller: Arc<Caller>) {
        while self.callers.len() >= self.max_tokens {
            let most = self
                .tokens_by_tenant
                .iter_mut()
                .max_by_key(|tokens| tokens.len());
            let Some(oldest) = most.and_then(VecDeque::pop_front) else {
                break;
            };
            self.callers.remove(&oldest);
        }
        let tenant = caller.tenant as usize;
        if self.tokens_by_tenant.len() <= tenant {
            self.tokens_by_tenant.resize_with(tenant + 1, VecDeque::new);
        }
        if self.callers.insert(digest, caller).is_none() {
            self.tokens_by_tenant[tenant].push_back(digest);
        }
    }

    /// Keeps those for which this holds.
    pub fn retain(&mut self, mut holds: impl FnMut(&Caller) -> bool) {
        let all = &mut self.callers;
        all.retain(|_, caller| holds(caller));
        self.tokens_by_tenant
            .iter_mut()
            .for_each(|tokens| tokens.retain(|digest| all.contains_key(digest)));
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
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
        let digests = TokenDigester::new(7);
        let mut proven = VerifiedTokens::new(10);
        for n in 0..3 {
            proven.insert(digests.digest(&[n]), caller(0, n.into()));
        }
        for n in 0..1000u32 {
            proven.insert(digests.digest(&n.to_le_bytes()), caller(1, n));
        }
        assert_eq!(proven.len(), 10);
        assert!((0..3).all(|n| proven.get(&digests.digest(&[n])).is_some()));
        assert!(proven.get(&digests.digest(&999u32.to_le_bytes())).is_some());
        proven.retain(|caller| caller.tenant == 0);
        assert_eq!((proven.len(), proven.tokens_by_tenant[1].len()), (3, 0));
    }

    #[test]
    fn a_refused_token_is_known_by_its_whole_digest_and_forgotten_with_the_set() {
        let (one, two) = (TokenDigester::new(1), TokenDigester::new(2));
        assert_ne!(one.digest(b"token"), two.digest(b"token"));
        let mut refused = RejectedTokens::new(1);
        refused.insert(one.digest(b"a"), DenialReason::TokenRevoked);
        assert_eq!(
            (
                refused.get(&one.digest(b"a")),
                refused.get(&one.digest(b"b"))
            ),
            (Some(DenialReason::TokenRevoked), None)
        );
        refused.insert(one.digest(b"b"), DenialReason::BadSignature);
        assert_eq!(
            (
                refused.get(&one.digest(b"a")),
                refused.get(&one.digest(b"b"))
            ),
            (None, Some(DenialReason::BadSignature))
        );
        refused.clear();
        assert_eq!(refused.get(&one.digest(b"b")), None);
    }
}
