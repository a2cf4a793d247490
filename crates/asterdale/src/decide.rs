//! Every decision of asterdale: what one server takes, runs, calls, turns away and says of itself.
//!
//! `Server::start` makes one from what it is told; `server.take` gives a `Handle` for a task just read, and
//! all that happens to that task later is a call on the handle. `server.beat` wants calling at each time
//! asked for by `Machine::wake`. Answers go out through `Machine` (machine.rs); the plain types are in
//! told.rs, what is kept in state.rs. Times are ms.

use crate::actions::Actions;
use crate::events::{Arrival, Gauges, Outcome, PeerCounts};
use crate::measure::{Ring, Spread};
use crate::parameters::{CapacityHint, Dependency, Idempotency, Parameters, Preemption};
use crate::state::{Customer, Stage, State, Task};

pub use crate::state::{Handle, Server};

#[cfg(test)]
mod tests;

const BEAT: f64 = 10.0; // how often time is looked at: well inside the slack that an answer may have
const UPDATE: f64 = 500.0; // the design's interval
const WINDOWS: usize = 8; // kept for: 4 s, several times as long as a task runs, so that a p95 has samples
const FINEST: f64 = 0.01; // of spreads: they hold times in ms and ratios around 1
const STEP: f64 = 1.08; // of spreads: finer than two p95s of a few hundred runs differ by chance
const FEW: f64 = 0.1; // of the tasks read; by trial: 0.05 leaves others idle, 0.2 costs reading in overload
const CREDIT: f64 = 2.0; // times the limit: 1.5 leaves uneven callers short, 3 lets slow servers fill up
const MEMORY_PART: f64 = 0.9; // of the memory: the rest is for sizes that are told roughly
const CALL_PART: f64 = 0.45; // of our slice below; by trial: 0.3 starves cold servers, 0.9 tips the layer

impl Server {
    /// A server that has just started.
    pub fn start(told: Parameters, now: f64, m: &mut dyn Actions) -> Server {
        let mut server = Server::blank(told, now);
        let told = &server.told;
        let recent = || Ring::new(WINDOWS as f64 * UPDATE, WINDOWS, now);
        let longest = told
            .classes
            .iter()
            .map(|s| s.retry_window_ms)
            .fold(0.0, f64::max);
        server.entries = Ring::new(1.1 * longest, 64, now);
        server.call_time = Ring::new(1.05 * told.dependency_window_ms, 21, now);
        server.limit = told.cores;
        // Grown as it is used; with two, one call can time the layer while another is out.
        server.call_window = if told.dependency == Dependency::Shared {
            2.0
        } else {
            told.cores
        };
        server.windows = vec![Spread::new(FINEST, STEP); WINDOWS];
        server.call_times = Spread::new(FINEST, STEP);
        server.rejected = recent();
        server
            .stages
            .iter_mut()
            .for_each(|s| s.calm = Spread::new(FINEST, STEP));
        server.customers.iter_mut().for_each(|c| c.read = recent());
        server.next_update = now + UPDATE;
        server.next_pin = now + server.pin_gap();
        server.credit = server.crowd_ceiling();
        // Checks are answered from store: real ones cost cores and calls when both are short.
        m.set_health(true, true);
        m.schedule_tick(now + BEAT);
        server
    }

    /// The runtime says when it began, after requests had come already; or another one has taken its place.
    pub fn runtime_started(&mut self, cold: bool, at: f64) {
        (self.told.slow_start, self.born) = (cold, at);
    }

    fn in_state(&self, state: State) -> usize {
        self.count[state as usize]
    }

    fn stage(&self, task: &Task) -> &Stage {
        &self.stages[task.asked.class]
    }

    fn restartable(&self, task: &Task) -> bool {
        self.stage(task).facts.idempotency == Idempotency::Idempotent
    }

    // ---- The limiter ----

    /// Every three minutes plus up to half, as the design has it.
    fn pin_gap(&mut self) -> f64 {
        180_000.0 * (1.0 + 0.5 * self.chance.next())
    }

    /// The part of its speed that a server has at least, by the ramp it is guaranteed.
    fn warmth(&self, now: f64) -> f64 {
        if !self.told.slow_start || now >= self.born + self.told.slow_start_ms {
            return 1.0;
        }
        self.told.slow_start_share
            + (1.0 - self.told.slow_start_share) * (now - self.born) / self.told.slow_start_ms
    }

    /// Tasks that may be running or at a call: all of them could want the cores at once. Four fifths of the
    /// crowd that kills, since it is an average and tasks come back from calls between our looks.
    fn crowd_ceiling(&self) -> f64 {
        let spread = (self.told.overload_factor - 1.0) * self.warmth(self.last_beat);
        (0.8 * self.told.cores * (1.0 + spread)).max(1.0)
    }

    /// How many of the limit run. The buffer allows a doubling, which is as much waiting as work. With full
    /// cores the waiting half is spent in the hold, where order can be chosen, not on the cores, which a
    /// crowd wears out.
    fn width(&self) -> f64 {
        if !self.cores_full {
            return self.limit;
        }
        // Reading shares the cores with runs, and what is read late is worth little. When tasks lie unread
        // for over half a run, and twice what they do at best, runs give way: to half, or less where reading
        // costs under an eighth of a run (by trial). Where it is dear, quick rejections bring more of it.
        let least =
            (4.0 * self.unread_best / self.run_ms).clamp((1.0 / self.told.cores).min(0.5), 0.5);
        let reading =
            ((2.0 * self.unread_best).max(0.5 * self.run_ms) / self.unread).clamp(least, 1.0);
        ((self.limit / 2.0).max(self.told.cores) * reading).max(1.0) // one core must not be left with none
    }

    fn update(&mut self, now: f64) {
        // Runs over twice their base count before they end: when work stops or crawls nothing ends, and a
        // window that is empty for that reason is not calm.
        let mut recent = Spread::new(FINEST, STEP);
        for &n in &self.live {
            let task = &self.tasks[n as usize];
            let ratio = task.net(now) / self.base(task).max(1e-9);
            if task.state == State::Running && self.base(task) > 0.0 && ratio > 2.0 {
                recent.add(ratio);
            }
        }
        // A run lasts a good part of a window: windows are added, newest first, until 20 samples bear a p95.
        for back in 0..WINDOWS {
            if recent.total < 20 {
                recent.merge(&self.windows[(self.window + WINDOWS - back) % WINDOWS]);
            }
        }
        // With no sample left the pace is forgotten: a server that gave up on slow work tries again.
        self.pace = if recent.total > 0 {
            recent.quantile(0.5)
        } else {
            0.0
        };
        let based = self.stages.iter().any(|s| s.base > 0.0);
        // Runs are timed beside those that run; beside the whole limit they would take longer by as much.
        let sample = recent.quantile(0.95) * (self.limit / self.width()).min(2.0);
        let gradient = if sample > 0.0 {
            (2.0 / sample).clamp(0.5, 2.0)
        } else {
            1.0
        };
        // A limit grows to half more than was tried of late and no further: one that nobody tested would
        // let a burst crowd the cores before one latency is seen.
        let tried = 1.5 * self.busiest[0].max(self.busiest[1]).max(self.told.cores);
        // While there is room the limit never falls, and grows each update.
        let room = if based { gradient.max(1.0) } else { 2.0 };
        let scaled = self.limit * if self.cores_full { gradient } else { room };
        if self.cores_full && self.pinned {
            self.limit = self.told.cores;
        } else if !self.cores_full || recent.total > 0 {
            self.limit = (scaled + scaled.sqrt()).min(tried.max(self.limit));
        }
        if self.cores_full && !self.pinned && (!based || now >= self.next_pin) {
            (self.pinned, self.pinned_at) = (true, now);
            self.stages
                .iter_mut()
                .for_each(|s| s.calm = Spread::new(FINEST, STEP));
        }
        self.limit = self
            .limit
            .clamp(self.told.cores, self.crowd_ceiling().max(self.told.cores));
        self.busiest = [0.0, self.busiest[0]];
        self.unread_best *= 1.01; // so that a better time than is usual is forgotten in a minute or so
        self.window = (self.window + 1) % WINDOWS;
        self.windows[self.window] = Spread::new(FINEST, STEP);
    }

    /// A run that ended well: a sample for the window, and for the base if it was calm.
    fn sample(&mut self, task: Task, now: f64) {
        let net = task.net(now);
        self.run_ms += 0.05 * (net - self.run_ms);
        if self.base(&task) > 0.0 {
            let ratio = net / self.base(&task);
            self.windows[self.window].add(ratio);
        }
        // A cold start's times would stand as the base for minutes: they count at the guaranteed speed.
        let had = task.had + self.core_time - task.mark;
        let unit = had * self.warmth(now) / task.asked.cost_hint_ms.unwrap_or(1.0).max(1e-3);
        let (pinned, pinned_at) = (self.pinned, self.pinned_at);
        let stage = &mut self.stages[task.asked.class];
        // Runs at three times the base tell of trouble, not of calm; only a pin may raise the base so far.
        if !(task.calm || (pinned && task.started >= pinned_at))
            || (!pinned && stage.base > 0.0 && unit > 3.0 * stage.base)
        {
            return;
        }
        stage.calm.add(unit);
        // The design waits for 500 runs, minutes here; 20 of a stage are the fewest that have a p95.
        if stage.calm.total >= 20 {
            stage.base = stage.calm.quantile(0.95);
        }
        if stage.calm.total >= 500 {
            stage.calm.halve();
        }
        if pinned && self.stages.iter().map(|s| s.calm.total).sum::<u32>() >= 60 {
            self.pinned = false;
            self.next_pin = now + self.pin_gap();
        }
    }

    /// A stage's base; one that has none yet borrows the largest of the others.
    fn likely_base(&self, stage: &Stage) -> f64 {
        if stage.base > 0.0 {
            return stage.base;
        }
        self.stages.iter().map(|s| s.base).fold(0.0, f64::max)
    }

    /// The base latency of a task: its stage's, times its hinted work where that makes stages alike.
    fn base(&self, task: &Task) -> f64 {
        let stage = self.stage(task);
        task.asked
            .cost_hint_ms
            .map_or(stage.base, |hint| hint * self.likely_base(stage))
    }

    /// How long a task would run if it began now; 0 while that is unknown.
    fn expected(&self, task: &Task) -> f64 {
        self.base(task) * self.pace
    }

    // ---- What a task is worth, and the order of the hold ----

    /// The part of a customer's tasks that counts in full: what it sends beyond its share, of which a part
    /// comes to this server, is worth little, and no task says which it is.
    fn in_share(&self, customer: &Customer) -> f64 {
        let rate = customer.read.total() / (WINDOWS as f64 * UPDATE / 1000.0);
        let due = customer.facts.quota_per_s / self.servers().max(1.0);
        if rate <= due {
            return 1.0;
        }
        (due + (rate - due) * self.told.over_quota_weight_share) / rate
    }

    /// Utility that can still be had for each unit of core work.
    fn density(&self, task: &Task, now: f64) -> f64 {
        let stage = self.stage(task);
        let late = now + self.expected(task) > task.aim;
        let utility = stage.facts.weight
            * if late {
                stage.facts.late_weight_share
            } else {
                1.0
            };
        let cost = if self.told.weight_per_work {
            1.0
        } else {
            self.likely_base(stage).max(1e-6)
        };
        utility * self.in_share(&self.customers[task.asked.tenant]) / cost
    }

    fn held(&self) -> impl Iterator<Item = u32> + '_ {
        self.live
            .iter()
            .copied()
            .filter(|&n| self.tasks[n as usize].state == State::Held)
    }

    /// The held task that should run next: the densest, the oldest of equals.
    fn best_held(&self, now: f64) -> Option<u32> {
        let rank = |n: u32| self.density(&self.tasks[n as usize], now);
        self.held()
            .map(|n| (rank(n), n))
            .reduce(|a, b| if b.0 > a.0 { b } else { a })
            .map(|(_, n)| n)
    }

    /// The held task that loses the next place: of the customer with most in the hold, the least dense,
    /// the newest of equals. Not for its share: a small one with a single task would lose to a flood.
    fn worst_held(&self, now: f64) -> Option<u32> {
        let rank = |n: u32| {
            let task = &self.tasks[n as usize];
            let customer = &self.customers[task.asked.tenant];
            (-(customer.held as f64), self.density(task, now))
        };
        self.held()
            .map(|n| (rank(n), n))
            .reduce(|a, b| if b.0 <= a.0 { b } else { a })
            .map(|(_, n)| n)
    }

    // ---- Taking and running ----

    /// A task has been read. Its final answer is owed from now on.
    pub fn receive(&mut self, now: f64, mut asked: Arrival, m: &mut dyn Actions) -> Handle {
        self.pass_time(now);
        asked.tenant = asked.tenant.min(self.customers.len() - 1);
        let facts = &self.stages[asked.class].facts;
        let (repeat, memory_ms) = (facts.idempotency, facts.retry_window_ms);
        let wait = asked
            .remaining_ms
            .unwrap_or((facts.deadline_ms - asked.unread_ms).max(0.0));
        let mut task = Task::read(asked, now);
        task.due = (now + wait).min(self.leaving.map_or(f64::INFINITY, |(_, stop)| stop));
        task.aim = (task.arrived + facts.objective_ms).min(now + wait);
        let n = self.free.pop().unwrap_or(self.tasks.len() as u32);
        if n as usize == self.tasks.len() {
            self.tasks.push(task);
        }
        self.tasks[n as usize] = task;
        self.live.push(n);
        self.enter(n, State::Held);
        m.accepted(Handle(n));
        self.customers[asked.tenant].read.add(1.0);
        let weight = if self.unread_best.is_finite() {
            0.05
        } else {
            1.0
        };
        self.unread += weight * (asked.unread_ms - self.unread);
        self.unread_best = self
            .unread_best
            .min(self.unread.max(self.told.tick_ms.max(1.0)));
        if self.callers.len() <= asked.caller {
            self.callers.resize(asked.caller + 1, 0.0);
        }
        // A hundredth is left of a task after some 20 s, about as long as callers keep connections.
        self.again += 0.05 * (f64::from(self.callers[asked.caller] > 0.01) - self.again);
        self.callers[asked.caller] += 1.0;
        if asked.is_repeat && (repeat == Idempotency::Keyed || self.told.response_reuse_ms > 0.0) {
            self.enter(n, State::Joined);
            self.tasks[n as usize].ran = true;
            m.join_earlier_attempt(Handle(n));
            return Handle(n);
        }
        // Safe drain: what arrived too long after the notice must not run, however early it is read.
        let late = self
            .leaving
            .is_some_and(|(notice, _)| task.arrived > notice + self.told.drain_grace_ms);
        let entry = if repeat == Idempotency::Keyed {
            self.told.idempotency_entry_kb
        } else {
            0.0
        };
        if late || self.memory + entry > MEMORY_PART * self.told.memory_kb {
            self.give_up(n, m);
            return Handle(n);
        }
        // Remembered before it can run: a repeat of a task that is still held must be known too.
        if repeat == Idempotency::Keyed {
            // The window counts from the arrival; two ticks more cover the rounding of times to batches.
            let for_ms = memory_ms - asked.unread_ms + 2.0 * self.told.tick_ms;
            let bucket = ((now + for_ms) / self.entries.width) as u64 + 1;
            *self.entries.cell(bucket) += 1.0;
            self.memory += entry;
            self.tasks[n as usize].entry = Some(bucket);
            m.retain_idempotency_entry(Handle(n), for_ms);
        } else if repeat == Idempotency::Idempotent && self.told.response_reuse_ms > 0.0 {
            m.retain_idempotency_entry(Handle(n), self.told.response_reuse_ms);
        }
        self.pump(now, m);
        Handle(n)
    }

    /// Starts what may start, then turns away what has no place.
    fn pump(&mut self, now: f64, m: &mut dyn Actions) {
        let inside = (self.in_state(State::Held) + self.in_state(State::Running)) as f64;
        self.busiest[0] = self.busiest[0].max(inside);
        while let Some(n) = self.best_held(now) {
            let task = self.tasks[n as usize];
            let running = self.in_state(State::Running);
            let crowd = running + self.in_state(State::Parked) + self.in_state(State::Calling);
            let memory =
                self.memory + task.asked.memory_kb * (self.told.running_memory_factor - 1.0);
            let fits = memory <= MEMORY_PART * self.told.memory_kb || crowd == 0;
            if running as f64 >= self.width().floor()
                || crowd as f64 >= self.crowd_ceiling().floor()
                || !fits
            {
                break;
            }
            if self.hopeless(&task, now) {
                self.give_up(n, m);
                continue;
            }
            self.enter(n, State::Running);
            let task = &mut self.tasks[n as usize];
            (task.started, task.ran, task.calm, task.mark) = (now, true, true, self.core_time);
            self.note_crowd();
            m.start(Handle(n));
        }
        // Cores full: what is over the limit is refused early. The hold keeps one place a core, to choose by.
        let places = self.told.cores.max(self.limit / 2.0);
        while self.cores_full && self.in_state(State::Held) as f64 > places {
            let Some(n) = self.worst_held(now) else { break };
            self.give_up(n, m);
        }
    }

    /// Runs beside more than the floor are not calm.
    fn note_crowd(&mut self) {
        let running = self.in_state(State::Running) as f64;
        if running > self.told.cores {
            for &n in &self.live {
                self.tasks[n as usize].calm = false;
            }
        }
    }

    /// A task that could no longer end in time to earn anything. One run always goes ahead: with none the
    /// pace would never be measured again.
    fn hopeless(&self, task: &Task, now: f64) -> bool {
        let facts = &self.stage(task).facts;
        let late_earns = facts.late_weight_share > 0.0 && !self.cores_full;
        let last = if late_earns { task.due } else { task.aim };
        // Work that can't do without its call only wears the cores while the queue for calls is too long.
        let mut end = now + self.expected(task);
        if facts.makes_calls && facts.degraded_weight_share <= 0.0 {
            end += self.in_state(State::Parked) as f64 * self.call_turn() + self.call_ms;
        }
        now >= last || (end > last && self.in_state(State::Running) > 0)
    }

    /// Moves a task to another state, keeping the counts and the memory.
    fn enter(&mut self, n: u32, to: State) {
        let task = &mut self.tasks[n as usize];
        let blowup = self.told.running_memory_factor;
        let kb = |state: State| match state {
            State::Free => 0.0,
            State::Held | State::Joined => task.asked.memory_kb,
            _ => task.asked.memory_kb * blowup,
        };
        self.memory += kb(to) - kb(task.state);
        self.customers[task.asked.tenant].held += (to == State::Held) as usize;
        self.customers[task.asked.tenant].held -= (task.state == State::Held) as usize;
        self.count[to as usize] += 1;
        self.count[task.state as usize] = self.count[task.state as usize].saturating_sub(1);
        task.state = to;
    }

    /// The task is over for good.
    fn release(&mut self, n: u32, m: &mut dyn Actions) {
        self.enter(n, State::Free);
        self.live.retain(|&other| other != n);
        self.free.push(n);
        m.release(Handle(n));
    }

    /// Answers at once a task that will not be finished here, and stops its work where that is possible.
    fn give_up(&mut self, n: u32, m: &mut dyn Actions) {
        let task = self.tasks[n as usize];
        let restartable = self.restartable(&task);
        if !task.answered {
            if task.ran && (!restartable || task.state == State::Joined) {
                m.fail(Handle(n));
            } else {
                let (last, stay) = self.advice();
                m.reject(Handle(n), last, stay);
                self.turned_away += 1;
                self.rejected.add(1.0);
            }
            self.tasks[n as usize].answered = true;
        }
        match task.state {
            State::Running if restartable && self.told.preemption != Preemption::Unsupported => {
                m.stop(Handle(n))
            }
            State::Held | State::Joined => {
                if let Some(bucket) = task.entry.filter(|&bucket| bucket > self.entries.clock) {
                    *self.entries.cell(bucket) -= 1.0;
                    self.memory -= self.told.idempotency_entry_kb;
                    m.drop_idempotency_entry(Handle(n));
                }
                self.release(n, m);
            }
            _ => {} // its run_over comes, and frees what it holds
        }
    }

    /// What a rejection says: whether this try was the last, and how long to stay away.
    fn advice(&mut self) -> (bool, f64) {
        let most = self.told.max_retry_after_ms;
        if self.leaving.is_some() {
            return (false, most);
        }
        let stay = most * (0.5 + 0.5 * self.chance.next());
        // Few rejections of late: the crowd is ours alone or short, and the task may go elsewhere. Else those
        // who share our balancers are likely as full, and a walk through them only costs reading. To be cold
        // or slow is no reason: after a release many are cold, and when all work is dearer all look slow.
        let read = self
            .customers
            .iter()
            .map(|c| c.read.total())
            .sum::<f64>()
            .max(1.0);
        let share = self.rejected.total() / read;
        let ours = share <= FEW;
        // Where no credit steers callers, the stay has to: a long one moves work to those with room (four
        // would drown in it). Else it is as long as rejections are many: no cores lie idle.
        let moves = ours && self.told.capacity_hint != CapacityHint::Credit;
        let part = if moves {
            1.0 - 4.0 / self.servers().max(4.0)
        } else {
            0.0
        };
        // Where a view of the fleet says that nobody else takes work and is warm, elsewhere helps nobody.
        let nobody = self.others.is_some_and(|peers| peers.ready < 1.0);
        (
            !ours || nobody,
            (share.max(part) * stay).max(most.min(BEAT)),
        )
    }

    /// Servers of this tier: by the view of the fleet where there is one, else as they were at the start.
    fn servers(&self) -> f64 {
        self.others
            .map_or(self.told.servers, |peers| peers.present + 1.0)
    }

    /// So many others are there, and so many of them take work and are warm; `None` where that is not known.
    /// A hint: it may be old or wrong, and bends what is advised and whose share is what, never what may run.
    pub fn set_peers(&mut self, others: Option<PeerCounts>) {
        self.others = others;
    }

    // ---- Time ----

    /// The regular look at everything that depends on time.
    pub fn tick(&mut self, now: f64, gauges: Gauges, m: &mut dyn Actions) {
        m.schedule_tick(now + BEAT);
        self.pass_time(now);
        // What one run has had of a core, by all that wants one: reading, checks and runs share them.
        let share = gauges
            .on_cores
            .map_or(1.0, |n| (self.told.cores / n.max(1.0)).min(1.0));
        self.core_time += share * (now - self.last_look);
        self.last_look = now;
        // A gauge may be missing, late or wrong: with a run on every core, and the middle one longer than the
        // p95 of calm ones, or as much waiting there as the buffer allows, they are full whatever it reads.
        let crowded = self.in_state(State::Running) as f64 >= self.told.cores;
        let slow = crowded && (self.pace > 1.0 || gauges.on_cores >= Some(2.0 * self.told.cores));
        // With half a core idle, of however many, a queue is forming; of two, nine tenths is late, by trial.
        self.cores_full = gauges
            .cpu
            .map_or(crowded, |cpu| cpu >= 1.0 - 0.5 / self.told.cores || slow);
        self.cpu = gauges.cpu.filter(|cpu| cpu.is_finite()).unwrap_or(1.0);
        if now >= self.next_update {
            self.update(now);
            self.say(m);
            self.next_update = now + UPDATE;
        }
        for n in self.live.clone() {
            let task = self.tasks[n as usize];
            if task.answered || task.state == State::Free {
                continue;
            }
            let worthless = self.cores_full
                && now >= task.aim
                && self.stage(&task).facts.late_weight_share <= 0.0;
            // Early is a sixth of the time to the aim (by a caller's whole wait, stages with patient callers
            // took the places) and half of what a core takes to come free (all of it is too late on many).
            let early = (task.aim - task.arrived) / 6.0 + 0.5 * self.run_ms / self.told.cores;
            let useless = match task.state {
                State::Held => {
                    self.hopeless(&task, now) || (self.cores_full && now - task.arrived > early)
                }
                // Work that earns nothing any more takes full cores from work that does. With room it goes
                // on: a late answer is no loss, work thrown away is.
                State::Running | State::Calling => {
                    worthless
                        && self.restartable(&task)
                        && self.told.preemption != Preemption::Unsupported
                }
                _ => false,
            };
            if useless || now + BEAT >= task.due {
                self.give_up(n, m);
            }
        }
        self.place_calls(now, m);
        self.pump(now, m);
    }

    /// Rolls everything that is kept by time on to now.
    fn pass_time(&mut self, now: f64) {
        self.memory -= self.entries.roll(now) * self.told.idempotency_entry_kb;
        for customer in &mut self.customers {
            customer.read.roll(now);
        }
        self.rejected.roll(now);
        self.lingering.retain(|&until| until > now);
        self.call_time.roll(now);
        let since = now - self.last_beat;
        self.call_time.add(self.calls_in_hand() * since);
        // Calls to a shared dependency go out evenly. All servers see it slow and recover in the same moment:
        // were each to make the calls it has waiting at once, their sum would tip it over again, though each
        // stays within its slice over time. So a call that took long is followed by a longer pause.
        if self.told.dependency == Dependency::Shared {
            let earned = (self.call_slice() - self.in_state(State::Calling) as f64) * since;
            self.call_credit = (self.call_credit + earned).min(10.0 * BEAT * self.call_slice());
        }
        self.last_beat = now;
    }

    /// The notice to leave: the process is stopped after `left_ms`.
    pub fn drain(&mut self, now: f64, left_ms: f64, m: &mut dyn Actions) {
        let stop = now + left_ms - 2.0 * BEAT;
        self.leaving = Some((now, stop));
        for &n in &self.live {
            let task = &mut self.tasks[n as usize];
            task.due = task.due.min(stop);
        }
        m.set_health(false, true);
        self.pump(now, m);
    }

    /// Once an update: how many tasks each caller should keep here, where callers heed that.
    fn say(&mut self, m: &mut dyn Actions) {
        if self.told.capacity_hint == CapacityHint::Credit {
            // Cut by a share while tasks are turned away, else grown by one a caller; between one task a
            // core and twice what the limit lets run beside the calls. A slow server asks for less by as
            // much as it is slow, and never for nothing: it could not see that it has recovered. Callers
            // are reckoned as many as would send all of it were each like the busiest: few are alike.
            let (sent, most) = self
                .callers
                .iter()
                .fold((0.0, 0.0), |(a, b): (f64, f64), &n| (a + n, b.max(n)));
            let callers = if most > 0.0 {
                sent / most
            } else {
                self.told.callers.max(1.0)
            };
            let at_call = (self.in_state(State::Parked) + self.in_state(State::Calling)) as f64;
            let next = if self.turned_away > 0 {
                self.credit * 0.8
            } else {
                self.credit + 1.0
            };
            let most = CREDIT * (self.limit + at_call) / callers;
            self.credit = next.clamp((self.told.cores / callers).min(most), most);
            m.publish_capacity_hint(self.credit / self.pace.max(1.0));
        }
        self.turned_away = 0;
        self.callers.iter_mut().for_each(|n| *n *= 0.9);
        // Where few callers come again, connections kept for them fill the table and shut others out: the
        // more room on the cores the sooner they close. With busy cores (three quarters, by trial) they
        // stay: a new one costs work, and a full table is the cheapest refusal.
        let room = if self.again > 0.5 {
            2.0
        } else {
            (self.cpu / 0.75).powi(2).clamp(0.5, 2.0)
        };
        // At most half of the callers' own limit: a cut acts only from the next use of a connection on.
        let most = if self.again > 0.5 { 1.0 } else { 0.5 } * self.told.idle_timeout_ms;
        let idle = (room * self.idle).clamp(most.min(500.0), most);
        if idle != self.idle {
            self.idle = idle;
            m.set_idle_timeout(idle);
        }
    }

    // ---- Calls below ----

    fn calls_in_hand(&self) -> f64 {
        (self.in_state(State::Calling) + self.lingering.len()) as f64
    }

    /// A shared dependency takes twice as long as it mostly does: the doubling that the design allows to
    /// runs. A tier below turns away by itself what is too much for it.
    fn calls_slow(&self) -> bool {
        self.told.dependency == Dependency::Shared
            && self.call_times.total >= 20
            && self.call_ms > 2.0 * self.call_times.quantile(0.5)
    }

    /// Cut once for one trouble, not once a call; if shared, to a fifth of our slice of what it survives.
    fn cut_calls(&mut self, now: f64) {
        if now - self.cut_at > self.call_ms {
            self.cut_at = now;
            let slice = (0.2 * self.told.dependency_quota).max(1.0); // a layer slows long before it falls over
            let least = if self.told.dependency == Dependency::Shared {
                slice
            } else {
                self.told.cores
            };
            self.call_window = (0.7 * self.call_window).max(least);
        }
    }

    /// The calls that a shared dependency takes from us at once, on average and often under one.
    fn call_slice(&self) -> f64 {
        (CALL_PART * self.told.dependency_quota).max(1e-6)
    }

    /// How long a place in the queue for calls takes.
    fn call_turn(&self) -> f64 {
        let at_once = if self.told.dependency == Dependency::Shared {
            self.call_slice()
        } else {
            f64::INFINITY
        };
        self.call_ms / self.call_window.min(at_once)
    }

    /// How long one more call may take if it went out now; 0 for not at all.
    fn call_room(&self, now: f64) -> f64 {
        if self.calls_in_hand() >= self.call_window.floor().max(1.0) {
            return 0.0;
        }
        if self.told.dependency != Dependency::Shared {
            return f64::INFINITY;
        }
        // Our slice of what the dependency survives, as an average, with every call in hand reckoned to
        // last as long as it was given: a layer that slows or falls silent must not find more calls than
        // planned.
        let lasting = |&n: &u32| match self.tasks[n as usize].state {
            State::Calling => self.tasks[n as usize].until - now,
            _ => 0.0,
        };
        let reserved: f64 = self
            .live
            .iter()
            .map(lasting)
            .chain(self.lingering.iter().map(|at| at - now))
            .sum();
        0.9 * self.told.dependency_quota * self.told.dependency_window_ms
            - self.call_time.total()
            - reserved
    }

    /// Places the calls that wait, those that can't be left out first; leaves out those that come too late.
    fn place_calls(&mut self, now: f64, m: &mut dyn Actions) {
        if self.in_state(State::Parked) == 0 {
            return;
        }
        let parked = |&n: &u32| self.tasks[n as usize].state == State::Parked;
        let mut waiting: Vec<u32> = self.live.iter().copied().filter(parked).collect();
        let rank = |n: u32| {
            let task = &self.tasks[n as usize];
            (
                self.stage(task).facts.degraded_weight_share > 0.0,
                -self.density(task, now),
            )
        };
        waiting.sort_by(|&a, &b| {
            rank(a)
                .partial_cmp(&rank(b))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        let mut ahead = 0.0;
        for n in waiting {
            let task = self.tasks[n as usize];
            if task.answered {
                continue;
            }
            let can_skip = self.stage(&task).facts.degraded_weight_share > 0.0;
            // What is left for the call if the rest, about half a run, is to end in time.
            let late_earns = self.stage(&task).facts.late_weight_share > 0.0 && !can_skip;
            let last = if late_earns { task.due } else { task.aim };
            let spare = last - (0.5 * self.expected(&task)).max(2.0 * BEAT) - now;
            let turn = ahead * self.call_turn() + (-self.call_credit).max(0.0) / self.call_slice();
            ahead += 1.0;
            if can_skip && (spare < turn + self.call_ms || task.tries > 1) {
                self.back_to_work(n, now);
                m.skip_call(Handle(n));
            } else if spare <= 0.0 {
                // It earns nothing more: it would hold memory and a place, and take a call from others.
                self.give_up(n, m);
            } else if now >= task.not_before && self.call_credit >= 0.0 {
                // What takes sixteen times the usual is not coming, and keeps its place from others.
                let spare = spare.min((16.0 * self.call_ms).max(4.0 * BEAT));
                let patience = spare.min(self.call_room(now) - self.told.call_linger_ms);
                if patience >= spare.min(4.0 * self.call_ms).max(BEAT) {
                    ahead -= 1.0;
                    self.enter(n, State::Calling);
                    self.tasks[n as usize].until = now + patience + self.told.call_linger_ms;
                    m.start_call(Handle(n), patience);
                }
            }
        }
    }

    /// A task leaves its call behind and wants a core again.
    fn back_to_work(&mut self, n: u32, now: f64) {
        self.enter(n, State::Running);
        let task = &mut self.tasks[n as usize];
        task.waited += now - task.since;
        task.mark = self.core_time;
        task.tries = 0;
        self.note_crowd();
    }
}

impl Handle {
    /// The run needs a call below before it can go on.
    pub fn call_needed(self, server: &mut Server, now: f64, m: &mut dyn Actions) {
        server.pass_time(now);
        if server.tasks[self.index()].state == State::Running {
            server.enter(self.0, State::Parked);
            let core_time = server.core_time;
            let task = &mut server.tasks[self.index()];
            task.since = now;
            task.had += core_time - task.mark;
        }
        server.place_calls(now, m);
        server.pump(now, m);
    }

    /// The call ended. After a success the run goes on by itself.
    pub fn call_ended(
        self,
        server: &mut Server,
        now: f64,
        how: Outcome,
        took_ms: f64,
        m: &mut dyn Actions,
    ) {
        server.pass_time(now);
        let task = server.tasks[self.index()];
        if task.state != State::Calling {
            return;
        }
        // A reply that comes late, or never, counts as twice the usual: one speaks for no other.
        let timed = if server.call_ms > 0.0 {
            took_ms.min(2.0 * server.call_ms)
        } else {
            took_ms
        };
        if how == Outcome::Ok {
            server.call_fails *= 0.9;
            server.call_ms += 0.2 * (timed - server.call_ms);
            server.call_times.add(took_ms);
            if server.call_times.total >= 400 {
                server.call_times.halve();
            }
            if server.calls_slow() {
                server.cut_calls(now);
            } else if server.calls_in_hand() >= server.call_window.floor() {
                // Only a window that is used is tested: one grown idle would all go out when the layer slows.
                let grown = server.call_window + 1.0 / server.call_window;
                server.call_window = grown.min(server.crowd_ceiling());
            }
            server.back_to_work(self.0, now);
            server.place_calls(now, m);
            return;
        }
        server.enter(self.0, State::Parked);
        if matches!(how, Outcome::TimedOut | Outcome::Reset) {
            server.call_ms += 0.2 * (timed - server.call_ms).max(0.0);
            server.lingering.push(now + server.told.call_linger_ms);
        }
        server.call_fails += 0.1 * (1.0 - server.call_fails);
        // One server of a tier may fail alone, and a spoilt reply tells of no crowd: only most failing does.
        let full = server.told.dependency == Dependency::Shared && how == Outcome::Rejected;
        if full || server.call_fails > 0.5 {
            server.cut_calls(now);
        }
        // Twice as long each time, with jitter: a layer that recovers must not meet all calls at once.
        let wait = 20.0 * f64::from(1 << task.tries.min(5)) * (0.5 + server.chance.next());
        server.tasks[self.index()].tries += 1;
        server.tasks[self.index()].not_before = now + wait;
        // No effect twice: a call that may have run is not made again.
        if !server.restartable(&task) && !how.never_ran() {
            if server.stage(&task).facts.degraded_weight_share > 0.0 {
                server.tasks[self.index()].tries = u32::MAX; // so it is left out
            } else {
                server.give_up(self.0, m);
            }
        }
        server.place_calls(now, m);
    }

    /// The run is over, or the join is.
    pub fn run_ended(self, server: &mut Server, now: f64, how: Outcome, m: &mut dyn Actions) {
        server.pass_time(now);
        let task = server.tasks[self.index()];
        if task.state == State::Running && how == Outcome::Ok {
            server.sample(task, now);
        }
        if task.state == State::Calling {
            server.lingering.push(now + server.told.call_linger_ms); // given up with its call out, which may stay
        }
        if !task.answered && matches!(how, Outcome::Cancelled | Outcome::Stale) {
            m.fail(self); // nothing is stopped unanswered here; if it was all the same, it is not lost
        }
        server.release(self.0, m);
        server.place_calls(now, m);
        server.pump(now, m);
    }

    /// Nobody waits for this task any more.
    pub fn caller_gone(self, server: &mut Server, now: f64, m: &mut dyn Actions) {
        server.pass_time(now);
        server.tasks[self.index()].answered = true;
        server.give_up(self.0, m);
        server.pump(now, m);
    }
}
