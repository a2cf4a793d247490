//! The ports and settings that an engine is created with.

use std::sync::Arc;

use asterdale_identity::Identity;
use asterdale_parameters::Settings;
use crossbeam_channel::Sender;

use crate::counters::Counters;
use crate::log::Log;
use crate::mailbox::MailboxSender;
use crate::memory::{MemoryAccount, MemoryBudget};
#[cfg(feature = "ownership")]
use crate::message::OwnershipClient;
use crate::message::{
    Endpoints, FleetView, Frontends, KeyRefresh, RegistryCommand, RuntimeLinkCommand,
};
use crate::records::Records;

/// The other parts of the process, as the engine reaches them.
pub struct EnginePorts {
    /// Makes calls to the records service.
    pub records: Records,
    /// All connections of the frontends.
    pub frontends: Arc<dyn Frontends>,
    /// The registry's actor.
    pub registry: MailboxSender<RegistryCommand>,
    /// The runtime's actor.
    pub runtime_link: Sender<RuntimeLinkCommand>,
    /// The issuer's actor, where there is one.
    pub issuer: Option<Sender<KeyRefresh>>,
    /// The other processes of the fleet, where this one belongs to a fleet.
    pub fleet: Option<Arc<dyn FleetView>>,
    /// The ownership replicas, where ownership is replicated.
    #[cfg(feature = "ownership")]
    pub ownership: Option<Arc<dyn OwnershipClient>>,
    /// The memory that open requests have reserved.
    pub request_memory: Arc<MemoryAccount>,
    /// Counters.
    pub counters: Arc<Counters>,
    /// The log.
    pub log: Log,
}

/// Settings of an engine.
pub struct EngineSettings {
    /// Settings of the policies.
    pub settings: Arc<Settings>,
    /// The shares of this process's memory.
    pub memory: MemoryBudget,
    /// The time from the signal to shut down until the process is killed, in milliseconds.
    pub termination_grace_ms: f64,
    /// The addresses of the services.
    pub endpoints: Endpoints,
    /// The identity policy, where callers are authenticated.
    pub identity: Option<Identity>,
}
