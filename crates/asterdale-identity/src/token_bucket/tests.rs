//! Retry delays, and clocks that step back.

use super::*;

#[test]
fn an_empty_bucket_returns_the_delay_and_ignores_clock_steps_back() {
    let mut bucket = TokenBucket::full(5000.0, 1.0);
    bucket.try_take(5000.0, 4.0, 1.0).unwrap();
    let wait_ms = bucket.try_take(5000.0, 4.0, 1.0).unwrap_err();
    assert_eq!(wait_ms, 250.0);
    assert!(bucket.try_take(0.0, 4.0, 1.0).is_err());
    assert!(bucket.try_take(5000.0 + wait_ms, 4.0, 1.0).is_ok());
}
