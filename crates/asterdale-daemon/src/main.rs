//! The asterdale backend: one process that serves tasks on real sockets, with asterdale's decisions.

#[cfg(feature = "tools")]
mod cli;
mod edge;
mod head;
#[cfg(feature = "tools")]
mod keys;
mod peer;
mod start;
#[cfg(feature = "tls")]
mod tls;
#[cfg(feature = "tools")]
mod token;
mod wire;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use asterdale_host::counters::Counters;
use asterdale_host::host::{unix_ms, Begin};
use asterdale_host::issuer::{self, Nudge};
use asterdale_host::log::{Kind, Log};
use asterdale_host::mail::{Fronts, Mail};
use asterdale_host::records::Records;
use asterdale_host::{registry, runtime, Around, Host};
use asterdale_identity::Identity;
use crossbeam_channel::{bounded, unbounded, Sender};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

use edge::{Door, Edge};
use start::faults::Fault;
use start::{Source, Start};
#[cfg(feature = "tls")]
use tls::Doorkeeper;

/// Mail that waits for the host. Whoever sends more waits: a connection's reader reads no further.
const WAITING: usize = 4096;
/// Words to the list's or the runtime's actor that it has not read.
const WORDS: usize = 16;
/// Of threads that wait for one thing and keep their buffers on the heap.
const STACK: usize = 128 * 1024;

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let thread = thread::Builder::new().name(name.to_owned()).stack_size(STACK);
    thread.spawn(work).map(drop).map_err(|e| format!("no thread for {name}: {e}"))
}

/// All listeners together, as the host sees them.
struct Doors(Vec<Arc<Edge>>);

impl Fronts for Doors {
    fn close_idle(&self, after_ms: f64) {
        self.0.iter().for_each(|edge| edge.close_idle(after_ms));
    }

    fn open(&self) -> usize {
        self.0.iter().map(|edge| edge.open()).sum()
    }

    fn close(&self) {
        self.0.iter().for_each(|edge| edge.close());
    }

    fn hush(&self) {
        self.0.iter().for_each(|edge| edge.hush());
    }
}

/// The listeners that the start file asks for. Two share the room that there is.
#[cfg(feature = "tls")]
fn doors(start: &Start) -> Result<Vec<Door>, String> {
    let share = 1 + usize::from(start.tls.is_some());
    let mut doors = vec![Door { listen: start.listen, first: 0, share, tls: None }];
    if let Some(tls) = &start.tls {
        let doorkeeper = Doorkeeper::new(tls).map_err(|faults| one_line(&faults))?;
        doors.push(Door { listen: tls.listen, first: 1 << 48, share, tls: Some(Arc::new(doorkeeper)) });
    }
    Ok(doors)
}

#[cfg(not(feature = "tls"))]
fn doors(start: &Start) -> Result<Vec<Door>, String> {
    Ok(vec![Door { listen: start.listen, first: 0, share: 1 }])
}

fn one_line(faults: &[Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// What has to hear of a start file that is read again, but for the host.
struct Rereading {
    file: Option<PathBuf>,
    issuer: Option<Sender<Nudge>>,
    #[cfg(feature = "tls")]
    doorkeeper: Option<Arc<Doorkeeper>>,
}

impl Rereading {
    /// Reads it, and hands on what can change while the program serves.
    fn read(&self, host: &Sender<Mail>) -> Result<bool, String> {
        let start = told(self.file.as_deref()).map_err(|faults| one_line(&faults))?;
        #[cfg(feature = "tls")]
        if let (Some(doorkeeper), Some(tls)) = (&self.doorkeeper, &start.tls) {
            doorkeeper.reload(tls).map_err(|faults| one_line(&faults))?;
        }
        let keys = start.identity.as_ref().map(|identity| identity.keys.clone());
        let facts = start.identity.map(|identity| Box::new(identity.facts));
        let mut sent = host.send(Mail::Retold(start.peers, facts)).is_ok();
        match (keys, &self.issuer) {
            (Some(Source::Issuer(place)), Some(issuer)) => drop(issuer.try_send(Nudge::Move(place))),
            (Some(source), _) => {
                if let Some(set) = source.read() {
                    sent &= host.send(Mail::Keys(set?)).is_ok();
                }
            }
            _ => {}
        }
        Ok(sent)
    }
}

/// Signals become mail. SIGHUP reads the start file again; one that can't be read changes nothing.
fn signals(mut signals: Signals, host: &Sender<Mail>, again: &Rereading, counters: &Counters, log: &Log) {
    static UNREADABLE: Kind = Kind::new();
    for signal in signals.forever() {
        let mail = match signal {
            SIGUSR1 => Mail::Report,
            SIGHUP => match again.read(host) {
                Ok(true) => continue,
                Ok(false) => return,
                Err(what) => {
                    counters.reloads_failed.add();
                    if log.may(&UNREADABLE) {
                        slog::error!(log.lines, "host: the start file is passed over"; "why" => what);
                    }
                    continue;
                }
            },
            _ => Mail::Leave,
        };
        if host.send(mail).is_err() {
            return;
        }
    }
}

fn assemble(start: Start, file: Option<PathBuf>, log: &Log) -> Result<(), String> {
    let (mail, mailbox) = bounded(WAITING);
    let (list, for_list) = bounded(WORDS);
    let (moves, moved) = bounded(WORDS);
    let (out, answers) = unbounded();
    let counters = Arc::new(Counters::default());
    let doors = doors(&start)?;
    let began = Instant::now();
    let edge = |door: &Door| {
        let (mail, out) = (mail.clone(), out.clone());
        Arc::new(Edge::new(&start, door.clone(), mail, out, counters.clone(), log.clone(), began))
    };
    let edges: Vec<Arc<Edge>> = doors.iter().map(edge).collect();
    // Before anybody can see that the program is there: a signal that comes sooner would end it.
    let caught = Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let mut listeners = Vec::new();
    for (edge, door) in edges.iter().zip(&doors) {
        listeners.push(edge.bind().map_err(|e| format!("listen: {}: {e}", door.listen))?);
    }
    let (identity, issuer) = callers(&start, &mail, &counters, log)?;
    let nudges = issuer.clone();
    let (host, counted, lines) = (mail.clone(), counters.clone(), log.clone());
    let again = Rereading {
        file,
        issuer,
        #[cfg(feature = "tls")]
        doorkeeper: doors.iter().find_map(|door| door.tls.clone()),
    };
    spawn("signals", move || signals(caught, &host, &again, &counted, &lines))?;
    let (host, counted, lines, at) = (mail.clone(), counters.clone(), log.clone(), start.peers.runtime);
    spawn("runtime", move || runtime::link(at, &moved, &host, &counted, &lines))?;
    let (counted, lines, name, at) =
        (counters.clone(), log.clone(), start.name.clone(), start.peers.registry);
    spawn("registry", move || registry::report(at, &name, &for_list, &counted, &lines))?;
    let writer = edges[0].writer(answers);
    spawn("writer", move || writer.serve())?;
    for (edge, listener) in edges.iter().zip(listeners) {
        let (keeping, listening) = (edge.clone(), edge.clone());
        spawn("keeper", move || keeping.keep())?;
        spawn("listener", move || listening.accept(&listener))?;
    }
    let records = Records::new(start.peers.records, mail, counters.clone());
    let around = Around {
        records,
        fronts: Arc::new(Doors(edges)),
        list,
        moves,
        issuer: nudges,
        counters,
        log: log.clone(),
    };
    let Start { facts, memory, stop_ms, peers, .. } = start;
    let mut host = Host::new(Begin { facts, memory, stop_ms, peers, identity }, around);
    slog::info!(log.lines, "host: serving"; "at" => %start.listen);
    host.serve(&mailbox);
    host.report();
    Ok(())
}

/// Where callers must be known: what holds of them. The first set of keys, or the actor that fetches it, is on
/// its way to the host.
fn callers(
    start: &Start,
    mail: &Sender<Mail>,
    counters: &Arc<Counters>,
    log: &Log,
) -> Result<(Option<Identity>, Option<Sender<Nudge>>), String> {
    let Some(identity) = &start.identity else { return Ok((None, None)) };
    let seed = identity.facts.seed;
    let gate = Identity::new(unix_ms(), identity.facts.clone()).map_err(|e| format!("identity: {e}"))?;
    if let Source::Issuer(place) = &identity.keys {
        let (nudges, nudged) = bounded(WORDS);
        let (host, counted, lines, place) = (mail.clone(), counters.clone(), log.clone(), place.clone());
        spawn("issuer", move || issuer::fetch(place, seed, &nudged, &host, &counted, &lines))?;
        return Ok((Some(gate), Some(nudges)));
    }
    match identity.keys.read() {
        Some(Ok(set)) => drop(mail.send(Mail::Keys(set))),
        Some(Err(why)) => slog::error!(log.lines, "identity: no set of keys"; "why" => why),
        None => {}
    }
    Ok((Some(gate), None))
}

/// A panic anywhere ends the program: half of it would answer for work that nobody does any more.
fn end_on_panic() {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        usual(panic);
        std::process::exit(101);
    }));
}

fn told(file: Option<&Path>) -> Result<Start, Vec<Fault>> {
    file.map_or_else(start::from_environment, start::from_file)
}

/// How to serve.
#[derive(Default)]
struct How {
    /// The start file; the variable names it if absent.
    file: Option<PathBuf>,
    /// Lines of the log are JSON objects.
    json: bool,
    /// The least weighty lines that are written.
    level: Option<slog::Level>,
}

/// Tells what is wrong, a line each.
fn tell(faults: &[Fault]) -> ExitCode {
    faults.iter().for_each(|fault| eprintln!("asterdale: {fault}"));
    ExitCode::from(2)
}

fn serve(how: How) -> ExitCode {
    end_on_panic();
    let start = match told(how.file.as_deref()) {
        Ok(start) => start,
        Err(faults) => return tell(&faults),
    };
    let (log, guard) = Log::to_stderr(&start.name, how.json, how.level.unwrap_or(slog::Level::Info));
    let served = assemble(start, how.file, &log);
    if let Err(what) = &served {
        slog::crit!(log.lines, "host: can't serve"; "why" => what);
    }
    drop(log);
    drop(guard);
    if served.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn main() -> ExitCode {
    #[cfg(feature = "planted")]
    if let Ok(name) = std::env::var("ASTERDALE_PLANT") {
        assert!(asterdale_identity::planted::plant(&name), "no fault {name} can be planted");
    }
    #[cfg(feature = "tools")]
    return cli::run();
    #[cfg(not(feature = "tools"))]
    serve(How::default())
}
