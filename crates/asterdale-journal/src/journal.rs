//! Starting the journal: opens and checks the folder, starts the actor's thread, and returns the handle to it.

use std::thread;
use std::time::Duration;

use crossbeam_channel::{bounded, unbounded, Sender};

use crate::actor::{Actor, FolderState};
use crate::clock::unix_time_ms;
use crate::command::{JournalCommand, JournalEvent, JournalSettings};
use crate::error::StartError;
use crate::folder::{self, OpenFolder};
use crate::index::KeyIndex;

/// How long [`Journal::flush`] waits for the disk.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// The stack size of the journal's thread, whose buffers are on the heap.
const STACK_BYTES: usize = 512 * 1024;

/// A handle to the journal. Its thread ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct Journal {
    commands: Sender<JournalCommand>,
    /// The generation of this process that is stored in the folder; 0 for none.
    pub generation: u64,
    /// The number of stored keys when the folder was opened.
    pub stored_keys: usize,
    /// The secret key of body digests. It is the same in all runs over this folder.
    pub digest_secret: u64,
}

impl Journal {
    /// Sends a command. Never blocks.
    pub fn send(&self, command: JournalCommand) {
        // Fails only if the thread has panicked, and a panic ends the program.
        let _ = self.commands.send(command);
    }

    /// Returns once the changes of all commands so far are on disk or could not be written, or after two seconds.
    pub fn flush(&self) {
        let (reply, flushed) = bounded(1);
        self.send(JournalCommand::Flush(reply));
        // After the timeout the caller continues, as after a disk failure.
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Opens the folder and starts the journal's thread. That thread calls `on_event` for each event; the callback must not block
/// for long. A damaged file is renamed, and the journal starts with an empty one.
///
/// The thread is never joined: `on_event` may wait for the thread that drops the last handle, and joining the journal's
/// thread there would be a deadlock. Callers that need the last commit on disk call [`Journal::flush`].
///
/// # Errors
/// If another process has the folder open, if the folder belongs to a process of another name, or if the disk fails.
pub fn start(
    settings: JournalSettings,
    on_event: impl Fn(JournalEvent) + Send + 'static,
) -> Result<Journal, StartError> {
    let OpenFolder {
        store,
        stored,
        damaged_file,
    } = folder::open_or_replace(&settings)?;
    let previous_run = folder::previous_run(&stored);
    let entries = stored.entries;
    let mut header = stored
        .header
        .unwrap_or_else(|| folder::new_header(&settings));
    folder::check_owner(&settings, &header)?;
    header.run += 1;
    let started_at_ms = header.folder_time_ms;
    let previous_quiet_until_ms = header.quiet_until_ms;
    // If this run ends before its recovery check, the next run cannot assume that no entries were lost.
    header.quiet_until_ms = header
        .quiet_until_ms
        .max(started_at_ms + settings.max_window_ms);
    header.unix_time_ms = unix_time_ms();
    store
        .commit(&[], &header)
        .map_err(|source| folder::start_error(&settings, source))?;
    let (commands, received) = unbounded();
    let journal = Journal {
        commands,
        generation: header.generation,
        stored_keys: entries.len(),
        digest_secret: header.digest_secret,
    };
    let folder_state = FolderState {
        index: KeyIndex::new(header.run, settings.index_limits, entries),
        store,
        header,
        previous_run,
        started_at_ms,
        previous_quiet_until_ms,
    };
    if let Some((path, error)) = damaged_file {
        on_event(JournalEvent::DamagedFileMoved { path, error });
    }
    let actor = Actor::new(settings, folder_state, on_event);
    spawn(move || actor.run(&received))?;
    Ok(journal)
}

fn spawn(run: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
    thread::Builder::new()
        .name("journal".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(run)
        .map(drop)
        .map_err(StartError::Thread)
}
