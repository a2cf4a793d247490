//! A keeper's file that an earlier release left is read to the same facts and entries. It is looked at from within the
//! package, as a file that is not fresh is forgotten when it is opened, and no test is to depend on the clock.
//! `tests/fixtures/folder/README.md` says how the file was made.

use super::*;

const KEEPER: &[u8] = include_bytes!("../../tests/fixtures/folder/keeper.redb");

fn shelf() -> Shelf {
    Shelf {
        store: Store::image(KEEPER.to_vec()).unwrap(),
    }
}

#[test]
fn a_stored_keepers_file_is_read_to_the_same_facts_and_entries() {
    let mut shelf = shelf();
    assert_eq!(shelf.store.check(), Ok(true));
    let contents = shelf.load().unwrap();
    let names: Vec<&str> = contents.facts.iter().map(|(name, _)| &name[..]).collect();
    assert_eq!(names, ["face", "hard", "mark", "name", "whole"]);
    let lengths: Vec<usize> = contents
        .facts
        .iter()
        .map(|(_, value)| value.len())
        .collect();
    assert_eq!(lengths, [87, 15, 8, 2, 140]);
    assert_eq!(
        (MARK, NAME, &contents.facts[3].1[..]),
        ("mark", "name", &b"k1"[..])
    );
    let mark = f64::from_be_bytes(contents.facts[2].1[..].try_into().unwrap());
    assert!(
        (1_796_220_000_000.0..1_796_230_000_000.0).contains(&mark),
        "{mark}"
    );
    let numbers: Vec<u64> = contents.entries.iter().map(|(number, _)| *number).collect();
    assert_eq!(numbers, (2..20).collect::<Vec<u64>>());
    assert_eq!(
        contents
            .entries
            .iter()
            .map(|(_, entry)| entry.len())
            .sum::<usize>(),
        1215 - 18 * 12
    );
}

#[test]
fn a_stored_keepers_file_takes_changes() {
    let shelf = shelf();
    shelf
        .change(&[Change::Cut(Some(17)), Change::Entries(19, vec![vec![7]])])
        .unwrap();
    let contents = shelf.load().unwrap();
    assert_eq!(
        contents
            .entries
            .iter()
            .map(|(number, _)| *number)
            .collect::<Vec<_>>(),
        [18, 19]
    );
    assert_eq!(contents.entries[1].1, [7]);
}
