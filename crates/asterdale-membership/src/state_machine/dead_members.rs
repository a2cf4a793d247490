//! Dead members: pinging them so that partitions heal, and removing them after the retention period.
//!
//! SWIM removes dead members, so the two sides of a long partition never find each other again. Here one dead member is
//! pinged every few intervals, however many there are. The ping carries the record of the member's death, which the
//! member can refute.

use std::net::SocketAddr;

use super::sending::ping_without_probe;
use super::Membership;
use crate::failpoint::{self, Failpoint};
use crate::record::Status;

impl Membership {
    /// Pings one random dead member, or seed that is not a live member.
    pub(super) fn ping_dead_member(&mut self) {
        if failpoint::is_active(Failpoint::NoDeadMemberPings) {
            return;
        }
        let addresses = self.dead_and_missing_addresses();
        let Some(&address) = self.random.choose(&addresses) else {
            return;
        };
        let name = self
            .view
            .iter()
            .find(|entry| entry.record.address == address)
            .map(|entry| entry.record.name.clone());
        self.send(address, ping_without_probe(), name.as_deref());
    }

    fn dead_and_missing_addresses(&self) -> Vec<SocketAddr> {
        let live_members = self.view.live_members();
        let live: Vec<SocketAddr> = live_members.map(|entry| entry.record.address).collect();
        let missing_seeds = self.seeds.iter().filter(|seed| !live.contains(seed));
        let mut addresses: Vec<SocketAddr> = self
            .view
            .iter()
            .filter(|entry| entry.record.status == Status::Dead)
            .map(|entry| entry.record.address)
            .chain(missing_seeds.copied())
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Removes the members that have been dead, or have left, for longer than the retention period.
    pub(super) fn remove_expired_members(&mut self, now_ms: f64) {
        let max_age_ms = self.settings.dead_retention_ms;
        let expired: Vec<String> = self
            .view
            .iter()
            .filter(|entry| !entry.record.is_live())
            .filter(|entry| now_ms - entry.status_since_ms > max_age_ms)
            .map(|entry| entry.record.name.clone())
            .collect();
        for name in &expired {
            self.view.remove(name);
        }
    }
}
