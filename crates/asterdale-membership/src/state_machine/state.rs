//! The states of a process in its fleet.

use std::net::SocketAddr;

use crate::record::MemberRecord;
use crate::settings::Settings;

/// The states.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum State {
    /// Requests full views from the seeds. At the deadline the process becomes a member without an answer.
    Joining {
        deadline_ms: f64,
        next_request_ms: f64,
    },
    /// Takes part in the protocol.
    Member,
    /// Declared dead by others. The process is silent until the program has given up what it owns; then it goes on with
    /// a generation above `min_generation`, and exchanges views with the process that reported the death.
    DeclaredDead {
        min_generation: u64,
        reporter: Option<SocketAddr>,
    },
    /// A newer process may be alive under this name. This process pings it until the deadline, and is silent otherwise.
    NameConflict {
        rival: MemberRecord,
        deadline_ms: f64,
        next_ping_ms: f64,
    },
    /// Has announced that it leaves, and announces it once more.
    Leaving { resend_ms: f64, deadline_ms: f64 },
    /// Takes no part any more.
    Stopped,
}

impl State {
    /// The state at the start: the first request goes out at once; without seeds there is nothing to wait for.
    pub(super) fn joining(now_ms: f64, seeds: &[SocketAddr], settings: &Settings) -> State {
        let deadline_ms = if seeds.is_empty() {
            now_ms
        } else {
            now_ms + settings.join_timeout_intervals * settings.probe_interval_ms
        };
        State::Joining {
            deadline_ms,
            next_request_ms: now_ms,
        }
    }

    /// The name on the control socket. Tools read these names, so they stay when a variant is renamed.
    pub(super) fn name(&self) -> &'static str {
        match self {
            State::Joining { .. } => "joining",
            State::Member => "in",
            State::DeclaredDead { .. } => "fallen",
            State::NameConflict { .. } => "doubled",
            State::Leaving { .. } => "leaving",
            State::Stopped => "ended",
        }
    }

    pub(super) fn is_joining(&self) -> bool {
        matches!(self, State::Joining { .. })
    }

    /// Whether the process answers pings and ping requests. While it may not be the name's owner it must not, so that
    /// the others go on to declare it dead.
    pub(super) fn answers_pings(&self) -> bool {
        !matches!(
            self,
            State::DeclaredDead { .. } | State::NameConflict { .. }
        )
    }

    /// Whether the process piggybacks gossip on its messages.
    pub(super) fn sends_gossip(&self) -> bool {
        matches!(self, State::Member | State::Leaving { .. })
    }

    /// When the state itself has something to do next; infinity if never.
    pub(super) fn next_wake_ms(&self) -> f64 {
        match self {
            State::Joining {
                deadline_ms,
                next_request_ms,
            } => deadline_ms.min(*next_request_ms),
            State::NameConflict {
                deadline_ms,
                next_ping_ms,
                ..
            } => deadline_ms.min(*next_ping_ms),
            State::Leaving {
                resend_ms,
                deadline_ms,
            } => resend_ms.min(*deadline_ms),
            State::Member | State::DeclaredDead { .. } | State::Stopped => f64::INFINITY,
        }
    }
}
