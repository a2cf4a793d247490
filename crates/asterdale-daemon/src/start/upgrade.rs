//! Section `upgrade` of the start file: hot restart, in which another process takes over while this one serves.

#[cfg(feature = "tools")]
use schemars::JsonSchema;
use serde::Deserialize;

use super::error::Faults;

/// Hot restart: how another process takes over while this one serves.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Upgrade",
    expecting = "struct Upgrade",
    default,
    deny_unknown_fields
)]
pub struct UpgradeSection {
    /// Path of the control socket, in a directory that other users can't access.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub control: Option<String>,
}

/// Checks the section and returns the path of the control socket; `None` if it is missing.
pub fn check(section: UpgradeSection, faults: &mut Faults) -> Option<String> {
    if !cfg!(feature = "upgrade") {
        faults.add("upgrade", "this build does not support hot restart");
    }
    faults.require("upgrade.control", section.control)
}
