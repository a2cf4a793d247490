//! A measurement: how endless retries with a revoked token affect other requests while the daemon may use a fraction of a
//! core. Requests with a valid token arrive at a steady rate, in turn with and without the flood. Its figures are for the
//! documentation; CI does not run it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use asterdale_identity::mint::SecretKey;
use serde_json::{json, Value};

use crate::edge_client::{EdgeClient, RequestOutcome};
use crate::process::{program, Daemon, LaunchConfig};
use crate::proofs::{histogram, quantiles};
use crate::simulated_runtime::SimulatedRuntime;
use crate::{scripted, services, unix_ms};

/// The configuration of the measurement.
pub struct Config {
    /// Retries with a revoked token per second.
    pub flood: f64,
    /// Requests with a valid token per second.
    pub rate: f64,
    /// Duration of each turn, with or without the flood, in seconds.
    pub seconds: u64,
    /// The fraction of a core that the daemon may use; it is paused for the rest of each tenth of a second.
    pub share: f64,
}

fn token(key: &SecretKey, jti: &str, now: f64) -> String {
    let claims = json!({"iss": "i", "aud": "asterdale", "sub": "s", "tenant": "t", "roles": ["r"],
        "exp": now / 1e3 + 3600.0, "jti": jti});
    asterdale_identity::mint::sign_jws(key, &json!({"alg": "EdDSA", "kid": key.id()}), &claims)
}

/// Limits a process to a fraction of a core, like a CPU quota: in each period of a tenth of a second it runs until it has
/// used its fraction, and is paused until the next period.
fn hold(daemon: &Daemon, share: f64, end: &AtomicBool) {
    const TENTH: f64 = 100.0;
    while !end.load(Relaxed) {
        let (began, used) = (Instant::now(), daemon.cpu_ms_and_memory_kib().0);
        let mut stopped = false;
        while began.elapsed().as_secs_f64() * 1e3 < TENTH {
            thread::sleep(Duration::from_millis(2));
            if !stopped && daemon.cpu_ms_and_memory_kib().0 - used >= share * TENTH {
                daemon.signal("STOP");
                stopped = true;
            }
        }
        if stopped {
            daemon.signal("CONT");
        }
    }
}

/// Sends requests at a rate over several connections for a time. Returns how many were answered with the expected
/// status, how many were not, and the latency of the former.
pub fn drive_load(
    at: SocketAddr,
    token: &str,
    (rate, lanes): (f64, u64),
    wanted: &'static str,
    seconds: u64,
) -> (u64, u64, Value) {
    let end = Instant::now() + Duration::from_secs(seconds);
    let (good, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let times = Arc::new(Mutex::new(histogram()));
    let threads: Vec<_> = (0..lanes)
        .map(|lane| {
            let (good, other, times) = (good.clone(), other.clone(), times.clone());
            let bearer = format!("Bearer {token}");
            thread::spawn(move || {
                let mut caller = EdgeClient::new(at);
                let every = Duration::from_secs_f64(lanes as f64 / rate);
                let mut next = Instant::now() + every.mul_f64(lane as f64 / lanes as f64);
                let mut n = (rate.to_bits() ^ unix_ms().to_bits()).rotate_left(24) ^ lane << 40;
                while next < end {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += every;
                    n = n.wrapping_add(1);
                    let (id, start) = (format!("{n:016x}"), (unix_ms() as u64).to_string());
                    let fields = [
                        ("HTTP_X_REQUEST_ID", id.as_str()),
                        ("HTTP_X_REQUEST_START", &start),
                        ("HTTP_X_CALLER", "1"),
                        ("HTTP_X_TIMEOUT_MS", "5000"),
                        ("HTTP_X_COST_MS", "4"),
                        ("HTTP_X_MEMORY_KB", "8"),
                        ("HTTP_AUTHORIZATION", &bearer),
                    ];
                    let began = Instant::now();
                    match caller.request("/v1/page", &fields, b"ask") {
                        RequestOutcome::Answered(answer) if answer.status() == wanted => {
                            good.fetch_add(1, Relaxed);
                            if let Ok(mut times) = times.lock() {
                                let _ = times.record((began.elapsed().as_micros() as u64).max(1));
                            }
                        }
                        _ => drop(other.fetch_add(1, Relaxed)),
                    }
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let times = times
        .lock()
        .map(|times| quantiles(&times))
        .unwrap_or_default();
    (good.load(Relaxed), other.load(Relaxed), times)
}

fn generate_key(id: &str) -> Result<SecretKey, String> {
    SecretKey::generate(id).map_err(|error| error.to_string())
}

/// Runs the measurement and returns its figures.
pub fn measure(order: &Config) -> Result<Value, String> {
    let told = |e: std::io::Error| e.to_string();
    let (worker, now) = (SimulatedRuntime::start(4, (1, 3)).map_err(told)?, unix_ms());
    let (root, key) = (generate_key("root")?, generate_key("k")?);
    let set = json!({"seq": 1, "issued_ms": now, "keys": [{"kty": "OKP", "crv": "Ed25519", "kid": "k",
        "x": key.public_key_text(), "from_ms": 0}], "revoked": {"tokens": ["bad"]}});
    let head =
        json!({"alg": "EdDSA", "kid": "root", "typ": asterdale_identity::keyring::KEY_SET_TYPE});
    let file = std::env::temp_dir().join(format!("asterdale-flood-{}", std::process::id()));
    std::fs::write(
        &file,
        asterdale_identity::mint::sign_jws(&root, &head, &set),
    )
    .map_err(told)?;
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
    start["identity"] = json!({"issuer": "i", "audience": "asterdale", "roots": [root.public_key_text()],
        "keys": {"file": file}, "roles": [{"name": "r", "stages": ["page"]}],
        "tenants": [{"name": "t", "roles": ["r"]}]});
    let at = start["listen"]
        .as_str()
        .and_then(|at| at.parse().ok())
        .ok_or("no address")?;
    let daemon = Arc::new(Daemon::start(&LaunchConfig {
        program: program(),
        start,
        failpoint: None,
    })?);
    let (good, bad) = (token(&key, "good", now), token(&key, "bad", now));
    let stop = Arc::new(AtomicBool::new(false));
    let (held, ended, share) = (daemon.clone(), stop.clone(), order.share);
    let holder = thread::spawn(move || hold(&held, share, &ended));
    daemon.wait_until_listening(at)?;
    let mut turns = Vec::new();
    for flooded in [false, true, false, true] {
        let (rate, seconds) = (order.rate, order.seconds);
        let (bad, flood) = (bad.clone(), order.flood);
        let used = daemon.cpu_ms_and_memory_kib().0;
        let other = thread::spawn(move || {
            flooded.then(|| drive_load(at, &bad, (flood, 64), "401", seconds))
        });
        let (finished, not, times) = drive_load(at, &good, (rate, 16), "200", seconds);
        let refused = other.join().map_err(|_| "the flood panicked".to_owned())?;
        let cpu = (daemon.cpu_ms_and_memory_kib().0 - used) / (seconds as f64 * 1e3);
        turns.push(json!({"flood": flooded, "finished": finished, "not": not, "milliseconds": times,
            "cores": (cpu * 1e3).round() / 1e3, "refused": refused.as_ref().map(|refused| refused.0),
            "flood_unanswered": refused.as_ref().map(|refused| refused.1)}));
    }
    stop.store(true, Relaxed);
    let _ = holder.join();
    let _ = std::fs::remove_file(file);
    let sum = |flood: bool| -> u64 {
        turns
            .iter()
            .filter(|turn| turn["flood"] == flood)
            .filter_map(|turn| turn["finished"].as_u64())
            .sum()
    };
    let lost = 1.0 - sum(true) as f64 / sum(false).max(1) as f64;
    Ok(
        json!({"turns": turns, "good_tasks_lost": (lost * 1e4).round() / 1e4,
        "signatures": daemon.counter("signatures")}),
    )
}
