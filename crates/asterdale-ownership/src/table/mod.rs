//! The replicated state: the owner and fencing token of each keyed request, and the outcomes of requests.
//!
//! Every replica applies the same log entries in the same order and so has the same table. No code here reads a clock:
//! each entry contains the time that the leader measured since the previous entry. The table's time therefore never
//! runs faster than the leader's clock, and stops while there is no leader. Leases and retry windows may end later than
//! configured but never earlier, which is the safe direction.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::message::wire::{Answer, LogEntry, Proposal, Verdict};
use crate::message::Member;
use crate::settings::OwnershipSettings;

mod commands;
mod expiry;
mod leases;
mod request;
mod snapshot;
#[cfg(test)]
mod tests;

use expiry::time_bits;
pub use leases::OwnerLease;
pub use request::{OwnedRequest, RequestState};

/// Epochs and fencing tokens of a group start at the group's number times this factor. Those of a later group are
/// higher than all of an earlier one: group numbers are at least a second apart, and no group grants a billion tokens
/// in a second.
const NUMBERS_PER_GROUP: u64 = 1 << 30;

/// The ownership table.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipTable {
    group: u64,
    now_ms: f64,
    claims_blocked_until_ms: f64,
    last_epoch: u64,
    last_fence: u64,
    leases: BTreeMap<u64, OwnerLease>,
    /// The process that joined last under each name.
    latest_node_by_name: BTreeMap<String, u64>,
    /// Node ids of processes that another process of the same name replaced, the latest last. A delayed message of such
    /// a process must not end the epoch of its successor.
    replaced_nodes: VecDeque<u64>,
    requests: BTreeMap<Vec<u8>, OwnedRequest>,
    /// Index of the requests by the end of their retry window.
    expiries: BTreeSet<(u64, Vec<u8>)>,
    /// Index of the claimable requests by deadline.
    claimable: BTreeSet<(u64, Vec<u8>)>,
    size_bytes: usize,
    /// The members of the Raft group by node id, by the committed membership changes.
    pub members: BTreeMap<u64, Member>,
    settings: OwnershipSettings,
}

fn answer(seq: u64, verdict: Verdict) -> Answer {
    Answer {
        seq,
        verdict: verdict.into(),
        ..Answer::default()
    }
}

impl OwnershipTable {
    /// The empty table of a new group.
    ///
    /// Claims are blocked until the longest retry window has passed: an earlier group may have lost its state, and the
    /// requests in its table may have run. After their retry windows, callers no longer retry those requests.
    pub fn new(group: u64, members: &[Member], settings: OwnershipSettings) -> OwnershipTable {
        let by_node = |member: &Member| (member.node, member.clone());
        OwnershipTable {
            group,
            now_ms: 0.0,
            claims_blocked_until_ms: settings.max_retry_window_ms,
            last_epoch: group.saturating_mul(NUMBERS_PER_GROUP),
            last_fence: group.saturating_mul(NUMBERS_PER_GROUP),
            leases: BTreeMap::new(),
            latest_node_by_name: BTreeMap::new(),
            replaced_nodes: VecDeque::new(),
            requests: BTreeMap::new(),
            expiries: BTreeSet::new(),
            claimable: BTreeSet::new(),
            size_bytes: 0,
            members: members.iter().map(by_node).collect(),
            settings,
        }
    }

    /// The table's time, in milliseconds since the group was formed.
    pub fn now_ms(&self) -> f64 {
        self.now_ms
    }

    /// Remaining time during which claims are blocked, in milliseconds.
    pub fn claims_blocked_ms(&self) -> f64 {
        (self.claims_blocked_until_ms - self.now_ms).max(0.0)
    }

    /// Bytes that count against [`OwnershipSettings::max_bytes`].
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Leases that have not expired, by epoch.
    pub fn leases(&self) -> &BTreeMap<u64, OwnerLease> {
        &self.leases
    }

    /// All requests by key.
    pub fn requests(&self) -> &BTreeMap<Vec<u8>, OwnedRequest> {
        &self.requests
    }

    /// The claimable requests whose deadline has not passed, earliest deadline first.
    pub fn claimable(&self) -> impl Iterator<Item = &OwnedRequest> {
        let now = time_bits(self.now_ms);
        self.claimable
            .iter()
            .filter(move |(deadline, _)| *deadline > now)
            .filter_map(|(_, key)| self.requests.get(key))
    }

    /// Applies an entry of the log. Returns the answer to each command, with the process that sent the command.
    pub fn apply(&mut self, entry: LogEntry) -> Vec<(Member, Answer)> {
        self.advance_clock(entry.elapsed_ms);
        let mut answers = Vec::with_capacity(entry.proposals.len());
        for Proposal { from, command } in entry.proposals {
            let (Some(from), Some(command)) = (from, command) else {
                continue;
            };
            if let Some(kind) = command.kind {
                let answer = self.execute(&from, command.seq, kind);
                answers.push((from, answer));
            }
        }
        answers
    }

    /// Replaces the request stored under a key, or removes it. All changes of requests use this function, which keeps
    /// both indexes and the size consistent.
    fn replace_request(&mut self, key: &[u8], new: Option<OwnedRequest>) {
        if let Some(old) = self.requests.remove(key) {
            self.size_bytes -= old.size_bytes();
            self.expiries
                .remove(&(time_bits(old.expires_at_ms), key.to_vec()));
            self.claimable
                .remove(&(time_bits(old.deadline_ms), key.to_vec()));
        }
        if let Some(new) = new {
            self.size_bytes += new.size_bytes();
            self.expiries
                .insert((time_bits(new.expires_at_ms), key.to_vec()));
            if new.is_claimable() {
                self.claimable
                    .insert((time_bits(new.deadline_ms), key.to_vec()));
            }
            self.requests.insert(key.to_vec(), new);
        }
    }
}
