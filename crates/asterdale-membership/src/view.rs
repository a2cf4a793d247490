//! The membership table of one process: its records of all others, with totals.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::record::{MemberRecord, Status};
use crate::suspicion::Suspicion;

/// The table's entry of one member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The member's winning record.
    pub record: MemberRecord,
    /// Since when the member has had this status, by the local clock.
    pub status_since_ms: f64,
    /// When a message from the member itself was last received; negative infinity if none ever was.
    pub last_contact_ms: f64,
    /// The running suspicion, if the member is suspected.
    pub suspicion: Option<Suspicion>,
}

/// The membership table, by name. It has no entry of the local process.
#[derive(Clone, Debug, Default)]
pub struct View {
    entries: BTreeMap<String, MemberEntry>,
    /// Names of the suspected members.
    suspects: BTreeSet<String>,
    /// Number of live members.
    live_count: usize,
    /// Number of dead members.
    dead_count: usize,
    /// Hash of the live members; independent of their order.
    hash: u64,
}

/// A member's contribution to the hash of a view. It covers the member's run ID, not its status or metadata.
pub fn record_hash(record: &MemberRecord) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(record.name.as_bytes());
    hasher.write_u8(0xff);
    hasher.write_u64(record.generation);
    hasher.write_u64(record.nonce);
    hasher.finish()
}

impl View {
    /// The entry of this member.
    pub fn get(&self, name: &str) -> Option<&MemberEntry> {
        self.entries.get(name)
    }

    /// All entries, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Entries of live members, ordered by name.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.iter().filter(|entry| entry.record.is_live())
    }

    /// How many entries there are, whatever their status.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many members are live.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// How many members are live or dead: the complete fleet, without those that left.
    pub fn live_or_dead_count(&self) -> usize {
        self.live_count + self.dead_count
    }

    /// Hash of the live members' run IDs. Equal views have equal hashes.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Entries of suspected members, ordered by name.
    pub fn suspects(&self) -> impl Iterator<Item = &MemberEntry> {
        self.suspects
            .iter()
            .filter_map(|name| self.entries.get(name))
    }

    /// Replaces the entry of the record's member.
    pub fn insert(&mut self, now_ms: f64, record: MemberRecord, suspicion: Option<Suspicion>) {
        let previous = self.remove_entry(&record.name);
        let status_since_ms = previous
            .as_ref()
            .filter(|entry| entry.record.status == record.status)
            .filter(|entry| entry.record.run_id() == record.run_id())
            .map_or(now_ms, |entry| entry.status_since_ms);
        let last_contact_ms = previous.map_or(f64::NEG_INFINITY, |entry| entry.last_contact_ms);
        self.add_to_totals(&record);
        self.entries.insert(
            record.name.clone(),
            MemberEntry {
                record,
                status_since_ms,
                last_contact_ms,
                suspicion,
            },
        );
    }

    /// Records that a message from the member itself was received.
    pub fn record_contact(&mut self, name: &str, now_ms: f64) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.last_contact_ms = now_ms;
        }
    }

    /// The running suspicion against a member.
    pub fn suspicion_mut(&mut self, name: &str) -> Option<&mut Suspicion> {
        self.entries.get_mut(name)?.suspicion.as_mut()
    }

    /// Postpones the deadlines of all suspicions by the duration of a pause of this process.
    pub fn extend_suspicions(&mut self, pause_ms: f64) {
        for name in &self.suspects {
            let entry = self.entries.get_mut(name);
            if let Some(suspicion) = entry.and_then(|entry| entry.suspicion.as_mut()) {
                suspicion.extend(pause_ms);
            }
        }
    }

    /// Removes the entry of a member.
    pub fn remove(&mut self, name: &str) {
        self.remove_entry(name);
    }

    fn remove_entry(&mut self, name: &str) -> Option<MemberEntry> {
        let entry = self.entries.remove(name)?;
        self.suspects.remove(name);
        if entry.record.is_live() {
            self.live_count -= 1;
            self.hash ^= record_hash(&entry.record);
        }
        if entry.record.status == Status::Dead {
            self.dead_count -= 1;
        }
        Some(entry)
    }

    fn add_to_totals(&mut self, record: &MemberRecord) {
        if record.is_live() {
            self.live_count += 1;
            self.hash ^= record_hash(record);
        }
        if record.status == Status::Dead {
            self.dead_count += 1;
        }
        if record.status == Status::Suspect {
            self.suspects.insert(record.name.clone());
        }
    }
}
