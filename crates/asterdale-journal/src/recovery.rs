//! The recovery check: whether a folder holds everything that the last run of its process wrote. A folder that is empty, or
//! older than the last run, lacks entries of requests that may have run. In that case no request may be executed or reported
//! as never executed until all idempotency windows of that run have ended.
//!
//! There are two sources of evidence:
//! - The other members of the fleet remember a generation of this process. A later generation than the folder's proves a
//!   later run. The same generation proves nothing, since the folder may be a copy taken earlier in that generation. No
//!   remembered generation proves nothing either, since all members may have been restarted.
//! - The folder's own timestamp, which is refreshed every second while a process has it open. A recent timestamp
//!   means that the folder is as the last run left it.
//!
//! Two cases are not detected: a copy that is restored within [`FRESH_AGE_MAX_MS`] of being taken, and a clock that was set
//! back by the age of a copy.

use crate::failpoint::{self, Failpoint};

/// A folder whose timestamp is at most this old, in milliseconds by the Unix clock, is as the last run left it. The limit
/// covers several refreshes, which are a second apart, and the time that a supervisor needs to restart a process.
pub const FRESH_AGE_MAX_MS: f64 = 5_000.0;

/// What a folder says about the run before this one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreviousRun {
    /// The generation of the process in its fleet; 0 for none.
    pub generation: u64,
    /// The age of the folder's timestamp in milliseconds; negative if the Unix clock was set back.
    pub age_ms: f64,
}

/// The result of the recovery check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryVerdict {
    /// The folder is as the last run left it: a key without an entry was never executed.
    Current,
    /// The folder is empty and no member remembers the process: a first start, or the loss of all state.
    FirstStart,
    /// The folder is empty, but other members remember the process.
    StateLost,
    /// Other members remember a later generation than the folder does.
    Stale,
    /// It is unknown whether the folder is as the last run left it.
    Unverified,
}

impl RecoveryVerdict {
    /// Whether a key without an entry was certainly never executed.
    pub fn is_trusted(self) -> bool {
        match self {
            RecoveryVerdict::Current => true,
            RecoveryVerdict::FirstStart | RecoveryVerdict::StateLost => {
                failpoint::is_active(Failpoint::TrustedEmptyFolder)
            }
            RecoveryVerdict::Stale | RecoveryVerdict::Unverified => {
                failpoint::is_active(Failpoint::TrustedRollback)
            }
        }
    }
}

/// Compares the folder (`None` if it was empty) with the highest generation of this process that other members remember
/// (0 if none does, or if there is no fleet).
pub fn assess(previous: Option<PreviousRun>, remembered_generation: u64) -> RecoveryVerdict {
    let Some(previous) = previous else {
        return if remembered_generation > 0 {
            RecoveryVerdict::StateLost
        } else {
            RecoveryVerdict::FirstStart
        };
    };
    if remembered_generation > previous.generation {
        RecoveryVerdict::Stale
    } else if (0.0..=FRESH_AGE_MAX_MS).contains(&previous.age_ms) {
        RecoveryVerdict::Current
    } else {
        RecoveryVerdict::Unverified
    }
}

#[cfg(test)]
mod tests;
