use super::*;

#[test]
fn folder_is_current_if_its_timestamp_is_fresh_and_no_later_generation_is_remembered() {
    let run = |generation, age_ms| Some(PreviousRun { generation, age_ms });
    for (previous, remembered, expected) in [
        (None, 0, RecoveryVerdict::FirstStart),
        (None, 4, RecoveryVerdict::StateLost),
        // The same generation is remembered, but the folder may be a copy taken an hour ago.
        (run(4, 3_600_000.0), 4, RecoveryVerdict::Unverified),
        (run(4, 900.0), 4, RecoveryVerdict::Current),
        // A later generation is remembered: the timestamp does not count.
        (run(4, 100.0), 5, RecoveryVerdict::Stale),
        // All members were restarted at once.
        (run(4, 100.0), 0, RecoveryVerdict::Current),
        (run(4, 100.0), 3, RecoveryVerdict::Current),
        // All members were restarted at once, with a folder copied a day ago, or with a clock that was set back.
        (run(4, 86_400_000.0), 0, RecoveryVerdict::Unverified),
        (run(4, -5.0), 0, RecoveryVerdict::Unverified),
        // No fleet.
        (run(0, 100.0), 0, RecoveryVerdict::Current),
        (run(0, 60_000.0), 0, RecoveryVerdict::Unverified),
        (run(0, 100.0), 1, RecoveryVerdict::Stale),
    ] {
        assert_eq!(
            assess(previous, remembered),
            expected,
            "{previous:?}, {remembered}"
        );
    }
}
