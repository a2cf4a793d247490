//! State that a hot restart transfers.

use asterdale_identity::keyring::KeySetError;
use asterdale_identity::{AccessRequest, Credentials, DenialReason, Identity, Tenant};

use crate::support::*;

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
    let caller = Credentials {
        token: Some(other.as_bytes()),
        certificate: None,
        edge_node: 4,
        received_ms: NOW_MS,
    };
    let caller = before.authenticate(NOW_MS, caller).unwrap();
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
    // The new settings list the tenants in another order, and one more.
    let mut next_settings = settings();
    next_settings.tenants.reverse();
    next_settings.tenants.insert(
        0,
        Tenant {
            name: string("c"),
            scheduling_tenant: 0,
            roles: vec![],
        },
    );
    let mut after = Identity::new(NOW_MS, next_settings).unwrap();
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
