//! The index of idempotency keys: the status of each key, and whether it may be executed. A state machine without I/O or a
//! clock: it returns the writes that must be on disk before an answer is sent. Times are folder time in milliseconds.

use std::collections::{BTreeSet, HashMap};

use crate::entry::{Entry, ExecutionState};

/// The suggested retry delay while the recovery check, which takes some gossip intervals, is not done.
const RECOVERY_PENDING_RETRY_MS: f64 = 100.0;
/// How much longer an entry is kept if its request is still running when its window ends.
const RUNNING_EXTENSION_MS: f64 = 1000.0;
/// The approximate memory of an entry besides its key and result, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 128;

/// The status of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyStatus {
    /// It was never executed, and may be executed.
    Absent,
    /// It was claimed in this run, and its execution has not ended.
    InFlight,
    /// Its execution ended with this result.
    Succeeded(Vec<u8>),
    /// Its execution ended without a result.
    Failed,
    /// It may have been executed in an earlier run. A retry is useful after `retry_after_ms`.
    Unknown {
        /// The time until the key's window or the quiet period ends; a fixed delay while the recovery check is not done.
        retry_after_ms: f64,
    },
    /// The key belongs to a request with another body.
    BodyMismatch,
    /// It was not executed, since the index is full, the disk has failed, or this run may start no more executions.
    Unavailable,
}

/// A change that has to be written to disk.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyWrite {
    /// Store this entry under this key.
    Put(Vec<u8>, Entry),
    /// Delete the entry of this key.
    Delete(Vec<u8>),
}

/// The capacity of the index.
#[derive(Clone, Copy, Debug)]
pub struct IndexLimits {
    /// The maximal number of keys.
    pub max_entries: usize,
    /// The maximal size of keys and results, in bytes.
    pub max_bytes: usize,
}

/// A request that is about to be executed.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// The idempotency key.
    pub key: &'a [u8],
    /// The digest of the request's body.
    pub body_digest: u64,
    /// The id of the attempt.
    pub attempt_id: &'a [u8],
    /// How long the key is remembered, in milliseconds.
    pub window_ms: f64,
}

#[derive(Clone, Debug)]
struct IndexedEntry {
    entry: Entry,
    /// The number of the claim in this run; 0 for an entry of an earlier run.
    claim: u64,
}

impl IndexedEntry {
    /// Whether the key was claimed in this run and its execution has not ended.
    fn is_in_flight(&self) -> bool {
        self.claim > 0 && self.entry.state() == ExecutionState::Intent
    }

    fn size_bytes(&self, key: &[u8]) -> usize {
        key.len() + self.entry.result.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// The index of keys.
#[derive(Clone, Debug)]
pub struct KeyIndex {
    entries: HashMap<Vec<u8>, IndexedEntry>,
    /// Keys in the order in which their windows end, in whole milliseconds.
    expirations: BTreeSet<(u64, Vec<u8>)>,
    size_bytes: usize,
    limits: IndexLimits,
    run: u64,
    last_claim: u64,
    quiet_until_ms: f64,
}

/// The end of a window as a number with a total order.
fn expiration(expires_at_ms: f64) -> u64 {
    expires_at_ms.max(0.0).ceil() as u64
}

impl KeyIndex {
    /// Creates an index with the entries that earlier runs wrote. No other key may be executed until
    /// [`KeyIndex::set_quiet_until`] is called.
    pub fn new(
        run: u64,
        limits: IndexLimits,
        stored: impl IntoIterator<Item = (Vec<u8>, Entry)>,
    ) -> KeyIndex {
        let mut index = KeyIndex {
            entries: HashMap::new(),
            expirations: BTreeSet::new(),
            size_bytes: 0,
            limits,
            run,
            last_claim: 0,
            quiet_until_ms: f64::INFINITY,
        };
        for (key, entry) in stored {
            index.insert(key, IndexedEntry { entry, claim: 0 });
        }
        index
    }

    /// Sets the end of the quiet period. Until then, a key without an entry may have been executed by an earlier run, and is
    /// not executed.
    pub fn set_quiet_until(&mut self, quiet_until_ms: f64) {
        self.quiet_until_ms = quiet_until_ms;
    }

    /// The number of keys, and their size in bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.size_bytes)
    }

    fn insert(&mut self, key: Vec<u8>, indexed: IndexedEntry) {
        self.remove(&key);
        self.size_bytes += indexed.size_bytes(&key);
        self.expirations
            .insert((expiration(indexed.entry.expires_at_ms), key.clone()));
        self.entries.insert(key, indexed);
    }

    fn remove(&mut self, key: &[u8]) -> Option<IndexedEntry> {
        let indexed = self.entries.remove(key)?;
        self.size_bytes -= indexed.size_bytes(key);
        self.expirations
            .remove(&(expiration(indexed.entry.expires_at_ms), key.to_vec()));
        Some(indexed)
    }

    /// Returns the status of a key for a request with this body digest.
    pub fn lookup(&self, now_ms: f64, key: &[u8], body_digest: u64) -> KeyStatus {
        let Some(indexed) = self.entries.get(key) else {
            return self.status_of_absent_key(now_ms);
        };
        let entry = &indexed.entry;
        if entry.body_digest != body_digest {
            return KeyStatus::BodyMismatch;
        }
        match entry.state() {
            ExecutionState::Succeeded => KeyStatus::Succeeded(entry.result.clone()),
            ExecutionState::Failed => KeyStatus::Failed,
            ExecutionState::Intent if indexed.is_in_flight() => KeyStatus::InFlight,
            ExecutionState::Intent => KeyStatus::Unknown {
                retry_after_ms: (entry.expires_at_ms - now_ms).max(0.0),
            },
        }
    }

    fn status_of_absent_key(&self, now_ms: f64) -> KeyStatus {
        if now_ms >= self.quiet_until_ms {
            return KeyStatus::Absent;
        }
        let retry_after_ms = if self.quiet_until_ms.is_finite() {
            self.quiet_until_ms - now_ms
        } else {
            RECOVERY_PENDING_RETRY_MS
        };
        KeyStatus::Unknown { retry_after_ms }
    }

    /// Claims a key for execution. Returns the claim's number and the intent, which must be on disk before the execution
    /// starts.
    ///
    /// # Errors
    /// The key's status if it may not be executed.
    pub fn claim(
        &mut self,
        now_ms: f64,
        request: ClaimRequest<'_>,
    ) -> Result<(u64, KeyWrite), KeyStatus> {
        match self.lookup(now_ms, request.key, request.body_digest) {
            KeyStatus::Absent => {}
            status => return Err(status),
        }
        if self.is_full() {
            return Err(KeyStatus::Unavailable);
        }
        self.last_claim += 1;
        let claim = self.last_claim;
        let entry = Entry {
            state: ExecutionState::Intent.into(),
            body_digest: request.body_digest,
            attempt_id: request.attempt_id.to_vec(),
            expires_at_ms: now_ms + request.window_ms,
            result: Vec::new(),
            run: self.run,
        };
        Ok((claim, self.put(request.key, entry, claim)))
    }

    fn is_full(&self) -> bool {
        self.entries.len() >= self.limits.max_entries || self.size_bytes >= self.limits.max_bytes
    }

    fn put(&mut self, key: &[u8], entry: Entry, claim: u64) -> KeyWrite {
        let write = KeyWrite::Put(key.to_vec(), entry.clone());
        self.insert(key.to_vec(), IndexedEntry { entry, claim });
        write
    }

    /// The entry of a claim that is in flight.
    fn claimed(&self, key: &[u8], claim: u64) -> Option<&Entry> {
        let indexed = self.entries.get(key)?;
        (indexed.claim == claim && indexed.is_in_flight()).then_some(&indexed.entry)
    }

    /// Records how a claimed execution ended. Returns the outcome, which must be on disk before it is reported; `None` if the
    /// claim is not in flight.
    pub fn record_outcome(
        &mut self,
        key: &[u8],
        claim: u64,
        result: Option<Vec<u8>>,
    ) -> Option<KeyWrite> {
        let mut entry = self.claimed(key, claim)?.clone();
        // A result beyond the size limit is not stored: retries of the request fail, and are not executed.
        let fits = |result: &Vec<u8>| self.size_bytes + result.len() <= self.limits.max_bytes;
        match result.filter(fits) {
            Some(result) => {
                entry.state = ExecutionState::Succeeded.into();
                entry.result = result;
            }
            None => entry.state = ExecutionState::Failed.into(),
        }
        Some(self.put(key, entry, claim))
    }

    /// Removes a claim whose execution never started; `None` if the claim is not in flight.
    pub fn cancel_claim(&mut self, key: &[u8], claim: u64) -> Option<KeyWrite> {
        self.claimed(key, claim)?;
        self.remove(key);
        Some(KeyWrite::Delete(key.to_vec()))
    }

    /// Removes up to `max_count` entries whose windows have ended. Entries in flight are kept.
    pub fn remove_expired(&mut self, now_ms: f64, max_count: usize) -> Vec<KeyWrite> {
        let expired: Vec<Vec<u8>> = self
            .expirations
            .range(..(expiration(now_ms), Vec::new()))
            .take(max_count)
            .map(|(_, key)| key.clone())
            .collect();
        let mut writes = Vec::new();
        for key in expired {
            let Some(mut indexed) = self.remove(&key) else {
                continue;
            };
            if indexed.is_in_flight() {
                indexed.entry.expires_at_ms = now_ms + RUNNING_EXTENSION_MS;
                self.insert(key, indexed);
            } else {
                writes.push(KeyWrite::Delete(key));
            }
        }
        writes
    }
}

#[cfg(test)]
mod tests;
