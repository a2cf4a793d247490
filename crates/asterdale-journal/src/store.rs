//! The files: a table of keys and what the folder says of itself, by the `redb` crate: copy on write, a checksum on each
//! page, a commit is there whole or not at all. What it asks of a disk is a small trait, so that a faulty one can stand in.

use std::cell::Cell;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use redb::backends::FileBackend;
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, ReadableTableMetadata,
    StorageBackend, TableDefinition,
};

use crate::entry::{self, Entry, FolderHeader};
use crate::failpoint::{self, Failpoint};
use crate::index::KeyWrite;

const ENTRIES: TableDefinition<&[u8], &[u8]> = TableDefinition::new("entries");
const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const FACE: &str = "face";
/// Pages that are kept in memory, in bytes: what aged out in seconds is read once, at the start.
const CACHE: usize = 4 << 20;
/// The file, in its folder.
pub const STATE_FILE: &str = "state.redb";

/// Why nothing lasts any more.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreError {
    /// Another process has the folder.
    Locked,
    /// What is there can't be read: damaged, or of another program.
    Damaged(String),
    /// The disk failed, or is full, while something was written. What the last commit held may be there or not.
    Failed(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Locked => f.write_str("another process has this folder"),
            StoreError::Damaged(why) => write!(f, "what is there can't be read: {why}"),
            StoreError::Failed(why) => write!(f, "the disk: {why}"),
        }
    }
}

thread_local! {
    static SPARED: Cell<bool> = const { Cell::new(false) };
}

/// Whether a panic of this thread is caught, and says no more than that a file can't be read. A program that ends with any
/// other panic asks here first.
pub fn is_catching_panics() -> bool {
    SPARED.get()
}

/// Looks at a file that may be damaged: of some damage (1 to 2 of 100 flipped bits) the library knows no error, and
/// panics.
pub fn catch_library_panic<T>(
    look: impl FnOnce() -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    let before = SPARED.replace(true);
    let looked = catch_unwind(AssertUnwindSafe(look));
    SPARED.set(before);
    looked.unwrap_or_else(|_| {
        Err(StoreError::Damaged(
            "the library could make nothing of it".to_owned(),
        ))
    })
}

/// A disk with a bound on its length, which remembers whether a sync has failed: what was written before that may be
/// lost, whatever later syncs say.
///
/// A file grows on disk before anything is written that speaks of its new length, and never shrinks: a crash may keep the
/// library's head and lose the length, or the other way round, and it refuses to open a file that is shorter than its head
/// says (found by `tests/crashes.rs`).
#[derive(Debug)]
struct Guarded<B> {
    disk: B,
    most: u64,
    sync_failed: Arc<AtomicBool>,
}

impl<B: StorageBackend> StorageBackend for Guarded<B> {
    fn len(&self) -> std::io::Result<u64> {
        self.disk.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        self.disk.read(offset, out)
    }

    fn set_len(&self, len: u64) -> std::io::Result<()> {
        if len <= self.disk.len()? {
            return Ok(());
        }
        if len > self.most {
            return Err(std::io::Error::new(
                std::io::ErrorKind::StorageFull,
                "the bound of this folder",
            ));
        }
        self.disk.set_len(len)?;
        self.sync_data()
    }

    fn sync_data(&self) -> std::io::Result<()> {
        if self.sync_failed.load(Ordering::SeqCst) {
            return Err(std::io::Error::other("an earlier sync failed"));
        }
        let synced = self.disk.sync_data();
        if synced.is_err() {
            self.sync_failed.store(true, Ordering::SeqCst);
        }
        synced
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.disk.write(offset, data)
    }
}

/// A file's bytes, in memory.
#[derive(Debug)]
struct Image(std::sync::Mutex<Vec<u8>>);

impl Image {
    fn bytes(&self) -> std::sync::MutexGuard<'_, Vec<u8>> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl StorageBackend for Image {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.bytes().len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        let bytes = self.bytes();
        let there = bytes
            .get(offset as usize..)
            .and_then(|rest| rest.get(..out.len()));
        out.copy_from_slice(there.ok_or(std::io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.bytes().resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> std::io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        let mut bytes = self.bytes();
        let place = bytes
            .get_mut(offset as usize..)
            .and_then(|rest| rest.get_mut(..data.len()));
        place
            .ok_or(std::io::ErrorKind::UnexpectedEof)?
            .copy_from_slice(data);
        Ok(())
    }
}

/// What was found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// What the folder says of itself; nothing where it is new.
    pub header: Option<FolderHeader>,
    /// What it holds.
    pub entries: Vec<(Vec<u8>, Entry)>,
    /// Keys whose entries make no sense.
    pub damaged_entries: usize,
}

/// The files of one folder, open.
#[derive(Debug)]
pub struct Store {
    database: Database,
    sync_failed: Arc<AtomicBool>,
}

fn failed(e: impl Into<redb::Error>) -> StoreError {
    StoreError::Failed(e.into().to_string())
}

impl Store {
    /// Opens the file of this folder, and makes it where there is none. It may grow to so many bytes.
    pub fn open(folder: &Path, most: u64) -> Result<Store, StoreError> {
        Store::file(folder, STATE_FILE, most)
    }

    /// The same, of a file of this name.
    pub(crate) fn file(folder: &Path, name: &str, most: u64) -> Result<Store, StoreError> {
        let told = |e: std::io::Error| StoreError::Failed(format!("{}: {e}", folder.display()));
        std::fs::create_dir_all(folder).map_err(told)?;
        let mut options = std::fs::OpenOptions::new();
        let file = options
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(folder.join(name));
        let file = file.map_err(told)?;
        // The library locks a file that it opens by its path, and not one that it is handed. The lock is the open file's: it
        // ends with the process, however that ends, and holds while the process stands still.
        let lock = rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive);
        if !failpoint::is_active(Failpoint::Unlocked) {
            lock.map_err(|e| match e {
                rustix::io::Errno::WOULDBLOCK => StoreError::Locked,
                e => told(e.into()),
            })?;
        }
        let backend = FileBackend::new(file).map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen => StoreError::Locked,
            e => failed(e),
        })?;
        let store = Store::from_backend(backend, most)?;
        // A file that was just made is there after a crash once its folder says so.
        std::fs::File::open(folder)
            .and_then(|folder| folder.sync_all())
            .map_err(told)?;
        Ok(store)
    }

    pub(crate) fn database(&self) -> &Database {
        &self.database
    }

    /// A commit that is synced.
    pub(crate) fn begin(&self) -> Result<redb::WriteTransaction, StoreError> {
        let mut commit = self.database.begin_write().map_err(failed)?;
        commit
            .set_durability(redb::Durability::Immediate)
            .map_err(failed)?;
        Ok(commit)
    }

    /// Opens what is on this disk.
    pub fn from_backend(disk: impl StorageBackend, most: u64) -> Result<Store, StoreError> {
        let sync_failed = Arc::new(AtomicBool::new(false));
        let disk = Guarded {
            disk,
            most,
            sync_failed: sync_failed.clone(),
        };
        let opened = Database::builder()
            .set_cache_size(CACHE)
            .create_with_backend(disk);
        let database = opened.map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen => StoreError::Locked,
            DatabaseError::Storage(redb::StorageError::Io(e))
                if e.kind() != std::io::ErrorKind::InvalidData =>
            {
                StoreError::Failed(e.to_string())
            }
            e => StoreError::Damaged(e.to_string()),
        })?;
        Ok(Store {
            database,
            sync_failed,
        })
    }

    /// All that is there.
    pub fn load(&self) -> Result<StoredState, StoreError> {
        let mut found = StoredState::default();
        let read = self.database.begin_read().map_err(failed)?;
        let facts = match read.open_table(FACTS) {
            Ok(facts) => facts,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(found),
            Err(e) => return Err(StoreError::Damaged(e.to_string())),
        };
        let damaged = |e: redb::StorageError| StoreError::Damaged(e.to_string());
        if let Some(bytes) = facts.get(FACE).map_err(damaged)? {
            let face = entry::decode(bytes.value());
            found.header =
                Some(face.ok_or_else(|| StoreError::Damaged("what it says of itself".to_owned()))?);
        }
        let entries = match read.open_table(ENTRIES) {
            Ok(entries) => entries,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(found),
            Err(e) => return Err(StoreError::Damaged(e.to_string())),
        };
        for one in entries.iter().map_err(damaged)? {
            let (key, value) = one.map_err(damaged)?;
            match entry::decode(value.value()).filter(entry::is_well_formed) {
                Some(entry) => found.entries.push((key.value().to_vec(), entry)),
                None => found.damaged_entries += 1,
            }
        }
        Ok(found)
    }

    /// Has all of this on disk, or none of it; comes back once that is so. After a failure nobody knows which.
    pub fn commit(&self, writes: &[KeyWrite], face: &FolderHeader) -> Result<(), StoreError> {
        let done = self.write(writes, face);
        if failpoint::is_active(Failpoint::Sync) {
            return Ok(());
        }
        done
    }

    fn write(&self, writes: &[KeyWrite], face: &FolderHeader) -> Result<(), StoreError> {
        let commit = self.begin()?;
        {
            let mut entries = commit.open_table(ENTRIES).map_err(failed)?;
            for write in writes {
                match write {
                    KeyWrite::Put(key, entry) => {
                        entries
                            .insert(&key[..], &entry::encode(entry)[..])
                            .map_err(failed)?;
                    }
                    KeyWrite::Delete(key) => {
                        entries.remove(&key[..]).map_err(failed)?;
                    }
                }
            }
            let mut facts = commit.open_table(FACTS).map_err(failed)?;
            facts
                .insert(FACE, &entry::encode(face)[..])
                .map_err(failed)?;
        }
        commit.commit().map_err(failed)
    }

    /// Opens what a file held when it was read, in memory: also while a process writes to it.
    pub fn from_image(bytes: Vec<u8>) -> Result<Store, StoreError> {
        Store::from_backend(Image(std::sync::Mutex::new(bytes)), u64::MAX)
    }

    /// Whether a sync has failed: this file is not to be opened again by this process.
    pub fn sync_failed(&self) -> bool {
        self.sync_failed.load(Ordering::SeqCst)
    }

    /// Checks every page; `false` if something had to be put right.
    pub fn check_integrity(&mut self) -> Result<bool, StoreError> {
        self.database
            .check_integrity()
            .map_err(|e| StoreError::Damaged(e.to_string()))
    }

    /// How many keys it holds.
    pub fn len(&self) -> Result<u64, StoreError> {
        let read = self.database.begin_read().map_err(failed)?;
        match read.open_table(ENTRIES) {
            Ok(entries) => entries.len().map_err(failed),
            Err(_) => Ok(0),
        }
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> Result<bool, StoreError> {
        Ok(self.len()? == 0)
    }
}
