//! Anti-entropy: exchanges of full views over a stream (push-pull).
//!
//! SWIM has no anti-entropy; memberlist, which Lifeguard was built on, has a periodic push-pull like this one. In
//! addition, every message carries a hash of the sender's view. Views that differ are exchanged soon, unless queued
//! gossip explains the difference.

use std::net::SocketAddr;

use super::receiving::is_full_view;
use super::state::State;
use super::Membership;
use crate::event::Action;
use crate::message::{Message, MAX_EXCHANGE_BYTES};

/// With more queued records than this, as after a partition or a restart of the complete fleet, gossip would take
/// longer than an exchange. Views are then exchanged although gossip would make them equal in the end.
const MAX_GOSSIP_BACKLOG_RECORDS: usize = 4;

/// When the next exchange is due, and with which peer.
#[derive(Clone, Debug)]
pub(super) struct ExchangeSchedule {
    pub(super) next_ms: f64,
    /// The next exchange's peer; a random live member if `None`.
    pub(super) next_peer: Option<SocketAddr>,
    last_ms: f64,
}

impl Default for ExchangeSchedule {
    fn default() -> ExchangeSchedule {
        ExchangeSchedule {
            next_ms: f64::INFINITY,
            next_peer: None,
            last_ms: f64::NEG_INFINITY,
        }
    }
}

impl Membership {
    /// Handles the request of an exchange that another process started. Returns the response, if there is one.
    pub fn handle_exchange_request(
        &mut self,
        now_ms: f64,
        bytes: &[u8],
    ) -> (Option<Vec<u8>>, Vec<Action>) {
        self.run_timers(now_ms);
        let response = self.answer_exchange(now_ms, bytes);
        (response, self.finish_step(now_ms))
    }

    fn answer_exchange(&mut self, now_ms: f64, bytes: &[u8]) -> Option<Vec<u8>> {
        if !self.admit_message(now_ms) || self.state == State::Stopped {
            return None;
        }
        let (message, sender) = self.decode(now_ms, bytes, MAX_EXCHANGE_BYTES)?;
        if !is_full_view(&message, false) {
            return None;
        }
        self.handle_message(now_ms, &message, &sender);
        Some(self.encode_full_view(true))
    }

    /// Handles the response to an exchange that this process started. A valid one makes a joining process a member.
    pub fn handle_exchange_response(&mut self, now_ms: f64, bytes: &[u8]) -> Vec<Action> {
        self.run_timers(now_ms);
        if let Some((message, sender)) = self.decode(now_ms, bytes, MAX_EXCHANGE_BYTES) {
            if is_full_view(&message, true) {
                self.handle_message(now_ms, &message, &sender);
                if self.state.is_joining() {
                    self.become_member(now_ms);
                }
            }
        }
        self.finish_step(now_ms)
    }

    /// Starts the exchange that is due, with the scheduled peer or a random live member.
    pub(super) fn run_periodic_exchange(&mut self, now_ms: f64) {
        let live_members = self.view.live_members();
        let addresses: Vec<SocketAddr> = live_members.map(|entry| entry.record.address).collect();
        let peer = match self.exchanges.next_peer.take() {
            Some(peer) => Some(peer),
            None => self.random.choose(&addresses).copied(),
        };
        if let Some(peer) = peer {
            self.start_exchange(now_ms, peer);
        }
        self.exchanges.next_ms =
            self.jittered_intervals_ms(now_ms, self.settings.exchange_intervals);
    }

    /// Starts an exchange immediately.
    pub(super) fn start_exchange(&mut self, now_ms: f64, peer: SocketAddr) {
        self.exchanges.last_ms = now_ms;
        self.counters.exchanges_started += 1;
        let bytes = self.encode_full_view(false);
        self.actions.push(Action::Exchange(peer, bytes));
    }

    /// Schedules an exchange with the sender if its view differs and queued gossip does not explain the difference.
    /// There is at least one probe interval between such an exchange and the one before.
    pub(super) fn compare_views(&mut self, now_ms: f64, message: &Message, sender: SocketAddr) {
        let is_exchange = is_full_view(message, false) || is_full_view(message, true);
        if !self.is_member() || is_exchange || message.joining {
            return;
        }
        let is_gossip_enough =
            !self.gossip.is_empty() && self.gossip.len() <= MAX_GOSSIP_BACKLOG_RECORDS;
        if message.view_hash == self.view_hash() || is_gossip_enough {
            return;
        }
        let interval_ms = self.settings.probe_interval_ms;
        let earliest_ms = now_ms.max(self.exchanges.last_ms + interval_ms);
        let next_ms = earliest_ms + interval_ms * self.random.fraction();
        if self.exchanges.next_peer.is_none() && next_ms < self.exchanges.next_ms {
            self.exchanges.next_ms = next_ms;
            self.exchanges.next_peer = Some(sender);
        }
    }
}
