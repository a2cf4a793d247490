//! Failpoints of this package. Each is a mistake that a proof must find; no shipped build has them.

asterdale_failpoints::failpoints! {
    /// An owner acts although its lease has expired.
    IgnoreLeaseExpiry = "lease",
    /// Starts and calls are made without their fencing token.
    OmitFencingToken = "unfenced",
    /// A replica that lost its state continues under its old node id, and votes.
    KeepNodeIdWithoutState = "empty",
    /// The result is returned before the outcome is recorded.
    AnswerBeforeRecording = "outcome",
    /// A lookup that finds no owner is taken for a granted claim.
    IgnoreOtherClaims = "lock",
}
