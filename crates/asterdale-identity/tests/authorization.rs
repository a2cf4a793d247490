//! Authorization by tenant and role.

use asterdale_identity::{
    AccessRequest, Authorizer, ConcurrencyPermit, Denial, DenialReason, Role, Tenant, MAX_TENANTS,
};

fn role(name: &str, request_classes: &[usize]) -> Role {
    let (name, request_classes) = (name.to_owned(), request_classes.to_vec());
    Role {
        name,
        request_classes,
        max_concurrent: 2,
        requests_per_s: 1.0,
        burst: 3.0,
        max_cost_ms: 50.0,
    }
}

fn tenant(name: &str, roles: &[&str]) -> Tenant {
    let roles = roles.iter().map(|role| (*role).to_owned()).collect();
    Tenant {
        name: name.to_owned(),
        scheduling_tenant: 7,
        roles,
    }
}

fn request(request_class: usize, declared_cost_ms: Option<f64>, is_repeat: bool) -> AccessRequest {
    AccessRequest {
        request_class,
        declared_cost_ms,
        is_repeat,
    }
}

fn authorizer() -> Authorizer {
    let mut authorizer = Authorizer::default();
    let tenants = [tenant("a", &["clerk", "phone"]), tenant("b", &["clerk"])];
    authorizer
        .configure(&[role("clerk", &[0]), role("phone", &[1])], &tenants)
        .unwrap();
    authorizer
}

fn authorize(
    authorizer: &mut Authorizer,
    now_ms: f64,
    tenant: u32,
    roles: &[&str],
    request_class: usize,
) -> Result<Option<ConcurrencyPermit>, DenialReason> {
    let roles: Vec<String> = roles.iter().map(|role| (*role).to_owned()).collect();
    authorizer
        .authorize(
            now_ms,
            tenant,
            &roles,
            &request(request_class, Some(1.0), false),
        )
        .map_err(|denial| denial.reason)
}

#[test]
fn roles_permit_their_request_classes_to_granted_tenants() {
    let mut authorizer = authorizer();
    let (tenant_a, tenant_b) = (
        authorizer.tenant_number("a").unwrap(),
        authorizer.tenant_number("b").unwrap(),
    );
    assert!(authorize(&mut authorizer, 0.0, tenant_a, &["clerk"], 0).is_ok());
    assert_eq!(
        authorize(&mut authorizer, 0.0, tenant_a, &["clerk"], 1),
        Err(DenialReason::RequestClassNotAllowed)
    );
    assert!(authorize(&mut authorizer, 0.0, tenant_a, &["clerk", "phone"], 1).is_ok());
    assert_eq!(
        authorize(&mut authorizer, 0.0, tenant_b, &["phone"], 1),
        Err(DenialReason::RoleNotGranted)
    );
    assert_eq!(
        authorize(&mut authorizer, 0.0, tenant_b, &["unknown"], 0),
        Err(DenialReason::RoleNotGranted)
    );
    assert_eq!(
        authorize(&mut authorizer, 0.0, tenant_b, &[], 0),
        Err(DenialReason::RoleNotGranted)
    );
    assert_eq!(
        authorize(&mut authorizer, 0.0, 9, &["clerk"], 0),
        Err(DenialReason::UnknownTenant)
    );
    assert_eq!(
        (
            authorizer.scheduling_tenant(tenant_a),
            authorizer.tenant_number("c")
        ),
        (7, None)
    );
    let roles = ["phone".to_owned()];
    let cost_denial = authorizer
        .authorize(0.0, tenant_a, &roles, &request(1, Some(50.1), false))
        .unwrap_err();
    assert_eq!(
        cost_denial,
        Denial {
            reason: DenialReason::CostNotAllowed,
            retry_after_ms: 0.0
        }
    );
    assert!(authorizer
        .authorize(0.0, tenant_a, &roles, &request(1, None, false))
        .is_ok());
}

#[test]
fn quotas_limit_concurrency_and_rate() {
    let mut authorizer = authorizer();
    let tenant_a = authorizer.tenant_number("a").unwrap();
    let one = authorize(&mut authorizer, 0.0, tenant_a, &["clerk"], 0)
        .unwrap()
        .unwrap();
    let two = authorize(&mut authorizer, 0.0, tenant_a, &["clerk"], 0)
        .unwrap()
        .unwrap();
    assert_eq!(
        (
            authorize(&mut authorizer, 0.0, tenant_a, &["clerk"], 0),
            authorizer.open_requests(tenant_a)
        ),
        (Err(DenialReason::ConcurrencyQuota), 2)
    );
    // Other roles of the tenant, and other tenants, have quotas of their own.
    assert!(
        authorize(&mut authorizer, 0.0, tenant_a, &["phone"], 1).is_ok()
            && authorize(&mut authorizer, 0.0, 1, &["clerk"], 0).is_ok()
    );
    authorizer.release(one);
    authorizer.release(two);
    let three = authorize(&mut authorizer, 0.0, tenant_a, &["clerk"], 0)
        .unwrap()
        .unwrap();
    authorizer.release(three);
    let roles = ["clerk".to_owned()];
    let rate_denial = authorizer
        .authorize(250.0, tenant_a, &roles, &request(0, None, false))
        .unwrap_err();
    assert_eq!(
        rate_denial,
        Denial {
            reason: DenialReason::RateQuota,
            retry_after_ms: 750.0
        }
    );
    // A repeat is permitted nevertheless, as it is not subject to the quota.
    assert_eq!(
        authorizer.authorize(250.0, tenant_a, &roles, &request(0, None, true)),
        Ok(None)
    );
    assert!(authorize(&mut authorizer, 1000.0, tenant_a, &["clerk"], 0).is_ok());
}

#[test]
fn reconfiguring_keeps_tenant_numbers_and_open_requests() {
    let mut authorizer = authorizer();
    let (tenant_a, tenant_b) = (
        authorizer.tenant_number("a").unwrap(),
        authorizer.tenant_number("b").unwrap(),
    );
    let permit = authorize(&mut authorizer, 0.0, tenant_b, &["clerk"], 0)
        .unwrap()
        .unwrap();
    authorizer
        .configure(
            &[role("other", &[]), role("clerk", &[0, 1])],
            &[tenant("c", &["clerk"])],
        )
        .unwrap();
    assert_eq!(
        (authorizer.tenant_number("a"), authorizer.tenant_number("b")),
        (None, None)
    );
    let tenant_c = authorizer.tenant_number("c").unwrap();
    assert!(
        tenant_c != tenant_a && tenant_c != tenant_b,
        "a tenant number was reused"
    );
    assert_eq!(
        authorize(&mut authorizer, 0.0, tenant_b, &["clerk"], 0),
        Err(DenialReason::UnknownTenant)
    );
    authorizer
        .configure(&[role("clerk", &[0])], &[tenant("b", &["clerk"])])
        .unwrap();
    assert_eq!(
        (
            authorizer.tenant_number("b"),
            authorizer.open_requests(tenant_b)
        ),
        (Some(tenant_b), 1)
    );
    authorizer.release(permit);
    assert_eq!(authorizer.open_requests(tenant_b), 0);
    let many: Vec<Tenant> = (0..MAX_TENANTS)
        .map(|n| tenant(&format!("n{n}"), &[]))
        .collect();
    assert!(authorizer.configure(&[], &many).is_err());
    assert_eq!(authorizer.tenant_number("b"), Some(tenant_b));
}
