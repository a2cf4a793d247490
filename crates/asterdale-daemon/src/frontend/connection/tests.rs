//! Tests of the error budget, with times of their own.

use std::time::{Duration, Instant};

use super::error_budget::ErrorBudget;

const BURST: usize = 64;
const UNIT_INTERVAL: Duration = Duration::from_millis(5);

fn spent_budget(now: Instant) -> ErrorBudget {
    let mut budget = ErrorBudget::new(now);
    for _ in 0..BURST {
        assert_eq!(budget.resume_at(now), None);
        budget.charge(0, now);
    }
    budget
}

#[test]
fn a_spent_budget_is_restored_by_time_and_by_valid_requests_and_never_beyond_its_bound() {
    let now = Instant::now();
    let mut budget = spent_budget(now);
    let resume_at = budget.resume_at(now).expect("a pause");
    assert_eq!(resume_at, now + 8 * UNIT_INTERVAL);
    assert_eq!(budget.resume_at(resume_at), None);
    assert_eq!(budget.spent_since_request(), BURST as i64);

    let mut budget = spent_budget(now);
    budget.add_for_request();
    assert_eq!(budget.resume_at(now), None);
    assert_eq!(budget.spent_since_request(), 0);

    // A long silence adds no more than the bound.
    let later = now + Duration::from_secs(3600);
    let mut budget = spent_budget(now);
    (0..BURST).for_each(|_| budget.charge(0, later));
    assert!(budget.resume_at(later).is_some());
}

/// Guards against a pause that never ends because it is asked for more often than units are added.
#[test]
fn asking_often_does_not_delay_the_end_of_a_pause() {
    let mut now = Instant::now();
    let mut budget = spent_budget(now);
    let resume_at = budget.resume_at(now).expect("a pause");
    while budget.resume_at(now).is_some() {
        now += Duration::from_millis(1);
        assert!(now <= resume_at);
    }
}

/// Guards against clients whose few records are long: a record costs by its length, whether it is answered or ignored.
#[test]
fn long_records_cost_more_than_short_ones() {
    let now = Instant::now();
    let mut budget = ErrorBudget::new(now);
    (0..4).for_each(|_| budget.charge(64 * 1024, now));
    assert!(budget.resume_at(now).is_some());
    let mut budget = ErrorBudget::new(now);
    (0..17).for_each(|_| budget.charge_ignored(64 * 1024, now));
    assert!(budget.resume_at(now).is_some());
    let mut budget = ErrorBudget::new(now);
    (0..1000).for_each(|_| budget.charge_ignored(0, now));
    assert_eq!(budget.resume_at(now), None);
}
