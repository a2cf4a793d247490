//! Tests of the edge nodes.

use super::*;

fn pick_all(edge: &mut Edge, pick: Pick, is_up: &[bool], ring: &HashRing) -> Vec<usize> {
    (0..1000)
        .map(|subject| pick_one(edge, pick, is_up, ring, subject))
        .collect()
}

fn pick_one(edge: &mut Edge, pick: Pick, is_up: &[bool], ring: &HashRing, subject: u64) -> usize {
    let request = PickRequest {
        now: 0,
        pick,
        is_up,
        ring,
        subject,
        last_server: None,
    };
    edge.pick(&request).unwrap()
}

#[test]
fn hash_policies_move_a_subject_only_when_its_server_is_down_or_overloaded() {
    let (ring, mut is_up) = (HashRing::new(50), vec![true; 50]);
    let mut edge = Edge::new(50, RandomStream::new(1, 1));
    for pick in [Pick::RingHash(2.0), Pick::Rendezvous(2.0)] {
        let before = pick_all(&mut edge, pick, &is_up, &ring);
        assert_eq!(before, pick_all(&mut edge, pick, &is_up, &ring));
        is_up[before[0]] = false;
        let after = pick_all(&mut edge, pick, &is_up, &ring);
        let moved = before
            .iter()
            .zip(&after)
            .filter(|(old, new)| old != new)
            .count();
        let on_down_server = before.iter().filter(|server| **server == before[0]);
        assert_eq!(moved, on_down_server.count());
        is_up[before[0]] = true;
        (0..9).for_each(|_| edge.record_first_attempt(before[0]));
        assert_ne!(pick_one(&mut edge, pick, &is_up, &ring, 0), before[0]);
        (0..9).for_each(|_| edge.record_end(before[0]));
    }
}

#[test]
fn retry_budget_limits_retries_and_jitter_delay_grows() {
    let mut edge = Edge::new(2, RandomStream::new(1, 1));
    let edges = |retry| Edges {
        count: 1,
        pick: Pick::Random,
        retry,
        attempt_timeout_ms: 0.0,
        network_delay_ms: 0.0,
        detection_delay_ms: 0.0,
        honors_retry_after: false,
    };
    let (mut retries, budget) = (0, edges(Retry::Budget(9, 0.1)));
    for _ in 0..1000 {
        edge.record_first_attempt(0);
        while edge.retry_delay_ms(&budget, 1).is_some() {
            edge.record_retry(0);
            retries += 1;
        }
    }
    assert_eq!(retries, 100);
    let jitter = edges(Retry::Jitter(3, 10.0));
    assert!((0..100).all(|_| edge.retry_delay_ms(&jitter, 3).unwrap() < 40.0));
    assert_eq!(edge.retry_delay_ms(&jitter, 4), None);
}
