//! What lasts over a crash of this process: the engine's desk of custody, kept by a folder on a local disk. What was about to
//! start is there before it starts, and what came of it before anybody hears so. Where work in hand is kept by keepers
//! (`takeover`) the desk is theirs, and what lasts is their part of the log. The fleet is asked what it remembers of
//! this name, which tells a folder that is older than it ought to be.

use std::sync::Arc;

use asterdale::parameters::Idempotency;
use asterdale_engine::log::Log;
use asterdale_engine::message::{EngineMessage, OwnershipClient};
use asterdale_journal::{
    IndexLimits, Journal, JournalAnswer, JournalCommand, JournalEvent, JournalSettings, KeyStatus,
    RecoveryVerdict,
};
use asterdale_ownership::{Answer, OwnershipRequest, Verdict};
use crossbeam_channel::Sender;
use siphasher::sip::SipHasher13;

use crate::start::Start;

/// A rejection for want of room, or of a disk, says to come again after so long: what is there ages out in seconds.
const AGAIN_MS: f64 = 1000.0;
/// A claim that has no answer after so long is given up: a disk that takes longer is one that fails.
const PATIENCE_MS: f64 = 2000.0;
/// What a key takes in memory besides its result.
const ENTRY: usize = 512;

/// The folder, as the host sees it.
struct OnDisk {
    journal: Journal,
    /// By stage: whether its tasks have a key.
    stages: Vec<bool>,
    unread_ms: f64,
}

impl OwnershipClient for OnDisk {
    fn replicates_class(&self, stage: usize) -> Option<bool> {
        self.stages
            .get(stage)
            .copied()
            .filter(|kept| *kept)
            .map(|_| false)
    }

    fn body_digest(&self, body: &[u8]) -> u64 {
        use std::hash::Hasher as _;
        let mut hasher =
            SipHasher13::new_with_keys(self.journal.digest_secret, !self.journal.digest_secret);
        hasher.write(body);
        hasher.finish()
    }

    fn request(&self, number: u64, want: OwnershipRequest) {
        self.journal.send(match want {
            OwnershipRequest::Lookup {
                key,
                body_digest: sign,
            } => JournalCommand::Lookup {
                request: number,
                key,
                body_digest: sign,
            },
            OwnershipRequest::Claim(work) => JournalCommand::Claim {
                request: number,
                key: work.key,
                body_digest: work.body_digest,
                attempt_id: work.execution_id,
                // A repeat that came before the window's end may be read that much later.
                window_ms: work.retry_window_ms + self.unread_ms,
            },
            OwnershipRequest::Complete {
                key,
                fence: claim,
                result,
            } => JournalCommand::RecordOutcome {
                request: number,
                key,
                claim,
                result,
            },
            // Nobody else has this folder: it is rejected as it would have been.
            OwnershipRequest::HandOver(work) => JournalCommand::Lookup {
                request: number,
                key: work.key,
                body_digest: work.body_digest,
            },
        });
    }

    fn cancel(&self, number: u64) {
        self.journal.send(JournalCommand::CancelRequest(number));
    }

    fn claim_unused(&self, key: Vec<u8>, claim: u64) {
        self.journal
            .send(JournalCommand::CancelClaim { key, claim });
    }

    fn set_takeover_capacity(&self, _: u32) {}

    fn may_act(&self) -> bool {
        true
    }

    fn sends_fences(&self) -> bool {
        // A claim's number means nothing outside this folder.
        false
    }

    fn lease_ms(&self) -> f64 {
        PATIENCE_MS
    }

    fn release_all(&self) {
        self.journal.flush();
    }
}

/// A word as the engine takes it from whoever keeps work.
fn answer(word: JournalAnswer) -> Answer {
    let mut answer = Answer::default();
    let verdict = match word {
        JournalAnswer::Claimed(claim) => {
            answer.number = claim;
            Verdict::Granted
        }
        JournalAnswer::OutcomeRecorded => Verdict::Recorded,
        JournalAnswer::Status(KeyStatus::Absent) => Verdict::NotFound,
        JournalAnswer::Status(KeyStatus::InFlight) => Verdict::InProgress,
        JournalAnswer::Status(KeyStatus::Failed) => Verdict::Failed,
        JournalAnswer::Status(KeyStatus::BodyMismatch) => Verdict::DigestMismatch,
        JournalAnswer::Status(KeyStatus::Succeeded(result)) => {
            answer.result = result;
            Verdict::Completed
        }
        JournalAnswer::Status(KeyStatus::Unknown { retry_after_ms }) => {
            answer.ms = retry_after_ms;
            Verdict::OutcomeUnknown
        }
        JournalAnswer::Status(KeyStatus::Unavailable) => {
            answer.ms = AGAIN_MS;
            Verdict::RetryLater
        }
    };
    answer.set_verdict(verdict);
    answer
}

/// The journal, for whoever hears what the fleet remembers; and what keeps tasks with a key, for the host.
type Begun = (Option<Journal>, Option<Arc<dyn OwnershipClient>>);

/// Opens the folder, where the start file names one.
pub fn begin(start: &Start, mail: &Sender<EngineMessage>, log: &Log) -> Result<Begun, String> {
    let Some(told) = &start.journal else {
        return Ok((None, None));
    };
    let mut random = [0; 8];
    getrandom::fill(&mut random).map_err(|e| format!("journal: no random bytes: {e}"))?;
    let place = JournalSettings {
        folder: told.folder.clone().into(),
        name: start.name.clone(),
        max_file_bytes: told.max_disk_bytes,
        index_limits: IndexLimits {
            max_entries: told.max_memory_bytes / ENTRY,
            max_bytes: told.max_memory_bytes,
        },
        max_window_ms: told.retention_ms,
        random_id: u64::from_be_bytes(random),
    };
    let (host, lines) = (mail.clone(), log.lines.clone());
    let heard = move |heard: JournalEvent| match heard {
        JournalEvent::Answered(number, word) => {
            drop(host.send(EngineMessage::OwnershipAnswer(number, answer(word))))
        }
        JournalEvent::RecoveryChecked {
            verdict: RecoveryVerdict::Current,
            ..
        } => {
            slog::info!(lines, "journal: the folder is what the last run left");
        }
        JournalEvent::RecoveryChecked { verdict, quiet_ms } => {
            slog::warn!(lines, "journal: what ran before may not be known here, nothing with a key starts meanwhile";
                "folder" => ?verdict, "quiet_ms" => quiet_ms.round());
        }
        JournalEvent::Failed(error) => {
            slog::error!(lines, "journal: nothing lasts any more, nothing with a key is started"; "why" => %error);
        }
        JournalEvent::Recovered => slog::warn!(lines, "journal: it lasts again"),
        JournalEvent::DamagedFileMoved { path, error } => {
            slog::error!(lines, "journal: what was there can't be read, and is laid aside";
                "path" => %path.display(), "why" => %error);
        }
    };
    let journal = asterdale_journal::start(place, heard).map_err(|e| format!("journal: {e}"))?;
    slog::info!(log.lines, "journal: open"; "keys" => journal.stored_keys, "generation" => journal.generation);
    if start.fleet.is_none() {
        journal.send(JournalCommand::NoFleet);
    }
    if start.ownership.is_some() {
        return Ok((Some(journal), None));
    }
    let stages = start
        .settings
        .decisions
        .classes
        .iter()
        .map(|stage| stage.idempotency == Idempotency::Keyed)
        .collect();
    let on_disk = OnDisk {
        journal: journal.clone(),
        stages,
        unread_ms: told.max_unread_ms,
    };
    Ok((Some(journal), Some(Arc::new(on_disk))))
}

/// A keeper's part of the log, on this process's disk.
#[cfg(feature = "fleet")]
struct OnShelf(asterdale_journal::replica_store::ReplicaStore);

#[cfg(feature = "fleet")]
impl asterdale_transport::ownership::ReplicaStorage for OnShelf {
    fn save(
        &mut self,
        saves: Vec<asterdale_ownership::StorageWrite>,
    ) -> Result<(), asterdale_transport::ownership::StorageError> {
        use asterdale_transport::ownership::StorageError;

        use asterdale_journal::replica_store::ReplicaChange;
        use asterdale_ownership::StorageWrite;
        let mut changes = Vec::with_capacity(saves.len());
        for save in saves {
            match save {
                StorageWrite::Identity(face) => {
                    changes.push(ReplicaChange::SetMetadata(FACE, face))
                }
                StorageWrite::HardState(hard) => {
                    changes.push(ReplicaChange::SetMetadata(HARD, hard))
                }
                StorageWrite::Snapshot {
                    last_index: index,
                    bytes: whole,
                    delete_all_entries: alone,
                } => {
                    changes.push(ReplicaChange::SetMetadata(WHOLE, whole));
                    changes.push(if alone {
                        ReplicaChange::DeleteAll
                    } else {
                        ReplicaChange::DeleteThrough(index)
                    });
                }
                StorageWrite::Entries(first, entries) => changes.push(ReplicaChange::ReplaceFrom {
                    first_index: first,
                    entries,
                }),
            }
        }
        self.0.commit(&changes).map_err(StorageError::new)
    }
}

/// Names of what a keeper has on its shelf.
#[cfg(feature = "fleet")]
const FACE: &str = "face";
#[cfg(feature = "fleet")]
const HARD: &str = "hard";
#[cfg(feature = "fleet")]
const WHOLE: &str = "whole";

/// The disk of this process as a keeper, where it has one.
#[cfg(feature = "fleet")]
pub fn disk(
    start: &Start,
    log: &Log,
) -> Result<Option<asterdale_transport::ownership::ReplicaDisk>, String> {
    use asterdale_journal::replica_store::ReplicaStore;
    let (Some(told), Some(takeover)) = (&start.journal, &start.ownership) else {
        return Ok(None);
    };
    if !takeover
        .replicas
        .iter()
        .any(|(name, _)| *name == start.name)
    {
        return Ok(None);
    }
    let folder = std::path::Path::new(&told.folder);
    let (shelf, found) = ReplicaStore::open(folder, &start.name, told.max_disk_bytes)
        .map_err(|e| format!("journal: {e}"))?;
    slog::info!(log.lines, "journal: a keeper's part of the log is open"; "entries" => found.entries.len());
    let fact = |name: &str| {
        found
            .metadata
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.clone())
    };
    let saved = asterdale_ownership::StoredState {
        identity: fact(FACE).unwrap_or_default(),
        hard_state: fact(HARD).unwrap_or_default(),
        snapshot: fact(WHOLE).unwrap_or_default(),
        entries: found.entries.clone(),
    };
    let shelf = Arc::new(std::sync::Mutex::new(OnShelf(shelf)));
    Ok(Some(asterdale_transport::ownership::ReplicaDisk {
        saved,
        storage: shelf,
    }))
}

/// Tells the journal what the fleet remembers of this name.
#[cfg(feature = "fleet")]
pub struct Witness {
    journal: Journal,
    remembered: std::sync::atomic::AtomicU64,
}

#[cfg(feature = "fleet")]
impl Witness {
    /// One that has heard nothing yet.
    pub fn new(journal: Journal) -> Witness {
        Witness {
            journal,
            remembered: 0.into(),
        }
    }

    /// Hears an event of the fleet.
    pub fn hears(&self, event: &asterdale_membership::Event) {
        use std::sync::atomic::Ordering::Relaxed;

        use asterdale_membership::Event;
        match event {
            Event::PriorGeneration(generation) => self.remembered.store(*generation, Relaxed),
            Event::Joined(generation) => {
                let (generation, remembered) = (*generation, self.remembered.load(Relaxed));
                self.journal.send(JournalCommand::Joined {
                    generation,
                    remembered,
                });
            }
            Event::Rejoined(generation) => self
                .journal
                .send(JournalCommand::GenerationChanged(*generation)),
            Event::Superseded(_) => self.journal.send(JournalCommand::Superseded),
            _ => {}
        }
    }
}

#[cfg(feature = "tools")]
pub use line::{run, Command};

#[cfg(feature = "tools")]
mod line {
    use std::path::{Path, PathBuf};
    use std::process::ExitCode;

    use asterdale_journal::entry::ExecutionState;
    use asterdale_journal::store::{catch_library_panic, Store, StoredState, STATE_FILE};
    use clap::Subcommand;
    use serde_json::json;

    /// What is asked about a folder. Nothing in it is changed.
    #[derive(Subcommand)]
    pub enum Command {
        /// Check every page and entry; exit code 1 if anything is damaged
        Check {
            /// The folder
            folder: PathBuf,
        },
        /// Print what it holds, a JSON object a key
        Dump {
            /// The folder
            folder: PathBuf,
        },
        /// Print what it says of itself, and counts
        Stats {
            /// The folder
            folder: PathBuf,
        },
    }

    /// Reads that meet a commit are made again so often.
    const TRIES: u32 = 5;

    /// What the file holds at this moment, and whether all of its pages are sound.
    fn read(folder: &Path) -> Result<(StoredState, bool, u64), String> {
        let file = folder.join(STATE_FILE);
        let mut why = String::new();
        for _ in 0..TRIES {
            let bytes = std::fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let length = bytes.len() as u64;
            let looked = catch_library_panic(|| {
                Store::from_image(bytes)
                    .and_then(|mut store| Ok((store.check_integrity()?, store.load()?)))
            });
            match looked {
                Ok((sound, found)) => return Ok((found, sound, length)),
                Err(e) => why = e.to_string(),
            }
        }
        Err(format!("{}: {why}", file.display()))
    }

    fn text(bytes: &[u8]) -> String {
        String::from_utf8_lossy(bytes).replace('\0', "/")
    }

    fn done(command: &Command) -> Result<ExitCode, String> {
        let (Command::Check { folder } | Command::Dump { folder } | Command::Stats { folder }) =
            command;
        let (found, sound, length) = read(folder)?;
        let face = found.header.clone().unwrap_or_default();
        let count = |stage| {
            found
                .entries
                .iter()
                .filter(|(_, entry)| entry.state() == stage)
                .count()
        };
        match command {
            Command::Check { .. } => {
                let good = sound && found.damaged_entries == 0 && found.header.is_some();
                println!(
                    "{}",
                    json!({"good": good, "pages": sound, "damaged_entries": found.damaged_entries,
                    "keys": found.entries.len()})
                );
                return Ok(if good {
                    ExitCode::SUCCESS
                } else {
                    ExitCode::FAILURE
                });
            }
            Command::Dump { .. } => {
                for (key, entry) in &found.entries {
                    println!(
                        "{}",
                        json!({"key": text(key), "stage": entry.state().to_string(),
                        "id": text(&entry.attempt_id), "run": entry.run, "left_ms": (entry.expires_at_ms - face.folder_time_ms).round(),
                        "result_bytes": entry.result.len()})
                    );
                }
            }
            Command::Stats { .. } => {
                println!(
                    "{}",
                    json!({"name": face.name, "folder": format!("{:016x}", face.folder_id), "run": face.run,
                    "generation": face.generation, "quiet_ms": (face.quiet_until_ms - face.folder_time_ms).max(0.0).round(),
                    "marked_unix_ms": face.unix_time_ms.round(), "bytes": length, "intents": count(ExecutionState::Intent),
                    "passed": count(ExecutionState::Succeeded), "failed": count(ExecutionState::Failed), "damaged_entries": found.damaged_entries})
                );
            }
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Does it.
    pub fn run(command: &Command) -> ExitCode {
        done(command).unwrap_or_else(|why| {
            eprintln!("asterdale: {why}");
            ExitCode::from(2)
        })
    }
}

#[cfg(all(test, feature = "fleet"))]
mod stored;
