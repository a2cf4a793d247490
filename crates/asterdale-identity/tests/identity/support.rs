//! Keys, sets, tokens and settings that the tests share.

use asterdale_identity::keyring::{KeySet, KeySetOutcome, PublicJwk, Revocations};
use asterdale_identity::mint::SecretKey;
use asterdale_identity::token::{Audience, Claims};
use asterdale_identity::{
    CertificateMapping, Credentials, DenialReason, Identity, IdentitySettings, Role, Tenant,
};

pub const NOW_MS: f64 = 1_000_000.0;

pub fn string(text: &str) -> String {
    text.to_owned()
}

pub fn secret_key(n: u8) -> SecretKey {
    SecretKey::from_seed([n; 32], &format!("k{n}"))
}

pub fn settings() -> IdentitySettings {
    let role = |name: &str, request_classes: &[usize]| Role {
        name: string(name),
        request_classes: request_classes.to_vec(),
        max_concurrent: 9,
        requests_per_s: 100.0,
        burst: 100.0,
        max_cost_ms: f64::INFINITY,
    };
    let tenant = |name: &str| Tenant {
        name: string(name),
        scheduling_tenant: 1,
        roles: vec![string("clerk")],
    };
    IdentitySettings {
        seed: 5,
        issuer: string("issuer"),
        audience: string("asterdale"),
        root_keys: vec![secret_key(99).public_key()],
        max_key_set_age_ms: 60_000.0,
        clock_skew_ms: 500.0,
        cached_tokens: 64,
        signatures_per_edge_per_s: 10.0,
        signatures_per_s: 100.0,
        roles: vec![role("clerk", &[0])],
        tenants: vec![tenant("a"), tenant("b")],
        certificate_mappings: vec![CertificateMapping {
            name: string("uri:desk"),
            tenant: string("a"),
            subject: string("desk"),
            roles: vec![string("clerk")],
        }],
    }
}

pub fn signed_set(seq: u64, change: impl FnOnce(&mut KeySet)) -> String {
    let key = |n: u8, from_ms, until_ms| {
        let secret = secret_key(n);
        let (kty, crv) = (string("OKP"), string("Ed25519"));
        PublicJwk {
            kty,
            crv,
            kid: string(secret.id()),
            public_key: secret.public_key_text(),
            from_ms,
            until_ms,
        }
    };
    let keys = vec![
        key(1, 0.0, Some(NOW_MS + 5_000.0)),
        key(2, NOW_MS - 5_000.0, None),
        key(3, NOW_MS + 5_000.0, None),
        key(4, 0.0, Some(NOW_MS - 5_000.0)),
    ];
    let mut set = KeySet {
        seq,
        issued_ms: NOW_MS,
        keys,
        revoked: Revocations::default(),
    };
    change(&mut set);
    secret_key(99).sign_key_set(&set)
}

pub fn identity() -> Identity {
    let mut identity = Identity::new(NOW_MS, settings()).unwrap();
    assert_eq!(
        identity.offer_key_set(NOW_MS, signed_set(1, |_| ()).as_bytes()),
        Ok(KeySetOutcome::Adopted)
    );
    identity
}

pub fn claims(tenant: &str, jti: &str) -> Claims {
    Claims {
        iss: string("issuer"),
        aud: Audience::One(string("asterdale")),
        sub: string("s"),
        tenant: string(tenant),
        roles: vec![string("clerk")],
        exp: (NOW_MS + 10_000.0) / 1000.0,
        nbf: None,
        iat: None,
        jti: string(jti),
    }
}

pub fn token(key: u8, change: impl FnOnce(&mut Claims)) -> String {
    let mut claims = claims("a", "1");
    change(&mut claims);
    secret_key(key).sign_token(&claims)
}

/// A token that arrives at `now_ms` through edge node 4.
pub fn credentials(token: &str, now_ms: f64) -> Credentials<'_> {
    Credentials {
        token: Some(token.as_bytes()),
        certificate: None,
        edge_node: 4,
        received_ms: now_ms,
    }
}

/// The tenant's number, or the reason of the denial.
pub fn authenticate(
    identity: &mut Identity,
    now_ms: f64,
    token: &str,
) -> Result<u32, DenialReason> {
    identity
        .authenticate(now_ms, credentials(token, now_ms))
        .map(|caller| caller.tenant)
        .map_err(|denial| denial.reason)
}

pub fn claims_of_tenant_b() -> Claims {
    Claims {
        sub: string("other"),
        ..claims("b", "2")
    }
}
