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
    /// Declared dead by other members. The process sends no gossip and answers no pings until the program has given up
    /// what it owns. It then rejoins with a generation above `min_generation`, and exchanges views with the process
    /// that reported the death.
    DeclaredDead {
        min_generation: u64,
        reporter: Option<SocketAddr>,
    },
    /// A newer process may be alive under this name. Until the deadline this process pings the newer one; it sends no
    /// gossip and answers no pings.
    NameConflict {
        newer_run: MemberRecord,
        deadline_ms: f64,
        next_ping_ms: f64,
    },
    /// Has announced that it leaves, and announces it once more.
    Leaving { resend_ms: f64, deadline_ms: f64 },
    /// No longer takes part in the protocol.
    Stopped,
}

impl State {
    /// The state at the start. The first request is due at once; without seeds the deadline is too.
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

    /// Whether the process answers pings and ping requests. One that was declared dead, or whose name may belong to a
    /// newer process, must not, so that the other members still declare it dead.
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

    /// When the state's next timer is due; infinity if it has none.
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
