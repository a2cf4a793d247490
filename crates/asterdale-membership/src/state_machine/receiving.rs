//! Received messages: rate limit, decoding, and the handling of each kind.

use super::state::State;
use super::Membership;
use crate::event::{Action, Event};
use crate::message::{self, DecodeError, FullView, Message, Payload, MAX_DATAGRAM_BYTES};
use crate::record::MemberRecord;

/// Minimum time between two version rejections, so that rejections cannot be used to flood another process.
const VERSION_REJECTION_INTERVAL_MS: f64 = 1000.0;

impl Membership {
    /// Handles a received datagram. Invalid ones are counted and dropped.
    pub fn handle_datagram(&mut self, now_ms: f64, bytes: &[u8]) -> Vec<Action> {
        self.run_timers(now_ms);
        if self.admit_message(now_ms) {
            if let Some((message, sender)) = self.decode(now_ms, bytes, MAX_DATAGRAM_BYTES) {
                self.handle_message(now_ms, &message, &sender);
            }
        }
        self.finish_step(now_ms)
    }

    /// Whether the rate limit admits one more message.
    pub(super) fn admit_message(&mut self, now_ms: f64) -> bool {
        let is_admitted = self.receive_limiter.try_take(now_ms, self.view.len());
        if !is_admitted {
            self.counters.rate_limited += 1;
        }
        is_admitted
    }

    /// Decodes and counts a message. Answers a message of another version with a rejection.
    pub(super) fn decode(
        &mut self,
        now_ms: f64,
        bytes: &[u8],
        max_bytes: usize,
    ) -> Option<(Message, MemberRecord)> {
        match message::decode(&self.authenticator, bytes, max_bytes) {
            Ok(decoded) => {
                self.counters.messages_received += 1;
                return Some(decoded);
            }
            Err(DecodeError::Unauthenticated) => self.counters.unauthenticated += 1,
            Err(
                DecodeError::TooLong { .. }
                | DecodeError::Malformed(_)
                | DecodeError::InvalidSender,
            ) => self.counters.malformed += 1,
            Err(DecodeError::UnsupportedVersion { sender, .. }) => {
                self.counters.version_mismatches += 1;
                let next_ms = self.last_version_rejection_ms + VERSION_REJECTION_INTERVAL_MS;
                if let Some(sender) = sender.filter(|_| now_ms >= next_ms) {
                    self.last_version_rejection_ms = now_ms;
                    self.send(sender, message::version_rejection(), None);
                }
            }
        }
        None
    }

    /// Applies a valid message: the sender's record, the other records, the hash of the sender's view, the payload.
    pub(super) fn handle_message(&mut self, now_ms: f64, message: &Message, sender: &MemberRecord) {
        if self.state == State::Stopped {
            return;
        }
        if sender.name == self.local.name {
            return self.handle_same_name_message(message, sender);
        }
        if !message.joining && !self.apply_sender_record(now_ms, sender) {
            return self.handle_stale_sender(message, sender);
        }
        let records = message.records.iter().take(self.settings.max_members);
        for record in records.filter_map(message::decode_record) {
            self.apply_record(now_ms, record, Some(sender.address));
        }
        self.compare_views(now_ms, message, sender.address);
        self.handle_payload(now_ms, message, sender);
    }

    /// Drops a message of a process that was replaced under its name, since its records may be outdated too. A ping is
    /// answered with the newer process's record, so that the sender is notified of it if it is still running.
    fn handle_stale_sender(&mut self, message: &Message, sender: &MemberRecord) {
        self.counters.stale_generations += 1;
        if !matches!(message.payload, Some(Payload::Ping(_))) {
            return;
        }
        if let Some(entry) = self.view.get(&sender.name) {
            let newer = entry.record.clone();
            self.send_record_to_subject(sender.address, newer);
        }
    }

    fn handle_payload(&mut self, now_ms: f64, message: &Message, sender: &MemberRecord) {
        let answers_pings = self.state.answers_pings();
        match &message.payload {
            Some(Payload::Ping(ping)) if answers_pings => {
                let ack = self.ack(ping.seq);
                self.send(sender.address, ack, Some(&sender.name));
            }
            Some(Payload::PingRequest(request)) if answers_pings => {
                self.relay_probe(now_ms, sender.address, request);
            }
            Some(Payload::Ack(ack)) => {
                if !self.relay_ack(ack) {
                    self.handle_probe_ack(now_ms, ack);
                }
            }
            Some(Payload::Nack(nack)) => self.handle_nack(nack),
            Some(Payload::VersionRejection(rejection)) => self.emit(Event::VersionRejected {
                min_version: rejection.min_version,
                max_version: rejection.max_version,
            }),
            Some(Payload::Ping(_) | Payload::PingRequest(_) | Payload::FullView(_)) | None => {}
        }
    }
}

/// Whether the message is a request for an exchange, or the reply to one.
pub(super) fn is_full_view(message: &Message, is_reply: bool) -> bool {
    message.payload == Some(Payload::FullView(FullView { is_reply }))
}
