//! Membership: many processes maintain views of each other while some crash, are paused, are partitioned, or have their
//! datagrams lost or duplicated. The proof holds if after the last fault of each kind all live members have the same
//! view within the documented bound, with no dead member in it and no live member missing; if no view ever went back to
//! an older generation; and if each restarted process had a higher generation than all earlier ones of its name that
//! any member remembered.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use super::{histogram, quantiles, ProofConfig};
use crate::daemon_fleet::{self, member_name, DaemonFleet};
use crate::process::{failpoint_program, program};
use crate::relays::LinkConditions;

/// Interval between queries of the views.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// On a busy machine convergence may take this many times the documented bound, which already has a factor of two.
const BUSY_MACHINE_FACTOR: f64 = 1.5;

/// A kind of fault.
#[derive(Clone, Copy, Debug)]
enum Fault {
    JoinAll,
    JoinOneByOne,
    KillOne,
    KillThird,
    KillSeeds,
    PauseShort,
    PauseLong,
    PartitionHalvesShort,
    PartitionHalvesLong,
    PartitionThirdsLong,
    BlockOneWay,
    LoseDatagrams,
    DelayOne,
    RestartAll,
    ReplayOldDatagrams,
}

/// The faults of one round, in this order; only the affected members are drawn at random.
const FAULT_SEQUENCE: [Fault; 14] = [
    Fault::JoinAll,
    Fault::KillOne,
    Fault::ReplayOldDatagrams,
    Fault::PauseShort,
    Fault::PartitionHalvesShort,
    Fault::KillThird,
    Fault::PauseLong,
    Fault::BlockOneWay,
    Fault::PartitionHalvesLong,
    Fault::KillSeeds,
    Fault::LoseDatagrams,
    Fault::PartitionThirdsLong,
    Fault::DelayOne,
    Fault::RestartAll,
];

/// The configuration of the proof.
pub struct Config {
    /// Seed and failpoint.
    pub proof: ProofConfig,
    /// Number of members.
    pub members: usize,
    /// Interval between membership probes in milliseconds.
    pub interval_ms: f64,
    /// Number of rounds; each round injects all faults.
    pub rounds: u32,
}

struct Harness {
    fleet: DaemonFleet,
    random: Pcg64Mcg,
    interval_ms: f64,
    /// The generation of each name that each member had in its view when last queried, since that member started.
    last_seen: BTreeMap<(usize, String), u64>,
    /// The highest generation of each name that was ever seen in a view.
    highest: BTreeMap<String, u64>,
    /// The generation that a restarted member has to exceed, by name.
    previous: BTreeMap<String, u64>,
    regressions: u64,
    restarts_not_above: u64,
    not_converged: Vec<String>,
    convergence_times: hdrhistogram::Histogram<u64>,
    fault_results: Vec<Value>,
}

impl Harness {
    fn choose_members(&mut self, candidates: &[usize], count: usize) -> Vec<usize> {
        let mut chosen = candidates.to_vec();
        for n in (1..chosen.len()).rev() {
            chosen.swap(n, (self.random.next_u64() % (n as u64 + 1)) as usize);
        }
        chosen.truncate(count);
        chosen
    }

    fn sleep(&self, intervals: f64) {
        thread::sleep(Duration::from_secs_f64(intervals * self.interval_ms / 1e3));
    }

    /// Queries the views of all running members, and counts generations that went back.
    fn check_views(&mut self) -> BTreeMap<usize, Value> {
        let mut views = BTreeMap::new();
        for n in self.fleet.running() {
            let Some(view) = self.fleet.membership_view(n) else {
                continue;
            };
            let members = view["members"]
                .as_array()
                .into_iter()
                .flatten()
                .chain([&view["me"]]);
            for member in members {
                let (Some(name), Some(generation)) =
                    (member["name"].as_str(), member["generation"].as_u64())
                else {
                    continue;
                };
                let held_generation = self.last_seen.entry((n, name.to_owned())).or_default();
                if generation < *held_generation {
                    eprintln!(
                        "the view of {} went back from generation {held_generation} to {generation} of {name}",
                        daemon_fleet::member_name(n)
                    );
                    self.regressions += 1;
                }
                *held_generation = generation;
                let highest = self.highest.entry(name.to_owned()).or_default();
                *highest = (*highest).max(generation);
            }
            views.insert(n, view);
        }
        views
    }

    /// Why the views of the running members have not converged; `None` if they have.
    fn convergence_problem(&mut self) -> Option<String> {
        let (running, views) = (self.fleet.running(), self.check_views());
        let mut first: Option<(BTreeMap<String, u64>, Value)> = None;
        for &n in &running {
            let Some(view) = views.get(&n) else {
                return Some(format!("{} does not answer", member_name(n)));
            };
            if view["standing"] != "in" || view["certain"] != true {
                return Some(format!(
                    "{} is {}, certain {}",
                    member_name(n),
                    view["standing"],
                    view["certain"]
                ));
            }
            let generations = daemon_fleet::live_generations(view);
            let expected: Vec<String> = {
                let mut names: Vec<String> = running.iter().map(|&n| member_name(n)).collect();
                names.sort_unstable();
                names
            };
            if generations.keys().ne(expected.iter()) {
                return Some(format!(
                    "the view of {} has {:?}",
                    member_name(n),
                    generations.keys().collect::<Vec<_>>()
                ));
            }
            match &first {
                None => first = Some((generations, view["hash"].clone())),
                Some((first_generations, hash))
                    if *first_generations != generations || *hash != view["hash"] =>
                {
                    return Some(format!(
                        "the view of {} has other generations",
                        member_name(n)
                    ));
                }
                Some(_) => {}
            }
        }
        // A restarted process that chose too low a generation learns so from the members that know the previous one.
        let not_above = self
            .previous
            .iter()
            .find(|(name, &old)| self.highest.get(*name).is_none_or(|&new| new <= old));
        not_above.map(|(name, old)| format!("the generation of {name} is not above {old}"))
    }

    fn bound(&self) -> Duration {
        // The documented bound in probe intervals: queries to dead members, a probe, the longest and the shortest
        // suspicion, dissemination and full exchanges; and all of it twice.
        let n = self.fleet.len();
        let log = ((n + 1) as f64).log10().max(1.0);
        let intervals = 30.0 + 4.0 + 30.0 * log + 5.0 * log + (4.0 * log).ceil() + 30.0;
        Duration::from_secs_f64(2.0 * BUSY_MACHINE_FACTOR * intervals * self.interval_ms / 1e3)
    }

    fn wait_for_convergence(&mut self, fault_name: &str) {
        let (began, bound) = (Instant::now(), self.bound());
        let mut problem = Some(String::new());
        while began.elapsed() < bound {
            problem = self.convergence_problem();
            if problem.is_none() {
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        let elapsed_ms = began.elapsed().as_millis() as u64;
        let exited = self.fleet.exited();
        if let Some(problem) = &problem {
            eprintln!(
                "{fault_name}: not converged in {elapsed_ms} ms: {problem}; exited: {exited:?}"
            );
            self.not_converged.push(format!("{fault_name}: {problem}"));
        } else {
            eprintln!("{fault_name}: converged in {elapsed_ms} ms");
            let _ = self.convergence_times.record((elapsed_ms * 1000).max(1));
        }
        for (name, previous) in std::mem::take(&mut self.previous) {
            let current = self.highest.get(&name).copied().unwrap_or(0);
            if current <= previous {
                eprintln!(
                    "{fault_name}: {name} restarted with generation {current}, although {previous} was remembered"
                );
                self.restarts_not_above += 1;
            }
        }
        self.fault_results
            .push(json!({"fault": fault_name, "ms": elapsed_ms, "settled": problem.is_none()}));
    }

    fn start(&mut self, indices: &[usize]) -> Result<(), String> {
        for &n in indices {
            self.last_seen.retain(|(holder, _), _| *holder != n);
            self.fleet.start(n)?;
        }
        Ok(())
    }

    /// Kills these members. Their generations are recorded first, as the remaining members remember them.
    fn kill(&mut self, indices: &[usize]) {
        self.check_views();
        for &n in indices {
            self.fleet.kill(n);
        }
    }

    /// Starts these members again, and records the generations that they have to exceed.
    fn restart(&mut self, indices: &[usize]) -> Result<(), String> {
        for &n in indices {
            let previous = self.highest.get(&member_name(n)).copied().unwrap_or(0);
            self.previous.insert(member_name(n), previous);
        }
        self.start(indices)
    }

    fn block_between(&self, group: &[usize], other_group: &[usize]) {
        for &member in group {
            for &other in other_group {
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
    }

    fn set_conditions_everywhere(&self, conditions: LinkConditions) {
        let all = 0..self.fleet.len();
        all.clone().for_each(|from| {
            all.clone()
                .for_each(|to| self.fleet.relays.set_conditions(from, to, conditions))
        });
    }

    fn inject(&mut self, fault: Fault, seeds: usize) -> Result<(), String> {
        let all: Vec<usize> = (0..self.fleet.len()).collect();
        // Longer than any suspicion lasts in a fleet of this size.
        let long_intervals = 30.0 * ((all.len() + 1) as f64).log10().max(1.0) + 20.0;
        let fault_name = format!("{fault:?}");
        match fault {
            Fault::JoinAll => self.start(&all)?,
            Fault::JoinOneByOne => {
                for &n in &all {
                    self.start(&[n])?;
                    self.sleep(3.0);
                }
            }
            Fault::KillOne | Fault::KillThird | Fault::KillSeeds => {
                let chosen = match fault {
                    Fault::KillOne => self.choose_members(&all, 1),
                    Fault::KillThird => self.choose_members(&all, all.len() / 3),
                    _ => all[..seeds].to_vec(),
                };
                eprintln!("{fault_name}: {chosen:?}");
                self.kill(&chosen);
                self.wait_for_convergence(&fault_name);
                self.restart(&chosen)?;
                return {
                    self.wait_for_convergence(&format!("{fault_name}, restarted"));
                    Ok(())
                };
            }
            Fault::ReplayOldDatagrams => {
                // Datagrams of the member's previous incarnation are sent again while the new one runs.
                let chosen = self.choose_members(&all, 1);
                let datagrams = self.fleet.relays.take_recorded(chosen[0]);
                self.kill(&chosen);
                self.restart(&chosen)?;
                self.wait_for_convergence(&format!("{fault_name}, restarted"));
                eprintln!(
                    "{fault_name}: {} datagrams of {:?}",
                    datagrams.len(),
                    chosen
                );
                for _ in 0..5 {
                    self.fleet.relays.send(datagrams.clone());
                    for _ in 0..10 {
                        self.check_views();
                        thread::sleep(Duration::from_millis(5));
                    }
                }
            }
            Fault::PauseShort | Fault::PauseLong => {
                let chosen = self.choose_members(&all, 1);
                eprintln!("{fault_name}: {chosen:?}");
                self.fleet.set_paused(chosen[0], true);
                self.sleep(if matches!(fault, Fault::PauseShort) {
                    5.0
                } else {
                    long_intervals
                });
                self.fleet.set_paused(chosen[0], false);
            }
            Fault::PartitionHalvesShort
            | Fault::PartitionHalvesLong
            | Fault::PartitionThirdsLong => {
                let groups = if matches!(fault, Fault::PartitionThirdsLong) {
                    3
                } else {
                    2
                };
                let shuffled = self.choose_members(&all, all.len());
                let groups: Vec<&[usize]> =
                    shuffled.chunks(shuffled.len().div_ceil(groups)).collect();
                eprintln!("{fault_name}: {groups:?}");
                for (n, group) in groups.iter().enumerate() {
                    groups[n + 1..]
                        .iter()
                        .for_each(|other_group| self.block_between(group, other_group));
                }
                self.sleep(if matches!(fault, Fault::PartitionHalvesShort) {
                    20.0
                } else {
                    long_intervals
                });
                self.fleet.relays.clear_conditions();
            }
            Fault::BlockOneWay => {
                for _ in 0..all.len() / 3 {
                    let pair = self.choose_members(&all, 2);
                    eprintln!("{fault_name}: {pair:?}");
                    self.fleet.relays.set_conditions(
                        pair[0],
                        pair[1],
                        LinkConditions {
                            blocked: true,
                            ..LinkConditions::default()
                        },
                    );
                }
                self.sleep(long_intervals);
                self.wait_for_convergence(&fault_name);
                self.fleet.relays.clear_conditions();
                return Ok(());
            }
            Fault::LoseDatagrams => {
                self.set_conditions_everywhere(LinkConditions {
                    loss: 0.2,
                    duplication: 0.1,
                    jitter_ms: 20.0,
                    ..LinkConditions::default()
                });
                self.sleep(long_intervals);
                self.fleet.relays.clear_conditions();
            }
            Fault::DelayOne => {
                let chosen = self.choose_members(&all, 1)[0];
                eprintln!("{fault_name}: {chosen}");
                let conditions = LinkConditions {
                    delay_ms: 0.8 * self.interval_ms,
                    ..LinkConditions::default()
                };
                for &n in &all {
                    self.fleet.relays.set_conditions(chosen, n, conditions);
                    self.fleet.relays.set_conditions(n, chosen, conditions);
                }
                self.sleep(long_intervals);
                self.fleet.relays.clear_conditions();
            }
            Fault::RestartAll => {
                self.kill(&all);
                // No member is left that remembers earlier generations.
                self.highest.clear();
                self.last_seen.clear();
                self.start(&all)?;
            }
        }
        self.wait_for_convergence(&fault_name);
        Ok(())
    }
}

/// Runs the proof and returns its figures.
pub fn prove(config: &Config) -> Result<Value, String> {
    let proof = &config.proof;
    let program = if proof.failpoint.is_some() {
        failpoint_program()?
    } else {
        program()
    };
    let seeds = 3.min(config.members);
    let fleet = DaemonFleet::new(&daemon_fleet::FleetConfig {
        members: config.members,
        seeds,
        interval_ms: config.interval_ms,
        program,
        failpoint: proof.failpoint.clone(),
        seed: proof.seed,
        gossip_enabled: true,
        ownership_replicas: 0,
        has_journal: false,
        records: None,
        run_duration_ms: (2, 8),
    })?;
    let mut harness = Harness {
        fleet,
        random: Pcg64Mcg::seed_from_u64(proof.seed),
        interval_ms: config.interval_ms,
        last_seen: BTreeMap::new(),
        highest: BTreeMap::new(),
        previous: BTreeMap::new(),
        regressions: 0,
        restarts_not_above: 0,
        not_converged: Vec::new(),
        convergence_times: histogram(),
        fault_results: Vec::new(),
    };
    let began = Instant::now();
    for round in 0..config.rounds {
        for fault in FAULT_SEQUENCE {
            let fault = match fault {
                Fault::JoinAll if round > 0 => continue,
                Fault::JoinAll if proof.seed % 2 == 0 => Fault::JoinOneByOne,
                fault => fault,
            };
            harness.inject(fault, seeds)?;
            // The proof has failed: further faults would show nothing more, and each would wait for its full bound.
            if harness.not_converged.len()
                + harness.regressions as usize
                + harness.restarts_not_above as usize
                > 0
            {
                break;
            }
        }
    }
    let seconds = began.elapsed().as_secs_f64();
    let views = harness.check_views();
    let sum = |field: &str| {
        views
            .values()
            .filter_map(|view| view["counts"][field].as_u64())
            .sum::<u64>()
    };
    let exited = harness.fleet.exited();
    for &n in &exited {
        eprintln!("{}:\n{}", member_name(n), harness.fleet.log(n).join("\n"));
    }
    let round = |value: f64| (value * 100.0).round() / 100.0;
    let passed = harness.not_converged.is_empty()
        && harness.regressions == 0
        && harness.restarts_not_above == 0
        && exited.is_empty();
    Ok(
        json!({"held": passed, "members": config.members, "interval_ms": config.interval_ms, "seconds": round(seconds),
        "settled_ms": quantiles(&harness.convergence_times), "bound_ms": harness.bound().as_millis() as u64,
        "unsettled": harness.not_converged, "went_back": harness.regressions, "not_above": harness.restarts_not_above, "ended": exited,
        "faults": harness.fault_results, "datagrams_a_second_a_member": round(harness.fleet.relays.forwarded_datagrams() as f64 / seconds / config.members as f64),
        "since_the_last_start": {"suspected": sum("suspected"), "refuted": sum("refuted"), "died": sum("died"),
            "exchanges": sum("exchanges"), "fallen": sum("fallen")}}),
    )
}
