//! The log storage of an ownership replica: numbered log entries and named metadata values (hard state, snapshot) in a
//! database file. Several changes are written in one commit. The values are opaque bytes here; the replica encodes them.

use std::path::Path;

use redb::{ReadTransaction, ReadableTable, Table, TableDefinition, TableError};

use crate::clock::unix_time_ms;
use crate::error::{Damage, StoreError};
use crate::recovery::{self, PreviousRun};
use crate::store::{catch_library_panic, Store};

// The names of the tables and of the two metadata keys are stored.
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const METADATA_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// The key of the time of the last commit: Unix milliseconds, a big-endian double.
const TIMESTAMP_KEY: &str = "mark";
/// The key of the replica's name.
const NAME_KEY: &str = "name";
/// The name of the file in its folder.
pub const REPLICA_FILE: &str = "keeper.redb";

/// A change of the stored state.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaChange {
    /// Set a metadata value.
    SetMetadata(&'static str, Vec<u8>),
    /// Delete all log entries from `first_index` on, then append these.
    ReplaceFrom {
        /// The index of the first new entry.
        first_index: u64,
        /// The new entries.
        entries: Vec<Vec<u8>>,
    },
    /// Delete the log entries up to and including this index.
    DeleteThrough(u64),
    /// Delete all log entries.
    DeleteAll,
}

/// Metadata values by name.
pub type Metadata = Vec<(String, Vec<u8>)>;

/// The stored state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaContents {
    /// Metadata values by name.
    pub metadata: Metadata,
    /// Log entries by index.
    pub entries: Vec<(u64, Vec<u8>)>,
}

impl ReplicaContents {
    fn metadata_value(&self, name: &str) -> Option<&[u8]> {
        let (_, value) = self.metadata.iter().find(|(key, _)| key == name)?;
        Some(value)
    }

    /// The run that wrote the contents, if they have a valid timestamp.
    fn previous_run(&self) -> Option<PreviousRun> {
        let timestamp = self.metadata_value(TIMESTAMP_KEY)?.try_into().ok()?;
        Some(PreviousRun {
            generation: 0,
            age_ms: unix_time_ms() - f64::from_be_bytes(timestamp),
        })
    }
}

/// An open replica file.
#[derive(Debug)]
pub struct ReplicaStore {
    store: Store,
}

impl ReplicaStore {
    /// Opens the file and reads it. The contents are empty (and deleted) if they belong to another replica or fail the
    /// recovery check: a replica with an older state could vote a second time in the same term. A damaged file is
    /// renamed, and the replica starts with an empty one.
    ///
    /// # Errors
    /// [`StoreError::Locked`] if another process has the file open; other errors if the disk fails.
    pub fn open(
        folder: &Path,
        name: &str,
        max_file_bytes: u64,
    ) -> Result<(ReplicaStore, ReplicaContents), StoreError> {
        let open = || ReplicaStore::open_and_read(folder, name, max_file_bytes);
        match catch_library_panic(open) {
            Err(StoreError::Damaged(_)) => {
                let path = folder.join(REPLICA_FILE);
                let unix_s = (unix_time_ms() / 1e3) as u64;
                let moved_to = folder.join(format!("{REPLICA_FILE}.damaged-{unix_s}"));
                std::fs::rename(&path, moved_to)
                    .map_err(|source| StoreError::Io { path, source })?;
                open()
            }
            outcome => outcome,
        }
    }

    fn open_and_read(
        folder: &Path,
        name: &str,
        max_file_bytes: u64,
    ) -> Result<(ReplicaStore, ReplicaContents), StoreError> {
        let mut store = Store::open_file(folder, REPLICA_FILE, max_file_bytes)?;
        if !store.check_integrity()? {
            return Err(StoreError::Damaged(Damage::Integrity));
        }
        let replica = ReplicaStore { store };
        let contents = replica.load()?;
        let is_own = contents.metadata_value(NAME_KEY) == Some(name.as_bytes());
        if is_own && recovery::assess(contents.previous_run(), 0).is_trusted() {
            replica.commit(&[])?;
            return Ok((replica, contents));
        }
        replica.reset(name, &contents)?;
        Ok((replica, ReplicaContents::default()))
    }

    fn load(&self) -> Result<ReplicaContents, StoreError> {
        let transaction = self.store.begin_read()?;
        let Some(metadata) = load_metadata(&transaction)? else {
            return Ok(ReplicaContents::default());
        };
        let entries = load_log(&transaction)?;
        Ok(ReplicaContents { metadata, entries })
    }

    /// Deletes the log and all metadata except the name and the timestamp, which are overwritten.
    fn reset(&self, name: &str, contents: &ReplicaContents) -> Result<(), StoreError> {
        let transaction = self.store.begin_write()?;
        {
            let mut metadata = transaction
                .open_table(METADATA_TABLE)
                .map_err(StoreError::database)?;
            for (key, _) in &contents.metadata {
                if ![TIMESTAMP_KEY, NAME_KEY].contains(&key.as_str()) {
                    metadata
                        .remove(key.as_str())
                        .map_err(StoreError::database)?;
                }
            }
            metadata
                .insert(NAME_KEY, name.as_bytes())
                .map_err(StoreError::database)?;
            write_timestamp(&mut metadata)?;
            transaction
                .open_table(LOG_TABLE)
                .map_err(StoreError::database)?
                .retain(|_, _| false)
                .map_err(StoreError::database)?;
        }
        transaction.commit().map_err(StoreError::database)
    }

    /// Writes all changes, in order, in one commit with a new timestamp, and returns once it is synced to disk. Without
    /// changes it writes the timestamp only.
    ///
    /// # Errors
    /// [`StoreError::Database`] if the disk fails. After that, later commits fail too.
    pub fn commit(&self, changes: &[ReplicaChange]) -> Result<(), StoreError> {
        let transaction = self.store.begin_write()?;
        {
            let mut metadata = transaction
                .open_table(METADATA_TABLE)
                .map_err(StoreError::database)?;
            let mut log = transaction
                .open_table(LOG_TABLE)
                .map_err(StoreError::database)?;
            for change in changes {
                apply(change, &mut metadata, &mut log).map_err(StoreError::database)?;
            }
            write_timestamp(&mut metadata)?;
        }
        transaction.commit().map_err(StoreError::database)
    }
}

/// `None` if the table does not exist, as in a new file.
fn load_metadata(transaction: &ReadTransaction) -> Result<Option<Metadata>, StoreError> {
    let table = match transaction.open_table(METADATA_TABLE) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(e) => return Err(StoreError::damaged(e)),
    };
    let mut metadata = Vec::new();
    for row in table.iter().map_err(StoreError::damaged)? {
        let (name, value) = row.map_err(StoreError::damaged)?;
        metadata.push((name.value().to_owned(), value.value().to_vec()));
    }
    Ok(Some(metadata))
}

fn load_log(transaction: &ReadTransaction) -> Result<Vec<(u64, Vec<u8>)>, StoreError> {
    let Ok(table) = transaction.open_table(LOG_TABLE) else {
        return Ok(Vec::new());
    };
    let mut entries = Vec::new();
    for row in table.iter().map_err(StoreError::damaged)? {
        let (index, entry) = row.map_err(StoreError::damaged)?;
        entries.push((index.value(), entry.value().to_vec()));
    }
    Ok(entries)
}

fn write_timestamp(metadata: &mut Table<'_, &str, &[u8]>) -> Result<(), StoreError> {
    metadata
        .insert(TIMESTAMP_KEY, &unix_time_ms().to_be_bytes()[..])
        .map(drop)
        .map_err(StoreError::database)
}

fn apply(
    change: &ReplicaChange,
    metadata: &mut Table<'_, &str, &[u8]>,
    log: &mut Table<'_, u64, &[u8]>,
) -> Result<(), redb::StorageError> {
    match change {
        ReplicaChange::SetMetadata(name, value) => metadata.insert(*name, &value[..]).map(drop),
        ReplicaChange::ReplaceFrom {
            first_index,
            entries,
        } => {
            log.retain_in::<u64, _>(*first_index.., |_, _| false)?;
            for (index, entry) in (*first_index..).zip(entries) {
                log.insert(index, &entry[..])?;
            }
            Ok(())
        }
        ReplicaChange::DeleteThrough(index) => log.retain_in::<u64, _>(..=*index, |_, _| false),
        ReplicaChange::DeleteAll => log.retain(|_, _| false),
    }
}

#[cfg(test)]
mod stored;
#[cfg(test)]
mod tests;
