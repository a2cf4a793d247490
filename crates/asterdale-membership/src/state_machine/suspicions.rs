//! Suspicions of other members (SWIM's suspicion mechanism, with the timeouts of Lifeguard's LHA-Suspicion).
//!
//! Added to the papers: a few of the members that receive a suspicion ping the suspect, so that it learns of the
//! suspicion within a probe interval. After a partition as many as half of the members are suspected, and one probe per
//! interval would reach most of them too late.

use super::sending::ping_without_probe;
use super::state::State;
use super::Membership;
use crate::event::MemberChange;
use crate::failpoint::{self, Failpoint};
use crate::record::{MemberRecord, Status};
use crate::suspicion::Suspicion;

/// Suspects pinged in each probe interval, in addition to the probe.
const SUSPECT_PINGS_PER_INTERVAL: usize = 8;
/// How many of the processes that receive a suspicion ping the suspect, on average.
const MEAN_SUSPECT_PINGERS: f64 = 8.0;
/// Up to this fleet size there are too few members to confirm a suspicion, so it starts with the minimum timeout.
const MAX_FLEET_SIZE_WITHOUT_CONFIRMATION: usize = 3;

impl Membership {
    /// Applies a suspicion, raised by this process or received. It confirms a running one or starts a new one.
    pub(super) fn suspect(&mut self, now_ms: f64, record: MemberRecord) {
        let Some(entry) = self.view.get(&record.name) else {
            return;
        };
        let is_suspected = entry.record.status == Status::Suspect;
        if is_suspected && entry.record.incarnation == record.incarnation {
            self.confirm_suspicion(record);
        } else {
            self.start_suspicion(now_ms, record);
        }
    }

    /// Gossips a confirmation if it is a new one, as in Lifeguard.
    fn confirm_suspicion(&mut self, record: MemberRecord) {
        let suspicion = self.view.suspicion_mut(&record.name);
        if suspicion.is_some_and(|suspicion| suspicion.confirm(&record.reported_by)) {
            self.gossip.add(record);
        }
    }

    fn start_suspicion(&mut self, now_ms: f64, record: MemberRecord) {
        let size = self.fleet_size();
        if record.reported_by == self.local.name {
            self.counters.suspicions_raised += 1;
        } else if self.random.fraction() * size as f64 <= MEAN_SUSPECT_PINGERS {
            self.suspects_to_ping.insert(record.name.clone());
        }
        let min_ms = self.settings.min_suspicion_ms(size);
        let max_ms = if size <= MAX_FLEET_SIZE_WITHOUT_CONFIRMATION {
            min_ms
        } else {
            self.settings.max_suspicion_ms(size)
        };
        let suspicion = Suspicion::new(now_ms, &record.reported_by, min_ms, max_ms);
        self.emit_change(&record, MemberChange::Suspected);
        self.gossip.add(record.clone());
        self.view.insert(now_ms, record, Some(suspicion));
    }

    /// Declares dead the suspects that have not refuted in time.
    pub(super) fn declare_expired_suspects_dead(&mut self, now_ms: f64) {
        if failpoint::is_active(Failpoint::NoSuspicionExpiry) || self.state == State::Stopped {
            return;
        }
        let has_expired = |suspicion: &Suspicion| suspicion.deadline_ms() <= now_ms;
        let expired: Vec<MemberRecord> = self
            .view
            .suspects()
            .filter(|entry| entry.suspicion.as_ref().is_some_and(has_expired))
            .map(|entry| entry.record.clone())
            .collect();
        for mut record in expired {
            self.counters.deaths_declared += 1;
            record.status = Status::Dead;
            record.reported_by.clone_from(&self.local.name);
            // A late refutation of the suspicion must not undo the death. The member has to learn of the death first.
            record.incarnation += 1;
            self.accept_record(now_ms, record, MemberChange::Died);
        }
    }

    /// Pings the next queued suspects, so that they learn of the suspicion.
    pub(super) fn ping_pending_suspects(&mut self) {
        let mut ping_count = 0;
        while ping_count < SUSPECT_PINGS_PER_INTERVAL {
            let Some(name) = self.suspects_to_ping.pop_first() else {
                return;
            };
            let Some(entry) = self.view.get(&name) else {
                continue;
            };
            if entry.record.status == Status::Suspect {
                let record = entry.record.clone();
                self.send_records(record.address, ping_without_probe(), &[record]);
                ping_count += 1;
            }
        }
    }
}
