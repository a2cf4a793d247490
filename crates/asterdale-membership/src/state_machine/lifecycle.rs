//! Joining, rejoining after a declared death, leaving, and conflicts over a name.
//!
//! The papers leave joining to the implementation. Here a process requests the full view from seeds, learns the highest
//! generation under its name from it, and takes the next one. A leave is announced to a few members directly and spreads
//! as gossip, so it raises no suspicion.

use std::net::SocketAddr;

use super::sending::ping_without_probe;
use super::state::State;
use super::Membership;
use crate::event::{Action, Event};
use crate::failpoint::{self, Failpoint};
use crate::record::Status;

/// How many members are notified directly of a leave, at once and again half a probe interval later.
const LEAVE_FANOUT: usize = 8;
/// A joining process waits for 0.5 to 1 probe interval between its requests to seeds.
const MIN_JOIN_JITTER: f64 = 0.5;
/// Width of the jitter's range.
const JOIN_JITTER_RANGE: f64 = 0.5;
/// The generation that the failpoint `generation` takes.
const FAILPOINT_GENERATION: u64 = 1;

impl Membership {
    /// Announces that this process leaves. One probe interval later it stops taking part in the protocol.
    pub fn leave(&mut self, now_ms: f64) -> Vec<Action> {
        self.run_timers(now_ms);
        match self.state {
            State::Member => {
                self.local.status = Status::Left;
                self.local.reported_by.clone_from(&self.local.name);
                let interval_ms = self.settings.probe_interval_ms;
                self.state = State::Leaving {
                    resend_ms: now_ms + interval_ms / 2.0,
                    deadline_ms: now_ms + interval_ms,
                };
                self.announce_leave();
            }
            State::Leaving { .. } => {}
            _ => self.state = State::Stopped,
        }
        self.finish_step(now_ms)
    }

    /// Rejoins with a new generation. The program calls this after [`Event::DeclaredDead`], once it has given up
    /// everything that the process owned. Does nothing if the process was not declared dead.
    pub fn rejoin(&mut self, now_ms: f64) -> Vec<Action> {
        self.run_timers(now_ms);
        if let State::DeclaredDead {
            min_generation,
            reporter,
        } = self.state
        {
            self.take_generation_above(min_generation.max(self.local.generation));
            self.local.incarnation = 0;
            self.state = State::Member;
            self.schedule_periodic_work(now_ms);
            self.gossip_local_record();
            self.emit(Event::Rejoined(self.local.generation));
            if let Some(reporter) = reporter {
                self.exchanges.next_peer = Some(reporter);
                self.exchanges.next_ms = now_ms;
            }
        }
        self.finish_step(now_ms)
    }

    /// Ends joining, with or without a response from a seed.
    pub(super) fn become_member(&mut self, now_ms: f64) {
        self.take_generation_above(self.highest_known_generation);
        self.state = State::Member;
        self.schedule_periodic_work(now_ms);
        self.gossip_local_record();
        self.emit(Event::PriorGeneration(self.highest_reported_generation));
        self.emit(Event::Joined(self.local.generation));
    }

    fn take_generation_above(&mut self, generation: u64) {
        self.local.generation = if failpoint::is_active(Failpoint::FixedGeneration) {
            FAILPOINT_GENERATION
        } else {
            generation + 1
        };
    }

    /// Runs the timers of the current state.
    pub(super) fn run_state_timers(&mut self, now_ms: f64) {
        match &self.state {
            State::Joining { deadline_ms, .. } if now_ms >= *deadline_ms => {
                self.become_member(now_ms);
            }
            State::Joining {
                next_request_ms, ..
            } if now_ms >= *next_request_ms => self.request_join(now_ms),
            State::NameConflict {
                newer_run,
                deadline_ms,
                ..
            } if now_ms >= *deadline_ms => {
                let (generation, reported_by) =
                    (newer_run.generation, newer_run.reported_by.clone());
                self.become_declared_dead(generation, None, &reported_by);
            }
            State::NameConflict {
                newer_run,
                next_ping_ms,
                ..
            } if now_ms >= *next_ping_ms => self.ping_newer_run(now_ms, newer_run.address),
            State::Leaving { deadline_ms, .. } if now_ms >= *deadline_ms => {
                self.state = State::Stopped;
            }
            State::Leaving { resend_ms, .. } if now_ms >= *resend_ms => self.repeat_leave(),
            _ => {}
        }
    }

    /// Requests the full view from a random seed.
    fn request_join(&mut self, now_ms: f64) {
        if let Some(&seed) = self.random.choose(&self.seeds) {
            self.start_exchange(now_ms, seed);
        }
        let jitter = MIN_JOIN_JITTER + JOIN_JITTER_RANGE * self.random.fraction();
        if let State::Joining {
            next_request_ms, ..
        } = &mut self.state
        {
            *next_request_ms = now_ms + self.settings.probe_interval_ms * jitter;
        }
    }

    /// Pings the newer process that may be alive under this name. An answer shows that it is alive.
    fn ping_newer_run(&mut self, now_ms: f64, address: SocketAddr) {
        self.send(address, ping_without_probe(), None);
        if let State::NameConflict { next_ping_ms, .. } = &mut self.state {
            *next_ping_ms = now_ms + self.settings.probe_timeout_ms;
        }
    }

    fn repeat_leave(&mut self) {
        self.announce_leave();
        if let State::Leaving { resend_ms, .. } = &mut self.state {
            *resend_ms = f64::INFINITY;
        }
    }

    /// Gossips this process's record, and sends it to a few random members directly.
    fn announce_leave(&mut self) {
        let live_members = self.view.live_members();
        let mut addresses: Vec<SocketAddr> =
            live_members.map(|entry| entry.record.address).collect();
        self.gossip.add(self.local.clone());
        for _ in 0..LEAVE_FANOUT.min(addresses.len()) {
            if let Some(address) = self.random.remove(&mut addresses) {
                self.send(address, ping_without_probe(), None);
            }
        }
    }
}
