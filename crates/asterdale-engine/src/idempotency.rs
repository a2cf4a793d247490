//! The idempotency table: which tasks are retained under an idempotency key, which tasks joined them, and how they
//! ended. The policies decide what is retained, and for how long.

use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use crate::memory::MemoryBudget;
use crate::message::{IdempotencyKey, TaskId};

/// The maximum size of an entry without its result, in bytes: its key, its place in a table that has just grown, and the
/// allocator's overhead for key and result.
const ENTRY_BYTES: usize = 576;

/// The state of a retained task.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "hot-restart", derive(serde::Serialize, serde::Deserialize))]
pub enum EntryState {
    /// It is queued or running; tasks that join it are notified when it ends.
    #[cfg_attr(feature = "hot-restart", serde(rename = "Open"))]
    Pending,
    /// It ended with this result.
    #[cfg_attr(feature = "hot-restart", serde(rename = "Passed"))]
    Served(Arc<[u8]>),
    /// It ended without a result, or its result is not cached.
    Failed,
}

/// The task that an entry belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Its number.
    pub task: TaskId,
    /// The digest of its body.
    pub body_digest: u64,
}

#[derive(Clone)]
#[cfg_attr(feature = "hot-restart", derive(serde::Serialize, serde::Deserialize))]
struct Entry {
    owner: TaskId,
    #[cfg_attr(feature = "hot-restart", serde(rename = "sign"))]
    body_digest: u64,
    /// Requests that arrived before this time are repeats.
    #[cfg_attr(feature = "hot-restart", serde(rename = "until"))]
    window_end: f64,
    /// For reads: how long repeats are answered with the result after the read has ended, in milliseconds.
    fresh_ms: Option<f64>,
    #[cfg_attr(feature = "hot-restart", serde(rename = "fate"))]
    state: EntryState,
    /// Tasks that joined it.
    waiting: Vec<TaskId>,
}

/// The content of a table, for the process that takes it over.
#[cfg(feature = "hot-restart")]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ExportedTable {
    secret: u64,
    entries: Vec<(IdempotencyKey, Entry)>,
}

/// The bounds of a table.
#[derive(Clone, Copy, Debug)]
pub struct IdempotencyLimits {
    /// The size of all results, in bytes. Results beyond it are not cached: repeats of their requests fail, but never
    /// run.
    pub max_result_bytes: usize,
    /// The number of entries.
    pub max_entries: usize,
}

impl From<&MemoryBudget> for IdempotencyLimits {
    fn from(budget: &MemoryBudget) -> IdempotencyLimits {
        IdempotencyLimits {
            max_result_bytes: budget.results,
            max_entries: budget.idempotency_entries / ENTRY_BYTES,
        }
    }
}

/// The table. Times are the engine's, in milliseconds.
pub struct IdempotencyTable {
    entries: HashMap<IdempotencyKey, Entry>,
    /// The size of all results.
    result_bytes: usize,
    limits: IdempotencyLimits,
    /// The longest time that a request may remain unread after its arrival, in milliseconds. Entries are retained for
    /// this long after the end of their window, because requests that arrived within the window may be read that late.
    max_unread_ms: f64,
    secret: u64,
}

impl IdempotencyTable {
    /// An empty table. `max_unread_ms` is the longest time that a request may remain unread after its arrival. The
    /// secret makes the body digests unpredictable for clients.
    pub fn new(limits: IdempotencyLimits, max_unread_ms: f64, secret: u64) -> IdempotencyTable {
        IdempotencyTable {
            entries: HashMap::new(),
            result_bytes: 0,
            limits,
            max_unread_ms,
            secret,
        }
    }

    /// Whether the table has no capacity for another entry.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.limits.max_entries
    }

    /// The digest of a body. It depends on the secret, so that clients cannot construct two bodies with the same
    /// digest.
    pub fn digest(&self, body: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.secret, !self.secret);
        hasher.write(body);
        hasher.finish()
    }

    /// Whether this key is retained with another body. Reads under one key may have different bodies.
    pub fn has_other_body(&self, key: &IdempotencyKey, body_digest: u64) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.body_digest != body_digest && entry.fresh_ms.is_none())
    }

    /// Whether a request that arrived at this time repeats a retained task.
    pub fn is_repeat(&self, key: &IdempotencyKey, arrived_at: f64) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| arrived_at < entry.window_end)
    }

    /// Whether a task is retained under this key, also after its window.
    pub fn is_retained(&self, key: &IdempotencyKey) -> bool {
        self.entries.contains_key(key)
    }

    /// Whether a task other than this one is retained under this key, also after its window.
    pub fn is_retained_by_other(&self, key: &IdempotencyKey, task: TaskId) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.owner != task)
    }

    /// Retains a task. `fresh_ms` is set for reads, whose window starts when their result is there: until then every
    /// request with their key is a repeat. Returns the tasks that joined the entry that this one replaces; they have
    /// failed.
    pub fn retain(
        &mut self,
        key: IdempotencyKey,
        owner: Owner,
        window_end: f64,
        fresh_ms: Option<f64>,
    ) -> Vec<TaskId> {
        let entry = Entry {
            owner: owner.task,
            body_digest: owner.body_digest,
            window_end: if fresh_ms.is_some() {
                f64::INFINITY
            } else {
                window_end
            },
            fresh_ms,
            state: EntryState::Pending,
            waiting: Vec::new(),
        };
        let replaced = self.entries.insert(key, entry);
        replaced.map_or_else(Vec::new, |entry| self.release_result(entry))
    }

    /// Drops the entry of this task. Returns the tasks that joined it.
    pub fn forget(&mut self, key: &IdempotencyKey, owner: TaskId) -> Vec<TaskId> {
        let is_owner = |entry: &Entry| entry.owner == owner;
        if !self.entries.get(key).is_some_and(is_owner) {
            return Vec::new();
        }
        let removed = self.entries.remove(key);
        removed.map_or_else(Vec::new, |entry| self.release_result(entry))
    }

    /// Releases the result of an entry that was removed from the table. Returns the tasks that joined the entry.
    fn release_result(&mut self, entry: Entry) -> Vec<TaskId> {
        if let EntryState::Served(result) = &entry.state {
            self.result_bytes -= result.len();
        }
        entry.waiting
    }

    /// Joins a task to the retained one, and returns the state of the retained one. If that is pending, the task waits
    /// for its end.
    pub fn join(&mut self, key: &IdempotencyKey, task: TaskId) -> EntryState {
        let Some(entry) = self.entries.get_mut(key) else {
            return EntryState::Failed;
        };
        if matches!(entry.state, EntryState::Pending) {
            entry.waiting.push(task);
        }
        entry.state.clone()
    }

    /// Makes another task the owner of an entry, because it executes the request in place of `owner`, which can then
    /// join it like any repeat. Returns `false` if the entry does not belong to `owner`.
    #[cfg(feature = "ownership")]
    pub fn reassign(&mut self, key: &IdempotencyKey, owner: TaskId, new_owner: TaskId) -> bool {
        let entry = self.entries.get_mut(key);
        let Some(entry) = entry.filter(|entry| entry.owner == owner) else {
            return false;
        };
        entry.owner = new_owner;
        entry.state = EntryState::Pending;
        true
    }

    /// Records the end of a retained task, with its result if it has one. Returns the tasks that joined it.
    pub fn complete(
        &mut self,
        key: &IdempotencyKey,
        owner: TaskId,
        now: f64,
        result: Option<Arc<[u8]>>,
    ) -> Vec<TaskId> {
        let is_pending =
            |entry: &&mut Entry| entry.owner == owner && matches!(entry.state, EntryState::Pending);
        let Some(entry) = self.entries.get_mut(key).filter(is_pending) else {
            return Vec::new();
        };
        if let Some(fresh_ms) = entry.fresh_ms {
            // A read that failed may run again at once.
            entry.window_end = result.as_ref().map_or(now, |_| now + fresh_ms);
        }
        entry.state = match result {
            Some(result) if self.result_bytes + result.len() <= self.limits.max_result_bytes => {
                self.result_bytes += result.len();
                EntryState::Served(result)
            }
            _ => EntryState::Failed,
        };
        std::mem::take(&mut entry.waiting)
    }

    /// Drops entries whose window has ended, once every request that arrived within it must have been read.
    pub fn sweep(&mut self, now: f64) {
        let (max_unread_ms, mut freed) = (self.max_unread_ms, 0);
        self.entries.retain(|_, entry| {
            let is_live = matches!(entry.state, EntryState::Pending)
                || entry.window_end + max_unread_ms > now;
            if let (false, EntryState::Served(result)) = (is_live, &entry.state) {
                freed += result.len();
            }
            is_live
        });
        self.result_bytes -= freed;
    }

    /// When the last window ends, including the time for which requests may remain unread. Pending reads are not
    /// counted: their window has not started. Without entries it is long past.
    #[cfg(feature = "hot-restart")]
    pub fn last_window_end(&self) -> f64 {
        let window_ends = self
            .entries
            .values()
            .map(|entry| entry.window_end)
            .filter(|window_end| window_end.is_finite());
        window_ends.fold(0.0, f64::max) + self.max_unread_ms
    }

    /// The content of the table for the process that takes it over, with the secret of the digests. `without_entries`
    /// injects the fault that the entries are lost.
    #[cfg(feature = "hot-restart")]
    pub fn export(&self, without_entries: bool) -> ExportedTable {
        let entries = self.entries.iter().filter(|_| !without_entries);
        ExportedTable {
            secret: self.secret,
            entries: entries
                .map(|(key, entry)| (key.clone(), entry.clone()))
                .collect(),
        }
    }

    /// Replaces the content of this table by that of another process's table.
    #[cfg(feature = "hot-restart")]
    pub fn import(&mut self, exported: ExportedTable) {
        let size = |entry: &Entry| match &entry.state {
            EntryState::Served(result) => result.len(),
            _ => 0,
        };
        self.secret = exported.secret;
        self.result_bytes = exported.entries.iter().map(|(_, entry)| size(entry)).sum();
        self.entries = exported.entries.into_iter().collect();
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The upper bound of the memory of all entries without their results, in bytes.
    pub fn entry_bytes(&self) -> usize {
        self.entries.len() * ENTRY_BYTES
    }

    /// The size of all results, in bytes.
    pub fn bytes(&self) -> usize {
        self.result_bytes
    }
}

#[cfg(test)]
mod tests;
