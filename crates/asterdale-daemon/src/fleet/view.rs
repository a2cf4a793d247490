//! The engine's view of the other members of the fleet.

use asterdale::events::PeerCounts;
use asterdale_engine::message::{FleetView, LocalStatus};
use asterdale_membership::{Metadata, Phase};
use asterdale_transport::Transport;

/// Published load is rounded to this many percent, so that small changes are not gossiped.
const LOAD_STEP_PERCENT: u8 = 10;

/// A view of the fleet's members from their gossip.
pub struct TransportFleetView(pub Transport);

impl FleetView for TransportFleetView {
    fn peer_counts(&self) -> Option<PeerCounts> {
        let summary = &self.0.summary;
        let live_members = summary.live_members();
        let local_warm = u32::from(summary.is_local_warm());
        (live_members > 0).then(|| {
            let warm_peers = summary.warm_members().saturating_sub(local_warm);
            PeerCounts {
                present: f64::from(live_members - 1),
                ready: f64::from(warm_peers),
            }
        })
    }

    fn publish_status(&self, status: LocalStatus) {
        let phase = if status.draining {
            Phase::Draining
        } else if status.warming_up {
            Phase::WarmingUp
        } else if status.accepts_work {
            Phase::Ready
        } else {
            Phase::AtCapacity
        };
        let rounded = status.load.saturating_add(LOAD_STEP_PERCENT / 2);
        self.0.publish_status(Metadata {
            phase,
            load_percent: rounded / LOAD_STEP_PERCENT * LOAD_STEP_PERCENT,
            warm_percent: if status.warming_up { 0 } else { 100 },
        });
    }
}
