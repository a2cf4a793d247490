//! The engine's client of the replicas that store the claims of the fleet.

use std::hash::Hasher as _;

use asterdale_engine::message::OwnershipClient;
use asterdale_ownership::OwnershipRequest;
use asterdale_transport::ownership::OwnershipHandle;
use siphasher::sip::SipHasher13;

use crate::start::OwnershipSettings;

/// Ownership that is replicated among the fleet's replicas.
pub struct ReplicatedOwnership {
    handle: OwnershipHandle,
    /// By request class: whether its requests are replicated, and if so whether the service that performs their effects
    /// rejects older fences.
    replicated_classes: Vec<Option<bool>>,
    /// Keys of the body digest, derived from the fleet's key: digests are the same in all processes of the fleet, and
    /// can't be predicted outside of it.
    digest_keys: (u64, u64),
}

impl ReplicatedOwnership {
    /// Ownership through this handle, in a fleet with this key.
    pub fn new(
        handle: OwnershipHandle,
        settings: &OwnershipSettings,
        fleet_key: &[u8],
    ) -> ReplicatedOwnership {
        let derive_key = |n: u64| {
            let mut hasher = SipHasher13::new_with_keys(n, !n);
            hasher.write(fleet_key);
            hasher.finish()
        };
        ReplicatedOwnership {
            handle,
            replicated_classes: settings.replicated_classes.clone(),
            digest_keys: (derive_key(1), derive_key(2)),
        }
    }
}

impl OwnershipClient for ReplicatedOwnership {
    fn replicates_class(&self, class: usize) -> Option<bool> {
        self.replicated_classes.get(class).copied().flatten()
    }

    fn body_digest(&self, body: &[u8]) -> u64 {
        let (first, second) = self.digest_keys;
        let mut hasher = SipHasher13::new_with_keys(first, second);
        hasher.write(body);
        hasher.finish()
    }

    fn request(&self, number: u64, request: OwnershipRequest) {
        self.handle.request(number, request);
    }

    fn cancel(&self, number: u64) {
        self.handle.cancel(number);
    }

    fn claim_unused(&self, key: Vec<u8>, fence: u64) {
        self.handle.drop_claim(key, fence);
    }

    fn set_takeover_capacity(&self, capacity: u32) {
        self.handle.set_takeover_capacity(capacity);
    }

    fn may_act(&self) -> bool {
        self.handle.is_lease_valid()
    }

    fn lease_ms(&self) -> f64 {
        self.handle.lease_ms()
    }

    fn release_all(&self) {
        self.handle.leave();
    }
}
