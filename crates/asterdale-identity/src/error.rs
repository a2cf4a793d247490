//! Errors of configuring an [`crate::Identity`] and of restoring its state.

use thiserror::Error;

use crate::authorization::{MAX_ROLES, MAX_TENANTS};
use crate::keyring::KeySetError;

/// Why settings or a transferred state were rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IdentityError {
    /// More tenant names than a process distinguishes over its lifetime.
    #[error("more than {MAX_TENANTS} tenant names over the lifetime of the process")]
    TooManyTenants,
    /// More role names than a process distinguishes over its lifetime.
    #[error("more than {MAX_ROLES} role names over the lifetime of the process")]
    TooManyRoles,
    /// The key set in the transferred state is not accepted.
    #[error("the transferred key set is rejected: {0}")]
    TransferredKeySet(#[from] KeySetError),
}
