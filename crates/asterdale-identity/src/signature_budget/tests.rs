//! Rates per edge node, and the pools of trusted and untrusted edge nodes.

use super::*;

/// Requests `per_s` signatures per second for ten seconds; returns how many the budget granted.
fn count_granted(
    budget: &mut SignatureBudget,
    start_ms: f64,
    per_s: u32,
    is_valid: bool,
    edge_node: impl Fn(u32) -> u32,
) -> u32 {
    (0..10 * per_s)
        .filter(|&n| {
            let now_ms = start_ms + f64::from(n) * 1000.0 / f64::from(per_s);
            let taken = budget.try_take(now_ms, edge_node(n)).is_ok();
            if taken {
                budget.record_result(now_ms, edge_node(n), is_valid);
            }
            taken
        })
        .count() as u32
}

#[test]
fn invalid_signatures_are_granted_at_a_quarter_of_the_rate() {
    let mut budget = SignatureBudget::new(0.0, 20.0, 1000.0);
    assert!((200..=240).contains(&count_granted(&mut budget, 0.0, 500, true, |_| 1)));
    let mut budget = SignatureBudget::new(0.0, 20.0, 1000.0);
    assert!((50..=60).contains(&count_granted(&mut budget, 0.0, 500, false, |_| 1)));
}

#[test]
fn forged_edge_node_numbers_leave_half_of_the_rate_to_trusted_edge_nodes() {
    let mut budget = SignatureBudget::new(0.0, 20.0, 100.0);
    assert_eq!(count_granted(&mut budget, 0.0, 10, true, |_| 1), 100);
    let (mut valid, mut invalid) = (0, 0);
    for n in 0..20_000u32 {
        let now_ms = 10_000.0 + f64::from(n) / 2.0;
        if budget.try_take(now_ms, 1000 + n).is_ok() {
            invalid += 1;
            budget.record_result(now_ms, 1000 + n, false);
        }
        if n % 200 == 0 {
            valid += budget.try_take(now_ms, 1).is_ok() as u32;
            budget.record_result(now_ms, 1, true);
        }
    }
    assert_eq!(valid, 100, "the trusted edge node was limited");
    assert!(
        invalid <= 200,
        "{invalid} invalid signatures were granted in 10 s"
    );
    assert!(budget.edges.len() <= MAX_EDGE_NODES);
}
