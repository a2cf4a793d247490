//! Timers: what is due when, and detection of pauses of this process.
//!
//! Pause detection is not in the papers. A process that was paused (stopped, suspended, starved of CPU) missed acks and
//! refutations, so it must not treat missing messages as failures of other members.

use super::state::State;
use super::Membership;
use crate::event::{Action, Event};
use crate::record::Metadata;

/// A wake-up that is later than this many probe intervals means that this process was paused.
pub(super) const PAUSE_THRESHOLD_INTERVALS: f64 = 3.0;
/// Changed metadata is gossiped once in this many probe intervals at most.
const MIN_METADATA_INTERVALS: f64 = 2.0;
/// Expired members are removed this many times in the retention period.
const SWEEPS_PER_RETENTION: f64 = 16.0;
/// Periodic exchanges and pings to dead members are due after 0.75 to 1.25 times their period, so that processes that
/// started together do not stay synchronized.
const MIN_JITTER: f64 = 0.75;
/// Width of the jitter's range.
const JITTER_RANGE: f64 = 0.5;

/// Due times of the periodic work that has no module of its own.
#[derive(Clone, Debug)]
pub(super) struct Timers {
    next_dead_ping_ms: f64,
    next_sweep_ms: f64,
    next_metadata_ms: f64,
    /// When the caller is to call [`Membership::wake`].
    pub(super) scheduled_wake_ms: f64,
}

impl Timers {
    pub(super) fn new(now_ms: f64) -> Timers {
        Timers {
            next_dead_ping_ms: f64::INFINITY,
            next_sweep_ms: f64::INFINITY,
            next_metadata_ms: now_ms,
            scheduled_wake_ms: now_ms,
        }
    }
}

impl Membership {
    /// Runs the timers that are due. The caller calls this at [`Membership::next_wake_ms`].
    pub fn wake(&mut self, now_ms: f64) -> Vec<Action> {
        self.run_timers(now_ms);
        self.finish_step(now_ms)
    }

    /// When the next timer is due; infinity if none is.
    pub fn next_wake_ms(&self) -> f64 {
        if self.state == State::Stopped {
            return f64::INFINITY;
        }
        let periodic_ms = if self.is_member() {
            self.next_periodic_ms()
        } else {
            f64::INFINITY
        };
        let suspicion_deadlines = self
            .view
            .suspects()
            .filter_map(|entry| Some(entry.suspicion.as_ref()?.deadline_ms()));
        suspicion_deadlines
            .chain([self.relayed_probes.next_wake_ms(), periodic_ms])
            .fold(self.state.next_wake_ms(), f64::min)
    }

    fn next_periodic_ms(&self) -> f64 {
        [
            self.prober.next_probe_ms,
            self.prober.next_indirect_ms(),
            self.exchanges.next_ms,
            self.timers.next_dead_ping_ms,
            self.timers.next_sweep_ms,
        ]
        .into_iter()
        .fold(f64::INFINITY, f64::min)
    }

    /// Runs all timers that are due, at the start of every step.
    pub(super) fn run_timers(&mut self, now_ms: f64) {
        let delay_ms = now_ms - self.timers.scheduled_wake_ms;
        let is_scheduled = self.timers.scheduled_wake_ms.is_finite();
        if is_scheduled && delay_ms > PAUSE_THRESHOLD_INTERVALS * self.settings.probe_interval_ms {
            self.handle_pause(now_ms, delay_ms);
        }
        self.run_state_timers(now_ms);
        self.run_relay_timers(now_ms);
        self.declare_expired_suspects_dead(now_ms);
        if self.is_member() {
            self.run_periodic_work(now_ms);
        }
    }

    /// Discards probes in progress and postpones suspicions, as this process missed messages while it was paused.
    fn handle_pause(&mut self, now_ms: f64, pause_ms: f64) {
        self.counters.pauses += 1;
        self.emit(Event::Paused(pause_ms));
        self.view.extend_suspicions(pause_ms);
        self.prober.current = None;
        self.relayed_probes.clear();
        self.local_health.record_failure();
        // Other members may have declared this process dead, so it has no majority before the next ack.
        self.prober.last_ack_ms = f64::NEG_INFINITY;
        if self.is_member() {
            self.schedule_periodic_work(now_ms);
        }
    }

    fn run_periodic_work(&mut self, now_ms: f64) {
        if now_ms >= self.prober.next_indirect_ms() {
            self.send_indirect_probes();
        }
        if now_ms >= self.prober.next_probe_ms {
            self.finish_probe(now_ms);
            self.start_next_probe(now_ms);
            self.ping_pending_suspects();
        }
        if now_ms >= self.exchanges.next_ms {
            self.run_periodic_exchange(now_ms);
        }
        if now_ms >= self.timers.next_dead_ping_ms {
            self.ping_dead_member();
            self.timers.next_dead_ping_ms =
                self.jittered_intervals_ms(now_ms, self.settings.dead_ping_intervals);
        }
        if now_ms >= self.timers.next_sweep_ms {
            self.remove_expired_members(now_ms);
            self.timers.next_sweep_ms = self.next_sweep_ms(now_ms);
        }
        if self.pending_metadata != self.local.metadata && now_ms >= self.timers.next_metadata_ms {
            self.publish_metadata(now_ms, self.pending_metadata);
        }
    }

    /// Restarts all periodic work, each part at a random point of its period, so that processes that start at the same
    /// time do not send at the same times.
    pub(super) fn schedule_periodic_work(&mut self, now_ms: f64) {
        let interval_ms = self.settings.probe_interval_ms;
        self.prober.next_probe_ms = now_ms + interval_ms * self.random.fraction();
        self.exchanges.next_ms =
            now_ms + self.settings.exchange_intervals * interval_ms * self.random.fraction();
        self.timers.next_dead_ping_ms =
            now_ms + self.settings.dead_ping_intervals * interval_ms * self.random.fraction();
        self.timers.next_sweep_ms = self.next_sweep_ms(now_ms);
        self.prober.current = None;
        self.exchanges.next_peer = None;
    }

    /// The time after this many probe intervals, with jitter.
    pub(super) fn jittered_intervals_ms(&mut self, now_ms: f64, intervals: f64) -> f64 {
        let jitter = MIN_JITTER + JITTER_RANGE * self.random.fraction();
        now_ms + intervals * self.settings.probe_interval_ms * jitter
    }

    fn next_sweep_ms(&self, now_ms: f64) -> f64 {
        now_ms + self.settings.dead_retention_ms / SWEEPS_PER_RETENTION
    }

    /// Puts new metadata into the local record. The incarnation rises so that the new record wins over the old one.
    fn publish_metadata(&mut self, now_ms: f64, metadata: Metadata) {
        self.timers.next_metadata_ms =
            now_ms + MIN_METADATA_INTERVALS * self.settings.probe_interval_ms;
        self.local.metadata = metadata;
        self.local.incarnation += 1;
        self.gossip_local_record();
    }
}
