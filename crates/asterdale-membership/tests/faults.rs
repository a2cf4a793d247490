//! The failures that the state machine is meant for, each in a network of a few processes.

mod net;

use asterdale_membership::{Event, MemberChange, Metadata, Phase, Status};
use net::{at, name, Net, What};

/// So many processes that have settled.
fn settled(seed: u64, many: usize) -> Net {
    let mut net = Net::new(seed, 2);
    (0..many).for_each(|n| net.start(n));
    net.settles();
    net.events.clear();
    net
}

fn died(event: &Event) -> bool {
    matches!(
        event,
        Event::MemberChanged {
            change: MemberChange::Died,
            ..
        }
    )
}

#[test]
fn joins_all_at_once_and_one_by_one_settle() {
    for seed in 0..4 {
        let mut net = settled(seed, 12);
        assert!(net
            .all
            .values()
            .all(|fleet| fleet.local_record().generation == 1));
        for n in 12..16 {
            net.start(n);
            net.run(300.0);
        }
        net.settles();
        assert!(net.all.values().all(|fleet| fleet.has_majority(net.now)));
        assert_eq!(net.count(|_, event| died(event)), 0);
    }
}

#[test]
fn a_crash_is_found_by_all_and_nobody_else_is_held_for_dead() {
    for seed in 0..4 {
        let mut net = settled(seed, 9);
        net.kill(4);
        net.settles();
        assert!(net.count(|_, event| died(event)) >= 8);
        let others = net.count(
            |_, e| matches!(e, Event::MemberChanged { change: MemberChange::Died, name: n, .. } if *n != name(4)),
        );
        assert_eq!(others, 0);
    }
}

#[test]
fn a_third_and_all_seeds_may_go_at_once() {
    let mut net = settled(3, 12);
    (0..4).for_each(|n| net.kill(n));
    net.settles();
    assert!(net.all.values().all(|fleet| fleet.has_majority(net.now)));
    // Whoever is asked in vain goes on alone, and is found as soon as a seed is back.
    net.start(12);
    net.run(10_000.0);
    assert!(net.unsettled().is_some() && net.fleet(12).is_member());
    net.start(0);
    net.settles();
}

#[test]
fn a_process_that_restarts_without_memory_is_above_all_its_earlier_ones() {
    for (seed, wait) in [(1, 50.0), (2, 2_000.0), (3, 60_000.0)] {
        let mut net = settled(seed, 6);
        for generation in 2..5 {
            net.kill(3);
            net.run(wait);
            net.start(3);
            net.settles();
            assert_eq!(
                net.fleet(3).local_record().generation,
                generation,
                "after {wait} ms"
            );
        }
    }
}

#[test]
fn one_that_heard_nobody_when_it_began_ends_above_the_one_that_it_was() {
    for seed in 0..8 {
        let mut net = settled(seed, 6);
        let others: Vec<usize> = (0..6).filter(|n| *n != 3).collect();
        let before = net.fleet(3).local_record().generation;
        net.kill(3);
        net.part(&[3], &others, true);
        net.start(3);
        net.run(8_000.0);
        assert!(net.fleet(3).is_member() && net.fleet(3).local_record().generation == before);
        net.part(&[3], &others, false);
        net.settles();
        assert!(
            net.fleet(3).local_record().generation > before,
            "seed {seed}"
        );
    }
}

#[test]
fn one_that_takes_its_own_number_again_while_it_counts_as_there_is_told() {
    for seed in 0..16 {
        let mut net = settled(seed, 6);
        let before = net.fleet(3).local_record().generation;
        net.kill(3);
        // It begins before any seed could answer, and nobody has missed the one before it.
        net.terms.join_timeout_intervals = 0.0;
        net.start(3);
        net.run(1.0);
        assert!(net.fleet(3).is_member() && net.fleet(3).local_record().generation == before);
        net.settles();
        assert!(
            net.fleet(3).local_record().generation > before,
            "seed {seed}"
        );
        let lost = net.count(|_, event| died(event));
        assert_eq!(lost, 0, "seed {seed}");
    }
}

#[test]
fn all_may_restart_at_once_and_what_comes_late_of_earlier_ones_is_not_believed() {
    let mut net = settled(5, 6);
    for _ in 0..3 {
        net.kill(2);
        net.start(2);
        net.settles();
    }
    let old = net.fleet(2).local_record().generation;
    assert_eq!(old, 4);
    // Said by a process of the earlier time, and on its way for long.
    let late: Vec<_> = net.all.get_mut(&at(2)).unwrap().wake(net.now + 1000.0);
    (0..6).for_each(|n| net.kill(n));
    net.run(1_000.0);
    (0..6).for_each(|n| net.start(n));
    net.settles();
    let before: Vec<u64> = net
        .all
        .values()
        .map(|fleet| fleet.local_record().generation)
        .collect();
    assert_eq!(before, [1; 6]);
    for action in late {
        if let asterdale_membership::Action::Send(to, bytes) = action {
            net.send(to, What::Datagram(bytes), 1.0);
        }
    }
    // It tells of a later generation than there is: the process itself takes the next.
    net.run(1_000.0);
    net.settles();
    assert!([1, old + 1].contains(&net.fleet(2).local_record().generation));
    assert!(net
        .events
        .iter()
        .all(|(_, _, event)| !matches!(event, Event::Superseded(_))));
}

#[test]
fn a_leave_is_no_crash() {
    let mut net = settled(7, 8);
    let actions = net.all.get_mut(&at(5)).unwrap().leave(net.now);
    for action in actions {
        if let asterdale_membership::Action::Send(to, bytes) = action {
            net.send(to, What::Datagram(bytes), 1.0);
        }
    }
    net.run(5_000.0);
    net.kill(5);
    net.settles();
    assert_eq!(net.count(|_, event| died(event)), 0);
    assert!(net
        .all
        .values()
        .all(|fleet| fleet.view().get(&name(5)).unwrap().record.status == Status::Left));
    assert!(net.all.values().all(|fleet| fleet.live_fraction() == 1.0));
    // It comes back as a new one.
    net.start(5);
    net.settles();
    assert_eq!(net.fleet(5).local_record().generation, 2);
}

#[test]
fn halves_that_were_parted_longer_than_any_time_out_find_each_other() {
    let mut net = settled(9, 8);
    let (one, other) = (&[0, 1, 2, 3][..], &[4, 5, 6, 7][..]);
    net.part(one, other, true);
    net.run(600_000.0);
    // Neither is more than a half.
    assert!(net
        .all
        .values()
        .all(|fleet| !fleet.has_majority(net.now) && fleet.live_fraction() == 0.5));
    net.part(one, other, false);
    net.settles();
    assert!(net.all.values().all(|fleet| fleet.live_fraction() == 1.0));
}

#[test]
fn a_minority_knows_that_it_is_one_and_alone_gives_up_what_it_held() {
    let mut net = settled(11, 9);
    let (few, most) = (&[0, 4, 7][..], &[1, 2, 3, 5, 6, 8][..]);
    net.part(few, most, true);
    net.run(200_000.0);
    for n in 0..9 {
        assert_eq!(net.fleet(n).has_majority(net.now), most.contains(&n), "{n}");
    }
    net.part(few, most, false);
    net.settles();
    for n in 0..9 {
        let generation = net.fleet(n).local_record().generation;
        assert_eq!(
            generation > 1,
            few.contains(&n),
            "{n} has generation {generation}"
        );
    }
}

#[test]
fn what_is_cut_one_way_between_two_kills_neither() {
    let mut net = settled(13, 7);
    net.cut.insert((at(1), at(2)));
    net.cut.insert((at(2), at(5)));
    net.run(300_000.0);
    assert_eq!(net.count(|_, event| died(event)), 0);
    assert_eq!(net.unsettled(), None);
}

#[test]
fn a_process_that_stood_still_accuses_nobody_and_gives_up_what_it_held() {
    let mut net = settled(15, 7);
    net.paused.insert(at(3));
    net.run(60_000.0);
    assert!(net.count(|who, event| who != name(3) && died(event)) >= 6);
    net.paused.clear();
    let woke = net.now;
    net.run(1.0);
    assert!(!net.fleet(3).has_majority(net.now), "it can't know yet");
    net.settles();
    let its = |event: &Event| {
        matches!(
            event,
            Event::MemberChanged {
                change: MemberChange::Died | MemberChange::Suspected,
                ..
            }
        )
    };
    let accused = net
        .events
        .iter()
        .filter(|(when, who, event)| *when >= woke && *who == name(3) && its(event));
    assert_eq!(accused.count(), 0);
    assert_eq!(
        net.count(|who, event| who == name(3) && matches!(event, Event::Paused(_))),
        1
    );
    assert_eq!(
        net.count(|who, event| who == name(3) && matches!(event, Event::DeclaredDead { .. })),
        1
    );
    assert_eq!(net.fleet(3).local_record().generation, 2);
    // A short one is no matter.
    net.events.clear();
    net.paused.insert(at(2));
    net.run(2_000.0);
    net.paused.clear();
    net.run(30_000.0);
    assert_eq!(
        net.count(|_, event| died(event) || matches!(event, Event::DeclaredDead { .. })),
        0
    );
    assert_eq!(net.unsettled(), None);
}

#[test]
fn it_does_not_act_before_it_has_given_up_what_it_held() {
    let mut net = settled(17, 5);
    net.gives_up = false;
    net.paused.insert(at(3));
    net.run(60_000.0);
    net.paused.clear();
    net.run(60_000.0);
    assert_eq!(
        (
            net.fleet(3).state_name(),
            net.fleet(3).local_record().generation
        ),
        ("fallen", 1)
    );
    let held = net.fleet(0).view().get(&name(3)).unwrap().record.status;
    assert_eq!(held, Status::Dead, "it is silent until then");
    let now = net.now;
    let actions = net.all.get_mut(&at(3)).unwrap().rejoin(now);
    assert!(!actions.is_empty() && net.fleet(3).is_member());
    net.run(10_000.0);
    net.settles();
}

#[test]
fn of_two_processes_under_one_name_the_older_is_over() {
    let mut net = settled(19, 5);
    // The same name at another address, while the first one runs.
    let mut told = net.told(2, 0);
    told.address = at(20);
    net.add(told);
    net.run(60_000.0);
    let (old, new) = (&net.all[&at(2)], &net.all[&at(20)]);
    assert!(old.is_stopped() && new.is_member());
    assert_eq!(new.local_record().generation, 2);
    assert_eq!(
        net.count(|_, event| matches!(event, Event::Superseded(to) if *to == at(20))),
        1
    );
    net.kill(2);
    net.settles();
    // One that is gone, at an address that it had alone, does not keep its name from coming back elsewhere.
    net.kill(0);
    net.run(60_000.0);
    let mut told = net.told(0, 0);
    told.address = at(21);
    net.add(told);
    net.settles();
}

#[test]
fn a_liar_costs_a_suspicion_and_kills_nobody() {
    let mut net = settled(21, 6);
    // One that has heard most of its fleet for a longest suspicion speaks against its death; a younger one begins anew.
    net.run(60_000.0);
    net.events.clear();
    // Whoever has the key can say anything of anybody: a copy of one that heard nothing for long holds all for dead.
    let words = deaths(&mut net.all[&at(5)].clone());
    assert!(words.len() > 4);
    for (n, word) in words.into_iter().enumerate() {
        (0..5).for_each(|to| net.send(at(to), What::Datagram(word.clone()), (n * 10) as f64));
    }
    net.run(120_000.0);
    assert_eq!(net.count(|_, event| died(event)), 0);
    assert!(
        net.all
            .values()
            .map(|fleet| fleet.counters.refutations)
            .sum::<u64>()
            > 0,
        "nobody was accused"
    );
    assert_eq!(net.unsettled(), None);
}

/// What this process says once it holds all others for dead, as time passes for it alone.
fn deaths(fleet: &mut asterdale_membership::Membership) -> Vec<Vec<u8>> {
    let mut said = Vec::new();
    while said.len() < 20 {
        let alone = fleet.view().live_count() == 0;
        for action in fleet.wake(fleet.next_wake_ms()) {
            if let asterdale_membership::Action::Send(_, bytes) = action {
                said.extend(alone.then_some(bytes));
            }
        }
    }
    said
}

#[test]
fn heavy_loss_doubling_and_reorder_kill_nobody_in_ten_minutes() {
    for seed in [23, 24] {
        let mut net = settled(seed, 12);
        (net.loss, net.doubled, net.spread) = (0.2, 0.1, 150.0);
        net.run(600_000.0);
        assert_eq!(net.count(|_, event| died(event)), 0);
        (net.loss, net.doubled) = (0.0, 0.0);
        net.settles();
    }
}

#[test]
fn notes_reach_all_and_are_news_no_more_often_than_stated() {
    let mut net = settled(25, 6);
    let notes = Metadata {
        phase: Phase::AtCapacity,
        load_percent: 97,
        warm_percent: 100,
    };
    net.all.get_mut(&at(4)).unwrap().set_metadata(notes);
    net.run(10_000.0);
    for n in [0, 1, 2, 3, 5] {
        assert_eq!(
            net.fleet(n).view().get(&name(4)).unwrap().record.metadata,
            notes
        );
    }
    let before = net.fleet(4).local_record().incarnation;
    for n in 0..200u8 {
        net.all.get_mut(&at(4)).unwrap().set_metadata(Metadata {
            load_percent: n % 100,
            ..notes
        });
        net.run(50.0);
    }
    assert!(net.fleet(4).local_record().incarnation - before <= 6);
}

#[test]
fn noise_foreign_keys_and_floods_change_nothing_and_are_counted() {
    let mut net = settled(27, 4);
    let hash = net.fleet(0).view_hash();
    let mut told = net.told(9, 0);
    told.key = b"another's".to_vec();
    let mut foreign = asterdale_membership::Membership::new(net.now, told);
    let now = net.now;
    for action in foreign.wake(now) {
        if let asterdale_membership::Action::Exchange(_, bytes) = action {
            let (back, _) = net
                .all
                .get_mut(&at(0))
                .unwrap()
                .handle_exchange_request(now, &bytes);
            assert_eq!(back, None);
        }
    }
    for n in 0..3000usize {
        let noise: Vec<u8> = (0..n % 97).map(|byte| (byte * n) as u8).collect();
        net.send(at(0), What::Datagram(noise), n as f64 / 3000.0);
    }
    net.send(at(0), What::Datagram(vec![1; 2000]), 5_000.0);
    net.run(6_000.0);
    let counters = &net.fleet(0).counters;
    assert!(
        counters.unauthenticated > 100 && counters.rate_limited > 1000 && counters.malformed == 1,
        "{counters:?}"
    );
    assert_eq!(net.fleet(0).view_hash(), hash);
    net.settles();
}
