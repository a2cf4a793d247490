//! The quota of one tenant in one role: concurrency and rate.

use crate::denial::{Denial, DenialReason};
use crate::settings::Role;
use crate::token_bucket::TokenBucket;

/// A tenant's usage of a role's limits.
#[derive(Clone, Copy, Default)]
pub(super) struct Quota {
    open_requests: usize,
    /// Created at the first request, as the burst is a setting of the role.
    bucket: Option<TokenBucket>,
}

impl Quota {
    /// Counts one more request in flight, if the limits of `role` allow it.
    pub fn acquire(&mut self, now_ms: f64, role: &Role) -> Result<(), Denial> {
        if self.open_requests >= role.max_concurrent {
            return Err(DenialReason::ConcurrencyQuota.into());
        }
        self.bucket
            .get_or_insert_with(|| TokenBucket::full(now_ms, role.burst))
            .try_take(now_ms, role.requests_per_s, role.burst)
            .map_err(|retry_after_ms| Denial {
                reason: DenialReason::RateQuota,
                retry_after_ms,
            })?;
        self.open_requests += 1;
        Ok(())
    }

    /// Counts a request that is already in flight, without checking the limits.
    pub fn reacquire(&mut self) {
        self.open_requests += 1;
    }

    /// Counts one fewer request in flight.
    pub fn release(&mut self) {
        self.open_requests = self.open_requests.saturating_sub(1);
    }

    pub fn open_requests(&self) -> usize {
        self.open_requests
    }
}
