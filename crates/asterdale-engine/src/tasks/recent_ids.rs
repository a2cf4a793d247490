//! The ids of side-effecting requests that were started lately. They have no idempotency key, so an id that comes again
//! after its task was released can be recognized by nothing else.

use std::collections::{HashSet, VecDeque};

use crate::message::RequestId;

/// Ids that are remembered: those of ten seconds at 200 starts a second, in some 100 KiB.
const MAX_IDS: usize = 2048;

/// The last [`MAX_IDS`] ids that were added.
#[derive(Default)]
pub struct RecentIds {
    /// From the oldest to the newest.
    order: VecDeque<RequestId>,
    ids: HashSet<RequestId>,
}

impl RecentIds {
    /// Adds an id, in the place of the oldest one if there are too many.
    pub fn add(&mut self, id: RequestId) {
        if !self.ids.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_IDS {
            let oldest = self.order.pop_front();
            oldest.map(|oldest| self.ids.remove(&oldest));
        }
    }

    /// Whether this id is one of them.
    pub fn contains(&self, id: &RequestId) -> bool {
        self.ids.contains(id)
    }
}

#[cfg(test)]
mod tests;
