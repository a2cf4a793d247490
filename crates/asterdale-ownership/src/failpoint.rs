//! Failpoints of this package. Each injects a fault that a proof must detect. Release builds have none of them.

asterdale_failpoints::failpoints! {
    /// An owner starts requests although its lease has expired.
    IgnoreLeaseExpiry = "lease",
    /// Requests are started and calls are made without their fencing token.
    OmitFencingToken = "unfenced",
    /// A replica that lost its state keeps its node id, and votes.
    KeepNodeIdWithoutState = "empty",
    /// The result is returned before the outcome is recorded.
    AnswerBeforeRecording = "outcome",
    /// A request that is in progress on another backend is treated as unclaimed.
    IgnoreOtherClaims = "lock",
}
