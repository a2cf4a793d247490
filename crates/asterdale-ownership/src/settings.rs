//! What the keepers and owners of one fleet agree on. All times in f64 milliseconds.

/// How work in hand is kept. The same in all processes.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipSettings {
    /// An owner that is not heard for so long has lost what it owns.
    pub lease_ms: f64,
    /// It stops by itself so much sooner: for clocks that run apart, and for the time between its look at the lease and
    /// what it does then.
    pub lease_margin_ms: f64,
    /// The library's tick; an election takes ten to twenty of them without a leader's word.
    pub tick_ms: f64,
    /// Bytes that the book may hold: bodies, results, and what each entry costs beside them.
    pub max_bytes: usize,
    /// Entries that it may hold.
    pub max_requests: usize,
    /// The longest window there is: a group that begins without the memory of an earlier one claims nothing before it
    /// has passed.
    pub max_retry_window_ms: f64,
}

impl Default for OwnershipSettings {
    fn default() -> OwnershipSettings {
        OwnershipSettings {
            // Shorter than most due times, so that a taker still finds time; longer than a machine's usual pauses.
            lease_ms: 2000.0,
            // A clock that runs a tenth of a percent fast is 2 ms; the rest is for a thread that waits for a core.
            lease_margin_ms: 500.0,
            // Elections then take one to two seconds: no more than a lease.
            tick_ms: 100.0,
            max_bytes: 16 * 1024 * 1024,
            max_requests: 65_536,
            max_retry_window_ms: 60_000.0,
        }
    }
}

impl OwnershipSettings {
    /// From one renewal to the next: three may be lost.
    pub fn renewal_interval_ms(&self) -> f64 {
        self.lease_ms / 4.0
    }

    /// What has no answer after this is asked again, elsewhere: some round trips.
    pub fn retry_interval_ms(&self) -> f64 {
        self.tick_ms * 2.0
    }
}
