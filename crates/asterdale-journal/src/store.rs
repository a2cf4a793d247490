//! The journal's file: a table of keys and the folder's header, in a `redb` database (copy-on-write, a checksum for each
//! page, atomic commits). The disk is accessed through the library's `StorageBackend` trait, so that tests can inject disk
//! faults.

mod backend;
mod panics;

use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use redb::backends::FileBackend;
use redb::{
    Database, DatabaseError, ReadTransaction, ReadableDatabase, ReadableTable,
    ReadableTableMetadata, StorageBackend, StorageError, TableDefinition, TableError,
};
use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;

use crate::entry::{self, Entry, FolderHeader};
use crate::error::{Damage, StoreError};
use crate::failpoint::{self, Failpoint};
use crate::index::KeyWrite;
use backend::{GuardedBackend, MemoryBackend};

pub use panics::{catch_library_panic, is_catching_panics};

// The names of the tables and of the header's key are stored.
const ENTRIES_TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("entries");
const METADATA_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const HEADER_KEY: &str = "face";
/// The size of the database's page cache, in bytes. Small, because entries are read only once, at the start.
const CACHE_BYTES: usize = 4 << 20;
/// The name of the file in its folder.
pub const STATE_FILE: &str = "state.redb";

/// The contents of a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The folder's header; `None` for a new folder.
    pub header: Option<FolderHeader>,
    /// Entries by key.
    pub entries: Vec<(Vec<u8>, Entry)>,
    /// The number of entries that could not be decoded.
    pub damaged_entries: usize,
}

/// An open database file.
#[derive(Debug)]
pub struct Store {
    database: Database,
    sync_failed: Arc<AtomicBool>,
}

impl Store {
    /// Opens the file [`STATE_FILE`] of this folder, or creates it. The file may grow to `max_file_bytes`.
    ///
    /// # Errors
    /// [`StoreError::Locked`] if another process has the file open, [`StoreError::Damaged`] if its contents can't be read.
    pub fn open(folder: &Path, max_file_bytes: u64) -> Result<Store, StoreError> {
        Store::open_file(folder, STATE_FILE, max_file_bytes)
    }

    /// Like [`Store::open`], for a file of another name.
    pub(crate) fn open_file(
        folder: &Path,
        name: &str,
        max_file_bytes: u64,
    ) -> Result<Store, StoreError> {
        let folder_error = |source| StoreError::Io {
            path: folder.to_owned(),
            source,
        };
        std::fs::create_dir_all(folder).map_err(folder_error)?;
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(folder.join(name))
            .map_err(folder_error)?;
        lock(&file).map_err(|e| match e {
            Errno::WOULDBLOCK => StoreError::Locked,
            e => folder_error(e.into()),
        })?;
        let backend = FileBackend::new(file).map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen => StoreError::Locked,
            e => StoreError::database(e),
        })?;
        let store = Store::from_backend(backend, max_file_bytes)?;
        // A new file survives a crash only after its folder is synced.
        File::open(folder)
            .and_then(|folder| folder.sync_all())
            .map_err(folder_error)?;
        Ok(store)
    }

    /// Opens the database on this disk. The file may grow to `max_bytes`.
    ///
    /// # Errors
    /// [`StoreError::Database`] if the disk fails, [`StoreError::Damaged`] if the contents can't be read.
    pub fn from_backend(disk: impl StorageBackend, max_bytes: u64) -> Result<Store, StoreError> {
        let sync_failed = Arc::new(AtomicBool::new(false));
        let guarded = GuardedBackend {
            disk,
            max_bytes,
            sync_failed: sync_failed.clone(),
        };
        let database = Database::builder()
            .set_cache_size(CACHE_BYTES)
            .create_with_backend(guarded)
            .map_err(|e| match e {
                DatabaseError::DatabaseAlreadyOpen => StoreError::Locked,
                DatabaseError::Storage(StorageError::Io(e))
                    if e.kind() != io::ErrorKind::InvalidData =>
                {
                    StoreError::database(StorageError::Io(e))
                }
                e => StoreError::damaged(e),
            })?;
        Ok(Store {
            database,
            sync_failed,
        })
    }

    /// Opens an in-memory copy of a file. Another process may have the file itself open.
    ///
    /// # Errors
    /// As [`Store::from_backend`].
    pub fn from_image(bytes: Vec<u8>) -> Result<Store, StoreError> {
        Store::from_backend(MemoryBackend::new(bytes), u64::MAX)
    }

    /// Starts a read transaction.
    pub(crate) fn begin_read(&self) -> Result<ReadTransaction, StoreError> {
        self.database.begin_read().map_err(StoreError::database)
    }

    /// Starts a write transaction whose commit is synced to disk.
    pub(crate) fn begin_write(&self) -> Result<redb::WriteTransaction, StoreError> {
        let mut transaction = self.database.begin_write().map_err(StoreError::database)?;
        transaction
            .set_durability(redb::Durability::Immediate)
            .map_err(StoreError::database)?;
        Ok(transaction)
    }

    /// Reads everything that is stored. Entries that can't be decoded are counted.
    ///
    /// # Errors
    /// [`StoreError::Damaged`] if a table or the header can't be read.
    pub fn load(&self) -> Result<StoredState, StoreError> {
        let mut state = StoredState::default();
        let transaction = self.begin_read()?;
        let metadata = match transaction.open_table(METADATA_TABLE) {
            Ok(metadata) => metadata,
            Err(TableError::TableDoesNotExist(_)) => return Ok(state),
            Err(e) => return Err(StoreError::damaged(e)),
        };
        if let Some(bytes) = metadata.get(HEADER_KEY).map_err(StoreError::damaged)? {
            let header = entry::decode(bytes.value());
            state.header = Some(header.ok_or(StoreError::Damaged(Damage::Header))?);
        }
        let entries = match transaction.open_table(ENTRIES_TABLE) {
            Ok(entries) => entries,
            Err(TableError::TableDoesNotExist(_)) => return Ok(state),
            Err(e) => return Err(StoreError::damaged(e)),
        };
        for row in entries.iter().map_err(StoreError::damaged)? {
            let (key, value) = row.map_err(StoreError::damaged)?;
            match entry::decode(value.value()).filter(entry::is_well_formed) {
                Some(entry) => state.entries.push((key.value().to_vec(), entry)),
                None => state.damaged_entries += 1,
            }
        }
        Ok(state)
    }

    /// Writes the header and all of `writes` in one commit, and returns once it is synced to disk.
    ///
    /// # Errors
    /// [`StoreError::Database`] if the disk fails. Either the complete commit is on disk then, or nothing of it.
    pub fn commit(&self, writes: &[KeyWrite], header: &FolderHeader) -> Result<(), StoreError> {
        let outcome = self.write(writes, header);
        if failpoint::is_active(Failpoint::IgnoredSyncError) {
            return Ok(());
        }
        outcome
    }

    fn write(&self, writes: &[KeyWrite], header: &FolderHeader) -> Result<(), StoreError> {
        let transaction = self.begin_write()?;
        {
            let mut entries = transaction
                .open_table(ENTRIES_TABLE)
                .map_err(StoreError::database)?;
            for write in writes {
                match write {
                    KeyWrite::Put(key, entry) => entries
                        .insert(&key[..], &entry::encode(entry)[..])
                        .map(drop),
                    KeyWrite::Delete(key) => entries.remove(&key[..]).map(drop),
                }
                .map_err(StoreError::database)?;
            }
            let mut metadata = transaction
                .open_table(METADATA_TABLE)
                .map_err(StoreError::database)?;
            metadata
                .insert(HEADER_KEY, &entry::encode(header)[..])
                .map_err(StoreError::database)?;
        }
        transaction.commit().map_err(StoreError::database)
    }

    /// Whether a sync has failed. After that, the process must not open this file again.
    pub fn sync_failed(&self) -> bool {
        self.sync_failed.load(Ordering::SeqCst)
    }

    /// Verifies the checksums of all pages; `false` if pages had to be repaired.
    ///
    /// # Errors
    /// [`StoreError::Damaged`] if the file can't be read.
    pub fn check_integrity(&mut self) -> Result<bool, StoreError> {
        self.database.check_integrity().map_err(StoreError::damaged)
    }

    /// The number of stored keys.
    ///
    /// # Errors
    /// [`StoreError::Database`] if the disk fails.
    pub fn len(&self) -> Result<u64, StoreError> {
        match self.begin_read()?.open_table(ENTRIES_TABLE) {
            Ok(entries) => entries.len().map_err(StoreError::database),
            Err(_) => Ok(0),
        }
    }

    /// Whether no key is stored.
    ///
    /// # Errors
    /// As [`Store::len`].
    pub fn is_empty(&self) -> Result<bool, StoreError> {
        Ok(self.len()? == 0)
    }
}

/// Locks an open file. The library locks files that it opens by path, but not files that are passed to it. The lock belongs
/// to the open file: it is released when the process ends in any way, and stays held while the process is stopped (SIGSTOP).
fn lock(file: &File) -> Result<(), Errno> {
    let locked = flock(file, FlockOperation::NonBlockingLockExclusive);
    if failpoint::is_active(Failpoint::UnlockedFolder) {
        return Ok(());
    }
    locked
}
