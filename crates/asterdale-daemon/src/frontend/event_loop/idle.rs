//! Ends connections that are no longer useful: silent, stalled or idle ones, and those whose certificate has expired.

use asterdale_engine::engine::unix_ms;
use asterdale_engine::log::LogLimit;

use super::EventLoop;
use crate::frontend::connection::Connection;

/// A connection ends if no complete request has arrived on it within this many milliseconds. Clients that misbehave
/// must be answered or closed within 3 s; edge nodes connect only when they have a request.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 2000;

/// Why a connection is ended.
enum EndCause {
    /// Its client's certificate has expired: no further request on it would be admitted.
    CertificateExpired,
    /// No complete request arrived within [`FIRST_REQUEST_TIMEOUT_MS`].
    Silent,
    /// Part of a request arrived, and then nothing for longer than any caller waits.
    Stalled,
    /// Nothing was sent or received for the idle timeout.
    Idle,
}

impl EventLoop {
    /// Ends the connections that have an [`EndCause`], those whose clients read no replies, and idle ones beyond the
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
            if let Some(cause) = self.end_cause(connection, now_ms) {
                self.record_end_cause(&cause);
                ending.push(number);
            }
        }
        for number in ending {
            self.end_when_answered(number);
        }
        for number in send_stalled {
            self.record_send_stalled();
            self.abort(number);
        }
        let max_idle = self.settings.max_idle_connections;
        self.end_excess_idle_connections(|_| max_idle);
    }

    /// Why this connection is to end, if it is.
    fn end_cause(&self, connection: &Connection, now_ms: u64) -> Option<EndCause> {
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
            Some(EndCause::CertificateExpired)
        } else if !connection.has_received_request
            && now_ms >= connection.accepted_at_ms + FIRST_REQUEST_TIMEOUT_MS
        {
            Some(EndCause::Silent)
        } else if has_open_requests {
            None
        } else if has_partial_request {
            (quiet_ms >= self.context.max_deadline_ms).then_some(EndCause::Stalled)
        } else {
            (quiet_ms >= idle_timeout_ms).then_some(EndCause::Idle)
        }
    }

    fn record_end_cause(&self, cause: &EndCause) {
        static STALLED: LogLimit = LogLimit::new();
        let (counters, log) = (&self.context.counters, &self.context.log);
        match cause {
            EndCause::CertificateExpired => counters.connections_lapsed.add(),
            EndCause::Silent => counters.connections_silent.add(),
            EndCause::Idle => counters.connections_idle.add(),
            EndCause::Stalled => {
                counters.connections_malformed.add();
                if log.allows(&STALLED) {
                    slog::warn!(
                        log.lines,
                        "frontend: connection ended, partial request stalled"
                    );
                }
            }
        }
    }

    fn record_send_stalled(&self) {
        static SEND_STALLED: LogLimit = LogLimit::new();
        self.context.counters.connections_broken.add();
        if self.context.log.allows(&SEND_STALLED) {
            slog::warn!(
                self.context.log.lines,
                "frontend: connection ended, client reads no replies"
            );
        }
    }
}
