//! Recovery from the journal: many processes under load, each with a journal directory, are killed one at a time,
//! several and all at once, at any point of their work; in between, directories are lost or replaced by older copies,
//! and parts of the fleet are partitioned meanwhile. Keyed requests are repeated at the backend of their key without
//! being marked as retries. The proof holds if no key was started twice, however its backend ended, no key had its
//! effect twice, no two answers under one key differ, no keyed request was answered as never run although that attempt
//! ran, and every client received a final answer.

use std::collections::{BTreeMap, HashMap};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use super::keyed_load::{Load, LoadHistory};
use super::{histogram, quantiles, ProofConfig};
use crate::daemon_fleet::{self, DaemonFleet, RETRY_WINDOW_MS};
use crate::relays::LinkConditions;
use crate::services::IdempotentRecords;
use crate::unix_ms;

/// Number of threads that send the load: a client of a backend in its quiet period waits until it gives up.
const LOAD_THREADS: u64 = 240;
/// A copy that is restored is at least this old: a younger one cannot be told from the latest state
/// (`docs/durable.md`).
const MIN_COPY_AGE: Duration = Duration::from_millis(6000);
/// Clients give up after four seconds: after this wait, in milliseconds, every request that was waiting has ended.
const CALLERS_GIVE_UP_MS: u64 = 4500;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// One member is killed and restarted at once.
    KillOne,
    /// Half of the members are killed and restarted.
    KillHalf,
    /// All members are killed and restarted.
    KillAll,
    /// One member is killed again before it can have notified others of its state.
    KillTwice,
    /// All members are killed, and one restarts with an empty journal directory.
    KillAllLoseDirectory,
    /// One member restarts with an empty journal directory.
    LoseDirectory,
    /// One member restarts with a copy that is older than its last state.
    Rollback,
    /// All members are killed, and one restarts with an older copy: no other member remembers the last state.
    KillAllRollback,
    /// Half of the members are cut off from the others, and one of them is killed.
    KillDuringPartition,
    /// One member is killed and gets the journal directory of another, with which it must not start. Then it gets its
    /// own back.
    SwapDirectory,
    /// One member is killed, and bits of its journal file are flipped.
    DamageFile,
    /// A second process is started on the journal directory of a running member and of a paused one; it must not start.
    StartSecondProcess,
}

/// The configuration of the proof.
pub struct Config {
    /// Seed and failpoint.
    pub proof: ProofConfig,
    /// Number of members.
    pub members: usize,
    /// Total rate in requests per second.
    pub rate: f64,
    /// Number of rounds; each round injects all faults.
    pub rounds: u32,
}

struct Harness {
    fleet: DaemonFleet,
    random: Pcg64Mcg,
    kills: u64,
    /// By member: when its journal directory was copied.
    copy_times: HashMap<usize, Instant>,
    /// Times of kills in Unix milliseconds.
    kill_times_ms: Vec<f64>,
    violations: Vec<String>,
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn copy_directory(from: &Path, to: &Path) -> Result<(), String> {
    let error_text = |e: std::io::Error| format!("{}: {e}", from.display());
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to).map_err(error_text)?;
    for entry in std::fs::read_dir(from).map_err(error_text)? {
        let entry = entry.map_err(error_text)?;
        std::fs::copy(entry.path(), to.join(entry.file_name())).map_err(error_text)?;
    }
    Ok(())
}

impl Harness {
    fn choose_members(&mut self, count: usize) -> Vec<usize> {
        let mut chosen: Vec<usize> = (0..self.fleet.len()).collect();
        for n in (1..chosen.len()).rev() {
            chosen.swap(n, (self.random.next_u64() % (n as u64 + 1)) as usize);
        }
        chosen.truncate(count);
        chosen
    }

    fn kill(&mut self, indices: &[usize]) -> Result<(), String> {
        for &n in indices {
            self.fleet.kill(n);
            self.kills += 1;
            self.kill_times_ms.push(unix_ms());
            // The directory of a killed process does not change any more, so its copy is complete.
            if !self.copy_times.contains_key(&n) {
                copy_directory(
                    &self.fleet.journal_directory(n),
                    &self.fleet.journal_directory(n).with_extension("copy"),
                )?;
                self.copy_times.insert(n, Instant::now());
            }
        }
        Ok(())
    }

    fn start(&mut self, indices: &[usize]) -> Result<(), String> {
        indices.iter().try_for_each(|&n| self.fleet.start(n))?;
        indices
            .iter()
            .try_for_each(|&n| self.fleet.wait_until_listening(n))
    }

    fn remove_directory(&self, n: usize) -> Result<(), String> {
        std::fs::remove_dir_all(self.fleet.journal_directory(n)).map_err(|e| e.to_string())
    }

    /// Replaces a member's journal directory by its copy, if there is one, once the copy is old enough.
    fn restore_copy(&mut self, n: usize) -> Result<(), String> {
        let Some(copied_at) = self.copy_times.remove(&n) else {
            return Ok(());
        };
        thread::sleep(MIN_COPY_AGE.saturating_sub(copied_at.elapsed()));
        copy_directory(
            &self.fleet.journal_directory(n).with_extension("copy"),
            &self.fleet.journal_directory(n),
        )
    }

    fn inject(&mut self, fault: Fault) -> Result<(), String> {
        let all: Vec<usize> = (0..self.fleet.len()).collect();
        match fault {
            Fault::KillOne => {
                let chosen = self.choose_members(1);
                self.kill(&chosen)?;
                self.start(&chosen)?;
            }
            Fault::KillHalf => {
                let chosen = self.choose_members(all.len() / 2);
                self.kill(&chosen)?;
                self.start(&chosen)?;
            }
            Fault::KillAll => {
                self.kill(&all)?;
                self.start(&all)?;
            }
            Fault::KillTwice => {
                let chosen = self.choose_members(1);
                self.kill(&chosen)?;
                self.fleet.start(chosen[0])?;
                let delay_ms = self.random.next_u64() % 60;
                sleep_ms(delay_ms);
                self.kill(&chosen)?;
                self.start(&chosen)?;
            }
            Fault::LoseDirectory => {
                let chosen = self.choose_members(1);
                self.kill(&chosen)?;
                self.remove_directory(chosen[0])?;
                self.start(&chosen)?;
                // The member starts no keyed request for a retry window: requests that it ran before may be repeated
                // for as long.
                sleep_ms(CALLERS_GIVE_UP_MS);
            }
            Fault::KillAllLoseDirectory => {
                let chosen = self.choose_members(1);
                self.kill(&all)?;
                self.remove_directory(chosen[0])?;
                self.start(&all)?;
                sleep_ms(CALLERS_GIVE_UP_MS);
            }
            Fault::Rollback => {
                let chosen = self.choose_members(1);
                self.kill(&chosen)?;
                self.start(&chosen)?;
                sleep_ms(MIN_COPY_AGE.as_millis() as u64);
                self.fleet.kill(chosen[0]);
                self.restore_copy(chosen[0])?;
                self.start(&chosen)?;
                sleep_ms(CALLERS_GIVE_UP_MS);
            }
            Fault::KillAllRollback => {
                let chosen = self.choose_members(1);
                self.kill(&chosen)?;
                self.start(&chosen)?;
                sleep_ms(MIN_COPY_AGE.as_millis() as u64);
                let copied_at = self.copy_times.remove(&chosen[0]);
                self.kill(&all)?;
                self.copy_times
                    .extend(copied_at.map(|copied_at| (chosen[0], copied_at)));
                self.restore_copy(chosen[0])?;
                self.start(&all)?;
                sleep_ms(CALLERS_GIVE_UP_MS);
            }
            Fault::KillDuringPartition => {
                let chosen = self.choose_members(all.len() / 2);
                for &member in &chosen {
                    for other in all.iter().copied().filter(|other| !chosen.contains(other)) {
                        self.fleet.relays.set_conditions(
                            member,
                            other,
                            LinkConditions {
                                blocked: true,
                                ..LinkConditions::default()
                            },
                        );
                        self.fleet.relays.set_conditions(
                            other,
                            member,
                            LinkConditions {
                                blocked: true,
                                ..LinkConditions::default()
                            },
                        );
                    }
                }
                sleep_ms(500);
                self.kill(&chosen[..1])?;
                self.start(&chosen[..1])?;
                sleep_ms(1000);
                self.fleet.relays.clear_conditions();
            }
            Fault::DamageFile => {
                let chosen = self.choose_members(1);
                self.kill(&chosen)?;
                self.flip_bits(chosen[0])?;
                self.start(&chosen)?;
                sleep_ms(CALLERS_GIVE_UP_MS);
            }
            Fault::StartSecondProcess => {
                let chosen = self.choose_members(2);
                self.fleet.set_paused(chosen[1], true);
                for &n in &chosen {
                    if !self.fleet.second_process_is_rejected(n)? {
                        self.violations.push(format!(
                            "a second process started on the journal directory of {}",
                            daemon_fleet::member_name(n)
                        ));
                    }
                }
                self.fleet.set_paused(chosen[1], false);
            }
            Fault::SwapDirectory => {
                let chosen = self.choose_members(2);
                self.kill(&chosen)?;
                let (own_directory, other_directory) = (
                    self.fleet.journal_directory(chosen[0]),
                    self.fleet.journal_directory(chosen[1]),
                );
                let saved_directory = own_directory.with_extension("aside");
                let move_directory =
                    |from: &Path, to: &Path| std::fs::rename(from, to).map_err(|e| e.to_string());
                move_directory(&own_directory, &saved_directory)?;
                copy_directory(&other_directory, &own_directory)?;
                self.fleet.start(chosen[0])?;
                let until = Instant::now() + Duration::from_secs(20);
                while !self.fleet.exited().contains(&chosen[0]) && Instant::now() < until {
                    sleep_ms(5);
                }
                if !self.fleet.exited().contains(&chosen[0]) {
                    self.violations
                        .push("a member started on the journal directory of another".to_owned());
                }
                self.fleet.kill(chosen[0]);
                std::fs::remove_dir_all(&own_directory).map_err(|e| e.to_string())?;
                move_directory(&saved_directory, &own_directory)?;
                self.start(&chosen)?;
            }
        }
        Ok(())
    }

    fn flip_bits(&mut self, n: usize) -> Result<(), String> {
        let file = self.fleet.journal_directory(n).join("state.redb");
        let mut bytes = std::fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        for _ in 0..400 {
            let index = self.random.next_u64() as usize % bytes.len().max(1);
            bytes[index] ^= 1 << (self.random.next_u32() % 8);
        }
        std::fs::write(&file, bytes).map_err(|e| e.to_string())
    }
}

/// Judges the recorded history; returns the violations and the figures.
fn judge(
    harness: &Harness,
    history: &LoadHistory,
    records: &IdempotentRecords,
) -> (Vec<String>, Value) {
    let mut violations = harness.violations.clone();
    let (mut by_key, mut by_id) = (
        HashMap::<String, Vec<Instant>>::new(),
        HashMap::<String, bool>::new(),
    );
    for n in 0..harness.fleet.len() {
        for start in harness.fleet.runtime(n).starts() {
            if !start.body.is_empty() {
                by_key
                    .entry(String::from_utf8_lossy(&start.body).into_owned())
                    .or_default()
                    .push(start.received_at);
            }
            by_id.insert(start.id, !start.body.is_empty());
        }
    }
    for (key, starts) in by_key.iter().filter(|(_, starts)| starts.len() > 1) {
        violations.push(format!("{key} was started {} times", starts.len()));
    }
    let effects = records.effects();
    for (key, effect) in effects.iter().filter(|(_, effect)| effect.executions > 1) {
        violations.push(format!(
            "{} had its effect {} times",
            String::from_utf8_lossy(key),
            effect.executions
        ));
    }
    let (mut results, mut counts) = (
        HashMap::<&str, &[u8]>::new(),
        BTreeMap::<String, u64>::new(),
    );
    let mut durations = histogram();
    for request in &history.requests {
        let kind = if request.key.is_some() { "bid" } else { "page" };
        let Some(last_status) = &request.last_status else {
            violations.push(format!(
                "a {kind} sent at {:.0} received no final answer in {} attempts",
                request.sent_ms, request.attempts
            ));
            continue;
        };
        *counts.entry(format!("{kind} {last_status}")).or_default() += 1;
        let _ = durations.record(((request.duration_ms * 1e3) as u64).max(1));
        if let (Some(key), "200") = (&request.key, last_status.as_str()) {
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
    }
    let (now, unix) = (Instant::now(), unix_ms());
    let mut rejected_after_run = 0;
    for entry in &history.rejected_attempts {
        if by_id.get(&entry.id) == Some(&true) {
            violations.push(format!("{} ran although it was rejected", entry.id));
        }
        // This attempt never ran, but an earlier one with the same key had when this one was sent.
        let starts = entry.key.as_ref().and_then(|key| by_key.get(key));
        let ran = |at: &Instant| unix - now.duration_since(*at).as_secs_f64() * 1e3 < entry.sent_ms;
        rejected_after_run += u64::from(starts.is_some_and(|starts| starts.iter().any(ran)));
    }
    if rejected_after_run > 0 {
        violations.push(format!(
            "{rejected_after_run} attempts were rejected although their keys had run"
        ));
    }
    let keyed_requests = history
        .requests
        .iter()
        .filter(|request| request.key.is_some())
        .count()
        .max(1);
    let unknown = counts.get("bid unknown").copied().unwrap_or(0);
    let unknown_share = (unknown as f64 / keyed_requests as f64 * 1e4).round() / 1e4;
    let figures = json!({"answers": counts, "keys": by_key.len(), "unknown_share": unknown_share,
        "milliseconds": quantiles(&durations)});
    (violations, figures)
}

/// The faults to inject, in this order. With a failpoint, only those that reveal it.
fn faults(failpoint: Option<&str>, rounds: u32) -> Vec<Fault> {
    use Fault::{
        DamageFile, KillAll, KillAllLoseDirectory, KillAllRollback, KillDuringPartition, KillHalf,
        KillOne, KillTwice, LoseDirectory, Rollback, StartSecondProcess, SwapDirectory,
    };
    match failpoint {
        Some("early") => vec![KillAll; 12],
        Some("rollback") => vec![Rollback, KillAllRollback],
        Some("unlocked") => vec![StartSecondProcess],
        Some("lost") => vec![LoseDirectory, KillAllLoseDirectory],
        _ => {
            let round = [
                KillOne,
                KillAll,
                KillHalf,
                KillTwice,
                KillAll,
                LoseDirectory,
                KillDuringPartition,
                KillAll,
                Rollback,
                KillHalf,
                SwapDirectory,
                KillAllLoseDirectory,
                KillAll,
                KillTwice,
                KillAllRollback,
                StartSecondProcess,
                DamageFile,
            ];
            (0..rounds).flat_map(|_| round).collect()
        }
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
        has_journal: true,
        ..fleet_config
    })?;
    let random = Pcg64Mcg::seed_from_u64(proof.seed);
    let (copy_times, kill_times_ms, violations) = (HashMap::new(), Vec::new(), Vec::new());
    let mut harness = Harness {
        fleet,
        random,
        kills: 0,
        copy_times,
        kill_times_ms,
        violations,
    };
    let all: Vec<usize> = (0..config.members).collect();
    harness.start(&all)?;
    // Journal directories are empty: no keyed request is started for a retry window, and for as long as a request may
    // stay unread.
    sleep_ms(RETRY_WINDOW_MS + 5500);
    let backends = all.iter().map(|&n| harness.fleet.address(n)).collect();
    let load = Arc::new(Load::new(backends, (config.rate, LOAD_THREADS), true));
    let threads: Vec<_> = (0..LOAD_THREADS)
        .map(|thread_index| {
            let (load, seed) = (load.clone(), proof.seed);
            thread::spawn(move || load.run_thread(seed, thread_index))
        })
        .collect();
    let began = Instant::now();
    // Whether all but a few recent keyed requests were served: then no member is in its quiet period any more.
    let is_stable = || {
        let history = load.history();
        let recent = history
            .requests
            .iter()
            .rev()
            .filter(|request| request.key.is_some())
            .take(60);
        recent
            .filter(|request| request.last_status.as_deref() == Some("200"))
            .count()
            >= 55
    };
    while !is_stable() && began.elapsed() < Duration::from_secs(40) {
        sleep_ms(100);
    }
    for fault in faults(proof.failpoint.as_deref(), config.rounds) {
        eprintln!("{:.1} s: {fault:?}", began.elapsed().as_secs_f64());
        harness.inject(fault)?;
        let delay_ms = 300 + harness.random.next_u64() % 900;
        sleep_ms(delay_ms);
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
    let history = load.history();
    let (mut violations, mut figures) = judge(&harness, &history, &records);
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
    violations
        .iter()
        .take(20)
        .for_each(|violation| eprintln!("{violation}"));
    figures["held"] = json!(violations.is_empty());
    figures["wrong"] = json!(violations.len());
    figures["kills"] = json!(harness.kills);
    figures["members"] = json!(config.members);
    figures["seconds"] = json!(began.elapsed().as_secs());
    Ok(figures)
}
