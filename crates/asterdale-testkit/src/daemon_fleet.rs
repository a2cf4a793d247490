//! A fleet of daemons as child processes. Each has its own start file, journal directory and simulated runtime, and
//! the others reach it through relays. Members are started, killed, paused and resumed by their index.

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

/// The fleet's shared secret, used only on loopback.
const FLEET_KEY: &str = "a key for loopback alone";

/// One member of the fleet, running or not.
struct Member {
    launch: LaunchConfig,
    address: SocketAddr,
    control_socket: PathBuf,
    runtime: SimulatedRuntime,
    daemon: Option<Daemon>,
    paused: bool,
}

/// A fleet of daemons; dropping it kills them and removes their files.
pub struct DaemonFleet {
    members: Vec<Member>,
    /// The relays that carry gossip and replication traffic between the members.
    pub relays: Relays,
    directory: PathBuf,
}

/// The configuration of a fleet.
pub struct FleetConfig {
    /// The number of members.
    pub members: usize,
    /// This many members, from the first, are seeds that others join through.
    pub seeds: usize,
    /// The interval between membership probes in milliseconds.
    pub interval_ms: f64,
    /// The daemon's program.
    pub program: PathBuf,
    /// The failpoint that is active in the daemons.
    pub failpoint: Option<String>,
    /// Seed of the relays' random choices and of the daemons.
    pub seed: u64,
    /// Whether the members exchange gossip.
    pub gossip_enabled: bool,
    /// Shortest and longest duration of a run in milliseconds.
    pub run_duration_ms: (u64, u64),
    /// This many members, from the first, are ownership replicas; 0 for none. The retry windows are short, because a
    /// newly formed replica group accepts no claims before they have passed.
    pub ownership_replicas: usize,
    /// Whether each member has a journal directory.
    pub has_journal: bool,
    /// A records service in place of the default one, which answers every call with success.
    pub records: Option<SocketAddr>,
}

impl FleetConfig {
    /// The configuration of a proof whose keyed requests call this records service; the program has failpoints
    /// compiled in if the proof activates one.
    pub fn for_proof(
        proof: &crate::proofs::ProofConfig,
        members: usize,
        records: SocketAddr,
    ) -> Result<FleetConfig, String> {
        let has_failpoint = proof.failpoint.is_some();
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
            failpoint: proof.failpoint.clone(),
            seed: proof.seed,
            gossip_enabled: true,
            run_duration_ms: (20, 120),
            ownership_replicas: 0,
            has_journal: false,
            records: Some(records),
        })
    }
}

/// Duration of an ownership lease in milliseconds.
pub const LEASE_MS: u64 = 1000;
/// Duration of the retry window of keyed requests in milliseconds.
pub const RETRY_WINDOW_MS: u64 = 8000;

/// The name of the member with this index.
pub fn member_name(n: usize) -> String {
    format!("n{n}")
}

impl DaemonFleet {
    /// Prepares the members; none is started.
    pub fn new(config: &FleetConfig) -> Result<DaemonFleet, String> {
        let io_error_text = |e: std::io::Error| e.to_string();
        let directory = std::env::temp_dir().join(format!("asterdale-many-{}", std::process::id()));
        std::fs::create_dir_all(&directory).map_err(io_error_text)?;
        let key = directory.join("key");
        std::fs::write(&key, FLEET_KEY).map_err(io_error_text)?;
        // Each member has its own loopback address, with one port for edge nodes and one for gossip.
        let addresses: Vec<SocketAddr> = (0..config.members)
            .map(|_| scripted::unused_address())
            .collect();
        let gossip_addresses: Vec<SocketAddr> = addresses
            .iter()
            .map(|at| SocketAddr::new(at.ip(), at.port() + 100))
            .collect();
        let names = (0..config.members).map(member_name).collect();
        let relays =
            Relays::start(gossip_addresses.clone(), names, config.seed).map_err(io_error_text)?;
        let records = config
            .records
            .map_or_else(services::records, Ok)
            .map_err(io_error_text)?;
        let registry = services::registry().map_err(io_error_text)?;
        let mut members = Vec::new();
        for (n, &address) in addresses.iter().enumerate() {
            // With a records service given, runs of keyed requests make a call to it.
            let (cores, calling_class) = if config.records.is_some() {
                (8, Some("bid"))
            } else {
                (2, None)
            };
            let runtime =
                SimulatedRuntime::start_with_calls(cores, config.run_duration_ms, calling_class)
                    .map_err(io_error_text)?;
            let control_socket = directory.join(format!("{n}.control"));
            let mut start = scripted::start_file_json(address, runtime.address, records, registry);
            start["name"] = json!(member_name(n));
            start["seed"] = json!(format!("{:x}", config.seed ^ (n as u64 + 1)));
            start["settings"]["servers"] = json!(config.members);
            if config.gossip_enabled {
                start["fleet"] = json!({"listen": gossip_addresses[n], "advertise": relays.advertised[n], "key": key,
                "seeds": relays.advertised[..config.seeds], "interval_ms": config.interval_ms,
                "control": control_socket});
            }
            if config.ownership_replicas > 0 {
                let replicas: Vec<Value> = (0..config.ownership_replicas)
                    .map(|n| json!({"name": member_name(n), "at": relays.advertised[n]}))
                    .collect();
                start["takeover"] = json!({"keepers": replicas, "lease_ms": LEASE_MS,
                    "stages": [{"name": "bid", "fenced": true}]});
            }
            if config.has_journal {
                start["journal"] = json!({"folder": directory.join(format!("{n}.state"))});
            }
            if config.records.is_some() {
                start["settings"]["extra"]["cores"] = json!(cores);
                start["settings"]["extra"]["callsOut"] = json!(2000.0);
                let bid = &mut start["settings"]["lanes"][1];
                bid["memorySpanNs"] = json!(RETRY_WINDOW_MS * 1_000_000);
                (bid["deadlineNs"], bid["objectiveNs"]) =
                    (json!(5_000_000_000u64), json!(4_000_000_000u64));
            }
            let launch = LaunchConfig {
                program: config.program.clone(),
                start,
                failpoint: config.failpoint.clone(),
            };
            members.push(Member {
                launch,
                address,
                control_socket,
                runtime,
                daemon: None,
                paused: false,
            });
        }
        Ok(DaemonFleet {
            members,
            relays,
            directory,
        })
    }

    /// The number of members, running or not.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the fleet has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The journal directory of a member.
    pub fn journal_directory(&self, n: usize) -> PathBuf {
        self.directory.join(format!("{n}.state"))
    }

    /// The address at which a member accepts edge nodes' connections.
    pub fn address(&self, n: usize) -> SocketAddr {
        self.members[n].address
    }

    /// The simulated runtime of a member.
    pub fn runtime(&self, n: usize) -> &SimulatedRuntime {
        &self.members[n].runtime
    }

    /// Starts a member; it may not listen yet when this returns.
    pub fn start(&mut self, n: usize) -> Result<(), String> {
        let member = &mut self.members[n];
        member.daemon = Some(Daemon::start(&member.launch)?);
        Ok(())
    }

    /// Starts a second process on a member's journal directory, with another listen address and without gossip. Returns
    /// whether that process exited because the directory is in use.
    pub fn second_process_is_rejected(&self, n: usize) -> Result<bool, String> {
        let mut launch = self.members[n].launch.clone();
        launch.start["listen"] = json!(scripted::unused_address());
        if let Some(start) = launch.start.as_object_mut() {
            start.remove("fleet");
        }
        let mut second = Daemon::start(&launch)?;
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

    /// Waits until a member accepts edge nodes' connections.
    pub fn wait_until_listening(&self, n: usize) -> Result<(), String> {
        self.members[n].daemon.as_ref().map_or(Ok(()), |daemon| {
            daemon.wait_until_listening(self.members[n].address)
        })
    }

    /// Kills a member.
    pub fn kill(&mut self, n: usize) {
        (self.members[n].daemon, self.members[n].paused) = (None, false);
    }

    /// Asks a member to shut down and waits until it has exited; `false` if that took too long or it failed.
    pub fn shut_down(&mut self, n: usize) -> bool {
        let succeeded = self.members[n]
            .daemon
            .as_mut()
            .is_some_and(|daemon| daemon.shut_down(Duration::from_secs(8)));
        self.kill(n);
        succeeded
    }

    /// Pauses a member with SIGSTOP, or resumes it with SIGCONT.
    pub fn set_paused(&mut self, n: usize, paused: bool) {
        let member = &mut self.members[n];
        if let Some(daemon) = &member.daemon {
            daemon.signal(if paused { "STOP" } else { "CONT" });
        }
        member.paused = paused;
    }

    /// The indices of the members that have a process, paused or not.
    pub fn running(&self) -> Vec<usize> {
        (0..self.len())
            .filter(|&n| self.members[n].daemon.is_some())
            .collect()
    }

    /// The indices of the members whose process has exited by itself.
    pub fn exited(&mut self) -> Vec<usize> {
        let all = self.members.iter_mut().enumerate();
        all.filter_map(|(n, member)| member.daemon.as_mut()?.has_exited().then_some(n))
            .collect()
    }

    /// CPU time that all running members have used, in milliseconds.
    pub fn cpu_ms(&self) -> f64 {
        self.members
            .iter()
            .filter_map(|member| Some(member.daemon.as_ref()?.cpu_ms_and_memory_kib().0))
            .sum()
    }

    /// The current value of a member's counter; 0 if the member is paused or does not report it.
    pub fn counter(&self, n: usize, name: &str) -> u64 {
        let member = &self.members[n];
        if member.paused {
            return 0;
        }
        member
            .daemon
            .as_ref()
            .and_then(|daemon| daemon.counter(name))
            .unwrap_or(0)
    }

    /// The last lines of a member's log.
    pub fn log(&self, n: usize) -> Vec<String> {
        self.members[n]
            .daemon
            .as_ref()
            .map(Daemon::log)
            .unwrap_or_default()
    }

    /// A member's membership view, queried over its control socket; `None` if it does not answer.
    pub fn membership_view(&self, n: usize) -> Option<Value> {
        let member = &self.members[n];
        if member.daemon.is_none() || member.paused {
            return None;
        }
        let stream = UnixStream::connect(&member.control_socket).ok()?;
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
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The generations of the members that a membership view counts as live, by name; includes the process that reported
/// the view.
pub fn live_generations(view: &Value) -> BTreeMap<String, u64> {
    let name_and_generation = |member: &Value| {
        Some((
            member["name"].as_str()?.to_owned(),
            member["generation"].as_u64()?,
        ))
    };
    let members = view["members"].as_array().into_iter().flatten();
    let others =
        members.filter(|member| matches!(member["status"].as_str(), Some("alive" | "suspect")));
    let own = (view["standing"] == "in")
        .then(|| name_and_generation(&view["me"]))
        .flatten();
    others.filter_map(name_and_generation).chain(own).collect()
}
