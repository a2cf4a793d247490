//! Failpoints: deliberate protocol errors, compiled in by the feature `failpoints` only. CI activates each by its name
//! and checks that a test detects it.

asterdale_failpoints::failpoints! {
    /// A suspicion is refuted without raising the incarnation.
    RefutationWithSameIncarnation = "refutation",
    /// Dead members are never pinged again, so that partitions do not heal.
    NoDeadMemberPings = "dead",
    /// A process always takes generation 1, whatever the others remember.
    FixedGeneration = "generation",
    /// Records of an older generation replace newer ones.
    AcceptedOlderRuns = "older",
    /// A suspicion never expires into a death.
    NoSuspicionExpiry = "suspicion",
}
