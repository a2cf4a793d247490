//! A measurement: a serving process is replaced while tasks come at a steady rate, by handing over and by stopping
//! and starting it, side by side. For the docs, not for CI.

use std::os::unix::fs::PermissionsExt;
use std::process::Command;
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

use crate::flood::drive;
use crate::process::{program, Daemon, Recipe};
use crate::proofs::upgrade::{children, signal};
use crate::worker::Worker;
use crate::{scripted, services};

/// Seconds of load before it is replaced, and after.
const BEFORE: u64 = 3;
const AFTER: u64 = 10;

/// One way of replacing it; what was finished and what not, of all that came from before until after.
fn once(rate: f64, handed: bool) -> Result<Value, String> {
    let told = |e: std::io::Error| e.to_string();
    let worker = Worker::start(8, (20, 40)).map_err(told)?;
    let (records, registry) = (services::records().map_err(told)?, services::registry().map_err(told)?);
    let folder = std::env::temp_dir().join(format!("asterdale-replace-{}-{handed}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(told)?;
    std::fs::set_permissions(&folder, std::fs::Permissions::from_mode(0o700)).map_err(told)?;
    let control = folder.join("control");
    let mut start = scripted::config(scripted::address(), worker.at, records, registry);
    start["settings"]["extra"]["cores"] = json!(8);
    start["upgrade"] = json!({"control": control});
    let at = start["listen"].as_str().and_then(|at| at.parse().ok()).ok_or("no address")?;
    let recipe = Recipe { program: program(), start, plant: None };
    let mut daemon = Daemon::start(&recipe)?;
    daemon.listens(at)?;
    let load = thread::spawn(move || drive(at, "", (rate, 64), "200", BEFORE + AFTER));
    thread::sleep(Duration::from_secs(BEFORE));
    let mut after = None;
    if handed {
        let asked = Command::new(program()).arg("upgrade").arg("--control").arg(&control).output();
        if !asked.map_err(told)?.status.success() {
            return Err(format!("the upgrade failed:\n{}", daemon.log().join("\n")));
        }
        after = children(daemon.id()).first().copied();
    } else {
        daemon.leave(Duration::from_secs(10));
        daemon = Daemon::start(&recipe)?;
    }
    let (finished, not, times) = load.join().map_err(|_| "the load panicked".to_owned())?;
    if let Some(after) = after {
        signal(after, "TERM");
    }
    daemon.leave(Duration::from_secs(10));
    let _ = std::fs::remove_dir_all(folder);
    Ok(json!({"handed_over": handed, "finished": finished, "not": not, "milliseconds": times}))
}

/// Both ways, in turn, twice.
pub fn measure(rate: f64) -> Result<Value, String> {
    let turns: Result<Vec<Value>, String> =
        [true, false, true, false].into_iter().map(|handed| once(rate, handed)).collect();
    Ok(json!({"rate": rate, "turns": turns?}))
}
