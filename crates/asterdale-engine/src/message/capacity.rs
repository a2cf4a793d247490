//! What a process has no capacity for: new requests that may only be answered as repeats of earlier ones.

use crate::counters::Counters;
use crate::memory::{spread_retry_after_ms, BytePermit, MemoryReservation};
use crate::message::Reply;

/// Whether a request may become a task of its own.
pub enum RequestCapacity {
    /// It may. The memory is that of the request and of its task.
    Reserved(MemoryReservation),
    /// There is no capacity for it. It is answered only as a repeat of a retained request, and refused otherwise.
    RepeatOnly {
        /// What there is too little of.
        shortage: Shortage,
        /// The memory that it takes until it has been looked up.
        lookup: BytePermit,
    },
}

impl RequestCapacity {
    /// What there is too little of, if the request may not become a task of its own.
    pub fn shortage(&self) -> Option<Shortage> {
        match self {
            RequestCapacity::Reserved(_) => None,
            RequestCapacity::RepeatOnly { shortage, .. } => Some(*shortage),
        }
    }

    /// The memory of the task. It is empty for a repeat, whose memory is released with its reply.
    pub fn into_task_memory(self) -> MemoryReservation {
        match self {
            RequestCapacity::Reserved(memory) => memory,
            RequestCapacity::RepeatOnly { .. } => MemoryReservation::default(),
        }
    }
}

/// What there is too little of for a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Memory.
    Memory,
    /// Requests that its connection may have open.
    OpenRequests,
}

impl Shortage {
    /// Counts a request that is refused for this reason. Returns its reply, which states that it never ran.
    pub fn refuse(self, counters: &Counters, max_retry_after_ms: f64) -> Reply {
        match self {
            Shortage::Memory => {
                let refused = &counters.requests_over_memory;
                refused.add();
                Reply::Rejected {
                    is_final: false,
                    retry_after_ms: spread_retry_after_ms(max_retry_after_ms, refused.get()),
                }
            }
            Shortage::OpenRequests => {
                counters.requests_overloaded.add();
                Reply::Overloaded
            }
        }
    }
}
