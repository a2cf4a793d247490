//! Authentication by client certificates.

use asterdale_identity::{Certificate, Credentials, DenialReason};

use crate::support::*;

#[test]
fn a_certificate_authenticates_requests_without_a_token() {
    let mut identity = identity();
    let certificate = Certificate {
        names: vec![string("dns:elsewhere"), string("uri:desk")],
        not_before_ms: NOW_MS - 5_000.0,
        not_after_ms: NOW_MS + 5_000.0,
        sha256_hex: string("00ff"),
    };
    let mut authenticate_with =
        |now_ms: f64, certificate: &Certificate, token: Option<&str>, set: Option<String>| {
            if let Some(set) = set {
                identity.offer_key_set(now_ms, set.as_bytes()).unwrap();
            }
            let token = token.map(str::as_bytes);
            let credentials = Credentials {
                token,
                certificate: Some(certificate),
                edge_node: 4,
                received_ms: now_ms,
            };
            identity
                .authenticate(now_ms, credentials)
                .map(|caller| caller.claims.sub.clone())
                .map_err(|denial| denial.reason)
        };
    assert_eq!(
        authenticate_with(NOW_MS, &certificate, None, None),
        Ok(string("desk"))
    );
    // A token takes precedence, and an invalid one is not replaced by the certificate.
    assert_eq!(
        authenticate_with(NOW_MS, &certificate, Some(&token(2, |_| ())), None),
        Ok(string("s"))
    );
    assert_eq!(
        authenticate_with(NOW_MS, &certificate, Some("rubbish"), None),
        Err(DenialReason::Malformed)
    );
    let other = Certificate {
        names: vec![string("uri:desk2")],
        ..certificate.clone()
    };
    assert_eq!(
        authenticate_with(NOW_MS, &other, None, None),
        Err(DenialReason::UnknownCertificate)
    );
    assert_eq!(
        authenticate_with(NOW_MS + 5_499.0, &certificate, None, None),
        Ok(string("desk"))
    );
    assert_eq!(
        authenticate_with(NOW_MS + 5_500.0, &certificate, None, None),
        Err(DenialReason::Expired)
    );
    let revoked = signed_set(2, |set| {
        set.revoked.tokens.insert(string("00ff"));
    });
    assert_eq!(
        authenticate_with(NOW_MS, &certificate, None, Some(revoked)),
        Err(DenialReason::TokenRevoked)
    );
    assert_eq!(
        authenticate_with(
            NOW_MS + 60_001.0,
            &Certificate {
                sha256_hex: string("1"),
                ..certificate
            },
            None,
            None
        ),
        Err(DenialReason::NoUsableKeySet)
    );
}
