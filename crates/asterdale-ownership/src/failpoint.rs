//! Failpoints of this package, each of which a proof must find.

asterdale_failpoints::failpoints! {
    /// An owner acts however old its lease is.
    Lease = "lease",
    /// Starts and calls go without their fence.
    Fence = "unfenced",
    /// A keeper that comes back empty goes on under its old number, and votes.
    Empty = "empty",
    /// The answer leaves before the outcome is kept.
    Outcome = "outcome",
    /// A look that finds the owner gone is taken for leave to run.
    Lock = "lock",
}
