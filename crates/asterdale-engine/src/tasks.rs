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
use crate::idempotency::{EntryState, IdempotencyTable};
use crate::identity_gate::IdentityGate;
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
pub struct SentCommand {
    pub line: String,
    /// The gauges that were asked for next after it: their coming proves that it arrived.
    #[cfg_attr(feature = "hot-restart", serde(rename = "before"))]
    pub next_gauges: u64,
    /// It went into a link, and may have arrived.
    #[cfg_attr(feature = "hot-restart", serde(rename = "handed"))]
    handed_to_link: bool,
    /// It may not have arrived, and the link by which it went is gone.
    #[cfg_attr(feature = "hot-restart", serde(rename = "adrift"))]
    needs_resend: bool,
    /// It does no harm if it arrives twice, whatever the run does meanwhile.
    #[cfg_attr(feature = "hot-restart", serde(rename = "harmless"))]
    idempotent: bool,
}

impl SentCommand {
    /// Whether it went into a link, and may have arrived.
    pub fn may_have_arrived(&self) -> bool {
        self.handed_to_link
    }

    /// Whether it can go out on a new link. A run may end, or ask for its next call, while a second copy is
    /// under way: it would run again, or get the wrong reply. Rather than that, the task waits for its due
    /// time; once it is answered a second start is void.
    pub fn may_be_resent(&self, answered: bool) -> bool {
        !self.handed_to_link || self.idempotent || answered
    }
}

/// A task that the module knows.
pub struct Slot {
    pub number: TaskId,
    pub id: RequestId,
    pub class: usize,
    pub body: Vec<u8>,
    /// What tells its body from others.
    pub body_digest: u64,
    /// The way back, until it is answered.
    pub back: Option<(Arc<dyn Connection>, u16)>,
    pub idempotency_key: Option<IdempotencyKey>,
    /// Who asked for it, and the place that it takes up, where callers are known.
    pub caller: Option<Arc<Caller>>,
    pub quota_seat: Option<Seat>,
    /// Its run was started.
    pub started: bool,
    /// Its caller was revoked before that: it must not be.
    pub must_not_start: bool,
    /// What others keep of it.
    #[cfg(feature = "ownership")]
    pub ownership: Option<crate::ownership::Kept>,
    /// The notice that its run waits at, and what the call carries.
    pub pending_call: Option<(u64, Vec<u8>)>,
    pub last_command: Option<SentCommand>,
}

impl Slot {
    /// The line that has it run.
    fn start_line(&self, facts: &Settings) -> String {
        let stage = &facts.class_names[self.class];
        #[cfg(feature = "ownership")]
        if let Some(fence) = self.ownership.as_ref().and_then(crate::ownership::Kept::fence) {
            return runtime::start_fenced(&self.id, stage, &self.body, fence);
        }
        runtime::start(&self.id, stage, &self.body)
    }
}

/// What a line of the log says of a task.
#[derive(Default)]
pub struct LogFields {
    pub id: String,
    pub class: String,
    pub tenant: String,
}

/// The link to the runtime, as the host sees it.
pub struct RuntimeLink {
    pub commands: Option<Sender<String>>,
    /// The replay after a break is not through: nothing is sent yet.
    pub is_replaying: bool,
    /// The runtime has said that it is up.
    pub is_ready: bool,
    /// The last notice read.
    pub last_notice: u64,
    /// The number of the next gauges asked for, and of the last that came.
    pub gauges_requested: u64,
    pub gauges_received: u64,
    pub gauges_requested_at: f64,
    /// The link moves to another address by then; never, mostly.
    pub move_deadline: f64,
    /// Beats for which gauges are owed.
    pub silent_ticks: u32,
}

impl Default for RuntimeLink {
    fn default() -> RuntimeLink {
        let (commands, replaying, ready, asked_at, silent) = (None, false, false, 0.0, 0);
        let (last, asked, came, move_by) = (0, 0, 0, f64::INFINITY);
        RuntimeLink {
            commands,
            is_replaying: replaying,
            is_ready: ready,
            last_notice: last,
            gauges_requested: asked,
            gauges_received: came,
            gauges_requested_at: asked_at,
            move_deadline: move_by,
            silent_ticks: silent,
        }
    }
}

/// Everything but the decisions: what the module's answers act on.
pub struct Tasks {
    pub settings: Arc<Settings>,
    pub now: f64,
    pub next_tick_at: f64,
    pub slots: Vec<Option<Slot>>,
    /// Handles of the tasks that are not over, by their id and by their serial.
    pub by_id: HashMap<RequestId, Handle>,
    pub by_number: HashMap<TaskId, Handle>,
    /// And by the connection and number of the request, while it is not answered.
    pub by_route: HashMap<ResponseRoute, Handle>,
    pub last_number: TaskId,
    /// The task that is being taken, until it has a seat.
    pub arriving: Option<Slot>,
    pub idempotency: IdempotencyTable,
    pub identity_gate: IdentityGate,
    /// Joins whose result is known, to be told to the module once it has returned.
    pub joined_results: VecDeque<(TaskId, Option<Arc<[u8]>>)>,
    /// Calls that could not be begun, likewise.
    pub calls_not_made: VecDeque<TaskId>,
    /// Runs that were not started, likewise.
    pub runs_not_started: VecDeque<TaskId>,
    /// Hears of what must be known, should this process end.
    #[cfg(feature = "hot-restart")]
    pub mirror: Option<crate::message::Mirror>,
    /// Tasks that another process has started, before this one took its work back.
    #[cfg(feature = "hot-restart")]
    pub started_by_successor: HashMap<RequestId, Option<(IdempotencyKey, TaskId)>>,
    /// What is asked of those who keep work in hand.
    #[cfg(feature = "ownership")]
    pub ownership: crate::ownership::Desk,
    pub runtime: RuntimeLink,
    pub records: Records,
    pub frontends: Arc<dyn Frontends>,
    pub is_healthy: bool,
    pub health_is_cached: bool,
    pub counters: Arc<Counters>,
    pub log: Log,
}

impl Tasks {
    pub fn slot(&mut self, task: Handle) -> Option<&mut Slot> {
        self.slots.get_mut(task.index())?.as_mut()
    }

    /// What a line of the log says of a task.
    pub fn log_fields(&self, task: Handle) -> Option<LogFields> {
        let slot = self.slots.get(task.index())?.as_ref()?;
        let tenant = slot
            .caller
            .as_ref()
            .map_or_else(String::new, |caller| caller.claims.tenant.clone());
        Some(LogFields {
            id: request_id_text(&slot.id).to_owned(),
            class: self.settings.class_names[slot.class].clone(),
            tenant,
        })
    }

    /// A command about a task; one that can't be sent now goes out when the link is made again.
    pub fn send_command(&mut self, task: Handle, line: String, harmless: bool) {
        let before = self.runtime.gauges_requested;
        let handed = self.send(line.clone());
        if let Some(slot) = self.slot(task) {
            // One that no link took goes out on the next, whatever that has proven of others.
            slot.last_command = Some(SentCommand {
                line,
                next_gauges: before,
                handed_to_link: handed,
                needs_resend: !handed,
                idempotent: harmless,
            });
        }
    }

    /// Sends a line, if there is a link that takes it.
    pub fn send(&mut self, line: String) -> bool {
        let (Some(commands), false) = (&self.runtime.commands, self.runtime.is_replaying) else {
            return false;
        };
        let sent = commands.try_send(line).is_ok();
        if !sent {
            self.runtime.commands = None; // it reads nothing: the link ends, and is made again
        }
        sent
    }

    /// Sends again what may not have arrived. On a new link that is all that is not proven to have; what can't
    /// go then is adrift, and goes once its task is answered.
    pub fn resend(&mut self, new_link: bool) {
        for index in 0..self.slots.len() {
            let Some(slot) = &mut self.slots[index] else {
                continue;
            };
            let answered = slot.back.is_none();
            let Some(sent) = &mut slot.last_command else { continue };
            sent.needs_resend |= new_link && sent.next_gauges >= self.runtime.gauges_received;
            if !sent.needs_resend || !sent.may_be_resent(answered) {
                continue;
            }
            let line = sent.line.clone();
            if self.send(line) {
                if let Some(sent) = self.slots[index]
                    .as_mut()
                    .and_then(|slot| slot.last_command.as_mut())
                {
                    (sent.handed_to_link, sent.needs_resend, sent.next_gauges) = (true, false, self.runtime.gauges_requested);
                }
            }
        }
        if new_link {
            self.runtime.gauges_received = self.runtime.gauges_requested;
        }
    }

    /// The one place where a task that is still waited for is answered. `false` if it is not.
    pub fn answer(&mut self, task: Handle, reply: Reply) -> bool {
        let Some((client, request)) = self.slot(task).and_then(|slot| slot.back.take()) else {
            return false;
        };
        self.by_route.remove(&ResponseRoute {
            connection: client.connection_id(),
            request,
        });
        self.counters.tasks_open.sub();
        client.answer(request, reply);
        true
    }

    pub fn answer_served(&mut self, task: Handle, body: Arc<[u8]>) -> bool {
        self.answer(task, Reply::Served(body))
    }

    pub fn answer_failed(&mut self, task: Handle) {
        if self.answer(task, Reply::Failed) {
            self.counters.tasks_failed.add();
        }
    }

    /// Those who waited for a task whose end is known now.
    pub fn notify_joined(&mut self, waiting: Vec<TaskId>, result: Option<&Arc<[u8]>>) {
        self.joined_results
            .extend(waiting.into_iter().map(|who| (who, result.cloned())));
    }

    /// A remembered task has ended.
    pub fn complete_key(&mut self, task: Handle, result: Option<&Arc<[u8]>>) {
        let now = self.now;
        let Some(slot) = self.slot(task) else { return };
        let (serial, Some(mark)) = (slot.number, slot.idempotency_key.clone()) else {
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
        let waiting = self.idempotency.complete(&mark, serial, now, result.cloned());
        self.notify_joined(waiting, result);
    }

    /// A run has ended that another process had started: whoever repeats it gets its result.
    #[cfg(feature = "hot-restart")]
    pub fn complete_successor_run(&mut self, id: &RequestId, void: bool, result: Option<&Arc<[u8]>>) {
        let Some(Some((mark, owner))) = self.started_by_successor.remove(id) else {
            return;
        };
        let waiting = if void {
            self.idempotency.forget(&mark, owner)
        } else {
            self.idempotency
                .complete(&mark, owner, self.now, result.cloned())
        };
        self.notify_joined(waiting, result);
    }
}

impl Actions for Tasks {
    fn accepted(&mut self, task: Handle) {
        if self.slots.len() <= task.index() {
            self.slots.resize_with(task.index() + 1, || None);
        }
        if let Some(slot) = self.arriving.take() {
            self.by_id.insert(slot.id, task);
            self.by_number.insert(slot.number, task);
            if let Some((client, request)) = &slot.back {
                self.by_route.insert(
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
        self.complete_key(task, None);
        if self.slot(task).is_some_and(|slot| slot.back.is_some()) {
            if self.log.allows(&UNANSWERED) {
                let about = self.log_fields(task).unwrap_or_default();
                slog::error!(self.log.lines, "host: a task was released without an answer";
                    "id" => about.id, "stage" => about.class, "tenant" => about.tenant);
            }
            self.answer_failed(task);
        }
        if let Some(slot) = self.slots.get_mut(task.index()).and_then(Option::take) {
            self.by_id.remove(&slot.id);
            self.by_number.remove(&slot.number);
            self.identity_gate.release_seat(slot.quota_seat);
        }
    }
    fn start(&mut self, task: Handle) {
        let facts = self.settings.clone();
        let Some(slot) = self.slot(task) else { return };
        if slot.must_not_start {
            let serial = slot.number;
            return self.runs_not_started.push_back(serial);
        }
        #[cfg(feature = "ownership")]
        if slot.ownership.is_some() && !self.may_start(task) {
            return;
        }
        let Some(slot) = self.slot(task) else { return };
        slot.started = true;
        let line = slot.start_line(&facts);
        let harmless = facts.decisions.classes[slot.class].idempotency == Idempotency::Idempotent;
        #[cfg(feature = "hot-restart")]
        if let (false, Some(mirror)) = (harmless, &mut self.mirror) {
            if let Some(slot) = self.slots.get(task.index()).and_then(Option::as_ref) {
                let mark = slot.idempotency_key.clone().map(|mark| (mark, slot.number));
                mirror(MirroredEvent::TaskStarted {
                    id: slot.id,
                    key: mark,
                });
            }
        }
        self.counters.runs_started.add();
        self.send_command(task, line, harmless);
    }
    fn stop(&mut self, _: Handle) {
        // The runtime has no such command: it ends a run at its next call, once its answer is out.
    }
    fn start_call(&mut self, task: Handle, patience_ms: f64) {
        let Some(slot) = self.slot(task) else { return };
        let Some((_, body)) = &slot.pending_call else { return };
        let (who, id, body, stage) = (slot.number, slot.id, body.clone(), slot.class);
        #[cfg(feature = "ownership")]
        let fence = match self.fence_of(task) {
            Ok(fence) => fence,
            Err(()) => return self.calls_not_made.push_back(who),
        };
        let longest = self.settings.decisions.classes[stage].deadline_ms;
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
            self.calls_not_made.push_back(who);
        }
    }
    fn skip_call(&mut self, task: Handle) {
        let Some(slot) = self.slot(task) else { return };
        let Some((no, _)) = slot.pending_call.take() else {
            return;
        };
        let line = runtime::omit(&slot.id, no);
        self.counters.calls_skipped.add();
        self.send_command(task, line, true);
    }
    fn join_earlier_attempt(&mut self, task: Handle) {
        let Some(slot) = self.slot(task) else { return };
        let (who, mark) = (slot.number, slot.idempotency_key.clone());
        let fate = mark.map_or(EntryState::Failed, |mark| self.idempotency.join(&mark, who));
        match fate {
            EntryState::Pending => {}
            EntryState::Served(result) => self.joined_results.push_back((who, Some(result))),
            EntryState::Failed => self.joined_results.push_back((who, None)),
        }
    }
    fn retain_idempotency_entry(&mut self, task: Handle, for_ms: f64) {
        let until = self.now + for_ms;
        let facts = self.settings.clone();
        let Some(slot) = self.slot(task) else { return };
        let Some(mark) = slot.idempotency_key.clone() else {
            return;
        };
        let restartable =
            facts.decisions.classes[slot.class].idempotency == Idempotency::Idempotent;
        let (serial, sign) = (slot.number, slot.body_digest);
        if restartable && self.idempotency.is_full() {
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
            self.idempotency
                .remember(mark, (serial, sign), until, restartable.then_some(for_ms));
        #[cfg(feature = "ownership")]
        let before = self.rejoin(&known_by, before);
        self.notify_joined(before, None);
    }
    fn drop_idempotency_entry(&mut self, task: Handle) {
        let Some(slot) = self.slot(task) else { return };
        let (serial, id, Some(mark)) = (slot.number, slot.id, slot.idempotency_key.clone()) else {
            return;
        };
        #[cfg(feature = "hot-restart")]
        if self.started_by_successor.contains_key(&id) {
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
        let waiting = self.idempotency.forget(&mark, serial);
        self.notify_joined(waiting, None);
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
        self.answer_failed(task);
    }
    fn publish_capacity_hint(&mut self, _: f64) {
        // The protocol has no field for a free value.
    }
    fn set_health(&mut self, good: bool, stored: bool) {
        (self.is_healthy, self.health_is_cached) = (good, stored);
    }
    fn set_idle_timeout(&mut self, after_ms: f64) {
        self.frontends.close_idle(after_ms);
    }
    fn schedule_tick(&mut self, at_ms: f64) {
        self.next_tick_at = at_ms;
    }
}
