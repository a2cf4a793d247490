//! A measurement: a serving process is replaced while requests arrive at a steady rate, in turn by hot restart and by
//! stop and start. Its figures are for the documentation; CI does not run it.

use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

use crate::flood::drive_load;
use crate::process::{program, Daemon};
use crate::proofs::upgrade::{signal, start_daemon_with_handover, upgrade};
use crate::services;
use crate::simulated_runtime::SimulatedRuntime;

/// Duration of the load before and after the replacement.
const SECONDS_BEFORE: u64 = 3;
const SECONDS_AFTER: u64 = 10;

/// Replaces the process once under load, and returns how many of the requests were served and how many were not.
fn replace_once(rate: f64, hot_restart: bool) -> Result<Value, String> {
    let io_error_text = |e: std::io::Error| e.to_string();
    let runtime = SimulatedRuntime::start(8, (20, 40)).map_err(io_error_text)?;
    let (records, registry) = (
        services::records().map_err(io_error_text)?,
        services::registry().map_err(io_error_text)?,
    );
    let (site, address, launch, mut daemon) =
        start_daemon_with_handover(&runtime, records, registry, None)?;
    let load = thread::spawn(move || {
        drive_load(
            address,
            "",
            (rate, 64),
            "200",
            SECONDS_BEFORE + SECONDS_AFTER,
        )
    });
    thread::sleep(Duration::from_secs(SECONDS_BEFORE));
    let mut new_process = None;
    if hot_restart {
        new_process = upgrade(&program(), &site.control, None);
        if new_process.is_none() {
            return Err(format!(
                "the hot restart failed; log of the old process:\n{}",
                daemon.log().join("\n")
            ));
        }
    } else {
        daemon.shut_down(Duration::from_secs(10));
        daemon = Daemon::start(&launch)?;
    }
    let (served, not_served, latency) = load.join().map_err(|_| "the load panicked".to_owned())?;
    if let Some(new_process) = new_process {
        signal(new_process, "TERM");
    }
    daemon.shut_down(Duration::from_secs(10));
    drop(site);
    Ok(
        json!({"handed_over": hot_restart, "finished": served, "not": not_served, "milliseconds": latency}),
    )
}

/// Runs the measurement for both ways of replacing, in turn, twice each.
pub fn measure(rate: f64) -> Result<Value, String> {
    let turns: Result<Vec<Value>, String> = [true, false, true, false]
        .into_iter()
        .map(|hot_restart| replace_once(rate, hot_restart))
        .collect();
    Ok(json!({"rate": rate, "turns": turns?}))
}
