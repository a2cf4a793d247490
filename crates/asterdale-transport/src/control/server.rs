//! The server of the control socket.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

use asterdale_ownership::replica::ReplicaStatus;
use serde_json::{json, Value};

use super::{CLIENT_TIMEOUT, LEAVE, REPLICA_STATUS, SHOW};
use crate::handle::Transport;

/// The maximal length of a command, in bytes.
const MAX_COMMAND_BYTES: u64 = 256;
/// The answer if the actor does not reply in time.
const NO_REPLY: &str = "the actor did not reply in time";

/// A bound control socket.
pub(crate) struct ControlSocket {
    listener: UnixListener,
    path: PathBuf,
}

impl ControlSocket {
    /// Binds the socket. A socket file without a listener is left over from a process that has ended, and is replaced.
    pub(crate) fn bind(path: PathBuf) -> io::Result<ControlSocket> {
        let listener = bind_or_replace(&path)
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", path.display())))?;
        Ok(ControlSocket { listener, path })
    }

    /// Serves one client after the other, as long as the process runs.
    pub(crate) fn serve(&self, transport: &Transport) {
        for stream in self.listener.incoming() {
            let Ok(stream) = stream else { continue };
            // If a client fails or is too slow, its connection is closed; there is no other receiver for the error.
            let _ = serve_client(&stream, transport);
        }
        // The error is ignored: the socket file may have been removed already.
        let _ = std::fs::remove_file(&self.path);
    }
}

fn bind_or_replace(path: &Path) -> io::Result<UnixListener> {
    match UnixListener::bind(path) {
        Err(e) if e.kind() == io::ErrorKind::AddrInUse && UnixStream::connect(path).is_err() => {
            std::fs::remove_file(path)?;
            UnixListener::bind(path)
        }
        bound => bound,
    }
}

fn serve_client(mut stream: &UnixStream, transport: &Transport) -> io::Result<()> {
    stream.set_read_timeout(Some(CLIENT_TIMEOUT))?;
    stream.set_write_timeout(Some(CLIENT_TIMEOUT))?;
    let mut command = String::new();
    BufReader::new(stream)
        .take(MAX_COMMAND_BYTES)
        .read_line(&mut command)?;
    let answer = answer(command.trim(), transport);
    stream.write_all(format!("{answer}\n").as_bytes())
}

fn answer(command: &str, transport: &Transport) -> String {
    match command {
        SHOW => match transport.status_report() {
            Some(report) => serde_json::to_string(&report).unwrap_or_default(),
            None => json!({"error": NO_REPLY}).to_string(),
        },
        LEAVE => json!({"left": transport.leave()}).to_string(),
        REPLICA_STATUS => replica_answer(transport).to_string(),
        other => json!({"error": format!("{other:?} is none of show, leave, keepers")}).to_string(),
    }
}

fn replica_answer(transport: &Transport) -> Value {
    let Some(ownership) = &transport.ownership else {
        return json!({"error": "keyed requests are not replicated in this fleet"});
    };
    match ownership.replica_status() {
        Some(status) => replica_status_as_json(&status),
        None => json!({"error": NO_REPLY}),
    }
}

fn replica_status_as_json(status: &ReplicaStatus) -> Value {
    let [started, ownerless, unstarted, ended, failed, unknown] = status.requests_by_state;
    let owners: Vec<Value> = status
        .owners
        .iter()
        .map(|(name, epoch)| json!({"name": name, "epoch": epoch}))
        .collect();
    json!({
        "group": status.group,
        "leader": status.leader,
        "members": status.members,
        "owners": owners,
        "kept": {
            "started": started,
            "orphaned": ownerless,
            "unstarted": unstarted,
            "ended": ended,
            "failed": failed,
            "unknown": unknown,
        },
        "bytes": status.size_bytes,
        "quiet_ms": status.claims_blocked_ms.round(),
        "applied": status.applied_index,
    })
}
