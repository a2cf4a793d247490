//! The encoding of the ownership table in snapshots of the log (`TableSnapshot` in `proto/takeover.proto`).
//!
//! Derived data is not stored: the indexes over the requests and the table's size are rebuilt on decoding.

use prost::Message as _;

use super::{OwnedRequest, OwnerLease, OwnershipTable, RequestState};
use crate::message::{wire, Member};
use crate::settings::OwnershipSettings;

impl OwnershipTable {
    /// Encodes the complete table. Replicas that applied the same entries produce the same bytes, because all
    /// collections are ordered.
    pub fn encode(&self) -> Vec<u8> {
        let latest = self.latest_node_by_name.iter().map(|(name, &node)| Member {
            name: name.clone(),
            node,
            ..Member::default()
        });
        wire::TableSnapshot {
            group: self.group,
            now_ms: self.now_ms,
            claims_blocked_until_ms: self.claims_blocked_until_ms,
            last_epoch: self.last_epoch,
            last_fence: self.last_fence,
            leases: self.leases.iter().map(encode_lease).collect(),
            requests: self.requests.values().map(encode_request).collect(),
            members: self.members.values().cloned().collect(),
            latest_node_by_name: latest.collect(),
            replaced_nodes: self.replaced_nodes.iter().copied().collect(),
        }
        .encode_to_vec()
    }

    /// Decodes a table that [`OwnershipTable::encode`] wrote; `None` if it is malformed.
    pub fn decode(bytes: &[u8], settings: OwnershipSettings) -> Option<OwnershipTable> {
        let stored = wire::TableSnapshot::decode(bytes).ok()?;
        let mut table = OwnershipTable::new(stored.group, &stored.members, settings);
        table.now_ms = stored.now_ms;
        table.claims_blocked_until_ms = stored.claims_blocked_until_ms;
        table.last_epoch = stored.last_epoch;
        table.last_fence = stored.last_fence;
        let latest = stored.latest_node_by_name.into_iter();
        table.latest_node_by_name = latest.map(|member| (member.name, member.node)).collect();
        table.replaced_nodes = stored.replaced_nodes.into();
        table.leases = stored.leases.into_iter().map(decode_lease).collect();
        for request in stored.requests {
            let request = decode_request(request)?;
            let key = request.request.key.clone();
            table.replace_request(&key, Some(request));
        }
        Some(table)
    }
}

fn encode_lease((&epoch, lease): (&u64, &OwnerLease)) -> wire::OwnerLease {
    wire::OwnerLease {
        epoch,
        name: lease.name.clone(),
        node: lease.node,
        expires_at_ms: lease.expires_at_ms,
        renewed: lease.renewed,
    }
}

fn decode_lease(stored: wire::OwnerLease) -> (u64, OwnerLease) {
    let lease = OwnerLease {
        name: stored.name,
        node: stored.node,
        expires_at_ms: stored.expires_at_ms,
        renewed: stored.renewed,
    };
    (stored.epoch, lease)
}

fn encode_request(owned: &OwnedRequest) -> wire::OwnedRequest {
    let (state, result) = match &owned.state {
        RequestState::Started => (0, Vec::new()),
        RequestState::Ownerless => (1, Vec::new()),
        RequestState::HandedOver => (2, Vec::new()),
        RequestState::Completed(result) => (3, result.clone()),
        RequestState::Failed => (4, Vec::new()),
        RequestState::OutcomeUnknown => (5, Vec::new()),
    };
    wire::OwnedRequest {
        request: Some(owned.request.clone()),
        epoch: owned.epoch,
        fence: owned.fence,
        state,
        result,
        deadline_ms: owned.deadline_ms,
        expires_at_ms: owned.expires_at_ms,
    }
}

fn decode_request(stored: wire::OwnedRequest) -> Option<OwnedRequest> {
    let state = match stored.state {
        0 => RequestState::Started,
        1 => RequestState::Ownerless,
        2 => RequestState::HandedOver,
        3 => RequestState::Completed(stored.result),
        4 => RequestState::Failed,
        // 5, or an unknown state of a later release, which is treated as 5: never running it again is always safe.
        _ => RequestState::OutcomeUnknown,
    };
    Some(OwnedRequest {
        request: stored.request?,
        epoch: stored.epoch,
        fence: stored.fence,
        state,
        deadline_ms: stored.deadline_ms,
        expires_at_ms: stored.expires_at_ms,
    })
}
