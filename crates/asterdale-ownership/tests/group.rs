//! Several keepers and owners together, each case of failure by itself, and many at once by chance.

mod net;

use std::collections::BTreeMap;

use asterdale_ownership::{OwnershipEvent, OwnershipRequest, Verdict};
use net::{terms, work, Net};

fn formed(keepers: usize, owners: usize) -> Net {
    let mut net = Net::new(1, keepers, owners, terms());
    let all: Vec<usize> = (0..owners).map(|n| 100 + n).collect();
    net.until("leases", 20_000.0, |net| {
        all.iter().all(|owner| net.has_epoch(*owner))
    });
    net.run(1000.0);
    net
}

#[test]
fn keepers_form_a_group_and_a_claim_outlives_the_one_that_led() {
    let mut net = formed(3, 2);
    let fence = net.ask(100, 1, OwnershipRequest::Claim(work(7, 1)));
    assert_eq!(fence.verdict(), Verdict::Granted);
    let leader = net.leader().unwrap();
    net.keepers.remove(&leader);
    assert_eq!(
        net.ask(101, 1, OwnershipRequest::Claim(work(7, 2)))
            .verdict(),
        Verdict::InProgress
    );
    let end = OwnershipRequest::Complete(work(7, 1).key, fence.number, Some(b"sold".to_vec()));
    assert_eq!(net.ask(100, 2, end).verdict(), Verdict::Recorded);
    let known = net.ask(101, 2, OwnershipRequest::Lookup(work(7, 1).key, 0));
    assert_eq!(
        (known.verdict(), &known.result[..]),
        (Verdict::Completed, &b"sold"[..])
    );
}

#[test]
fn one_that_comes_back_empty_learns_all_and_takes_the_place_of_the_one_it_was() {
    let mut net = formed(3, 1);
    let claim = net.ask(100, 1, OwnershipRequest::Claim(work(7, 1)));
    let gone = net.leader().unwrap();
    net.start_keeper(gone); // its process is another one, which remembers nothing
    net.until("its place", 60_000.0, |net| {
        net.told
            .iter()
            .any(|(_, told)| *told == OwnershipEvent::ReplicaReplaced(format!("k{gone}")))
    });
    net.run(3000.0);
    assert_eq!(
        net.keepers[&gone]
            .status()
            .requests_by_state
            .iter()
            .sum::<usize>(),
        1,
        "it has the book"
    );
    // Now the two others go: with the one that came back there is a majority only if it counts as one of three.
    let others: Vec<usize> = (0..3).filter(|n| *n != gone).collect();
    net.keepers.remove(&others[0]);
    let end = OwnershipRequest::Complete(work(7, 1).key, claim.number, None);
    assert_eq!(net.ask(100, 2, end).verdict(), Verdict::Recorded);
    net.keepers.remove(&others[1]);
    net.want(100, 3, OwnershipRequest::Claim(work(8, 3)));
    net.run(10_000.0);
    assert_eq!(net.verdict(100, 3), None, "one of three decides nothing");
}

#[test]
fn where_most_came_back_empty_a_new_group_claims_nothing_before_windows_have_passed() {
    let mut net = formed(3, 1);
    let claim = net.ask(100, 1, OwnershipRequest::Claim(work(7, 1)));
    assert_eq!(claim.verdict(), Verdict::Granted);
    let survivor = 1;
    net.start_keeper(0);
    net.start_keeper(2);
    net.until("its end", 60_000.0, |net| {
        net.told
            .iter()
            .any(|(n, told)| *n == survivor && matches!(told, OwnershipEvent::GroupAbandoned(_)))
    });
    net.until("another", 20_000.0, |net| net.leader().is_some());
    net.until("a lease", 20_000.0, |net| net.has_epoch(100));
    let number = net.keepers[&net.leader().unwrap()].status().group;
    let early = net.ask(100, 2, OwnershipRequest::Claim(work(7, 2)));
    let late = if early.verdict() == Verdict::Granted {
        early
    } else {
        assert_eq!(early.verdict(), Verdict::RetryLater);
        net.run(1500.0);
        net.ask(100, 3, OwnershipRequest::Claim(work(7, 3)))
    };
    assert_eq!(late.verdict(), Verdict::Granted);
    assert!(
        late.number > claim.number && number > 1000,
        "its fences are above all of the lost one's"
    );
}

#[test]
fn an_owner_that_is_cut_off_stops_before_its_work_is_anybody_elses() {
    let mut net = formed(3, 2);
    assert_eq!(
        net.ask(100, 1, OwnershipRequest::Claim(work(7, 1)))
            .verdict(),
        Verdict::Granted
    );
    net.owners.get_mut(&101).unwrap().set_capacity(4);
    net.cut.extend((0..3).map(|k| (k, 100)));
    let stopped = net.until("its own stop", 5000.0, |net| !net.has_epoch(100));
    let offered = net.until("the offer", 9000.0, |net| !net.offered.is_empty());
    assert!(
        stopped <= 2000.0 && offered >= 300.0,
        "stopped after {stopped}, offered {offered} later"
    );
    assert_eq!(net.offered[0].0, 101);
    let taken = net.ask(101, 1, OwnershipRequest::Claim(work(7, 9)));
    assert_eq!(taken.verdict(), Verdict::Granted);
    net.cut.clear();
    net.until("a new epoch", 9000.0, |net| net.has_epoch(100));
    let end = OwnershipRequest::Complete(work(7, 1).key, taken.number - 1, Some(b"late".to_vec()));
    assert_eq!(net.ask(100, 2, end).verdict(), Verdict::Fenced);
}

#[test]
fn a_claim_that_is_kept_when_nobody_waits_for_it_any_more_is_dropped() {
    let mut net = formed(3, 2);
    net.want(100, 1, OwnershipRequest::Claim(work(7, 1)));
    net.owners.get_mut(&100).unwrap().stop_waiting(1);
    net.run(2000.0);
    assert_eq!(net.verdict(100, 1), None);
    assert_eq!(
        net.ask(101, 1, OwnershipRequest::Claim(work(7, 2)))
            .verdict(),
        Verdict::Granted
    );
}

/// What a side that has effects does: a fence below the highest it has seen of the key is refused, and a key has its
/// effect once.
#[derive(Default)]
struct Effects(BTreeMap<Vec<u8>, (u64, u32)>);

impl Effects {
    fn call(&mut self, key: &[u8], fence: u64) -> bool {
        let (highest, done) = self.0.entry(key.to_vec()).or_default();
        if fence < *highest {
            return false;
        }
        (*highest, *done) = (fence, 1.max(*done));
        true
    }
}

#[test]
fn whatever_happens_a_key_has_one_outcome_and_books_agree() {
    for seed in 0..12 {
        let mut net = Net::new(seed, 3 + 2 * (seed as usize % 2), 4, terms());
        let keepers = net.keepers.len();
        net.until("a leader", 30_000.0, |net| net.leader().is_some());
        net.run(2000.0);
        (net.loss, net.doubled) = (0.05, 0.1);
        let mut effects = Effects::default();
        let mut outcomes: BTreeMap<u64, Vec<u8>> = BTreeMap::new();
        // By owner and number: what was wanted of which key.
        let mut claims: BTreeMap<(usize, u64), u64> = BTreeMap::new();
        let mut ends: BTreeMap<(usize, u64), (u64, Vec<u8>)> = BTreeMap::new();
        let mut number = 0;
        for _ in 0..400 {
            net.run(50.0);
            let owner = 100 + net.chance(4) as usize;
            number += 1;
            match net.chance(40) {
                // At most a minority is without memory at a time: the one before has long been replaced.
                0 if number % 200 == 0 => {
                    let n = net.chance(keepers as u64) as usize;
                    net.start_keeper(n);
                }
                1 => drop(net.stopped.insert(owner)),
                2 => drop(net.stopped.insert((owner - 100) % keepers)),
                3 | 4 => net.stopped.clear(),
                5 => {
                    let keeper = net.chance(keepers as u64) as usize;
                    net.cut
                        .extend([(keeper, owner), ((keeper + 1) % keepers, keeper)]);
                }
                6 | 7 => net.cut.clear(),
                8 => {
                    net.start_owner(owner);
                    claims.retain(|(of, _), _| *of != owner);
                    ends.retain(|(of, _), _| *of != owner);
                }
                _ if !net.stopped.contains(&owner) => {
                    let key = net.chance(12);
                    claims.insert((owner, number), key);
                    net.want(owner, number, OwnershipRequest::Claim(work(key, number)));
                }
                _ => {}
            }
            let heard: Vec<_> = std::mem::take(&mut net.heard).into_iter().collect();
            for ((owner, number), answer) in heard {
                if let Some(key) = claims.remove(&(owner, number)) {
                    if answer.verdict() == Verdict::Granted
                        && effects.call(&work(key, 0).key, answer.number)
                    {
                        let result = format!("{owner} {number}").into_bytes();
                        let end = OwnershipRequest::Complete(
                            work(key, 0).key,
                            answer.number,
                            Some(result.clone()),
                        );
                        ends.insert((owner, 1_000_000 + number), (key, result));
                        net.want(owner, 1_000_000 + number, end);
                    } else if answer.verdict() == Verdict::Completed {
                        let known = outcomes.entry(key).or_insert_with(|| answer.result.clone());
                        assert_eq!(
                            *known, answer.result,
                            "seed {seed}: another result of {key}"
                        );
                    }
                } else if let Some((key, result)) = ends.remove(&(owner, number)) {
                    if answer.verdict() == Verdict::Recorded {
                        let known = outcomes.entry(key).or_insert_with(|| result.clone());
                        assert_eq!(*known, result, "seed {seed}: two outcomes of {key}");
                    }
                }
            }
        }
        // All is well again: every key can be told.
        net.stopped.clear();
        net.cut.clear();
        (net.loss, net.doubled) = (0.0, 0.0);
        net.run(20_000.0);
        for (key, result) in outcomes {
            number += 1;
            let known = net.ask(100, number, OwnershipRequest::Lookup(work(key, 0).key, 0));
            assert_eq!(
                (known.verdict(), known.result),
                (Verdict::Completed, result),
                "seed {seed}: {key}"
            );
        }
    }
}

/// Keepers with disks that have formed a group, and owners with leases.
fn lasting(keepers: usize, owners: usize) -> Net {
    let mut net = Net::new(3, 0, owners, terms());
    net.lasts = true;
    net.name_keepers(keepers);
    (0..keepers).for_each(|n| net.start_keeper(n));
    let all: Vec<usize> = (0..owners).map(|n| 100 + n).collect();
    net.until("leases", 20_000.0, |net| {
        all.iter().all(|owner| net.has_epoch(*owner))
    });
    net.run(1000.0);
    net
}

#[test]
fn keepers_with_disks_may_all_be_killed_at_once_and_know_what_they_kept() {
    let mut net = lasting(3, 2);
    let claim = net.ask(100, 1, OwnershipRequest::Claim(work(7, 1)));
    let end = OwnershipRequest::Complete(work(7, 1).key, claim.number, Some(b"sold".to_vec()));
    assert_eq!(net.ask(100, 2, end).verdict(), Verdict::Recorded);
    assert_eq!(
        net.ask(100, 3, OwnershipRequest::Claim(work(8, 3)))
            .verdict(),
        Verdict::Granted
    );
    let formed = net
        .told
        .iter()
        .filter(|(_, told)| matches!(told, OwnershipEvent::GroupFormed(..)))
        .count();
    // One claim's letter is on its way as they die; its owner dies with them.
    net.want(101, 1, OwnershipRequest::Claim(work(9, 9)));
    (0..3).for_each(|n| net.start_keeper(n));
    net.owners.remove(&100);
    net.until("a leader", 60_000.0, |net| net.leader().is_some());
    let known = net.ask(101, 2, OwnershipRequest::Lookup(work(7, 1).key, 0));
    assert_eq!(
        (known.verdict(), &known.result[..]),
        (Verdict::Completed, &b"sold"[..])
    );
    // What the dead owner had started is orphaned once its lease is over, and is another's by a higher fence.
    net.run(6000.0);
    assert_eq!(
        net.ask(101, 3, OwnershipRequest::Claim(work(8, 5)))
            .verdict(),
        Verdict::Granted
    );
    let again = net
        .told
        .iter()
        .filter(|(_, told)| matches!(told, OwnershipEvent::GroupFormed(..)))
        .count();
    assert_eq!((formed, again), (1, 1), "the same group goes on");
    assert_eq!(
        net.told
            .iter()
            .filter(|(_, told)| matches!(told, OwnershipEvent::RestoredFromDisk(_)))
            .count(),
        3
    );
}

#[test]
fn a_keeper_whose_disk_fails_says_nothing_that_rests_on_it_and_the_others_go_on() {
    let mut net = lasting(3, 1);
    let leader = net.leader().unwrap();
    net.full.insert(leader);
    net.want(100, 1, OwnershipRequest::Claim(work(7, 1)));
    net.until("a verdict", 60_000.0, |net| net.verdict(100, 1).is_some());
    assert_eq!(net.verdict(100, 1), Some(Verdict::Granted));
    assert!(!net.keepers.contains_key(&leader) && net.leader().is_some_and(|n| n != leader));
    // With its disk mended it is the one that it was, and learns the rest.
    net.full.clear();
    net.start_keeper(leader);
    net.run(5000.0);
    let most = net
        .keepers
        .values()
        .filter_map(|keeper| Some(keeper.raft_node()?.applied_index()))
        .max();
    assert_eq!(
        net.keepers[&leader]
            .raft_node()
            .map(|group| group.applied_index()),
        most
    );
}

#[test]
fn a_disk_that_lacks_what_was_said_to_be_there_makes_another_keeper() {
    let mut net = lasting(3, 1);
    for n in 0..20 {
        assert_eq!(
            net.ask(100, n, OwnershipRequest::Claim(work(n, n)))
                .verdict(),
            Verdict::Granted
        );
    }
    let gone = (0..3).find(|n| Some(*n) != net.leader()).unwrap();
    let node = net.keepers[&gone].raft_node().map(|group| group.node);
    // The middle of its log is lost.
    let disk = net.disks.get_mut(&gone).unwrap();
    let at = disk.entries.len() / 2;
    assert!(at > 2);
    disk.entries.remove(at);
    net.start_keeper(gone);
    assert!(
        net.keepers[&gone].raft_node().is_none(),
        "it does not speak as the one that it was"
    );
    net.until("its place", 90_000.0, |net| {
        net.told
            .iter()
            .any(|(_, told)| *told == OwnershipEvent::ReplicaReplaced(format!("k{gone}")))
    });
    net.run(3000.0);
    assert_ne!(net.keepers[&gone].raft_node().map(|group| group.node), node);
}

#[test]
fn by_chance_keepers_with_disks_are_killed_again_and_again_and_lose_nothing() {
    for seed in 0..6 {
        let mut net = Net::new(seed, 0, 3, terms());
        net.lasts = true;
        net.name_keepers(3);
        (0..3).for_each(|n| net.start_keeper(n));
        net.until("leases", 20_000.0, |net| {
            (100..103).all(|owner| net.has_epoch(owner))
        });
        net.run(1000.0);
        (net.loss, net.doubled) = (0.05, 0.05);
        let mut ended = BTreeMap::new();
        for n in 0..60u64 {
            let owner = 100 + net.chance(3) as usize;
            let key = 1000 + n;
            if net
                .ask(owner, 10 * n + 1, OwnershipRequest::Claim(work(key, n)))
                .verdict()
                != Verdict::Granted
            {
                continue;
            }
            let fence = net.heard[&(owner, 10 * n + 1)].number;
            net.want(
                owner,
                10 * n + 2,
                OwnershipRequest::Complete(work(key, n).key, fence, Some(vec![n as u8])),
            );
            // Before, while or after that is agreed: one is killed, or all are.
            let (wait, which) = (net.chance(60) as f64, net.chance(5) as usize);
            net.run(wait);
            match which {
                0..=2 => net.start_keeper(which),
                3 => (0..3).for_each(|n| net.start_keeper(n)),
                _ => {}
            }
            net.until("a verdict", 60_000.0, |net| {
                net.verdict(owner, 10 * n + 2).is_some()
            });
            if net.verdict(owner, 10 * n + 2) == Some(Verdict::Recorded) {
                ended.insert(key, n as u8);
            }
        }
        (net.loss, net.doubled) = (0.0, 0.0);
        assert!(ended.len() > 30, "seed {seed}: {} ended", ended.len());
        for (at, (key, result)) in ended.into_iter().enumerate() {
            let known = net.ask(
                100,
                10_000 + at as u64,
                OwnershipRequest::Lookup(work(key, 0).key, 0),
            );
            assert_eq!(
                (known.verdict(), known.result),
                (Verdict::Completed, vec![result]),
                "seed {seed}"
            );
        }
        let formed = net
            .told
            .iter()
            .filter(|(_, told)| matches!(told, OwnershipEvent::GroupFormed(..)))
            .count();
        assert_eq!(formed, 1, "seed {seed}: the group was never given up");
    }
}
