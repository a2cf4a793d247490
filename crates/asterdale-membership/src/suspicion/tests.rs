use super::*;

#[test]
fn confirmations_shorten_a_suspicion_down_to_the_minimum() {
    let mut suspicion = Suspicion::new(100.0, "a", 10.0, 60.0);
    assert_eq!(suspicion.deadline_ms(), 160.0);
    assert!(!suspicion.confirm("a"));
    let mut deadlines = vec![suspicion.deadline_ms()];
    for reporter in ["b", "c", "d"] {
        assert!(suspicion.confirm(reporter) && !suspicion.confirm(reporter));
        deadlines.push(suspicion.deadline_ms());
    }
    assert!(deadlines.windows(2).all(|pair| pair[1] < pair[0]));
    assert!((suspicion.deadline_ms() - 110.0).abs() < 1e-9);
    assert!(!suspicion.confirm("e"));
}

#[test]
fn reported_death_leaves_the_minimum_and_never_postpones_the_deadline() {
    let mut early = Suspicion::new(0.0, "a", 10.0, 60.0);
    assert!(early.report_death(20.0) && !early.report_death(25.0));
    assert_eq!(early.deadline_ms(), 30.0);
    let mut late = Suspicion::new(0.0, "a", 10.0, 60.0);
    late.report_death(55.0);
    assert_eq!(late.deadline_ms(), 60.0);
}
