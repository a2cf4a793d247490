//! The table's clock, and expiry by that clock: first the leases of owners, then the retry windows of requests.

use super::{OwnedRequest, OwnershipTable, RequestState};

/// A time as an ordered key: the bits of non-negative floating-point numbers sort in the same order as the numbers.
pub(super) fn time_bits(time_ms: f64) -> u64 {
    time_ms.max(0.0).to_bits()
}

impl OwnershipTable {
    /// Advances the clock by the time that the leader measured since the previous entry, and expires leases and
    /// requests.
    pub(super) fn advance_clock(&mut self, elapsed_ms: f64) {
        if elapsed_ms.is_finite() && elapsed_ms > 0.0 {
            self.now_ms += elapsed_ms;
        }
        self.expire_leases();
        self.expire_requests();
    }

    fn expire_leases(&mut self) {
        let leases = self.leases.iter();
        let expired: Vec<u64> = leases
            .filter(|(_, lease)| lease.expires_at_ms <= self.now_ms)
            .map(|(&epoch, _)| epoch)
            .collect();
        expired.into_iter().for_each(|epoch| self.end_epoch(epoch));
    }

    fn expire_requests(&mut self) {
        let now_bits = time_bits(self.now_ms);
        while let Some((expires_at, key)) = self.expiries.first().cloned() {
            if expires_at > now_bits {
                break;
            }
            match self.requests.get(&key) {
                // The request may still be running: removing it now would allow a second claim while the first is
                // active.
                Some(owned) if self.is_running(owned) => {
                    let mut owned = owned.clone();
                    owned.expires_at_ms = self.now_ms + self.settings.lease_ms;
                    self.replace_request(&key, Some(owned));
                }
                Some(_) => self.replace_request(&key, None),
                None => {
                    self.expiries.remove(&(expires_at, key));
                }
            }
        }
    }

    fn is_running(&self, owned: &OwnedRequest) -> bool {
        owned.state == RequestState::Started && self.leases.contains_key(&owned.epoch)
    }
}
