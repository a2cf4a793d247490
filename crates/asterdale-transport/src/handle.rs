//! The handle to the transport that the rest of the program holds.

use std::sync::Arc;
use std::time::Duration;

use asterdale_membership::Metadata;
use crossbeam_channel::{bounded, Sender};

use crate::messages::MembershipMessage;
use crate::ownership::OwnershipHandle;
use crate::status::StatusReport;
use crate::summary::FleetSummary;

/// How long callers wait for space in the membership actor's mailbox, and again for its reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// A handle to the transport.
#[derive(Clone)]
pub struct Transport {
    pub(crate) mailbox: Sender<MembershipMessage>,
    /// A summary of the fleet.
    pub summary: Arc<FleetSummary>,
    /// The ownership actor, if requests are replicated.
    pub ownership: Option<OwnershipHandle>,
}

impl Transport {
    /// Sets the metadata that the local process announces to its fleet. Never blocks.
    pub fn publish_status(&self, metadata: Metadata) {
        // Dropped if the mailbox is full: callers publish their status periodically.
        let _ = self
            .mailbox
            .try_send(MembershipMessage::SetMetadata(metadata));
    }

    /// Returns a status report of the fleet, or `None` if the actor does not reply within some seconds.
    pub fn status_report(&self) -> Option<StatusReport> {
        let (reply, report) = bounded(1);
        self.mailbox
            .send_timeout(MembershipMessage::ReportStatus(reply), REPLY_TIMEOUT)
            .ok()?;
        report.recv_timeout(REPLY_TIMEOUT).ok()
    }

    /// Leaves the fleet, and returns once the leave is announced; `false` if that takes more than some seconds.
    pub fn leave(&self) -> bool {
        let (reply, left) = bounded(1);
        self.mailbox
            .send_timeout(MembershipMessage::Leave(reply), REPLY_TIMEOUT)
            .is_ok()
            && left.recv_timeout(REPLY_TIMEOUT).is_ok()
    }
}
