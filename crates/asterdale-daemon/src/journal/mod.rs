//! Opens the journal that the start file configures, which preserves claims and their outcomes across a crash of this
//! process.
//!
//! Without replicas, the journal itself stores claims ([`ownership`]): a request with an idempotency key starts only
//! after its claim is on disk, and is answered only after its outcome is on disk. With replicas, the replicas store
//! claims, and the disk has this process's part of the replicated log ([`replica`]). In a fleet, the generation that
//! the members know for this process's name shows whether the journal directory is outdated ([`generation`]).

#[cfg(feature = "tools")]
mod command;
#[cfg(feature = "fleet")]
mod generation;
mod ownership;
#[cfg(feature = "fleet")]
mod replica;

use std::error::Error;
use std::sync::Arc;

use asterdale_engine::log::Log;
use asterdale_engine::message::{EngineMessage, OwnershipClient};
use asterdale_journal::{
    IndexLimits, Journal, JournalCommand, JournalEvent, JournalSettings, RecoveryVerdict,
};
use crossbeam_channel::Sender;

use crate::start::{self, StartSettings};
#[cfg(feature = "tools")]
pub use command::{run, Command};
#[cfg(feature = "fleet")]
pub use generation::GenerationRecorder;
use ownership::LocalOwnership;
#[cfg(feature = "fleet")]
pub use replica::open_replica_disk;

/// Memory that an entry takes besides its result, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 512;

/// Why the journal can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    #[error("journal: no random bytes")]
    Random(#[source] getrandom::Error),
    /// The journal directory can't be used.
    #[error("journal")]
    Open(#[source] Box<dyn Error + Send + Sync>),
}

/// An open journal. Both fields are `None` if the start file configures no journal.
#[derive(Default)]
pub struct OpenJournal {
    /// The journal, for the fleet's membership.
    #[cfg_attr(
        not(feature = "fleet"),
        expect(dead_code, reason = "only the fleet uses it")
    )]
    pub journal: Option<Journal>,
    /// The journal as the store of claims, for the engine; `None` if replicas store them.
    pub ownership: Option<Arc<dyn OwnershipClient>>,
}

/// Opens the journal, if the start file configures one.
pub fn start(
    start: &StartSettings,
    engine: &Sender<EngineMessage>,
    log: &Log,
) -> Result<OpenJournal, JournalError> {
    let Some(settings) = &start.journal else {
        return Ok(OpenJournal::default());
    };
    let handler = event_handler(engine.clone(), log.lines.clone());
    let journal = asterdale_journal::start(journal_settings(&start.name, settings)?, handler)
        .map_err(|e| JournalError::Open(e.into()))?;
    slog::info!(log.lines, "journal: open"; "keys" => journal.stored_keys, "generation" => journal.generation);
    if start.fleet.is_none() {
        journal.send(JournalCommand::NoFleet);
    }
    let ownership = start.ownership.is_none().then(|| {
        let classes = &start.settings.decisions.classes;
        let ownership = LocalOwnership::new(journal.clone(), classes, settings.max_unread_ms);
        Arc::new(ownership) as Arc<dyn OwnershipClient>
    });
    Ok(OpenJournal {
        journal: Some(journal),
        ownership,
    })
}

fn journal_settings(
    name: &str,
    settings: &start::JournalSettings,
) -> Result<JournalSettings, JournalError> {
    let mut random = [0; 8];
    getrandom::fill(&mut random).map_err(JournalError::Random)?;
    Ok(JournalSettings {
        folder: settings.folder.clone().into(),
        name: name.to_owned(),
        max_file_bytes: settings.max_disk_bytes,
        index_limits: IndexLimits {
            max_entries: settings.max_memory_bytes / ENTRY_OVERHEAD_BYTES,
            max_bytes: settings.max_memory_bytes,
        },
        max_window_ms: settings.retention_ms,
        random_id: u64::from_be_bytes(random),
    })
}

/// Returns a handler that passes the journal's answers to the engine and its other events to the log.
fn event_handler(
    engine: Sender<EngineMessage>,
    lines: slog::Logger,
) -> impl Fn(JournalEvent) + Send + 'static {
    move |event| match event {
        JournalEvent::Answered(request, answer) => {
            let answer = ownership::to_ownership_answer(answer);
            // The mailbox closes only when the process ends, so a failed send is ignored.
            let _ = engine.send(EngineMessage::OwnershipAnswer(request, answer));
        }
        JournalEvent::RecoveryChecked {
            verdict: RecoveryVerdict::Current,
            ..
        } => {
            slog::info!(
                lines,
                "journal: recovery check passed, the folder is what the last run left"
            );
        }
        JournalEvent::RecoveryChecked { verdict, quiet_ms } => {
            slog::warn!(lines, "journal: recovery check failed, no keyed request starts before earlier ones have expired";
                "verdict" => ?verdict, "quiet_ms" => quiet_ms.round());
        }
        JournalEvent::Failed(error) => {
            slog::error!(lines, "journal: write failed, no keyed request is started"; "error" => %error);
        }
        JournalEvent::Recovered => slog::warn!(lines, "journal: writes succeed again"),
        JournalEvent::DamagedFileMoved { path, error } => {
            slog::error!(lines, "journal: damaged file moved aside"; "path" => %path.display(), "error" => %error);
        }
    }
}

#[cfg(all(test, feature = "fleet"))]
mod tests;
