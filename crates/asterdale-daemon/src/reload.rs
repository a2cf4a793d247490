//! Reads the start file again and applies what can change while the process serves: endpoints, identity parameters and
//! keys, TLS certificates.

use std::path::{Path, PathBuf};
#[cfg(feature = "tls")]
use std::sync::Arc;

use asterdale_engine::issuer::KeyRefresh;
use asterdale_engine::message::EngineMessage;
use crossbeam_channel::Sender;

#[cfg(feature = "tls")]
use crate::frontend::TlsAcceptor;
use crate::start::{self, KeySetSource, ReadKeySetError, StartError, StartSettings};

/// Reads this start file or, if absent, the one that the environment names.
///
/// # Errors
/// Everything that is wrong with it.
pub fn read_start(start_file: Option<&Path>) -> Result<StartSettings, StartError> {
    start_file.map_or_else(start::from_environment, start::from_file)
}

/// Why a reload changed nothing, or not everything.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The start file or a file that it names is invalid.
    #[error(transparent)]
    Invalid(#[from] StartError),
    /// The key set can't be read; everything else was applied.
    #[error(transparent)]
    KeySet(#[from] ReadKeySetError),
}

/// The parts of the process, other than the engine, whose settings a reload can change.
pub struct Reload {
    /// The start file; if absent, an environment variable names it.
    pub start_file: Option<PathBuf>,
    /// The actor that fetches keys from the issuer, if there is one.
    pub issuer: Option<Sender<KeyRefresh>>,
    #[cfg(feature = "tls")]
    pub tls: Option<Arc<TlsAcceptor>>,
}

impl Reload {
    /// Reads the start file and applies it. Returns `false` if the engine has ended.
    ///
    /// # Errors
    /// If a file is invalid. Nothing has changed then, unless only the key set is invalid: everything else was applied
    /// in this case.
    pub fn run(&self, engine: &Sender<EngineMessage>) -> Result<bool, ReloadError> {
        let start = read_start(self.start_file.as_deref())?;
        #[cfg(feature = "tls")]
        if let (Some(acceptor), Some(tls)) = (&self.tls, &start.tls) {
            acceptor.reload(tls)?;
        }
        self.apply(start, engine)
    }

    fn apply(
        &self,
        start: StartSettings,
        engine: &Sender<EngineMessage>,
    ) -> Result<bool, ReloadError> {
        let (parameters, key_source) = start
            .identity
            .map(|identity| (Box::new(identity.parameters), identity.key_source))
            .unzip();
        let mut is_engine_running = engine
            .send(EngineMessage::Reloaded(start.endpoints, parameters))
            .is_ok();
        match (key_source, &self.issuer) {
            (Some(KeySetSource::Issuer(source)), Some(issuer)) => {
                // A full mailbox means that the actor has not processed previous changes yet. This one is dropped; the
                // next SIGHUP sends it again.
                let _ = issuer.try_send(KeyRefresh::SetSource(source));
            }
            (Some(source), _) => {
                if let Some(key_set) = source.read_file() {
                    let key_set = key_set?;
                    is_engine_running &= engine.send(EngineMessage::KeySet(key_set)).is_ok();
                }
            }
            (None, _) => {}
        }
        Ok(is_engine_running)
    }
}
