//! Single failures, in groups of replicas without durable storage.

use asterdale_ownership::{OwnershipEvent, Verdict};

use crate::network::{claim, complete, lookup, settings, Network};

fn network_with_leases(replicas: usize, owners: usize) -> Network {
    let mut net = Network::new(1, replicas, owners, settings());
    net.run_until_leases(owners);
    net
}

#[test]
fn claim_survives_the_loss_of_the_leader() {
    let mut net = network_with_leases(3, 2);
    let granted = net.submit_and_wait(100, 1, claim(7, 1));
    assert_eq!(granted.verdict(), Verdict::Granted);
    let leader = net.leader().unwrap();
    net.replicas.remove(&leader);
    assert_eq!(
        net.submit_and_wait(101, 1, claim(7, 2)).verdict(),
        Verdict::InProgress
    );
    let outcome = complete(7, granted.number, Some(b"sold"));
    assert_eq!(
        net.submit_and_wait(100, 2, outcome).verdict(),
        Verdict::Recorded
    );
    let known = net.submit_and_wait(101, 2, lookup(7));
    assert_eq!(
        (known.verdict(), &known.result[..]),
        (Verdict::Completed, &b"sold"[..])
    );
}

#[test]
fn replica_without_state_replaces_its_predecessor() {
    let mut net = network_with_leases(3, 1);
    let granted = net.submit_and_wait(100, 1, claim(7, 1));
    let restarted = net.leader().unwrap();
    net.start_replica(restarted);
    let replaced = OwnershipEvent::ReplicaReplaced(format!("k{restarted}"));
    net.run_until("the replacement", 60_000.0, |net| {
        net.events.iter().any(|(_, event)| *event == replaced)
    });
    net.run(3000.0);
    let status = net.replicas[&restarted].status();
    assert_eq!(
        status.requests_by_state.iter().sum::<usize>(),
        1,
        "the table was transferred"
    );
    // With one of the others removed, there is a majority only if the restarted replica is one of three voters.
    let others: Vec<usize> = (0..3).filter(|n| *n != restarted).collect();
    net.replicas.remove(&others[0]);
    let outcome = complete(7, granted.number, None);
    assert_eq!(
        net.submit_and_wait(100, 2, outcome).verdict(),
        Verdict::Recorded
    );
    net.replicas.remove(&others[1]);
    net.submit(100, 3, claim(8, 3));
    net.run(10_000.0);
    assert_eq!(
        net.verdict(100, 3),
        None,
        "one replica of three is not a majority"
    );
}

#[test]
fn new_group_blocks_claims_after_the_loss_of_a_majority() {
    let mut net = network_with_leases(3, 1);
    let lost = net.submit_and_wait(100, 1, claim(7, 1));
    assert_eq!(lost.verdict(), Verdict::Granted);
    let survivor = 1;
    net.start_replica(0);
    net.start_replica(2);
    net.run_until("the group to be abandoned", 60_000.0, |net| {
        net.events
            .iter()
            .any(|(n, event)| *n == survivor && matches!(event, OwnershipEvent::GroupAbandoned(_)))
    });
    net.run_until("another group", 20_000.0, |net| net.leader().is_some());
    net.run_until("a lease", 20_000.0, |net| net.has_lease(100));
    let group = net.replicas[&net.leader().unwrap()].status().group;
    let early = net.submit_and_wait(100, 2, claim(7, 2));
    let granted = if early.verdict() == Verdict::Granted {
        early
    } else {
        assert_eq!(early.verdict(), Verdict::RetryLater);
        net.run(1500.0);
        net.submit_and_wait(100, 3, claim(7, 3))
    };
    assert_eq!(granted.verdict(), Verdict::Granted);
    assert!(
        granted.number > lost.number && group > 1000,
        "its fencing tokens are higher than all of the lost group"
    );
}

#[test]
fn disconnected_owner_stops_before_its_request_is_offered() {
    let mut net = network_with_leases(3, 2);
    assert_eq!(
        net.submit_and_wait(100, 1, claim(7, 1)).verdict(),
        Verdict::Granted
    );
    net.owners.get_mut(&101).unwrap().set_capacity(4);
    net.disconnected
        .extend((0..3).map(|replica| (replica, 100)));
    let stopped_ms = net.run_until("the expiry of its lease", 5000.0, |net| !net.has_lease(100));
    let offered_ms = net.run_until("the offer", 9000.0, |net| !net.offers.is_empty());
    assert!(
        stopped_ms <= 2000.0 && offered_ms >= 300.0,
        "stopped after {stopped_ms} ms, offered {offered_ms} ms later"
    );
    assert_eq!(net.offers[0].0, 101);
    let taken = net.submit_and_wait(101, 1, claim(7, 9));
    assert_eq!(taken.verdict(), Verdict::Granted);
    net.disconnected.clear();
    net.run_until("a new epoch", 9000.0, |net| net.has_lease(100));
    let outcome = complete(7, taken.number - 1, Some(b"late"));
    assert_eq!(
        net.submit_and_wait(100, 2, outcome).verdict(),
        Verdict::Fenced
    );
}

#[test]
fn claim_granted_after_its_caller_left_is_released() {
    let mut net = network_with_leases(3, 2);
    net.submit(100, 1, claim(7, 1));
    net.owners.get_mut(&100).unwrap().stop_waiting(1);
    net.run(2000.0);
    assert_eq!(net.verdict(100, 1), None);
    assert_eq!(
        net.submit_and_wait(101, 1, claim(7, 2)).verdict(),
        Verdict::Granted
    );
}
