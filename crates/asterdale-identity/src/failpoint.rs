//! Failpoints of identity, idempotency and hot restart. Each injects a fault that a proof must detect.

asterdale_failpoints::failpoints! {
    /// The overlap of an outgoing key never ends.
    Overlap = "overlap",
    /// A token that was verified before is accepted although its key has been revoked.
    Cache = "cache",
    /// The idempotency key does not include the tenant.
    KeyWithoutTenant = "mark",
    /// Idempotency entries are not part of the state transfer.
    EntriesNotTransferred = "unpassed",
    /// The old process is not notified of what the new process starts.
    Unmirrored = "unmirrored",
    /// The old process continues to serve beside the new one.
    Fence = "fence",
    /// The listener is closed before the commit.
    Listener = "listener",
}
