//! One HTTP/1.1 exchange on a non-blocking connection of its own: a request goes out, and one reply comes back. Dropping
//! it closes the connection, which gives the request up.

use std::io::{self, Read, Write};
use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::{Interest, Poll, Token};

use crate::http::{Collector, Reply};

/// An exchange under way.
pub(crate) struct Exchange {
    stream: TcpStream,
    connected: bool,
    /// What is not written of the request.
    unwritten: Vec<u8>,
    reply: Collector,
}

impl Exchange {
    /// Begins to connect. The poll tells by this token when [`Exchange::go_on`] is to be called.
    pub(crate) fn begin(
        poll: &Poll,
        token: Token,
        at: SocketAddr,
        request: Vec<u8>,
    ) -> io::Result<Exchange> {
        let mut stream = TcpStream::connect(at)?;
        let _ = stream.set_nodelay(true);
        poll.registry()
            .register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Exchange {
            stream,
            connected: false,
            unwritten: request,
            reply: Collector::default(),
        })
    }

    /// The connection was made: from then on the peer may have read something.
    pub(crate) fn connected(&self) -> bool {
        self.connected
    }

    /// Goes on as far as it can without waiting; the reply, once it is whole.
    pub(crate) fn go_on(&mut self) -> io::Result<Option<Reply>> {
        if !self.connected && !self.connect()? {
            return Ok(None);
        }
        if !self.write()? {
            return Ok(None);
        }
        self.read()
    }

    fn connect(&mut self) -> io::Result<bool> {
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        match self.stream.peer_addr() {
            Ok(_) => self.connected = true,
            Err(e) if e.kind() == io::ErrorKind::NotConnected => {}
            Err(e) => return Err(e),
        }
        Ok(self.connected)
    }

    fn write(&mut self) -> io::Result<bool> {
        while !self.unwritten.is_empty() {
            match self.stream.write(&self.unwritten) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => drop(self.unwritten.drain(..count)),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    fn read(&mut self) -> io::Result<Option<Reply>> {
        let mut chunk = [0; 4096];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    if let Some(reply) = self.reply.take(&chunk[..count])? {
                        return Ok(Some(reply));
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(e) => return Err(e),
            }
        }
    }
}
