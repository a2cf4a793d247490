//! The record of a member, and which of two contradictory records takes precedence.

use std::cmp::Ordering;
use std::net::SocketAddr;

/// SWIM's member states. For the same incarnation the later one in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// The process answers probes.
    Alive,
    /// A probe of the process failed.
    Suspect,
    /// The suspicion was not refuted in time.
    Dead,
    /// The process left on its own. No later record of the same run can change that.
    Left,
}

/// The phase of a process's lifecycle, as the process itself reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// It started without its caches and is warming up.
    #[default]
    WarmingUp,
    /// It accepts work.
    Ready,
    /// It has all the work that it can take.
    AtCapacity,
    /// It accepts no new work.
    Draining,
}

/// What a process reports about its load. It is only a few bytes long, as every datagram carries it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Metadata {
    /// The phase.
    pub phase: Phase,
    /// Utilization of its cores, from 0 to 100.
    pub load_percent: u8,
    /// Progress of its slow start, from 0 to 100.
    pub warm_percent: u8,
}

/// What is known about a process. The crate's documentation explains generation and incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberRecord {
    /// The name. At most one process should have it at a time.
    pub name: String,
    /// The address at which the process can be reached, as the process itself reports it.
    pub address: SocketAddr,
    /// Number of the run under this name, higher than those of all earlier runs.
    pub generation: u64,
    /// A random number that distinguishes two processes that took the same generation.
    pub nonce: u64,
    /// SWIM's incarnation number, within the generation.
    pub incarnation: u32,
    /// The status.
    pub status: Status,
    /// What the process reports about its load.
    pub metadata: Metadata,
    /// Name of the process that reported the status first.
    pub reported_by: String,
}

impl MemberRecord {
    /// Identifies one run of a process under this name; of two, the greater is the newer.
    pub fn run_id(&self) -> (u64, u64) {
        (self.generation, self.nonce)
    }

    /// Orders two records of one name; the greater one wins.
    ///
    /// A newer run wins over an older one. Within a run, [`Status::Left`] wins over everything, then the higher
    /// incarnation, then the later status. As this is a total order, processes that received the same records agree,
    /// whatever the order in which the records came and however often.
    pub fn cmp_precedence(&self, other: &MemberRecord) -> Ordering {
        let rank = |record: &MemberRecord| {
            (
                record.run_id(),
                record.status == Status::Left,
                record.incarnation,
                record.status,
            )
        };
        rank(self).cmp(&rank(other))
    }

    /// Whether the process counts as a live member. A suspect does.
    pub fn is_live(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }
}

#[cfg(test)]
mod tests;
