//! A measurement: how endless retries with a revoked token affect other requests while the daemon may use a fraction
//! of a core. Requests with a valid token arrive at a steady rate, in turn with and without the flood. Its figures are
//! for the documentation; CI does not run it.

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

/// Limits a process to a fraction of a core, like a CPU quota: in each period of a tenth of a second it runs until it
/// has used its fraction, and is paused until the next period.
fn limit_cpu(daemon: &Daemon, share: f64, end: &AtomicBool) {
    const PERIOD_MS: f64 = 100.0;
    while !end.load(Relaxed) {
        let (period_start, used) = (Instant::now(), daemon.cpu_ms_and_memory_kib().0);
        let mut paused = false;
        while period_start.elapsed().as_secs_f64() * 1e3 < PERIOD_MS {
            thread::sleep(Duration::from_millis(2));
            if !paused && daemon.cpu_ms_and_memory_kib().0 - used >= share * PERIOD_MS {
                daemon.signal("STOP");
                paused = true;
            }
        }
        if paused {
            daemon.signal("CONT");
        }
    }
}

/// Sends requests at a rate over several connections for a time. Returns how many were answered with the expected
/// status, how many were not, and the latency of the former.
pub fn drive_load(
    address: SocketAddr,
    token: &str,
    (rate, clients): (f64, u64),
    expected_status: &'static str,
    seconds: u64,
) -> (u64, u64, Value) {
    let end = Instant::now() + Duration::from_secs(seconds);
    let (good, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let latency = Arc::new(Mutex::new(histogram()));
    let threads: Vec<_> = (0..clients)
        .map(|client| {
            let (good, other, latency) = (good.clone(), other.clone(), latency.clone());
            let bearer = format!("Bearer {token}");
            thread::spawn(move || {
                let mut client_connection = EdgeClient::new(address);
                let interval = Duration::from_secs_f64(clients as f64 / rate);
                let mut next = Instant::now() + interval.mul_f64(client as f64 / clients as f64);
                let mut n = (rate.to_bits() ^ unix_ms().to_bits()).rotate_left(24) ^ client << 40;
                while next < end {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += interval;
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
                    let sent_at = Instant::now();
                    match client_connection.request("/v1/page", &fields, b"ask") {
                        RequestOutcome::Answered(answer) if answer.status() == expected_status => {
                            good.fetch_add(1, Relaxed);
                            if let Ok(mut latency) = latency.lock() {
                                let _ =
                                    latency.record((sent_at.elapsed().as_micros() as u64).max(1));
                            }
                        }
                        _ => drop(other.fetch_add(1, Relaxed)),
                    }
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let latency = latency
        .lock()
        .map(|latency| quantiles(&latency))
        .unwrap_or_default();
    (good.load(Relaxed), other.load(Relaxed), latency)
}

fn generate_key(id: &str) -> Result<SecretKey, String> {
    SecretKey::generate(id).map_err(|error| error.to_string())
}

/// Runs the measurement and returns its figures.
pub fn measure(config: &Config) -> Result<Value, String> {
    let io_error_text = |e: std::io::Error| e.to_string();
    let (runtime, now) = (
        SimulatedRuntime::start(4, (1, 3)).map_err(io_error_text)?,
        unix_ms(),
    );
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
    .map_err(io_error_text)?;
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
    start["identity"] = json!({"issuer": "i", "audience": "asterdale", "roots": [root.public_key_text()],
        "keys": {"file": file}, "roles": [{"name": "r", "stages": ["page"]}],
        "tenants": [{"name": "t", "roles": ["r"]}]});
    let address = start["listen"]
        .as_str()
        .and_then(|address| address.parse().ok())
        .ok_or("no address")?;
    let daemon = Arc::new(Daemon::start(&LaunchConfig {
        program: program(),
        start,
        failpoint: None,
    })?);
    let (valid_token, revoked_token) = (token(&key, "good", now), token(&key, "bad", now));
    let stop = Arc::new(AtomicBool::new(false));
    let (limited, limit_ended, share) = (daemon.clone(), stop.clone(), config.share);
    let limiter = thread::spawn(move || limit_cpu(&limited, share, &limit_ended));
    daemon.wait_until_listening(address)?;
    let mut turns = Vec::new();
    for flooded in [false, true, false, true] {
        let (rate, seconds) = (config.rate, config.seconds);
        let (revoked_token, flood) = (revoked_token.clone(), config.flood);
        let used = daemon.cpu_ms_and_memory_kib().0;
        let flood_thread = thread::spawn(move || {
            flooded.then(|| drive_load(address, &revoked_token, (flood, 64), "401", seconds))
        });
        let (served, not_served, latency) =
            drive_load(address, &valid_token, (rate, 16), "200", seconds);
        let rejected = flood_thread
            .join()
            .map_err(|_| "the flood panicked".to_owned())?;
        let cpu = (daemon.cpu_ms_and_memory_kib().0 - used) / (seconds as f64 * 1e3);
        turns.push(json!({"flood": flooded, "finished": served, "not": not_served, "milliseconds": latency,
            "cores": (cpu * 1e3).round() / 1e3, "refused": rejected.as_ref().map(|rejected| rejected.0),
            "flood_unanswered": rejected.as_ref().map(|rejected| rejected.1)}));
    }
    stop.store(true, Relaxed);
    let _ = limiter.join();
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
