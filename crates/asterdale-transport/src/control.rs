//! The control socket: a line comes, a line of JSON goes back. Whoever may open the socket may ask; the folder that it
//! lies in says who that is.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use asterdale_ownership::replica::ReplicaStatus as KeeperShown;
use serde_json::json;

use crate::status::StatusReport;
use crate::Transport;

/// Whoever connects says what he wants within so long.
const PATIENCE: Duration = Duration::from_secs(2);
/// And in so many bytes.
const MOST: u64 = 256;
/// An answer is no longer: a view's 4,096 members.
const MOST_ANSWER: u64 = 4 * 1024 * 1024;

/// Binds the socket. One that nobody answers at is left over from a process that ended, and is removed.
pub fn bind(path: &Path) -> io::Result<(UnixListener, PathBuf)> {
    let told = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
    match UnixListener::bind(path) {
        Err(e) if e.kind() == io::ErrorKind::AddrInUse && UnixStream::connect(path).is_err() => {
            std::fs::remove_file(path).map_err(told)?;
            UnixListener::bind(path).map_err(told)
        }
        bound => bound.map_err(told),
    }
    .map(|socket| (socket, path.to_owned()))
}

/// Serves whoever connects, one after the other.
pub fn serve(socket: &UnixListener, path: &Path, talk: &Transport) {
    for stream in socket.incoming() {
        let Ok(stream) = stream else { continue };
        let within = |stream: &UnixStream| {
            stream.set_read_timeout(Some(PATIENCE))?;
            stream.set_write_timeout(Some(PATIENCE))
        };
        if within(&stream).is_err() {
            continue;
        }
        let mut asked = String::new();
        if BufReader::new(&stream)
            .take(MOST)
            .read_line(&mut asked)
            .is_err()
        {
            continue;
        }
        let answer = match asked.trim() {
            "show" => match talk.status_report() {
                Some(shown) => serde_json::to_string(&shown).unwrap_or_default(),
                None => json!({"error": "the state machine does not answer"}).to_string(),
            },
            "leave" => json!({"left": talk.leave()}).to_string(),
            "keepers" => match talk
                .ownership
                .as_ref()
                .map(|custody| custody.replica_status())
            {
                Some(Some(shown)) => keepers_as_json(&shown).to_string(),
                Some(None) => json!({"error": "the state machine does not answer"}).to_string(),
                None => json!({"error": "nothing is kept by this fleet"}).to_string(),
            },
            other => {
                json!({"error": format!("{other:?} is none of show, leave, keepers")}).to_string()
            }
        };
        let _ = (&stream).write_all(format!("{answer}\n").as_bytes());
    }
    let _ = std::fs::remove_file(path);
}

fn keepers_as_json(shown: &KeeperShown) -> serde_json::Value {
    let [started, orphaned, unstarted, ended, failed, unknown] = shown.requests_by_state;
    let owners: Vec<_> = shown
        .owners
        .iter()
        .map(|(name, epoch)| json!({"name": name, "epoch": epoch}))
        .collect();
    json!({"group": shown.group, "leader": shown.leader, "members": shown.members, "owners": owners,
        "kept": {"started": started, "orphaned": orphaned, "unstarted": unstarted, "ended": ended, "failed": failed,
            "unknown": unknown},
        "bytes": shown.size_bytes, "quiet_ms": shown.claims_blocked_ms.round(), "applied": shown.applied_index})
}

/// What the process behind this control socket holds as a keeper of work in hand; its group is 0 where it has none.
pub fn keepers(path: &Path) -> Result<serde_json::Value, String> {
    ask(path, "keepers")
}

fn ask(path: &Path, what: &str) -> Result<serde_json::Value, String> {
    let told = |e: io::Error| format!("{}: {e}", path.display());
    let stream = UnixStream::connect(path).map_err(told)?;
    stream.set_read_timeout(Some(3 * PATIENCE)).map_err(told)?;
    (&stream)
        .write_all(format!("{what}\n").as_bytes())
        .map_err(told)?;
    let mut answer = String::new();
    BufReader::new(&stream)
        .take(MOST_ANSWER)
        .read_line(&mut answer)
        .map_err(told)?;
    let answer: serde_json::Value =
        serde_json::from_str(&answer).map_err(|e| format!("{}: no answer: {e}", path.display()))?;
    match answer["error"].as_str() {
        Some(error) => Err(error.to_owned()),
        None => Ok(answer),
    }
}

/// What the process behind this control socket holds of its fleet.
pub fn show(path: &Path) -> Result<StatusReport, String> {
    serde_json::from_value(ask(path, "show")?).map_err(|e| format!("{}: {e}", path.display()))
}

/// Has it leave its fleet.
pub fn leave(path: &Path) -> Result<(), String> {
    match ask(path, "leave")?["left"].as_bool() {
        Some(true) => Ok(()),
        _ => Err("it did not leave in time".to_owned()),
    }
}
