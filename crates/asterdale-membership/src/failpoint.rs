//! Failpoints of this package, each of which a proof must find.

asterdale_failpoints::failpoints! {
    /// A suspicion is refuted without a higher incarnation.
    Refutation = "refutation",
    /// The dead are never asked again.
    Dead = "dead",
    /// A process takes generation 1, whatever others remember.
    Generation = "generation",
    /// A datagram of an older generation is believed.
    Older = "older",
    /// A suspicion never ends in a death.
    Suspicion = "suspicion",
}
