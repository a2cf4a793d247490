//! The settings on which all owners and replicas of a fleet agree. All times are in milliseconds.

/// The settings, the same in all processes.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipSettings {
    /// How long an owner keeps its epoch without a renewal, in milliseconds.
    pub lease_ms: f64,
    /// How much earlier than the replicas the owner considers its lease expired, in milliseconds. Covers clock drift,
    /// and the time between the owner's check of the lease and the action that depends on it.
    pub lease_margin_ms: f64,
    /// Raft's tick, in milliseconds. An election starts after ten to twenty ticks without a heartbeat.
    pub tick_ms: f64,
    /// Maximum size of the ownership table, in bytes: keys, bodies, results, and a fixed overhead for each request.
    pub max_bytes: usize,
    /// Maximum number of requests in the ownership table.
    pub max_requests: usize,
    /// The longest retry window of any request class, in milliseconds. A new group grants no claims for that long, as
    /// it does not know the claims of an earlier group.
    pub max_retry_window_ms: f64,
}

impl Default for OwnershipSettings {
    fn default() -> OwnershipSettings {
        OwnershipSettings {
            // Shorter than most deadlines, so that another owner still has time to run the request; longer than typical
            // pauses of a machine.
            lease_ms: 2000.0,
            // A clock drift of 0.1 % takes 2 ms of the margin; the rest covers the scheduling delay of a thread.
            lease_margin_ms: 500.0,
            // An election starts after one to two seconds, which is no longer than a lease.
            tick_ms: 100.0,
            max_bytes: 16 * 1024 * 1024,
            max_requests: 65_536,
            max_retry_window_ms: 60_000.0,
        }
    }
}

impl OwnershipSettings {
    /// Time between two renewals, in milliseconds: three may be lost before the lease expires.
    pub fn renewal_interval_ms(&self) -> f64 {
        self.lease_ms / 4.0
    }

    /// Time after which an unanswered command is sent again, in milliseconds: several round trips.
    pub fn retry_interval_ms(&self) -> f64 {
        self.tick_ms * 2.0
    }
}
