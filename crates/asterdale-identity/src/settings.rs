//! Settings of authentication and authorization.

use ed25519_dalek::VerifyingKey;

/// The settings of [`crate::Identity`]. All but `seed` and `cached_tokens` can be changed by
/// [`crate::Identity::reconfigure`].
#[derive(Clone, Debug)]
pub struct IdentitySettings {
    /// Seeds the secret of the token digests, which makes them unpredictable to callers.
    pub seed: u64,
    /// The accepted issuer (`iss`).
    pub issuer: String,
    /// The accepted audience (`aud`).
    pub audience: String,
    /// The keys that may sign key sets.
    pub root_keys: Vec<VerifyingKey>,
    /// How long a key set is usable after it was signed, in milliseconds; infinite for no limit.
    pub max_key_set_age_ms: f64,
    /// The tolerated difference between clocks, in milliseconds.
    pub clock_skew_ms: f64,
    /// Capacity of the cache of verified tokens.
    pub cached_tokens: usize,
    /// Signatures that may be verified for one edge node, per second.
    pub signatures_per_edge_per_s: f64,
    /// Signatures that may be verified in all, per second.
    pub signatures_per_s: f64,
    /// The roles.
    pub roles: Vec<Role>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// The callers that client certificates are mapped to.
    pub certificate_mappings: Vec<CertificateMapping>,
}

/// A role: what its callers may request, and the quota that each tenant has for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Role {
    /// The name, as in tokens.
    pub name: String,
    /// The permitted request classes, by index.
    pub request_classes: Vec<usize>,
    /// The limit of concurrent requests of one tenant.
    pub max_concurrent: usize,
    /// The limit of requests per second of one tenant.
    pub requests_per_s: f64,
    /// The number of requests that are admitted at once after an idle period.
    pub burst: f64,
    /// The largest cost that a request may declare, in milliseconds of one core; infinite for no limit.
    pub max_cost_ms: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The name, as in tokens.
    pub name: String,
    /// The index in the scheduling parameters of the tenant that its requests are counted for.
    pub scheduling_tenant: usize,
    /// The names of the roles that its callers may have.
    pub roles: Vec<String>,
}

/// The caller that a client certificate is mapped to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateMapping {
    /// The name in the certificate, as in [`crate::Certificate::names`].
    pub name: String,
    /// The tenant.
    pub tenant: String,
    /// The subject.
    pub subject: String,
    /// The roles.
    pub roles: Vec<String>,
}
