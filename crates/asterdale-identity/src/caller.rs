//! An authenticated caller.

use serde::{Deserialize, Serialize};

use crate::token::Claims;

/// An authenticated caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Caller {
    /// The tenant number. It is not assigned to another tenant over the lifetime of the process.
    pub tenant: u32,
    /// The id of the key that signed the token; `None` for a caller that a certificate authenticated.
    pub key: Option<String>,
    /// The claims of the token, or those that the settings assign to the certificate.
    pub claims: Claims,
}
