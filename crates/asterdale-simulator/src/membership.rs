//! Model of the fleet's membership: hundreds or thousands of the daemon's membership state machines on a simulated network.
//!
//! It measures how long the detection of a crash takes, how often live members are suspected or declared dead, what the
//! protocol costs, and how long the members take to agree again after a partition.

use std::ops::Range;

use asterdale_membership::Settings;
use rayon::prelude::*;
use serde::Serialize;

use self::network::{Network, NANOS_PER_MS};
use crate::Nanos;

mod network;
#[cfg(test)]
mod tests;

/// Fault that is injected once the members agree. The serialized names are the command's output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No fault: measures false suspicions.
    None,
    /// One member crashes.
    Crash,
    /// A tenth of the members pause repeatedly, for 0.5 to 2 seconds at a time.
    #[serde(rename = "stutter")]
    RepeatedPauses,
    /// The network is partitioned into two halves for longer than any suspicion lasts.
    #[serde(rename = "halves")]
    Partition,
}

/// One scenario to simulate.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of members.
    pub members: usize,
    /// The fault.
    pub fault: Fault,
    /// Observed time in seconds, from when the members agree. A partition has a duration of its own.
    pub seconds: f64,
    /// Probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// SWIM without Lifeguard's suspicion timeout: a suspicion lasts the minimum time from the start.
    pub is_plain_swim: bool,
}

/// Measurements of one simulation. The serialized names are the command's output format.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of members.
    pub members: usize,
    /// The fault.
    pub fault: Fault,
    /// Observed time in seconds.
    pub seconds: f64,
    /// From the crash to the first member that declares the crashed one dead, in milliseconds.
    #[serde(rename = "first_ms")]
    pub first_detection_ms: Option<f64>,
    /// From the crash until all members have declared the crashed one dead, in milliseconds.
    #[serde(rename = "all_ms")]
    pub full_detection_ms: Option<f64>,
    /// Declarations of death of live members, each counted once, at the member that made it.
    pub false_deaths: u64,
    /// Suspicions of live members, each counted once, at the member that raised it.
    pub false_suspicions: u64,
    /// Datagrams that a member sends per second.
    #[serde(rename = "datagrams_a_second")]
    pub datagrams_per_s: f64,
    /// Bytes that a member sends per second, in datagrams and in state exchanges.
    #[serde(rename = "bytes_a_second")]
    pub bytes_per_s: f64,
    /// From the end of the fault until all members agree, in milliseconds; `None` if that takes more than the bound.
    #[serde(rename = "settled_ms")]
    pub convergence_ms: Option<f64>,
    /// The convergence bound that the settings promise, in milliseconds.
    #[serde(rename = "bound_ms")]
    pub convergence_bound_ms: f64,
}

/// Quiet time between the first agreement and the fault, in milliseconds: the gossip about the start ends within it.
const WARM_UP_MS: f64 = 30.0 * 1e3;
/// Time between two rounds of pauses, in nanoseconds.
const PAUSE_ROUND: Nanos = 4_000_000_000;
/// Duration of a partition, as a factor of the longest suspicion and the shortest one together.
const PARTITION_FACTOR: f64 = 1.5;

/// Simulates the scenario once. The same scenario and seed give the same report.
pub fn simulate(scenario: &Scenario, seed: u64) -> Report {
    let mut network = Network::new(scenario, seed);
    let bound_ms = network.settings.convergence_bound_ms(scenario.members);
    network.run_until_agreement(bound_ms);
    network.run(network.now + (WARM_UP_MS * NANOS_PER_MS) as Nanos);
    network.loss = scenario.loss;
    network.reset_counters();
    let started_at = network.now;
    let end = started_at + (scenario.seconds * 1e9) as Nanos;
    match scenario.fault {
        Fault::None => network.run(end),
        Fault::Crash => {
            network.crash_random_member();
            network.run(end);
        }
        Fault::RepeatedPauses => pause_repeatedly(&mut network, end),
        Fault::Partition => partition(&mut network),
    }
    let convergence_ms = match scenario.fault {
        Fault::None => None,
        _ => network.run_until_agreement(bound_ms),
    };
    report(scenario, &network, started_at, convergence_ms)
}

/// Simulates the scenario with each seed, in parallel.
pub fn simulate_all(scenario: &Scenario, seeds: Range<u64>) -> Vec<Report> {
    seeds
        .into_par_iter()
        .map(|seed| simulate(scenario, seed))
        .collect()
}

fn pause_repeatedly(network: &mut Network, end: Nanos) {
    let affected = (network.members() / 10).max(1);
    while network.now < end {
        for _ in 0..affected {
            network.pause_random_member(affected);
        }
        network.run(network.now + PAUSE_ROUND);
    }
}

fn partition(network: &mut Network) {
    let members = network.members();
    let suspicions_ms =
        network.settings.max_suspicion_ms(members) + network.settings.min_suspicion_ms(members);
    network.is_partitioned = true;
    network.run(network.now + (PARTITION_FACTOR * suspicions_ms * NANOS_PER_MS) as Nanos);
    network.is_partitioned = false;
    // Convergence after a partition is measured without datagram loss.
    network.loss = 0.0;
}

fn report(
    scenario: &Scenario,
    network: &Network,
    started_at: Nanos,
    convergence_ms: Option<f64>,
) -> Report {
    let seconds = (network.now - started_at) as f64 / 1e9;
    let since_start = |time_ms: f64| time_ms - started_at as f64 / NANOS_PER_MS;
    let members = scenario.members as f64;
    let last_detection_ms = network.last_detection_ms().map(since_start);
    Report {
        members: scenario.members,
        fault: scenario.fault,
        seconds,
        first_detection_ms: network.first_detection_ms().map(since_start),
        full_detection_ms: last_detection_ms.filter(|_| network.has_full_detection()),
        false_deaths: network.false_deaths,
        false_suspicions: network.false_suspicions,
        datagrams_per_s: network.datagrams_sent as f64 / seconds / members,
        bytes_per_s: network.bytes_sent as f64 / seconds / members,
        convergence_ms,
        convergence_bound_ms: network.settings.convergence_bound_ms(scenario.members),
    }
}

/// Published bounds of SWIM and Lifeguard for the detection of a crashed member, in milliseconds.
pub struct PublishedBounds {
    /// First detection if other members confirm the suspicion at once.
    pub earliest_detection_ms: f64,
    /// First detection if nobody confirms the suspicion.
    pub latest_detection_ms: f64,
    /// From the first detection until gossip has informed all members.
    pub dissemination_ms: f64,
}

/// The published bounds for this many members under the default settings.
pub fn published_bounds(members: usize) -> PublishedBounds {
    let settings = Settings::default();
    let e = std::f64::consts::E;
    // A crashed member is probed after e/(e-1) intervals on average, and the probe fails at the end of its interval.
    let probed_ms = settings.probe_interval_ms * (e / (e - 1.0) + 1.0);
    PublishedBounds {
        earliest_detection_ms: probed_ms + settings.min_suspicion_ms(members),
        latest_detection_ms: probed_ms + settings.max_suspicion_ms(members),
        dissemination_ms: settings.probe_interval_ms * f64::from(settings.retransmissions(members)),
    }
}
