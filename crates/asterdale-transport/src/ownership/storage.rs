//! The storage of a replica's log, as the ownership actor uses it.

use std::error::Error;
use std::fmt;
use std::sync::{Arc, Mutex};

use asterdale_ownership::{StorageWrite, StoredState};

/// Why a replica's storage could not write.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct StorageError(Box<dyn Error + Send + Sync>);

impl StorageError {
    /// Wraps the error of a storage.
    pub fn new(source: impl Error + Send + Sync + 'static) -> StorageError {
        StorageError(Box::new(source))
    }
}

/// Where a replica stores its log.
pub trait ReplicaStorage: Send {
    /// Writes all of this, in order, and returns once it is on disk. Without writes it refreshes the storage's timestamp.
    ///
    /// # Errors
    /// If the writes may not be on disk. The storage is not used after an error.
    fn save(&mut self, writes: Vec<StorageWrite>) -> Result<(), StorageError>;
}

/// A replica's storage and its contents when it was opened.
#[derive(Clone)]
pub struct ReplicaDisk {
    /// The stored state; empty unless it is certainly the latest.
    pub saved: StoredState,
    /// The open storage.
    pub storage: Arc<Mutex<dyn ReplicaStorage>>,
}

impl fmt::Debug for ReplicaDisk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ReplicaDisk")
    }
}
