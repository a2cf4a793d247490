//! Daemon child processes: locating the program, building it with failpoints, starting it, signalling it and reading
//! its log and resource use.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

/// The last lines of a daemon's log are retained, up to this many, to diagnose failures.
const MAX_LOG_LINES: usize = 2000;

/// The path of the daemon's program: `ASTERDALE_PROGRAM` if set, else `asterdale` in the parent of this program's
/// directory or in that directory, else `asterdale` from the search path.
pub fn program() -> PathBuf {
    if let Some(path) = std::env::var_os("ASTERDALE_PROGRAM") {
        return path.into();
    }
    let own = std::env::current_exe().unwrap_or_default();
    let candidates = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("asterdale"));
    candidates
        .filter(|path| path.is_file())
        .last()
        .unwrap_or_else(|| "asterdale".into())
}

/// Builds the daemon with failpoints compiled in. It has a separate target directory, because no shipped build may
/// contain failpoints.
pub fn failpoint_program() -> Result<PathBuf, String> {
    let folder = Path::new("target/failpoints");
    let status = Command::new("cargo")
        .args([
            "build",
            "--quiet",
            "--locked",
            "-p",
            "asterdale-daemon",
            "--features",
            "failpoints",
        ])
        .arg("--target-dir")
        .arg(folder)
        .status()
        .map_err(|e| format!("cargo: {e}"))?;
    if !status.success() {
        return Err(
            "building the daemon with failpoints failed; run this command from the root of the repository".to_owned(),
        );
    }
    Ok(folder.join("debug/asterdale"))
}

/// How a daemon is started.
#[derive(Clone)]
pub struct LaunchConfig {
    /// The path of the program.
    pub program: PathBuf,
    /// The content of the start file.
    pub start: Value,
    /// The failpoint that is active in the daemon.
    pub failpoint: Option<String>,
}

/// A daemon process; dropping it kills the process and removes its start file.
pub struct Daemon {
    child: Child,
    /// A shell that kills the daemon if this program dies without dropping the value: it blocks on a read from a pipe
    /// that is closed then.
    guard: Option<Child>,
    start_file: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
}

impl Daemon {
    /// Starts a daemon; it may not listen yet when this returns.
    pub fn start(launch: &LaunchConfig) -> Result<Daemon, String> {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let start_file =
            std::env::temp_dir().join(format!("asterdale-testkit-{}-{n}", std::process::id()));
        std::fs::write(&start_file, launch.start.to_string())
            .map_err(|e| format!("{}: {e}", start_file.display()))?;
        let mut command = Command::new(&launch.program);
        command
            .env_remove("ROUTER_NAME")
            .env_remove("ROUTER_LISTEN")
            .env("ROUTER_CONFIG", &start_file);
        if let Some(failpoint) = &launch.failpoint {
            command.env("ASTERDALE_FAILPOINT", failpoint);
        }
        let child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn();
        let mut child = child.map_err(|e| format!("{}: {e}", launch.program.display()))?;
        let kill = format!("read _; kill -KILL {}", child.id());
        let guard = Command::new("sh")
            .args(["-c", &kill])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn();
        let guard = match guard {
            Ok(guard) => Some(guard),
            Err(e) => {
                let _ = child.kill();
                let _ = child.wait();
                return Err(format!("sh: {e}"));
            }
        };
        let log = Arc::new(Mutex::new(Vec::new()));
        if let Some(stderr) = child.stderr.take() {
            let lines = log.clone();
            thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let Ok(mut lines) = lines.lock() else { return };
                    if lines.len() >= MAX_LOG_LINES {
                        lines.remove(0);
                    }
                    lines.push(line);
                }
            });
        }
        Ok(Daemon {
            child,
            guard,
            start_file,
            log,
        })
    }

    /// Waits until the daemon accepts connections at this address, for 20 s at most.
    pub fn wait_until_listening(&self, at: SocketAddr) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        while TcpStream::connect_timeout(&at, Duration::from_secs(1)).is_err() {
            if Instant::now() >= end {
                return Err(format!(
                    "the daemon does not listen after 20 s; its log:\n{}",
                    self.log().join("\n")
                ));
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// The path of its start file.
    pub fn start_file(&self) -> &Path {
        &self.start_file
    }

    /// The process id.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the process a signal, given by name without `SIG`.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &kill]).status();
    }

    /// Asks the daemon to drain and shut down, and waits until it has exited. Returns `false` if it has not exited
    /// within the timeout or exited with an error.
    pub fn shut_down(&mut self, timeout: Duration) -> bool {
        self.signal("TERM");
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// The last lines of the log.
    pub fn log(&self) -> Vec<String> {
        self.log
            .lock()
            .map(|lines| lines.clone())
            .unwrap_or_default()
    }

    /// Requests a report of the counters with SIGUSR1 and returns the value of one; `None` if no report within 10 s has
    /// it.
    pub fn counter(&self, name: &str) -> Option<u64> {
        let reports = || {
            self.log()
                .iter()
                .filter(|line| line.contains("counters: "))
                .count()
        };
        let before = reports();
        self.signal("USR1");
        let end = Instant::now() + Duration::from_secs(10);
        while reports() <= before && Instant::now() < end {
            thread::sleep(Duration::from_millis(5));
        }
        let log = self.log();
        let line = log.iter().rev().find(|line| line.contains("counters: "))?;
        let found = line
            .split_whitespace()
            .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))?;
        found.trim_end_matches(',').parse().ok()
    }

    /// The numbers of its threads and of its open file descriptors.
    pub fn thread_and_descriptor_counts(&self) -> (usize, usize) {
        let count = |what: &str| {
            std::fs::read_dir(format!("/proc/{}/{what}", self.process_id()))
                .map_or(0, Iterator::count)
        };
        (count("task"), count("fd"))
    }

    /// CPU time used in milliseconds and resident memory in KiB, from `/proc`.
    pub fn cpu_ms_and_memory_kib(&self) -> (f64, u64) {
        let read = |what: &str| {
            std::fs::read_to_string(format!("/proc/{}/{what}", self.process_id()))
                .unwrap_or_default()
        };
        // Of the fields after the name in parentheses the 12th and 13th are user and system time in 1/100 s.
        let stat = read("stat");
        let fields: Vec<&str> = stat
            .rsplit(") ")
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let ticks = |n: usize| {
            fields
                .get(n)
                .and_then(|field| field.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        let status = read("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line
            .and_then(|line| line.split_whitespace().next()?.parse().ok())
            .unwrap_or(0);
        ((ticks(11) + ticks(12)) * 10.0, kib)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The guard is stopped first: once the daemon has exited, another process may get its process id.
        if let Some(mut guard) = self.guard.take() {
            let _ = guard.kill();
            let _ = guard.wait();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.start_file);
    }
}
