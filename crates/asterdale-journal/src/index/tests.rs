use super::*;

const LIMITS: IndexLimits = IndexLimits {
    max_entries: 3,
    max_bytes: 1000,
};
const DIGEST: u64 = 7;

/// A claim with a window of 100 ms.
fn request(key: &[u8]) -> ClaimRequest<'_> {
    ClaimRequest {
        key,
        body_digest: DIGEST,
        attempt_id: b"0123456789abcdef",
        window_ms: 100.0,
    }
}

/// An empty index without a quiet period.
fn ready_index() -> KeyIndex {
    let mut index = KeyIndex::new(1, LIMITS, []);
    index.set_quiet_until(0.0);
    index
}

fn unknown(retry_after_ms: f64) -> KeyStatus {
    KeyStatus::Unknown { retry_after_ms }
}

#[test]
fn key_is_claimed_once_and_its_result_is_kept_until_its_window_ends() {
    let mut index = ready_index();
    let (claim, write) = index.claim(0.0, request(b"k")).unwrap();
    assert!(matches!(write, KeyWrite::Put(_, entry) if entry.state() == ExecutionState::Intent));
    assert_eq!(index.lookup(1.0, b"k", DIGEST), KeyStatus::InFlight);
    assert_eq!(index.claim(1.0, request(b"k")), Err(KeyStatus::InFlight));
    assert_eq!(index.lookup(1.0, b"k", 8), KeyStatus::BodyMismatch);
    assert_eq!(
        index.record_outcome(b"k", claim + 1, Some(vec![1])),
        None,
        "another claim"
    );
    assert!(index.record_outcome(b"k", claim, Some(vec![1])).is_some());
    assert_eq!(
        index.record_outcome(b"k", claim, None),
        None,
        "the outcome is recorded once"
    );
    assert_eq!(
        index.lookup(99.0, b"k", DIGEST),
        KeyStatus::Succeeded(vec![1])
    );
    assert_eq!(index.remove_expired(99.0, 10), []);
    assert_eq!(
        index.remove_expired(101.0, 10),
        [KeyWrite::Delete(b"k".to_vec())]
    );
    assert_eq!(
        (index.lookup(101.0, b"k", DIGEST), index.size()),
        (KeyStatus::Absent, (0, 0))
    );
}

#[test]
fn intent_of_an_earlier_run_is_unknown_and_not_executed() {
    let mut earlier = ready_index();
    let (_, write) = earlier.claim(0.0, request(b"k")).unwrap();
    let KeyWrite::Put(key, entry) = write else {
        panic!("{write:?}")
    };
    let mut index = KeyIndex::new(2, LIMITS, [(key, entry)]);
    assert_eq!(
        index.lookup(10.0, b"other", DIGEST),
        unknown(RECOVERY_PENDING_RETRY_MS),
        "the recovery check is not done"
    );
    index.set_quiet_until(0.0);
    assert_eq!(index.claim(10.0, request(b"k")), Err(unknown(90.0)));
    assert_eq!(
        index.record_outcome(b"k", 1, Some(vec![1])),
        None,
        "a claim of an earlier run"
    );
    index.remove_expired(101.0, 10);
    assert!(index.claim(101.0, request(b"k")).is_ok());
}

#[test]
fn absent_keys_are_not_executed_in_the_quiet_period() {
    let mut index = KeyIndex::new(2, LIMITS, []);
    index.set_quiet_until(500.0);
    assert_eq!(index.claim(100.0, request(b"k")), Err(unknown(400.0)));
    assert!(index.claim(500.0, request(b"k")).is_ok());
}

#[test]
fn full_index_rejects_claims_and_a_cancelled_claim_leaves_no_entry() {
    let mut index = ready_index();
    let claims: Vec<u64> = (0..3u8)
        .map(|key| index.claim(0.0, request(&[key])).unwrap().0)
        .collect();
    assert_eq!(index.claim(0.0, request(b"k")), Err(KeyStatus::Unavailable));
    assert_eq!(
        index.cancel_claim(&[1], claims[1]),
        Some(KeyWrite::Delete(vec![1]))
    );
    assert_eq!(index.cancel_claim(&[1], claims[1]), None);
    assert!(index.claim(0.0, request(&[1])).is_ok());
    // A result beyond the size limit: retries of the request fail.
    index.record_outcome(&[0], claims[0], Some(vec![0; 2000]));
    assert_eq!(index.lookup(1.0, &[0], DIGEST), KeyStatus::Failed);
}

#[test]
fn entry_in_flight_is_kept_after_its_window() {
    let mut index = ready_index();
    let (claim, _) = index.claim(0.0, request(b"k")).unwrap();
    assert_eq!(index.remove_expired(5000.0, 10), []);
    assert_eq!(index.lookup(5000.0, b"k", DIGEST), KeyStatus::InFlight);
    assert!(index.record_outcome(b"k", claim, None).is_some());
    assert_eq!(index.remove_expired(6001.0, 10).len(), 1);
}
