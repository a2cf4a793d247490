//! A measurement: a serving process is replaced while requests arrive at a steady rate, in turn by hot restart and by stop
//! and start. Its figures are for the documentation; CI does not run it.

use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

use crate::flood::drive_load;
use crate::process::{program, Daemon};
use crate::proofs::upgrade::{begin, signal, upgrade};
use crate::services;
use crate::simulated_runtime::SimulatedRuntime;

/// Duration of the load before and after the replacement.
const BEFORE: u64 = 3;
const AFTER: u64 = 10;

/// Replaces the process once under load, and returns how many of the requests were served and how many were not.
fn once(rate: f64, handed: bool) -> Result<Value, String> {
    let told = |e: std::io::Error| e.to_string();
    let worker = SimulatedRuntime::start(8, (20, 40)).map_err(told)?;
    let (records, registry) = (
        services::records().map_err(told)?,
        services::registry().map_err(told)?,
    );
    let (site, at, recipe, mut daemon) = begin(&worker, records, registry, None)?;
    let load = thread::spawn(move || drive_load(at, "", (rate, 64), "200", BEFORE + AFTER));
    thread::sleep(Duration::from_secs(BEFORE));
    let mut after = None;
    if handed {
        after = upgrade(&program(), &site.control, None);
        if after.is_none() {
            return Err(format!(
                "the hot restart failed; log of the old process:\n{}",
                daemon.log().join("\n")
            ));
        }
    } else {
        daemon.shut_down(Duration::from_secs(10));
        daemon = Daemon::start(&recipe)?;
    }
    let (finished, not, times) = load.join().map_err(|_| "the load panicked".to_owned())?;
    if let Some(after) = after {
        signal(after, "TERM");
    }
    daemon.shut_down(Duration::from_secs(10));
    drop(site);
    Ok(json!({"handed_over": handed, "finished": finished, "not": not, "milliseconds": times}))
}

/// Runs the measurement for both ways of replacing, in turn, twice each.
pub fn measure(rate: f64) -> Result<Value, String> {
    let turns: Result<Vec<Value>, String> = [true, false, true, false]
        .into_iter()
        .map(|handed| once(rate, handed))
        .collect();
    Ok(json!({"rate": rate, "turns": turns?}))
}
