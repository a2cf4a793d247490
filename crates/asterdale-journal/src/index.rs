//! What is known of each key, and what may be done: a state machine, without I/O and clock. It says what has to be on disk
//! before a word may leave. Times are the folder's, in milliseconds.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::entry::{Entry, ExecutionState};

/// While nobody has said yet whether the folder is to be believed, whoever asks comes again after so long.
const SOON_MS: f64 = 100.0;

/// What is known of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyStatus {
    /// Nothing, and that is sure: it may run.
    Absent,
    /// It is this run's: it is about to start, or runs.
    InFlight,
    /// It ended with this result.
    Succeeded(Vec<u8>),
    /// It ended without one.
    Failed,
    /// It may have run in an earlier life of this process; nobody knows for so many milliseconds.
    Unknown(f64),
    /// Another body has this key.
    BodyMismatch,
    /// No place: nothing was run.
    Unavailable,
}

/// What has to be on disk.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyWrite {
    /// This of a key.
    Put(Vec<u8>, Entry),
    /// Nothing of it.
    Delete(Vec<u8>),
}

/// What the ledger may hold.
#[derive(Clone, Copy, Debug)]
pub struct IndexLimits {
    /// Keys.
    pub max_entries: usize,
    /// Bytes of keys and results.
    pub max_bytes: usize,
}

#[derive(Clone, Debug)]
struct Held {
    entry: Entry,
    /// By which it was claimed in this run; 0 where an earlier one wrote it.
    claim: u64,
}

/// The ledger.
#[derive(Clone, Debug)]
pub struct KeyIndex {
    held: HashMap<Vec<u8>, Held>,
    /// Keys by the end of their windows, in whole milliseconds.
    ends: BTreeMap<(u64, Vec<u8>), ()>,
    bytes: usize,
    bounds: IndexLimits,
    run: u64,
    claims: u64,
    /// Until then nothing that is not known may run.
    quiet_until: f64,
}

/// The end of a window, to be ordered.
fn end_of(until_ms: f64) -> u64 {
    until_ms.max(0.0).ceil() as u64
}

fn size(key: &[u8], entry: &Entry) -> usize {
    key.len() + entry.result.len() + 128
}

impl KeyIndex {
    /// One that knows what earlier runs wrote. Nothing is run before [`Ledger::quiet_until`] is told.
    pub fn new(
        run: u64,
        bounds: IndexLimits,
        found: impl IntoIterator<Item = (Vec<u8>, Entry)>,
    ) -> KeyIndex {
        let mut ledger = KeyIndex {
            held: HashMap::new(),
            ends: BTreeMap::new(),
            bytes: 0,
            bounds,
            run,
            claims: 0,
            quiet_until: f64::INFINITY,
        };
        found
            .into_iter()
            .for_each(|(key, entry)| ledger.put(key, Held { entry, claim: 0 }));
        ledger
    }

    /// What is not known here may have run, until then: an earlier moment lifts that.
    pub fn set_quiet_until(&mut self, until: f64) {
        self.quiet_until = until;
    }

    /// How many keys it holds, and their bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.held.len(), self.bytes)
    }

    fn put(&mut self, key: Vec<u8>, held: Held) {
        self.remove(&key);
        self.bytes += size(&key, &held.entry);
        self.ends
            .insert((end_of(held.entry.expires_at_ms), key.clone()), ());
        self.held.insert(key, held);
    }

    fn remove(&mut self, key: &[u8]) -> Option<Held> {
        let held = self.held.remove(key)?;
        self.bytes -= size(key, &held.entry);
        self.ends
            .remove(&(end_of(held.entry.expires_at_ms), key.to_vec()));
        Some(held)
    }

    /// What is known of a key with this body.
    pub fn lookup(&self, now: f64, key: &[u8], sign: u64) -> KeyStatus {
        let Some(held) = self.held.get(key) else {
            return if now < self.quiet_until {
                // Where that is not known yet, whoever asks comes again soon: the fleet answers within some intervals.
                KeyStatus::Unknown(if self.quiet_until.is_finite() {
                    self.quiet_until - now
                } else {
                    SOON_MS
                })
            } else {
                KeyStatus::Absent
            };
        };
        let entry = &held.entry;
        if entry.body_digest != sign {
            return KeyStatus::BodyMismatch;
        }
        match entry.state() {
            ExecutionState::Succeeded => KeyStatus::Succeeded(entry.result.clone()),
            ExecutionState::Failed => KeyStatus::Failed,
            ExecutionState::Intent if held.claim > 0 => KeyStatus::InFlight,
            ExecutionState::Intent => KeyStatus::Unknown((entry.expires_at_ms - now).max(0.0)),
        }
    }

    /// A task is about to start: what is known of it, or its claim and what has to be on disk before it starts.
    pub fn claim(
        &mut self,
        now: f64,
        (key, sign): (&[u8], u64),
        id: &[u8],
        window_ms: f64,
    ) -> Result<(u64, KeyWrite), KeyStatus> {
        match self.lookup(now, key, sign) {
            KeyStatus::Absent => {}
            known => return Err(known),
        }
        if self.held.len() >= self.bounds.max_entries || self.bytes >= self.bounds.max_bytes {
            return Err(KeyStatus::Unavailable);
        }
        self.claims += 1;
        let entry = Entry {
            state: ExecutionState::Intent.into(),
            body_digest: sign,
            attempt_id: id.to_vec(),
            expires_at_ms: now + window_ms,
            result: Vec::new(),
            run: self.run,
        };
        self.put(
            key.to_vec(),
            Held {
                entry: entry.clone(),
                claim: self.claims,
            },
        );
        Ok((self.claims, KeyWrite::Put(key.to_vec(), entry)))
    }

    /// A task that was claimed has ended: what has to be on disk before anybody hears so. `None` if it is not this claim's.
    pub fn record_outcome(
        &mut self,
        key: &[u8],
        claim: u64,
        result: Option<Vec<u8>>,
    ) -> Option<KeyWrite> {
        let held = self
            .held
            .get(key)
            .filter(|held| held.claim == claim && claim > 0)?;
        if held.entry.state() != ExecutionState::Intent {
            return None;
        }
        let mut entry = held.entry.clone();
        // A result that finds no place is not kept; its repeats fail, and never run.
        let fits = |result: &Vec<u8>| self.bytes + result.len() <= self.bounds.max_bytes;
        match result.filter(fits) {
            Some(result) => {
                entry.state = ExecutionState::Succeeded.into();
                entry.result = result;
            }
            None => entry.state = ExecutionState::Failed.into(),
        }
        self.put(
            key.to_vec(),
            Held {
                entry: entry.clone(),
                claim,
            },
        );
        Some(KeyWrite::Put(key.to_vec(), entry))
    }

    /// What was claimed never started.
    pub fn cancel_claim(&mut self, key: &[u8], claim: u64) -> Option<KeyWrite> {
        let held = self
            .held
            .get(key)
            .filter(|held| held.claim == claim && claim > 0)?;
        if held.entry.state() != ExecutionState::Intent {
            return None;
        }
        self.remove(key);
        Some(KeyWrite::Delete(key.to_vec()))
    }

    /// Forgets what no repeat can reach any more, at most so many at once. What still runs stays.
    pub fn remove_expired(&mut self, now: f64, most: usize) -> Vec<KeyWrite> {
        let over = self
            .ends
            .range(..(end_of(now), Vec::new()))
            .map(|((_, key), ())| key.clone());
        let over: Vec<Vec<u8>> = over.take(most).collect();
        let mut gone = Vec::new();
        for key in over {
            let runs = |held: &Held| held.claim > 0 && held.entry.state() == ExecutionState::Intent;
            if self.held.get(&key).is_some_and(runs) {
                if let Some(mut held) = self.remove(&key) {
                    held.entry.expires_at_ms = now + 1000.0;
                    self.put(key, held);
                }
                continue;
            }
            self.remove(&key);
            gone.push(KeyWrite::Delete(key));
        }
        gone
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOUNDS: IndexLimits = IndexLimits {
        max_entries: 3,
        max_bytes: 1000,
    };
    const ID: &[u8] = b"0123456789abcdef";

    fn open() -> KeyIndex {
        let mut ledger = KeyIndex::new(1, BOUNDS, []);
        ledger.set_quiet_until(0.0);
        ledger
    }

    #[test]
    fn a_key_runs_once_and_its_result_is_given_until_its_window_ends() {
        let mut ledger = open();
        let (claim, write) = ledger.claim(0.0, (b"k", 7), ID, 100.0).unwrap();
        assert!(
            matches!(write, KeyWrite::Put(_, entry) if entry.state() == ExecutionState::Intent)
        );
        assert_eq!(ledger.lookup(1.0, b"k", 7), KeyStatus::InFlight);
        assert_eq!(
            ledger.claim(1.0, (b"k", 7), ID, 100.0),
            Err(KeyStatus::InFlight)
        );
        assert_eq!(ledger.lookup(1.0, b"k", 8), KeyStatus::BodyMismatch);
        assert_eq!(
            ledger.record_outcome(b"k", claim + 1, Some(vec![1])),
            None,
            "not its claim"
        );
        assert!(ledger.record_outcome(b"k", claim, Some(vec![1])).is_some());
        assert_eq!(
            ledger.record_outcome(b"k", claim, None),
            None,
            "it ends once"
        );
        assert_eq!(ledger.lookup(99.0, b"k", 7), KeyStatus::Succeeded(vec![1]));
        assert_eq!(ledger.remove_expired(99.0, 10), []);
        assert_eq!(
            ledger.remove_expired(101.0, 10),
            [KeyWrite::Delete(b"k".to_vec())]
        );
        assert_eq!(
            (ledger.lookup(101.0, b"k", 7), ledger.size()),
            (KeyStatus::Absent, (0, 0))
        );
    }

    #[test]
    fn what_an_earlier_run_began_and_did_not_end_is_unknown_and_never_run() {
        let mut before = open();
        let (_, KeyWrite::Put(key, entry)) = before.claim(0.0, (b"k", 7), ID, 100.0).unwrap()
        else {
            panic!()
        };
        let mut ledger = KeyIndex::new(2, BOUNDS, [(key, entry)]);
        assert_eq!(
            ledger.lookup(10.0, b"other", 7),
            KeyStatus::Unknown(SOON_MS),
            "nobody has said yet what to believe"
        );
        ledger.set_quiet_until(0.0);
        assert_eq!(
            ledger.claim(10.0, (b"k", 7), ID, 100.0),
            Err(KeyStatus::Unknown(90.0))
        );
        assert_eq!(
            ledger.record_outcome(b"k", 1, Some(vec![1])),
            None,
            "an earlier run's claim is nobody's"
        );
        ledger.remove_expired(101.0, 10);
        assert!(ledger.claim(101.0, (b"k", 7), ID, 100.0).is_ok());
    }

    #[test]
    fn while_it_is_quiet_nothing_that_is_not_known_runs() {
        let mut ledger = KeyIndex::new(2, BOUNDS, []);
        ledger.set_quiet_until(500.0);
        assert_eq!(
            ledger.claim(100.0, (b"k", 7), ID, 100.0),
            Err(KeyStatus::Unknown(400.0))
        );
        assert!(ledger.claim(500.0, (b"k", 7), ID, 100.0).is_ok());
    }

    #[test]
    fn at_its_bounds_it_takes_no_more_and_what_never_started_leaves_no_trace() {
        let mut ledger = open();
        let claims: Vec<u64> = (0..3u8)
            .map(|n| ledger.claim(0.0, (&[n], 7), ID, 100.0).unwrap().0)
            .collect();
        assert_eq!(
            ledger.claim(0.0, (b"k", 7), ID, 100.0),
            Err(KeyStatus::Unavailable)
        );
        assert_eq!(
            ledger.cancel_claim(&[1], claims[1]),
            Some(KeyWrite::Delete(vec![1]))
        );
        assert_eq!(ledger.cancel_claim(&[1], claims[1]), None);
        assert!(ledger.claim(0.0, (&[1], 7), ID, 100.0).is_ok());
        // Its result has no place: its repeats fail.
        ledger.record_outcome(&[0], claims[0], Some(vec![0; 2000]));
        assert_eq!(ledger.lookup(1.0, &[0], 7), KeyStatus::Failed);
    }

    #[test]
    fn what_runs_is_kept_beyond_its_window() {
        let mut ledger = open();
        let (claim, _) = ledger.claim(0.0, (b"k", 7), ID, 100.0).unwrap();
        assert_eq!(ledger.remove_expired(5000.0, 10), []);
        assert_eq!(ledger.lookup(5000.0, b"k", 7), KeyStatus::InFlight);
        assert!(ledger.record_outcome(b"k", claim, None).is_some());
        assert_eq!(ledger.remove_expired(6001.0, 10).len(), 1);
    }
}
