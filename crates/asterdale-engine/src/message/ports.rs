//! Ports: how the engine sees the frontends, the fleet and the ownership service.

use asterdale::events::PeerCounts;
#[cfg(feature = "ownership")]
use asterdale_ownership::OwnershipRequest;

/// All connections of the frontends together.
pub trait Frontends: Send + Sync {
    /// From now on, closes connections that have been idle for this many milliseconds.
    fn close_idle(&self, after_ms: f64);
    /// The number of open connections.
    fn open_connections(&self) -> usize;
    /// Stops listening, once the connections that the kernel has accepted are taken.
    fn stop_listening(&self);
    /// Closes every connection as soon as all of its requests are answered.
    fn end_answered_connections(&self);
    /// Another process accepts new connections from now on (at most one more is accepted here), or this one again.
    fn set_paused(&self, is_paused: bool);
}

/// The status that a process publishes to its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalStatus {
    /// It accepts new work.
    pub accepts_work: bool,
    /// It started without warm state a short while ago.
    pub warming_up: bool,
    /// It is draining.
    pub draining: bool,
    /// CPU use of its cores, in percent.
    pub load: u8,
}

/// The other processes of the fleet. What it says is a hint, never a lock.
pub trait FleetView: Send + Sync {
    /// The other processes that are there. `None` where that is unknown, or where this process sees only a minority of
    /// the fleet.
    fn peer_counts(&self) -> Option<PeerCounts>;
    /// Publishes this process's status. Never blocks.
    fn publish_status(&self, status: LocalStatus);
}

/// The replicated ownership of requests. No method blocks but `release_all`.
#[cfg(feature = "ownership")]
pub trait OwnershipClient: Send + Sync {
    /// `None` where requests of this class have no replicated owner; else whether the service behind them rejects
    /// older fences.
    fn replicates_class(&self, class: usize) -> Option<bool>;
    /// A digest of a request body, equal in all processes.
    fn body_digest(&self, body: &[u8]) -> u64;
    /// Sends a request; its answer comes as a message with this number.
    fn request(&self, number: u64, want: OwnershipRequest);
    /// The answer to this request is no longer needed.
    fn cancel(&self, number: u64);
    /// The claim with this fence was never started.
    fn claim_unused(&self, key: Vec<u8>, fence: u64);
    /// Publishes how many ownerless requests this process would take over now.
    fn set_takeover_capacity(&self, capacity: u32);
    /// Whether the lease is valid at this moment, so that claimed requests may start and make calls.
    fn may_act(&self) -> bool;
    /// Whether starts and calls carry the fence of their claim: the service behind them may then check it.
    fn sends_fences(&self) -> bool {
        true
    }
    /// The length of a lease, in milliseconds.
    fn lease_ms(&self) -> f64;
    /// This process terminates: anybody may take what it has not completed. Returns once that is sent.
    fn release_all(&self);
}
