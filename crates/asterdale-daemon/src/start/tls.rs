//! Section `tls` of the start file: the listener for edge nodes that present a client certificate.

use std::net::SocketAddr;

#[cfg(feature = "tools")]
use schemars::JsonSchema;
use serde::Deserialize;

use super::error::Faults;
use super::value::Address;

/// A listener for edge nodes that present a client certificate. Its files are read at the start and on SIGHUP.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(rename = "Tls", expecting = "struct Tls", default, deny_unknown_fields)]
pub struct TlsSection {
    /// The address that it listens on.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub listen: Option<Address>,
    /// Path of this server's certificate chain up to its root, in PEM.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub certificate: Option<String>,
    /// Path of its private key, in PEM.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub key: Option<String>,
    /// Path of the certificates of the CAs that sign the edge nodes' certificates, in PEM.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub clients: Option<String>,
}

/// The TLS listener: its address, and the paths of its files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// The address that it listens on.
    pub listen: SocketAddr,
    /// This server's certificate chain.
    pub certificate_path: String,
    /// Its private key.
    pub key_path: String,
    /// The CA certificates of the edge nodes.
    pub client_ca_path: String,
}

/// Checks the section; `None` if a field is missing.
pub fn check(section: TlsSection, faults: &mut Faults) -> Option<TlsSettings> {
    if !cfg!(feature = "tls") {
        faults.add("tls", "this build does not support TLS");
    }
    let listen = faults.require("tls.listen", section.listen);
    let certificate = faults.require("tls.certificate", section.certificate);
    let key = faults.require("tls.key", section.key);
    let clients = faults.require("tls.clients", section.clients);
    Some(TlsSettings {
        listen: listen?.0,
        certificate_path: certificate?,
        key_path: key?,
        client_ca_path: clients?,
    })
}
