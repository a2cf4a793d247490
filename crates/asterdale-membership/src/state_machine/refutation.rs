//! Records about this process's own name: refuting suspicions and deaths (SWIM), and accepting those that cannot be
//! refuted.
//!
//! A suspect in SWIM refutes by raising its incarnation. Beyond the paper, a process that was declared dead refutes
//! only if it has had a majority for the maximum suspicion timeout, so that no other process can have taken over what
//! it owns. Otherwise it gives up what it owns and rejoins with a new generation. Records of other runs under its name
//! are handled here too.

use std::cmp::Ordering;
use std::net::SocketAddr;

use super::state::State;
use super::Membership;
use crate::event::Event;
use crate::failpoint::{self, Failpoint};
use crate::message::{Message, Payload};
use crate::record::{MemberRecord, Status};

impl Membership {
    /// Handles a message whose sender has this process's name.
    pub(super) fn handle_same_name_message(&mut self, message: &Message, sender: &MemberRecord) {
        // This process's own message was returned to it, or the sender is still joining and will learn of this process.
        if sender.nonce == self.local.nonce || message.joining {
            return;
        }
        self.note_generation(sender.generation);
        if matches!(self.state, State::Joining { .. } | State::Leaving { .. }) {
            return;
        }
        if sender.run_id() > self.local.run_id() {
            self.state = State::Stopped;
            self.emit(Event::Superseded(sender.address));
        } else if self.is_member() && matches!(message.payload, Some(Payload::Ping(_))) {
            self.send_liveness_ack(sender.address);
        }
    }

    /// Records a generation of this process's name, so that the next one taken is higher.
    fn note_generation(&mut self, generation: u64) {
        self.highest_known_generation = self.highest_known_generation.max(generation);
        self.highest_reported_generation = self.highest_reported_generation.max(generation);
    }

    /// Applies a received record with this process's name, which came from the address `from`.
    pub(super) fn apply_record_about_self(
        &mut self,
        now_ms: f64,
        record: &MemberRecord,
        from: Option<SocketAddr>,
    ) {
        self.note_generation(record.generation);
        match &mut self.state {
            State::Joining { .. } | State::Leaving { .. } | State::Stopped => {}
            State::DeclaredDead { min_generation, .. } => {
                *min_generation = (*min_generation).max(record.generation);
            }
            State::NameConflict { newer_run, .. } => {
                if record.run_id() == newer_run.run_id() && !record.is_live() {
                    self.become_declared_dead(record.generation, from, &record.reported_by);
                }
            }
            State::Member => match record.run_id().cmp(&self.local.run_id()) {
                Ordering::Less => self.apply_record_of_older_run(record, from),
                Ordering::Equal => self.apply_own_record(now_ms, record, from),
                Ordering::Greater => self.handle_newer_run(now_ms, record, from),
            },
        }
    }

    fn apply_record_of_older_run(&mut self, record: &MemberRecord, from: Option<SocketAddr>) {
        if record.generation == self.local.generation {
            // Both runs took the same generation. Members that know the other run must not mistake this run for it.
            self.become_declared_dead(record.generation, from, &record.reported_by);
        } else if record.is_live() {
            // Another member does not know of this run yet.
            self.gossip_local_record();
        }
    }

    /// Handles a record of a newer run under this name. If that run is dead, has left, or had this process's address,
    /// only its generation matters. Otherwise it may be running.
    fn handle_newer_run(&mut self, now_ms: f64, record: &MemberRecord, from: Option<SocketAddr>) {
        if !record.is_live() || record.address == self.local.address {
            return self.become_declared_dead(record.generation, from, &record.reported_by);
        }
        let max_suspicion_ms = self.settings.max_suspicion_ms(self.fleet_size());
        self.state = State::NameConflict {
            newer_run: record.clone(),
            deadline_ms: now_ms + max_suspicion_ms,
            next_ping_ms: now_ms,
        };
        self.emit(Event::NameConflict(record.address));
    }

    /// Handles another process's record of this run.
    fn apply_own_record(&mut self, now_ms: f64, record: &MemberRecord, from: Option<SocketAddr>) {
        let is_refuted = record.incarnation < self.local.incarnation;
        match record.status {
            Status::Left => {
                self.become_declared_dead(record.generation, from, &record.reported_by);
            }
            Status::Alive if record.incarnation > self.local.incarnation => {
                self.refute(record.incarnation);
            }
            Status::Alive => {}
            // Another member has not received the refutation.
            Status::Suspect | Status::Dead if is_refuted => self.gossip_local_record(),
            Status::Suspect => self.refute(record.incarnation),
            // Members on the other side of a partition may have accepted the death. With a stable majority on this
            // side, no other process can have taken over what this process owns.
            Status::Dead if self.has_stable_majority(now_ms) => self.refute(record.incarnation),
            Status::Dead => {
                self.become_declared_dead(record.generation, from, &record.reported_by);
            }
        }
    }

    /// Refutes a suspicion or death with a higher incarnation. As in Lifeguard, this worsens the local health score.
    fn refute(&mut self, reported_incarnation: u32) {
        self.counters.refutations += 1;
        self.local_health.record_failure();
        let is_raised = !failpoint::is_active(Failpoint::RefutationWithSameIncarnation);
        self.local.incarnation = reported_incarnation + u32::from(is_raised);
        self.gossip_local_record();
    }

    /// Accepts the death of this run, and waits until the program has given up what the process owns and rejoins.
    pub(super) fn become_declared_dead(
        &mut self,
        min_generation: u64,
        reporter: Option<SocketAddr>,
        reported_by: &str,
    ) {
        self.counters.declared_dead += 1;
        self.state = State::DeclaredDead {
            min_generation,
            reporter,
        };
        self.emit(Event::DeclaredDead {
            reported_by: reported_by.to_owned(),
        });
    }
}
