//! Key rotation: keys rotate and are revoked while several edge nodes send requests with valid and invalid tokens of
//! every kind. The issuer is slow or unavailable, or serves old, forged or malformed key sets; the daemon reloads its
//! start file and is restarted. The proof holds if no request was accepted that must be denied, none was denied that
//! must be accepted, nothing was lost, nothing ran twice, and no tenant received another tenant's result.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use asterdale_identity::keyring::{KeySet, PublicJwk, Revocations};
use asterdale_identity::mint::{sign_jws, SecretKey};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use super::{histogram, quantiles, ProofConfig};
use crate::edge_client::{EdgeClient, RequestOutcome};
use crate::issuer::{Behavior, Issuer};
use crate::process::{failpoint_program, program, Daemon, LaunchConfig};
use crate::simulated_runtime::{run_result, SimulatedRuntime};
use crate::{scripted, services, unix_ms};

/// Number of edge nodes, and of connections of each.
const EDGE_NODES: u32 = 4;
const CONNECTIONS: u32 = 8;
/// Total rate in requests per second.
const REQUESTS_PER_S: f64 = 200.0;
/// Time from one rotation to the next in milliseconds; one minute in long runs.
fn rotation_period_ms(seconds: u64) -> f64 {
    if seconds > 300 {
        60_000.0
    } else {
        3_000.0
    }
}
/// The clock skew that the daemon allows for.
const CLOCK_SKEW_MS: f64 = 200.0;
/// This close to a boundary either decision is right: a busy machine may decide that late.
const TOLERANCE_MS: f64 = 1_200.0;
/// Interval between fetches of the key set.
const FETCH_INTERVAL_MS: f64 = 200.0;
/// Maximum age of a key set in milliseconds: it outlasts one missed rotation and a part of the next.
fn max_key_set_age_ms(period_ms: f64) -> f64 {
    period_ms * 8.0 / 3.0
}
/// Rate per second and burst of the role with a small quota.
const QUOTA_PER_S: f64 = 5.0;

/// A key with which the issuer signs tokens.
#[derive(Clone)]
struct SigningKey {
    id: String,
    seed: [u8; 32],
    from_ms: f64,
    until_ms: f64,
}

/// A key set as it was published; the oracle judges by it.
#[derive(Clone)]
struct PublishedSet {
    seq: u64,
    issued_ms: f64,
    keys: Vec<SigningKey>,
    revoked_keys: Vec<String>,
    revoked_tokens: Vec<String>,
    revoked_subjects: Vec<String>,
}

/// A token, with the properties that it was made with.
#[derive(Clone)]
struct Token {
    text: Option<String>,
    /// Whether it is well-formed and signed by the key that it names.
    is_valid: bool,
    key_id: String,
    jti: String,
    subject: String,
    tenant: String,
    role: &'static str,
    from_ms: f64,
    until_ms: f64,
}

/// A request and its answer.
struct AnsweredRequest {
    kind: &'static str,
    token: Token,
    class: &'static str,
    id: String,
    /// In a request class with idempotency keys: the key, unique to an incarnation of the daemon.
    idempotency_key: Option<String>,
    sent_ms: f64,
    answered_ms: f64,
    status: String,
    denial: String,
    body: Vec<u8>,
}

/// What was issued, revoked and served so far.
#[derive(Default)]
struct IssuerState {
    published_sets: Vec<PublishedSet>,
    keys: Vec<SigningKey>,
    /// Tokens that were valid when issued. They are sent again later, even if they have expired or were revoked.
    reusable_tokens: Vec<Token>,
    revoked_tokens: Vec<String>,
    revoked_subjects: Vec<String>,
    revoked_keys: Vec<String>,
    /// Keyed requests that were served: tenant, key and result.
    served_keyed: Vec<(String, String, String)>,
    /// Counts starts and ends of restarts: odd while the daemon is being restarted, when either of the two processes
    /// may answer.
    incarnation: u32,
}

/// Restarts of the daemon: from the request to shut down until the new process certainly had the latest key set.
#[derive(Default)]
struct RestartGaps(Vec<(f64, f64)>);

struct Harness {
    issuer_state: Mutex<IssuerState>,
    issuer: Issuer,
    root: [u8; 32],
    requests: Mutex<Vec<AnsweredRequest>>,
    counts: Mutex<BTreeMap<&'static str, u64>>,
    durations: Mutex<hdrhistogram::Histogram<u64>>,
    restart_gaps: Mutex<RestartGaps>,
    end: Instant,
}

fn random_below(random: &mut Pcg64Mcg, bound: u32) -> u32 {
    random.next_u32() % bound.max(1)
}

fn random_bytes(random: &mut Pcg64Mcg) -> [u8; 32] {
    let mut bytes = [0; 32];
    random.fill_bytes(&mut bytes);
    bytes
}

impl IssuerState {
    /// The key that signs at this time.
    fn active(&self, now: f64) -> Option<&SigningKey> {
        let is_usable =
            |key: &&SigningKey| key.from_ms <= now && !self.revoked_keys.contains(&key.id);
        self.keys
            .iter()
            .filter(is_usable)
            .max_by(|left, right| left.from_ms.total_cmp(&right.from_ms))
    }

    fn publish(&mut self, root_seed: &[u8; 32], issuer: &Issuer, now: f64) {
        let seq = self.published_sets.len() as u64 + 1;
        // Only the newest keys, because the size of a set is bounded.
        let keys: Vec<SigningKey> = self.keys.iter().rev().take(6).rev().cloned().collect();
        let set = PublishedSet {
            seq,
            issued_ms: now,
            keys,
            revoked_keys: self.revoked_keys.clone(),
            revoked_tokens: self.revoked_tokens.clone(),
            revoked_subjects: self.revoked_subjects.clone(),
        };
        issuer.publish(
            seq,
            SecretKey::from_seed(*root_seed, "root").sign_key_set(&key_set_of(&set)),
        );
        self.published_sets.push(set);
    }
}

fn key_set_of(published: &PublishedSet) -> KeySet {
    let to_jwk = |key: &SigningKey| PublicJwk {
        kty: "OKP".to_owned(),
        crv: "Ed25519".to_owned(),
        kid: key.id.clone(),
        public_key: SecretKey::from_seed(key.seed, &key.id).public_key_text(),
        from_ms: key.from_ms,
        until_ms: key.until_ms.is_finite().then_some(key.until_ms),
    };
    let to_set = |names: &[String]| names.iter().cloned().collect();
    KeySet {
        seq: published.seq,
        issued_ms: published.issued_ms,
        keys: published.keys.iter().map(to_jwk).collect(),
        revoked: Revocations {
            tokens: to_set(&published.revoked_tokens),
            subjects: to_set(&published.revoked_subjects),
            keys: to_set(&published.revoked_keys),
            tenants: Default::default(),
        },
    }
}

/// The claims of a token as plain JSON: the oracle shares no types with the daemon.
fn claims(token: &Token) -> Value {
    json!({"iss": "stand-in", "aud": "asterdale", "sub": token.subject, "tenant": token.tenant,
        "roles": [token.role], "exp": token.until_ms / 1e3, "nbf": token.from_ms / 1e3, "jti": token.jti})
}

fn header(key_id: &str) -> Value {
    json!({"alg": "EdDSA", "kid": key_id, "typ": "JWT"})
}

impl Harness {
    /// Records that a restart of the daemon begins or has ended; idempotency keys from before are not known to the new
    /// process.
    fn next_incarnation(&self) {
        if let Ok(mut state) = self.issuer_state.lock() {
            state.incarnation += 1;
            state.served_keyed.clear();
        }
    }

    fn count(&self, name: &'static str) {
        if let Ok(mut counts) = self.counts.lock() {
            *counts.entry(name).or_default() += 1;
        }
    }

    /// Makes a token of a random kind; returns the name of the kind, the token and the request class that it is used
    /// for.
    fn random_token(
        &self,
        random: &mut Pcg64Mcg,
        now: f64,
    ) -> Option<(&'static str, Token, &'static str)> {
        let mut state = self.issuer_state.lock().ok()?;
        let active = state.active(now)?.clone();
        let tenant = ["north", "south"][random_below(random, 2) as usize];
        let mut token = Token {
            text: None,
            is_valid: true,
            key_id: active.id.clone(),
            jti: format!("{:016x}", random.next_u64()),
            subject: format!("s{}", random_below(random, 40)),
            tenant: tenant.to_owned(),
            role: "phone",
            from_ms: now - 10_000.0,
            until_ms: now + 60_000.0,
        };
        let secret_key = |key: &SigningKey| SecretKey::from_seed(key.seed, &key.id);
        let mut signer = secret_key(&active);
        let mut class = ["page", "bid"][random_below(random, 2) as usize];
        let kind = match random_below(random, 100) {
            0..30 => "good",
            30..38 => {
                // The token may have expired or been revoked since it was made; it is judged by the sets in force now.
                let count = state.reusable_tokens.len() as u32;
                let token = state
                    .reusable_tokens
                    .get(random_below(random, count) as usize)?
                    .clone();
                return Some(("kept", token, class));
            }
            38..50 => {
                // A revoked token that its caller keeps sending.
                let is_revoked = |token: &&Token| {
                    state.revoked_tokens.contains(&token.jti)
                        || state
                            .revoked_subjects
                            .contains(&format!("{}/{}", token.tenant, token.subject))
                };
                let revoked_tokens: Vec<&Token> =
                    state.reusable_tokens.iter().filter(is_revoked).collect();
                let token = revoked_tokens
                    .get(random_below(random, revoked_tokens.len() as u32) as usize)?;
                return Some(("revoked", (*token).clone(), class));
            }
            50..60 => {
                // Signed by any key so far, including outgoing, retired and revoked ones.
                let key = state
                    .keys
                    .get(random_below(random, state.keys.len() as u32) as usize)?;
                (token.key_id, signer) = (key.id.clone(), secret_key(key));
                "older key"
            }
            60..66 => {
                let last = state
                    .keys
                    .iter()
                    .filter(|key| key.until_ms.is_finite())
                    .max_by(|left, right| left.until_ms.total_cmp(&right.until_ms));
                let key = last?;
                (token.key_id, signer) = (key.id.clone(), secret_key(key));
                "outgoing"
            }
            66..72 => {
                (signer, token.is_valid) = (
                    SecretKey::from_seed(random_bytes(random), &token.key_id),
                    false,
                );
                "forged"
            }
            72..75 => {
                token.until_ms = now - 100.0 - f64::from(random_below(random, 20_000));
                "expired"
            }
            75..78 => {
                token.from_ms = now + 100.0 + f64::from(random_below(random, 20_000));
                "early"
            }
            78..81 => {
                token.tenant = "nowhere".to_owned();
                "unknown tenant"
            }
            81..85 => {
                (token.role, class) = ("clerk", "bid");
                "beyond rights"
            }
            85..90 => {
                (token.role, class, token.tenant) = ("few", "page", "north".to_owned());
                "over quota"
            }
            90..94 => {
                token.is_valid = false;
                let header = [
                    json!({"alg": "none", "kid": token.key_id}),
                    json!({"alg": "HS256", "kid": token.key_id}),
                    json!({"alg": "EdDSA", "kid": token.key_id, "crit": ["exp"]}),
                    json!({"alg": "EdDSA", "kid": token.key_id, "jwk": {"kty": "OKP", "crv": "Ed25519"}}),
                ];
                let header = &header[random_below(random, 4) as usize];
                token.text = Some(sign_jws(&signer, header, &claims(&token)));
                return Some(("bad head", token, class));
            }
            94..97 => {
                token.is_valid = false;
                let garbage: Vec<u8> = (0..random_below(random, 200))
                    .map(|_| random.next_u32() as u8)
                    .collect();
                token.text = Some(URL_SAFE_NO_PAD.encode(garbage));
                return Some(("rubbish", token, class));
            }
            _ => {
                token.is_valid = false;
                return Some(("none", token, class));
            }
        };
        token.text = Some(sign_jws(&signer, &header(&token.key_id), &claims(&token)));
        if kind == "good" && state.reusable_tokens.len() < 2000 {
            state.reusable_tokens.push(token.clone());
        }
        Some((kind, token, class))
    }

    /// Sends requests on one connection of an edge node, at its share of the rate.
    fn send_load(&self, address: std::net::SocketAddr, edge: u32, seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut client = EdgeClient::new(address);
        let interval =
            Duration::from_secs_f64(f64::from(EDGE_NODES * CONNECTIONS) / REQUESTS_PER_S);
        let mut next =
            Instant::now() + interval.mul_f64(f64::from(random_below(&mut random, 1000)) / 1000.0);
        let edge_text = edge.to_string();
        while next < self.end {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += interval;
            let Some((kind, token, class)) = self.random_token(&mut random, unix_ms()) else {
                continue;
            };
            // A fifth of the keyed requests reuse the key of a served one, of their own tenant or of the other, whose
            // result they must not get.
            let (incarnation, repeated) = {
                let Ok(state) = self.issuer_state.lock() else {
                    return;
                };
                let count = state.served_keyed.len() as u32;
                let repeated = (class == "bid" && random_below(&mut random, 5) == 0).then(|| {
                    state
                        .served_keyed
                        .get(random_below(&mut random, count) as usize)
                        .cloned()
                });
                (state.incarnation, repeated.flatten())
            };
            let id = format!("{:016x}", random.next_u64());
            let idempotency_key = (class == "bid").then(|| match &repeated {
                Some((_, idempotency_key, _)) => idempotency_key.clone(),
                None => format!("{incarnation}-{:016x}", random.next_u64()),
            });
            let sent_ms = unix_ms();
            let (start_text, token_text) = (
                (sent_ms as u64).to_string(),
                token.text.clone().unwrap_or_default(),
            );
            let bearer = if token.text.is_some() {
                format!("Bearer {token_text}")
            } else {
                String::new()
            };
            let fields = [
                ("HTTP_X_REQUEST_ID", id.as_str()),
                ("HTTP_X_REQUEST_START", &start_text),
                ("HTTP_X_CALLER", &edge_text),
                ("HTTP_X_TIMEOUT_MS", "10000"),
                ("HTTP_X_COST_MS", "4"),
                ("HTTP_X_MEMORY_KB", "8"),
                (
                    "HTTP_IDEMPOTENCY_KEY",
                    idempotency_key.as_deref().unwrap_or_default(),
                ),
                ("HTTP_AUTHORIZATION", &bearer),
            ];
            let body = idempotency_key.clone().unwrap_or_else(|| "page".to_owned());
            let began = Instant::now();
            match client.request(&format!("/v1/{class}"), &fields, body.as_bytes()) {
                RequestOutcome::Refused => self.count("unreachable"),
                RequestOutcome::Lost => {
                    self.count("lost");
                    eprintln!("lost: {kind} {class} {id}, sent {sent_ms:.0}");
                }
                RequestOutcome::Answered(answer) => {
                    if let Ok(mut durations) = self.durations.lock() {
                        let _ = durations.record((began.elapsed().as_micros() as u64).max(1));
                    }
                    let status = answer.status().to_owned();
                    if let (Some(idempotency_key), "200", true) =
                        (&idempotency_key, status.as_str(), repeated.is_none())
                    {
                        if let Ok(mut state) = self.issuer_state.lock() {
                            if state.incarnation == incarnation
                                && incarnation % 2 == 0
                                && state.served_keyed.len() < 5000
                            {
                                let text = String::from_utf8_lossy(&answer.body).into_owned();
                                state.served_keyed.push((
                                    token.tenant.clone(),
                                    idempotency_key.clone(),
                                    text,
                                ));
                            }
                        }
                    }
                    let denial = answer
                        .head
                        .lines()
                        .find_map(|line| line.strip_prefix("X-Denied: "));
                    let answered = AnsweredRequest {
                        kind,
                        token,
                        class,
                        id,
                        idempotency_key,
                        sent_ms,
                        answered_ms: unix_ms(),
                        denial: denial.unwrap_or_default().to_owned(),
                        status,
                        body: answer.body,
                    };
                    if let Ok(mut requests) = self.requests.lock() {
                        requests.push(answered);
                    }
                }
            }
        }
    }

    /// Runs the issuer: rotates keys, revokes keys, tokens and subjects, and lets the issuer misbehave at times.
    fn run_issuer(&self, seed: u64, period_ms: f64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut round = 0u32;
        let key = |n: u32, random: &mut Pcg64Mcg, from_ms: f64| SigningKey {
            id: format!("key-{n}"),
            seed: random_bytes(random),
            from_ms,
            until_ms: f64::INFINITY,
        };
        let behaviors = [
            Behavior::Slow(700),
            Behavior::Down,
            Behavior::RolledBack,
            Behavior::Malformed,
            Behavior::Forged,
        ];
        while Instant::now() < self.end {
            let now = unix_ms();
            round += 1;
            {
                let Ok(mut state) = self.issuer_state.lock() else {
                    return;
                };
                // The next key is announced two thirds of a period ahead; half a period after it becomes active, the
                // previous one expires.
                let from_ms = now + period_ms * 2.0 / 3.0;
                let next = key(round, &mut random, from_ms);
                for previous in state
                    .keys
                    .iter_mut()
                    .filter(|previous| previous.until_ms.is_infinite())
                {
                    previous.until_ms = from_ms + period_ms / 2.0;
                }
                state.keys.push(next);
                for _ in 0..1 + random_below(&mut random, 3) {
                    let count = state.reusable_tokens.len() as u32;
                    if let Some(token) = state
                        .reusable_tokens
                        .get(random_below(&mut random, count) as usize)
                        .cloned()
                    {
                        eprintln!("{now:.0} token {} is revoked", token.jti);
                        state.revoked_tokens.push(token.jti);
                    }
                }
                if round % 3 == 0 && state.revoked_subjects.len() < 12 {
                    let revoked = ["north", "south"][random_below(&mut random, 2) as usize];
                    let revoked = format!("{revoked}/s{}", random_below(&mut random, 40));
                    eprintln!("{now:.0} subject {revoked} is revoked");
                    state.revoked_subjects.push(revoked);
                }
                if round % 5 == 4 && state.keys.len() > 3 {
                    // The key that was replaced last, while it still overlaps with its successor.
                    let revoked = state.keys[state.keys.len() - 3].id.clone();
                    eprintln!("{now:.0} key {revoked} is revoked");
                    state.revoked_keys.push(revoked);
                }
                state.publish(&self.root, &self.issuer, now);
                let mut forged = state.published_sets[0].clone();
                forged.seq = 1_000_000;
                self.issuer.set_forged_key_set(
                    SecretKey::from_seed([66; 32], "root").sign_key_set(&key_set_of(&forged)),
                );
            }
            // In every other round the issuer misbehaves for a while.
            let behavior = behaviors[random_below(&mut random, 5) as usize];
            if round % 2 == 0 {
                thread::sleep(Duration::from_secs_f64(period_ms / 4e3));
                eprintln!("{:.0} the issuer behaves as {behavior:?}", unix_ms());
                self.issuer.set_behavior(behavior);
            }
            let remaining_ms = (now + period_ms * 0.75 - unix_ms()).max(0.0);
            thread::sleep(Duration::from_secs_f64(remaining_ms / 1e3));
            self.issuer.set_behavior(Behavior::Good);
            let remaining_ms = (now + period_ms - unix_ms()).max(0.0);
            thread::sleep(Duration::from_secs_f64(remaining_ms / 1e3));
        }
    }
}

/// Which decisions are right for a request: accepted, denied, or undecided, if the daemon has no usable key set.
#[derive(Clone, Copy, Debug, Default)]
struct Allowed {
    accepted: bool,
    denied: bool,
    undecided: bool,
}

/// The right decisions for a request under one key set, between its sending and its answer: `accepted` if a correct
/// daemon could accept it at some time in between, `denied` if it could deny it.
fn allowed_by_set(request: &AnsweredRequest, set: &PublishedSet, max_age_ms: f64) -> Allowed {
    let (token, from, until) = (&request.token, request.sent_ms, request.answered_ms);
    let has_role = match token.role {
        "phone" => true,
        "clerk" | "few" => request.class == "page",
        _ => false,
    };
    let is_entitled =
        token.is_valid && has_role && ["north", "south"].contains(&token.tenant.as_str());
    let subject = format!("{}/{}", token.tenant, token.subject);
    let is_revoked = set.revoked_tokens.contains(&token.jti)
        || set.revoked_subjects.contains(&subject)
        || set.revoked_keys.contains(&token.key_id);
    let key = set.keys.iter().find(|key| key.id == token.key_id);
    let Some(key) = key.filter(|_| is_entitled && !is_revoked) else {
        return Allowed {
            accepted: false,
            denied: true,
            undecided: true,
        };
    };
    let begins = key.from_ms.max(token.from_ms);
    let ends = key.until_ms.min(token.until_ms);
    // Both are widened by the tolerance, and acceptance also by the clock skew: near a boundary either decision is
    // right.
    let accepted = until >= begins - CLOCK_SKEW_MS - TOLERANCE_MS
        && from <= ends + CLOCK_SKEW_MS + TOLERANCE_MS;
    let denied = from < begins + TOLERANCE_MS || until > ends - TOLERANCE_MS;
    let may_be_stale = until - set.issued_ms > max_age_ms - TOLERANCE_MS;
    let is_stale = from - set.issued_ms > max_age_ms + TOLERANCE_MS;
    Allowed {
        accepted: accepted && !is_stale,
        denied,
        undecided: may_be_stale,
    }
}

/// The key sets that the daemon may have had: the latest that was delivered well before the request, if any, and all
/// since. Also returns whether the daemon may have had none.
fn possible_sets<'a>(
    request: &AnsweredRequest,
    published_sets: &'a [PublishedSet],
    deliveries: &[(f64, u64)],
    restart_gaps: &RestartGaps,
) -> (Vec<&'a PublishedSet>, bool) {
    // A daemon that has just started has only the sets that were delivered to it.
    let restarted_at = restart_gaps
        .0
        .iter()
        .filter(|gap| gap.0 <= request.answered_ms)
        .map(|gap| gap.0)
        .fold(0.0, f64::max);
    let is_near_restart = restart_gaps
        .0
        .iter()
        .any(|gap| request.answered_ms >= gap.0 && request.sent_ms <= gap.1);
    let last_before = deliveries
        .iter()
        .filter(|(at, _)| *at >= restarted_at && *at <= request.sent_ms - TOLERANCE_MS)
        .map(|(_, seq)| *seq)
        .max();
    let delivered = deliveries
        .iter()
        .filter(|(at, _)| *at <= request.answered_ms + TOLERANCE_MS)
        .map(|(_, seq)| *seq);
    let oldest_seq = last_before.unwrap_or(0);
    let seqs: Vec<u64> = delivered
        .filter(|seq| *seq >= oldest_seq)
        .chain(last_before)
        .collect();
    (
        published_sets
            .iter()
            .filter(|set| seqs.contains(&set.seq))
            .collect(),
        last_before.is_none() || is_near_restart,
    )
}

struct Judgement {
    counts: BTreeMap<String, u64>,
    violations: Vec<String>,
}

impl Judgement {
    fn add_violation(&mut self, rule: &str, request: &AnsweredRequest) {
        *self.counts.entry(rule.to_owned()).or_default() += 1;
        let token = &request.token;
        self.violations.push(format!(
            "{rule}: {} {} {} of {}/{} key {} sent {:.0} answered {:.0} with {} {:?}",
            request.kind,
            request.class,
            request.id,
            token.tenant,
            token.subject,
            token.key_id,
            request.sent_ms,
            request.answered_ms,
            request.status,
            request.denial
        ));
    }
}

/// Judges the recorded history.
fn judge(harness: &Harness, runs: &HashMap<String, u32>, seconds: u64) -> Judgement {
    let mut judgement = Judgement {
        counts: BTreeMap::new(),
        violations: Vec::new(),
    };
    let (Ok(requests), Ok(issuer_state), Ok(restart_gaps)) = (
        harness.requests.lock(),
        harness.issuer_state.lock(),
        harness.restart_gaps.lock(),
    ) else {
        return judgement;
    };
    let deliveries = harness.issuer.deliveries();
    let mut accepted_by_quota = 0;
    let mut by_key: HashMap<(&str, &str), Vec<&AnsweredRequest>> = HashMap::new();
    for request in requests.iter() {
        *judgement
            .counts
            .entry(format!("sent: {}", request.kind))
            .or_default() += 1;
        *judgement
            .counts
            .entry(format!("answered {} {}", request.status, request.denial))
            .or_default() += 1;
        let (sets, no_set_known) = possible_sets(
            request,
            &issuer_state.published_sets,
            &deliveries,
            &restart_gaps,
        );
        let mut allowed = Allowed {
            undecided: no_set_known,
            ..Allowed::default()
        };
        for set in sets {
            let by_set = allowed_by_set(
                request,
                set,
                max_key_set_age_ms(rotation_period_ms(seconds)),
            );
            (allowed.accepted, allowed.denied) = (
                allowed.accepted | by_set.accepted,
                allowed.denied | by_set.denied,
            );
            allowed.undecided |= by_set.undecided;
        }
        let ran = runs.contains_key(&request.id);
        let was_accepted = request.status == "200" || ran;
        let was_rejected = matches!(request.status.as_str(), "429" | "503");
        if was_accepted && !allowed.accepted {
            judgement.add_violation("wrong acceptance", request);
        }
        if matches!(request.status.as_str(), "401" | "403") && !allowed.denied {
            judgement.add_violation("wrong refusal", request);
        }
        if request.denial == "unable" && !allowed.undecided && !allowed.denied {
            judgement.add_violation("wrong refusal, not judged", request);
        }
        if request.denial == "over" && request.token.role != "few" {
            judgement.add_violation("wrong refusal, no quota", request);
        }
        if ran && was_rejected {
            judgement.add_violation("ran, and was told that it never did", request);
        }
        if request.status == "400" || request.status == "none" {
            judgement.add_violation("an answer that makes no sense", request);
        }
        accepted_by_quota += u64::from(request.token.role == "few" && was_accepted);
        let text = String::from_utf8_lossy(&request.body);
        if request.status == "200" {
            if let Some(key) = &request.idempotency_key {
                by_key
                    .entry((&request.token.tenant, key))
                    .or_default()
                    .push(request);
            } else if text != String::from_utf8_lossy(&run_result(&request.id)) {
                judgement.add_violation("another task's result", request);
            }
        }
    }
    // Requests with the same key of one tenant get the same result; the same key of another tenant is another run.
    let mut owner: HashMap<Vec<u8>, &str> = HashMap::new();
    for ((tenant, _), attempts) in &by_key {
        for request in attempts {
            if request.body != attempts[0].body {
                judgement.add_violation("two results under one key", request);
            }
            if *owner.entry(request.body.clone()).or_insert(tenant) != *tenant {
                judgement.add_violation("another tenant's result", request);
            }
        }
    }
    let repeated_runs = runs.values().filter(|runs| **runs > 1).count();
    if repeated_runs > 0 {
        judgement
            .counts
            .insert("ran twice".to_owned(), repeated_runs as u64);
        judgement
            .violations
            .push(format!("{repeated_runs} requests ran twice"));
    }
    // Each incarnation of the daemon starts with a full token bucket.
    let quota_bound = (1 + issuer_state.incarnation / 2) as f64 * QUOTA_PER_S
        + QUOTA_PER_S * (seconds as f64 + 2.0);
    judgement
        .counts
        .insert("in the small quota".to_owned(), accepted_by_quota);
    if accepted_by_quota as f64 > quota_bound {
        judgement.violations.push(format!(
            "{accepted_by_quota} requests were accepted by a quota of {quota_bound}"
        ));
    }
    judgement
}

fn start_file(
    runtime: &SimulatedRuntime,
    issuer: &Issuer,
    root: &[u8; 32],
    max_age_ms: f64,
) -> std::io::Result<Value> {
    let (records, registry) = (services::records()?, services::registry()?);
    let mut start = scripted::start_file_json(
        scripted::unused_address(),
        runtime.address,
        records,
        registry,
    );
    start["settings"]["extra"]["cores"] = json!(8);
    // A short drain: requests that arrive during it are rejected, and show little.
    start["stop_ms"] = json!(1000);
    start["settings"]["tenants"] = json!([{"allowancePerS": 1000}, {"allowancePerS": 1000}]);
    start["identity"] = json!({
        "issuer": "stand-in", "audience": "asterdale",
        "roots": [SecretKey::from_seed(*root, "root").public_key_text()],
        "keys": {"fetch": {"at": issuer.address, "path": "/keys", "every_ms": FETCH_INTERVAL_MS}},
        "max_age_ms": max_age_ms, "skew_ms": CLOCK_SKEW_MS,
        // Most tokens are new because the load is random: far more signatures than any edge node brings in service.
        "signatures_per_edge": 400, "signatures": 3200,
        "roles": [
            {"name": "phone", "stages": ["page", "bid"]},
            {"name": "clerk", "stages": ["page"]},
            {"name": "few", "stages": ["page"], "per_s": QUOTA_PER_S, "burst": QUOTA_PER_S}],
        "tenants": [
            {"name": "north", "customer": 0, "roles": ["phone", "clerk", "few"]},
            {"name": "south", "customer": 1, "roles": ["phone", "clerk"]}]});
    Ok(start)
}

/// Runs the proof and returns its figures, `held` among them.
pub fn prove(proof: &ProofConfig) -> Result<Value, String> {
    let io_error_text = |e: std::io::Error| e.to_string();
    let mut random = Pcg64Mcg::seed_from_u64(proof.seed);
    let program = if proof.failpoint.is_some() {
        failpoint_program()?
    } else {
        program()
    };
    let (runtime, issuer) = (
        SimulatedRuntime::start(8, (1, 6)).map_err(io_error_text)?,
        Issuer::start().map_err(io_error_text)?,
    );
    let root = random_bytes(&mut random);
    let start = start_file(
        &runtime,
        &issuer,
        &root,
        max_key_set_age_ms(rotation_period_ms(proof.seconds)),
    )
    .map_err(io_error_text)?;
    let listen = start["listen"]
        .as_str()
        .and_then(|at| at.parse().ok())
        .ok_or("no address")?;
    let launch = LaunchConfig {
        program,
        start,
        failpoint: proof.failpoint.clone(),
    };
    let now = unix_ms();
    // The first signing key.
    let mut issuer_state = IssuerState::default();
    let first_key = SigningKey {
        id: "key-0".to_owned(),
        seed: random_bytes(&mut random),
        from_ms: now - 60_000.0,
        until_ms: f64::INFINITY,
    };
    issuer_state.keys.push(first_key);
    issuer_state.publish(&root, &issuer, now);
    let harness = Arc::new(Harness {
        issuer_state: Mutex::new(issuer_state),
        issuer,
        root,
        requests: Mutex::default(),
        counts: Mutex::default(),
        durations: Mutex::new(histogram()),
        restart_gaps: Mutex::default(),
        end: Instant::now() + Duration::from_secs(proof.seconds),
    });
    let mut daemon = Daemon::start(&launch)?;
    let mut threads = Vec::new();
    let (shared, seed) = (harness.clone(), random.next_u64());
    let period_ms = rotation_period_ms(proof.seconds);
    threads.push(thread::spawn(move || shared.run_issuer(seed, period_ms)));
    for edge in 0..EDGE_NODES {
        for _ in 0..CONNECTIONS {
            let (shared, seed) = (harness.clone(), random.next_u64());
            threads.push(thread::spawn(move || shared.send_load(listen, edge, seed)));
        }
    }
    // The daemon reloads its start file now and then, and is restarted a few times.
    let mut next = Instant::now() + Duration::from_secs(2);
    let mut steps = 0u32;
    while Instant::now() < harness.end {
        thread::sleep(Duration::from_millis(20));
        if daemon.has_exited() {
            let log = daemon.log().join("\n");
            return Err(format!("the daemon exited by itself:\n{log}"));
        }
        if Instant::now() < next {
            continue;
        }
        steps += 1;
        next += Duration::from_millis(2500);
        if steps % 4 == 0 && next + Duration::from_secs(2) < harness.end {
            let stopped_at = unix_ms();
            eprintln!("{stopped_at:.0} the daemon is restarted");
            harness.next_incarnation();
            if let Ok(mut restart_gaps) = harness.restart_gaps.lock() {
                restart_gaps.0.push((stopped_at, f64::INFINITY));
            }
            if !daemon.shut_down(Duration::from_secs(20)) {
                return Err(format!(
                    "the daemon did not shut down cleanly:\n{}",
                    daemon.log().join("\n")
                ));
            }
            daemon = Daemon::start(&launch)?;
            harness.next_incarnation();
            if let Ok(mut restart_gaps) = harness.restart_gaps.lock() {
                if let Some(gap) = restart_gaps.0.last_mut() {
                    gap.1 = unix_ms() + TOLERANCE_MS;
                }
            }
        } else {
            eprintln!("{:.0} the daemon reloads its start file", unix_ms());
            daemon.signal("HUP");
        }
    }
    for thread in threads {
        thread
            .join()
            .map_err(|_| "a thread of the proof panicked".to_owned())?;
    }
    let counters: BTreeMap<&str, u64> = [
        "keys_adopted",
        "keys_refused",
        "issuer_failed",
        "signatures",
        "tokens_cached",
    ]
    .into_iter()
    .filter_map(|name| Some((name, daemon.counter(name)?)))
    .collect();
    let has_exited = daemon.shut_down(Duration::from_secs(20));
    let judgement = judge(&harness, &runtime.runs(), proof.seconds);
    judgement
        .violations
        .iter()
        .take(20)
        .for_each(|violation| eprintln!("{violation}"));
    let counts = harness
        .counts
        .lock()
        .map(|counts| counts.clone())
        .unwrap_or_default();
    let lost = counts.get("lost").copied().unwrap_or(0);
    let sent = harness.requests.lock().map_or(0, |requests| requests.len());
    // A proof in which few requests were sent or served shows nothing.
    let served = judgement.counts.get("answered 200 ").copied().unwrap_or(0);
    let is_conclusive = served > sent as u64 / 5 && sent as u64 > proof.seconds * 50;
    let rotations = harness
        .issuer_state
        .lock()
        .map_or(0, |issuer_state| issuer_state.keys.len() - 1);
    let durations = harness
        .durations
        .lock()
        .map(|durations| quantiles(&durations))
        .unwrap_or_default();
    Ok(json!({
        "held": judgement.violations.is_empty() && lost == 0 && has_exited && is_conclusive,
        "sent": sent, "finished": served, "lost": lost, "wrong": judgement.violations.len(),
        "unreachable": counts.get("unreachable"), "rotations": rotations, "issuer_asked": harness.issuer.request_counts(),
        "milliseconds": durations, "counts": judgement.counts, "last_daemon": counters,
    }))
}
