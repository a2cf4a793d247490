//! Opening the journal's folder: the integrity check, damaged files, and the headers of new folders.

use std::path::PathBuf;

use crate::clock::unix_time_ms;
use crate::command::JournalSettings;
use crate::entry::FolderHeader;
use crate::error::{Damage, StartError, StoreError};
use crate::recovery::PreviousRun;
use crate::store::{catch_library_panic, Store, StoredState, STATE_FILE};

/// Adds the folder's path to an error of the store.
pub(crate) fn start_error(settings: &JournalSettings, source: StoreError) -> StartError {
    StartError::Store {
        folder: settings.folder.clone(),
        source,
    }
}

/// An open folder and its contents.
pub(crate) struct OpenFolder {
    pub(crate) store: Store,
    pub(crate) stored: StoredState,
    /// The new path of a damaged file that was renamed, and the error that the damage caused.
    pub(crate) damaged_file: Option<(PathBuf, StoreError)>,
}

/// Opens the folder. A damaged file is renamed, so that it can be investigated, and replaced by an empty one; the process
/// continues like one whose entire state was lost.
pub(crate) fn open_or_replace(settings: &JournalSettings) -> Result<OpenFolder, StartError> {
    let error = match open(settings) {
        Ok((store, stored)) => {
            return Ok(OpenFolder {
                store,
                stored,
                damaged_file: None,
            })
        }
        Err(error @ StoreError::Damaged(_)) => error,
        Err(error) => return Err(start_error(settings, error)),
    };
    let path = settings.folder.join(STATE_FILE);
    let unix_s = (unix_time_ms() / 1e3) as u64;
    let moved_to = settings
        .folder
        .join(format!("{STATE_FILE}.damaged-{unix_s}"));
    std::fs::rename(&path, &moved_to)
        .map_err(|source| StartError::MoveDamagedFile { path, source })?;
    let (store, stored) = open(settings).map_err(|source| start_error(settings, source))?;
    Ok(OpenFolder {
        store,
        stored,
        damaged_file: Some((moved_to, error)),
    })
}

/// Opens the folder and reads everything that is stored.
pub(crate) fn open(settings: &JournalSettings) -> Result<(Store, StoredState), StoreError> {
    catch_library_panic(|| {
        let mut store = Store::open(&settings.folder, settings.max_file_bytes)?;
        // After a clean shutdown the library does not check the pages when it opens the file.
        if !store.check_integrity()? {
            return Err(StoreError::Damaged(Damage::Integrity));
        }
        let stored = store.load()?;
        Ok((store, stored))
    })
}

/// Returns what the folder says about the previous run. With damaged entries the folder is never taken for current, so its
/// age is infinite.
pub(crate) fn previous_run(stored: &StoredState) -> Option<PreviousRun> {
    let header = stored.header.as_ref()?;
    let age_ms = if stored.damaged_entries > 0 {
        f64::INFINITY
    } else {
        unix_time_ms() - header.unix_time_ms
    };
    Some(PreviousRun {
        generation: header.generation,
        age_ms,
    })
}

/// The header of a new folder.
pub(crate) fn new_header(settings: &JournalSettings) -> FolderHeader {
    FolderHeader {
        name: settings.name.clone(),
        folder_id: settings.random_id,
        // Different from the id, which the folder's statistics print. The constant consists of bits of the golden ratio.
        digest_secret: settings.random_id.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15,
        ..FolderHeader::default()
    }
}

/// Checks that the folder belongs to the process with the name in the settings.
pub(crate) fn check_owner(
    settings: &JournalSettings,
    header: &FolderHeader,
) -> Result<(), StartError> {
    if header.name == settings.name {
        return Ok(());
    }
    Err(StartError::WrongOwner {
        folder: settings.folder.clone(),
        owner: header.name.clone(),
    })
}
