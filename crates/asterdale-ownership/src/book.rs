//! What the log adds up to: who owns which work by which fence, and how it ended. Every keeper applies the same entries
//! in the same order and holds the same book. Its time is told by the entries: how long the leader saw pass since the
//! one before. So it never runs faster than some keeper's clock, and stands still while nobody leads: windows and leases
//! are never shorter than they were meant.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use prost::Message as _;

use crate::message::wire::{
    self, Answer, Claim, Drop, End, Entry, Look, Proposal, Renew, Verdict, Work,
};
use crate::message::{is_sound, Member, Ordered, MOST_BODY};
use crate::terms::Terms;

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
pub enum State {
    /// Its owner may have started it.
    Started,
    /// Its owner is gone; it may run again, as what has its effect refuses an older fence.
    Orphaned,
    /// Its owner passed it on before it was started.
    Unstarted,
    /// It ended with this result.
    Ended(Vec<u8>),
    /// It ended without one that could be given.
    Failed,
    /// Its owner is gone, it may have run, and nothing refuses a second time.
    Unknown,
}

/// A piece of work that is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    /// What it is.
    pub work: Work,
    /// Whose.
    pub epoch: u64,
    /// By which fence.
    pub fence: u64,
    /// How far it is.
    pub state: State,
    /// Its caller's due time, in the book's time.
    pub due: f64,
    /// Its window's end.
    pub until: f64,
}

impl Kept {
    fn bytes(&self) -> usize {
        let result = if let State::Ended(result) = &self.state {
            result.len()
        } else {
            0
        };
        ENTRY + 2 * self.work.key.len() + self.work.body.len() + result
    }

    fn is_loose(&self) -> bool {
        matches!(self.state, State::Orphaned | State::Unstarted)
    }
}

/// An owner whose lease has not ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Owner {
    /// Its name.
    pub name: String,
    /// Its process.
    pub node: u64,
    /// When its lease ends, in the book's time.
    pub until: f64,
    /// It was heard again after it joined: it lives, and was no letter that came late.
    pub renewed: bool,
}

/// The book.
#[derive(Clone, Debug, PartialEq)]
pub struct Book {
    group: u64,
    now: f64,
    quiet_until: f64,
    epochs: u64,
    fences: u64,
    owners: BTreeMap<u64, Owner>,
    /// The process that joined last under each name.
    last: BTreeMap<String, u64>,
    /// Those that were replaced by another under their name: a letter of theirs that comes late must not end the other's
    /// epoch. The latest last.
    over: VecDeque<u64>,
    kept: BTreeMap<Vec<u8>, Kept>,
    /// Ends of windows, as bits of a time that is never negative, and whose.
    ends: BTreeSet<(u64, Vec<u8>)>,
    /// What anybody may take, by due time.
    loose: BTreeSet<(u64, Vec<u8>)>,
    bytes: usize,
    /// The keepers, as the log has agreed on them.
    pub members: BTreeMap<u64, Member>,
    terms: Terms,
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

impl Book {
    /// An empty one, of a group that has just begun. Nothing is claimed in it before the longest window has passed:
    /// there may have been a group before it, whose memory is lost.
    pub fn new(group: u64, members: &[Member], terms: Terms) -> Book {
        let members = members
            .iter()
            .map(|member| (member.node, member.clone()))
            .collect();
        Book {
            group,
            now: 0.0,
            quiet_until: terms.window_ms,
            epochs: group.saturating_mul(STEP),
            fences: group.saturating_mul(STEP),
            owners: BTreeMap::new(),
            last: BTreeMap::new(),
            over: VecDeque::new(),
            kept: BTreeMap::new(),
            ends: BTreeSet::new(),
            loose: BTreeSet::new(),
            bytes: 0,
            members,
            terms,
        }
    }

    /// Its time.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// For so long nothing is claimed.
    pub fn quiet_ms(&self) -> f64 {
        (self.quiet_until - self.now).max(0.0)
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Owners whose lease goes on, by epoch.
    pub fn owners(&self) -> &BTreeMap<u64, Owner> {
        &self.owners
    }

    /// What is kept, by key.
    pub fn kept(&self) -> &BTreeMap<Vec<u8>, Kept> {
        &self.kept
    }

    /// What is under this key, changed by `change`; its places in the tables follow.
    fn put(&mut self, key: &[u8], kept: Option<Kept>) {
        if let Some(old) = self.kept.remove(key) {
            self.bytes -= old.bytes();
            self.ends.remove(&(bits(old.until), key.to_vec()));
            self.loose.remove(&(bits(old.due), key.to_vec()));
        }
        if let Some(new) = kept {
            self.bytes += new.bytes();
            self.ends.insert((bits(new.until), key.to_vec()));
            if new.is_loose() {
                self.loose.insert((bits(new.due), key.to_vec()));
            }
            self.kept.insert(key.to_vec(), new);
        }
    }

    /// The owner of this epoch is gone: what it may have started is orphaned, or not known.
    fn ends_epoch(&mut self, epoch: u64) {
        self.owners.remove(&epoch);
        let of = |kept: &&Kept| kept.epoch == epoch && kept.state == State::Started;
        let all: Vec<Kept> = self.kept.values().filter(of).cloned().collect();
        for mut kept in all {
            kept.state = if kept.work.fenced {
                State::Orphaned
            } else {
                State::Unknown
            };
            let key = kept.work.key.clone();
            self.put(&key, Some(kept));
        }
    }

    /// Time passes.
    fn passes(&mut self, ms: f64) {
        if ms.is_finite() && ms > 0.0 {
            self.now += ms;
        }
        let now = self.now;
        let over: Vec<u64> = (self.owners.iter().filter(|(_, owner)| owner.until <= now))
            .map(|(&epoch, _)| epoch)
            .collect();
        over.into_iter().for_each(|epoch| self.ends_epoch(epoch));
        while let Some((at, key)) = self
            .ends
            .first()
            .cloned()
            .filter(|(at, _)| *at <= bits(now))
        {
            let runs =
                |kept: &Kept| kept.state == State::Started && self.owners.contains_key(&kept.epoch);
            match self.kept.get(&key) {
                // It may still run: its window goes on with its owner's lease.
                Some(kept) if runs(kept) => {
                    let mut kept = kept.clone();
                    kept.until = now + self.terms.lease_ms;
                    self.put(&key, Some(kept));
                }
                Some(_) => self.put(&key, None),
                None => drop(self.ends.remove(&(at, key))),
            }
        }
    }

    /// Applies an entry of the log: who hears what of it.
    pub fn apply(&mut self, entry: Entry) -> Vec<(Member, Answer)> {
        self.passes(entry.elapsed_ms);
        let mut all = Vec::with_capacity(entry.proposals.len());
        for Proposal { from, order } in entry.proposals {
            let (Some(from), Some(order)) = (from, order) else {
                continue;
            };
            if let Some(what) = order.what {
                let answer = self.order(&from, order.seq, what);
                all.push((from, answer));
            }
        }
        all
    }

    fn order(&mut self, from: &Member, seq: u64, what: Ordered) -> Answer {
        match what {
            Ordered::Join(given_up) => self.join(from, seq, given_up),
            Ordered::Renew(Renew { epoch, .. }) => match self.owners.get_mut(&epoch) {
                Some(owner) if owner.node == from.node => {
                    (owner.until, owner.renewed) = (self.now + self.terms.lease_ms, true);
                    answer(seq, Verdict::Renewed)
                }
                _ => answer(seq, Verdict::Over),
            },
            Ordered::Leave(epoch) => {
                if self
                    .owners
                    .get(&epoch)
                    .is_some_and(|owner| owner.node == from.node)
                {
                    self.ends_epoch(epoch);
                }
                answer(seq, Verdict::Kept)
            }
            Ordered::Look(look) => self.look(seq, &look),
            Ordered::Claim(Claim {
                epoch,
                work: Some(work),
            }) if is_sound(&work) => self.claim(from, seq, epoch, work),
            Ordered::Claim(_) => answer(seq, Verdict::Differs),
            Ordered::End(end) => self.end(seq, end),
            Ordered::Pass(work) if is_sound(&work) => self.pass(seq, work),
            Ordered::Pass(_) => answer(seq, Verdict::Differs),
            Ordered::Drop(Drop { key, fence }) => {
                if self.kept.get(&key).is_some_and(|kept| {
                    kept.fence == fence && matches!(kept.state, State::Started | State::Orphaned)
                }) {
                    self.put(&key, None);
                }
                answer(seq, Verdict::Kept)
            }
        }
    }

    /// A process that is there. What an earlier one under its name owned is orphaned, as is what it has given up
    /// itself. One that has an epoch above that gets the same, however often it asks: a letter that was doubled must not
    /// end what it owns.
    fn join(&mut self, from: &Member, seq: u64, given_up: u64) -> Answer {
        let ms = self.terms.lease_ms;
        let lives = self
            .owners
            .values()
            .any(|owner| owner.name == from.name && owner.renewed);
        if lives && self.over.contains(&from.node) {
            return answer(seq, Verdict::Over);
        }
        let has =
            |(epoch, owner): &(&u64, &mut Owner)| owner.node == from.node && **epoch > given_up;
        if let Some((&epoch, owner)) = self.owners.iter_mut().find(has) {
            owner.until = self.now + ms;
            return Answer {
                number: epoch,
                ms,
                ..answer(seq, Verdict::Joined)
            };
        }
        let earlier: Vec<u64> = (self
            .owners
            .iter()
            .filter(|(_, owner)| owner.name == from.name))
        .map(|(&epoch, _)| epoch)
        .collect();
        earlier.into_iter().for_each(|epoch| self.ends_epoch(epoch));
        if self.last.len() >= MOST_NAMES && !self.last.contains_key(&from.name) {
            self.last.pop_first();
        }
        let before = self.last.insert(from.name.clone(), from.node);
        self.over.retain(|node| *node != from.node);
        self.over.extend(before.filter(|node| *node != from.node));
        if self.over.len() > MOST_NAMES {
            self.over.pop_front();
        }
        self.epochs += 1;
        let owner = Owner {
            name: from.name.clone(),
            node: from.node,
            until: self.now + ms,
            renewed: false,
        };
        self.owners.insert(self.epochs, owner);
        Answer {
            number: self.epochs,
            ms,
            ..answer(seq, Verdict::Joined)
        }
    }

    /// What is known of a key, as an owner is told. `None` where anybody may claim it.
    fn known(&self, seq: u64, key: &[u8], sign: u64) -> Option<Answer> {
        let kept = self.kept.get(key)?;
        if kept.work.sign != sign {
            return Some(answer(seq, Verdict::Differs));
        }
        let left = (kept.until - self.now).max(0.0);
        match &kept.state {
            State::Orphaned | State::Unstarted => None,
            State::Started => Some(answer(seq, Verdict::Open)),
            State::Ended(result) => Some(Answer {
                result: result.clone(),
                ..answer(seq, Verdict::Passed)
            }),
            State::Failed => Some(answer(seq, Verdict::Failed)),
            State::Unknown => Some(Answer {
                ms: left,
                ..answer(seq, Verdict::Unknown)
            }),
        }
    }

    /// What is known of a key now. A hint, but for what has ended: that does not change.
    pub fn look(&self, seq: u64, look: &Look) -> Answer {
        if let Some(known) = self.known(seq, &look.key, look.sign) {
            return known;
        }
        if self.quiet_ms() > 0.0 {
            return Answer {
                ms: self.quiet_ms(),
                ..answer(seq, Verdict::Full)
            };
        }
        answer(seq, Verdict::Nothing)
    }

    fn claim(&mut self, from: &Member, seq: u64, epoch: u64, work: Work) -> Answer {
        if self
            .owners
            .get(&epoch)
            .is_none_or(|owner| owner.node != from.node)
        {
            return answer(seq, Verdict::Over);
        }
        if let Some(kept) = self.kept.get(&work.key) {
            // The same claim, asked for once more.
            if kept.state == State::Started && kept.epoch == epoch && kept.work.id == work.id {
                return Answer {
                    number: kept.fence,
                    ..answer(seq, Verdict::Yours)
                };
            }
        }
        if let Some(known) = self.known(seq, &work.key, work.sign) {
            return known;
        }
        if self.quiet_ms() > 0.0 {
            return Answer {
                ms: self.quiet_ms(),
                ..answer(seq, Verdict::Full)
            };
        }
        let before = self.kept.get(&work.key);
        let (due, until) = before.map_or((0.0, 0.0), |kept| (kept.due, kept.until));
        let (due, until) = (
            due.max(self.now + work.due_ms),
            until.max(self.now + work.window_ms),
        );
        let key = work.key.clone();
        let kept = Kept {
            work,
            epoch,
            fence: self.fences + 1,
            state: State::Started,
            due,
            until,
        };
        if before.is_none() && !self.has_room(&kept) {
            return self.full(seq);
        }
        self.fences += 1;
        self.put(&key, Some(kept));
        Answer {
            number: self.fences,
            ..answer(seq, Verdict::Yours)
        }
    }

    fn has_room(&self, kept: &Kept) -> bool {
        // A result may be as long as anything that is kept, and there must be a place for it.
        self.kept.len() < self.terms.most_kept && self.bytes + kept.bytes() <= self.terms.most_bytes
    }

    fn full(&self, seq: u64) -> Answer {
        let next = self
            .ends
            .first()
            .map_or(0.0, |(at, _)| f64::from_bits(*at) - self.now);
        Answer {
            ms: next.clamp(AGAIN.0, AGAIN.1),
            ..answer(seq, Verdict::Full)
        }
    }

    /// An outcome. Also one of an owner that is gone: if nobody has taken its work, its word still holds, and turns
    /// what was not known into what is.
    fn end(&mut self, seq: u64, end: End) -> Answer {
        let End { key, fence, result } = end;
        let Some(kept) = self.kept.get(&key) else {
            return answer(seq, Verdict::Kept);
        };
        if kept.fence != fence {
            return answer(seq, Verdict::Fenced);
        }
        if matches!(kept.state, State::Ended(_) | State::Failed) {
            return answer(seq, Verdict::Kept);
        }
        let mut kept = kept.clone();
        let freed = std::mem::take(&mut kept.work.body).len();
        let room = self.terms.most_bytes.saturating_sub(self.bytes - freed);
        kept.state = match result {
            Some(result) if result.len() <= MOST_BODY.min(room) => State::Ended(result),
            _ => State::Failed,
        };
        self.put(&key, Some(kept));
        answer(seq, Verdict::Kept)
    }

    fn pass(&mut self, seq: u64, work: Work) -> Answer {
        if let Some(known) = self.known(seq, &work.key, work.sign) {
            return known;
        }
        if self.kept.contains_key(&work.key) {
            return answer(seq, Verdict::Kept);
        }
        let (due, until) = (self.now + work.due_ms, self.now + work.window_ms);
        let key = work.key.clone();
        let kept = Kept {
            work,
            epoch: 0,
            fence: 0,
            state: State::Unstarted,
            due,
            until,
        };
        if !self.has_room(&kept) {
            return self.full(seq);
        }
        self.put(&key, Some(kept));
        answer(seq, Verdict::Kept)
    }

    /// What anybody may take and can still be done in time, the most urgent first.
    pub fn loose(&self) -> impl Iterator<Item = &Kept> {
        let now = bits(self.now);
        self.loose
            .iter()
            .filter(move |(due, _)| *due > now)
            .filter_map(|(_, key)| self.kept.get(key))
    }

    /// The whole as bytes.
    pub fn write(&self) -> Vec<u8> {
        let owners = self.owners.iter().map(|(&epoch, owner)| wire::Owner {
            epoch,
            name: owner.name.clone(),
            node: owner.node,
            until: owner.until,
            renewed: owner.renewed,
        });
        let kept = self.kept.values().map(|kept| {
            let (state, result) = match &kept.state {
                State::Started => (0, Vec::new()),
                State::Orphaned => (1, Vec::new()),
                State::Unstarted => (2, Vec::new()),
                State::Ended(result) => (3, result.clone()),
                State::Failed => (4, Vec::new()),
                State::Unknown => (5, Vec::new()),
            };
            let Kept {
                work,
                epoch,
                fence,
                due,
                until,
                ..
            } = kept.clone();
            wire::Kept {
                work: Some(work),
                epoch,
                fence,
                state,
                result,
                due,
                until,
            }
        });
        let book = wire::Book {
            group: self.group,
            now: self.now,
            quiet_until: self.quiet_until,
            epochs: self.epochs,
            fences: self.fences,
            owners: owners.collect(),
            kept: kept.collect(),
            members: self.members.values().cloned().collect(),
            last: (self.last.iter())
                .map(|(name, &node)| Member {
                    name: name.clone(),
                    node,
                    ..Member::default()
                })
                .collect(),
            over: self.over.iter().copied().collect(),
        };
        book.encode_to_vec()
    }

    /// The book of these bytes, which a keeper of the same group wrote.
    pub fn read(bytes: &[u8], terms: Terms) -> Option<Book> {
        let read = wire::Book::decode(bytes).ok()?;
        let mut book = Book::new(read.group, &read.members, terms);
        (book.now, book.quiet_until) = (read.now, read.quiet_until);
        (book.epochs, book.fences) = (read.epochs, read.fences);
        book.last = read
            .last
            .into_iter()
            .map(|last| (last.name, last.node))
            .collect();
        book.over = read.over.into();
        for wire::Owner {
            epoch,
            name,
            node,
            until,
            renewed,
        } in read.owners
        {
            book.owners.insert(
                epoch,
                Owner {
                    name,
                    node,
                    until,
                    renewed,
                },
            );
        }
        for wire::Kept {
            work,
            epoch,
            fence,
            state,
            result,
            due,
            until,
        } in read.kept
        {
            let state = match state {
                0 => State::Started,
                1 => State::Orphaned,
                2 => State::Unstarted,
                3 => State::Ended(result),
                4 => State::Failed,
                _ => State::Unknown,
            };
            let work = work?;
            let key = work.key.clone();
            book.put(
                &key,
                Some(Kept {
                    work,
                    epoch,
                    fence,
                    state,
                    due,
                    until,
                }),
            );
        }
        Some(book)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message::member;

    fn who(n: u64) -> Member {
        member(&format!("n{n}"), n, ([127, 0, 0, 1], 9).into())
    }

    fn work(key: &[u8], id: u8, fenced: bool) -> Work {
        Work {
            key: key.to_vec(),
            stage: "bid".to_owned(),
            id: vec![id; 16],
            body: b"body".to_vec(),
            due_ms: 10_000.0,
            window_ms: 20_000.0,
            fenced,
            ..Work::default()
        }
    }

    struct Desk(Book);

    impl Desk {
        fn new() -> Desk {
            let terms = Terms {
                window_ms: 0.0,
                most_bytes: 4096,
                ..Terms::default()
            };
            Desk(Book::new(3, &[], terms))
        }

        fn says(&mut self, from: u64, what: Ordered) -> (Verdict, u64) {
            let order = Some(wire::Order {
                seq: 7,
                what: Some(what),
            });
            let all = self.0.apply(Entry {
                elapsed_ms: 1.0,
                proposals: vec![Proposal {
                    from: Some(who(from)),
                    order,
                }],
            });
            let read = Book::read(&self.0.write(), self.0.terms.clone());
            assert_eq!(read.as_ref(), Some(&self.0), "as bytes it is the same");
            (all[0].1.verdict(), all[0].1.number)
        }

        fn join(&mut self, from: u64) -> u64 {
            self.says(from, Ordered::Join(0)).1
        }

        fn claim(&mut self, from: u64, epoch: u64, work: Work) -> (Verdict, u64) {
            self.says(
                from,
                Ordered::Claim(Claim {
                    epoch,
                    work: Some(work),
                }),
            )
        }

        fn passes(&mut self, ms: f64) {
            self.0.apply(Entry {
                elapsed_ms: ms,
                proposals: Vec::new(),
            });
        }
    }

    #[test]
    fn a_claim_is_one_owners_and_its_end_is_kept_for_whoever_asks() {
        let mut desk = Desk::new();
        let (a, b) = (desk.join(1), desk.join(2));
        assert!(
            a > 3 * STEP && b > a && desk.join(1) == a,
            "a doubled letter ends nothing"
        );
        let (verdict, fence) = desk.claim(1, a, work(b"k", 1, true));
        assert_eq!(
            (verdict, desk.claim(1, a, work(b"k", 1, true))),
            (Verdict::Yours, (Verdict::Yours, fence))
        );
        assert_eq!(desk.claim(2, b, work(b"k", 2, true)).0, Verdict::Open);
        assert_eq!(
            desk.claim(
                2,
                b,
                Work {
                    sign: 9,
                    ..work(b"k", 2, true)
                }
            )
            .0,
            Verdict::Differs
        );
        let end = |fence| {
            Ordered::End(End {
                key: b"k".to_vec(),
                fence,
                result: Some(b"sold".to_vec()),
            })
        };
        assert_eq!(desk.says(1, end(fence - 1)).0, Verdict::Fenced);
        assert_eq!(desk.says(1, end(fence)).0, Verdict::Kept);
        assert_eq!(desk.claim(2, b, work(b"k", 2, true)).0, Verdict::Passed);
        desk.passes(20_001.0);
        assert!(desk.0.kept().is_empty() && desk.0.bytes() == 0 && desk.0.owners().is_empty());
    }

    #[test]
    fn work_of_an_owner_that_is_gone_runs_again_only_where_its_effect_is_fenced() {
        let mut desk = Desk::new();
        let a = desk.join(1);
        let (_, fence) = desk.claim(1, a, work(b"fenced", 1, true));
        let (_, other) = desk.claim(1, a, work(b"not", 2, false));
        desk.passes(2001.0);
        assert_eq!(
            desk.says(1, Ordered::Renew(Renew { epoch: a, room: 0 })).0,
            Verdict::Over
        );
        let b = desk.join(2);
        assert_eq!(desk.0.loose().count(), 1);
        assert_eq!(desk.claim(2, b, work(b"not", 3, false)).0, Verdict::Unknown);
        let (verdict, newer) = desk.claim(2, b, work(b"fenced", 3, true));
        assert!(verdict == Verdict::Yours && newer > fence);
        // The first owner comes back with what it knows: too late for one, in time for the other.
        let end = |key: &[u8], fence| {
            Ordered::End(End {
                key: key.to_vec(),
                fence,
                result: Some(vec![1]),
            })
        };
        assert_eq!(desk.says(1, end(b"fenced", fence)).0, Verdict::Fenced);
        assert_eq!(desk.says(1, end(b"not", other)).0, Verdict::Kept);
        assert_eq!(desk.claim(2, b, work(b"not", 4, false)).0, Verdict::Passed);
    }

    #[test]
    fn a_process_that_starts_anew_orphans_what_the_earlier_one_under_its_name_had() {
        let mut desk = Desk::new();
        let a = desk.join(1);
        desk.claim(1, a, work(b"k", 1, true));
        let mut again = who(8);
        again.name = "n1".to_owned();
        let order = Some(wire::Order {
            seq: 1,
            what: Some(Ordered::Join(0)),
        });
        desk.0.apply(Entry {
            elapsed_ms: 0.0,
            proposals: vec![Proposal {
                from: Some(again),
                order,
            }],
        });
        assert!(desk.0.loose().count() == 1 && desk.0.owners().len() == 1);
        assert_eq!(desk.claim(1, a, work(b"other", 2, true)).0, Verdict::Over);
        let epoch = *desk.0.owners().keys().next().unwrap();
        let renew = Some(wire::Order {
            seq: 2,
            what: Some(Ordered::Renew(Renew { epoch, room: 0 })),
        });
        let mut again = who(8);
        again.name = "n1".to_owned();
        desk.0.apply(Entry {
            elapsed_ms: 0.0,
            proposals: vec![Proposal {
                from: Some(again),
                order: renew,
            }],
        });
        assert_eq!(
            desk.says(1, Ordered::Join(0)).0,
            Verdict::Over,
            "a letter of the earlier one's, come late"
        );
        assert_eq!(desk.0.owners().len(), 1);
    }

    #[test]
    fn nothing_is_claimed_before_the_windows_of_a_lost_group_have_passed_nor_past_the_bounds() {
        let terms = Terms {
            window_ms: 500.0,
            most_bytes: 2000,
            most_kept: 3,
            ..Terms::default()
        };
        let mut desk = Desk(Book::new(1, &[], terms));
        let a = desk.join(1);
        assert_eq!(desk.claim(1, a, work(b"k", 1, true)).0, Verdict::Full);
        desk.passes(500.0);
        for n in 0..3 {
            assert_eq!(desk.claim(1, a, work(&[n], n, true)).0, Verdict::Yours);
        }
        assert_eq!(
            desk.claim(1, a, work(b"one more", 9, true)).0,
            Verdict::Full
        );
        assert_eq!(
            desk.claim(1, a, work(&[0], 0, true)).0,
            Verdict::Yours,
            "what is kept stays kept"
        );
        // A result that has no place is not kept; that the task ended is.
        let key = vec![0];
        let fence = desk.0.kept()[&key].fence;
        let end = Ordered::End(End {
            key: key.clone(),
            fence,
            result: Some(vec![0; 3000]),
        });
        assert_eq!(desk.says(1, end).0, Verdict::Kept);
        assert_eq!(desk.0.kept()[&key].state, State::Failed);
    }

    #[test]
    fn what_was_passed_on_is_taken_once_and_what_was_never_started_is_dropped() {
        let mut desk = Desk::new();
        let (a, b) = (desk.join(1), desk.join(2));
        assert_eq!(
            desk.says(1, Ordered::Pass(work(b"held", 1, false))).0,
            Verdict::Kept
        );
        assert_eq!(desk.0.loose().count(), 1);
        let (verdict, fence) = desk.claim(2, b, work(b"held", 2, false));
        assert_eq!(
            (verdict, desk.claim(1, a, work(b"held", 3, false)).0),
            (Verdict::Yours, Verdict::Open)
        );
        let drop = |fence| {
            Ordered::Drop(Drop {
                key: b"held".to_vec(),
                fence,
            })
        };
        desk.says(2, drop(fence - 1));
        assert_eq!(desk.0.kept().len(), 1);
        desk.says(2, drop(fence));
        assert_eq!(desk.claim(1, a, work(b"held", 4, false)).0, Verdict::Yours);
    }
}
