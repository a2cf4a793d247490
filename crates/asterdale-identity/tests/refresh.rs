//! The schedule of key set requests.

use asterdale_identity::refresh::RefreshSchedule;

#[test]
fn the_backoff_doubles_until_a_success() {
    let mut refresh = RefreshSchedule::new(0.0, 30_000.0, 1);
    assert_eq!(refresh.next_request_ms(), 0.0);
    for (n, max_ms) in [
        250.0, 500.0, 1000.0, 2000.0, 4000.0, 8000.0, 16000.0, 30000.0, 30000.0,
    ]
    .iter()
    .enumerate()
    {
        refresh.on_response(0.0, false);
        assert!(
            (max_ms / 2.0..=*max_ms).contains(&refresh.next_request_ms()),
            "{n}: {}",
            refresh.next_request_ms()
        );
    }
    refresh.on_response(0.0, true);
    assert!((24_000.0..=30_000.0).contains(&refresh.next_request_ms()));
}

#[test]
fn jitter_spreads_the_retries_of_a_fleet() {
    let retry_ms = |seed| {
        let mut refresh = RefreshSchedule::new(0.0, 30_000.0, seed);
        (0..6).for_each(|_| refresh.on_response(0.0, false));
        refresh.next_request_ms()
    };
    let mut retries_ms: Vec<f64> = (0..100).map(retry_ms).collect();
    retries_ms.sort_by(f64::total_cmp);
    assert!(retries_ms[90] - retries_ms[10] > 2000.0, "{retries_ms:?}");
}

#[test]
fn early_requests_are_limited_to_one_per_second() {
    let mut refresh = RefreshSchedule::new(0.0, 30_000.0, 1);
    let mut requests = 0;
    for now_ms in 0..10_000 {
        refresh.request_early();
        if f64::from(now_ms) >= refresh.next_request_ms() {
            refresh.on_request(now_ms.into());
            refresh.on_response(now_ms.into(), true);
            requests += 1;
        }
    }
    assert_eq!(requests, 10);
}
