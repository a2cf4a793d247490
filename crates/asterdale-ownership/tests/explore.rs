//! State space exploration of one key, two owners and the replicated log, in every order of events: a message is
//! delivered, lost, duplicated, or reordered; time passes while an owner is paused; each owner may crash and restart as
//! a new process; the leader may change, which loses the commands that it had not answered. Agreement on the log itself
//! is left to the `raft` crate (`cluster/random_faults.rs` tests it with random faults). Invariants:
//!
//! 1. An unfenced request is started at most once, by any owner.
//! 2. A fencing token is granted once. After a call with a token, no call with an older token has an effect.
//! 3. A key has one outcome, and every answer contains that outcome.
//! 4. An attempt that is answered as never run was not started.
//! 5. The epoch of an owner that may act under its lease has not ended in the table, unless its process was replaced.

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

/// Number of steps of which every sequence is explored, from two states: tens of thousands of states, in seconds.
const MAX_DEPTH: usize = 5;
/// Number of long random runs, one for each seed.
const RANDOM_RUNS: u64 = 1500;
const STEP_MS: f64 = 800.0;

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    /// Advances the time of all processes; timers of paused owners are not fired.
    AdvanceTime,
    Pause(usize),
    Resume(usize),
    Crash(usize),
    /// The engine submits a claim of the key, the first one or a retry.
    SubmitClaim(usize),
    /// The engine checks the lease, and starts the claimed request if the lease is valid.
    Start(usize),
    /// The call of the engine's run reaches the dependency.
    CallDependency(usize),
    RecordOutcome(usize),
    /// Another replica becomes the leader: messages to the previous one are lost.
    ChangeLeader,
}

/// The state of an owner's engine for the key.
#[derive(Clone, Debug, Default, PartialEq)]
struct Engine {
    /// Attempts so far, each with its own execution id.
    attempts: u64,
    /// The request number of an unanswered claim.
    claim_number: Option<u64>,
    /// The token of a granted claim that has not been started.
    granted_fence: Option<u64>,
    running_fence: Option<u64>,
    called_dependency: bool,
    /// Request number and result of an outcome that is being recorded.
    recording: Option<(u64, Vec<u8>)>,
}

#[derive(Clone)]
struct Model {
    now_ms: f64,
    table: OwnershipTable,
    last_entry_ms: f64,
    owners: [Option<Owner>; 2],
    engines: [Engine; 2],
    paused: [bool; 2],
    crashed: [bool; 2],
    /// Messages in flight, with the index of the recipient owner; `None` for the replicas.
    messages: Vec<(Option<usize>, Vec<u8>)>,
    step_budget: BTreeMap<&'static str, u32>,
    fenced: bool,
    process_count: u64,
    fences: Vec<u64>,
    starts: Vec<(usize, u64)>,
    /// The highest fencing token that reached the dependency.
    highest_fence: u64,
    outcome: Option<Vec<u8>>,
    answered_results: Vec<Vec<u8>>,
}

const REPLICA_ADDRESS: &str = "127.0.0.1:9000";

fn authenticator() -> MessageAuthenticator {
    MessageAuthenticator::new(b"key")
}

fn settings() -> OwnershipSettings {
    OwnershipSettings {
        max_retry_window_ms: 0.0,
        ..OwnershipSettings::default()
    }
}

fn owner(now_ms: f64, n: usize, process: u64) -> Owner {
    let address: SocketAddr = ([127, 0, 0, 1], 9001 + n as u16).into();
    let replicas = vec![REPLICA_ADDRESS.parse().unwrap()];
    Owner::new(
        now_ms,
        member(&format!("o{n}"), process, address),
        replicas,
        settings(),
        authenticator(),
    )
}

impl Model {
    fn new(fenced: bool) -> Model {
        let mut model = Model {
            now_ms: 0.0,
            table: OwnershipTable::new(1, &[], settings()),
            last_entry_ms: 0.0,
            owners: [Some(owner(0.0, 0, 1)), Some(owner(0.0, 1, 2))],
            engines: Default::default(),
            paused: [false; 2],
            crashed: [false; 2],
            messages: Vec::new(),
            step_budget: [
                ("loss", 1),
                ("duplicate", 1),
                ("pause", 1),
                ("crash", 1),
                ("leader", 1),
                ("time", 4),
            ]
            .into(),
            fenced,
            process_count: 2,
            fences: Vec::new(),
            starts: Vec::new(),
            highest_fence: 0,
            outcome: None,
            answered_results: Vec::new(),
        };
        for n in 0..2 {
            model.wake(n);
        }
        while !model.messages.is_empty() {
            model.take_step(Step::Deliver(0));
        }
        assert!(model
            .owners
            .iter()
            .flatten()
            .all(|owner| owner.lease_until_ms() > 0.0));
        model
    }

    fn execute(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(_, bytes) => self.messages.push((None, bytes)),
                Action::Answer(number, answer) => {
                    let engine = &mut self.engines[n];
                    let (verdict, fence) = (answer.verdict(), answer.number);
                    if engine.claim_number == Some(number) {
                        engine.claim_number = None;
                        if verdict == Verdict::Granted {
                            engine.granted_fence = Some(fence);
                            assert!(
                                !self.fences.contains(&fence),
                                "a fencing token is granted twice"
                            );
                            self.fences.push(fence);
                        } else if verdict == Verdict::Completed {
                            self.check_answered_result(answer.result);
                        }
                    } else if let Some((_, result)) =
                        engine.recording.take_if(|recording| recording.0 == number)
                    {
                        if verdict == Verdict::Recorded {
                            let known = self.outcome.get_or_insert_with(|| result.clone());
                            assert_eq!(*known, result, "two different outcomes are recorded");
                            self.check_answered_result(result);
                        }
                    }
                }
                Action::Report(_) | Action::OfferOwnerless(_) | Action::Persist(_) => {}
            }
        }
    }

    fn check_answered_result(&mut self, result: Vec<u8>) {
        assert!(
            self.answered_results
                .iter()
                .all(|earlier| *earlier == result),
            "two different results are answered"
        );
        self.answered_results.push(result);
    }

    fn wake(&mut self, n: usize) {
        let now_ms = self.now_ms;
        if let Some(owner) = self.owners[n]
            .as_mut()
            .filter(|owner| owner.next_wake_ms() <= now_ms)
        {
            let actions = owner.wake(now_ms);
            self.execute(n, actions);
        }
    }

    /// Delivers commands to the replicas: all of them are committed and applied at once.
    fn deliver_to_replicas(&mut self, bytes: &[u8]) {
        let Some((from, _, MessageBody::Commands(batch))) = decode(&authenticator(), bytes) else {
            panic!("the message has no commands")
        };
        let proposals = batch.commands.into_iter();
        let proposals = proposals.map(|command| Proposal {
            from: Some(from.clone()),
            command: Some(command),
        });
        let answers = self.apply(proposals.collect());
        let to = usize::from(from.port as u16 - 9001);
        let answers = answers.into_iter().map(|(_, answer)| answer).collect();
        let replica: Member = member("k", 99, REPLICA_ADDRESS.parse().unwrap());
        let body = MessageBody::Answers(Answers {
            answers,
            leader: None,
            to: from.node,
        });
        self.messages
            .push((Some(to), encode(&authenticator(), &replica, body)));
    }

    fn apply(&mut self, proposals: Vec<Proposal>) -> Vec<(Member, asterdale_ownership::Answer)> {
        let elapsed_ms = self.now_ms - self.last_entry_ms;
        self.last_entry_ms = self.now_ms;
        self.table.apply(LogEntry {
            elapsed_ms,
            proposals,
        })
    }

    fn use_budget(&mut self, step: &'static str) -> bool {
        let remaining = self.step_budget.get_mut(step).unwrap();
        let is_available = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_available
    }

    fn steps(&self) -> Vec<Step> {
        let mut all = vec![Step::AdvanceTime, Step::ChangeLeader];
        for n in 0..self.messages.len() {
            let to = self.messages[n].0;
            if to.is_none_or(|to| !self.paused[to]) {
                all.extend([Step::Deliver(n), Step::Lose(n), Step::Duplicate(n)]);
            }
        }
        for n in 0..2 {
            if self.paused[n] {
                all.push(Step::Resume(n));
                continue;
            }
            all.extend([Step::Pause(n), Step::Crash(n)]);
            let engine = &self.engines[n];
            if engine.claim_number.is_none()
                && engine.granted_fence.is_none()
                && engine.running_fence.is_none()
                && engine.attempts < 2
            {
                all.push(Step::SubmitClaim(n));
            }
            if engine.granted_fence.is_some() {
                all.push(Step::Start(n));
            }
            if engine.running_fence.is_some() && !engine.called_dependency {
                all.push(Step::CallDependency(n));
            }
            if engine.running_fence.is_some()
                && engine.called_dependency
                && engine.recording.is_none()
            {
                all.push(Step::RecordOutcome(n));
            }
        }
        all
    }

    /// Takes a step. Returns `false` if the step is not possible in this state.
    fn take_step(&mut self, step: Step) -> bool {
        match step {
            Step::Deliver(n) => {
                let (to, bytes) = self.messages.remove(n);
                self.deliver(to, &bytes);
            }
            Step::Lose(n) => {
                self.messages.remove(n);
                return self.use_budget("loss");
            }
            Step::Duplicate(n) => {
                let (to, bytes) = self.messages[n].clone();
                self.deliver(to, &bytes);
                return self.use_budget("duplicate");
            }
            Step::AdvanceTime => {
                self.now_ms += STEP_MS;
                self.apply(Vec::new());
                (0..2)
                    .filter(|n| !self.paused[*n])
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|n| self.wake(n));
                return self.use_budget("time");
            }
            Step::Pause(n) => {
                self.paused[n] = true;
                return self.use_budget("pause");
            }
            Step::Resume(n) => {
                self.paused[n] = false;
                self.wake(n);
            }
            Step::Crash(n) => {
                self.restart(n);
                return self.use_budget("crash");
            }
            Step::SubmitClaim(n) => self.submit_claim(n),
            Step::Start(n) => return self.start(n),
            Step::CallDependency(n) => return self.call_dependency(n),
            Step::RecordOutcome(n) => return self.record_outcome(n),
            Step::ChangeLeader => {
                self.messages.retain(|(to, _)| to.is_some());
                return self.use_budget("leader");
            }
        }
        true
    }

    fn restart(&mut self, n: usize) {
        self.process_count += 1;
        self.crashed[n] = true;
        self.owners[n] = Some(owner(self.now_ms, n, self.process_count));
        self.engines[n] = Engine {
            attempts: self.engines[n].attempts,
            ..Engine::default()
        };
        self.wake(n);
    }

    fn start(&mut self, n: usize) -> bool {
        let Some(fence) = self.engines[n].granted_fence.take() else {
            return false;
        };
        let may_start = self.owners[n]
            .as_ref()
            .is_some_and(|owner| owner.lease_until_ms() > self.now_ms);
        if may_start {
            self.starts.push((n, fence));
            self.engines[n].running_fence = Some(fence);
        }
        true
    }

    fn call_dependency(&mut self, n: usize) -> bool {
        let Some(fence) = self.engines[n].running_fence else {
            return false;
        };
        self.engines[n].called_dependency = true;
        if fence < self.highest_fence {
            self.engines[n].running_fence = None; // rejected: this run ends without a result
        }
        self.highest_fence = self.highest_fence.max(fence);
        true
    }

    fn record_outcome(&mut self, n: usize) -> bool {
        let Some(fence) = self.engines[n].running_fence.take() else {
            return false;
        };
        let (now_ms, engine) = (self.now_ms, &mut self.engines[n]);
        let result = format!("{n} {}", engine.attempts).into_bytes();
        engine.recording = Some((100 + engine.attempts, result.clone()));
        let outcome = OwnershipRequest::Complete {
            key: b"key".to_vec(),
            fence,
            result: Some(result),
        };
        let number = 100 + engine.attempts;
        if let Some(owner) = &mut self.owners[n] {
            owner.submit(number, outcome);
            let actions = owner.flush(now_ms);
            self.execute(n, actions);
        }
        true
    }

    fn submit_claim(&mut self, n: usize) {
        let (now_ms, fenced, engine) = (self.now_ms, self.fenced, &mut self.engines[n]);
        engine.attempts += 1;
        let number = engine.attempts;
        (engine.claim_number, engine.called_dependency) = (Some(number), false);
        let request = KeyedRequest {
            key: b"key".to_vec(),
            class: "bid".to_owned(),
            execution_id: format!("{n:08x}{number:08x}").into_bytes(),
            deadline_ms: 60_000.0,
            retry_window_ms: 60_000.0,
            fenced,
            ..KeyedRequest::default()
        };
        if let Some(owner) = &mut self.owners[n] {
            owner.submit(number, OwnershipRequest::Claim(request));
            let actions = owner.flush(now_ms);
            self.execute(n, actions);
        }
    }

    fn deliver(&mut self, to: Option<usize>, bytes: &[u8]) {
        let Some(to) = to else {
            return self.deliver_to_replicas(bytes);
        };
        let Some((_, _, MessageBody::Answers(answers))) = decode(&authenticator(), bytes) else {
            panic!("the message has no answers")
        };
        let now_ms = self.now_ms;
        if let Some(owner) = &mut self.owners[to] {
            let mut actions = owner.receive(now_ms, answers);
            actions.extend(owner.flush(now_ms));
            self.execute(to, actions);
        }
    }

    fn check(&self) {
        if !self.fenced {
            assert!(self.starts.len() <= 1, "started twice: {:?}", self.starts);
        }
        let mut fences: Vec<u64> = self.starts.iter().map(|(_, fence)| *fence).collect();
        fences.dedup();
        assert_eq!(
            fences.len(),
            self.starts.len(),
            "two starts with the same fencing token"
        );
        let not_restarted = self
            .owners
            .iter()
            .flatten()
            .zip(self.crashed)
            .filter(|(_, crashed)| !crashed);
        for (owner, _) in not_restarted.filter(|(owner, _)| owner.lease_until_ms() > self.now_ms) {
            let epoch = owner.epoch().unwrap_or(0);
            assert!(
                self.table.leases().contains_key(&epoch),
                "an owner has a valid lease for an epoch that has ended"
            );
        }
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let text = format!(
            "{:?} {:?} {:?} {:?}",
            self.owners, self.engines, self.paused, self.step_budget
        );
        (
            text,
            self.table.encode(),
            &self.messages,
            &self.starts,
            self.highest_fence,
        )
            .hash(&mut hasher);
        (&self.outcome, &self.answered_results, self.now_ms.to_bits()).hash(&mut hasher);
        hasher.finish()
    }
}

fn explore(model: &Model, depth: usize, seen: &mut HashMap<u64, usize>) {
    if depth == 0 {
        return;
    }
    for step in model.steps() {
        let mut next = model.clone();
        if !next.take_step(step) {
            continue;
        }
        next.check();
        // A state that was already explored with at least as many steps left is skipped.
        let explored_depth = seen.entry(next.digest()).or_insert(0);
        if *explored_depth < depth {
            *explored_depth = depth;
            explore(&next, depth - 1, seen);
        }
    }
}

/// The initial state of the exploration. The first step is always the claim of the first owner, because all orders of
/// interest follow it.
fn model_with_claim(fenced: bool) -> Model {
    let mut model = Model::new(fenced);
    model.take_step(Step::SubmitClaim(0));
    model
}

#[test]
fn every_order_of_events_gives_one_owner() {
    for fenced in [true, false] {
        let mut seen = HashMap::new();
        let mut model = model_with_claim(fenced);
        explore(&model, MAX_DEPTH, &mut seen);
        // Again from the state in which the claim is granted and started.
        while !model.messages.is_empty() {
            model.take_step(Step::Deliver(0));
        }
        model.take_step(Step::Start(0));
        assert_eq!(model.starts.len(), 1);
        explore(&model, MAX_DEPTH, &mut seen);
        eprintln!("fenced {fenced}: {} states", seen.len());
        assert!(seen.len() > 5_000, "{}", seen.len());
    }
}

#[test]
fn long_random_runs_give_one_owner() {
    let mut outcomes = 0;
    for seed in 0..RANDOM_RUNS {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut model = model_with_claim(seed % 2 == 0);
        model.step_budget = [
            ("loss", 6),
            ("duplicate", 6),
            ("pause", 3),
            ("crash", 2),
            ("leader", 2),
            ("time", 14),
        ]
        .into();
        for _ in 0..90 {
            let steps = model.steps();
            let step = steps[random.next_u32() as usize % steps.len()];
            // A drawn step that is not possible is skipped.
            let mut next = model.clone();
            if next.take_step(step) {
                next.check();
                model = next;
            }
        }
        outcomes += u32::from(model.outcome.is_some());
    }
    assert!(outcomes > 20, "too few runs record an outcome: {outcomes}");
}
