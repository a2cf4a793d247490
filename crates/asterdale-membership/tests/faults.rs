//! One test for each kind of fault that the protocol tolerates, in a simulated network of a few processes.

mod simulated_network;

use asterdale_membership::{Action, Event, MemberChange, Membership, Metadata, Phase, Status};
use simulated_network::{address, name, Delivery, Network};

/// A network of this many processes that have converged.
fn converged(random_seed: u64, process_count: usize) -> Network {
    let mut network = Network::new(random_seed, 2);
    (0..process_count).for_each(|n| network.start(n));
    network.converge();
    network.events.clear();
    network
}

fn is_death(event: &Event) -> bool {
    matches!(
        event,
        Event::MemberChanged {
            change: MemberChange::Died,
            ..
        }
    )
}

fn is_declared_dead(event: &Event) -> bool {
    matches!(event, Event::DeclaredDead { .. })
}

#[test]
fn processes_that_start_together_or_one_by_one_converge() {
    for random_seed in 0..4 {
        let mut network = converged(random_seed, 12);
        assert!(network
            .processes
            .values()
            .all(|process| process.local_record().generation == 1));
        for n in 12..16 {
            network.start(n);
            network.run(300.0);
        }
        network.converge();
        assert!(network
            .processes
            .values()
            .all(|process| process.has_majority(network.now_ms)));
        assert_eq!(network.count_events(|_, event| is_death(event)), 0);
    }
}

#[test]
fn all_members_detect_a_crash_and_no_other_death() {
    for random_seed in 0..4 {
        let mut network = converged(random_seed, 9);
        network.kill(4);
        network.converge();
        assert!(network.count_events(|_, event| is_death(event)) >= 8);
        let others = network.count_events(
            |_, event| matches!(event, Event::MemberChanged { change: MemberChange::Died, name: dead, .. } if *dead != name(4)),
        );
        assert_eq!(others, 0);
    }
}

#[test]
fn crash_of_a_third_with_all_seeds_leaves_a_majority() {
    let mut network = converged(3, 12);
    (0..4).for_each(|n| network.kill(n));
    network.converge();
    assert!(network
        .processes
        .values()
        .all(|process| process.has_majority(network.now_ms)));
    // Without a live seed a new process becomes a member alone. It is found as soon as a seed runs again.
    network.start(12);
    network.run(10_000.0);
    assert!(network.divergence().is_some() && network.process(12).is_member());
    network.start(0);
    network.converge();
}

#[test]
fn restart_without_memory_takes_a_higher_generation() {
    for (random_seed, wait_ms) in [(1, 50.0), (2, 2_000.0), (3, 60_000.0)] {
        let mut network = converged(random_seed, 6);
        for generation in 2..5 {
            network.kill(3);
            network.run(wait_ms);
            network.start(3);
            network.converge();
            assert_eq!(
                network.process(3).local_record().generation,
                generation,
                "after {wait_ms} ms"
            );
        }
    }
}

#[test]
fn restart_while_cut_off_ends_with_a_higher_generation() {
    for random_seed in 0..8 {
        let mut network = converged(random_seed, 6);
        let others: Vec<usize> = (0..6).filter(|n| *n != 3).collect();
        let before = network.process(3).local_record().generation;
        network.kill(3);
        network.cut(&[3], &others);
        network.start(3);
        network.run(8_000.0);
        assert!(
            network.process(3).is_member()
                && network.process(3).local_record().generation == before
        );
        network.heal(&[3], &others);
        network.converge();
        assert!(
            network.process(3).local_record().generation > before,
            "random seed {random_seed}"
        );
    }
}

#[test]
fn restart_with_the_same_generation_before_detection_takes_a_higher_one() {
    for random_seed in 0..16 {
        let mut network = converged(random_seed, 6);
        let before = network.process(3).local_record().generation;
        network.kill(3);
        // It becomes a member before a seed can answer, and nobody has detected the crash.
        network.settings.join_timeout_intervals = 0.0;
        network.start(3);
        network.run(1.0);
        assert!(
            network.process(3).is_member()
                && network.process(3).local_record().generation == before
        );
        network.converge();
        assert!(
            network.process(3).local_record().generation > before,
            "random seed {random_seed}"
        );
        let death_count = network.count_events(|_, event| is_death(event));
        assert_eq!(death_count, 0, "random seed {random_seed}");
    }
}

#[test]
fn late_datagrams_of_earlier_generations_supersede_no_process_after_a_full_restart() {
    let mut network = converged(5, 6);
    for _ in 0..3 {
        network.kill(2);
        network.start(2);
        network.converge();
    }
    let old = network.process(2).local_record().generation;
    assert_eq!(old, 4);
    // Datagrams of the earlier generation that are delayed until after the restart.
    let later_ms = network.now_ms + 1000.0;
    let late_actions = network.process_mut(2).wake(later_ms);
    (0..6).for_each(|n| network.kill(n));
    network.run(1_000.0);
    (0..6).for_each(|n| network.start(n));
    network.converge();
    let before: Vec<u64> = network
        .processes
        .values()
        .map(|process| process.local_record().generation)
        .collect();
    assert_eq!(before, [1; 6]);
    network.send_datagrams(late_actions);
    // The datagrams have a higher generation than the process has now, so the process takes the generation after it.
    network.run(1_000.0);
    network.converge();
    assert!([1, old + 1].contains(&network.process(2).local_record().generation));
    assert!(network
        .events
        .iter()
        .all(|(_, _, event)| !matches!(event, Event::Superseded(_))));
}

#[test]
fn leave_is_not_reported_as_death() {
    let mut network = converged(7, 8);
    let now_ms = network.now_ms;
    let actions = network.process_mut(5).leave(now_ms);
    network.send_datagrams(actions);
    network.run(5_000.0);
    network.kill(5);
    network.converge();
    assert_eq!(network.count_events(|_, event| is_death(event)), 0);
    assert!(network.processes.values().all(|process| process
        .view()
        .get(&name(5))
        .unwrap()
        .record
        .status
        == Status::Left));
    assert!(network
        .processes
        .values()
        .all(|process| process.live_fraction() == 1.0));
    // The process can join again with a new generation.
    network.start(5);
    network.converge();
    assert_eq!(network.process(5).local_record().generation, 2);
}

#[test]
fn long_partition_into_halves_heals() {
    let mut network = converged(9, 8);
    let (one, other) = (&[0, 1, 2, 3][..], &[4, 5, 6, 7][..]);
    network.cut(one, other);
    network.run(600_000.0);
    // Exactly half of the fleet is not a majority.
    assert!(network
        .processes
        .values()
        .all(|process| !process.has_majority(network.now_ms) && process.live_fraction() == 0.5));
    network.heal(one, other);
    network.converge();
    assert!(network
        .processes
        .values()
        .all(|process| process.live_fraction() == 1.0));
}

#[test]
fn only_the_minority_of_a_partition_loses_its_majority_and_generation() {
    let mut network = converged(11, 9);
    let (minority, majority) = (&[0, 4, 7][..], &[1, 2, 3, 5, 6, 8][..]);
    network.cut(minority, majority);
    network.run(200_000.0);
    for n in 0..9 {
        assert_eq!(
            network.process(n).has_majority(network.now_ms),
            majority.contains(&n),
            "process {n}"
        );
    }
    network.heal(minority, majority);
    network.converge();
    for n in 0..9 {
        let generation = network.process(n).local_record().generation;
        assert_eq!(
            generation > 1,
            minority.contains(&n),
            "process {n} has generation {generation}"
        );
    }
}

#[test]
fn asymmetric_link_loss_causes_no_death() {
    let mut network = converged(13, 7);
    network.cut_links.insert((address(1), address(2)));
    network.cut_links.insert((address(2), address(5)));
    network.run(300_000.0);
    assert_eq!(network.count_events(|_, event| is_death(event)), 0);
    assert_eq!(network.divergence(), None);
}

#[test]
fn paused_process_suspects_no_member_and_takes_a_new_generation() {
    let mut network = converged(15, 7);
    network.paused.insert(address(3));
    network.run(60_000.0);
    assert!(network.count_events(|process, event| process != name(3) && is_death(event)) >= 6);
    network.paused.clear();
    let resumed_ms = network.now_ms;
    network.run(1.0);
    assert!(
        !network.process(3).has_majority(network.now_ms),
        "the process has had no ack since the pause"
    );
    network.converge();
    let is_failure_report = |event: &Event| {
        matches!(
            event,
            Event::MemberChanged {
                change: MemberChange::Died | MemberChange::Suspected,
                ..
            }
        )
    };
    let failure_reports = network.events.iter().filter(|(event_ms, process, event)| {
        *event_ms >= resumed_ms && *process == name(3) && is_failure_report(event)
    });
    assert_eq!(failure_reports.count(), 0);
    assert_eq!(
        network
            .count_events(|process, event| process == name(3) && matches!(event, Event::Paused(_))),
        1
    );
    assert_eq!(
        network.count_events(|process, event| process == name(3) && is_declared_dead(event)),
        1
    );
    assert_eq!(network.process(3).local_record().generation, 2);
    // A short pause has no consequences.
    network.events.clear();
    network.paused.insert(address(2));
    network.run(2_000.0);
    network.paused.clear();
    network.run(30_000.0);
    assert_eq!(
        network.count_events(|_, event| is_death(event) || is_declared_dead(event)),
        0
    );
    assert_eq!(network.divergence(), None);
}

#[test]
fn process_declared_dead_is_silent_until_it_rejoins() {
    let mut network = converged(17, 5);
    network.rejoins_at_once = false;
    network.paused.insert(address(3));
    network.run(60_000.0);
    network.paused.clear();
    network.run(60_000.0);
    assert_eq!(
        (
            network.process(3).state_name(),
            network.process(3).local_record().generation
        ),
        ("fallen", 1)
    );
    let status = network
        .process(0)
        .view()
        .get(&name(3))
        .unwrap()
        .record
        .status;
    assert_eq!(
        status,
        Status::Dead,
        "a process that was declared dead must not refute before it rejoins"
    );
    let now_ms = network.now_ms;
    let actions = network.process_mut(3).rejoin(now_ms);
    assert!(!actions.is_empty() && network.process(3).is_member());
    network.run(10_000.0);
    network.converge();
}

#[test]
fn older_of_two_processes_under_one_name_stops() {
    let mut network = converged(19, 5);
    // A second process takes the name at another address while the first one runs.
    let mut config = network.config(2, 0);
    config.address = address(20);
    network.add_process(config);
    network.run(60_000.0);
    let (older, newer) = (
        &network.processes[&address(2)],
        &network.processes[&address(20)],
    );
    assert!(older.is_stopped() && newer.is_member());
    assert_eq!(newer.local_record().generation, 2);
    assert_eq!(
        network
            .count_events(|_, event| matches!(event, Event::Superseded(by) if *by == address(20))),
        1
    );
    network.kill(2);
    network.converge();
    // The name of a dead process can be taken by a process at another address.
    network.kill(0);
    network.run(60_000.0);
    let mut config = network.config(0, 0);
    config.address = address(21);
    network.add_process(config);
    network.converge();
}

#[test]
fn false_death_reports_cause_no_death() {
    let mut network = converged(21, 6);
    // A process refutes its death only after it has had a majority for the maximum suspicion timeout.
    network.run(60_000.0);
    network.events.clear();
    // A copy of a member that receives no messages, and so declares all other members dead.
    let reports = death_reports(network.process(5).clone());
    assert!(reports.len() > 4);
    for (n, report) in reports.into_iter().enumerate() {
        (0..5).for_each(|to| {
            network.send(
                address(to),
                Delivery::Datagram(report.clone()),
                (n * 10) as f64,
            )
        });
    }
    network.run(120_000.0);
    assert_eq!(network.count_events(|_, event| is_death(event)), 0);
    assert!(
        network
            .processes
            .values()
            .map(|process| process.counters.refutations)
            .sum::<u64>()
            > 0,
        "no process refuted a reported death"
    );
    assert_eq!(network.divergence(), None);
}

/// The datagrams that a process without incoming messages sends after it has declared all other members dead.
fn death_reports(mut process: Membership) -> Vec<Vec<u8>> {
    let mut reports = Vec::new();
    while reports.len() < 20 {
        let is_alone = process.view().live_count() == 0;
        for action in process.wake(process.next_wake_ms()) {
            if let Action::Send(_, bytes) = action {
                reports.extend(is_alone.then_some(bytes));
            }
        }
    }
    reports
}

#[test]
fn loss_duplication_and_reordering_cause_no_death_in_ten_minutes() {
    for random_seed in [23, 24] {
        let mut network = converged(random_seed, 12);
        (network.loss, network.duplication, network.jitter_ms) = (0.2, 0.1, 150.0);
        network.run(600_000.0);
        assert_eq!(network.count_events(|_, event| is_death(event)), 0);
        (network.loss, network.duplication) = (0.0, 0.0);
        network.converge();
    }
}

#[test]
fn metadata_reaches_all_members_at_a_bounded_rate() {
    let mut network = converged(25, 6);
    let metadata = Metadata {
        phase: Phase::AtCapacity,
        load_percent: 97,
        warm_percent: 100,
    };
    network.process_mut(4).set_metadata(metadata);
    network.run(10_000.0);
    for n in [0, 1, 2, 3, 5] {
        assert_eq!(
            network
                .process(n)
                .view()
                .get(&name(4))
                .unwrap()
                .record
                .metadata,
            metadata
        );
    }
    let incarnation_before = network.process(4).local_record().incarnation;
    for n in 0..200u8 {
        network.process_mut(4).set_metadata(Metadata {
            load_percent: n % 100,
            ..metadata
        });
        network.run(50.0);
    }
    assert!(network.process(4).local_record().incarnation - incarnation_before <= 6);
}

#[test]
fn malformed_unauthenticated_and_excess_messages_are_counted_and_dropped() {
    let mut network = converged(27, 4);
    let hash = network.process(0).view_hash();
    let mut config = network.config(9, 0);
    config.key = b"another's".to_vec();
    let mut other_fleet = Membership::new(network.now_ms, config);
    let now_ms = network.now_ms;
    for action in other_fleet.wake(now_ms) {
        if let Action::Exchange(_, bytes) = action {
            let (response, _) = network
                .process_mut(0)
                .handle_exchange_request(now_ms, &bytes);
            assert_eq!(response, None);
        }
    }
    for n in 0..3000usize {
        let noise: Vec<u8> = (0..n % 97).map(|byte| (byte * n) as u8).collect();
        network.send(address(0), Delivery::Datagram(noise), n as f64 / 3000.0);
    }
    network.send(address(0), Delivery::Datagram(vec![1; 2000]), 5_000.0);
    network.run(6_000.0);
    let counters = &network.process(0).counters;
    assert!(
        counters.unauthenticated > 100 && counters.rate_limited > 1000 && counters.malformed == 1,
        "{counters:?}"
    );
    assert_eq!(network.process(0).view_hash(), hash);
    network.converge();
}
