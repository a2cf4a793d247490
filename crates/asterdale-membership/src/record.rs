//! What is known of a process, and which of two words on it holds.

use std::cmp::Ordering;
use std::net::SocketAddr;

/// Whether a process is there, in the order in which words on the same incarnation beat each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// It is.
    Alive,
    /// Somebody got no answer from it.
    Suspect,
    /// Nobody refuted that in time.
    Dead,
    /// It said that it leaves. Nothing of its generation comes after that.
    Left,
}

/// How far a process is, by its own word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// It began without warm state.
    #[default]
    WarmingUp,
    /// It takes work.
    Ready,
    /// It has all the work that it can take.
    AtCapacity,
    /// It takes no new work.
    Draining,
}

/// What a process says of itself, bounded: a byte each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Metadata {
    /// How far it is.
    pub phase: Phase,
    /// Busy part of its cores, in hundredths.
    pub load_percent: u8,
    /// How warm it is, in hundredths.
    pub warm_percent: u8,
}

/// What is known of a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberRecord {
    /// Its name: one process has it at a time, or is to.
    pub name: String,
    /// Where it is to be reached, as it says itself.
    pub address: SocketAddr,
    /// Counts the processes that had the name, and the times that one was believed dead: higher than all earlier.
    pub generation: u64,
    /// Tells two that took the same generation apart.
    pub nonce: u64,
    /// Counts what it has said of itself within its generation, and the deaths that were told of it.
    pub incarnation: u32,
    /// Whether it is there.
    pub status: Status,
    /// What it says of itself.
    pub metadata: Metadata,
    /// By whose word.
    pub reported_by: String,
}

impl MemberRecord {
    /// Which process under this name it speaks of: the higher is the newer.
    pub fn run_id(&self) -> (u64, u64) {
        (self.generation, self.nonce)
    }

    /// Orders two words on processes under one name; the greater holds. Of one process's: that it left beats all,
    /// then the higher incarnation, which only the process itself can raise, or its death, then the worse status. So
    /// whoever hears the same words, in any order and however often, holds the same.
    pub fn cmp_precedence(&self, other: &MemberRecord) -> Ordering {
        let rank = |r: &MemberRecord| {
            (
                r.run_id(),
                r.status == Status::Left,
                r.incarnation,
                r.status,
            )
        };
        rank(self).cmp(&rank(other))
    }

    /// It counts as there.
    pub fn is_live(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn of_any_words_on_a_name_one_holds_whatever_the_order() {
        let word = |generation, nonce, incarnation, status| MemberRecord {
            name: "a".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            generation,
            nonce,
            incarnation,
            status,
            metadata: Metadata::default(),
            reported_by: String::new(),
        };
        // From the weakest to the strongest.
        let all = [
            word(1, 9, 7, Status::Left),
            word(2, 1, 0, Status::Alive),
            word(2, 1, 0, Status::Suspect),
            word(2, 1, 0, Status::Dead),
            word(2, 1, 1, Status::Alive),
            word(2, 1, 0, Status::Left),
            word(2, 2, 0, Status::Alive),
            word(3, 0, 0, Status::Alive),
        ];
        for (i, one) in all.iter().enumerate() {
            for (j, other) in all.iter().enumerate() {
                assert_eq!(one.cmp_precedence(other), i.cmp(&j), "{one:?} {other:?}");
            }
        }
    }
}
