//! The results of reading from a connection.

use asterdale_fastcgi::ProtocolError;

/// Why reading from a connection ended.
pub enum ReadEnd {
    /// The client sends nothing more, or nothing more is to be read from it. Open requests are still answered.
    Finished,
    /// What it sent is not FastCGI. Open requests are still answered.
    Malformed(ProtocolError),
    /// Incomplete requests take more memory than their bound. Open requests are still answered.
    OutOfMemory,
    /// The connection failed: replies to open requests can't be delivered.
    Broken,
}

/// The result of one read.
pub enum ReadOutcome {
    /// Everything that had arrived is read.
    Drained,
    /// There may be more. Other connections are read first.
    More,
    /// Reading from the connection ended.
    Ended(ReadEnd),
}
