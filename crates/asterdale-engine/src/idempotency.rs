//! The table of fingerprints: which tasks are remembered, who repeats them, and what became of them. What is
//! remembered, and for how long, the module says; here it is only kept.

use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use crate::message::{IdempotencyKey, TaskId};

/// What became of a remembered task.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "hot-restart", derive(serde::Serialize, serde::Deserialize))]
pub enum EntryState {
    /// It is held or runs; whoever joined hears of its end.
    #[cfg_attr(feature = "hot-restart", serde(rename = "Open"))]
    Pending,
    /// It ended with this result.
    #[cfg_attr(feature = "hot-restart", serde(rename = "Passed"))]
    Served(Arc<[u8]>),
    /// It has no result that could be given.
    Failed,
}

#[derive(Clone)]
#[cfg_attr(feature = "hot-restart", derive(serde::Serialize, serde::Deserialize))]
struct Entry {
    owner: TaskId,
    /// Of its body.
    #[cfg_attr(feature = "hot-restart", serde(rename = "sign"))]
    body_digest: u64,
    /// Repeats that came to the machine before this are known by it.
    #[cfg_attr(feature = "hot-restart", serde(rename = "until"))]
    window_end: f64,
    /// For reads: once it has ended well, it serves for so long.
    fresh_ms: Option<f64>,
    #[cfg_attr(feature = "hot-restart", serde(rename = "fate"))]
    state: EntryState,
    waiting: Vec<TaskId>,
}

/// What another process needs to go on with a table.
#[cfg(feature = "hot-restart")]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ExportedTable {
    secret: u64,
    entries: Vec<(IdempotencyKey, Entry)>,
}

/// The table. Times are the module's, in milliseconds.
pub struct IdempotencyTable {
    entries: HashMap<IdempotencyKey, Entry>,
    /// Of the results in it.
    bytes: usize,
    max_bytes: usize,
    max_entries: usize,
    /// The longest that a task lies unread after it came to the machine: entries stay that much longer.
    unread_ms: f64,
    secret: u64,
}

impl IdempotencyTable {
    /// An empty table in a process of so much memory. A quarter of that is for results: those over it are not
    /// kept, and their repeats are abandoned, still never run. An eighth is for the entries themselves, at
    /// 512 bytes each. The secret makes signs that nobody outside can foresee.
    pub fn new(memory: usize, unread_ms: f64, secret: u64) -> IdempotencyTable {
        let (most_bytes, most) = (memory / 4, memory / 8 / 512);
        IdempotencyTable {
            entries: HashMap::new(),
            bytes: 0,
            max_bytes: most_bytes,
            max_entries: most,
            unread_ms,
            secret,
        }
    }

    /// Nothing more can be remembered.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.max_entries
    }

    /// What tells a body from others: nobody outside can make two that are alike by it.
    pub fn digest(&self, body: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.secret, !self.secret);
        hasher.write(body);
        hasher.finish()
    }

    /// Whether this mark is known with another body. For reads that is no matter.
    pub fn has_other_body(&self, mark: &IdempotencyKey, sign: u64) -> bool {
        self.entries
            .get(mark)
            .is_some_and(|entry| entry.body_digest != sign && entry.fresh_ms.is_none())
    }

    /// Whether a task that came to the machine at `arrived` repeats one that is remembered.
    pub fn is_repeat(&self, mark: &IdempotencyKey, arrived: f64) -> bool {
        self.entries
            .get(mark)
            .is_some_and(|entry| arrived < entry.window_end)
    }

    /// Remembers a task. Whoever waited for one that it replaces comes back, to be told that it failed.
    pub fn remember(
        &mut self,
        mark: IdempotencyKey,
        (owner, sign): (TaskId, u64),
        until: f64,
        fresh_ms: Option<f64>,
    ) -> Vec<TaskId> {
        let until = if fresh_ms.is_some() {
            f64::INFINITY
        } else {
            until
        };
        let entry = Entry {
            owner,
            body_digest: sign,
            window_end: until,
            fresh_ms,
            state: EntryState::Pending,
            waiting: Vec::new(),
        };
        let before = self.entries.insert(mark, entry);
        before.map_or_else(Vec::new, |entry| self.drop_entry(entry))
    }

    /// Drops the entry of this task; whoever waited for it comes back.
    pub fn forget(&mut self, mark: &IdempotencyKey, owner: TaskId) -> Vec<TaskId> {
        if self
            .entries
            .get(mark)
            .is_none_or(|entry| entry.owner != owner)
        {
            return Vec::new();
        }
        self.entries
            .remove(mark)
            .map_or_else(Vec::new, |entry| self.drop_entry(entry))
    }

    fn drop_entry(&mut self, entry: Entry) -> Vec<TaskId> {
        if let EntryState::Served(result) = &entry.state {
            self.bytes -= result.len();
        }
        entry.waiting
    }

    /// Joins a task to the one it repeats: that one's fate so far. One that is open is waited for.
    pub fn join(&mut self, mark: &IdempotencyKey, who: TaskId) -> EntryState {
        let Some(entry) = self.entries.get_mut(mark) else {
            return EntryState::Failed;
        };
        if matches!(entry.state, EntryState::Pending) {
            entry.waiting.push(who);
        }
        entry.state.clone()
    }

    /// Another backend has what this task was to run: it waits for that one's end like any repeat.
    #[cfg(feature = "ownership")]
    pub fn reassign(&mut self, mark: &IdempotencyKey, owner: TaskId, other: TaskId) -> bool {
        let Some(entry) = self
            .entries
            .get_mut(mark)
            .filter(|entry| entry.owner == owner)
        else {
            return false;
        };
        (entry.owner, entry.state) = (other, EntryState::Pending);
        true
    }

    /// A remembered task has ended, with a result or without; whoever waited for it comes back.
    pub fn complete(
        &mut self,
        mark: &IdempotencyKey,
        owner: TaskId,
        now: f64,
        result: Option<Arc<[u8]>>,
    ) -> Vec<TaskId> {
        let open = |entry: &&mut Entry| entry.owner == owner && matches!(entry.state, EntryState::Pending);
        let Some(entry) = self.entries.get_mut(mark).filter(open) else {
            return Vec::new();
        };
        if let Some(fresh_ms) = entry.fresh_ms {
            // A read that failed may run again at once.
            entry.window_end = result.as_ref().map_or(now, |_| now + fresh_ms);
        }
        entry.state = match result {
            Some(result) if self.bytes + result.len() <= self.max_bytes => {
                self.bytes += result.len();
                EntryState::Served(result)
            }
            _ => EntryState::Failed,
        };
        std::mem::take(&mut entry.waiting)
    }

    /// Drops what has lapsed for every task that could still be unread.
    pub fn sweep(&mut self, now: f64) {
        let (unread_ms, mut freed) = (self.unread_ms, 0);
        self.entries.retain(|_, entry| {
            let keep = matches!(entry.state, EntryState::Pending) || entry.window_end + unread_ms > now;
            if let (false, EntryState::Served(result)) = (keep, &entry.state) {
                freed += result.len();
            }
            keep
        });
        self.bytes -= freed;
    }

    /// When the last window that is open now ends; 0 without any.
    #[cfg(feature = "hot-restart")]
    pub fn last_window(&self) -> f64 {
        let windows = self
            .entries
            .values()
            .map(|entry| entry.window_end)
            .filter(|until| until.is_finite());
        windows.fold(0.0, f64::max) + self.unread_ms
    }

    /// All that is remembered, and the secret of the signs, for a process that goes on; nothing of it where a
    /// proof plants that fault.
    #[cfg(feature = "hot-restart")]
    pub fn export(&self, none: bool) -> ExportedTable {
        let entry = |(mark, entry): (&IdempotencyKey, &Entry)| (mark.clone(), entry.clone());
        let entries = self.entries.iter().filter(|_| !none).map(entry).collect();
        ExportedTable {
            secret: self.secret,
            entries,
        }
    }

    /// Goes on with what another process remembered.
    #[cfg(feature = "hot-restart")]
    pub fn import(&mut self, passed: ExportedTable) {
        let size = |entry: &Entry| {
            if let EntryState::Served(result) = &entry.state {
                result.len()
            } else {
                0
            }
        };
        self.secret = passed.secret;
        self.bytes = passed.entries.iter().map(|(_, entry)| size(entry)).sum();
        self.entries = passed.entries.into_iter().collect();
    }

    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Bytes of the results.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn mark() -> IdempotencyKey {
        IdempotencyKey {
            class: 1,
            tenant: 0,
            bytes: b"key".as_slice().into(),
        }
    }

    fn table() -> IdempotencyTable {
        let mut table = IdempotencyTable::new(8192, 50.0, 7);
        assert!(table.remember(mark(), (1, 0), 1000.0, None).is_empty());
        table
    }

    #[test]
    fn a_repeat_is_known_by_its_arrival_however_late_it_is_read() {
        let mut table = table();
        table.complete(&mark(), 1, 10.0, Some(vec![1].into()));
        table.sweep(1040.0);
        assert!(table.is_repeat(&mark(), 999.0) && !table.is_repeat(&mark(), 1000.0));
        assert!(!table.is_repeat(&IdempotencyKey { class: 0, ..mark() }, 0.0));
        assert!(
            !table.is_repeat(
                &IdempotencyKey {
                    tenant: 1,
                    ..mark()
                },
                0.0
            ),
            "another tenant's key"
        );
        table.sweep(1051.0);
        assert_eq!((table.len(), table.bytes()), (0, 0));
    }

    #[test]
    fn whoever_joins_an_open_task_hears_of_its_end_and_later_ones_get_its_result() {
        let mut table = table();
        assert!(matches!(table.join(&mark(), 9), EntryState::Pending));
        assert_eq!(table.complete(&mark(), 1, 10.0, Some(vec![7].into())), [9]);
        assert!(
            table.complete(&mark(), 1, 11.0, None).is_empty(),
            "it ends once"
        );
        assert!(matches!(table.join(&mark(), 10), EntryState::Served(result) if *result == [7]));
    }

    #[test]
    fn a_known_key_with_another_body_is_told_apart() {
        let mut table = table();
        let (sold, other) = (table.digest(b"sold"), table.digest(b"other"));
        table.remember(mark(), (2, sold), 1000.0, None);
        assert!(table.has_other_body(&mark(), other) && !table.has_other_body(&mark(), sold));
        assert!(!table.has_other_body(&IdempotencyKey { class: 0, ..mark() }, other));
    }

    #[test]
    fn one_that_is_forgotten_lets_its_repeats_go_and_only_its_owner_can() {
        let mut table = table();
        table.join(&mark(), 9);
        assert!(table.forget(&mark(), 2).is_empty() && table.is_repeat(&mark(), 0.0));
        assert_eq!(table.forget(&mark(), 1), [9]);
        assert!(!table.is_repeat(&mark(), 0.0));
    }

    #[test]
    fn an_open_task_is_kept_beyond_its_window_and_a_late_end_does_not_touch_its_successor() {
        let mut table = table();
        table.sweep(9000.0);
        assert_eq!(table.len(), 1);
        table.remember(mark(), (2, 0), 9000.0, None);
        assert!(table
            .complete(&mark(), 1, 9001.0, Some(vec![1].into()))
            .is_empty());
        assert!(matches!(table.join(&mark(), 3), EntryState::Pending));
    }

    #[test]
    fn results_over_the_bound_are_not_kept_but_their_repeats_are_known() {
        let mut table = table();
        table.complete(&mark(), 1, 10.0, Some(vec![0; 2049].into()));
        assert!(table.is_repeat(&mark(), 500.0));
        assert!(matches!(table.join(&mark(), 3), EntryState::Failed));
    }

    #[test]
    fn it_is_full_before_it_takes_more_than_its_part_of_the_memory() {
        let mut table = table();
        assert!(!table.is_full());
        table.remember(IdempotencyKey { class: 0, ..mark() }, (2, 0), 1000.0, None);
        assert!(table.is_full());
        table.forget(&mark(), 1);
        assert!(!table.is_full());
    }

    #[test]
    fn a_read_serves_others_while_open_and_for_a_while_after_it_ended_well() {
        let mut table = IdempotencyTable::new(8192, 50.0, 7);
        table.remember(mark(), (1, 0), 20.0, Some(20.0));
        assert!(table.is_repeat(&mark(), 500.0));
        table.complete(&mark(), 1, 600.0, Some(vec![1].into()));
        assert!(table.is_repeat(&mark(), 619.0) && !table.is_repeat(&mark(), 620.0));
        table.remember(mark(), (2, 0), 720.0, Some(20.0));
        table.complete(&mark(), 2, 700.0, None);
        assert!(!table.is_repeat(&mark(), 700.0));
    }
}
