//! The actor of custody: letters, orders and times go into the keeper's and the owner's state machines, letters and
//! verdicts come out. It decides nothing.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use asterdale_membership::authentication::MessageAuthenticator;
use asterdale_ownership::message::{decode, member, MessageBody};
use asterdale_ownership::replica::{ReplicaConfig, ReplicaStatus};
use asterdale_ownership::{
    Action, Answer, KeyedRequest, Owner, OwnershipEvent, OwnershipRequest, OwnershipSettings,
    Replica, StorageWrite, StoredState,
};
use crossbeam_channel::{bounded, Receiver, Sender};

use crate::links::Links;

/// Letters that wait for the state machines. One that finds no place is lost, and what it asked is asked again.
pub(crate) const WAITING: usize = 8192;
/// No wait is longer: a step of a clock must not put it to sleep.
const LONGEST: Duration = Duration::from_millis(500);
/// Letters and orders that are taken before what they gave rise to goes out: so they share letters and entries.
const AT_ONCE: usize = 256;
/// A keeper's disk is marked this often while nothing else is written.
const MARK: Duration = Duration::from_secs(1);
/// How long whoever asks waits for a word.
const PATIENCE: Duration = Duration::from_secs(2);
/// For the last letter to get out of this process.
const WAY_OUT: Duration = Duration::from_millis(50);

/// A keeper's disk.
pub trait ReplicaStorage: Send {
    /// Has all of this there, in order; comes back once that is so, or can't be.
    fn save(&mut self, saves: Vec<StorageWrite>) -> Result<(), String>;
}

/// A keeper's disk, and what was found on it.
#[derive(Clone)]
pub struct ReplicaDisk {
    /// What was found: nothing that may not be believed.
    pub saved: StoredState,
    /// Where the rest goes.
    pub storage: Arc<Mutex<dyn ReplicaStorage>>,
}

impl std::fmt::Debug for ReplicaDisk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Disk")
    }
}

/// Where work in hand is kept, and how.
#[derive(Clone, Debug)]
pub struct OwnershipActorSettings {
    /// This process's disk, should it be a keeper and have one.
    pub disk: Option<ReplicaDisk>,
    /// The keepers, by name and where they are reached; the same list in all processes.
    pub replicas: Vec<(String, SocketAddr)>,
    /// What the fleet agrees on.
    pub parameters: OwnershipSettings,
    /// The Unix time, in seconds.
    pub unix_time_s: u64,
}

/// Which process this is, and the fleet's key.
#[derive(Clone, Debug)]
pub(crate) struct Me {
    pub name: String,
    pub node: u64,
    pub at: SocketAddr,
    pub seal: MessageAuthenticator,
    pub seed: u64,
}

/// What the program hears.
pub enum OwnershipNotification {
    /// What came of something that it wanted.
    Answered(u64, Answer),
    /// Orphans that it may take.
    OwnerlessRequests(Vec<KeyedRequest>),
    /// A line for the log.
    Log(OwnershipEvent),
    /// A keeper's disk failed: it is none any more.
    StorageFailed(String),
}

enum Order {
    Want(u64, OwnershipRequest),
    Forget(u64),
    Dropped(Vec<u8>, u64),
    Room(u32),
    Leave(Sender<()>),
    Show(Sender<ReplicaStatus>),
}

/// Custody, as others hold it.
#[derive(Clone)]
pub struct OwnershipHandle {
    orders: Sender<Order>,
    began: Instant,
    /// Until when the lease holds, in microseconds since the start.
    until: Arc<AtomicU64>,
    lease_ms: f64,
}

impl OwnershipHandle {
    /// Wants something of the keepers, under this number.
    pub fn request(&self, number: u64, want: OwnershipRequest) {
        let _ = self.orders.send(Order::Want(number, want));
    }

    /// Nobody waits for it any more.
    pub fn cancel(&self, number: u64) {
        let _ = self.orders.send(Order::Forget(number));
    }

    /// What was claimed by this fence was never started.
    pub fn drop_claim(&self, key: Vec<u8>, fence: u64) {
        let _ = self.orders.send(Order::Dropped(key, fence));
    }

    /// Orphans that would be taken now.
    pub fn set_takeover_capacity(&self, room: u32) {
        let _ = self.orders.send(Order::Room(room));
    }

    /// Whether the lease holds at this moment, by a clock that goes on while the process stands still.
    pub fn is_lease_valid(&self) -> bool {
        (self.began.elapsed().as_micros() as u64) < self.until.load(Ordering::SeqCst)
    }

    /// How long a lease is.
    pub fn lease_ms(&self) -> f64 {
        self.lease_ms
    }

    /// Leaves: comes back once that is said, or can't be.
    pub fn leave(&self) {
        let (over, left) = bounded(1);
        if self.orders.send(Order::Leave(over)).is_ok() {
            let _ = left.recv_timeout(PATIENCE);
            std::thread::sleep(WAY_OUT);
        }
    }

    /// What this process holds as a keeper.
    pub fn replica_status(&self) -> Option<ReplicaStatus> {
        let (to, shown) = bounded(1);
        self.orders.send(Order::Show(to)).ok()?;
        shown.recv_timeout(PATIENCE).ok()
    }
}

struct Actor {
    keeper: Option<Replica>,
    owner: Owner,
    began: Instant,
    at: SocketAddr,
    seal: MessageAuthenticator,
    links: Links,
    until: Arc<AtomicU64>,
    shelf: Option<Arc<Mutex<dyn ReplicaStorage>>>,
    saved_at: Instant,
}

/// Begins. `heard` is called with each word, in order, by the thread of the state machines: it must not wait.
pub(crate) fn begin(
    place: OwnershipActorSettings,
    me: Me,
    links: Links,
    letters: Receiver<Vec<u8>>,
    heard: impl Fn(OwnershipNotification) + Send + 'static,
) -> std::io::Result<OwnershipHandle> {
    // Orders come from one thread, which owes an answer for each: their number is bounded there.
    let (orders, ordered) = crossbeam_channel::unbounded();
    let began = Instant::now();
    let until = Arc::new(AtomicU64::new(0));
    let OwnershipActorSettings {
        disk,
        replicas: keepers,
        parameters: terms,
        unix_time_s: unix_s,
    } = place;
    let myself = member(&me.name, me.node, me.at);
    let owner = Owner::new(
        0.0,
        myself.clone(),
        keepers.iter().map(|(_, at)| *at).collect(),
        terms.clone(),
        me.seal.clone(),
    );
    let lease_ms = terms.lease_ms;
    let keeps = keepers.iter().any(|(name, _)| *name == me.name);
    let seal = me.seal.clone();
    let (until_told, at, seed) = (until.clone(), me.at, me.seed);
    crate::spawn("custody", move || {
        // The library's memory is this thread's alone.
        let (saved, shelf) = disk
            .map(|ReplicaDisk { saved, storage }| (saved, storage))
            .unzip();
        let start = ReplicaConfig {
            member: myself,
            replicas: keepers,
            settings: terms,
            authenticator: seal.clone(),
            seed,
            unix_s,
            stored: saved,
        };
        let keeper = keeps.then(|| Replica::new(0.0, start));
        let actor = Actor {
            keeper,
            owner,
            began,
            at,
            seal,
            links,
            until: until_told,
            shelf,
            saved_at: began,
        };
        actor.serve(&letters, &ordered, heard);
    })?;
    Ok(OwnershipHandle {
        orders,
        began,
        until,
        lease_ms,
    })
}

impl Actor {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    fn serve(
        mut self,
        letters: &Receiver<Vec<u8>>,
        orders: &Receiver<Order>,
        heard: impl Fn(OwnershipNotification),
    ) {
        loop {
            let next = self
                .keeper
                .as_ref()
                .map_or(f64::INFINITY, Replica::next_wake_ms)
                .min(self.owner.next_wake_ms());
            let wait = ((next - self.now()) / 1e3).clamp(0.0, LONGEST.as_secs_f64());
            let timer = crossbeam_channel::after(Duration::from_secs_f64(wait));
            let mut actions = Vec::new();
            crossbeam_channel::select! {
                recv(letters) -> letter => match letter {
                    Ok(letter) => self.letter(&letter, &mut actions),
                    Err(_) => return,
                },
                recv(orders) -> order => match order {
                    Ok(order) => self.order(order, &mut actions),
                    Err(_) => return,
                },
                recv(timer) -> _ => {}
            }
            for letter in letters.try_iter().take(AT_ONCE) {
                self.letter(&letter, &mut actions);
            }
            for order in orders.try_iter().take(AT_ONCE) {
                self.order(order, &mut actions);
            }
            let now = self.now();
            if let Some(keeper) = &mut self.keeper {
                actions.extend(keeper.flush(now));
                if keeper.next_wake_ms() <= now {
                    actions.extend(keeper.wake(now));
                }
            }
            actions.extend(self.owner.flush(now));
            if self.owner.next_wake_ms() <= now {
                actions.extend(self.owner.wake(now));
            }
            if self.saved_at.elapsed() >= MARK && self.keeper.is_some() {
                // A disk that is not marked of late is not believed by the next process.
                actions.push(Action::Persist(Vec::new()));
            }
            self.act(actions, &heard);
        }
    }

    fn letter(&mut self, letter: &[u8], actions: &mut Vec<Action>) {
        let now = self.now();
        let Some((from, at, what)) = decode(&self.seal, letter) else {
            return;
        };
        match (what, &mut self.keeper) {
            (MessageBody::Answers(answers), _) => actions.extend(self.owner.receive(now, answers)),
            (what, Some(keeper)) => actions.extend(keeper.receive(now, &from, at, what)),
            _ => {}
        }
    }

    fn order(&mut self, order: Order, actions: &mut Vec<Action>) {
        let now = self.now();
        match order {
            Order::Want(number, want) => self.owner.submit(number, want),
            Order::Forget(number) => self.owner.stop_waiting(number),
            Order::Dropped(key, fence) => self.owner.release_claim(key, fence),
            Order::Room(room) => self.owner.set_capacity(room),
            Order::Leave(over) => {
                actions.extend(self.owner.shut_down(now));
                let _ = over.try_send(());
            }
            Order::Show(to) => {
                let shown = self
                    .keeper
                    .as_ref()
                    .map(Replica::status)
                    .unwrap_or_default();
                let _ = to.try_send(shown);
            }
        }
    }

    fn act(&mut self, actions: Vec<Action>, heard: &impl Fn(OwnershipNotification)) {
        let mut all: VecDeque<Action> = actions.into();
        while let Some(action) = all.pop_front() {
            match action {
                // What this process says to itself needs no way.
                Action::Send(to, letter) if to == self.at => {
                    let mut more = Vec::new();
                    self.letter(&letter, &mut more);
                    let now = self.now();
                    if let Some(keeper) = &mut self.keeper {
                        more.extend(keeper.flush(now));
                    }
                    all.extend(more);
                }
                Action::Send(to, letter) => self.links.send(to, letter),
                Action::Persist(saves) => {
                    let Some(shelf) = &self.shelf else { continue };
                    let saved = shelf
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .save(saves);
                    self.saved_at = Instant::now();
                    if let Err(why) = saved {
                        // Whatever rests on it must not leave; nor may this process speak as that keeper again.
                        self.keeper = None;
                        all.retain(|action| {
                            !matches!(action, Action::Send(..) | Action::Persist(_))
                        });
                        heard(OwnershipNotification::StorageFailed(why));
                    }
                }
                Action::Report(told) => heard(OwnershipNotification::Log(told)),
                Action::Answer(number, answer) => {
                    heard(OwnershipNotification::Answered(number, answer))
                }
                Action::OfferOwnerless(works) => {
                    heard(OwnershipNotification::OwnerlessRequests(works))
                }
            }
        }
        let until = self.owner.lease_until_ms().max(0.0);
        self.until.store((until * 1e3) as u64, Ordering::SeqCst);
    }
}
