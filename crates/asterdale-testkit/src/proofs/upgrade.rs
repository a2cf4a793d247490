//! A serving process is replaced again and again under a steady load, in ways that go well and in ways that fail.
//! Held if no task was lost but to a process that was killed, none ran twice, none that ran was said never to have
//! run, every try under one key got one result, and no connection was refused.

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

/// Tasks a second in all, and the connections that bring them.
const RATE: f64 = 200.0;
const LANES: u32 = 24;
/// From one upgrade's end to the next one's start.
const BETWEEN: Duration = Duration::from_millis(700);
/// A try that breaks off this close to a kill, in milliseconds, was lost to it.
const KILLED: f64 = 1_500.0;

/// How an upgrade is made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// The new program is not there.
    Missing,
    /// It can't be executed.
    NoProgram,
    /// It ends at once.
    Ends,
    /// It reads a start file that makes no sense.
    BadFile,
    /// It is killed so many milliseconds after it was started: at any step, or after the commit.
    Killed(u64),
    /// Another upgrade is asked for at the same time.
    Twice,
}

struct Asked {
    mark: Option<String>,
    id: String,
    sent: f64,
    answered: f64,
    status: String,
    body: Vec<u8>,
}

struct Play {
    at: SocketAddr,
    stop: AtomicBool,
    all: Mutex<Vec<Asked>>,
    lost: Mutex<Vec<f64>>,
    refused: Mutex<Vec<f64>>,
    recent: Mutex<Vec<String>>,
}

impl Play {
    /// One lane: a third of its tasks are bids, half of those repeat a recent one.
    fn lane(&self, edge: u32, seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut caller = EdgeClient::new(self.at);
        let every = Duration::from_secs_f64(f64::from(LANES) / RATE);
        let mut next = Instant::now() + every.mul_f64(f64::from(random.next_u32() % 1000) / 1000.0);
        let number = (edge % 4).to_string();
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += every;
            let id = format!("{:016x}", random.next_u64());
            let mark = (random.next_u32() % 3 == 0).then(|| {
                let mut recent = self
                    .recent
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                if random.next_u32() % 2 == 0 && !recent.is_empty() {
                    return recent[random.next_u32() as usize % recent.len()].clone();
                }
                let mark = format!("{:016x}{:016x}", random.next_u64(), random.next_u64());
                if recent.len() >= 400 {
                    recent.remove(0);
                }
                recent.push(mark.clone());
                mark
            });
            let sent = unix_ms();
            let start = (sent as u64).to_string();
            let fields = [
                ("HTTP_X_REQUEST_ID", id.as_str()),
                ("HTTP_X_REQUEST_START", &start),
                ("HTTP_X_CALLER", &number),
                ("HTTP_X_TIMEOUT_MS", "10000"),
                ("HTTP_X_COST_MS", "10"),
                ("HTTP_X_MEMORY_KB", "8"),
                ("HTTP_IDEMPOTENCY_KEY", mark.as_deref().unwrap_or_default()),
            ];
            let path = if mark.is_some() {
                "/v1/bid"
            } else {
                "/v1/page"
            };
            let body = mark.clone().unwrap_or_default();
            match caller.request(path, &fields, body.as_bytes()) {
                RequestOutcome::Refused => note(&self.refused, sent),
                RequestOutcome::Lost => note(&self.lost, unix_ms()),
                RequestOutcome::Answered(answer) => {
                    let status = answer.status().to_owned();
                    let asked = Asked {
                        mark,
                        id,
                        sent,
                        answered: unix_ms(),
                        status,
                        body: answer.body,
                    };
                    if let Ok(mut all) = self.all.lock() {
                        all.push(asked);
                    }
                }
            }
        }
    }
}

fn note(to: &Mutex<Vec<f64>>, at: f64) {
    if let Ok(mut to) = to.lock() {
        to.push(at);
    }
}

/// All processes that were started with this start file: the site's own, whoever their parent is by now.
pub fn processes(file: &Path) -> Vec<u32> {
    let Ok(all) = std::fs::read_dir("/proc") else {
        return Vec::new();
    };
    let wanted = format!("ROUTER_CONFIG={}", file.display());
    let mut found: Vec<u32> = (all.flatten())
        .filter_map(|one| one.file_name().to_str()?.parse().ok())
        .filter(|id| {
            let environment = std::fs::read(format!("/proc/{id}/environ")).unwrap_or_default();
            environment
                .split(|byte| *byte == 0)
                .any(|one| one == wanted.as_bytes())
                && alive(*id)
        })
        .collect();
    found.sort_unstable();
    found
}

fn alive(id: u32) -> bool {
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

fn resident(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Asks for an upgrade by the command line; the process that serves from then on, if it was done.
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

/// A folder with a control socket, and the processes that serve one after the other.
pub struct Site {
    folder: PathBuf,
    file: PathBuf,
    /// The control socket.
    pub control: PathBuf,
    program: PathBuf,
    text: String,
}

impl Drop for Site {
    /// However the proof ended, nothing that it started stays behind.
    fn drop(&mut self) {
        processes(&self.file)
            .into_iter()
            .for_each(|id| signal(id, "KILL"));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    fn path(&self, name: &str, text: &str, mode: u32) -> PathBuf {
        let path = self.folder.join(name);
        let _ = std::fs::write(&path, text);
        let _ = std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode));
        path
    }

    /// One upgrade of the process that serves; which serves after it, and whether it was done.
    fn once(&self, serving: u32, failure: Option<Failure>, kills: &Mutex<Vec<f64>>) -> (u32, u32) {
        let binary = match failure {
            Some(Failure::Missing) => Some(self.folder.join("nowhere")),
            Some(Failure::NoProgram) => Some(self.path("text", "no program", 0o644)),
            Some(Failure::Ends) => Some(self.path("ends", "#!/bin/sh\nexit 7\n", 0o755)),
            _ => None,
        };
        if failure == Some(Failure::BadFile) {
            let _ = std::fs::write(&self.file, "{\"name\": 5}");
        }
        let killer = match failure {
            Some(Failure::Killed(after)) => {
                let (file, known) = (self.file.clone(), processes(&self.file));
                Some(thread::spawn(move || {
                    let end = Instant::now() + Duration::from_secs(5);
                    while Instant::now() < end {
                        if let Some(new) =
                            processes(&file).into_iter().find(|id| !known.contains(id))
                        {
                            thread::sleep(Duration::from_millis(after));
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
        let second = (failure == Some(Failure::Twice)).then(|| {
            let (program, control) = (self.program.clone(), self.control.clone());
            thread::spawn(move || upgrade(&program, &control, None).map(|id| (Instant::now(), id)))
        });
        let mut told =
            vec![upgrade(&self.program, &self.control, binary.as_deref())
                .map(|id| (Instant::now(), id))];
        if let Some(second) = second {
            // One of the two is turned away, unless they followed each other.
            told.push(second.join().ok().flatten());
        }
        if let Some(killer) = killer {
            if let Ok(Some(at)) = killer.join() {
                note(kills, at);
                // Its end is heard, and the work taken back, where it had it.
                thread::sleep(Duration::from_millis(300));
            }
        }
        let _ = std::fs::write(&self.file, &self.text);
        let done = told.iter().flatten().count() as u32;
        // The last that was told and is there; if it was killed, the one before has the work again.
        let after = told
            .into_iter()
            .flatten()
            .filter(|(_, id)| alive(*id))
            .max();
        (after.map_or(serving, |(_, id)| id), done)
    }
}

/// Judges everything that happened; what was wrong, and figures.
fn judge(
    play: &Play,
    runs: &HashMap<String, u32>,
    kills: &[f64],
) -> (Vec<String>, BTreeMap<String, u64>) {
    let (mut wrong, mut counts) = (Vec::new(), BTreeMap::new());
    let all = play
        .all
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut results: HashMap<&str, &[u8]> = HashMap::new();
    let mut by_mark: HashMap<&str, u32> = HashMap::new();
    for asked in all.iter() {
        *counts
            .entry(format!("answered {}", asked.status))
            .or_default() += 1;
        let ran = runs.get(&asked.id).copied().unwrap_or(0);
        if ran > 1 && asked.mark.is_none() {
            // A page may run again: its first run was lost with the process that was killed.
            *counts.entry("pages that ran again".to_owned()).or_default() += 1;
        }
        if ran > 0 && matches!(asked.status.as_str(), "503" | "429") {
            wrong.push(format!("{} ran, and was told that it never did", asked.id));
        }
        if let Some(mark) = &asked.mark {
            *by_mark.entry(mark).or_default() += ran;
            if asked.status == "200" && *results.entry(mark).or_insert(&asked.body) != asked.body {
                wrong.push(format!(
                    "two results under {mark}, one at {:.0}",
                    asked.sent
                ));
            }
        }
    }
    wrong.extend(
        by_mark
            .iter()
            .filter(|(_, runs)| **runs > 1)
            .map(|(mark, runs)| format!("{mark} ran {runs} times")),
    );
    let lost = play
        .lost
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    for at in lost.iter() {
        if kills.iter().any(|kill| (at - kill).abs() < KILLED) {
            *counts.entry("lost to a kill".to_owned()).or_default() += 1;
        } else {
            wrong.push(format!("lost at {at:.0}"));
        }
    }
    let refused = play
        .refused
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    wrong.extend(refused.iter().map(|at| format!("refused at {at:.0}")));
    (wrong, counts)
}

/// A daemon that can hand over, on a site of its own; where it listens, and how it was started.
pub fn start_daemon_with_handover(
    worker: &SimulatedRuntime,
    records: SocketAddr,
    registry: SocketAddr,
    failpoint: Option<String>,
) -> Result<(Site, SocketAddr, LaunchConfig, Daemon), String> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let told = |e: std::io::Error| e.to_string();
    let program = if failpoint.is_some() {
        failpoint_program()?
    } else {
        program()
    };
    let program = std::fs::canonicalize(&program).unwrap_or(program);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("asterdale-upgrade-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(told)?;
    std::fs::set_permissions(&folder, std::fs::Permissions::from_mode(0o700)).map_err(told)?;
    let control = folder.join("control");
    let mut start = scripted::start_file_json(
        scripted::unused_address(),
        worker.address,
        records,
        registry,
    );
    start["settings"]["extra"]["cores"] = json!(8);
    start["upgrade"] = json!({"control": control});
    let at = start["listen"]
        .as_str()
        .and_then(|at| at.parse().ok())
        .ok_or("no address")?;
    let text = start.to_string();
    let recipe = LaunchConfig {
        program: program.clone(),
        start,
        failpoint,
    };
    let daemon = Daemon::start(&recipe)?;
    let site = Site {
        folder,
        file: daemon.start_file().to_owned(),
        control,
        program,
        text,
    };
    daemon.wait_until_listening(at)?;
    Ok((site, at, recipe, daemon))
}

/// Runs the proof, with so many upgrades, of which so many are made to fail. How long it takes follows from that.
pub fn prove(proof: &ProofConfig, upgrades: u32, fails: u32) -> Result<Value, String> {
    let told = |e: std::io::Error| e.to_string();
    let mut random = Pcg64Mcg::seed_from_u64(proof.seed);
    let worker = SimulatedRuntime::start(8, (5, 40)).map_err(told)?;
    let (records, registry) = (
        services::records().map_err(told)?,
        services::registry().map_err(told)?,
    );
    let (site, at, _, mut daemon) =
        start_daemon_with_handover(&worker, records, registry, proof.failpoint.clone())?;
    let play = Arc::new(Play {
        at,
        stop: AtomicBool::new(false),
        all: Mutex::default(),
        lost: Mutex::default(),
        refused: Mutex::default(),
        recent: Mutex::default(),
    });
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| {
            let (play, seed) = (play.clone(), random.next_u64());
            thread::spawn(move || play.lane(lane, seed))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let kinds = |random: &mut Pcg64Mcg| match random.next_u32() % 6 {
        0 => Failure::Missing,
        1 => Failure::NoProgram,
        2 => Failure::Ends,
        3 => Failure::BadFile,
        4 => Failure::Twice,
        _ => Failure::Killed(u64::from(random.next_u32() % 400)),
    };
    // Which of them fail: drawn without looking at how the ones before went.
    let mut failing: Vec<Option<Failure>> = (0..upgrades)
        .map(|n| (n < fails).then(|| kinds(&mut random)))
        .collect();
    // At least one is killed after it has had the work.
    if let Some(last) = failing
        .get_mut(fails.saturating_sub(1) as usize)
        .filter(|_| fails > 0)
    {
        *last = Some(Failure::Killed(500));
    }
    for n in (1..failing.len()).rev() {
        failing.swap(n, random.next_u32() as usize % (n + 1));
    }
    let (kills, mut serving) = (Mutex::default(), daemon.process_id());
    let (mut done, mut memory, mut windows, mut lost_sight) = (0, 0, Vec::new(), Vec::new());
    for (n, failure) in failing.iter().enumerate() {
        let began = unix_ms();
        let (after, well) = site.once(serving, *failure, &kills);
        eprintln!("{began:.0} upgrade {n} {failure:?}: {serving} -> {after}, done: {well}");
        windows.push((began, unix_ms()));
        done += well;
        memory = memory.max(processes(&site.file).into_iter().map(resident).sum());
        // Whose the work is must be known at every step: a proof that lost sight of it shows nothing.
        if failure.is_none() && (well != 1 || after == serving || !alive(after)) {
            lost_sight.push(format!(
                "upgrade {n} should have gone well, and {after} serves after {serving}"
            ));
        }
        if !alive(after) {
            lost_sight.push(format!(
                "after upgrade {n} {after} should serve, and is not there"
            ));
            break;
        }
        serving = after;
        thread::sleep(BETWEEN);
    }
    play.stop.store(true, Ordering::Relaxed);
    for lane in lanes {
        lane.join()
            .map_err(|_| "a lane of the proof panicked".to_owned())?;
    }
    signal(serving, "TERM");
    let end = Instant::now() + Duration::from_secs(20);
    while alive(serving) && Instant::now() < end {
        let _ = daemon.has_exited();
        thread::sleep(Duration::from_millis(10));
    }
    let left = !alive(serving);
    thread::sleep(Duration::from_millis(500));
    let remained = processes(&site.file).len();
    let kills = kills
        .lock()
        .map(|kills: std::sync::MutexGuard<'_, Vec<f64>>| kills.clone())
        .unwrap_or_default();
    let (mut wrong, counts) = judge(&play, &worker.runs(), &kills);
    wrong.append(&mut lost_sight);
    // An upgrade makes a link, and a way back another. Two that serve take it from each other for ever.
    let links = worker.link_count();
    if links > 1 + 2 * upgrades {
        wrong.push(format!(
            "the link was made {links} times in {upgrades} upgrades: two processes serve"
        ));
    }
    let meant = failing
        .iter()
        .filter(|failure| matches!(failure, Some(Failure::Killed(_))))
        .count();
    if kills.len() != meant {
        wrong.push(format!(
            "{} processes were killed, {meant} should have been",
            kills.len()
        ));
    }
    if !left {
        wrong.push("the last process did not leave".to_owned());
    }
    wrong.iter().take(20).for_each(|wrong| eprintln!("{wrong}"));
    if !wrong.is_empty() {
        eprintln!("the first process's log:\n{}", daemon.log().join("\n"));
    }
    let all = play.all.lock().map_err(|_| "a lane panicked")?;
    let (mut inside, mut outside) = (histogram(), histogram());
    let mut ends: Vec<f64> = all.iter().map(|asked| asked.answered).collect();
    ends.sort_by(f64::total_cmp);
    let gap = ends
        .windows(2)
        .map(|two| two[1] - two[0])
        .fold(0.0, f64::max);
    for asked in all.iter() {
        let during = windows
            .iter()
            .any(|(from, to)| asked.answered >= *from && asked.sent <= *to);
        let to = if during { &mut inside } else { &mut outside };
        let _ = to.record(((asked.answered - asked.sent) * 1e3).max(1.0) as u64);
    }
    let finished = counts.get("answered 200").copied().unwrap_or(0);
    Ok(json!({
        "held": wrong.is_empty() && finished as usize > all.len() * 9 / 10 && remained == 0,
        "sent": all.len(), "counts": counts, "upgrades": upgrades, "done": done, "made_to_fail": fails,
        "kills": kills.len(), "wrong": wrong.len(), "longest_gap_ms": gap.round(), "processes_remained": remained,
        "milliseconds_in": quantiles(&inside), "milliseconds_out": quantiles(&outside),
        "memory_of_all_kib": memory,
    }))
}
