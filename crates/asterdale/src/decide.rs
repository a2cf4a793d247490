//! Every decision of asterdale: what one server takes, runs, calls, turns away and says of itself.
//!
//! `Server::start` makes one from what it is told; `server.take` gives a `Handle` for a task just read, and all
//! that happens to that task later is a call on the handle. `server.beat` wants calling at each time asked for by
//! `Machine::wake`. Answers go out through `Machine` (machine.rs); the plain types are in told.rs. Times are ms.

use crate::machine::Machine;
use crate::told::{
    Arrival, Below, CustomerFacts, FreeValue, Gauges, Halt, Outcome, Repeat, StageFacts, Told,
};

#[cfg(test)]
mod tests;

/// A task that was taken, from `Server::take` until `Machine::release`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle(u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Free,
    Held,    // read, not started
    Running, // wants a core
    Parked,  // waits for us to place its call
    Calling, // its call is out
    Joined,  // waits for the earlier try that it repeats
}

#[derive(Clone, Copy, Debug)]
struct Task {
    state: State,
    answered: bool, // the final answer is out, or nobody waits for one
    ran: bool,      // it was started: a task that may not run twice is no longer rejected
    calm: bool,     // never more than the floor ran beside it
    asked: Arrival,
    arrived: f64,
    due: f64, // by then it must have its final answer
    aim: f64, // the time by which its answer earns full utility
    started: f64,
    waited: f64,        // call waits so far, which are not run time
    since: f64,         // when it was last parked or its call went out
    not_before: f64,    // a refused call is not tried again before this
    tries: u32,         // calls that failed, for the present need
    entry: Option<u64>, // time bucket in which its fingerprint lapses
}

/// Counts of values in steps of 8%, fine enough for a p95 and cheap to merge.
#[derive(Clone)]
struct Spread {
    counts: [u32; 212],
    total: u32,
}

impl Spread {
    const STEP: f64 = 0.076961; // ln 1.08; 212 steps reach from 0.01 to about 100000

    fn new() -> Self {
        Spread { counts: [0; 212], total: 0 }
    }
    fn add(&mut self, value: f64) {
        let step = ((value.max(0.01) / 0.01).ln() / Self::STEP).min(211.0);
        self.counts[step as usize] += 1;
        self.total += 1;
    }
    fn merge(&mut self, other: &Spread) {
        for (mine, theirs) in self.counts.iter_mut().zip(&other.counts) {
            *mine += theirs;
        }
        self.total += other.total;
    }
    fn halve(&mut self) {
        self.counts.iter_mut().for_each(|n| *n /= 2);
        self.total = self.counts.iter().sum();
    }
    fn quantile(&self, part: f64) -> f64 {
        let mut left = (self.total as f64 * part).ceil().max(1.0) as u32;
        for (step, &n) in self.counts.iter().enumerate() {
            if n >= left {
                return 0.01 * ((step as f64 + 0.5) * Self::STEP).exp();
            }
            left -= n;
        }
        0.0
    }
}

/// What differs by stage.
struct Stage {
    facts: StageFacts,
    calm: Spread, // net run times (per unit of hinted work) of calm or pinned runs
    base: f64,    // their p95; 0 before there is one
}

/// Per customer: tasks read in each time bucket, and the share it is due here.
struct Customer {
    facts: CustomerFacts,
    read: [f64; WINDOWS],
}

const UPDATE: f64 = 500.0; // the design's interval
const WINDOWS: usize = 8; // 4 s of windows: a few times the run time of a task, so that a p95 has samples

/// The decisions of one server.
pub struct Server {
    told: Told,
    stages: Vec<Stage>,
    customers: Vec<Customer>,
    tasks: Vec<Task>,
    free: Vec<u32>,
    live: Vec<u32>, // all that are not free, oldest first
    chance: u64,
    born: f64,
    leaving: Option<(f64, f64)>, // the notice, and the time by which all must be answered
    // The limiter.
    limit: f64,
    next_update: f64,
    pinned: bool,
    next_pin: f64,
    cores_full: bool,
    windows: Vec<Spread>, // run time over base, one spread for each of the last windows
    window: usize,
    most_running: f64, // in this window and the one before
    most_before: f64,
    pace: f64, // median of recent ratios
    // Counts that the guards keep.
    running: usize,
    at_call: usize, // parked or calling
    held: usize,
    memory: f64,
    entries: [u32; 64], // remembered fingerprints by the time bucket in which they lapse
    entry_clock: u64,
    // Calls below.
    calls: usize,
    call_window: f64,
    cut_at: f64,
    call_ms: f64,
    lingering: Vec<f64>, // calls given up that may still be below, by when they are surely gone
    call_time: [f64; 20], // calls in hand times ms, in buckets of a twentieth of the told window
    call_clock: u64,
    last_beat: f64,
    // What it says of itself.
    credit: f64,
    turned_away: u32,
}

impl Server {
    /// A server that has just started.
    pub fn start(told: Told, now: f64, m: &mut dyn Machine) -> Server {
        let row = |facts: &StageFacts| Stage { facts: facts.clone(), calm: Spread::new(), base: 0.0 };
        let share = |facts: &CustomerFacts| Customer { facts: facts.clone(), read: [0.0; WINDOWS] };
        let mut server = Server {
            stages: told.stages.iter().map(row).collect(),
            customers: told.customers.iter().map(share).collect(),
            tasks: Vec::new(),
            free: Vec::new(),
            live: Vec::new(),
            chance: told.seed,
            born: now,
            leaving: None,
            limit: told.cores,
            next_update: now + UPDATE,
            pinned: false,
            next_pin: 0.0,
            cores_full: false,
            windows: vec![Spread::new(); WINDOWS],
            window: 0,
            most_running: 0.0,
            most_before: 0.0,
            pace: 0.0,
            running: 0,
            at_call: 0,
            held: 0,
            memory: 0.0,
            entries: [0; 64],
            entry_clock: 0,
            calls: 0,
            call_window: told.cores,
            cut_at: now,
            call_ms: 0.0,
            lingering: Vec::new(),
            call_time: [0.0; 20],
            call_clock: 0,
            last_beat: now,
            credit: 0.0,
            turned_away: 0,
            told,
        };
        server.entry_clock = (now / server.entry_width()) as u64;
        server.call_clock = (now / server.call_width()) as u64;
        server.next_pin = now + server.pin_gap();
        server.credit = server.crowd_ceiling();
        // Checks answered from store: real ones cost cores and calls when both are short.
        m.health(true, true);
        m.wake(now + BEAT);
        server
    }

    /// How many stages there are.
    pub fn stages(&self) -> usize {
        self.stages.len()
    }

    /// A permuted congruential generator (XSH-RR 64/32); gives 0 to under 1.
    fn random(&mut self) -> f64 {
        let old = self.chance;
        self.chance = old.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        mixed.rotate_right((old >> 59) as u32) as f64 / 4294967296.0
    }

    // ---- The limiter ----

    /// Every three minutes plus up to half, as the design has it.
    fn pin_gap(&mut self) -> f64 {
        180_000.0 * (1.0 + 0.5 * self.random())
    }

    /// The part of its speed that a server has at least, by the ramp it is guaranteed.
    fn warmth(&self, now: f64) -> f64 {
        let ramp = if self.told.cold_ms > 0.0 { (now - self.born) / self.told.cold_ms } else { 1.0 };
        if self.told.cold {
            (self.told.cold_share + (1.0 - self.told.cold_share) * ramp).min(1.0)
        } else {
            1.0
        }
    }

    /// Tasks that may be running or at a call: all of them could come back to the cores at once. Four fifths of
    /// the crowd that kills, since tasks return from calls between our looks at it.
    fn crowd_ceiling(&self) -> f64 {
        let warmth = self.warmth(self.last_beat);
        (0.8 * self.told.cores * (1.0 + (self.told.crowd_factor - 1.0) * warmth)).max(1.0)
    }

    fn update(&mut self, now: f64) {
        // Runs of work far over their base count before they end: when work stops or crawls nothing ends, and
        // a window that is empty for that reason is not calm. Twice the base is the doubling the design allows.
        let mut recent = Spread::new();
        for &n in &self.live {
            let task = &self.tasks[n as usize];
            let ratio = self.net(task, now) / self.base(task).max(1e-9);
            if task.state == State::Running && self.base(task) > 0.0 && ratio > 2.0 {
                recent.add(ratio);
            }
        }
        // A run lasts a good part of a window, so windows are added, newest first, until 20 samples bear a p95.
        for back in 0..WINDOWS {
            if recent.total < 20 {
                recent.merge(&self.windows[(self.window + WINDOWS - back) % WINDOWS]);
            }
        }
        // With no sample left the pace is forgotten, so that a server that gave up on slow work tries again.
        self.pace = if recent.total > 0 { recent.quantile(0.5) } else { 0.0 };
        let based = self.stages.iter().any(|s| s.base > 0.0);
        let gradient = if recent.total > 0 { (2.0 / recent.quantile(0.95)).clamp(0.5, 2.0) } else { 1.0 };
        let busiest = self.most_running.max(self.most_before);
        if !self.cores_full {
            // Room: the limit never falls. It grows no further than twice what was tried of late, because a
            // limit that nobody has tested would let a burst onto the cores before one latency is seen.
            let factor = if based { gradient.max(1.0) } else { 2.0 };
            let grown = factor * self.limit + (factor * self.limit).sqrt();
            self.limit = grown.min(2.0 * busiest.max(self.told.cores)).max(self.limit);
        } else if self.pinned {
            self.limit = self.told.cores;
        } else if based && recent.total > 0 {
            let scaled = gradient * self.limit;
            self.limit = scaled + scaled.sqrt();
        }
        if self.cores_full && !self.pinned && (!based || now >= self.next_pin) && self.warmth(now) >= 1.0 {
            self.pinned = true;
            self.stages.iter_mut().for_each(|s| s.calm = Spread::new());
        }
        self.limit = self.limit.clamp(self.told.cores, self.crowd_ceiling().max(self.told.cores));
        self.most_before = self.most_running;
        self.most_running = self.running as f64;
        self.window = (self.window + 1) % WINDOWS;
        self.windows[self.window] = Spread::new();
        for customer in &mut self.customers {
            customer.read[self.window] = 0.0;
        }
    }

    /// A run that ended well: a sample for the window, and for the base if it was calm.
    fn sample(&mut self, n: u32, now: f64) {
        let task = self.tasks[n as usize];
        let net = self.net(&task, now);
        if self.base(&task) > 0.0 {
            let ratio = net / self.base(&task);
            self.windows[self.window].add(ratio);
        }
        let unit = net / task.asked.hint_ms.unwrap_or(1.0).max(1e-3);
        let warm = self.warmth(now) >= 1.0; // a cold start's times would stand as a base for minutes
        let stage = &mut self.stages[task.asked.stage];
        // Runs at three times the base tell of trouble, not of calm; only a pin may raise the base that far.
        if !warm || !task.calm || (!self.pinned && stage.base > 0.0 && unit > 3.0 * stage.base) {
            return;
        }
        stage.calm.add(unit);
        // The design waits for 500 runs; a stage here sees a few a second. 20 are the fewest that have a p95.
        if stage.calm.total >= 20 {
            stage.base = stage.calm.quantile(0.95);
        }
        if stage.calm.total >= 500 {
            stage.calm.halve();
        }
        if self.pinned && self.stages.iter().map(|s| s.calm.total).sum::<u32>() >= 60 {
            self.pinned = false;
            self.next_pin = now + self.pin_gap();
        }
    }

    /// Run time so far, less call waits.
    fn net(&self, task: &Task, now: f64) -> f64 {
        now - task.started - task.waited
    }

    /// The base latency of a task: its stage's, times its hinted work where that is told.
    fn base(&self, task: &Task) -> f64 {
        self.stages[task.asked.stage].base * task.asked.hint_ms.unwrap_or(1.0)
    }

    /// How long a task would run if it began now; 0 while that is unknown.
    fn expected(&self, task: &Task) -> f64 {
        self.base(task) * self.pace
    }

    // ---- What a task is worth, and the order of the hold ----

    /// Part of a customer's tasks that still counts in full: what it sends beyond its share of this server is
    /// worth little, and no task says which it is.
    fn in_share(&self, customer: usize) -> f64 {
        let Some(c) = self.customers.get(customer) else { return 1.0 };
        let rate = c.read.iter().sum::<f64>() / (WINDOWS as f64 * UPDATE / 1000.0);
        let due = c.facts.allowance_per_s / self.told.servers.max(1.0);
        if rate <= due {
            1.0
        } else {
            (due + (rate - due) * self.told.over_share_worth) / rate
        }
    }

    /// Utility that can still be had, for each unit of core work.
    fn density(&self, task: &Task, now: f64) -> f64 {
        let stage = &self.stages[task.asked.stage];
        let late = now + self.expected(task) > task.aim;
        let utility = stage.facts.utility * if late { stage.facts.late_share } else { 1.0 };
        let cost = if self.told.by_work || stage.base <= 0.0 { 1.0 } else { stage.base };
        utility * self.in_share(task.asked.customer) / cost
    }

    /// The held task that should run next.
    fn best_held(&self, now: f64) -> Option<u32> {
        let mut best: Option<(f64, u32)> = None;
        for &n in &self.live {
            let task = &self.tasks[n as usize];
            if task.state == State::Held {
                let density = self.density(task, now);
                if best.map_or(true, |(d, _)| density > d) {
                    best = Some((density, n));
                }
            }
        }
        best.map(|(_, n)| n)
    }

    /// The held task that loses the next place: of the customer with most in the hold for its share, the least
    /// dense, the newest of equals.
    fn worst_held(&self, now: f64) -> Option<u32> {
        let mut count = vec![0.0; self.customers.len().max(1)];
        let held = || self.live.iter().copied().filter(|&n| self.tasks[n as usize].state == State::Held);
        let who = |n: u32| self.tasks[n as usize].asked.customer.min(count.len() - 1);
        let owners: Vec<usize> = held().map(who).collect();
        for &c in &owners {
            count[c] += 1.0 / self.customers.get(c).map_or(1.0, |c| c.facts.portion.max(1e-6));
        }
        let most = owners.iter().map(|&c| count[c]).fold(0.0, f64::max);
        let mut worst: Option<(f64, u32)> = None;
        for (n, &c) in held().zip(&owners) {
            let density = self.density(&self.tasks[n as usize], now);
            if count[c] >= most && worst.map_or(true, |(d, _)| density <= d) {
                worst = Some((density, n));
            }
        }
        worst.map(|(_, n)| n)
    }

    // ---- Taking and running ----

    /// A task has been read. Its final answer is owed from now on.
    pub fn take(&mut self, now: f64, asked: Arrival, m: &mut dyn Machine) -> Handle {
        let facts = &self.stages[asked.stage].facts;
        let arrived = now - asked.unread_ms;
        let mut due = asked.left_ms.map_or((arrived + facts.limit_ms).max(now), |left| now + left);
        let aim = (arrived + facts.due_ms).min(due);
        let (repeat, memory_ms) = (facts.repeat, facts.memory_ms);
        if let Some((_, stop)) = self.leaving {
            due = due.min(stop);
        }
        let task = Task {
            state: State::Held,
            answered: false,
            ran: false,
            calm: false,
            asked,
            arrived,
            due,
            aim,
            started: now,
            waited: 0.0,
            since: now,
            not_before: now,
            tries: 0,
            entry: None,
        };
        let n = self.free.pop().unwrap_or(self.tasks.len() as u32);
        if n as usize == self.tasks.len() {
            self.tasks.push(task);
        } else {
            self.tasks[n as usize] = task;
        }
        self.live.push(n);
        self.held += 1;
        self.memory += asked.kb;
        m.seat(Handle(n));
        if let Some(customer) = self.customers.get_mut(asked.customer) {
            customer.read[self.window] += 1.0;
        }
        if asked.repeat && (repeat == Repeat::Fingerprinted || self.told.fresh_ms > 0.0) {
            self.enter(n, State::Joined);
            self.tasks[n as usize].ran = true; // the try that it repeats may have run: no rejection
            m.join(Handle(n));
            return Handle(n);
        }
        // Fingerprints are remembered before anything else: a repeat of a task in the hold must be known too.
        let entry = if repeat == Repeat::Fingerprinted { self.told.entry_kb } else { 0.0 };
        let late = self.leaving.is_some_and(|(notice, _)| arrived > notice + self.told.drain_grace_ms);
        if late || self.memory + entry > MEMORY_PART * self.told.memory_kb {
            self.give_up(n, now, m);
            return Handle(n);
        }
        if repeat == Repeat::Fingerprinted {
            // The window counts from the arrival; two ticks more cover the rounding of times to batches.
            let for_ms = memory_ms - asked.unread_ms + 2.0 * self.told.tick_ms;
            let bucket = ((now + for_ms) / self.entry_width()) as u64 + 1;
            self.entries[(bucket % 64) as usize] += 1;
            self.memory += entry;
            self.tasks[n as usize].entry = Some(bucket);
            m.remember(Handle(n), for_ms);
        } else if repeat == Repeat::Restartable && self.told.fresh_ms > 0.0 {
            m.remember(Handle(n), self.told.fresh_ms);
        }
        self.pump(now, m);
        Handle(n)
    }

    /// Starts what may start, then turns away what has no place.
    fn pump(&mut self, now: f64, m: &mut dyn Machine) {
        while (self.running as f64) < self.limit.floor()
            && ((self.running + self.at_call) as f64) < self.crowd_ceiling().floor()
        {
            let Some(n) = self.best_held(now) else { break };
            let task = self.tasks[n as usize];
            let grown = self.memory + task.asked.kb * (self.told.run_blowup - 1.0);
            if grown > MEMORY_PART * self.told.memory_kb && self.running + self.at_call > 0 {
                break;
            }
            if self.hopeless(&task, now) {
                self.give_up(n, now, m);
                continue;
            }
            self.enter(n, State::Running);
            self.tasks[n as usize].started = now;
            self.tasks[n as usize].ran = true;
            self.tasks[n as usize].calm = true;
            self.note_crowd();
            m.run(Handle(n));
        }
        // Cores full: arrivals over the limit are refused early. Early is a twelfth of the caller's wait (a tenth
        // is what the users call early), in which the hold can choose by utility; and one place a core.
        while self.cores_full && self.held as f64 > self.told.cores {
            let Some(n) = self.worst_held(now) else { break };
            self.give_up(n, now, m);
        }
    }

    /// Runs beside more than the floor are not calm.
    fn note_crowd(&mut self) {
        self.most_running = self.most_running.max(self.running as f64);
        if self.running as f64 > self.told.cores {
            for &n in &self.live {
                self.tasks[n as usize].calm = false;
            }
        }
    }

    /// A held task that could no longer end in time to earn anything. One run always goes ahead: with none the
    /// pace would never be measured again.
    fn hopeless(&self, task: &Task, now: f64) -> bool {
        let end = now + self.expected(task);
        let facts = &self.stages[task.asked.stage].facts;
        now >= task.due
            || (self.running > 0 && (end > task.due || (end > task.aim && facts.late_share <= 0.0)))
    }

    /// Moves a task, keeping the counts and the memory.
    fn enter(&mut self, n: u32, to: State) {
        let task = self.tasks[n as usize];
        let big = |s: State| matches!(s, State::Running | State::Parked | State::Calling);
        let kb = |s: State| match s {
            State::Free => 0.0,
            s if big(s) => task.asked.kb * self.told.run_blowup,
            _ => task.asked.kb,
        };
        self.memory += kb(to) - kb(task.state);
        for (state, step) in [(task.state, -1), (to, 1)] {
            match state {
                State::Held => self.held = self.held.wrapping_add_signed(step),
                State::Running => self.running = self.running.wrapping_add_signed(step),
                State::Parked => self.at_call = self.at_call.wrapping_add_signed(step),
                State::Calling => {
                    self.at_call = self.at_call.wrapping_add_signed(step);
                    self.calls = self.calls.wrapping_add_signed(step);
                }
                State::Free | State::Joined => {}
            }
        }
        self.tasks[n as usize].state = to;
    }

    /// The task is over for good.
    fn release(&mut self, n: u32, m: &mut dyn Machine) {
        self.enter(n, State::Free);
        self.live.retain(|&other| other != n);
        self.free.push(n);
        m.release(Handle(n));
    }

    /// Answers at once a task that will not be finished here, and stops its work where that is possible.
    fn give_up(&mut self, n: u32, now: f64, m: &mut dyn Machine) {
        let task = self.tasks[n as usize];
        let restartable = self.stages[task.asked.stage].facts.repeat == Repeat::Restartable;
        if !task.answered {
            if task.ran && !(restartable && task.state != State::Joined) {
                m.abandon(Handle(n));
            } else {
                let (last, stay) = self.advice(now);
                m.reject(Handle(n), last, stay);
                self.turned_away += 1;
            }
            self.tasks[n as usize].answered = true;
        }
        match task.state {
            State::Running if restartable && self.told.halt != Halt::Never => m.stop(Handle(n)),
            State::Held => {
                if let Some(bucket) = task.entry {
                    self.entries[(bucket % 64) as usize] -= 1;
                    self.memory -= self.told.entry_kb;
                    m.forget(Handle(n));
                }
                self.release(n, m);
            }
            State::Joined => self.release(n, m),
            _ => {}
        }
    }

    /// What a rejection says: whether to try elsewhere, and how long to stay away.
    fn advice(&mut self, now: f64) -> (bool, f64) {
        let most = self.told.advice_ms;
        if self.leaving.is_some() {
            return (false, most);
        }
        // Trouble of our own (cold, or slow beside few): others are better off, so the task may go elsewhere.
        // Otherwise those who share our balancers are as full, and a walk through them only costs reading.
        let own = self.warmth(now) < 1.0 || self.pace > 2.0;
        // Jitter keeps callers from coming back together.
        let stay = most * (0.5 + 0.5 * self.random());
        if own {
            (false, stay)
        } else {
            (true, 0.3 * stay)
        }
    }

    // ---- Time ----

    /// The regular look at everything that depends on time.
    pub fn beat(&mut self, now: f64, gauges: Gauges, m: &mut dyn Machine) {
        m.wake(now + BEAT);
        self.pass_time(now);
        // A missing gauge reads as our own count does.
        self.cores_full = gauges.cpu.map_or(self.running as f64 >= self.told.cores, |cpu| cpu >= CORES_FULL);
        if now >= self.next_update {
            self.update(now);
            self.say(m);
            self.next_update = now + UPDATE;
        }
        let early = self.told.cores.max(1.0) * 0.0 + 1.0 / 12.0;
        for n in self.live.clone() {
            let task = self.tasks[n as usize];
            if task.state == State::Free || task.answered {
                continue;
            }
            let facts = &self.stages[task.asked.stage].facts;
            let worthless = now >= task.aim && facts.late_share <= 0.0;
            let stoppable = facts.repeat == Repeat::Restartable && self.told.halt != Halt::Never;
            let give_up = now + BEAT >= task.due
                || match task.state {
                    State::Held => {
                        let patience = early * (task.due - task.arrived);
                        self.hopeless(&task, now) || (self.cores_full && now - task.arrived > patience)
                    }
                    // Work that earns nothing any more takes cores from work that does.
                    State::Running => worthless && stoppable,
                    State::Parked | State::Calling => worthless && facts.repeat == Repeat::Restartable,
                    _ => false,
                };
            if give_up {
                self.give_up(n, now, m);
            }
        }
        self.place_calls(now, m);
        self.pump(now, m);
    }

    /// Rolls the rings of fingerprints and of call time on to now.
    fn pass_time(&mut self, now: f64) {
        let bucket = (now / self.entry_width()) as u64;
        while self.entry_clock < bucket {
            self.entry_clock += 1;
            let lapsed = std::mem::take(&mut self.entries[(self.entry_clock % 64) as usize]);
            self.memory -= lapsed as f64 * self.told.entry_kb;
        }
        self.lingering.retain(|&until| until > now);
        let bucket = (now / self.call_width()) as u64;
        while self.call_clock < bucket {
            self.call_clock += 1;
            self.call_time[(self.call_clock % 20) as usize] = 0.0;
        }
        let in_hand = (self.calls + self.lingering.len()) as f64;
        self.call_time[(self.call_clock % 20) as usize] += in_hand * (now - self.last_beat);
        self.last_beat = now;
    }

    /// Buckets that reach a little over the longest memory of any stage.
    fn entry_width(&self) -> f64 {
        self.stages.iter().map(|s| s.facts.memory_ms).fold(1000.0, f64::max) / 60.0
    }

    fn call_width(&self) -> f64 {
        self.told.calls_window_ms.max(1000.0) / 20.0
    }

    /// The notice to leave: the process is stopped after `left_ms`.
    pub fn leave(&mut self, now: f64, left_ms: f64, m: &mut dyn Machine) {
        let stop = now + left_ms - 2.0 * BEAT;
        self.leaving = Some((now, stop));
        for &n in &self.live {
            let task = &mut self.tasks[n as usize];
            task.due = task.due.min(stop);
        }
        m.health(false, true);
        self.pump(now, m);
    }

    /// Once an update: how many tasks each caller should keep here, where callers heed that.
    fn say(&mut self, m: &mut dyn Machine) {
        if self.told.free_value == FreeValue::Credit {
            // Cut by a share while tasks are turned away, grown by one otherwise: the floor is one task a core.
            let fewest = self.told.cores / self.told.callers.max(1.0);
            let next = if self.turned_away > 0 { self.credit * 0.8 } else { self.credit + 1.0 };
            self.credit = next.clamp(fewest, self.crowd_ceiling());
            m.advertise(self.credit);
        }
        self.turned_away = 0;
    }

    // ---- Calls below ----

    /// Whether one more call may go out now.
    fn call_allowed(&self) -> bool {
        let in_hand = (self.calls + self.lingering.len()) as f64;
        if in_hand >= self.call_window.floor().max(1.0) {
            return false;
        }
        if self.told.below != Below::Shared {
            return true;
        }
        // Our slice of what the dependency survives, as an average: calls made so far, and those in hand for as
        // long as one lasts. A slice under one still lets single calls through.
        let window = self.told.calls_window_ms.max(1000.0);
        let ahead = (in_hand + 1.0) * self.call_ms.clamp(self.told.tick_ms, window);
        let used = self.call_time.iter().sum::<f64>() + ahead;
        in_hand < (2.0 * self.told.calls_share).max(1.0) && used <= 0.9 * self.told.calls_share * window
    }

    /// Places the calls that wait, those that cannot be left out first; leaves out those that come too late.
    fn place_calls(&mut self, now: f64, m: &mut dyn Machine) {
        let mut waiting: Vec<u32> =
            self.live.iter().copied().filter(|&n| self.tasks[n as usize].state == State::Parked).collect();
        let rank = |n: u32| {
            let task = &self.tasks[n as usize];
            let must = self.stages[task.asked.stage].facts.without_call <= 0.0;
            (must as u8 as f64) * 1e6 + self.density(task, now)
        };
        waiting.sort_by(|&a, &b| rank(b).total_cmp(&rank(a)).then(a.cmp(&b)));
        for n in waiting {
            let task = self.tasks[n as usize];
            if task.answered {
                continue;
            }
            let can_skip = self.stages[task.asked.stage].facts.without_call > 0.0;
            let rest = 0.5 * self.expected(&task);
            // What is left for the call if the answer is to come in time.
            let spare = if can_skip { task.aim - rest - now } else { task.due - 2.0 * BEAT - now };
            if can_skip && (spare < self.call_ms || task.tries > 2) {
                self.back_to_work(n, now);
                m.skip_call(Handle(n));
            } else if now >= task.not_before && spare > 0.0 && self.call_allowed() {
                self.enter(n, State::Calling);
                m.call(Handle(n), spare.max(BEAT));
            }
        }
    }

    /// A task leaves its call behind and wants a core again.
    fn back_to_work(&mut self, n: u32, now: f64) {
        self.enter(n, State::Running);
        let task = &mut self.tasks[n as usize];
        task.waited += now - task.since;
        task.tries = 0;
        self.note_crowd();
    }
}

const BEAT: f64 = 10.0; // how often time is looked at: well inside the slack an answer may have
const CORES_FULL: f64 = 0.9; // a half second's mean; with fewer than half a core idle a queue is forming
const MEMORY_PART: f64 = 0.9; // of the memory: the rest covers sizes that are told roughly

impl Handle {
    /// A small number, unique among the tasks that are not over.
    pub fn index(self) -> usize {
        self.0 as usize
    }

    /// The run needs a call below before it can go on.
    pub fn needs_call(self, server: &mut Server, now: f64, m: &mut dyn Machine) {
        server.pass_time(now);
        if server.tasks[self.index()].state == State::Running {
            server.enter(self.0, State::Parked);
            server.tasks[self.index()].since = now;
        }
        server.place_calls(now, m);
        server.pump(now, m);
    }

    /// The call ended. After a success the run goes on by itself.
    pub fn call_over(self, server: &mut Server, now: f64, how: Outcome, took_ms: f64, m: &mut dyn Machine) {
        server.pass_time(now);
        let task = server.tasks[self.index()];
        if task.state != State::Calling {
            return;
        }
        if how == Outcome::Ok {
            server.call_ms += 0.1 * (took_ms - server.call_ms);
            server.call_window += 1.0 / server.call_window.max(1.0);
            server.call_window = server.call_window.min(server.crowd_ceiling());
            server.back_to_work(self.0, now);
            server.place_calls(now, m);
            return;
        }
        server.enter(self.0, State::Parked);
        if how == Outcome::Timeout {
            server.lingering.push(now + server.told.linger_ms);
        }
        // Cut once for what is one trouble below, not once for each call that it takes along.
        if now - server.cut_at > server.call_ms {
            server.cut_at = now;
            server.call_window = (0.7 * server.call_window).max(1.0);
        }
        let facts = &server.stages[task.asked.stage].facts;
        let repeatable = facts.repeat == Repeat::Restartable || how.never_ran();
        let can_skip = facts.without_call > 0.0;
        let wait = 20.0 * (1 << task.tries.min(5)) as f64 * (0.5 + server.random());
        let task = &mut server.tasks[self.index()];
        task.tries += 1;
        task.not_before = now + wait;
        if !repeatable && can_skip {
            task.tries = 99; // placing it again leaves the call out
        } else if !repeatable {
            server.give_up(self.0, now, m);
        }
        server.place_calls(now, m);
    }

    /// The run is over, or the join is.
    pub fn run_over(self, server: &mut Server, now: f64, how: Outcome, _took_ms: f64, m: &mut dyn Machine) {
        server.pass_time(now);
        let task = server.tasks[self.index()];
        if task.state == State::Running && how == Outcome::Ok {
            server.sample(self.0, now);
        }
        if !task.answered && matches!(how, Outcome::Cancelled | Outcome::Moot) {
            m.abandon(self); // we stop nothing unanswered; should it happen all the same, nothing is lost
        }
        server.release(self.0, m);
        server.place_calls(now, m);
        server.pump(now, m);
    }

    /// Nobody waits for this task any more.
    pub fn caller_left(self, server: &mut Server, now: f64, m: &mut dyn Machine) {
        server.pass_time(now);
        server.tasks[self.index()].answered = true;
        match server.tasks[self.index()].state {
            State::Held | State::Joined | State::Running => server.give_up(self.0, now, m),
            _ => {}
        }
        server.pump(now, m);
    }
}
