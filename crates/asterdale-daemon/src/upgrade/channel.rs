//! A channel between two processes: frames and descriptors over a Unix socket.

use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use asterdale_hot_restart::frame::{encode, FrameDecoder, STATE_CHUNK_BYTES};
use asterdale_hot_restart::message::frame::Payload;
use asterdale_hot_restart::message::{Release, StateChunk};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};

/// Maximum number of descriptors in one message: two listeners, the control socket, and some in reserve.
const MAX_DESCRIPTORS: usize = 8;
/// Maximum time to write a frame. If it takes longer, the other process is treated as ended.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The shortest read timeout: a socket option of zero would mean no limit.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The writing half of a channel. Clones may write concurrently: frames are not interleaved.
#[derive(Clone)]
pub struct FrameWriter {
    stream: Arc<UnixStream>,
    write_lock: Arc<Mutex<()>>,
}

/// The reading half of a channel.
pub struct FrameReader {
    stream: Arc<UnixStream>,
    decoder: FrameDecoder,
    /// Descriptors that have arrived with the bytes read so far.
    pub descriptors: Vec<OwnedFd>,
}

/// Opens a channel on a connection.
///
/// # Errors
/// If the write timeout can't be set.
pub fn open_channel(stream: UnixStream) -> io::Result<(FrameWriter, FrameReader)> {
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let stream = Arc::new(stream);
    let writer = FrameWriter {
        stream: stream.clone(),
        write_lock: Arc::default(),
    };
    Ok((
        writer,
        FrameReader {
            stream,
            decoder: FrameDecoder::default(),
            descriptors: Vec::new(),
        },
    ))
}

impl FrameWriter {
    /// Writes a frame. Once it has succeeded the frame is in the other process's receive buffer, even if this process
    /// ends.
    pub fn send(&self, payload: Payload) -> io::Result<()> {
        let bytes = encode(payload);
        let _guard = self
            .write_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        (&*self.stream).write_all(&bytes)
    }

    /// Writes a frame together with descriptors, at most [`MAX_DESCRIPTORS`].
    pub fn send_with(&self, payload: Payload, descriptors: &[impl AsFd]) -> io::Result<()> {
        let bytes = encode(payload);
        let descriptors: Vec<_> = descriptors.iter().map(AsFd::as_fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        if !ancillary.push(SendAncillaryMessage::ScmRights(&descriptors)) {
            return Err(io::Error::other("too many descriptors"));
        }
        let _guard = self
            .write_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let sent = sendmsg(
            &*self.stream,
            &[IoSlice::new(&bytes)],
            &mut ancillary,
            SendFlags::NOSIGNAL,
        )?;
        (&*self.stream).write_all(&bytes[sent..])
    }

    /// Writes a state in chunks. `payload` makes the frame of a chunk.
    pub fn send_state(
        &self,
        state: &[u8],
        payload: impl Fn(StateChunk) -> Payload,
        epoch: u64,
    ) -> io::Result<()> {
        let mut chunks = state.chunks(STATE_CHUNK_BYTES).peekable();
        while let Some(chunk) = chunks.next() {
            self.send(payload(StateChunk {
                epoch,
                bytes: chunk.to_vec(),
                is_last: chunks.peek().is_none(),
            }))?;
        }
        Ok(())
    }

    /// Notifies the old process that it is no longer needed.
    pub fn send_release(&self) {
        // An error is ignored: an old process that has ended needs no notice.
        let _ = self.send(Payload::Release(Release {}));
    }

    /// Shuts both directions down.
    pub fn shut_down(&self) {
        // Fails only if the connection has ended.
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

impl FrameReader {
    /// Sets how long [`FrameReader::read`] waits, at least a millisecond; `None` for no limit.
    pub fn set_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
        self.stream
            .set_read_timeout(timeout.map(|time| time.max(MIN_READ_TIMEOUT)))
    }

    /// Reads the next message; `None` at the end of the connection.
    ///
    /// # Errors
    /// If reading fails, the bytes are not a valid frame, or nothing arrived in time (see [`is_timeout`]).
    pub fn read(&mut self) -> io::Result<Option<Payload>> {
        loop {
            match self.decoder.next_message() {
                Ok(Some(payload)) => return Ok(Some(payload)),
                Ok(None) => {}
                Err(e) => return Err(io::Error::new(io::ErrorKind::InvalidData, e)),
            }
            let mut bytes = vec![0; READ_BUFFER_BYTES];
            let count = if self.descriptors.len() < MAX_DESCRIPTORS {
                self.receive(&mut bytes)?
            } else {
                (&*self.stream).read(&mut bytes)?
            };
            if count == 0 {
                return Ok(None);
            }
            self.decoder.push(&bytes[..count]);
        }
    }

    /// Reads bytes, and the descriptors that arrive with them.
    fn receive(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        loop {
            let mut space =
                [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
            let mut ancillary = RecvAncillaryBuffer::new(&mut space);
            let received = recvmsg(
                &*self.stream,
                &mut [io::IoSliceMut::new(bytes)],
                &mut ancillary,
                RecvFlags::CMSG_CLOEXEC,
            );
            for message in ancillary.drain() {
                if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                    self.descriptors.extend(descriptors);
                }
            }
            match received {
                Ok(received) => return Ok(received.bytes),
                Err(rustix::io::Errno::INTR) => {}
                Err(e) => return Err(e.into()),
            }
        }
    }
}

/// Whether reading failed because nothing arrived in time.
pub fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Whether the process at the other end belongs to the same user as this one.
pub fn is_same_user(stream: &UnixStream) -> bool {
    let peer = rustix::net::sockopt::socket_peercred(stream);
    peer.is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

/// The address of a listener, by which the new process identifies the listener; empty if it has none.
pub fn listener_address(listener: &TcpListener) -> String {
    listener
        .local_addr()
        .map(|address| address.to_string())
        .unwrap_or_default()
}
