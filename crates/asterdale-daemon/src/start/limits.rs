//! Section `limits` of the start file: what this process may use of its machine.

#[cfg(feature = "tools")]
use schemars::JsonSchema;
use serde::Deserialize;

use super::error::Faults;
use super::value::Positive;

/// What this process may use of its machine.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(rename = "Limits", expecting = "struct Limits", default)]
pub struct LimitsSection {
    /// Cores; for information only.
    pub cores: Option<Positive>,
    /// Memory, in megabytes.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub memory_mb: Option<Positive>,
    /// Open file descriptors.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub sockets: Option<Positive>,
}

/// Checked limits of this process.
pub struct Limits {
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// Open file descriptors.
    pub max_descriptors: usize,
}

/// Checks the section. What is missing is reported and stands as a small number.
pub fn check(section: Option<LimitsSection>, faults: &mut Faults) -> Limits {
    let Some(section) = faults.require("limits", section) else {
        return Limits {
            memory_bytes: 0,
            max_descriptors: 0,
        };
    };
    let memory_mb = require_number(faults, "limits.memory_mb", section.memory_mb);
    let sockets = require_number(faults, "limits.sockets", section.sockets);
    Limits {
        memory_bytes: (memory_mb * 1e6) as usize,
        max_descriptors: sockets as usize,
    }
}

/// A required number; 1 where it is missing, which is reported.
pub fn require_number(faults: &mut Faults, path: &str, value: Option<Positive>) -> f64 {
    faults.require(path, value).map_or(1.0, |number| number.0)
}
