//! The handle to the ownership actor.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale_ownership::replica::ReplicaStatus;
use asterdale_ownership::OwnershipRequest;
use crossbeam_channel::{bounded, Sender};

/// How long callers wait for a reply of the actor.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long [`OwnershipHandle::leave`] waits for the streams' thread to send the last message.
const LAST_SEND_GRACE: Duration = Duration::from_millis(50);

/// A command to the ownership actor.
pub(super) enum OwnershipCommand {
    Request(u64, OwnershipRequest),
    Cancel(u64),
    DropClaim { key: Vec<u8>, fence: u64 },
    SetTakeoverCapacity(u32),
    Leave(Sender<()>),
    ReportStatus(Sender<ReplicaStatus>),
}

/// A handle to the ownership actor.
#[derive(Clone)]
pub struct OwnershipHandle {
    pub(super) commands: Sender<OwnershipCommand>,
    pub(super) started: Instant,
    /// When the lease ends, in microseconds since `started`.
    pub(super) lease_end_us: Arc<AtomicU64>,
    pub(super) lease_ms: f64,
}

impl OwnershipHandle {
    fn command(&self, command: OwnershipCommand) {
        // Fails only if the thread has panicked, and a panic ends the program.
        let _ = self.commands.send(command);
    }

    /// Sends a request to the replicas. The answer arrives as an `OwnershipNotification::Answered` with this number.
    pub fn request(&self, number: u64, request: OwnershipRequest) {
        self.command(OwnershipCommand::Request(number, request));
    }

    /// Stops waiting for the answer to a request.
    pub fn cancel(&self, number: u64) {
        self.command(OwnershipCommand::Cancel(number));
    }

    /// Releases the claim with this fence, whose execution never started.
    pub fn drop_claim(&self, key: Vec<u8>, fence: u64) {
        self.command(OwnershipCommand::DropClaim { key, fence });
    }

    /// Sets how many ownerless requests this process can take over now.
    pub fn set_takeover_capacity(&self, capacity: u32) {
        self.command(OwnershipCommand::SetTakeoverCapacity(capacity));
    }

    /// Whether the lease is valid now. The clock also advances while the process is stopped (SIGSTOP).
    pub fn is_lease_valid(&self) -> bool {
        let now_us = self.started.elapsed().as_micros() as u64;
        now_us < self.lease_end_us.load(Ordering::SeqCst)
    }

    /// The duration of a lease, in milliseconds.
    pub fn lease_ms(&self) -> f64 {
        self.lease_ms
    }

    /// Releases the lease, and returns once the message is sent, or after about two seconds.
    pub fn leave(&self) {
        let (reply, left) = bounded(1);
        if self.commands.send(OwnershipCommand::Leave(reply)).is_ok() {
            // Without a reply the lease expires.
            let _ = left.recv_timeout(REPLY_TIMEOUT);
            std::thread::sleep(LAST_SEND_GRACE);
        }
    }

    /// The state of this process as a replica; `None` if the actor does not reply in time.
    pub fn replica_status(&self) -> Option<ReplicaStatus> {
        let (reply, status) = bounded(1);
        self.commands
            .send(OwnershipCommand::ReportStatus(reply))
            .ok()?;
        status.recv_timeout(REPLY_TIMEOUT).ok()
    }
}
