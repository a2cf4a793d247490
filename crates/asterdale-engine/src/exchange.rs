//! One HTTP/1.1 exchange on its own non-blocking connection: one request, one response. Dropping the exchange closes
//! the connection, which abandons the request.

use std::io::{self, Read, Write};
use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::{Interest, Poll, Token};

use crate::http::{Response, ResponseBuffer};

/// The size of the read buffer, in bytes: responses are seldom longer.
const CHUNK_BYTES: usize = 4096;

/// An exchange in progress.
pub(crate) struct Exchange {
    stream: TcpStream,
    is_connected: bool,
    /// The part of the request that is not yet written.
    unwritten: Vec<u8>,
    response: ResponseBuffer,
}

impl Exchange {
    /// Starts connecting. Events of the poll with this token indicate when to call [`Exchange::advance`].
    ///
    /// # Errors
    /// The system cannot create the connection or register it with the poll.
    pub(crate) fn begin(
        poll: &Poll,
        token: Token,
        address: SocketAddr,
        request: Vec<u8>,
    ) -> io::Result<Exchange> {
        let mut stream = TcpStream::connect(address)?;
        // Best effort: without this option the exchange is only slower.
        let _ = stream.set_nodelay(true);
        poll.registry()
            .register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Exchange {
            stream,
            is_connected: false,
            unwritten: request,
            response: ResponseBuffer::default(),
        })
    }

    /// Whether the connection is established. From then on the peer may have read part of the request.
    pub(crate) fn connected(&self) -> bool {
        self.is_connected
    }

    /// The bytes of the response that are received.
    pub(crate) fn received_bytes(&self) -> usize {
        self.response.len()
    }

    /// Makes as much progress as possible without blocking. Returns the response once it is complete.
    ///
    /// # Errors
    /// The connection fails, or the response is malformed.
    pub(crate) fn advance(&mut self) -> io::Result<Option<Response>> {
        if !self.is_connected && !self.connect()? {
            return Ok(None);
        }
        if !self.write()? {
            return Ok(None);
        }
        self.read()
    }

    /// Returns whether the connection is established.
    fn connect(&mut self) -> io::Result<bool> {
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        match self.stream.peer_addr() {
            Ok(_) => self.is_connected = true,
            Err(e) if e.kind() == io::ErrorKind::NotConnected => {}
            Err(e) => return Err(e),
        }
        Ok(self.is_connected)
    }

    /// Writes as much of the request as possible. Returns whether all of it is written.
    fn write(&mut self) -> io::Result<bool> {
        while !self.unwritten.is_empty() {
            match self.stream.write(&self.unwritten) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => drop(self.unwritten.drain(..written)),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    fn read(&mut self) -> io::Result<Option<Response>> {
        let mut chunk = [0; CHUNK_BYTES];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(length) => {
                    if let Some(response) = self.response.push(&chunk[..length])? {
                        return Ok(Some(response));
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(e) => return Err(e),
            }
        }
    }
}
