//! Why connections end. Each reason has a counter, so that the counters account for every connection that was accepted.

use asterdale_engine::counters::{Count, Counters};
use asterdale_engine::log::{Log, LogLimit};
use asterdale_fastcgi::ProtocolError;

/// Why a connection ends. Unless noted otherwise, its open requests are still answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The client has shut its sending direction down.
    ClientFinished,
    /// A request did not ask for the connection to be kept.
    NotKept,
    /// Too many replies in a row were errors or answers to management records.
    RepeatedErrors,
    /// What the client sent is not FastCGI.
    Malformed(ProtocolError),
    /// A read or a write failed: replies to open requests can't be delivered.
    Broken,
    /// The client has read nothing for longer than any caller waits: replies to open requests can't be delivered.
    SendStalled,
    /// The client's certificate has expired.
    CertificateExpired,
    /// No complete request arrived in time.
    Silent,
    /// Part of a request arrived, and then nothing for longer than any caller waits.
    Stalled,
    /// Nothing was sent or received for the idle timeout.
    Idle,
    /// No request was open, and other connections needed the room.
    GivenUp,
    /// The process drains.
    Draining,
}

impl EndReason {
    /// The counter of connections that ended for this reason.
    fn counter(self, counters: &Counters) -> &Count {
        match self {
            EndReason::ClientFinished => &counters.connections_finished,
            EndReason::NotKept => &counters.connections_not_kept,
            EndReason::RepeatedErrors => &counters.connections_repeated_errors,
            EndReason::Malformed(_) => &counters.connections_malformed,
            EndReason::Broken => &counters.connections_broken,
            EndReason::SendStalled => &counters.connections_send_stalled,
            EndReason::CertificateExpired => &counters.connections_lapsed,
            EndReason::Silent => &counters.connections_silent,
            EndReason::Stalled => &counters.connections_stalled,
            EndReason::Idle => &counters.connections_idle,
            EndReason::GivenUp => &counters.connections_given_up,
            EndReason::Draining => &counters.connections_drained,
        }
    }

    /// Counts a connection that ends for this reason, and logs it if its client is at fault.
    pub fn record(self, counters: &Counters, log: &Log) {
        self.counter(counters).add();
        self.log(log);
    }

    fn log(self, log: &Log) {
        static REPEATED_ERRORS: LogLimit = LogLimit::new();
        static MALFORMED: LogLimit = LogLimit::new();
        static SEND_STALLED: LogLimit = LogLimit::new();
        static STALLED: LogLimit = LogLimit::new();
        match self {
            EndReason::RepeatedErrors if log.allows(&REPEATED_ERRORS) => {
                slog::warn!(log.lines, "frontend: connection ended, repeated errors");
            }
            EndReason::Malformed(error) if log.allows(&MALFORMED) => {
                slog::warn!(log.lines, "frontend: connection ended, malformed input"; "error" => %error);
            }
            EndReason::SendStalled if log.allows(&SEND_STALLED) => {
                slog::warn!(
                    log.lines,
                    "frontend: connection ended, client reads no replies"
                );
            }
            EndReason::Stalled if log.allows(&STALLED) => {
                slog::warn!(
                    log.lines,
                    "frontend: connection ended, partial request stalled"
                );
            }
            _ => {}
        }
    }
}
