//! The two gates with real tokens and sets.

use serde_json::json;

use crate::authorization::{Denial, Role, Tenant};
use crate::keyring::{parse_public_key, KeySet, KeySetOutcome, PublicJwk, Revocations};
use crate::mint::{sign_jws, SecretKey};
use crate::token::{Audience, Claims};
use crate::{
    Certificate, CertificateMapping, Credentials, DenialReason, DenialStatus, Identity,
    IdentitySettings,
};

const NOW: f64 = 1_000_000.0;

fn text(text: &str) -> String {
    text.to_owned()
}

fn secret(n: u8) -> SecretKey {
    SecretKey::from_seed([n; 32], &format!("k{n}"))
}

fn facts() -> IdentitySettings {
    let role = |name: &str, stages: &[usize]| Role {
        name: text(name),
        request_classes: stages.to_vec(),
        max_concurrent: 9,
        requests_per_s: 100.0,
        burst: 100.0,
        max_cost_ms: f64::INFINITY,
    };
    let tenant = |name: &str| Tenant {
        name: text(name),
        scheduling_tenant: 1,
        roles: vec![text("clerk")],
    };
    IdentitySettings {
        seed: 5,
        issuer: text("issuer"),
        audience: text("asterdale"),
        root_keys: vec![secret(99).public_key()],
        max_key_set_age_ms: 60_000.0,
        clock_skew_ms: 500.0,
        cached_tokens: 64,
        signatures_per_edge_per_s: 10.0,
        signatures_per_s: 100.0,
        roles: vec![role("clerk", &[0])],
        tenants: vec![tenant("a"), tenant("b")],
        certificate_mappings: vec![CertificateMapping {
            name: text("uri:desk"),
            tenant: text("a"),
            subject: text("desk"),
            roles: vec![text("clerk")],
        }],
    }
}

fn set(seq: u64, change: impl FnOnce(&mut KeySet)) -> String {
    let key = |n: u8, from_ms, until_ms| {
        let secret = secret(n);
        let (kty, crv) = (text("OKP"), text("Ed25519"));
        PublicJwk {
            kty,
            crv,
            kid: text(secret.id()),
            x: secret.public_key_text(),
            from_ms,
            until_ms,
        }
    };
    let keys = vec![
        key(1, 0.0, Some(NOW + 5_000.0)),
        key(2, NOW - 5_000.0, None),
        key(3, NOW + 5_000.0, None),
        key(4, 0.0, Some(NOW - 5_000.0)),
    ];
    let mut set = KeySet {
        seq,
        issued_ms: NOW,
        keys,
        revoked: Revocations::default(),
    };
    change(&mut set);
    secret(99).sign_key_set(&set)
}

fn identity() -> Identity {
    let mut identity = Identity::new(NOW, facts()).unwrap();
    assert_eq!(
        identity.offer_key_set(NOW, set(1, |_| ()).as_bytes()),
        Ok(KeySetOutcome::Adopted)
    );
    identity
}

fn claims(tenant: &str, jti: &str) -> Claims {
    Claims {
        iss: text("issuer"),
        aud: Audience::One(text("asterdale")),
        sub: text("s"),
        tenant: text(tenant),
        roles: vec![text("clerk")],
        exp: (NOW + 10_000.0) / 1000.0,
        nbf: None,
        iat: None,
        jti: text(jti),
    }
}

fn token(key: u8, change: impl FnOnce(&mut Claims)) -> String {
    let mut claims = claims("a", "1");
    change(&mut claims);
    secret(key).sign_token(&claims)
}

fn ask(identity: &mut Identity, now: f64, token: &str) -> Result<u32, DenialReason> {
    let ask = Credentials {
        token: Some(token.as_bytes()),
        certificate: None,
        edge_node: 4,
        received_ms: now,
    };
    identity
        .authenticate(now, ask)
        .map(|caller| caller.tenant)
        .map_err(|denied| denied.reason)
}

#[test]
fn keys_in_every_phase_and_tokens_at_every_time() {
    let mut identity = identity();
    for (key, now, want) in [
        (1, NOW, Ok(0)),
        (2, NOW, Ok(0)),
        (3, NOW, Err(DenialReason::KeyNotYetActive)),
        (4, NOW, Err(DenialReason::KeyRetired)),
        (5, NOW, Err(DenialReason::KeyUnknown)),
        (1, NOW + 5_499.0, Ok(0)),
        (1, NOW + 5_500.0, Err(DenialReason::KeyRetired)),
        (3, NOW + 4_500.0, Ok(0)),
        (2, NOW + 10_499.0, Ok(0)),
        (2, NOW + 10_500.0, Err(DenialReason::Expired)),
    ] {
        assert_eq!(
            ask(&mut identity, now, &token(key, |_| ())),
            want,
            "key {key} at {}",
            now - NOW
        );
    }
    let early = token(2, |claims| claims.nbf = Some((NOW + 1_000.0) / 1000.0));
    assert_eq!(
        ask(&mut identity, NOW + 499.0, &early),
        Err(DenialReason::NotYetValid)
    );
    assert_eq!(ask(&mut identity, NOW + 501.0, &early), Ok(0));
}

#[test]
fn what_is_not_meant_for_here_is_refused_and_each_says_why() {
    let mut identity = identity();
    type Change = fn(&mut Claims);
    let changes: [(Change, DenialReason); 3] = [
        (
            |claims| claims.iss = text("other"),
            DenialReason::WrongIssuer,
        ),
        (
            |claims| claims.aud = Audience::Several(vec![text("x")]),
            DenialReason::WrongAudience,
        ),
        (
            |claims| claims.tenant = text("c"),
            DenialReason::UnknownTenant,
        ),
    ];
    for (change, why) in changes {
        assert_eq!(ask(&mut identity, NOW, &token(2, change)), Err(why));
    }
    let forged = sign_jws(
        &secret(7),
        &json!({"alg": "EdDSA", "kid": "k2"}),
        &json!(claims("a", "1")),
    );
    assert_eq!(
        ask(&mut identity, NOW, &forged),
        Err(DenialReason::BadSignature)
    );
    let none = Credentials {
        token: None,
        certificate: None,
        edge_node: 4,
        received_ms: NOW,
    };
    assert_eq!(
        identity.authenticate(NOW, none).unwrap_err(),
        Denial::from(DenialReason::MissingCredentials)
    );
    assert_eq!(
        ask(&mut identity, NOW, &"x".repeat(5000)),
        Err(DenialReason::Malformed)
    );
}

#[test]
fn nothing_outlives_what_it_rests_on_however_well_it_is_remembered() {
    type Change = fn(&mut KeySet);
    let changes: [(Change, DenialReason); 5] = [
        (
            |set| {
                set.revoked.tokens.insert(text("1"));
            },
            DenialReason::TokenRevoked,
        ),
        (
            |set| {
                set.revoked.subjects.insert(text("a/s"));
            },
            DenialReason::SubjectRevoked,
        ),
        (
            |set| {
                set.revoked.tenants.insert(text("a"));
            },
            DenialReason::TenantRevoked,
        ),
        (
            |set| {
                set.revoked.keys.insert(text("k2"));
            },
            DenialReason::KeyRevoked,
        ),
        (
            |set| set.keys.retain(|key| key.kid != "k2"),
            DenialReason::KeyRetired,
        ),
    ];
    for (change, why) in changes {
        let mut identity = identity();
        let (good, other) = (token(2, |_| ()), token(1, |claims| *claims = claims_of_b()));
        assert_eq!(
            (
                ask(&mut identity, NOW, &good),
                ask(&mut identity, NOW, &other)
            ),
            (Ok(0), Ok(1))
        );
        let caller = Credentials {
            token: Some(good.as_bytes()),
            certificate: None,
            edge_node: 4,
            received_ms: NOW,
        };
        let caller = identity.authenticate(NOW, caller).unwrap();
        assert_eq!(identity.revocation(&caller), None);
        identity
            .offer_key_set(NOW, set(2, change).as_bytes())
            .unwrap();
        let checked = identity.cost().0;
        for _ in 0..1000 {
            assert_eq!(ask(&mut identity, NOW, &good), Err(why));
        }
        assert_eq!(
            identity.revocation(&caller),
            (why != DenialReason::KeyRetired).then_some(why)
        );
        assert_eq!(ask(&mut identity, NOW, &other), Ok(1));
        assert_eq!(identity.cost().0, checked, "a signature was checked");
    }
}

fn claims_of_b() -> Claims {
    Claims {
        sub: text("other"),
        ..claims("b", "2")
    }
}

#[test]
fn without_a_set_or_with_one_too_old_nobody_is_judged_but_the_revoked() {
    let good = token(2, |claims| claims.exp += 1e6);
    let mut identity = Identity::new(NOW, facts()).unwrap();
    // Its key is not known to be unknown: there is no set.
    assert_eq!(
        ask(&mut identity, NOW, &good),
        Err(DenialReason::NoUsableKeySet)
    );
    identity
        .offer_key_set(
            NOW,
            set(1, |set| {
                set.revoked.tokens.insert(text("9"));
            })
            .as_bytes(),
        )
        .unwrap();
    assert_eq!(ask(&mut identity, NOW + 60_000.0, &good), Ok(0));
    let revoked = token(2, |claims| (claims.exp, claims.jti) = (1e9, text("9")));
    assert_eq!(
        ask(&mut identity, NOW + 60_001.0, &good),
        Err(DenialReason::NoUsableKeySet)
    );
    assert_eq!(
        ask(&mut identity, NOW + 60_001.0, &revoked),
        Err(DenialReason::TokenRevoked)
    );
    let fresh = set(2, |set| set.issued_ms = NOW + 60_000.0);
    identity
        .offer_key_set(NOW + 60_001.0, fresh.as_bytes())
        .unwrap();
    assert_eq!(ask(&mut identity, NOW + 60_001.0, &good), Ok(0));
}

#[test]
fn a_flood_of_new_wrong_tokens_costs_its_own_edge_node_alone() {
    let mut identity = identity();
    let known = token(2, |_| ());
    assert_eq!(ask(&mut identity, NOW, &known), Ok(0));
    let wrong = |n: u32| {
        sign_jws(
            &secret(7),
            &json!({"alg": "EdDSA", "kid": "k2"}),
            &json!(claims("a", &n.to_string())),
        )
    };
    let mut busy = 0;
    for n in 0..500 {
        busy += u32::from(ask(&mut identity, NOW, &wrong(n)) == Err(DenialReason::SignatureBudget));
    }
    assert!(busy > 480, "{busy}");
    assert_eq!(
        ask(&mut identity, NOW, &known),
        Ok(0),
        "a known one through the same edge node"
    );
    let new = token(2, |claims| claims.jti = text("new"));
    let elsewhere = Credentials {
        token: Some(new.as_bytes()),
        certificate: None,
        edge_node: 5,
        received_ms: NOW,
    };
    assert!(identity.authenticate(NOW, elsewhere).is_ok());
    let here = Credentials {
        edge_node: 4,
        ..elsewhere
    };
    assert!(
        identity.authenticate(NOW, here).is_ok(),
        "it is known by now"
    );
    let late = token(2, |claims| claims.jti = text("late"));
    let denied = identity
        .authenticate(
            NOW,
            Credentials {
                token: Some(late.as_bytes()),
                ..here
            },
        )
        .unwrap_err();
    assert!(
        denied.reason == DenialReason::SignatureBudget && denied.retry_after_ms > 0.0,
        "{denied:?}"
    );
}

#[test]
fn a_clock_that_jumps_lengthens_no_life() {
    let mut identity = identity();
    let short = token(2, |claims| claims.exp = (NOW + 1_000.0) / 1000.0);
    assert_eq!(ask(&mut identity, NOW, &short), Ok(0));
    assert_eq!(
        ask(&mut identity, NOW + 1e9, &short),
        Err(DenialReason::NoUsableKeySet)
    );
    assert_eq!(
        ask(&mut identity, NOW + 2_000.0, &short),
        Err(DenialReason::Expired)
    );
    // It was valid then; that it is not now is not remembered against it.
    assert_eq!(ask(&mut identity, NOW, &short), Ok(0));
    // One that says that it arrives later than now is judged at now.
    let ahead = Credentials {
        token: Some(short.as_bytes()),
        certificate: None,
        edge_node: 4,
        received_ms: NOW + 1e9,
    };
    assert!(identity.authenticate(NOW, ahead).is_ok());
    assert_eq!(
        ask(&mut identity, 0.0, &short),
        Err(DenialReason::KeyNotYetActive)
    );
    // A stamp from long ago is worth no more than the skew.
    let old = |now| Credentials {
        token: Some(short.as_bytes()),
        certificate: None,
        edge_node: 4,
        received_ms: now - 1e6,
    };
    assert!(identity
        .authenticate(NOW + 1_999.0, old(NOW + 1_999.0))
        .is_ok());
    assert_eq!(
        identity
            .authenticate(NOW + 2_000.0, old(NOW + 2_000.0))
            .unwrap_err()
            .reason,
        DenialReason::Expired
    );
}

#[test]
fn a_new_start_file_holds_at_once() {
    let mut identity = identity();
    let good = token(2, |_| ());
    assert_eq!(ask(&mut identity, NOW, &good), Ok(0));
    identity
        .reconfigure(IdentitySettings {
            audience: text("other"),
            ..facts()
        })
        .unwrap();
    assert_eq!(
        ask(&mut identity, NOW, &good),
        Err(DenialReason::WrongAudience)
    );
    let tenants = vec![Tenant {
        name: text("b"),
        scheduling_tenant: 0,
        roles: vec![],
    }];
    identity
        .reconfigure(IdentitySettings { tenants, ..facts() })
        .unwrap();
    assert_eq!(
        ask(&mut identity, NOW, &good),
        Err(DenialReason::UnknownTenant)
    );
    identity.reconfigure(facts()).unwrap();
    assert_eq!(ask(&mut identity, NOW, &good), Ok(0));
}

#[test]
fn only_what_never_ran_is_told_as_such() {
    use DenialReason::*;
    for why in [
        MissingCredentials,
        Malformed,
        BadSignature,
        Expired,
        TokenRevoked,
        SubjectRevoked,
        KeyRevoked,
        KeyRetired,
    ] {
        assert_eq!(why.status(), DenialStatus::Unauthenticated);
    }
    for why in [
        UnknownTenant,
        RoleNotGranted,
        RequestClassNotAllowed,
        CostNotAllowed,
    ] {
        assert_eq!(why.status(), DenialStatus::Forbidden);
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
fn a_root_key_is_read_from_its_text() {
    assert_eq!(
        parse_public_key(&secret(1).public_key_text()),
        Some(secret(1).public_key())
    );
    for bad in ["", "x", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"] {
        assert_eq!(parse_public_key(bad), None, "{bad}");
    }
}

#[test]
fn a_certificate_speaks_for_what_comes_without_a_token_under_the_same_rules() {
    let mut identity = identity();
    let shown = Certificate {
        names: vec![text("dns:elsewhere"), text("uri:desk")],
        not_before_ms: NOW - 5_000.0,
        not_after_ms: NOW + 5_000.0,
        sha256_hex: text("00ff"),
    };
    let mut ask_by = |now: f64, shown: &Certificate, token: Option<&str>, set: Option<String>| {
        if let Some(set) = set {
            identity.offer_key_set(now, set.as_bytes()).unwrap();
        }
        let token = token.map(str::as_bytes);
        let ask = Credentials {
            token,
            certificate: Some(shown),
            edge_node: 4,
            received_ms: now,
        };
        identity
            .authenticate(now, ask)
            .map(|caller| caller.claims.sub.clone())
            .map_err(|denied| denied.reason)
    };
    assert_eq!(ask_by(NOW, &shown, None, None), Ok(text("desk")));
    // A token is asked first, and one that is wrong is not made good by the connection.
    assert_eq!(
        ask_by(NOW, &shown, Some(&token(2, |_| ())), None),
        Ok(text("s"))
    );
    assert_eq!(
        ask_by(NOW, &shown, Some("rubbish"), None),
        Err(DenialReason::Malformed)
    );
    let other = Certificate {
        names: vec![text("uri:desk2")],
        ..shown.clone()
    };
    assert_eq!(
        ask_by(NOW, &other, None, None),
        Err(DenialReason::UnknownCertificate)
    );
    assert_eq!(ask_by(NOW + 5_499.0, &shown, None, None), Ok(text("desk")));
    assert_eq!(
        ask_by(NOW + 5_500.0, &shown, None, None),
        Err(DenialReason::Expired)
    );
    let revoked = set(2, |set| {
        set.revoked.tokens.insert(text("00ff"));
    });
    assert_eq!(
        ask_by(NOW, &shown, None, Some(revoked)),
        Err(DenialReason::TokenRevoked)
    );
    assert_eq!(
        ask_by(
            NOW + 60_001.0,
            &Certificate {
                sha256_hex: text("1"),
                ..shown
            },
            None,
            None
        ),
        Err(DenialReason::NoUsableKeySet)
    );
}

#[test]
fn a_process_that_goes_on_knows_the_keys_the_revoked_and_the_numbers_of_tenants() {
    let mut before = identity();
    let revoked = set(2, |set| {
        set.revoked.keys.insert(text("k1"));
    });
    before.offer_key_set(NOW, revoked.as_bytes()).unwrap();
    before
        .offer_key_set(NOW, set(3, |_| ()).as_bytes())
        .unwrap();
    let other = token(2, |claims| *claims = claims_of_b());
    let caller = Credentials {
        token: Some(other.as_bytes()),
        certificate: None,
        edge_node: 4,
        received_ms: NOW,
    };
    let caller = before.authenticate(NOW, caller).unwrap();
    let seat = before
        .authorize(NOW, &caller, 0, None, false)
        .unwrap()
        .unwrap();
    let place = before.permit_owner(&seat);
    // The next start file names the tenants in another order, and one more.
    let mut told = facts();
    told.tenants.reverse();
    told.tenants.insert(
        0,
        Tenant {
            name: text("c"),
            scheduling_tenant: 0,
            roles: vec![],
        },
    );
    let mut after = Identity::new(NOW, told).unwrap();
    after.restore_state(NOW, before.export_state()).unwrap();
    assert_eq!(ask(&mut after, NOW, &other), Ok(caller.tenant));
    assert_eq!(
        ask(&mut after, NOW, &token(1, |_| ())),
        Err(DenialReason::KeyRevoked)
    );
    assert_eq!(
        after.offer_key_set(NOW, set(2, |_| ()).as_bytes()),
        Err(crate::keyring::KeySetError::OlderSequence)
    );
    let seat = after.reacquire(&place).unwrap();
    assert_eq!(after.authorizer().open_requests(caller.tenant), 1);
    after.release(seat);
    assert_eq!(
        (
            after.authorizer().open_requests(caller.tenant),
            after.reacquire(&(9, text("clerk")))
        ),
        (0, None)
    );
}

#[test]
fn an_endless_retry_of_what_is_revoked_allocates_nothing_and_checks_no_signature() {
    let mut identity = identity();
    let gone = set(2, |set| {
        set.revoked.tokens.insert(text("1"));
    });
    identity.offer_key_set(NOW, gone.as_bytes()).unwrap();
    let token = token(2, |_| ());
    assert_eq!(
        ask(&mut identity, NOW, &token),
        Err(DenialReason::TokenRevoked)
    );
    let measured = allocation_counter::measure(|| {
        for _ in 0..100 {
            assert_eq!(
                ask(&mut identity, NOW, &token),
                Err(DenialReason::TokenRevoked)
            );
        }
    });
    assert_eq!((measured.count_total, identity.cost().0), (0, 0));
}
