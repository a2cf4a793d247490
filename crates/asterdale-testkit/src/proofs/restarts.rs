//! What was begun is known after a crash: many processes under load, each with a folder on disk, killed alone, several and
//! all at once, in the middle of whatever they do; folders lost and put back from older copies between, parts of the fleet
//! cut off meanwhile. Bids are repeated unmarked at the backend of their key. Held if no key was started twice, however its
//! backend died, no key had its effect twice, no two answers under a key differ, no bid whose try ran was said never to have
//! run, and every caller heard a final answer.

use std::collections::{BTreeMap, HashMap};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use super::keyed_load::{Load, Seen};
use super::{histogram, quantiles, ProofConfig};
use crate::daemon_fleet::{self, DaemonFleet, RETRY_WINDOW_MS};
use crate::relays::LinkConditions;
use crate::services::IdempotentRecords;
use crate::unix_ms;

/// Threads that bring the load: of a process that is quiet each caller waits for as long as he has.
const LANES: u64 = 240;
/// A copy that is put back is at least so old: a younger one is not told from what was left (`docs/durable.md`).
const OLD: Duration = Duration::from_millis(6000);
/// Callers give up after four seconds: whatever is quiet then was quiet for all that they asked.
const CALLERS: u64 = 4500;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// One is killed and started anew at once.
    One,
    /// Half of them.
    Half,
    /// All of them.
    All,
    /// One is killed again before it can have said what it knows.
    Twice,
    /// All of them, and one comes back to an empty folder.
    AllOneLost,
    /// One comes back to an empty folder.
    Lost,
    /// One comes back to a copy that is older than what it left.
    Rollback,
    /// All are killed, and one comes back to an older copy: nobody remembers it.
    AllOneRollback,
    /// Some ways are cut, and one of those behind them is killed.
    Parted,
    /// One is killed; its folder is another's: it must not start. Then it has its own again.
    Swapped,
    /// One is killed, and bits of its file are flipped.
    Damaged,
    /// A second process is started over the folder of one that serves, and of one that stands still: it must not start.
    Second,
}

/// What is proven.
pub struct Config {
    /// Seed and failpoint.
    pub proof: ProofConfig,
    /// How many processes.
    pub members: usize,
    /// Tasks a second in all.
    pub rate: f64,
    /// How often all kinds of faults come.
    pub rounds: u32,
}

struct Play {
    fleet: DaemonFleet,
    random: Pcg64Mcg,
    kills: u64,
    /// By process: since when there is a copy of its folder.
    copies: HashMap<usize, Instant>,
    /// Kills, in Unix milliseconds.
    deaths: Vec<f64>,
    wrong: Vec<String>,
}

fn wait(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn copy(from: &Path, to: &Path) -> Result<(), String> {
    let told = |e: std::io::Error| format!("{}: {e}", from.display());
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to).map_err(told)?;
    for entry in std::fs::read_dir(from).map_err(told)? {
        let entry = entry.map_err(told)?;
        std::fs::copy(entry.path(), to.join(entry.file_name())).map_err(told)?;
    }
    Ok(())
}

impl Play {
    fn some(&mut self, many: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.fleet.len()).collect();
        for n in (1..all.len()).rev() {
            all.swap(n, (self.random.next_u64() % (n as u64 + 1)) as usize);
        }
        all.truncate(many);
        all
    }

    fn kill(&mut self, who: &[usize]) -> Result<(), String> {
        for &n in who {
            self.fleet.kill(n);
            self.kills += 1;
            self.deaths.push(unix_ms());
            // What a dead one left stands still: its copy is whole.
            if !self.copies.contains_key(&n) {
                copy(
                    &self.fleet.journal_directory(n),
                    &self.fleet.journal_directory(n).with_extension("copy"),
                )?;
                self.copies.insert(n, Instant::now());
            }
        }
        Ok(())
    }

    fn start(&mut self, who: &[usize]) -> Result<(), String> {
        who.iter().try_for_each(|&n| self.fleet.start(n))?;
        who.iter()
            .try_for_each(|&n| self.fleet.wait_until_listening(n))
    }

    fn empty(&self, n: usize) -> Result<(), String> {
        std::fs::remove_dir_all(self.fleet.journal_directory(n)).map_err(|e| e.to_string())
    }

    /// Puts an older copy in the place of what this one left, once there is one that is old enough.
    fn put_back(&mut self, n: usize) -> Result<(), String> {
        let Some(taken) = self.copies.remove(&n) else {
            return Ok(());
        };
        thread::sleep(OLD.saturating_sub(taken.elapsed()));
        copy(
            &self.fleet.journal_directory(n).with_extension("copy"),
            &self.fleet.journal_directory(n),
        )
    }

    fn fault(&mut self, fault: Fault) -> Result<(), String> {
        let all: Vec<usize> = (0..self.fleet.len()).collect();
        match fault {
            Fault::One => {
                let who = self.some(1);
                self.kill(&who)?;
                self.start(&who)?;
            }
            Fault::Half => {
                let who = self.some(all.len() / 2);
                self.kill(&who)?;
                self.start(&who)?;
            }
            Fault::All => {
                self.kill(&all)?;
                self.start(&all)?;
            }
            Fault::Twice => {
                let who = self.some(1);
                self.kill(&who)?;
                self.fleet.start(who[0])?;
                let ms = self.random.next_u64() % 60;
                wait(ms);
                self.kill(&who)?;
                self.start(&who)?;
            }
            Fault::Lost => {
                let who = self.some(1);
                self.kill(&who)?;
                self.empty(who[0])?;
                self.start(&who)?;
                // Quiet for its window: what it ran before may be repeated for as long.
                wait(CALLERS);
            }
            Fault::AllOneLost => {
                let who = self.some(1);
                self.kill(&all)?;
                self.empty(who[0])?;
                self.start(&all)?;
                wait(CALLERS);
            }
            Fault::Rollback => {
                let who = self.some(1);
                self.kill(&who)?;
                self.start(&who)?;
                wait(OLD.as_millis() as u64);
                self.fleet.kill(who[0]);
                self.put_back(who[0])?;
                self.start(&who)?;
                wait(CALLERS);
            }
            Fault::AllOneRollback => {
                let who = self.some(1);
                self.kill(&who)?;
                self.start(&who)?;
                wait(OLD.as_millis() as u64);
                let taken = self.copies.remove(&who[0]);
                self.kill(&all)?;
                self.copies.extend(taken.map(|taken| (who[0], taken)));
                self.put_back(who[0])?;
                self.start(&all)?;
                wait(CALLERS);
            }
            Fault::Parted => {
                let who = self.some(all.len() / 2);
                for &a in &who {
                    for b in all.iter().copied().filter(|b| !who.contains(b)) {
                        self.fleet.relays.set_conditions(
                            a,
                            b,
                            LinkConditions {
                                blocked: true,
                                ..LinkConditions::default()
                            },
                        );
                        self.fleet.relays.set_conditions(
                            b,
                            a,
                            LinkConditions {
                                blocked: true,
                                ..LinkConditions::default()
                            },
                        );
                    }
                }
                wait(500);
                self.kill(&who[..1])?;
                self.start(&who[..1])?;
                wait(1000);
                self.fleet.relays.clear_conditions();
            }
            Fault::Damaged => {
                let who = self.some(1);
                self.kill(&who)?;
                self.damage(who[0])?;
                self.start(&who)?;
                wait(CALLERS);
            }
            Fault::Second => {
                let who = self.some(2);
                self.fleet.set_paused(who[1], true);
                for &n in &who {
                    if !self.fleet.second_process_is_rejected(n)? {
                        self.wrong.push(format!(
                            "a second process began over the folder of {}",
                            daemon_fleet::member_name(n)
                        ));
                    }
                }
                self.fleet.set_paused(who[1], false);
            }
            Fault::Swapped => {
                let who = self.some(2);
                self.kill(&who)?;
                let (one, other) = (
                    self.fleet.journal_directory(who[0]),
                    self.fleet.journal_directory(who[1]),
                );
                let aside = one.with_extension("aside");
                let moved =
                    |from: &Path, to: &Path| std::fs::rename(from, to).map_err(|e| e.to_string());
                moved(&one, &aside)?;
                copy(&other, &one)?;
                self.fleet.start(who[0])?;
                let until = Instant::now() + Duration::from_secs(20);
                while !self.fleet.exited().contains(&who[0]) && Instant::now() < until {
                    wait(5);
                }
                if !self.fleet.exited().contains(&who[0]) {
                    self.wrong
                        .push("one started over another's folder".to_owned());
                }
                self.fleet.kill(who[0]);
                std::fs::remove_dir_all(&one).map_err(|e| e.to_string())?;
                moved(&aside, &one)?;
                self.start(&who)?;
            }
        }
        Ok(())
    }

    fn damage(&mut self, n: usize) -> Result<(), String> {
        let file = self.fleet.journal_directory(n).join("state.redb");
        let mut bytes = std::fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        for _ in 0..400 {
            let at = self.random.next_u64() as usize % bytes.len().max(1);
            bytes[at] ^= 1 << (self.random.next_u32() % 8);
        }
        std::fs::write(&file, bytes).map_err(|e| e.to_string())
    }
}

/// Judges everything that happened: what was wrong, and figures.
fn judge(play: &Play, seen: &Seen, keyed: &IdempotentRecords) -> (Vec<String>, Value) {
    let mut wrong = play.wrong.clone();
    let (mut by_key, mut by_id) = (
        HashMap::<String, Vec<Instant>>::new(),
        HashMap::<String, bool>::new(),
    );
    for n in 0..play.fleet.len() {
        for start in play.fleet.runtime(n).starts() {
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
        wrong.push(format!("{key} was started {} times", starts.len()));
    }
    let effects = keyed.effects();
    for (key, effect) in effects.iter().filter(|(_, effect)| effect.executions > 1) {
        wrong.push(format!(
            "{} had its effect {} times",
            String::from_utf8_lossy(key),
            effect.executions
        ));
    }
    let (mut results, mut counts) = (
        HashMap::<&str, &[u8]>::new(),
        BTreeMap::<String, u64>::new(),
    );
    let mut times = histogram();
    for bid in &seen.bids {
        let kind = if bid.key.is_some() { "bid" } else { "page" };
        let Some(last) = &bid.last else {
            wrong.push(format!(
                "a {kind} of {:.0} heard no final answer in {} tries",
                bid.began, bid.tries
            ));
            continue;
        };
        *counts.entry(format!("{kind} {last}")).or_default() += 1;
        let _ = times.record(((bid.took * 1e3) as u64).max(1));
        if let (Some(key), "200") = (&bid.key, last.as_str()) {
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
    }
    let (now, unix) = (Instant::now(), unix_ms());
    let mut after = 0;
    for told in &seen.never {
        if by_id.get(&told.id) == Some(&true) {
            wrong.push(format!("{} ran, and was told that it never did", told.id));
        }
        // The try itself never ran; but its key had, when it was made.
        let starts = told.key.as_ref().and_then(|key| by_key.get(key));
        let ran = |at: &Instant| unix - now.duration_since(*at).as_secs_f64() * 1e3 < told.began;
        after += u64::from(starts.is_some_and(|starts| starts.iter().any(ran)));
    }
    if after > 0 {
        wrong.push(format!(
            "{after} tries were rejected though their keys had run"
        ));
    }
    let bids = seen
        .bids
        .iter()
        .filter(|bid| bid.key.is_some())
        .count()
        .max(1);
    let unknown = counts.get("bid unknown").copied().unwrap_or(0);
    let share = (unknown as f64 / bids as f64 * 1e4).round() / 1e4;
    let figures = json!({"answers": counts, "keys": by_key.len(), "unknown_share": share,
        "milliseconds": quantiles(&times)});
    (wrong, figures)
}

/// Which faults come, in this order; a planted mistake is looked for where it shows.
fn faults(failpoint: Option<&str>, rounds: u32) -> Vec<Fault> {
    use Fault::{
        All, AllOneLost, AllOneRollback, Damaged, Half, Lost, One, Parted, Rollback, Second,
        Swapped, Twice,
    };
    match failpoint {
        Some("early") => vec![All; 12],
        Some("rollback") => vec![Rollback, AllOneRollback],
        Some("unlocked") => vec![Second],
        Some("lost") => vec![Lost, AllOneLost],
        _ => {
            let round = [
                One,
                All,
                Half,
                Twice,
                All,
                Lost,
                Parted,
                All,
                Rollback,
                Half,
                Swapped,
                AllOneLost,
                All,
                Twice,
                AllOneRollback,
                Second,
                Damaged,
            ];
            (0..rounds).flat_map(|_| round).collect()
        }
    }
}

/// Runs the proof. How long it takes follows from the faults.
pub fn prove(config: &Config) -> Result<Value, String> {
    let proof = &config.proof;
    let keyed = IdempotentRecords::default();
    let records = keyed.serve(20).map_err(|e| e.to_string())?;
    let fleet_config = daemon_fleet::FleetConfig::for_proof(proof, config.members, records)?;
    let fleet = DaemonFleet::new(&daemon_fleet::FleetConfig {
        has_journal: true,
        ..fleet_config
    })?;
    let random = Pcg64Mcg::seed_from_u64(proof.seed);
    let (copies, deaths, wrong) = (HashMap::new(), Vec::new(), Vec::new());
    let mut play = Play {
        fleet,
        random,
        kills: 0,
        copies,
        deaths,
        wrong,
    };
    let all: Vec<usize> = (0..config.members).collect();
    play.start(&all)?;
    // Empty folders: quiet for a window, and for as long as a task may lie unread.
    wait(RETRY_WINDOW_MS + 5500);
    let places = all.iter().map(|&n| play.fleet.address(n)).collect();
    let load = Arc::new(Load::new(places, (config.rate, LANES), true));
    let lanes: Vec<_> = (0..LANES)
        .map(|lane| {
            let (load, seed) = (load.clone(), proof.seed);
            thread::spawn(move || load.lane(seed, lane))
        })
        .collect();
    let began = Instant::now();
    // Until all but a few are finished: nobody is quiet any more.
    let well = || {
        let seen = load.seen();
        let last = seen
            .bids
            .iter()
            .rev()
            .filter(|bid| bid.key.is_some())
            .take(60);
        last.filter(|bid| bid.last.as_deref() == Some("200"))
            .count()
            >= 55
    };
    while !well() && began.elapsed() < Duration::from_secs(40) {
        wait(100);
    }
    for fault in faults(proof.failpoint.as_deref(), config.rounds) {
        eprintln!("{:.1} s: {fault:?}", began.elapsed().as_secs_f64());
        play.fault(fault)?;
        let ms = 300 + play.random.next_u64() % 900;
        wait(ms);
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
    let seen = load.seen();
    let (mut wrong, mut figures) = judge(&play, &seen, &keyed);
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
    wrong.iter().take(20).for_each(|what| eprintln!("{what}"));
    figures["held"] = json!(wrong.is_empty());
    figures["wrong"] = json!(wrong.len());
    figures["kills"] = json!(play.kills);
    figures["members"] = json!(config.members);
    figures["seconds"] = json!(began.elapsed().as_secs());
    Ok(figures)
}
