//! Starts the actors that depend only on the start file and the engine: runtime link, registry, records client, journal
//! and fleet.

use std::sync::Arc;

use asterdale_engine::mailbox::MailboxSender;
use asterdale_engine::memory::ByteSemaphore;
#[cfg(any(feature = "fleet", feature = "journal"))]
use asterdale_engine::message::OwnershipClient;
use asterdale_engine::message::{FleetView, RegistryCommand, RuntimeLinkCommand};
use asterdale_engine::records::Records;
use asterdale_engine::{records, registry, runtime};
use crossbeam_channel::{unbounded, Sender};

use super::{ActorContext, AssemblyError};
use crate::start::StartSettings;
use crate::threads::spawn;

/// The memory for each of what the engine has not handled of the runtime's notices, the same of the records service's
/// responses, and incomplete responses, in bytes.
fn link_bytes(start: &StartSettings) -> usize {
    const BOUNDS: usize = 3;
    start.memory.links / BOUNDS
}

/// Starts the link to the runtime. Returns the sender of its commands, which change the runtime's address.
pub fn start_runtime_link(
    start: &StartSettings,
    context: &ActorContext,
) -> Result<Sender<RuntimeLinkCommand>, AssemblyError> {
    // Unbounded, as no command may be dropped: the last one has the runtime's address. A reload sends one at most.
    let (sender, commands) = unbounded();
    let (address, context) = (start.endpoints.runtime, context.clone());
    let received = ByteSemaphore::new(link_bytes(start));
    spawn("runtime", move || {
        let ActorContext {
            engine,
            counters,
            log,
            ..
        } = context;
        runtime::run(address, &commands, &engine, &received, &counters, &log);
    })?;
    Ok(sender)
}

/// Starts the actor that reports this process to the registry. Returns the sender of its commands.
pub fn start_registry(
    start: &StartSettings,
    context: &ActorContext,
) -> Result<MailboxSender<RegistryCommand>, AssemblyError> {
    let (sender, reporter) = registry::new(
        start.endpoints.registry,
        start.name.clone(),
        context.counters.clone(),
        context.log.clone(),
    )
    .map_err(AssemblyError::Registry)?;
    spawn("registry", move || reporter.serve())?;
    Ok(sender)
}

/// Starts the client of the records service.
pub fn start_records(
    start: &StartSettings,
    context: &ActorContext,
) -> Result<Records, AssemblyError> {
    let (records, call_actor) = records::new(
        start.endpoints.records,
        context.engine.clone(),
        ByteSemaphore::new(link_bytes(start)),
        context.counters.clone(),
        context.log.clone(),
    )
    .map_err(AssemblyError::Records)?;
    spawn("calls", move || call_actor.serve())?;
    Ok(records)
}

/// The engine's ports to the other processes of the fleet and to the store of claims.
#[derive(Default)]
pub struct OwnershipPorts {
    /// The other processes of the fleet, if this process belongs to one.
    pub fleet: Option<Arc<dyn FleetView>>,
    /// Where claims are recorded: the fleet's replicas or, without them, this process's journal.
    #[cfg(any(feature = "fleet", feature = "journal"))]
    pub ownership: Option<Arc<dyn OwnershipClient>>,
}

/// Opens the journal and joins the fleet, if the start file configures them.
#[cfg(any(feature = "fleet", feature = "journal"))]
pub fn start_journal_and_fleet(
    start: &StartSettings,
    context: &ActorContext,
) -> Result<OwnershipPorts, AssemblyError> {
    #[cfg(feature = "journal")]
    let journal = crate::journal::start(start, &context.engine, &context.log)?;
    #[cfg(feature = "fleet")]
    let fleet = crate::fleet::start(
        start,
        &context.engine,
        &context.log,
        #[cfg(feature = "journal")]
        journal.journal,
    )?;
    Ok(OwnershipPorts {
        #[cfg(feature = "fleet")]
        fleet: fleet.view,
        #[cfg(not(feature = "fleet"))]
        fleet: None,
        #[cfg(all(feature = "journal", feature = "fleet"))]
        ownership: fleet.ownership.or(journal.ownership),
        #[cfg(all(feature = "journal", not(feature = "fleet")))]
        ownership: journal.ownership,
        #[cfg(all(feature = "fleet", not(feature = "journal")))]
        ownership: fleet.ownership,
    })
}

/// Starts nothing: this build has neither journal nor fleet.
#[cfg(not(any(feature = "fleet", feature = "journal")))]
pub fn start_journal_and_fleet(
    _: &StartSettings,
    _: &ActorContext,
) -> Result<OwnershipPorts, AssemblyError> {
    Ok(OwnershipPorts::default())
}
