//! Tests of the attempt checker.

use super::*;

const fn scope(incarnation: u32) -> Option<ExecutionScope> {
    Some(ExecutionScope {
        key: 7,
        server: 0,
        incarnation,
    })
}

#[test]
fn each_violation_is_found_and_correct_runs_have_none() {
    let mut correct = AttemptChecker::default();
    correct.record_arrival(1, 100);
    correct.record_start(1, scope(0));
    correct.record_answer(90, 1, AttemptOutcome::Served);
    correct.record_arrival(2, 100);
    correct.record_answer(100 + DEADLINE_TOLERANCE, 2, AttemptOutcome::Rejected);
    correct.record_arrival(3, 100);
    correct.excuse(3);
    correct.record_start(4, scope(1));
    correct.finish(1_000_000_000);
    assert!(correct.violations.is_empty(), "{:?}", correct.violations);
    type Violate = fn(&mut AttemptChecker);
    let violations: [(&str, Violate); 6] = [
        ("no answer", |_| ()),
        ("an answer after its time", |checker| {
            checker.record_answer(101 + DEADLINE_TOLERANCE, 1, AttemptOutcome::Served)
        }),
        ("two answers", |checker| {
            (0..2).for_each(|_| checker.record_answer(9, 1, AttemptOutcome::Failed))
        }),
        ("told that it never ran, and it had", |checker| {
            checker.record_start(1, None);
            checker.record_answer(9, 1, AttemptOutcome::Rejected);
        }),
        ("ran after it was told that it never did", |checker| {
            checker.record_answer(9, 1, AttemptOutcome::Rejected);
            checker.record_start(1, None);
        }),
        ("an effect twice", |checker| {
            checker.record_answer(9, 1, AttemptOutcome::Served);
            (0..2).for_each(|_| checker.record_start(1, scope(0)));
        }),
    ];
    for (guarantee, violate) in violations {
        let mut checker = AttemptChecker::default();
        checker.record_arrival(1, 100);
        violate(&mut checker);
        checker.finish(1_000_000_000);
        assert_eq!(checker.violations.keys().collect::<Vec<_>>(), [&guarantee]);
    }
}
