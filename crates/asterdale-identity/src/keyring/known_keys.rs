//! The keys of all key sets so far, recorded to ensure that a key id always refers to the same key, and that a revoked
//! key stays revoked even if later sets do not list the revocation.

use std::collections::{HashMap, HashSet};

use ed25519_dalek::VerifyingKey;
use serde::{Deserialize, Serialize};

use super::phase::ScheduledKey;

/// The maximum number of keys that are retained: those of most of a day at one new key per minute. Beyond it, the keys
/// that have been absent from the sets for longest are evicted, revoked ones last.
pub(super) const MAX_KNOWN_KEYS: usize = 1024;

/// A key of any set so far. Its field names are part of the stored form.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct KnownKey {
    #[serde(rename = "bytes")]
    public_bytes: [u8; 32],
    revoked: bool,
    /// The sequence number of the last set that contained the key.
    #[serde(rename = "last")]
    last_sequence: u64,
}

/// The keys of all sets so far, by id.
#[derive(Default)]
pub(super) struct KnownKeys {
    by_id: HashMap<String, KnownKey>,
}

impl KnownKeys {
    /// Whether this id is new, or known with this same key.
    pub fn is_consistent(&self, id: &str, key: &VerifyingKey) -> bool {
        self.by_id
            .get(id)
            .is_none_or(|known| known.public_bytes == *key.as_bytes())
    }

    pub fn contains(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    pub fn is_revoked(&self, id: &str) -> bool {
        self.by_id.get(id).is_some_and(|known| known.revoked)
    }

    /// Records the keys and the revoked key ids of a set, and evicts excess keys.
    pub fn record(
        &mut self,
        sequence: u64,
        keys: &HashMap<String, ScheduledKey>,
        revoked_ids: &HashSet<String>,
    ) {
        for (id, key) in keys {
            let known = self.by_id.entry(id.clone()).or_insert(KnownKey {
                public_bytes: *key.public.as_bytes(),
                revoked: false,
                last_sequence: sequence,
            });
            known.last_sequence = sequence;
        }
        for id in revoked_ids {
            if let Some(known) = self.by_id.get_mut(id) {
                known.revoked = true;
            }
        }
        while self.by_id.len() > MAX_KNOWN_KEYS && self.evict_oldest(keys) {}
    }

    /// Evicts the oldest key that is not in `current`; `false` if there is none.
    fn evict_oldest(&mut self, current: &HashMap<String, ScheduledKey>) -> bool {
        let oldest = self
            .by_id
            .iter()
            .filter(|(id, _)| !current.contains_key(*id))
            .min_by_key(|(_, known)| (known.revoked, known.last_sequence))
            .map(|(id, _)| id.clone());
        oldest.is_some_and(|id| self.by_id.remove(&id).is_some())
    }

    pub fn export(&self) -> HashMap<String, KnownKey> {
        self.by_id.clone()
    }

    /// Adds the keys of another process with their revocations, as far as there is space.
    pub fn restore(&mut self, keys: HashMap<String, KnownKey>) {
        let space = MAX_KNOWN_KEYS.saturating_sub(self.by_id.len());
        for (id, key) in keys.into_iter().take(space) {
            let is_revoked = key.revoked;
            let known = self.by_id.entry(id).or_insert(key);
            known.revoked |= is_revoked;
        }
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }
}
