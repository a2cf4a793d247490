//! Divides the memory limit of the process among everything that grows with what peers send.

use thiserror::Error;

/// Resident memory of a process without connections, in bytes: program, libraries, thread stacks, empty mailboxes.
pub(super) const PROCESS_BYTES: usize = if cfg!(any(feature = "hot-restart", feature = "ownership"))
{
    9_000_000
} else {
    6_000_000
};
/// The least memory that is divided, in bytes.
const MIN_DIVIDED_BYTES: usize = 2_000_000;

/// Parts of the divided memory: cached results of requests.
const RESULT_PARTS: usize = 16;
/// Parts of the divided memory: idempotency entries without their results.
const IDEMPOTENCY_ENTRY_PARTS: usize = 6;
/// Parts of the divided memory: incomplete requests, and records that are longer than a connection's own buffer.
const PARTIAL_REQUEST_PARTS: usize = 4;
/// Parts of the divided memory: connections, [`CONNECTION_BYTES`] each.
const CONNECTION_PARTS: usize = 8;
/// Parts of the divided memory: complete requests from their last byte until their task is released and their reply is
/// written.
const OPEN_REQUEST_PARTS: usize = 7;
/// Parts of the divided memory: requests that are looked up in the idempotency table because there is no capacity for a
/// new request, and the repeats found among them.
const REPEAT_PARTS: usize = 1;
/// Parts of the divided memory: what the runtime and the records service have sent and the engine has not handled.
const LINK_PARTS: usize = 2;
/// Parts of the divided memory: what the allocator keeps beyond the bytes in use.
const ALLOCATOR_PARTS: usize = 8;
const ALL_PARTS: usize = RESULT_PARTS
    + IDEMPOTENCY_ENTRY_PARTS
    + PARTIAL_REQUEST_PARTS
    + CONNECTION_PARTS
    + OPEN_REQUEST_PARTS
    + REPEAT_PARTS
    + LINK_PARTS
    + ALLOCATOR_PARTS;

/// Upper bound of the memory of one connection, in bytes: its input buffer, unsent replies up to the bound at which
/// reading stops, the refusals of as many requests as it may have open, and its state.
pub const CONNECTION_BYTES: usize = 16 * 1024;

/// Upper bound of the memory of one TLS connection, in bytes: beside the above, a record that is being received and the
/// session's state.
pub const TLS_CONNECTION_BYTES: usize = 48 * 1024;

/// The shares of the memory limit, in bytes. Their sum does not exceed the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryBudget {
    /// The process itself, and state with a limit of its own in the start file.
    pub fixed: usize,
    /// What the allocator keeps beyond the bytes in use.
    pub allocator: usize,
    /// All connections, without their incomplete requests.
    pub connections: usize,
    /// Incomplete requests and long records of all connections.
    pub partial_requests: usize,
    /// Complete requests and their replies.
    pub open_requests: usize,
    /// Lookups and repeats of requests beyond the above.
    pub repeats: usize,
    /// Messages of the runtime and of the records service that the engine has not handled.
    pub links: usize,
    /// Cached results.
    pub results: usize,
    /// Idempotency entries without their results.
    pub idempotency_entries: usize,
}

/// The memory limit is too low for the process.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("must be at least {}", .min_bytes.div_ceil(1_000_000))]
pub struct LimitTooLow {
    /// The lowest limit that is accepted, in bytes.
    pub min_bytes: usize,
}

impl MemoryBudget {
    /// Divides a limit. `configured_bytes` is the memory of state that has a limit of its own, such as the journal's
    /// index.
    ///
    /// # Errors
    /// Too little is left for serving requests.
    pub fn new(limit_bytes: usize, configured_bytes: usize) -> Result<MemoryBudget, LimitTooLow> {
        let fixed = PROCESS_BYTES + configured_bytes;
        let divided = limit_bytes
            .checked_sub(fixed)
            .filter(|&divided| divided >= MIN_DIVIDED_BYTES)
            .ok_or(LimitTooLow {
                min_bytes: fixed + MIN_DIVIDED_BYTES,
            })?;
        let share = |parts: usize| (divided as u64 * parts as u64 / ALL_PARTS as u64) as usize;
        Ok(MemoryBudget {
            fixed,
            allocator: share(ALLOCATOR_PARTS),
            connections: share(CONNECTION_PARTS),
            partial_requests: share(PARTIAL_REQUEST_PARTS),
            open_requests: share(OPEN_REQUEST_PARTS),
            repeats: share(REPEAT_PARTS),
            links: share(LINK_PARTS),
            results: share(RESULT_PARTS),
            idempotency_entries: share(IDEMPOTENCY_ENTRY_PARTS),
        })
    }

    /// The sum of all shares, in bytes.
    pub fn total(&self) -> usize {
        let MemoryBudget {
            fixed,
            allocator,
            connections,
            partial_requests,
            open_requests,
            repeats,
            links,
            results,
            idempotency_entries,
        } = self;
        fixed
            + allocator
            + connections
            + partial_requests
            + open_requests
            + repeats
            + links
            + results
            + idempotency_entries
    }
}
