//! Epochs of owners and their leases: join, renew, leave, and the effect of the end of an epoch on its requests.
//!
//! An owner is one process, identified by its node id. A process that restarts joins under the same name with a new
//! node id, and replaces the former process of that name.

use super::{answer, OwnedRequest, OwnershipTable, RequestState};
use crate::message::wire::{Answer, Verdict};
use crate::message::Member;

/// Maximum size of `latest_node_by_name` and of `replaced_nodes`: several times the owners of a large fleet.
const MAX_KNOWN_NAMES: usize = 4096;

/// An owner whose lease has not expired.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerLease {
    /// The owner's name.
    pub name: String,
    /// The node id of its process.
    pub node: u64,
    /// When the lease expires, in the table's time, in milliseconds.
    pub expires_at_ms: f64,
    /// Whether the owner has renewed since it joined, which shows that its join was not a delayed message of a dead
    /// process.
    pub renewed: bool,
}

impl OwnershipTable {
    /// Grants an epoch, and ends all other epochs of this name, including those that the process itself gave up.
    ///
    /// A process that has an epoch above `given_up` is granted the same one again: a duplicated join must not end an
    /// epoch under which requests may already be running.
    pub(super) fn join(&mut self, from: &Member, seq: u64, given_up: u64) -> Answer {
        // A delayed join of a replaced process must not end the epoch of its successor, which is known to be alive.
        if self.has_renewed_lease(&from.name) && self.replaced_nodes.contains(&from.node) {
            return answer(seq, Verdict::EpochEnded);
        }
        let expires_at_ms = self.now_ms + self.settings.lease_ms;
        let mut leases = self.leases.iter_mut();
        let current = leases.find(|(epoch, lease)| lease.node == from.node && **epoch > given_up);
        let epoch = if let Some((&epoch, lease)) = current {
            lease.expires_at_ms = expires_at_ms;
            epoch
        } else {
            self.end_epochs_of_name(&from.name);
            self.record_latest_node(from);
            self.grant_epoch(from, expires_at_ms)
        };
        Answer {
            number: epoch,
            ms: self.settings.lease_ms,
            ..answer(seq, Verdict::Joined)
        }
    }

    fn has_renewed_lease(&self, name: &str) -> bool {
        let mut leases = self.leases.values();
        leases.any(|lease| lease.name == name && lease.renewed)
    }

    fn end_epochs_of_name(&mut self, name: &str) {
        let leases = self.leases.iter();
        let ended: Vec<u64> = leases
            .filter(|(_, lease)| lease.name == name)
            .map(|(&epoch, _)| epoch)
            .collect();
        ended.into_iter().for_each(|epoch| self.end_epoch(epoch));
    }

    /// Records the process as the latest of its name, and the previous one as replaced.
    fn record_latest_node(&mut self, from: &Member) {
        let latest = &mut self.latest_node_by_name;
        if latest.len() >= MAX_KNOWN_NAMES && !latest.contains_key(&from.name) {
            latest.pop_first();
        }
        let previous = latest.insert(from.name.clone(), from.node);
        self.replaced_nodes.retain(|node| *node != from.node);
        self.replaced_nodes
            .extend(previous.filter(|node| *node != from.node));
        if self.replaced_nodes.len() > MAX_KNOWN_NAMES {
            self.replaced_nodes.pop_front();
        }
    }

    fn grant_epoch(&mut self, from: &Member, expires_at_ms: f64) -> u64 {
        self.last_epoch += 1;
        let lease = OwnerLease {
            name: from.name.clone(),
            node: from.node,
            expires_at_ms,
            renewed: false,
        };
        self.leases.insert(self.last_epoch, lease);
        self.last_epoch
    }

    /// Extends the lease of an epoch, if the sender has it.
    pub(super) fn renew(&mut self, from: &Member, seq: u64, epoch: u64) -> Answer {
        match self.leases.get_mut(&epoch) {
            Some(lease) if lease.node == from.node => {
                lease.expires_at_ms = self.now_ms + self.settings.lease_ms;
                lease.renewed = true;
                answer(seq, Verdict::Renewed)
            }
            _ => answer(seq, Verdict::EpochEnded),
        }
    }

    /// Ends an epoch at its owner's request.
    pub(super) fn leave(&mut self, from: &Member, seq: u64, epoch: u64) -> Answer {
        if self.is_held_by(epoch, from) {
            self.end_epoch(epoch);
        }
        answer(seq, Verdict::Recorded)
    }

    /// Whether this process has a lease for the epoch.
    pub(super) fn is_held_by(&self, epoch: u64, member: &Member) -> bool {
        let lease = self.leases.get(&epoch);
        lease.is_some_and(|lease| lease.node == member.node)
    }

    /// Ends an epoch: requests that its owner may have started become ownerless, or their outcome becomes unknown.
    ///
    /// The owner may still be running them. That is safe for a fenced request: the next claim has a higher token, and
    /// the dependency rejects the old one. An unfenced run can't be stopped, so there must be no second one.
    pub(super) fn end_epoch(&mut self, epoch: u64) {
        self.leases.remove(&epoch);
        let started =
            |owned: &&OwnedRequest| owned.epoch == epoch && owned.state == RequestState::Started;
        let affected: Vec<OwnedRequest> = self.requests.values().filter(started).cloned().collect();
        for mut owned in affected {
            owned.state = if owned.request.fenced {
                RequestState::Ownerless
            } else {
                RequestState::OutcomeUnknown
            };
            let key = owned.request.key.clone();
            self.replace_request(&key, Some(owned));
        }
    }
}
