//! The errors of `asterdale keys`, and of the functions that `asterdale token` shares with it.

use std::io;
use std::path::{Path, PathBuf};

use asterdale_identity::keyring::{KeySetError, RotationError};
use asterdale_identity::mint::SecretKeyError;
use thiserror::Error;

/// A command on keys or key sets failed.
#[derive(Debug, Error)]
pub enum KeysError {
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file does not contain a secret key.
    #[error("{}: {source}", path.display())]
    SecretKeyFile {
        /// Its path.
        path: PathBuf,
        /// What is wrong with its content.
        source: SecretKeyError,
    },
    /// A file does not contain a key set.
    #[error("{}: {source}", path.display())]
    KeySetFile {
        /// Its path.
        path: PathBuf,
        /// What is wrong with its content.
        source: serde_json::Error,
    },
    /// Servers would reject the key set of a file.
    #[error("{}: {source:?}", path.display())]
    RejectedKeySet {
        /// Its path.
        path: PathBuf,
        /// Why it would be rejected.
        source: KeySetError,
    },
    /// A secret key can't be generated.
    #[error(transparent)]
    GenerateSecretKey(#[from] SecretKeyError),
    /// The key set rejects the change.
    #[error(transparent)]
    Rotation(#[from] RotationError),
    /// The key set can't be serialized.
    #[error(transparent)]
    Serialize(#[from] serde_json::Error),
    /// Servers would reject the key set that was just signed.
    #[error("servers would reject this key set: {0:?}")]
    UnusableKeySet(#[source] KeySetError),
    /// A subject is given without its tenant.
    #[error("--subject {0}: expected TENANT/SUBJECT")]
    SubjectWithoutTenant(String),
}

impl KeysError {
    /// Returns a function that makes the error of reading or writing this file.
    pub fn file(path: &Path) -> impl Fn(io::Error) -> KeysError + '_ {
        |source| KeysError::File {
            path: path.to_owned(),
            source,
        }
    }
}
