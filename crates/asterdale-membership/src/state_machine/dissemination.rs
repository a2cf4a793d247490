//! Which received records about other processes are accepted, and gossiped in turn.
//!
//! Within a run, precedence follows SWIM (alive, suspect and dead, overridden by incarnation). Differences from SWIM:
//!
//! - The run ID takes precedence over everything else: a newer run under a name replaces an older one. SWIM does
//!   not distinguish runs.
//! - If another process reports the death of a member that is alive in the local view, the member is only suspected,
//!   with a short deadline, and pinged. SWIM accepts the death. Thus a single process with wrong timers cannot remove
//!   members.
//! - The record of a death has the next incarnation (see `suspicions`), so a late refutation of the suspicion does not
//!   revive a member that has not been notified of its death.

use std::cmp::Ordering;
use std::net::SocketAddr;

use super::Membership;
use crate::event::MemberChange;
use crate::failpoint::{self, Failpoint};
use crate::record::{MemberRecord, Status};

impl Membership {
    /// Applies the sender's record of itself. Returns `false` if a newer process under its name is known.
    pub(super) fn apply_sender_record(&mut self, now_ms: f64, sender: &MemberRecord) -> bool {
        if let Some(entry) = self.view.get(&sender.name) {
            let is_older = sender.run_id() < entry.record.run_id();
            if is_older && !failpoint::is_active(Failpoint::AcceptedOlderRuns) {
                return false;
            }
        }
        self.apply_record(now_ms, sender.clone(), Some(sender.address));
        self.view.record_contact(&sender.name, now_ms);
        true
    }

    /// Applies a received record, which came from the address `from`.
    pub(super) fn apply_record(
        &mut self,
        now_ms: f64,
        record: MemberRecord,
        from: Option<SocketAddr>,
    ) {
        if record.name == self.local.name {
            return self.apply_record_about_self(now_ms, &record, from);
        }
        let Some(entry) = self.view.get(&record.name) else {
            return self.apply_record_of_unknown_member(now_ms, record);
        };
        let known = entry.record.clone();
        match record.run_id().cmp(&known.run_id()) {
            Ordering::Less if failpoint::is_active(Failpoint::AcceptedOlderRuns) => {
                self.accept_record(now_ms, record, MemberChange::Restarted);
            }
            Ordering::Less => {}
            Ordering::Equal => self.apply_record_of_same_run(now_ms, record, &known),
            Ordering::Greater => self.apply_record_of_newer_run(now_ms, record, known),
        }
    }

    fn apply_record_of_unknown_member(&mut self, now_ms: f64, record: MemberRecord) {
        if self.view.len() >= self.settings.max_members {
            self.counters.over_member_limit += 1;
            return;
        }
        match record.status {
            Status::Alive | Status::Suspect => {
                self.accept_live_record(now_ms, record, MemberChange::Joined);
            }
            // No event and no gossip: the record is only retained for its generation.
            Status::Dead | Status::Left => self.view.insert(now_ms, record, None),
        }
    }

    fn apply_record_of_newer_run(
        &mut self,
        now_ms: f64,
        record: MemberRecord,
        known: MemberRecord,
    ) {
        if record.is_live() {
            // The process reached no other member when it started, and took the generation of an earlier run. The
            // member that replaces the earlier record sends it to the process, as no other member may still have that
            // record.
            if record.generation == known.generation && self.is_member() {
                self.send_record_to_subject(record.address, known);
            }
            self.accept_live_record(now_ms, record, MemberChange::Restarted);
        } else if record.status == Status::Left {
            self.accept_record(now_ms, record, MemberChange::Left);
        } else {
            self.accept_record(now_ms, record, MemberChange::Died);
        }
    }

    /// Accepts a new run as alive, and then suspects it if the record does.
    fn accept_live_record(&mut self, now_ms: f64, record: MemberRecord, change: MemberChange) {
        let mut alive = record.clone();
        alive.status = Status::Alive;
        self.accept_record(now_ms, alive, change);
        if record.status == Status::Suspect {
            self.suspect(now_ms, record);
        }
    }

    fn apply_record_of_same_run(
        &mut self,
        now_ms: f64,
        record: MemberRecord,
        known: &MemberRecord,
    ) {
        if record.cmp_precedence(known) == Ordering::Less || known.status == Status::Left {
            return;
        }
        let is_newer = record.incarnation > known.incarnation;
        match record.status {
            Status::Left => self.accept_record(now_ms, record, MemberChange::Left),
            Status::Alive if is_newer => {
                self.apply_newer_alive_record(now_ms, record, known.status)
            }
            Status::Alive => {}
            Status::Suspect if known.status != Status::Dead || is_newer => {
                self.suspect(now_ms, record);
            }
            Status::Suspect => {}
            Status::Dead if known.is_live() => self.verify_reported_death(now_ms, &record, known),
            Status::Dead if is_newer => self.view.insert(now_ms, record, None),
            Status::Dead => {}
        }
    }

    /// An alive record with a higher incarnation: a refutation, or new metadata.
    fn apply_newer_alive_record(
        &mut self,
        now_ms: f64,
        record: MemberRecord,
        known_status: Status,
    ) {
        match known_status {
            Status::Suspect => {
                self.counters.suspicions_refuted += 1;
                self.accept_record(now_ms, record, MemberChange::Refuted);
            }
            Status::Dead => self.accept_record(now_ms, record, MemberChange::Joined),
            Status::Alive | Status::Left => {
                self.gossip.add(record.clone());
                self.view.insert(now_ms, record, None);
            }
        }
    }

    /// Handles the reported death of a member that is live in the local view. The member is suspected with a short
    /// deadline, pinged, and probed next.
    fn verify_reported_death(&mut self, now_ms: f64, death: &MemberRecord, known: &MemberRecord) {
        if known.status == Status::Alive {
            let mut suspicion = death.clone();
            suspicion.status = Status::Suspect;
            // The incarnation before the death's, so that this suspicion expires into the same record of the death and
            // not into one of a higher incarnation.
            let before_death = death.incarnation.saturating_sub(1);
            suspicion.incarnation = known.incarnation.max(before_death);
            self.suspect(now_ms, suspicion);
        }
        let suspicion = self.view.suspicion_mut(&death.name);
        if suspicion.is_some_and(|suspicion| suspicion.report_death(now_ms)) {
            self.prober.remaining_targets.push(death.name.clone());
            self.suspects_to_ping.insert(death.name.clone());
        }
    }

    /// Puts a record into the view, reports the change, and gossips the record.
    pub(super) fn accept_record(
        &mut self,
        now_ms: f64,
        record: MemberRecord,
        change: MemberChange,
    ) {
        self.emit_change(&record, change);
        self.gossip.add(record.clone());
        self.view.insert(now_ms, record, None);
    }
}
