//! SWIM's failure detector from the relay's side: pinging a target for another member.
//!
//! The relay passes the target's ack on. As in Lifeguard, it sends a nack if none has come after most of the requester's
//! timeout, so that the requester can distinguish a dead target from a fault of its own connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::Membership;
use crate::message::{self, Ack, Nack, Payload, Ping, PingRequest};

/// Maximum number of probes relayed at a time. Further requests are dropped, as their answers would come too late.
const MAX_RELAYED_PROBES: usize = 256;
/// The fraction of the probe timeout after which the relay sends a nack, as in Lifeguard.
const NACK_TIMEOUT_FRACTION: f64 = 0.8;
/// An ack that comes after this many probe timeouts is not passed on.
const EXPIRY_PROBE_TIMEOUTS: f64 = 4.0;

/// A probe made for another member.
#[derive(Clone, Debug)]
struct RelayedProbe {
    requester: SocketAddr,
    /// The requester's sequence number, for the answer.
    requester_seq: u32,
    nack_at_ms: f64,
    expires_ms: f64,
    is_nack_sent: bool,
}

/// The relayed probes in progress, by this process's own sequence number.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayedProbes(BTreeMap<u32, RelayedProbe>);

impl RelayedProbes {
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// When the next nack is to be sent or the next probe expires; infinity if there is none.
    pub(super) fn next_wake_ms(&self) -> f64 {
        let wakes = self.0.values().map(|probe| {
            if probe.is_nack_sent {
                probe.expires_ms
            } else {
                probe.nack_at_ms
            }
        });
        wakes.fold(f64::INFINITY, f64::min)
    }

    /// Marks the nacks that are due as sent, and returns their requesters and sequence numbers.
    fn take_due_nacks(&mut self, now_ms: f64) -> Vec<(SocketAddr, u32)> {
        self.0
            .values_mut()
            .filter(|probe| !probe.is_nack_sent && now_ms >= probe.nack_at_ms)
            .map(|probe| {
                probe.is_nack_sent = true;
                (probe.requester, probe.requester_seq)
            })
            .collect()
    }
}

impl Membership {
    /// Pings the request's target for the requester.
    pub(super) fn relay_probe(
        &mut self,
        now_ms: f64,
        requester: SocketAddr,
        request: &PingRequest,
    ) {
        if self.relayed_probes.0.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let Some(target) = message::ping_request_address(request) else {
            return;
        };
        let seq = self.next_seq();
        let timeout_ms = self.settings.probe_timeout_ms;
        let probe = RelayedProbe {
            requester,
            requester_seq: request.seq,
            nack_at_ms: now_ms + NACK_TIMEOUT_FRACTION * timeout_ms,
            expires_ms: now_ms + EXPIRY_PROBE_TIMEOUTS * timeout_ms,
            is_nack_sent: false,
        };
        self.relayed_probes.0.insert(seq, probe);
        self.send(target, Payload::Ping(Ping { seq }), Some(&request.name));
    }

    /// Passes an ack on to the requester. Returns `false` if the ack belongs to no relayed probe.
    pub(super) fn relay_ack(&mut self, ack: &Ack) -> bool {
        let Some(probe) = self.relayed_probes.0.remove(&ack.seq) else {
            return false;
        };
        let relayed = Ack {
            seq: probe.requester_seq,
            target: ack.target.clone(),
            generation: ack.generation,
        };
        self.send(probe.requester, Payload::Ack(relayed), None);
        true
    }

    /// Sends the nacks that are due, and removes the probes that have expired.
    pub(super) fn run_relay_timers(&mut self, now_ms: f64) {
        for (requester, seq) in self.relayed_probes.take_due_nacks(now_ms) {
            self.send(requester, Payload::Nack(Nack { seq }), None);
        }
        let probes = &mut self.relayed_probes.0;
        probes.retain(|_, probe| now_ms < probe.expires_ms);
    }
}
