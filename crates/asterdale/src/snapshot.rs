//! A server's whole state as bytes, and back: for a process that hands its work to another on the same machine.
//! What is written are maps by field name (MessagePack), so that a release that knows more fields can be read by
//! one that knows fewer. What is read is checked before anything is decided by it.

use serde::{Deserialize, Serialize};

use crate::state::{Server, State};

/// Raised when a field changes its meaning, or a new one can't be guessed: then states can't be exchanged.
pub const SHAPE: u32 = 1;
/// No state is larger, in bytes: some 100,000 tasks.
const MOST: usize = 64 * 1024 * 1024;

/// Why bytes are no state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsound {
    /// They can't be read, or are too many.
    Unreadable,
    /// They can be read, and don't fit together.
    Inconsistent(&'static str),
}

/// The figures by which a server that goes on is told from one that begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gist {
    /// The limit of running tasks.
    pub limit: f64,
    /// The base latency of each stage, 0 where there is none yet.
    pub bases: Vec<f64>,
    /// The window of calls.
    pub call_window: f64,
    /// The median of recent ratios of run time over base.
    pub pace: f64,
    /// Tasks that are not over.
    pub tasks: usize,
}

impl Server {
    /// The state as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        // Maps, lists and numbers alone are written, into memory: that can't fail.
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// The server that these bytes are the state of. Its host calls [`Server::beat`] soon, as if it had been
    /// woken.
    pub fn restore(bytes: &[u8]) -> Result<Server, Unsound> {
        if bytes.len() > MOST {
            return Err(Unsound::Unreadable);
        }
        let server: Server = rmp_serde::from_slice(bytes).map_err(|_| Unsound::Unreadable)?;
        server.check()?;
        Ok(server)
    }

    /// Its main figures.
    pub fn gist(&self) -> Gist {
        Gist {
            limit: self.limit,
            bases: self.stages.iter().map(|stage| stage.base).collect(),
            call_window: self.call_window,
            pace: self.pace,
            tasks: self.live.len(),
        }
    }

    /// Whether all indices lie within what they point into, and counts are those of the tasks: decisions rely
    /// on it without looking.
    fn check(&self) -> Result<(), Unsound> {
        let holds = |what, holds: bool| {
            if holds {
                Ok(())
            } else {
                Err(Unsound::Inconsistent(what))
            }
        };
        holds(
            "stages",
            self.stages.len() == self.told.stages.len() && !self.stages.is_empty(),
        )?;
        holds("customers", !self.customers.is_empty())?;
        holds("windows", self.window < self.windows.len())?;
        let rings = [&self.entries, &self.call_time, &self.rejected];
        holds("rings", rings.iter().all(|ring| ring.sound()))?;
        holds(
            "shares",
            self.customers.iter().all(|customer| customer.read.sound()),
        )?;
        holds(
            "tasks",
            self.live.len() + self.free.len() == self.tasks.len(),
        )?;
        let mut seen = vec![false; self.tasks.len()];
        for &n in self.live.iter().chain(&self.free) {
            let seen = seen
                .get_mut(n as usize)
                .ok_or(Unsound::Inconsistent("tasks"))?;
            holds("tasks", !std::mem::replace(seen, true))?;
        }
        let mut count = [0; 6];
        for &n in &self.live {
            let task = &self.tasks[n as usize];
            holds("a task's stage", task.asked.stage < self.stages.len())?;
            holds(
                "a task's customer",
                task.asked.customer < self.customers.len(),
            )?;
            holds("a task's caller", task.asked.caller < self.callers.len())?;
            holds("a task's state", task.state != State::Free)?;
            count[task.state as usize] += 1;
        }
        holds(
            "counts",
            (1..6).all(|state| count[state] == self.count[state]),
        )
    }
}

/// Counts of a [`crate::measure::Spread`], of which there are more than a list of fixed size is read with.
pub(crate) mod counts {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(counts: &[u32; 212], to: S) -> Result<S::Ok, S::Error> {
        counts.as_slice().serialize(to)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<[u32; 212], D::Error> {
        let counts = Vec::<u32>::deserialize(from)?;
        counts
            .try_into()
            .map_err(|_| D::Error::custom("212 counts are wanted"))
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    use super::*;
    use crate::decide::Handle;
    use crate::machine::Machine;
    use crate::told::*;

    /// Writes down what it is told, and knows what is open.
    #[derive(Clone, Default)]
    struct Log {
        said: Vec<String>,
        held: Vec<Handle>,
        running: Vec<Handle>,
    }

    impl Log {
        fn say(&mut self, what: &str, task: Handle) {
            self.said.push(format!("{what} {}", task.index()));
        }
    }

    impl Machine for Log {
        fn seat(&mut self, task: Handle) {
            self.say("seat", task);
            self.held.push(task);
        }
        fn release(&mut self, task: Handle) {
            self.say("release", task);
            self.held.retain(|held| *held != task);
            self.running.retain(|running| *running != task);
        }
        fn run(&mut self, task: Handle) {
            self.say("run", task);
            self.running.push(task);
        }
        fn stop(&mut self, task: Handle) {
            self.say("stop", task);
        }
        fn call(&mut self, task: Handle, patience_ms: f64) {
            self.said
                .push(format!("call {} {patience_ms}", task.index()));
        }
        fn skip_call(&mut self, task: Handle) {
            self.say("skip", task);
        }
        fn join(&mut self, task: Handle) {
            self.say("join", task);
        }
        fn remember(&mut self, task: Handle, for_ms: f64) {
            self.said
                .push(format!("remember {} {for_ms}", task.index()));
        }
        fn forget(&mut self, task: Handle) {
            self.say("forget", task);
        }
        fn reject(&mut self, task: Handle, last: bool, stay_away_ms: f64) {
            self.said
                .push(format!("reject {} {last} {stay_away_ms}", task.index()));
        }
        fn abandon(&mut self, task: Handle) {
            self.say("abandon", task);
        }
        fn advertise(&mut self, value: f64) {
            self.said.push(format!("advertise {value}"));
        }
        fn health(&mut self, good: bool, stored: bool) {
            self.said.push(format!("health {good} {stored}"));
        }
        fn close_idle(&mut self, after_ms: f64) {
            self.said.push(format!("close {after_ms}"));
        }
        fn wake(&mut self, at_ms: f64) {
            self.said.push(format!("wake {at_ms}"));
        }
    }

    fn told() -> Told {
        let stage = |repeat, utility| StageFacts {
            due_ms: 500.0,
            limit_ms: 2_000.0,
            utility,
            late_share: 0.2,
            without_call: 0.5,
            calls: true,
            repeat,
            memory_ms: 5_000.0,
        };
        Told {
            seed: 3,
            cores: 2.0,
            memory_kb: 9_000.0,
            run_blowup: 16.0,
            entry_kb: 10.0,
            cold: false,
            cold_share: 0.25,
            cold_ms: 1_000.0,
            crowd_factor: 5.0,
            tick_ms: 5.0,
            drain_grace_ms: 0.0,
            servers: 2.0,
            callers: 2.0,
            below: Below::Shared,
            calls_share: 10.0,
            calls_window_ms: 5_000.0,
            linger_ms: 10.0,
            idle_ms: 30_000.0,
            fresh_ms: 0.0,
            halt: Halt::Never,
            free_value: FreeValue::Unused,
            advice_ms: 1_000.0,
            over_share_worth: 0.1,
            by_work: true,
            stages: vec![
                stage(Repeat::Restartable, 1.0),
                stage(Repeat::Fingerprinted, 3.0),
            ],
            customers: vec![
                CustomerFacts {
                    allowance_per_s: 5.0,
                },
                CustomerFacts {
                    allowance_per_s: 50.0,
                },
            ],
        }
    }

    /// One thing that happens, drawn by numbers.
    fn happen(server: &mut Server, log: &mut Log, now: f64, (what, n): (u8, usize)) {
        let pick = |from: &[Handle]| from.get(n % from.len().max(1)).copied();
        match what {
            0..5 => {
                let arrival = Arrival {
                    stage: n % 2,
                    customer: n / 2 % 2,
                    caller: n / 4 % 3,
                    unread_ms: (n % 7) as f64,
                    left_ms: Some(100.0 + (n % 900) as f64),
                    hint_ms: (n % 3 > 0).then_some(1.0 + (n % 40) as f64),
                    kb: 5.0,
                    repeat: n % 17 == 0,
                };
                server.take(now, arrival, log);
            }
            5..8 => {
                let how = [Outcome::Ok, Outcome::Ok, Outcome::Error][n % 3];
                if let Some(task) = pick(&log.running) {
                    task.run_over(server, now, how, log);
                }
            }
            8 => {
                if let Some(task) = pick(&log.held) {
                    task.caller_left(server, now, log);
                }
            }
            9 => {
                if let Some(task) = pick(&log.running) {
                    task.needs_call(server, now, log);
                    let how = [Outcome::Ok, Outcome::Full, Outcome::Timeout][n % 3];
                    task.call_over(server, now, how, (n % 90) as f64, log);
                }
            }
            _ => {
                let cpu = Some((n % 11) as f64 / 10.0);
                server.beat(
                    now,
                    Gauges {
                        cpu,
                        ..Gauges::default()
                    },
                    log,
                );
            }
        }
    }

    proptest! {
        // The same cases each time: a run that fails can be run again.
        #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]
        /// A server that was written and read again decides as the one that goes on, to the last digit.
        #[test]
        fn what_is_restored_decides_as_if_nothing_had_happened(
            things in prop::collection::vec((0u8..16, 0usize..10_000, 0.0f64..40.0), 20..300),
            at in prop::sample::Index::arbitrary(),
        ) {
            let (mut log, mut now) = (Log::default(), 1e12);
            let mut server = Server::start(told(), now, &mut log);
            let (before, after) = things.split_at(at.index(things.len()));
            for &(what, n, gap) in before {
                now += gap;
                happen(&mut server, &mut log, now, (what, n));
            }
            let bytes = server.snapshot();
            let mut again = Server::restore(&bytes).unwrap();
            prop_assert_eq!(again.gist(), server.gist());
            let mut other = log.clone();
            for &(what, n, gap) in after {
                now += gap;
                happen(&mut server, &mut log, now, (what, n));
                happen(&mut again, &mut other, now, (what, n));
            }
            prop_assert_eq!(log.said, other.said);
            prop_assert_eq!(server.snapshot(), again.snapshot());
        }

        /// Bytes that were damaged on the way are refused, or make a server that decides without a panic.
        #[test]
        fn damaged_bytes_never_panic(at in prop::sample::Index::arbitrary(), byte: u8, cut in prop::bool::ANY) {
            let mut log = Log::default();
            let mut server = Server::start(told(), 1e12, &mut log);
            (0..30).for_each(|n| happen(&mut server, &mut log, 1e12 + n as f64, ((n % 16) as u8, n * 31)));
            let mut bytes = server.snapshot();
            let at = at.index(bytes.len());
            if cut {
                bytes.truncate(at);
            } else {
                bytes[at] = byte;
            }
            let restored = Server::restore(&bytes);
            prop_assert!(!cut || restored.is_err());
        }
    }

    #[test]
    fn a_state_that_does_not_fit_together_is_refused() {
        let mut log = Log::default();
        let mut server = Server::start(told(), 1e12, &mut log);
        (0..20).for_each(|n| happen(&mut server, &mut log, 1e12 + n as f64, (0, n)));
        let good = server.snapshot();
        assert!(Server::restore(&good).is_ok());
        type Change = fn(&mut Server);
        let changes: [(Change, &str); 6] = [
            (|s| s.live.push(7_000), "tasks"),
            (|s| s.free.push(s.live[0]), "tasks"),
            (|s| s.window = 99, "windows"),
            (
                |s| s.tasks[s.live[0] as usize].asked.stage = 9,
                "a task's stage",
            ),
            (|s| s.count[1] += 1, "counts"),
            (|s| s.customers.clear(), "customers"),
        ];
        for (change, what) in changes {
            let mut server = Server::restore(&good).unwrap();
            change(&mut server);
            assert_eq!(
                Server::restore(&server.snapshot()).err(),
                Some(Unsound::Inconsistent(what))
            );
        }
    }
}
