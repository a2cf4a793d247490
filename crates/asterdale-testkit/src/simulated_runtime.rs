//! A simulated runtime that needs no instructions from a test: the duration of a run is derived from the task's id, and
//! every start is recorded, so that proofs can detect duplicate runs and runs that should not have happened.

use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

/// Notices that are retained for replay, as many as the platform's runtime retains.
const KEPT: usize = 4000;
/// Of the runs that make a call, one in `LONG_RUNS.0` makes it after `LONG_RUNS.1` milliseconds, and one in as many continues
/// for that long after the call. This is longer than a lease in the proofs, so that faults of the owner hit runs before and
/// after their call.
const LONG: (u64, u64) = (10, 2200);

/// The end of a phase of a run: the time, and the id of the run. The earliest is on top of the heap.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due(std::cmp::Reverse<Instant>, String);

#[derive(Default)]
struct State {
    link: Option<TcpStream>,
    /// The last ones, and how many there were before them.
    notices: VecDeque<Value>,
    before: usize,
    due: BinaryHeap<Due>,
    running: HashMap<String, Instant>,
    /// The runs that have not made their call yet, with its body.
    calling: HashMap<String, Vec<u8>>,
    runs: HashMap<String, u32>,
    /// All starts, in order.
    starts: Vec<Start>,
    links: u32,
}

/// A start command, as the runtime received it.
#[derive(Clone, Debug)]
pub struct Start {
    /// When it was received.
    pub received_at: Instant,
    /// The request id of the attempt.
    pub id: String,
    /// The task's body.
    pub body: Vec<u8>,
}

/// The simulated runtime; clones share their state.
#[derive(Clone)]
pub struct SimulatedRuntime {
    /// The address at which it listens.
    pub address: SocketAddr,
    cores: usize,
    /// Shortest and longest duration of a run in milliseconds.
    lasts: (u64, u64),
    /// Runs of this request class make a call with their body after half of their duration.
    calls: Option<&'static str>,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// A hash of a run's id, from which its duration is derived.
fn spread(id: &str) -> u64 {
    id.bytes().fold(0, |sum: u64, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    })
}

/// The result of the run with this id. It contains the id, so that an answer can be checked against its request.
pub fn run_result(id: &str) -> Vec<u8> {
    format!("result of {id}").into_bytes()
}

impl SimulatedRuntime {
    /// Starts a runtime that reports this many cores; runs take between the two durations in milliseconds.
    pub fn start(cores: usize, lasts: (u64, u64)) -> std::io::Result<SimulatedRuntime> {
        SimulatedRuntime::start_with_calls(cores, lasts, None)
    }

    /// Like [`SimulatedRuntime::start`]; in addition runs of this request class make a call to the records service, with
    /// their body, after half of their duration.
    pub fn start_with_calls(
        cores: usize,
        lasts: (u64, u64),
        calls: Option<&'static str>,
    ) -> std::io::Result<SimulatedRuntime> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = SimulatedRuntime {
            address: listener.local_addr()?,
            cores,
            lasts,
            calls,
            shared: Arc::default(),
        };
        let (linking, ending) = (worker.clone(), worker.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let linked = linking.clone();
                thread::spawn(move || linked.serve(stream));
            }
        });
        thread::spawn(move || ending.end());
        Ok(worker)
    }

    /// How often each run was started, by its id.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.shared
            .0
            .lock()
            .map(|state| state.runs.clone())
            .unwrap_or_default()
    }

    /// All starts, in order.
    pub fn starts(&self) -> Vec<Start> {
        self.shared
            .0
            .lock()
            .map(|state| state.starts.clone())
            .unwrap_or_default()
    }

    /// How many links were established; a new link replaces the previous one.
    pub fn link_count(&self) -> u32 {
        self.shared.0.lock().map_or(0, |state| state.links)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // Nothing is sent on a link before the backend's `sync` has arrived on it.
        let Ok(mut writer) = stream.try_clone().map(Some) else {
            return;
        };
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let Ok(line) = serde_json::from_str::<Value>(&line) else {
                return;
            };
            let Ok(mut state) = self.shared.0.lock() else {
                return;
            };
            if line["t"] == "sync" {
                state.link = writer.take();
                state.links += 1;
            }
            self.take(&mut state, &line);
        }
    }

    fn take(&self, state: &mut State, line: &Value) {
        let id = line["rid"].as_str().unwrap_or_default();
        match line["t"].as_str().unwrap_or_default() {
            "sync" => {
                let no = line["no"].as_u64().unwrap_or(0) as usize;
                if no == 0 {
                    // A backend that has restarted: notices are numbered from 1 again, and none of its runs remain.
                    state.notices.clear();
                    state.before = 0;
                    state.running.clear();
                    state.calling.clear();
                    state.due.clear();
                }
                state.say(&json!({"t": "ready", "status": "LOADED", "time_ms": 5}));
                let missed = state
                    .notices
                    .iter()
                    .skip(no.saturating_sub(state.before))
                    .cloned()
                    .collect::<Vec<_>>();
                missed.iter().for_each(|notice| state.say(notice));
            }
            "gauges" => {
                let (running, cores) = (state.running.len() as f64, self.cores as f64);
                let gauges = [(running / cores).min(1.0), running, 0.1, 1.0];
                state.say(&json!({"t": "load", "mark": line["mark"], "v": gauges}));
            }
            "selftest" => {
                state.say(&json!({"t": "verdict", "mark": line["mark"], "status": "PASS"}))
            }
            "start" if !state.running.contains_key(id) => {
                *state.runs.entry(id.to_owned()).or_default() += 1;
                let (least, most) = self.lasts;
                let spread = spread(id);
                let mut lasts = least + spread % (most - least + 1);
                let body = STANDARD
                    .decode(line["b64"].as_str().unwrap_or_default())
                    .unwrap_or_default();
                state.starts.push(Start {
                    received_at: Instant::now(),
                    id: id.to_owned(),
                    body: body.clone(),
                });
                if self.calls.is_some_and(|stage| line["route"] == stage) {
                    state.calling.insert(id.to_owned(), body);
                    // A few runs make their call only after far more than a lease.
                    lasts = if spread % LONG.0 == 0 {
                        LONG.1
                    } else {
                        lasts / 2
                    };
                }
                let end = Instant::now() + Duration::from_millis(lasts);
                state.running.insert(id.to_owned(), end);
                state.due.push(Due(std::cmp::Reverse(end), id.to_owned()));
                self.shared.1.notify_one();
            }
            "give" | "omit"
                if state.running.contains_key(id) && !state.calling.contains_key(id) =>
            {
                let spread = spread(id);
                let rest = if spread % LONG.0 == 1 {
                    LONG.1
                } else {
                    self.lasts.0 / 2
                };
                let end = Instant::now() + Duration::from_millis(rest);
                state.due.push(Due(std::cmp::Reverse(end), id.to_owned()));
                self.shared.1.notify_one();
            }
            _ => {}
        }
    }

    /// Makes the calls of runs and ends runs when their time has come; never returns in normal operation.
    fn end(&self) {
        let (lock, wake) = &*self.shared;
        let Ok(mut state) = lock.lock() else { return };
        loop {
            let now = Instant::now();
            let wait = match state.due.peek() {
                Some(Due(at, _)) if at.0 <= now => {
                    let Some(Due(_, id)) = state.due.pop() else {
                        continue;
                    };
                    if let Some(body) = state.calling.remove(&id) {
                        let no = state.before + state.notices.len() + 1;
                        let wants = json!({"t": "wants", "no": no, "rid": id, "b64": STANDARD.encode(body)});
                        state.notice(wants);
                        continue;
                    }
                    if state.running.remove(&id).is_some() {
                        let body = STANDARD.encode(run_result(&id));
                        let no = state.before + state.notices.len() + 1;
                        let end = json!({"t": "end", "no": no, "rid": id, "status": "PASS", "time_ms": 1, "b64": body});
                        state.notice(end);
                    }
                    continue;
                }
                Some(Due(at, _)) => at.0 - now,
                None => Duration::from_secs(3600),
            };
            let Ok((woken, _)) = wake.wait_timeout(state, wait) else {
                return;
            };
            state = woken;
        }
    }
}

impl State {
    fn notice(&mut self, notice: Value) {
        self.say(&notice);
        self.notices.push_back(notice);
        if self.notices.len() > KEPT {
            self.notices.pop_front();
            self.before += 1;
        }
    }

    fn say(&mut self, line: &Value) {
        if let Some(mut link) = self.link.as_ref() {
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }
}
