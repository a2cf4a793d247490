//! Compares the index and its store with an in-memory map, on a disk with injected faults: acknowledged commits survive a
//! crash, commits are atomic, and no commit is acknowledged after a failed sync.

mod disk;

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

use asterdale_journal::entry::{Entry, FolderHeader};
use asterdale_journal::index::{ClaimRequest, IndexLimits, KeyIndex, KeyWrite};
use asterdale_journal::store::STATE_FILE;
use asterdale_journal::{
    start, JournalCommand, JournalEvent, JournalSettings, RecoveryVerdict, Store,
};
use disk::{Disk, Fault};
use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MAX_FILE_BYTES: u64 = 64 << 20;
const LIMITS: IndexLimits = IndexLimits {
    max_entries: 200,
    max_bytes: 1 << 20,
};
/// The number of runs per seed. Each run ends with a crash.
const RUNS: u64 = 3;

type Map = BTreeMap<Vec<u8>, Entry>;

fn apply(map: &mut Map, writes: &[KeyWrite]) {
    for write in writes {
        match write {
            KeyWrite::Put(key, entry) => drop(map.insert(key.clone(), entry.clone())),
            KeyWrite::Delete(key) => drop(map.remove(key)),
        }
    }
}

fn read_entries(disk: Disk) -> Result<Map, String> {
    let store = Store::from_backend(disk, MAX_FILE_BYTES).map_err(|e| e.to_string())?;
    let state = store.load().map_err(|e| e.to_string())?;
    if state.damaged_entries > 0 {
        return Err("damaged entries".to_owned());
    }
    Ok(state.entries.into_iter().collect())
}

/// The outcome of a run of a process.
struct RunOutcome {
    /// The entries of all acknowledged commits.
    acknowledged: Map,
    /// The entries with the commit that failed, if one did.
    unacknowledged: Option<Map>,
    /// Whether a commit after the failed one was acknowledged.
    is_acknowledged_after_failure: bool,
}

/// Runs a process on this disk, which makes `commits` commits unless one fails.
fn run_process(
    random: &mut Pcg64Mcg,
    disk: &Disk,
    mut map: Map,
    run: u64,
    commits: u32,
) -> RunOutcome {
    let Ok(store) = Store::from_backend(disk.clone(), MAX_FILE_BYTES) else {
        return RunOutcome {
            acknowledged: map.clone(),
            unacknowledged: Some(map),
            is_acknowledged_after_failure: true,
        };
    };
    let mut index = KeyIndex::new(run, LIMITS, map.clone());
    index.set_quiet_until(0.0);
    let mut now_ms = f64::from(run as u32) * 1e6;
    let mut in_flight = Vec::new();
    for _ in 0..commits {
        now_ms += 10.0;
        let mut writes = Vec::new();
        for _ in 0..1 + random.next_u32() % 8 {
            writes.extend(random_change(random, &mut index, &mut in_flight, now_ms));
        }
        writes.extend(index.remove_expired(now_ms, 20));
        let header = FolderHeader {
            name: "n".to_owned(),
            run,
            folder_time_ms: now_ms,
            ..FolderHeader::default()
        };
        let mut after = map.clone();
        apply(&mut after, &writes);
        if store.commit(&writes, &header).is_err() {
            // No later commit may be acknowledged, even if the disk works again.
            return RunOutcome {
                acknowledged: map,
                unacknowledged: Some(after),
                is_acknowledged_after_failure: store.commit(&writes, &header).is_ok(),
            };
        }
        map = after;
    }
    RunOutcome {
        acknowledged: map,
        unacknowledged: None,
        is_acknowledged_after_failure: false,
    }
}

/// Claims a random key, or ends a random claim.
fn random_change(
    random: &mut Pcg64Mcg,
    index: &mut KeyIndex,
    in_flight: &mut Vec<(Vec<u8>, u64)>,
    now_ms: f64,
) -> Option<KeyWrite> {
    let key = vec![b'k', (random.next_u32() % 250) as u8];
    if !random.next_u32().is_multiple_of(3) || in_flight.is_empty() {
        let request = ClaimRequest {
            key: &key,
            body_digest: 1,
            attempt_id: b"0123456789abcdef",
            window_ms: 300.0,
        };
        let (claim, write) = index.claim(now_ms, request).ok()?;
        in_flight.push((key, claim));
        return Some(write);
    }
    let (key, claim) = in_flight.swap_remove(random.next_u32() as usize % in_flight.len());
    match random.next_u32() % 4 {
        0 => index.cancel_claim(&key, claim),
        1 => index.record_outcome(&key, claim, None),
        _ => {
            let result = vec![7; random.next_u32() as usize % 3000];
            index.record_outcome(&key, claim, Some(result))
        }
    }
}

fn random_fault(random: &mut Pcg64Mcg) -> Fault {
    match random.next_u32() % 4 {
        0 => Fault::Sync(1 + random.next_u64() % 12),
        1 => Fault::Full(1 + random.next_u64() % 120),
        _ => Fault::Power(1 + random.next_u64() % 160),
    }
}

/// Makes [`RUNS`] runs, each with a random fault and a crash at its end. Returns the number of crashes, or a description of
/// the violated guarantee.
fn check_seed(seed: u64) -> Result<u32, String> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (mut bytes, mut map) = (Vec::new(), Map::new());
    let mut crashes = 0;
    for run in 1..=RUNS {
        let fault = random_fault(&mut random);
        let disk = Disk::new(bytes.clone(), fault);
        let outcome = run_process(&mut random, &disk, map.clone(), run, 12);
        let is_changed = |after: &Map| *after != outcome.acknowledged;
        if outcome.is_acknowledged_after_failure
            && outcome.unacknowledged.as_ref().is_some_and(is_changed)
        {
            return Err(format!(
                "{fault:?}: a commit was acknowledged after one had failed"
            ));
        }
        bytes = disk.crashed(random.next_u64());
        crashes += 1;
        let is_nothing_acknowledged =
            outcome.acknowledged.is_empty() && outcome.unacknowledged.is_some();
        if bytes.is_empty() || is_nothing_acknowledged {
            // The disk failed before any commit was acknowledged: an unreadable file may be replaced.
            if read_entries(Disk::new(bytes.clone(), Fault::None)).is_err() {
                bytes.clear();
            }
        }
        let stored = read_entries(Disk::new(bytes.clone(), Fault::None)).map_err(|e| {
            format!("{fault:?}, run {run}: acknowledged entries can't be read: {e}")
        })?;
        if stored != outcome.acknowledged && outcome.unacknowledged.as_ref() != Some(&stored) {
            return Err(format!(
                "{fault:?}, run {run}: {} keys are stored, {} were acknowledged",
                stored.len(),
                outcome.acknowledged.len()
            ));
        }
        map = stored;
    }
    Ok(crashes)
}

#[cfg(not(feature = "failpoints"))]
#[test]
fn acknowledged_commits_survive_every_crash_and_commits_are_atomic() {
    let mut crashes = 0;
    for seed in 0..1500 {
        crashes += check_seed(seed).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
    assert_eq!(crashes, 4500);
}

/// Only with the feature `failpoints`: the check above detects an ignored sync error.
#[cfg(feature = "failpoints")]
#[test]
fn ignored_sync_error_is_detected() {
    assert!((0..200).all(|seed| check_seed(seed).is_ok()));
    assert!(asterdale_journal::failpoint::activate("sync"));
    assert!((0..200).any(|seed| check_seed(seed).is_err()));
}

#[test]
fn power_loss_at_every_disk_operation_keeps_acknowledged_commits() {
    let run = |disk: &Disk| run_process(&mut Pcg64Mcg::seed_from_u64(5), disk, Map::new(), 1, 6);
    let faultless = Disk::new(Vec::new(), Fault::None);
    run(&faultless);
    assert!(faultless.operations() > 20);
    for operation in 1..=faultless.operations() {
        let disk = Disk::new(Vec::new(), Fault::Power(operation));
        let outcome = run(&disk);
        for seed in 0..4 {
            let Ok(stored) = read_entries(Disk::new(disk.crashed(seed), Fault::None)) else {
                assert!(
                    outcome.acknowledged.is_empty(),
                    "operation {operation}: acknowledged entries can't be read"
                );
                continue;
            };
            assert!(
                stored == outcome.acknowledged || outcome.unacknowledged.as_ref() == Some(&stored),
                "operation {operation}"
            );
        }
    }
}

#[test]
fn flipped_bit_is_detected_or_changes_no_entry() {
    let disk = Disk::new(Vec::new(), Fault::None);
    let mut random = Pcg64Mcg::seed_from_u64(9);
    let map = run_process(&mut random, &disk, Map::new(), 1, 30).acknowledged;
    let bytes = disk.bytes();
    let mut random = Pcg64Mcg::seed_from_u64(10);
    let (mut detected, mut harmless) = (0, 0);
    for _ in 0..300 {
        let mut bytes = bytes.clone();
        let position = random.next_u64() as usize % bytes.len();
        bytes[position] ^= 1 << (random.next_u32() % 8);
        // The same steps as when a process opens its folder.
        let read = catch_unwind(AssertUnwindSafe(|| {
            let mut store =
                Store::from_backend(Disk::new(bytes, Fault::None), MAX_FILE_BYTES).ok()?;
            if !store.check_integrity().ok()? {
                return None;
            }
            let state = store
                .load()
                .ok()
                .filter(|state| state.damaged_entries == 0)?;
            Some(state.entries.into_iter().collect::<Map>())
        }));
        match read {
            Ok(Some(stored)) => {
                assert!(
                    stored == map,
                    "byte {position}: the entries differ from the written ones"
                );
                harmless += 1;
            }
            _ => detected += 1,
        }
    }
    assert!(
        detected > 0 && harmless > 0,
        "{detected} detected, {harmless} harmless"
    );
}

/// Starts a journal in this folder, and stops it after its recovery check. Returns its events.
fn run_journal(folder: &Path, random_id: u64) -> Vec<JournalEvent> {
    let settings = JournalSettings {
        folder: folder.to_owned(),
        name: "n".to_owned(),
        max_file_bytes: MAX_FILE_BYTES,
        index_limits: LIMITS,
        max_window_ms: 1000.0,
        random_id,
    };
    let (sender, events) = crossbeam_channel::unbounded();
    let journal = start(settings, move |event| drop(sender.send(event))).unwrap();
    journal.send(JournalCommand::Joined {
        generation: 1,
        remembered: 0,
    });
    journal.flush();
    // The thread ends when the last handle is dropped. It then closes the channel and releases the lock.
    drop(journal);
    events.iter().collect()
}

#[test]
fn journal_starts_in_a_folder_with_a_flipped_bit_and_detects_lost_entries() {
    let folder = std::env::temp_dir().join(format!("asterdale-flipped-{}", std::process::id()));
    let file = folder.join(STATE_FILE);
    let (mut replaced, mut read) = (0, 0);
    // An earlier test run may have left a folder; usually there is none.
    let _ = std::fs::remove_dir_all(&folder);
    run_journal(&folder, 0);
    let undamaged = std::fs::read(&file).unwrap();
    let mut random = Pcg64Mcg::seed_from_u64(11);
    for flip in 1..=150 {
        let mut bytes = undamaged.clone();
        // A position in the file's header and first pages, which are in use.
        let position = random.next_u64() as usize % (64 * 1024).min(bytes.len());
        bytes[position] ^= 1 << (random.next_u32() % 8);
        std::fs::write(&file, bytes).unwrap();
        let events = run_journal(&folder, flip);
        let verdict = events.iter().find_map(|event| match event {
            JournalEvent::RecoveryChecked { verdict, .. } => Some(*verdict),
            _ => None,
        });
        let is_replaced = events
            .iter()
            .any(|event| matches!(event, JournalEvent::DamagedFileMoved { .. }));
        if is_replaced {
            assert_eq!(
                verdict,
                Some(RecoveryVerdict::FirstStart),
                "flip {flip} at {position}"
            );
            replaced += 1;
        } else {
            assert!(
                matches!(
                    verdict,
                    Some(RecoveryVerdict::Current | RecoveryVerdict::Unverified)
                ),
                "flip {flip} at {position}: {verdict:?}"
            );
            read += 1;
        }
    }
    assert!(
        replaced > 3 && read > 3,
        "{replaced} files replaced, {read} read"
    );
    std::fs::remove_dir_all(folder).unwrap();
}
