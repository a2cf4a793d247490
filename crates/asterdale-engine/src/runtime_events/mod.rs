//! What the engine does with the runtime: the link and its replay, gauges, ends of runs and calls, health checks.

mod health;
mod link;
mod notices;

/// The tag of gauges whose arrival proves that every command on a link that is to end has arrived.
pub(crate) const FLUSH_TAG: &str = "last";
/// The tag of gauges whose arrival proves that every missed notice was sent again.
const REPLAY_TAG: &str = "replay";
