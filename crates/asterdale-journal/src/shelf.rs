//! A keeper's part of an agreed log, on disk: numbered entries and a few facts, each change of several of them one commit.
//! What they mean is the keeper's.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use redb::{ReadableDatabase, ReadableTable, TableDefinition};

use crate::store::{spared, Broken, Store};
use crate::trust::{self, Folder};

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// When it was last marked, by the Unix clock.
const MARK: &str = "mark";
/// Whose it is.
const NAME: &str = "name";
/// The file, in its folder.
pub const FILE: &str = "keeper.redb";

/// A change.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// This fact takes the place of the one before.
    Fact(&'static str, Vec<u8>),
    /// Entries from this number on; whatever was there from it on is gone.
    Entries(u64, Vec<Vec<u8>>),
    /// Entries up to this number are gone, or all.
    Cut(Option<u64>),
}

/// What was found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contents {
    /// Facts by name.
    pub facts: Vec<(String, Vec<u8>)>,
    /// Entries by number.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// The file, open.
#[derive(Debug)]
pub struct Shelf {
    store: Store,
}

fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64() * 1e3)
}

fn failed(e: impl Into<redb::Error>) -> Broken {
    Broken::Failed(e.into().to_string())
}

impl Shelf {
    /// Opens it, and tells what was found: nothing where it is not fresh, as an older one would have this process vote
    /// against what it has voted. What can't be read is laid aside.
    pub fn open(folder: &Path, name: &str, most: u64) -> Result<(Shelf, Contents), Broken> {
        match spared(|| Shelf::open_once(folder, name, most)) {
            Err(Broken::Damaged(why)) => {
                let file = folder.join(FILE);
                let to = folder.join(format!("{FILE}.damaged-{}", (unix_ms() / 1e3) as u64));
                std::fs::rename(file, to).map_err(|e| Broken::Failed(format!("{why}; {e}")))?;
                Shelf::open_once(folder, name, most)
            }
            opened => opened,
        }
    }

    fn open_once(folder: &Path, name: &str, most: u64) -> Result<(Shelf, Contents), Broken> {
        let mut shelf = Shelf {
            store: Store::file(folder, FILE, most)?,
        };
        if !shelf.store.check()? {
            return Err(Broken::Damaged("pages that do not fit together".to_owned()));
        }
        let contents = shelf.load()?;
        let fact = |name: &str| {
            contents
                .facts
                .iter()
                .find(|(known, _)| known == name)
                .map(|(_, value)| value)
        };
        let mark = fact(MARK).and_then(|mark| Some(f64::from_be_bytes(mark[..].try_into().ok()?)));
        let own = fact(NAME).is_some_and(|known| known == name.as_bytes());
        let folder = mark.map(|mark| Folder {
            generation: 0,
            gap_ms: unix_ms() - mark,
        });
        if own && trust::judge(folder, 0).is_trusted() {
            shelf.change(&[])?;
            return Ok((shelf, contents));
        }
        // Whatever it says is of another time: it is not to be found again.
        let forget = contents
            .facts
            .iter()
            .filter(|(known, _)| ![MARK, NAME].contains(&known.as_str()));
        let forget: Vec<String> = forget.map(|(known, _)| known.clone()).collect();
        shelf.reset(name, &forget)?;
        Ok((shelf, Contents::default()))
    }

    fn load(&self) -> Result<Contents, Broken> {
        let damaged = |e: redb::StorageError| Broken::Damaged(e.to_string());
        let mut contents = Contents::default();
        let read = self.store.database().begin_read().map_err(failed)?;
        match read.open_table(FACTS) {
            Ok(facts) => {
                for one in facts.iter().map_err(damaged)? {
                    let (name, value) = one.map_err(damaged)?;
                    contents
                        .facts
                        .push((name.value().to_owned(), value.value().to_vec()));
                }
            }
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(contents),
            Err(e) => return Err(Broken::Damaged(e.to_string())),
        }
        if let Ok(log) = read.open_table(LOG) {
            for one in log.iter().map_err(damaged)? {
                let (number, value) = one.map_err(damaged)?;
                contents
                    .entries
                    .push((number.value(), value.value().to_vec()));
            }
        }
        Ok(contents)
    }

    fn reset(&self, name: &str, forget: &[String]) -> Result<(), Broken> {
        let commit = self.store.begin()?;
        {
            let mut facts = commit.open_table(FACTS).map_err(failed)?;
            for known in forget {
                facts.remove(known.as_str()).map_err(failed)?;
            }
            facts.insert(NAME, name.as_bytes()).map_err(failed)?;
            facts
                .insert(MARK, &unix_ms().to_be_bytes()[..])
                .map_err(failed)?;
            let mut log = commit.open_table(LOG).map_err(failed)?;
            log.retain(|_, _| false).map_err(failed)?;
        }
        commit.commit().map_err(failed)
    }

    /// Has all of this on disk, in order, or none of it; comes back once that is so. Without changes it is a mark that it is
    /// open. After a failure it takes no more.
    pub fn change(&self, changes: &[Change]) -> Result<(), Broken> {
        let commit = self.store.begin()?;
        {
            let mut facts = commit.open_table(FACTS).map_err(failed)?;
            let mut log = commit.open_table(LOG).map_err(failed)?;
            for change in changes {
                match change {
                    Change::Fact(name, value) => {
                        drop(facts.insert(*name, &value[..]).map_err(failed)?)
                    }
                    Change::Entries(first, entries) => {
                        log.retain_in::<u64, _>(*first.., |_, _| false)
                            .map_err(failed)?;
                        for (number, entry) in (*first..).zip(entries) {
                            log.insert(number, &entry[..]).map_err(failed)?;
                        }
                    }
                    Change::Cut(Some(number)) => {
                        log.retain_in::<u64, _>(..=*number, |_, _| false)
                            .map_err(failed)?;
                    }
                    Change::Cut(None) => log.retain(|_, _| false).map_err(failed)?,
                }
            }
            facts
                .insert(MARK, &unix_ms().to_be_bytes()[..])
                .map_err(failed)?;
        }
        commit.commit().map_err(failed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_changed_is_found_again_while_it_is_fresh_and_its_owners() {
        let folder = std::env::temp_dir().join(format!("asterdale-shelf-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let open = |name: &str| Shelf::open(&folder, name, 64 << 20).unwrap();
        let (shelf, found) = open("a");
        assert_eq!(found, Contents::default());
        assert_eq!(
            Shelf::open(&folder, "a", 64 << 20).unwrap_err(),
            Broken::Taken
        );
        let entries = |from: u64, to: u64| (from..to).map(|n| vec![n as u8]).collect::<Vec<_>>();
        shelf
            .change(&[
                Change::Entries(1, entries(1, 9)),
                Change::Fact("hard", vec![7]),
            ])
            .unwrap();
        // A later leader's entries take the place of an earlier one's; the book has the first ones.
        shelf
            .change(&[Change::Entries(5, vec![vec![50]]), Change::Cut(Some(2))])
            .unwrap();
        drop(shelf);
        let (shelf, found) = open("a");
        assert_eq!(found.entries, [(3, vec![3]), (4, vec![4]), (5, vec![50])]);
        assert!(found.facts.contains(&("hard".to_owned(), vec![7])));
        // Marked long ago, as a copy of yesterday is.
        let old = (unix_ms() - 10.0 * trust::FRESH_MS).to_be_bytes().to_vec();
        let commit = shelf.store.begin().unwrap();
        commit
            .open_table(FACTS)
            .unwrap()
            .insert(MARK, &old[..])
            .unwrap();
        commit.commit().unwrap();
        drop(shelf);
        let (shelf, found) = open("a");
        assert_eq!(found, Contents::default());
        shelf.change(&[Change::Fact("hard", vec![8])]).unwrap();
        drop(shelf);
        assert_eq!(open("b").1, Contents::default(), "another's");
        assert_eq!(open("a").1, Contents::default(), "and gone since");
        std::fs::remove_dir_all(folder).unwrap();
    }
}

#[cfg(test)]
mod stored;
