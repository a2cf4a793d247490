//! Load of the proofs with idempotency keys: `bid` requests, half of which reuse a key that another client is using at
//! the time, without being marked as retries, and `page` requests, which have no key. Each client retries until it has
//! a result or gives up.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::daemon_fleet::RETRY_WINDOW_MS;
use crate::edge_client::{EdgeClient, Pacer, RequestOutcome};
use crate::unix_ms;

/// Number of threads that send the load.
pub(super) const LOAD_THREADS: u64 = 48;
/// A client gives up on a request after the first of these times, and on one attempt after the second, in milliseconds.
/// Both are shorter than the retry window: no key is repeated after its window has ended.
const GIVE_UP_MS: f64 = 4000.0;
const ATTEMPT_TIMEOUT_MS: f64 = 1500.0;
/// Only keys that are not older than this are reused by other clients.
const RECENT_KEY_MAX_AGE_MS: f64 = 2000.0;
/// No request is started with a key this long after the first use of the key: a client that starts then may retry until
/// the retry window ends.
const KEY_MAX_AGE_MS: f64 = RETRY_WINDOW_MS as f64 - GIVE_UP_MS - 500.0;
/// A keyed request that was served sooner than this may be repeated, within twice this time.
const QUICK_ANSWER_MS: f64 = 1000.0;
/// An attempt that was answered as never run.
pub(super) struct RejectedAttempt {
    /// The request id.
    pub(super) id: String,
    /// The idempotency key, if any.
    pub(super) key: Option<String>,
    /// When the attempt was sent, in Unix milliseconds.
    pub(super) sent_ms: f64,
}

/// A request with all its attempts, as its client saw it end.
pub(super) struct ClientRequest {
    pub(super) key: Option<String>,
    pub(super) sent_ms: f64,
    pub(super) duration_ms: f64,
    /// Status of the last complete answer, or `unknown` if that reported an unknown outcome; `None` if there was no
    /// complete answer.
    pub(super) last_status: Option<String>,
    pub(super) body: Vec<u8>,
    pub(super) attempts: u32,
}

#[derive(Default)]
pub(super) struct LoadHistory {
    pub(super) requests: Vec<ClientRequest>,
    /// Attempts that were answered as never run.
    pub(super) rejected_attempts: Vec<RejectedAttempt>,
}

pub(super) struct Load {
    backends: Vec<std::net::SocketAddr>,
    requests_per_s: f64,
    thread_count: u64,
    /// Whether each key is sent to one backend only.
    has_key_affinity: bool,
    pub(super) stop: AtomicBool,
    history: Mutex<LoadHistory>,
    recent_keys: Mutex<Vec<(f64, String)>>,
    /// Keys of served requests that are sent once more: the earliest time for that, the key, and the time of its first
    /// use.
    keys_to_repeat: Mutex<Vec<(f64, String, f64)>>,
}

/// The index of the backend that a key is sent to, where each key has one backend.
pub(super) fn backend_index_of_key(key: &str, backend_count: usize) -> usize {
    key.bytes().fold(0usize, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    }) % backend_count
}

impl Load {
    /// A load on these backends, with a total rate in requests per second and a number of threads. Each key goes to one
    /// of the backends, or to any.
    pub(super) fn new(
        backends: Vec<std::net::SocketAddr>,
        (requests_per_s, thread_count): (f64, u64),
        has_key_affinity: bool,
    ) -> Load {
        let (stop, history) = (AtomicBool::new(false), Mutex::default());
        Load {
            backends,
            requests_per_s,
            thread_count,
            has_key_affinity,
            stop,
            history,
            recent_keys: Mutex::default(),
            keys_to_repeat: Mutex::default(),
        }
    }

    pub(super) fn history(&self) -> std::sync::MutexGuard<'_, LoadHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses the key of a request; also returns when it was first used. Served keys that are due to be repeated come
    /// first; half of the other requests reuse a key that another client is using at the time.
    fn choose_key(&self, random: &mut Pcg64Mcg) -> (String, f64) {
        let now_ms = unix_ms();
        let mut keys_to_repeat = self
            .keys_to_repeat
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        keys_to_repeat.retain(|(_, _, first_used_ms)| now_ms - first_used_ms < KEY_MAX_AGE_MS);
        if let Some(due_index) = keys_to_repeat
            .iter()
            .position(|(at_ms, ..)| *at_ms <= now_ms)
        {
            let (_, key, first_used_ms) = keys_to_repeat.swap_remove(due_index);
            return (key, first_used_ms);
        }
        drop(keys_to_repeat);
        let mut recent_keys = self
            .recent_keys
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        recent_keys.retain(|(at_ms, _)| now_ms - at_ms < RECENT_KEY_MAX_AGE_MS);
        if random.next_u32() % 2 == 0 && !recent_keys.is_empty() {
            let (first_used_ms, key) =
                recent_keys[random.next_u32() as usize % recent_keys.len()].clone();
            return (key, first_used_ms);
        }
        let key = format!("{:016x}{:016x}", random.next_u64(), random.next_u64());
        recent_keys.push((now_ms, key.clone()));
        (key, now_ms)
    }

    /// Runs one thread of the load: each request goes to some backend, and to others until it has a result or its
    /// client gives up.
    pub(super) fn run_thread(&self, seed: u64, thread_index: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ thread_index << 32);
        let mut clients: Vec<EdgeClient> = self
            .backends
            .iter()
            .map(|&address| EdgeClient::new(address))
            .collect();
        let mut pacer = Pacer::new(thread_index, self.thread_count, self.requests_per_s);
        while !self.stop.load(Ordering::Relaxed) {
            pacer.wait();
            let key = (random.next_u32() % 2 == 0).then(|| self.choose_key(&mut random));
            let (key, first_ms) = key.map_or((None, 0.0), |(key, first_ms)| (Some(key), first_ms));
            let request = self.send_until_answered(key, &mut clients, &mut random);
            // An answer may be lost between edge node and client, so a third of the keyed requests that were served
            // quickly are repeated.
            if let Some(key) = request
                .key
                .clone()
                .filter(|_| request.duration_ms < QUICK_ANSWER_MS && random.next_u32() % 3 == 0)
            {
                let repeat_at_ms =
                    unix_ms() + f64::from(random.next_u32() % (2 * QUICK_ANSWER_MS as u32));
                self.keys_to_repeat
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push((repeat_at_ms, key, first_ms));
            }
            self.history().requests.push(request);
        }
    }

    fn send_until_answered(
        &self,
        key: Option<String>,
        clients: &mut [EdgeClient],
        random: &mut Pcg64Mcg,
    ) -> ClientRequest {
        let sent_ms = unix_ms();
        let mut request = ClientRequest {
            key,
            sent_ms,
            duration_ms: 0.0,
            last_status: None,
            body: Vec::new(),
            attempts: 0,
        };
        let caller_number = (random.next_u32() % 4).to_string();
        let path = if request.key.is_some() {
            "/v1/bid"
        } else {
            "/v1/page"
        };
        let mut last_target = usize::MAX;
        loop {
            let now_ms = unix_ms();
            let left_ms = sent_ms + GIVE_UP_MS - now_ms;
            if left_ms < 50.0 {
                break;
            }
            let mut target = random.next_u32() as usize % clients.len();
            if target == last_target {
                target = (target + 1) % clients.len();
            }
            if let (true, Some(key)) = (self.has_key_affinity, &request.key) {
                target = backend_index_of_key(key, clients.len());
            }
            last_target = target;
            request.attempts += 1;
            let id = format!("{:016x}", random.next_u64());
            let timeout_ms = left_ms.min(ATTEMPT_TIMEOUT_MS);
            let (start_text, timeout_text) =
                ((now_ms as u64).to_string(), (timeout_ms as u64).to_string());
            let fields = [
                ("HTTP_X_REQUEST_ID", id.as_str()),
                ("HTTP_X_REQUEST_START", &start_text),
                ("HTTP_X_CALLER", &caller_number),
                ("HTTP_X_TIMEOUT_MS", &timeout_text),
                ("HTTP_X_COST_MS", "30"),
                ("HTTP_X_MEMORY_KB", "8"),
                (
                    "HTTP_IDEMPOTENCY_KEY",
                    request.key.as_deref().unwrap_or_default(),
                ),
            ];
            clients[target].set_timeout(Duration::from_secs_f64((timeout_ms + 100.0) / 1e3));
            let body = request.key.clone().unwrap_or_default();
            let mut pause_ms = 20.0;
            match clients[target].request(path, &fields, body.as_bytes()) {
                RequestOutcome::Refused | RequestOutcome::Lost => {}
                RequestOutcome::Answered(answer) => {
                    let header =
                        |name: &str| answer.head.lines().find_map(|line| line.strip_prefix(name));
                    let unknown = header("X-Outcome: unknown").is_some();
                    let status = if unknown { "unknown" } else { answer.status() };
                    request.last_status = Some(status.to_owned());
                    if status == "200" {
                        request.body = answer.body;
                        break;
                    }
                    if matches!(status, "503" | "429") || answer.protocol_status != 0 {
                        let key = request.key.clone();
                        self.history().rejected_attempts.push(RejectedAttempt {
                            id,
                            key,
                            sent_ms: now_ms,
                        });
                    }
                    let retry_after_ms =
                        header("Retry-After-Ms: ").and_then(|ms| ms.trim().parse::<f64>().ok());
                    pause_ms = retry_after_ms.unwrap_or(pause_ms).clamp(20.0, 400.0);
                }
            }
            thread::sleep(Duration::from_secs_f64(pause_ms / 1e3));
        }
        request.duration_ms = unix_ms() - sent_ms;
        request
    }
}
