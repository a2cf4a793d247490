//! A journal folder that an earlier release left is read to the same intents, outcomes and results, and a process that
//! opens it goes on with its name, secret, generation and run. The tables are looked at without the store's code as well,
//! so that a change of a stored name is seen even where reading and writing change together.
//! `fixtures/folder/README.md` says how the file was made.

use std::path::{Path, PathBuf};

use asterdale_journal::entry::{self, Entry, Face, Stage};
use asterdale_journal::ledger::{Bounds, Known, Ledger};
use asterdale_journal::store::FILE;
use asterdale_journal::{begin, Place, Store};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

const STATE: &[u8] = include_bytes!("fixtures/folder/state.redb");
const BOUNDS: Bounds = Bounds {
    entries: 100,
    bytes: 100_000,
};
/// The folder's time when it was left.
const LEFT_MS: f64 = 52.619985;

fn key(n: u8) -> Vec<u8> {
    format!("bid\0house\0key-{n}").into_bytes()
}

fn stored_entry(n: u8, stage: Stage, until_ms: f64, result: &[u8]) -> (Vec<u8>, Entry) {
    let (id, sign) = (
        format!("000000000000000{n}").into_bytes(),
        0xfeed_0000 + u64::from(n),
    );
    (
        key(n),
        Entry {
            stage: stage.into(),
            sign,
            id,
            until_ms,
            result: result.to_vec(),
            run: 2,
        },
    )
}

fn entries() -> Vec<(Vec<u8>, Entry)> {
    vec![
        stored_entry(1, Stage::Passed, 3_600_050.649011, b"sold for 7"),
        stored_entry(2, Stage::Failed, 7_200_051.559332, b""),
        stored_entry(3, Stage::Intent, 10_800_051.975784, b""),
    ]
}

fn face() -> Face {
    Face {
        name: "alpha".to_owned(),
        folder: 0x0123_4567_89ab_cdef,
        run: 3,
        generation: 6,
        now_ms: LEFT_MS,
        unix_ms: 1_796_220_492_490.640_4,
        secret: 1_701_433_042_820_217_202,
        quiet_until_ms: 60_052.619985,
    }
}

/// A folder of this test's own, with a copy of the file in it.
fn folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("asterdale-stored-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join(FILE), STATE).unwrap();
    folder
}

fn place(folder: &Path, name: &str) -> Place {
    let (folder, name) = (folder.to_owned(), name.to_owned());
    Place {
        folder,
        name,
        most_bytes: 64 << 20,
        bounds: BOUNDS,
        window_ms: 60_000.0,
        random: 1,
    }
}

#[test]
fn a_stored_folder_is_read_to_the_same_entries() {
    let mut store = Store::image(STATE.to_vec()).unwrap();
    assert_eq!((store.check(), store.len()), (Ok(true), Ok(3)));
    let found = store.load().unwrap();
    assert_eq!(
        (found.face, found.entries, found.damaged),
        (Some(face()), entries(), 0)
    );
}

#[test]
fn what_is_known_of_stored_keys_decides_as_before() {
    let found = Store::image(STATE.to_vec()).unwrap().load().unwrap();
    let mut ledger = Ledger::new(4, BOUNDS, found.entries);
    ledger.quiet_until(0.0);
    assert_eq!(
        ledger.look(LEFT_MS, &key(1), 0xfeed_0001),
        Known::Passed(b"sold for 7".to_vec())
    );
    assert_eq!(ledger.look(LEFT_MS, &key(2), 0xfeed_0002), Known::Failed);
    let left_ms = 10_800_051.975784 - LEFT_MS;
    assert_eq!(
        ledger.look(LEFT_MS, &key(3), 0xfeed_0003),
        Known::Unknown(left_ms)
    );
    let repeat = ledger.claim(LEFT_MS, (&key(3), 0xfeed_0003), &[b'9'; 16], 1000.0);
    assert_eq!(repeat, Err(Known::Unknown(left_ms)), "it may have run");
    assert_eq!(ledger.look(LEFT_MS, &key(1), 0xfeed_0002), Known::Differs);
    assert_eq!(
        ledger.look(LEFT_MS, &key(4), 0xfeed_0004),
        Known::Nothing,
        "it was claimed and never started"
    );
    assert!(ledger
        .claim(10_800_052.0, (&key(4), 0xfeed_0004), &[b'9'; 16], 1000.0)
        .is_ok());
    assert_eq!(ledger.sweep(3_600_052.0, 10).len(), 1);
    assert_eq!(
        ledger.look(3_600_052.0, &key(1), 0xfeed_0001),
        Known::Nothing
    );
}

#[test]
fn a_process_that_opens_a_stored_folder_goes_on_with_it() {
    let folder = folder("opened");
    let Err(refused) = begin(place(&folder, "beta"), |_| ()) else {
        panic!("another's folder was taken")
    };
    assert!(refused.ends_with("it is the folder of alpha"), "{refused}");
    let journal = begin(place(&folder, "alpha"), |_| ()).unwrap();
    assert_eq!((journal.found, journal.generation), (3, 6));
    assert_eq!(journal.secret, 1_701_433_042_820_217_202);
    journal.leave();
    let bytes = std::fs::read(folder.join(FILE)).unwrap();
    let now = Store::image(bytes).unwrap().load().unwrap();
    assert_eq!(now.entries, entries());
    let after = now.face.unwrap();
    assert_eq!(
        (after.run, after.folder, after.generation),
        (4, face().folder, 6)
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn the_stored_tables_have_these_names_and_bytes() {
    let folder = folder("tables");
    let database = Database::open(folder.join(FILE)).unwrap();
    let read = database.begin_read().unwrap();
    let facts = read
        .open_table(TableDefinition::<&str, &[u8]>::new("facts"))
        .unwrap();
    let names: Vec<String> = facts
        .iter()
        .unwrap()
        .map(|fact| fact.unwrap().0.value().to_owned())
        .collect();
    assert_eq!(names, ["face"]);
    assert_eq!(
        facts.get("face").unwrap().unwrap().value(),
        entry::write(&face())
    );
    let table = read
        .open_table(TableDefinition::<&[u8], &[u8]>::new("entries"))
        .unwrap();
    for (key, expected) in entries() {
        let stored = table.get(&key[..]).unwrap().unwrap();
        assert_eq!(stored.value(), entry::write(&expected), "{key:?}");
        // The version, and the field of the stage with its stored number.
        let stage: &[u8] = match expected.stage() {
            Stage::Intent => &[1, 0x11],
            Stage::Passed => &[1, 0x08, 1],
            Stage::Failed => &[1, 0x08, 2],
        };
        assert!(stored.value().starts_with(stage), "{key:?}");
    }
    drop((facts, table, read, database));
    std::fs::remove_dir_all(folder).unwrap();
}
