//! A soak test: one daemon with stand-ins under a steady load over many connections, for minutes or hours. Memory, threads
//! and descriptors are sampled every second, and their growth rate over the second half is reported, which shows even
//! small leaks. The test passes if each request got exactly one answer and nothing grows.

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
const FULL: f64 = 70.0;
/// The highest accepted growth of memory. It is exceeded by a leak of 16 bytes per task at 200 tasks per second, and not by
/// the allocator's own variation within minutes.
const MOST_KIB: f64 = 8192.0;
/// The highest accepted growth of the number of descriptors. One descriptor more may be an artifact of the time of
/// sampling; more is a leak.
const MOST_DESCRIPTORS: f64 = 60.0;

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
    worker: &SimulatedRuntime,
    sockets: usize,
) -> Result<(Daemon, std::net::SocketAddr), String> {
    let told = |e: std::io::Error| e.to_string();
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
    start["limits"]["sockets"] = json!(sockets);
    start["limits"]["memory_mb"] = json!(512);
    start["settings"]["extra"]["cores"] = json!(4);
    let at = start["listen"]
        .as_str()
        .and_then(|at| at.parse().ok())
        .ok_or("no address")?;
    let daemon = Daemon::start(&LaunchConfig {
        program: program(),
        start,
        failpoint: None,
    })?;
    daemon.wait_until_listening(at)?;
    Ok((daemon, at))
}

/// A sample of a daemon's resources: seconds since the start, memory in KiB, threads, descriptors.
type Sample = (f64, f64, f64, f64);

/// The growth of a value per hour, by linear regression over the second half of the samples without those before
/// `STEADY_AFTER_S`; 0 if that leaves fewer than 30 samples.
fn slope(samples: &[Sample], of: impl Fn(&Sample) -> f64) -> f64 {
    let full = samples
        .iter()
        .position(|sample| sample.0 >= FULL)
        .unwrap_or(samples.len());
    let half = &samples[full.max(samples.len() / 2)..];
    if half.len() < 30 {
        return 0.0;
    }
    let n = half.len().max(1) as f64;
    let mean = |of: &dyn Fn(&Sample) -> f64| half.iter().map(of).sum::<f64>() / n;
    let (mx, my) = (mean(&|s| s.0), mean(&|s| of(s)));
    let over: f64 = half.iter().map(|s| (s.0 - mx) * (of(s) - my)).sum();
    let under: f64 = half.iter().map(|s| (s.0 - mx).powi(2)).sum();
    if under > 0.0 {
        over / under * 3600.0
    } else {
        0.0
    }
}

/// Runs the test and returns its figures.
pub fn run(order: &SoakConfig) -> Result<Value, String> {
    let worker = SimulatedRuntime::start(4, (2, 6)).map_err(|e| e.to_string())?;
    let (mut daemon, address) = start_daemon(&worker, 16 * 1024)?;
    let mut crowd = ConnectionLoad::new(LoadConfig {
        address,
        connections: order.connections,
        edge_nodes: 150,
        rate: order.rate,
        duration: order.duration,
        one_request_per_connection: order.one_request_per_connection,
        request_classes: vec!["page", "bid"],
        timeout_ms: 5000,
        // Other load on the machine may delay this process.
        resend_window: Duration::from_millis(500),
        seed: order.seed,
    })
    .map_err(|e| e.to_string())?;
    let (began, mut samples, mut died) = (Instant::now(), Vec::new(), false);
    let cpu_before = daemon.cpu_ms_and_memory_kib().0;
    crowd.run(Duration::from_secs(1), |_| {
        let ((_, kib), (threads, descriptors)) = (
            daemon.cpu_ms_and_memory_kib(),
            daemon.thread_and_descriptor_counts(),
        );
        samples.push((
            began.elapsed().as_secs_f64(),
            kib as f64,
            threads as f64,
            descriptors as f64,
        ));
        died = daemon.has_exited();
        !died
    });
    let seconds = began.elapsed().as_secs_f64();
    let cpu_ms = daemon.cpu_ms_and_memory_kib().0 - cpu_before;
    let most = |of: &dyn Fn(&Sample) -> f64| samples.iter().map(of).fold(0.0, f64::max);
    let (threads, descriptors, kib) = (most(&|s| s.2), most(&|s| s.3), most(&|s| s.1));
    let grows = (
        slope(&samples, |s| s.1),
        slope(&samples, |s| s.2),
        slope(&samples, |s| s.3),
    );
    let (open, seen) = (crowd.open_connections(), &crowd.stats);
    let twice: u32 = worker
        .runs()
        .values()
        .map(|&runs| runs.saturating_sub(1))
        .sum();
    let answered =
        seen.lost == 0 && seen.unexpected_answers == 0 && seen.failed_connects == 0 && twice == 0;
    // New connections that stay open make memory and descriptors grow up to the backend's limits, which is no leak.
    let flat = order.one_request_per_connection || grows.0 < MOST_KIB && grows.2 < MOST_DESCRIPTORS;
    let held = answered
        && !died
        && flat
        && threads <= MAX_THREADS as f64
        && seen.answer_count() == seen.sent;
    let round = |x: f64| (x * 100.0).round() / 100.0;
    let figures = json!({"held": held, "connections": order.connections, "rate": order.rate, "once": order.one_request_per_connection,
        "seconds": round(seconds), "sent": seen.sent, "answered": seen.answers_by_status, "lost": seen.lost,
        "answers_twice": seen.unexpected_answers, "runs_twice": twice, "refused": seen.failed_connects, "ended": seen.closed_connections,
        "open_at_the_end": open, "milliseconds": quantiles(&seen.latency),
        "cpu_ms_a_second": round(cpu_ms / seconds), "cpu_us_a_task": round(cpu_ms * 1e3 / seen.sent.max(1) as f64),
        "threads": threads, "descriptors": descriptors, "kib": kib,
        "slope_an_hour": {"kib": round(grows.0), "threads": round(grows.1), "descriptors": round(grows.2)}});
    if died {
        return Err(format!(
            "the daemon exited during the test: {figures}\n{}",
            daemon.log().join("\n")
        ));
    }
    drop(crowd);
    daemon.shut_down(Duration::from_secs(10));
    Ok(figures)
}
