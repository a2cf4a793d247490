//! Wire format of the simulator: batches of events are read, replies with actions are written. All numbers are
//! big-endian, without padding.

mod batch;
mod error;
mod reply;

#[cfg(test)]
mod tests;

pub use batch::{read_header, Batch, Record, HEADER_BYTES};
pub use error::{Malformed, Problem};
pub use reply::{nanoseconds, Reply};

/// Codes of event records.
pub mod event_code {
    /// A run needs a call to the dependency.
    pub const CALL_NEEDED: u8 = 1;
    /// The process of the instance has ended.
    pub const EXIT: u8 = 2;
    /// A graceful shutdown begins.
    pub const DRAIN: u8 = 3;
    /// The records that follow concern this instance.
    pub const CONTEXT: u8 = 4;
    /// The caller of a task no longer waits for an answer.
    pub const CALLER_GONE: u8 = 5;
    /// A request was read.
    pub const ARRIVAL: u8 = 6;
    /// A scheduled tick, with the gauges.
    pub const TICK: u8 = 7;
    /// An instance starts, with its settings.
    pub const START: u8 = 8;
    /// A run ended.
    pub const RUN_ENDED: u8 = 9;
    /// A call to the dependency ended.
    pub const CALL_ENDED: u8 = 10;
}

/// Codes of action records.
pub mod action_code {
    /// Start a task.
    pub const START: u8 = 1;
    /// Schedule a tick.
    pub const SCHEDULE_TICK: u8 = 2;
    /// Skip the call of a task.
    pub const SKIP_CALL: u8 = 3;
    /// Set the idle timeout of connections.
    pub const SET_IDLE_TIMEOUT: u8 = 4;
    /// Retain an idempotency key.
    pub const RETAIN_ENTRY: u8 = 5;
    /// The actions that follow belong to this instance.
    pub const CONTEXT: u8 = 6;
    /// Answer: failed.
    pub const FAIL: u8 = 7;
    /// Start a call.
    pub const START_CALL: u8 = 8;
    /// Answer with the result of the earlier attempt with the same idempotency key.
    pub const JOIN: u8 = 9;
    /// Abort a task.
    pub const STOP: u8 = 10;
    /// Answer: rejected.
    pub const REJECT: u8 = 11;
    /// Publish the capacity hint.
    pub const CAPACITY_HINT: u8 = 13;
    /// Drop an idempotency key.
    pub const DROP_ENTRY: u8 = 14;
    /// Set the answer to health checks.
    pub const SET_HEALTH: u8 = 15;
    /// The instance has panicked, with the message.
    pub const PANICKED: u8 = 16;
}
