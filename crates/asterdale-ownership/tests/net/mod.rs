//! Keepers and owners on a network inside the test: letters are lost, doubled, late and cut off by chance from a seed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use asterdale_membership::authentication::MessageAuthenticator;
use asterdale_ownership::message::{decode, member, MessageBody};
use asterdale_ownership::replica::{Replica, ReplicaConfig};
use asterdale_ownership::{
    Action, Answer, KeyedRequest, Owner, OwnershipEvent, OwnershipRequest, OwnershipSettings,
    StorageWrite, StoredState, Verdict,
};
use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// From one look at all timers to the next.
const STEP: f64 = 10.0;

pub fn at(n: usize) -> SocketAddr {
    ([127, 0, 0, 1], 9000 + n as u16).into()
}

pub struct Net {
    pub now: f64,
    pub keepers: BTreeMap<usize, Replica>,
    pub owners: BTreeMap<usize, Owner>,
    pub stopped: BTreeSet<usize>,
    /// Those that can't hear each other.
    pub cut: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub doubled: f64,
    /// What owners heard, by owner and number.
    pub heard: BTreeMap<(usize, u64), Answer>,
    pub offered: Vec<(usize, KeyedRequest)>,
    pub told: Vec<(usize, OwnershipEvent)>,
    /// What each position of each group's log added up to, as any keeper had it.
    books: BTreeMap<(u64, u64), Vec<u8>>,
    letters: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    count: u64,
    random: Pcg64Mcg,
    terms: OwnershipSettings,
    names: usize,
    /// Keepers have disks from now on.
    pub lasts: bool,
    /// What is on them.
    pub disks: BTreeMap<usize, StoredState>,
    /// Writes of this keeper fail.
    pub full: BTreeSet<usize>,
}

/// What is on a disk after this.
fn save(disk: &mut StoredState, save: StorageWrite) {
    match save {
        StorageWrite::Identity(face) => disk.identity = face,
        StorageWrite::HardState(hard) => disk.hard_state = hard,
        StorageWrite::Snapshot {
            last_index: index,
            bytes: whole,
            delete_all_entries: alone,
        } => {
            disk.snapshot = whole;
            disk.entries.retain(|(number, _)| !alone && *number > index);
        }
        StorageWrite::Entries(first, entries) => {
            disk.entries.retain(|(number, _)| *number < first);
            disk.entries.extend((first..).zip(entries));
        }
    }
}

impl Net {
    pub fn new(seed: u64, keepers: usize, owners: usize, terms: OwnershipSettings) -> Net {
        let mut net = Net {
            now: 0.0,
            keepers: BTreeMap::new(),
            owners: BTreeMap::new(),
            stopped: BTreeSet::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            doubled: 0.0,
            heard: BTreeMap::new(),
            offered: Vec::new(),
            told: Vec::new(),
            books: BTreeMap::new(),
            letters: BTreeMap::new(),
            count: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            terms,
            names: keepers,
            lasts: false,
            disks: BTreeMap::new(),
            full: BTreeSet::new(),
        };
        (0..keepers).for_each(|n| net.start_keeper(n));
        (0..owners).for_each(|n| net.start_owner(100 + n));
        net
    }

    fn authenticator() -> MessageAuthenticator {
        MessageAuthenticator::new(b"key")
    }

    /// A keeper's process, with what is on its disk, or an empty memory.
    pub fn start_keeper(&mut self, n: usize) {
        let node = self.random.next_u64() | 1;
        let keepers = (0..self.names).map(|n| (format!("k{n}"), at(n))).collect();
        let (me, terms, seed) = (
            member(&format!("k{n}"), node, at(n)),
            self.terms.clone(),
            node,
        );
        let saved = self
            .lasts
            .then(|| self.disks.get(&n).cloned().unwrap_or_default());
        let start = ReplicaConfig {
            member: me,
            replicas: keepers,
            settings: terms,
            authenticator: Net::authenticator(),
            seed,
            unix_s: 1000,
            stored: saved,
        };
        self.keepers.insert(n, Replica::new(self.now, start));
    }

    /// So many keepers are listed.
    pub fn name_keepers(&mut self, keepers: usize) {
        self.names = keepers;
        let owners: Vec<usize> = self.owners.keys().copied().collect();
        owners.into_iter().for_each(|n| self.start_owner(n));
    }

    pub fn start_owner(&mut self, n: usize) {
        let node = self.random.next_u64() | 1;
        let keepers = (0..self.names).map(at).collect();
        let me = member(&format!("o{n}"), node, at(n));
        self.owners.insert(
            n,
            Owner::new(
                self.now,
                me,
                keepers,
                self.terms.clone(),
                Net::authenticator(),
            ),
        );
    }

    fn share(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn act(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => {
                    let to = usize::from(to.port()) - 9000;
                    if self.cut.contains(&(from, to)) || self.share() < self.loss {
                        continue;
                    }
                    for _ in 0..1 + usize::from(self.share() < self.doubled) {
                        self.count += 1;
                        let late = if self.loss > 0.0 {
                            self.share() * 40.0
                        } else {
                            0.0
                        };
                        let due = self.now + 1.0 + late;
                        self.letters
                            .insert((due.to_bits(), self.count), (from, to, bytes.clone()));
                    }
                }
                Action::Persist(saves) if self.full.contains(&from) => {
                    // It can't speak as the one that it was: nothing of what follows leaves, and it is gone.
                    assert!(!saves.is_empty());
                    self.keepers.remove(&from);
                    return;
                }
                Action::Persist(saves) => {
                    let disk = self.disks.entry(from).or_default();
                    saves.into_iter().for_each(|one| save(disk, one));
                }
                Action::Report(told) => self.told.push((from, told)),
                Action::Answer(number, answer) => drop(self.heard.insert((from, number), answer)),
                Action::OfferOwnerless(all) => self
                    .offered
                    .extend(all.into_iter().map(|work| (from, work))),
            }
        }
    }

    /// All that there is to hear by now, and all timers.
    pub fn step(&mut self) {
        self.now += STEP;
        while let Some((&key, _)) = self.letters.first_key_value() {
            if f64::from_bits(key.0) > self.now {
                break;
            }
            let Some((_, to, bytes)) = self.letters.remove(&key) else {
                break;
            };
            if self.stopped.contains(&to) {
                self.count += 1;
                self.letters
                    .insert(((self.now + STEP).to_bits(), self.count), (to, to, bytes));
                continue;
            }
            let Some((from, place, what)) = decode(&Net::authenticator(), &bytes) else {
                panic!("unreadable")
            };
            let actions = match (what, self.owners.get_mut(&to), self.keepers.get_mut(&to)) {
                (MessageBody::Answers(answers), Some(owner), _) => {
                    let mut actions = owner.receive(self.now, answers);
                    actions.extend(owner.flush(self.now));
                    actions
                }
                (what, _, Some(keeper)) => {
                    let mut actions = keeper.receive(self.now, &from, place, what);
                    actions.extend(keeper.flush(self.now));
                    actions
                }
                _ => continue,
            };
            self.act(to, actions);
        }
        let all: Vec<usize> = self
            .keepers
            .keys()
            .chain(self.owners.keys())
            .copied()
            .collect();
        for n in all
            .into_iter()
            .filter(|n| !self.stopped.contains(n))
            .collect::<Vec<_>>()
        {
            let (now, mut actions) = (self.now, Vec::new());
            if let Some(keeper) = self
                .keepers
                .get_mut(&n)
                .filter(|keeper| keeper.next_wake_ms() <= now)
            {
                actions = keeper.wake(now);
            } else if let Some(owner) = self
                .owners
                .get_mut(&n)
                .filter(|owner| owner.next_wake_ms() <= now)
            {
                actions = owner.wake(now);
            }
            self.act(n, actions);
        }
        self.compare();
    }

    /// Whoever has applied as much of a log holds the same.
    fn compare(&mut self) {
        for keeper in self.keepers.values() {
            let Some(group) = keeper.raft_node() else {
                continue;
            };
            let mut book = group.table.clone();
            book.members.clear(); // a change of the set is no entry of the book's
            let book = book.encode();
            let held = self
                .books
                .entry((group.group, group.applied_index()))
                .or_insert_with(|| book.clone());
            assert!(
                *held == book,
                "two books at {} of group {}",
                group.applied_index(),
                group.group
            );
        }
    }

    pub fn run(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Until this holds; the time it took.
    pub fn until(&mut self, what: &str, most: f64, holds: impl Fn(&Net) -> bool) -> f64 {
        let began = self.now;
        while !holds(self) {
            assert!(
                self.now < began + most,
                "waited in vain for {what}; told: {:?}",
                self.told
            );
            self.step();
        }
        self.now - began
    }

    pub fn want(&mut self, owner: usize, number: u64, want: OwnershipRequest) {
        let now = self.now;
        if let Some(one) = self.owners.get_mut(&owner) {
            one.submit(number, want);
            let actions = one.flush(now);
            self.act(owner, actions);
        }
    }

    pub fn verdict(&self, owner: usize, number: u64) -> Option<Verdict> {
        self.heard.get(&(owner, number)).map(Answer::verdict)
    }

    /// Wants it, and waits for what comes of it.
    pub fn ask(&mut self, owner: usize, number: u64, want: OwnershipRequest) -> Answer {
        self.want(owner, number, want);
        self.until("a verdict", 30_000.0, |net| {
            net.heard.contains_key(&(owner, number))
        });
        self.heard[&(owner, number)].clone()
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |keeper: &Replica| keeper.raft_node().is_some_and(|group| group.is_leader());
        self.keepers
            .iter()
            .find(|(n, keeper)| !self.stopped.contains(n) && leads(keeper))
            .map(|(n, _)| *n)
    }

    pub fn has_epoch(&self, owner: usize) -> bool {
        self.owners[&owner].lease_until_ms() > self.now
    }

    pub fn chance(&mut self, of: u64) -> u64 {
        self.random.next_u64() % of
    }
}

pub fn work(key: u64, id: u64) -> KeyedRequest {
    KeyedRequest {
        key: key.to_be_bytes().to_vec(),
        class: "bid".to_owned(),
        execution_id: format!("{id:016x}").into_bytes(),
        body: b"body".to_vec(),
        deadline_ms: 60_000.0,
        retry_window_ms: 600_000.0,
        fenced: true,
        ..KeyedRequest::default()
    }
}

pub fn terms() -> OwnershipSettings {
    OwnershipSettings {
        max_retry_window_ms: 500.0,
        ..OwnershipSettings::default()
    }
}
