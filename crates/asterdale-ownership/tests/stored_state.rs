//! What a keeper of an earlier release had on disk, and the book of one, are read to the same owners, work, fences and
//! epochs, and are written again byte for byte. `fixtures/ownership/README.md` says how the files were made.

use std::net::SocketAddr;

use asterdale_membership::seal::Seal;
use asterdale_ownership::book::State;
use asterdale_ownership::keeper::{Keeper, Start};
use asterdale_ownership::message::wire::{self, Entry};
use asterdale_ownership::message::{member, Ordered};
use asterdale_ownership::saved::Face;
use asterdale_ownership::{Action, Book, Saved, Terms, Told, Work};
use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb::{Entry as LogEntry, EntryType, HardState, Snapshot};

const FACE: &[u8] = include_bytes!("fixtures/ownership/face.bin");
const HARD: &[u8] = include_bytes!("fixtures/ownership/hard.bin");
const WHOLE: &[u8] = include_bytes!("fixtures/ownership/whole.bin");
const ENTRIES: &[u8] = include_bytes!("fixtures/ownership/entries.bin");
const BOOK: &[u8] = include_bytes!("fixtures/ownership/book.bin");

/// Fences and epochs of a group begin at its number times this.
const STEP: u64 = 1 << 30;

fn terms() -> Terms {
    Terms {
        window_ms: 500.0,
        ..Terms::default()
    }
}

fn at(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9000 + n).into()
}

/// The keeper's entries: each behind its number (8 bytes) and its length (4).
fn entries() -> Vec<(u64, Vec<u8>)> {
    let (mut rest, mut all) = (ENTRIES, Vec::new());
    while let Some((number, after)) = rest.split_first_chunk::<8>() {
        let (length, after) = after.split_first_chunk::<4>().unwrap();
        let (entry, after) = after.split_at(u32::from_be_bytes(*length) as usize);
        all.push((u64::from_be_bytes(*number), entry.to_vec()));
        rest = after;
    }
    all
}

fn saved() -> Saved {
    Saved {
        face: FACE.to_vec(),
        hard: HARD.to_vec(),
        whole: WHOLE.to_vec(),
        entries: entries(),
    }
}

#[test]
fn a_stored_face_is_read_and_written_again() {
    let face = saved().face().unwrap();
    let founders = vec![
        member("k0", 10_277_665_017_230_984_823, at(0)),
        member("k1", 7_228_268_180_155_082_411, at(1)),
        member("k2", 13_638_903_821_675_014_887, at(2)),
    ];
    assert_eq!(
        face,
        Face {
            node: 7_228_268_180_155_082_411,
            group: 1000,
            highest: 1000,
            founders
        }
    );
    assert_eq!(face.encode_to_vec(), FACE);
}

#[test]
fn a_keeper_with_a_stored_disk_is_the_one_that_it_was() {
    let start = Start {
        me: member("k1", 4321, at(1)),
        keepers: (0..3u16).map(|n| (format!("k{n}"), at(n))).collect(),
        terms: terms(),
        seal: Seal::new(b"key"),
        seed: 1,
        unix_s: 2000,
        saved: Some(saved()),
    };
    let mut keeper = Keeper::new(0.0, start);
    let told = keeper.wake(0.0);
    assert!(
        told.contains(&Action::Tell(Told::Restored(1000))),
        "{told:?}"
    );
    let shown = keeper.shown();
    // What it held to be agreed by the last vote that it saved; the rest of its entries a leader will confirm.
    assert_eq!(
        (shown.group, shown.members.clone(), shown.quiet_ms),
        (1000, names(&["k1", "k0", "k2"]), 0.0)
    );
    let epochs = [
        ("o100".to_owned(), 1000 * STEP + 1),
        ("o101".to_owned(), 1000 * STEP + 2),
    ];
    assert_eq!(shown.owners, epochs);
    // Started, orphaned, unstarted, ended, failed, unknown.
    assert_eq!(
        (shown.applied, shown.kept, shown.bytes),
        (19, [2, 0, 1, 1, 0, 0], 1110)
    );
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn the_stored_entries_add_up_to_the_same_book() {
    let whole = Snapshot::parse_from_bytes(WHOLE).unwrap();
    let hard = HardState::parse_from_bytes(HARD).unwrap();
    assert_eq!(
        (
            whole.get_metadata().index,
            whole.get_metadata().term,
            hard.commit
        ),
        (1, 1, 19)
    );
    assert_eq!(
        (
            whole.write_to_bytes().unwrap(),
            hard.write_to_bytes().unwrap()
        ),
        (WHOLE.to_vec(), HARD.to_vec())
    );
    let mut book = Book::read(whole.get_data(), terms()).unwrap();
    assert!(
        book.write() == whole.get_data(),
        "the bytes of the first book differ"
    );
    assert_eq!(entries().len(), 18);
    for (number, bytes) in entries() {
        let logged = LogEntry::parse_from_bytes(&bytes).unwrap();
        assert_eq!(
            (logged.index, logged.get_entry_type()),
            (number, EntryType::EntryNormal)
        );
        assert_eq!(logged.write_to_bytes().unwrap(), bytes);
        if logged.data.is_empty() {
            continue; // a new leader's
        }
        let entry = Entry::decode(&logged.data[..]).unwrap();
        assert_eq!(entry.encode_to_vec(), &logged.data[..]);
        book.apply(entry);
    }
    let fences: Vec<(u64, &State)> = book
        .kept()
        .values()
        .map(|kept| (kept.fence, &kept.state))
        .collect();
    let ended = State::Ended(b"sold for 7".to_vec());
    let expected = [
        (1000 * STEP + 1, &ended),
        (1000 * STEP + 2, &State::Started),
        (1000 * STEP + 3, &State::Started),
        (0, &State::Unstarted),
    ];
    assert_eq!(fences, expected);
}

#[test]
fn a_stored_book_is_read_to_the_same_owners_and_work() {
    let book = Book::read(BOOK, terms()).unwrap();
    assert_eq!(
        (book.now(), book.quiet_ms(), book.bytes()),
        (610.5, 0.0, 1582)
    );
    let owners = book.owners();
    let owner = |epoch: u64| {
        let owner = &owners[&epoch];
        (&owner.name[..], owner.node, owner.until, owner.renewed)
    };
    assert_eq!(owners.len(), 2);
    assert_eq!(owner(3 * STEP + 2), ("owner-2", 2, 2609.0, true));
    assert_eq!(owner(3 * STEP + 3), ("owner-1", 8, 2610.5, false));
    let keeper = |n: u64| {
        member(
            &format!("keeper-{n}"),
            90 + n,
            ([10, 0, 1, n as u8], 4100).into(),
        )
    };
    let keepers: Vec<_> = book.members.values().cloned().collect();
    assert_eq!(keepers, [keeper(1), keeper(2), keeper(3)]);
    let kept: Vec<_> = book
        .kept()
        .values()
        .map(|kept| (kept.epoch, kept.fence, &kept.state))
        .collect();
    let (first, second) = (3 * STEP + 1, 3 * STEP + 2);
    let ended = State::Ended(b"sold for 7".to_vec());
    let expected = [
        (first, 3 * STEP + 1, &State::Orphaned),
        (first, 3 * STEP + 2, &State::Unknown),
        (second, 3 * STEP + 3, &ended),
        (second, 3 * STEP + 4, &State::Failed),
        (second, 3 * STEP + 5, &State::Started),
        (0, 0, &State::Unstarted),
    ];
    assert_eq!(kept, expected);
    let orphan = &book.kept()[&vec![b'k', 1]];
    assert_eq!((orphan.due, orphan.until), (10_602.0, 20_602.0));
    let work = Work {
        key: vec![b'k', 1],
        stage: "bid".to_owned(),
        id: b"0000000000000001".to_vec(),
        sign: 0xfeed_0001,
        body: vec![1; 3],
        due_ms: 10_001.0,
        window_ms: 20_001.0,
        hint_ms: 12.5,
        kb: 6.75,
        fenced: true,
    };
    assert_eq!(orphan.work, work);
    assert_eq!(
        book.loose().map(|kept| kept.fence).collect::<Vec<_>>(),
        [3 * STEP + 1, 0]
    );
}

#[test]
fn a_stored_book_goes_on_with_its_epochs_and_fences() {
    let mut book = Book::read(BOOK, terms()).unwrap();
    let mut say = |from: &wire::Member, what: Ordered| {
        let order = Some(wire::Order {
            seq: 1,
            what: Some(what),
        });
        let from = Some(from.clone());
        let proposals = vec![wire::Proposal { from, order }];
        let answers = book.apply(Entry {
            elapsed_ms: 1.0,
            proposals,
        });
        (answers[0].1.verdict(), answers[0].1.number)
    };
    // The process that was replaced, and a new one.
    let replaced = member("owner-1", 1, ([10, 0, 0, 1], 4001).into());
    let renew = |epoch| Ordered::Renew(wire::Renew { epoch, room: 0 });
    assert_eq!(
        say(&replaced, renew(3 * STEP + 1)),
        (wire::Verdict::Over, 0)
    );
    let new = member("owner-3", 3, ([10, 0, 0, 3], 4003).into());
    assert_eq!(
        say(&new, Ordered::Join(0)),
        (wire::Verdict::Joined, 3 * STEP + 4)
    );
    let work = Work {
        key: b"new".to_vec(),
        id: vec![b'9'; 16],
        window_ms: 1000.0,
        ..Work::default()
    };
    let claim = Ordered::Claim(wire::Claim {
        epoch: 3 * STEP + 4,
        work: Some(work),
    });
    assert_eq!(say(&new, claim), (wire::Verdict::Yours, 3 * STEP + 6));
}

#[test]
fn a_stored_book_is_written_again_byte_for_byte() {
    assert!(
        Book::read(BOOK, terms()).unwrap().write() == BOOK,
        "the bytes differ"
    );
}
