//! Section `identity` of the start file as deserialized from JSON: the types from which its schema is generated.

#[cfg(feature = "tools")]
use schemars::JsonSchema;
use serde::Deserialize;

use crate::start::value::{Address, Positive};

/// Which callers are accepted. Unknown keys are errors in this section.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Callers",
    expecting = "struct Callers",
    default,
    deny_unknown_fields
)]
pub struct IdentitySection {
    /// The `iss` claim of accepted tokens.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub issuer: Option<String>,
    /// Their `aud` claim: the name of this service.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub audience: Option<String>,
    /// Root public keys (Ed25519, 32 bytes in base64url). A key set must be signed by one of them.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub roots: Option<Vec<String>>,
    /// Where key sets come from.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub keys: Option<KeySetSection>,
    /// How long a key set is valid after it was signed, in milliseconds; absent: without limit.
    pub max_age_ms: Option<Positive>,
    /// The maximum clock skew that is tolerated, in milliseconds; 500 if absent.
    pub skew_ms: Option<f64>,
    /// The maximum number of verified tokens in the cache; 2048 if absent.
    pub cache: Option<u32>,
    /// The maximum number of signatures verified per second for one edge node; 50 if absent.
    pub signatures_per_edge: Option<Positive>,
    /// The same for all edge nodes together; 400 if absent. Half of it is for edge nodes that sent valid tokens
    /// recently.
    pub signatures: Option<Positive>,
    /// The roles that callers may have.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub roles: Option<Vec<RoleSection>>,
    /// The tenants that callers may belong to.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub tenants: Option<Vec<TenantSection>>,
    /// Callers that are identified by a client certificate, if there is a section `tls`. The first match applies.
    pub certificates: Option<Vec<CertificateSection>>,
}

/// The source of key sets: exactly one of `file` and `fetch` must be given.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Keys",
    expecting = "struct Keys",
    default,
    deny_unknown_fields
)]
pub struct KeySetSection {
    /// Path of a file, read at the start and on SIGHUP.
    pub file: Option<String>,
    /// An issuer that is polled over HTTP.
    pub fetch: Option<IssuerSection>,
}

/// An issuer from which key sets are fetched over HTTP.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Fetch",
    expecting = "struct Fetch",
    default,
    deny_unknown_fields
)]
pub struct IssuerSection {
    /// Its address.
    #[serde(rename = "at")]
    #[cfg_attr(feature = "tools", schemars(required))]
    pub address: Option<Address>,
    /// The path of the key set in the issuer's URL.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub path: Option<String>,
    /// The time between two polls, in milliseconds; 30,000 if absent.
    #[serde(rename = "every_ms")]
    pub poll_interval_ms: Option<Positive>,
}

/// A role of callers.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Role",
    expecting = "struct Role",
    default,
    deny_unknown_fields
)]
pub struct RoleSection {
    /// Its name, as it appears in tokens.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub name: Option<String>,
    /// Names of the request classes that its callers may use.
    #[serde(rename = "stages")]
    #[cfg_attr(feature = "tools", schemars(required))]
    pub classes: Option<Vec<String>>,
    /// The maximum number of open requests of one tenant in this role; 256 if absent.
    #[serde(rename = "open")]
    pub max_open: Option<u32>,
    /// The maximum number of requests per second of one tenant in this role; absent: no limit.
    #[serde(rename = "per_s")]
    pub rate_per_s: Option<Positive>,
    /// The maximum burst above that rate, in requests; absent: those of two seconds at the rate, at least one.
    pub burst: Option<Positive>,
    /// The maximum cost that a request may declare, in milliseconds of one core; absent: no limit.
    pub max_cost_ms: Option<Positive>,
}

/// A tenant of callers.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Tenant",
    expecting = "struct Tenant",
    default,
    deny_unknown_fields
)]
pub struct TenantSection {
    /// Its name, as it appears in tokens.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub name: Option<String>,
    /// The index in `settings.tenants` of the quota that its requests count against; 0 if absent.
    #[serde(rename = "customer")]
    pub quota_index: Option<u32>,
    /// Names of the roles that its callers may have.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub roles: Option<Vec<String>>,
}

/// The caller that a client certificate with this name identifies.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Named",
    expecting = "struct Named",
    default,
    deny_unknown_fields
)]
pub struct CertificateSection {
    /// One of its subject alternative names, with a prefix for its kind: `dns:`, `uri:` or `email:`.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub name: Option<String>,
    /// The tenant.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub tenant: Option<String>,
    /// The subject; `name` if absent.
    pub subject: Option<String>,
    /// The roles of the caller.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub roles: Option<Vec<String>>,
}
