//! Section `limits` of the start file: resource limits of this process.

use asterdale_engine::memory::MemoryBudget;
#[cfg(feature = "tools")]
use schemars::JsonSchema;
use serde::Deserialize;

use super::error::Faults;
use super::value::Positive;

/// Resource limits of this process.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(rename = "Limits", expecting = "struct Limits", default)]
pub struct LimitsSection {
    /// Number of cores; for information only.
    pub cores: Option<Positive>,
    /// Memory, in megabytes.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub memory_mb: Option<Positive>,
    /// Maximum number of open file descriptors.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub sockets: Option<Positive>,
}

/// The limits after the check.
pub struct Limits {
    /// Memory, in bytes; `None` if it is missing.
    pub memory_bytes: Option<usize>,
    /// Maximum number of open file descriptors.
    pub max_descriptors: usize,
}

impl Limits {
    /// Divides the memory. `configured_bytes` is what sections of the file set aside for state of their own. Reports a
    /// limit that is too low; the result is empty then.
    pub fn memory_budget(&self, configured_bytes: usize, faults: &mut Faults) -> MemoryBudget {
        let Some(memory_bytes) = self.memory_bytes else {
            return MemoryBudget::default();
        };
        MemoryBudget::new(memory_bytes, configured_bytes).unwrap_or_else(|e| {
            faults.add("limits.memory_mb", e.to_string());
            MemoryBudget::default()
        })
    }
}

/// Checks the section. A missing number of descriptors is reported and replaced by a small one.
pub fn check(section: Option<LimitsSection>, faults: &mut Faults) -> Limits {
    let Some(section) = faults.require("limits", section) else {
        return Limits {
            memory_bytes: None,
            max_descriptors: 0,
        };
    };
    let memory_mb = faults.require("limits.memory_mb", section.memory_mb);
    let sockets = require_number(faults, "limits.sockets", section.sockets);
    Limits {
        memory_bytes: memory_mb.map(|mb| (mb.0 * 1e6) as usize),
        max_descriptors: sockets as usize,
    }
}

/// Returns a required number. A missing one is reported and replaced by 1.
pub fn require_number(faults: &mut Faults, path: &str, value: Option<Positive>) -> f64 {
    faults.require(path, value).map_or(1.0, |number| number.0)
}
