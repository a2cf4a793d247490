//! Replicas with durable storage: crashes of one or all, failing and incomplete disks.

use std::collections::BTreeMap;

use asterdale_ownership::{OwnershipEvent, Verdict};

use crate::network::{claim, complete, lookup, settings, Network, FIRST_OWNER};

/// A group of replicas with durable storage, and owners with leases.
fn durable_network(seed: u64, replicas: usize, owners: usize) -> Network {
    let mut net = Network::new(seed, 0, owners, settings());
    net.durable = true;
    net.configure_replicas(replicas);
    (0..replicas).for_each(|n| net.start_replica(n));
    net.run_until_leases(owners);
    net
}

fn count_formed_groups(net: &Network) -> usize {
    net.count_events(|event| matches!(event, OwnershipEvent::GroupFormed(..)))
}

#[test]
fn durable_replicas_survive_a_crash_of_all() {
    let mut net = durable_network(3, 3, 2);
    let granted = net.submit_and_wait(100, 1, claim(7, 1));
    let outcome = complete(7, granted.number, Some(b"sold"));
    assert_eq!(
        net.submit_and_wait(100, 2, outcome).verdict(),
        Verdict::Recorded
    );
    assert_eq!(
        net.submit_and_wait(100, 3, claim(8, 3)).verdict(),
        Verdict::Granted
    );
    let groups_before = count_formed_groups(&net);
    // A claim is in flight when all replicas and the other owner crash.
    net.submit(101, 1, claim(9, 9));
    (0..3).for_each(|n| net.start_replica(n));
    net.owners.remove(&100);
    net.run_until("a leader", 60_000.0, |net| net.leader().is_some());
    let known = net.submit_and_wait(101, 2, lookup(7));
    assert_eq!(
        (known.verdict(), &known.result[..]),
        (Verdict::Completed, &b"sold"[..])
    );
    // The crashed owner's request becomes ownerless once its lease has expired.
    net.run(6000.0);
    assert_eq!(
        net.submit_and_wait(101, 3, claim(8, 5)).verdict(),
        Verdict::Granted
    );
    assert_eq!(
        (groups_before, count_formed_groups(&net)),
        (1, 1),
        "the same group continues"
    );
    let restored = net.count_events(|event| matches!(event, OwnershipEvent::RestoredFromDisk(_)));
    assert_eq!(restored, 3);
}

#[test]
fn group_continues_without_a_replica_whose_disk_fails() {
    let mut net = durable_network(3, 3, 1);
    let leader = net.leader().unwrap();
    net.failing_disks.insert(leader);
    net.submit(100, 1, claim(7, 1));
    net.run_until("an answer", 60_000.0, |net| net.verdict(100, 1).is_some());
    assert_eq!(net.verdict(100, 1), Some(Verdict::Granted));
    assert!(!net.replicas.contains_key(&leader) && net.leader().is_some_and(|n| n != leader));
    // With a working disk the replica restarts as the same member and catches up.
    net.failing_disks.clear();
    net.start_replica(leader);
    net.run(5000.0);
    let nodes = net
        .replicas
        .values()
        .filter_map(|replica| replica.raft_node());
    let max_applied = nodes.map(|node| node.applied_index()).max();
    let applied = net.replicas[&leader].raft_node();
    assert_eq!(applied.map(|node| node.applied_index()), max_applied);
}

#[test]
fn replica_with_an_incomplete_log_joins_as_another_member() {
    let mut net = durable_network(3, 3, 1);
    for n in 0..20 {
        assert_eq!(
            net.submit_and_wait(100, n, claim(n, n)).verdict(),
            Verdict::Granted
        );
    }
    let damaged = (0..3).find(|n| Some(*n) != net.leader()).unwrap();
    let node = net.replicas[&damaged].raft_node().map(|node| node.node);
    let disk = net.disks.get_mut(&damaged).unwrap();
    let middle = disk.entries.len() / 2;
    assert!(middle > 2);
    disk.entries.remove(middle);
    net.start_replica(damaged);
    assert!(
        net.replicas[&damaged].raft_node().is_none(),
        "it does not continue as its former member"
    );
    let replaced = OwnershipEvent::ReplicaReplaced(format!("k{damaged}"));
    net.run_until("the replacement", 90_000.0, |net| {
        net.events.iter().any(|(_, event)| *event == replaced)
    });
    net.run(3000.0);
    assert_ne!(
        net.replicas[&damaged].raft_node().map(|node| node.node),
        node
    );
}

/// Claims one key after another, and crashes one replica, all or none before, while or after each outcome is recorded.
/// Returns the recorded results by key.
fn record_outcomes_under_crashes(net: &mut Network) -> BTreeMap<u64, u8> {
    let mut recorded = BTreeMap::new();
    for n in 0..60u64 {
        let owner = FIRST_OWNER + net.random_below(3) as usize;
        let key = 1000 + n;
        let granted = net.submit_and_wait(owner, 10 * n + 1, claim(key, n));
        if granted.verdict() != Verdict::Granted {
            continue;
        }
        let outcome_number = 10 * n + 2;
        let outcome = complete(key, granted.number, Some(&[n as u8]));
        net.submit(owner, outcome_number, outcome);
        let (wait_ms, crash) = (net.random_below(60) as f64, net.random_below(5) as usize);
        net.run(wait_ms);
        match crash {
            0..=2 => net.start_replica(crash),
            3 => (0..3).for_each(|replica| net.start_replica(replica)),
            _ => {}
        }
        net.run_until("an answer", 60_000.0, |net| {
            net.verdict(owner, outcome_number).is_some()
        });
        if net.verdict(owner, outcome_number) == Some(Verdict::Recorded) {
            recorded.insert(key, n as u8);
        }
    }
    recorded
}

#[test]
fn random_crashes_of_durable_replicas_lose_no_outcome() {
    for seed in 0..6 {
        let mut net = durable_network(seed, 3, 3);
        (net.loss_rate, net.duplicate_rate) = (0.05, 0.05);
        let recorded = record_outcomes_under_crashes(&mut net);
        (net.loss_rate, net.duplicate_rate) = (0.0, 0.0);
        assert!(
            recorded.len() > 30,
            "seed {seed}: {} recorded",
            recorded.len()
        );
        for (number, (key, result)) in (10_000..).zip(recorded) {
            let known = net.submit_and_wait(FIRST_OWNER, number, lookup(key));
            assert_eq!(
                (known.verdict(), known.result),
                (Verdict::Completed, vec![result]),
                "seed {seed}"
            );
        }
        let formed = count_formed_groups(&net);
        assert_eq!(formed, 1, "seed {seed}: the group was never abandoned");
    }
}
