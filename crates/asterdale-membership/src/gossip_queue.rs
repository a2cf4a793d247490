//! The queue of records to be piggybacked on messages (SWIM, infection-style dissemination).
//!
//! As in SWIM, each record is sent a bounded number of times, and those sent least come first. Unlike in the paper,
//! records of members that are suspected, are dead or have left precede all others.

use std::collections::BTreeMap;

use crate::record::{MemberRecord, Status};

/// A queued record.
#[derive(Clone, Debug)]
struct QueuedRecord {
    transmissions: u32,
    record: MemberRecord,
}

/// A record's rank in the queue; the lowest is sent first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_alive: bool,
    transmissions: u32,
    name: String,
}

/// The queue. It has at most one record for each name.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    queued: BTreeMap<String, QueuedRecord>,
}

impl GossipQueue {
    /// Queues a record, in place of an earlier one of the same name.
    pub fn add(&mut self, record: MemberRecord) {
        let queued = QueuedRecord {
            transmissions: 0,
            record,
        };
        self.queued.insert(queued.record.name.clone(), queued);
    }

    /// The records for the next message, as many as fit into `capacity_bytes`, with sizes by `record_bytes`. A record
    /// that has been sent `max_transmissions` times is removed from the queue.
    ///
    /// Suspicions and deaths come first, because a suspect has little time to refute, and a dead member is sent work
    /// until its death is known. After them come the records sent least, so that hundreds of joins do not delay the
    /// record of one death.
    pub fn take_batch(
        &mut self,
        mut capacity_bytes: usize,
        max_transmissions: u32,
        record_bytes: impl Fn(&MemberRecord) -> usize,
    ) -> Vec<MemberRecord> {
        let mut batch = Vec::new();
        for rank in self.ranks() {
            let Some(queued) = self.queued.get_mut(&rank.name) else {
                continue;
            };
            let bytes = record_bytes(&queued.record);
            if bytes > capacity_bytes {
                break;
            }
            capacity_bytes -= bytes;
            queued.transmissions += 1;
            batch.push(queued.record.clone());
            if queued.transmissions >= max_transmissions {
                self.queued.remove(&rank.name);
            }
        }
        batch
    }

    fn ranks(&self) -> Vec<Rank> {
        let rank = |(name, queued): (&String, &QueuedRecord)| Rank {
            is_alive: queued.record.status == Status::Alive,
            transmissions: queued.transmissions,
            name: name.clone(),
        };
        let mut ranks: Vec<Rank> = self.queued.iter().map(rank).collect();
        ranks.sort_unstable();
        ranks
    }

    /// How many records are queued.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether no record is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}

#[cfg(test)]
mod tests;
