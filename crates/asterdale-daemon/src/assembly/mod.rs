//! Starts all actors of the process, connects them with the engine, and runs the engine.
//!
//! Every actor has a thread of its own; the engine runs on the main thread. Actors communicate only by messages, so
//! only this module and its submodules know which actors exist.

mod actors;
mod error;
mod frontends;
mod hot_restart;
mod identity;

use std::path::PathBuf;
use std::sync::Arc;

use asterdale_engine::counters::Counters;
use asterdale_engine::engine::EngineSettings;
use asterdale_engine::log::Log;
use asterdale_engine::memory::MemoryAccount;
use asterdale_engine::message::EngineMessage;
use asterdale_engine::EnginePorts;
use asterdale_identity::Identity;
use crossbeam_channel::{bounded, Sender};

use crate::reload::Reload;
use crate::signals::{self, SignalHandler};
use crate::start::StartSettings;
use crate::threads;
pub use error::AssemblyError;
use frontends::Frontends;
use hot_restart::PreviousProcess;

/// Capacity of the engine's mailbox, in messages. Senders block while it is full, so frontends stop reading from their
/// connections.
const ENGINE_MAILBOX_CAPACITY: usize = 4096;

/// What every actor gets: the sender to the engine, the counters and the log.
#[derive(Clone)]
struct ActorContext {
    engine: Sender<EngineMessage>,
    request_memory: Arc<MemoryAccount>,
    counters: Arc<Counters>,
    log: Log,
}

/// Serves until the engine ends, which is when the process is drained.
///
/// # Errors
/// If any actor can't be started. The process must exit then, as other actors may be running.
pub fn run(
    start: StartSettings,
    start_file: Option<PathBuf>,
    log: &Log,
) -> Result<(), AssemblyError> {
    let (engine, mailbox) = bounded(ENGINE_MAILBOX_CAPACITY);
    let context = ActorContext {
        engine,
        request_memory: MemoryAccount::new(&start.memory),
        counters: Arc::default(),
        log: log.clone(),
    };
    // Signals are caught before anything makes the process visible to others: a signal that arrived earlier would end
    // it.
    let caught_signals = signals::catch().map_err(AssemblyError::Signals)?;
    let mut listeners = frontends::listener_settings(&start)?;
    let mut previous = PreviousProcess::inherit(&start)?;
    previous.separate_connection_numbers(&mut listeners);
    let frontends = Frontends::create(&start, &listeners, &context)?;
    let sockets = previous.listening_sockets(&listeners, log)?;
    previous.start_control_server(&start, &sockets, &context)?;
    let caller_identity = identity::start(&start, &context)?;
    let reload = Reload {
        start_file,
        issuer: caller_identity.issuer.clone(),
        #[cfg(feature = "tls")]
        tls: listeners.iter().find_map(|listener| listener.tls.clone()),
    };
    let handler = signal_handler(&start, reload, &context);
    threads::spawn("signals", move || handler.run(caught_signals))?;
    let runtime_link = actors::start_runtime_link(&start, &context)?;
    let registry = actors::start_registry(&start, &context)?;
    let frontends = frontends.start(sockets)?;
    let records = actors::start_records(&start, &context)?;
    let ownership_ports = actors::start_journal_and_fleet(&start, &context)?;
    let ports = EnginePorts {
        records,
        frontends: Arc::new(frontends),
        registry,
        runtime_link,
        issuer: caller_identity.issuer,
        fleet: ownership_ports.fleet,
        #[cfg(any(feature = "fleet", feature = "journal"))]
        ownership: ownership_ports.ownership,
        request_memory: context.request_memory.clone(),
        counters: context.counters.clone(),
        log: log.clone(),
    };
    let address = start.listen;
    let settings = engine_settings(start, caller_identity.identity);
    let (mut engine, standby) = previous.into_engine(settings, ports, &context)?;
    slog::info!(log.lines, "daemon: serving"; "address" => %address);
    engine.run(&mailbox);
    engine.print_counters();
    standby.release();
    Ok(())
}

fn engine_settings(start: StartSettings, identity: Option<Identity>) -> EngineSettings {
    EngineSettings {
        settings: start.settings,
        memory: start.memory,
        termination_grace_ms: start.stop_ms,
        endpoints: start.endpoints,
        identity,
    }
}

fn signal_handler(
    #[cfg_attr(not(feature = "upgrade"), expect(unused_variables))] start: &StartSettings,
    reload: Reload,
    context: &ActorContext,
) -> SignalHandler {
    SignalHandler {
        engine: context.engine.clone(),
        reload,
        #[cfg(feature = "upgrade")]
        control_socket: start.control_socket.as_ref().map(PathBuf::from),
        counters: context.counters.clone(),
        log: context.log.clone(),
    }
}
