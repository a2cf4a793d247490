//! Storage backends of the database: a wrapper that adds the guarantees below to a disk, and one in memory.

use std::io::{Error, ErrorKind, Result};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redb::StorageBackend;

/// A disk with a maximal file length. After one failed sync all later syncs fail too, since the kernel may have dropped the
/// dirty pages of the failed sync, and a later sync may succeed nevertheless.
///
/// The file grows on disk before anything is written that refers to its new length, and it never shrinks. Otherwise a
/// crash may persist the library's file header but not the new length, or the reverse, and the library refuses to open a
/// file that is shorter than its header says (covered by `tests/crashes.rs`).
#[derive(Debug)]
pub(super) struct GuardedBackend<B> {
    pub(super) disk: B,
    pub(super) max_bytes: u64,
    pub(super) sync_failed: Arc<AtomicBool>,
}

impl<B: StorageBackend> StorageBackend for GuardedBackend<B> {
    fn len(&self) -> Result<u64> {
        self.disk.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        self.disk.read(offset, out)
    }

    fn set_len(&self, len: u64) -> Result<()> {
        if len <= self.disk.len()? {
            return Ok(());
        }
        if len > self.max_bytes {
            let reason = "the file would exceed its maximal size";
            return Err(Error::new(ErrorKind::StorageFull, reason));
        }
        self.disk.set_len(len)?;
        self.sync_data()
    }

    fn sync_data(&self) -> Result<()> {
        if self.sync_failed.load(Ordering::SeqCst) {
            return Err(Error::other("an earlier sync failed"));
        }
        let synced = self.disk.sync_data();
        if synced.is_err() {
            self.sync_failed.store(true, Ordering::SeqCst);
        }
        synced
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        self.disk.write(offset, data)
    }
}

/// The bytes of a file, in memory.
#[derive(Debug)]
pub(super) struct MemoryBackend(Mutex<Vec<u8>>);

impl MemoryBackend {
    pub(super) fn new(bytes: Vec<u8>) -> MemoryBackend {
        MemoryBackend(Mutex::new(bytes))
    }

    fn bytes(&self) -> MutexGuard<'_, Vec<u8>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StorageBackend for MemoryBackend {
    fn len(&self) -> Result<u64> {
        Ok(self.bytes().len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        let bytes = self.bytes();
        let range = bytes
            .get(offset as usize..)
            .and_then(|rest| rest.get(..out.len()));
        out.copy_from_slice(range.ok_or(ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<()> {
        self.bytes().resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        let mut bytes = self.bytes();
        let range = bytes
            .get_mut(offset as usize..)
            .and_then(|rest| rest.get_mut(..data.len()));
        range.ok_or(ErrorKind::UnexpectedEof)?.copy_from_slice(data);
        Ok(())
    }
}
