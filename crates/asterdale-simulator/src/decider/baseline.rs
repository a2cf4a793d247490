//! Baseline policies that the decision module is compared with.

use std::collections::VecDeque;

use super::{Action, ActionQueue, Slot};
use crate::experiment::Policy;

/// Interval at which AIMD adjusts its limit, in milliseconds: the same as that of the decision module.
const AIMD_WINDOW_MS: f64 = 500.0;
/// Factor by which AIMD reduces its limit.
const AIMD_DECREASE: f64 = 0.9;
/// A run that takes more than this many times the shortest run makes AIMD reduce its limit.
const AIMD_SLOW_FACTOR: f64 = 2.0;
/// Queueing delay that CoDel accepts, in milliseconds, as published.
const CODEL_TARGET_MS: f64 = 5.0;
/// Time for which the delay must exceed the target before CoDel rejects, in milliseconds, as published.
const CODEL_INTERVAL_MS: f64 = 100.0;

struct QueuedRequest {
    slot: Slot,
    queued_at_ms: f64,
}

/// A baseline policy on one server.
pub struct Baseline {
    policy: Policy,
    cores: f64,
    limit: f64,
    running: usize,
    queue: VecDeque<QueuedRequest>,
    /// By slot: the start time of a running request.
    started_at_ms: Vec<Option<f64>>,
    free_slots: Vec<Slot>,
    shortest_run_ms: f64,
    /// Whether AIMD saw a slow run in its present window.
    had_slow_run: bool,
    /// Since when CoDel sees delays above its target.
    above_target_since_ms: Option<f64>,
}

impl Baseline {
    pub(super) fn new(
        policy: Policy,
        cores: f64,
        now_ms: f64,
        actions: &mut ActionQueue,
    ) -> Baseline {
        let limit = match policy {
            Policy::Everything => f64::INFINITY,
            Policy::Fixed(limit) => limit as f64,
            _ => cores.ceil(),
        };
        if policy == Policy::Aimd {
            actions.push(Action::ScheduleTick(now_ms + AIMD_WINDOW_MS));
        }
        Baseline {
            policy,
            cores,
            limit,
            running: 0,
            queue: VecDeque::new(),
            started_at_ms: Vec::new(),
            free_slots: Vec::new(),
            shortest_run_ms: f64::INFINITY,
            had_slow_run: false,
            above_target_since_ms: None,
        }
    }

    pub(super) fn concurrency_limit(&self) -> f64 {
        self.limit
    }

    pub(super) fn receive(&mut self, now_ms: f64, actions: &mut ActionQueue) {
        let slot = self.allocate_slot();
        actions.push(Action::Accept(slot));
        if self.has_capacity() {
            self.start(now_ms, slot, actions);
        } else if self.queue.len() < self.max_queue() {
            self.queue.push_back(QueuedRequest {
                slot,
                queued_at_ms: now_ms,
            });
        } else {
            self.reject(slot, actions);
        }
    }

    pub(super) fn run_ended(&mut self, now_ms: f64, slot: Slot, actions: &mut ActionQueue) {
        let Some(started_at_ms) = self.started_at_ms[slot as usize].take() else {
            return;
        };
        self.running -= 1;
        self.release(slot, actions);
        let run_ms = now_ms - started_at_ms;
        self.shortest_run_ms = self.shortest_run_ms.min(run_ms);
        self.had_slow_run |= run_ms > AIMD_SLOW_FACTOR * self.shortest_run_ms;
        self.start_queued(now_ms, actions);
    }

    pub(super) fn tick(&mut self, now_ms: f64, actions: &mut ActionQueue) {
        if self.policy != Policy::Aimd {
            return;
        }
        self.limit = if self.had_slow_run {
            (AIMD_DECREASE * self.limit).max(1.0)
        } else {
            self.limit + 1.0
        };
        self.had_slow_run = false;
        actions.push(Action::ScheduleTick(now_ms + AIMD_WINDOW_MS));
    }

    /// Drops a queued request. A running one continues: these policies cannot stop it.
    pub(super) fn caller_gone(&mut self, slot: Slot, actions: &mut ActionQueue) {
        let is_it = |queued: &QueuedRequest| queued.slot == slot;
        if let Some(position) = self.queue.iter().position(is_it) {
            self.queue.remove(position);
            self.release(slot, actions);
        }
    }

    fn has_capacity(&self) -> bool {
        (self.running as f64) < self.limit
    }

    fn max_queue(&self) -> usize {
        match self.policy {
            Policy::Pool(max_queue) => max_queue,
            Policy::Aimd => self.cores.ceil() as usize,
            Policy::Codel => usize::MAX,
            Policy::Everything | Policy::Fixed(_) | Policy::Asterdale => 0,
        }
    }

    fn allocate_slot(&mut self) -> Slot {
        self.free_slots.pop().unwrap_or_else(|| {
            self.started_at_ms.push(None);
            (self.started_at_ms.len() - 1) as Slot
        })
    }

    fn start(&mut self, now_ms: f64, slot: Slot, actions: &mut ActionQueue) {
        self.started_at_ms[slot as usize] = Some(now_ms);
        self.running += 1;
        actions.push(Action::Start(slot));
    }

    fn reject(&mut self, slot: Slot, actions: &mut ActionQueue) {
        actions.push(Action::Reject(slot, 0.0));
        self.release(slot, actions);
    }

    fn release(&mut self, slot: Slot, actions: &mut ActionQueue) {
        self.free_slots.push(slot);
        actions.push(Action::Release(slot));
    }

    fn start_queued(&mut self, now_ms: f64, actions: &mut ActionQueue) {
        while self.has_capacity() {
            let Some(queued) = self.queue.pop_front() else {
                return;
            };
            if self.policy == Policy::Codel && self.codel_rejects(now_ms, queued.queued_at_ms) {
                self.reject(queued.slot, actions);
            } else {
                self.start(now_ms, queued.slot, actions);
            }
        }
    }

    /// CoDel rejects once the queueing delay has exceeded its target for a whole interval.
    fn codel_rejects(&mut self, now_ms: f64, queued_at_ms: f64) -> bool {
        if now_ms - queued_at_ms < CODEL_TARGET_MS {
            self.above_target_since_ms = None;
            return false;
        }
        now_ms - *self.above_target_since_ms.get_or_insert(now_ms) >= CODEL_INTERVAL_MS
    }
}
