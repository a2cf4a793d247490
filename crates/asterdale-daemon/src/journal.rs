//! What lasts over a crash of this process: the engine's desk of custody, kept by a folder on a local disk. What was about to
//! start is there before it starts, and what came of it before anybody hears so. Where work in hand is kept by keepers
//! (`takeover`) the desk is theirs, and what lasts is their part of the log. The fleet is asked what it remembers of
//! this name, which tells a folder that is older than it ought to be.

use std::sync::Arc;

use asterdale::parameters::Idempotency;
use asterdale_engine::log::Log;
use asterdale_engine::message::{EngineMessage, OwnershipClient};
use asterdale_journal::ledger::Bounds;
use asterdale_journal::writer::Word;
use asterdale_journal::{Heard, Journal, Known, Order, Place, Standing};
use asterdale_ownership::{Answer, Verdict, Want};
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
        let mut hasher = SipHasher13::new_with_keys(self.journal.secret, !self.journal.secret);
        hasher.write(body);
        hasher.finish()
    }

    fn request(&self, number: u64, want: Want) {
        self.journal.order(match want {
            Want::Look(key, sign) => Order::Look(number, key, sign),
            Want::Claim(work) => Order::Claim {
                number,
                key: work.key,
                sign: work.sign,
                id: work.id,
                // A repeat that came before the window's end may be read that much later.
                window_ms: work.window_ms + self.unread_ms,
            },
            Want::End(key, claim, result) => Order::End(number, key, claim, result),
            // Nobody else has this folder: it is rejected as it would have been.
            Want::Pass(work) => Order::Look(number, work.key, work.sign),
        });
    }

    fn cancel(&self, number: u64) {
        self.journal.order(Order::Forget(number));
    }

    fn claim_unused(&self, key: Vec<u8>, claim: u64) {
        self.journal.order(Order::Never(key, claim));
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
        self.journal.leave();
    }
}

/// A word as the engine takes it from whoever keeps work.
fn answer(word: Word) -> Answer {
    let mut answer = Answer::default();
    let verdict = match word {
        Word::Yours(claim) => {
            answer.number = claim;
            Verdict::Yours
        }
        Word::Kept => Verdict::Kept,
        Word::Known(Known::Nothing) => Verdict::Nothing,
        Word::Known(Known::Open) => Verdict::Open,
        Word::Known(Known::Failed) => Verdict::Failed,
        Word::Known(Known::Differs) => Verdict::Differs,
        Word::Known(Known::Passed(result)) => {
            answer.result = result;
            Verdict::Passed
        }
        Word::Known(Known::Unknown(ms)) => {
            answer.ms = ms;
            Verdict::Unknown
        }
        Word::Known(Known::Full) => {
            answer.ms = AGAIN_MS;
            Verdict::Full
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
    let place = Place {
        folder: told.folder.clone().into(),
        name: start.name.clone(),
        most_bytes: told.disk,
        bounds: Bounds {
            entries: told.memory / ENTRY,
            bytes: told.memory,
        },
        window_ms: told.window_ms,
        random: u64::from_be_bytes(random),
    };
    let (host, lines) = (mail.clone(), log.lines.clone());
    let heard = move |heard: Heard| match heard {
        Heard::Word(number, word) => {
            drop(host.send(EngineMessage::OwnershipAnswer(number, answer(word))))
        }
        Heard::Judged(Standing::Same, _) => {
            slog::info!(lines, "journal: the folder is what the last run left");
        }
        Heard::Judged(standing, quiet_ms) => {
            slog::warn!(lines, "journal: what ran before may not be known here, nothing with a key starts meanwhile";
                "folder" => ?standing, "quiet_ms" => quiet_ms.round());
        }
        Heard::Failed(why) => {
            slog::error!(lines, "journal: nothing lasts any more, nothing with a key is started"; "why" => why);
        }
        Heard::Mended => slog::warn!(lines, "journal: it lasts again"),
        Heard::Aside(path, why) => {
            slog::error!(lines, "journal: what was there can't be read, and is laid aside";
                "path" => %path.display(), "why" => why);
        }
    };
    let journal = asterdale_journal::begin(place, heard).map_err(|e| format!("journal: {e}"))?;
    slog::info!(log.lines, "journal: open"; "keys" => journal.found, "generation" => journal.generation);
    if start.fleet.is_none() {
        journal.order(Order::Alone);
    }
    if start.takeover.is_some() {
        return Ok((Some(journal), None));
    }
    let stages = start
        .facts
        .decisions
        .classes
        .iter()
        .map(|stage| stage.idempotency == Idempotency::Keyed)
        .collect();
    let on_disk = OnDisk {
        journal: journal.clone(),
        stages,
        unread_ms: told.unread_ms,
    };
    Ok((Some(journal), Some(Arc::new(on_disk))))
}

/// A keeper's part of the log, on this process's disk.
#[cfg(feature = "fleet")]
struct OnShelf(asterdale_journal::shelf::Shelf);

#[cfg(feature = "fleet")]
impl asterdale_transport::custody::Shelf for OnShelf {
    fn save(&mut self, saves: Vec<asterdale_ownership::Save>) -> Result<(), String> {
        use asterdale_journal::shelf::Change;
        use asterdale_ownership::Save;
        let mut changes = Vec::with_capacity(saves.len());
        for save in saves {
            match save {
                Save::Face(face) => changes.push(Change::Fact(FACE, face)),
                Save::Hard(hard) => changes.push(Change::Fact(HARD, hard)),
                Save::Whole(index, whole, alone) => {
                    changes.push(Change::Fact(WHOLE, whole));
                    changes.push(Change::Cut((!alone).then_some(index)));
                }
                Save::Entries(first, entries) => changes.push(Change::Entries(first, entries)),
            }
        }
        self.0.change(&changes).map_err(|e| e.to_string())
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
) -> Result<Option<asterdale_transport::custody::Disk>, String> {
    use asterdale_journal::shelf::Shelf;
    let (Some(told), Some(takeover)) = (&start.journal, &start.takeover) else {
        return Ok(None);
    };
    if !takeover.keepers.iter().any(|(name, _)| *name == start.name) {
        return Ok(None);
    }
    let folder = std::path::Path::new(&told.folder);
    let (shelf, found) =
        Shelf::open(folder, &start.name, told.disk).map_err(|e| format!("journal: {e}"))?;
    slog::info!(log.lines, "journal: a keeper's part of the log is open"; "entries" => found.entries.len());
    let fact = |name: &str| {
        found
            .facts
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.clone())
    };
    let saved = asterdale_ownership::Saved {
        face: fact(FACE).unwrap_or_default(),
        hard: fact(HARD).unwrap_or_default(),
        whole: fact(WHOLE).unwrap_or_default(),
        entries: found.entries.clone(),
    };
    let shelf = Arc::new(std::sync::Mutex::new(OnShelf(shelf)));
    Ok(Some(asterdale_transport::custody::Disk { saved, shelf }))
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
            Event::Remembered(generation) => self.remembered.store(*generation, Relaxed),
            Event::Joined(generation) => {
                let (generation, remembered) = (*generation, self.remembered.load(Relaxed));
                self.journal.order(Order::Joined {
                    generation,
                    remembered,
                });
            }
            Event::Renewed(generation) => self.journal.order(Order::Renewed(*generation)),
            Event::Superseded(_) => self.journal.order(Order::Superseded),
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

    use asterdale_journal::entry::Stage;
    use asterdale_journal::store::{spared, Found, Store, FILE};
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
    fn read(folder: &Path) -> Result<(Found, bool, u64), String> {
        let file = folder.join(FILE);
        let mut why = String::new();
        for _ in 0..TRIES {
            let bytes = std::fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let length = bytes.len() as u64;
            let looked = spared(|| {
                Store::image(bytes).and_then(|mut store| Ok((store.check()?, store.load()?)))
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
        let face = found.face.clone().unwrap_or_default();
        let count = |stage| {
            found
                .entries
                .iter()
                .filter(|(_, entry)| entry.stage() == stage)
                .count()
        };
        match command {
            Command::Check { .. } => {
                let good = sound && found.damaged == 0 && found.face.is_some();
                println!(
                    "{}",
                    json!({"good": good, "pages": sound, "damaged_entries": found.damaged,
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
                        json!({"key": text(key), "stage": format!("{:?}", entry.stage()).to_lowercase(),
                        "id": text(&entry.id), "run": entry.run, "left_ms": (entry.until_ms - face.now_ms).round(),
                        "result_bytes": entry.result.len()})
                    );
                }
            }
            Command::Stats { .. } => {
                println!(
                    "{}",
                    json!({"name": face.name, "folder": format!("{:016x}", face.folder), "run": face.run,
                    "generation": face.generation, "quiet_ms": (face.quiet_until_ms - face.now_ms).max(0.0).round(),
                    "marked_unix_ms": face.unix_ms.round(), "bytes": length, "intents": count(Stage::Intent),
                    "passed": count(Stage::Passed), "failed": count(Stage::Failed), "damaged_entries": found.damaged})
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
