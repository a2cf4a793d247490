//! Failpoints of this package: faults that tests and proofs inject and must detect.

asterdale_failpoints::failpoints! {
    /// A request may start before its intent is on disk.
    StartBeforeIntent = "early",
    /// A commit that failed is reported as made.
    IgnoredSyncError = "sync",
    /// A folder that is older than what others remember, or that cannot be verified, is trusted.
    TrustedRollback = "rollback",
    /// The folder's lock is ignored.
    UnlockedFolder = "unlocked",
    /// An empty folder is trusted as if nothing could have run before.
    TrustedEmptyFolder = "lost",
}
