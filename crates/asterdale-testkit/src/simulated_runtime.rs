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
const MAX_RETAINED_NOTICES: usize = 4000;
/// Of the runs that make a call, one in `LONG_RUNS.0` makes it after `LONG_RUNS.1` milliseconds, and one in as many
/// continues for that long after the call. This is longer than a lease in the proofs, so that faults of the owner hit
/// runs before and after their call.
const LONG_RUNS: (u64, u64) = (10, 2200);

/// The end of a phase of a run: the time, and the id of the run. The earliest is on top of the heap.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PhaseEnd(std::cmp::Reverse<Instant>, String);

#[derive(Default)]
struct State {
    link: Option<TcpStream>,
    /// The last notices, and how many earlier ones were dropped.
    notices: VecDeque<Value>,
    dropped_notices: usize,
    phase_ends: BinaryHeap<PhaseEnd>,
    running: HashMap<String, Instant>,
    /// The runs that have not made their call yet, with its body.
    pending_calls: HashMap<String, Vec<u8>>,
    /// How often each run was started, by its id.
    runs: HashMap<String, u32>,
    /// All starts, in order.
    starts: Vec<Start>,
    link_count: u32,
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
    run_duration_ms: (u64, u64),
    /// Runs of this request class make a call with their body after half of their duration.
    calling_class: Option<&'static str>,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// A hash of a run's id, from which its duration is derived.
fn id_hash(id: &str) -> u64 {
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
    pub fn start(cores: usize, run_duration_ms: (u64, u64)) -> std::io::Result<SimulatedRuntime> {
        SimulatedRuntime::start_with_calls(cores, run_duration_ms, None)
    }

    /// Like [`SimulatedRuntime::start`]; in addition runs of this request class make a call to the records service,
    /// with their body, after half of their duration.
    pub fn start_with_calls(
        cores: usize,
        run_duration_ms: (u64, u64),
        calling_class: Option<&'static str>,
    ) -> std::io::Result<SimulatedRuntime> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runtime = SimulatedRuntime {
            address: listener.local_addr()?,
            cores,
            run_duration_ms,
            calling_class,
            shared: Arc::default(),
        };
        let (acceptor, run_ender) = (runtime.clone(), runtime.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let server = acceptor.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        thread::spawn(move || run_ender.end_phases());
        Ok(runtime)
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
        self.shared.0.lock().map_or(0, |state| state.link_count)
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
                state.link_count += 1;
            }
            self.handle_line(&mut state, &line);
        }
    }

    fn handle_line(&self, state: &mut State, line: &Value) {
        let id = line["rid"].as_str().unwrap_or_default();
        match line["t"].as_str().unwrap_or_default() {
            "sync" => {
                let no = line["no"].as_u64().unwrap_or(0) as usize;
                if no == 0 {
                    // A backend that has restarted: notices are numbered from 1 again, and none of its runs remain.
                    state.notices.clear();
                    state.dropped_notices = 0;
                    state.running.clear();
                    state.pending_calls.clear();
                    state.phase_ends.clear();
                }
                state.say(&json!({"t": "ready", "status": "LOADED", "time_ms": 5}));
                let missed = state
                    .notices
                    .iter()
                    .skip(no.saturating_sub(state.dropped_notices))
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
                let (min_ms, max_ms) = self.run_duration_ms;
                let id_hash = id_hash(id);
                let mut duration_ms = min_ms + id_hash % (max_ms - min_ms + 1);
                let body = STANDARD
                    .decode(line["b64"].as_str().unwrap_or_default())
                    .unwrap_or_default();
                state.starts.push(Start {
                    received_at: Instant::now(),
                    id: id.to_owned(),
                    body: body.clone(),
                });
                if self
                    .calling_class
                    .is_some_and(|class| line["route"] == class)
                {
                    state.pending_calls.insert(id.to_owned(), body);
                    // A few runs make their call only after far more than a lease.
                    duration_ms = if id_hash % LONG_RUNS.0 == 0 {
                        LONG_RUNS.1
                    } else {
                        duration_ms / 2
                    };
                }
                let end = Instant::now() + Duration::from_millis(duration_ms);
                state.running.insert(id.to_owned(), end);
                state
                    .phase_ends
                    .push(PhaseEnd(std::cmp::Reverse(end), id.to_owned()));
                self.shared.1.notify_one();
            }
            "give" | "omit"
                if state.running.contains_key(id) && !state.pending_calls.contains_key(id) =>
            {
                let id_hash = id_hash(id);
                let remaining_ms = if id_hash % LONG_RUNS.0 == 1 {
                    LONG_RUNS.1
                } else {
                    self.run_duration_ms.0 / 2
                };
                let end = Instant::now() + Duration::from_millis(remaining_ms);
                state
                    .phase_ends
                    .push(PhaseEnd(std::cmp::Reverse(end), id.to_owned()));
                self.shared.1.notify_one();
            }
            _ => {}
        }
    }

    /// Makes the calls of runs and ends runs when their time has come; never returns in normal operation.
    fn end_phases(&self) {
        let (lock, wake) = &*self.shared;
        let Ok(mut state) = lock.lock() else { return };
        loop {
            let now = Instant::now();
            let wait = match state.phase_ends.peek() {
                Some(PhaseEnd(at, _)) if at.0 <= now => {
                    let Some(PhaseEnd(_, id)) = state.phase_ends.pop() else {
                        continue;
                    };
                    if let Some(body) = state.pending_calls.remove(&id) {
                        let no = state.dropped_notices + state.notices.len() + 1;
                        let wants = json!({"t": "wants", "no": no, "rid": id, "b64": STANDARD.encode(body)});
                        state.notice(wants);
                        continue;
                    }
                    if state.running.remove(&id).is_some() {
                        let body = STANDARD.encode(run_result(&id));
                        let no = state.dropped_notices + state.notices.len() + 1;
                        let end = json!({"t": "end", "no": no, "rid": id, "status": "PASS", "time_ms": 1, "b64": body});
                        state.notice(end);
                    }
                    continue;
                }
                Some(PhaseEnd(at, _)) => at.0 - now,
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
        if self.notices.len() > MAX_RETAINED_NOTICES {
            self.notices.pop_front();
            self.dropped_notices += 1;
        }
    }

    fn say(&mut self, line: &Value) {
        if let Some(mut link) = self.link.as_ref() {
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }
}
