//! Extracts from a client's certificate what identifies the caller.

use asterdale_engine::message::Certificate;
use rustls::pki_types::CertificateDer;
use sha2::{Digest, Sha256};
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

/// Upper bound of subject alternative names that are used. Certificates have a few; more would take memory without
/// need.
const MAX_NAMES: usize = 16;
const MS_PER_SECOND: f64 = 1e3;

/// The names, validity and fingerprint of a certificate that the handshake has verified. `None` if it can't be parsed.
pub fn extract(der: &CertificateDer<'_>) -> Option<Certificate> {
    let (_, certificate) = X509Certificate::from_der(der).ok()?;
    let extension = certificate.subject_alternative_name().ok().flatten();
    let names = extension
        .iter()
        .flat_map(|extension| &extension.value.general_names)
        .filter_map(name_text);
    let fingerprint: String = Sha256::digest(der)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let unix_ms = |seconds: i64| seconds as f64 * MS_PER_SECOND;
    Some(Certificate {
        names: names.take(MAX_NAMES).collect(),
        not_before_ms: unix_ms(certificate.validity().not_before.timestamp()),
        not_after_ms: unix_ms(certificate.validity().not_after.timestamp()),
        sha256_hex: fingerprint,
    })
}

/// A name with its type, as the start file's rules write it.
fn name_text(name: &GeneralName<'_>) -> Option<String> {
    match name {
        GeneralName::DNSName(name) => Some(format!("dns:{}", name.to_ascii_lowercase())),
        GeneralName::URI(name) => Some(format!("uri:{name}")),
        GeneralName::RFC822Name(name) => Some(format!("email:{name}")),
        _ => None,
    }
}
