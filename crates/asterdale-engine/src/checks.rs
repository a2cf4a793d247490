//! Deep health checks that the runtime works at, and their ends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::message::{Connection, Reply};

/// A deep check without a verdict fails after so long; nobody waits for it any more.
pub(crate) const LONGEST_CHECK: Duration = Duration::from_secs(10);

/// A deep check that the runtime works at.
pub(crate) struct Check {
    pub(crate) client: Arc<dyn Connection>,
    pub(crate) request: u16,
    pub(crate) since: Instant,
}

/// Ends a check.
pub(crate) fn answer_health_check(client: &Arc<dyn Connection>, request: u16, good: bool) {
    client.clone().answer(request, Reply::HealthChecked(good));
}
