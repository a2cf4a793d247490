//! Work in hand survives its backend: many processes under load, some of which are killed, stand still or are cut off
//! while they hold, run and finish tasks, keepers among them. Bids carry a key, have their effect at one records service
//! that counts, and are repeated unmarked at other backends. Held if no key had its effect twice, no two answers under a
//! key differ, no bid whose try ran was said never to have run, every caller heard a final answer, no work ran a second time
//! while its first owner was well, and no owner that was cut off made a call that a taker's had overtaken.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use super::keyed_load::{Load, Seen, LANES};
use super::{histogram, quantiles, ProofConfig};
use crate::daemon_fleet::{self, DaemonFleet, LEASE_MS, RETRY_WINDOW_MS};
use crate::relays::LinkConditions;
use crate::services::IdempotentRecords;
use crate::unix_ms;

/// What happens to a process counts against what it ran from so long before on, and up to so long after: a run of the
/// longest kind, and the time to a new lease.
const BEFORE: Duration = Duration::from_millis(7000);
const AFTER: Duration = Duration::from_millis(6000);

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    KillOwner,
    StopOwner,
    CutOwner,
    TwoDeaths,
    KillKeeper,
    CutKeeper,
    SlowPeers,
    Third,
    Leave,
    EmptyKeeper,
    MostKeepers,
    /// Everybody is killed and started anew at once.
    Everybody,
    /// A keeper's folder is lost.
    LostKeeper,
}

const ALL: [Fault; 11] = [
    Fault::KillOwner,
    Fault::StopOwner,
    Fault::CutOwner,
    Fault::KillKeeper,
    Fault::TwoDeaths,
    Fault::CutKeeper,
    Fault::SlowPeers,
    Fault::Third,
    Fault::Leave,
    Fault::EmptyKeeper,
    Fault::MostKeepers,
];

/// Where keepers have disks nobody comes back empty whose disk was not lost.
const LASTING: [Fault; 12] = [
    Fault::KillOwner,
    Fault::Everybody,
    Fault::CutOwner,
    Fault::KillKeeper,
    Fault::MostKeepers,
    Fault::TwoDeaths,
    Fault::Everybody,
    Fault::LostKeeper,
    Fault::Third,
    Fault::Everybody,
    Fault::Leave,
    Fault::Everybody,
];

/// What is proven.
pub struct Config {
    /// Seed and failpoint.
    pub proof: ProofConfig,
    /// How many processes.
    pub members: usize,
    /// How many of them keep.
    pub ownership_replicas: usize,
    /// Tasks a second in all.
    pub rate: f64,
    /// How often all kinds of faults come.
    pub rounds: u32,
    /// Each process has a folder on disk.
    pub has_journal: bool,
}

struct Play {
    fleet: DaemonFleet,
    random: Pcg64Mcg,
    keepers: usize,
    /// What happened to which process, from when to when.
    hurt: Vec<(usize, Instant, Instant)>,
    /// Times of deaths.
    deaths: Vec<f64>,
    /// What went on, from when to when, in Unix milliseconds.
    phases: Vec<(String, f64, f64)>,
    taken: u64,
    lasts: bool,
}

fn wait(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

impl Play {
    /// Some processes that keep nothing, or those that do.
    fn some(&mut self, keeps: bool, many: usize) -> Vec<usize> {
        let mut all: Vec<usize> = if keeps {
            (0..self.keepers).collect()
        } else {
            (self.keepers..self.fleet.len()).collect()
        };
        for n in (1..all.len()).rev() {
            all.swap(n, (self.random.next_u64() % (n as u64 + 1)) as usize);
        }
        all.truncate(many);
        all
    }

    /// Whether a keeper leads, by what it said last.
    fn leads(&self, n: usize) -> bool {
        let log = self.fleet.log(n);
        log.iter()
            .rev()
            .find(|line| line.contains("this replica leads"))
            .is_some_and(|line| !line.contains("no more"))
    }

    fn hurts(&mut self, who: &[usize], from: Instant) {
        let now = Instant::now();
        self.hurt.extend(who.iter().map(|&n| (n, from, now)));
    }

    /// What it counted is lost with it.
    fn kill(&mut self, who: &[usize]) {
        self.taken += who
            .iter()
            .map(|&n| self.fleet.counter(n, "tasks_taken_over"))
            .sum::<u64>();
        who.iter().for_each(|&n| self.fleet.kill(n));
        self.deaths.push(unix_ms());
    }

    fn start(&mut self, who: &[usize]) -> Result<(), String> {
        who.iter().try_for_each(|&n| self.fleet.start(n))
    }

    fn set_blocked(&self, who: &[usize], blocked: bool) {
        for &n in who {
            for other in 0..self.fleet.len() {
                if other != n {
                    self.fleet.relays.set_conditions(
                        n,
                        other,
                        LinkConditions {
                            blocked,
                            ..LinkConditions::default()
                        },
                    );
                    self.fleet.relays.set_conditions(
                        other,
                        n,
                        LinkConditions {
                            blocked,
                            ..LinkConditions::default()
                        },
                    );
                }
            }
        }
    }

    fn fault(&mut self, fault: Fault) -> Result<(), String> {
        let from = Instant::now();
        let mut who = Vec::new();
        match fault {
            Fault::KillOwner => {
                who = self.some(false, 1);
                self.kill(&who);
                wait(3 * LEASE_MS);
                self.start(&who)?;
            }
            Fault::StopOwner => {
                who = self.some(false, 1);
                self.fleet.set_paused(who[0], true);
                wait(3 * LEASE_MS);
                self.fleet.set_paused(who[0], false);
            }
            Fault::CutOwner => {
                who = self.some(false, 1);
                self.set_blocked(&who, true);
                wait(5 * LEASE_MS);
                self.fleet.relays.clear_conditions();
            }
            Fault::KillKeeper => {
                who = self.some(true, 1);
                self.kill(&who);
                wait(2 * LEASE_MS);
                self.start(&who)?;
                // It learns, and takes the place of the one that it was.
                wait(8 * LEASE_MS);
            }
            Fault::TwoDeaths => {
                who = self.some(false, 2);
                self.kill(&who[..1]);
                // When the first one's work has just been taken over.
                wait(2 * LEASE_MS);
                self.kill(&who[1..]);
                wait(3 * LEASE_MS);
                self.start(&who)?;
            }
            Fault::CutKeeper => {
                who = self.some(true, 1);
                self.set_blocked(&who, true);
                wait(4 * LEASE_MS);
                self.fleet.relays.clear_conditions();
                wait(2 * LEASE_MS);
            }
            Fault::SlowPeers => {
                let slow = self.some(false, 2);
                for &n in &slow {
                    for other in 0..self.fleet.len() {
                        let way = LinkConditions {
                            delay_ms: 40.0,
                            jitter_ms: 60.0,
                            ..LinkConditions::default()
                        };
                        self.fleet.relays.set_conditions(n, other, way);
                        self.fleet.relays.set_conditions(other, n, way);
                    }
                }
                wait(4 * LEASE_MS);
                self.fleet.relays.clear_conditions();
            }
            Fault::Third => {
                who = self.some(false, self.fleet.len() / 3);
                self.kill(&who);
                wait(4 * LEASE_MS);
                self.start(&who)?;
            }
            Fault::Leave => {
                who = self.some(false, 1);
                self.taken += self.fleet.counter(who[0], "tasks_taken_over");
                self.fleet.shut_down(who[0]);
                self.start(&who)?;
            }
            Fault::EmptyKeeper => {
                // One keeper is out of touch; of the two that agree meanwhile, one comes back empty, and the other goes.
                // The one that leads goes last, so that all three seconds are agreed on without the first.
                let mut keepers = self.some(true, 3);
                keepers.sort_by_key(|&n| self.leads(n));
                self.set_blocked(&keepers[..1], true);
                wait(3 * LEASE_MS);
                self.kill(&keepers[1..2]);
                self.start(&keepers[1..2])?;
                wait(500);
                self.kill(&keepers[2..3]);
                self.fleet.relays.clear_conditions();
                wait(4 * LEASE_MS);
                self.start(&keepers[2..3])?;
                who = (0..self.fleet.len()).collect();
                wait(RETRY_WINDOW_MS + 10 * LEASE_MS);
            }
            Fault::MostKeepers => {
                let most = self.some(true, self.keepers / 2 + 1);
                self.kill(&most);
                wait(LEASE_MS);
                self.start(&most)?;
                // Without keepers nobody's lease goes on.
                who = (0..self.fleet.len()).collect();
                // What keepers have on disk they know; without it nothing is claimed for a window.
                wait(if self.lasts {
                    4 * LEASE_MS
                } else {
                    RETRY_WINDOW_MS + 10 * LEASE_MS
                });
            }
            Fault::Everybody => {
                who = (0..self.fleet.len()).collect();
                self.kill(&who);
                self.start(&who)?;
                wait(4 * LEASE_MS);
            }
            Fault::LostKeeper => {
                who = self.some(true, 1);
                self.kill(&who);
                std::fs::remove_dir_all(self.fleet.journal_directory(who[0]))
                    .map_err(|e| e.to_string())?;
                wait(2 * LEASE_MS);
                self.start(&who)?;
                // It learns, and takes the place of the one that it was.
                wait(8 * LEASE_MS);
                who = (0..self.fleet.len()).collect();
            }
        }
        if matches!(fault, Fault::KillKeeper | Fault::CutKeeper) {
            // Until another leads, leases may lapse.
            who = (0..self.fleet.len()).collect();
        }
        self.hurts(&who, from);
        Ok(())
    }
}

/// A day, in milliseconds: lines of a log tell the time of theirs.
const DAY: f64 = 86_400_000.0;

/// When a process said that its lease had lapsed, or its epoch was over, by the time of the day.
fn lapses(log: &[String]) -> Vec<f64> {
    let said =
        |line: &&String| line.contains("the lease lapsed") || line.contains("may be another's");
    let time = |line: &String| {
        let mut parts = line
            .split_whitespace()
            .nth(2)?
            .splitn(3, ':')
            .map(str::parse::<f64>);
        let (hours, minutes, seconds) = (
            parts.next()?.ok()?,
            parts.next()?.ok()?,
            parts.next()?.ok()?,
        );
        Some(((hours * 60.0 + minutes) * 60.0 + seconds) * 1e3)
    };
    log.iter().filter(said).filter_map(time).collect()
}

/// Judges everything that happened: what was wrong, and figures.
fn judge(
    play: &Play,
    seen: &Seen,
    keyed: &IdempotentRecords,
    cuts: &[(usize, Instant, Instant)],
) -> (Vec<String>, Value) {
    let mut wrong = Vec::new();
    // By key: what was started, where and when; by try: how often.
    let mut by_key: HashMap<String, Vec<(Instant, usize)>> = HashMap::new();
    let mut by_id: HashMap<String, (u32, usize, bool)> = HashMap::new();
    for n in 0..play.fleet.len() {
        for start in play.fleet.runtime(n).starts() {
            by_id
                .entry(start.id)
                .or_insert((0, n, !start.body.is_empty()))
                .0 += 1;
            if !start.body.is_empty() {
                let key = String::from_utf8_lossy(&start.body).into_owned();
                by_key.entry(key).or_default().push((start.received_at, n));
            }
        }
    }
    let effects = keyed.effects();
    for (key, effect) in &effects {
        if effect.executions > 1 {
            wrong.push(format!(
                "{} had its effect {} times",
                String::from_utf8_lossy(key),
                effect.executions
            ));
        }
    }
    let lapses: Vec<Vec<f64>> = (0..play.fleet.len())
        .map(|n| lapses(&play.fleet.log(n)))
        .collect();
    let (now, unix) = (Instant::now(), unix_ms());
    let of_day = |at: Instant| (unix - now.duration_since(at).as_secs_f64() * 1e3) % DAY;
    let mut again = 0;
    for (key, starts) in &mut by_key {
        starts.sort_unstable();
        for two in starts.windows(2) {
            again += 1;
            let (at, n) = two[0];
            let hurt = play
                .hurt
                .iter()
                .any(|&(who, from, to)| who == n && at + BEFORE >= from && two[1].0 <= to + AFTER);
            // On a busy machine a lease may lapse by itself; the process says so.
            let lapsed = lapses[n]
                .iter()
                .any(|ms| (of_day(at) - 1e3..of_day(two[1].0) + 6e3).contains(ms));
            if !hurt && !lapsed {
                wrong.push(format!(
                    "{key} ran again though {} was well",
                    daemon_fleet::member_name(n)
                ));
            }
        }
    }
    let mut results: HashMap<&str, &[u8]> = HashMap::new();
    let (mut counts, mut unanswered) = (BTreeMap::<String, u64>::new(), 0);
    let (mut times, mut worst) = (histogram(), histogram());
    for bid in &seen.bids {
        let kind = if bid.key.is_some() { "bid" } else { "page" };
        let Some(last) = &bid.last else {
            unanswered += 1;
            wrong.push(format!(
                "a {kind} of {:.0} heard no final answer in {} tries",
                bid.began, bid.tries
            ));
            continue;
        };
        *counts.entry(format!("{kind} {last}")).or_default() += 1;
        let _ = times.record(((bid.took * 1e3) as u64).max(1));
        let Some(key) = &bid.key else { continue };
        if last == "200" {
            if *results.entry(key).or_insert(&bid.body) != bid.body {
                wrong.push(format!("two results under {key}"));
            }
            if effects
                .get(key.as_bytes())
                .is_none_or(|effect| effect.executions != 1)
            {
                wrong.push(format!("{key} was finished without its effect"));
            }
        }
        if play
            .deaths
            .iter()
            .any(|at| bid.began < *at && bid.began + bid.took > *at)
        {
            let _ = worst.record(((bid.took * 1e3) as u64).max(1));
        }
    }
    let mut phases = Vec::new();
    for (what, from, to) in &play.phases {
        let mut ends = BTreeMap::<&str, u64>::new();
        let mut times = histogram();
        for bid in seen
            .bids
            .iter()
            .filter(|bid| bid.key.is_some() && bid.began >= *from && bid.began < *to)
        {
            *ends
                .entry(bid.last.as_deref().unwrap_or("none"))
                .or_default() += 1;
            let _ = times.record(((bid.took * 1e3) as u64).max(1));
        }
        let at = |quantile| times.value_at_quantile(quantile) / 1000;
        phases.push(json!({"fault": what, "bids": ends, "p50": at(0.5), "p99": at(0.99)}));
    }
    let mut pages = 0;
    for told in &seen.never {
        let id = &told.id;
        match by_id.get(id) {
            Some((_, _, true)) => wrong.push(format!("{id} ran, and was told that it never did")),
            // The module rejects a restartable task that it gives up on while it runs; it may run again at any time.
            Some((_, _, false)) => pages += 1,
            None => {}
        }
    }
    // Of owners that were cut off, and did nothing but that.
    let older = keyed.stale_fence_rejections();
    let overtaken = older.iter().filter(|(at, id)| {
        let n = by_id.get(id).map(|(_, n, _)| *n);
        cuts.iter()
            .any(|&(who, from, to)| Some(who) == n && *at >= from && *at <= to)
    });
    let overtaken = overtaken.count();
    if overtaken > 0 {
        wrong.push(format!(
            "{overtaken} calls of an owner that was cut off came after a taker's"
        ));
    }
    let figures = json!({"answers": counts, "unanswered": unanswered, "ran_again": again, "keys": by_key.len(),
        "refused_older": keyed.stale_fence_rejections().len(), "pages_rejected_running": pages, "phases": phases, "milliseconds": quantiles(&times),
        "open_at_a_death_ms": quantiles(&worst)});
    (wrong, figures)
}

/// Which faults come, in this order, so that a planted one is found in less than the whole time.
fn faults(failpoint: Option<&str>, rounds: u32, lasts: bool) -> Vec<Fault> {
    match failpoint {
        Some("lease" | "outcome") => vec![Fault::CutOwner; 4],
        Some("unfenced") => vec![Fault::Third, Fault::Third, Fault::CutOwner],
        Some("empty") => vec![Fault::EmptyKeeper],
        Some("lock") => vec![Fault::SlowPeers],
        _ if lasts => (0..rounds).flat_map(|_| LASTING).collect(),
        _ => (0..rounds).flat_map(|_| ALL).collect(),
    }
}

/// Runs the proof. How long it takes follows from the faults.
pub fn prove(config: &Config) -> Result<Value, String> {
    let proof = &config.proof;
    let keyed = IdempotentRecords::default();
    let records = keyed.serve(20).map_err(|e| e.to_string())?;
    let fleet_config = daemon_fleet::FleetConfig::for_proof(proof, config.members, records)?;
    let fleet = DaemonFleet::new(&daemon_fleet::FleetConfig {
        interval_ms: 200.0,
        ownership_replicas: config.ownership_replicas,
        has_journal: config.has_journal,
        ..fleet_config
    })?;
    let (random, keepers) = (
        Pcg64Mcg::seed_from_u64(proof.seed),
        config.ownership_replicas,
    );
    let mut play = Play {
        fleet,
        random,
        keepers,
        hurt: Vec::new(),
        deaths: Vec::new(),
        phases: Vec::new(),
        taken: 0,
        lasts: config.has_journal,
    };
    for n in 0..config.members {
        play.fleet.start(n)?;
    }
    for n in 0..config.members {
        play.fleet.wait_until_listening(n)?;
    }
    // A group is formed, and the window of one that may have been before has passed.
    wait(RETRY_WINDOW_MS + 4 * LEASE_MS);
    let places = (0..config.members).map(|n| play.fleet.address(n)).collect();
    let load = Arc::new(Load::new(places, (config.rate, LANES), false));
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| {
            let (load, seed) = (load.clone(), proof.seed);
            thread::spawn(move || load.lane(seed, lane))
        })
        .collect();
    let began = Instant::now();
    wait(3000);
    play.phases
        .push(("none".to_owned(), unix_ms() - 3000.0, unix_ms()));
    let mut cuts = Vec::new();
    for fault in faults(
        proof.failpoint.as_deref(),
        config.rounds,
        config.has_journal,
    ) {
        let (from, since) = (Instant::now(), unix_ms());
        eprintln!("{:.1} s: {fault:?}", began.elapsed().as_secs_f64());
        play.fault(fault)?;
        if fault == Fault::CutOwner {
            cuts.extend(
                play.hurt
                    .last()
                    .map(|&(n, ..)| (n, from, Instant::now() + AFTER)),
            );
        }
        wait(3 * LEASE_MS);
        play.phases.push((format!("{fault:?}"), since, unix_ms()));
    }
    load.stop.store(true, Ordering::Relaxed);
    lanes.into_iter().for_each(|lane| drop(lane.join()));
    let ended = play.fleet.exited();
    for &n in &ended {
        eprintln!(
            "{} ended by itself:\n{}",
            daemon_fleet::member_name(n),
            play.fleet.log(n).join("\n")
        );
    }
    if proof.failpoint.is_some() {
        // What keepers said, for a look at why a fault was found, or not.
        for n in 0..config.ownership_replicas {
            let said = play.fleet.log(n);
            said.iter()
                .filter(|line| line.contains("takeover: "))
                .for_each(|line| eprintln!("{}: {line}", daemon_fleet::member_name(n)));
        }
    }
    let live = play.fleet.running();
    play.taken += live
        .iter()
        .map(|&n| play.fleet.counter(n, "tasks_taken_over"))
        .sum::<u64>();
    let seen = load.seen();
    let (mut wrong, mut figures) = judge(&play, &seen, &keyed, &cuts);
    if !ended.is_empty() {
        wrong.push(format!("ended by themselves: {ended:?}"));
    }
    if seen
        .bids
        .iter()
        .filter(|bid| bid.key.is_some() && bid.last.as_deref() == Some("200"))
        .count()
        < 50
    {
        wrong.push("hardly a bid was finished: nothing is shown".to_owned());
    }
    for what in wrong.iter().take(20) {
        eprintln!("{what}");
    }
    figures["held"] = json!(wrong.is_empty());
    figures["wrong"] = json!(wrong.len());
    figures["taken_over"] = json!(play.taken);
    (figures["members"], figures["keepers"]) =
        (json!(config.members), json!(config.ownership_replicas));
    figures["seconds"] = json!(began.elapsed().as_secs());
    Ok(figures)
}
