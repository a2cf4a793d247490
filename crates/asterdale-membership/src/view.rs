//! The table: what a process holds of all the others, and how sure it may be of that.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::record::{Record, Status};
use crate::suspicion::Suspicion;

/// What is held of one process.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The word that holds.
    pub record: Record,
    /// Since when its status is this, by the holder's clock.
    pub since: f64,
    /// When anything last came from itself.
    pub heard: f64,
    /// What ends in its death, while it is suspected.
    pub suspicion: Option<Suspicion>,
}

/// The table, by name. The process that holds it is not in it.
#[derive(Clone, Debug, Default)]
pub struct View {
    all: BTreeMap<String, Seen>,
    suspects: BTreeSet<String>,
    /// How many count as there.
    there: usize,
    /// How many are dead.
    dead: usize,
    /// Of those who count as there, in no order.
    hash: u64,
}

/// A part of a view's hash: who it is, not how it is doing.
pub fn hash(record: &Record) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(record.name.as_bytes());
    hasher.write_u8(0xff);
    hasher.write_u64(record.generation);
    hasher.write_u64(record.nonce);
    hasher.finish()
}

impl View {
    /// What is held of this process.
    pub fn get(&self, name: &str) -> Option<&Seen> {
        self.all.get(name)
    }

    /// All that is held, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Seen> {
        self.all.values()
    }

    /// How many are held, whatever their status.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// How many others count as there.
    pub fn there(&self) -> usize {
        self.there
    }

    /// How many others are there or dead: the fleet as it was last whole, without those who left.
    pub fn roster(&self) -> usize {
        self.there + self.dead
    }

    /// Of the others who count as there.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Those who are suspected.
    pub fn suspects(&self) -> impl Iterator<Item = &Seen> {
        self.suspects.iter().filter_map(|name| self.all.get(name))
    }

    /// Puts a word in the place of what was held, as of now.
    pub fn put(&mut self, now: f64, record: Record, suspicion: Option<Suspicion>) {
        let was = self.all.remove(&record.name);
        let since = match &was {
            Some(was) if was.record.status == record.status && was.record.run() == record.run() => {
                was.since
            }
            _ => now,
        };
        let heard = was.as_ref().map_or(f64::NEG_INFINITY, |was| was.heard);
        if let Some(was) = was {
            self.count(&was.record, false);
        }
        self.count(&record, true);
        self.all.insert(
            record.name.clone(),
            Seen {
                record,
                since,
                heard,
                suspicion,
            },
        );
    }

    /// Something came from this process itself.
    pub fn heard(&mut self, name: &str, now: f64) {
        if let Some(seen) = self.all.get_mut(name) {
            seen.heard = now;
        }
    }

    /// Its suspicion, to be confirmed.
    pub fn suspicion(&mut self, name: &str) -> Option<&mut Suspicion> {
        self.all.get_mut(name)?.suspicion.as_mut()
    }

    /// All suspicions last so much longer.
    pub fn extend(&mut self, by: f64) {
        for name in &self.suspects {
            let suspicion = self
                .all
                .get_mut(name)
                .and_then(|seen| seen.suspicion.as_mut());
            suspicion
                .into_iter()
                .for_each(|suspicion| suspicion.extend(by));
        }
    }

    /// Forgets this process.
    pub fn forget(&mut self, name: &str) {
        if let Some(was) = self.all.remove(name) {
            self.count(&was.record, false);
        }
    }

    fn count(&mut self, record: &Record, more: bool) {
        let add = |count: &mut usize| *count = if more { *count + 1 } else { *count - 1 };
        if record.is_in() {
            add(&mut self.there);
            self.hash ^= hash(record);
        }
        if record.status == Status::Dead {
            add(&mut self.dead);
        }
        if record.status == Status::Suspect && more {
            self.suspects.insert(record.name.clone());
        } else {
            self.suspects.remove(&record.name);
        }
    }
}
