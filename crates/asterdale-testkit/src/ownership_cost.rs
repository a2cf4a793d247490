//! A measurement: what replicated ownership adds to a keyed request in latency and CPU time, at several request rates and
//! with several numbers of replicas. Its figures are for the documentation; CI does not run it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use crate::daemon_fleet::{self, DaemonFleet, LEASE_MS, WINDOW_MS};
use crate::edge_client::{EdgeClient, Pacer, RequestOutcome};
use crate::process::program;
use crate::proofs::{histogram, quantiles};
use crate::services::IdempotentRecords;
use crate::unix_ms;

/// The number of threads that send requests.
const LANES: u64 = 160;

/// The configuration of the measurement.
pub struct Config {
    /// The number of processes.
    pub members: usize,
    /// Keyed requests per second over all processes, with one measurement for each rate.
    pub rates: Vec<f64>,
    /// Numbers of ownership replicas, with one measurement for each.
    pub keepers: Vec<usize>,
    /// Whether to add a measurement at each rate with a journal directory for each process and no replicas.
    pub journal: bool,
    /// Duration of each measurement in seconds.
    pub seconds: u64,
    /// Seed of the load and the fleet.
    pub seed: u64,
}

struct Load {
    places: Vec<SocketAddr>,
    rate: f64,
    stop: AtomicBool,
    times: Mutex<(hdrhistogram::Histogram<u64>, u64)>,
}

impl Load {
    fn lane(&self, seed: u64, lane: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ lane << 32);
        let mut callers: Vec<EdgeClient> =
            self.places.iter().map(|&at| EdgeClient::new(at)).collect();
        let mut pace = Pacer::new(lane, LANES, self.rate);
        while !self.stop.load(Ordering::Relaxed) {
            pace.wait();
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
            let to = random.next_u32() as usize % callers.len();
            let began = Instant::now();
            let fate = callers[to].request("/v1/bid", &fields, key.as_bytes());
            if let Ok(mut times) = self.times.lock() {
                times.1 += 1;
                if matches!(fate, RequestOutcome::Answered(answer) if answer.status() == "200") {
                    let _ = times.0.record(began.elapsed().as_micros().max(1) as u64);
                }
            }
        }
    }
}

fn once(
    order: &Config,
    (ownership_replicas, has_journal): (usize, bool),
    rate: f64,
) -> Result<Value, String> {
    let records = IdempotentRecords::default()
        .serve(0)
        .map_err(|e| e.to_string())?;
    let mut fleet = DaemonFleet::new(&daemon_fleet::FleetConfig {
        members: order.members,
        seeds: 3.min(order.members),
        interval_ms: 500.0,
        program: program(),
        failpoint: None,
        seed: order.seed,
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
            // With an empty journal directory no keyed request starts for a retry window and the longest time that a request
            // may wait unread in a socket.
            (0, true) => WINDOW_MS + 7000,
            _ => WINDOW_MS + 4 * LEASE_MS,
        },
    ));
    let load = Arc::new(Load {
        places: (0..fleet.len()).map(|n| fleet.address(n)).collect(),
        rate,
        stop: AtomicBool::new(false),
        times: Mutex::new((histogram(), 0)),
    });
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| {
            let (load, seed) = (load.clone(), order.seed);
            thread::spawn(move || load.lane(seed, lane))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if let Ok(mut times) = load.times.lock() {
        *times = (histogram(), 0);
    }
    let (cpu, began) = (fleet.cpu_ms(), Instant::now());
    thread::sleep(Duration::from_secs(order.seconds));
    let (cpu, seconds) = (fleet.cpu_ms() - cpu, began.elapsed().as_secs_f64());
    load.stop.store(true, Ordering::Relaxed);
    let (asked, finished, times) = {
        let times = load.times.lock().map_err(|_| "a client thread panicked")?;
        (times.1, times.0.len(), quantiles(&times.0))
    };
    lanes.into_iter().for_each(|lane| drop(lane.join()));
    let round = |x: f64| (x * 100.0).round() / 100.0;
    Ok(
        json!({"keepers": ownership_replicas, "journal": has_journal, "rate": rate, "asked_a_second": round(asked as f64 / seconds),
        "finished": round(finished as f64 / asked.max(1) as f64), "milliseconds": times,
        "cpu_ms_a_second": round(cpu / seconds), "cpu_us_a_bid": round(cpu * 1e3 / finished.max(1) as f64)}),
    )
}

/// Runs all measurements in turn and returns their figures.
pub fn measure(order: &Config) -> Result<Value, String> {
    let mut plays = Vec::new();
    for &rate in &order.rates {
        for &keepers in &order.keepers {
            let play = once(order, (keepers.min(order.members), false), rate)?;
            eprintln!("{play}");
            plays.push(play);
        }
        if order.journal {
            let play = once(order, (0, true), rate)?;
            eprintln!("{play}");
            plays.push(play);
        }
    }
    Ok(json!({"members": order.members, "seconds": order.seconds, "plays": plays}))
}
