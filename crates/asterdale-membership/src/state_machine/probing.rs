//! SWIM's failure detector from the prober's side.
//!
//! In every protocol period a process pings one member, chosen round-robin from a list that is shuffled for each round
//! (SWIM's time-bounded completeness). Without an ack in time it asks other members to ping the target. If there is still
//! no ack at the end of the period, the target is suspected. Lifeguard's LHA-Probe multiplies both times by the local
//! health, and counts each relay that sent neither ack nor nack as a failure of this process.

use std::net::SocketAddr;

use super::Membership;
use crate::message::{self, Ack, Nack, Payload, Ping};
use crate::record::Status;

/// A probe in progress.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    seq: u32,
    /// The target's name.
    target: String,
    /// The target's generation when the probe started.
    generation: u64,
    /// When the indirect probe is due; infinity once it was sent.
    indirect_at_ms: f64,
    relay_count: usize,
    nack_count: usize,
    is_acked: bool,
}

/// The state of the failure detector.
#[derive(Clone, Debug)]
pub(super) struct Prober {
    pub(super) current: Option<Probe>,
    /// Names still to be probed in this round; the last one is next.
    pub(super) remaining_targets: Vec<String>,
    pub(super) next_probe_ms: f64,
    /// When a probe was last acked; negative infinity if none was since the start or the last pause.
    pub(super) last_ack_ms: f64,
}

impl Default for Prober {
    fn default() -> Prober {
        Prober {
            current: None,
            remaining_targets: Vec::new(),
            next_probe_ms: f64::INFINITY,
            last_ack_ms: f64::NEG_INFINITY,
        }
    }
}

impl Prober {
    /// When the current probe's indirect probe is due; infinity if there is none to send.
    pub(super) fn next_indirect_ms(&self) -> f64 {
        self.current
            .as_ref()
            .map_or(f64::INFINITY, |probe| probe.indirect_at_ms)
    }
}

impl Membership {
    /// Ends the probe of the protocol period: a target without an ack is suspected.
    pub(super) fn finish_probe(&mut self, now_ms: f64) {
        let Some(probe) = self.prober.current.take() else {
            return;
        };
        if probe.is_acked {
            return;
        }
        self.local_health.record_failure();
        // A relay that sent no nack either indicates that messages of this process are lost, not those of the target.
        for _ in probe.nack_count..probe.relay_count {
            self.local_health.record_failure();
        }
        let Some(entry) = self.view.get(&probe.target) else {
            return;
        };
        if entry.record.generation == probe.generation && entry.record.is_live() {
            let mut record = entry.record.clone();
            record.status = Status::Suspect;
            record.reported_by.clone_from(&self.local.name);
            self.suspect(now_ms, record);
        }
    }

    /// Pings the next member of the round.
    pub(super) fn start_next_probe(&mut self, now_ms: f64) {
        let multiplier = self.local_health.timeout_multiplier();
        self.prober.next_probe_ms = now_ms + self.settings.probe_interval_ms * multiplier;
        let Some(target) = self.next_probe_target() else {
            return;
        };
        let Some(entry) = self.view.get(&target) else {
            return;
        };
        let (address, generation) = (entry.record.address, entry.record.generation);
        let seq = self.next_seq();
        self.prober.current = Some(Probe {
            seq,
            target: target.clone(),
            generation,
            indirect_at_ms: now_ms + self.settings.probe_timeout_ms * multiplier,
            relay_count: 0,
            nack_count: 0,
            is_acked: false,
        });
        self.send(address, Payload::Ping(Ping { seq }), Some(&target));
    }

    /// The next live member of the round; starts a new, shuffled round after the last one. `None` if no member is live.
    fn next_probe_target(&mut self) -> Option<String> {
        loop {
            while let Some(name) = self.prober.remaining_targets.pop() {
                let entry = self.view.get(&name);
                if entry.is_some_and(|entry| entry.record.is_live()) {
                    return Some(name);
                }
            }
            let live_members = self.view.live_members();
            self.prober.remaining_targets = live_members
                .map(|entry| entry.record.name.clone())
                .collect();
            if self.prober.remaining_targets.is_empty() {
                return None;
            }
            self.random.shuffle(&mut self.prober.remaining_targets);
        }
    }

    /// Asks relays to ping the target if its ack did not come in time.
    pub(super) fn send_indirect_probes(&mut self) {
        let Some(probe) = &mut self.prober.current else {
            return;
        };
        probe.indirect_at_ms = f64::INFINITY;
        if probe.is_acked {
            return;
        }
        let seq = probe.seq;
        let Some(target) = self.view.get(&probe.target) else {
            return;
        };
        let target = target.record.clone();
        let mut relays: Vec<SocketAddr> = self
            .view
            .iter()
            .map(|entry| &entry.record)
            .filter(|record| record.status == Status::Alive && record.name != target.name)
            .map(|record| record.address)
            .collect();
        let relay_count = self.settings.indirect_probes.min(relays.len());
        probe.relay_count = relay_count;
        for _ in 0..relay_count {
            if let Some(relay) = self.random.remove(&mut relays) {
                self.send(relay, message::ping_request(seq, &target), None);
            }
        }
    }

    /// Handles an ack to this process's own probe, direct or through a relay.
    pub(super) fn handle_probe_ack(&mut self, now_ms: f64, ack: &Ack) {
        let Some(probe) = &mut self.prober.current else {
            return;
        };
        if probe.seq == ack.seq && probe.target == ack.target && !probe.is_acked {
            probe.is_acked = true;
            self.prober.last_ack_ms = now_ms;
            self.local_health.record_success();
        }
    }

    /// Handles Lifeguard's nack: the relay can be reached, although the target has not answered it.
    pub(super) fn handle_nack(&mut self, nack: &Nack) {
        if let Some(probe) = &mut self.prober.current {
            if probe.seq == nack.seq {
                probe.nack_count += 1;
            }
        }
    }
}
