//! Why the process can't serve.

#[cfg(feature = "upgrade")]
use std::error::Error;
use std::io;
use std::net::SocketAddr;

#[cfg(feature = "tls")]
use crate::start::StartError;
use crate::threads::SpawnError;

/// Why the process can't serve.
#[derive(Debug, thiserror::Error)]
pub enum AssemblyError {
    #[error("cannot catch signals")]
    Signals(#[source] io::Error),
    #[error(transparent)]
    Thread(#[from] SpawnError),
    /// A file that the start file names is invalid.
    #[cfg(feature = "tls")]
    #[error(transparent)]
    Invalid(#[from] StartError),
    #[error("cannot create a frontend")]
    Frontend(#[source] io::Error),
    #[error("cannot listen on {address}")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("cannot start the registry client")]
    Registry(#[source] io::Error),
    #[error("cannot start the records client")]
    Records(#[source] io::Error),
    #[error("cannot use the identity settings")]
    Identity(#[source] asterdale_identity::IdentityError),
    /// The state of the previous process can't be taken over, or the control socket can't be opened.
    #[cfg(feature = "upgrade")]
    #[error(transparent)]
    HotRestart(Box<dyn Error + Send + Sync>),
    #[cfg(feature = "journal")]
    #[error(transparent)]
    Journal(#[from] crate::journal::JournalError),
    #[cfg(feature = "fleet")]
    #[error(transparent)]
    Fleet(#[from] crate::fleet::FleetError),
}
