//! The runtime's actor: keeps the link, turns lines into mail and commands into lines.

use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, IoSlice, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use crossbeam_channel::{bounded, Receiver, Sender};
use serde_json::{json, Value};

use crate::counters::Counters;
use crate::log::{Kind, Log};
use crate::message::{
    request_id_text, EngineMessage, RequestId, RunOutcome, RuntimeLinkCommand, RuntimeNotice,
};
use crate::vectored_write;

/// Lines that wait to be written. A runtime that reads none of so many is taken for gone.
const WAITING: usize = 4096;
/// No line is longer: results have 4 KiB before their encoding.
const MOST_LINE: u64 = 64 * 1024;
const AGAIN: Duration = Duration::from_millis(20);
/// A bad line on a link that is younger than this comes from what is sent anew on each: it is passed over.
const YOUNG: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_millis(1000);

/// Reads a line; `None` if it is none that the runtime may send.
pub fn read(line: &[u8]) -> Option<RuntimeNotice> {
    let all: Value = serde_json::from_slice(line).ok()?;
    let text = |field: &str| all[field].as_str();
    let id = || text("rid").and_then(|id| RequestId::try_from(id.as_bytes()).ok());
    let no = || all["no"].as_u64();
    let body = || match all.get("b64") {
        None | Some(Value::Null) => Some(Vec::new()),
        Some(value) => STANDARD.decode(value.as_str()?).ok(),
    };
    let mark = || text("mark").map(str::to_owned);
    Some(match text("t")? {
        "ready" => RuntimeNotice::Ready {
            slow_start: text("status") == Some("EMPTY"),
            uptime_ms: all["time_ms"].as_f64()?,
        },
        "end" => {
            let how = match text("status")? {
                "PASS" => RunOutcome::Passed,
                "FAIL" => RunOutcome::Failed,
                "KILLED" => RunOutcome::Killed,
                "NOOP" => RunOutcome::Noop,
                _ => return None,
            };
            RuntimeNotice::RunEnded {
                sequence: no()?,
                id: id()?,
                outcome: how,
                body: body()?,
            }
        }
        "wants" => RuntimeNotice::CallNeeded {
            sequence: no()?,
            id: id()?,
            body: body()?,
        },
        "load" => {
            let values = all["v"]
                .as_array()?
                .iter()
                .map(|v| v.as_f64().unwrap_or(f64::NAN));
            RuntimeNotice::Gauges {
                tag: mark()?,
                values: values.collect(),
            }
        }
        "verdict" => RuntimeNotice::HealthVerdict {
            tag: mark()?,
            healthy: text("status")? == "PASS",
        },
        "nack" => RuntimeNotice::Rejected {
            command: text("status")?.to_owned(),
            id: id(),
        },
        "info" => RuntimeNotice::Ignored(no()),
        _ => return None,
    })
}

/// The first command on a link: the last notice that was read.
pub fn sync(no: u64) -> String {
    format!("{{\"t\":\"sync\",\"no\":{no}}}\n")
}

/// Run a task.
pub fn start(id: &RequestId, stage: &str, body: &[u8]) -> String {
    let mut line = format!(
        "{{\"t\":\"start\",\"rid\":\"{}\",\"route\":{},\"b64\":\"",
        request_id_text(id),
        json!(stage)
    );
    STANDARD.encode_string(body, &mut line);
    line.push_str("\"}\n");
    line
}

/// The same, for a task that is claimed by this fence.
#[cfg(feature = "ownership")]
pub fn start_fenced(id: &RequestId, stage: &str, body: &[u8], fence: u64) -> String {
    let mut line = start(id, stage, body);
    line.truncate(line.len() - 2);
    let _ = writeln!(line, ",\"fence\":{fence}}}");
    line
}

/// The reply to the call that a run waits for.
pub fn give(id: &RequestId, body: &[u8]) -> String {
    let mut line = format!(
        "{{\"t\":\"give\",\"rid\":\"{}\",\"b64\":\"",
        request_id_text(id)
    );
    STANDARD.encode_string(body, &mut line);
    line.push_str("\"}\n");
    line
}

/// Go on without the call of this notice.
pub fn omit(id: &RequestId, no: u64) -> String {
    format!(
        "{{\"t\":\"omit\",\"rid\":\"{}\",\"no\":{no}}}\n",
        request_id_text(id)
    )
}

/// Ask for the gauges, or for a deep check.
pub fn ask(what: &str, mark: &str) -> String {
    let mut line = String::new();
    let _ = writeln!(line, "{{\"t\":\"{what}\",\"mark\":\"{mark}\"}}");
    line
}

/// Keeps the link for as long as the host is there, to the address that it was last told.
pub fn link(
    mut at: SocketAddr,
    moves: &Receiver<RuntimeLinkCommand>,
    host: &Sender<EngineMessage>,
    counters: &Arc<Counters>,
    log: &Log,
) {
    static LINKED: Kind = Kind::new();
    static BROKEN: Kind = Kind::new();
    let (mut told, mut quiet) = (false, false);
    let writer = writer(counters, log);
    loop {
        for course in moves.try_iter() {
            match course {
                RuntimeLinkCommand::SetAddress(to) => at = to,
                RuntimeLinkCommand::SetPaused(now) => quiet = now,
            }
        }
        // Another process has the link: to make one would take it away.
        while quiet {
            match moves.recv() {
                Ok(RuntimeLinkCommand::SetAddress(to)) => at = to,
                Ok(RuntimeLinkCommand::SetPaused(now)) => quiet = now,
                Err(_) => return,
            }
        }
        let (why, lasted) = match TcpStream::connect_timeout(&at, PATIENCE) {
            Ok(stream) => {
                counters.links.add();
                if log.allows(&LINKED) {
                    slog::info!(log.lines, "runtime: linked");
                }
                told = false;
                let began = Instant::now();
                let Some(why) = serve(&Arc::new(stream), &writer, host, counters) else {
                    return;
                };
                (why, began.elapsed() >= YOUNG)
            }
            Err(e) => (e, false),
        };
        if !told && log.allows(&BROKEN) {
            slog::warn!(log.lines, "runtime: no link"; "why" => %why);
            told = true;
        }
        // One that had lasted is made again at once. A word that comes meanwhile is a new address.
        if !lasted {
            match moves.recv_timeout(AGAIN) {
                Ok(RuntimeLinkCommand::SetAddress(to)) => at = to,
                Ok(RuntimeLinkCommand::SetPaused(now)) => quiet = now,
                Err(_) => {}
            }
        }
    }
}

/// A link's way out: its socket, its commands, and where to say that it is over.
type Out = (Arc<TcpStream>, Receiver<String>, Sender<()>);

/// The writer of all links, one after the other. It is there before the first, so that no link can want for a
/// thread; until the system gives one there is no link.
fn writer(counters: &Counters, log: &Log) -> Sender<Out> {
    static REFUSED: Kind = Kind::new();
    loop {
        let (links, for_writer) = bounded::<Out>(1);
        let writer = thread::Builder::new()
            .name("runtime out".to_owned())
            .stack_size(64 * 1024);
        let spawned = writer.spawn(move || {
            for (stream, commands, over) in for_writer {
                write(&stream, &commands);
                drop(over);
            }
        });
        match spawned {
            Ok(_) => return links,
            Err(e) => {
                counters.threads_refused.add();
                if log.allows(&REFUSED) {
                    slog::error!(log.lines, "runtime: no thread for the link"; "why" => %e);
                }
                thread::sleep(AGAIN);
            }
        }
    }
}

/// One link, until it breaks; `None` when the host is gone.
fn serve(
    stream: &Arc<TcpStream>,
    writer: &Sender<Out>,
    host: &Sender<EngineMessage>,
    counters: &Counters,
) -> Option<io::Error> {
    let (commands, for_writer) = bounded(WAITING);
    let (over, ended) = bounded(0);
    let _ = stream.set_nodelay(true);
    // A runtime that reads nothing fills the way out: its writer must not wait for ever, or the link would never end.
    let _ = stream.set_write_timeout(Some(PATIENCE));
    host.send(EngineMessage::RuntimeConnected(commands)).ok()?;
    writer.send((stream.clone(), for_writer, over)).ok()?;
    let why = lines(stream, host, counters)?;
    let _ = stream.shutdown(Shutdown::Both);
    // The host drops its end of the commands, and the writer is done with this link.
    host.send(EngineMessage::RuntimeDisconnected).ok()?;
    let _ = ended.recv();
    Some(why)
}

fn write(stream: &TcpStream, commands: &Receiver<String>) {
    while let Ok(first) = commands.recv() {
        let mut ready = vec![first];
        ready.extend(commands.try_iter().take(127));
        let mut pieces: Vec<IoSlice<'_>> = ready
            .iter()
            .map(|line| IoSlice::new(line.as_bytes()))
            .collect();
        if vectored_write::write(stream, &mut pieces).is_err() {
            break;
        }
    }
    // Whoever ends first ends the link: the reader hears of it here.
    let _ = stream.shutdown(Shutdown::Both);
}

fn lines(
    stream: &TcpStream,
    host: &Sender<EngineMessage>,
    counters: &Counters,
) -> Option<io::Error> {
    let mut reader = BufReader::with_capacity(16 * 1024, stream);
    let (mut line, began) = (Vec::new(), Instant::now());
    loop {
        line.clear();
        match (&mut reader).take(MOST_LINE).read_until(b'\n', &mut line) {
            Ok(0) => return Some(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => {}
            Err(e) => return Some(e),
        }
        let Some(read) = read(&line) else {
            counters.runtime_lines_malformed.add();
            if began.elapsed() < YOUNG && line.ends_with(b"\n") {
                continue;
            }
            return Some(io::Error::new(
                io::ErrorKind::InvalidData,
                "a line that can't be read",
            ));
        };
        host.send(EngineMessage::RuntimeNotice(read)).ok()?;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ID: &RequestId = b"9b1f03aa5c7e2d41";

    #[test]
    fn lines_of_the_protocol_are_read() {
        let end =
            br#"{"t":"end","no":4,"rid":"9b1f03aa5c7e2d41","status":"PASS","time_ms":3.5,"b64":"AP8="}"#;
        assert_eq!(
            read(end),
            Some(RuntimeNotice::RunEnded {
                sequence: 4,
                id: *ID,
                outcome: RunOutcome::Passed,
                body: vec![0, 255]
            })
        );
        let killed = br#"{"t":"end","no":5,"rid":"9b1f03aa5c7e2d41","status":"KILLED","time_ms":1,"new":[]}"#;
        assert_eq!(
            read(killed),
            Some(RuntimeNotice::RunEnded {
                sequence: 5,
                id: *ID,
                outcome: RunOutcome::Killed,
                body: vec![]
            })
        );
        let ready = br#"{"t":"ready","status":"EMPTY","time_ms":12}"#;
        assert_eq!(
            read(ready),
            Some(RuntimeNotice::Ready {
                slow_start: true,
                uptime_ms: 12.0
            })
        );
        let load = br#"{"t":"load","mark":"7","v":[0.5,null]}"#;
        let Some(RuntimeNotice::Gauges { tag: mark, values }) = read(load) else {
            panic!()
        };
        assert!(mark == "7" && values[0] == 0.5 && values[1].is_nan());
    }

    #[test]
    fn lines_of_no_meaning_are_known_as_such() {
        for line in [
            &b"hello"[..],
            b"{}",
            br#"{"t":"end","no":4,"rid":"short","status":"PASS"}"#,
            br#"{"t":"end","no":4,"rid":"9b1f03aa5c7e2d41","status":"WHO"}"#,
            br#"{"t":"end","no":-4,"rid":"9b1f03aa5c7e2d41","status":"PASS"}"#,
            br#"{"t":"wants","no":4,"rid":"9b1f03aa5c7e2d41","b64":"*"}"#,
            b"\xff\xfe",
        ] {
            assert_eq!(read(line), None);
        }
    }

    #[test]
    fn commands_are_lines_of_json() {
        for (line, wanted) in [
            (sync(7), json!({"t": "sync", "no": 7})),
            (
                start(ID, "a\"b", b"hi"),
                json!({"t": "start", "rid": request_id_text(ID), "route": "a\"b", "b64": "aGk="}),
            ),
            (
                give(ID, b""),
                json!({"t": "give", "rid": request_id_text(ID), "b64": ""}),
            ),
            (
                omit(ID, 9),
                json!({"t": "omit", "rid": request_id_text(ID), "no": 9}),
            ),
            (ask("gauges", "x"), json!({"t": "gauges", "mark": "x"})),
        ] {
            assert!(line.ends_with('\n') && line.matches('\n').count() == 1);
            assert_eq!(serde_json::from_str::<Value>(&line).unwrap(), wanted);
        }
    }
}
