//! A keeper's place in a group: the log, agreed on by the `raft` crate, and the book that it adds up to. All is in
//! memory, and told to whoever saves it: a process that comes back without what was saved is another keeper, with another
//! number, and has to be agreed on as such.

use std::cell::RefCell;
use std::rc::Rc;

use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry as RaftEntry, EntryType,
    Message, Snapshot,
};
use raft::storage::MemStorage;
use raft::{Config, GetEntriesContext, RaftState, RawNode, StateRole, Storage};

use crate::message::wire::{Answer, LogEntry, Proposal};
use crate::message::Member;
use crate::settings::OwnershipSettings;
use crate::storage::{self, StorageWrite, StoredState};
use crate::table::OwnershipTable;

/// Entries of the log that are kept behind the last one applied, for keepers that are a little late; more than a few
/// seconds' worth. Beyond it they get the whole book.
const BEHIND: u64 = 2048;
/// The log is cut once it is so much longer.
const CUT: u64 = 1024;
/// The library's ticks: an election after so many, a leader's word each so many.
const ELECTION: usize = 10;
const HEARTBEAT: usize = 3;
/// Bytes of entries in one message, and messages under way to one keeper.
const MESSAGE: u64 = 1024 * 1024;
const FLIGHT: usize = 64;

/// The library's memory of the log, and the last book that was written for those far behind.
#[derive(Clone)]
struct Store {
    log: MemStorage,
    book: Rc<RefCell<Snapshot>>,
}

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.log.initial_state()
    }
    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<RaftEntry>> {
        self.log.entries(low, high, most, context)
    }
    fn term(&self, index: u64) -> raft::Result<u64> {
        self.log.term(index)
    }
    fn first_index(&self) -> raft::Result<u64> {
        self.log.first_index()
    }
    fn last_index(&self) -> raft::Result<u64> {
        self.log.last_index()
    }
    fn snapshot(&self, _: u64, _: u64) -> raft::Result<Snapshot> {
        Ok(self.book.borrow().clone())
    }
}

/// A keeper's place in a group.
pub struct RaftNode {
    /// Its number.
    pub group: u64,
    /// This keeper's.
    pub node: u64,
    /// What the log adds up to.
    pub table: OwnershipTable,
    raft: RawNode<Store>,
    storage: Store,
    settings: OwnershipSettings,
    applied_index: u64,
    compacted_index: u64,
    /// When the last entry was stamped, by this keeper's clock.
    last_proposal_ms: f64,
    was_leader: bool,
    next_tick_ms: f64,
    /// A change of the set is proposed and not applied.
    change_in_progress: bool,
    /// What has to be on disk, where it lasts.
    writes: Option<Vec<StorageWrite>>,
}

/// What came of a turn.
#[derive(Default)]
pub struct ReadyOutput {
    /// What has to be on disk before any of the rest leaves.
    pub writes: Vec<StorageWrite>,
    /// Messages to other keepers.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// Answers to owners: of use where this keeper leads.
    pub answers: Vec<(Member, Answer)>,
    /// It leads from now on, or no more.
    pub leadership_change: Option<bool>,
}

fn quiet() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

impl RaftNode {
    /// The place of this keeper in a group that is formed of these; or, where it is none of them, in one that will
    /// send it all there is.
    pub fn new(
        now: f64,
        (number, node): (u64, u64),
        members: &[Member],
        terms: &OwnershipSettings,
        lasts: bool,
    ) -> Option<RaftNode> {
        let book = OwnershipTable::new(number, members, terms.clone());
        let founds = members.iter().any(|member| member.node == node);
        let voters: Vec<u64> = if founds {
            members.iter().map(|m| m.node).collect()
        } else {
            Vec::new()
        };
        let mut first = Snapshot::default();
        let log = MemStorage::new();
        if founds {
            // All founders begin with the same: an entry that nobody wrote, and the same set.
            let state = ConfState {
                voters,
                ..ConfState::default()
            };
            first.mut_metadata().set_conf_state(state);
            first.mut_metadata().index = 1;
            first.mut_metadata().term = 1;
            first.set_data(book.encode().into());
            log.wl().apply_snapshot(first.clone()).ok()?;
        }
        let mut raft_node = RaftNode::over(now, (number, node), (log, first), book, terms)?;
        if lasts {
            raft_node.writes = Some(Vec::new());
            raft_node.save_whole(true);
        }
        Some(raft_node)
    }

    /// The place that this keeper had, by what it has on disk; `None` where that does not fit together.
    pub fn restore(
        now: f64,
        (number, node): (u64, u64),
        stored: &StoredState,
        terms: &OwnershipSettings,
    ) -> Option<RaftNode> {
        let (log, whole) = stored.log()?;
        let book = if whole.get_metadata().index > 0 {
            OwnershipTable::decode(whole.get_data(), terms.clone())?
        } else {
            OwnershipTable::new(number, &[], terms.clone())
        };
        let mut raft_node = RaftNode::over(now, (number, node), (log, whole), book, terms)?;
        raft_node.writes = Some(Vec::new());
        Some(raft_node)
    }

    fn over(
        now: f64,
        (number, node): (u64, u64),
        (log, first): (MemStorage, Snapshot),
        book: OwnershipTable,
        terms: &OwnershipSettings,
    ) -> Option<RaftNode> {
        let applied = first.get_metadata().index;
        let store = Store {
            log,
            book: Rc::new(RefCell::new(first)),
        };
        let config = Config {
            id: node,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            max_size_per_msg: MESSAGE,
            max_inflight_msgs: FLIGHT,
            applied,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let raft = RawNode::new(&config, store.clone(), &quiet()).ok()?;
        Some(RaftNode {
            group: number,
            node,
            table: book,
            raft,
            storage: store,
            settings: terms.clone(),
            applied_index: applied,
            compacted_index: applied,
            last_proposal_ms: now,
            was_leader: false,
            next_tick_ms: now + terms.tick_ms,
            change_in_progress: false,
            writes: None,
        })
    }

    fn save(&mut self, save: Option<StorageWrite>) {
        if let Some(saves) = &mut self.writes {
            saves.extend(save);
        }
    }

    /// The book that was written last; with `alone` no entry is kept beside it.
    fn save_whole(&mut self, alone: bool) {
        if self.writes.is_some() {
            let book = self.storage.book.borrow();
            let whole = book
                .write_to_bytes()
                .ok()
                .map(|bytes| StorageWrite::Snapshot {
                    last_index: book.get_metadata().index,
                    bytes,
                    delete_all_entries: alone,
                });
            drop(book);
            self.save(whole);
        }
    }

    /// Whether it leads.
    pub fn is_leader(&self) -> bool {
        self.was_leader
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<&Member> {
        self.table.members.get(&self.raft.raft.leader_id)
    }

    /// Entries that it has applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// When it wants to be woken.
    pub fn next_wake_ms(&self) -> f64 {
        self.next_tick_ms
    }

    /// It is time. A wake that comes late is one tick: time in which it could hear nothing says nothing of the leader.
    pub fn tick(&mut self, now: f64) {
        if now >= self.next_tick_ms {
            self.next_tick_ms = now + self.settings.tick_ms;
            self.raft.tick();
        }
    }

    /// A message of the library's. What it can't take is as good as lost.
    pub fn step(&mut self, bytes: &[u8]) {
        if let Ok(message) = Message::parse_from_bytes(bytes) {
            // One that comes back empty can't have taken what is said to be committed.
            let beyond = message.commit > self.raft.raft.raft_log.last_index()
                && message.get_msg_type() == raft::eraftpb::MessageType::MsgHeartbeat;
            if message.to == self.node && !beyond {
                let _ = self.raft.step(message);
            }
        }
    }

    /// Puts these orders into the log, where it leads; time passes by it in any case.
    pub fn propose(&mut self, now: f64, proposals: Vec<Proposal>) -> bool {
        if !self.was_leader {
            return false;
        }
        let elapsed_ms = (now - self.last_proposal_ms).max(0.0);
        let entry = LogEntry {
            elapsed_ms,
            proposals,
        };
        let proposed = self.raft.propose(Vec::new(), entry.encode_to_vec()).is_ok();
        if proposed {
            self.last_proposal_ms = now;
        }
        proposed
    }

    /// Since the book's time was last moved on.
    pub fn since_last_proposal_ms(&self, now: f64) -> f64 {
        now - self.last_proposal_ms
    }

    /// Has the log agree that `new` takes the place of the keeper that was under its name: first it learns all there
    /// is, then the two change places at once.
    /// `true` if that is proposed now.
    pub fn propose_replacement(&mut self, new: &Member) -> bool {
        if !self.was_leader || self.change_in_progress {
            return false;
        }
        let tracker = self.raft.raft.prs();
        let progress = tracker.get(new.node);
        let mut change = ConfChangeV2::default();
        let single = |kind, node| {
            let mut one = ConfChangeSingle::default();
            one.set_change_type(kind);
            one.node_id = node;
            one
        };
        match progress {
            None => change
                .mut_changes()
                .push(single(ConfChangeType::AddLearnerNode, new.node)),
            Some(progress) if tracker.conf().learners().contains(&new.node) => {
                if progress.matched == 0
                    || progress.matched + CUT < self.raft.raft.raft_log.committed
                {
                    return false; // it still learns
                }
                change
                    .mut_changes()
                    .push(single(ConfChangeType::AddNode, new.node));
                let old: Vec<u64> = (self.table.members.values())
                    .filter(|member| member.name == new.name && member.node != new.node)
                    .map(|member| member.node)
                    .collect();
                for node in old {
                    change
                        .mut_changes()
                        .push(single(ConfChangeType::RemoveNode, node));
                }
            }
            Some(_) => return false,
        }
        let takes = tracker.get(new.node).is_some();
        change.set_context(new.encode_to_vec().into());
        self.change_in_progress = self.raft.propose_conf_change(Vec::new(), change).is_ok();
        takes && self.change_in_progress
    }

    /// Has the log agree that this one is no keeper any more.
    pub fn propose_removal(&mut self, node: u64) {
        if !self.was_leader || self.change_in_progress || !self.table.members.contains_key(&node) {
            return;
        }
        let mut change = ConfChangeV2::default();
        let mut one = ConfChangeSingle::default();
        one.set_change_type(ConfChangeType::RemoveNode);
        one.node_id = node;
        change.mut_changes().push(one);
        self.change_in_progress = self.raft.propose_conf_change(Vec::new(), change).is_ok();
    }

    /// Does whatever there is to do.
    pub fn process_ready(&mut self, now: f64) -> ReadyOutput {
        let mut turn = ReadyOutput::default();
        while self.raft.has_ready() {
            let mut ready = self.raft.ready();
            send(&mut turn, ready.take_messages());
            if ready.snapshot().get_metadata().index > 0 {
                self.adopt(ready.snapshot());
            }
            let committed = ready.take_committed_entries();
            self.apply(committed, &mut turn);
            if !ready.entries().is_empty() {
                // What the library hands out follows on what it has.
                let _ = self.storage.log.wl().append(ready.entries());
                if self.writes.is_some() {
                    self.save(storage::entries(ready.entries()));
                }
            }
            if let Some(state) = ready.hs() {
                self.storage.log.wl().set_hardstate(state.clone());
                self.save(state.write_to_bytes().ok().map(StorageWrite::HardState));
            }
            send(&mut turn, ready.take_persisted_messages());
            let mut light = self.raft.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.storage.log.wl().mut_hard_state().set_commit(commit);
            }
            send(&mut turn, light.take_messages());
            let committed = light.take_committed_entries();
            self.apply(committed, &mut turn);
            self.raft.advance_apply();
        }
        self.shorten();
        let leads = self.raft.raft.state == StateRole::Leader;
        if leads != self.was_leader {
            (
                self.was_leader,
                self.change_in_progress,
                turn.leadership_change,
            ) = (leads, false, Some(leads));
            // Time in which somebody else may have led is not this one's to tell.
            self.last_proposal_ms = now;
        }
        turn.writes = self.writes.as_mut().map(std::mem::take).unwrap_or_default();
        turn
    }

    fn adopt(&mut self, whole: &Snapshot) {
        if self.storage.log.wl().apply_snapshot(whole.clone()).is_ok() {
            if let Some(book) = OwnershipTable::decode(whole.get_data(), self.settings.clone()) {
                self.table = book;
            }
            self.applied_index = whole.get_metadata().index;
            self.compacted_index = self.applied_index;
            *self.storage.book.borrow_mut() = whole.clone();
            self.save_whole(true);
        }
    }

    fn apply(&mut self, committed: Vec<RaftEntry>, turn: &mut ReadyOutput) {
        for logged in committed {
            self.applied_index = logged.index;
            match logged.get_entry_type() {
                EntryType::EntryNormal => {
                    // A leader's first entry is empty.
                    if let Ok(entry) = LogEntry::decode(&logged.data[..]) {
                        turn.answers.extend(self.table.apply(entry));
                    }
                }
                EntryType::EntryConfChangeV2 => self.apply_change(&logged.data, logged.term),
                EntryType::EntryConfChange => {}
            }
        }
    }

    fn apply_change(&mut self, bytes: &[u8], term: u64) {
        let Ok(change) = ConfChangeV2::parse_from_bytes(bytes) else {
            return;
        };
        if let Ok(state) = self.raft.apply_conf_change(&change) {
            let in_set = |node: &u64| {
                let all = [&state.voters, &state.learners, &state.voters_outgoing];
                all.into_iter().any(|some| some.contains(node))
            };
            if let Ok(new) = Member::decode(change.get_context()) {
                if in_set(&new.node) {
                    self.table.members.insert(new.node, new);
                }
            }
            self.table.members.retain(|node, _| in_set(node));
            self.storage.log.wl().set_conf_state(state);
            // One that is new learns nothing from a book that was written before it was in the set.
            self.write_whole(term);
        }
        // A joint set is left by an empty change, which the library proposes by itself.
        self.change_in_progress = false;
    }

    /// Writes the book and cuts the log, once it has grown.
    fn shorten(&mut self) {
        if self.applied_index < self.compacted_index + BEHIND + CUT {
            return;
        }
        let Ok(term) = self.storage.log.term(self.applied_index) else {
            return;
        };
        self.write_whole(term);
        self.compacted_index = self.applied_index - BEHIND;
        let _ = self.storage.log.wl().compact(self.compacted_index);
    }

    /// Writes the book as it is now, for those who have nothing or are far behind.
    fn write_whole(&mut self, term: u64) {
        let Ok(state) = self.storage.log.initial_state() else {
            return;
        };
        let mut whole = Snapshot::default();
        whole.mut_metadata().set_conf_state(state.conf_state);
        whole.mut_metadata().index = self.applied_index;
        whole.mut_metadata().term = term;
        whole.set_data(self.table.encode().into());
        *self.storage.book.borrow_mut() = whole;
        self.save_whole(false);
    }
}

/// To whom a message of the library's is.
pub fn addressee(bytes: &[u8]) -> Option<u64> {
    Message::parse_from_bytes(bytes)
        .ok()
        .map(|message| message.to)
}

fn send(turn: &mut ReadyOutput, messages: Vec<Message>) {
    for message in messages {
        if let Ok(bytes) = message.write_to_bytes() {
            turn.messages.push((message.to, bytes));
        }
    }
}
