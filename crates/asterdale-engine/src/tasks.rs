//! What the module's answers act on: the tasks with their bodies and ways back, the fingerprints, the link to
//! the runtime. Each answer of the module becomes a message here; nothing is decided.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use asterdale::parameters::Idempotency;
use asterdale::{Actions, Handle};
use asterdale_identity::{Caller, Seat};
use asterdale_parameters::Settings;
use crossbeam_channel::Sender;

use crate::counters::Counters;
use crate::idempotency::{Fate, IdempotencyTable};
use crate::identity_gate::Callers;
use crate::log::{Kind, Log};
#[cfg(feature = "hot-restart")]
use crate::message::MirroredEvent;
use crate::message::{
    request_id_text, Call, Connection, Frontends, IdempotencyKey, Reply, RequestId, ResponseRoute,
    TaskId,
};
use crate::records::Records;
use crate::runtime;

/// The last command about a task, which may be under way when the link breaks.
#[derive(Clone)]
#[cfg_attr(feature = "hot-restart", derive(serde::Serialize, serde::Deserialize))]
pub struct Sent {
    pub line: String,
    /// The gauges that were asked for next after it: their coming proves that it arrived.
    pub before: u64,
    /// It went into a link, and may have arrived.
    handed: bool,
    /// It may not have arrived, and the link by which it went is gone.
    adrift: bool,
    /// It does no harm if it arrives twice, whatever the run does meanwhile.
    harmless: bool,
}

impl Sent {
    /// Whether it went into a link, and may have arrived.
    pub fn was_handed(&self) -> bool {
        self.handed
    }

    /// Whether it can go out on a new link. A run may end, or ask for its next call, while a second copy is
    /// under way: it would run again, or get the wrong reply. Rather than that, the task waits for its due
    /// time; once it is answered a second start is void.
    pub fn can_go(&self, answered: bool) -> bool {
        !self.handed || self.harmless || answered
    }
}

/// A task that the module knows.
pub struct Slot {
    pub serial: TaskId,
    pub id: RequestId,
    pub stage: usize,
    pub body: Vec<u8>,
    /// What tells its body from others.
    pub sign: u64,
    /// The way back, until it is answered.
    pub back: Option<(Arc<dyn Connection>, u16)>,
    pub mark: Option<IdempotencyKey>,
    /// Who asked for it, and the place that it takes up, where callers are known.
    pub caller: Option<Arc<Caller>>,
    pub seat: Option<Seat>,
    /// Its run was started.
    pub started: bool,
    /// Its caller was revoked before that: it must not be.
    pub void: bool,
    /// What others keep of it.
    #[cfg(feature = "ownership")]
    pub kept: Option<crate::ownership::Kept>,
    /// The notice that its run waits at, and what the call carries.
    pub wants: Option<(u64, Vec<u8>)>,
    pub sent: Option<Sent>,
}

impl Slot {
    /// The line that has it run.
    fn start_line(&self, facts: &Settings) -> String {
        let stage = &facts.class_names[self.stage];
        #[cfg(feature = "ownership")]
        if let Some(fence) = self.kept.as_ref().and_then(crate::ownership::Kept::fence) {
            return runtime::start_fenced(&self.id, stage, &self.body, fence);
        }
        runtime::start(&self.id, stage, &self.body)
    }
}

/// What a line of the log says of a task.
#[derive(Default)]
pub struct About {
    pub id: String,
    pub stage: String,
    pub tenant: String,
}

/// The link to the runtime, as the host sees it.
pub struct Link {
    pub commands: Option<Sender<String>>,
    /// The replay after a break is not through: nothing is sent yet.
    pub replaying: bool,
    /// The runtime has said that it is up.
    pub ready: bool,
    /// The last notice read.
    pub last: u64,
    /// The number of the next gauges asked for, and of the last that came.
    pub asked: u64,
    pub came: u64,
    pub asked_at: f64,
    /// The link moves to another address by then; never, mostly.
    pub move_by: f64,
    /// Beats for which gauges are owed.
    pub silent: u32,
}

impl Default for Link {
    fn default() -> Link {
        let (commands, replaying, ready, asked_at, silent) = (None, false, false, 0.0, 0);
        let (last, asked, came, move_by) = (0, 0, 0, f64::INFINITY);
        Link {
            commands,
            replaying,
            ready,
            last,
            asked,
            came,
            asked_at,
            move_by,
            silent,
        }
    }
}

/// Everything but the decisions: what the module's answers act on.
pub struct Tasks {
    pub facts: Arc<Settings>,
    pub now: f64,
    pub wake_at: f64,
    pub slots: Vec<Option<Slot>>,
    /// Handles of the tasks that are not over, by their id and by their serial.
    pub by_id: HashMap<RequestId, Handle>,
    pub by_serial: HashMap<TaskId, Handle>,
    /// And by the connection and number of the request, while it is not answered.
    pub by_way: HashMap<ResponseRoute, Handle>,
    pub serial: TaskId,
    /// The task that is being taken, until it has a seat.
    pub arriving: Option<Slot>,
    pub fingerprints: IdempotencyTable,
    pub callers: Callers,
    /// Joins whose result is known, to be told to the module once it has returned.
    pub joined: VecDeque<(TaskId, Option<Arc<[u8]>>)>,
    /// Calls that could not be begun, likewise.
    pub not_begun: VecDeque<TaskId>,
    /// Runs that were not started, likewise.
    pub not_started: VecDeque<TaskId>,
    /// Hears of what must be known, should this process end.
    #[cfg(feature = "hot-restart")]
    pub mirror: Option<crate::message::Mirror>,
    /// Tasks that another process has started, before this one took its work back.
    #[cfg(feature = "hot-restart")]
    pub elsewhere: HashMap<RequestId, Option<(IdempotencyKey, TaskId)>>,
    /// What is asked of those who keep work in hand.
    #[cfg(feature = "ownership")]
    pub desk: crate::ownership::Desk,
    pub link: Link,
    pub records: Records,
    pub fronts: Arc<dyn Frontends>,
    pub good: bool,
    pub stored: bool,
    pub counters: Arc<Counters>,
    pub log: Log,
}

impl Tasks {
    pub fn slot(&mut self, task: Handle) -> Option<&mut Slot> {
        self.slots.get_mut(task.index())?.as_mut()
    }

    /// What a line of the log says of a task.
    pub fn about(&self, task: Handle) -> Option<About> {
        let slot = self.slots.get(task.index())?.as_ref()?;
        let tenant = slot
            .caller
            .as_ref()
            .map_or_else(String::new, |caller| caller.claims.tenant.clone());
        Some(About {
            id: request_id_text(&slot.id).to_owned(),
            stage: self.facts.class_names[slot.stage].clone(),
            tenant,
        })
    }

    /// A command about a task; one that can't be sent now goes out when the link is made again.
    pub fn command(&mut self, task: Handle, line: String, harmless: bool) {
        let before = self.link.asked;
        let handed = self.send(line.clone());
        if let Some(slot) = self.slot(task) {
            // One that no link took goes out on the next, whatever that has proven of others.
            slot.sent = Some(Sent {
                line,
                before,
                handed,
                adrift: !handed,
                harmless,
            });
        }
    }

    /// Sends a line, if there is a link that takes it.
    pub fn send(&mut self, line: String) -> bool {
        let (Some(commands), false) = (&self.link.commands, self.link.replaying) else {
            return false;
        };
        let sent = commands.try_send(line).is_ok();
        if !sent {
            self.link.commands = None; // it reads nothing: the link ends, and is made again
        }
        sent
    }

    /// Sends again what may not have arrived. On a new link that is all that is not proven to have; what can't
    /// go then is adrift, and goes once its task is answered.
    pub fn send_again(&mut self, new_link: bool) {
        for index in 0..self.slots.len() {
            let Some(slot) = &mut self.slots[index] else {
                continue;
            };
            let answered = slot.back.is_none();
            let Some(sent) = &mut slot.sent else { continue };
            sent.adrift |= new_link && sent.before >= self.link.came;
            if !sent.adrift || !sent.can_go(answered) {
                continue;
            }
            let line = sent.line.clone();
            if self.send(line) {
                if let Some(sent) = self.slots[index]
                    .as_mut()
                    .and_then(|slot| slot.sent.as_mut())
                {
                    (sent.handed, sent.adrift, sent.before) = (true, false, self.link.asked);
                }
            }
        }
        if new_link {
            self.link.came = self.link.asked;
        }
    }

    /// The one place where a task that is still waited for is answered. `false` if it is not.
    pub fn answer(&mut self, task: Handle, reply: Reply) -> bool {
        let Some((client, request)) = self.slot(task).and_then(|slot| slot.back.take()) else {
            return false;
        };
        self.by_way.remove(&ResponseRoute {
            connection: client.connection_id(),
            request,
        });
        self.counters.tasks_open.sub();
        client.answer(request, reply);
        true
    }

    pub fn finished(&mut self, task: Handle, body: Arc<[u8]>) -> bool {
        self.answer(task, Reply::Served(body))
    }

    pub fn failed(&mut self, task: Handle) {
        if self.answer(task, Reply::Failed) {
            self.counters.tasks_failed.add();
        }
    }

    /// Those who waited for a task whose end is known now.
    pub fn tell(&mut self, waiting: Vec<TaskId>, result: Option<&Arc<[u8]>>) {
        self.joined
            .extend(waiting.into_iter().map(|who| (who, result.cloned())));
    }

    /// A remembered task has ended.
    pub fn ended(&mut self, task: Handle, result: Option<&Arc<[u8]>>) {
        let now = self.now;
        let Some(slot) = self.slot(task) else { return };
        let (serial, Some(mark)) = (slot.serial, slot.mark.clone()) else {
            return;
        };
        #[cfg(feature = "hot-restart")]
        if let Some(mirror) = &mut self.mirror {
            mirror(MirroredEvent::TaskEnded {
                key: mark.clone(),
                owner: serial,
                result: result.cloned(),
            });
        }
        let waiting = self.fingerprints.ended(&mark, serial, now, result.cloned());
        self.tell(waiting, result);
    }

    /// A run has ended that another process had started: whoever repeats it gets its result.
    #[cfg(feature = "hot-restart")]
    pub fn ended_elsewhere(&mut self, id: &RequestId, void: bool, result: Option<&Arc<[u8]>>) {
        let Some(Some((mark, owner))) = self.elsewhere.remove(id) else {
            return;
        };
        let waiting = if void {
            self.fingerprints.forget(&mark, owner)
        } else {
            self.fingerprints
                .ended(&mark, owner, self.now, result.cloned())
        };
        self.tell(waiting, result);
    }
}

impl Actions for Tasks {
    fn accepted(&mut self, task: Handle) {
        if self.slots.len() <= task.index() {
            self.slots.resize_with(task.index() + 1, || None);
        }
        if let Some(slot) = self.arriving.take() {
            self.by_id.insert(slot.id, task);
            self.by_serial.insert(slot.serial, task);
            if let Some((client, request)) = &slot.back {
                self.by_way.insert(
                    ResponseRoute {
                        connection: client.connection_id(),
                        request: *request,
                    },
                    task,
                );
            }
            self.slots[task.index()] = Some(slot);
        }
    }
    fn release(&mut self, task: Handle) {
        static UNANSWERED: Kind = Kind::new();
        #[cfg(feature = "ownership")]
        self.released(task);
        self.ended(task, None);
        if self.slot(task).is_some_and(|slot| slot.back.is_some()) {
            if self.log.allows(&UNANSWERED) {
                let about = self.about(task).unwrap_or_default();
                slog::error!(self.log.lines, "host: a task was released without an answer";
                    "id" => about.id, "stage" => about.stage, "tenant" => about.tenant);
            }
            self.failed(task);
        }
        if let Some(slot) = self.slots.get_mut(task.index()).and_then(Option::take) {
            self.by_id.remove(&slot.id);
            self.by_serial.remove(&slot.serial);
            self.callers.leave(slot.seat);
        }
    }
    fn start(&mut self, task: Handle) {
        let facts = self.facts.clone();
        let Some(slot) = self.slot(task) else { return };
        if slot.void {
            let serial = slot.serial;
            return self.not_started.push_back(serial);
        }
        #[cfg(feature = "ownership")]
        if slot.kept.is_some() && !self.may_start(task) {
            return;
        }
        let Some(slot) = self.slot(task) else { return };
        slot.started = true;
        let line = slot.start_line(&facts);
        let harmless = facts.decisions.classes[slot.stage].idempotency == Idempotency::Idempotent;
        #[cfg(feature = "hot-restart")]
        if let (false, Some(mirror)) = (harmless, &mut self.mirror) {
            if let Some(slot) = self.slots.get(task.index()).and_then(Option::as_ref) {
                let mark = slot.mark.clone().map(|mark| (mark, slot.serial));
                mirror(MirroredEvent::TaskStarted {
                    id: slot.id,
                    key: mark,
                });
            }
        }
        self.counters.runs_started.add();
        self.command(task, line, harmless);
    }
    fn stop(&mut self, _: Handle) {
        // The runtime has no such command: it ends a run at its next call, once its answer is out.
    }
    fn start_call(&mut self, task: Handle, patience_ms: f64) {
        let Some(slot) = self.slot(task) else { return };
        let Some((_, body)) = &slot.wants else { return };
        let (who, id, body, stage) = (slot.serial, slot.id, body.clone(), slot.stage);
        #[cfg(feature = "ownership")]
        let fence = match self.fence_of(task) {
            Ok(fence) => fence,
            Err(()) => return self.not_begun.push_back(who),
        };
        let longest = self.facts.decisions.classes[stage].deadline_ms;
        let patience = if patience_ms.is_finite() && patience_ms > 0.0 {
            patience_ms
        } else {
            longest
        };
        let patience = Duration::from_micros((patience * 1000.0) as u64);
        if !self.records.call(Call {
            task: who,
            id,
            body,
            requested_at: Instant::now(),
            timeout: patience,
            #[cfg(feature = "ownership")]
            fence,
        }) {
            self.not_begun.push_back(who);
        }
    }
    fn skip_call(&mut self, task: Handle) {
        let Some(slot) = self.slot(task) else { return };
        let Some((no, _)) = slot.wants.take() else {
            return;
        };
        let line = runtime::omit(&slot.id, no);
        self.counters.calls_skipped.add();
        self.command(task, line, true);
    }
    fn join_earlier_attempt(&mut self, task: Handle) {
        let Some(slot) = self.slot(task) else { return };
        let (who, mark) = (slot.serial, slot.mark.clone());
        let fate = mark.map_or(Fate::Failed, |mark| self.fingerprints.join(&mark, who));
        match fate {
            Fate::Open => {}
            Fate::Passed(result) => self.joined.push_back((who, Some(result))),
            Fate::Failed => self.joined.push_back((who, None)),
        }
    }
    fn retain_idempotency_entry(&mut self, task: Handle, for_ms: f64) {
        let until = self.now + for_ms;
        let facts = self.facts.clone();
        let Some(slot) = self.slot(task) else { return };
        let Some(mark) = slot.mark.clone() else {
            return;
        };
        let restartable =
            facts.decisions.classes[slot.stage].idempotency == Idempotency::Idempotent;
        let (serial, sign) = (slot.serial, slot.sign);
        if restartable && self.fingerprints.is_full() {
            return; // a repeat of it runs by itself
        }
        #[cfg(feature = "hot-restart")]
        if let (false, Some(mirror)) = (restartable, &mut self.mirror) {
            mirror(MirroredEvent::KeyRetained {
                key: mark.clone(),
                owner: (serial, sign),
                until_ms: until,
            });
        }
        #[cfg(feature = "ownership")]
        let known_by = mark.clone();
        let before =
            self.fingerprints
                .remember(mark, (serial, sign), until, restartable.then_some(for_ms));
        #[cfg(feature = "ownership")]
        let before = self.rejoin(&known_by, before);
        self.tell(before, None);
    }
    fn drop_idempotency_entry(&mut self, task: Handle) {
        let Some(slot) = self.slot(task) else { return };
        let (serial, id, Some(mark)) = (slot.serial, slot.id, slot.mark.clone()) else {
            return;
        };
        #[cfg(feature = "hot-restart")]
        if self.elsewhere.contains_key(&id) {
            return; // another process has started it: it may have run
        }
        #[cfg(feature = "hot-restart")]
        if let Some(mirror) = &mut self.mirror {
            mirror(MirroredEvent::KeyDropped {
                key: mark.clone(),
                owner: serial,
            });
        }
        let _ = id;
        let waiting = self.fingerprints.forget(&mark, serial);
        self.tell(waiting, None);
    }
    fn reject(&mut self, task: Handle, last: bool, stay_away_ms: f64) {
        #[cfg(feature = "ownership")]
        if self.pass_on(task, last, stay_away_ms) {
            return;
        }
        if self.answer(
            task,
            Reply::Rejected {
                is_final: last,
                retry_after_ms: stay_away_ms as u64,
            },
        ) {
            self.counters.tasks_rejected.add();
        }
    }
    fn fail(&mut self, task: Handle) {
        self.failed(task);
    }
    fn publish_capacity_hint(&mut self, _: f64) {
        // The protocol has no field for a free value.
    }
    fn set_health(&mut self, good: bool, stored: bool) {
        (self.good, self.stored) = (good, stored);
    }
    fn set_idle_timeout(&mut self, after_ms: f64) {
        self.fronts.close_idle(after_ms);
    }
    fn schedule_tick(&mut self, at_ms: f64) {
        self.wake_at = at_ms;
    }
}
