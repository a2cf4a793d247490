//! Takeover of requests: many processes under load, some of which are killed, paused or isolated while they own, run
//! and answer requests, ownership replicas among them. Keyed requests have their effect at one records service, which
//! counts it, and are repeated at other backends without being marked as retries. The proof holds if no key had its
//! effect twice, no two answers under one key differ, no keyed request was answered as never run although that attempt
//! ran, every client received a final answer, no request ran a second time while its first owner was undisturbed, and
//! no isolated owner made a call that came after a call of the new owner.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use super::keyed_load::{Load, LoadHistory, LOAD_THREADS};
use super::{histogram, quantiles, ProofConfig};
use crate::daemon_fleet::{self, DaemonFleet, LEASE_MS, RETRY_WINDOW_MS};
use crate::relays::LinkConditions;
use crate::services::IdempotentRecords;
use crate::unix_ms;

/// A second run of a key is allowed if the first started at most `LEAD` before a disturbance of its backend (a run of
/// the longest kind) and the second started at most `TAIL` after the disturbance (the time to a new lease).
const LEAD: Duration = Duration::from_millis(7000);
const TAIL: Duration = Duration::from_millis(6000);

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    KillOwner,
    PauseOwner,
    IsolateOwner,
    KillTwoOwners,
    KillReplica,
    IsolateReplica,
    DelayTwo,
    KillThird,
    ShutDownOne,
    RestartReplicaEmpty,
    KillMostReplicas,
    /// All members are killed and restarted at once.
    KillAll,
    /// A replica is killed and its journal directory is deleted.
    LoseReplicaDirectory,
}

const FAULTS_WITHOUT_JOURNAL: [Fault; 11] = [
    Fault::KillOwner,
    Fault::PauseOwner,
    Fault::IsolateOwner,
    Fault::KillReplica,
    Fault::KillTwoOwners,
    Fault::IsolateReplica,
    Fault::DelayTwo,
    Fault::KillThird,
    Fault::ShutDownOne,
    Fault::RestartReplicaEmpty,
    Fault::KillMostReplicas,
];

/// With journals, no replica restarts without state unless its journal directory was lost.
const FAULTS_WITH_JOURNAL: [Fault; 12] = [
    Fault::KillOwner,
    Fault::KillAll,
    Fault::IsolateOwner,
    Fault::KillReplica,
    Fault::KillMostReplicas,
    Fault::KillTwoOwners,
    Fault::KillAll,
    Fault::LoseReplicaDirectory,
    Fault::KillThird,
    Fault::KillAll,
    Fault::ShutDownOne,
    Fault::KillAll,
];

/// The configuration of the proof.
pub struct Config {
    /// Seed and failpoint.
    pub proof: ProofConfig,
    /// Number of members.
    pub members: usize,
    /// Number of ownership replicas among them; these are the first members.
    pub ownership_replicas: usize,
    /// Total rate in requests per second.
    pub rate: f64,
    /// Number of rounds; each round injects all faults.
    pub rounds: u32,
    /// Whether each member has a journal directory.
    pub has_journal: bool,
}

struct Harness {
    fleet: DaemonFleet,
    random: Pcg64Mcg,
    ownership_replicas: usize,
    /// The member, start and end of each disturbance.
    disturbances: Vec<(usize, Instant, Instant)>,
    /// Times of kills in Unix milliseconds.
    kill_times_ms: Vec<f64>,
    /// The fault, start and end of each phase, in Unix milliseconds.
    phases: Vec<(String, f64, f64)>,
    tasks_taken_over: u64,
    has_journal: bool,
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

impl Harness {
    /// Chooses members at random: ownership replicas, or members that are none.
    fn choose_members(&mut self, is_replica: bool, count: usize) -> Vec<usize> {
        let mut chosen: Vec<usize> = if is_replica {
            (0..self.ownership_replicas).collect()
        } else {
            (self.ownership_replicas..self.fleet.len()).collect()
        };
        for n in (1..chosen.len()).rev() {
            chosen.swap(n, (self.random.next_u64() % (n as u64 + 1)) as usize);
        }
        chosen.truncate(count);
        chosen
    }

    /// Whether a replica leads, according to its last log line about that.
    fn is_leader(&self, n: usize) -> bool {
        let log = self.fleet.log(n);
        log.iter()
            .rev()
            .find(|line| line.contains("this replica leads"))
            .is_some_and(|line| !line.contains("no more"))
    }

    fn record_disturbance(&mut self, indices: &[usize], from: Instant) {
        let now = Instant::now();
        self.disturbances
            .extend(indices.iter().map(|&n| (n, from, now)));
    }

    /// Kills these members. Their counters are read first, because they are lost with the process.
    fn kill(&mut self, indices: &[usize]) {
        self.tasks_taken_over += indices
            .iter()
            .map(|&n| self.fleet.counter(n, "tasks_taken_over"))
            .sum::<u64>();
        indices.iter().for_each(|&n| self.fleet.kill(n));
        self.kill_times_ms.push(unix_ms());
    }

    fn start(&mut self, indices: &[usize]) -> Result<(), String> {
        indices.iter().try_for_each(|&n| self.fleet.start(n))
    }

    fn set_blocked(&self, indices: &[usize], blocked: bool) {
        for &n in indices {
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

    fn inject(&mut self, fault: Fault) -> Result<(), String> {
        let from = Instant::now();
        let mut affected = Vec::new();
        match fault {
            Fault::KillOwner => {
                affected = self.choose_members(false, 1);
                self.kill(&affected);
                sleep_ms(3 * LEASE_MS);
                self.start(&affected)?;
            }
            Fault::PauseOwner => {
                affected = self.choose_members(false, 1);
                self.fleet.set_paused(affected[0], true);
                sleep_ms(3 * LEASE_MS);
                self.fleet.set_paused(affected[0], false);
            }
            Fault::IsolateOwner => {
                affected = self.choose_members(false, 1);
                self.set_blocked(&affected, true);
                sleep_ms(5 * LEASE_MS);
                self.fleet.relays.clear_conditions();
            }
            Fault::KillReplica => {
                affected = self.choose_members(true, 1);
                self.kill(&affected);
                sleep_ms(2 * LEASE_MS);
                self.start(&affected)?;
                // The restarted replica catches up, and replaces its previous incarnation in the group.
                sleep_ms(8 * LEASE_MS);
            }
            Fault::KillTwoOwners => {
                affected = self.choose_members(false, 2);
                self.kill(&affected[..1]);
                // The second member is killed when the requests of the first have just been taken over.
                sleep_ms(2 * LEASE_MS);
                self.kill(&affected[1..]);
                sleep_ms(3 * LEASE_MS);
                self.start(&affected)?;
            }
            Fault::IsolateReplica => {
                affected = self.choose_members(true, 1);
                self.set_blocked(&affected, true);
                sleep_ms(4 * LEASE_MS);
                self.fleet.relays.clear_conditions();
                sleep_ms(2 * LEASE_MS);
            }
            Fault::DelayTwo => {
                let delayed = self.choose_members(false, 2);
                for &n in &delayed {
                    for other in 0..self.fleet.len() {
                        let conditions = LinkConditions {
                            delay_ms: 40.0,
                            jitter_ms: 60.0,
                            ..LinkConditions::default()
                        };
                        self.fleet.relays.set_conditions(n, other, conditions);
                        self.fleet.relays.set_conditions(other, n, conditions);
                    }
                }
                sleep_ms(4 * LEASE_MS);
                self.fleet.relays.clear_conditions();
            }
            Fault::KillThird => {
                affected = self.choose_members(false, self.fleet.len() / 3);
                self.kill(&affected);
                sleep_ms(4 * LEASE_MS);
                self.start(&affected)?;
            }
            Fault::ShutDownOne => {
                affected = self.choose_members(false, 1);
                self.tasks_taken_over += self.fleet.counter(affected[0], "tasks_taken_over");
                self.fleet.shut_down(affected[0]);
                self.start(&affected)?;
            }
            Fault::RestartReplicaEmpty => {
                // One replica is isolated. Of the two that commit entries meanwhile, one is restarted without its
                // state, and then the other is killed. The leader is killed last, so that the entries of all three
                // seconds are committed without the isolated replica.
                let mut replicas = self.choose_members(true, 3);
                replicas.sort_by_key(|&n| self.is_leader(n));
                self.set_blocked(&replicas[..1], true);
                sleep_ms(3 * LEASE_MS);
                self.kill(&replicas[1..2]);
                self.start(&replicas[1..2])?;
                sleep_ms(500);
                self.kill(&replicas[2..3]);
                self.fleet.relays.clear_conditions();
                sleep_ms(4 * LEASE_MS);
                self.start(&replicas[2..3])?;
                affected = (0..self.fleet.len()).collect();
                sleep_ms(RETRY_WINDOW_MS + 10 * LEASE_MS);
            }
            Fault::KillMostReplicas => {
                let majority = self.choose_members(true, self.ownership_replicas / 2 + 1);
                self.kill(&majority);
                sleep_ms(LEASE_MS);
                self.start(&majority)?;
                // Without a majority of replicas no lease is renewed.
                affected = (0..self.fleet.len()).collect();
                // Replicas with a journal restore their state from it; without one no claims are made for a retry
                // window.
                sleep_ms(if self.has_journal {
                    4 * LEASE_MS
                } else {
                    RETRY_WINDOW_MS + 10 * LEASE_MS
                });
            }
            Fault::KillAll => {
                affected = (0..self.fleet.len()).collect();
                self.kill(&affected);
                self.start(&affected)?;
                sleep_ms(4 * LEASE_MS);
            }
            Fault::LoseReplicaDirectory => {
                affected = self.choose_members(true, 1);
                self.kill(&affected);
                std::fs::remove_dir_all(self.fleet.journal_directory(affected[0]))
                    .map_err(|e| e.to_string())?;
                sleep_ms(2 * LEASE_MS);
                self.start(&affected)?;
                // The restarted replica catches up, and replaces its previous incarnation in the group.
                sleep_ms(8 * LEASE_MS);
                affected = (0..self.fleet.len()).collect();
            }
        }
        if matches!(fault, Fault::KillReplica | Fault::IsolateReplica) {
            // Leases may lapse until another replica leads.
            affected = (0..self.fleet.len()).collect();
        }
        self.record_disturbance(&affected, from);
        Ok(())
    }
}

/// One day in milliseconds; log lines carry the time of day.
const DAY_MS: f64 = 86_400_000.0;

/// The times of day, in milliseconds, at which a process logged that its lease had lapsed or its epoch had ended.
fn lapse_times_ms(log: &[String]) -> Vec<f64> {
    let is_lapse =
        |line: &&String| line.contains("the lease lapsed") || line.contains("may be another's");
    let time_of_day_ms = |line: &String| {
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
    log.iter()
        .filter(is_lapse)
        .filter_map(time_of_day_ms)
        .collect()
}

/// Judges the recorded history; returns the violations and the figures.
fn judge(
    harness: &Harness,
    history: &LoadHistory,
    records: &IdempotentRecords,
    isolations: &[(usize, Instant, Instant)],
) -> (Vec<String>, Value) {
    let mut violations = Vec::new();
    // By key: when and on which member each run was started. By request id: number of starts, member, whether keyed.
    let mut by_key: HashMap<String, Vec<(Instant, usize)>> = HashMap::new();
    let mut by_id: HashMap<String, (u32, usize, bool)> = HashMap::new();
    for n in 0..harness.fleet.len() {
        for start in harness.fleet.runtime(n).starts() {
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
    let effects = records.effects();
    for (key, effect) in &effects {
        if effect.executions > 1 {
            violations.push(format!(
                "{} had its effect {} times",
                String::from_utf8_lossy(key),
                effect.executions
            ));
        }
    }
    let lapses: Vec<Vec<f64>> = (0..harness.fleet.len())
        .map(|n| lapse_times_ms(&harness.fleet.log(n)))
        .collect();
    let (now, now_ms) = (Instant::now(), unix_ms());
    let ms_of_day = |at: Instant| (now_ms - now.duration_since(at).as_secs_f64() * 1e3) % DAY_MS;
    let mut repeated_runs = 0;
    for (key, starts) in &mut by_key {
        starts.sort_unstable();
        for pair in starts.windows(2) {
            repeated_runs += 1;
            let (at, n) = pair[0];
            let was_disturbed = harness
                .disturbances
                .iter()
                .any(|&(i, from, to)| i == n && at + LEAD >= from && pair[1].0 <= to + TAIL);
            // On a busy machine a lease may lapse without an injected fault; the process logs that.
            let has_lapsed = lapses[n]
                .iter()
                .any(|ms| (ms_of_day(at) - 1e3..ms_of_day(pair[1].0) + 6e3).contains(ms));
            if !was_disturbed && !has_lapsed {
                violations.push(format!(
                    "{key} ran again although {} was undisturbed",
                    daemon_fleet::member_name(n)
                ));
            }
        }
    }
    let mut results: HashMap<&str, &[u8]> = HashMap::new();
    let (mut counts, mut unanswered) = (BTreeMap::<String, u64>::new(), 0);
    let (mut durations, mut durations_over_kills) = (histogram(), histogram());
    for request in &history.requests {
        let kind = if request.key.is_some() { "bid" } else { "page" };
        let Some(last_status) = &request.last_status else {
            unanswered += 1;
            violations.push(format!(
                "a {kind} sent at {:.0} received no final answer in {} attempts",
                request.sent_ms, request.attempts
            ));
            continue;
        };
        *counts.entry(format!("{kind} {last_status}")).or_default() += 1;
        let _ = durations.record(((request.duration_ms * 1e3) as u64).max(1));
        let Some(key) = &request.key else { continue };
        if last_status == "200" {
            if *results.entry(key).or_insert(&request.body) != request.body {
                violations.push(format!("two results under {key}"));
            }
            if effects
                .get(key.as_bytes())
                .is_none_or(|effect| effect.executions != 1)
            {
                violations.push(format!("{key} was served without its effect"));
            }
        }
        if harness
            .kill_times_ms
            .iter()
            .any(|at| request.sent_ms < *at && request.sent_ms + request.duration_ms > *at)
        {
            let _ = durations_over_kills.record(((request.duration_ms * 1e3) as u64).max(1));
        }
    }
    let mut phases = Vec::new();
    for (fault_name, from, to) in &harness.phases {
        let mut statuses = BTreeMap::<&str, u64>::new();
        let mut durations = histogram();
        for request in history
            .requests
            .iter()
            .filter(|entry| entry.key.is_some() && entry.sent_ms >= *from && entry.sent_ms < *to)
        {
            *statuses
                .entry(request.last_status.as_deref().unwrap_or("none"))
                .or_default() += 1;
            let _ = durations.record(((request.duration_ms * 1e3) as u64).max(1));
        }
        let quantile_ms = |quantile| durations.value_at_quantile(quantile) / 1000;
        phases
            .push(json!({"fault": fault_name, "bids": statuses, "p50": quantile_ms(0.5), "p99": quantile_ms(0.99)}));
    }
    let mut pages_rejected_running = 0;
    for attempt in &history.rejected_attempts {
        let id = &attempt.id;
        match by_id.get(id) {
            Some((_, _, true)) => violations.push(format!("{id} ran although it was rejected")),
            // A backend rejects an idempotent request that it gives up on while it runs; it may run again at any time.
            Some((_, _, false)) => pages_rejected_running += 1,
            None => {}
        }
    }
    // Only calls of owners that were isolated and had no other fault count.
    let rejections = records.stale_fence_rejections();
    let overtaken = rejections.iter().filter(|(at, id)| {
        let n = by_id.get(id).map(|(_, n, _)| *n);
        isolations
            .iter()
            .any(|&(i, from, to)| Some(i) == n && *at >= from && *at <= to)
    });
    let overtaken = overtaken.count();
    if overtaken > 0 {
        violations.push(format!(
            "{overtaken} calls of an isolated owner came after a call of the new owner"
        ));
    }
    let figures = json!({"answers": counts, "unanswered": unanswered, "ran_again": repeated_runs, "keys": by_key.len(),
        "refused_older": records.stale_fence_rejections().len(), "pages_rejected_running": pages_rejected_running, "phases": phases, "milliseconds": quantiles(&durations),
        "open_at_a_death_ms": quantiles(&durations_over_kills)});
    (violations, figures)
}

/// The faults to inject, in this order. With a failpoint, only those that reveal it, so that it is detected in less
/// than the full time.
fn faults(failpoint: Option<&str>, rounds: u32, has_journal: bool) -> Vec<Fault> {
    match failpoint {
        // It shows only where the isolated owner has claimed a request that outlasts its lease; most isolations meet none.
        Some("lease") => vec![Fault::IsolateOwner; 16],
        Some("outcome") => vec![Fault::IsolateOwner; 4],
        Some("unfenced") => vec![Fault::KillThird, Fault::KillThird, Fault::IsolateOwner],
        Some("empty") => vec![Fault::RestartReplicaEmpty],
        Some("lock") => vec![Fault::DelayTwo],
        _ if has_journal => (0..rounds).flat_map(|_| FAULTS_WITH_JOURNAL).collect(),
        _ => (0..rounds).flat_map(|_| FAULTS_WITHOUT_JOURNAL).collect(),
    }
}

/// Runs the proof. Its duration follows from the faults.
pub fn prove(config: &Config) -> Result<Value, String> {
    let proof = &config.proof;
    let records = IdempotentRecords::default();
    let records_address = records.serve(20).map_err(|e| e.to_string())?;
    let fleet_config =
        daemon_fleet::FleetConfig::for_proof(proof, config.members, records_address)?;
    let fleet = DaemonFleet::new(&daemon_fleet::FleetConfig {
        interval_ms: 200.0,
        ownership_replicas: config.ownership_replicas,
        has_journal: config.has_journal,
        ..fleet_config
    })?;
    let (random, ownership_replicas) = (
        Pcg64Mcg::seed_from_u64(proof.seed),
        config.ownership_replicas,
    );
    let mut harness = Harness {
        fleet,
        random,
        ownership_replicas,
        disturbances: Vec::new(),
        kill_times_ms: Vec::new(),
        phases: Vec::new(),
        tasks_taken_over: 0,
        has_journal: config.has_journal,
    };
    for n in 0..config.members {
        harness.fleet.start(n)?;
    }
    for n in 0..config.members {
        harness.fleet.wait_until_listening(n)?;
    }
    // After this wait a replica group has formed, and the retry window of a possible earlier group has passed.
    sleep_ms(RETRY_WINDOW_MS + 4 * LEASE_MS);
    let backends = (0..config.members)
        .map(|n| harness.fleet.address(n))
        .collect();
    let load = Arc::new(Load::new(backends, (config.rate, LOAD_THREADS), false));
    let threads: Vec<_> = (0..LOAD_THREADS)
        .map(|thread_index| {
            let (load, seed) = (load.clone(), proof.seed);
            thread::spawn(move || load.run_thread(seed, thread_index))
        })
        .collect();
    let began = Instant::now();
    sleep_ms(3000);
    harness
        .phases
        .push(("none".to_owned(), unix_ms() - 3000.0, unix_ms()));
    let mut isolations = Vec::new();
    for fault in faults(
        proof.failpoint.as_deref(),
        config.rounds,
        config.has_journal,
    ) {
        let (from, from_ms) = (Instant::now(), unix_ms());
        eprintln!("{:.1} s: {fault:?}", began.elapsed().as_secs_f64());
        harness.inject(fault)?;
        if fault == Fault::IsolateOwner {
            isolations.extend(
                harness
                    .disturbances
                    .last()
                    .map(|&(n, ..)| (n, from, Instant::now() + TAIL)),
            );
        }
        sleep_ms(3 * LEASE_MS);
        harness
            .phases
            .push((format!("{fault:?}"), from_ms, unix_ms()));
    }
    load.stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let exited = harness.fleet.exited();
    for &n in &exited {
        eprintln!(
            "{} exited by itself:\n{}",
            daemon_fleet::member_name(n),
            harness.fleet.log(n).join("\n")
        );
    }
    if proof.failpoint.is_some() {
        // The replicas' log lines show why the failpoint was detected, or why not.
        for n in 0..config.ownership_replicas {
            let log = harness.fleet.log(n);
            log.iter()
                .filter(|line| line.contains("takeover: "))
                .for_each(|line| eprintln!("{}: {line}", daemon_fleet::member_name(n)));
        }
    }
    let running = harness.fleet.running();
    harness.tasks_taken_over += running
        .iter()
        .map(|&n| harness.fleet.counter(n, "tasks_taken_over"))
        .sum::<u64>();
    let history = load.history();
    let (mut violations, mut figures) = judge(&harness, &history, &records, &isolations);
    if !exited.is_empty() {
        violations.push(format!("members exited by themselves: {exited:?}"));
    }
    if history
        .requests
        .iter()
        .filter(|request| request.key.is_some() && request.last_status.as_deref() == Some("200"))
        .count()
        < 50
    {
        violations.push("hardly any keyed request was served: the proof shows nothing".to_owned());
    }
    for violation in violations.iter().take(20) {
        eprintln!("{violation}");
    }
    figures["held"] = json!(violations.is_empty());
    figures["wrong"] = json!(violations.len());
    figures["taken_over"] = json!(harness.tasks_taken_over);
    (figures["members"], figures["keepers"]) =
        (json!(config.members), json!(config.ownership_replicas));
    figures["seconds"] = json!(began.elapsed().as_secs());
    Ok(figures)
}
