//! A measurement: what replicated ownership adds to a keyed request in latency and CPU time, at several request rates
//! and with several numbers of replicas. Its figures are for the documentation; CI does not run it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use crate::daemon_fleet::{self, DaemonFleet, LEASE_MS, RETRY_WINDOW_MS};
use crate::edge_client::{EdgeClient, Pacer, RequestOutcome};
use crate::process::program;
use crate::proofs::{histogram, quantiles};
use crate::services::IdempotentRecords;
use crate::unix_ms;

/// The number of threads that send requests.
const CLIENT_THREADS: u64 = 160;

/// The configuration of the measurement.
pub struct Config {
    /// The number of processes.
    pub members: usize,
    /// Keyed requests per second over all processes, with one measurement for each rate.
    pub rates: Vec<f64>,
    /// Numbers of ownership replicas, with one measurement for each.
    pub ownership_replicas: Vec<usize>,
    /// Whether to add a measurement at each rate with a journal directory for each process and no replicas.
    pub journal: bool,
    /// Duration of each measurement in seconds.
    pub seconds: u64,
    /// Seed of the load and the fleet.
    pub seed: u64,
}

struct Load {
    addresses: Vec<SocketAddr>,
    rate: f64,
    stop: AtomicBool,
    /// Latency of the served requests, and the number of all requests.
    results: Mutex<(hdrhistogram::Histogram<u64>, u64)>,
}

impl Load {
    /// Sends the requests of one client thread, each with a key of its own to a random member.
    fn run_client(&self, seed: u64, client: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ client << 32);
        let mut connections: Vec<EdgeClient> = self
            .addresses
            .iter()
            .map(|&address| EdgeClient::new(address))
            .collect();
        let mut pacer = Pacer::new(client, CLIENT_THREADS, self.rate);
        while !self.stop.load(Ordering::Relaxed) {
            pacer.wait();
            let (id, key) = (
                format!("{:016x}", random.next_u64()),
                format!("{:016x}", random.next_u64()),
            );
            let start = (unix_ms() as u64).to_string();
            let fields = [
                ("HTTP_X_REQUEST_ID", id.as_str()),
                ("HTTP_X_REQUEST_START", &start),
                ("HTTP_X_CALLER", "1"),
                ("HTTP_X_TIMEOUT_MS", "4000"),
                ("HTTP_X_COST_MS", "10"),
                ("HTTP_X_MEMORY_KB", "8"),
                ("HTTP_IDEMPOTENCY_KEY", &key),
            ];
            let target = random.next_u32() as usize % connections.len();
            let started_at = Instant::now();
            let outcome = connections[target].request("/v1/bid", &fields, key.as_bytes());
            if let Ok(mut results) = self.results.lock() {
                results.1 += 1;
                if matches!(outcome, RequestOutcome::Answered(answer) if answer.status() == "200") {
                    let _ = results
                        .0
                        .record(started_at.elapsed().as_micros().max(1) as u64);
                }
            }
        }
    }
}

/// Runs one measurement and returns its figures.
fn measure_once(
    config: &Config,
    (ownership_replicas, has_journal): (usize, bool),
    rate: f64,
) -> Result<Value, String> {
    let records = IdempotentRecords::default()
        .serve(0)
        .map_err(|e| e.to_string())?;
    let mut fleet = DaemonFleet::new(&daemon_fleet::FleetConfig {
        members: config.members,
        seeds: 3.min(config.members),
        interval_ms: 500.0,
        program: program(),
        failpoint: None,
        seed: config.seed,
        gossip_enabled: true,
        run_duration_ms: (6, 10),
        ownership_replicas,
        has_journal,
        records: Some(records),
    })?;
    for n in 0..fleet.len() {
        fleet.start(n)?;
    }
    for n in 0..fleet.len() {
        fleet.wait_until_listening(n)?;
    }
    thread::sleep(Duration::from_millis(
        match (ownership_replicas, has_journal) {
            (0, false) => 2000,
            // With an empty journal directory no keyed request starts for a retry window and the longest time that a
            // request may wait unread in a socket.
            (0, true) => RETRY_WINDOW_MS + 7000,
            _ => RETRY_WINDOW_MS + 4 * LEASE_MS,
        },
    ));
    let load = Arc::new(Load {
        addresses: (0..fleet.len()).map(|n| fleet.address(n)).collect(),
        rate,
        stop: AtomicBool::new(false),
        results: Mutex::new((histogram(), 0)),
    });
    let clients: Vec<_> = (0..CLIENT_THREADS)
        .map(|client| {
            let (load, seed) = (load.clone(), config.seed);
            thread::spawn(move || load.run_client(seed, client))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if let Ok(mut results) = load.results.lock() {
        *results = (histogram(), 0);
    }
    let (cpu, started_at) = (fleet.cpu_ms(), Instant::now());
    thread::sleep(Duration::from_secs(config.seconds));
    let (cpu, seconds) = (fleet.cpu_ms() - cpu, started_at.elapsed().as_secs_f64());
    load.stop.store(true, Ordering::Relaxed);
    let (sent, served, latency) = {
        let results = load
            .results
            .lock()
            .map_err(|_| "a client thread panicked")?;
        (results.1, results.0.len(), quantiles(&results.0))
    };
    clients.into_iter().for_each(|client| drop(client.join()));
    let round = |x: f64| (x * 100.0).round() / 100.0;
    Ok(
        json!({"keepers": ownership_replicas, "journal": has_journal, "rate": rate, "asked_a_second": round(sent as f64 / seconds),
        "finished": round(served as f64 / sent.max(1) as f64), "milliseconds": latency,
        "cpu_ms_a_second": round(cpu / seconds), "cpu_us_a_bid": round(cpu * 1e3 / served.max(1) as f64)}),
    )
}

/// Runs all measurements in turn and returns their figures.
pub fn measure(config: &Config) -> Result<Value, String> {
    let mut measurements = Vec::new();
    for &rate in &config.rates {
        for &ownership_replicas in &config.ownership_replicas {
            let measurement = measure_once(
                config,
                (ownership_replicas.min(config.members), false),
                rate,
            )?;
            eprintln!("{measurement}");
            measurements.push(measurement);
        }
        if config.journal {
            let measurement = measure_once(config, (0, true), rate)?;
            eprintln!("{measurement}");
            measurements.push(measurement);
        }
    }
    Ok(json!({"members": config.members, "seconds": config.seconds, "plays": measurements}))
}
