//! A measurement: a third of a fleet is killed under load and started again, with and without membership, under the same
//! load. The edge nodes' endpoint list stays unchanged, as on edge nodes that receive updates late. Its figures are for the
//! documentation; CI does not run it.

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
const PATIENCE: f64 = 2000.0;
/// A request is sent to at most this many members.
const TRIES: usize = 3;
/// The number of threads that send requests.
const LANES: u64 = 64;

#[derive(Default)]
struct OutcomeCounters {
    asked: AtomicU64,
    finished: AtomicU64,
    tries: AtomicU64,
    /// Rejections that tell the edge node not to retry, and those after which another member may be tried.
    last: AtomicU64,
    open: AtomicU64,
    refused: AtomicU64,
    lost: AtomicU64,
}

impl OutcomeCounters {
    fn now(&self) -> [u64; 7] {
        [
            &self.asked,
            &self.finished,
            &self.tries,
            &self.last,
            &self.open,
            &self.refused,
            &self.lost,
        ]
        .map(|count| count.load(Relaxed))
    }
}

struct Load {
    places: Vec<SocketAddr>,
    seen: OutcomeCounters,
    times: Mutex<hdrhistogram::Histogram<u64>>,
    stop: AtomicBool,
}

impl Load {
    /// Sends the requests of one client thread. Each goes to a random member; after a rejection that permits a retry it goes
    /// to another one, and the member that rejected it is not used until its retry delay has passed.
    fn lane(&self, lane: u64, seed: u64, rate: f64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ lane << 32);
        let mut callers: Vec<EdgeClient> =
            self.places.iter().map(|&at| EdgeClient::new(at)).collect();
        let mut away = vec![0.0; self.places.len()];
        let every = Duration::from_secs_f64(LANES as f64 / rate);
        let mut next = Instant::now() + every.mul_f64(lane as f64 / LANES as f64);
        while !self.stop.load(Relaxed) {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += every;
            self.seen.asked.fetch_add(1, Relaxed);
            let began = unix_ms();
            let mut tried = Vec::new();
            while tried.len() < TRIES && unix_ms() < began + PATIENCE {
                let now = unix_ms();
                let free: Vec<usize> = (0..callers.len())
                    .filter(|n| !tried.contains(n) && away[*n] <= now)
                    .collect();
                let Some(&to) = free.get((random.next_u64() % free.len().max(1) as u64) as usize)
                else {
                    break;
                };
                tried.push(to);
                self.seen.tries.fetch_add(1, Relaxed);
                let id = format!("{:016x}", random.next_u64());
                let (start, left) = (
                    (now as u64).to_string(),
                    ((began + PATIENCE - now) as u64).to_string(),
                );
                let fields = [
                    ("HTTP_X_REQUEST_ID", id.as_str()),
                    ("HTTP_X_REQUEST_START", &start),
                    ("HTTP_X_CALLER", "1"),
                    ("HTTP_X_TIMEOUT_MS", &left),
                    ("HTTP_X_COST_MS", "60"),
                    ("HTTP_X_MEMORY_KB", "8"),
                ];
                match callers[to].request("/v1/page", &fields, b"ask") {
                    RequestOutcome::Refused => drop(self.seen.refused.fetch_add(1, Relaxed)),
                    RequestOutcome::Lost => drop(self.seen.lost.fetch_add(1, Relaxed)),
                    RequestOutcome::Answered(answer) if answer.status() == "200" => {
                        self.seen.finished.fetch_add(1, Relaxed);
                        if let Ok(mut times) = self.times.lock() {
                            let _ = times.record((((unix_ms() - began) * 1e3) as u64).max(1));
                        }
                        break;
                    }
                    RequestOutcome::Answered(answer) => {
                        let field = |name: &str| {
                            answer.head.lines().find_map(|line| line.strip_prefix(name))
                        };
                        let stay =
                            field("Retry-After-Ms: ").and_then(|ms| ms.trim().parse::<f64>().ok());
                        away[to] = unix_ms() + stay.unwrap_or(0.0);
                        if field("X-Dont-Retry: 1").is_some() {
                            self.seen.last.fetch_add(1, Relaxed);
                            break;
                        }
                        self.seen.open.fetch_add(1, Relaxed);
                    }
                }
            }
        }
    }
}

/// Runs the three phases once and returns the figures of each.
fn once(order: &Config, gossip_enabled: bool) -> Result<Value, String> {
    let mut fleet = DaemonFleet::new(&daemon_fleet::FleetConfig {
        members: order.members,
        seeds: 3.min(order.members),
        interval_ms: 200.0,
        program: program(),
        failpoint: None,
        seed: order.seed,
        gossip_enabled,
        // A member serves 33 requests per second on two cores: without a third of the fleet the default rate exceeds the
        // capacity of the rest.
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
        places: (0..fleet.len()).map(|n| fleet.address(n)).collect(),
        seen: OutcomeCounters::default(),
        times: Mutex::new(histogram()),
        stop: AtomicBool::new(false),
    });
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| {
            let (load, seed, rate) = (load.clone(), order.seed, order.rate);
            thread::spawn(move || load.lane(lane, seed, rate))
        })
        .collect();
    let mut parts = BTreeMap::new();
    let third = order.members / 3;
    for part in ["1 all", "2 without a third", "3 all again"] {
        match part {
            "2 without a third" => (0..third).for_each(|n| fleet.kill(n)),
            "3 all again" => {
                for n in 0..third {
                    fleet.start(n)?;
                }
            }
            _ => {}
        }
        let before = load.seen.now();
        thread::sleep(Duration::from_secs(order.seconds));
        let is = load.seen.now();
        let [asked, finished, tries, last, open, refused, lost] =
            std::array::from_fn(|n| is[n].saturating_sub(before[n]));
        let share = |n: u64| (n as f64 / asked.max(1) as f64 * 1e3).round() / 1e3;
        parts.insert(
            part,
            json!({"asked": asked, "finished": share(finished), "tries": share(tries), "rejected_last": share(last),
                "rejected_open": share(open), "connections_refused": share(refused), "lost": lost}),
        );
    }
    load.stop.store(true, Relaxed);
    lanes.into_iter().for_each(|lane| drop(lane.join()));
    let twice: u32 = (0..fleet.len())
        .flat_map(|n| fleet.runtime(n).runs().into_values())
        .map(|runs| runs - 1)
        .sum();
    let times = load
        .times
        .lock()
        .map(|times| quantiles(&times))
        .unwrap_or_default();
    Ok(json!({"view": gossip_enabled, "parts": parts, "runs_twice": twice, "milliseconds": times}))
}

/// Runs with and without membership in turn for each of `repeats` seeds, and returns all figures.
pub fn measure(order: &Config, repeats: u64) -> Result<Value, String> {
    let mut plays = Vec::new();
    for repeat in 0..repeats {
        for gossip_enabled in [true, false] {
            let order = Config {
                seed: order.seed + repeat,
                ..*order
            };
            let play = once(&order, gossip_enabled)?;
            eprintln!("{play}");
            plays.push(play);
        }
    }
    Ok(json!({"members": order.members, "rate": order.rate, "plays": plays}))
}
