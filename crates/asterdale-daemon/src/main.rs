//! The asterdale backend: one process that serves tasks on real sockets, with asterdale's decisions.

mod edge;
mod head;
mod peer;
mod start;

use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

use asterdale_host::counters::Counters;
use asterdale_host::host::Begin;
use asterdale_host::log::{Kind, Log};
use asterdale_host::mail::Mail;
use asterdale_host::records::Records;
use asterdale_host::{registry, runtime, Around, Host};
use crossbeam_channel::{bounded, unbounded, Sender};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

use edge::Edge;
use start::Start;

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

/// Signals become mail. SIGHUP reads the start file again; one that can't be read changes nothing.
fn signals(mut signals: Signals, host: &Sender<Mail>, counters: &Counters, log: &Log) {
    static UNREADABLE: Kind = Kind::new();
    for signal in signals.forever() {
        let mail = match signal {
            SIGUSR1 => Mail::Report,
            SIGHUP => match start::from_environment() {
                Ok(start) => Mail::Moved(start.peers),
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

fn serve(start: Start, log: &Log) -> Result<(), String> {
    let (mail, mailbox) = bounded(WAITING);
    let (list, for_list) = bounded(WORDS);
    let (moves, moved) = bounded(WORDS);
    let (out, answers) = unbounded();
    let counters = Arc::new(Counters::default());
    let edge = Arc::new(Edge::new(&start, mail.clone(), out, counters.clone(), log.clone()));
    let listener = edge.bind().map_err(|e| format!("listen: {}: {e}", start.listen))?;
    let caught = Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let (host, counted, lines) = (mail.clone(), counters.clone(), log.clone());
    spawn("signals", move || signals(caught, &host, &counted, &lines))?;
    let (host, counted, lines, at) = (mail.clone(), counters.clone(), log.clone(), start.peers.runtime);
    spawn("runtime", move || runtime::link(at, &moved, &host, &counted, &lines))?;
    let (counted, lines, name, at) =
        (counters.clone(), log.clone(), start.name.clone(), start.peers.registry);
    spawn("registry", move || registry::report(at, &name, &for_list, &counted, &lines))?;
    let writer = edge.writer(answers);
    spawn("writer", move || writer.serve())?;
    let keeping = edge.clone();
    spawn("keeper", move || keeping.keep())?;
    let listening = edge.clone();
    spawn("listener", move || listening.accept(&listener))?;
    let records = Records::new(start.peers.records, mail, counters.clone());
    let around = Around { records, fronts: edge, list, moves, counters, log: log.clone() };
    let Start { facts, memory, stop_ms, peers, .. } = start;
    let mut host = Host::new(Begin { facts, memory, stop_ms, peers }, around);
    slog::info!(log.lines, "host: serving"; "at" => %start.listen);
    host.serve(&mailbox);
    host.report();
    Ok(())
}

/// A panic anywhere ends the program: half of it would answer for work that nobody does any more.
fn end_on_panic() {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        usual(panic);
        std::process::exit(101);
    }));
}

fn main() -> ExitCode {
    end_on_panic();
    let start = match start::from_environment() {
        Ok(start) => start,
        Err(what) => {
            eprintln!("asterdale: {what}");
            return ExitCode::from(2);
        }
    };
    let (log, guard) = Log::to_stderr(&start.name);
    let served = serve(start, &log);
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
