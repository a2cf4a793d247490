//! The results of reading from a connection.

use super::EndReason;

/// The result of one read.
pub enum ReadOutcome {
    /// Everything that had arrived is read.
    Drained,
    /// There may be more. Other connections are read first.
    More,
    /// Reading from the connection ended.
    Ended(EndReason),
}
