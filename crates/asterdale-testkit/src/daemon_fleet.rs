//! Many daemons at once: each a child process with a start file, a folder and a runtime stand-in of its own, reached by
//! the others through relays. Started, killed, stopped and let go on by their number.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{json, Value};

use crate::process::{Daemon, LaunchConfig};
use crate::relays::Relays;
use crate::simulated_runtime::SimulatedRuntime;
use crate::{scripted, services};

/// The fleet's key, of no use anywhere else.
const KEY: &str = "a key for loopback alone";

/// One place in the fleet.
struct Member {
    recipe: LaunchConfig,
    at: SocketAddr,
    control: PathBuf,
    worker: SimulatedRuntime,
    daemon: Option<Daemon>,
    stopped: bool,
}

/// The fleet.
pub struct DaemonFleet {
    members: Vec<Member>,
    /// What passes between them.
    pub relays: Relays,
    folder: PathBuf,
}

/// How a fleet is made.
pub struct FleetConfig {
    /// How many.
    pub members: usize,
    /// The first so many are seeds.
    pub seeds: usize,
    /// From one probe to the next, in milliseconds.
    pub interval_ms: f64,
    /// The program.
    pub program: PathBuf,
    /// The failpoint that is active in it.
    pub failpoint: Option<String>,
    /// Chance of the relays.
    pub seed: u64,
    /// They talk with each other.
    pub gossip_enabled: bool,
    /// How long runs last, from and to, in milliseconds.
    pub run_duration_ms: (u64, u64),
    /// Work in hand is kept by the first so many; 0 for none. Its windows are short, so that a group that begins anew
    /// is soon of use.
    pub ownership_replicas: usize,
    /// Each has a folder in which what it begins lasts.
    pub has_journal: bool,
    /// What has the effects of calls, where it is not the one of calm days.
    pub records: Option<SocketAddr>,
}

impl FleetConfig {
    /// A fleet whose bids have their effect at this records service, with failpoints where that is asked for.
    pub fn for_proof(
        order: &crate::proofs::ProofConfig,
        members: usize,
        records: SocketAddr,
    ) -> Result<FleetConfig, String> {
        let has_failpoint = order.failpoint.is_some();
        let program = if has_failpoint {
            crate::process::failpoint_program()?
        } else {
            crate::process::program()
        };
        Ok(FleetConfig {
            members,
            seeds: 3.min(members),
            interval_ms: 100.0,
            program,
            failpoint: order.failpoint.clone(),
            seed: order.seed,
            gossip_enabled: true,
            run_duration_ms: (20, 120),
            ownership_replicas: 0,
            has_journal: false,
            records: Some(records),
        })
    }
}

/// How long a lease is where work is kept, and how long its windows are, in milliseconds.
pub const LEASE_MS: u64 = 1000;
/// See [`LEASE_MS`].
pub const WINDOW_MS: u64 = 8000;

/// The name of a member.
pub fn member_name(n: usize) -> String {
    format!("n{n}")
}

impl DaemonFleet {
    /// Nobody runs yet.
    pub fn new(order: &FleetConfig) -> Result<DaemonFleet, String> {
        let told = |e: std::io::Error| e.to_string();
        let folder = std::env::temp_dir().join(format!("asterdale-many-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(told)?;
        let key = folder.join("key");
        std::fs::write(&key, KEY).map_err(told)?;
        // Each has a loopback address of its own; of its ports one is for edge nodes, one for talk.
        let places: Vec<SocketAddr> = (0..order.members)
            .map(|_| scripted::unused_address())
            .collect();
        let listens: Vec<SocketAddr> = places
            .iter()
            .map(|at| SocketAddr::new(at.ip(), at.port() + 100))
            .collect();
        let names = (0..order.members).map(member_name).collect();
        let relays = Relays::start(listens.clone(), names, order.seed).map_err(told)?;
        let records = order
            .records
            .map_or_else(services::records, Ok)
            .map_err(told)?;
        let registry = services::registry().map_err(told)?;
        let mut members = Vec::new();
        for (n, &at) in places.iter().enumerate() {
            // Where effects are counted, bids have one.
            let (cores, calls) = if order.records.is_some() {
                (8, Some("bid"))
            } else {
                (2, None)
            };
            let worker = SimulatedRuntime::start_with_calls(cores, order.run_duration_ms, calls)
                .map_err(told)?;
            let control = folder.join(format!("{n}.control"));
            let mut start = scripted::start_file_json(at, worker.address, records, registry);
            start["name"] = json!(member_name(n));
            start["seed"] = json!(format!("{:x}", order.seed ^ (n as u64 + 1)));
            start["settings"]["servers"] = json!(order.members);
            if order.gossip_enabled {
                start["fleet"] = json!({"listen": listens[n], "advertise": relays.advertised[n], "key": key,
                "seeds": relays.advertised[..order.seeds], "interval_ms": order.interval_ms,
                "control": control});
            }
            if order.ownership_replicas > 0 {
                let keepers: Vec<Value> = (0..order.ownership_replicas)
                    .map(|n| json!({"name": member_name(n), "at": relays.advertised[n]}))
                    .collect();
                start["takeover"] = json!({"keepers": keepers, "lease_ms": LEASE_MS,
                    "stages": [{"name": "bid", "fenced": true}]});
            }
            if order.has_journal {
                start["journal"] = json!({"folder": folder.join(format!("{n}.state"))});
            }
            if order.records.is_some() {
                start["settings"]["extra"]["cores"] = json!(cores);
                start["settings"]["extra"]["callsOut"] = json!(2000.0);
                let bid = &mut start["settings"]["lanes"][1];
                bid["memorySpanNs"] = json!(WINDOW_MS * 1_000_000);
                (bid["deadlineNs"], bid["objectiveNs"]) =
                    (json!(5_000_000_000u64), json!(4_000_000_000u64));
            }
            let recipe = LaunchConfig {
                program: order.program.clone(),
                start,
                failpoint: order.failpoint.clone(),
            };
            members.push(Member {
                recipe,
                at,
                control,
                worker,
                daemon: None,
                stopped: false,
            });
        }
        Ok(DaemonFleet {
            members,
            relays,
            folder,
        })
    }

    /// How many places there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The folder in which what it begins lasts.
    pub fn journal_directory(&self, n: usize) -> PathBuf {
        self.folder.join(format!("{n}.state"))
    }

    /// Where edge nodes reach this one.
    pub fn address(&self, n: usize) -> SocketAddr {
        self.members[n].at
    }

    /// Its runtime.
    pub fn runtime(&self, n: usize) -> &SimulatedRuntime {
        &self.members[n].worker
    }

    /// Starts it.
    pub fn start(&mut self, n: usize) -> Result<(), String> {
        let member = &mut self.members[n];
        member.daemon = Some(Daemon::start(&member.recipe)?);
        Ok(())
    }

    /// Starts a second process over its folder, that listens elsewhere and talks with nobody; whether that one refused, and
    /// ended by itself.
    pub fn second_process_is_rejected(&self, n: usize) -> Result<bool, String> {
        let mut recipe = self.members[n].recipe.clone();
        recipe.start["listen"] = json!(scripted::unused_address());
        if let Some(start) = recipe.start.as_object_mut() {
            start.remove("fleet");
        }
        let mut second = Daemon::start(&recipe)?;
        let until = std::time::Instant::now() + Duration::from_secs(20);
        while !second.has_exited() && std::time::Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(second.has_exited()
            && second
                .log()
                .iter()
                .any(|line| line.contains("another process has this folder")))
    }

    /// Waits until it takes edge nodes' connections.
    pub fn wait_until_listening(&self, n: usize) -> Result<(), String> {
        self.members[n].daemon.as_ref().map_or(Ok(()), |daemon| {
            daemon.wait_until_listening(self.members[n].at)
        })
    }

    /// Kills it.
    pub fn kill(&mut self, n: usize) {
        (self.members[n].daemon, self.members[n].stopped) = (None, false);
    }

    /// Has it leave, and waits for its end.
    pub fn shut_down(&mut self, n: usize) -> bool {
        let left = self.members[n]
            .daemon
            .as_mut()
            .is_some_and(|daemon| daemon.shut_down(Duration::from_secs(8)));
        self.kill(n);
        left
    }

    /// Has it stand still, or go on.
    pub fn set_paused(&mut self, n: usize, stopped: bool) {
        let member = &mut self.members[n];
        if let Some(daemon) = &member.daemon {
            daemon.signal(if stopped { "STOP" } else { "CONT" });
        }
        member.stopped = stopped;
    }

    /// Those that run, standing still or not.
    pub fn running(&self) -> Vec<usize> {
        (0..self.len())
            .filter(|&n| self.members[n].daemon.is_some())
            .collect()
    }

    /// Those that ended by themselves.
    pub fn exited(&mut self) -> Vec<usize> {
        let all = self.members.iter_mut().enumerate();
        all.filter_map(|(n, member)| member.daemon.as_mut()?.has_exited().then_some(n))
            .collect()
    }

    /// CPU time that all have used, in milliseconds.
    pub fn cpu_ms(&self) -> f64 {
        self.members
            .iter()
            .filter_map(|member| Some(member.daemon.as_ref()?.cpu_ms_and_memory_kib().0))
            .sum()
    }

    /// One of its counters, asked for now.
    pub fn counter(&self, n: usize, name: &str) -> u64 {
        let member = &self.members[n];
        if member.stopped {
            return 0;
        }
        member
            .daemon
            .as_ref()
            .and_then(|daemon| daemon.counter(name))
            .unwrap_or(0)
    }

    /// The last lines of its log.
    pub fn log(&self, n: usize) -> Vec<String> {
        self.members[n]
            .daemon
            .as_ref()
            .map(Daemon::log)
            .unwrap_or_default()
    }

    /// What it holds of the fleet, by its control socket; `None` if it does not answer.
    pub fn membership_view(&self, n: usize) -> Option<Value> {
        let member = &self.members[n];
        if member.daemon.is_none() || member.stopped {
            return None;
        }
        let stream = UnixStream::connect(&member.control).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        (&stream).write_all(b"show\n").ok()?;
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).ok()?;
        serde_json::from_str(&line).ok()
    }
}

impl Drop for DaemonFleet {
    fn drop(&mut self) {
        self.members
            .iter_mut()
            .for_each(|member| member.daemon = None);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Those who count as there in what was shown, the one that tells among them: their generations by name.
pub fn live_generations(shown: &Value) -> BTreeMap<String, u64> {
    let of = |member: &Value| {
        Some((
            member["name"].as_str()?.to_owned(),
            member["generation"].as_u64()?,
        ))
    };
    let members = shown["members"].as_array().into_iter().flatten();
    let held =
        members.filter(|member| matches!(member["status"].as_str(), Some("alive" | "suspect")));
    let own = (shown["standing"] == "in")
        .then(|| of(&shown["me"]))
        .flatten();
    held.filter_map(of).chain(own).collect()
}
