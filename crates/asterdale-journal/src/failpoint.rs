//! Failpoints of this package, each of which a proof must find.

asterdale_failpoints::failpoints! {
    /// A task may start before its intent is on disk.
    Early = "early",
    /// A commit that failed counts as done.
    Sync = "sync",
    /// A folder that is older than what others remember is believed.
    Rollback = "rollback",
    /// A folder is not locked.
    Unlocked = "unlocked",
    /// An empty folder is taken for that of a first start, at which nothing can have run.
    Lost = "lost",
}
