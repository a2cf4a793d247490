//! Tests of the failover surge model.

use super::server::TAKEOVERS_PER_CORE;
use super::*;

#[test]
fn capacity_bound_prevents_overload_and_orphaned_requests_meet_deadlines() {
    let scenario = |capacity_bound| Scenario {
        servers: 30,
        crash_share: 0.33,
        load: 0.5,
        capacity_bound,
    };
    let (with, without) = (simulate(&scenario(true), 3), simulate(&scenario(false), 3));
    assert!(
        with.orphaned_requests > 10 && with.met_deadline_share > 0.95,
        "{with:?}"
    );
    assert!(
        with.max_concurrency_after <= with.max_concurrency_before + TAKEOVERS_PER_CORE,
        "{with:?}"
    );
    assert!(
        without.max_concurrency_after > 2.0 * with.max_concurrency_after,
        "{without:?} {with:?}"
    );
    assert_eq!(
        format!("{with:?}"),
        format!("{:?}", simulate(&scenario(true), 3)),
        "the same seed gives the same report"
    );
}
