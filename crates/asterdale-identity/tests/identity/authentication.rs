//! Authentication by tokens.

use asterdale_identity::mint::sign_jws;
use asterdale_identity::token::{Audience, Claims};
use asterdale_identity::{Credentials, Denial, DenialReason};
use serde_json::json;

use crate::support::*;

#[test]
fn tokens_are_accepted_by_key_phase_and_validity_period() {
    let mut identity = identity();
    for (key, now_ms, expected) in [
        (1, NOW_MS, Ok(0)),
        (2, NOW_MS, Ok(0)),
        (3, NOW_MS, Err(DenialReason::KeyNotYetActive)),
        (4, NOW_MS, Err(DenialReason::KeyRetired)),
        (5, NOW_MS, Err(DenialReason::KeyUnknown)),
        (1, NOW_MS + 5_499.0, Ok(0)),
        (1, NOW_MS + 5_500.0, Err(DenialReason::KeyRetired)),
        (3, NOW_MS + 4_500.0, Ok(0)),
        (2, NOW_MS + 10_499.0, Ok(0)),
        (2, NOW_MS + 10_500.0, Err(DenialReason::Expired)),
    ] {
        assert_eq!(
            authenticate(&mut identity, now_ms, &token(key, |_| ())),
            expected,
            "key {key} at {}",
            now_ms - NOW_MS
        );
    }
    let early = token(2, |claims| claims.nbf = Some((NOW_MS + 1_000.0) / 1000.0));
    assert_eq!(
        authenticate(&mut identity, NOW_MS + 499.0, &early),
        Err(DenialReason::NotYetValid)
    );
    assert_eq!(authenticate(&mut identity, NOW_MS + 501.0, &early), Ok(0));
}

#[test]
fn each_invalid_token_is_denied_with_its_reason() {
    let mut identity = identity();
    type Change = fn(&mut Claims);
    let changes: [(Change, DenialReason); 3] = [
        (
            |claims| claims.iss = string("other"),
            DenialReason::WrongIssuer,
        ),
        (
            |claims| claims.aud = Audience::Several(vec![string("x")]),
            DenialReason::WrongAudience,
        ),
        (
            |claims| claims.tenant = string("c"),
            DenialReason::UnknownTenant,
        ),
    ];
    for (change, reason) in changes {
        assert_eq!(
            authenticate(&mut identity, NOW_MS, &token(2, change)),
            Err(reason)
        );
    }
    let forged = sign_jws(
        &secret_key(7),
        &json!({"alg": "EdDSA", "kid": "k2"}),
        &json!(claims("a", "1")),
    );
    assert_eq!(
        authenticate(&mut identity, NOW_MS, &forged),
        Err(DenialReason::BadSignature)
    );
    let no_credentials = Credentials {
        token: None,
        certificate: None,
        edge_node: 4,
        received_ms: NOW_MS,
    };
    assert_eq!(
        identity.authenticate(NOW_MS, no_credentials).unwrap_err(),
        Denial::from(DenialReason::MissingCredentials)
    );
    assert_eq!(
        authenticate(&mut identity, NOW_MS, &"x".repeat(5000)),
        Err(DenialReason::Malformed)
    );
}

#[test]
fn invalid_tokens_use_up_the_budget_of_their_edge_node_only() {
    let mut identity = identity();
    let cached = token(2, |_| ());
    assert_eq!(authenticate(&mut identity, NOW_MS, &cached), Ok(0));
    let forged_token = |n: u32| {
        sign_jws(
            &secret_key(7),
            &json!({"alg": "EdDSA", "kid": "k2"}),
            &json!(claims("a", &n.to_string())),
        )
    };
    let mut over_budget = 0;
    for n in 0..500 {
        over_budget += u32::from(
            authenticate(&mut identity, NOW_MS, &forged_token(n))
                == Err(DenialReason::SignatureBudget),
        );
    }
    assert!(over_budget > 480, "{over_budget}");
    assert_eq!(
        authenticate(&mut identity, NOW_MS, &cached),
        Ok(0),
        "a cached token through the same edge node"
    );
    let new = token(2, |claims| claims.jti = string("new"));
    let through_other_edge_node = Credentials {
        edge_node: 5,
        ..credentials(&new, NOW_MS)
    };
    assert!(identity
        .authenticate(NOW_MS, through_other_edge_node)
        .is_ok());
    assert_eq!(
        authenticate(&mut identity, NOW_MS, &new),
        Ok(0),
        "the token is cached by now"
    );
    let late = token(2, |claims| claims.jti = string("late"));
    let denial = identity
        .authenticate(NOW_MS, credentials(&late, NOW_MS))
        .unwrap_err();
    assert!(
        denial.reason == DenialReason::SignatureBudget && denial.retry_after_ms > 0.0,
        "{denial:?}"
    );
}

#[test]
fn clock_jumps_extend_no_validity_period() {
    let mut identity = identity();
    let short = token(2, |claims| claims.exp = (NOW_MS + 1_000.0) / 1000.0);
    assert_eq!(authenticate(&mut identity, NOW_MS, &short), Ok(0));
    assert_eq!(
        authenticate(&mut identity, NOW_MS + 1e9, &short),
        Err(DenialReason::NoUsableKeySet)
    );
    assert_eq!(
        authenticate(&mut identity, NOW_MS + 2_000.0, &short),
        Err(DenialReason::Expired)
    );
    // The token was valid at this time, and the later denial was not cached.
    assert_eq!(authenticate(&mut identity, NOW_MS, &short), Ok(0));
    // A time of receipt in the future is clamped to the current time.
    let received_in_future = Credentials {
        received_ms: NOW_MS + 1e9,
        ..credentials(&short, NOW_MS)
    };
    assert!(identity.authenticate(NOW_MS, received_in_future).is_ok());
    assert_eq!(
        authenticate(&mut identity, 0.0, &short),
        Err(DenialReason::KeyNotYetActive)
    );
    // A time of receipt in the past is clamped to the clock skew.
    let received_long_ago = |now_ms| Credentials {
        received_ms: now_ms - 1e6,
        ..credentials(&short, now_ms)
    };
    assert!(identity
        .authenticate(NOW_MS + 1_999.0, received_long_ago(NOW_MS + 1_999.0))
        .is_ok());
    assert_eq!(
        identity
            .authenticate(NOW_MS + 2_000.0, received_long_ago(NOW_MS + 2_000.0))
            .unwrap_err()
            .reason,
        DenialReason::Expired
    );
}

#[test]
fn retries_of_a_revoked_token_neither_allocate_nor_verify() {
    let mut identity = identity();
    let revoked = signed_set(2, |set| {
        set.revoked.tokens.insert(string("1"));
    });
    identity.offer_key_set(NOW_MS, revoked.as_bytes()).unwrap();
    let token = token(2, |_| ());
    assert_eq!(
        authenticate(&mut identity, NOW_MS, &token),
        Err(DenialReason::TokenRevoked)
    );
    let measured = allocation_counter::measure(|| {
        for _ in 0..100 {
            assert_eq!(
                authenticate(&mut identity, NOW_MS, &token),
                Err(DenialReason::TokenRevoked)
            );
        }
    });
    assert_eq!(
        (measured.count_total, identity.signatures_checked()),
        (0, 0)
    );
}
