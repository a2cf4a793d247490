//! Builds the TLS settings of a listener from the files that the start file names.

use std::fmt::Display;
use std::path::Path;
use std::sync::Arc;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{NoServerSessionStorage, WebPkiClientVerifier};
use rustls::{RootCertStore, ServerConfig};

use crate::start::error::{Fault, Problem};
use crate::start::{StartError, TlsSettings};

fn fault(path: &str, file: &str, error: impl Display) -> StartError {
    let (file, reason) = (file.to_owned(), error.to_string());
    Fault::new(path, Problem::UnusableFile { file, reason }).into()
}

/// Reads the files of this section of the start file.
///
/// # Errors
/// The first fault of these files, with the path of the field in the start file.
pub fn load(tls: &TlsSettings) -> Result<Arc<ServerConfig>, StartError> {
    let chain = certificates("tls.certificate", &tls.certificate_path)?;
    let key = PrivateKeyDer::from_pem_file(&tls.key_path)
        .map_err(|e| fault("tls.key", &tls.key_path, e))?;
    let clients_fault = |e: &dyn Display| fault("tls.clients", &tls.client_ca_path, e);
    let mut roots = RootCertStore::empty();
    for root in certificates("tls.clients", &tls.client_ca_path)? {
        roots.add(root).map_err(|e| clients_fault(&e))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone())
        .build()
        .map_err(|e| clients_fault(&e))?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| fault("tls", "", e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(|e| fault("tls.key", &tls.key_path, e))?;
    // No session is resumed: a resumed one presents no certificate, and would outlive the removal of its CA.
    config.session_storage = Arc::new(NoServerSessionStorage {});
    config.send_tls13_tickets = 0;
    Ok(Arc::new(config))
}

/// The certificates of a PEM file, at least one.
fn certificates(path: &str, file: &str) -> Result<Vec<CertificateDer<'static>>, StartError> {
    let certificates = CertificateDer::pem_file_iter(Path::new(file))
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|e| fault(path, file, e))?;
    if certificates.is_empty() {
        return Err(fault(path, file, "holds no certificate"));
    }
    Ok(certificates)
}
