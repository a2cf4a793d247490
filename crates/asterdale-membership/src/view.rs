//! The table: what a process holds of all the others, and how sure it may be of that.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::record::{MemberRecord, Status};
use crate::suspicion::Suspicion;

/// What is held of one process.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The word that holds.
    pub record: MemberRecord,
    /// Since when its status is this, by the holder's clock.
    pub status_since_ms: f64,
    /// When anything last came from itself.
    pub last_contact_ms: f64,
    /// What ends in its death, while it is suspected.
    pub suspicion: Option<Suspicion>,
}

/// The table, by name. The process that holds it is not in it.
#[derive(Clone, Debug, Default)]
pub struct View {
    entries: BTreeMap<String, MemberEntry>,
    suspects: BTreeSet<String>,
    /// How many count as there.
    live: usize,
    /// How many are dead.
    dead: usize,
    /// Of those who count as there, in no order.
    hash: u64,
}

/// A part of a view's hash: who it is, not how it is doing.
pub fn record_hash(record: &MemberRecord) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(record.name.as_bytes());
    hasher.write_u8(0xff);
    hasher.write_u64(record.generation);
    hasher.write_u64(record.nonce);
    hasher.finish()
}

impl View {
    /// What is held of this process.
    pub fn get(&self, name: &str) -> Option<&MemberEntry> {
        self.entries.get(name)
    }

    /// All that is held, by name.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// How many are held, whatever their status.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many others count as there.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// How many others are there or dead: the fleet as it was last whole, without those who left.
    pub fn live_or_dead_count(&self) -> usize {
        self.live + self.dead
    }

    /// Of the others who count as there.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Those who are suspected.
    pub fn suspects(&self) -> impl Iterator<Item = &MemberEntry> {
        self.suspects
            .iter()
            .filter_map(|name| self.entries.get(name))
    }

    /// Puts a word in the place of what was held, as of now.
    pub fn insert(&mut self, now: f64, record: MemberRecord, suspicion: Option<Suspicion>) {
        let was = self.entries.remove(&record.name);
        let since = match &was {
            Some(was)
                if was.record.status == record.status && was.record.run_id() == record.run_id() =>
            {
                was.status_since_ms
            }
            _ => now,
        };
        let heard = was
            .as_ref()
            .map_or(f64::NEG_INFINITY, |was| was.last_contact_ms);
        if let Some(was) = was {
            self.update_totals(&was.record, false);
        }
        self.update_totals(&record, true);
        self.entries.insert(
            record.name.clone(),
            MemberEntry {
                record,
                status_since_ms: since,
                last_contact_ms: heard,
                suspicion,
            },
        );
    }

    /// Something came from this process itself.
    pub fn record_contact(&mut self, name: &str, now: f64) {
        if let Some(seen) = self.entries.get_mut(name) {
            seen.last_contact_ms = now;
        }
    }

    /// Its suspicion, to be confirmed.
    pub fn suspicion_mut(&mut self, name: &str) -> Option<&mut Suspicion> {
        self.entries.get_mut(name)?.suspicion.as_mut()
    }

    /// All suspicions last so much longer.
    pub fn extend_suspicions(&mut self, by: f64) {
        for name in &self.suspects {
            let suspicion = self
                .entries
                .get_mut(name)
                .and_then(|seen| seen.suspicion.as_mut());
            suspicion
                .into_iter()
                .for_each(|suspicion| suspicion.extend(by));
        }
    }

    /// Forgets this process.
    pub fn remove(&mut self, name: &str) {
        if let Some(was) = self.entries.remove(name) {
            self.update_totals(&was.record, false);
        }
    }

    fn update_totals(&mut self, record: &MemberRecord, more: bool) {
        let add = |count: &mut usize| *count = if more { *count + 1 } else { *count - 1 };
        if record.is_live() {
            add(&mut self.live);
            self.hash ^= record_hash(record);
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
