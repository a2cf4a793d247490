//! The ownership of one task.

use asterdale_ownership::failpoint::{self, Failpoint};

/// Identifies a request to the ownership replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipKey {
    /// Request class, tenant and idempotency key, separated by zero bytes.
    pub bytes: Vec<u8>,
    /// The digest of its body, equal in all processes.
    pub body_digest: u64,
}

/// How far the claim of a task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The task was not claimed.
    None,
    /// The claim was sent.
    Requested,
    /// This process owns the task under this fence.
    Granted(u64),
    /// The task runs, or has ended, on another backend: here it waits like a repeat.
    Remote,
}

/// The replicated ownership of a task.
pub struct OwnedTask {
    /// Identifies it to the replicas.
    pub key: OwnershipKey,
    /// Its claim.
    pub claim: Claim,
    /// Its start and its calls carry the fence.
    pub sends_fence: bool,
    /// It was taken over from a backend that is gone.
    pub is_takeover: bool,
    /// When the client gives up this attempt, in engine time.
    pub attempt_deadline: f64,
    /// When the client gives up all attempts, as far as this one tells.
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

    /// The fence that its start and its calls carry, if they carry one.
    pub fn fence_to_send(&self) -> Option<u64> {
        self.granted_fence()
            .filter(|_| self.sends_fence && !failpoint::is_active(Failpoint::OmitFencingToken))
    }

    /// For how long its result is of use, in milliseconds: a client that gives up this attempt may ask again on any
    /// backend.
    pub fn remaining_ms(&self, now: f64) -> f64 {
        (self.request_deadline - now).max(0.0)
    }
}
