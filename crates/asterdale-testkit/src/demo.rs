//! A demonstration: a daemon and its stand-ins on loopback, a steady load, and the outcome of the requests.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;

use crate::edge_client::{EdgeClient, RequestOutcome};
use crate::process::{program, Daemon, LaunchConfig};
use crate::proofs::{histogram, quantiles};
use crate::simulated_runtime::SimulatedRuntime;
use crate::{scripted, services, unix_ms};

/// The configuration of the demonstration.
pub struct Config {
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load in seconds.
    pub seconds: u64,
}

#[derive(Default)]
struct OutcomeCounters {
    finished: AtomicU64,
    rejected: AtomicU64,
    abandoned: AtomicU64,
    lost: AtomicU64,
}

/// Runs the demonstration and returns the text to print at the end.
pub fn run(order: &Config) -> Result<String, String> {
    let told = |e: std::io::Error| e.to_string();
    let worker = SimulatedRuntime::start(4, (5, 35)).map_err(told)?;
    let (records, registry) = (
        services::records().map_err(told)?,
        services::registry().map_err(told)?,
    );
    let mut start = scripted::start_file_json(
        scripted::unused_address(),
        worker.address,
        records,
        registry,
    );
    start["settings"]["extra"]["cores"] = json!(4);
    for lane in 0..2 {
        start["settings"]["lanes"][lane]["objectiveNs"] = json!(500_000_000);
        start["settings"]["lanes"][lane]["deadlineNs"] = json!(2_000_000_000);
    }
    let at = start["listen"]
        .as_str()
        .and_then(|at| at.parse().ok())
        .ok_or("no address")?;
    let mut daemon = Daemon::start(&LaunchConfig {
        program: program(),
        start,
        failpoint: None,
    })?;
    daemon.wait_until_listening(at)?;
    let end = Instant::now() + Duration::from_secs(order.seconds);
    let (seen, times) = (
        Arc::new(OutcomeCounters::default()),
        Arc::new(Mutex::new(histogram())),
    );
    let stop = Arc::new(AtomicBool::new(false));
    let lanes = (order.rate / 8.0).ceil().clamp(4.0, 256.0) as u64;
    let threads: Vec<_> = (0..lanes)
        .map(|lane| {
            let (seen, times, stop) = (seen.clone(), times.clone(), stop.clone());
            let every = Duration::from_secs_f64(lanes as f64 / order.rate);
            thread::spawn(move || {
                let mut caller = EdgeClient::new(at);
                let mut next = Instant::now() + every.mul_f64(lane as f64 / lanes as f64);
                let mut n = 0u64;
                while next < end && !stop.load(Relaxed) {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += every;
                    n += 1;
                    let (id, start) = (
                        format!("{:016x}", lane << 32 | n),
                        (unix_ms() as u64).to_string(),
                    );
                    let (edge, bid) = ((lane % 4).to_string(), n % 4 == 0);
                    let fields = [
                        ("HTTP_X_REQUEST_ID", id.as_str()),
                        ("HTTP_X_REQUEST_START", &start),
                        ("HTTP_X_CALLER", &edge),
                        ("HTTP_X_TIMEOUT_MS", "2000"),
                        ("HTTP_X_COST_MS", "20"),
                        ("HTTP_X_MEMORY_KB", "8"),
                        ("HTTP_IDEMPOTENCY_KEY", if bid { &id } else { "" }),
                    ];
                    let began = Instant::now();
                    let fate =
                        caller.request(if bid { "/v1/bid" } else { "/v1/page" }, &fields, b"ask");
                    let status = match &fate {
                        RequestOutcome::Answered(answer) => answer.status(),
                        RequestOutcome::Refused | RequestOutcome::Lost => "",
                    };
                    match status {
                        "200" => {
                            seen.finished.fetch_add(1, Relaxed);
                            if let Ok(mut times) = times.lock() {
                                let _ = times.record((began.elapsed().as_micros() as u64).max(1));
                            }
                        }
                        "503" | "429" | "none" => drop(seen.rejected.fetch_add(1, Relaxed)),
                        "" => drop(seen.lost.fetch_add(1, Relaxed)),
                        _ => drop(seen.abandoned.fetch_add(1, Relaxed)),
                    }
                }
            })
        })
        .collect();
    let bar = ProgressBar::new(order.seconds * 10);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {msg}") {
        bar.set_style(style);
    }
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
        bar.inc(1);
        bar.set_message(format!(
            "{} served, {} rejected",
            seen.finished.load(Relaxed),
            seen.rejected.load(Relaxed)
        ));
        if daemon.has_exited() {
            stop.store(true, Relaxed);
            return Err(format!(
                "the daemon exited during the load; its log:\n{}",
                daemon.log().join("\n")
            ));
        }
    }
    bar.finish_and_clear();
    for thread in threads {
        let _ = thread.join();
    }
    let (cpu_ms, kib) = daemon.cpu_ms_and_memory_kib();
    if !daemon.shut_down(Duration::from_secs(10)) {
        return Err(format!(
            "the daemon did not shut down cleanly within 10 s; its log:\n{}",
            daemon.log().join("\n")
        ));
    }
    let times = times
        .lock()
        .map(|times| quantiles(&times))
        .unwrap_or_default();
    let OutcomeCounters {
        finished,
        rejected,
        abandoned,
        lost,
    } = &*seen;
    Ok(format!(
        "served {finished:?}, rejected {rejected:?}, failed {abandoned:?}, lost {lost:?}\n\
         latency of served requests in milliseconds: {times}\nthe daemon used {cpu_ms:.0} ms of CPU and has {kib} KiB"
    ))
}
