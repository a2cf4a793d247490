//! Section `journal` of the start file: state on a local disk that survives a crash of this process.

#[cfg(feature = "tools")]
use schemars::JsonSchema;
use serde::Deserialize;

use asterdale::parameters::Idempotency;
use asterdale_parameters::Settings;

use super::error::Faults;
use super::value::Positive;

/// The default maximum size of the journal file, in megabytes.
const DEFAULT_DISK_MB: f64 = 256.0;
/// The accepted maximum sizes of the journal file, in megabytes. A smaller file has no space for a burst of keys; a
/// larger one takes too long to check at startup.
const DISK_RANGE_MB: std::ops::RangeInclusive<f64> = 8.0..=65_536.0;
/// The default maximum size of the index in memory, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 16.0;

/// State on a local disk that survives a crash of this process.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(JsonSchema))]
#[serde(
    rename = "Lasting",
    expecting = "struct Lasting",
    default,
    deny_unknown_fields
)]
pub struct JournalSection {
    /// The journal directory, on a local disk; it must belong to this process alone.
    #[cfg_attr(feature = "tools", schemars(required))]
    pub folder: Option<String>,
    /// The maximum size of the journal file, in megabytes; 256 if absent.
    pub disk_mb: Option<Positive>,
    /// The maximum size of the index in memory, in megabytes; 16 if absent.
    pub memory_mb: Option<Positive>,
}

/// The journal's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct JournalSettings {
    /// The journal directory.
    pub folder: String,
    /// The maximum size of the journal file, in bytes.
    pub max_disk_bytes: u64,
    /// The maximum size of the index in memory, in bytes.
    pub max_memory_bytes: usize,
    /// How long a key is retained, in milliseconds: the longest retry window of any keyed request class plus
    /// `max_unread_ms`.
    pub retention_ms: f64,
    /// How long a request may wait in a socket before it is read, in milliseconds: the longest deadline of any class.
    pub max_unread_ms: f64,
}

/// Checks the section; `None` if the journal directory is missing.
pub fn check(
    section: JournalSection,
    settings: &Settings,
    faults: &mut Faults,
) -> Option<JournalSettings> {
    if !cfg!(feature = "journal") {
        faults.add("journal", "this build does not support a journal");
    }
    let folder = faults.require("journal.folder", section.folder);
    let disk_mb = section.disk_mb.map_or(DEFAULT_DISK_MB, |mb| mb.0);
    if !DISK_RANGE_MB.contains(&disk_mb) {
        faults.add("journal.disk_mb", "must be from 8 to 65536");
    }
    let memory_mb = section.memory_mb.map_or(DEFAULT_MEMORY_MB, |mb| mb.0);
    let classes = &settings.decisions.classes;
    let max_unread_ms = classes
        .iter()
        .map(|class| class.deadline_ms)
        .fold(0.0, f64::max);
    let retry_window_ms = classes
        .iter()
        .filter(|class| class.idempotency == Idempotency::Keyed)
        .map(|class| class.retry_window_ms)
        .fold(0.0, f64::max);
    Some(JournalSettings {
        folder: folder?,
        max_disk_bytes: (disk_mb * 1e6) as u64,
        max_memory_bytes: (memory_mb * 1e6) as usize,
        retention_ms: retry_window_ms + max_unread_ms,
        max_unread_ms,
    })
}
