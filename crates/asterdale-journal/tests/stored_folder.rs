//! A journal folder written by an earlier release yields the same intents, outcomes and results, and a process that opens it
//! continues with its name, secret, generation and run. The tables are also read without the store's code, so that a changed
//! stored name is detected even if reading and writing change together.
//! `fixtures/folder/README.md` says how the file was made.

use std::path::{Path, PathBuf};

use asterdale_journal::entry::{self, Entry, ExecutionState, FolderHeader};
use asterdale_journal::index::ClaimRequest;
use asterdale_journal::store::STATE_FILE;
use asterdale_journal::{
    start, IndexLimits, JournalSettings, KeyIndex, KeyStatus, StartError, Store,
};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

const STORED_FILE: &[u8] = include_bytes!("fixtures/folder/state.redb");
const LIMITS: IndexLimits = IndexLimits {
    max_entries: 100,
    max_bytes: 100_000,
};
/// Folder time at the last commit.
const FOLDER_TIME_MS: f64 = 52.619985;

fn key(n: u8) -> Vec<u8> {
    format!("bid\0house\0key-{n}").into_bytes()
}

fn stored_entry(
    n: u8,
    state: ExecutionState,
    expires_at_ms: f64,
    result: &[u8],
) -> (Vec<u8>, Entry) {
    let entry = Entry {
        state: state.into(),
        body_digest: 0xfeed_0000 + u64::from(n),
        attempt_id: format!("000000000000000{n}").into_bytes(),
        expires_at_ms,
        result: result.to_vec(),
        run: 2,
    };
    (key(n), entry)
}

fn entries() -> Vec<(Vec<u8>, Entry)> {
    vec![
        stored_entry(
            1,
            ExecutionState::Succeeded,
            3_600_050.649011,
            b"sold for 7",
        ),
        stored_entry(2, ExecutionState::Failed, 7_200_051.559332, b""),
        stored_entry(3, ExecutionState::Intent, 10_800_051.975784, b""),
    ]
}

fn header() -> FolderHeader {
    FolderHeader {
        name: "alpha".to_owned(),
        folder_id: 0x0123_4567_89ab_cdef,
        run: 3,
        generation: 6,
        folder_time_ms: FOLDER_TIME_MS,
        unix_time_ms: 1_796_220_492_490.640_4,
        digest_secret: 1_701_433_042_820_217_202,
        quiet_until_ms: 60_052.619985,
    }
}

/// Creates a folder for one test, with a copy of the file.
fn folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("asterdale-stored-{name}-{}", std::process::id()));
    // An earlier test run may have left a folder; usually there is none.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join(STATE_FILE), STORED_FILE).unwrap();
    folder
}

fn settings(folder: &Path, name: &str) -> JournalSettings {
    JournalSettings {
        folder: folder.to_owned(),
        name: name.to_owned(),
        max_file_bytes: 64 << 20,
        index_limits: LIMITS,
        max_window_ms: 60_000.0,
        random_id: 1,
    }
}

/// A claim with a window of one second.
fn request(key: &[u8], body_digest: u64) -> ClaimRequest<'_> {
    ClaimRequest {
        key,
        body_digest,
        attempt_id: &[b'9'; 16],
        window_ms: 1000.0,
    }
}

#[test]
fn stored_folder_is_read_to_the_same_entries() {
    let mut store = Store::from_image(STORED_FILE.to_vec()).unwrap();
    assert!(store.check_integrity().unwrap());
    assert_eq!(store.len().unwrap(), 3);
    let state = store.load().unwrap();
    assert_eq!(
        (state.header, state.entries, state.damaged_entries),
        (Some(header()), entries(), 0)
    );
}

#[test]
fn stored_entries_determine_the_status_of_retried_requests() {
    let state = Store::from_image(STORED_FILE.to_vec())
        .unwrap()
        .load()
        .unwrap();
    let mut index = KeyIndex::new(4, LIMITS, state.entries);
    index.set_quiet_until(0.0);
    assert_eq!(
        index.lookup(FOLDER_TIME_MS, &key(1), 0xfeed_0001),
        KeyStatus::Succeeded(b"sold for 7".to_vec())
    );
    assert_eq!(
        index.lookup(FOLDER_TIME_MS, &key(2), 0xfeed_0002),
        KeyStatus::Failed
    );
    let unknown = KeyStatus::Unknown {
        retry_after_ms: 10_800_051.975784 - FOLDER_TIME_MS,
    };
    assert_eq!(index.lookup(FOLDER_TIME_MS, &key(3), 0xfeed_0003), unknown);
    let repeat = index.claim(FOLDER_TIME_MS, request(&key(3), 0xfeed_0003));
    assert_eq!(repeat, Err(unknown), "it may have run");
    assert_eq!(
        index.lookup(FOLDER_TIME_MS, &key(1), 0xfeed_0002),
        KeyStatus::BodyMismatch
    );
    assert_eq!(
        index.lookup(FOLDER_TIME_MS, &key(4), 0xfeed_0004),
        KeyStatus::Absent,
        "its claim was cancelled"
    );
    assert!(index
        .claim(10_800_052.0, request(&key(4), 0xfeed_0004))
        .is_ok());
    assert_eq!(index.remove_expired(3_600_052.0, 10).len(), 1);
    assert_eq!(
        index.lookup(3_600_052.0, &key(1), 0xfeed_0001),
        KeyStatus::Absent
    );
}

#[test]
fn process_continues_with_a_stored_folder() {
    let folder = folder("opened");
    let Err(error) = start(settings(&folder, "beta"), |_| ()) else {
        panic!("the folder of another process was opened")
    };
    assert!(matches!(error, StartError::WrongOwner { .. }));
    assert!(
        error.to_string().ends_with("it is the folder of alpha"),
        "{error}"
    );
    let journal = start(settings(&folder, "alpha"), |_| ()).unwrap();
    assert_eq!((journal.stored_keys, journal.generation), (3, 6));
    assert_eq!(journal.digest_secret, 1_701_433_042_820_217_202);
    journal.flush();
    let bytes = std::fs::read(folder.join(STATE_FILE)).unwrap();
    let state = Store::from_image(bytes).unwrap().load().unwrap();
    assert_eq!(state.entries, entries());
    let after = state.header.unwrap();
    assert_eq!(
        (after.run, after.folder_id, after.generation),
        (4, header().folder_id, 6)
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn stored_tables_have_these_names_and_bytes() {
    let folder = folder("tables");
    let database = Database::open(folder.join(STATE_FILE)).unwrap();
    let read = database.begin_read().unwrap();
    let metadata = read
        .open_table(TableDefinition::<&str, &[u8]>::new("facts"))
        .unwrap();
    let names: Vec<String> = metadata
        .iter()
        .unwrap()
        .map(|row| row.unwrap().0.value().to_owned())
        .collect();
    assert_eq!(names, ["face"]);
    assert_eq!(
        metadata.get("face").unwrap().unwrap().value(),
        entry::encode(&header())
    );
    let table = read
        .open_table(TableDefinition::<&[u8], &[u8]>::new("entries"))
        .unwrap();
    for (key, expected) in entries() {
        let stored = table.get(&key[..]).unwrap().unwrap();
        assert_eq!(stored.value(), entry::encode(&expected), "{key:?}");
        // The version byte, and the state field with its stored number.
        let prefix: &[u8] = match expected.state() {
            ExecutionState::Intent => &[1, 0x11],
            ExecutionState::Succeeded => &[1, 0x08, 1],
            ExecutionState::Failed => &[1, 0x08, 2],
        };
        assert!(stored.value().starts_with(prefix), "{key:?}");
    }
    drop((metadata, table, read, database));
    std::fs::remove_dir_all(folder).unwrap();
}
