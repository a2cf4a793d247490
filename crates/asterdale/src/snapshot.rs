//! A server's whole state as bytes, and back: for a process that hands its work to another on the same machine.
//! What is written are maps by field name (MessagePack), so that a release that knows more fields can be read by
//! one that knows fewer. What is read is checked before anything is decided by it.

use serde::{Deserialize, Serialize};

use crate::state::{Server, State};

/// Raised when a field changes its meaning, or a new one can't be guessed: then states can't be exchanged.
pub const FORMAT_VERSION: u32 = 1;
/// No state is larger, in bytes: some 100,000 tasks.
const MOST: usize = 64 * 1024 * 1024;

/// Why bytes are no state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidSnapshot {
    /// They can't be read, or are too many.
    Unreadable,
    /// They can be read, and don't fit together.
    Inconsistent(&'static str),
}

/// The figures by which a server that goes on is told from one that begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
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
    pub fn restore(bytes: &[u8]) -> Result<Server, InvalidSnapshot> {
        if bytes.len() > MOST {
            return Err(InvalidSnapshot::Unreadable);
        }
        let server: Server =
            rmp_serde::from_slice(bytes).map_err(|_| InvalidSnapshot::Unreadable)?;
        server.check()?;
        Ok(server)
    }

    /// Its main figures.
    pub fn summary(&self) -> Summary {
        Summary {
            limit: self.limit,
            bases: self.stages.iter().map(|stage| stage.base).collect(),
            call_window: self.call_window,
            pace: self.pace,
            tasks: self.live.len(),
        }
    }

    /// Whether all indices lie within what they point into, and counts are those of the tasks: decisions rely
    /// on it without looking.
    fn check(&self) -> Result<(), InvalidSnapshot> {
        let holds = |what, holds: bool| {
            if holds {
                Ok(())
            } else {
                Err(InvalidSnapshot::Inconsistent(what))
            }
        };
        holds(
            "stages",
            self.stages.len() == self.told.classes.len() && !self.stages.is_empty(),
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
                .ok_or(InvalidSnapshot::Inconsistent("tasks"))?;
            holds("tasks", !std::mem::replace(seen, true))?;
        }
        let mut count = [0; 6];
        for &n in &self.live {
            let task = &self.tasks[n as usize];
            holds("a task's stage", task.asked.class < self.stages.len())?;
            holds(
                "a task's customer",
                task.asked.tenant < self.customers.len(),
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
    use crate::actions::Actions;
    use crate::decide::Handle;
    use crate::events::*;
    use crate::parameters::*;

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

    impl Actions for Log {
        fn accepted(&mut self, task: Handle) {
            self.say("seat", task);
            self.held.push(task);
        }
        fn release(&mut self, task: Handle) {
            self.say("release", task);
            self.held.retain(|held| *held != task);
            self.running.retain(|running| *running != task);
        }
        fn start(&mut self, task: Handle) {
            self.say("run", task);
            self.running.push(task);
        }
        fn stop(&mut self, task: Handle) {
            self.say("stop", task);
        }
        fn start_call(&mut self, task: Handle, patience_ms: f64) {
            self.said
                .push(format!("call {} {patience_ms}", task.index()));
        }
        fn skip_call(&mut self, task: Handle) {
            self.say("skip", task);
        }
        fn join_earlier_attempt(&mut self, task: Handle) {
            self.say("join", task);
        }
        fn retain_idempotency_entry(&mut self, task: Handle, for_ms: f64) {
            self.said
                .push(format!("remember {} {for_ms}", task.index()));
        }
        fn drop_idempotency_entry(&mut self, task: Handle) {
            self.say("forget", task);
        }
        fn reject(&mut self, task: Handle, last: bool, stay_away_ms: f64) {
            self.said
                .push(format!("reject {} {last} {stay_away_ms}", task.index()));
        }
        fn fail(&mut self, task: Handle) {
            self.say("abandon", task);
        }
        fn publish_capacity_hint(&mut self, value: f64) {
            self.said.push(format!("advertise {value}"));
        }
        fn set_health(&mut self, good: bool, stored: bool) {
            self.said.push(format!("health {good} {stored}"));
        }
        fn set_idle_timeout(&mut self, after_ms: f64) {
            self.said.push(format!("close {after_ms}"));
        }
        fn schedule_tick(&mut self, at_ms: f64) {
            self.said.push(format!("wake {at_ms}"));
        }
    }

    fn told() -> Parameters {
        let stage = |repeat, utility| ClassParameters {
            objective_ms: 500.0,
            deadline_ms: 2_000.0,
            weight: utility,
            late_weight_share: 0.2,
            degraded_weight_share: 0.5,
            makes_calls: true,
            idempotency: repeat,
            retry_window_ms: 5_000.0,
        };
        Parameters {
            seed: 3,
            cores: 2.0,
            memory_kb: 9_000.0,
            running_memory_factor: 16.0,
            idempotency_entry_kb: 10.0,
            slow_start: false,
            slow_start_share: 0.25,
            slow_start_ms: 1_000.0,
            overload_factor: 5.0,
            tick_ms: 5.0,
            drain_grace_ms: 0.0,
            servers: 2.0,
            callers: 2.0,
            dependency: Dependency::Shared,
            dependency_quota: 10.0,
            dependency_window_ms: 5_000.0,
            call_linger_ms: 10.0,
            idle_timeout_ms: 30_000.0,
            response_reuse_ms: 0.0,
            preemption: Preemption::Unsupported,
            capacity_hint: CapacityHint::Unused,
            max_retry_after_ms: 1_000.0,
            over_quota_weight_share: 0.1,
            weight_per_work: true,
            classes: vec![
                stage(Idempotency::Idempotent, 1.0),
                stage(Idempotency::Keyed, 3.0),
            ],
            tenants: vec![
                TenantParameters { quota_per_s: 5.0 },
                TenantParameters { quota_per_s: 50.0 },
            ],
        }
    }

    /// One thing that happens, drawn by numbers.
    fn happen(server: &mut Server, log: &mut Log, now: f64, (what, n): (u8, usize)) {
        let pick = |from: &[Handle]| from.get(n % from.len().max(1)).copied();
        match what {
            0..5 => {
                let arrival = Arrival {
                    class: n % 2,
                    tenant: n / 2 % 2,
                    caller: n / 4 % 3,
                    unread_ms: (n % 7) as f64,
                    remaining_ms: Some(100.0 + (n % 900) as f64),
                    cost_hint_ms: (n % 3 > 0).then_some(1.0 + (n % 40) as f64),
                    memory_kb: 5.0,
                    is_repeat: n % 17 == 0,
                };
                server.receive(now, arrival, log);
            }
            5..8 => {
                let how = [Outcome::Ok, Outcome::Ok, Outcome::Failed][n % 3];
                if let Some(task) = pick(&log.running) {
                    task.run_ended(server, now, how, log);
                }
            }
            8 => {
                if let Some(task) = pick(&log.held) {
                    task.caller_gone(server, now, log);
                }
            }
            9 => {
                if let Some(task) = pick(&log.running) {
                    task.call_needed(server, now, log);
                    let how = [Outcome::Ok, Outcome::Rejected, Outcome::TimedOut][n % 3];
                    task.call_ended(server, now, how, (n % 90) as f64, log);
                }
            }
            _ => {
                let cpu = Some((n % 11) as f64 / 10.0);
                server.tick(
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
            prop_assert_eq!(again.summary(), server.summary());
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
                |s| s.tasks[s.live[0] as usize].asked.class = 9,
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
                Some(InvalidSnapshot::Inconsistent(what))
            );
        }
    }
}
