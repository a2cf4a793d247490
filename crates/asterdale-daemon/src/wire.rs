//! What a connection's bytes go over: a plain socket, or TLS on one. The edge's thread reads, the writer's writes, each
//! as if it were alone; neither waits.

use std::io::{self, IoSlice, Read};
use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::Arc;

use asterdale_engine::message::Certificate;
use asterdale_engine::vectored_write;

#[cfg(feature = "tls")]
use crate::tls;

/// A connection's way in and out.
pub enum Wire {
    /// Bytes go as they are.
    Plain(TcpStream),
    /// Through TLS, with a client that has shown a certificate.
    #[cfg(feature = "tls")]
    Tls(Box<tls::Session>),
}

impl Wire {
    fn socket(&self) -> &TcpStream {
        match self {
            Wire::Plain(stream) => stream,
            #[cfg(feature = "tls")]
            Wire::Tls(session) => session.socket(),
        }
    }

    /// Reads what there is; 0 at the end, and `WouldBlock` where nothing has come.
    pub fn read(&self, into: &mut [u8]) -> io::Result<usize> {
        match self {
            Wire::Plain(stream) => (&mut &*stream).read(into),
            #[cfg(feature = "tls")]
            Wire::Tls(session) => session.read(into),
        }
    }

    /// Writes all of the pieces, as far as the socket takes them now. An error comes with how many of their bytes need not be written again: with
    /// TLS all, as they lie encrypted already and go out with the next write, an empty one if need be.
    pub fn write(&self, pieces: &mut [IoSlice<'_>]) -> Result<(), (usize, io::Error)> {
        match self {
            Wire::Plain(stream) => vectored_write::write(stream, pieces),
            #[cfg(feature = "tls")]
            Wire::Tls(session) => session.write(pieces),
        }
    }

    /// What the client has shown, once it has.
    pub fn certificate(&self) -> Option<Arc<Certificate>> {
        match self {
            Wire::Plain(_) => None,
            #[cfg(feature = "tls")]
            Wire::Tls(session) => session.certificate(),
        }
    }

    /// Nothing more will be written: says so, as the protocol has it.
    pub fn finish(&self) {
        #[cfg(feature = "tls")]
        if let Wire::Tls(session) = self {
            session.finish();
        }
        self.shutdown(Shutdown::Write);
    }

    /// Ends a direction of the socket, or both.
    pub fn shutdown(&self, how: Shutdown) {
        let _ = self.socket().shutdown(how);
    }

    /// Writes what lies encrypted, where anything does, as far as the socket takes it now. `false` if it broke.
    pub fn flush(&self) -> bool {
        match self {
            Wire::Plain(_) => true,
            #[cfg(feature = "tls")]
            Wire::Tls(_) => match self.write(&mut []) {
                Err((_, e)) => e.kind() == io::ErrorKind::WouldBlock,
                Ok(()) => true,
            },
        }
    }

    /// Bytes go as they are.
    pub fn is_plain(&self) -> bool {
        matches!(self, Wire::Plain(_))
    }

    /// The socket's descriptor.
    pub fn fd(&self) -> RawFd {
        self.socket().as_raw_fd()
    }
}
