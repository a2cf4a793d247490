//! One stream of an exchange: a request in one direction, a response in the other.

use std::io::{self, ErrorKind, Read, Write};
use std::time::Instant;

use asterdale_membership::message::MAX_EXCHANGE_BYTES;
use mio::net::TcpStream;

use crate::framing::{length_field, LENGTH_BYTES, PERSISTENT_BIT};

/// The size of the buffer of one read call.
const READ_BUFFER_BYTES: usize = 8192;

/// The role of this process in an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// Sends the request.
    Requester,
    /// Sends the response.
    Responder,
}

/// The progress of a stream.
pub(super) enum Progress {
    /// The stream waits for the peer or for a local response.
    Pending,
    /// The peer's message has arrived.
    Received(Vec<u8>),
    /// The response has been sent.
    Done,
    /// The peer opened a persistent stream, not an exchange.
    Persistent,
}

/// A stream of an exchange.
pub(super) struct ExchangeStream {
    pub(super) stream: TcpStream,
    pub(super) role: Role,
    /// Bytes that have not been written yet.
    pub(super) outgoing: Vec<u8>,
    /// Bytes that have been read.
    pub(super) received: Vec<u8>,
    /// Whether the peer's message has been returned. Nothing is read after that.
    is_message_returned: bool,
    pub(super) deadline: Instant,
}

impl ExchangeStream {
    pub(super) fn new(
        stream: TcpStream,
        role: Role,
        outgoing: Vec<u8>,
        deadline: Instant,
    ) -> ExchangeStream {
        ExchangeStream {
            stream,
            role,
            outgoing,
            received: Vec::new(),
            is_message_returned: false,
            deadline,
        }
    }

    /// Writes and reads as much as the stream allows. After an error the stream has to be closed.
    pub(super) fn advance(&mut self) -> io::Result<Progress> {
        let had_outgoing = !self.outgoing.is_empty();
        if !self.write()? {
            return Ok(Progress::Pending);
        }
        if self.is_message_returned {
            return Ok(if had_outgoing {
                Progress::Done
            } else {
                Progress::Pending
            });
        }
        self.read()?;
        self.take_message()
    }

    /// Returns whether everything is written.
    fn write(&mut self) -> io::Result<bool> {
        while !self.outgoing.is_empty() {
            match self.stream.write(&self.outgoing) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => drop(self.outgoing.drain(..count)),
                Err(e) if is_not_ready(&e) => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    fn read(&mut self) -> io::Result<()> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => self.received.extend_from_slice(&buffer[..count]),
                Err(e) if is_not_ready(&e) => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
            if self.is_persistent() {
                return Ok(());
            }
            if self.received.len() > LENGTH_BYTES + MAX_EXCHANGE_BYTES {
                return Err(ErrorKind::InvalidData.into());
            }
        }
    }

    fn is_persistent(&self) -> bool {
        let flags = length_field(&self.received).unwrap_or(0) & PERSISTENT_BIT;
        self.role == Role::Responder && flags != 0
    }

    fn take_message(&mut self) -> io::Result<Progress> {
        let Some(length) = length_field(&self.received) else {
            return Ok(Progress::Pending);
        };
        if self.is_persistent() {
            return Ok(Progress::Persistent);
        }
        let length = length as usize;
        if length > MAX_EXCHANGE_BYTES {
            return Err(ErrorKind::InvalidData.into());
        }
        let Some(message) = self.received.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(Progress::Pending);
        };
        self.is_message_returned = true;
        Ok(Progress::Received(message.to_vec()))
    }
}

/// Whether the operation has to be repeated later: the stream is not ready or not yet connected.
fn is_not_ready(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::NotConnected
    )
}
