//! Hot restart: a serving process is replaced again and again under a steady load, by upgrades that succeed and
//! upgrades that are made to fail. The proof holds if no request was lost except to a process that was killed, no keyed
//! request ran twice, none that ran was answered as never run, all attempts under one key got one result, and no
//! connection was refused.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use super::{histogram, quantiles, ProofConfig};
use crate::edge_client::{EdgeClient, RequestOutcome};
use crate::process::{failpoint_program, program, Daemon, LaunchConfig};
use crate::simulated_runtime::SimulatedRuntime;
use crate::{scripted, services, unix_ms};

/// Total rate in requests per second, and the number of connections that send them.
const REQUESTS_PER_S: f64 = 200.0;
const CONNECTIONS: u32 = 24;
/// Time from the end of an upgrade to the start of the next one.
const UPGRADE_PAUSE: Duration = Duration::from_millis(700);
/// An attempt whose connection ended this close to a kill was lost to that kill.
const KILL_WINDOW_MS: f64 = 1_500.0;

/// How an upgrade is made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// The new program does not exist.
    MissingProgram,
    /// The new program is not executable.
    NotExecutable,
    /// The new program exits at once.
    Exits,
    /// The new process reads an invalid start file.
    InvalidStartFile,
    /// The new process is killed this many milliseconds after its start: in any phase, or after the commit.
    KilledAfterMs(u64),
    /// Another upgrade is requested at the same time.
    ConcurrentUpgrade,
}

struct AnsweredRequest {
    key: Option<String>,
    id: String,
    sent_ms: f64,
    answered_ms: f64,
    status: String,
    body: Vec<u8>,
}

struct Harness {
    address: SocketAddr,
    stop: AtomicBool,
    requests: Mutex<Vec<AnsweredRequest>>,
    lost_ms: Mutex<Vec<f64>>,
    refused_ms: Mutex<Vec<f64>>,
    recent_keys: Mutex<Vec<String>>,
}

impl Harness {
    /// Sends requests on one connection: a third of them have a key, and half of those reuse a recent one.
    fn send_load(&self, index: u32, seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut client = EdgeClient::new(self.address);
        let interval = Duration::from_secs_f64(f64::from(CONNECTIONS) / REQUESTS_PER_S);
        let mut next =
            Instant::now() + interval.mul_f64(f64::from(random.next_u32() % 1000) / 1000.0);
        let caller_number = (index % 4).to_string();
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += interval;
            let id = format!("{:016x}", random.next_u64());
            let key = (random.next_u32() % 3 == 0).then(|| {
                let mut recent_keys = self
                    .recent_keys
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                if random.next_u32() % 2 == 0 && !recent_keys.is_empty() {
                    return recent_keys[random.next_u32() as usize % recent_keys.len()].clone();
                }
                let key = format!("{:016x}{:016x}", random.next_u64(), random.next_u64());
                if recent_keys.len() >= 400 {
                    recent_keys.remove(0);
                }
                recent_keys.push(key.clone());
                key
            });
            let sent_ms = unix_ms();
            let start_text = (sent_ms as u64).to_string();
            let fields = [
                ("HTTP_X_REQUEST_ID", id.as_str()),
                ("HTTP_X_REQUEST_START", &start_text),
                ("HTTP_X_CALLER", &caller_number),
                ("HTTP_X_TIMEOUT_MS", "10000"),
                ("HTTP_X_COST_MS", "10"),
                ("HTTP_X_MEMORY_KB", "8"),
                ("HTTP_IDEMPOTENCY_KEY", key.as_deref().unwrap_or_default()),
            ];
            let path = if key.is_some() { "/v1/bid" } else { "/v1/page" };
            let body = key.clone().unwrap_or_default();
            match client.request(path, &fields, body.as_bytes()) {
                RequestOutcome::Refused => push_time(&self.refused_ms, sent_ms),
                RequestOutcome::Lost => push_time(&self.lost_ms, unix_ms()),
                RequestOutcome::Answered(answer) => {
                    let status = answer.status().to_owned();
                    let answered = AnsweredRequest {
                        key,
                        id,
                        sent_ms,
                        answered_ms: unix_ms(),
                        status,
                        body: answer.body,
                    };
                    if let Ok(mut requests) = self.requests.lock() {
                        requests.push(answered);
                    }
                }
            }
        }
    }
}

fn push_time(times: &Mutex<Vec<f64>>, at_ms: f64) {
    if let Ok(mut times) = times.lock() {
        times.push(at_ms);
    }
}

/// All processes that were started with this start file, whatever their parent process is now.
pub fn processes(start_file: &Path) -> Vec<u32> {
    let Ok(entries) = std::fs::read_dir("/proc") else {
        return Vec::new();
    };
    let variable = format!("ROUTER_CONFIG={}", start_file.display());
    let mut ids: Vec<u32> = (entries.flatten())
        .filter_map(|item| item.file_name().to_str()?.parse().ok())
        .filter(|id| {
            let environment = std::fs::read(format!("/proc/{id}/environ")).unwrap_or_default();
            environment
                .split(|byte| *byte == 0)
                .any(|item| item == variable.as_bytes())
                && is_alive(*id)
        })
        .collect();
    ids.sort_unstable();
    ids
}

fn is_alive(id: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    stat.rsplit(") ")
        .next()
        .and_then(|rest| rest.chars().next())
        .is_some_and(|state| !"ZX".contains(state))
}

/// Sends a signal to a process.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("sh")
        .args(["-c", &format!("kill -{name} {id} 2>/dev/null")])
        .status();
}

fn resident_kib(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Requests an upgrade with the command line; returns the process that serves from then on, if the upgrade succeeded.
pub fn upgrade(program: &Path, control: &Path, binary: Option<&Path>) -> Option<u32> {
    let mut command = Command::new(program);
    command.arg("upgrade").arg("--control").arg(control);
    if let Some(binary) = binary {
        command.arg("--binary").arg(binary);
    }
    let output = command
        .output()
        .ok()
        .filter(|output| output.status.success())?;
    let text = String::from_utf8(output.stdout).ok()?;
    text.lines().find_map(|line| {
        line.strip_prefix("done: process ")?
            .strip_suffix(" serves")?
            .parse()
            .ok()
    })
}

/// A directory with the start file and control socket that the successive processes of one daemon use.
pub struct HandoverSetup {
    directory: PathBuf,
    start_file: PathBuf,
    /// The control socket.
    pub control: PathBuf,
    program: PathBuf,
    start_text: String,
}

impl Drop for HandoverSetup {
    /// Kills all processes that the proof started and removes its files, however it ended.
    fn drop(&mut self) {
        processes(&self.start_file)
            .into_iter()
            .for_each(|id| signal(id, "KILL"));
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl HandoverSetup {
    fn write(&self, name: &str, text: &str, mode: u32) -> PathBuf {
        let path = self.directory.join(name);
        let _ = std::fs::write(&path, text);
        let _ = std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode));
        path
    }

    /// Upgrades the serving process once; returns the process that serves afterwards, and how many upgrades succeeded.
    fn upgrade_once(
        &self,
        serving: u32,
        failure: Option<Failure>,
        kills: &Mutex<Vec<f64>>,
    ) -> (u32, u32) {
        let binary = match failure {
            Some(Failure::MissingProgram) => Some(self.directory.join("nowhere")),
            Some(Failure::NotExecutable) => Some(self.write("text", "no program", 0o644)),
            Some(Failure::Exits) => Some(self.write("ends", "#!/bin/sh\nexit 7\n", 0o755)),
            _ => None,
        };
        if failure == Some(Failure::InvalidStartFile) {
            let _ = std::fs::write(&self.start_file, "{\"name\": 5}");
        }
        let killer = match failure {
            Some(Failure::KilledAfterMs(delay_ms)) => {
                let (start_file, known) = (self.start_file.clone(), processes(&self.start_file));
                Some(thread::spawn(move || {
                    let end = Instant::now() + Duration::from_secs(5);
                    while Instant::now() < end {
                        if let Some(new) = processes(&start_file)
                            .into_iter()
                            .find(|id| !known.contains(id))
                        {
                            thread::sleep(Duration::from_millis(delay_ms));
                            signal(new, "KILL");
                            return Some(unix_ms());
                        }
                        thread::sleep(Duration::from_millis(1));
                    }
                    None
                }))
            }
            _ => None,
        };
        let second = (failure == Some(Failure::ConcurrentUpgrade)).then(|| {
            let (program, control) = (self.program.clone(), self.control.clone());
            thread::spawn(move || upgrade(&program, &control, None).map(|id| (Instant::now(), id)))
        });
        let mut results =
            vec![upgrade(&self.program, &self.control, binary.as_deref())
                .map(|id| (Instant::now(), id))];
        if let Some(second) = second {
            // One of the two upgrades is rejected, unless they ran one after the other.
            results.push(second.join().ok().flatten());
        }
        if let Some(killer) = killer {
            if let Ok(Some(killed_at_ms)) = killer.join() {
                push_time(kills, killed_at_ms);
                // The old process detects the end of the new one, and takes the work back if it was handed over.
                thread::sleep(Duration::from_millis(300));
            }
        }
        let _ = std::fs::write(&self.start_file, &self.start_text);
        let succeeded = results.iter().flatten().count() as u32;
        // The process of the last upgrade that succeeded, if it is alive; if it was killed, the previous one has the
        // work again.
        let new_serving = results
            .into_iter()
            .flatten()
            .filter(|(_, id)| is_alive(*id))
            .max();
        (new_serving.map_or(serving, |(_, id)| id), succeeded)
    }
}

/// Judges the recorded history; returns the violations and the figures.
fn judge(
    harness: &Harness,
    runs: &HashMap<String, u32>,
    kills: &[f64],
) -> (Vec<String>, BTreeMap<String, u64>) {
    let (mut violations, mut counts) = (Vec::new(), BTreeMap::new());
    let requests = harness
        .requests
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut results: HashMap<&str, &[u8]> = HashMap::new();
    let mut by_key: HashMap<&str, u32> = HashMap::new();
    for request in requests.iter() {
        *counts
            .entry(format!("answered {}", request.status))
            .or_default() += 1;
        let ran = runs.get(&request.id).copied().unwrap_or(0);
        if ran > 1 && request.key.is_none() {
            // A request without a key may run again: its first run was lost with the process that was killed.
            *counts.entry("pages that ran again".to_owned()).or_default() += 1;
        }
        if ran > 0 && matches!(request.status.as_str(), "503" | "429") {
            violations.push(format!("{} ran although it was rejected", request.id));
        }
        if let Some(key) = &request.key {
            *by_key.entry(key).or_default() += ran;
            if request.status == "200"
                && *results.entry(key).or_insert(&request.body) != request.body
            {
                violations.push(format!(
                    "two results under {key}, one at {:.0}",
                    request.sent_ms
                ));
            }
        }
    }
    violations.extend(
        by_key
            .iter()
            .filter(|(_, runs)| **runs > 1)
            .map(|(key, runs)| format!("{key} ran {runs} times")),
    );
    let lost_ms = harness
        .lost_ms
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    for at_ms in lost_ms.iter() {
        if kills
            .iter()
            .any(|kill| (at_ms - kill).abs() < KILL_WINDOW_MS)
        {
            *counts.entry("lost to a kill".to_owned()).or_default() += 1;
        } else {
            violations.push(format!("request lost at {at_ms:.0}"));
        }
    }
    let refused_ms = harness
        .refused_ms
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    violations.extend(
        refused_ms
            .iter()
            .map(|at_ms| format!("connection refused at {at_ms:.0}")),
    );
    (violations, counts)
}

/// Starts a daemon with hot restart enabled, in a directory of its own; also returns its address and launch
/// configuration.
pub fn start_daemon_with_handover(
    runtime: &SimulatedRuntime,
    records: SocketAddr,
    registry: SocketAddr,
    failpoint: Option<String>,
) -> Result<(HandoverSetup, SocketAddr, LaunchConfig, Daemon), String> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let io_error_text = |e: std::io::Error| e.to_string();
    let program = if failpoint.is_some() {
        failpoint_program()?
    } else {
        program()
    };
    let program = std::fs::canonicalize(&program).unwrap_or(program);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let directory =
        std::env::temp_dir().join(format!("asterdale-upgrade-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&directory).map_err(io_error_text)?;
    std::fs::set_permissions(&directory, std::fs::Permissions::from_mode(0o700))
        .map_err(io_error_text)?;
    let control = directory.join("control");
    let mut start = scripted::start_file_json(
        scripted::unused_address(),
        runtime.address,
        records,
        registry,
    );
    start["settings"]["extra"]["cores"] = json!(8);
    start["upgrade"] = json!({"control": control});
    let address = start["listen"]
        .as_str()
        .and_then(|address| address.parse().ok())
        .ok_or("no address")?;
    let start_text = start.to_string();
    let launch = LaunchConfig {
        program: program.clone(),
        start,
        failpoint,
    };
    let daemon = Daemon::start(&launch)?;
    let setup = HandoverSetup {
        directory,
        start_file: daemon.start_file().to_owned(),
        control,
        program,
        start_text,
    };
    daemon.wait_until_listening(address)?;
    Ok((setup, address, launch, daemon))
}

/// Runs the proof with this number of upgrades, `fails` of which are made to fail. Its duration follows from them.
pub fn prove(proof: &ProofConfig, upgrades: u32, fails: u32) -> Result<Value, String> {
    let io_error_text = |e: std::io::Error| e.to_string();
    let mut random = Pcg64Mcg::seed_from_u64(proof.seed);
    let runtime = SimulatedRuntime::start(8, (5, 40)).map_err(io_error_text)?;
    let (records, registry) = (
        services::records().map_err(io_error_text)?,
        services::registry().map_err(io_error_text)?,
    );
    let (setup, address, _, mut daemon) =
        start_daemon_with_handover(&runtime, records, registry, proof.failpoint.clone())?;
    let harness = Arc::new(Harness {
        address,
        stop: AtomicBool::new(false),
        requests: Mutex::default(),
        lost_ms: Mutex::default(),
        refused_ms: Mutex::default(),
        recent_keys: Mutex::default(),
    });
    let threads: Vec<_> = (0..CONNECTIONS)
        .map(|index| {
            let (harness, seed) = (harness.clone(), random.next_u64());
            thread::spawn(move || harness.send_load(index, seed))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let random_failure = |random: &mut Pcg64Mcg| match random.next_u32() % 6 {
        0 => Failure::MissingProgram,
        1 => Failure::NotExecutable,
        2 => Failure::Exits,
        3 => Failure::InvalidStartFile,
        4 => Failure::ConcurrentUpgrade,
        _ => Failure::KilledAfterMs(u64::from(random.next_u32() % 400)),
    };
    // Which upgrades fail is drawn in advance, without regard to the results of earlier ones.
    let mut failures: Vec<Option<Failure>> = (0..upgrades)
        .map(|n| (n < fails).then(|| random_failure(&mut random)))
        .collect();
    // At least one new process is killed after the work was handed over to it.
    if let Some(last) = failures
        .get_mut(fails.saturating_sub(1) as usize)
        .filter(|_| fails > 0)
    {
        *last = Some(Failure::KilledAfterMs(500));
    }
    for n in (1..failures.len()).rev() {
        failures.swap(n, random.next_u32() as usize % (n + 1));
    }
    let (kills, mut serving) = (Mutex::default(), daemon.process_id());
    let (mut done, mut max_memory_kib, mut windows, mut unexpected) =
        (0, 0, Vec::new(), Vec::new());
    for (n, failure) in failures.iter().enumerate() {
        let began = unix_ms();
        let (new_serving, succeeded) = setup.upgrade_once(serving, *failure, &kills);
        eprintln!(
            "{began:.0} upgrade {n} {failure:?}: {serving} -> {new_serving}, done: {succeeded}"
        );
        windows.push((began, unix_ms()));
        done += succeeded;
        max_memory_kib = max_memory_kib.max(
            processes(&setup.start_file)
                .into_iter()
                .map(resident_kib)
                .sum(),
        );
        // The serving process must be known after every upgrade; otherwise the proof shows nothing.
        if failure.is_none() && (succeeded != 1 || new_serving == serving || !is_alive(new_serving))
        {
            unexpected.push(format!(
                "upgrade {n} should have succeeded, but process {new_serving} serves after {serving}"
            ));
        }
        if !is_alive(new_serving) {
            unexpected.push(format!(
                "after upgrade {n} process {new_serving} should serve, but is not running"
            ));
            break;
        }
        serving = new_serving;
        thread::sleep(UPGRADE_PAUSE);
    }
    harness.stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread
            .join()
            .map_err(|_| "a thread of the proof panicked".to_owned())?;
    }
    signal(serving, "TERM");
    let end = Instant::now() + Duration::from_secs(20);
    while is_alive(serving) && Instant::now() < end {
        let _ = daemon.has_exited();
        thread::sleep(Duration::from_millis(10));
    }
    let has_exited = !is_alive(serving);
    thread::sleep(Duration::from_millis(500));
    let remained = processes(&setup.start_file).len();
    let kills = kills
        .lock()
        .map(|kills: std::sync::MutexGuard<'_, Vec<f64>>| kills.clone())
        .unwrap_or_default();
    let (mut violations, counts) = judge(&harness, &runtime.runs(), &kills);
    violations.append(&mut unexpected);
    // An upgrade opens one link to the runtime, and taking the work back opens another. Two processes that both serve
    // would take the link from each other endlessly.
    let links = runtime.link_count();
    if links > 1 + 2 * upgrades {
        violations.push(format!(
            "the link to the runtime was opened {links} times in {upgrades} upgrades: two processes serve"
        ));
    }
    let expected_kills = failures
        .iter()
        .filter(|failure| matches!(failure, Some(Failure::KilledAfterMs(_))))
        .count();
    if kills.len() != expected_kills {
        violations.push(format!(
            "{} processes were killed, {expected_kills} should have been",
            kills.len()
        ));
    }
    if !has_exited {
        violations.push("the last process did not shut down".to_owned());
    }
    violations
        .iter()
        .take(20)
        .for_each(|violation| eprintln!("{violation}"));
    if !violations.is_empty() {
        eprintln!("the first process's log:\n{}", daemon.log().join("\n"));
    }
    let requests = harness
        .requests
        .lock()
        .map_err(|_| "a thread of the proof panicked")?;
    let (mut during, mut outside) = (histogram(), histogram());
    let mut answer_times: Vec<f64> = requests.iter().map(|request| request.answered_ms).collect();
    answer_times.sort_by(f64::total_cmp);
    let longest_gap_ms = answer_times
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .fold(0.0, f64::max);
    for request in requests.iter() {
        let is_during = windows
            .iter()
            .any(|(from, durations)| request.answered_ms >= *from && request.sent_ms <= *durations);
        let durations = if is_during { &mut during } else { &mut outside };
        let _ = durations.record(((request.answered_ms - request.sent_ms) * 1e3).max(1.0) as u64);
    }
    let served = counts.get("answered 200").copied().unwrap_or(0);
    Ok(json!({
        "held": violations.is_empty() && served as usize > requests.len() * 9 / 10 && remained == 0,
        "sent": requests.len(), "counts": counts, "upgrades": upgrades, "done": done, "made_to_fail": fails,
        "kills": kills.len(), "wrong": violations.len(), "longest_gap_ms": longest_gap_ms.round(), "processes_remained": remained,
        "milliseconds_in": quantiles(&during), "milliseconds_out": quantiles(&outside),
        "memory_of_all_kib": max_memory_kib,
    }))
}
