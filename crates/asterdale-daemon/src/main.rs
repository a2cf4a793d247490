//! The asterdale backend: one process that serves tasks on real sockets, with asterdale's decisions.

#[cfg(feature = "tools")]
mod cli;
mod edge;
#[cfg(feature = "fleet")]
mod fleet;
mod head;
#[cfg(feature = "journal")]
mod journal;
#[cfg(feature = "tools")]
mod keys;
mod peer;
mod start;
#[cfg(feature = "tls")]
mod tls;
#[cfg(feature = "tools")]
mod token;
#[cfg(feature = "upgrade")]
mod upgrade;
mod wire;

#[cfg(feature = "upgrade")]
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use asterdale_engine::counters::Counters;
use asterdale_engine::engine::{unix_ms, EngineSettings};
use asterdale_engine::issuer::{self, KeyRefresh};
use asterdale_engine::log::{Log, LogLimit};
use asterdale_engine::message::{EngineMessage, Frontends};
use asterdale_engine::{records, registry, runtime, Engine, EnginePorts};
use asterdale_identity::Identity;
use crossbeam_channel::{bounded, unbounded, Sender};
#[cfg(feature = "upgrade")]
use signal_hook::consts::SIGUSR2;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

use edge::{Door, Edge};
use start::{KeySetSource, Start, StartError};
#[cfg(feature = "tls")]
use tls::Doorkeeper;

/// Mail that waits for the host. Whoever sends more waits: a connection's reader reads no further.
const WAITING: usize = 4096;
/// Words to the issuer's actor that it has not read.
const WORDS: usize = 16;
/// Of threads that wait for one thing and keep their buffers on the heap.
const STACK: usize = 128 * 1024;

/// Signals that are heard.
#[cfg(feature = "upgrade")]
const HEARD: [i32; 5] = [SIGTERM, SIGINT, SIGUSR1, SIGHUP, SIGUSR2];
#[cfg(not(feature = "upgrade"))]
const HEARD: [i32; 4] = [SIGTERM, SIGINT, SIGUSR1, SIGHUP];

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let thread = thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK);
    thread
        .spawn(work)
        .map(drop)
        .map_err(|e| format!("no thread for {name}: {e}"))
}

/// All listeners together, as the host sees them.
struct Doors(Vec<Arc<Edge>>);

impl Frontends for Doors {
    fn close_idle(&self, after_ms: f64) {
        self.0.iter().for_each(|edge| edge.close_idle(after_ms));
    }

    fn open_connections(&self) -> usize {
        self.0.iter().map(|edge| edge.open_connections()).sum()
    }

    fn stop_listening(&self) {
        self.0.iter().for_each(|edge| edge.stop_listening());
    }

    fn end_answered_connections(&self) {
        self.0
            .iter()
            .for_each(|edge| edge.end_answered_connections());
    }

    fn set_paused(&self, aside: bool) {
        self.0.iter().for_each(|edge| edge.set_paused(aside));
    }
}

/// The listeners that the start file asks for. Two share the room that there is.
#[cfg(feature = "tls")]
fn doors(start: &Start) -> Result<Vec<Door>, String> {
    let share = 1 + usize::from(start.tls.is_some());
    let mut doors = vec![Door {
        listen: start.listen,
        first: 0,
        share,
        tls: None,
    }];
    if let Some(tls) = &start.tls {
        let doorkeeper = Doorkeeper::new(tls).map_err(|e| e.to_string())?;
        doors.push(Door {
            listen: tls.listen,
            first: 1 << 48,
            share,
            tls: Some(Arc::new(doorkeeper)),
        });
    }
    Ok(doors)
}

#[cfg(not(feature = "tls"))]
fn doors(start: &Start) -> Result<Vec<Door>, String> {
    Ok(vec![Door {
        listen: start.listen,
        first: 0,
        share: 1,
    }])
}

/// What has to hear of a start file that is read again, but for the host.
struct Rereading {
    file: Option<PathBuf>,
    issuer: Option<Sender<KeyRefresh>>,
    #[cfg(feature = "tls")]
    doorkeeper: Option<Arc<Doorkeeper>>,
    /// Where this process is asked to hand over.
    #[cfg(feature = "upgrade")]
    control: Option<PathBuf>,
}

impl Rereading {
    /// Reads it, and hands on what can change while the program serves.
    fn read(&self, host: &Sender<EngineMessage>) -> Result<bool, String> {
        let start = told(self.file.as_deref()).map_err(|e| e.to_string())?;
        #[cfg(feature = "tls")]
        if let (Some(doorkeeper), Some(tls)) = (&self.doorkeeper, &start.tls) {
            doorkeeper.reload(tls).map_err(|e| e.to_string())?;
        }
        let keys = start
            .identity
            .as_ref()
            .map(|identity| identity.key_source.clone());
        let facts = start.identity.map(|identity| Box::new(identity.parameters));
        let mut sent = host
            .send(EngineMessage::Reloaded(start.endpoints, facts))
            .is_ok();
        match (keys, &self.issuer) {
            (Some(KeySetSource::Issuer(place)), Some(issuer)) => {
                drop(issuer.try_send(KeyRefresh::SetSource(place)))
            }
            (Some(source), _) => {
                if let Some(set) = source.read_file() {
                    sent &= host
                        .send(EngineMessage::KeySet(set.map_err(|e| e.to_string())?))
                        .is_ok();
                }
            }
            _ => {}
        }
        Ok(sent)
    }
}

/// Signals become mail. SIGHUP reads the start file again; one that can't be read changes nothing.
fn signals(
    mut signals: Signals,
    host: &Sender<EngineMessage>,
    again: &Rereading,
    counters: &Counters,
    log: &Log,
) {
    static UNREADABLE: LogLimit = LogLimit::new();
    for signal in signals.forever() {
        let mail = match signal {
            SIGUSR1 => EngineMessage::PrintCounters,
            #[cfg(feature = "upgrade")]
            SIGUSR2 => {
                // How it goes is told by the log; it takes longer than a signal may be left waiting.
                let Some(control) = again.control.clone() else {
                    continue;
                };
                if let Err(why) = spawn("upgrade", move || {
                    drop(upgrade::request_upgrade(&control, "", |_| ()))
                }) {
                    counters.threads_refused.add();
                    slog::error!(log.lines, "upgrade: not begun"; "why" => why);
                }
                continue;
            }
            SIGHUP => match again.read(host) {
                Ok(true) => continue,
                Ok(false) => return,
                Err(what) => {
                    counters.reloads_failed.add();
                    if log.allows(&UNREADABLE) {
                        slog::error!(log.lines, "host: the start file is passed over"; "why" => what);
                    }
                    continue;
                }
            },
            _ => EngineMessage::Drain,
        };
        if host.send(mail).is_err() {
            return;
        }
    }
}

fn assemble(start: Start, file: Option<PathBuf>, log: &Log) -> Result<(), String> {
    let (mail, mailbox) = bounded(WAITING);
    // Each signal brings one word at most, and none may be dropped: the last address is where the runtime is.
    let (moves, moved) = unbounded();
    let (out, answers) = unbounded();
    let counters = Arc::new(Counters::default());
    // Before anybody can see that the program is there: a signal that comes sooner would end it.
    let caught = Signals::new(HEARD).map_err(|e| format!("signals: {e}"))?;
    #[cfg_attr(not(feature = "upgrade"), expect(unused_mut))]
    let mut doors = doors(&start)?;
    #[cfg(feature = "upgrade")]
    let mut taken = upgrade::inherit(start.settings.class_names.len(), start.max_descriptors)
        .map_err(|e| e.to_string())?;
    #[cfg(feature = "upgrade")]
    if let Some(taken) = &taken {
        // No two connections of processes that know of each other have the same number.
        doors
            .iter_mut()
            .for_each(|door| door.first += taken.epoch << 32);
    }
    let began = Instant::now();
    let edge = |door: &Door| {
        let (mail, out) = (mail.clone(), out.clone());
        let edge = Edge::new(
            &start,
            door.clone(),
            mail,
            out,
            counters.clone(),
            log.clone(),
            began,
        );
        edge.map_err(|e| format!("edge: {e}"))
    };
    let (edges, loops): (Vec<_>, Vec<_>) = doors
        .iter()
        .map(edge)
        .collect::<Result<Vec<_>, _>>()?
        .into_iter()
        .unzip();
    let mut listeners = Vec::new();
    for door in &doors {
        #[cfg(feature = "upgrade")]
        if let Some(listener) = taken
            .as_mut()
            .and_then(|taken| taken.take_listener(door.listen))
        {
            listeners.push(listener);
            continue;
        }
        listeners.push(
            edge::bind(door.listen, log).map_err(|e| format!("listen: {}: {e}", door.listen))?,
        );
    }
    #[cfg(feature = "upgrade")]
    let guardian = control(&start, taken.as_ref(), &listeners, &mail, log)?;
    let (identity, issuer) = callers(&start, &mail, &counters, log)?;
    let nudges = issuer.clone();
    let (host, counted, lines) = (mail.clone(), counters.clone(), log.clone());
    let again = Rereading {
        file,
        issuer,
        #[cfg(feature = "tls")]
        doorkeeper: doors.iter().find_map(|door| door.tls.clone()),
        #[cfg(feature = "upgrade")]
        control: start.control_socket.as_ref().map(PathBuf::from),
    };
    spawn("signals", move || {
        signals(caught, &host, &again, &counted, &lines)
    })?;
    let (host, counted, lines, at) = (
        mail.clone(),
        counters.clone(),
        log.clone(),
        start.endpoints.runtime,
    );
    spawn("runtime", move || {
        runtime::run(at, &moved, &host, &counted, &lines)
    })?;
    let (list, reporter) = registry::new(
        start.endpoints.registry,
        start.name.clone(),
        counters.clone(),
        log.clone(),
    )
    .map_err(|e| format!("registry: {e}"))?;
    spawn("registry", move || reporter.serve())?;
    let writer = edges[0].writer(answers, counters.clone());
    spawn("writer", move || writer.serve())?;
    for (serving, listener) in loops.into_iter().zip(listeners) {
        // Without it nobody is heard any more: the program ends, as with any panic.
        spawn("edge", move || {
            serving
                .serve(listener)
                .unwrap_or_else(|e| panic!("edge: {e}"))
        })?;
    }
    let (records, caller) = records::new(
        start.endpoints.records,
        mail.clone(),
        counters.clone(),
        log.clone(),
    )
    .map_err(|e| format!("records: {e}"))?;
    spawn("calls", move || caller.serve())?;
    #[cfg(feature = "journal")]
    let (lasting, on_disk) = journal::begin(&start, &mail, log)?;
    #[cfg(feature = "fleet")]
    let (company, custody) = fleet::begin(
        &start,
        &mail,
        log,
        #[cfg(feature = "journal")]
        lasting,
    )?;
    #[cfg(all(feature = "journal", feature = "fleet"))]
    let custody = custody.or(on_disk);
    #[cfg(all(feature = "journal", not(feature = "fleet")))]
    let (custody, _) = (on_disk, lasting);
    #[cfg(not(feature = "fleet"))]
    let company = None;
    let around = EnginePorts {
        records,
        frontends: Arc::new(Doors(edges)),
        registry: list,
        runtime_link: moves,
        issuer: nudges,
        fleet: company,
        #[cfg(any(feature = "fleet", feature = "journal"))]
        ownership: custody,
        counters,
        log: log.clone(),
    };
    let Start {
        settings: facts,
        memory_bytes: memory,
        stop_ms,
        endpoints: peers,
        ..
    } = start;
    let begin = EngineSettings {
        settings: facts,
        memory_bytes: memory,
        termination_grace_ms: stop_ms,
        endpoints: peers,
        identity,
    };
    #[cfg(feature = "upgrade")]
    let mut host = match taken {
        None => Engine::new(begin, around),
        Some(taken) => {
            let (stages, epoch) = (begin.settings.class_names.len(), taken.epoch);
            let host = Engine::restore(
                begin,
                around,
                &taken.state,
                &taken.remote_connections(),
                taken.mirror_to_old_process(),
            )
            .map_err(|e| asterdale_engine::log::error_chain(&e))?;
            slog::info!(log.lines, "upgrade: this process goes on"; "process" => std::process::id(), "epoch" => epoch, "gist" => ?host.summary());
            spawn("hearing", move || {
                taken.relay_from_old_process(&mail, stages)
            })?;
            host
        }
    };
    #[cfg(not(feature = "upgrade"))]
    let mut host = Engine::new(begin, around);
    slog::info!(log.lines, "host: serving"; "at" => %start.listen);
    host.run(&mailbox);
    host.print_counters();
    #[cfg(feature = "upgrade")]
    if let Some(guardian) = guardian {
        // It left in order: there is nothing to take back.
        guardian.send_release();
    }
    Ok(())
}

/// The control socket, where there is one; and the way to the process that guards this one.
#[cfg(feature = "upgrade")]
fn control(
    start: &Start,
    taken: Option<&upgrade::Inherited>,
    listeners: &[TcpListener],
    mail: &Sender<EngineMessage>,
    log: &Log,
) -> Result<Option<upgrade::FrameWriter>, String> {
    let guardian = taken.map(upgrade::Inherited::old_process);
    let Some(path) = &start.control_socket else {
        return Ok(guardian);
    };
    let path = PathBuf::from(path);
    let told = |e: std::io::Error| format!("upgrade: {e}");
    let socket = match taken {
        Some(taken) => taken.control.try_clone().map_err(told)?,
        None => upgrade::bind_control_socket(&path).map_err(|e| e.to_string())?,
    };
    let control = upgrade::ControlServer {
        path,
        socket,
        listeners: listeners
            .iter()
            .map(TcpListener::try_clone)
            .collect::<Result<_, _>>()
            .map_err(told)?,
        epoch: taken.map_or(1, |taken| taken.epoch),
        previous_process: guardian.clone(),
        engine: mail.clone(),
        log: log.clone(),
    };
    spawn("control", move || control.serve())?;
    Ok(guardian)
}

/// Where callers must be known: what holds of them. The first set of keys, or the actor that fetches it, is on
/// its way to the host.
fn callers(
    start: &Start,
    mail: &Sender<EngineMessage>,
    counters: &Arc<Counters>,
    log: &Log,
) -> Result<(Option<Identity>, Option<Sender<KeyRefresh>>), String> {
    let Some(identity) = &start.identity else {
        return Ok((None, None));
    };
    let seed = identity.parameters.seed;
    let gate = Identity::new(unix_ms(), identity.parameters.clone())
        .map_err(|e| format!("identity: {e}"))?;
    if let KeySetSource::Issuer(place) = &identity.key_source {
        let (nudges, nudged) = bounded(WORDS);
        let (host, counted, lines, place) =
            (mail.clone(), counters.clone(), log.clone(), place.clone());
        spawn("issuer", move || {
            issuer::fetch(place, seed, &nudged, &host, &counted, &lines)
        })?;
        return Ok((Some(gate), Some(nudges)));
    }
    match identity.key_source.read_file() {
        Some(Ok(set)) => drop(mail.send(EngineMessage::KeySet(set))),
        Some(Err(why)) => slog::error!(log.lines, "identity: no set of keys"; "why" => %why),
        None => {}
    }
    Ok((Some(gate), None))
}

/// A panic anywhere ends the program: half of it would answer for work that nobody does any more.
fn end_on_panic() {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        #[cfg(feature = "journal")]
        if asterdale_journal::store::is_catching_panics() {
            return;
        }
        usual(panic);
        std::process::exit(101);
    }));
}

fn told(file: Option<&Path>) -> Result<Start, StartError> {
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
fn tell(error: &StartError) -> ExitCode {
    error
        .faults()
        .iter()
        .for_each(|fault| eprintln!("asterdale: {fault}"));
    ExitCode::from(2)
}

fn serve(how: How) -> ExitCode {
    end_on_panic();
    let start = match told(how.file.as_deref()) {
        Ok(start) => start,
        Err(error) => return tell(&error),
    };
    let (log, guard) = Log::to_stderr(
        &start.name,
        how.json,
        how.level.unwrap_or(slog::Level::Info),
    );
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
    #[cfg(feature = "failpoints")]
    if let Ok(name) = std::env::var("ASTERDALE_FAILPOINT") {
        let known = asterdale_identity::failpoint::activate(&name);
        #[cfg(feature = "fleet")]
        let known = known
            || asterdale_membership::failpoint::activate(&name)
            || asterdale_ownership::failpoint::activate(&name);
        #[cfg(feature = "journal")]
        let known = known || asterdale_journal::failpoint::activate(&name);
        assert!(known, "there is no failpoint {name}");
    }
    #[cfg(feature = "tools")]
    return cli::run();
    #[cfg(not(feature = "tools"))]
    serve(How::default())
}
