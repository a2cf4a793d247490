//! Changes of settings, and the status of denials.

use asterdale_identity::keyring::parse_public_key;
use asterdale_identity::{DenialReason, DenialStatus, IdentitySettings, Tenant};

use crate::support::*;

#[test]
fn changed_settings_apply_at_once() {
    let mut identity = identity();
    let good = token(2, |_| ());
    assert_eq!(authenticate(&mut identity, NOW_MS, &good), Ok(0));
    identity
        .reconfigure(IdentitySettings {
            audience: string("other"),
            ..settings()
        })
        .unwrap();
    assert_eq!(
        authenticate(&mut identity, NOW_MS, &good),
        Err(DenialReason::WrongAudience)
    );
    let tenants = vec![Tenant {
        name: string("b"),
        scheduling_tenant: 0,
        roles: vec![],
    }];
    identity
        .reconfigure(IdentitySettings {
            tenants,
            ..settings()
        })
        .unwrap();
    assert_eq!(
        authenticate(&mut identity, NOW_MS, &good),
        Err(DenialReason::UnknownTenant)
    );
    identity.reconfigure(settings()).unwrap();
    assert_eq!(authenticate(&mut identity, NOW_MS, &good), Ok(0));
}

#[test]
fn only_denials_of_requests_that_never_ran_are_429_or_503() {
    use DenialReason::*;
    for reason in [
        MissingCredentials,
        Malformed,
        BadSignature,
        Expired,
        TokenRevoked,
        SubjectRevoked,
        KeyRevoked,
        KeyRetired,
    ] {
        assert_eq!(reason.status(), DenialStatus::Unauthenticated);
    }
    for reason in [
        UnknownTenant,
        RoleNotGranted,
        RequestClassNotAllowed,
        CostNotAllowed,
    ] {
        assert_eq!(reason.status(), DenialStatus::Forbidden);
    }
    assert_eq!(
        [ConcurrencyQuota, RateQuota].map(DenialReason::status),
        [DenialStatus::QuotaExceeded; 2]
    );
    assert_eq!(
        [NoUsableKeySet, SignatureBudget].map(DenialReason::status),
        [DenialStatus::Unavailable; 2]
    );
}

#[test]
fn a_public_key_is_parsed_from_base64url() {
    assert_eq!(
        parse_public_key(&secret_key(1).public_key_text()),
        Some(secret_key(1).public_key())
    );
    for bad in ["", "x", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"] {
        assert_eq!(parse_public_key(bad), None, "{bad}");
    }
}
