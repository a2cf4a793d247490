//! The credentials of a request: a token or a client certificate.

/// The credentials of one request, and how it arrived.
#[derive(Clone, Copy, Debug)]
pub struct Credentials<'a> {
    /// The token, if the request carries one.
    pub token: Option<&'a [u8]>,
    /// The client certificate of the connection, if there is one. It is used only for a request without a token.
    pub certificate: Option<&'a Certificate>,
    /// The number of the edge node that forwarded the request.
    pub edge_node: u32,
    /// When the request reached the machine, in Unix milliseconds. Clamped to the period from
    /// [`crate::IdentitySettings::clock_skew_ms`] ago until now.
    pub received_ms: f64,
}

/// A client certificate. The TLS handshake has verified its chain, and its validity at that time.
#[derive(Clone, Debug, PartialEq)]
pub struct Certificate {
    /// Its names, each with the prefix `dns:`, `uri:` or `email:`.
    pub names: Vec<String>,
    /// The start of its validity, in Unix milliseconds.
    pub not_before_ms: f64,
    /// The end of its validity, in Unix milliseconds.
    pub not_after_ms: f64,
    /// SHA-256 of the certificate in hexadecimal. Key sets revoke a certificate by this digest, as they revoke a token
    /// by its `jti`.
    pub sha256_hex: String,
}
