//! Many processes keep a view of each other while some crash, stand still, are cut off, lose what they say or hear it
//! twice. Held if after the last of each kind of fault all who live hold the same, nobody dead is in it and nobody who
//! lives is missing, within the bound that the terms state; if no view ever went back to an older generation; and if
//! whoever started anew was above all earlier ones under its name that anybody remembered.

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

/// How often the views are asked for.
const LOOK: Duration = Duration::from_millis(50);
/// After a fault a busy machine may take so many times the bound that the terms state, which has a factor of two.
const BUSY: f64 = 1.5;

/// A kind of fault.
#[derive(Clone, Copy, Debug)]
enum Fault {
    JoinAll,
    JoinOneByOne,
    KillOne,
    KillThird,
    KillSeeds,
    StopShort,
    StopLong,
    HalvesShort,
    HalvesLong,
    ThirdsLong,
    OneWay,
    Loss,
    Slow,
    RestartAll,
    Late,
}

/// How it goes, in this order; what is drawn is who.
const SHORT: [Fault; 14] = [
    Fault::JoinAll,
    Fault::KillOne,
    Fault::Late,
    Fault::StopShort,
    Fault::HalvesShort,
    Fault::KillThird,
    Fault::StopLong,
    Fault::OneWay,
    Fault::HalvesLong,
    Fault::KillSeeds,
    Fault::Loss,
    Fault::ThirdsLong,
    Fault::Slow,
    Fault::RestartAll,
];

/// What is proven.
pub struct Config {
    /// Seed and failpoint.
    pub proof: ProofConfig,
    /// How many processes.
    pub members: usize,
    /// From one probe to the next, in milliseconds.
    pub interval_ms: f64,
    /// How often all kinds of faults come.
    pub rounds: u32,
}

struct Play {
    fleet: DaemonFleet,
    random: Pcg64Mcg,
    interval_ms: f64,
    /// The highest generation that each holder has held of each name, since it started.
    held: BTreeMap<(usize, String), u64>,
    /// The highest generation that each process was ever seen to have.
    highest: BTreeMap<String, u64>,
    /// A restart's generation has to be above this.
    above: BTreeMap<String, u64>,
    back: u64,
    low: u64,
    unsettled: Vec<String>,
    settled: hdrhistogram::Histogram<u64>,
    kinds: Vec<Value>,
}

impl Play {
    fn some(&mut self, of: &[usize], many: usize) -> Vec<usize> {
        let mut all = of.to_vec();
        for n in (1..all.len()).rev() {
            all.swap(n, (self.random.next_u64() % (n as u64 + 1)) as usize);
        }
        all.truncate(many);
        all
    }

    fn sleep(&self, intervals: f64) {
        thread::sleep(Duration::from_secs_f64(intervals * self.interval_ms / 1e3));
    }

    /// Looks at all views: what they hold, and whether that ever went back.
    fn look(&mut self) -> BTreeMap<usize, Value> {
        let mut all = BTreeMap::new();
        for n in self.fleet.running() {
            let Some(shown) = self.fleet.membership_view(n) else {
                continue;
            };
            let members = shown["members"]
                .as_array()
                .into_iter()
                .flatten()
                .chain([&shown["me"]]);
            for member in members {
                let (Some(name), Some(generation)) =
                    (member["name"].as_str(), member["generation"].as_u64())
                else {
                    continue;
                };
                let held = self.held.entry((n, name.to_owned())).or_default();
                if generation < *held {
                    eprintln!(
                        "{} goes back from {held} to {generation} of {name}",
                        daemon_fleet::member_name(n)
                    );
                    self.back += 1;
                }
                *held = generation;
                let highest = self.highest.entry(name.to_owned()).or_default();
                *highest = (*highest).max(generation);
            }
            all.insert(n, shown);
        }
        all
    }

    /// Why not all who live hold the same.
    fn unsettled(&mut self) -> Option<String> {
        let (live, all) = (self.fleet.running(), self.look());
        let mut first: Option<(BTreeMap<String, u64>, Value)> = None;
        for &n in &live {
            let Some(shown) = all.get(&n) else {
                return Some(format!("{} does not answer", member_name(n)));
            };
            if shown["standing"] != "in" || shown["certain"] != true {
                return Some(format!(
                    "{} is {}, certain {}",
                    member_name(n),
                    shown["standing"],
                    shown["certain"]
                ));
            }
            let there = daemon_fleet::live_generations(shown);
            let expected: Vec<String> = {
                let mut names: Vec<String> = live.iter().map(|&n| member_name(n)).collect();
                names.sort_unstable();
                names
            };
            if there.keys().ne(expected.iter()) {
                return Some(format!(
                    "{} holds {:?}",
                    member_name(n),
                    there.keys().collect::<Vec<_>>()
                ));
            }
            match &first {
                None => first = Some((there, shown["hash"].clone())),
                Some((held, hash)) if *held != there || *hash != shown["hash"] => {
                    return Some(format!("{} holds other generations", member_name(n)));
                }
                Some(_) => {}
            }
        }
        // Whoever took an earlier one's number has to hear so, and hears so from those who held that one.
        let low = self
            .above
            .iter()
            .find(|(name, &above)| self.highest.get(*name).is_none_or(|&is| is <= above));
        low.map(|(name, above)| format!("{name} is not above {above}"))
    }

    fn bound(&self) -> Duration {
        // The terms' own bound, written out: questions to the dead, a probe, the longest suspicion and the shortest,
        // news and exchanges, twice.
        let n = self.fleet.len();
        let log = ((n + 1) as f64).log10().max(1.0);
        let intervals = 30.0 + 4.0 + 30.0 * log + 5.0 * log + (4.0 * log).ceil() + 30.0;
        Duration::from_secs_f64(2.0 * BUSY * intervals * self.interval_ms / 1e3)
    }

    fn settle(&mut self, what: &str) {
        let (began, bound) = (Instant::now(), self.bound());
        let mut why = Some(String::new());
        while began.elapsed() < bound {
            why = self.unsettled();
            if why.is_none() {
                break;
            }
            thread::sleep(LOOK);
        }
        let ms = began.elapsed().as_millis() as u64;
        let ended = self.fleet.exited();
        if let Some(why) = &why {
            eprintln!("{what}: not settled in {ms} ms: {why}; ended: {ended:?}");
            self.unsettled.push(format!("{what}: {why}"));
        } else {
            eprintln!("{what}: settled in {ms} ms");
            let _ = self.settled.record((ms * 1000).max(1));
        }
        for (name, above) in std::mem::take(&mut self.above) {
            let is = self.highest.get(&name).copied().unwrap_or(0);
            if is <= above {
                eprintln!(
                    "{what}: {name} started anew with generation {is}, and {above} was remembered"
                );
                self.low += 1;
            }
        }
        self.kinds
            .push(json!({"fault": what, "ms": ms, "settled": why.is_none()}));
    }

    fn start(&mut self, who: &[usize]) -> Result<(), String> {
        for &n in who {
            self.held.retain(|(holder, _), _| *holder != n);
            self.fleet.start(n)?;
        }
        Ok(())
    }

    /// Kills them; those that remain remember their generations.
    fn kill(&mut self, who: &[usize]) {
        self.look();
        for &n in who {
            self.fleet.kill(n);
        }
    }

    /// Starts them anew, and notes what their generations have to be above.
    fn restart(&mut self, who: &[usize]) -> Result<(), String> {
        for &n in who {
            let was = self.highest.get(&member_name(n)).copied().unwrap_or(0);
            self.above.insert(member_name(n), was);
        }
        self.start(who)
    }

    fn part(&self, one: &[usize], other: &[usize]) {
        for &a in one {
            for &b in other {
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
    }

    fn everywhere(&self, way: LinkConditions) {
        let all = 0..self.fleet.len();
        all.clone().for_each(|a| {
            all.clone()
                .for_each(|b| self.fleet.relays.set_conditions(a, b, way))
        });
    }

    fn fault(&mut self, fault: Fault, seeds: usize) -> Result<(), String> {
        let all: Vec<usize> = (0..self.fleet.len()).collect();
        // Longer than any suspicion lasts in a fleet of this size.
        let long = 30.0 * ((all.len() + 1) as f64).log10().max(1.0) + 20.0;
        let what = format!("{fault:?}");
        match fault {
            Fault::JoinAll => self.start(&all)?,
            Fault::JoinOneByOne => {
                for &n in &all {
                    self.start(&[n])?;
                    self.sleep(3.0);
                }
            }
            Fault::KillOne | Fault::KillThird | Fault::KillSeeds => {
                let who = match fault {
                    Fault::KillOne => self.some(&all, 1),
                    Fault::KillThird => self.some(&all, all.len() / 3),
                    _ => all[..seeds].to_vec(),
                };
                eprintln!("{what}: {who:?}");
                self.kill(&who);
                self.settle(&what);
                self.restart(&who)?;
                return {
                    self.settle(&format!("{what}, started anew"));
                    Ok(())
                };
            }
            Fault::Late => {
                // What it said in its earlier life comes once more when it has a new one.
                let who = self.some(&all, 1);
                let said = self.fleet.relays.take_recorded(who[0]);
                self.kill(&who);
                self.restart(&who)?;
                self.settle(&format!("{what}, started anew"));
                eprintln!("{what}: {} datagrams of {:?}", said.len(), who);
                for _ in 0..5 {
                    self.fleet.relays.send(said.clone());
                    for _ in 0..10 {
                        self.look();
                        thread::sleep(Duration::from_millis(5));
                    }
                }
            }
            Fault::StopShort | Fault::StopLong => {
                let who = self.some(&all, 1);
                eprintln!("{what}: {who:?}");
                self.fleet.set_paused(who[0], true);
                self.sleep(if matches!(fault, Fault::StopShort) {
                    5.0
                } else {
                    long
                });
                self.fleet.set_paused(who[0], false);
            }
            Fault::HalvesShort | Fault::HalvesLong | Fault::ThirdsLong => {
                let parts = if matches!(fault, Fault::ThirdsLong) {
                    3
                } else {
                    2
                };
                let order = self.some(&all, all.len());
                let parts: Vec<&[usize]> = order.chunks(order.len().div_ceil(parts)).collect();
                eprintln!("{what}: {parts:?}");
                for (n, one) in parts.iter().enumerate() {
                    parts[n + 1..]
                        .iter()
                        .for_each(|other| self.part(one, other));
                }
                self.sleep(if matches!(fault, Fault::HalvesShort) {
                    20.0
                } else {
                    long
                });
                self.fleet.relays.clear_conditions();
            }
            Fault::OneWay => {
                for _ in 0..all.len() / 3 {
                    let two = self.some(&all, 2);
                    eprintln!("{what}: {two:?}");
                    self.fleet.relays.set_conditions(
                        two[0],
                        two[1],
                        LinkConditions {
                            blocked: true,
                            ..LinkConditions::default()
                        },
                    );
                }
                self.sleep(long);
                self.settle(&what);
                self.fleet.relays.clear_conditions();
                return Ok(());
            }
            Fault::Loss => {
                self.everywhere(LinkConditions {
                    loss: 0.2,
                    duplication: 0.1,
                    jitter_ms: 20.0,
                    ..LinkConditions::default()
                });
                self.sleep(long);
                self.fleet.relays.clear_conditions();
            }
            Fault::Slow => {
                let who = self.some(&all, 1)[0];
                eprintln!("{what}: {who}");
                let way = LinkConditions {
                    delay_ms: 0.8 * self.interval_ms,
                    ..LinkConditions::default()
                };
                for &n in &all {
                    self.fleet.relays.set_conditions(who, n, way);
                    self.fleet.relays.set_conditions(n, who, way);
                }
                self.sleep(long);
                self.fleet.relays.clear_conditions();
            }
            Fault::RestartAll => {
                self.kill(&all);
                // Nobody remembers.
                self.highest.clear();
                self.held.clear();
                self.start(&all)?;
            }
        }
        self.settle(&what);
        Ok(())
    }
}

/// Proves it; the figures.
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
    let mut play = Play {
        fleet,
        random: Pcg64Mcg::seed_from_u64(proof.seed),
        interval_ms: config.interval_ms,
        held: BTreeMap::new(),
        highest: BTreeMap::new(),
        above: BTreeMap::new(),
        back: 0,
        low: 0,
        unsettled: Vec::new(),
        settled: histogram(),
        kinds: Vec::new(),
    };
    let began = Instant::now();
    for round in 0..config.rounds {
        for fault in SHORT {
            let fault = match fault {
                Fault::JoinAll if round > 0 => continue,
                Fault::JoinAll if proof.seed % 2 == 0 => Fault::JoinOneByOne,
                fault => fault,
            };
            play.fault(fault, seeds)?;
            // What is wrong is wrong: the rest would tell no more, and take its bound each time.
            if play.unsettled.len() + play.back as usize + play.low as usize > 0 {
                break;
            }
        }
    }
    let seconds = began.elapsed().as_secs_f64();
    let all = play.look();
    let sum = |field: &str| {
        all.values()
            .filter_map(|shown| shown["counts"][field].as_u64())
            .sum::<u64>()
    };
    let ended = play.fleet.exited();
    for &n in &ended {
        eprintln!("{}:\n{}", member_name(n), play.fleet.log(n).join("\n"));
    }
    let round = |x: f64| (x * 100.0).round() / 100.0;
    let held = play.unsettled.is_empty() && play.back == 0 && play.low == 0 && ended.is_empty();
    Ok(
        json!({"held": held, "members": config.members, "interval_ms": config.interval_ms, "seconds": round(seconds),
        "settled_ms": quantiles(&play.settled), "bound_ms": play.bound().as_millis() as u64,
        "unsettled": play.unsettled, "went_back": play.back, "not_above": play.low, "ended": ended,
        "faults": play.kinds, "datagrams_a_second_a_member": round(play.fleet.relays.forwarded_datagrams() as f64 / seconds / config.members as f64),
        "since_the_last_start": {"suspected": sum("suspected"), "refuted": sum("refuted"), "died": sum("died"),
            "exchanges": sum("exchanges"), "fallen": sum("fallen")}}),
    )
}
