//! A summary of the fleet that other threads read without waiting. It is a hint: it may be outdated or wrong.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use asterdale_membership::{Membership, Metadata, Phase};

/// A member with at least this warm-up percentage counts as warm: it can serve the full load that callers are promised.
const MIN_WARM_PERCENT: u8 = 80;

/// Counts of the fleet's members, as this process sees them.
#[derive(Debug, Default)]
pub struct FleetSummary {
    live_members: AtomicU32,
    warm_members: AtomicU32,
    is_local_warm: AtomicBool,
    has_majority: AtomicBool,
    generation: AtomicU64,
}

impl FleetSummary {
    /// The number of live members, including this process; 0 if this process is no member, or is not in contact with a
    /// majority.
    pub fn live_members(&self) -> u32 {
        if self.has_majority.load(Ordering::Relaxed) {
            self.live_members.load(Ordering::Relaxed)
        } else {
            0
        }
    }

    /// The number of live members that accept work and are warm.
    pub fn warm_members(&self) -> u32 {
        self.warm_members
            .load(Ordering::Relaxed)
            .min(self.live_members())
    }

    /// Whether this process is one of the warm members.
    pub fn is_local_warm(&self) -> bool {
        self.is_local_warm.load(Ordering::Relaxed)
    }

    /// The generation of this process.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Relaxed)
    }

    /// Updates the summary from the membership state machine.
    pub(crate) fn update(&self, membership: &Membership, now_ms: f64) {
        let is_member = membership.is_member();
        let live_members = if is_member {
            membership.view().live_count() + 1
        } else {
            0
        };
        let warm_others = membership
            .view()
            .iter()
            .filter(|member| member.record.is_live() && is_warm(&member.record.metadata))
            .count();
        let is_local_warm = is_member && is_warm(&membership.local_record().metadata);
        let warm_members = warm_others + usize::from(is_local_warm);
        self.is_local_warm.store(is_local_warm, Ordering::Relaxed);
        self.live_members
            .store(live_members as u32, Ordering::Relaxed);
        self.warm_members
            .store(warm_members as u32, Ordering::Relaxed);
        self.has_majority
            .store(membership.has_majority(now_ms), Ordering::Relaxed);
        self.generation
            .store(membership.local_record().generation, Ordering::Relaxed);
    }
}

fn is_warm(metadata: &Metadata) -> bool {
    metadata.phase == Phase::Ready && metadata.warm_percent >= MIN_WARM_PERCENT
}
