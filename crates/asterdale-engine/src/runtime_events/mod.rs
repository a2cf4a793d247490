//! Events from the runtime: the link and its replay, gauges, ends of runs and calls, health checks.

mod health;
mod link;
mod notices;

/// The tag of the last gauges request on a link that is about to end. Its answer proves that every command on that link
/// has arrived.
pub(crate) const FLUSH_TAG: &str = "last";
/// The tag of the first gauges request on a link. Its answer proves that every missed notice has been received.
const REPLAY_TAG: &str = "replay";
