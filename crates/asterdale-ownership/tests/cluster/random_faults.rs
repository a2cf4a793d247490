//! Combinations of random faults by seed: message loss, duplicates, delays, one-way partitions, pauses and restarts.

use std::collections::BTreeMap;

use asterdale_ownership::{Answer, Verdict};

use crate::network::{claim, complete, lookup, request, settings, Network, FIRST_OWNER};

const OWNERS: u64 = 4;
const KEYS: u64 = 12;
/// The outcome of a claim is submitted under the claim's number plus this offset.
const OUTCOME_OFFSET: u64 = 1_000_000;

/// A dependency that checks fencing tokens: it rejects a token lower than the highest one it has seen for the key.
#[derive(Default)]
struct Dependency {
    highest_fences: BTreeMap<Vec<u8>, u64>,
}

impl Dependency {
    fn accepts(&mut self, key: &[u8], fence: u64) -> bool {
        let highest = self.highest_fences.entry(key.to_vec()).or_default();
        if fence < *highest {
            return false;
        }
        *highest = fence;
        true
    }
}

/// A run with one seed: the requests of the owners, and the outcomes that were answered.
struct Run {
    seed: u64,
    net: Network,
    replicas: usize,
    dependency: Dependency,
    outcomes: BTreeMap<u64, Vec<u8>>,
    /// Keys claimed, by owner and number.
    claims: BTreeMap<(usize, u64), u64>,
    /// Keys and results of outcomes that are being recorded, by owner and number.
    completions: BTreeMap<(usize, u64), (u64, Vec<u8>)>,
    number: u64,
}

impl Run {
    fn new(seed: u64) -> Run {
        let replicas = 3 + 2 * (seed as usize % 2);
        let mut net = Network::new(seed, replicas, OWNERS as usize, settings());
        net.run_until("a leader", 30_000.0, |net| net.leader().is_some());
        net.run(2000.0);
        (net.loss_rate, net.duplicate_rate) = (0.05, 0.1);
        Run {
            seed,
            net,
            replicas,
            dependency: Dependency::default(),
            outcomes: BTreeMap::new(),
            claims: BTreeMap::new(),
            completions: BTreeMap::new(),
            number: 0,
        }
    }

    /// Injects a random fault or, in most cases, submits a claim.
    fn take_random_action(&mut self) {
        let net = &mut self.net;
        let owner = FIRST_OWNER + net.random_below(OWNERS) as usize;
        self.number += 1;
        match net.random_below(40) {
            // Rare, so that only a minority is without state at a time: the last one has already been replaced.
            0 if self.number % 200 == 0 => {
                let replica = net.random_below(self.replicas as u64) as usize;
                net.start_replica(replica);
            }
            1 => drop(net.paused.insert(owner)),
            2 => drop(net.paused.insert((owner - FIRST_OWNER) % self.replicas)),
            3 | 4 => net.paused.clear(),
            5 => {
                let replica = net.random_below(self.replicas as u64) as usize;
                let next = (replica + 1) % self.replicas;
                net.disconnected.extend([(replica, owner), (next, replica)]);
            }
            6 | 7 => net.disconnected.clear(),
            8 => self.restart_owner(owner),
            _ if !net.paused.contains(&owner) => {
                let key = net.random_below(KEYS);
                self.claims.insert((owner, self.number), key);
                net.submit(owner, self.number, claim(key, self.number));
            }
            _ => {}
        }
    }

    fn restart_owner(&mut self, owner: usize) {
        self.net.start_owner(owner);
        self.claims.retain(|(claimant, _), _| *claimant != owner);
        self.completions
            .retain(|(claimant, _), _| *claimant != owner);
    }

    fn handle_answers(&mut self) {
        for ((owner, number), answer) in std::mem::take(&mut self.net.answers) {
            if let Some(key) = self.claims.remove(&(owner, number)) {
                self.handle_claim(owner, number, key, answer);
            } else if let Some((key, result)) = self.completions.remove(&(owner, number)) {
                if answer.verdict() == Verdict::Recorded {
                    self.check_outcome(key, result);
                }
            }
        }
    }

    fn handle_claim(&mut self, owner: usize, number: u64, key: u64, answer: Answer) {
        let is_granted = answer.verdict() == Verdict::Granted;
        if is_granted && self.dependency.accepts(&request(key, 0).key, answer.number) {
            let result = format!("{owner} {number}").into_bytes();
            let outcome = complete(key, answer.number, Some(&result));
            let number = OUTCOME_OFFSET + number;
            self.completions.insert((owner, number), (key, result));
            self.net.submit(owner, number, outcome);
        } else if answer.verdict() == Verdict::Completed {
            self.check_outcome(key, answer.result);
        }
    }

    fn check_outcome(&mut self, key: u64, result: Vec<u8>) {
        let seed = self.seed;
        let known = self.outcomes.entry(key).or_insert_with(|| result.clone());
        assert_eq!(*known, result, "seed {seed}: two outcomes of key {key}");
    }

    /// Ends all faults and checks that every outcome that was answered to an owner is still known.
    fn check_all_outcomes_known(mut self) {
        self.net.paused.clear();
        self.net.disconnected.clear();
        (self.net.loss_rate, self.net.duplicate_rate) = (0.0, 0.0);
        self.net.run(20_000.0);
        for (key, result) in self.outcomes {
            self.number += 1;
            let known = self
                .net
                .submit_and_wait(FIRST_OWNER, self.number, lookup(key));
            assert_eq!(
                (known.verdict(), known.result),
                (Verdict::Completed, result),
                "seed {}: key {key}",
                self.seed
            );
        }
    }
}

#[test]
fn random_faults_leave_one_outcome_per_key() {
    for seed in 0..12 {
        let mut run = Run::new(seed);
        for _ in 0..400 {
            run.net.run(50.0);
            run.take_random_action();
            run.handle_answers();
        }
        run.check_all_outcomes_known();
    }
}
