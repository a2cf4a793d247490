//! The results of reading from a connection.

use std::time::Instant;

use super::EndReason;

/// The result of one read.
pub enum ReadOutcome {
    /// Everything that had arrived is read.
    Drained,
    /// There may be more. Other connections are read first.
    More,
    /// Nothing more is read before this time, though more may have arrived.
    Paused(Instant),
    /// The incomplete requests of all connections take more memory than their bound.
    OutOfMemory,
    /// Reading from the connection ended.
    Ended(EndReason),
}
