//! The policies' actions: each is immediately carried out as a reply, a command or a call.

use std::time::{Duration, Instant};

use asterdale::parameters::Idempotency;
use asterdale::{Actions, Handle};

use super::table::Tasks;
use crate::idempotency::{EntryState, Owner};
use crate::log::LogLimit;
#[cfg(feature = "hot-restart")]
use crate::message::MirroredEvent;
use crate::message::{Call, Reply};
use crate::runtime::protocol;

impl Tasks {
    fn is_idempotent(&self, class: usize) -> bool {
        self.settings.decisions.classes[class].idempotency == Idempotency::Idempotent
    }

    /// Sends the start command.
    fn send_start(&mut self, task: Handle) {
        let settings = self.settings.clone();
        let Some(record) = self.task_mut(task) else {
            return;
        };
        record.started = true;
        let (id, line, class) = (record.id, record.start_line(&settings), record.class);
        let idempotent = self.is_idempotent(class);
        if settings.decisions.classes[class].idempotency == Idempotency::NonIdempotent {
            self.started_ids.add(id);
        }
        #[cfg(feature = "hot-restart")]
        if !idempotent {
            self.mirror_start(task);
        }
        self.counters.runs_started.add();
        self.send_command(task, line, idempotent);
    }

    #[cfg(feature = "hot-restart")]
    fn mirror_start(&mut self, task: Handle) {
        let (Some(mirror), Some(record)) = (
            &mut self.mirror,
            self.slots.get(task.index()).and_then(Option::as_ref),
        ) else {
            return;
        };
        let key = record.idempotency_key.clone();
        mirror(MirroredEvent::TaskStarted {
            id: record.id,
            key: key.map(|key| (key, record.number)),
        });
    }

    /// Fails a released task that has not been answered. That is a bug in this program: released tasks must have been
    /// answered.
    fn answer_released(&mut self, task: Handle) {
        static UNANSWERED: LogLimit = LogLimit::new();
        let is_unanswered = self
            .task(task)
            .is_some_and(|record| record.responder.is_some());
        if !is_unanswered {
            return;
        }
        if self.log.allows(&UNANSWERED) {
            let fields = self.log_fields(Some(task));
            slog::error!(self.log.lines, "engine: task released without an answer";
                "id" => fields.id, "class" => fields.class, "tenant" => fields.tenant);
        }
        self.answer_failed(task);
    }

    /// The timeout of a call: the time that the policies allow, or else the deadline of its request class.
    fn call_timeout(&self, class: usize, allowed_ms: f64) -> Duration {
        let timeout_ms = if allowed_ms.is_finite() && allowed_ms > 0.0 {
            allowed_ms
        } else {
            self.settings.decisions.classes[class].deadline_ms
        };
        Duration::from_micros((timeout_ms * 1000.0) as u64)
    }
}

impl Actions for Tasks {
    fn accepted(&mut self, task: Handle) {
        if self.slots.len() <= task.index() {
            self.slots.resize_with(task.index() + 1, || None);
        }
        if let Some(record) = self.arriving.take() {
            self.by_id.insert(record.id, task);
            self.by_number.insert(record.number, task);
            if let Some(responder) = &record.responder {
                self.by_route.insert(responder.route(), task);
            }
            self.slots[task.index()] = Some(record);
        }
    }

    fn release(&mut self, task: Handle) {
        #[cfg(feature = "ownership")]
        self.release_ownership(task);
        self.complete_key(task, None);
        self.answer_released(task);
        if let Some(record) = self.slots.get_mut(task.index()).and_then(Option::take) {
            self.by_id.remove(&record.id);
            self.by_number.remove(&record.number);
            self.identity_gate.release_permit(record.quota_permit);
        }
    }

    fn start(&mut self, task: Handle) {
        let Some(record) = self.task(task) else {
            return;
        };
        if record.must_not_start {
            let number = record.number;
            return self.runs_not_started.push_back(number);
        }
        #[cfg(feature = "ownership")]
        if !self.claim_before_start(task) {
            return;
        }
        self.send_start(task);
    }

    fn stop(&mut self, _: Handle) {
        // The runtime has no such command: once a request is answered, it ends the run at its next call.
    }

    fn start_call(&mut self, task: Handle, allowed_ms: f64) {
        let Some(record) = self.task(task) else {
            return;
        };
        let Some(pending) = &record.pending_call else {
            return;
        };
        let (number, id, body, class) =
            (record.number, record.id, pending.body.clone(), record.class);
        #[cfg(feature = "ownership")]
        let Ok(fence) = self.call_fence(task) else {
            return self.calls_not_made.push_back(number);
        };
        let call = Call {
            task: number,
            id,
            body,
            requested_at: Instant::now(),
            timeout: self.call_timeout(class, allowed_ms),
            #[cfg(feature = "ownership")]
            fence,
        };
        if !self.records.call(call) {
            self.calls_not_made.push_back(number);
        }
    }

    fn skip_call(&mut self, task: Handle) {
        let Some(record) = self.task_mut(task) else {
            return;
        };
        let Some(call) = record.pending_call.take() else {
            return;
        };
        let line = protocol::omit(&record.id, call.notice);
        self.counters.calls_skipped.add();
        self.send_command(task, line, true);
    }

    fn join_earlier_attempt(&mut self, task: Handle) {
        let Some(record) = self.task(task) else {
            return;
        };
        let (number, key) = (record.number, record.idempotency_key.clone());
        let state = key.map_or(EntryState::Failed, |key| {
            self.idempotency.join(&key, number)
        });
        match state {
            EntryState::Pending => {}
            EntryState::Served(result) => self.joined_results.push_back((number, Some(result))),
            EntryState::Failed => self.joined_results.push_back((number, None)),
        }
    }

    fn retain_idempotency_entry(&mut self, task: Handle, for_ms: f64) {
        let until_ms = self.now + for_ms;
        let Some(record) = self.task(task) else {
            return;
        };
        let Some(key) = record.idempotency_key.clone() else {
            return;
        };
        let owner = Owner {
            task: record.number,
            body_digest: record.body_digest,
        };
        let idempotent = self.is_idempotent(record.class);
        if idempotent && self.idempotency.is_full() {
            return; // a repeat of it runs as a task of its own
        }
        #[cfg(feature = "hot-restart")]
        if let (false, Some(mirror)) = (idempotent, &mut self.mirror) {
            mirror(MirroredEvent::KeyRetained {
                key: key.clone(),
                owner: owner.task,
                body_digest: owner.body_digest,
                until_ms,
            });
        }
        let fresh_ms = idempotent.then_some(for_ms);
        let joined = self
            .idempotency
            .retain(key.clone(), owner, until_ms, fresh_ms);
        #[cfg(feature = "ownership")]
        let joined = self.rejoin_after_takeover(&key, joined);
        self.notify_joined(joined, None);
    }

    fn drop_idempotency_entry(&mut self, task: Handle) {
        let Some(record) = self.task(task) else {
            return;
        };
        let Some(key) = record.idempotency_key.clone() else {
            return;
        };
        let number = record.number;
        #[cfg(feature = "hot-restart")]
        {
            if self.started_by_successor.contains_key(&record.id) {
                return; // the new process has started it: it may have run
            }
            if let Some(mirror) = &mut self.mirror {
                mirror(MirroredEvent::KeyDropped {
                    key: key.clone(),
                    owner: number,
                });
            }
        }
        let joined = self.idempotency.forget(&key, number);
        self.notify_joined(joined, None);
    }

    fn reject(&mut self, task: Handle, is_final: bool, retry_after_ms: f64) {
        #[cfg(feature = "ownership")]
        if self.hand_off(task, is_final, retry_after_ms) {
            return;
        }
        let Some(record) = self.task(task) else {
            return;
        };
        let refusal = Reply::Rejected {
            is_final,
            retry_after_ms: retry_after_ms as u64,
        };
        let key = record.idempotency_key.as_ref();
        let reply = self.refuse_task(record.class, key, record.number, refusal);
        if self.answer(task, reply) {
            self.counters.tasks_rejected.add();
        }
    }

    fn fail(&mut self, task: Handle) {
        self.answer_failed(task);
    }

    fn publish_capacity_hint(&mut self, _: f64) {
        // The protocol has no field for it.
    }

    fn set_health(&mut self, is_healthy: bool, is_cached: bool) {
        self.is_healthy = is_healthy;
        self.health_is_cached = is_cached;
    }

    fn set_idle_timeout(&mut self, after_ms: f64) {
        self.frontends.close_idle(after_ms);
    }

    fn schedule_tick(&mut self, at_ms: f64) {
        self.next_tick_at = at_ms;
    }
}
