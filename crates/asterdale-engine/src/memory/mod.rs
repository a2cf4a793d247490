//! The memory of the process: one budget from which every bound in bytes derives, and accounts that count what is taken
//! of a share and refuse what would exceed it.

mod account;
mod budget;
mod byte_semaphore;
mod request_cost;
mod retry_advice;

pub use account::{ConnectionMemory, MemoryAccount, MemoryReservation};
pub use budget::{LimitTooLow, MemoryBudget, CONNECTION_BYTES, TLS_CONNECTION_BYTES};
pub use byte_semaphore::{BytePermit, ByteSemaphore};
pub use request_cost::{lookup_bytes, repeat_bytes, request_bytes, MAX_REQUEST_BYTES, REPLY_BYTES};
pub use retry_advice::spread_retry_after_ms;

#[cfg(test)]
mod tests;
