//! Failpoints of this package: faults that tests and proofs inject and must detect.

asterdale_failpoints::failpoints! {
    /// A request may start before its intent is on disk.
    StartBeforeIntent = "early",
    /// A failed commit is reported as successful.
    IgnoredSyncError = "sync",
    /// A folder is trusted although other members remember a later generation, or although it cannot be verified.
    TrustedRollback = "rollback",
    /// The folder's lock is ignored.
    UnlockedFolder = "unlocked",
    /// An empty folder is trusted as if nothing could have run before.
    TrustedEmptyFolder = "lost",
}
