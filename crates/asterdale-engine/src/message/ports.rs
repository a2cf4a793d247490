//! Ports: the interfaces through which the engine uses the frontends, the fleet and the ownership replicas.

use asterdale::events::PeerCounts;
#[cfg(feature = "ownership")]
use asterdale_ownership::OwnershipRequest;

/// All connections of the frontends together.
pub trait Frontends: Send + Sync {
    /// From now on, closes connections that have been idle for this many milliseconds.
    fn close_idle(&self, after_ms: f64);
    /// The number of open connections.
    fn open_connections(&self) -> usize;
    /// Stops listening, after taking over the connections that the kernel has already accepted.
    fn stop_listening(&self);
    /// Closes every connection as soon as all of its requests are answered.
    fn end_answered_connections(&self);
    /// `true`: another process accepts new connections from now on, and this one accepts at most one more. `false`:
    /// this one accepts connections again.
    fn set_paused(&self, is_paused: bool);
}

/// The status that a process publishes to its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalStatus {
    /// Whether it accepts new work.
    pub accepts_work: bool,
    /// Whether it started without warm state recently.
    pub warming_up: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// CPU use of its cores, in percent.
    pub load: u8,
}

/// The other processes of the fleet. This view is only a hint: it may be outdated, and must not be used as a lock.
pub trait FleetView: Send + Sync {
    /// Counts of the other live processes. `None` if they are unknown, or if this process sees only a minority of the
    /// fleet.
    fn peer_counts(&self) -> Option<PeerCounts>;
    /// Publishes this process's status. Never blocks.
    fn publish_status(&self, status: LocalStatus);
}

/// The replicated ownership of requests. Only `release_all` blocks.
#[cfg(feature = "ownership")]
pub trait OwnershipClient: Send + Sync {
    /// `None` if requests of this class have no replicated owner; otherwise whether the service that they call rejects
    /// older fences.
    fn replicates_class(&self, class: usize) -> Option<bool>;
    /// A digest of a request body, equal in all processes.
    fn body_digest(&self, body: &[u8]) -> u64;
    /// Sends a request. Its answer arrives as a message to the engine with this number.
    fn request(&self, number: u64, request: OwnershipRequest);
    /// Cancels a request whose answer is no longer needed.
    fn cancel(&self, number: u64);
    /// Reports that no run was started under the claim with this fence.
    fn claim_unused(&self, key: Vec<u8>, fence: u64);
    /// Publishes how many ownerless requests this process can take over now.
    fn set_takeover_capacity(&self, capacity: u32);
    /// Whether the lease is valid at this moment, so that claimed requests may start and make calls.
    fn may_act(&self) -> bool;
    /// Whether starts and calls carry the fence of their claim, so that the service that receives them can check it.
    fn sends_fences(&self) -> bool {
        true
    }
    /// The length of a lease, in milliseconds.
    fn lease_ms(&self) -> f64;
    /// Releases all claims before this process terminates: other processes may take over the requests that it has not
    /// completed. Returns once the release is sent.
    fn release_all(&self);
}
