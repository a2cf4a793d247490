//! What the log adds up to: who owns which work by which fence, and how it ended. Every keeper applies the same entries
//! in the same order and holds the same book. Its time is told by the entries: how long the leader saw pass since the
//! one before. So it never runs faster than some keeper's clock, and stands still while nobody leads: windows and leases
//! are never shorter than they were meant.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::message::wire::{
    Answer, Claim, Complete, KeyedRequest, LogEntry, Lookup, Proposal, Release, Renew, Verdict,
};
use crate::message::{is_valid_request, CommandKind, Member, MAX_BODY_BYTES};
use crate::settings::OwnershipSettings;

mod snapshot;
#[cfg(test)]
mod tests;

/// What an entry costs beside its key, body and result: its place in three tables.
const ENTRY: usize = 256;
/// Fences and epochs of a group begin at its number times this; a later group's are above all of an earlier one's, as
/// numbers of groups are at least a second apart and no group gives a billion fences a second.
const STEP: u64 = 1 << 30;
/// Names of owners that are known, and processes that were replaced: as many as a fleet has, several times over.
const MOST_NAMES: usize = 4096;
/// Whoever finds no place comes again no sooner and no later, in milliseconds.
const AGAIN: (f64, f64) = (100.0, 2000.0);

/// How far kept work is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RequestState {
    /// Its owner may have started it.
    Started,
    /// Its owner is gone; it may run again, as what has its effect refuses an older fence.
    Ownerless,
    /// Its owner passed it on before it was started.
    HandedOver,
    /// It ended with this result.
    Completed(Vec<u8>),
    /// It ended without one that could be given.
    Failed,
    /// Its owner is gone, it may have run, and nothing refuses a second time.
    OutcomeUnknown,
}

/// A piece of work that is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnedRequest {
    /// What it is.
    pub request: KeyedRequest,
    /// Whose.
    pub epoch: u64,
    /// By which fence.
    pub fence: u64,
    /// How far it is.
    pub state: RequestState,
    /// Its caller's due time, in the book's time.
    pub deadline_ms: f64,
    /// Its window's end.
    pub expires_at_ms: f64,
}

impl OwnedRequest {
    fn bytes(&self) -> usize {
        let result = if let RequestState::Completed(result) = &self.state {
            result.len()
        } else {
            0
        };
        ENTRY + 2 * self.request.key.len() + self.request.body.len() + result
    }

    fn is_loose(&self) -> bool {
        matches!(
            self.state,
            RequestState::Ownerless | RequestState::HandedOver
        )
    }
}

/// An owner whose lease has not ended.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerLease {
    /// Its name.
    pub name: String,
    /// Its process.
    pub node: u64,
    /// When its lease ends, in the book's time.
    pub expires_at_ms: f64,
    /// It was heard again after it joined: it lives, and was no letter that came late.
    pub renewed: bool,
}

/// The book.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipTable {
    group: u64,
    now_ms: f64,
    claims_blocked_until_ms: f64,
    last_epoch: u64,
    last_fence: u64,
    leases: BTreeMap<u64, OwnerLease>,
    /// The process that joined last under each name.
    latest_node_by_name: BTreeMap<String, u64>,
    /// Those that were replaced by another under their name: a letter of theirs that comes late must not end the other's
    /// epoch. The latest last.
    replaced_nodes: VecDeque<u64>,
    requests: BTreeMap<Vec<u8>, OwnedRequest>,
    /// Ends of windows, as bits of a time that is never negative, and whose.
    expiries: BTreeSet<(u64, Vec<u8>)>,
    /// What anybody may take, by due time.
    ownerless: BTreeSet<(u64, Vec<u8>)>,
    size_bytes: usize,
    /// The keepers, as the log has agreed on them.
    pub members: BTreeMap<u64, Member>,
    settings: OwnershipSettings,
}

fn bits(time: f64) -> u64 {
    time.max(0.0).to_bits()
}

fn answer(seq: u64, verdict: Verdict) -> Answer {
    Answer {
        seq,
        verdict: verdict.into(),
        ..Answer::default()
    }
}

impl OwnershipTable {
    /// An empty one, of a group that has just begun. Nothing is claimed in it before the longest window has passed:
    /// there may have been a group before it, whose memory is lost.
    pub fn new(group: u64, members: &[Member], terms: OwnershipSettings) -> OwnershipTable {
        let members = members
            .iter()
            .map(|member| (member.node, member.clone()))
            .collect();
        OwnershipTable {
            group,
            now_ms: 0.0,
            claims_blocked_until_ms: terms.max_retry_window_ms,
            last_epoch: group.saturating_mul(STEP),
            last_fence: group.saturating_mul(STEP),
            leases: BTreeMap::new(),
            latest_node_by_name: BTreeMap::new(),
            replaced_nodes: VecDeque::new(),
            requests: BTreeMap::new(),
            expiries: BTreeSet::new(),
            ownerless: BTreeSet::new(),
            size_bytes: 0,
            members,
            settings: terms,
        }
    }

    /// Its time.
    pub fn now_ms(&self) -> f64 {
        self.now_ms
    }

    /// For so long nothing is claimed.
    pub fn claims_blocked_ms(&self) -> f64 {
        (self.claims_blocked_until_ms - self.now_ms).max(0.0)
    }

    /// Bytes that it takes.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Owners whose lease goes on, by epoch.
    pub fn leases(&self) -> &BTreeMap<u64, OwnerLease> {
        &self.leases
    }

    /// What is kept, by key.
    pub fn requests(&self) -> &BTreeMap<Vec<u8>, OwnedRequest> {
        &self.requests
    }

    /// What is under this key, changed by `change`; its places in the tables follow.
    fn replace_request(&mut self, key: &[u8], kept: Option<OwnedRequest>) {
        if let Some(old) = self.requests.remove(key) {
            self.size_bytes -= old.bytes();
            self.expiries
                .remove(&(bits(old.expires_at_ms), key.to_vec()));
            self.ownerless
                .remove(&(bits(old.deadline_ms), key.to_vec()));
        }
        if let Some(new) = kept {
            self.size_bytes += new.bytes();
            self.expiries
                .insert((bits(new.expires_at_ms), key.to_vec()));
            if new.is_loose() {
                self.ownerless.insert((bits(new.deadline_ms), key.to_vec()));
            }
            self.requests.insert(key.to_vec(), new);
        }
    }

    /// The owner of this epoch is gone: what it may have started is orphaned, or not known.
    fn ends_epoch(&mut self, epoch: u64) {
        self.leases.remove(&epoch);
        let of = |kept: &&OwnedRequest| kept.epoch == epoch && kept.state == RequestState::Started;
        let all: Vec<OwnedRequest> = self.requests.values().filter(of).cloned().collect();
        for mut kept in all {
            kept.state = if kept.request.fenced {
                RequestState::Ownerless
            } else {
                RequestState::OutcomeUnknown
            };
            let key = kept.request.key.clone();
            self.replace_request(&key, Some(kept));
        }
    }

    /// Time passes.
    fn passes(&mut self, ms: f64) {
        if ms.is_finite() && ms > 0.0 {
            self.now_ms += ms;
        }
        let now = self.now_ms;
        let over: Vec<u64> = (self
            .leases
            .iter()
            .filter(|(_, owner)| owner.expires_at_ms <= now))
        .map(|(&epoch, _)| epoch)
        .collect();
        over.into_iter().for_each(|epoch| self.ends_epoch(epoch));
        while let Some((at, key)) = self
            .expiries
            .first()
            .cloned()
            .filter(|(at, _)| *at <= bits(now))
        {
            let runs = |kept: &OwnedRequest| {
                kept.state == RequestState::Started && self.leases.contains_key(&kept.epoch)
            };
            match self.requests.get(&key) {
                // It may still run: its window goes on with its owner's lease.
                Some(kept) if runs(kept) => {
                    let mut kept = kept.clone();
                    kept.expires_at_ms = now + self.settings.lease_ms;
                    self.replace_request(&key, Some(kept));
                }
                Some(_) => self.replace_request(&key, None),
                None => drop(self.expiries.remove(&(at, key))),
            }
        }
    }

    /// Applies an entry of the log: who hears what of it.
    pub fn apply(&mut self, entry: LogEntry) -> Vec<(Member, Answer)> {
        self.passes(entry.elapsed_ms);
        let mut all = Vec::with_capacity(entry.proposals.len());
        for Proposal { from, command } in entry.proposals {
            let (Some(from), Some(command)) = (from, command) else {
                continue;
            };
            if let Some(what) = command.kind {
                let answer = self.order(&from, command.seq, what);
                all.push((from, answer));
            }
        }
        all
    }

    fn order(&mut self, from: &Member, seq: u64, what: CommandKind) -> Answer {
        match what {
            CommandKind::Join(given_up) => self.join(from, seq, given_up),
            CommandKind::Renew(Renew { epoch, .. }) => match self.leases.get_mut(&epoch) {
                Some(owner) if owner.node == from.node => {
                    (owner.expires_at_ms, owner.renewed) =
                        (self.now_ms + self.settings.lease_ms, true);
                    answer(seq, Verdict::Renewed)
                }
                _ => answer(seq, Verdict::EpochEnded),
            },
            CommandKind::Leave(epoch) => {
                if self
                    .leases
                    .get(&epoch)
                    .is_some_and(|owner| owner.node == from.node)
                {
                    self.ends_epoch(epoch);
                }
                answer(seq, Verdict::Recorded)
            }
            CommandKind::Lookup(look) => self.lookup(seq, &look),
            CommandKind::Claim(Claim {
                epoch,
                request: Some(work),
            }) if is_valid_request(&work) => self.claim(from, seq, epoch, work),
            CommandKind::Claim(_) => answer(seq, Verdict::DigestMismatch),
            CommandKind::Complete(end) => self.end(seq, end),
            CommandKind::HandOver(work) if is_valid_request(&work) => self.pass(seq, work),
            CommandKind::HandOver(_) => answer(seq, Verdict::DigestMismatch),
            CommandKind::Release(Release { key, fence }) => {
                if self.requests.get(&key).is_some_and(|kept| {
                    kept.fence == fence
                        && matches!(kept.state, RequestState::Started | RequestState::Ownerless)
                }) {
                    self.replace_request(&key, None);
                }
                answer(seq, Verdict::Recorded)
            }
        }
    }

    /// A process that is there. What an earlier one under its name owned is orphaned, as is what it has given up
    /// itself. One that has an epoch above that gets the same, however often it asks: a letter that was doubled must not
    /// end what it owns.
    fn join(&mut self, from: &Member, seq: u64, given_up: u64) -> Answer {
        let ms = self.settings.lease_ms;
        let lives = self
            .leases
            .values()
            .any(|owner| owner.name == from.name && owner.renewed);
        if lives && self.replaced_nodes.contains(&from.node) {
            return answer(seq, Verdict::EpochEnded);
        }
        let has = |(epoch, owner): &(&u64, &mut OwnerLease)| {
            owner.node == from.node && **epoch > given_up
        };
        if let Some((&epoch, owner)) = self.leases.iter_mut().find(has) {
            owner.expires_at_ms = self.now_ms + ms;
            return Answer {
                number: epoch,
                ms,
                ..answer(seq, Verdict::Joined)
            };
        }
        let earlier: Vec<u64> = (self
            .leases
            .iter()
            .filter(|(_, owner)| owner.name == from.name))
        .map(|(&epoch, _)| epoch)
        .collect();
        earlier.into_iter().for_each(|epoch| self.ends_epoch(epoch));
        if self.latest_node_by_name.len() >= MOST_NAMES
            && !self.latest_node_by_name.contains_key(&from.name)
        {
            self.latest_node_by_name.pop_first();
        }
        let before = self
            .latest_node_by_name
            .insert(from.name.clone(), from.node);
        self.replaced_nodes.retain(|node| *node != from.node);
        self.replaced_nodes
            .extend(before.filter(|node| *node != from.node));
        if self.replaced_nodes.len() > MOST_NAMES {
            self.replaced_nodes.pop_front();
        }
        self.last_epoch += 1;
        let owner = OwnerLease {
            name: from.name.clone(),
            node: from.node,
            expires_at_ms: self.now_ms + ms,
            renewed: false,
        };
        self.leases.insert(self.last_epoch, owner);
        Answer {
            number: self.last_epoch,
            ms,
            ..answer(seq, Verdict::Joined)
        }
    }

    /// What is known of a key, as an owner is told. `None` where anybody may claim it.
    fn known(&self, seq: u64, key: &[u8], sign: u64) -> Option<Answer> {
        let kept = self.requests.get(key)?;
        if kept.request.body_digest != sign {
            return Some(answer(seq, Verdict::DigestMismatch));
        }
        let left = (kept.expires_at_ms - self.now_ms).max(0.0);
        match &kept.state {
            RequestState::Ownerless | RequestState::HandedOver => None,
            RequestState::Started => Some(answer(seq, Verdict::InProgress)),
            RequestState::Completed(result) => Some(Answer {
                result: result.clone(),
                ..answer(seq, Verdict::Completed)
            }),
            RequestState::Failed => Some(answer(seq, Verdict::Failed)),
            RequestState::OutcomeUnknown => Some(Answer {
                ms: left,
                ..answer(seq, Verdict::OutcomeUnknown)
            }),
        }
    }

    /// What is known of a key now. A hint, but for what has ended: that does not change.
    pub fn lookup(&self, seq: u64, look: &Lookup) -> Answer {
        if let Some(known) = self.known(seq, &look.key, look.body_digest) {
            return known;
        }
        if self.claims_blocked_ms() > 0.0 {
            return Answer {
                ms: self.claims_blocked_ms(),
                ..answer(seq, Verdict::RetryLater)
            };
        }
        answer(seq, Verdict::NotFound)
    }

    fn claim(&mut self, from: &Member, seq: u64, epoch: u64, work: KeyedRequest) -> Answer {
        if self
            .leases
            .get(&epoch)
            .is_none_or(|owner| owner.node != from.node)
        {
            return answer(seq, Verdict::EpochEnded);
        }
        if let Some(kept) = self.requests.get(&work.key) {
            // The same claim, asked for once more.
            if kept.state == RequestState::Started
                && kept.epoch == epoch
                && kept.request.execution_id == work.execution_id
            {
                return Answer {
                    number: kept.fence,
                    ..answer(seq, Verdict::Granted)
                };
            }
        }
        if let Some(known) = self.known(seq, &work.key, work.body_digest) {
            return known;
        }
        if self.claims_blocked_ms() > 0.0 {
            return Answer {
                ms: self.claims_blocked_ms(),
                ..answer(seq, Verdict::RetryLater)
            };
        }
        let before = self.requests.get(&work.key);
        let (due, until) = before.map_or((0.0, 0.0), |kept| (kept.deadline_ms, kept.expires_at_ms));
        let (due, until) = (
            due.max(self.now_ms + work.deadline_ms),
            until.max(self.now_ms + work.retry_window_ms),
        );
        let key = work.key.clone();
        let kept = OwnedRequest {
            request: work,
            epoch,
            fence: self.last_fence + 1,
            state: RequestState::Started,
            deadline_ms: due,
            expires_at_ms: until,
        };
        if before.is_none() && !self.has_room(&kept) {
            return self.full(seq);
        }
        self.last_fence += 1;
        self.replace_request(&key, Some(kept));
        Answer {
            number: self.last_fence,
            ..answer(seq, Verdict::Granted)
        }
    }

    fn has_room(&self, kept: &OwnedRequest) -> bool {
        // A result may be as long as anything that is kept, and there must be a place for it.
        self.requests.len() < self.settings.max_requests
            && self.size_bytes + kept.bytes() <= self.settings.max_bytes
    }

    fn full(&self, seq: u64) -> Answer {
        let next = self
            .expiries
            .first()
            .map_or(0.0, |(at, _)| f64::from_bits(*at) - self.now_ms);
        Answer {
            ms: next.clamp(AGAIN.0, AGAIN.1),
            ..answer(seq, Verdict::RetryLater)
        }
    }

    /// An outcome. Also one of an owner that is gone: if nobody has taken its work, its word still holds, and turns
    /// what was not known into what is.
    fn end(&mut self, seq: u64, end: Complete) -> Answer {
        let Complete { key, fence, result } = end;
        let Some(kept) = self.requests.get(&key) else {
            return answer(seq, Verdict::Recorded);
        };
        if kept.fence != fence {
            return answer(seq, Verdict::Fenced);
        }
        if matches!(
            kept.state,
            RequestState::Completed(_) | RequestState::Failed
        ) {
            return answer(seq, Verdict::Recorded);
        }
        let mut kept = kept.clone();
        let freed = std::mem::take(&mut kept.request.body).len();
        let room = self
            .settings
            .max_bytes
            .saturating_sub(self.size_bytes - freed);
        kept.state = match result {
            Some(result) if result.len() <= MAX_BODY_BYTES.min(room) => {
                RequestState::Completed(result)
            }
            _ => RequestState::Failed,
        };
        self.replace_request(&key, Some(kept));
        answer(seq, Verdict::Recorded)
    }

    fn pass(&mut self, seq: u64, work: KeyedRequest) -> Answer {
        if let Some(known) = self.known(seq, &work.key, work.body_digest) {
            return known;
        }
        if self.requests.contains_key(&work.key) {
            return answer(seq, Verdict::Recorded);
        }
        let (due, until) = (
            self.now_ms + work.deadline_ms,
            self.now_ms + work.retry_window_ms,
        );
        let key = work.key.clone();
        let kept = OwnedRequest {
            request: work,
            epoch: 0,
            fence: 0,
            state: RequestState::HandedOver,
            deadline_ms: due,
            expires_at_ms: until,
        };
        if !self.has_room(&kept) {
            return self.full(seq);
        }
        self.replace_request(&key, Some(kept));
        answer(seq, Verdict::Recorded)
    }

    /// What anybody may take and can still be done in time, the most urgent first.
    pub fn ownerless(&self) -> impl Iterator<Item = &OwnedRequest> {
        let now = bits(self.now_ms);
        self.ownerless
            .iter()
            .filter(move |(due, _)| *due > now)
            .filter_map(|(_, key)| self.requests.get(key))
    }
}
