//! The handle to the transport that the rest of the program holds.

use std::sync::Arc;
use std::time::Duration;

use asterdale_membership::Metadata;
use crossbeam_channel::{bounded, Sender};

use crate::messages::MembershipMessage;
use crate::ownership::OwnershipHandle;
use crate::status::StatusReport;
use crate::summary::FleetSummary;

/// How long callers wait for the membership actor, both to take a message and to reply.
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
    /// Announces this about the local process from now on. Never waits.
    pub fn publish_status(&self, metadata: Metadata) {
        // A full mailbox drops it: callers publish their status again and again.
        let _ = self
            .mailbox
            .try_send(MembershipMessage::SetMetadata(metadata));
    }

    /// All that this process knows of its fleet; `None` if the actor does not reply within some seconds.
    pub fn status_report(&self) -> Option<StatusReport> {
        let (reply, report) = bounded(1);
        self.mailbox
            .send_timeout(MembershipMessage::ReportStatus(reply), REPLY_TIMEOUT)
            .ok()?;
        report.recv_timeout(REPLY_TIMEOUT).ok()
    }

    /// Leaves the fleet, and returns once that is announced; `false` if that takes more than some seconds.
    pub fn leave(&self) -> bool {
        let (reply, left) = bounded(1);
        self.mailbox
            .send_timeout(MembershipMessage::Leave(reply), REPLY_TIMEOUT)
            .is_ok()
            && left.recv_timeout(REPLY_TIMEOUT).is_ok()
    }
}
