//! Ends connections: once they are answered, and once their clients have stopped sending.

use std::time::Instant;

use super::EventLoop;
use crate::frontend::connection::{Connection, EndReason, ReadOutcome, LINGER_TIMEOUT};

/// A connection accepted less than this many milliseconds ago is not ended to reduce the number of idle ones, because
/// its first request is probably still in transit.
const FIRST_REQUEST_GRACE_MS: u64 = 200;

impl EventLoop {
    /// Ends every connection once it is answered.
    pub(super) fn end_all_when_answered(&mut self) {
        let all: Vec<u64> = self.connections.keys().copied().collect();
        for number in all {
            self.end_when_answered(number, EndReason::Draining);
        }
    }

    /// Ends this connection as soon as all requests read from it are answered.
    pub(super) fn end_when_answered(&mut self, number: u64, reason: EndReason) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if !std::mem::replace(&mut connection.end_requested, true) && connection.is_reading() {
            connection.record_end_reason(&self.context, reason);
            self.ending.push(number);
        }
    }

    /// Reads from the connections that are to end.
    pub(super) fn read_ending_connections(&mut self) {
        for number in std::mem::take(&mut self.ending) {
            let Some(connection) = self
                .connections
                .get_mut(&number)
                .filter(|connection| connection.is_reading())
            else {
                continue;
            };
            match connection.read_while_ending(&mut self.context) {
                ReadOutcome::OutOfMemory => {
                    self.drop_largest_partial_requests();
                    self.ending.push(number);
                }
                ReadOutcome::Ended(reason) => self.stop_reading(number, reason),
                ReadOutcome::Drained | ReadOutcome::More | ReadOutcome::Paused(_) => {
                    self.ending.push(number);
                }
            }
        }
    }

    /// Starts to linger on a connection to which no further reply can be sent.
    pub(super) fn start_lingering(&mut self, number: u64) {
        let now = Instant::now();
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.start_lingering(now);
        if !self.linger(number, now) {
            self.lingering.push_back((now + LINGER_TIMEOUT, number));
        }
    }

    /// Closes the lingering connections whose clients have stopped sending.
    pub(super) fn close_lingered_connections(&mut self, now: Instant) {
        while let Some(&(close_at, number)) = self.lingering.front() {
            if close_at > now {
                return;
            }
            self.lingering.pop_front();
            if !self.linger(number, now) {
                self.lingering.push_back((now + LINGER_TIMEOUT, number));
            }
        }
    }

    /// Discards what the client of this connection has sent, and closes it if nothing more comes. Returns whether it
    /// is closed.
    pub(super) fn linger(&mut self, number: u64, now: Instant) -> bool {
        let can_close = self
            .connections
            .get_mut(&number)
            .is_none_or(|connection| connection.linger(now));
        if can_close {
            self.remove(number);
        }
        can_close
    }

    /// Closes a connection whose peer has no references left. Connections are closed nowhere else.
    fn remove(&mut self, number: u64) {
        // Dropping the socket also removes it from the poll, because its descriptor is not shared.
        if self.connections.remove(&number).is_some() {
            self.context.counters.connections_open.sub();
            self.settings
                .handle
                .set_open_connections(self.connections.len());
        }
    }

    /// Ends connections without open requests: first those that never sent a request, then those that were idle
    /// longest. `max_idle` is given the number of these connections and returns how many of them may stay. A client
    /// whose request arrives too late to be read sends it again on another connection.
    pub(super) fn end_excess_idle_connections(&mut self, max_idle: impl Fn(usize) -> usize) {
        let now_ms = self.context.now_ms();
        let can_end = |connection: &Connection| {
            !connection.is_ending()
                && !connection.has_open_requests()
                && now_ms >= connection.accepted_at_ms + FIRST_REQUEST_GRACE_MS
        };
        let mut idle: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| can_end(connection))
            .map(|(&number, connection)| {
                let has_received_request = connection.has_received_request;
                (has_received_request, connection.last_activity_ms(), number)
            })
            .collect();
        let excess = idle.len().saturating_sub(max_idle(idle.len()));
        if excess > 0 {
            idle.sort_unstable();
        }
        for &(.., number) in &idle[..excess] {
            self.end_when_answered(number, EndReason::GivenUp);
        }
    }
}
