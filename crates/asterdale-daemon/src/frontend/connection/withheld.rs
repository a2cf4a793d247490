//! The last replies to a client that sends nothing but errors and never stops.
//!
//! Its connection is to end, but there may be unread input, and a valid request among it. So the replies are withheld while
//! reading goes on: an edge node has a bounded number of requests without a reply, and falls silent once it has sent
//! them. Then everything that it has sent is read, and the connection can end. A client that sends more than that is
//! no edge node.

use std::sync::Arc;

use asterdale_fastcgi::Response;

use super::dispatch::MAX_OPEN_REQUESTS;
use super::Connection;
use crate::frontend::peer::Peer;

/// Units of the error budget that a connection without open requests spends, since its last valid request, before
/// replies are withheld.
const MAX_SPENT_UNITS: i64 = 128;
/// Units that it may spend from then on, before reading stops even if there is unread input: more than all requests
/// that an edge node may have sent without a reply cost.
const MAX_SPENT_UNITS_WHILE_WITHHOLDING: i64 = MAX_OPEN_REQUESTS as i64 * 3 / 2;

/// Replies that are withheld, and since when.
pub struct WithheldReplies {
    replies: Vec<Response>,
    /// Units that the connection had spent since its last valid request when this began.
    spent_before: i64,
}

impl Connection {
    /// Starts to withhold replies if the client does not stop to send errors.
    pub(super) fn update_withholding(&mut self) {
        let spent_before = self.error_budget.spent_since_request();
        let starts =
            self.end_requested && spent_before >= MAX_SPENT_UNITS && !self.has_open_requests();
        if starts && self.withheld.is_none() {
            self.withheld = Some(WithheldReplies {
                replies: Vec::new(),
                spent_before,
            });
        }
    }

    /// Whether the client has sent more without a reply than an edge node does.
    pub(super) fn has_exceeded_withholding(&self) -> bool {
        self.withheld.as_ref().is_some_and(|withheld| {
            let spent = self.error_budget.spent_since_request() - withheld.spent_before;
            withheld.replies.len() > MAX_OPEN_REQUESTS || spent > MAX_SPENT_UNITS_WHILE_WITHHOLDING
        })
    }

    /// Whether replies are withheld. Reading does not pause then.
    pub(super) fn is_withholding(&self) -> bool {
        self.withheld.is_some()
    }

    /// Sends a reply that the engine has no part in, or withholds it.
    pub(super) fn send_or_withhold(&mut self, peer: &Arc<Peer>, reply: Response) {
        match &mut self.withheld {
            Some(withheld) => withheld.replies.push(reply),
            None => peer.send_record(reply),
        }
    }

    /// Sends the replies that were withheld.
    pub(super) fn release_withheld(&mut self, peer: &Arc<Peer>) {
        let withheld = self.withheld.take();
        for reply in withheld.into_iter().flat_map(|withheld| withheld.replies) {
            peer.send_record(reply);
        }
    }
}
