//! The protocol's settings. All members of a fleet must have the same. Times are milliseconds as `f64`.

/// Timers and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// SWIM's protocol period: the time from one probe to the next. Most other times are multiples of it.
    pub probe_interval_ms: f64,
    /// How long a probe's ack may take before other members are asked to probe: some round trips.
    pub probe_timeout_ms: f64,
    /// SWIM's k: how many relays are asked in an indirect probe.
    pub indirect_probes: usize,
    /// Lifeguard's alpha: the minimum of a suspicion, in probe intervals, times the logarithm of the fleet's size.
    pub suspicion_multiplier: f64,
    /// Lifeguard's beta: how many times the minimum a suspicion lasts without confirmations.
    pub max_suspicion_multiplier: f64,
    /// SWIM's lambda: how many times a record is piggybacked, times the logarithm of the fleet's size.
    pub retransmit_multiplier: f64,
    /// The time from one periodic full-view exchange to the next, in probe intervals.
    pub exchange_intervals: f64,
    /// The time from one ping to a dead member, or to a seed that is no member, to the next, in probe intervals.
    pub dead_ping_intervals: f64,
    /// How long dead members, and those that left, stay in the view. It must be longer than any partition that is to
    /// heal on its own.
    pub dead_retention_ms: f64,
    /// How many members the view holds at most, dead ones included. Records of more are dropped.
    pub max_members: usize,
    /// How long a starting process waits for a seed's answer before it goes on alone, in probe intervals.
    pub join_timeout_intervals: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            // Detection within seconds is enough for what rests on the view, and one probe a second costs nothing.
            probe_interval_ms: 1000.0,
            // Ten times the round trip of a loaded machine on the same network.
            probe_timeout_ms: 300.0,
            // The paper's value: with three relays, a broken route between two processes raises no suspicion.
            indirect_probes: 3,
            // Lifeguard's alpha and beta.
            suspicion_multiplier: 5.0,
            max_suspicion_multiplier: 6.0,
            // The paper's 3 to 4: the probability that all receive a record grows with the fleet.
            retransmit_multiplier: 4.0,
            // Gossip reaches all within a few intervals; exchanges are for records that were lost every time.
            exchange_intervals: 20.0,
            // One small datagram in five intervals from each process, however many members are dead.
            dead_ping_intervals: 5.0,
            // A day: the longest outage that an operator would leave alone.
            dead_retention_ms: 86_400_000.0,
            // What an exchange message has room for.
            max_members: 4096,
            // Several requests to seeds, as one is made in each half to whole interval.
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

    /// The time within which all live processes have the same view after the last fault, if messages pass.
    ///
    /// It sums the steps of the slowest recovery: a ping to a dead member finds the other side of a partition; full
    /// views are exchanged, and whoever has to takes a new generation; a process that died last is probed by a healthy
    /// prober (after a round and a half at most) and is suspected for the maximum; members that hear of the death
    /// suspect it for the minimum; the gossip spreads. The sum is doubled for busy machines.
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
