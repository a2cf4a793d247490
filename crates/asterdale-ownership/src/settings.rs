//! The settings on which all owners and replicas of a fleet agree. All times are in milliseconds.

/// The settings, the same in all processes.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipSettings {
    /// How long an owner keeps its epoch without a renewal, in milliseconds.
    pub lease_ms: f64,
    /// How much earlier the owner itself stops acting, in milliseconds: for clocks of different speed, and for the time
    /// between its look at the lease and the act that rests on it.
    pub lease_margin_ms: f64,
    /// Raft's tick, in milliseconds. An election starts after ten to twenty ticks without a heartbeat.
    pub tick_ms: f64,
    /// Bound of the ownership table: bodies, results, and a fixed cost of each request, in bytes.
    pub max_bytes: usize,
    /// Bound of the requests in the ownership table.
    pub max_requests: usize,
    /// The longest retry window of any request class, in milliseconds. A new group grants no claims for that long, as
    /// it does not know the claims of an earlier group.
    pub max_retry_window_ms: f64,
}

impl Default for OwnershipSettings {
    fn default() -> OwnershipSettings {
        OwnershipSettings {
            // Shorter than most deadlines, so that another owner still has time to run the request; longer than usual
            // pauses of a machine.
            lease_ms: 2000.0,
            // A clock that is a tenth of a percent fast makes 2 ms; the rest is for a thread that waits for a core.
            lease_margin_ms: 500.0,
            // An election then takes one to two seconds, no more than a lease.
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

    /// Time after which a command without an answer is sent again, in milliseconds: several round trips.
    pub fn retry_interval_ms(&self) -> f64 {
        self.tick_ms * 2.0
    }
}
