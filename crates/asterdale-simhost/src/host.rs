//! Hosts the instances: each record becomes a call on a server, each answer an action record.

use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use asterdale::events::{Arrival, Gauges, Outcome};
use asterdale::{Actions, Handle, Server};
use asterdale_parameters::Settings;

use crate::wire::{nanos, Batch, Fields, Malformed, Reply};

/// The ids of one instance, and its name on the wire.
struct Names {
    instance: u16,
    /// Handles of the tasks that are not over, by their id. Looked up, never walked.
    handles: HashMap<u32, Handle>,
    /// Ids by handle.
    ids: Vec<u32>,
    /// Small indices of the callers, by their number.
    callers: HashMap<u32, usize>,
    /// The id of the task that is being taken.
    arriving: u32,
}

impl Names {
    fn id(&self, task: Handle) -> [u8; 4] {
        self.ids[task.index()].to_be_bytes()
    }
}

/// Writes the answers of one instance into the reply.
struct Writer<'a> {
    names: &'a mut Names,
    reply: &'a mut Reply,
}

impl Writer<'_> {
    fn about(&mut self, code: u8, task: Handle, rest: &[&[u8]]) {
        let id = self.names.id(task);
        let mut parts: Vec<&[u8]> = vec![&id];
        parts.extend_from_slice(rest);
        self.reply.action(self.names.instance, code, &parts);
    }
}

impl Actions for Writer<'_> {
    fn accepted(&mut self, task: Handle) {
        if self.names.ids.len() <= task.index() {
            self.names.ids.resize(task.index() + 1, 0);
        }
        self.names.ids[task.index()] = self.names.arriving;
        self.names.handles.insert(self.names.arriving, task);
    }
    fn release(&mut self, task: Handle) {
        self.names.handles.remove(&self.names.ids[task.index()]);
    }
    fn start(&mut self, task: Handle) {
        self.about(1, task, &[]);
    }
    fn stop(&mut self, task: Handle) {
        self.about(10, task, &[]);
    }
    fn start_call(&mut self, task: Handle, patience_ms: f64) {
        self.about(8, task, &[&nanos(patience_ms)]);
    }
    fn skip_call(&mut self, task: Handle) {
        self.about(3, task, &[]);
    }
    fn join_earlier_attempt(&mut self, task: Handle) {
        self.about(9, task, &[]);
    }
    fn retain_idempotency_entry(&mut self, task: Handle, for_ms: f64) {
        self.about(5, task, &[&nanos(for_ms)]);
    }
    fn drop_idempotency_entry(&mut self, task: Handle) {
        self.about(14, task, &[]);
    }
    fn reject(&mut self, task: Handle, last: bool, stay_away_ms: f64) {
        self.about(11, task, &[&[u8::from(last)], &nanos(stay_away_ms)]);
    }
    fn fail(&mut self, task: Handle) {
        self.about(7, task, &[]);
    }
    fn publish_capacity_hint(&mut self, value: f64) {
        self.reply
            .action(self.names.instance, 13, &[&(value as f32).to_be_bytes()]);
    }
    fn set_health(&mut self, good: bool, stored: bool) {
        self.reply.action(
            self.names.instance,
            15,
            &[&[u8::from(good), u8::from(stored)]],
        );
    }
    fn set_idle_timeout(&mut self, after_ms: f64) {
        self.reply
            .action(self.names.instance, 4, &[&nanos(after_ms)]);
    }
    fn schedule_tick(&mut self, at_ms: f64) {
        self.reply.action(
            self.names.instance,
            2,
            &[&nanos(at_ms), &0u32.to_be_bytes()],
        );
    }
}

struct Instance {
    server: Server,
    names: Names,
    gauges: Vec<String>,
}

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    instances: HashMap<u16, Instance>,
}

impl Host {
    /// Handles one batch; the reply holds what the instances answer.
    pub fn batch(&mut self, batch: &Batch<'_>, reply: &mut Reply) -> Result<(), Malformed> {
        let now = batch.header.clock_ns as f64 / 1e6;
        let mut context = None;
        for n in 0..batch.header.records {
            let record = batch.record(n);
            let bad = |what: String| Malformed {
                record: Some(n),
                offset: batch.offset(n),
                what,
            };
            let code = record.u8(0);
            if code == 4 {
                context = Some(record.u16(1));
                continue;
            }
            let number = context.ok_or_else(|| bad(format!("code {code} before any context")))?;
            if code == 8 {
                let text = batch.tail(n, 9)?;
                let Settings {
                    decisions: told,
                    gauge_names: gauges,
                    ..
                } = asterdale_parameters::read(record.u64(1), text)
                    .map_err(|e| bad(format!("settings: {e}")))?;
                let mut names = Names {
                    instance: number,
                    handles: HashMap::new(),
                    ids: Vec::new(),
                    callers: HashMap::new(),
                    arriving: 0,
                };
                let mut out = Writer {
                    names: &mut names,
                    reply,
                };
                match guarded(|| Server::start(told, now, &mut out)) {
                    Ok(server) => drop(self.instances.insert(
                        number,
                        Instance {
                            server,
                            names,
                            gauges,
                        },
                    )),
                    Err(text) => reply.text(number, 16, &text),
                }
                continue;
            }
            let Some(instance) = self.instances.get_mut(&number) else {
                if matches!(code, 1..=10) {
                    continue; // a process that has died, or one that bailed out
                }
                return Err(bad(format!("unknown code {code}")));
            };
            if code == 2 {
                self.instances.remove(&number);
                continue;
            }
            match guarded(|| event(instance, record, code, now, reply)) {
                Ok(Ok(())) => {}
                Ok(Err(what)) => return Err(bad(what)),
                Err(text) => {
                    reply.text(number, 16, &text);
                    self.instances.remove(&number);
                }
            }
        }
        Ok(())
    }
}

/// Runs `f`; a panic comes back as its text.
fn guarded<T>(f: impl FnOnce() -> T) -> Result<T, String> {
    catch_unwind(AssertUnwindSafe(f)).map_err(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        text.or(panic.downcast_ref::<&str>().copied())
            .unwrap_or("panic")
            .to_owned()
    })
}

fn outcome(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        200 => Outcome::Ok,
        500 => Outcome::Failed,
        503 => Outcome::Rejected,
        504 => Outcome::TimedOut,
        502 => Outcome::Unreachable,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::Stale,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn event(
    instance: &mut Instance,
    record: Fields<'_>,
    code: u8,
    now: f64,
    reply: &mut Reply,
) -> Result<(), String> {
    let Instance {
        server,
        names,
        gauges,
    } = instance;
    let known = names.handles.get(&record.u32(1)).copied();
    match code {
        1 => {
            if let Some(task) = known {
                task.call_needed(server, now, &mut Writer { names, reply });
            }
        }
        3 => server.drain(now, record.ms(1), &mut Writer { names, reply }),
        5 => {
            if let Some(task) = known {
                task.caller_gone(server, now, &mut Writer { names, reply });
            }
        }
        6 => {
            let next = names.callers.len();
            let caller = *names.callers.entry(record.u32(46)).or_insert(next);
            names.arriving = record.u32(1);
            let (bits, left) = (record.u8(27), record.ms(50));
            let arrival = Arrival {
                class: record.u16(25) as usize,
                tenant: record.u16(36) as usize,
                caller,
                unread_ms: record.ms(9),
                remaining_ms: (left > 0.0).then_some(left),
                cost_hint_ms: (bits & 1 != 0).then(|| record.ms(17)),
                memory_kb: record.f32(38) as f64,
                is_repeat: record.u32(42) != 0,
            };
            if arrival.class >= server.class_count() {
                return Err(format!(
                    "stage {} of {}",
                    arrival.class,
                    server.class_count()
                ));
            }
            server.receive(now, arrival, &mut Writer { names, reply });
        }
        7 => {
            let mut read = Gauges::default();
            for (n, name) in gauges
                .iter()
                .enumerate()
                .take((record.u8(5) as usize).min(4))
            {
                let value = Some(record.f32(6 + 4 * n) as f64);
                match name.as_str() {
                    "core_use" => read.cpu = value,
                    "on_cores" => read.on_cores = value,
                    "heap_share" => read.memory = value,
                    "links" => read.connections = value,
                    _ => {}
                }
            }
            server.tick(now, read, &mut Writer { names, reply });
        }
        9 => {
            let how = outcome(record.u16(13))?;
            if let Some(task) = known {
                task.run_ended(server, now, how, &mut Writer { names, reply });
            }
        }
        10 => {
            let how = outcome(record.u16(5))?;
            if let Some(task) = known {
                task.call_ended(server, now, how, record.ms(7), &mut Writer { names, reply });
            }
        }
        other => return Err(format!("unknown code {other}")),
    }
    Ok(())
}
