//! The messages between the journal's actor and the rest of the program, and its settings.

use std::path::PathBuf;

use crossbeam_channel::Sender;

use crate::error::StoreError;
use crate::index::{IndexLimits, KeyStatus};
use crate::recovery::RecoveryVerdict;

/// The settings of a journal.
#[derive(Clone, Debug)]
pub struct JournalSettings {
    /// The folder. Only one process can have it open.
    pub folder: PathBuf,
    /// The name of the process that owns the folder.
    pub name: String,
    /// The maximal size of the file, in bytes.
    pub max_file_bytes: u64,
    /// How much the index may hold in memory.
    pub index_limits: IndexLimits,
    /// The longest idempotency window of any request, in milliseconds, including the time for which a request may wait unread.
    pub max_window_ms: f64,
    /// An unpredictable number, for a new folder's id and secret.
    pub random_id: u64,
}

/// A command to the journal. Answers carry the number of the request.
#[derive(Debug)]
pub enum JournalCommand {
    /// Answer with the status of a key.
    Lookup {
        /// The number of the request.
        request: u64,
        /// The idempotency key.
        key: Vec<u8>,
        /// The digest of the request's body.
        body_digest: u64,
    },
    /// Claim a key and write the intent. Answered once the intent is on disk.
    Claim {
        /// The number of the request.
        request: u64,
        /// The idempotency key.
        key: Vec<u8>,
        /// The digest of the request's body.
        body_digest: u64,
        /// The id of the attempt.
        attempt_id: Vec<u8>,
        /// How long the key is remembered, in milliseconds.
        window_ms: f64,
    },
    /// Write the outcome of an execution. Answered once the outcome is on disk, or the write has failed.
    RecordOutcome {
        /// The number of the request.
        request: u64,
        /// The idempotency key.
        key: Vec<u8>,
        /// The number of the claim.
        claim: u64,
        /// The result, if the execution succeeded.
        result: Option<Vec<u8>>,
    },
    /// Delete the intent of an execution that never started.
    CancelClaim {
        /// The idempotency key.
        key: Vec<u8>,
        /// The number of the claim.
        claim: u64,
    },
    /// Do not answer this request any more.
    CancelRequest(u64),
    /// The process has joined its fleet.
    Joined {
        /// Its generation.
        generation: u64,
        /// The highest generation of its name that other members remembered; 0 for none.
        remembered: u64,
    },
    /// The process has a new generation.
    GenerationChanged(u64),
    /// The process has no fleet, and so no members that remember a generation of it.
    NoFleet,
    /// A newer process has this name: start no more executions.
    Superseded,
    /// Commit the changes of all earlier commands, and reply.
    Flush(Sender<()>),
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum JournalAnswer {
    /// The status of a key.
    Status(KeyStatus),
    /// The execution may start under the claim with this number: its intent is on disk.
    Claimed(u64),
    /// The outcome is on disk; after a disk failure it may be in memory only.
    OutcomeRecorded,
}

/// An event that the journal reports.
#[derive(Debug)]
pub enum JournalEvent {
    /// The answer to the request of this number.
    Answered(u64, JournalAnswer),
    /// The recovery check is done.
    RecoveryChecked {
        /// Its result.
        verdict: RecoveryVerdict,
        /// How long the quiet period lasts from now, in milliseconds.
        quiet_ms: f64,
    },
    /// A commit failed: no more keyed requests are started until [`JournalEvent::Recovered`].
    Failed(StoreError),
    /// Commits succeed again, and keyed requests are started again.
    Recovered,
    /// A damaged file was renamed, and the journal started with an empty one.
    DamagedFileMoved {
        /// The new path of the damaged file.
        path: PathBuf,
        /// The error that the damage caused.
        error: StoreError,
    },
}
