//! A persistent stream that a peer has opened: reads, checks and delivers its messages.

use std::io::{ErrorKind, Read};
use std::time::{Duration, Instant};

use asterdale_membership::authentication::MessageAuthenticator;
use asterdale_ownership::message::MAX_MESSAGE_BYTES;
use crossbeam_channel::{Sender, TrySendError};
use mio::net::TcpStream;

use crate::framing::{length_field, LENGTH_BYTES, PERSISTENT_BIT};

/// The maximal length of an encoded message with its authentication code, in bytes.
const MAX_FRAME_BYTES: usize = MAX_MESSAGE_BYTES + 64;
/// How long the complete arrival of a message may take.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// About how many bytes are read from one stream before the next stream is read.
const READ_LIMIT_BYTES: usize = 64 * 1024;
/// The size of the buffer of one read call.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The result of reading a stream.
pub(super) struct ReadOutcome {
    /// How many bytes were read.
    pub(super) bytes: usize,
    /// Whether the peer has closed the stream, or it has failed.
    pub(super) is_closed: bool,
    /// Whether the read limit was reached before all available data was read.
    pub(super) may_have_more: bool,
}

/// What the received bytes contain.
pub(super) enum Parsed {
    /// Valid messages, which were delivered, and possibly an incomplete one.
    Valid {
        /// The size of the messages with their length fields.
        consumed_bytes: usize,
    },
    /// Valid messages, which were delivered, followed by bytes that are no valid message of the fleet.
    Invalid {
        /// The size of the messages with their length fields.
        consumed_bytes: usize,
    },
    /// The receiver of messages was dropped.
    Disconnected,
}

/// A persistent stream that a peer has opened.
pub(super) struct InboundStream {
    stream: TcpStream,
    received: Vec<u8>,
    /// When the first byte of the incomplete message arrived.
    message_started: Option<Instant>,
}

impl InboundStream {
    pub(super) fn new(stream: TcpStream, received: Vec<u8>) -> InboundStream {
        InboundStream {
            stream,
            received,
            message_started: Some(Instant::now()),
        }
    }

    /// The size of the incomplete message, in bytes.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.received.len()
    }

    /// Whether the incomplete message has exceeded [`MESSAGE_TIMEOUT`].
    pub(super) fn is_message_timed_out(&self, now: Instant) -> bool {
        self.message_started
            .is_some_and(|started| now - started > MESSAGE_TIMEOUT)
    }

    /// Reads what has arrived, up to about [`READ_LIMIT_BYTES`].
    pub(super) fn read(&mut self) -> ReadOutcome {
        let before = self.received.len();
        let mut buffer = [0; READ_BUFFER_BYTES];
        let (mut is_closed, mut may_have_more) = (false, true);
        while self.received.len() - before < READ_LIMIT_BYTES {
            match self.stream.read(&mut buffer) {
                Ok(0) => is_closed = true,
                Ok(count) => {
                    self.received.extend_from_slice(&buffer[..count]);
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => may_have_more = false,
                Err(_) => is_closed = true,
            }
            break;
        }
        ReadOutcome {
            bytes: self.received.len() - before,
            is_closed,
            may_have_more,
        }
    }

    /// Delivers the complete messages that were received. If the receiver's queue is full, a message is dropped.
    pub(super) fn deliver_messages(
        &mut self,
        authenticator: &MessageAuthenticator,
        messages: &Sender<Vec<u8>>,
    ) -> Parsed {
        let mut consumed_bytes = 0;
        let mut is_valid = true;
        while let Some(length) = length_field(&self.received[consumed_bytes..]) {
            let size = (length & !PERSISTENT_BIT) as usize;
            if length & PERSISTENT_BIT == 0 || size > MAX_FRAME_BYTES {
                is_valid = false;
                break;
            }
            let start = consumed_bytes + LENGTH_BYTES;
            let Some(message) = self.received.get(start..start + size) else {
                break;
            };
            if authenticator.verify(message).is_err() {
                is_valid = false;
                break;
            }
            match messages.try_send(message.to_vec()) {
                Ok(()) | Err(TrySendError::Full(_)) => {}
                Err(TrySendError::Disconnected(_)) => return Parsed::Disconnected,
            }
            consumed_bytes += LENGTH_BYTES + size;
        }
        self.remove_delivered(consumed_bytes);
        if is_valid {
            Parsed::Valid { consumed_bytes }
        } else {
            Parsed::Invalid { consumed_bytes }
        }
    }

    fn remove_delivered(&mut self, consumed_bytes: usize) {
        if consumed_bytes > 0 {
            self.received.drain(..consumed_bytes);
        }
        self.message_started = if self.received.is_empty() {
            None
        } else if consumed_bytes == 0 {
            self.message_started.or_else(|| Some(Instant::now()))
        } else {
            Some(Instant::now())
        };
    }
}
