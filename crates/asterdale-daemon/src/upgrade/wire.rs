//! Frames and descriptors over a Unix socket, and replies as frames carry them.

use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use asterdale_engine::message::{Reply, ResponseRoute};
use asterdale_hot_restart::frame::{encode, Incoming, PART};
use asterdale_hot_restart::message::frame::What;
use asterdale_hot_restart::message::{Release, Reply as ReplyFrame, State, Way as WayFrame};
use asterdale_identity::DenialStatus;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};

/// Descriptors that pass at once: two listeners and the control socket, with room for more.
const MOST_DESCRIPTORS: usize = 8;
/// A frame that can't be written for so long is taken for the end of the other side.
const PATIENCE: Duration = Duration::from_secs(2);

/// One end of a connection between two processes. Whoever writes holds it for one frame.
#[derive(Clone)]
pub struct FrameWriter {
    stream: Arc<UnixStream>,
    writing: Arc<Mutex<()>>,
}

/// What comes in over it.
pub struct FrameReader {
    stream: Arc<UnixStream>,
    incoming: Incoming,
    /// Descriptors that came with what was read.
    pub descriptors: Vec<OwnedFd>,
}

/// Both directions of a connection.
pub fn open(stream: UnixStream) -> io::Result<(FrameWriter, FrameReader)> {
    stream.set_write_timeout(Some(PATIENCE))?;
    let stream = Arc::new(stream);
    let line = FrameWriter {
        stream: stream.clone(),
        writing: Arc::default(),
    };
    Ok((
        line,
        FrameReader {
            stream,
            incoming: Incoming::default(),
            descriptors: Vec::new(),
        },
    ))
}

impl FrameWriter {
    /// Writes a frame. Once this has returned well it lies in the other's buffer, whatever becomes of this process.
    pub fn send(&self, what: What) -> io::Result<()> {
        let bytes = encode(what);
        let _writing = self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        (&*self.stream).write_all(&bytes)
    }

    /// Writes a frame that brings descriptors.
    pub fn send_with(&self, what: What, descriptors: &[impl AsFd]) -> io::Result<()> {
        let bytes = encode(what);
        let descriptors: Vec<_> = descriptors.iter().map(AsFd::as_fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_DESCRIPTORS))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        if !ancillary.push(SendAncillaryMessage::ScmRights(&descriptors)) {
            return Err(io::Error::other("too many descriptors"));
        }
        let _writing = self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        let sent = sendmsg(
            &*self.stream,
            &[IoSlice::new(&bytes)],
            &mut ancillary,
            SendFlags::NOSIGNAL,
        )?;
        (&*self.stream).write_all(&bytes[sent..])
    }

    /// Writes a state in parts.
    pub fn send_state(
        &self,
        state: &[u8],
        frame: impl Fn(State) -> What,
        epoch: u64,
    ) -> io::Result<()> {
        let parts = state.chunks(PART).count();
        for (n, part) in state.chunks(PART).enumerate() {
            self.send(frame(State {
                epoch,
                part: part.to_vec(),
                last: n + 1 == parts,
            }))?;
        }
        Ok(())
    }

    /// Tells a guardian that it is not needed any more.
    pub fn send_release(&self) {
        let _ = self.send(What::Release(Release {}));
    }

    /// Ends both directions.
    pub fn end(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

impl FrameReader {
    /// How long to wait for more; `None` for ever.
    pub fn within(&self, time: Option<Duration>) -> io::Result<()> {
        self.stream
            .set_read_timeout(time.map(|time| time.max(Duration::from_millis(1))))
    }

    /// The next frame. `Ok(None)` at the end; an error of the kind `WouldBlock` when nothing came in time.
    pub fn next(&mut self) -> io::Result<Option<What>> {
        loop {
            match self.incoming.take() {
                Ok(Some(what)) => return Ok(Some(what)),
                Ok(None) => {}
                Err(bad) => {
                    return Err(io::Error::new(
                        io::ErrorKind::InvalidData,
                        format!("{bad:?}"),
                    ))
                }
            }
            let mut bytes = vec![0; 64 * 1024];
            let count = if self.descriptors.len() < MOST_DESCRIPTORS {
                let mut space =
                    [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_DESCRIPTORS))];
                let mut ancillary = RecvAncillaryBuffer::new(&mut space);
                let mut pieces = [io::IoSliceMut::new(&mut bytes)];
                let got = recvmsg(
                    &*self.stream,
                    &mut pieces,
                    &mut ancillary,
                    RecvFlags::CMSG_CLOEXEC,
                );
                for message in ancillary.drain() {
                    if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                        self.descriptors.extend(descriptors);
                    }
                }
                match got {
                    Ok(got) => got.bytes,
                    Err(e) if e == rustix::io::Errno::INTR => continue,
                    Err(e) => return Err(e.into()),
                }
            } else {
                (&*self.stream).read(&mut bytes)?
            };
            if count == 0 {
                return Ok(None);
            }
            self.incoming.add(&bytes[..count]);
        }
    }
}

/// Whether the other side belongs to this process's user.
pub fn same_user(stream: &UnixStream) -> bool {
    let peer = rustix::net::sockopt::socket_peercred(stream);
    peer.is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

/// Where a listener listens, as text: by it a successor knows which is which.
pub fn place(listener: &TcpListener) -> String {
    listener
        .local_addr()
        .map(|at| at.to_string())
        .unwrap_or_default()
}

/// A way as frames carry it.
pub fn way_frame(way: ResponseRoute) -> Option<WayFrame> {
    Some(WayFrame {
        connection: way.connection,
        request: way.request.into(),
    })
}

/// A way that a frame brought.
pub fn way(frame: Option<WayFrame>) -> Option<ResponseRoute> {
    let frame = frame?;
    Some(ResponseRoute {
        connection: frame.connection,
        request: frame.request.try_into().ok()?,
    })
}

/// A reply as frames carry it.
pub fn reply_frame(way: ResponseRoute, reply: &Reply) -> ReplyFrame {
    let (kind, number, body) = match reply {
        Reply::Served(body) => (0, 0, body.to_vec()),
        Reply::Rejected {
            is_final: last,
            retry_after_ms: stay_away_ms,
        } => (1, stay_away_ms << 1 | u64::from(*last), Vec::new()),
        Reply::Overloaded => (2, 0, Vec::new()),
        Reply::Failed | Reply::Unknown { .. } => (3, 0, Vec::new()),
        Reply::Malformed => (4, 0, Vec::new()),
        Reply::CallerGone => (5, 0, Vec::new()),
        Reply::HealthChecked(good) => (6, u64::from(*good), Vec::new()),
        Reply::Denied {
            kind,
            retry_after_ms: wait_ms,
        } => {
            let kind = match kind {
                DenialStatus::Unauthenticated => 7,
                DenialStatus::Forbidden => 8,
                DenialStatus::QuotaExceeded => 9,
                DenialStatus::Unavailable => 10,
            };
            (kind, *wait_ms, Vec::new())
        }
    };
    ReplyFrame {
        way: way_frame(way),
        kind,
        body,
        number,
    }
}

/// A reply that a frame brought. One of a kind that is not known here claims nothing.
pub fn reply(frame: ReplyFrame) -> Option<(ResponseRoute, Reply)> {
    let number = frame.number;
    let denied = |kind| Reply::Denied {
        kind,
        retry_after_ms: number,
    };
    let reply = match frame.kind {
        0 => Reply::Served(frame.body.into()),
        1 => Reply::Rejected {
            is_final: number & 1 == 1,
            retry_after_ms: number >> 1,
        },
        2 => Reply::Overloaded,
        4 => Reply::Malformed,
        5 => Reply::CallerGone,
        6 => Reply::HealthChecked(number == 1),
        7 => denied(DenialStatus::Unauthenticated),
        8 => denied(DenialStatus::Forbidden),
        9 => denied(DenialStatus::QuotaExceeded),
        10 => denied(DenialStatus::Unavailable),
        _ => Reply::Failed,
    };
    Some((way(frame.way)?, reply))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn replies_and_ways_come_back_from_their_frames() {
        let denied = |kind| Reply::Denied {
            kind,
            retry_after_ms: 7,
        };
        for reply in [
            Reply::Served([1, 2].into()),
            Reply::Rejected {
                is_final: true,
                retry_after_ms: 900,
            },
            Reply::Rejected {
                is_final: false,
                retry_after_ms: 0,
            },
            Reply::Overloaded,
            Reply::Failed,
            Reply::Malformed,
            Reply::CallerGone,
            Reply::HealthChecked(true),
            Reply::HealthChecked(false),
            denied(DenialStatus::Unauthenticated),
            denied(DenialStatus::Forbidden),
            denied(DenialStatus::QuotaExceeded),
            denied(DenialStatus::Unavailable),
        ] {
            assert_eq!(
                super::reply(reply_frame((1 << 40, 9).into(), &reply)),
                Some(((1 << 40, 9).into(), reply))
            );
        }
        assert_eq!(
            way(Some(WayFrame {
                connection: 1,
                request: 70_000
            })),
            None
        );
    }

    #[test]
    fn a_descriptor_passes_with_its_frame_and_other_frames_follow() {
        let (one, two) = UnixStream::pair().unwrap();
        let ((line, _), (_, mut hearing)) = (open(one).unwrap(), open(two).unwrap());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let offer = asterdale_hot_restart::message::Offer {
            epoch: 1,
            listeners: vec![place(&listener)],
        };
        line.send_with(What::Offer(offer.clone()), &[&listener])
            .unwrap();
        // More than lies in a socket: it is read while it is written.
        let writer = line.clone();
        let writing =
            std::thread::spawn(move || writer.send_state(&vec![7; 3 * PART], What::State, 4));
        assert_eq!(hearing.next().unwrap(), Some(What::Offer(offer)));
        let passed = TcpListener::from(hearing.descriptors.pop().unwrap());
        assert_eq!(place(&passed), place(&listener));
        let mut all = Vec::new();
        while let Some(What::State(state)) = hearing.next().unwrap() {
            all.extend(state.part);
            if state.last {
                break;
            }
        }
        assert_eq!(all.len(), 3 * PART);
        writing.join().unwrap().unwrap();
        line.end();
        assert_eq!(hearing.next().unwrap(), None);
    }
}
