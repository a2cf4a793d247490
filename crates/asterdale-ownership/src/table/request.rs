//! One request in the ownership table, and its state.

use crate::message::wire::KeyedRequest;

/// Bytes counted for a request besides its key, body and result: its entries in the table's three collections.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// The state of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RequestState {
    /// Claimed: its owner may have started it.
    Started,
    /// The owner's epoch has ended. The request may run again, as the dependency rejects older fencing tokens.
    Ownerless,
    /// The owner handed over the request without starting it. It may run under a new claim, fenced or not.
    HandedOver,
    /// The request ended with this result.
    Completed(Vec<u8>),
    /// The request ended without a result that could be returned.
    Failed,
    /// The owner's epoch has ended, the request may have run, and no fence would reject a second run.
    OutcomeUnknown,
}

/// A request with its owner and state.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedRequest {
    /// The request. Its body is dropped once the request has ended.
    pub request: KeyedRequest,
    /// The epoch of the owner; 0 if the request was handed over and not claimed since.
    pub epoch: u64,
    /// The fencing token of the last claim; 0 if there was none.
    pub fence: u64,
    /// The state of the request.
    pub state: RequestState,
    /// The caller's deadline, in the table's time, in milliseconds.
    pub deadline_ms: f64,
    /// The end of the retry window, at which the request is removed, in the table's time, in milliseconds.
    pub expires_at_ms: f64,
}

impl OwnedRequest {
    /// The bytes that this request counts against [`crate::OwnershipSettings::max_bytes`].
    pub(super) fn size_bytes(&self) -> usize {
        let result_bytes = match &self.state {
            RequestState::Completed(result) => result.len(),
            _ => 0,
        };
        // The key is stored in the table and in an index.
        ENTRY_OVERHEAD_BYTES + 2 * self.request.key.len() + self.request.body.len() + result_bytes
    }

    /// Whether any owner may claim this request.
    pub(super) fn is_claimable(&self) -> bool {
        matches!(
            self.state,
            RequestState::Ownerless | RequestState::HandedOver
        )
    }
}
