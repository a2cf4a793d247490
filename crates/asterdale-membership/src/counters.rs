//! Counters of one member, for its operators.

macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident = $key:literal,)*) => {
        /// Counts of one member since its start.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $field: u64,)*
        }

        impl Counters {
            /// All counters, each under the key that the control socket prints. Operators and tools search for the
            /// keys, so they stay when a field is renamed.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$(($key, self.$field),)*]
            }
        }
    };
}

counters! {
    /// Datagrams and exchange messages sent.
    messages_sent = "sent",
    /// Bytes of the messages sent.
    bytes_sent = "bytes_sent",
    /// Messages received whose MAC and encoding were valid.
    messages_received = "heard",
    /// Exchanges started by this member.
    exchanges_started = "exchanges",
    /// Messages dropped because their MAC was wrong: made with another key, or modified in transit.
    unauthenticated = "foreign",
    /// Messages dropped because they were too long or could not be decoded.
    malformed = "unreadable",
    /// Messages dropped because they were of another protocol version.
    version_mismatches = "versions",
    /// Messages dropped because a newer process under the sender's name is known.
    stale_generations = "older",
    /// Messages dropped by the rate limit for received messages.
    rate_limited = "flooded",
    /// Records dropped because the view has its maximum number of members.
    over_member_limit = "crowded",
    /// Suspicions that this member raised after a failed probe of its own.
    suspicions_raised = "suspected",
    /// Suspicions in this member's view, whoever raised them, that were refuted.
    suspicions_refuted = "refuted",
    /// Suspicions that expired at this member, which then declared the suspect dead.
    deaths_declared = "died",
    /// Suspicions and reported deaths of this process that it refuted.
    refutations = "defended",
    /// How often this process had to give up what it owns because other members had declared it dead.
    declared_dead = "fallen",
    /// How often this process was paused (stopped, or starved of CPU).
    pauses = "pauses",
}
