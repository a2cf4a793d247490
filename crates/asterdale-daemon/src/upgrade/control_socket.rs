//! The control socket: binds it and serves its connections, which carry the hello of a new process or a request for an
//! upgrade.

use std::fs;
use std::io;
use std::net::TcpListener;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use asterdale_engine::log::Log;
use asterdale_engine::message::EngineMessage;
use asterdale_hot_restart::message::frame::Payload;
use asterdale_hot_restart::message::{Hello, Outcome, Upgrade};
use crossbeam_channel::{bounded, Receiver, Sender};
use thiserror::Error;

use super::channel::{is_same_user, open_channel, FrameReader, FrameWriter};
use super::old_process;

/// How often the control socket is polled for connections: short compared with an upgrade, which takes seconds.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time that a client has to send its first message after it has connected.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Permission bits of group and others. The socket's folder must have none of them set.
const GROUP_AND_OTHERS_MODE: u32 = 0o077;

/// The control socket can't be bound.
#[derive(Debug, Error)]
#[error("upgrade.control: {}: {problem}", path.display())]
pub struct BindError {
    path: PathBuf,
    #[source]
    problem: BindProblem,
}

/// Why the control socket can't be bound.
#[derive(Debug, Error)]
enum BindProblem {
    #[error("its folder must belong to this user, and be closed to all others (mode 0700)")]
    FolderNotPrivate,
    #[error("another process holds it")]
    InUse,
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Binds the control socket. Its folder must belong to this user and be closed to others. The socket of a process that
/// has ended is replaced.
///
/// # Errors
/// If the folder is open to others, another process serves the socket, or it can't be created.
pub fn bind_control_socket(path: &Path) -> Result<UnixListener, BindError> {
    bind(path).map_err(|problem| BindError {
        path: path.to_owned(),
        problem,
    })
}

fn bind(path: &Path) -> Result<UnixListener, BindProblem> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let metadata = fs::metadata(folder)?;
    let is_own = metadata.uid() == rustix::process::geteuid().as_raw();
    if !is_own || metadata.permissions().mode() & GROUP_AND_OTHERS_MODE != 0 {
        return Err(BindProblem::FolderNotPrivate);
    }
    match UnixStream::connect(path) {
        Ok(_) => return Err(BindProblem::InUse),
        // If the file can't be removed, binding fails with the reason.
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => drop(fs::remove_file(path)),
        Err(_) => {}
    }
    Ok(UnixListener::bind(path)?)
}

/// The connection of a new process that has sent its hello.
pub struct HelloConnection {
    /// Sends to the new process.
    pub writer: FrameWriter,
    /// Receives from the new process.
    pub reader: FrameReader,
    /// The hello, its first message.
    pub hello: Hello,
}

/// Serves the control socket. Has all that this process needs to hand over to a new one.
pub struct ControlServer {
    /// The path of the socket.
    pub path: PathBuf,
    /// The socket.
    pub socket: UnixListener,
    /// The listeners, which are passed to a new process.
    pub listeners: Vec<TcpListener>,
    /// The epoch that this process serves in.
    pub epoch: u64,
    /// Sends to the process that this one took over from.
    pub previous_process: Option<FrameWriter>,
    /// Sends to the engine.
    pub engine: Sender<EngineMessage>,
    /// The log.
    pub log: Log,
}

impl ControlServer {
    /// Accepts and serves connections until the process exits.
    pub fn serve(self) {
        // If this fails, `accept` blocks, which only delays the end of a pause.
        let _ = self.socket.set_nonblocking(true);
        let shared = Arc::new(SharedControl {
            epoch: AtomicU64::new(self.epoch),
            control: self,
            is_upgrading: false.into(),
            is_paused: false.into(),
            hello_sender: Mutex::default(),
        });
        loop {
            if shared.is_paused.load(Ordering::SeqCst) {
                thread::sleep(ACCEPT_POLL_INTERVAL);
                continue;
            }
            match shared.control.socket.accept() {
                Ok((stream, _)) => shared.clone().spawn_connection_thread(stream),
                Err(_) => thread::sleep(ACCEPT_POLL_INTERVAL),
            }
        }
    }
}

/// The control server's state, shared by the threads of its connections.
pub struct SharedControl {
    /// What this process needs to hand over to a new one.
    pub control: ControlServer,
    /// The epoch that this process serves in.
    pub epoch: AtomicU64,
    is_upgrading: AtomicBool,
    /// While a new process serves the control socket, this one accepts no connections.
    is_paused: AtomicBool,
    /// The channel for the next hello; `None` if no new process is expected.
    hello_sender: Mutex<Option<Sender<HelloConnection>>>,
}

impl SharedControl {
    /// Stops accepting control connections because the new process does, or starts again.
    pub fn set_paused(&self, is_paused: bool) {
        self.is_paused.store(is_paused, Ordering::SeqCst);
    }

    /// Starts to expect the hello of a new process. The receiver gets only the first hello.
    pub fn expect_hello(&self) -> Receiver<HelloConnection> {
        let (sender, receiver) = bounded(1);
        *self.lock_hello_sender() = Some(sender);
        receiver
    }

    /// Stops expecting a hello: those that arrive later are dropped. Returns the sender for the next hello, if one was
    /// still expected.
    pub fn take_hello_sender(&self) -> Option<Sender<HelloConnection>> {
        self.lock_hello_sender().take()
    }

    fn lock_hello_sender(&self) -> MutexGuard<'_, Option<Sender<HelloConnection>>> {
        // A poisoned lock needs no handling: a panic on any thread ends the process.
        self.hello_sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a connection on a thread of its own, which ends with the connection.
    fn spawn_connection_thread(self: Arc<SharedControl>, stream: UnixStream) {
        let log = self.control.log.clone();
        let builder = thread::Builder::new().name("greeter".to_owned());
        // If the thread can't be started the connection is closed, which the client detects.
        if let Err(e) = builder.spawn(move || self.serve_connection(stream)) {
            slog::error!(log.lines, "hot restart: control connection dropped"; "error" => %e);
        }
    }

    fn serve_connection(&self, stream: UnixStream) {
        let log = &self.control.log.lines;
        if !is_same_user(&stream) {
            return slog::warn!(
                log,
                "hot restart: control connection of another user rejected"
            );
        }
        let Some((writer, mut reader)) = open_control_connection(stream) else {
            return;
        };
        match reader.read() {
            Ok(Some(Payload::Hello(hello))) => {
                if let Some(hello_sender) = self.take_hello_sender() {
                    // Fails if the attempt has ended meanwhile; the connection is closed then.
                    let _ = hello_sender.send(HelloConnection {
                        writer,
                        reader,
                        hello,
                    });
                }
            }
            Ok(Some(Payload::Upgrade(Upgrade { program }))) => self.upgrade(&program, &writer),
            _ => {}
        }
    }

    /// Hands over to a new process, unless an upgrade is already under way.
    fn upgrade(&self, program: &str, requester: &FrameWriter) {
        if self.is_upgrading.swap(true, Ordering::SeqCst) {
            return send_outcome(requester, Err("an upgrade is under way".to_owned()));
        }
        old_process::hand_over(self, program, requester);
        self.is_upgrading.store(false, Ordering::SeqCst);
    }
}

/// Opens a blocking channel on an accepted connection; `None` if the connection has ended.
fn open_control_connection(stream: UnixStream) -> Option<(FrameWriter, FrameReader)> {
    // Setting a socket option fails only if the connection has ended, which the next read reports.
    let _ = stream.set_nonblocking(false);
    let (writer, reader) = open_channel(stream).ok()?;
    let _ = reader.set_timeout(Some(FIRST_MESSAGE_TIMEOUT));
    Some((writer, reader))
}

/// Sends the result to the requester of the upgrade: the id of the process that serves from now on, or the reason why
/// the old process continues.
pub fn send_outcome(requester: &FrameWriter, result: Result<u32, String>) {
    let outcome = match result {
        Ok(process_id) => Outcome {
            succeeded: true,
            process_id,
            ..Outcome::default()
        },
        Err(reason) => Outcome {
            reason,
            ..Outcome::default()
        },
    };
    // The requester may have exited; the result is also in the log.
    let _ = requester.send(Payload::Outcome(outcome));
}
