//! Deep health checks that the runtime works at, and their ends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::mail::{Client, Reply};

/// A deep check without a verdict fails after so long; nobody waits for it any more.
pub(crate) const LONGEST_CHECK: Duration = Duration::from_secs(10);

/// A deep check that the runtime works at.
pub(crate) struct Check {
    pub(crate) client: Arc<dyn Client>,
    pub(crate) request: u16,
    pub(crate) since: Instant,
}

/// Ends a check.
pub(crate) fn checked(client: &Arc<dyn Client>, request: u16, good: bool) {
    client.clone().answer(request, Reply::Checked(good));
}
