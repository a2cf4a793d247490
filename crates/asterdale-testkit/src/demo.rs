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
    served: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    lost: AtomicU64,
}

/// Runs the demonstration and returns the text to print at the end.
pub fn run(config: &Config) -> Result<String, String> {
    let io_error_text = |e: std::io::Error| e.to_string();
    let runtime = SimulatedRuntime::start(4, (5, 35)).map_err(io_error_text)?;
    let (records, registry) = (
        services::records().map_err(io_error_text)?,
        services::registry().map_err(io_error_text)?,
    );
    let mut start = scripted::start_file_json(
        scripted::unused_address(),
        runtime.address,
        records,
        registry,
    );
    start["settings"]["extra"]["cores"] = json!(4);
    for class in 0..2 {
        start["settings"]["lanes"][class]["objectiveNs"] = json!(500_000_000);
        start["settings"]["lanes"][class]["deadlineNs"] = json!(2_000_000_000);
    }
    let address = start["listen"]
        .as_str()
        .and_then(|address| address.parse().ok())
        .ok_or("no address")?;
    let mut daemon = Daemon::start(&LaunchConfig {
        program: program(),
        start,
        failpoint: None,
    })?;
    daemon.wait_until_listening(address)?;
    let end = Instant::now() + Duration::from_secs(config.seconds);
    let (counters, latency) = (
        Arc::new(OutcomeCounters::default()),
        Arc::new(Mutex::new(histogram())),
    );
    let stop = Arc::new(AtomicBool::new(false));
    let clients = (config.rate / 8.0).ceil().clamp(4.0, 256.0) as u64;
    let threads: Vec<_> = (0..clients)
        .map(|client| {
            let (counters, latency, stop) = (counters.clone(), latency.clone(), stop.clone());
            let interval = Duration::from_secs_f64(clients as f64 / config.rate);
            thread::spawn(move || {
                let mut client_connection = EdgeClient::new(address);
                let mut next = Instant::now() + interval.mul_f64(client as f64 / clients as f64);
                let mut n = 0u64;
                while next < end && !stop.load(Relaxed) {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += interval;
                    n += 1;
                    let (id, start) = (
                        format!("{:016x}", client << 32 | n),
                        (unix_ms() as u64).to_string(),
                    );
                    let (edge_node, is_keyed) = ((client % 4).to_string(), n % 4 == 0);
                    let fields = [
                        ("HTTP_X_REQUEST_ID", id.as_str()),
                        ("HTTP_X_REQUEST_START", &start),
                        ("HTTP_X_CALLER", &edge_node),
                        ("HTTP_X_TIMEOUT_MS", "2000"),
                        ("HTTP_X_COST_MS", "20"),
                        ("HTTP_X_MEMORY_KB", "8"),
                        ("HTTP_IDEMPOTENCY_KEY", if is_keyed { &id } else { "" }),
                    ];
                    let sent_at = Instant::now();
                    let outcome = client_connection.request(
                        if is_keyed { "/v1/bid" } else { "/v1/page" },
                        &fields,
                        b"ask",
                    );
                    let status = match &outcome {
                        RequestOutcome::Answered(answer) => answer.status(),
                        RequestOutcome::Refused | RequestOutcome::Lost => "",
                    };
                    match status {
                        "200" => {
                            counters.served.fetch_add(1, Relaxed);
                            if let Ok(mut latency) = latency.lock() {
                                let _ =
                                    latency.record((sent_at.elapsed().as_micros() as u64).max(1));
                            }
                        }
                        "503" | "429" | "none" => drop(counters.rejected.fetch_add(1, Relaxed)),
                        "" => drop(counters.lost.fetch_add(1, Relaxed)),
                        _ => drop(counters.failed.fetch_add(1, Relaxed)),
                    }
                }
            })
        })
        .collect();
    let progress = ProgressBar::new(config.seconds * 10);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {msg}") {
        progress.set_style(style);
    }
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
        progress.inc(1);
        progress.set_message(format!(
            "{} served, {} rejected",
            counters.served.load(Relaxed),
            counters.rejected.load(Relaxed)
        ));
        if daemon.has_exited() {
            stop.store(true, Relaxed);
            return Err(format!(
                "the daemon exited during the load; its log:\n{}",
                daemon.log().join("\n")
            ));
        }
    }
    progress.finish_and_clear();
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
    let latency = latency
        .lock()
        .map(|latency| quantiles(&latency))
        .unwrap_or_default();
    let OutcomeCounters {
        served,
        rejected,
        failed,
        lost,
    } = &*counters;
    Ok(format!(
        "served {served:?}, rejected {rejected:?}, failed {failed:?}, lost {lost:?}\n\
         latency of served requests in milliseconds: {latency}\nthe daemon used {cpu_ms:.0} ms of CPU and has {kib} KiB"
    ))
}
