//! What a request presents to prove who sent it.

/// The credentials of one request, and how it arrived.
#[derive(Clone, Copy, Debug)]
pub struct Credentials<'a> {
    /// The token, if the request carries one.
    pub token: Option<&'a [u8]>,
    /// The client certificate of the connection, if there is one. It is used only for a request without a token.
    pub certificate: Option<&'a Certificate>,
    /// The number of the edge node that forwarded the request.
    pub edge_node: u32,
    /// When the request reached the machine, in Unix milliseconds. Times outside of the last
    /// [`crate::IdentitySettings::clock_skew_ms`] are clamped to them.
    pub received_ms: f64,
}

/// A client certificate. Whoever made the handshake has verified its chain and its validity at that time.
#[derive(Clone, Debug, PartialEq)]
pub struct Certificate {
    /// Its names, each with the prefix `dns:`, `uri:` or `email:`.
    pub names: Vec<String>,
    /// The start of its validity, in Unix milliseconds.
    pub not_before_ms: f64,
    /// The end of its validity, in Unix milliseconds.
    pub not_after_ms: f64,
    /// SHA-256 of the certificate in hexadecimal. A certificate is revoked by it, as a token is by its `jti`.
    pub sha256_hex: String,
}
