//! One key, an owner, a taker and the keepers' agreed log, in every command of what may happen to what passes between them:
//! a letter comes, is lost, comes twice or after a later one; time passes while an owner stands still; each owner may
//! crash once, and come back as another process; the keepers' leader may change, which loses what it had not answered.
//! That the log is agreed is the library's part (`group.rs` plays it by chance). What must hold:
//!
//! 1. KeyedRequest that nobody fences is started once at the most, whoever starts it.
//! 2. Of fenced work only the highest fence has its effect from then on, and fences are never given twice.
//! 3. A key has one outcome, and whoever is answered hears that one.
//! 4. A try that hears that it never ran was not started.
//! 5. Whoever may act by his lease has an epoch that the book has not ended, unless another process has its name.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use asterdale_membership::authentication::MessageAuthenticator;
use asterdale_ownership::message::wire::{Answers, LogEntry, Proposal};
use asterdale_ownership::message::{decode, encode, member, MessageBody};
use asterdale_ownership::{
    Action, KeyedRequest, Member, Owner, OwnershipRequest, OwnershipSettings, OwnershipTable,
    Verdict,
};
use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Steps of every command, twice: tens of thousands of states, in seconds.
const DEPTH: usize = 5;
/// Long ways that are drawn.
const WAYS: u64 = 1500;
const STEP_MS: f64 = 800.0;

#[derive(Clone, Copy, Debug)]
enum Step {
    Comes(usize),
    Lost(usize),
    Twice(usize),
    /// Time passes for all; those who stand still are not woken.
    Time,
    Stop(usize),
    GoOn(usize),
    Crash(usize),
    /// Wants to run the key, as a first try or a repeat.
    CommandBatch(usize),
    /// Looks at its lease, and starts; or is about to.
    Starts(usize),
    /// Its call reaches whoever has the effect.
    Effect(usize),
    Ends(usize),
    /// Another keeper leads: letters to the one before are lost.
    Leader,
}

/// What an engine does with one try.
#[derive(Clone, Debug, Default, PartialEq)]
struct Host {
    /// Tries so far: each is another id.
    tries: u64,
    asked: Option<u64>,
    /// It may start by this fence.
    yours: Option<u64>,
    runs: Option<u64>,
    effect: bool,
    /// What it has told the keepers, and waits for.
    ending: Option<(u64, Vec<u8>)>,
}

#[derive(Clone)]
struct World {
    now: f64,
    book: OwnershipTable,
    stamped: f64,
    owners: [Option<Owner>; 2],
    hosts: [Host; 2],
    stopped: [bool; 2],
    crashed: [bool; 2],
    /// To an owner, or to the keepers.
    letters: Vec<(Option<usize>, Vec<u8>)>,
    budget: BTreeMap<&'static str, u32>,
    fenced: bool,
    processes: u64,
    // ---- What has happened ----
    fences: Vec<u64>,
    starts: Vec<(usize, u64)>,
    /// The highest fence that had an effect, and how often that was not the same key's first.
    highest: u64,
    outcome: Option<Vec<u8>>,
    answered: Vec<Vec<u8>>,
}

const KEEPERS: &str = "127.0.0.1:9000";

fn authenticator() -> MessageAuthenticator {
    MessageAuthenticator::new(b"key")
}

fn terms() -> OwnershipSettings {
    OwnershipSettings {
        max_retry_window_ms: 0.0,
        ..OwnershipSettings::default()
    }
}

fn owner(now: f64, n: usize, process: u64) -> Owner {
    let at: SocketAddr = ([127, 0, 0, 1], 9001 + n as u16).into();
    let keepers = vec![KEEPERS.parse().unwrap()];
    Owner::new(
        now,
        member(&format!("o{n}"), process, at),
        keepers,
        terms(),
        authenticator(),
    )
}

impl World {
    fn new(fenced: bool) -> World {
        let mut world = World {
            now: 0.0,
            book: OwnershipTable::new(1, &[], terms()),
            stamped: 0.0,
            owners: [Some(owner(0.0, 0, 1)), Some(owner(0.0, 1, 2))],
            hosts: Default::default(),
            stopped: [false; 2],
            crashed: [false; 2],
            letters: Vec::new(),
            budget: [
                ("lost", 1),
                ("twice", 1),
                ("stop", 1),
                ("crash", 1),
                ("leader", 1),
                ("time", 4),
            ]
            .into(),
            fenced,
            processes: 2,
            fences: Vec::new(),
            starts: Vec::new(),
            highest: 0,
            outcome: None,
            answered: Vec::new(),
        };
        for n in 0..2 {
            world.wake(n);
        }
        while !world.letters.is_empty() {
            world.take(Step::Comes(0));
        }
        assert!(world
            .owners
            .iter()
            .flatten()
            .all(|owner| owner.lease_until_ms() > 0.0));
        world
    }

    fn act(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(_, bytes) => self.letters.push((None, bytes)),
                Action::Answer(number, answer) => {
                    let host = &mut self.hosts[n];
                    let (verdict, fence) = (answer.verdict(), answer.number);
                    if host.asked == Some(number) {
                        host.asked = None;
                        if verdict == Verdict::Granted {
                            host.yours = Some(fence);
                            assert!(!self.fences.contains(&fence), "a fence is given twice");
                            self.fences.push(fence);
                        } else if verdict == Verdict::Completed {
                            self.hear(answer.result);
                        }
                    } else if let Some((_, result)) =
                        host.ending.take_if(|ending| ending.0 == number)
                    {
                        if verdict == Verdict::Recorded {
                            let known = self.outcome.get_or_insert_with(|| result.clone());
                            assert_eq!(*known, result, "two outcomes are kept");
                            self.hear(result);
                        }
                    }
                }
                Action::Report(_) | Action::OfferOwnerless(_) | Action::Persist(_) => {}
            }
        }
    }

    fn hear(&mut self, result: Vec<u8>) {
        assert!(
            self.answered.iter().all(|before| *before == result),
            "two answers"
        );
        self.answered.push(result);
    }

    fn wake(&mut self, n: usize) {
        let now = self.now;
        if let Some(owner) = self.owners[n]
            .as_mut()
            .filter(|owner| owner.next_wake_ms() <= now)
        {
            let actions = owner.wake(now);
            self.act(n, actions);
        }
    }

    /// The keepers hear: what is proposed is agreed.
    fn keepers(&mut self, bytes: &[u8]) {
        let Some((from, _, MessageBody::Commands(asked))) = decode(&authenticator(), bytes) else {
            panic!("no command")
        };
        let proposals = asked.commands.into_iter();
        let proposals = proposals.map(|command| Proposal {
            from: Some(from.clone()),
            command: Some(command),
        });
        let answers = self.passes(proposals.collect());
        let to = usize::from(from.port as u16 - 9001);
        let answers = answers.into_iter().map(|(_, answer)| answer).collect();
        let keeper: Member = member("k", 99, KEEPERS.parse().unwrap());
        let what = MessageBody::Answers(Answers {
            answers,
            leader: None,
            to: from.node,
        });
        self.letters
            .push((Some(to), encode(&authenticator(), &keeper, what)));
    }

    fn passes(&mut self, proposals: Vec<Proposal>) -> Vec<(Member, asterdale_ownership::Answer)> {
        let elapsed_ms = self.now - self.stamped;
        self.stamped = self.now;
        self.book.apply(LogEntry {
            elapsed_ms,
            proposals,
        })
    }

    fn spend(&mut self, what: &'static str) -> bool {
        let left = self.budget.get_mut(what).unwrap();
        let may = *left > 0;
        *left = left.saturating_sub(1);
        may
    }

    fn steps(&self) -> Vec<Step> {
        let mut all = vec![Step::Time, Step::Leader];
        for n in 0..self.letters.len() {
            let to = self.letters[n].0;
            if to.is_none_or(|to| !self.stopped[to]) {
                all.extend([Step::Comes(n), Step::Lost(n), Step::Twice(n)]);
            }
        }
        for n in 0..2 {
            if self.stopped[n] {
                all.push(Step::GoOn(n));
                continue;
            }
            all.extend([Step::Stop(n), Step::Crash(n)]);
            let host = &self.hosts[n];
            if host.asked.is_none() && host.yours.is_none() && host.runs.is_none() && host.tries < 2
            {
                all.push(Step::CommandBatch(n));
            }
            if host.yours.is_some() {
                all.push(Step::Starts(n));
            }
            if host.runs.is_some() && !host.effect {
                all.push(Step::Effect(n));
            }
            if host.runs.is_some() && host.effect && host.ending.is_none() {
                all.push(Step::Ends(n));
            }
        }
        all
    }

    /// `false` if there is no such step any more.
    fn take(&mut self, step: Step) -> bool {
        match step {
            Step::Comes(n) => {
                let (to, bytes) = self.letters.remove(n);
                self.deliver(to, &bytes);
            }
            Step::Lost(n) => {
                self.letters.remove(n);
                return self.spend("lost");
            }
            Step::Twice(n) => {
                let (to, bytes) = self.letters[n].clone();
                self.deliver(to, &bytes);
                return self.spend("twice");
            }
            Step::Time => {
                self.now += STEP_MS;
                self.passes(Vec::new());
                (0..2)
                    .filter(|n| !self.stopped[*n])
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|n| self.wake(n));
                return self.spend("time");
            }
            Step::Stop(n) => {
                self.stopped[n] = true;
                return self.spend("stop");
            }
            Step::GoOn(n) => {
                self.stopped[n] = false;
                self.wake(n);
            }
            Step::Crash(n) => {
                self.processes += 1;
                self.crashed[n] = true;
                self.owners[n] = Some(owner(self.now, n, self.processes));
                self.hosts[n] = Host {
                    tries: self.hosts[n].tries,
                    ..Host::default()
                };
                self.wake(n);
                return self.spend("crash");
            }
            Step::CommandBatch(n) => self.asks(n),
            Step::Starts(n) => {
                let Some(fence) = self.hosts[n].yours.take() else {
                    return false;
                };
                let may = self.owners[n]
                    .as_ref()
                    .is_some_and(|owner| owner.lease_until_ms() > self.now);
                if may {
                    self.starts.push((n, fence));
                    self.hosts[n].runs = Some(fence);
                }
            }
            Step::Effect(n) => {
                let Some(fence) = self.hosts[n].runs else {
                    return false;
                };
                self.hosts[n].effect = true;
                if fence < self.highest {
                    self.hosts[n].runs = None; // refused: this run ends without a result
                }
                self.highest = self.highest.max(fence);
            }
            Step::Ends(n) => {
                let Some(fence) = self.hosts[n].runs.take() else {
                    return false;
                };
                let (now, host) = (self.now, &mut self.hosts[n]);
                let result = format!("{n} {}", host.tries).into_bytes();
                host.ending = Some((100 + host.tries, result.clone()));
                let want = OwnershipRequest::Complete {
                    key: b"key".to_vec(),
                    fence,
                    result: Some(result),
                };
                let number = 100 + host.tries;
                if let Some(owner) = &mut self.owners[n] {
                    owner.submit(number, want);
                    let actions = owner.flush(now);
                    self.act(n, actions);
                }
            }
            Step::Leader => {
                self.letters.retain(|(to, _)| to.is_some());
                return self.spend("leader");
            }
        }
        true
    }

    fn asks(&mut self, n: usize) {
        let (now, fenced, host) = (self.now, self.fenced, &mut self.hosts[n]);
        host.tries += 1;
        let number = host.tries;
        (host.asked, host.effect) = (Some(number), false);
        let work = KeyedRequest {
            key: b"key".to_vec(),
            class: "bid".to_owned(),
            execution_id: format!("{n:08x}{number:08x}").into_bytes(),
            deadline_ms: 60_000.0,
            retry_window_ms: 60_000.0,
            fenced,
            ..KeyedRequest::default()
        };
        if let Some(owner) = &mut self.owners[n] {
            owner.submit(number, OwnershipRequest::Claim(work));
            let actions = owner.flush(now);
            self.act(n, actions);
        }
    }

    fn deliver(&mut self, to: Option<usize>, bytes: &[u8]) {
        let Some(to) = to else {
            return self.keepers(bytes);
        };
        let Some((_, _, MessageBody::Answers(answers))) = decode(&authenticator(), bytes) else {
            panic!("no answer")
        };
        let now = self.now;
        if let Some(owner) = &mut self.owners[to] {
            let mut actions = owner.receive(now, answers);
            actions.extend(owner.flush(now));
            self.act(to, actions);
        }
    }

    fn check(&self) {
        if !self.fenced {
            assert!(self.starts.len() <= 1, "started twice: {:?}", self.starts);
        }
        let mut fences: Vec<u64> = self.starts.iter().map(|(_, fence)| *fence).collect();
        fences.dedup();
        assert_eq!(fences.len(), self.starts.len(), "one fence, two starts");
        let alone = self
            .owners
            .iter()
            .flatten()
            .zip(self.crashed)
            .filter(|(_, crashed)| !crashed);
        for (owner, _) in alone.filter(|(owner, _)| owner.lease_until_ms() > self.now) {
            let epoch = owner.epoch().unwrap_or(0);
            assert!(
                self.book.leases().contains_key(&epoch),
                "a lease outlives its epoch"
            );
        }
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let text = format!(
            "{:?} {:?} {:?} {:?}",
            self.owners, self.hosts, self.stopped, self.budget
        );
        (
            text,
            self.book.encode(),
            &self.letters,
            &self.starts,
            self.highest,
        )
            .hash(&mut hasher);
        (&self.outcome, &self.answered, self.now.to_bits()).hash(&mut hasher);
        hasher.finish()
    }
}

fn explore(world: &World, depth: usize, seen: &mut HashMap<u64, usize>) {
    if depth == 0 {
        return;
    }
    for step in world.steps() {
        let mut next = world.clone();
        if !next.take(step) {
            continue;
        }
        next.check();
        // One that was met with as many steps left tells no more.
        let left = seen.entry(next.digest()).or_insert(0);
        if *left < depth {
            *left = depth;
            explore(&next, depth - 1, seen);
        }
    }
}

/// The owner's try is always there first: what is of interest comes after it.
fn asked(fenced: bool) -> World {
    let mut world = World::new(fenced);
    world.take(Step::CommandBatch(0));
    world
}

#[test]
fn whatever_the_order_a_key_is_owned_once() {
    for fenced in [true, false] {
        let mut seen = HashMap::new();
        let mut world = asked(fenced);
        explore(&world, DEPTH, &mut seen);
        // And once it is this owner's, and has started.
        while !world.letters.is_empty() {
            world.take(Step::Comes(0));
        }
        world.take(Step::Starts(0));
        assert_eq!(world.starts.len(), 1);
        explore(&world, DEPTH, &mut seen);
        eprintln!("fenced {fenced}: {} states", seen.len());
        assert!(seen.len() > 5_000, "{}", seen.len());
    }
}

#[test]
fn nor_on_long_ways_drawn_from_seeds() {
    let mut ends = 0;
    for seed in 0..WAYS {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut world = asked(seed % 2 == 0);
        world.budget = [
            ("lost", 6),
            ("twice", 6),
            ("stop", 3),
            ("crash", 2),
            ("leader", 2),
            ("time", 14),
        ]
        .into();
        for _ in 0..90 {
            let steps = world.steps();
            let step = steps[random.next_u32() as usize % steps.len()];
            // A way on which what is drawn can't be goes on with another step.
            let mut next = world.clone();
            if next.take(step) {
                next.check();
                world = next;
            }
        }
        ends += u32::from(world.outcome.is_some());
    }
    assert!(ends > 20, "hardly a way comes to an outcome: {ends}");
}
