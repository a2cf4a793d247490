//! Joins the fleet that the start file configures: starts the transport of membership and ownership, and passes their
//! events to the engine, the journal and the log.

#[cfg(feature = "tools")]
mod command;
mod event_log;
mod ownership;
mod view;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use asterdale_engine::engine::unix_ms;
use asterdale_engine::log::Log;
use asterdale_engine::message::{EngineMessage, FleetView, OwnershipClient};
use asterdale_membership::{Event, MembershipConfig, Settings};
use asterdale_transport::ownership::{OwnershipActorSettings, OwnershipNotification, ReplicaDisk};
use asterdale_transport::{Transport, TransportSettings};
use crossbeam_channel::Sender;

use crate::start::{FleetSettings, OwnershipSettings, StartSettings};
#[cfg(feature = "tools")]
pub use command::{run, Command};
use ownership::ReplicatedOwnership;
use view::TransportFleetView;

/// The timeout of a probe's acknowledgement, as a fraction of the protocol period. The same as in the default
/// [`Settings`], which have both in milliseconds.
const PROBE_TIMEOUT_RATIO: f64 = 0.3;
/// A lease divided by this number is the safety margin against clocks that run at different rates.
const LEASE_MARGIN_DIVISOR: f64 = 4.0;
/// Raft ticks per lease. An election takes ten to twenty ticks, which is half a lease to a full one.
const TICKS_PER_LEASE: f64 = 20.0;
const MIN_TICK_MS: f64 = 20.0;
const MAX_TICK_MS: f64 = 200.0;

/// Why the fleet can't be joined.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    #[error("fleet: no random bytes")]
    Random(#[source] getrandom::Error),
    #[error("fleet: {address}")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    /// The replica's part of the replicated log can't be opened.
    #[cfg(feature = "journal")]
    #[error(transparent)]
    Replica(#[from] crate::journal::JournalError),
}

/// The engine's clients of the fleet. Both fields are `None` if the start file configures no fleet.
#[derive(Default)]
pub struct FleetClients {
    /// The other members.
    pub view: Option<Arc<dyn FleetView>>,
    /// The replicas that store claims; `None` if the start file configures none.
    pub ownership: Option<Arc<dyn OwnershipClient>>,
}

/// Joins the fleet, if the start file configures one.
pub fn start(
    start: &StartSettings,
    engine: &Sender<EngineMessage>,
    log: &Log,
    #[cfg(feature = "journal")] journal: Option<asterdale_journal::Journal>,
) -> Result<FleetClients, FleetError> {
    let Some(fleet) = &start.fleet else {
        return Ok(FleetClients::default());
    };
    #[cfg(feature = "journal")]
    let last_generation = journal.as_ref().map_or(0, |journal| journal.generation);
    #[cfg(not(feature = "journal"))]
    let last_generation = 0;
    let membership = membership_config(start, fleet, last_generation)?;
    #[cfg(feature = "journal")]
    let disk = crate::journal::open_replica_disk(start, log)?;
    #[cfg(not(feature = "journal"))]
    let disk = None;
    let settings = TransportSettings {
        listen: fleet.listen,
        control_socket: fleet.control_socket.as_ref().map(PathBuf::from),
        membership,
        ownership: start
            .ownership
            .as_ref()
            .map(|settings| ownership_settings(settings, disk)),
    };
    #[cfg(feature = "journal")]
    let generation_recorder = journal.map(crate::journal::GenerationRecorder::new);
    let lines = log.lines.clone();
    let on_membership_event = move |event: &Event| {
        event_log::log_membership_event(&lines, event);
        #[cfg(feature = "journal")]
        generation_recorder
            .iter()
            .for_each(|generation_recorder| generation_recorder.record(event));
    };
    let on_ownership_event = ownership_event_handler(engine.clone(), log.lines.clone());
    let transport = asterdale_transport::start(settings, on_membership_event, on_ownership_event)
        .map_err(|source| FleetError::Listen {
        address: fleet.listen,
        source,
    })?;
    Ok(engine_clients(
        transport,
        start.ownership.as_ref(),
        &fleet.key,
    ))
}

fn engine_clients(
    transport: Transport,
    ownership: Option<&OwnershipSettings>,
    fleet_key: &[u8],
) -> FleetClients {
    let ownership = transport
        .ownership
        .clone()
        .zip(ownership)
        .map(|(handle, settings)| ReplicatedOwnership::new(handle, settings, fleet_key));
    FleetClients {
        view: Some(Arc::new(TransportFleetView(transport))),
        ownership: ownership.map(|ownership| Arc::new(ownership) as Arc<dyn OwnershipClient>),
    }
}

fn membership_config(
    start: &StartSettings,
    fleet: &FleetSettings,
    last_generation: u64,
) -> Result<MembershipConfig, FleetError> {
    let mut nonce = [0; 8];
    getrandom::fill(&mut nonce).map_err(FleetError::Random)?;
    Ok(MembershipConfig {
        name: start.name.clone(),
        address: fleet.advertise,
        last_generation,
        nonce: u64::from_be_bytes(nonce),
        seeds: fleet.seeds.clone(),
        key: fleet.key.clone(),
        settings: Settings {
            probe_interval_ms: fleet.protocol_period_ms,
            probe_timeout_ms: PROBE_TIMEOUT_RATIO * fleet.protocol_period_ms,
            ..Settings::default()
        },
        random_seed: start.settings.decisions.seed,
    })
}

fn ownership_settings(
    settings: &OwnershipSettings,
    disk: Option<ReplicaDisk>,
) -> OwnershipActorSettings {
    OwnershipActorSettings {
        disk,
        replicas: settings.replicas.clone(),
        parameters: asterdale_ownership::OwnershipSettings {
            lease_ms: settings.lease_ms,
            lease_margin_ms: settings.lease_ms / LEASE_MARGIN_DIVISOR,
            tick_ms: (settings.lease_ms / TICKS_PER_LEASE).clamp(MIN_TICK_MS, MAX_TICK_MS),
            max_bytes: settings.max_bytes,
            max_retry_window_ms: settings.retry_window_ms,
            ..asterdale_ownership::OwnershipSettings::default()
        },
        unix_time_s: (unix_ms() / 1e3) as u64,
    }
}

/// Returns a handler that passes ownership notifications to the engine or the log.
fn ownership_event_handler(
    engine: Sender<EngineMessage>,
    lines: slog::Logger,
) -> impl Fn(OwnershipNotification) + Send + 'static {
    move |notification| {
        let message = match notification {
            OwnershipNotification::Answered(request, answer) => {
                EngineMessage::OwnershipAnswer(request, answer)
            }
            OwnershipNotification::OwnerlessRequests(requests) => {
                EngineMessage::OwnerlessRequests(requests)
            }
            OwnershipNotification::Log(event) => {
                event_log::log_ownership_event(&lines, &event);
                return;
            }
            OwnershipNotification::StorageFailed(error) => {
                slog::error!(lines, "takeover: storage failed, this process is no replica any more"; "error" => %error);
                return;
            }
        };
        // Blocks while the engine's mailbox is full, which the engine empties quickly. The mailbox closes only when the
        // process ends, so a failed send is ignored.
        let _ = engine.send(message);
    }
}
