//! TLS for edge nodes that present a client certificate. Used only by deployments that configure it; the platform's
//! build does not include it.

mod certificate;
mod session;
mod settings;

use std::io;
use std::net::TcpStream;
use std::sync::{Arc, PoisonError, RwLock};

use rustls::{ServerConfig, ServerConnection};

use crate::start::{StartError, TlsSettings};

pub use session::TlsSession;

/// Starts TLS sessions. Its certificates are read again on SIGHUP, for sessions that start from then on.
pub struct TlsAcceptor {
    config: RwLock<Arc<ServerConfig>>,
}

impl TlsAcceptor {
    /// Reads the files that the start file's section names.
    ///
    /// # Errors
    /// The first fault of these files, with the path of the field in the start file.
    pub fn new(tls: &TlsSettings) -> Result<TlsAcceptor, StartError> {
        Ok(TlsAcceptor {
            config: RwLock::new(settings::load(tls)?),
        })
    }

    /// Reads the files again.
    ///
    /// # Errors
    /// If anything is wrong with them; then the previous certificates stay in use.
    pub fn reload(&self, tls: &TlsSettings) -> Result<(), StartError> {
        let config = settings::load(tls)?;
        // A panic anywhere ends the process, so a poisoned lock is never seen.
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = config;
        Ok(())
    }

    /// Starts a session on a connection. Nothing is read or written yet.
    pub fn accept(&self, stream: TcpStream) -> io::Result<TlsSession> {
        let config = self
            .config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let mut state = ServerConnection::new(config).map_err(io::Error::other)?;
        // Unsent replies are bounded by the connection, which reads nothing while there are too many. A partially
        // encrypted reply could not be withdrawn, so the session's buffer has no limit of its own.
        state.set_buffer_limit(None);
        Ok(TlsSession::new(stream, state))
    }
}
