//! Failpoints: deliberate protocol errors, compiled in by the feature `failpoints` only. CI activates each by its name
//! and checks that a test detects it.

asterdale_failpoints::failpoints! {
    /// A suspicion is refuted without raising the incarnation.
    Refutation = "refutation",
    /// Dead members are never pinged again, so that partitions do not heal.
    Dead = "dead",
    /// A process always takes generation 1, whatever the others remember.
    Generation = "generation",
    /// Records of an older generation replace newer ones.
    Older = "older",
    /// A suspicion never expires into a death.
    Suspicion = "suspicion",
}
