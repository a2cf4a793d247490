//! State that a hot restart transfers.

use asterdale_identity::keyring::KeySetError;
use asterdale_identity::{AccessRequest, DenialReason, Identity, IdentitySettings, Tenant};

use crate::support::*;

/// Settings that list the tenants in another order, and one more.
fn next_settings() -> IdentitySettings {
    let mut next_settings = settings();
    next_settings.tenants.reverse();
    let added = Tenant {
        name: string("c"),
        scheduling_tenant: 0,
        roles: vec![],
    };
    next_settings.tenants.insert(0, added);
    next_settings
}

#[test]
fn transferred_state_keeps_keys_revocations_and_tenant_numbers() {
    let mut before = identity();
    let revoked = signed_set(2, |set| {
        set.revoked.keys.insert(string("k1"));
    });
    before.offer_key_set(NOW_MS, revoked.as_bytes()).unwrap();
    before
        .offer_key_set(NOW_MS, signed_set(3, |_| ()).as_bytes())
        .unwrap();
    let other = token(2, |claims| *claims = claims_of_tenant_b());
    let caller = before
        .authenticate(NOW_MS, credentials(&other, NOW_MS))
        .unwrap();
    let request = AccessRequest {
        request_class: 0,
        declared_cost_ms: None,
        is_repeat: false,
    };
    let permit = before
        .authorize(NOW_MS, &caller, &request)
        .unwrap()
        .unwrap();
    let owner = before.permit_owner(&permit);
    let mut after = Identity::new(NOW_MS, next_settings()).unwrap();
    after.restore_state(NOW_MS, before.export_state()).unwrap();
    assert_eq!(authenticate(&mut after, NOW_MS, &other), Ok(caller.tenant));
    assert_eq!(
        authenticate(&mut after, NOW_MS, &token(1, |_| ())),
        Err(DenialReason::KeyRevoked)
    );
    assert_eq!(
        after.offer_key_set(NOW_MS, signed_set(2, |_| ()).as_bytes()),
        Err(KeySetError::OlderSequence)
    );
    let permit = after.reacquire(&owner).unwrap();
    assert_eq!(after.authorizer().open_requests(caller.tenant), 1);
    after.release(permit);
    assert_eq!(
        (
            after.authorizer().open_requests(caller.tenant),
            after.reacquire(&(9, string("clerk")))
        ),
        (0, None)
    );
}
