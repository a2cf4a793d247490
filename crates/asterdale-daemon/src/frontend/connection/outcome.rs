//! The results of reading from a connection.

use asterdale_fastcgi::ProtocolError;

/// Why a connection is read no further.
pub enum ReadEnd {
    /// The client sends nothing more, or nothing more is wanted from it. Open requests are still answered.
    Finished,
    /// What it sent is not FastCGI. Open requests are still answered.
    Malformed(ProtocolError),
    /// Its incomplete requests take more memory than there is. Open requests are still answered.
    OutOfMemory,
    /// The connection failed: open requests have nobody left to answer.
    Broken,
}

/// The result of one read.
pub enum ReadOutcome {
    /// Everything that had arrived is read.
    Drained,
    /// There may be more. Other connections are read first.
    More,
    /// The connection is read no further.
    Ended(ReadEnd),
}
