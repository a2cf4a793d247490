//! A snapshot that an earlier release wrote is restored to the same figures, and is written again byte for byte. The
//! fields are read here by structures of this file as well, so that a change of a stored name or value is seen even
//! where reading and writing change together. `fixtures/snapshot/README.md` says how the file was made.
#![cfg(feature = "snapshot")]

use asterdale::snapshot::{Summary, FORMAT_VERSION};
use asterdale::Server;
use serde::Deserialize;

const SNAPSHOT: &[u8] = include_bytes!("fixtures/snapshot/server.msgpack");

#[derive(Deserialize)]
struct StoredServer {
    told: StoredTold,
    stages: Vec<StoredStage>,
    customers: Vec<StoredCustomer>,
    tasks: Vec<StoredTask>,
    free: Vec<u32>,
    live: Vec<u32>,
    chance: u64,
    born: f64,
    leaving: Option<(f64, f64)>,
    limit: f64,
    next_update: f64,
    next_pin: f64,
    cores_full: bool,
    windows: Vec<StoredSpread>,
    window: usize,
    busiest: [f64; 2],
    count: [usize; 6],
    memory: f64,
    entries: StoredRing,
    call_window: f64,
    call_credit: f64,
    call_fails: f64,
    lingering: Vec<f64>,
    credit: f64,
    callers: Vec<f64>,
    again: f64,
    cpu: f64,
    idle: f64,
    rejected: StoredRing,
    turned_away: u32,
}

#[derive(Deserialize)]
struct StoredTold {
    seed: u64,
    cores: f64,
    below: String,
    halt: String,
    free_value: String,
    over_share_worth: f64,
}

#[derive(Deserialize)]
struct StoredStage {
    facts: StoredStageFacts,
    calm: StoredSpread,
    base: f64,
}

#[derive(Deserialize)]
struct StoredStageFacts {
    repeat: String,
    utility: f64,
    memory_ms: f64,
}

#[derive(Deserialize)]
struct StoredCustomer {
    facts: StoredCustomerFacts,
    read: StoredRing,
    held: usize,
}

#[derive(Deserialize)]
struct StoredCustomerFacts {
    allowance_per_s: f64,
}

#[derive(Deserialize)]
struct StoredTask {
    state: String,
    asked: StoredArrival,
    arrived: f64,
    due: f64,
    tries: u32,
    entry: Option<u64>,
}

#[derive(Deserialize)]
struct StoredArrival {
    stage: usize,
    customer: usize,
    caller: usize,
    hint_ms: Option<f64>,
    repeat: bool,
}

#[derive(Deserialize)]
struct StoredSpread {
    counts: Vec<u32>,
    total: u32,
}

#[derive(Deserialize)]
struct StoredRing {
    width: f64,
    clock: u64,
    cells: Vec<f64>,
}

fn stored() -> StoredServer {
    rmp_serde::from_slice(SNAPSHOT).unwrap()
}

#[test]
fn a_stored_snapshot_is_restored_to_the_same_figures() {
    assert_eq!(FORMAT_VERSION, 1);
    let server = Server::restore(SNAPSHOT).unwrap();
    let bases = vec![14.406049195261197, 7.2066112303743965];
    let pace = 0.8353451212508434;
    assert_eq!(
        server.summary(),
        Summary {
            limit: 3.0,
            bases,
            call_window: 2.0,
            pace,
            tasks: 9
        }
    );
    assert_eq!(server.class_count(), 2);
}

#[test]
fn a_restored_snapshot_is_written_again_byte_for_byte() {
    assert!(
        Server::restore(SNAPSHOT).unwrap().snapshot() == SNAPSHOT,
        "the bytes differ"
    );
}

#[test]
fn the_stored_fields_have_these_names_and_values() {
    let server = stored();
    let told = &server.told;
    assert_eq!(
        (told.seed, told.cores, told.over_share_worth),
        (3, 2.0, 0.1)
    );
    assert_eq!(
        [&told.below[..], &told.halt, &told.free_value],
        ["Shared", "Drop", "Level"]
    );
    assert_eq!((server.limit, server.call_window), (3.0, 2.0));
    assert_eq!(
        (server.credit, server.call_credit, server.call_fails),
        (8.0, 450.0, 0.25271789637027264)
    );
    assert_eq!(
        (server.chance, server.born),
        (13_955_619_279_316_412_217, 1e12)
    );
    assert_eq!(
        server.leaving,
        Some((1_000_000_003_234.0, 1_000_000_008_214.0))
    );
    assert_eq!(
        (server.next_update, server.next_pin),
        (1_000_000_003_510.0, 1_000_000_180_000.0)
    );
    assert_eq!(
        (server.cores_full, server.cpu, server.idle),
        (true, 0.98, 30_000.0)
    );
    assert_eq!(
        (server.memory, server.busiest, server.window),
        (1145.0, [13.0, 0.0], 6)
    );
    assert_eq!(
        server
            .windows
            .iter()
            .map(|window| window.total)
            .collect::<Vec<_>>(),
        [0, 16, 27, 29, 0, 0, 0, 0]
    );
    assert_eq!(
        server.callers,
        [30.070310000000003, 30.070310000000003, 29.070310000000003]
    );
    assert_eq!(
        (server.again, server.turned_away, server.lingering.len()),
        (0.9998278179198524, 5, 0)
    );
    let rejected = &server.rejected;
    assert_eq!(
        (rejected.width, rejected.clock, rejected.cells[6]),
        (500.0, 2_000_000_006, 5.0)
    );
    let entries = &server.entries;
    assert_eq!(
        (entries.width, entries.clock, entries.cells[21]),
        (85.9375, 11_636_363_673, 5.0)
    );
}

#[test]
fn the_stored_rows_of_stages_and_customers_have_these_values() {
    let server = stored();
    let stage = |n: usize| {
        let stage: &StoredStage = &server.stages[n];
        let facts = &stage.facts;
        (
            &facts.repeat[..],
            facts.utility,
            facts.memory_ms,
            stage.base,
            stage.calm.total,
        )
    };
    assert_eq!(
        stage(0),
        ("Restartable", 1.0, 5000.0, 14.406049195261197, 52)
    );
    assert_eq!(
        stage(1),
        ("Fingerprinted", 3.0, 5000.0, 7.2066112303743965, 60)
    );
    let counts = &server.stages[0].calm.counts;
    assert_eq!((counts.len(), counts[89], counts[94]), (212, 10, 11));
    let customer = |n: usize| {
        let customer: &StoredCustomer = &server.customers[n];
        (
            customer.facts.allowance_per_s,
            customer.held,
            customer.read.cells[6],
        )
    };
    assert_eq!([customer(0), customer(1)], [(5.0, 1, 7.0), (50.0, 1, 7.0)]);
}

#[test]
fn the_stored_tasks_are_in_every_state() {
    let server = stored();
    // Free, held, joined, running, parked, calling.
    assert_eq!(server.count, [5, 2, 1, 3, 1, 2]);
    assert_eq!(server.live, [0, 1, 2, 3, 4, 5, 7, 9, 13]);
    assert_eq!(server.free, [12, 10, 8, 6, 11]);
    let states: Vec<&str> = server
        .live
        .iter()
        .map(|&n| &server.tasks[n as usize].state[..])
        .collect();
    let expected = [
        "Calling", "Calling", "Parked", "Running", "Held", "Running", "Running", "Held", "Joined",
    ];
    assert_eq!(states, expected);
    assert_eq!(server.tasks[6].state, "Free");
    let task = &server.tasks[3];
    assert_eq!(
        (task.asked.stage, task.asked.customer, task.asked.caller),
        (1, 1, 0)
    );
    assert_eq!(
        (task.asked.hint_ms, task.asked.repeat, task.tries),
        (Some(2.0), false, 0)
    );
    assert_eq!(
        (task.arrived, task.due),
        (1_000_000_003_210.0, 1_000_000_004_713.0)
    );
    assert_eq!(task.entry, Some(11_636_363_733));
    assert!(server.tasks[13].asked.repeat);
}

/// A start may be told any of these; the snapshot above holds one of each kind.
#[test]
fn every_stored_name_of_a_choice_is_read() {
    fn reads<T: serde::de::DeserializeOwned + PartialEq + std::fmt::Debug>(choices: &[(&str, T)]) {
        for (name, choice) in choices {
            let read: T = rmp_serde::from_slice(&rmp_serde::to_vec(name).unwrap()).unwrap();
            assert_eq!(read, *choice, "{name}");
        }
    }
    use asterdale::parameters::{CapacityHint, Dependency, Idempotency, Preemption};
    reads(&[
        ("Never", Preemption::Unsupported),
        ("Drop", Preemption::Abort),
        ("Pause", Preemption::Pause),
    ]);
    reads(&[
        ("Nothing", Dependency::Absent),
        ("Shared", Dependency::Shared),
        ("Tier", Dependency::Tier),
    ]);
    reads(&[
        ("Restartable", Idempotency::Idempotent),
        ("Fingerprinted", Idempotency::Keyed),
        ("SideEffecting", Idempotency::NonIdempotent),
    ]);
    reads(&[
        ("Unused", CapacityHint::Unused),
        ("Level", CapacityHint::Level),
        ("Credit", CapacityHint::Credit),
        ("Weight", CapacityHint::Weight),
    ]);
}
