//! A snapshot that an earlier release wrote is restored, and is written again byte for byte. The structs of this file
//! read its fields too, so that a change of a stored name or value is detected even if reading and writing change
//! together. `fixtures/snapshot/README.md` describes how the snapshot was made.
#![cfg(feature = "snapshot")]

use asterdale::snapshot::{Summary, FORMAT_VERSION};
use asterdale::Server;
use serde::Deserialize;

const SNAPSHOT: &[u8] = include_bytes!("fixtures/snapshot/server.msgpack");

#[derive(Deserialize)]
struct StoredServer {
    #[serde(rename = "told")]
    parameters: StoredParameters,
    #[serde(rename = "stages")]
    classes: Vec<StoredClass>,
    #[serde(rename = "customers")]
    tenants: Vec<StoredTenant>,
    tasks: Vec<StoredTask>,
    #[serde(rename = "free")]
    free_slots: Vec<u32>,
    #[serde(rename = "live")]
    active: Vec<u32>,
    #[serde(rename = "chance")]
    rng: u64,
    #[serde(rename = "born")]
    runtime_started_ms: f64,
    #[serde(rename = "leaving")]
    drain_notice: Option<(f64, f64)>,
    limit: f64,
    next_update: f64,
    next_pin: f64,
    cores_full: bool,
    windows: Vec<StoredHistogram>,
    window: usize,
    busiest: [f64; 2],
    #[serde(rename = "count")]
    tasks_by_state: [usize; 6],
    memory: f64,
    entries: StoredTimeBuckets,
    call_window: f64,
    call_credit: f64,
    call_fails: f64,
    lingering: Vec<f64>,
    credit: f64,
    callers: Vec<f64>,
    again: f64,
    cpu: f64,
    idle: f64,
    rejected: StoredTimeBuckets,
    turned_away: u32,
}

#[derive(Deserialize)]
struct StoredParameters {
    seed: u64,
    cores: f64,
    #[serde(rename = "below")]
    dependency: String,
    #[serde(rename = "halt")]
    preemption: String,
    #[serde(rename = "free_value")]
    capacity_hint: String,
    #[serde(rename = "over_share_worth")]
    over_quota_weight_share: f64,
}

#[derive(Deserialize)]
struct StoredClass {
    #[serde(rename = "facts")]
    parameters: StoredClassParameters,
    #[serde(rename = "calm")]
    uncontended_runs: StoredHistogram,
    #[serde(rename = "base")]
    base_latency: f64,
}

#[derive(Deserialize)]
struct StoredClassParameters {
    #[serde(rename = "repeat")]
    idempotency: String,
    #[serde(rename = "utility")]
    weight: f64,
    #[serde(rename = "memory_ms")]
    retry_window_ms: f64,
}

#[derive(Deserialize)]
struct StoredTenant {
    #[serde(rename = "facts")]
    parameters: StoredTenantParameters,
    #[serde(rename = "read")]
    recent_arrivals: StoredTimeBuckets,
    #[serde(rename = "held")]
    queued: usize,
}

#[derive(Deserialize)]
struct StoredTenantParameters {
    #[serde(rename = "allowance_per_s")]
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct StoredTask {
    state: String,
    #[serde(rename = "asked")]
    arrival: StoredArrival,
    #[serde(rename = "arrived")]
    arrived_ms: f64,
    #[serde(rename = "due")]
    deadline_ms: f64,
    #[serde(rename = "tries")]
    failed_calls: u32,
    #[serde(rename = "entry")]
    entry_bucket: Option<u64>,
}

#[derive(Deserialize)]
struct StoredArrival {
    #[serde(rename = "stage")]
    class: usize,
    #[serde(rename = "customer")]
    tenant: usize,
    caller: usize,
    #[serde(rename = "hint_ms")]
    cost_hint_ms: Option<f64>,
    #[serde(rename = "repeat")]
    is_repeat: bool,
}

#[derive(Deserialize)]
struct StoredHistogram {
    counts: Vec<u32>,
    total: u32,
}

#[derive(Deserialize)]
struct StoredTimeBuckets {
    width: f64,
    clock: u64,
    cells: Vec<f64>,
}

fn stored() -> StoredServer {
    rmp_serde::from_slice(SNAPSHOT).unwrap()
}

#[test]
fn stored_snapshot_is_restored_to_the_same_summary() {
    assert_eq!(FORMAT_VERSION, 1);
    let server = Server::restore(SNAPSHOT).unwrap();
    let base_latencies = vec![14.406049195261197, 7.2066112303743965];
    let median_ratio = 0.8353451212508434;
    assert_eq!(
        server.summary(),
        Summary {
            limit: 3.0,
            base_latencies,
            call_window: 2.0,
            median_ratio,
            tasks: 9
        }
    );
    assert_eq!(server.class_count(), 2);
}

#[test]
fn restored_snapshot_is_written_again_byte_for_byte() {
    assert!(
        Server::restore(SNAPSHOT).unwrap().snapshot() == SNAPSHOT,
        "the bytes differ"
    );
}

#[test]
fn stored_fields_have_these_names_and_values() {
    let server = stored();
    let parameters = &server.parameters;
    assert_eq!(
        (
            parameters.seed,
            parameters.cores,
            parameters.over_quota_weight_share
        ),
        (3, 2.0, 0.1)
    );
    assert_eq!(
        [
            &parameters.dependency[..],
            &parameters.preemption,
            &parameters.capacity_hint
        ],
        ["Shared", "Drop", "Level"]
    );
    assert_eq!((server.limit, server.call_window), (3.0, 2.0));
    assert_eq!(
        (server.credit, server.call_credit, server.call_fails),
        (8.0, 450.0, 0.25271789637027264)
    );
    assert_eq!(
        (server.rng, server.runtime_started_ms),
        (13_955_619_279_316_412_217, 1e12)
    );
    assert_eq!(
        server.drain_notice,
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
}

#[test]
fn stored_measurements_have_these_names_and_values() {
    let server = stored();
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
fn stored_classes_and_tenants_have_these_values() {
    let server = stored();
    let class = |n: usize| {
        let class: &StoredClass = &server.classes[n];
        let parameters = &class.parameters;
        (
            &parameters.idempotency[..],
            parameters.weight,
            parameters.retry_window_ms,
            class.base_latency,
            class.uncontended_runs.total,
        )
    };
    assert_eq!(
        class(0),
        ("Restartable", 1.0, 5000.0, 14.406049195261197, 52)
    );
    assert_eq!(
        class(1),
        ("Fingerprinted", 3.0, 5000.0, 7.2066112303743965, 60)
    );
    let counts = &server.classes[0].uncontended_runs.counts;
    assert_eq!((counts.len(), counts[89], counts[94]), (212, 10, 11));
    let tenant = |n: usize| {
        let tenant: &StoredTenant = &server.tenants[n];
        (
            tenant.parameters.quota_per_s,
            tenant.queued,
            tenant.recent_arrivals.cells[6],
        )
    };
    assert_eq!([tenant(0), tenant(1)], [(5.0, 1, 7.0), (50.0, 1, 7.0)]);
}

#[test]
fn stored_tasks_are_in_every_state() {
    let server = stored();
    // Free, queued, joined, running, waiting for a call, calling.
    assert_eq!(server.tasks_by_state, [5, 2, 1, 3, 1, 2]);
    assert_eq!(server.active, [0, 1, 2, 3, 4, 5, 7, 9, 13]);
    assert_eq!(server.free_slots, [12, 10, 8, 6, 11]);
    let states: Vec<&str> = server
        .active
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
        (task.arrival.class, task.arrival.tenant, task.arrival.caller),
        (1, 1, 0)
    );
    assert_eq!(
        (
            task.arrival.cost_hint_ms,
            task.arrival.is_repeat,
            task.failed_calls
        ),
        (Some(2.0), false, 0)
    );
    assert_eq!(
        (task.arrived_ms, task.deadline_ms),
        (1_000_000_003_210.0, 1_000_000_004_713.0)
    );
    assert_eq!(task.entry_bucket, Some(11_636_363_733));
    assert!(server.tasks[13].arrival.is_repeat);
}

/// The stored snapshot has one variant of each enum; settings may have any of them.
#[test]
fn every_stored_variant_name_is_read() {
    fn assert_variants_are_read<T: serde::de::DeserializeOwned + PartialEq + std::fmt::Debug>(
        variants: &[(&str, T)],
    ) {
        for (name, variant) in variants {
            let read: T = rmp_serde::from_slice(&rmp_serde::to_vec(name).unwrap()).unwrap();
            assert_eq!(read, *variant, "{name}");
        }
    }
    use asterdale::parameters::{CapacityHint, Dependency, Idempotency, Preemption};
    assert_variants_are_read(&[
        ("Never", Preemption::Unsupported),
        ("Drop", Preemption::Abort),
        ("Pause", Preemption::Pause),
    ]);
    assert_variants_are_read(&[
        ("Nothing", Dependency::Absent),
        ("Shared", Dependency::Shared),
        ("Tier", Dependency::Tier),
    ]);
    assert_variants_are_read(&[
        ("Restartable", Idempotency::Idempotent),
        ("Fingerprinted", Idempotency::Keyed),
        ("SideEffecting", Idempotency::NonIdempotent),
    ]);
    assert_variants_are_read(&[
        ("Unused", CapacityHint::Unused),
        ("Level", CapacityHint::Level),
        ("Credit", CapacityHint::Credit),
        ("Weight", CapacityHint::Weight),
    ]);
}
