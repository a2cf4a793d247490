//! KeyedRequest in hand that others keep, as the engine does it: who is asked before a task starts, what waits for an answer,
//! and what becomes of it. What is owned is agreed by the keepers ([`asterdale_ownership`]); what is let in, in which
//! order it runs and what is turned away is the module's, for orphans as for all others.
//!
//! A fingerprinted task that is not known here is looked up before the module sees it, so that a repeat at any backend
//! joins it, or gets its result. It is claimed when the module has it run, and started once it is this process's by a
//! fence. Its answer leaves when its outcome is kept.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::Arc;

use asterdale::events::{Arrival, Outcome};
use asterdale::parameters::Idempotency;
use asterdale::Handle;
use asterdale_ownership::failpoint::{self, Failpoint};
use asterdale_ownership::{Answer, KeyedRequest, OwnershipRequest, Verdict};

use crate::engine::Engine;
use crate::message::{
    Connection, IdempotencyKey, OwnershipClient, Reply, Request, RequestId, ResponseRoute, TaskId,
};
use crate::tasks::{Slot, Tasks};

/// A look that has no answer after this is given up: the claim decides all the same. Ten times what keepers on the same
/// network take, and little of any due time.
const LOOK_MS: f64 = 200.0;
/// A claim that has none after so many leases is given up: the task never started, and says so.
const CLAIM_LEASES: f64 = 1.0;
/// From one look at work that runs elsewhere to the next.
const POLL_MS: f64 = 40.0;
/// How often what waits is looked at.
const TICK_MS: f64 = 20.0;
/// KeyedRequest that has been nobody's at two looks in a row is anybody's: whoever waits for it tries again.
const NOBODYS_MS: f64 = 1.5 * POLL_MS;
/// An answer that waits for its outcome to be kept is given so long before its caller goes.
const BEFORE_MS: f64 = 20.0;
/// Who owns, in the table of fingerprints, what runs at another backend: no task of this process has this number.
const ELSEWHERE: TaskId = 0;
/// Orphans in hand at once, for each core: a backend that takes over stays one that serves.
const TAKEN: f64 = 2.0;
/// Looks and outcomes that are under way at once. Beyond that a task is turned away.
const MOST_WAITING: usize = 8192;

/// What others keep of a task.
pub struct Kept {
    key: Vec<u8>,
    /// What tells its body from others everywhere.
    sign: u64,
    /// Its claim.
    claim: Claim,
    /// Its starts and calls carry its fence.
    fences: bool,
    /// It came from a backend that is gone.
    orphan: bool,
    /// Its caller waits for this try until then.
    by: f64,
    /// And for any try of it until then, as far as this one tells.
    due: f64,
    hint_ms: f64,
    kb: f64,
}

/// How far a claim is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Claim {
    None,
    Asked(u64),
    /// It is this process's, by this fence.
    Held(u64),
    /// It runs at another backend: this one waits like a repeat.
    Elsewhere,
}

impl Kept {
    /// By which it is this process's.
    pub fn fence(&self) -> Option<u64> {
        match self.claim {
            Claim::Held(fence) if self.fences && !failpoint::is_active(Failpoint::Fence) => {
                Some(fence)
            }
            _ => None,
        }
    }

    /// For how long it is of use: whoever waits for this try no longer may ask for it again, anywhere.
    pub fn of_use_ms(&self, now: f64) -> f64 {
        (self.due - now).max(0.0)
    }

    fn held(&self) -> Option<u64> {
        if let Claim::Held(fence) = self.claim {
            Some(fence)
        } else {
            None
        }
    }
}

type Back = (Arc<dyn Connection>, u16);

/// What an answer of the keepers is waited for with.
enum Awaited {
    /// A task that the module has not seen.
    Look {
        request: Box<Request>,
        mark: IdempotencyKey,
        key: Vec<u8>,
        sign: u64,
        since: f64,
    },
    /// KeyedRequest that runs elsewhere.
    Poll(IdempotencyKey),
    /// A task that the module has run.
    Claim { who: TaskId, since: f64 },
    /// An outcome that is to be kept before its answer leaves.
    Outcome(Box<Ended>),
    /// A held task that is passed on while this process leaves; how it is rejected if nobody takes it.
    Pass {
        mark: IdempotencyKey,
        key: Vec<u8>,
        sign: u64,
        back: Back,
        reply: Reply,
    },
    /// Told, whatever comes of it.
    Told,
}

/// A run that ended with a result.
struct Ended {
    mark: IdempotencyKey,
    who: TaskId,
    key: Vec<u8>,
    sign: u64,
    result: Arc<[u8]>,
    back: Option<Back>,
    by: f64,
}

/// KeyedRequest that runs elsewhere and is waited for here.
struct Elsewhere {
    key: Vec<u8>,
    sign: u64,
    /// A look is under way.
    polling: bool,
    at: f64,
    /// Since when it is nobody's.
    nobodys: Option<f64>,
    /// Its window is over then.
    until: f64,
    /// Callers whose tasks the module has done with.
    backs: Vec<Detached>,
}

/// A caller whose task the module has done with.
struct Detached {
    back: Back,
    by: f64,
    /// His try ran here: he never hears that it did not.
    ran: bool,
}

/// What is asked of those who keep work in hand, and what waits for their answers.
pub struct Desk {
    port: Option<Arc<dyn OwnershipClient>>,
    next: u64,
    waiting: HashMap<u64, Awaited>,
    /// Looks, by the request that they are for.
    parked: HashMap<ResponseRoute, u64>,
    elsewhere: HashMap<IdempotencyKey, Elsewhere>,
    /// What tasks are to hear that waited in vain for what runs elsewhere.
    replies: HashMap<TaskId, Reply>,
    tick_at: f64,
    /// This process leaves: all is answered by then.
    leaves: Option<f64>,
    /// Orphans in hand.
    taken: usize,
}

impl Desk {
    /// One that asks there; nothing is kept where there is nobody.
    pub fn new(port: Option<Arc<dyn OwnershipClient>>) -> Desk {
        Desk {
            port,
            next: 1,
            waiting: HashMap::new(),
            parked: HashMap::new(),
            elsewhere: HashMap::new(),
            replies: HashMap::new(),
            tick_at: 0.0,
            leaves: None,
            taken: 0,
        }
    }

    fn want(&mut self, want: OwnershipRequest, awaited: Awaited) -> u64 {
        let number = self.next;
        self.next += 1;
        self.waiting.insert(number, awaited);
        if let Some(port) = &self.port {
            port.request(number, want);
        }
        number
    }

    fn lease_ms(&self) -> f64 {
        self.port.as_ref().map_or(0.0, |port| port.lease_ms())
    }

    /// The notice to leave has come.
    pub fn leaves_by(&mut self, by: f64) {
        self.leaves = Some(by);
    }

    /// All is answered, and this process ends.
    pub fn leave(&mut self) {
        if let Some(port) = self.port.take() {
            port.release_all();
        }
    }

    /// KeyedRequest that runs elsewhere is waited for from now on.
    fn waits(
        &mut self,
        now: f64,
        mark: &IdempotencyKey,
        (key, sign): (&[u8], u64),
        window_ms: f64,
    ) -> &mut Elsewhere {
        self.elsewhere
            .entry(mark.clone())
            .or_insert_with(|| Elsewhere {
                key: key.to_vec(),
                sign,
                polling: false,
                at: now + POLL_MS,
                nobodys: None,
                until: now + window_ms,
                backs: Vec::new(),
            })
    }
}

fn hexadecimal(key: &[u8]) -> String {
    key.iter()
        .fold(String::with_capacity(2 * key.len()), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}

impl Tasks {
    /// What would be kept of a task under this mark, if tasks of its stage are.
    pub(crate) fn keeps(
        &self,
        mark: &IdempotencyKey,
        tenant: &str,
        (left_ms, hint_ms, kb): (f64, Option<f64>, f64),
        body: &[u8],
    ) -> Option<Kept> {
        let port = self.ownership.port.as_ref()?;
        let told = &self.settings.decisions.classes[mark.class];
        if told.idempotency != Idempotency::Keyed || port.replicates_class(mark.class).is_none() {
            return None;
        }
        let key = [
            self.settings.class_names[mark.class].as_bytes(),
            tenant.as_bytes(),
            &mark.bytes,
        ]
        .join(&0);
        let by = self.now + left_ms.clamp(0.0, told.deadline_ms.max(0.0));
        let due = (self.now + told.deadline_ms).max(by);
        let (claim, hint_ms) = (Claim::None, hint_ms.unwrap_or(0.0));
        let (sign, fences, orphan) = (port.body_digest(body), port.sends_fences(), false);
        Some(Kept {
            key,
            sign,
            claim,
            fences,
            orphan,
            by,
            due,
            hint_ms,
            kb,
        })
    }

    /// Asks what is known of a task, which waits for that.
    pub(crate) fn look(&mut self, request: Request, kept: &Kept) {
        let way = request.route();
        if self.ownership.parked.contains_key(&way) {
            self.counters.requests_duplicate.add();
            return request.client.discard_request();
        }
        if self.ownership.waiting.len() >= MOST_WAITING {
            self.counters.requests_overloaded.add();
            return request
                .client
                .clone()
                .answer(request.request, Reply::Overloaded);
        }
        let Some(mark) = request.head.idempotency_key.clone() else {
            return;
        };
        let (key, sign, since) = (kept.key.clone(), kept.sign, self.now);
        let want = OwnershipRequest::Lookup(key.clone(), sign);
        let awaited = Awaited::Look {
            request: Box::new(request),
            mark,
            key,
            sign,
            since,
        };
        let number = self.ownership.want(want, awaited);
        self.ownership.parked.insert(way, number);
    }

    /// Nobody waits any more for requests that are parked.
    pub(crate) fn left_parked(&mut self, which: impl Fn(ResponseRoute) -> bool) {
        let numbers: Vec<u64> = self
            .ownership
            .parked
            .iter()
            .filter(|(way, _)| which(**way))
            .map(|(_, &number)| number)
            .collect();
        for number in numbers {
            if let Some(request) = self.unpark(number) {
                request
                    .client
                    .clone()
                    .answer(request.request, Reply::CallerGone);
            }
        }
    }

    fn unpark(&mut self, number: u64) -> Option<Box<Request>> {
        let Some(Awaited::Look { request, .. }) = self.ownership.waiting.remove(&number) else {
            return None;
        };
        self.ownership.parked.remove(&request.route());
        if let Some(port) = &self.ownership.port {
            port.cancel(number);
        }
        Some(request)
    }

    /// Whether a task whose turn it is starts now. One that is not this process's yet is claimed first.
    pub(crate) fn may_start(&mut self, task: Handle) -> bool {
        let facts = self.settings.clone();
        let now = self.now;
        let Some(slot) = self.slot(task) else {
            return false;
        };
        let (who, id, stage, body) = (slot.number, slot.id, slot.class, slot.body.clone());
        let Some(kept) = &mut slot.ownership else {
            return true;
        };
        match kept.claim {
            Claim::None => {}
            Claim::Held(_) => return true,
            Claim::Asked(_) | Claim::Elsewhere => return false,
        }
        let work = KeyedRequest {
            key: kept.key.clone(),
            class: facts.class_names[stage].clone(),
            execution_id: id.to_vec(),
            body_digest: kept.sign,
            body,
            deadline_ms: (kept.due - now).max(0.0),
            retry_window_ms: facts.decisions.classes[stage]
                .retry_window_ms
                .clamp(0.0, 9e8),
            hint_ms: kept.hint_ms.clamp(0.0, 9e8),
            kb: kept.kb,
            fenced: false,
        };
        let Some(port) = &self.ownership.port else {
            return true;
        };
        let work = KeyedRequest {
            fenced: port.replicates_class(stage).unwrap_or(false),
            ..work
        };
        let number = self
            .ownership
            .want(OwnershipRequest::Claim(work), Awaited::Claim { who, since: now });
        if let Some(kept) = self.slot(task).and_then(|slot| slot.ownership.as_mut()) {
            kept.claim = Claim::Asked(number);
        }
        false
    }

    /// The fence that goes with a call of this task, if one does; an error where it must not be made now.
    pub(crate) fn fence_of(&mut self, task: Handle) -> Result<Option<(String, u64)>, ()> {
        let Some(kept) = self.slot(task).and_then(|slot| slot.ownership.as_ref()) else {
            return Ok(None);
        };
        let (Some(_), key) = (kept.held(), hexadecimal(&kept.key)) else {
            return Ok(None);
        };
        let fence = kept.fence();
        let may = self.ownership.port.as_ref().is_some_and(|port| port.may_act());
        if !may && !failpoint::is_active(Failpoint::Lease) {
            return Err(());
        }
        Ok(fence.map(|fence| (key, fence)))
    }

    /// A run has ended with a result. What others keep waits for that to be kept: its answer is no longer this task's.
    pub(crate) fn outcome(&mut self, task: Handle, result: &Arc<[u8]>) {
        let Some(slot) = self.slot(task) else { return };
        let Some(kept) = slot.ownership.take_if(|kept| kept.held().is_some()) else {
            return;
        };
        let (Some(fence), Some(mark), who) = (kept.held(), slot.idempotency_key.clone(), slot.number) else {
            return;
        };
        let mut back = None;
        if failpoint::is_active(Failpoint::Outcome) {
            if self.answer_served(task, result.clone()) {
                self.counters.tasks_served.add();
            }
        } else {
            slot.idempotency_key = None;
            back = slot.back.take();
        }
        if let Some((client, request)) = &back {
            self.by_route.remove(&ResponseRoute {
                connection: client.connection_id(),
                request: *request,
            });
        }
        self.ownership.taken -= usize::from(kept.orphan);
        let Kept { key, sign, by, .. } = kept;
        let want = OwnershipRequest::Complete(key.clone(), fence, Some(result.to_vec()));
        let ended = Ended {
            mark,
            who,
            key,
            sign,
            result: result.clone(),
            back,
            by,
        };
        self.ownership.want(want, Awaited::Outcome(Box::new(ended)));
    }

    /// A run is over without a result that could be given, or nothing was started.
    pub(crate) fn over_without(&mut self, task: Handle, never: bool) {
        let Some(slot) = self.slot(task) else { return };
        let Some(kept) = slot.ownership.take_if(|kept| kept.held().is_some()) else {
            return;
        };
        self.ownership.taken -= usize::from(kept.orphan);
        let Some(fence) = kept.held() else { return };
        if never {
            if let Some(port) = &self.ownership.port {
                port.claim_unused(kept.key, fence);
            }
        } else {
            self.ownership
                .want(OwnershipRequest::Complete(kept.key, fence, None), Awaited::Told);
        }
    }

    /// The module is done with a task. One that was started and whose end nobody saw has ended without a result, as it
    /// has for whoever repeats it here; while this process leaves, others may do better.
    pub(crate) fn released(&mut self, task: Handle) {
        let Some(kept) = self.slot(task).and_then(|slot| slot.ownership.take()) else {
            return;
        };
        self.ownership.taken -= usize::from(kept.orphan);
        if let (Some(fence), None) = (kept.held(), self.ownership.leaves) {
            self.ownership
                .want(OwnershipRequest::Complete(kept.key, fence, None), Awaited::Told);
        }
    }

    /// A held task that this process rejects as it leaves is passed on instead; its caller waits for whoever takes it.
    pub(crate) fn pass_on(&mut self, task: Handle, last: bool, stay_away_ms: f64) -> bool {
        if self.ownership.leaves.is_none() {
            return false;
        }
        let (facts, now) = (self.settings.clone(), self.now);
        let Some(port) = self.ownership.port.clone() else {
            return false;
        };
        let Some(slot) = self.slot(task) else {
            return false;
        };
        let Some(kept) = slot
            .ownership
            .as_ref()
            .filter(|kept| kept.claim == Claim::None && !kept.orphan)
        else {
            return false;
        };
        let (Some(mark), Some(back)) = (slot.idempotency_key.clone(), slot.back.take()) else {
            return false;
        };
        let (key, sign, stage) = (kept.key.clone(), kept.sign, slot.class);
        let work = KeyedRequest {
            key: key.clone(),
            class: facts.class_names[stage].clone(),
            execution_id: slot.id.to_vec(),
            body_digest: sign,
            body: slot.body.clone(),
            deadline_ms: (kept.due - now).max(0.0),
            retry_window_ms: facts.decisions.classes[stage]
                .retry_window_ms
                .clamp(0.0, 9e8),
            hint_ms: kept.hint_ms.clamp(0.0, 9e8),
            kb: kept.kb,
            fenced: port.replicates_class(stage).unwrap_or(false),
        };
        slot.idempotency_key = None;
        let serial = slot.number;
        self.by_route.remove(&ResponseRoute {
            connection: back.0.connection_id(),
            request: back.1,
        });
        let waiting = self.idempotency.forget(&mark, serial);
        self.notify_joined(waiting, None);
        let reply = Reply::Rejected {
            is_final: last,
            retry_after_ms: stay_away_ms as u64,
        };
        self.ownership.want(
            OwnershipRequest::HandOver(work),
            Awaited::Pass {
                mark,
                key,
                sign,
                back,
                reply,
            },
        );
        true
    }

    /// Whether a task goes on whose caller has left: what is kept and started, as its repeat gets its result anywhere.
    pub(crate) fn goes_on(&mut self, task: Handle) -> bool {
        let kept = self.slot(task).and_then(|slot| slot.ownership.as_ref());
        kept.is_some_and(|kept| kept.held().is_some())
    }

    /// Tasks that are kept, whose callers go.
    fn unanswered(&self) -> Vec<(Handle, bool)> {
        let now = self.now;
        let late = |slot: &Slot| {
            let kept = slot
                .ownership
                .as_ref()
                .filter(|kept| slot.back.is_some() && now > kept.by - BEFORE_MS)?;
            Some((
                self.by_number.get(&slot.number).copied()?,
                matches!(kept.claim, Claim::Held(_) | Claim::Elsewhere),
            ))
        };
        self.slots.iter().flatten().filter_map(late).collect()
    }

    /// Whether a task that waited in vain for what runs elsewhere is to hear something of its own; it has, then.
    pub(crate) fn heard_in_vain(&mut self, task: Handle) -> bool {
        let Some(who) = self.slot(task).map(|slot| slot.number) else {
            return false;
        };
        let Some(reply) = self.ownership.replies.remove(&who) else {
            return false;
        };
        self.answer_counted(task, reply);
        true
    }

    fn answer_counted(&mut self, task: Handle, reply: Reply) {
        let counters = self.counters.clone();
        let count = match &reply {
            Reply::Rejected { .. } => &counters.tasks_rejected,
            Reply::Unknown { .. } => &counters.tasks_unknown,
            _ => &counters.tasks_failed,
        };
        if self.answer(task, reply) {
            count.add();
        }
    }

    /// This process takes over what some here waited for: they wait for its run now.
    pub(crate) fn rejoin(&mut self, mark: &IdempotencyKey, waited: Vec<TaskId>) -> Vec<TaskId> {
        let Some(elsewhere) = self.ownership.elsewhere.get(mark) else {
            return waited;
        };
        if elsewhere.backs.is_empty() {
            self.ownership.elsewhere.remove(mark);
        }
        waited
            .into_iter()
            .for_each(|who| drop(self.idempotency.join(mark, who)));
        Vec::new()
    }

    /// Answers a caller whose task the module has done with.
    fn answer_back(&self, (client, request): Back, reply: Reply) {
        self.counters.tasks_open.sub();
        match &reply {
            Reply::Served(_) => self.counters.tasks_served.add(),
            Reply::Rejected { .. } => self.counters.tasks_rejected.add(),
            Reply::Unknown { .. } => self.counters.tasks_unknown.add(),
            _ => self.counters.tasks_failed.add(),
        }
        client.answer(request, reply);
    }

    /// What runs elsewhere is over, as far as this process can tell.
    fn known(&mut self, mark: &IdempotencyKey, reply: &Reply) {
        let Some(elsewhere) = self.ownership.elsewhere.remove(mark) else {
            return;
        };
        for Detached { back, ran, .. } in elsewhere.backs {
            let never = matches!(reply, Reply::Rejected { .. });
            let reply = if never && ran {
                Reply::Unknown {
                    retry_after_ms: POLL_MS as u64,
                }
            } else {
                reply.clone()
            };
            self.answer_back(back, reply);
        }
        let now = self.now;
        match reply {
            Reply::Served(result) => {
                let waiting = self
                    .idempotency
                    .complete(mark, ELSEWHERE, now, Some(result.clone()));
                self.notify_joined(waiting, Some(result));
            }
            Reply::Failed => {
                let waiting = self.idempotency.complete(mark, ELSEWHERE, now, None);
                self.notify_joined(waiting, None);
            }
            _ => {
                // Whoever asks again is told what is known then.
                let waiting = self.idempotency.forget(mark, ELSEWHERE);
                // One that the module has done with hears nothing more.
                let waits = waiting
                    .iter()
                    .filter(|who| self.by_number.contains_key(who));
                self.ownership
                    .replies
                    .extend(waits.map(|who| (*who, reply.clone())));
                self.notify_joined(waiting, None);
            }
        }
    }
}

/// What a caller hears of work that is not this process's to run.
fn reply_of(answer: &Answer, lease_ms: f64) -> Option<Reply> {
    let wait_ms = answer.ms.clamp(0.0, 60_000.0) as u64;
    Some(match answer.verdict() {
        Verdict::Completed => Reply::Served(answer.result.clone().into()),
        Verdict::Failed => Reply::Failed,
        Verdict::OutcomeUnknown => Reply::Unknown {
            retry_after_ms: wait_ms,
        },
        Verdict::RetryLater => Reply::Rejected {
            is_final: false,
            retry_after_ms: wait_ms,
        },
        Verdict::DigestMismatch => Reply::Malformed,
        Verdict::EpochEnded => Reply::Rejected {
            is_final: false,
            retry_after_ms: lease_ms as u64,
        },
        _ => return None,
    })
}

impl Engine {
    /// An answer of the keepers has come.
    pub(crate) fn kept(&mut self, number: u64, answer: Answer) {
        if let Some(Awaited::Look { request, .. }) = self.tasks.ownership.waiting.get(&number) {
            let way = request.route();
            self.tasks.ownership.parked.remove(&way);
        }
        match self.tasks.ownership.waiting.remove(&number) {
            Some(Awaited::Look {
                request,
                mark,
                key,
                sign,
                ..
            }) => {
                self.looked(*request, &mark, (&key, sign), &answer);
            }
            Some(Awaited::Poll(mark)) => self.polled(&mark, &answer),
            Some(Awaited::Claim { who, .. }) => self.claimed(who, &answer),
            Some(Awaited::Outcome(ended)) => self.outcome_kept(*ended, &answer),
            Some(Awaited::Pass {
                mark,
                key,
                sign,
                back,
                reply,
            }) => {
                let (now, by) = (
                    self.tasks.now,
                    self.tasks.ownership.leaves.unwrap_or(self.tasks.now),
                );
                match answer.verdict() {
                    Verdict::Recorded | Verdict::InProgress => {
                        let window = self.tasks.settings.decisions.classes[mark.class].retry_window_ms;
                        let elsewhere = self.tasks.ownership.waits(now, &mark, (&key, sign), window);
                        elsewhere.backs.push(Detached {
                            back,
                            by,
                            ran: false,
                        });
                    }
                    _ => {
                        let reply = reply_of(&answer, 0.0).unwrap_or(reply);
                        self.tasks.answer_back(back, reply);
                    }
                }
            }
            Some(Awaited::Told) | None => {}
        }
    }

    /// What is known of a task that the module has not seen.
    fn looked(
        &mut self,
        request: Request,
        mark: &IdempotencyKey,
        (key, sign): (&[u8], u64),
        answer: &Answer,
    ) {
        let tasks = &mut self.tasks;
        let verdict = answer.verdict();
        if matches!(
            verdict,
            Verdict::InProgress | Verdict::Completed | Verdict::Failed
        ) && !lock_is_ignored(verdict)
        {
            if tasks.idempotency.is_full() {
                tasks.counters.requests_overloaded.add();
                return request
                    .client
                    .clone()
                    .answer(request.request, Reply::Overloaded);
            }
            // Known here from now on: the module joins it as it joins any repeat.
            let window = tasks.settings.decisions.classes[mark.class].retry_window_ms;
            let local = tasks.idempotency.digest(&request.body);
            if !tasks.idempotency.is_repeat(mark, tasks.now) {
                let before = tasks.idempotency.remember(
                    mark.clone(),
                    (ELSEWHERE, local),
                    tasks.now + window,
                    None,
                );
                tasks.notify_joined(before, None);
                let now = tasks.now;
                tasks.ownership.waits(now, mark, (key, sign), window);
                if let Some(reply) = reply_of(answer, 0.0) {
                    tasks.known(mark, &reply);
                }
            }
            return self.take_in(request, true);
        }
        match reply_of(answer, tasks.ownership.lease_ms()) {
            Some(reply) if verdict != Verdict::InProgress => {
                if reply == Reply::Malformed {
                    tasks.counters.tasks_malformed.add();
                } else {
                    tasks.counters.tasks_ownership_rejected.add();
                }
                request.client.clone().answer(request.request, reply);
            }
            _ => self.take_in(request, true),
        }
    }

    fn polled(&mut self, mark: &IdempotencyKey, answer: &Answer) {
        let tasks = &mut self.tasks;
        let now = tasks.now;
        let Some(elsewhere) = tasks.ownership.elsewhere.get_mut(mark) else {
            return;
        };
        (elsewhere.polling, elsewhere.at) = (false, now + POLL_MS);
        match answer.verdict() {
            Verdict::InProgress => elsewhere.nobodys = None,
            Verdict::NotFound => {
                let since = *elsewhere.nobodys.get_or_insert(now);
                if now - since >= NOBODYS_MS {
                    // Its owner is gone, or dropped it before it started. Who waits here never ran, and may try again:
                    // it is then a first try, or joins whoever took it.
                    tasks.known(
                        mark,
                        &Reply::Rejected {
                            is_final: false,
                            retry_after_ms: 0,
                        },
                    );
                }
            }
            Verdict::Completed | Verdict::Failed | Verdict::OutcomeUnknown => {
                if let Some(reply) = reply_of(answer, 0.0) {
                    tasks.known(mark, &reply);
                }
            }
            _ => {}
        }
    }

    /// Whose a task is that the module has run.
    fn claimed(&mut self, who: TaskId, answer: &Answer) {
        let tasks = &mut self.tasks;
        let Some(port) = tasks.ownership.port.clone() else {
            return;
        };
        let (verdict, fence) = (answer.verdict(), answer.number);
        let task = tasks.by_number.get(&who).copied();
        let Some((task, slot)) =
            task.and_then(|task| Some((task, tasks.slots.get_mut(task.index())?.as_mut()?)))
        else {
            return; // its key is dropped by the owner, as nobody waits
        };
        let (waits, void) = (slot.back.is_some(), slot.must_not_start);
        let Some(kept) = &mut slot.ownership else { return };
        if lock_is_ignored(verdict) {
            kept.claim = Claim::Held(u64::MAX >> 1);
            return asterdale::Actions::start(tasks, task);
        }
        if verdict == Verdict::Granted {
            if (waits || kept.orphan) && !void && port.may_act() {
                kept.claim = Claim::Held(fence);
                if kept.orphan {
                    tasks.counters.tasks_taken_over.add();
                }
                return asterdale::Actions::start(tasks, task);
            }
            port.claim_unused(kept.key.clone(), fence);
            return self.never_started(
                task,
                Reply::Rejected {
                    is_final: false,
                    retry_after_ms: 0,
                },
            );
        }
        match verdict {
            Verdict::InProgress => {
                kept.claim = Claim::Elsewhere;
                let (key, sign, mark) = (kept.key.clone(), kept.sign, slot.idempotency_key.clone());
                let Some(mark) = mark else { return };
                let window = tasks.settings.decisions.classes[mark.class].retry_window_ms;
                if tasks.idempotency.reassign(&mark, who, ELSEWHERE) {
                    tasks.idempotency.join(&mark, who);
                    let now = tasks.now;
                    tasks.ownership.waits(now, &mark, (&key, sign), window);
                }
            }
            Verdict::Completed => {
                let result: Arc<[u8]> = answer.result.clone().into();
                kept.claim = Claim::Elsewhere;
                if tasks.answer_served(task, result.clone()) {
                    tasks.counters.tasks_joined.add();
                }
                tasks.complete_key(task, Some(&result));
                self.moot(task);
            }
            Verdict::Failed => {
                kept.claim = Claim::Elsewhere;
                tasks.answer_failed(task);
                tasks.complete_key(task, None);
                self.moot(task);
            }
            _ => {
                let reply = reply_of(answer, tasks.ownership.lease_ms());
                self.never_started(
                    task,
                    reply.unwrap_or(Reply::Rejected {
                        is_final: false,
                        retry_after_ms: 0,
                    }),
                );
            }
        }
    }

    /// Nothing of this task was started: its caller hears that, or what is known besides, and another try may run.
    fn never_started(&mut self, task: Handle, reply: Reply) {
        let tasks = &mut self.tasks;
        if let Some(kept) = tasks.slot(task).and_then(|slot| slot.ownership.as_mut()) {
            kept.claim = Claim::Elsewhere;
        }
        tasks.answer_counted(task, reply);
        asterdale::Actions::drop_idempotency_entry(tasks, task);
        self.moot(task);
    }

    fn moot(&mut self, task: Handle) {
        if let Some(server) = &mut self.server {
            task.run_ended(server, self.tasks.now, Outcome::Stale, &mut self.tasks);
        }
    }

    /// What became of an outcome that was to be kept.
    fn outcome_kept(&mut self, ended: Ended, answer: &Answer) {
        let tasks = &mut self.tasks;
        let Ended {
            mark,
            who,
            key,
            sign,
            result,
            back,
            by,
        } = ended;
        if answer.verdict() == Verdict::Fenced {
            // Another backend has taken it over: its outcome counts, and whoever waits here waits for that.
            let (now, window) = (
                tasks.now,
                tasks.settings.decisions.classes[mark.class].retry_window_ms,
            );
            if tasks.idempotency.reassign(&mark, who, ELSEWHERE) || back.is_some() {
                let elsewhere = tasks.ownership.waits(now, &mark, (&key, sign), window);
                elsewhere.backs.extend(back.map(|back| Detached {
                    back,
                    by,
                    ran: true,
                }));
            }
            return;
        }
        let now = tasks.now;
        let waiting = tasks
            .idempotency
            .complete(&mark, who, now, Some(result.clone()));
        tasks.notify_joined(waiting, Some(&result));
        if let Some(back) = back {
            tasks.answer_back(back, Reply::Served(result));
        }
    }

    /// Orphans that this process may take: they go through the module like any arrival.
    pub(crate) fn offered(&mut self, all: Vec<KeyedRequest>) {
        for work in all {
            if self.room() == 0 {
                return;
            }
            let tasks = &mut self.tasks;
            let Some(stage) = tasks
                .settings
                .class_names
                .iter()
                .position(|name| *name == work.class)
            else {
                continue;
            };
            let text = work
                .key
                .splitn(3, |byte| *byte == 0)
                .nth(2)
                .unwrap_or_default();
            let mark = IdempotencyKey {
                class: stage,
                tenant: 0,
                bytes: text.into(),
            };
            let known = tasks.idempotency.is_repeat(&mark, tasks.now);
            let waited_for = tasks.ownership.elsewhere.contains_key(&mark);
            if known && !waited_for || tasks.idempotency.is_full() {
                continue;
            }
            tasks.last_number += 1;
            let Some(id) = fresh_id(tasks.settings.decisions.seed, tasks.last_number, &work.execution_id) else {
                continue;
            };
            let sign = tasks.idempotency.digest(&work.body);
            let arrival = Arrival {
                class: stage,
                tenant: 0,
                caller: 0,
                unread_ms: 0.0,
                remaining_ms: Some(work.deadline_ms),
                cost_hint_ms: Some(work.hint_ms).filter(|ms| *ms > 0.0),
                memory_kb: work.kb.max(0.1),
                is_repeat: false,
            };
            let kept = Kept {
                key: work.key,
                sign: work.body_digest,
                claim: Claim::None,
                fences: true,
                orphan: true,
                by: tasks.now + work.deadline_ms,
                due: tasks.now + work.deadline_ms,
                hint_ms: work.hint_ms,
                kb: work.kb,
            };
            tasks.ownership.taken += 1;
            tasks.arriving = Some(Slot {
                number: tasks.last_number,
                id,
                class: stage,
                body: work.body,
                body_digest: sign,
                back: None,
                idempotency_key: Some(mark),
                caller: None,
                quota_seat: None,
                started: false,
                must_not_start: false,
                ownership: Some(kept),
                pending_call: None,
                last_command: None,
            });
            if let Some(server) = &mut self.server {
                server.receive(self.tasks.now, arrival, &mut self.tasks);
            }
        }
    }

    /// Orphans that would be taken now: as many as the cores have room for, and no more than a few each.
    fn room(&self) -> u32 {
        let tasks = &self.tasks;
        if !tasks.is_healthy || tasks.ownership.leaves.is_some() || self.server.is_none() {
            return 0;
        }
        let cores = tasks.settings.decisions.cores;
        let idle = cores * (1.0 - self.gauges.cpu.unwrap_or(1.0)).clamp(0.0, 1.0);
        let most = (TAKEN * cores - tasks.ownership.taken as f64).max(0.0);
        (TAKEN * idle).min(most).ceil().max(0.0) as u32
    }

    /// What has waited for long enough, and what is to be asked again.
    pub(crate) fn custody_tick(&mut self) {
        if self.tasks.now < self.tasks.ownership.tick_at || self.tasks.ownership.port.is_none() {
            return;
        }
        let now = self.tasks.now;
        self.tasks.ownership.tick_at = now + TICK_MS;
        let room = self.room();
        let claim_ms = CLAIM_LEASES * self.tasks.ownership.lease_ms();
        let (mut looks, mut claims) = (Vec::new(), Vec::new());
        let mut late = Vec::new();
        let Some(port) = self.tasks.ownership.port.clone() else {
            return;
        };
        port.set_takeover_capacity(room);
        for (&number, awaited) in &mut self.tasks.ownership.waiting {
            match awaited {
                Awaited::Look { since, .. } if now > *since + LOOK_MS => looks.push(number),
                Awaited::Claim { who, since } if now > *since + claim_ms => {
                    claims.push((number, *who))
                }
                Awaited::Outcome(ended) if now > ended.by - BEFORE_MS => {
                    late.extend(ended.back.take())
                }
                _ => {}
            }
        }
        for number in looks {
            if let Some(request) = self.tasks.unpark(number) {
                self.take_in(*request, true);
            }
        }
        for (number, who) in claims {
            self.tasks.ownership.waiting.remove(&number);
            port.cancel(number);
            let stay_away_ms = self.tasks.ownership.lease_ms() as u64;
            if let Some(task) = self.tasks.by_number.get(&who).copied() {
                self.never_started(
                    task,
                    Reply::Rejected {
                        is_final: false,
                        retry_after_ms: stay_away_ms,
                    },
                );
            }
        }
        for (task, started) in self.tasks.unanswered() {
            if started {
                // It goes on, and its repeat gets its result.
                let wait_ms = POLL_MS as u64;
                self.tasks.answer_counted(
                    task,
                    Reply::Unknown {
                        retry_after_ms: wait_ms,
                    },
                );
                continue;
            }
            self.tasks.answer_counted(
                task,
                Reply::Rejected {
                    is_final: false,
                    retry_after_ms: 0,
                },
            );
            if let Some(server) = &mut self.server {
                task.caller_gone(server, now, &mut self.tasks);
            }
        }
        self.look_elsewhere(now, &mut late);
        let wait_ms = POLL_MS as u64;
        late.into_iter().for_each(|back| {
            self.tasks.answer_back(
                back,
                Reply::Unknown {
                    retry_after_ms: wait_ms,
                },
            )
        });
        self.settle();
    }

    /// Looks again at what runs elsewhere; whose caller goes is answered.
    fn look_elsewhere(&mut self, now: f64, late: &mut Vec<Back>) {
        let desk = &mut self.tasks.ownership;
        let (mut looks, mut over) = (Vec::new(), Vec::new());
        for (mark, elsewhere) in &mut desk.elsewhere {
            let all = std::mem::take(&mut elsewhere.backs).into_iter();
            let (stay, go): (Vec<_>, Vec<_>) = all.partition(|one| now <= one.by - BEFORE_MS);
            elsewhere.backs = stay;
            late.extend(go.into_iter().map(|one| one.back));
            if now > elsewhere.until {
                over.push(mark.clone());
            } else if !elsewhere.polling && now >= elsewhere.at {
                elsewhere.polling = true;
                looks.push((mark.clone(), elsewhere.key.clone(), elsewhere.sign));
            }
        }
        for (mark, key, sign) in looks {
            self.tasks
                .ownership
                .want(OwnershipRequest::Lookup(key, sign), Awaited::Poll(mark));
        }
        for mark in over {
            self.tasks
                .known(&mark, &Reply::Unknown { retry_after_ms: 0 });
        }
    }
}

/// A look that finds the owner gone is taken for leave to run, where a proof plants that.
fn lock_is_ignored(verdict: Verdict) -> bool {
    failpoint::is_active(Failpoint::Lock) && verdict == Verdict::InProgress
}

/// An id that no edge node has given: of the one that ran, this process's seed and the task's number.
fn fresh_id(seed: u64, serial: TaskId, old: &[u8]) -> Option<RequestId> {
    use std::hash::Hasher as _;
    let mut hasher = siphasher::sip::SipHasher13::new_with_keys(seed, serial);
    hasher.write(old);
    format!("{:016x}", hasher.finish())
        .into_bytes()
        .try_into()
        .ok()
}
