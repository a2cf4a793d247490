//! One request in the ownership table, and how far it has got.

use crate::message::wire::KeyedRequest;

/// Bytes that a request costs beside its key, body and result: its places in the table's three collections.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// How far a request has got.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RequestState {
    /// Claimed: its owner may have started it.
    Started,
    /// Its owner's epoch has ended. It may run again: the dependency rejects older fencing tokens.
    Ownerless,
    /// Its owner handed it over and never started it. It may run under a new claim, fenced or not.
    HandedOver,
    /// It ended with this result.
    Completed(Vec<u8>),
    /// It ended without a result that could be returned.
    Failed,
    /// Its owner's epoch has ended, it may have run, and nothing would reject a second run.
    OutcomeUnknown,
}

/// A request with its owner and state.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedRequest {
    /// The request. Its body is dropped once the request has ended.
    pub request: KeyedRequest,
    /// The epoch of its owner; 0 if it was handed over and not claimed since.
    pub epoch: u64,
    /// The fencing token of the last claim; 0 if there was none.
    pub fence: u64,
    /// How far it has got.
    pub state: RequestState,
    /// Its caller's deadline, in the table's time, in milliseconds.
    pub deadline_ms: f64,
    /// The end of its retry window, in the table's time, in milliseconds: the table forgets it then.
    pub expires_at_ms: f64,
}

impl OwnedRequest {
    /// What it counts against [`crate::OwnershipSettings::max_bytes`].
    pub(super) fn size_bytes(&self) -> usize {
        let result_bytes = match &self.state {
            RequestState::Completed(result) => result.len(),
            _ => 0,
        };
        // The key stands in the table and in an index.
        ENTRY_OVERHEAD_BYTES + 2 * self.request.key.len() + self.request.body.len() + result_bytes
    }

    /// Whether any owner may claim it.
    pub(super) fn is_claimable(&self) -> bool {
        matches!(
            self.state,
            RequestState::Ownerless | RequestState::HandedOver
        )
    }
}
