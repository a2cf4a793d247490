//! The protocol's settings. All members of a fleet must use the same values. Times are milliseconds as `f64`.

/// Timers and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// SWIM's protocol period: the time from one probe to the next. Most other times are multiples of it.
    pub probe_interval_ms: f64,
    /// How long to wait for a probe's ack before indirect probes are sent: several round trips.
    pub probe_timeout_ms: f64,
    /// SWIM's k: how many relays are asked in an indirect probe.
    pub indirect_probes: usize,
    /// Lifeguard's alpha: the minimum suspicion timeout is this many probe intervals, multiplied by the logarithm
    /// of the fleet's size.
    pub suspicion_multiplier: f64,
    /// Lifeguard's beta: the maximum suspicion timeout, without confirmations, as a multiple of the minimum.
    pub max_suspicion_multiplier: f64,
    /// SWIM's lambda: a record is piggybacked this many times, multiplied by the logarithm of the fleet's size.
    pub retransmit_multiplier: f64,
    /// The mean time between periodic full-view exchanges, in probe intervals.
    pub exchange_intervals: f64,
    /// The mean time between pings to dead members and to seeds that are not members, in probe intervals.
    pub dead_ping_intervals: f64,
    /// How long dead members and members that left stay in the view. Must be longer than any partition that is to heal
    /// without an operator.
    pub dead_retention_ms: f64,
    /// Maximum number of members in the view, dead ones included. Records of further members are dropped.
    pub max_members: usize,
    /// How long a starting process waits for a seed's response before it becomes a member alone, in probe intervals.
    pub join_timeout_intervals: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            // Users of the view only need detection within seconds, and the cost of one probe a second is negligible.
            probe_interval_ms: 1000.0,
            // Ten times the round-trip time to a loaded machine on the same network.
            probe_timeout_ms: 300.0,
            // The paper's value: with three relays, a broken route between two processes raises no suspicion.
            indirect_probes: 3,
            // Lifeguard's alpha and beta.
            suspicion_multiplier: 5.0,
            max_suspicion_multiplier: 6.0,
            // The paper has 3 to 4: the probability that all members receive a record grows with the fleet.
            retransmit_multiplier: 4.0,
            // Gossip reaches all members within a few intervals; exchanges deliver records whose every copy was lost.
            exchange_intervals: 20.0,
            // Each process sends one small datagram every five intervals, however many members are dead.
            dead_ping_intervals: 5.0,
            // One day: the longest outage that is expected to pass without an operator's intervention.
            dead_retention_ms: 86_400_000.0,
            // As many records as fit into an exchange message.
            max_members: 4096,
            // Time for several requests to seeds, which are 0.5 to 1 interval apart.
            join_timeout_intervals: 5.0,
        }
    }
}

impl Settings {
    /// The decimal logarithm of a fleet's size, at least 1.
    fn log_size(size: usize) -> f64 {
        ((size + 1) as f64).log10().max(1.0)
    }

    /// The minimum duration of a suspicion in a fleet of this size.
    pub fn min_suspicion_ms(&self, size: usize) -> f64 {
        self.suspicion_multiplier * Settings::log_size(size) * self.probe_interval_ms
    }

    /// The maximum duration of a suspicion in a fleet of this size.
    pub fn max_suspicion_ms(&self, size: usize) -> f64 {
        self.max_suspicion_multiplier * self.min_suspicion_ms(size)
    }

    /// How many times a record is piggybacked in a fleet of this size.
    pub fn retransmissions(&self, size: usize) -> u32 {
        (self.retransmit_multiplier * Settings::log_size(size)).ceil() as u32
    }

    /// The time within which all live processes have the same view after the last fault, if messages are delivered.
    ///
    /// It sums the steps of the slowest recovery: a ping to a dead member finds the other side of a partition; full
    /// views are exchanged, and processes that were declared dead take a new generation; the process that crashed last
    /// is probed by a healthy prober (after a round and a half at most) and is suspected for the maximum timeout;
    /// members that receive the report of the death suspect the process for the minimum timeout; the gossip spreads.
    /// The sum is doubled to allow for busy machines.
    pub fn convergence_bound_ms(&self, size: usize) -> f64 {
        let partition_found = 3.0 * self.dead_ping_intervals * self.probe_interval_ms * 2.0;
        let probed = 2.0 * self.probe_interval_ms * 2.0;
        let gossip_spread = f64::from(self.retransmissions(size)) * self.probe_interval_ms;
        let views_exchanged = self.exchange_intervals * self.probe_interval_ms * 1.5;
        2.0 * (partition_found
            + probed
            + self.max_suspicion_ms(size)
            + self.min_suspicion_ms(size)
            + gossip_spread
            + views_exchanged)
    }
}
