//! A measurement: a third of a fleet is killed under load and started again, with and without membership, under the
//! same load. The edge nodes' endpoint list stays unchanged, as on edge nodes that receive updates late. Its figures
//! are for the documentation; CI does not run it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use crate::daemon_fleet::{self, DaemonFleet};
use crate::edge_client::{EdgeClient, RequestOutcome};
use crate::process::program;
use crate::proofs::{histogram, quantiles};
use crate::unix_ms;

/// The configuration of the measurement.
pub struct Config {
    /// The number of processes.
    pub members: usize,
    /// Requests per second over all processes.
    pub rate: f64,
    /// Duration in seconds of each phase: with all processes, without a third, and with all again.
    pub seconds: u64,
    /// Seed of the load and the fleet.
    pub seed: u64,
}

/// A request is given up after this time.
const REQUEST_TIMEOUT_MS: f64 = 2000.0;
/// A request is sent to at most this many members.
const MAX_ATTEMPTS: usize = 3;
/// The number of threads that send requests.
const CLIENT_THREADS: u64 = 64;

#[derive(Default)]
struct OutcomeCounters {
    requests: AtomicU64,
    served: AtomicU64,
    attempts: AtomicU64,
    /// Rejections that tell the edge node not to retry, and those after which another member may be tried.
    final_rejections: AtomicU64,
    retryable_rejections: AtomicU64,
    refused: AtomicU64,
    lost: AtomicU64,
}

impl OutcomeCounters {
    fn now(&self) -> [u64; 7] {
        [
            &self.requests,
            &self.served,
            &self.attempts,
            &self.final_rejections,
            &self.retryable_rejections,
            &self.refused,
            &self.lost,
        ]
        .map(|count| count.load(Relaxed))
    }
}

struct Load {
    addresses: Vec<SocketAddr>,
    counters: OutcomeCounters,
    latency: Mutex<hdrhistogram::Histogram<u64>>,
    stop: AtomicBool,
}

impl Load {
    /// Sends the requests of one client thread. Each goes to a random member; after a rejection that permits a retry
    /// it goes to another one, and the member that rejected it is not used until its retry delay has passed.
    fn run_client(&self, client: u64, seed: u64, rate: f64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ client << 32);
        let mut connections: Vec<EdgeClient> = self
            .addresses
            .iter()
            .map(|&address| EdgeClient::new(address))
            .collect();
        let mut retry_not_before = vec![0.0; self.addresses.len()];
        let interval = Duration::from_secs_f64(CLIENT_THREADS as f64 / rate);
        let mut next = Instant::now() + interval.mul_f64(client as f64 / CLIENT_THREADS as f64);
        while !self.stop.load(Relaxed) {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += interval;
            self.counters.requests.fetch_add(1, Relaxed);
            let started_at = unix_ms();
            let mut tried = Vec::new();
            while tried.len() < MAX_ATTEMPTS && unix_ms() < started_at + REQUEST_TIMEOUT_MS {
                let now = unix_ms();
                let available: Vec<usize> = (0..connections.len())
                    .filter(|n| !tried.contains(n) && retry_not_before[*n] <= now)
                    .collect();
                let Some(&target) =
                    available.get((random.next_u64() % available.len().max(1) as u64) as usize)
                else {
                    break;
                };
                tried.push(target);
                self.counters.attempts.fetch_add(1, Relaxed);
                let id = format!("{:016x}", random.next_u64());
                let (start, remaining_ms) = (
                    (now as u64).to_string(),
                    ((started_at + REQUEST_TIMEOUT_MS - now) as u64).to_string(),
                );
                let fields = [
                    ("HTTP_X_REQUEST_ID", id.as_str()),
                    ("HTTP_X_REQUEST_START", &start),
                    ("HTTP_X_CALLER", "1"),
                    ("HTTP_X_TIMEOUT_MS", &remaining_ms),
                    ("HTTP_X_COST_MS", "60"),
                    ("HTTP_X_MEMORY_KB", "8"),
                ];
                match connections[target].request("/v1/page", &fields, b"ask") {
                    RequestOutcome::Refused => drop(self.counters.refused.fetch_add(1, Relaxed)),
                    RequestOutcome::Lost => drop(self.counters.lost.fetch_add(1, Relaxed)),
                    RequestOutcome::Answered(answer) if answer.status() == "200" => {
                        self.counters.served.fetch_add(1, Relaxed);
                        if let Ok(mut latency) = self.latency.lock() {
                            let _ =
                                latency.record((((unix_ms() - started_at) * 1e3) as u64).max(1));
                        }
                        break;
                    }
                    RequestOutcome::Answered(answer) => {
                        let field = |name: &str| {
                            answer.head.lines().find_map(|line| line.strip_prefix(name))
                        };
                        let delay_ms =
                            field("Retry-After-Ms: ").and_then(|ms| ms.trim().parse::<f64>().ok());
                        retry_not_before[target] = unix_ms() + delay_ms.unwrap_or(0.0);
                        if field("X-Dont-Retry: 1").is_some() {
                            self.counters.final_rejections.fetch_add(1, Relaxed);
                            break;
                        }
                        self.counters.retryable_rejections.fetch_add(1, Relaxed);
                    }
                }
            }
        }
    }
}

/// Runs the three phases once and returns the figures of each.
fn run_once(config: &Config, gossip_enabled: bool) -> Result<Value, String> {
    let mut fleet = DaemonFleet::new(&daemon_fleet::FleetConfig {
        members: config.members,
        seeds: 3.min(config.members),
        interval_ms: 200.0,
        program: program(),
        failpoint: None,
        seed: config.seed,
        gossip_enabled,
        // A member serves 33 requests per second on two cores: without a third of the fleet the default rate exceeds
        // the capacity of the rest.
        run_duration_ms: (40, 80),
        ownership_replicas: 0,
        has_journal: false,
        records: None,
    })?;
    for n in 0..fleet.len() {
        fleet.start(n)?;
    }
    for n in 0..fleet.len() {
        fleet.wait_until_listening(n)?;
    }
    thread::sleep(Duration::from_secs(4));
    let load = Arc::new(Load {
        addresses: (0..fleet.len()).map(|n| fleet.address(n)).collect(),
        counters: OutcomeCounters::default(),
        latency: Mutex::new(histogram()),
        stop: AtomicBool::new(false),
    });
    let clients: Vec<_> = (0..CLIENT_THREADS)
        .map(|client| {
            let (load, seed, rate) = (load.clone(), config.seed, config.rate);
            thread::spawn(move || load.run_client(client, seed, rate))
        })
        .collect();
    let mut phases = BTreeMap::new();
    let outage_size = config.members / 3;
    for phase in ["1 all", "2 without a third", "3 all again"] {
        match phase {
            "2 without a third" => (0..outage_size).for_each(|n| fleet.kill(n)),
            "3 all again" => {
                for n in 0..outage_size {
                    fleet.start(n)?;
                }
            }
            _ => {}
        }
        let before = load.counters.now();
        thread::sleep(Duration::from_secs(config.seconds));
        let after = load.counters.now();
        let [requests, served, attempts, final_rejections, retryable_rejections, refused, lost] =
            std::array::from_fn(|n| after[n].saturating_sub(before[n]));
        let share = |n: u64| (n as f64 / requests.max(1) as f64 * 1e3).round() / 1e3;
        phases.insert(
            phase,
            json!({"asked": requests, "finished": share(served), "tries": share(attempts), "rejected_last": share(final_rejections),
                "rejected_open": share(retryable_rejections), "connections_refused": share(refused), "lost": lost}),
        );
    }
    load.stop.store(true, Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let duplicate_runs: u32 = (0..fleet.len())
        .flat_map(|n| fleet.runtime(n).runs().into_values())
        .map(|runs| runs - 1)
        .sum();
    let latency = load
        .latency
        .lock()
        .map(|latency| quantiles(&latency))
        .unwrap_or_default();
    Ok(
        json!({"view": gossip_enabled, "parts": phases, "runs_twice": duplicate_runs, "milliseconds": latency}),
    )
}

/// Runs with and without membership in turn for each of `repeats` seeds, and returns all figures.
pub fn measure(config: &Config, repeats: u64) -> Result<Value, String> {
    let mut results = Vec::new();
    for repeat in 0..repeats {
        for gossip_enabled in [true, false] {
            let config = Config {
                seed: config.seed + repeat,
                ..*config
            };
            let result = run_once(&config, gossip_enabled)?;
            eprintln!("{result}");
            results.push(result);
        }
    }
    Ok(json!({"members": config.members, "rate": config.rate, "plays": results}))
}
