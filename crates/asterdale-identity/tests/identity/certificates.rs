//! Authentication by client certificates.

use asterdale_identity::{Certificate, Credentials, DenialReason, Identity};

use crate::support::*;

fn certificate() -> Certificate {
    Certificate {
        names: vec![string("dns:elsewhere"), string("uri:desk")],
        not_before_ms: NOW_MS - 5_000.0,
        not_after_ms: NOW_MS + 5_000.0,
        sha256_hex: string("00ff"),
    }
}

/// The subject, or the reason of the denial.
fn authenticate_with(
    identity: &mut Identity,
    now_ms: f64,
    certificate: &Certificate,
    token: Option<&str>,
) -> Result<String, DenialReason> {
    let credentials = Credentials {
        token: token.map(str::as_bytes),
        certificate: Some(certificate),
        edge_node: 4,
        received_ms: now_ms,
    };
    identity
        .authenticate(now_ms, credentials)
        .map(|caller| caller.claims.sub.clone())
        .map_err(|denial| denial.reason)
}

#[test]
fn a_certificate_authenticates_requests_without_a_token() {
    let (mut identity, certificate) = (identity(), certificate());
    let mut authenticate = |now_ms: f64, certificate: &Certificate, token: Option<&str>| {
        authenticate_with(&mut identity, now_ms, certificate, token)
    };
    assert_eq!(authenticate(NOW_MS, &certificate, None), Ok(string("desk")));
    // A token takes precedence, and an invalid one is not replaced by the certificate.
    assert_eq!(
        authenticate(NOW_MS, &certificate, Some(&token(2, |_| ()))),
        Ok(string("s"))
    );
    assert_eq!(
        authenticate(NOW_MS, &certificate, Some("invalid")),
        Err(DenialReason::Malformed)
    );
    let other = Certificate {
        names: vec![string("uri:desk2")],
        ..certificate.clone()
    };
    assert_eq!(
        authenticate(NOW_MS, &other, None),
        Err(DenialReason::UnknownCertificate)
    );
    assert_eq!(
        authenticate(NOW_MS + 5_499.0, &certificate, None),
        Ok(string("desk"))
    );
    assert_eq!(
        authenticate(NOW_MS + 5_500.0, &certificate, None),
        Err(DenialReason::Expired)
    );
}

#[test]
fn certificates_are_revoked_and_need_a_usable_key_set() {
    let (mut identity, certificate) = (identity(), certificate());
    assert_eq!(
        authenticate_with(&mut identity, NOW_MS, &certificate, None),
        Ok(string("desk"))
    );
    let revoked = signed_set(2, |set| {
        set.revoked.tokens.insert(string("00ff"));
    });
    identity.offer_key_set(NOW_MS, revoked.as_bytes()).unwrap();
    assert_eq!(
        authenticate_with(&mut identity, NOW_MS, &certificate, None),
        Err(DenialReason::TokenRevoked)
    );
    let other = Certificate {
        sha256_hex: string("1"),
        ..certificate
    };
    assert_eq!(
        authenticate_with(&mut identity, NOW_MS + 60_001.0, &other, None),
        Err(DenialReason::NoUsableKeySet)
    );
}
