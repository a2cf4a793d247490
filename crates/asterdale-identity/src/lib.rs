//! Authentication and authorization of callers. The crate has no I/O and no clock: bytes and times are passed in,
//! decisions are returned. Times are Unix milliseconds as `f64`, by the caller's clock.
//!
//! A request passes two checks. [`Identity::authenticate`] identifies the caller: it parses the token, looks up the key
//! in the [`keyring`] and verifies the signature, within a budget for each edge node, or finds the token in the cache
//! of verified tokens. [`Identity::authorize`] then decides by the caller's tenant and roles whether the request may
//! run now.
//!
//! `docs/identity.md` compares the alternatives to this design and lists the responses.

mod authorization;
mod caller;
mod credentials;
mod denial;
mod error;
pub mod failpoint;
mod identity;
mod json_depth;
mod jws;
pub mod keyring;
pub mod mint;
pub mod refresh;
mod settings;
mod signature_budget;
pub mod token;
mod token_bucket;
mod token_cache;

pub use authorization::{AccessRequest, Authorizer, ConcurrencyPermit, MAX_ROLES, MAX_TENANTS};
pub use caller::Caller;
pub use credentials::{Certificate, Credentials};
pub use denial::{Denial, DenialReason, DenialStatus};
pub use error::IdentityError;
pub use identity::{Identity, IdentityState};
pub use settings::{CertificateMapping, IdentitySettings, Role, Tenant};
