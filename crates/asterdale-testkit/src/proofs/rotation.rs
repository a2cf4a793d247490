//! Keys rotate and are revoked while tasks with tokens of every kind come over several edge nodes; the issuer is
//! slow, down, rolled back, forged and speaks rubbish; the daemon is told to read its file again and replaced.
//! Held if nobody was let in who must not be, nobody turned away who must be let in, nothing was lost, nothing
//! ran twice, and no tenant saw another's result.

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

/// Edge nodes, and connections of each.
const EDGES: u32 = 4;
const LANES: u32 = 8;
/// Tasks a second, in all.
const RATE: f64 = 200.0;
/// From one rotation to the next, in milliseconds; a minute in the long run.
fn period(seconds: u64) -> f64 {
    if seconds > 300 {
        60_000.0
    } else {
        3_000.0
    }
}
/// How far the daemon takes clocks to be apart, in milliseconds.
const SKEW: f64 = 200.0;
/// Within so much of a boundary either verdict is right: a busy machine may judge that late.
const GREY: f64 = 1_200.0;
/// The issuer is asked this often, in milliseconds.
const EVERY: f64 = 200.0;
/// A set serves for so long, in milliseconds: it may miss a round, and then a part of the next.
fn most_age(period: f64) -> f64 {
    period * 8.0 / 3.0
}
/// The role with a small quota: a second, and at once.
const FEW: f64 = 5.0;

/// A key, as the issuer's side knows it.
#[derive(Clone)]
struct Key {
    id: String,
    seed: [u8; 32],
    from: f64,
    until: f64,
}

/// One set, as it was published: what the oracle judges by.
#[derive(Clone)]
struct View {
    seq: u64,
    issued: f64,
    keys: Vec<Key>,
    revoked_keys: Vec<String>,
    revoked_tokens: Vec<String>,
    revoked_subjects: Vec<String>,
}

/// A token, as whoever made it knows it.
#[derive(Clone)]
struct Made {
    text: Option<String>,
    /// It is what it says: of the right form, and signed by the key that it names.
    sound: bool,
    key: String,
    jti: String,
    subject: String,
    tenant: String,
    role: &'static str,
    from: f64,
    until: f64,
}

/// A task that was asked for, and how that ended.
struct Asked {
    kind: &'static str,
    made: Made,
    stage: &'static str,
    id: String,
    /// In a stage with keys: the key, within the daemon's life.
    mark: Option<String>,
    sent: f64,
    answered: f64,
    status: String,
    verdict: String,
    body: Vec<u8>,
}

/// What the issuer's side has done so far.
#[derive(Default)]
struct Issued {
    views: Vec<View>,
    keys: Vec<Key>,
    /// Tokens that were good, to be sent again and again, whatever becomes of them.
    kept: Vec<Made>,
    revoked_tokens: Vec<String>,
    revoked_subjects: Vec<String>,
    revoked_keys: Vec<String>,
    /// Fingerprinted tasks that were finished: who asked, the key, the body's result.
    finished: Vec<(String, String, String)>,
    /// The daemon's lives so far: odd while it is being replaced, when either of the two may answer.
    life: u32,
}

/// When the daemon was not itself: from the notice to leave until the next one had the last set for sure.
#[derive(Default)]
struct Gaps(Vec<(f64, f64)>);

struct Play {
    issued: Mutex<Issued>,
    issuer: Issuer,
    root: [u8; 32],
    all: Mutex<Vec<Asked>>,
    counts: Mutex<BTreeMap<&'static str, u64>>,
    times: Mutex<hdrhistogram::Histogram<u64>>,
    gaps: Mutex<Gaps>,
    end: Instant,
}

fn chance(random: &mut Pcg64Mcg, of: u32) -> u32 {
    random.next_u32() % of.max(1)
}

fn bytes(random: &mut Pcg64Mcg) -> [u8; 32] {
    let mut bytes = [0; 32];
    random.fill_bytes(&mut bytes);
    bytes
}

impl Issued {
    /// The key that signs at this time.
    fn active(&self, now: f64) -> Option<&Key> {
        let good = |key: &&Key| key.from <= now && !self.revoked_keys.contains(&key.id);
        self.keys
            .iter()
            .filter(good)
            .max_by(|a, b| a.from.total_cmp(&b.from))
    }

    fn publish(&mut self, play_root: &[u8; 32], issuer: &Issuer, now: f64) {
        let seq = self.views.len() as u64 + 1;
        // The last few: a set has a bound.
        let keys: Vec<Key> = self.keys.iter().rev().take(6).rev().cloned().collect();
        let view = View {
            seq,
            issued: now,
            keys,
            revoked_keys: self.revoked_keys.clone(),
            revoked_tokens: self.revoked_tokens.clone(),
            revoked_subjects: self.revoked_subjects.clone(),
        };
        issuer.publish(
            seq,
            SecretKey::from_seed(*play_root, "root").sign_key_set(&published(&view)),
        );
        self.views.push(view);
    }
}

fn published(view: &View) -> KeySet {
    let key = |key: &Key| PublicJwk {
        kty: "OKP".to_owned(),
        crv: "Ed25519".to_owned(),
        kid: key.id.clone(),
        public_key: SecretKey::from_seed(key.seed, &key.id).public_key_text(),
        from_ms: key.from,
        until_ms: key.until.is_finite().then_some(key.until),
    };
    let set = |names: &[String]| names.iter().cloned().collect();
    KeySet {
        seq: view.seq,
        issued_ms: view.issued,
        keys: view.keys.iter().map(key).collect(),
        revoked: Revocations {
            tokens: set(&view.revoked_tokens),
            subjects: set(&view.revoked_subjects),
            keys: set(&view.revoked_keys),
            tenants: Default::default(),
        },
    }
}

/// The claims of a token, by hand: the oracle's side shares no types with the daemon's.
fn claims(made: &Made) -> Value {
    json!({"iss": "stand-in", "aud": "asterdale", "sub": made.subject, "tenant": made.tenant,
        "roles": [made.role], "exp": made.until / 1e3, "nbf": made.from / 1e3, "jti": made.jti})
}

fn head(key: &str) -> Value {
    json!({"alg": "EdDSA", "kid": key, "typ": "JWT"})
}

impl Play {
    /// The daemon is being replaced, or has been: it knows nothing of the keys from before.
    fn next_life(&self) {
        if let Ok(mut issued) = self.issued.lock() {
            issued.life += 1;
            issued.finished.clear();
        }
    }

    fn count(&self, what: &'static str) {
        if let Ok(mut counts) = self.counts.lock() {
            *counts.entry(what).or_default() += 1;
        }
    }

    /// A token of a kind that chance picks; its name, and the stage that it is used for.
    fn token(&self, random: &mut Pcg64Mcg, now: f64) -> Option<(&'static str, Made, &'static str)> {
        let mut issued = self.issued.lock().ok()?;
        let active = issued.active(now)?.clone();
        let tenant = ["north", "south"][chance(random, 2) as usize];
        let mut made = Made {
            text: None,
            sound: true,
            key: active.id.clone(),
            jti: format!("{:016x}", random.next_u64()),
            subject: format!("s{}", chance(random, 40)),
            tenant: tenant.to_owned(),
            role: "phone",
            from: now - 10_000.0,
            until: now + 60_000.0,
        };
        let by = |key: &Key| SecretKey::from_seed(key.seed, &key.id);
        let mut signer = by(&active);
        let mut stage = ["page", "bid"][chance(random, 2) as usize];
        let kind = match chance(random, 100) {
            0..30 => "good",
            30..38 => {
                // Whatever it was made for then, it is judged by what holds now.
                let kept = issued.kept.len() as u32;
                let made = issued.kept.get(chance(random, kept) as usize)?.clone();
                return Some(("kept", made, stage));
            }
            38..50 => {
                // An endless retry of what has been revoked.
                let revoked = |made: &&Made| {
                    issued.revoked_tokens.contains(&made.jti)
                        || issued
                            .revoked_subjects
                            .contains(&format!("{}/{}", made.tenant, made.subject))
                };
                let all: Vec<&Made> = issued.kept.iter().filter(revoked).collect();
                let made = all.get(chance(random, all.len() as u32) as usize)?;
                return Some(("revoked", (*made).clone(), stage));
            }
            50..60 => {
                // Of any key that ever was: outgoing, retired, revoked ones among them.
                let key = issued
                    .keys
                    .get(chance(random, issued.keys.len() as u32) as usize)?;
                (made.key, signer) = (key.id.clone(), by(key));
                "older key"
            }
            60..66 => {
                let last = issued
                    .keys
                    .iter()
                    .filter(|key| key.until.is_finite())
                    .max_by(|a, b| a.until.total_cmp(&b.until));
                let key = last?;
                (made.key, signer) = (key.id.clone(), by(key));
                "outgoing"
            }
            66..72 => {
                (signer, made.sound) = (SecretKey::from_seed(bytes(random), &made.key), false);
                "forged"
            }
            72..75 => {
                made.until = now - 100.0 - f64::from(chance(random, 20_000));
                "expired"
            }
            75..78 => {
                made.from = now + 100.0 + f64::from(chance(random, 20_000));
                "early"
            }
            78..81 => {
                made.tenant = "nowhere".to_owned();
                "unknown tenant"
            }
            81..85 => {
                (made.role, stage) = ("clerk", "bid");
                "beyond rights"
            }
            85..90 => {
                (made.role, stage, made.tenant) = ("few", "page", "north".to_owned());
                "over quota"
            }
            90..94 => {
                made.sound = false;
                let head = [
                    json!({"alg": "none", "kid": made.key}),
                    json!({"alg": "HS256", "kid": made.key}),
                    json!({"alg": "EdDSA", "kid": made.key, "crit": ["exp"]}),
                    json!({"alg": "EdDSA", "kid": made.key, "jwk": {"kty": "OKP", "crv": "Ed25519"}}),
                ];
                let head = &head[chance(random, 4) as usize];
                made.text = Some(sign_jws(&signer, head, &claims(&made)));
                return Some(("bad head", made, stage));
            }
            94..97 => {
                made.sound = false;
                let junk: Vec<u8> = (0..chance(random, 200))
                    .map(|_| random.next_u32() as u8)
                    .collect();
                made.text = Some(URL_SAFE_NO_PAD.encode(junk));
                return Some(("rubbish", made, stage));
            }
            _ => {
                made.sound = false;
                return Some(("none", made, stage));
            }
        };
        made.text = Some(sign_jws(&signer, &head(&made.key), &claims(&made)));
        if kind == "good" && issued.kept.len() < 2000 {
            issued.kept.push(made.clone());
        }
        Some((kind, made, stage))
    }

    /// One lane of an edge node: task after task, at its share of the rate.
    fn lane(&self, at: std::net::SocketAddr, edge: u32, seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut caller = EdgeClient::new(at);
        let every = Duration::from_secs_f64(f64::from(EDGES * LANES) / RATE);
        let mut next =
            Instant::now() + every.mul_f64(f64::from(chance(&mut random, 1000)) / 1000.0);
        let number = edge.to_string();
        while next < self.end {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += every;
            let Some((kind, made, stage)) = self.token(&mut random, unix_ms()) else {
                continue;
            };
            // A fifth of the bids repeat a finished one: of their own tenant, or, to no avail, of the other.
            let (life, known) = {
                let Ok(issued) = self.issued.lock() else {
                    return;
                };
                let some = issued.finished.len() as u32;
                let known = (stage == "bid" && chance(&mut random, 5) == 0).then(|| {
                    issued
                        .finished
                        .get(chance(&mut random, some) as usize)
                        .cloned()
                });
                (issued.life, known.flatten())
            };
            let id = format!("{:016x}", random.next_u64());
            let mark = (stage == "bid").then(|| match &known {
                Some((_, mark, _)) => mark.clone(),
                None => format!("{life}-{:016x}", random.next_u64()),
            });
            let sent = unix_ms();
            let (start, token) = (
                (sent as u64).to_string(),
                made.text.clone().unwrap_or_default(),
            );
            let bearer = if made.text.is_some() {
                format!("Bearer {token}")
            } else {
                String::new()
            };
            let fields = [
                ("HTTP_X_REQUEST_ID", id.as_str()),
                ("HTTP_X_REQUEST_START", &start),
                ("HTTP_X_CALLER", &number),
                ("HTTP_X_TIMEOUT_MS", "10000"),
                ("HTTP_X_COST_MS", "4"),
                ("HTTP_X_MEMORY_KB", "8"),
                ("HTTP_IDEMPOTENCY_KEY", mark.as_deref().unwrap_or_default()),
                ("HTTP_AUTHORIZATION", &bearer),
            ];
            let body = mark.clone().unwrap_or_else(|| "page".to_owned());
            let began = Instant::now();
            match caller.request(&format!("/v1/{stage}"), &fields, body.as_bytes()) {
                RequestOutcome::Refused => self.count("unreachable"),
                RequestOutcome::Lost => {
                    self.count("lost");
                    eprintln!("lost: {kind} {stage} {id}, sent {sent:.0}");
                }
                RequestOutcome::Answered(answer) => {
                    if let Ok(mut times) = self.times.lock() {
                        let _ = times.record((began.elapsed().as_micros() as u64).max(1));
                    }
                    let status = answer.status().to_owned();
                    if let (Some(mark), "200", true) = (&mark, status.as_str(), known.is_none()) {
                        if let Ok(mut issued) = self.issued.lock() {
                            if issued.life == life && life % 2 == 0 && issued.finished.len() < 5000
                            {
                                let text = String::from_utf8_lossy(&answer.body).into_owned();
                                issued
                                    .finished
                                    .push((made.tenant.clone(), mark.clone(), text));
                            }
                        }
                    }
                    let verdict = answer
                        .head
                        .lines()
                        .find_map(|line| line.strip_prefix("X-Denied: "));
                    let asked = Asked {
                        kind,
                        made,
                        stage,
                        id,
                        mark,
                        sent,
                        answered: unix_ms(),
                        verdict: verdict.unwrap_or_default().to_owned(),
                        status,
                        body: answer.body,
                    };
                    if let Ok(mut all) = self.all.lock() {
                        all.push(asked);
                    }
                }
            }
        }
    }

    /// The issuer's side: rotates, revokes, and has its moods.
    fn issue(&self, seed: u64, period: f64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut round = 0u32;
        let key = |n: u32, random: &mut Pcg64Mcg, from: f64| Key {
            id: format!("key-{n}"),
            seed: bytes(random),
            from,
            until: f64::INFINITY,
        };
        let moods = [
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
                let Ok(mut issued) = self.issued.lock() else {
                    return;
                };
                // The next key is announced two thirds of a period ahead; from its time on the last one goes.
                let from = now + period * 2.0 / 3.0;
                let next = key(round, &mut random, from);
                for old in issued.keys.iter_mut().filter(|old| old.until.is_infinite()) {
                    old.until = from + period / 2.0;
                }
                issued.keys.push(next);
                for _ in 0..1 + chance(&mut random, 3) {
                    let kept = issued.kept.len() as u32;
                    if let Some(made) = issued.kept.get(chance(&mut random, kept) as usize).cloned()
                    {
                        eprintln!("{now:.0} token {} is revoked", made.jti);
                        issued.revoked_tokens.push(made.jti);
                    }
                }
                if round % 3 == 0 && issued.revoked_subjects.len() < 12 {
                    let gone = ["north", "south"][chance(&mut random, 2) as usize];
                    let gone = format!("{gone}/s{}", chance(&mut random, 40));
                    eprintln!("{now:.0} subject {gone} is revoked");
                    issued.revoked_subjects.push(gone);
                }
                if round % 5 == 4 && issued.keys.len() > 3 {
                    // The one that went last, while its overlap lasts.
                    let gone = issued.keys[issued.keys.len() - 3].id.clone();
                    eprintln!("{now:.0} key {gone} is revoked");
                    issued.revoked_keys.push(gone);
                }
                issued.publish(&self.root, &self.issuer, now);
                let mut forged = issued.views[0].clone();
                forged.seq = 1_000_000;
                self.issuer.set_forged_key_set(
                    SecretKey::from_seed([66; 32], "root").sign_key_set(&published(&forged)),
                );
            }
            // Every other round the issuer is not itself for a while.
            let mood = moods[chance(&mut random, 5) as usize];
            if round % 2 == 0 {
                thread::sleep(Duration::from_secs_f64(period / 4e3));
                eprintln!("{:.0} the issuer is {mood:?}", unix_ms());
                self.issuer.set_behavior(mood);
            }
            let left = (now + period * 0.75 - unix_ms()).max(0.0);
            thread::sleep(Duration::from_secs_f64(left / 1e3));
            self.issuer.set_behavior(Behavior::Good);
            let left = (now + period - unix_ms()).max(0.0);
            thread::sleep(Duration::from_secs_f64(left / 1e3));
        }
    }
}

/// What an answer may be: let in, turned away for good, or not judged.
#[derive(Clone, Copy, Debug, Default)]
struct May {
    pass: bool,
    deny: bool,
    unable: bool,
}

/// What holds of a task under one set, between two times: `pass` if a fair judge could let it in anywhere in
/// between, `deny` if one could turn it away.
fn judge(asked: &Asked, view: &View, most_age: f64) -> May {
    let (made, from, until) = (&asked.made, asked.sent, asked.answered);
    let role = match made.role {
        "phone" => true,
        "clerk" | "few" => asked.stage == "page",
        _ => false,
    };
    let names = made.sound && role && ["north", "south"].contains(&made.tenant.as_str());
    let subject = format!("{}/{}", made.tenant, made.subject);
    let gone = view.revoked_tokens.contains(&made.jti)
        || view.revoked_subjects.contains(&subject)
        || view.revoked_keys.contains(&made.key);
    let key = view.keys.iter().find(|key| key.id == made.key);
    let Some(key) = key.filter(|_| names && !gone) else {
        return May {
            pass: false,
            deny: true,
            unable: true,
        };
    };
    let begins = key.from.max(made.from);
    let ends = key.until.min(made.until);
    // Loosely and strictly: the clock, the skew and the machine are given the grey.
    let pass = until >= begins - SKEW - GREY && from <= ends + SKEW + GREY;
    let deny = from < begins + GREY || until > ends - GREY;
    let old = until - view.issued > most_age - GREY;
    let too_old = from - view.issued > most_age + GREY;
    May {
        pass: pass && !too_old,
        deny,
        unable: old,
    }
}

/// The sets that the daemon may have had: one at least that was handed out well before, and all since.
fn in_force<'a>(
    asked: &Asked,
    views: &'a [View],
    handed: &[(f64, u64)],
    gaps: &Gaps,
) -> (Vec<&'a View>, bool) {
    // A daemon that has just begun knows only what was handed to it.
    let begun = gaps
        .0
        .iter()
        .filter(|gap| gap.0 <= asked.answered)
        .map(|gap| gap.0)
        .fold(0.0, f64::max);
    let near = gaps
        .0
        .iter()
        .any(|gap| asked.answered >= gap.0 && asked.sent <= gap.1);
    let before = handed
        .iter()
        .filter(|(at, _)| *at >= begun && *at <= asked.sent - GREY)
        .map(|(_, seq)| *seq)
        .max();
    let since = handed
        .iter()
        .filter(|(at, _)| *at <= asked.answered + GREY)
        .map(|(_, seq)| *seq);
    let least = before.unwrap_or(0);
    let all: Vec<u64> = since.filter(|seq| *seq >= least).chain(before).collect();
    (
        views
            .iter()
            .filter(|view| all.contains(&view.seq))
            .collect(),
        before.is_none() || near,
    )
}

struct Verdicts {
    counts: BTreeMap<String, u64>,
    wrong: Vec<String>,
}

impl Verdicts {
    fn wrong(&mut self, what: &str, asked: &Asked) {
        *self.counts.entry(what.to_owned()).or_default() += 1;
        let made = &asked.made;
        self.wrong.push(format!(
            "{what}: {} {} {} of {}/{} key {} sent {:.0} answered {:.0} with {} {:?}",
            asked.kind,
            asked.stage,
            asked.id,
            made.tenant,
            made.subject,
            made.key,
            asked.sent,
            asked.answered,
            asked.status,
            asked.verdict
        ));
    }
}

/// Judges everything that happened.
fn judge_all(play: &Play, runs: &HashMap<String, u32>, seconds: u64) -> Verdicts {
    let mut verdicts = Verdicts {
        counts: BTreeMap::new(),
        wrong: Vec::new(),
    };
    let (Ok(all), Ok(issued), Ok(gaps)) = (play.all.lock(), play.issued.lock(), play.gaps.lock())
    else {
        return verdicts;
    };
    let handed = play.issuer.deliveries();
    let mut few = 0;
    let mut by_mark: HashMap<(&str, &str), Vec<&Asked>> = HashMap::new();
    for asked in all.iter() {
        *verdicts
            .counts
            .entry(format!("sent: {}", asked.kind))
            .or_default() += 1;
        *verdicts
            .counts
            .entry(format!("answered {} {}", asked.status, asked.verdict))
            .or_default() += 1;
        let (sets, none) = in_force(asked, &issued.views, &handed, &gaps);
        let mut may = May {
            unable: none,
            ..May::default()
        };
        for view in sets {
            let one = judge(asked, view, most_age(period(seconds)));
            (may.pass, may.deny) = (may.pass | one.pass, may.deny | one.deny);
            may.unable |= one.unable;
        }
        let ran = runs.contains_key(&asked.id);
        let let_in = asked.status == "200" || ran;
        let told_never = matches!(asked.status.as_str(), "429" | "503");
        if let_in && !may.pass {
            verdicts.wrong("wrong acceptance", asked);
        }
        if matches!(asked.status.as_str(), "401" | "403") && !may.deny {
            verdicts.wrong("wrong refusal", asked);
        }
        if asked.verdict == "unable" && !may.unable && !may.deny {
            verdicts.wrong("wrong refusal, not judged", asked);
        }
        if asked.verdict == "over" && asked.made.role != "few" {
            verdicts.wrong("wrong refusal, no quota", asked);
        }
        if ran && told_never {
            verdicts.wrong("ran, and was told that it never did", asked);
        }
        if asked.status == "400" || asked.status == "none" {
            verdicts.wrong("an answer that makes no sense", asked);
        }
        few += u64::from(asked.made.role == "few" && let_in);
        let text = String::from_utf8_lossy(&asked.body);
        if asked.status == "200" {
            if let Some(mark) = &asked.mark {
                by_mark
                    .entry((&asked.made.tenant, mark))
                    .or_default()
                    .push(asked);
            } else if text != String::from_utf8_lossy(&run_result(&asked.id)) {
                verdicts.wrong("another task's result", asked);
            }
        }
    }
    // Whoever has the same key within a tenant gets the same result; another tenant's is another run.
    let mut owner: HashMap<Vec<u8>, &str> = HashMap::new();
    for ((tenant, _), tries) in &by_mark {
        for asked in tries {
            if asked.body != tries[0].body {
                verdicts.wrong("two results under one key", asked);
            }
            if *owner.entry(asked.body.clone()).or_insert(tenant) != *tenant {
                verdicts.wrong("another tenant's result", asked);
            }
        }
    }
    let twice = runs.values().filter(|runs| **runs > 1).count();
    if twice > 0 {
        verdicts.counts.insert("ran twice".to_owned(), twice as u64);
        verdicts.wrong.push(format!("{twice} tasks ran twice"));
    }
    // Each life of the daemon begins with a full bucket.
    let most = (1 + issued.life / 2) as f64 * FEW + FEW * (seconds as f64 + 2.0);
    verdicts.counts.insert("in the small quota".to_owned(), few);
    if few as f64 > most {
        verdicts
            .wrong
            .push(format!("{few} tasks were let in by a quota for {most}"));
    }
    verdicts
}

fn start_file(
    worker: &SimulatedRuntime,
    issuer: &Issuer,
    root: &[u8; 32],
    most_age: f64,
) -> std::io::Result<Value> {
    let (records, registry) = (services::records()?, services::registry()?);
    let mut start = scripted::start_file_json(
        scripted::unused_address(),
        worker.address,
        records,
        registry,
    );
    start["settings"]["extra"]["cores"] = json!(8);
    // A drain that is short: what comes in it is rejected, and shows little.
    start["stop_ms"] = json!(1000);
    start["settings"]["tenants"] = json!([{"allowancePerS": 1000}, {"allowancePerS": 1000}]);
    start["identity"] = json!({
        "issuer": "stand-in", "audience": "asterdale",
        "roots": [SecretKey::from_seed(*root, "root").public_key_text()],
        "keys": {"fetch": {"at": issuer.address, "path": "/keys", "every_ms": EVERY}},
        "max_age_ms": most_age, "skew_ms": SKEW,
        // Chance has most tokens be new: far more signatures than anybody brings in service.
        "signatures_per_edge": 400, "signatures": 3200,
        "roles": [
            {"name": "phone", "stages": ["page", "bid"]},
            {"name": "clerk", "stages": ["page"]},
            {"name": "few", "stages": ["page"], "per_s": FEW, "burst": FEW}],
        "tenants": [
            {"name": "north", "customer": 0, "roles": ["phone", "clerk", "few"]},
            {"name": "south", "customer": 1, "roles": ["phone", "clerk"]}]});
    Ok(start)
}

/// Runs the proof; its figures, `held` among them.
pub fn prove(proof: &ProofConfig) -> Result<Value, String> {
    let told = |e: std::io::Error| e.to_string();
    let mut random = Pcg64Mcg::seed_from_u64(proof.seed);
    let program = if proof.failpoint.is_some() {
        failpoint_program()?
    } else {
        program()
    };
    let (worker, issuer) = (
        SimulatedRuntime::start(8, (1, 6)).map_err(told)?,
        Issuer::start().map_err(told)?,
    );
    let root = bytes(&mut random);
    let start =
        start_file(&worker, &issuer, &root, most_age(period(proof.seconds))).map_err(told)?;
    let listen = start["listen"]
        .as_str()
        .and_then(|at| at.parse().ok())
        .ok_or("no address")?;
    let recipe = LaunchConfig {
        program,
        start,
        failpoint: proof.failpoint.clone(),
    };
    let now = unix_ms();
    // Something to begin with: a key that signs.
    let mut issued = Issued::default();
    let first = Key {
        id: "key-0".to_owned(),
        seed: bytes(&mut random),
        from: now - 60_000.0,
        until: f64::INFINITY,
    };
    issued.keys.push(first);
    issued.publish(&root, &issuer, now);
    let play = Arc::new(Play {
        issued: Mutex::new(issued),
        issuer,
        root,
        all: Mutex::default(),
        counts: Mutex::default(),
        times: Mutex::new(histogram()),
        gaps: Mutex::default(),
        end: Instant::now() + Duration::from_secs(proof.seconds),
    });
    let mut daemon = Daemon::start(&recipe)?;
    let mut threads = Vec::new();
    let (issuing, seed) = (play.clone(), random.next_u64());
    let rotation = period(proof.seconds);
    threads.push(thread::spawn(move || issuing.issue(seed, rotation)));
    for edge in 0..EDGES {
        for _ in 0..LANES {
            let (play, seed) = (play.clone(), random.next_u64());
            threads.push(thread::spawn(move || play.lane(listen, edge, seed)));
        }
    }
    // The daemon reads its file again now and then, and is replaced a few times.
    let mut next = Instant::now() + Duration::from_secs(2);
    let mut steps = 0u32;
    while Instant::now() < play.end {
        thread::sleep(Duration::from_millis(20));
        if daemon.has_exited() {
            let log = daemon.log().join("\n");
            return Err(format!("the daemon ended by itself:\n{log}"));
        }
        if Instant::now() < next {
            continue;
        }
        steps += 1;
        next += Duration::from_millis(2500);
        if steps % 4 == 0 && next + Duration::from_secs(2) < play.end {
            let gone = unix_ms();
            eprintln!("{gone:.0} the daemon is replaced");
            play.next_life();
            if let Ok(mut gaps) = play.gaps.lock() {
                gaps.0.push((gone, f64::INFINITY));
            }
            if !daemon.shut_down(Duration::from_secs(20)) {
                return Err(format!(
                    "the daemon did not leave well:\n{}",
                    daemon.log().join("\n")
                ));
            }
            daemon = Daemon::start(&recipe)?;
            play.next_life();
            if let Ok(mut gaps) = play.gaps.lock() {
                if let Some(gap) = gaps.0.last_mut() {
                    gap.1 = unix_ms() + GREY;
                }
            }
        } else {
            eprintln!("{:.0} the daemon reads its file again", unix_ms());
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
    let left = daemon.shut_down(Duration::from_secs(20));
    let verdicts = judge_all(&play, &worker.runs(), proof.seconds);
    verdicts
        .wrong
        .iter()
        .take(20)
        .for_each(|wrong| eprintln!("{wrong}"));
    let counts = play
        .counts
        .lock()
        .map(|counts| counts.clone())
        .unwrap_or_default();
    let lost = counts.get("lost").copied().unwrap_or(0);
    let sent = play.all.lock().map_or(0, |all| all.len());
    // A proof in which next to nothing was let in, or nothing turned away, shows nothing.
    let finished = verdicts.counts.get("answered 200 ").copied().unwrap_or(0);
    let spoke = finished > sent as u64 / 5 && sent as u64 > proof.seconds * 50;
    let rotations = play.issued.lock().map_or(0, |issued| issued.keys.len() - 1);
    let times = play
        .times
        .lock()
        .map(|times| quantiles(&times))
        .unwrap_or_default();
    Ok(json!({
        "held": verdicts.wrong.is_empty() && lost == 0 && left && spoke,
        "sent": sent, "finished": finished, "lost": lost, "wrong": verdicts.wrong.len(),
        "unreachable": counts.get("unreachable"), "rotations": rotations, "issuer_asked": play.issuer.request_counts(),
        "milliseconds": times, "counts": verdicts.counts, "last_daemon": counters,
    }))
}
