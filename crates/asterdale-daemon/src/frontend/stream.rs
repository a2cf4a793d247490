//! The byte stream of a connection: a plain socket, or TLS over one.
//!
//! The event loop's thread reads and the writer's thread writes, independently of each other. Neither blocks.

use std::io::{self, IoSlice, Read};
use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::Arc;

use asterdale_engine::message::Certificate;
use asterdale_engine::vectored_write;

#[cfg(feature = "tls")]
use super::tls;

/// A connection's byte stream.
pub enum ClientStream {
    /// TCP without encryption.
    Plain(TcpStream),
    /// TLS, with a client that has presented a certificate.
    #[cfg(feature = "tls")]
    Tls(Box<tls::TlsSession>),
}

impl ClientStream {
    fn socket(&self) -> &TcpStream {
        match self {
            ClientStream::Plain(stream) => stream,
            #[cfg(feature = "tls")]
            ClientStream::Tls(session) => session.socket(),
        }
    }

    /// Reads what has arrived. Returns 0 at the end of the stream.
    ///
    /// # Errors
    /// `WouldBlock` if nothing has arrived; any other error means that the connection failed.
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        match self {
            ClientStream::Plain(stream) => (&mut &*stream).read(buffer),
            #[cfg(feature = "tls")]
            ClientStream::Tls(session) => session.read(buffer),
        }
    }

    /// Writes all pieces, as far as the socket accepts them now.
    ///
    /// # Errors
    /// Carries the number of bytes that must not be written again. With TLS these are all bytes: they are already
    /// encrypted, and go out with the next write, which may be empty.
    pub fn write(&self, pieces: &mut [IoSlice<'_>]) -> Result<(), (usize, io::Error)> {
        match self {
            ClientStream::Plain(stream) => vectored_write::write(stream, pieces),
            #[cfg(feature = "tls")]
            ClientStream::Tls(session) => session.write(pieces),
        }
    }

    /// The client's certificate, once the TLS handshake is complete.
    pub fn certificate(&self) -> Option<Arc<Certificate>> {
        match self {
            ClientStream::Plain(_) => None,
            #[cfg(feature = "tls")]
            ClientStream::Tls(session) => session.certificate(),
        }
    }

    /// Ends the sending direction: with TLS by a close_notify alert, then by shutting the socket's write side down.
    pub fn finish(&self) {
        #[cfg(feature = "tls")]
        if let ClientStream::Tls(session) = self {
            session.finish();
        }
        self.shutdown(Shutdown::Write);
    }

    /// Shuts the socket down in one direction or both.
    pub fn shutdown(&self, how: Shutdown) {
        // Fails only if the peer has already closed the connection; then there is nothing to shut down.
        let _ = self.socket().shutdown(how);
    }

    /// Writes bytes that are already encrypted, as far as the socket accepts them now. Returns `false` if the
    /// connection failed.
    pub fn flush(&self) -> bool {
        match self {
            ClientStream::Plain(_) => true,
            #[cfg(feature = "tls")]
            ClientStream::Tls(_) => match self.write(&mut []) {
                Err((_, e)) => e.kind() == io::ErrorKind::WouldBlock,
                Ok(()) => true,
            },
        }
    }

    /// Bytes that must not be written again and that the socket has not accepted: encrypted ones.
    pub fn unsent_bytes(&self) -> usize {
        match self {
            ClientStream::Plain(_) => 0,
            #[cfg(feature = "tls")]
            ClientStream::Tls(session) => session.unsent_bytes(),
        }
    }

    /// Whether the stream is unencrypted.
    pub fn is_plain(&self) -> bool {
        matches!(self, ClientStream::Plain(_))
    }

    /// The socket's descriptor, for the poll.
    pub fn fd(&self) -> RawFd {
        self.socket().as_raw_fd()
    }
}
