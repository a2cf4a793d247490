//! A bound on the bytes that one actor has sent to another and that are not handled yet.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// Hands out permits for a number of bytes, and makes their sender wait while too many are out.
pub struct ByteSemaphore {
    limit: usize,
    used: Mutex<usize>,
    released: Condvar,
}

impl ByteSemaphore {
    /// A semaphore of which nothing is taken.
    pub fn new(limit: usize) -> Arc<ByteSemaphore> {
        Arc::new(ByteSemaphore {
            limit,
            used: Mutex::new(0),
            released: Condvar::new(),
        })
    }

    /// Takes `bytes`, and waits until there is room for them. A message that is larger than the limit is let through
    /// alone.
    pub fn acquire(self: &Arc<ByteSemaphore>, bytes: usize) -> BytePermit {
        let has_no_room = |used: &mut usize| *used > 0 && *used + bytes > self.limit;
        let used = self.lock();
        let mut used = self
            .released
            .wait_while(used, has_no_room)
            .unwrap_or_else(PoisonError::into_inner);
        *used += bytes;
        BytePermit {
            semaphore: Some(self.clone()),
            bytes,
        }
    }

    /// The bytes that may be taken.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The bytes that are taken.
    pub fn used(&self) -> usize {
        *self.lock()
    }

    /// No code panics while it holds the lock, so the state is valid even if the lock is poisoned.
    fn lock(&self) -> MutexGuard<'_, usize> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes that are taken until this is dropped. The default is a permit for none.
#[derive(Default)]
pub struct BytePermit {
    semaphore: Option<Arc<ByteSemaphore>>,
    bytes: usize,
}

impl Drop for BytePermit {
    fn drop(&mut self) {
        if let Some(semaphore) = &self.semaphore {
            *semaphore.lock() -= self.bytes;
            semaphore.released.notify_all();
        }
    }
}
