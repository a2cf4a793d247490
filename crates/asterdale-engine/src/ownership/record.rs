//! The ownership of one task.

use asterdale_ownership::failpoint::{self, Failpoint};

/// Identifies a request to the ownership replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipKey {
    /// Request class, tenant and idempotency key, separated by zero bytes.
    pub bytes: Vec<u8>,
    /// The digest of the request body, equal in all processes.
    pub body_digest: u64,
}

/// The state of a task's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// No claim was sent.
    None,
    /// The claim was sent and is not answered.
    Requested,
    /// This process owns the task under this fence.
    Granted(u64),
    /// This process does not own the task. If it runs or has ended on another backend, it waits for that result as a
    /// retry does.
    Remote,
}

/// The replicated ownership of a task.
pub struct OwnedTask {
    /// Identifies the request to the replicas.
    pub key: OwnershipKey,
    /// The state of its claim.
    pub claim: Claim,
    /// Whether its start command and its calls carry the fence.
    pub sends_fence: bool,
    /// Whether it was taken over from a backend that has ended.
    pub is_takeover: bool,
    /// When the client gives up this attempt, in engine time.
    pub attempt_deadline: f64,
    /// When the client gives up all attempts, estimated from this attempt, in engine time.
    pub request_deadline: f64,
    /// The client's estimate of the work, in milliseconds; 0 for none.
    pub cost_hint_ms: f64,
    /// The memory to reserve for it, in KiB.
    pub memory_kb: f64,
}

impl OwnedTask {
    /// The fence of its claim, if this process owns it.
    pub fn granted_fence(&self) -> Option<u64> {
        match self.claim {
            Claim::Granted(fence) => Some(fence),
            _ => None,
        }
    }

    /// The fence to send with its start command and its calls, if any.
    pub fn fence_to_send(&self) -> Option<u64> {
        self.granted_fence()
            .filter(|_| self.sends_fence && !failpoint::is_active(Failpoint::OmitFencingToken))
    }

    /// How long its result is still useful, in milliseconds: a client that gives up this attempt may retry on any
    /// backend until the deadline of the request.
    pub fn remaining_ms(&self, now: f64) -> f64 {
        (self.request_deadline - now).max(0.0)
    }
}
