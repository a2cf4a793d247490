//! The actor: orders go into the ledger, what it says has to be on disk goes there, many orders in one commit, and every
//! word leaves after the commit that it rests on. It decides nothing but which orders share a commit: all that came while
//! the one before was made.

use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};

use crate::entry::FolderHeader;
use crate::failpoint::{self, Failpoint};
use crate::index::{IndexLimits, KeyIndex, KeyStatus, KeyWrite};
use crate::recovery::{self, PreviousRun, RecoveryVerdict};
use crate::store::{catch_library_panic, Store, StoreError, STATE_FILE};

/// A folder is marked this often while nothing else is written: a tenth of what makes one fresh.
const MARK: Duration = Duration::from_secs(1);
/// Orders that share a commit.
const AT_ONCE: usize = 512;
/// Keys that are forgotten in one commit.
const FORGOTTEN: usize = 1024;
/// After a failure that was no sync's, the file is opened again this often.
const AGAIN: Duration = Duration::from_secs(1);
/// Writes that wait for a disk that failed: outcomes of what ran meanwhile. Beyond them the oldest are given up, and are
/// unknown after a crash.
const MOST_OWED: usize = 65_536;

/// Where, and within what bounds.
#[derive(Clone, Debug)]
pub struct JournalSettings {
    /// The folder: one process has it at a time.
    pub folder: PathBuf,
    /// The process's name.
    pub name: String,
    /// Bytes that its file may take.
    pub max_file_bytes: u64,
    /// What the ledger may hold.
    pub index_limits: IndexLimits,
    /// The longest window of any task, with the time that one may lie unread.
    pub max_window_ms: f64,
    /// A number that nobody can foresee.
    pub random_id: u64,
}

/// What is asked.
#[derive(Debug)]
pub enum JournalCommand {
    /// What is known of this key, with this body?
    Lookup(u64, Vec<u8>, u64),
    /// A task is about to start.
    Claim {
        /// The number of the word.
        request: u64,
        /// Its key.
        key: Vec<u8>,
        /// What tells its body from others.
        body_digest: u64,
        /// The id of its try.
        attempt_id: Vec<u8>,
        /// How long repeats of it may come.
        window_ms: f64,
    },
    /// It has ended.
    RecordOutcome(u64, Vec<u8>, u64, Option<Vec<u8>>),
    /// It was claimed and never started.
    CancelClaim(Vec<u8>, u64),
    /// Nobody waits for this word any more.
    CancelRequest(u64),
    /// This process is a member of its fleet, in this generation; others remembered the other one of its name.
    Joined {
        /// Its own.
        generation: u64,
        /// 0 where nobody remembered one.
        remembered: u64,
    },
    /// It goes on in another generation.
    GenerationChanged(u64),
    /// There is no fleet to ask.
    NoFleet,
    /// A newer process has its name: nothing is started here any more.
    Superseded,
    /// All is told: writes what is owed.
    Shutdown(Sender<()>),
}

/// What comes of it.
#[derive(Clone, Debug, PartialEq)]
pub enum JournalAnswer {
    /// What is known.
    Status(KeyStatus),
    /// It may start, by this claim: that is on disk.
    Claimed(u64),
    /// Its end is on disk, or can't be and is kept in memory alone.
    OutcomeRecorded,
}

/// What the program hears.
#[derive(Clone, Debug, PartialEq)]
pub enum JournalEvent {
    /// The word for what was asked under this number.
    Answered(u64, JournalAnswer),
    /// What is made of the folder, and for how long nothing that is not known runs.
    RecoveryChecked(RecoveryVerdict, f64),
    /// Nothing lasts any more: nothing with a key is started.
    Failed(String),
    /// It does again.
    Recovered,
    /// What was there could not be read, and lies there now.
    DamagedFileMoved(PathBuf, String),
}

/// The journal, as others hold it.
#[derive(Clone, Debug)]
pub struct Journal {
    orders: Sender<JournalCommand>,
    /// The generation that it remembers of this process; 0 for none.
    pub generation: u64,
    /// Keys that it found.
    pub stored_keys: usize,
    /// What tells bodies apart, alike in all runs over this folder.
    pub digest_secret: u64,
}

impl Journal {
    /// Asks. Never waits.
    pub fn send(&self, order: JournalCommand) {
        let _ = self.orders.send(order);
    }

    /// Comes back once all that was asked is on disk, or can't be.
    pub fn shutdown(&self) {
        let (over, left) = bounded(1);
        self.send(JournalCommand::Shutdown(over));
        let _ = left.recv_timeout(Duration::from_secs(2));
    }
}

fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64() * 1e3)
}

struct Actor<H> {
    place: JournalSettings,
    store: Option<Store>,
    ledger: KeyIndex,
    face: FolderHeader,
    began: Instant,
    /// The folder's time when this began.
    since_ms: f64,
    found: Option<PreviousRun>,
    /// Until when the run before this one was quiet, in the folder's time.
    quiet_before: f64,
    judged: bool,
    /// What is not on disk though it ought to be.
    owed: Vec<KeyWrite>,
    /// A sync failed, or another process is the newer: there is no way back.
    lost: bool,
    again: Instant,
    marked: Instant,
    heard: H,
}

/// Opens the folder, and begins. `heard` is called with each word, by the journal's thread: it must not wait for long.
/// Another process that has the folder is an error; what can't be read is laid aside.
pub fn start(
    place: JournalSettings,
    heard: impl Fn(JournalEvent) + Send + 'static,
) -> Result<Journal, String> {
    let told = |e: StoreError| format!("{}: {e}", place.folder.display());
    let mut aside = None;
    let (store, found) = match open(&place) {
        Ok(opened) => opened,
        Err(StoreError::Damaged(why)) => {
            // Kept for whoever wants to look; this process goes on as one that lost everything.
            let (file, unix_s) = (place.folder.join(STATE_FILE), (unix_ms() / 1e3) as u64);
            let to = place.folder.join(format!("{STATE_FILE}.damaged-{unix_s}"));
            std::fs::rename(&file, &to).map_err(|e| format!("{}: {e}", file.display()))?;
            aside = Some((to, why));
            open(&place).map_err(told)?
        }
        Err(e) => return Err(told(e)),
    };
    let folder = found.header.as_ref().map(|face| PreviousRun {
        generation: face.generation,
        age_ms: if found.damaged_entries > 0 {
            f64::INFINITY
        } else {
            unix_ms() - face.unix_time_ms
        },
    });
    let mut face = found.header.unwrap_or_else(|| FolderHeader {
        name: place.name.clone(),
        folder_id: place.random_id,
        digest_secret: place.random_id.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15,
        ..FolderHeader::default()
    });
    if face.name != place.name {
        return Err(format!(
            "{}: it is the folder of {}",
            place.folder.display(),
            face.name
        ));
    }
    face.run += 1;
    let (since_ms, quiet_before) = (face.folder_time_ms, face.quiet_until_ms);
    // Until somebody has judged it: should this run end before that, the next one knows no more than this.
    face.quiet_until_ms = face.quiet_until_ms.max(since_ms + place.max_window_ms);
    face.unix_time_ms = unix_ms();
    store.commit(&[], &face).map_err(told)?;
    let count = found.entries.len();
    let ledger = KeyIndex::new(face.run, place.index_limits, found.entries);
    let (orders, ordered) = crossbeam_channel::unbounded();
    let now = Instant::now();
    let journal = Journal {
        orders,
        generation: face.generation,
        stored_keys: count,
        digest_secret: face.digest_secret,
    };
    if let Some((to, why)) = aside {
        heard(JournalEvent::DamagedFileMoved(to, why));
    }
    let actor = Actor {
        place,
        store: Some(store),
        ledger,
        face,
        began: now,
        since_ms,
        found: folder,
        quiet_before,
        judged: false,
        owed: Vec::new(),
        lost: false,
        again: now,
        marked: now,
        heard,
    };
    let thread = std::thread::Builder::new()
        .name("journal".to_owned())
        .stack_size(512 * 1024);
    thread
        .spawn(move || actor.serve(&ordered))
        .map_err(|e| format!("no thread for the journal: {e}"))?;
    Ok(journal)
}

fn open(place: &JournalSettings) -> Result<(Store, crate::store::StoredState), StoreError> {
    catch_library_panic(|| {
        let mut store = Store::open(&place.folder, place.max_file_bytes)?;
        // Every page, as a start that nobody crashed before reads none of them by itself.
        if !store.check_integrity()? {
            return Err(StoreError::Damaged(
                "pages that do not fit together".to_owned(),
            ));
        }
        let found = store.load()?;
        Ok((store, found))
    })
}

impl<H: Fn(JournalEvent)> Actor<H> {
    fn now(&self) -> f64 {
        self.since_ms + self.began.elapsed().as_secs_f64() * 1e3
    }

    fn serve(mut self, orders: &Receiver<JournalCommand>) {
        let mut batch = Vec::new();
        loop {
            match orders.recv_timeout(MARK) {
                Ok(order) => batch.push(order),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            batch.extend(orders.try_iter().take(AT_ONCE));
            self.take(&mut batch);
        }
    }

    /// One commit, and the words that rest on it.
    fn take(&mut self, batch: &mut Vec<JournalCommand>) {
        let now = self.now();
        self.mend();
        let mut words = Vec::new();
        let mut claims = Vec::new();
        let mut writes = Vec::new();
        let mut left = None;
        let mut told = false;
        for order in batch.drain(..) {
            match order {
                JournalCommand::Lookup(number, key, sign) => {
                    words.push((
                        number,
                        JournalAnswer::Status(self.ledger.lookup(now, &key, sign)),
                    ));
                }
                JournalCommand::Claim {
                    request: number,
                    key,
                    body_digest: sign,
                    attempt_id: id,
                    window_ms,
                } => {
                    if self.lost || self.store.is_none() {
                        let known = self.ledger.lookup(now, &key, sign);
                        let known = if known == KeyStatus::Absent {
                            KeyStatus::Unavailable
                        } else {
                            known
                        };
                        words.push((number, JournalAnswer::Status(known)));
                        continue;
                    }
                    match self.ledger.claim(now, (&key, sign), &id, window_ms) {
                        Ok((claim, write)) => {
                            writes.push(write);
                            if failpoint::is_active(Failpoint::Early) {
                                (self.heard)(JournalEvent::Answered(
                                    number,
                                    JournalAnswer::Claimed(claim),
                                ));
                                // As long as a slow disk takes.
                                std::thread::sleep(Duration::from_millis(30));
                            } else {
                                claims.push((number, key, claim));
                            }
                        }
                        Err(known) => words.push((number, JournalAnswer::Status(known))),
                    }
                }
                JournalCommand::RecordOutcome(number, key, claim, result) => {
                    writes.extend(self.ledger.record_outcome(&key, claim, result));
                    words.push((number, JournalAnswer::OutcomeRecorded));
                }
                JournalCommand::CancelClaim(key, claim) => {
                    writes.extend(self.ledger.cancel_claim(&key, claim))
                }
                JournalCommand::CancelRequest(number) => {
                    words.retain(|(word, _)| *word != number);
                    if let Some(at) = claims.iter().position(|(word, ..)| *word == number) {
                        let (_, key, claim) = claims.swap_remove(at);
                        writes.extend(self.ledger.cancel_claim(&key, claim));
                    }
                }
                JournalCommand::Joined {
                    generation,
                    remembered,
                } => {
                    self.judge(now, remembered);
                    self.face.generation = self.face.generation.max(generation);
                    told = true;
                }
                JournalCommand::GenerationChanged(generation) => {
                    self.face.generation = self.face.generation.max(generation);
                    told = true;
                }
                JournalCommand::NoFleet => {
                    self.judge(now, 0);
                    told = true;
                }
                JournalCommand::Superseded => self.lost = true,
                JournalCommand::Shutdown(over) => left = Some(over),
            }
        }
        writes.extend(self.ledger.remove_expired(now, FORGOTTEN));
        if told || !writes.is_empty() || self.marked.elapsed() >= MARK {
            if let Err(why) = self.commit(writes) {
                (self.heard)(JournalEvent::Failed(why));
                // None of these may start: whether their claims are on disk nobody knows.
                for (number, key, claim) in claims.drain(..) {
                    self.owed.extend(self.ledger.cancel_claim(&key, claim));
                    words.push((number, JournalAnswer::Status(KeyStatus::Unavailable)));
                }
            }
        }
        let yours = claims
            .into_iter()
            .map(|(number, _, claim)| (number, JournalAnswer::Claimed(claim)));
        words
            .into_iter()
            .chain(yours)
            .for_each(|(number, word)| (self.heard)(JournalEvent::Answered(number, word)));
        if let Some(over) = left {
            let _ = over.send(());
        }
    }

    fn judge(&mut self, now: f64, remembered: u64) {
        if std::mem::replace(&mut self.judged, true) {
            return;
        }
        let standing = recovery::assess(self.found, remembered);
        // An earlier run that was quiet, or ended before anybody had judged its folder, passes that on: what it marked
        // since is no proof of what was there before it.
        let until = match standing.is_trusted() {
            true if self.quiet_before > now => self.quiet_before,
            true => 0.0,
            false => now + self.place.max_window_ms,
        };
        self.face.quiet_until_ms = until;
        self.ledger.set_quiet_until(until);
        (self.heard)(JournalEvent::RecoveryChecked(
            standing,
            (until - now).max(0.0),
        ));
    }

    fn commit(&mut self, writes: Vec<KeyWrite>) -> Result<(), String> {
        self.marked = Instant::now();
        self.owed.extend(writes);
        if self.owed.len() > MOST_OWED {
            self.owed.drain(..self.owed.len() - MOST_OWED);
        }
        let Some(store) = &self.store else {
            return Ok(());
        };
        (self.face.folder_time_ms, self.face.unix_time_ms) = (self.now(), unix_ms());
        match store.commit(&self.owed, &self.face) {
            Ok(()) => {
                self.owed.clear();
                Ok(())
            }
            Err(why) => {
                self.lost |= store.sync_failed();
                (self.store, self.again) = (None, Instant::now() + AGAIN);
                Err(why.to_string())
            }
        }
    }

    /// A disk that failed, but for a sync, may have room again: what is on it is opened anew, and all that is owed goes
    /// there before anything else.
    fn mend(&mut self) {
        if self.store.is_some() || self.lost || Instant::now() < self.again {
            return;
        }
        self.again = Instant::now() + AGAIN;
        let opened = open(&self.place);
        let Ok((store, found)) = opened else { return };
        let same = Some(found).is_some_and(|found| {
            found.header.is_some_and(|face| {
                (face.folder_id, face.run) == (self.face.folder_id, self.face.run)
            })
        });
        if !same {
            // The folder is gone, or another's by now.
            self.lost = true;
            return;
        }
        self.store = Some(store);
        if self.commit(Vec::new()).is_ok() {
            (self.heard)(JournalEvent::Recovered);
        }
    }
}
