//! The state machine of the membership protocol, as each process runs it.
//!
//! This module owns the state; each submodule implements one part of the protocol: `timers` (what is due when),
//! `probing` and `relaying` (failure detection), `suspicions` (of others) and `refutation` (of suspicions of this
//! process), `dissemination` (which received records to accept), `receiving` and `sending` (messages with piggybacked
//! gossip), `exchange` (anti-entropy), `dead_members` (pings and retention) and `lifecycle` (joining, rejoining,
//! leaving).

mod dead_members;
mod dissemination;
mod exchange;
mod lifecycle;
mod probing;
mod receiving;
mod refutation;
mod relaying;
mod sending;
mod state;
mod suspicions;
mod timers;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::authentication::MessageAuthenticator;
use crate::config::MembershipConfig;
use crate::counters::Counters;
use crate::event::{Action, Event, MemberChange};
use crate::gossip_queue::GossipQueue;
use crate::local_health::LocalHealth;
use crate::random::RandomSource;
use crate::receive_limiter::ReceiveLimiter;
use crate::record::{MemberRecord, Metadata, Status};
use crate::settings::Settings;
use crate::view::{self, View};

use exchange::ExchangeSchedule;
use probing::Prober;
use relaying::RelayedProbes;
use state::State;
use timers::Timers;

/// The membership protocol of one process.
///
/// Methods that return actions first run the timers that are due. Times are milliseconds of a monotonic clock.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    authenticator: MessageAuthenticator,
    /// This process's own record, which is not in the view.
    local: MemberRecord,
    /// The metadata that the program set last. The local record may not have it yet.
    pending_metadata: Metadata,
    seeds: Vec<SocketAddr>,
    state: State,
    view: View,
    gossip: GossipQueue,
    local_health: LocalHealth,
    prober: Prober,
    relayed_probes: RelayedProbes,
    /// Names of suspects to be pinged soon, in addition to the probes.
    suspects_to_ping: BTreeSet<String>,
    /// Sequence number of the last probe, this process's own or relayed.
    last_seq: u32,
    exchanges: ExchangeSchedule,
    timers: Timers,
    random: RandomSource,
    receive_limiter: ReceiveLimiter,
    /// The highest generation known for this name, from the program or from other members.
    highest_known_generation: u64,
    /// The highest generation that other members have reported for this name.
    highest_reported_generation: u64,
    had_majority: bool,
    /// Since when this process has had a majority; infinity while it has none.
    majority_since_ms: f64,
    last_version_rejection_ms: f64,
    /// Actions of the current step, returned to the caller at its end.
    actions: Vec<Action>,
    /// This member's counters.
    pub counters: Counters,
}

impl Membership {
    /// A process that starts now. It joins through the seeds and is not a member before [`Event::Joined`].
    pub fn new(now_ms: f64, config: MembershipConfig) -> Membership {
        let random = RandomSource::new(config.random_seed ^ config.nonce);
        let local = MemberRecord {
            name: config.name,
            address: config.address,
            generation: 0,
            nonce: config.nonce,
            incarnation: 0,
            status: Status::Alive,
            metadata: Metadata::default(),
            reported_by: String::new(),
        };
        let mut seeds = config.seeds;
        seeds.retain(|&seed| seed != local.address);
        let mut membership = Membership {
            authenticator: MessageAuthenticator::new(&config.key),
            local,
            pending_metadata: Metadata::default(),
            state: State::joining(now_ms, &seeds, &config.settings),
            seeds,
            view: View::default(),
            gossip: GossipQueue::default(),
            local_health: LocalHealth::default(),
            prober: Prober::default(),
            relayed_probes: RelayedProbes::default(),
            suspects_to_ping: BTreeSet::new(),
            last_seq: 0,
            exchanges: ExchangeSchedule::default(),
            timers: Timers::new(now_ms),
            random,
            receive_limiter: ReceiveLimiter::new(now_ms),
            highest_known_generation: config.last_generation,
            highest_reported_generation: 0,
            had_majority: false,
            majority_since_ms: f64::INFINITY,
            last_version_rejection_ms: f64::NEG_INFINITY,
            actions: Vec::new(),
            counters: Counters::default(),
            settings: config.settings,
        };
        membership.timers.scheduled_wake_ms = membership.next_wake_ms();
        membership
    }

    /// This process's own record.
    pub fn local_record(&self) -> &MemberRecord {
        &self.local
    }

    /// The records of all other processes.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Hash of the live members' run IDs, this process among them. Processes with equal views have equal hashes.
    pub fn view_hash(&self) -> u64 {
        let local_hash = if self.is_member() {
            view::record_hash(&self.local)
        } else {
            0
        };
        self.view.hash() ^ local_hash
    }

    /// Whether this process is a member.
    pub fn is_member(&self) -> bool {
        self.state == State::Member
    }

    /// Whether this process no longer takes part in the protocol: it left, or was superseded.
    pub fn is_stopped(&self) -> bool {
        self.state == State::Stopped
    }

    /// The state's name, as the control socket prints it: `joining`, `in`, `fallen`, `doubled`, `leaving` or `ended`.
    pub fn state_name(&self) -> &'static str {
        self.state.name()
    }

    /// The live fraction of the fleet, from 0 to 1: live members over live and dead ones, this process included in
    /// both.
    pub fn live_fraction(&self) -> f64 {
        self.fleet_size() as f64 / (self.view.live_or_dead_count() + 1) as f64
    }

    /// The number of live members, this process included.
    fn fleet_size(&self) -> usize {
        self.view.live_count() + 1
    }

    /// Whether this process reaches more than half of the fleet, including its dead members, and has had an ack
    /// recently.
    ///
    /// It is never true in a partition with half of the fleet or less, nor right after a pause of this process.
    pub fn has_majority(&self, now_ms: f64) -> bool {
        let max_age_ms = timers::PAUSE_THRESHOLD_INTERVALS
            * self.settings.probe_interval_ms
            * self.local_health.timeout_multiplier()
            + self.settings.probe_timeout_ms;
        let is_alone = self.view.live_or_dead_count() == 0;
        self.is_member()
            && self.live_fraction() > 0.5
            && (is_alone || self.ms_since_last_ack(now_ms) <= max_age_ms)
    }

    /// Whether this process has had a majority for at least the maximum suspicion timeout.
    fn has_stable_majority(&self, now_ms: f64) -> bool {
        let max_suspicion_ms = self.settings.max_suspicion_ms(self.fleet_size());
        self.has_majority(now_ms) && now_ms - self.majority_since_ms >= max_suspicion_ms
    }

    /// The time since a probe was last acked; infinity if none was since the start or the last pause of this process.
    pub fn ms_since_last_ack(&self, now_ms: f64) -> f64 {
        now_ms - self.prober.last_ack_ms
    }

    /// Sets what this process reports about its load. It is gossiped at a bounded rate.
    pub fn set_metadata(&mut self, metadata: Metadata) {
        self.pending_metadata = metadata;
    }

    fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    fn emit(&mut self, event: Event) {
        self.actions.push(Action::Event(event));
    }

    fn emit_change(&mut self, record: &MemberRecord, change: MemberChange) {
        self.emit(Event::MemberChanged {
            name: record.name.clone(),
            generation: record.generation,
            change,
            reported_by: record.reported_by.clone(),
        });
    }

    /// Ends a step: reports a changed majority, computes the next wake time, and returns the step's actions.
    fn finish_step(&mut self, now_ms: f64) -> Vec<Action> {
        let has_majority = self.has_majority(now_ms);
        if has_majority != self.had_majority {
            self.had_majority = has_majority;
            self.majority_since_ms = if has_majority { now_ms } else { f64::INFINITY };
            self.emit(Event::MajorityChanged(has_majority));
        }
        self.timers.scheduled_wake_ms = self.next_wake_ms();
        std::mem::take(&mut self.actions)
    }
}
