//! Counters of one member, for its operators.

macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident = $key:literal,)*) => {
        /// What a member has counted since it started.
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
    /// Messages dropped because their MAC was wrong: another key, or changed on the way.
    unauthenticated = "foreign",
    /// Messages dropped because they were too long or could not be decoded.
    malformed = "unreadable",
    /// Messages dropped because they were of another protocol version.
    version_mismatches = "versions",
    /// Messages dropped because a newer process under the sender's name is known.
    stale_generations = "older",
    /// Messages dropped because more came in a second than this member reads.
    rate_limited = "flooded",
    /// Records dropped because the view holds its maximum of members.
    over_member_limit = "crowded",
    /// Suspicions that this member raised after a failed probe of its own.
    suspicions_raised = "suspected",
    /// Suspicions in this member's view, whoever raised them, that were refuted.
    suspicions_refuted = "refuted",
    /// Suspicions that expired here, so that this member declared a death.
    deaths_declared = "died",
    /// Accusations of this process that it refuted.
    refutations = "defended",
    /// How often this process had to give up its duties because others had declared it dead.
    declared_dead = "fallen",
    /// How often this process stood still (stopped, or starved of CPU).
    pauses = "pauses",
}
