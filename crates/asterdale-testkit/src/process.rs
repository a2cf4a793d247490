//! Processes of the daemon: found, built with failpoints where one is asked for, started, told, ended.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

/// Lines of a log that are kept: the last ones, for a look at why something failed.
const MOST_LINES: usize = 2000;

/// The daemon's program: `ASTERDALE_PROGRAM`, or the one beside this program or its folder.
pub fn program() -> PathBuf {
    if let Some(path) = std::env::var_os("ASTERDALE_PROGRAM") {
        return path.into();
    }
    let own = std::env::current_exe().unwrap_or_default();
    let beside = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("asterdale"));
    beside
        .filter(|path| path.is_file())
        .last()
        .unwrap_or_else(|| "asterdale".into())
}

/// Builds the daemon with failpoints compiled in, in a folder of its own: no shipped build can have them.
pub fn failpoint_program() -> Result<PathBuf, String> {
    let folder = Path::new("target/failpoints");
    let built = Command::new("cargo")
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
    if !built.success() {
        return Err(
            "the daemon with failpoints can't be built: run this from the repository".to_owned(),
        );
    }
    Ok(folder.join("debug/asterdale"))
}

/// How the daemon is started.
#[derive(Clone)]
pub struct LaunchConfig {
    /// The program.
    pub program: PathBuf,
    /// The start file.
    pub start: Value,
    /// The failpoint that is active in it.
    pub failpoint: Option<String>,
}

/// A daemon that runs.
pub struct Daemon {
    child: Child,
    /// Ends it where this program ends without a word: it reads from a pipe that ends then.
    guard: Option<Child>,
    file: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
}

impl Daemon {
    /// Starts one. It may not listen yet.
    pub fn start(recipe: &LaunchConfig) -> Result<Daemon, String> {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let file =
            std::env::temp_dir().join(format!("asterdale-testkit-{}-{n}", std::process::id()));
        std::fs::write(&file, recipe.start.to_string())
            .map_err(|e| format!("{}: {e}", file.display()))?;
        let mut command = Command::new(&recipe.program);
        command
            .env_remove("ROUTER_NAME")
            .env_remove("ROUTER_LISTEN")
            .env("ROUTER_CONFIG", &file);
        if let Some(failpoint) = &recipe.failpoint {
            command.env("ASTERDALE_FAILPOINT", failpoint);
        }
        let child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn();
        let mut child = child.map_err(|e| format!("{}: {e}", recipe.program.display()))?;
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
                    if lines.len() >= MOST_LINES {
                        lines.remove(0);
                    }
                    lines.push(line);
                }
            });
        }
        Ok(Daemon {
            child,
            guard,
            file,
            log,
        })
    }

    /// Waits until it takes connections here.
    pub fn wait_until_listening(&self, at: SocketAddr) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        while TcpStream::connect_timeout(&at, Duration::from_secs(1)).is_err() {
            if Instant::now() >= end {
                return Err(format!(
                    "the daemon does not listen:\n{}",
                    self.log().join("\n")
                ));
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Its start file.
    pub fn start_file(&self) -> &Path {
        &self.file
    }

    /// Its process's number.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal, by name.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &kill]).status();
    }

    /// Tells it to leave, and waits for its end; `false` if that took too long or went wrong.
    pub fn shut_down(&mut self, patience: Duration) -> bool {
        self.signal("TERM");
        let end = Instant::now() + patience;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Whether it has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// The last lines of its log.
    pub fn log(&self) -> Vec<String> {
        self.log
            .lock()
            .map(|lines| lines.clone())
            .unwrap_or_default()
    }

    /// The counters, asked for now: the number of one of them.
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

    /// Its threads and its descriptors.
    pub fn thread_and_descriptor_counts(&self) -> (usize, usize) {
        let count = |what: &str| {
            std::fs::read_dir(format!("/proc/{}/{what}", self.process_id()))
                .map_or(0, Iterator::count)
        };
        (count("task"), count("fd"))
    }

    /// CPU time that it has used, in milliseconds, and its memory, in KiB; as Linux tells them.
    pub fn cpu_ms_and_memory_kib(&self) -> (f64, u64) {
        let read = |what: &str| {
            std::fs::read_to_string(format!("/proc/{}/{what}", self.process_id()))
                .unwrap_or_default()
        };
        // The fields after the name in brackets: user and system time are the 12th and 13th, in hundredths.
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
        // The guard first: once the daemon has ended its number may be another's.
        if let Some(mut guard) = self.guard.take() {
            let _ = guard.kill();
            let _ = guard.wait();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
