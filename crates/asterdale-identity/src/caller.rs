//! An authenticated caller.

use serde::{Deserialize, Serialize};

use crate::token::Claims;

/// An authenticated caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Caller {
    /// The tenant's number. No other tenant gets it over the lifetime of the process.
    pub tenant: u32,
    /// The id of the key that signed the token; `None` for a certificate's caller.
    pub key: Option<String>,
    /// The claims of the token, or those that the settings assign to the certificate.
    pub claims: Claims,
}
