//! The requester's side of the control socket: asks the serving process for an upgrade and reports its progress.

use std::io;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use asterdale_hot_restart::message::frame::Payload;
use asterdale_hot_restart::message::Upgrade;
use thiserror::Error;

use super::channel::open_channel;

/// Maximum wait for each message of the serving process: longer than all timeouts of an upgrade together.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(60);

/// The upgrade did not succeed.
#[derive(Debug, Error)]
pub enum RequestUpgradeError {
    /// The control socket can't be reached, written or read.
    #[error("{}: {source}", path.display())]
    ControlSocket {
        /// The path of the socket.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The old process continues to serve, for this reason.
    #[error("the old process carries on: {0}")]
    Failed(String),
    /// The serving process closed the connection.
    #[error("the serving process ended")]
    ServingProcessEnded,
}

/// Asks the process that serves this control socket to hand over to `program`, or to its own program if that is empty.
/// `on_phase` is called with each phase that is reached. Returns the id of the process that serves from then on.
///
/// # Errors
/// If the control socket fails, or the old process continues to serve.
pub fn request_upgrade(
    control: &Path,
    program: &str,
    mut on_phase: impl FnMut(&str),
) -> Result<u32, RequestUpgradeError> {
    let socket_error = |source| RequestUpgradeError::ControlSocket {
        path: control.to_owned(),
        source,
    };
    let stream = UnixStream::connect(control).map_err(socket_error)?;
    let (writer, mut reader) = open_channel(stream).map_err(socket_error)?;
    let program = program.to_owned();
    writer
        .send(Payload::Upgrade(Upgrade { program }))
        .map_err(socket_error)?;
    reader
        .set_timeout(Some(MESSAGE_TIMEOUT))
        .map_err(socket_error)?;
    loop {
        match reader.read().map_err(socket_error)? {
            Some(Payload::Progress(progress)) => on_phase(&progress.phase),
            Some(Payload::Outcome(outcome)) if outcome.succeeded => return Ok(outcome.process_id),
            Some(Payload::Outcome(outcome)) => {
                return Err(RequestUpgradeError::Failed(outcome.reason))
            }
            Some(_) => {}
            None => return Err(RequestUpgradeError::ServingProcessEnded),
        }
    }
}
