//! Starts the actors that need nothing but their settings: runtime link, registry, records client, journal and fleet.

use std::sync::Arc;

use asterdale_engine::mailbox::MailboxSender;
#[cfg(any(feature = "fleet", feature = "journal"))]
use asterdale_engine::message::OwnershipClient;
use asterdale_engine::message::{FleetView, RegistryCommand, RuntimeLinkCommand};
use asterdale_engine::records::Records;
use asterdale_engine::{records, registry, runtime};
use crossbeam_channel::{unbounded, Sender};

use super::{ActorContext, AssemblyError};
use crate::start::Start;
use crate::threads::spawn;

/// Starts the link to the runtime. Returns the way to change its address.
pub fn start_runtime_link(
    start: &Start,
    context: &ActorContext,
) -> Result<Sender<RuntimeLinkCommand>, AssemblyError> {
    // Unbounded, as no command may be dropped: the last one has the runtime's address. A reload sends one at most.
    let (sender, commands) = unbounded();
    let (address, context) = (start.endpoints.runtime, context.clone());
    spawn("runtime", move || {
        let ActorContext {
            engine,
            counters,
            log,
        } = context;
        runtime::link(address, &commands, &engine, &counters, &log);
    })?;
    Ok(sender)
}

/// Starts the actor that reports this process to the registry. Returns the way to it.
pub fn start_registry(
    start: &Start,
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
pub fn start_records(start: &Start, context: &ActorContext) -> Result<Records, AssemblyError> {
    let (records, caller) = records::new(
        start.endpoints.records,
        context.engine.clone(),
        context.counters.clone(),
        context.log.clone(),
    )
    .map_err(AssemblyError::Records)?;
    spawn("calls", move || caller.serve())?;
    Ok(records)
}

/// The engine's view of other processes, and of where claims are kept.
pub struct FleetPorts {
    /// The other processes of the fleet, where there is one.
    pub view: Option<Arc<dyn FleetView>>,
    /// Those who keep claims: the fleet's replicas or, without them, this process's journal.
    #[cfg(any(feature = "fleet", feature = "journal"))]
    pub ownership: Option<Arc<dyn OwnershipClient>>,
}

/// Opens the journal and joins the fleet, where the start file has them.
#[cfg_attr(
    not(any(feature = "fleet", feature = "journal")),
    expect(unused_variables, clippy::unnecessary_wraps)
)]
pub fn start_journal_and_fleet(
    start: &Start,
    context: &ActorContext,
) -> Result<FleetPorts, AssemblyError> {
    #[cfg(feature = "journal")]
    let (journal, journal_ownership) = crate::journal::begin(start, &context.engine, &context.log)
        .map_err(|e| AssemblyError::Journal(e.into()))?;
    #[cfg(feature = "fleet")]
    let (view, fleet_ownership) = crate::fleet::begin(
        start,
        &context.engine,
        &context.log,
        #[cfg(feature = "journal")]
        journal,
    )
    .map_err(|e| AssemblyError::Fleet(e.into()))?;
    Ok(FleetPorts {
        #[cfg(feature = "fleet")]
        view,
        #[cfg(not(feature = "fleet"))]
        view: None,
        #[cfg(all(feature = "journal", feature = "fleet"))]
        ownership: fleet_ownership.or(journal_ownership),
        #[cfg(all(feature = "journal", not(feature = "fleet")))]
        ownership: {
            // Only a fleet needs the journal itself.
            drop(journal);
            journal_ownership
        },
        #[cfg(all(feature = "fleet", not(feature = "journal")))]
        ownership: fleet_ownership,
    })
}
