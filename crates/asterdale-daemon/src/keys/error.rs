//! The errors of `asterdale keys` and of what `asterdale token` shares with it.

use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// An error of another package, which says itself what is wrong.
pub type Cause = Box<dyn Error + Send + Sync>;

/// A command on keys or key sets has failed.
#[derive(Debug, Error)]
pub enum KeysError {
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file holds no key, or no key set.
    #[error("{}: {source}", path.display())]
    Content {
        /// Its path.
        path: PathBuf,
        /// What is wrong with it.
        source: Cause,
    },
    /// A key can't be made, or a key set can't be changed in this way.
    #[error("{0}")]
    Rejected(#[source] Cause),
    /// A server would reject the key set.
    #[error("no server would take this set: {0}")]
    UnusableKeySet(String),
    /// A subject has no tenant.
    #[error("--subject {0}: TENANT/SUBJECT is wanted")]
    SubjectWithoutTenant(String),
}

impl KeysError {
    /// An error of reading or writing this file.
    pub fn file(path: &Path) -> impl Fn(io::Error) -> KeysError + '_ {
        |source| KeysError::File {
            path: path.to_owned(),
            source,
        }
    }

    /// The content of this file is of no use.
    pub fn content(path: &Path, source: impl Into<Cause>) -> KeysError {
        KeysError::Content {
            path: path.to_owned(),
            source: source.into(),
        }
    }

    /// A key or a key set rejects the command.
    pub fn rejected(cause: impl Into<Cause>) -> KeysError {
        KeysError::Rejected(cause.into())
    }
}
