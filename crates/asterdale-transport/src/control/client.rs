//! Clients of the control socket.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::Value;

use super::{CLIENT_TIMEOUT, LEAVE, REPLICA_STATUS, SHOW};
use crate::status::StatusReport;

/// The maximal length of an answer, in bytes. It fits a report of 4,096 members, the maximal size of a view.
const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024;
/// How long a client waits for the answer. The server serves one client at a time, and may serve another one first.
const ANSWER_TIMEOUT: Duration = CLIENT_TIMEOUT.saturating_mul(3);

/// Why a command over a control socket failed.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The socket cannot be reached.
    #[error("{path}: {source}", path = path.display())]
    Io {
        /// The path of the socket.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The answer is not valid JSON, or lacks expected fields.
    #[error("{path}: invalid answer: {source}", path = path.display())]
    InvalidAnswer {
        /// The path of the socket.
        path: PathBuf,
        /// The decoding error.
        source: serde_json::Error,
    },
    /// The process answered with an error.
    #[error("{0}")]
    Rejected(String),
    /// The process did not announce its leave in time.
    #[error("the process did not announce its leave in time")]
    LeaveTimeout,
}

/// Requests the status report of the process that serves this socket.
///
/// # Errors
/// If there is no valid answer.
pub fn show(path: &Path) -> Result<StatusReport, ControlError> {
    let answer = request(path, SHOW)?;
    serde_json::from_value(answer).map_err(|source| invalid_answer(path, source))
}

/// Requests the replica status of the process that serves this socket. The group is 0 if the process is no replica.
///
/// # Errors
/// If there is no valid answer.
pub fn replica_status(path: &Path) -> Result<Value, ControlError> {
    request(path, REPLICA_STATUS)
}

/// Makes the process that serves this socket leave its fleet.
///
/// # Errors
/// If there is no valid answer, or the process does not announce its leave in time.
pub fn leave(path: &Path) -> Result<(), ControlError> {
    match request(path, LEAVE)?["left"].as_bool() {
        Some(true) => Ok(()),
        _ => Err(ControlError::LeaveTimeout),
    }
}

fn request(path: &Path, command: &str) -> Result<Value, ControlError> {
    let line = exchange_lines(path, command).map_err(|source| ControlError::Io {
        path: path.to_owned(),
        source,
    })?;
    let answer: Value =
        serde_json::from_str(&line).map_err(|source| invalid_answer(path, source))?;
    match answer["error"].as_str() {
        Some(error) => Err(ControlError::Rejected(error.to_owned())),
        None => Ok(answer),
    }
}

fn exchange_lines(path: &Path, command: &str) -> io::Result<String> {
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream)
        .take(MAX_ANSWER_BYTES)
        .read_line(&mut line)?;
    Ok(line)
}

fn invalid_answer(path: &Path, source: serde_json::Error) -> ControlError {
    ControlError::InvalidAnswer {
        path: path.to_owned(),
        source,
    }
}
