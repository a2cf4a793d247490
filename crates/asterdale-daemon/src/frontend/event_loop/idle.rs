//! Ends connections that are no longer useful: silent, stalled or idle ones, and those whose certificate has expired.

use asterdale_engine::engine::unix_ms;

use super::EventLoop;
use crate::frontend::connection::{Connection, EndReason};

/// A connection ends if no complete request has arrived on it within this many milliseconds. Clients that misbehave
/// must be answered or closed within 3 s; edge nodes connect only when they have a request.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 2000;

impl EventLoop {
    /// Ends the connections that have a reason to end, those whose clients read no replies, and idle ones beyond the
    /// bound.
    pub(super) fn end_idle_connections(&mut self, now_ms: u64) {
        let (mut ending, mut send_stalled) = (Vec::new(), Vec::new());
        for (&number, connection) in &self.connections {
            if connection.is_send_stalled(&self.context, now_ms) {
                send_stalled.push(number);
            }
            if connection.is_ending() {
                continue;
            }
            if let Some(reason) = self.end_reason(connection, now_ms) {
                ending.push((number, reason));
            }
        }
        for (number, reason) in ending {
            self.end_when_answered(number, reason);
        }
        for number in send_stalled {
            self.abort(number, EndReason::SendStalled);
        }
        let max_idle = self.settings.max_idle_connections;
        self.end_excess_idle_connections(|_| max_idle);
    }

    /// Why this connection is to end, if it is.
    fn end_reason(&self, connection: &Connection, now_ms: u64) -> Option<EndReason> {
        let idle_timeout_ms = match self.settings.idle_timeout_ms {
            0 => u64::MAX,
            timeout_ms => timeout_ms,
        };
        // Open requests are read before the last activity, because the writer records its write before it lowers the
        // number of open requests.
        let has_open_requests = connection.has_open_requests();
        let quiet_ms = now_ms.saturating_sub(connection.last_activity_ms());
        let has_partial_request = connection.has_partial_request();
        let certificate = connection.stream.certificate();
        if certificate.is_some_and(|certificate| unix_ms() >= certificate.not_after_ms) {
            Some(EndReason::CertificateExpired)
        } else if !connection.has_received_request
            && now_ms >= connection.accepted_at_ms + FIRST_REQUEST_TIMEOUT_MS
        {
            Some(EndReason::Silent)
        } else if has_open_requests {
            None
        } else if has_partial_request {
            (quiet_ms >= self.context.max_deadline_ms).then_some(EndReason::Stalled)
        } else {
            (quiet_ms >= idle_timeout_ms).then_some(EndReason::Idle)
        }
    }
}
