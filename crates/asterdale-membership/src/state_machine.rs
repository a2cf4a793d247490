//! The state machine: one process's part in the talk of its fleet.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::authentication::MessageAuthenticator;
use crate::counters::Counters;
use crate::failpoint::{self, Failpoint};
use crate::gossip_queue::GossipQueue;
use crate::local_health::LocalHealth;
use crate::message::{
    self, wire, Ack, DecodeError, FullView, Message, Nack, Payload, Ping, MAX_DATAGRAM_BYTES,
    MAX_EXCHANGE_BYTES,
};
use crate::record::{MemberRecord, Metadata, Status};
use crate::settings::Settings;
use crate::suspicion::Suspicion;
use crate::view::{self, View};

/// A wake that comes so many intervals late was a pause: what was not heard meanwhile says nothing of others.
const PAUSE_INTERVALS: f64 = 3.0;
/// Questions for others that are under way; more are passed over, as their answer would come too late.
const MAX_RELAYED_PROBES: usize = 256;
/// A helper says that it heard nothing after this part of the time that it has.
const NACK_TIMEOUT_FRACTION: f64 = 0.8;
/// Messages a second that are read: so many, and so many more for each member. A fleet that is well sends a tenth.
const MOST_A_SECOND: (f64, f64) = (400.0, 40.0);
/// How many others hear of a leave directly, at once and once more.
const LEAVE_FANOUT: usize = 8;
/// More news than this take longer to ride to all than whole views take to pass: a half that was found
/// again, or everybody restarted. Then views are exchanged although news would explain how they differ.
const MAX_GOSSIP_BACKLOG: usize = 4;
/// Suspects that are asked beside the probe of an interval, so that they can speak before their time is over. After a
/// partition there are as many as half of the fleet, and one probe an interval would reach most of them too late.
const SUSPECT_PINGS_PER_INTERVAL: usize = 8;
/// Of a suspicion that was heard of, so many of those who hear it ask the suspect at once, in the mean.
const MEAN_SUSPECT_PINGERS: f64 = 8.0;
/// Notes ride as news no more often than once in so many intervals.
const METADATA_INTERVALS: f64 = 2.0;

/// What a process is told at its start.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Its name.
    pub name: String,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// The last generation that it knows of itself; 0 where it remembers none.
    pub last_generation: u64,
    /// A number that no other process has drawn.
    pub nonce: u64,
    /// Processes that are asked first.
    pub seeds: Vec<SocketAddr>,
    /// The fleet's key.
    pub key: Vec<u8>,
    /// What the fleet agrees on.
    pub settings: Settings,
    /// Chance comes from it.
    pub random_seed: u64,
}

/// What has become of another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// It is there, and was not known, or was dead.
    Joined,
    /// It is there, and is a new one under a known name.
    Restarted,
    /// It is suspected.
    Suspected,
    /// It refuted that.
    Refuted,
    /// It is dead.
    Died,
    /// It has left.
    Left,
}

/// What the program is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Of the processes that had this one's name others remember this generation as the highest, or none: 0. Told before
    /// [`Event::Joined`].
    PriorGeneration(u64),
    /// This process is a member from now on, in this generation.
    Joined(u64),
    /// What is held of another has changed.
    MemberChanged {
        /// Whom.
        name: String,
        /// Its generation.
        generation: u64,
        /// What.
        change: MemberChange,
        /// By whose word.
        reported_by: String,
    },
    /// The others believe this process dead, and it can't be sure that it was heard by most: whatever it holds is
    /// to be given up before it goes on, by [`Membership::rejoin`].
    DeclaredDead {
        /// By whose word.
        reported_by: String,
    },
    /// It goes on in this generation.
    Rejoined(u64),
    /// Another process may live under this name, there; this one is silent until that is known.
    NameConflict(SocketAddr),
    /// Another process under this name is the newer one: this one is over.
    Superseded(SocketAddr),
    /// This process stood still for so many milliseconds.
    Paused(f64),
    /// Whether it hears more than half of the fleet.
    MajorityChanged(bool),
    /// Another speaks these versions alone, from the least to the most.
    VersionRejected {
        /** Lowest. */
        min_version: u32,
        /** Highest. */
        max_version: u32,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this datagram.
    Send(SocketAddr, Vec<u8>),
    /// Connect, send this, and bring what comes back to [`Membership::handle_exchange_response`].
    Exchange(SocketAddr, Vec<u8>),
    /// The program is told.
    Event(Event),
}

/// How a process stands to its fleet.
#[derive(Clone, Debug, PartialEq)]
enum State {
    /// It asks the seeds, until then.
    Joining {
        deadline_ms: f64,
        next_request_ms: f64,
    },
    /// It is a member.
    Member,
    /// It has to give up what it holds; then it takes a generation above this one, and tells this one.
    DeclaredDead {
        min_generation: u64,
        exchange_with: Option<SocketAddr>,
    },
    /// Another may live under its name.
    NameConflict {
        rival: MemberRecord,
        deadline_ms: f64,
        next_ping_ms: f64,
    },
    /// It has said that it leaves, and says so again then.
    Leaving { resend_ms: f64, deadline_ms: f64 },
    /// It takes no part any more.
    Stopped,
}

/// A probe under way.
#[derive(Clone, Debug)]
struct Probe {
    seq: u32,
    target: String,
    generation: u64,
    /// Others are asked then; never, once they are.
    indirect_at_ms: f64,
    relay_count: usize,
    nack_count: usize,
    acked: bool,
}

/// A probe made for another.
#[derive(Clone, Debug)]
struct RelayedProbe {
    requester: SocketAddr,
    requester_seq: u32,
    nack_at_ms: f64,
    expires_ms: f64,
    nack_sent: bool,
}

/// One process's part.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    authenticator: MessageAuthenticator,
    local: MemberRecord,
    seeds: Vec<SocketAddr>,
    state: State,
    view: View,
    gossip: GossipQueue,
    local_health: LocalHealth,
    probe: Option<Probe>,
    /// The rest of this round, last first.
    probe_round: Vec<String>,
    relayed_probes: BTreeMap<u32, RelayedProbe>,
    /// Suspects that are asked soon, beside the probes.
    suspects_to_ping: BTreeSet<String>,
    last_seq: u32,
    random: Pcg64Mcg,
    next_probe_ms: f64,
    next_exchange_ms: f64,
    /// With whom, where that is settled.
    next_exchange_peer: Option<SocketAddr>,
    last_exchange_ms: f64,
    next_dead_ping_ms: f64,
    next_sweep_ms: f64,
    next_metadata_ms: f64,
    pending_metadata: Metadata,
    /// The highest generation under this name that others remember.
    highest_known_generation: u64,
    /// The same, but for what the program remembered itself.
    highest_peer_generation: u64,
    /// When a probe was last answered.
    last_ack_ms: f64,
    has_majority: bool,
    /// Since when; infinite while it is not.
    majority_since_ms: f64,
    /// When it was to be woken.
    scheduled_wake_ms: f64,
    /// Messages that may still be read, and as of when.
    receive_allowance: (f64, f64),
    last_version_rejection_ms: f64,
    actions: Vec<Action>,
    /// What it has seen.
    pub counters: Counters,
}

impl Membership {
    /// A process that starts now. It is no member before [`Event::Joined`].
    pub fn new(now: f64, start: MembershipConfig) -> Membership {
        let MembershipConfig {
            name,
            address: at,
            last_generation: generation,
            nonce,
            mut seeds,
            key,
            settings: terms,
            random_seed: seed,
        } = start;
        seeds.retain(|&seed| seed != at);
        let me = MemberRecord {
            name,
            address: at,
            generation: 0,
            nonce,
            incarnation: 0,
            status: Status::Alive,
            metadata: Metadata::default(),
            reported_by: String::new(),
        };
        let until = if seeds.is_empty() {
            now
        } else {
            now + terms.join_timeout_intervals * terms.probe_interval_ms
        };
        let mut fleet = Membership {
            authenticator: MessageAuthenticator::new(&key),
            local: me,
            seeds,
            state: State::Joining {
                deadline_ms: until,
                next_request_ms: now,
            },
            view: View::default(),
            gossip: GossipQueue::default(),
            local_health: LocalHealth::default(),
            probe: None,
            probe_round: Vec::new(),
            relayed_probes: BTreeMap::new(),
            suspects_to_ping: BTreeSet::new(),
            last_seq: 0,
            random: Pcg64Mcg::seed_from_u64(seed ^ nonce),
            next_probe_ms: f64::INFINITY,
            next_exchange_ms: f64::INFINITY,
            next_exchange_peer: None,
            last_exchange_ms: f64::NEG_INFINITY,
            next_dead_ping_ms: f64::INFINITY,
            next_sweep_ms: f64::INFINITY,
            next_metadata_ms: now,
            pending_metadata: Metadata::default(),
            highest_known_generation: generation,
            highest_peer_generation: 0,
            last_ack_ms: f64::NEG_INFINITY,
            has_majority: false,
            majority_since_ms: f64::INFINITY,
            scheduled_wake_ms: now,
            receive_allowance: (MOST_A_SECOND.0, now),
            last_version_rejection_ms: f64::NEG_INFINITY,
            actions: Vec::new(),
            counters: Counters::default(),
            settings: terms,
        };
        fleet.scheduled_wake_ms = fleet.next_wake_ms();
        fleet
    }

    // ---- What the program asks ----

    /// What it says of itself.
    pub fn local_record(&self) -> &MemberRecord {
        &self.local
    }

    /// What it holds of the others.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Of the view, this process in it: two that hold the same hold the same members, in the same generations.
    pub fn view_hash(&self) -> u64 {
        self.view.hash()
            ^ if self.is_member() {
                view::record_hash(&self.local)
            } else {
                0
            }
    }

    /// It is a member.
    pub fn is_member(&self) -> bool {
        self.state == State::Member
    }

    /// It takes no part any more.
    pub fn is_stopped(&self) -> bool {
        self.state == State::Stopped
    }

    /// How it stands, in a word.
    pub fn state_name(&self) -> &'static str {
        match self.state {
            State::Joining { .. } => "joining",
            State::Member => "in",
            State::DeclaredDead { .. } => "fallen",
            State::NameConflict { .. } => "doubled",
            State::Leaving { .. } => "leaving",
            State::Stopped => "ended",
        }
    }

    /// The part of the fleet, as it was last whole, that counts as there: this process and those it hears of.
    pub fn live_fraction(&self) -> f64 {
        (self.view.live_count() + 1) as f64 / (self.view.live_or_dead_count() + 1) as f64
    }

    /// It hears more than half of the fleet as it was last whole, and has heard so lately. A minority is never
    /// certain; nor is a process that has just stood still.
    pub fn has_majority(&self, now: f64) -> bool {
        let lately = PAUSE_INTERVALS
            * self.settings.probe_interval_ms
            * self.local_health.timeout_multiplier()
            + self.settings.probe_timeout_ms;
        let alone = self.view.live_or_dead_count() == 0;
        self.is_member()
            && self.live_fraction() > 0.5
            && (alone || now - self.last_ack_ms <= lately)
    }

    /// It has been certain for as long as the longest suspicion lasts.
    fn has_stable_majority(&self, now: f64) -> bool {
        let long = self.settings.max_suspicion_ms(self.view.live_count() + 1);
        self.has_majority(now) && now - self.majority_since_ms >= long
    }

    /// How old its view is: since a probe of it was last answered; infinite where none ever was, or it stood still.
    pub fn view_age_ms(&self, now: f64) -> f64 {
        now - self.last_ack_ms
    }

    /// When it wants to be woken.
    pub fn next_wake_ms(&self) -> f64 {
        let standing = match self.state {
            State::Joining {
                deadline_ms: until,
                next_request_ms: ask_at,
            } => until.min(ask_at),
            State::NameConflict {
                deadline_ms: until,
                next_ping_ms: ask_at,
                ..
            } => until.min(ask_at),
            State::Leaving {
                resend_ms: again,
                deadline_ms: until,
            } => again.min(until),
            State::Member => {
                let probe = self
                    .probe
                    .as_ref()
                    .map_or(f64::INFINITY, |probe| probe.indirect_at_ms);
                let timers = [
                    self.next_probe_ms,
                    self.next_exchange_ms,
                    self.next_dead_ping_ms,
                    self.next_sweep_ms,
                    probe,
                ]
                .into_iter();
                timers.fold(f64::INFINITY, f64::min)
            }
            State::DeclaredDead { .. } | State::Stopped => f64::INFINITY,
        };
        if self.state == State::Stopped {
            return f64::INFINITY;
        }
        let ends = self
            .view
            .suspects()
            .filter_map(|seen| Some(seen.suspicion.as_ref()?.deadline_ms()));
        let nacks = self.relayed_probes.values().map(|relay| {
            if relay.nack_sent {
                relay.expires_ms
            } else {
                relay.nack_at_ms
            }
        });
        ends.chain(nacks).fold(standing, f64::min)
    }

    // ---- What comes in ----

    /// It is time.
    pub fn wake(&mut self, now: f64) -> Vec<Action> {
        self.advance_timers(now);
        self.finish_step(now)
    }

    /// A datagram has come.
    pub fn handle_datagram(&mut self, now: f64, bytes: &[u8]) -> Vec<Action> {
        self.advance_timers(now);
        if self.take_receive_allowance(now) {
            if let Some((message, from)) = self.decode(now, bytes, MAX_DATAGRAM_BYTES) {
                self.apply_message(now, &message, from);
            }
        }
        self.finish_step(now)
    }

    /// Another begins an exchange: what goes back, if anything does.
    pub fn handle_exchange_request(
        &mut self,
        now: f64,
        bytes: &[u8],
    ) -> (Option<Vec<u8>>, Vec<Action>) {
        self.advance_timers(now);
        let mut back = None;
        if self.take_receive_allowance(now) && self.state != State::Stopped {
            if let Some((message, from)) = self.decode(now, bytes, MAX_EXCHANGE_BYTES) {
                if matches!(
                    message.payload,
                    Some(Payload::FullView(FullView { is_reply: false }))
                ) {
                    self.apply_message(now, &message, from);
                    back = Some(self.encode_full_view(true));
                }
            }
        }
        (back, self.finish_step(now))
    }

    /// What came back of an exchange.
    pub fn handle_exchange_response(&mut self, now: f64, bytes: &[u8]) -> Vec<Action> {
        self.advance_timers(now);
        if let Some((message, from)) = self.decode(now, bytes, MAX_EXCHANGE_BYTES) {
            if matches!(
                message.payload,
                Some(Payload::FullView(FullView { is_reply: true }))
            ) {
                self.apply_message(now, &message, from);
                if matches!(self.state, State::Joining { .. }) {
                    self.become_member(now);
                }
            }
        }
        self.finish_step(now)
    }

    /// What this process says of itself from now on.
    pub fn set_metadata(&mut self, notes: Metadata) {
        self.pending_metadata = notes;
    }

    /// It leaves: says so, and takes no part after that.
    pub fn leave(&mut self, now: f64) -> Vec<Action> {
        self.advance_timers(now);
        match self.state {
            State::Member => {
                self.local.status = Status::Left;
                self.local.reported_by.clone_from(&self.local.name);
                let interval = self.settings.probe_interval_ms;
                self.state = State::Leaving {
                    resend_ms: now + interval / 2.0,
                    deadline_ms: now + interval,
                };
                self.announce_leave();
            }
            State::Leaving { .. } => {}
            _ => self.state = State::Stopped,
        }
        self.finish_step(now)
    }

    /// Whatever it held is given up: it goes on in a new generation.
    pub fn rejoin(&mut self, now: f64) -> Vec<Action> {
        self.advance_timers(now);
        if let State::DeclaredDead {
            min_generation: floor,
            exchange_with: tell,
        } = self.state
        {
            self.local.generation = floor.max(self.local.generation) + 1;
            if failpoint::is_active(Failpoint::Generation) {
                self.local.generation = 1;
            }
            self.local.incarnation = 0;
            self.state = State::Member;
            self.schedule_periodic_work(now);
            self.gossip_local_record();
            self.emit(Event::Rejoined(self.local.generation));
            if let Some(at) = tell {
                (self.next_exchange_peer, self.next_exchange_ms) = (Some(at), now);
            }
        }
        self.finish_step(now)
    }

    // ---- Time ----

    fn advance_timers(&mut self, now: f64) {
        let late = now - self.scheduled_wake_ms;
        if self.scheduled_wake_ms.is_finite()
            && late > PAUSE_INTERVALS * self.settings.probe_interval_ms
        {
            self.counters.pauses += 1;
            self.emit(Event::Paused(late));
            // What was not heard meanwhile accuses nobody, and who knows what the others hold of this one.
            self.view.extend_suspicions(late);
            self.probe = None;
            self.relayed_probes.clear();
            self.local_health.record_failure();
            self.last_ack_ms = f64::NEG_INFINITY;
            if self.is_member() {
                self.schedule_periodic_work(now);
            }
        }
        match self.state.clone() {
            State::Joining {
                deadline_ms: until, ..
            } if now >= until => self.become_member(now),
            State::Joining {
                deadline_ms: until,
                next_request_ms: ask_at,
            } if now >= ask_at => {
                if let Some(&seed) = self.random_choice(&self.seeds.clone()) {
                    self.start_exchange(now, seed);
                }
                let ask_at =
                    now + self.settings.probe_interval_ms * (0.5 + 0.5 * self.random_fraction());
                self.state = State::Joining {
                    deadline_ms: until,
                    next_request_ms: ask_at,
                };
            }
            State::NameConflict {
                rival,
                deadline_ms: until,
                ..
            } if now >= until => {
                self.become_declared_dead(rival.generation, None, &rival.reported_by)
            }
            State::NameConflict {
                rival,
                deadline_ms: until,
                next_ping_ms: ask_at,
            } if now >= ask_at => {
                self.send_about(rival.address, Payload::Ping(Ping { seq: 0 }), None);
                let ask_at = now + self.settings.probe_timeout_ms;
                self.state = State::NameConflict {
                    rival,
                    deadline_ms: until,
                    next_ping_ms: ask_at,
                };
            }
            State::Leaving {
                deadline_ms: until, ..
            } if now >= until => self.state = State::Stopped,
            State::Leaving {
                resend_ms: again,
                deadline_ms: until,
            } if now >= again => {
                self.announce_leave();
                self.state = State::Leaving {
                    resend_ms: f64::INFINITY,
                    deadline_ms: until,
                };
            }
            _ => {}
        }
        self.expire_relayed_probes(now);
        self.declare_expired_suspects_dead(now);
        if self.is_member() {
            self.run_periodic_work(now);
        }
    }

    /// All that comes around.
    fn run_periodic_work(&mut self, now: f64) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| now >= probe.indirect_at_ms)
        {
            self.send_indirect_probes();
        }
        if now >= self.next_probe_ms {
            self.finish_probe(now);
            self.start_next_probe(now);
            self.ping_pending_suspects();
        }
        if now >= self.next_exchange_ms {
            self.run_periodic_exchange(now);
        }
        if now >= self.next_dead_ping_ms {
            self.ping_dead_member();
            self.next_dead_ping_ms = now
                + self.settings.dead_ping_intervals
                    * self.settings.probe_interval_ms
                    * (0.75 + 0.5 * self.random_fraction());
        }
        if now >= self.next_sweep_ms {
            self.forget_expired(now);
            self.next_sweep_ms = now + self.settings.dead_retention_ms / 16.0;
        }
        if self.pending_metadata != self.local.metadata && now >= self.next_metadata_ms {
            self.next_metadata_ms = now + METADATA_INTERVALS * self.settings.probe_interval_ms;
            self.local.metadata = self.pending_metadata;
            self.local.incarnation += 1;
            self.gossip_local_record();
        }
    }

    fn schedule_periodic_work(&mut self, now: f64) {
        let interval = self.settings.probe_interval_ms;
        // Processes that start in the same moment do not ask in the same.
        self.next_probe_ms = now + interval * self.random_fraction();
        self.next_exchange_ms =
            now + self.settings.exchange_intervals * interval * self.random_fraction();
        self.next_dead_ping_ms =
            now + self.settings.dead_ping_intervals * interval * self.random_fraction();
        self.next_sweep_ms = now + self.settings.dead_retention_ms / 16.0;
        (self.probe, self.next_exchange_peer) = (None, None);
    }

    fn become_member(&mut self, now: f64) {
        self.local.generation = if failpoint::is_active(Failpoint::Generation) {
            1
        } else {
            self.highest_known_generation + 1
        };
        self.state = State::Member;
        self.schedule_periodic_work(now);
        self.gossip_local_record();
        self.emit(Event::PriorGeneration(self.highest_peer_generation));
        self.emit(Event::Joined(self.local.generation));
    }

    /// Tells all who have gone that they leave no gap in what is remembered: those gone for too long.
    fn forget_expired(&mut self, now: f64) {
        let old = |since: f64| now - since > self.settings.dead_retention_ms;
        let names: Vec<String> = self
            .view
            .iter()
            .filter(|seen| !seen.record.is_live() && old(seen.status_since_ms))
            .map(|seen| seen.record.name.clone())
            .collect();
        names.iter().for_each(|name| self.view.remove(name));
    }

    // ---- Probes ----

    /// The probe of this interval is over: if nobody has heard from its target, it is suspected.
    fn finish_probe(&mut self, now: f64) {
        let Some(probe) = self.probe.take().filter(|probe| !probe.acked) else {
            return;
        };
        self.local_health.record_failure();
        // A helper that says nothing, not even that it heard nothing, may mean that this process hears badly.
        (probe.nack_count..probe.relay_count).for_each(|_| self.local_health.record_failure());
        let Some(seen) = self.view.get(&probe.target) else {
            return;
        };
        if seen.record.generation == probe.generation && seen.record.is_live() {
            let mut word = seen.record.clone();
            (word.status, word.reported_by) = (Status::Suspect, self.local.name.clone());
            self.suspect(now, word);
        }
    }

    fn start_next_probe(&mut self, now: f64) {
        let factor = self.local_health.timeout_multiplier();
        self.next_probe_ms = now + self.settings.probe_interval_ms * factor;
        let target = loop {
            if let Some(name) = self.probe_round.pop() {
                if self
                    .view
                    .get(&name)
                    .is_some_and(|seen| seen.record.is_live())
                {
                    break name;
                }
            } else {
                let there = self.view.iter().filter(|seen| seen.record.is_live());
                self.probe_round = there.map(|seen| seen.record.name.clone()).collect();
                if self.probe_round.is_empty() {
                    return;
                }
                for n in (1..self.probe_round.len()).rev() {
                    let other = (self.random.next_u64() % (n as u64 + 1)) as usize;
                    self.probe_round.swap(n, other);
                }
            }
        };
        let Some(record) = self.view.get(&target).map(|seen| seen.record.clone()) else {
            return;
        };
        self.last_seq = self.last_seq.wrapping_add(1);
        self.probe = Some(Probe {
            seq: self.last_seq,
            target,
            generation: record.generation,
            indirect_at_ms: now + self.settings.probe_timeout_ms * factor,
            relay_count: 0,
            nack_count: 0,
            acked: false,
        });
        self.send_about(
            record.address,
            Payload::Ping(Ping { seq: self.last_seq }),
            Some(&record.name),
        );
    }

    /// No answer in time: others are asked.
    fn send_indirect_probes(&mut self) {
        let Some(probe) = &mut self.probe else { return };
        probe.indirect_at_ms = f64::INFINITY;
        if probe.acked {
            return;
        }
        let (seq, name) = (probe.seq, probe.target.clone());
        let Some(target) = self.view.get(&name).map(|seen| seen.record.clone()) else {
            return;
        };
        let mut others: Vec<SocketAddr> = self
            .view
            .iter()
            .filter(|seen| seen.record.status == Status::Alive && seen.record.name != name)
            .map(|seen| seen.record.address)
            .collect();
        let helpers = self.settings.indirect_probes.min(others.len());
        for _ in 0..helpers {
            let at = others.swap_remove((self.random.next_u64() % others.len() as u64) as usize);
            self.send_about(at, message::ping_request(seq, &target), None);
        }
        if let Some(probe) = &mut self.probe {
            probe.relay_count = helpers;
        }
    }

    fn expire_relayed_probes(&mut self, now: f64) {
        let late: Vec<(SocketAddr, u32)> = self
            .relayed_probes
            .values_mut()
            .filter(|relay| !relay.nack_sent && now >= relay.nack_at_ms)
            .map(|relay| {
                relay.nack_sent = true;
                (relay.requester, relay.requester_seq)
            })
            .collect();
        late.into_iter()
            .for_each(|(to, seq)| self.send_about(to, Payload::Nack(Nack { seq }), None));
        self.relayed_probes
            .retain(|_, relay| now < relay.expires_ms);
    }

    /// Suspicions that nobody refuted in time.
    fn declare_expired_suspects_dead(&mut self, now: f64) {
        if failpoint::is_active(Failpoint::Suspicion) || self.state == State::Stopped {
            return;
        }
        let over = self.view.suspects().filter(|seen| {
            seen.suspicion
                .as_ref()
                .is_some_and(|s| s.deadline_ms() <= now)
        });
        let over: Vec<MemberRecord> = over.map(|seen| seen.record.clone()).collect();
        for mut word in over {
            self.counters.deaths_declared += 1;
            (word.status, word.reported_by) = (Status::Dead, self.local.name.clone());
            // A death takes the next number: a refutation of the suspicion alone, that comes late, does not undo it.
            // Whoever was held for dead has to hear so before it can speak against it.
            word.incarnation += 1;
            self.accept_record(now, word, MemberChange::Died);
        }
    }

    /// Suspects hear that they are, some in each interval.
    fn ping_pending_suspects(&mut self) {
        let mut asked = 0;
        while asked < SUSPECT_PINGS_PER_INTERVAL {
            let Some(name) = self.suspects_to_ping.pop_first() else {
                return;
            };
            let suspect = self
                .view
                .get(&name)
                .filter(|seen| seen.record.status == Status::Suspect);
            if let Some(word) = suspect.map(|seen| seen.record.clone()) {
                self.send_records(word.address, Payload::Ping(Ping { seq: 0 }), &[word]);
                asked += 1;
            }
        }
    }

    /// One of the dead, or a seed that is no member, hears what is held of it, and can say that it lives.
    fn ping_dead_member(&mut self) {
        if failpoint::is_active(Failpoint::Dead) {
            return;
        }
        let dead = self
            .view
            .iter()
            .filter(|seen| seen.record.status == Status::Dead);
        let mut places: Vec<SocketAddr> = dead.map(|seen| seen.record.address).collect();
        let there: Vec<SocketAddr> = self
            .view
            .iter()
            .filter(|seen| seen.record.is_live())
            .map(|seen| seen.record.address)
            .collect();
        places.extend(self.seeds.iter().filter(|seed| !there.contains(seed)));
        places.sort_unstable();
        places.dedup();
        if let Some(&at) = self.random_choice(&places) {
            let name = self
                .view
                .iter()
                .find(|seen| seen.record.address == at)
                .map(|seen| seen.record.name.clone());
            self.send_about(at, Payload::Ping(Ping { seq: 0 }), name.as_deref());
        }
    }

    // ---- Exchanges ----

    fn run_periodic_exchange(&mut self, now: f64) {
        let there = self.view.iter().filter(|seen| seen.record.is_live());
        let places: Vec<SocketAddr> = there.map(|seen| seen.record.address).collect();
        let with = self
            .next_exchange_peer
            .take()
            .or_else(|| self.random_choice(&places).copied());
        if let Some(at) = with {
            self.start_exchange(now, at);
        }
        self.next_exchange_ms = now
            + self.settings.exchange_intervals
                * self.settings.probe_interval_ms
                * (0.75 + 0.5 * self.random_fraction());
    }

    fn start_exchange(&mut self, now: f64, at: SocketAddr) {
        self.last_exchange_ms = now;
        self.counters.exchanges_started += 1;
        let bytes = self.encode_full_view(false);
        self.actions.push(Action::Exchange(at, bytes));
    }

    /// Its view differs from another's, and there are no news that would explain it: they exchange, soon, and no more
    /// often than once an interval.
    fn schedule_exchange_on_difference(&mut self, now: f64, with: SocketAddr) {
        let interval = self.settings.probe_interval_ms;
        let soon = now.max(self.last_exchange_ms + interval) + interval * self.random_fraction();
        if self.next_exchange_peer.is_none() && soon < self.next_exchange_ms {
            (self.next_exchange_ms, self.next_exchange_peer) = (soon, Some(with));
        }
    }

    fn encode_full_view(&mut self, is_reply: bool) -> Vec<u8> {
        let records = self
            .view
            .iter()
            .map(|seen| message::encode_record(&seen.record))
            .collect();
        let message = self.message(Payload::FullView(FullView { is_reply }), records);
        let bytes = message::encode(&self.authenticator, &message);
        self.counters.messages_sent += 1;
        self.counters.bytes_sent += bytes.len() as u64;
        bytes
    }

    // ---- Messages out ----

    fn message(&self, payload: Payload, records: Vec<wire::Record>) -> Message {
        Message {
            sender: Some(message::encode_record(&self.local)),
            view_hash: self.view_hash(),
            joining: matches!(self.state, State::Joining { .. }),
            records,
            payload: Some(payload),
        }
    }

    /// Sends a datagram with what news there are; first of all what is held of the one that it goes to, where that is
    /// not simply that it lives.
    fn send_about(&mut self, to: SocketAddr, payload: Payload, about: Option<&str>) {
        let about = about
            .and_then(|name| self.view.get(name))
            .map(|seen| &seen.record);
        let first = about
            .filter(|record| record.status != Status::Alive)
            .cloned()
            .into_iter()
            .collect();
        self.send_with_gossip(to, payload, first);
    }

    /// Sends a datagram with these words, and what news there is room for.
    fn send_with_gossip(&mut self, to: SocketAddr, payload: Payload, mut words: Vec<MemberRecord>) {
        let room = message::gossip_capacity_bytes()
            - words.iter().map(message::record_bytes).sum::<usize>();
        let speaks = matches!(self.state, State::Member | State::Leaving { .. });
        let rides = self.settings.retransmissions(self.view.live_count() + 1);
        if speaks {
            words.extend(self.gossip.take_batch(room, rides, message::record_bytes));
        }
        self.send_records(to, payload, &words);
    }

    /// Sends a datagram with these words alone: news that may meet nobody would have ridden in vain.
    fn send_records(&mut self, to: SocketAddr, payload: Payload, words: &[MemberRecord]) {
        let records = words.iter().map(message::encode_record).collect();
        let bytes = message::encode(&self.authenticator, &self.message(payload, records));
        self.counters.messages_sent += 1;
        self.counters.bytes_sent += bytes.len() as u64;
        self.actions.push(Action::Send(to, bytes));
    }

    /// Somebody hears this word on its own name, however well the one that it speaks of is held to be.
    fn notify_of_record(&mut self, to: SocketAddr, word: MemberRecord) {
        let ack = Ack {
            seq: 0,
            target: self.local.name.clone(),
            generation: self.local.generation,
        };
        self.send_with_gossip(to, Payload::Ack(ack), vec![word]);
    }

    fn announce_leave(&mut self) {
        let there = self.view.iter().filter(|seen| seen.record.is_live());
        let mut places: Vec<SocketAddr> = there.map(|seen| seen.record.address).collect();
        self.gossip.add(self.local.clone());
        for _ in 0..LEAVE_FANOUT.min(places.len()) {
            let at = places.swap_remove((self.random.next_u64() % places.len() as u64) as usize);
            self.send_about(at, Payload::Ping(Ping { seq: 0 }), None);
        }
    }

    fn gossip_local_record(&mut self) {
        self.local.reported_by.clone_from(&self.local.name);
        self.gossip.add(self.local.clone());
    }

    // ---- Messages in ----

    fn take_receive_allowance(&mut self, now: f64) -> bool {
        let a_second = MOST_A_SECOND.0 + MOST_A_SECOND.1 * self.view.len() as f64;
        let (left, at) = self.receive_allowance;
        let left = (left + (now - at).max(0.0) / 1000.0 * a_second).min(a_second);
        let may = left >= 1.0;
        self.receive_allowance = (if may { left - 1.0 } else { left }, now);
        if !may {
            self.counters.rate_limited += 1;
        }
        may
    }

    fn decode(&mut self, now: f64, bytes: &[u8], most: usize) -> Option<(Message, MemberRecord)> {
        match message::decode(&self.authenticator, bytes, most) {
            Ok(read) => {
                self.counters.messages_received += 1;
                return Some(read);
            }
            Err(DecodeError::Unauthenticated) => self.counters.unauthenticated += 1,
            Err(DecodeError::TooLong | DecodeError::Malformed) => self.counters.malformed += 1,
            Err(DecodeError::UnsupportedVersion(_, at)) => {
                self.counters.version_mismatches += 1;
                // Once a second: whoever asks again and again is told no more often.
                if let Some(at) = at.filter(|_| now >= self.last_version_rejection_ms + 1000.0) {
                    self.last_version_rejection_ms = now;
                    self.send_about(at, message::version_rejection(), None);
                }
            }
        }
        None
    }

    fn apply_message(&mut self, now: f64, message: &Message, from: MemberRecord) {
        if self.state == State::Stopped {
            return;
        }
        if from.name == self.local.name {
            return self.handle_same_name_sender(message, &from);
        }
        let place = from.address;
        if !message.joining && !self.apply_sender_record(now, &from) {
            // What an older process under this name says of anybody is as old; it hears who is the newer.
            self.counters.stale_generations += 1;
            if matches!(message.payload, Some(Payload::Ping(_))) {
                if let Some(held) = self.view.get(&from.name).map(|seen| seen.record.clone()) {
                    self.notify_of_record(place, held);
                }
            }
            return;
        }
        let whole = matches!(message.payload, Some(Payload::FullView(_)));
        for word in message
            .records
            .iter()
            .take(self.settings.max_members)
            .filter_map(message::decode_record)
        {
            self.apply_record(now, word, Some(place));
        }
        if self.is_member()
            && !whole
            && !message.joining
            && message.view_hash != self.view_hash()
            && (self.gossip.is_empty() || self.gossip.len() > MAX_GOSSIP_BACKLOG)
        {
            self.schedule_exchange_on_difference(now, place);
        }
        let silent = matches!(
            self.state,
            State::DeclaredDead { .. } | State::NameConflict { .. }
        );
        match message.payload.as_ref() {
            Some(Payload::Ping(ping)) if !silent => {
                let generation = self.local.generation;
                let ack = Ack {
                    seq: ping.seq,
                    target: self.local.name.clone(),
                    generation,
                };
                self.send_about(place, Payload::Ack(ack), Some(&from.name));
            }
            Some(Payload::Ack(ack)) => self.handle_ack(now, ack),
            Some(Payload::Nack(nack)) => {
                let probe = self.probe.as_mut().filter(|probe| probe.seq == nack.seq);
                probe.into_iter().for_each(|probe| probe.nack_count += 1);
            }
            Some(Payload::PingRequest(request))
                if !silent && self.relayed_probes.len() < MAX_RELAYED_PROBES =>
            {
                let Some(at) = message::ping_request_address(request) else {
                    return;
                };
                self.last_seq = self.last_seq.wrapping_add(1);
                let time = self.settings.probe_timeout_ms;
                let (nack_at, until) = (now + NACK_TIMEOUT_FRACTION * time, now + 4.0 * time);
                self.relayed_probes.insert(
                    self.last_seq,
                    RelayedProbe {
                        requester: place,
                        requester_seq: request.seq,
                        nack_at_ms: nack_at,
                        expires_ms: until,
                        nack_sent: false,
                    },
                );
                let seq = self.last_seq;
                self.send_about(at, Payload::Ping(Ping { seq }), Some(&request.name));
            }
            Some(Payload::VersionRejection(rejection)) => self.emit(Event::VersionRejected {
                min_version: rejection.min_version,
                max_version: rejection.max_version,
            }),
            _ => {}
        }
    }

    fn handle_ack(&mut self, now: f64, ack: &Ack) {
        if let Some(relay) = self.relayed_probes.remove(&ack.seq) {
            let passed = Ack {
                seq: relay.requester_seq,
                target: ack.target.clone(),
                generation: ack.generation,
            };
            return self.send_about(relay.requester, Payload::Ack(passed), None);
        }
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == ack.seq) else {
            return;
        };
        if probe.target == ack.target && !probe.acked {
            probe.acked = true;
            self.last_ack_ms = now;
            self.local_health.record_success();
        }
    }

    /// A message from another process under this name.
    fn handle_same_name_sender(&mut self, message: &Message, from: &MemberRecord) {
        if from.nonce == self.local.nonce || message.joining {
            return; // its own words, or one that will learn of this one as it joins
        }
        self.highest_known_generation = self.highest_known_generation.max(from.generation);
        self.highest_peer_generation = self.highest_peer_generation.max(from.generation);
        if matches!(self.state, State::Joining { .. } | State::Leaving { .. }) {
            return;
        }
        if from.run_id() > self.local.run_id() {
            self.state = State::Stopped;
            self.emit(Event::Superseded(from.address));
        } else if matches!(message.payload, Some(Payload::Ping(_))) && self.is_member() {
            let ack = Ack {
                seq: 0,
                target: self.local.name.clone(),
                generation: self.local.generation,
            };
            self.send_about(from.address, Payload::Ack(ack), None);
        }
    }

    /// The sender's word on itself; `false` if a newer process under its name is known.
    fn apply_sender_record(&mut self, now: f64, from: &MemberRecord) -> bool {
        if let Some(seen) = self.view.get(&from.name) {
            if from.run_id() < seen.record.run_id() && !failpoint::is_active(Failpoint::Older) {
                return false;
            }
        }
        self.apply_record(now, from.clone(), Some(from.address));
        self.view.record_contact(&from.name, now);
        true
    }

    /// Somebody's word on a process, that came from there.
    fn apply_record(&mut self, now: f64, word: MemberRecord, from: Option<SocketAddr>) {
        if word.name == self.local.name {
            return self.apply_record_about_self(now, &word, from);
        }
        let Some(seen) = self.view.get(&word.name) else {
            if self.view.len() >= self.settings.max_members {
                self.counters.over_member_limit += 1;
                return;
            }
            // One that is suspected counts as there, until somebody's probe of it fails here as well.
            return match word.status {
                Status::Alive => self.accept_record(now, word, MemberChange::Joined),
                Status::Suspect => {
                    let mut there = word.clone();
                    there.status = Status::Alive;
                    self.accept_record(now, there, MemberChange::Joined);
                    self.suspect(now, word);
                }
                // Who was never known and is gone makes no news; what is remembered of it does.
                Status::Dead | Status::Left => self.view.insert(now, word, None),
            };
        };
        let held = seen.record.clone();
        match word.run_id().cmp(&held.run_id()) {
            Ordering::Less if failpoint::is_active(Failpoint::Older) => {
                self.accept_record(now, word, MemberChange::Restarted)
            }
            Ordering::Less => {}
            Ordering::Greater if word.is_live() => {
                // It heard nobody when it began, and took a number that was another's. Whoever puts its word in the
                // place of that one's, by whomever it came, tells it: nobody else may be left who remembers.
                if word.generation == held.generation && self.is_member() {
                    self.notify_of_record(word.address, held);
                }
                let mut there = word.clone();
                there.status = Status::Alive;
                self.accept_record(now, there, MemberChange::Restarted);
                if word.status == Status::Suspect {
                    self.suspect(now, word);
                }
            }
            Ordering::Greater => {
                let what = if word.status == Status::Left {
                    MemberChange::Left
                } else {
                    MemberChange::Died
                };
                self.accept_record(now, word, what);
            }
            Ordering::Equal => self.apply_record_of_same_run(now, word, &held),
        }
    }

    /// A word on the process that is held.
    fn apply_record_of_same_run(&mut self, now: f64, word: MemberRecord, held: &MemberRecord) {
        if word.cmp_precedence(held) == Ordering::Less || held.status == Status::Left {
            return;
        }
        match word.status {
            Status::Left => self.accept_record(now, word, MemberChange::Left),
            Status::Alive if word.incarnation > held.incarnation => {
                let what = match held.status {
                    Status::Suspect => {
                        self.counters.suspicions_refuted += 1;
                        Some(MemberChange::Refuted)
                    }
                    Status::Dead => Some(MemberChange::Joined),
                    _ => None, // its notes changed
                };
                match what {
                    Some(what) => self.accept_record(now, word, what),
                    None => {
                        self.gossip.add(word.clone());
                        self.view.insert(now, word, None);
                    }
                }
            }
            Status::Suspect
                if held.status != Status::Dead || word.incarnation > held.incarnation =>
            {
                self.suspect(now, word);
            }
            // A death that others tell is believed of one that is dead here, or not known to live; of one that lives
            // here it is a reason to ask it, soon.
            Status::Dead if held.is_live() => {
                let mut suspect = word.clone();
                // The number before the death's: here it would end in the same death, and no later one.
                suspect.incarnation = held.incarnation.max(word.incarnation.saturating_sub(1));
                suspect.status = Status::Suspect;
                if held.status == Status::Alive {
                    self.suspect(now, suspect);
                }
                if self
                    .view
                    .suspicion_mut(&word.name)
                    .is_some_and(|suspicion| suspicion.report_death(now))
                {
                    self.probe_round.push(word.name.clone());
                    self.suspects_to_ping.insert(word.name);
                }
            }
            Status::Dead if word.incarnation > held.incarnation => {
                self.view.insert(now, word, None)
            }
            _ => {}
        }
    }

    /// Somebody got no answer from this process.
    fn suspect(&mut self, now: f64, word: MemberRecord) {
        let size = self.view.live_count() + 1;
        let (least, most) = (
            self.settings.min_suspicion_ms(size),
            self.settings.max_suspicion_ms(size),
        );
        let Some(seen) = self.view.get(&word.name) else {
            return;
        };
        let (status, incarnation) = (seen.record.status, seen.record.incarnation);
        if status == Status::Suspect && incarnation == word.incarnation {
            let by = word.reported_by.clone();
            if self
                .view
                .suspicion_mut(&word.name)
                .is_some_and(|suspicion| suspicion.confirm(&by))
            {
                self.gossip.add(word);
            }
            return;
        }
        if word.reported_by == self.local.name {
            self.counters.suspicions_raised += 1;
        } else if self.random_fraction() * size as f64 <= MEAN_SUSPECT_PINGERS {
            self.suspects_to_ping.insert(word.name.clone());
        }
        // In a fleet of two or three there is nobody to confirm it.
        let most = if size <= 3 { least } else { most };
        let suspicion = Suspicion::new(now, &word.reported_by, least, most);
        self.emit_change(&word, MemberChange::Suspected);
        self.gossip.add(word.clone());
        self.view.insert(now, word, Some(suspicion));
    }

    /// Holds this word from now on, and tells of it.
    fn accept_record(&mut self, now: f64, word: MemberRecord, what: MemberChange) {
        self.emit_change(&word, what);
        self.gossip.add(word.clone());
        self.view.insert(now, word, None);
    }

    /// Somebody's word on a process under this name.
    fn apply_record_about_self(&mut self, now: f64, word: &MemberRecord, from: Option<SocketAddr>) {
        self.highest_known_generation = self.highest_known_generation.max(word.generation);
        self.highest_peer_generation = self.highest_peer_generation.max(word.generation);
        match &self.state {
            State::Joining { .. } | State::Leaving { .. } | State::Stopped => return,
            State::DeclaredDead {
                min_generation: floor,
                exchange_with: tell,
            } => {
                let (floor, tell) = ((*floor).max(word.generation), *tell);
                self.state = State::DeclaredDead {
                    min_generation: floor,
                    exchange_with: tell,
                };
                return;
            }
            State::NameConflict { rival, .. } => {
                if word.run_id() == rival.run_id() && !word.is_live() {
                    self.become_declared_dead(word.generation, from, &word.reported_by);
                }
                return;
            }
            State::Member => {}
        }
        match word.run_id().cmp(&self.local.run_id()) {
            // One that took the same number as this one: whoever remembers it must not take this one for it.
            Ordering::Less if word.generation == self.local.generation => {
                self.become_declared_dead(word.generation, from, &word.reported_by);
            }
            // An earlier process's. Where it counts as there, the others have not heard of this one.
            Ordering::Less => {
                if word.is_live() {
                    self.gossip_local_record();
                }
            }
            Ordering::Equal => self.handle_accusation(now, word, from),
            // A later process's. If it is gone, or was at this address, where only this one can be, its number is
            // all that is left of it; else it may live.
            Ordering::Greater if !word.is_live() || word.address == self.local.address => {
                self.become_declared_dead(word.generation, from, &word.reported_by)
            }
            Ordering::Greater => {
                let until = now + self.settings.max_suspicion_ms(self.view.live_count() + 1);
                self.state = State::NameConflict {
                    rival: word.clone(),
                    deadline_ms: until,
                    next_ping_ms: now,
                };
                self.emit(Event::NameConflict(word.address));
            }
        }
    }

    /// Somebody holds that this very process is suspect, dead or gone.
    fn handle_accusation(&mut self, now: f64, word: &MemberRecord, from: Option<SocketAddr>) {
        let old = word.incarnation < self.local.incarnation;
        match word.status {
            Status::Left => self.become_declared_dead(word.generation, from, &word.reported_by),
            _ if old => {
                // It was refuted already; whoever says so has not heard.
                if word.status != Status::Alive {
                    self.gossip_local_record();
                }
            }
            Status::Suspect => self.refute(word.incarnation),
            // A part of the fleet that this one is not in may believe that. Where this one has heard most of the fleet
            // for as long as it takes to be held for dead, nobody has taken what it holds; else somebody may have, and
            // has only now been found again.
            Status::Dead if self.has_stable_majority(now) => self.refute(word.incarnation),
            Status::Dead => self.become_declared_dead(word.generation, from, &word.reported_by),
            Status::Alive if word.incarnation > self.local.incarnation => {
                self.refute(word.incarnation)
            }
            Status::Alive => {}
        }
    }

    fn refute(&mut self, incarnation: u32) {
        self.counters.refutations += 1;
        self.local_health.record_failure();
        self.local.incarnation =
            incarnation + u32::from(!failpoint::is_active(Failpoint::Refutation));
        self.gossip_local_record();
    }

    fn become_declared_dead(&mut self, floor: u64, tell: Option<SocketAddr>, by: &str) {
        self.counters.declared_dead += 1;
        self.state = State::DeclaredDead {
            min_generation: floor,
            exchange_with: tell,
        };
        self.emit(Event::DeclaredDead {
            reported_by: by.to_owned(),
        });
    }

    // ---- Small things ----

    fn random_fraction(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn random_choice<'a, T>(&mut self, all: &'a [T]) -> Option<&'a T> {
        if all.is_empty() {
            return None;
        }
        all.get((self.random.next_u64() % all.len() as u64) as usize)
    }

    fn emit(&mut self, event: Event) {
        self.actions.push(Action::Event(event));
    }

    fn emit_change(&mut self, word: &MemberRecord, what: MemberChange) {
        let MemberRecord {
            name,
            generation,
            reported_by: by,
            ..
        } = word.clone();
        self.emit(Event::MemberChanged {
            name,
            generation,
            change: what,
            reported_by: by,
        });
    }

    fn finish_step(&mut self, now: f64) -> Vec<Action> {
        let certain = self.has_majority(now);
        if certain != self.has_majority {
            self.has_majority = certain;
            self.majority_since_ms = if certain { now } else { f64::INFINITY };
            self.emit(Event::MajorityChanged(certain));
        }
        self.scheduled_wake_ms = self.next_wake_ms();
        std::mem::take(&mut self.actions)
    }
}
