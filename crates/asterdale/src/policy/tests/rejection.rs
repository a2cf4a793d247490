use super::support::*;

#[test]
fn retry_after_is_long_only_with_many_other_servers() {
    for (servers, min_ms, max_ms) in [(16.0, 375.0, 750.0), (3.0, 10.0, 10.0)] {
        let mut server = started(Parameters {
            servers,
            max_retry_after_ms: 1_000.0,
            ..parameters()
        });
        server.tenants[0].recent_arrivals.add(100.0);
        let advice = server.retry_advice();
        let (last_attempt, retry_after_ms) = (advice.last_attempt, advice.retry_after_ms);
        assert!(
            !last_attempt && (min_ms..=max_ms).contains(&retry_after_ms),
            "{servers}: {retry_after_ms}"
        );
        server.rejections.recent.add(40.0);
        let advice = server.retry_advice();
        let (last_attempt, retry_after_ms) = (advice.last_attempt, advice.retry_after_ms);
        assert!(
            last_attempt && (200.0..=400.0).contains(&retry_after_ms),
            "{servers}: {retry_after_ms}"
        );
    }
}

#[test]
fn peer_counts_change_quota_and_retry_advice() {
    let mut server = started(Parameters {
        tenants: vec![crate::parameters::TenantParameters { quota_per_s: 100.0 }],
        ..parameters()
    });
    // 10 requests per second arrived here. The quota is 100 / 20 servers; with ten servers it is 10.
    server.tenants[0].recent_arrivals.add(40.0);
    assert!(server.quota_factor(&server.tenants[0]) < 1.0);
    server.set_peers(Some(PeerCounts {
        present: 9.0,
        ready: 9.0,
    }));
    assert_eq!(server.quota_factor(&server.tenants[0]), 1.0);
    assert!(!server.retry_advice().last_attempt);
    // No other server is ready: a retry there would be rejected, or overload it.
    server.set_peers(Some(PeerCounts {
        present: 9.0,
        ready: 0.0,
    }));
    assert!(server.retry_advice().last_attempt);
    // Without other servers no work can be moved.
    server.set_peers(Some(PeerCounts {
        present: 0.0,
        ready: 0.0,
    }));
    assert!(server.retry_advice().last_attempt && server.retry_advice().retry_after_ms <= TICK_MS);
    // Without a view of the fleet the number of servers is that at the start.
    server.set_peers(None);
    assert!(!server.retry_advice().last_attempt && server.quota_factor(&server.tenants[0]) < 1.0);
}

#[test]
fn retry_elsewhere_is_allowed_unless_many_are_rejected() {
    let mut server = started(Parameters {
        slow_start: true,
        ..parameters()
    });
    server.tenants[0].recent_arrivals.add(100.0);
    server.rejections.recent.add(8.0);
    assert!(!server.retry_advice().last_attempt && server.retry_advice().retry_after_ms >= 500.0);
    server.rejections.recent.add(12.0);
    assert!(server.retry_advice().retry_after_ms <= 200.0);
    assert!(server.retry_advice().last_attempt);
    server.limiter.median_ratio = 3.0;
    assert!(server.retry_advice().last_attempt);
}
