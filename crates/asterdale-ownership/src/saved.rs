//! What a keeper has on disk, where it has one: its number, its group, and its part of the log. Whatever is saved in a turn
//! has to be there before any letter of that turn leaves: a vote, a word that an entry is held, an answer to an owner rest
//! on it. One that comes back with all of it is the keeper that it was; one that lacks anything is another.

use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb::{Entry as Logged, HardState, Snapshot};
use raft::storage::MemStorage;

use crate::message::Member;

/// Something that has to be on disk. Applied in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Save {
    /// Who it is: takes the place of the one before.
    Face(Vec<u8>),
    /// What it has voted, and up to where all agree.
    Hard(Vec<u8>),
    /// The book up to an entry. Entries up to that one are no longer needed; with `true` none is.
    Whole(u64, Vec<u8>, bool),
    /// Entries from this one on; whatever was there from it on is gone.
    Entries(u64, Vec<Vec<u8>>),
}

/// What was found on disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Saved {
    /// The last of each.
    pub face: Vec<u8>,
    /// See [`Save::Hard`].
    pub hard: Vec<u8>,
    /// See [`Save::Whole`].
    pub whole: Vec<u8>,
    /// All entries, by number.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// Who a keeper was.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Face {
    /// Its number.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Its group's; 0 for none.
    #[prost(uint64, tag = "2")]
    pub group: u64,
    /// The highest number of a group that it has heard of.
    #[prost(uint64, tag = "3")]
    pub highest: u64,
    /// Those that its group was formed of, where it knows.
    #[prost(message, repeated, tag = "4")]
    pub founders: Vec<Member>,
}

impl Saved {
    /// Who it was; `None` where nothing was saved, or nothing that can be read.
    pub fn face(&self) -> Option<Face> {
        Face::decode(&self.face[..])
            .ok()
            .filter(|face| face.node != 0)
    }

    /// The library's memory of it, and the book that it begins with. What does not fit together is no memory.
    pub(crate) fn log(&self) -> Option<(MemStorage, Snapshot)> {
        let whole = Snapshot::parse_from_bytes(&self.whole).ok()?;
        let mut hard = HardState::parse_from_bytes(&self.hard).ok()?;
        let log = MemStorage::new();
        let from = whole.get_metadata().index;
        if from > 0 {
            log.wl().apply_snapshot(whole.clone()).ok()?;
        }
        let mut entries = Vec::new();
        for (number, bytes) in self.entries.iter().filter(|(number, _)| *number > from) {
            let entry = Logged::parse_from_bytes(bytes).ok()?;
            if entry.index != *number || entry.index != from + 1 + entries.len() as u64 {
                return None;
            }
            entries.push(entry);
        }
        let last = from + entries.len() as u64;
        if hard.commit > last {
            return None; // it has said that it holds more
        }
        log.wl().append(&entries).ok()?;
        hard.commit = hard.commit.max(from);
        hard.term = hard.term.max(whole.get_metadata().term);
        log.wl().set_hardstate(hard);
        Some((log, whole))
    }
}

/// Entries, as they are saved.
pub(crate) fn entries(entries: &[Logged]) -> Option<Save> {
    let first = entries.first()?.index;
    let bytes: Vec<Vec<u8>> = entries
        .iter()
        .filter_map(|entry| entry.write_to_bytes().ok())
        .collect();
    (bytes.len() == entries.len()).then_some(Save::Entries(first, bytes))
}
