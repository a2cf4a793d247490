//! Tests of the membership model.

use super::*;

#[test]
fn crash_is_detected_within_published_bounds_without_false_deaths() {
    for members in [10, 50] {
        let scenario = Scenario {
            members,
            fault: Fault::Crash,
            seconds: 90.0,
            loss: 0.02,
            is_plain_swim: false,
        };
        let bounds = published_bounds(members);
        let max_ms = bounds.latest_detection_ms + bounds.dissemination_ms + 5_000.0;
        for report in simulate_all(&scenario, 1..5) {
            let full_ms = report.full_detection_ms.expect("all members detect it");
            assert!(full_ms <= max_ms, "{report:?}");
            assert!(
                report.false_deaths == 0 && report.convergence_ms.is_some(),
                "{report:?}"
            );
        }
    }
}

#[test]
fn members_agree_after_partition_and_same_seed_gives_same_report() {
    let scenario = Scenario {
        members: 40,
        fault: Fault::Partition,
        seconds: 0.0,
        loss: 0.0,
        is_plain_swim: false,
    };
    let (first, second) = (simulate(&scenario, 3), simulate(&scenario, 3));
    assert!(
        first
            .convergence_ms
            .is_some_and(|ms| ms < first.convergence_bound_ms),
        "{first:?}"
    );
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}
