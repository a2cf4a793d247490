//! A soak test: one daemon with stand-ins under a steady load over many connections, for minutes or hours. Memory,
//! threads and descriptors are sampled every second, and their growth rate over the second half is reported, which
//! shows even small leaks. The test passes if each request got exactly one answer and nothing grows.

use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::connection_load::{ConnectionLoad, LoadConfig};
use crate::process::{program, Daemon, LaunchConfig};
use crate::proofs::quantiles;
use crate::simulated_runtime::SimulatedRuntime;
use crate::{scripted, services};

/// The most threads that a daemon may have, whatever the number of its connections.
pub const MAX_THREADS: usize = 12;
/// Samples before this time, in seconds, are not used: idempotency entries and their results are retained for 60 s, so
/// memory grows until then.
const STEADY_AFTER_S: f64 = 70.0;
/// The highest accepted growth of memory. It is exceeded by a leak of 16 bytes per task at 200 tasks per second, and
/// not by the allocator's own variation within minutes.
const MAX_KIB_PER_HOUR: f64 = 8192.0;
/// The highest accepted growth of the number of descriptors. One descriptor more may be an artifact of the time of
/// sampling; more is a leak.
const MAX_DESCRIPTORS_PER_HOUR: f64 = 60.0;

/// The configuration of a soak test.
pub struct SoakConfig {
    /// The number of connections held open.
    pub connections: usize,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Whether each request is sent on a new connection, which stays open until the backend closes it.
    pub one_request_per_connection: bool,
    /// Seed of the request ids.
    pub seed: u32,
}

/// Starts a daemon that accepts this many connections, with the given simulated runtime and stand-ins for the records
/// service and the registry. Returns it with its address.
pub fn start_daemon(
    runtime: &SimulatedRuntime,
    sockets: usize,
) -> Result<(Daemon, std::net::SocketAddr), String> {
    let io_error_text = |e: std::io::Error| e.to_string();
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
    start["limits"]["sockets"] = json!(sockets);
    start["limits"]["memory_mb"] = json!(512);
    start["settings"]["extra"]["cores"] = json!(4);
    let address = start["listen"]
        .as_str()
        .and_then(|address| address.parse().ok())
        .ok_or("no address")?;
    let daemon = Daemon::start(&LaunchConfig {
        program: program(),
        start,
        failpoint: None,
    })?;
    daemon.wait_until_listening(address)?;
    Ok((daemon, address))
}

/// A sample of a daemon's resources: seconds since the start, memory in KiB, threads, descriptors.
type Sample = (f64, f64, f64, f64);

/// The growth of a value per hour, by linear regression over the second half of the samples without those before
/// `STEADY_AFTER_S`; 0 if that leaves fewer than 30 samples.
fn growth_per_hour(samples: &[Sample], value: impl Fn(&Sample) -> f64) -> f64 {
    let steady = samples
        .iter()
        .position(|sample| sample.0 >= STEADY_AFTER_S)
        .unwrap_or(samples.len());
    let tail = &samples[steady.max(samples.len() / 2)..];
    if tail.len() < 30 {
        return 0.0;
    }
    let n = tail.len().max(1) as f64;
    let mean = |value: &dyn Fn(&Sample) -> f64| tail.iter().map(value).sum::<f64>() / n;
    let (mean_time, mean_value) = (mean(&|s| s.0), mean(&|s| value(s)));
    let covariance: f64 = tail
        .iter()
        .map(|s| (s.0 - mean_time) * (value(s) - mean_value))
        .sum();
    let variance: f64 = tail.iter().map(|s| (s.0 - mean_time).powi(2)).sum();
    if variance > 0.0 {
        covariance / variance * 3600.0
    } else {
        0.0
    }
}

/// Runs the test and returns its figures.
pub fn run(config: &SoakConfig) -> Result<Value, String> {
    let runtime = SimulatedRuntime::start(4, (2, 6)).map_err(|e| e.to_string())?;
    let (mut daemon, address) = start_daemon(&runtime, 16 * 1024)?;
    let mut load = ConnectionLoad::new(LoadConfig {
        address,
        connections: config.connections,
        edge_nodes: 150,
        rate: config.rate,
        duration: config.duration,
        one_request_per_connection: config.one_request_per_connection,
        request_classes: vec!["page", "bid"],
        timeout_ms: 5000,
        // Other load on the machine may delay this process.
        resend_window: Duration::from_millis(500),
        seed: config.seed,
    })
    .map_err(|e| e.to_string())?;
    let (started_at, mut samples, mut exited) = (Instant::now(), Vec::new(), false);
    let cpu_before = daemon.cpu_ms_and_memory_kib().0;
    load.run(Duration::from_secs(1), |_| {
        let ((_, kib), (threads, descriptors)) = (
            daemon.cpu_ms_and_memory_kib(),
            daemon.thread_and_descriptor_counts(),
        );
        samples.push((
            started_at.elapsed().as_secs_f64(),
            kib as f64,
            threads as f64,
            descriptors as f64,
        ));
        exited = daemon.has_exited();
        !exited
    });
    let seconds = started_at.elapsed().as_secs_f64();
    let cpu_ms = daemon.cpu_ms_and_memory_kib().0 - cpu_before;
    let maximum = |value: &dyn Fn(&Sample) -> f64| samples.iter().map(value).fold(0.0, f64::max);
    let (threads, descriptors, kib) = (maximum(&|s| s.2), maximum(&|s| s.3), maximum(&|s| s.1));
    let growth = (
        growth_per_hour(&samples, |s| s.1),
        growth_per_hour(&samples, |s| s.2),
        growth_per_hour(&samples, |s| s.3),
    );
    let (open, counters) = (load.open_connections(), &load.stats);
    let duplicate_runs: u32 = runtime
        .runs()
        .values()
        .map(|&runs| runs.saturating_sub(1))
        .sum();
    let all_answered_once = counters.lost == 0
        && counters.unexpected_answers == 0
        && counters.failed_connects == 0
        && duplicate_runs == 0;
    // New connections that stay open make memory and descriptors grow up to the backend's limits, which is no leak.
    let no_growth = config.one_request_per_connection
        || growth.0 < MAX_KIB_PER_HOUR && growth.2 < MAX_DESCRIPTORS_PER_HOUR;
    let held = all_answered_once
        && !exited
        && no_growth
        && threads <= MAX_THREADS as f64
        && counters.answer_count() == counters.sent;
    let round = |x: f64| (x * 100.0).round() / 100.0;
    let figures = json!({"held": held, "connections": config.connections, "rate": config.rate, "once": config.one_request_per_connection,
        "seconds": round(seconds), "sent": counters.sent, "answered": counters.answers_by_status, "lost": counters.lost,
        "answers_twice": counters.unexpected_answers, "runs_twice": duplicate_runs, "refused": counters.failed_connects, "ended": counters.closed_connections,
        "open_at_the_end": open, "milliseconds": quantiles(&counters.latency),
        "cpu_ms_a_second": round(cpu_ms / seconds), "cpu_us_a_task": round(cpu_ms * 1e3 / counters.sent.max(1) as f64),
        "threads": threads, "descriptors": descriptors, "kib": kib,
        "slope_an_hour": {"kib": round(growth.0), "threads": round(growth.1), "descriptors": round(growth.2)}});
    if exited {
        return Err(format!(
            "the daemon exited during the test: {figures}\n{}",
            daemon.log().join("\n")
        ));
    }
    drop(load);
    daemon.shut_down(Duration::from_secs(10));
    Ok(figures)
}
