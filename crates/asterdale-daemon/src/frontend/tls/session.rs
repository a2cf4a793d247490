//! The TLS session of one connection, which two threads use: the event loop reads, the writer writes.
//!
//! A session's cryptographic state is shared by both directions. Its lock is taken only for computation, never during a
//! system call: the event loop reads from the socket without the lock and then takes it to decrypt; the writer takes it
//! to encrypt, and writes to the socket without it. Encrypted bytes that are not written yet are kept in order behind a
//! second lock, which is held while writing. The socket is non-blocking, so no thread waits for it while holding a
//! lock.

use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use asterdale_engine::message::Certificate;
use rustls::ServerConnection;

use super::certificate;

/// Upper bound of encrypted bytes that one read takes. Their plain text always fits into the session's buffer.
const READ_BYTES: usize = 4096;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic anywhere ends the process, so a poisoned lock is never seen.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The TLS session of one connection.
pub struct TlsSession {
    stream: TcpStream,
    state: Mutex<ServerConnection>,
    /// Encrypted bytes that are not written yet.
    unsent: Mutex<Vec<u8>>,
    /// Used only by the event loop's thread.
    read_buffer: Mutex<Vec<u8>>,
    certificate: OnceLock<Option<Arc<Certificate>>>,
}

impl TlsSession {
    /// A session on this socket.
    pub fn new(stream: TcpStream, state: ServerConnection) -> TlsSession {
        TlsSession {
            stream,
            state: Mutex::new(state),
            unsent: Mutex::default(),
            read_buffer: Mutex::new(vec![0; READ_BYTES]),
            certificate: OnceLock::new(),
        }
    }

    /// The socket.
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// See [`ClientStream::read`](crate::frontend::stream::ClientStream::read).
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut encrypted = lock(&self.read_buffer);
        loop {
            match lock(&self.state).reader().read(buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(0),
                result => return result,
            }
            let count = (&self.stream).read(&mut encrypted)?;
            if count == 0 {
                return Ok(0);
            }
            let decrypted = self.decrypt(&encrypted[..count]);
            // Flushed even after an error, to send the alert that tells the client the reason. What the socket does not
            // accept now is written when the socket becomes writable.
            let flushed = self.flush();
            decrypted?;
            match flushed {
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return Err(e),
                _ => {}
            }
        }
    }

    fn decrypt(&self, mut encrypted: &[u8]) -> io::Result<()> {
        let mut state = lock(&self.state);
        while !encrypted.is_empty() {
            state.read_tls(&mut encrypted)?;
            state
                .process_new_packets()
                .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        }
        if !state.is_handshaking() {
            self.certificate.get_or_init(|| {
                let presented = state.peer_certificates()?.first();
                presented.and_then(certificate::extract).map(Arc::new)
            });
        }
        Ok(())
    }

    /// See [`ClientStream::write`](crate::frontend::stream::ClientStream::write).
    pub fn write(&self, pieces: &[IoSlice<'_>]) -> Result<(), (usize, io::Error)> {
        let total = pieces.iter().map(|piece| piece.len()).sum();
        self.encrypt(pieces).map_err(|e| (0, e))?;
        self.flush().map_err(|e| (total, e))
    }

    fn encrypt(&self, pieces: &[IoSlice<'_>]) -> io::Result<()> {
        let mut state = lock(&self.state);
        let mut writer = state.writer();
        pieces.iter().try_for_each(|piece| writer.write_all(piece))
    }

    /// Writes encrypted bytes until none are left or the socket accepts no more.
    fn flush(&self) -> io::Result<()> {
        let mut unsent = lock(&self.unsent);
        loop {
            self.take_encrypted(&mut unsent)?;
            if unsent.is_empty() {
                return Ok(());
            }
            match (&self.stream).write(&unsent) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => drop(unsent.drain(..count)),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Encrypted bytes that the socket has not accepted.
    pub fn unsent_bytes(&self) -> usize {
        lock(&self.unsent).len()
    }

    /// Moves what the session has encrypted to the end of `unsent`.
    fn take_encrypted(&self, unsent: &mut Vec<u8>) -> io::Result<()> {
        let mut state = lock(&self.state);
        while state.wants_write() {
            state.write_tls(unsent)?;
        }
        Ok(())
    }

    /// Sends a close_notify alert: nothing more will be written.
    pub fn finish(&self) {
        lock(&self.state).send_close_notify();
        // The connection is about to be closed: if the alert can't be sent now, its peer sees the end of the stream.
        let _ = self.flush();
    }

    /// The client's certificate, once the handshake is complete.
    pub fn certificate(&self) -> Option<Arc<Certificate>> {
        self.certificate.get().cloned().flatten()
    }
}
