//! The account of memory for open requests: how much of its share is reserved, and by which connections.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::budget::MemoryBudget;
use super::byte_semaphore::ByteSemaphore;
use super::request_cost::MAX_REQUEST_BYTES;

/// The part of [`MemoryBudget::repeats`] that is for lookups. They are short: the engine answers each at once.
const LOOKUP_DIVISOR: usize = 8;

/// The memory of open requests, which connections reserve parts of.
///
/// While a connection has nothing reserved, room for one request of the largest size is kept free for it. So a few
/// connections with many requests cannot take the place of the first request on the others. Repeats of earlier requests
/// have a share of their own, which new requests cannot take.
pub struct MemoryAccount {
    limit: usize,
    repeat_limit: usize,
    lookups: Arc<ByteSemaphore>,
    state: Mutex<AccountState>,
}

#[derive(Default)]
struct AccountState {
    used: usize,
    used_by_repeats: usize,
    /// Open connections that have nothing reserved but for repeats.
    idle_connections: usize,
}

impl MemoryAccount {
    /// An account of which nothing is reserved, with the shares of this budget.
    pub fn new(budget: &MemoryBudget) -> Arc<MemoryAccount> {
        let lookup_limit = budget.repeats / LOOKUP_DIVISOR;
        Arc::new(MemoryAccount {
            limit: budget.open_requests,
            repeat_limit: budget.repeats - lookup_limit,
            lookups: ByteSemaphore::new(lookup_limit),
            state: Mutex::default(),
        })
    }

    /// The bytes that are reserved.
    pub fn used(&self) -> usize {
        let state = self.lock();
        state.used + state.used_by_repeats + self.lookups.used()
    }

    /// The memory of requests that wait to be looked up in the idempotency table.
    pub fn lookups(&self) -> &Arc<ByteSemaphore> {
        &self.lookups
    }

    /// No code panics while it holds the lock, so the state is valid even if the lock is poisoned.
    fn lock(&self) -> MutexGuard<'_, AccountState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a connection that has reserved `held` of the `used` bytes may reserve this many more, while
/// `idle_connections` have nothing reserved.
fn may_reserve(
    limit: usize,
    used: usize,
    idle_connections: usize,
    held: usize,
    bytes: usize,
) -> bool {
    let is_first = held == 0 && bytes <= MAX_REQUEST_BYTES;
    let kept_free = if is_first {
        0
    } else {
        idle_connections * MAX_REQUEST_BYTES
    };
    used + bytes + kept_free <= limit
}

/// What one connection has reserved of an account.
pub struct ConnectionMemory {
    account: Arc<MemoryAccount>,
    /// Changed only while the account is locked.
    held: Mutex<usize>,
}

impl ConnectionMemory {
    /// An open connection that has nothing reserved.
    pub fn new(account: Arc<MemoryAccount>) -> Arc<ConnectionMemory> {
        account.lock().idle_connections += 1;
        Arc::new(ConnectionMemory {
            account,
            held: Mutex::new(0),
        })
    }

    /// Reserves memory; `None` if the account has no room for it.
    pub fn reserve(self: &Arc<ConnectionMemory>, bytes: usize) -> Option<MemoryReservation> {
        let mut state = self.account.lock();
        let mut held = self.lock_held();
        let limit = self.account.limit;
        if !may_reserve(limit, state.used, state.idle_connections, *held, bytes) {
            return None;
        }
        if *held == 0 && bytes > 0 {
            state.idle_connections -= 1;
        }
        *held += bytes;
        state.used += bytes;
        Some(MemoryReservation {
            connection: Some(self.clone()),
            bytes,
            repeat_bytes: 0,
        })
    }

    /// Reserves memory for a repeat of an earlier request; `None` if the share of repeats has no room for it.
    pub fn reserve_for_repeat(
        self: &Arc<ConnectionMemory>,
        bytes: usize,
    ) -> Option<MemoryReservation> {
        let mut state = self.account.lock();
        if state.used_by_repeats + bytes > self.account.repeat_limit {
            return None;
        }
        state.used_by_repeats += bytes;
        Some(MemoryReservation {
            connection: Some(self.clone()),
            bytes: 0,
            repeat_bytes: bytes,
        })
    }

    fn release(&self, bytes: usize, repeat_bytes: usize) {
        let mut state = self.account.lock();
        state.used_by_repeats -= repeat_bytes;
        if bytes == 0 {
            return;
        }
        let mut held = self.lock_held();
        *held -= bytes;
        state.used -= bytes;
        if *held == 0 {
            state.idle_connections += 1;
        }
    }

    fn lock_held(&self) -> MutexGuard<'_, usize> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        // Every reservation holds a reference to its connection, so nothing is reserved any more.
        self.account.lock().idle_connections -= 1;
    }
}

/// Reserved memory, which is released when this is dropped. The default is an empty reservation.
#[derive(Default)]
pub struct MemoryReservation {
    connection: Option<Arc<ConnectionMemory>>,
    bytes: usize,
    /// Bytes of the share of repeats.
    repeat_bytes: usize,
}

impl MemoryReservation {
    /// Moves up to this many bytes into a reservation of their own.
    #[must_use]
    pub fn split_off(&mut self, bytes: usize) -> MemoryReservation {
        let split_bytes = bytes.min(self.bytes);
        let split_repeat_bytes = (bytes - split_bytes).min(self.repeat_bytes);
        self.bytes -= split_bytes;
        self.repeat_bytes -= split_repeat_bytes;
        MemoryReservation {
            connection: self.connection.clone(),
            bytes: split_bytes,
            repeat_bytes: split_repeat_bytes,
        }
    }

    /// Adds another reservation of the same connection to this one.
    pub fn merge(&mut self, mut other: MemoryReservation) {
        if self.connection.is_none() {
            std::mem::swap(self, &mut other);
        }
        self.bytes += std::mem::take(&mut other.bytes);
        self.repeat_bytes += std::mem::take(&mut other.repeat_bytes);
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        drop(self.split_off(self.bytes().saturating_sub(bytes)));
    }

    /// The reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes + self.repeat_bytes
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.release(self.bytes, self.repeat_bytes);
        }
    }
}
