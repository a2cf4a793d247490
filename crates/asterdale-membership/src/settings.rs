//! What a fleet agrees on: how often, how long, how many. All times in f64 milliseconds.

/// How the processes of one fleet look after each other. The same in all of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// From one probe to the next. Everything else follows from it unless told.
    pub probe_interval_ms: f64,
    /// How long a probe's answer may take before others are asked to probe: some round trips.
    pub probe_timeout_ms: f64,
    /// So many are asked then.
    pub indirect_probes: usize,
    /// A suspicion lasts so many intervals at the least, times the logarithm of the fleet's size.
    pub suspicion_multiplier: f64,
    /// And so many times that without anybody's confirmation (Lifeguard's beta).
    pub max_suspicion_multiplier: f64,
    /// A piece of news rides on so many messages, times the logarithm of the fleet's size (SWIM's lambda).
    pub retransmit_multiplier: f64,
    /// From one exchange of whole views to the next, in intervals.
    pub exchange_intervals: f64,
    /// From one question to a dead process, or a seed that is no member, to the next, in intervals.
    pub dead_ping_intervals: f64,
    /// The dead and those who left are remembered for so long: longer than any partition that is to heal by itself.
    pub dead_retention_ms: f64,
    /// Members that are kept in the view, the dead among them: what a peer tells beyond that is passed over.
    pub max_members: usize,
    /// A process that starts waits for the first answer of a seed for so many intervals, before it goes on alone.
    pub join_timeout_intervals: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            // Seconds to detection are enough for what rests on a view, and one probe a second costs nothing.
            probe_interval_ms: 1000.0,
            // Ten times what a loaded machine on the same network takes.
            probe_timeout_ms: 300.0,
            // The paper's: with three helpers a lost way between two processes is no suspicion.
            indirect_probes: 3,
            // Lifeguard's alpha and beta.
            suspicion_multiplier: 5.0,
            max_suspicion_multiplier: 6.0,
            // The paper's 3 to 4: with it all have heard with a probability that grows with the fleet.
            retransmit_multiplier: 4.0,
            // News reach all within a few intervals; this is for what was lost beyond its repeats.
            exchange_intervals: 20.0,
            // One small datagram in five intervals a process, whatever the number of dead.
            dead_ping_intervals: 5.0,
            // A day: the longest outage that an operator would leave to itself.
            dead_retention_ms: 86_400_000.0,
            max_members: 4096,
            join_timeout_intervals: 5.0,
        }
    }
}

impl Settings {
    /// Decimal logarithm of a fleet's size, never under one.
    fn log_size(size: usize) -> f64 {
        ((size + 1) as f64).log10().max(1.0)
    }

    /// The least that a suspicion lasts in a fleet of this size.
    pub fn min_suspicion_ms(&self, size: usize) -> f64 {
        self.suspicion_multiplier * Settings::log_size(size) * self.probe_interval_ms
    }

    /// The most.
    pub fn max_suspicion_ms(&self, size: usize) -> f64 {
        self.max_suspicion_multiplier * self.min_suspicion_ms(size)
    }

    /// How many messages a piece of news rides on.
    pub fn retransmissions(&self, size: usize) -> u32 {
        (self.retransmit_multiplier * Settings::log_size(size)).ceil() as u32
    }

    /// After the last fault, all who live hold the same view within this, if messages pass: a question to the dead
    /// finds the other part of a fleet, whole views pass, whoever must takes a new generation, a process that died
    /// last is probed by somebody (a round and a half at most, by a healthy prober), is suspected at the longest,
    /// its death is doubted by each who hears it, and the news passes; twice that, for a busy machine.
    pub fn convergence_bound_ms(&self, size: usize) -> f64 {
        let found = 3.0 * self.dead_ping_intervals * self.probe_interval_ms * 2.0;
        let probed = 2.0 * self.probe_interval_ms * 2.0;
        let spread = f64::from(self.retransmissions(size)) * self.probe_interval_ms;
        let whole = self.exchange_intervals * self.probe_interval_ms * 1.5;
        2.0 * (found
            + probed
            + self.max_suspicion_ms(size)
            + self.min_suspicion_ms(size)
            + spread
            + whole)
    }
}
