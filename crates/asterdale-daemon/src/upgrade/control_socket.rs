//! The control socket: binds it, and serves the new process's hello and requests for an upgrade.

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

/// The time between two looks at the control socket: short against the seconds of an upgrade.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(20);
/// The time within which whoever connects has to send its first message.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Permissions of others than the owner, of which the socket's folder must have none.
const OTHERS_MODE: u32 = 0o077;

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
    OpenFolder,
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
    if !is_own || metadata.permissions().mode() & OTHERS_MODE != 0 {
        return Err(BindProblem::OpenFolder);
    }
    match UnixStream::connect(path) {
        Ok(_) => return Err(BindProblem::InUse),
        // If it can't be removed, binding fails and says why.
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => drop(fs::remove_file(path)),
        Err(_) => {}
    }
    Ok(UnixListener::bind(path)?)
}

/// A new process that has said hello.
pub struct Greeting {
    /// To the new process.
    pub writer: FrameWriter,
    /// From the new process.
    pub reader: FrameReader,
    /// What it has said.
    pub hello: Hello,
}

/// Serves the control socket, and holds what a process needs to hand over.
pub struct ControlServer {
    /// The path of the socket.
    pub path: PathBuf,
    /// The socket.
    pub socket: UnixListener,
    /// The listeners, which a new process is given.
    pub listeners: Vec<TcpListener>,
    /// The epoch that this process serves in.
    pub epoch: u64,
    /// To the process that this one took over from.
    pub previous_process: Option<FrameWriter>,
    /// To the engine.
    pub engine: Sender<EngineMessage>,
    /// The log.
    pub log: Log,
}

impl ControlServer {
    /// Serves whoever connects, for the life of the process.
    pub fn serve(self) {
        // A socket that stays blocking only delays the end of a pause.
        let _ = self.socket.set_nonblocking(true);
        let shared = Arc::new(SharedControl {
            epoch: AtomicU64::new(self.epoch),
            control: self,
            is_upgrading: false.into(),
            is_paused: false.into(),
            expected_greeting: Mutex::default(),
        });
        loop {
            if shared.is_paused.load(Ordering::SeqCst) {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            }
            match shared.control.socket.accept() {
                Ok((stream, _)) => shared.clone().spawn_greeter(stream),
                Err(_) => thread::sleep(ACCEPT_INTERVAL),
            }
        }
    }
}

/// The control server's state, shared by the threads of its connections.
pub struct SharedControl {
    /// What a process needs to hand over.
    pub control: ControlServer,
    /// The epoch that this process serves in.
    pub epoch: AtomicU64,
    is_upgrading: AtomicBool,
    /// A new process serves the control socket: this one accepts nothing from it.
    is_paused: AtomicBool,
    /// Where the next hello goes, while a new process is awaited.
    expected_greeting: Mutex<Option<Sender<Greeting>>>,
}

impl SharedControl {
    /// Leaves the control socket to the new process, or takes it back.
    pub fn set_paused(&self, is_paused: bool) {
        self.is_paused.store(is_paused, Ordering::SeqCst);
    }

    /// Expects the hello of a new process. Only the first one is received.
    pub fn expect_greeting(&self) -> Receiver<Greeting> {
        let (sender, receiver) = bounded(1);
        *self.lock_expected_greeting() = Some(sender);
        receiver
    }

    /// Drops hellos from now on, and returns where the next one would have gone.
    pub fn take_expected_greeting(&self) -> Option<Sender<Greeting>> {
        self.lock_expected_greeting().take()
    }

    fn lock_expected_greeting(&self) -> MutexGuard<'_, Option<Sender<Greeting>>> {
        // A panic anywhere ends the program.
        self.expected_greeting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a connection on a thread of its own, which ends with the connection.
    fn spawn_greeter(self: Arc<SharedControl>, stream: UnixStream) {
        let log = self.control.log.clone();
        let greeter = thread::Builder::new().name("greeter".to_owned());
        // Without a thread the connection is closed, which whoever connected sees.
        if let Err(e) = greeter.spawn(move || self.greet(stream)) {
            slog::error!(log.lines, "hot restart: control connection dropped"; "error" => %e);
        }
    }

    fn greet(&self, stream: UnixStream) {
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
                if let Some(greetings) = self.take_expected_greeting() {
                    // The attempt may have ended meanwhile: then the connection is closed.
                    let _ = greetings.send(Greeting {
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

    /// Hands over to a new process, unless that is under way.
    fn upgrade(&self, program: &str, requester: &FrameWriter) {
        if self.is_upgrading.swap(true, Ordering::SeqCst) {
            return send_outcome(requester, Err("an upgrade is under way".to_owned()));
        }
        old_process::hand_over(self, program, requester);
        self.is_upgrading.store(false, Ordering::SeqCst);
    }
}

/// A blocking channel on an accepted connection; `None` if it has ended.
fn open_control_connection(stream: UnixStream) -> Option<(FrameWriter, FrameReader)> {
    // If a socket option can't be set the connection has ended, which reading shows.
    let _ = stream.set_nonblocking(false);
    let (writer, reader) = open_channel(stream).ok()?;
    let _ = reader.set_timeout(Some(FIRST_MESSAGE_TIMEOUT));
    Some((writer, reader))
}

/// Sends the result to whoever requested the upgrade: the process that serves from now on, or the reason why nothing has
/// changed.
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
    // The requester may have ended: the log has the result, too.
    let _ = requester.send(Payload::Outcome(outcome));
}
