//! Outgoing messages, with gossip piggybacked on datagrams (SWIM's infection-style dissemination).
//!
//! Lifeguard's Buddy System: a message to a member that is suspected or dead in the local view carries that member's
//! record first, so that the member can refute it as early as possible.

use std::net::SocketAddr;

use super::Membership;
use crate::event::Action;
use crate::message::{self, wire, Ack, FullView, Message, Payload, Ping};
use crate::record::{MemberRecord, Status};

/// Sequence number of pings and acks that belong to no probe: a ping that only carries records, and its ack.
const NO_PROBE_SEQ: u32 = 0;

/// A ping that only carries records.
pub(super) fn ping_without_probe() -> Payload {
    Payload::Ping(Ping { seq: NO_PROBE_SEQ })
}

impl Membership {
    /// Sends a datagram with gossip. If the recipient's name is given and its status in the local view is not alive,
    /// its record comes first.
    pub(super) fn send(&mut self, to: SocketAddr, payload: Payload, recipient: Option<&str>) {
        let recipient_record = recipient
            .and_then(|name| self.view.get(name))
            .filter(|entry| entry.record.status != Status::Alive)
            .map(|entry| entry.record.clone());
        self.send_with_gossip(to, payload, recipient_record.into_iter().collect());
    }

    /// Sends a datagram with these records and as much gossip as fits.
    fn send_with_gossip(
        &mut self,
        to: SocketAddr,
        payload: Payload,
        mut records: Vec<MemberRecord>,
    ) {
        let taken_bytes: usize = records.iter().map(message::record_bytes).sum();
        let capacity_bytes = message::gossip_capacity_bytes() - taken_bytes;
        if self.state.sends_gossip() {
            let transmissions = self.settings.retransmissions(self.fleet_size());
            let gossip = &mut self.gossip;
            records.extend(gossip.take_batch(capacity_bytes, transmissions, message::record_bytes));
        }
        self.send_records(to, payload, &records);
    }

    /// Sends a datagram with only these records. Used for recipients that may not exist: gossip sent to them would use
    /// up the bounded number of transmissions of its records.
    pub(super) fn send_records(
        &mut self,
        to: SocketAddr,
        payload: Payload,
        records: &[MemberRecord],
    ) {
        let records = records.iter().map(message::encode_record).collect();
        let bytes = self.encode(payload, records);
        self.actions.push(Action::Send(to, bytes));
    }

    /// Sends a record to the process that it is about, or to another one under its name, even if its status is alive.
    pub(super) fn send_record_to_subject(&mut self, to: SocketAddr, record: MemberRecord) {
        let ack = self.ack(NO_PROBE_SEQ);
        self.send_with_gossip(to, ack, vec![record]);
    }

    /// Sends an ack that belongs to no probe, to show that this process is alive.
    pub(super) fn send_liveness_ack(&mut self, to: SocketAddr) {
        let ack = self.ack(NO_PROBE_SEQ);
        self.send(to, ack, None);
    }

    /// This process's ack to a ping.
    pub(super) fn ack(&self, seq: u32) -> Payload {
        Payload::Ack(Ack {
            seq,
            target: self.local.name.clone(),
            generation: self.local.generation,
        })
    }

    /// The full view, as one direction of an exchange.
    pub(super) fn encode_full_view(&mut self, is_reply: bool) -> Vec<u8> {
        let entries = self.view.iter();
        let records = entries
            .map(|entry| message::encode_record(&entry.record))
            .collect();
        self.encode(Payload::FullView(FullView { is_reply }), records)
    }

    /// Encodes a message and counts it as sent.
    fn encode(&mut self, payload: Payload, records: Vec<wire::Record>) -> Vec<u8> {
        let message = Message {
            sender: Some(message::encode_record(&self.local)),
            view_hash: self.view_hash(),
            joining: self.state.is_joining(),
            records,
            payload: Some(payload),
        };
        let bytes = message::encode(&self.authenticator, &message);
        self.counters.messages_sent += 1;
        self.counters.bytes_sent += bytes.len() as u64;
        bytes
    }

    /// Gossips this process's own record, after it changed or because another member does not have it.
    pub(super) fn gossip_local_record(&mut self) {
        self.local.reported_by.clone_from(&self.local.name);
        self.gossip.add(self.local.clone());
    }
}
