//! Whether what a folder says may be believed. A folder that is empty, or older than the last run of its process, knows
//! nothing of what that run started: until all windows of then have ended, nothing may run that could have run before,
//! and nobody may be told that it did not.
//!
//! Two witnesses speak. The others of the fleet, who remember a generation of this name, can only speak against a folder:
//! that they remember a later one is proof of a later run; that they remember just this one says nothing of when within
//! it a copy was taken, and that nobody remembers one says nothing at all, as all may have been restarted. The clock speaks
//! for it: a folder is marked every second while a process has it open, and one that was marked a moment ago is what was left a
//! moment ago. What this leaves: a copy that is put back within [`FRESH_MS`] of being taken, and a clock that was set
//! back by just the age of a copy.

use crate::failpoint::{self, Failpoint};

/// A folder that was marked no longer ago than this, by the Unix clock, is what was left a moment ago: some marks, and the
/// time in which a supervisor starts a process anew.
pub const FRESH_AGE_MAX_MS: f64 = 5_000.0;

/// What a folder says of the run before this one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreviousRun {
    /// The generation of the process then; 0 for none.
    pub generation: u64,
    /// How long ago it was last marked, by the Unix clock: negative where that was set back.
    pub age_ms: f64,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryVerdict {
    /// It is what the last run left: what it does not know never ran.
    Current,
    /// It is empty, and nobody remembers an earlier process of the name: a first start, or the loss of everything.
    FirstStart,
    /// It is empty, and others remember an earlier process.
    StateLost,
    /// Others remember a later run than it does.
    Stale,
    /// Nobody can tell whether it is what the last run left.
    Unverified,
}

impl RecoveryVerdict {
    /// Whether what the folder does not know never ran.
    pub fn is_trusted(self) -> bool {
        match self {
            RecoveryVerdict::Current => true,
            RecoveryVerdict::FirstStart | RecoveryVerdict::StateLost => {
                failpoint::is_active(Failpoint::Lost)
            }
            RecoveryVerdict::Stale | RecoveryVerdict::Unverified => {
                failpoint::is_active(Failpoint::Rollback)
            }
        }
    }
}

/// Judges: the folder, unless it was empty; and the highest generation of this name that others remember, 0 where nobody
/// does or there is nobody to ask.
pub fn assess(folder: Option<PreviousRun>, remembered: u64) -> RecoveryVerdict {
    let Some(folder) = folder else {
        return if remembered > 0 {
            RecoveryVerdict::StateLost
        } else {
            RecoveryVerdict::FirstStart
        };
    };
    if remembered > folder.generation {
        RecoveryVerdict::Stale
    } else if (0.0..=FRESH_AGE_MAX_MS).contains(&folder.age_ms) {
        RecoveryVerdict::Current
    } else {
        RecoveryVerdict::Unverified
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_folder_is_believed_where_the_clock_vouches_for_it_and_nobody_speaks_against_it() {
        let folder = |generation, gap_ms| {
            Some(PreviousRun {
                generation,
                age_ms: gap_ms,
            })
        };
        for (given, remembered, expected) in [
            (None, 0, RecoveryVerdict::FirstStart),
            (None, 4, RecoveryVerdict::StateLost),
            // Others remember just this, which a copy of an hour ago may say as well.
            (folder(4, 3_600_000.0), 4, RecoveryVerdict::Unverified),
            (folder(4, 900.0), 4, RecoveryVerdict::Current),
            // A later run: whatever the clock says.
            (folder(4, 100.0), 5, RecoveryVerdict::Stale),
            // All were restarted at once.
            (folder(4, 100.0), 0, RecoveryVerdict::Current),
            (folder(4, 100.0), 3, RecoveryVerdict::Current),
            // And one of them had yesterday's copy, or its clock was set.
            (folder(4, 86_400_000.0), 0, RecoveryVerdict::Unverified),
            (folder(4, -5.0), 0, RecoveryVerdict::Unverified),
            // Without a fleet.
            (folder(0, 100.0), 0, RecoveryVerdict::Current),
            (folder(0, 60_000.0), 0, RecoveryVerdict::Unverified),
            (folder(0, 100.0), 1, RecoveryVerdict::Stale),
        ] {
            assert_eq!(
                assess(given, remembered),
                expected,
                "{given:?}, {remembered}"
            );
        }
    }
}
