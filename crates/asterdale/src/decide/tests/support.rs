use super::*;
use crate::told::{CustomerFacts, StageFacts};

pub fn told() -> Told {
    let stage = |repeat, utility| StageFacts {
        due_ms: 2_000.0,
        limit_ms: 10_000.0,
        utility,
        late_share: 0.2,
        without_call: if repeat == Repeat::Restartable {
            0.5
        } else {
            0.0
        },
        calls: true,
        repeat,
        memory_ms: 5_000.0,
    };
    Told {
        seed: 1,
        cores: 6.0,
        memory_kb: 10_000.0,
        run_blowup: 16.0,
        entry_kb: 100.0,
        cold: false,
        cold_share: 0.25,
        cold_ms: 10_000.0,
        crowd_factor: 8.0,
        tick_ms: 4.0,
        drain_grace_ms: 2_000.0,
        servers: 20.0,
        callers: 3.0,
        below: Below::Tier,
        calls_share: 0.0,
        calls_window_ms: 5_000.0,
        linger_ms: 200.0,
        idle_ms: 30_000.0,
        fresh_ms: 0.0,
        halt: Halt::Drop,
        free_value: FreeValue::Unused,
        advice_ms: 1_000.0,
        over_share_worth: 0.1,
        by_work: false,
        stages: vec![
            stage(Repeat::Restartable, 1.0),
            stage(Repeat::Fingerprinted, 3.0),
        ],
        customers: Vec::new(),
    }
}

pub fn server(told: Told) -> Server {
    Server::start(told, 0.0, &mut Log::default())
}

pub fn arrival(stage: usize) -> Arrival {
    Arrival {
        stage,
        customer: 0,
        caller: 0,
        unread_ms: 0.0,
        left_ms: Some(10_000.0),
        hint_ms: None,
        kb: 10.0,
        repeat: false,
    }
}

pub fn customer(allowance_per_s: f64) -> Customer {
    let facts = CustomerFacts { allowance_per_s };
    Customer {
        facts,
        read: Ring::new(4_000.0, 8, 0.0),
        held: 0,
    }
}

/// A task in this state since time 0, as if it had been taken.
pub fn put(s: &mut Server, state: State, stage: usize) {
    let mut task = Task::read(arrival(stage), 0.0);
    (task.due, task.aim, task.ran) = (10_000.0, 2_000.0, state != State::Held);
    s.tasks.push(task);
    let n = s.tasks.len() as u32 - 1;
    s.live.push(n);
    s.enter(n, state);
}

/// Samples of this ratio in the present window.
pub fn ratios(s: &mut Server, ratio: f64, n: usize) {
    (0..n).for_each(|_| s.windows[s.window].add(ratio));
}

/// The answers, a word or two each.
#[derive(Default)]
pub struct Log(pub Vec<String>);

impl Log {
    pub fn count(&self, what: &str) -> usize {
        self.0.iter().filter(|line| line.starts_with(what)).count()
    }
    fn say(&mut self, what: &str, task: Handle) {
        self.0.push(format!("{what} {}", task.0));
    }
}

impl Machine for Log {
    fn seat(&mut self, task: Handle) {
        self.say("seat", task);
    }
    fn release(&mut self, task: Handle) {
        self.say("release", task);
    }
    fn run(&mut self, task: Handle) {
        self.say("run", task);
    }
    fn stop(&mut self, task: Handle) {
        self.say("stop", task);
    }
    fn call(&mut self, task: Handle, _: f64) {
        self.say("call", task);
    }
    fn skip_call(&mut self, task: Handle) {
        self.say("skip", task);
    }
    fn join(&mut self, task: Handle) {
        self.say("join", task);
    }
    fn remember(&mut self, task: Handle, for_ms: f64) {
        self.0.push(format!("remember {} {for_ms}", task.0));
    }
    fn forget(&mut self, task: Handle) {
        self.say("forget", task);
    }
    fn reject(&mut self, task: Handle, last: bool, _: f64) {
        self.0.push(format!(
            "reject {}{}",
            task.0,
            if last { " last" } else { "" }
        ));
    }
    fn abandon(&mut self, task: Handle) {
        self.say("abandon", task);
    }
    fn advertise(&mut self, value: f64) {
        self.0.push(format!("advertise {value}"));
    }
    fn health(&mut self, good: bool, _: bool) {
        self.0.push(format!("health {good}"));
    }
    fn close_idle(&mut self, after_ms: f64) {
        self.0.push(format!("close {after_ms}"));
    }
    fn wake(&mut self, _: f64) {
        self.0.push("wake".into());
    }
}
