//! The messages to the membership actor.

use asterdale_membership::Metadata;
use crossbeam_channel::Sender;

use crate::status::StatusReport;

/// A message to the membership actor.
pub(crate) enum MembershipMessage {
    /// A datagram has arrived.
    Datagram(Vec<u8>),
    /// Another process requests an exchange of views.
    ExchangeRequest {
        /// The number of the stream for the response.
        stream: usize,
        /// The request.
        bytes: Vec<u8>,
    },
    /// The response to an exchange that this process requested.
    ExchangeResponse(Vec<u8>),
    /// Set the metadata that the local process announces to its fleet.
    SetMetadata(Metadata),
    /// Reply with a status report.
    ReportStatus(Sender<StatusReport>),
    /// Leave the fleet, and reply once the leave is announced.
    Leave(Sender<()>),
}
