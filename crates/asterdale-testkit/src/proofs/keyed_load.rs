//! The load of the proofs whose tasks carry keys: bids, half of which repeat what another caller asks for, unmarked, and
//! pages; each caller tries until it has a result or gives up.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::daemon_fleet::RETRY_WINDOW_MS;
use crate::edge_client::{EdgeClient, Pacer, RequestOutcome};
use crate::unix_ms;

/// Threads that bring the load.
pub(super) const LANES: u64 = 48;
/// A caller gives up after so many milliseconds, and waits so long for one try. Both are shorter than a window: a key
/// is never repeated after its window has ended.
const PATIENCE: f64 = 4000.0;
const TRY: f64 = 1500.0;
/// Keys that are repeated by others are no older.
const RECENT: f64 = 2000.0;
/// A key is not asked for any more so long after it was first: whoever begins then may try until its window ends.
const OLD: f64 = RETRY_WINDOW_MS as f64 - PATIENCE - 500.0;
/// A bid that was finished this soon may be asked for again, within twice that.
const SOON: f64 = 1000.0;
/// A try that was told that it never ran.
pub(super) struct Never {
    /// Its id.
    pub(super) id: String,
    /// Its key, if it had one.
    pub(super) key: Option<String>,
    /// When it began, in Unix milliseconds.
    pub(super) began: f64,
}

/// A task, as its caller saw it end.
pub(super) struct Bid {
    pub(super) key: Option<String>,
    pub(super) began: f64,
    pub(super) took: f64,
    /// Status of the last whole answer, `unknown` among them; none where there was none.
    pub(super) last: Option<String>,
    pub(super) body: Vec<u8>,
    pub(super) tries: u32,
}

#[derive(Default)]
pub(super) struct Seen {
    pub(super) bids: Vec<Bid>,
    /// Tries that were told that they never ran.
    pub(super) never: Vec<Never>,
}

pub(super) struct Load {
    places: Vec<std::net::SocketAddr>,
    rate: f64,
    lanes: u64,
    /// Each key has one backend that it is asked for at.
    home: bool,
    pub(super) stop: AtomicBool,
    seen: Mutex<Seen>,
    recent: Mutex<Vec<(f64, String)>>,
    /// Keys that were finished and are asked for once more, from then on, and when they were first asked for.
    again: Mutex<Vec<(f64, String, f64)>>,
}

/// The backend that a key is asked for at, where each has one.
pub(super) fn home(key: &str, of: usize) -> usize {
    key.bytes().fold(0usize, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    }) % of
}

impl Load {
    /// One that goes to these, so many tasks a second in all by so many lanes; each key at one of them, or at any.
    pub(super) fn new(
        places: Vec<std::net::SocketAddr>,
        (rate, lanes): (f64, u64),
        home: bool,
    ) -> Load {
        let (stop, seen) = (AtomicBool::new(false), Mutex::default());
        Load {
            places,
            rate,
            lanes,
            home,
            stop,
            seen,
            recent: Mutex::default(),
            again: Mutex::default(),
        }
    }

    pub(super) fn seen(&self) -> std::sync::MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A key of a bid: half of them repeat what another caller asks for at this moment.
    fn key(&self, random: &mut Pcg64Mcg) -> (String, f64) {
        let now = unix_ms();
        let mut again = self.again.lock().unwrap_or_else(PoisonError::into_inner);
        again.retain(|(_, _, born)| now - born < OLD);
        if let Some(due) = again.iter().position(|(at, ..)| *at <= now) {
            let (_, key, born) = again.swap_remove(due);
            return (key, born);
        }
        drop(again);
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.retain(|(at, _)| now - at < RECENT);
        if random.next_u32() % 2 == 0 && !recent.is_empty() {
            let (born, key) = recent[random.next_u32() as usize % recent.len()].clone();
            return (key, born);
        }
        let key = format!("{:016x}{:016x}", random.next_u64(), random.next_u64());
        recent.push((now, key.clone()));
        (key, now)
    }

    /// One lane: each task goes to some backend, and to others until it has a result or its caller gives up.
    pub(super) fn lane(&self, seed: u64, lane: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ lane << 32);
        let mut callers: Vec<EdgeClient> =
            self.places.iter().map(|&at| EdgeClient::new(at)).collect();
        let mut pace = Pacer::new(lane, self.lanes, self.rate);
        while !self.stop.load(Ordering::Relaxed) {
            pace.wait();
            let key = (random.next_u32() % 2 == 0).then(|| self.key(&mut random));
            let (key, born) = key.map_or((None, 0.0), |(key, born)| (Some(key), born));
            let bid = self.bid(key, &mut callers, &mut random);
            // An answer may be lost on its last way: a third asks again for what it has.
            if let Some(key) = bid
                .key
                .clone()
                .filter(|_| bid.took < SOON && random.next_u32() % 3 == 0)
            {
                let at = unix_ms() + f64::from(random.next_u32() % (2 * SOON as u32));
                self.again
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push((at, key, born));
            }
            self.seen().bids.push(bid);
        }
    }

    fn bid(&self, key: Option<String>, callers: &mut [EdgeClient], random: &mut Pcg64Mcg) -> Bid {
        let began = unix_ms();
        let mut bid = Bid {
            key,
            began,
            took: 0.0,
            last: None,
            body: Vec::new(),
            tries: 0,
        };
        let number = (random.next_u32() % 4).to_string();
        let path = if bid.key.is_some() {
            "/v1/bid"
        } else {
            "/v1/page"
        };
        let mut last = usize::MAX;
        loop {
            let now = unix_ms();
            let left = began + PATIENCE - now;
            if left < 50.0 {
                break;
            }
            let mut to = random.next_u32() as usize % callers.len();
            if to == last {
                to = (to + 1) % callers.len();
            }
            if let (true, Some(key)) = (self.home, &bid.key) {
                to = home(key, callers.len());
            }
            last = to;
            bid.tries += 1;
            let id = format!("{:016x}", random.next_u64());
            let waits = left.min(TRY);
            let (start, timeout) = ((now as u64).to_string(), (waits as u64).to_string());
            let fields = [
                ("HTTP_X_REQUEST_ID", id.as_str()),
                ("HTTP_X_REQUEST_START", &start),
                ("HTTP_X_CALLER", &number),
                ("HTTP_X_TIMEOUT_MS", &timeout),
                ("HTTP_X_COST_MS", "30"),
                ("HTTP_X_MEMORY_KB", "8"),
                (
                    "HTTP_IDEMPOTENCY_KEY",
                    bid.key.as_deref().unwrap_or_default(),
                ),
            ];
            callers[to].set_timeout(Duration::from_secs_f64((waits + 100.0) / 1e3));
            let body = bid.key.clone().unwrap_or_default();
            let mut pause = 20.0;
            match callers[to].request(path, &fields, body.as_bytes()) {
                RequestOutcome::Refused | RequestOutcome::Lost => {}
                RequestOutcome::Answered(answer) => {
                    let field =
                        |name: &str| answer.head.lines().find_map(|line| line.strip_prefix(name));
                    let unknown = field("X-Outcome: unknown").is_some();
                    let status = if unknown { "unknown" } else { answer.status() };
                    bid.last = Some(status.to_owned());
                    if status == "200" {
                        bid.body = answer.body;
                        break;
                    }
                    if matches!(status, "503" | "429") || answer.protocol_status != 0 {
                        let key = bid.key.clone();
                        self.seen().never.push(Never {
                            id,
                            key,
                            began: now,
                        });
                    }
                    let advice =
                        field("Retry-After-Ms: ").and_then(|ms| ms.trim().parse::<f64>().ok());
                    pause = advice.unwrap_or(pause).clamp(20.0, 400.0);
                }
            }
            thread::sleep(Duration::from_secs_f64(pause / 1e3));
        }
        bid.took = unix_ms() - began;
        bid
    }
}
