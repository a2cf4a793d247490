//! Caches of verified and of rejected tokens, by a keyed digest of the token's text.
//!
//! A cached token is not accepted unconditionally: its key, times and revocations are checked again at each use, so
//! that no entry is accepted for longer than its key and claims are valid. Only the signature is not verified again.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use sha2::{Digest as _, Sha512};

use crate::caller::Caller;
use crate::denial::DenialReason;

/// The first half of the SHA-512 of a secret and the token's text.
pub(crate) type TokenDigest = [u8; 32];

/// Computes digests that callers cannot predict, so that they cannot target a slot of the cache.
pub(crate) struct TokenDigester {
    secret: [u8; 64],
}

impl TokenDigester {
    /// A digester whose secret is derived from `seed`.
    pub fn new(seed: u64) -> TokenDigester {
        TokenDigester {
            secret: Sha512::digest(seed.to_le_bytes()).into(),
        }
    }

    /// The digest of a token's text.
    pub fn digest(&self, text: &[u8]) -> TokenDigest {
        let mut hash = Sha512::new();
        hash.update(self.secret);
        hash.update(text);
        let mut digest = TokenDigest::default();
        let digest_bytes = digest.len();
        digest.copy_from_slice(&hash.finalize()[..digest_bytes]);
        digest
    }
}

/// Tokens that are denied until the next key set. A direct-mapped table of fixed size, in which a new entry replaces
/// the one in its slot, so that costs do not grow with the number of invalid tokens.
pub(crate) struct RejectedTokens {
    slots: Vec<Option<(TokenDigest, DenialReason)>>,
}

impl RejectedTokens {
    /// An empty table of `slots` entries, at least one.
    pub fn new(slots: usize) -> RejectedTokens {
        RejectedTokens {
            slots: vec![None; slots.max(1)],
        }
    }

    fn slot_index(&self, digest: &TokenDigest) -> usize {
        let number = u64::from_le_bytes(digest[..8].try_into().unwrap_or_default());
        (number % self.slots.len() as u64) as usize
    }

    /// The reason for which this token was denied, if it is in the table.
    pub fn get(&self, digest: &TokenDigest) -> Option<DenialReason> {
        self.slots[self.slot_index(digest)]
            .as_ref()
            .filter(|(stored, _)| stored == digest)
            .map(|(_, reason)| *reason)
    }

    /// Adds a denied token.
    pub fn insert(&mut self, digest: TokenDigest, reason: DenialReason) {
        let index = self.slot_index(&digest);
        self.slots[index] = Some((digest, reason));
    }

    /// Removes all entries: the key set or the settings have changed.
    pub fn clear(&mut self) {
        self.slots.fill(None);
    }
}

/// Callers whose token's signature was verified. A full cache evicts the oldest entry of the tenant with the most
/// entries, so that a tenant with thousands of tokens evicts its own.
pub(crate) struct VerifiedTokens {
    capacity: usize,
    callers: HashMap<TokenDigest, Arc<Caller>>,
    /// The digests by tenant number, each with the oldest first.
    tokens_by_tenant: Vec<VecDeque<TokenDigest>>,
}

impl VerifiedTokens {
    /// An empty cache of `capacity` entries, at least one.
    pub fn new(capacity: usize) -> VerifiedTokens {
        VerifiedTokens {
            capacity: capacity.max(1),
            callers: HashMap::new(),
            tokens_by_tenant: Vec::new(),
        }
    }

    /// The caller of this token, if it is cached.
    pub fn get(&self, digest: &TokenDigest) -> Option<&Arc<Caller>> {
        self.callers.get(digest)
    }

    /// Adds a verified token, and evicts others if the cache is full.
    pub fn insert(&mut self, digest: TokenDigest, caller: Arc<Caller>) {
        while self.callers.len() >= self.capacity {
            let largest = self
                .tokens_by_tenant
                .iter_mut()
                .max_by_key(|tokens| tokens.len());
            let Some(oldest) = largest.and_then(VecDeque::pop_front) else {
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

    /// Removes the entries for which `is_kept` is false.
    pub fn retain(&mut self, mut should_retain: impl FnMut(&Caller) -> bool) {
        let callers = &mut self.callers;
        callers.retain(|_, caller| should_retain(caller));
        for tokens in &mut self.tokens_by_tenant {
            tokens.retain(|digest| callers.contains_key(digest));
        }
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.callers.len()
    }
}

#[cfg(test)]
mod tests;
