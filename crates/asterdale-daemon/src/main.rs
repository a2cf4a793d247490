//! The asterdale backend: one process that serves tasks on real sockets, with asterdale's decisions.

mod counters;
mod edge;
mod fingerprints;
mod gather;
mod head;
mod host;
mod http;
mod log;
mod records;
mod registry;
mod runtime;
mod start;
mod tasks;

use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

use crossbeam_channel::{bounded, Sender};
use signal_hook::consts::{SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

use counters::Counters;
use edge::Edge;
use host::{Around, Host, Mail};
use log::Log;
use records::Records;
use start::Start;

/// Mail that waits for the host. Whoever sends more waits: a connection's reader reads no further.
const WAITING: usize = 4096;
/// Of threads that wait for one thing and keep their buffers on the heap.
const STACK: usize = 128 * 1024;

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let thread = thread::Builder::new().name(name.to_owned()).stack_size(STACK);
    thread.spawn(work).map(drop).map_err(|e| format!("no thread for {name}: {e}"))
}

/// Signals become mail.
fn signals(mut signals: Signals, host: &Sender<Mail>) {
    for signal in signals.forever() {
        let mail = if signal == SIGUSR1 { Mail::Report } else { Mail::Leave };
        if host.send(mail).is_err() {
            return;
        }
    }
}

fn serve(start: Start, log: &Log) -> Result<(), String> {
    let (mail, mailbox) = bounded(WAITING);
    let (leaving, left) = bounded(1);
    let counters = Arc::new(Counters::default());
    let edge = Arc::new(Edge::new(&start, mail.clone(), counters.clone(), log.clone()));
    let listener = edge.bind().map_err(|e| format!("listen: {}: {e}", start.listen))?;
    let caught = Signals::new([SIGTERM, SIGINT, SIGUSR1]).map_err(|e| format!("signals: {e}"))?;
    let host = mail.clone();
    spawn("signals", move || signals(caught, &host))?;
    let (host, counted, lines) = (mail.clone(), counters.clone(), log.clone());
    spawn("runtime", move || runtime::link(start.runtime, &host, &counted, &lines))?;
    let (counted, lines, name) = (counters.clone(), log.clone(), start.name.clone());
    spawn("registry", move || registry::report(start.registry, &name, &left, &counted, &lines))?;
    let listening = edge.clone();
    spawn("listener", move || listening.accept(&listener))?;
    let records = Records::new(start.records, mail, counters.clone());
    let around = Around { records, edge, leaving, counters, log: log.clone() };
    let mut host = Host::new(&start, around);
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
