//! The start file as deserialized from JSON: the type from which its JSON Schema is generated. The deserializer
//! requires no field, so that all faults are reported at once; [`super::parse`] checks that the required fields are
//! present.

#[cfg(feature = "tools")]
use schemars::JsonSchema;
use serde::Deserialize;

use super::decisions::DecisionSection;
use super::fleet::FleetSection;
use super::identity::section::IdentitySection;
use super::journal::JournalSection;
use super::limits::LimitsSection;
use super::ownership::OwnershipSection;
use super::tls::TlsSection;
use super::upgrade::UpgradeSection;
use super::value::{Address, Hexadecimal, Positive};

/// The start file. Unknown keys are ignored, except in sections that say otherwise.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(rename = "File", expecting = "struct File", default)]
#[cfg_attr(feature = "tools", schemars(title = "asterdale's start file"))]
pub struct StartFile {
    /// The backend's name; the variable `ROUTER_NAME` takes precedence.
    pub name: Option<String>,
    /// The address that it listens on for edge nodes; the variable `ROUTER_LISTEN` takes precedence.
    pub listen: Option<Address>,
    /// Address of the runtime, which executes requests.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub runtime: Option<Address>,
    /// Address of the registry, through which edge nodes find this backend.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub registry: Option<Address>,
    /// Address of the records service, the dependency that running requests call.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub records: Option<Address>,
    /// Seed of the random number generator; use a new one for each start.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub seed: Option<Hexadecimal>,
    /// The time from SIGTERM to SIGKILL, in milliseconds.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub stop_ms: Option<Positive>,
    /// Resource limits of this process.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub limits: Option<LimitsSection>,
    /// Parameters of the decisions.
    #[serde(rename = "settings")]
    #[cfg_attr(feature = "tools", schemars(required))]
    pub decisions: Option<DecisionSection>,
    /// Which callers are accepted. Absent: any caller.
    pub identity: Option<IdentitySection>,
    /// A second listener, for edge nodes that present a client certificate. Absent: none.
    pub tls: Option<TlsSection>,
    /// Hot restart: how another process takes over while this one serves. Absent: hot restart is disabled.
    pub upgrade: Option<UpgradeSection>,
    /// The fleet that this process is a member of. Absent: it is not a member of a fleet.
    pub fleet: Option<FleetSection>,
    /// Replicated ownership of requests, which needs a section `fleet`. Absent: if a backend fails, its requests are
    /// lost.
    #[serde(rename = "takeover")]
    pub ownership: Option<OwnershipSection>,
    /// State on a local disk that survives a crash of this process. Absent: none.
    pub journal: Option<JournalSection>,
}
