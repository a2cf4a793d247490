//! Eviction from the caches.

use super::*;
use crate::token::{Audience, Claims};

fn caller(tenant: u32, n: u32) -> Arc<Caller> {
    let claims = Claims {
        iss: "i".to_owned(),
        aud: Audience::One("asterdale".to_owned()),
        sub: "s".to_owned(),
        tenant: tenant.to_string(),
        roles: vec![],
        exp: 1e9,
        nbf: None,
        iat: None,
        jti: n.to_string(),
    };
    Arc::new(Caller {
        tenant,
        key: Some("k".to_owned()),
        claims,
    })
}

#[test]
fn a_tenant_with_many_tokens_evicts_its_own() {
    let digester = TokenDigester::new(7);
    let mut verified = VerifiedTokens::new(10);
    for n in 0..3 {
        verified.insert(digester.digest(&[n]), caller(0, n.into()));
    }
    for n in 0..1000u32 {
        verified.insert(digester.digest(&n.to_le_bytes()), caller(1, n));
    }
    assert_eq!(verified.len(), 10);
    assert!((0..3).all(|n| verified.get(&digester.digest(&[n])).is_some()));
    assert!(verified
        .get(&digester.digest(&999u32.to_le_bytes()))
        .is_some());
    verified.retain(|caller| caller.tenant == 0);
    assert_eq!((verified.len(), verified.tokens_by_tenant[1].len()), (3, 0));
}

#[test]
fn rejected_tokens_are_found_by_digest_until_cleared() {
    let (one, two) = (TokenDigester::new(1), TokenDigester::new(2));
    assert_ne!(one.digest(b"token"), two.digest(b"token"));
    let mut rejected = RejectedTokens::new(1);
    rejected.insert(one.digest(b"a"), DenialReason::TokenRevoked);
    assert_eq!(
        (
            rejected.get(&one.digest(b"a")),
            rejected.get(&one.digest(b"b"))
        ),
        (Some(DenialReason::TokenRevoked), None)
    );
    rejected.insert(one.digest(b"b"), DenialReason::BadSignature);
    assert_eq!(
        (
            rejected.get(&one.digest(b"a")),
            rejected.get(&one.digest(b"b"))
        ),
        (None, Some(DenialReason::BadSignature))
    );
    rejected.clear();
    assert_eq!(rejected.get(&one.digest(b"b")), None);
}
