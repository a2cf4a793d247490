//! The settings of this process: reads and checks the start file. Each of its sections has a module.

mod decisions;
mod deserialize;
pub mod error;
pub mod file;
mod fleet;
mod identity;
mod journal;
mod limits;
mod load;
mod ownership;
mod tls;
mod upgrade;
mod value;

#[cfg(test)]
mod tests;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use asterdale_engine::memory::MemoryBudget;
use asterdale_engine::message::Endpoints;
use asterdale_parameters::Settings;

use error::{Faults, Problem};

pub use error::StartError;
pub use fleet::FleetSettings;
pub use identity::{IdentitySettings, KeySetSource, ReadKeySetError};
pub use journal::JournalSettings;
#[cfg(any(test, feature = "tools"))]
pub use load::parse;
pub use load::{from_environment, from_file};
pub use ownership::OwnershipSettings;
pub use tls::TlsSettings;

/// All settings of this process, checked.
#[derive(Clone, Debug)]
pub struct StartSettings {
    /// The backend's name.
    pub name: String,
    /// The address that it listens on for edge nodes.
    pub listen: SocketAddr,
    /// The addresses of the services that it connects to.
    pub endpoints: Endpoints,
    /// The time from SIGTERM, which starts draining, to SIGKILL, in milliseconds.
    pub stop_ms: f64,
    /// The shares of this process's memory limit.
    pub memory: MemoryBudget,
    /// Maximum number of open file descriptors of this process.
    pub max_descriptors: usize,
    /// Parameters of the decisions.
    pub settings: Arc<Settings>,
    /// Which callers are accepted; `None` for any.
    pub identity: Option<IdentitySettings>,
    /// The listener for edge nodes that present a client certificate.
    #[cfg_attr(
        not(feature = "tls"),
        expect(
            dead_code,
            reason = "a build without TLS rejects a start file with this section"
        )
    )]
    pub tls: Option<TlsSettings>,
    /// Path of the control socket for hot restarts.
    #[cfg_attr(
        not(feature = "upgrade"),
        expect(
            dead_code,
            reason = "a build without hot restart rejects a start file with this section"
        )
    )]
    pub control_socket: Option<String>,
    /// The fleet that this process is a member of.
    #[cfg_attr(
        not(any(feature = "fleet", feature = "journal")),
        expect(
            dead_code,
            reason = "a build without a fleet rejects a start file with this section"
        )
    )]
    pub fleet: Option<FleetSettings>,
    /// Replicated ownership of requests.
    #[cfg_attr(
        not(feature = "fleet"),
        expect(
            dead_code,
            reason = "a build without a fleet rejects a start file with this section"
        )
    )]
    pub ownership: Option<OwnershipSettings>,
    /// State on a local disk that survives a crash.
    #[cfg_attr(
        not(feature = "journal"),
        expect(
            dead_code,
            reason = "a build without a journal rejects a start file with this section"
        )
    )]
    pub journal: Option<JournalSettings>,
}

/// Reports each entry of a list whose name is missing, empty, or the same as that of an earlier entry.
fn require_unique_names<'a>(
    list_path: &str,
    names: impl Iterator<Item = Option<&'a String>>,
    faults: &mut Faults,
) {
    let mut known = HashSet::new();
    for (index, name) in names.enumerate() {
        let path = format!("{list_path}[{index}].name");
        let Some(name) = faults.require(&path, name) else {
            continue;
        };
        if name.is_empty() {
            faults.add(path, Problem::Empty);
        } else if !known.insert(name) {
            faults.add(path, Problem::Duplicate(name.clone()));
        }
    }
}
