//! A hot-restart state that an earlier release wrote is restored with all its open tasks, idempotency entries, results
//! and keys, and the state of the link to the runtime. The names of the stored fields are checked as well, so that a
//! change is detected even if reading and writing change together. `tests/fixtures/hot_restart/README.md` says how the
//! file was made.

use asterdale_identity::mint::SecretKey;
use asterdale_identity::{Identity, Role, Tenant};
use asterdale_parameters::Settings;
use crossbeam_channel::{unbounded, Sender};
use serde_json::{json, Value};
use std::sync::Arc;
use std::time::Instant;

use super::check_state;
use super::format::TransferredState;
use crate::counters::Counters;
use crate::engine::{Engine, EnginePorts, EngineSettings};
use crate::idempotency::EntryState;
use crate::log::Log;
use crate::memory::{ByteSemaphore, MemoryAccount, MemoryBudget};
use crate::message::{
    Connection, Endpoints, EngineMessage, Frontends, IdempotencyKey, Reply, Request,
    RequestCapacity, RequestHead, RequestId, ResponseRoute, Shortage, TaskId,
};
use crate::tasks::{PendingCall, TaskRecord};
use crate::{mailbox, records};

const STATE: &[u8] = include_bytes!("../../tests/fixtures/hot_restart/state.msgpack");

/// The seed of the digests, which the stored state overrides.
const SEED: u64 = 42;
/// The engine's time when the first engine started.
const START_MS: f64 = 1e12;

/// Frontends without connections.
struct NoFrontends;

impl Frontends for NoFrontends {
    fn close_idle(&self, _: f64) {}
    fn open_connections(&self) -> usize {
        0
    }
    fn stop_listening(&self) {}
    fn end_answered_connections(&self) {}
    fn set_paused(&self, _: bool) {}
}

/// A connection that discards every reply.
struct DiscardingConnection(u64);

impl Connection for DiscardingConnection {
    fn connection_id(&self) -> u64 {
        self.0
    }
    fn answer(self: Arc<Self>, _: u16, _: Reply) {}
    fn discard_request(&self) {}
}

/// Two cores, an idempotent request class and a keyed one.
fn settings() -> Settings {
    let class = |name: &str, repeat: &str| {
        json!({"name": name, "repeat": repeat, "objectiveNs": 500e6, "deadlineNs": 2000e6, "worth": 1.0,
            "lateShare": 0.2, "memorySpanNs": 5000e6})
    };
    let start_file = json!({
        "extra": {"cores": 2, "memoryKb": 90_000, "blowup": 16, "entryKb": 10, "below": "shared",
            "callsOut": 10, "classCalls": [true, true], "worthWithout": [0.5, 0.0],
            "upstreams": 2, "ownStats": ["core_use"]},
        "guarantees": {"startCapacity": 0.25, "coldNs": 1000e6, "overloadFactor": 5.0},
        "tickNs": 5e6, "servers": 2, "overShareWorth": 0.1,
        "lanes": [class("read", "repeatable"), class("bid", "by_key")],
        "tenants": [{"name": "house", "allowancePerS": 50.0}],
    });
    asterdale_parameters::from_json(SEED, &start_file)
}

/// An identity policy under which every caller needs a token.
fn identity() -> Identity {
    let text = |text: &str| text.to_owned();
    let role = Role {
        name: text("clerk"),
        request_classes: vec![0, 1],
        max_concurrent: 99,
        requests_per_s: 1000.0,
        burst: 1000.0,
        max_cost_ms: f64::INFINITY,
    };
    let identity_settings = asterdale_identity::IdentitySettings {
        seed: 5,
        issuer: text("issuer"),
        audience: text("asterdale"),
        root_keys: vec![SecretKey::from_seed([99; 32], "root").public_key()],
        max_key_set_age_ms: f64::INFINITY,
        clock_skew_ms: 500.0,
        cached_tokens: 64,
        signatures_per_edge_per_s: 1000.0,
        signatures_per_s: 1000.0,
        roles: vec![role],
        tenants: vec![Tenant {
            name: text("house"),
            scheduling_tenant: 0,
            roles: vec![text("clerk")],
        }],
        certificate_mappings: Vec::new(),
    };
    Identity::new(START_MS, identity_settings).unwrap()
}

/// The settings and ports of an engine. What it sends over the ports is discarded.
fn settings_and_ports() -> (EngineSettings, EnginePorts) {
    let address = ([127, 0, 0, 1], 9).into();
    let endpoints = Endpoints {
        runtime: address,
        registry: address,
        records: address,
    };
    let memory = MemoryBudget::new(64 << 20, 0).unwrap();
    let engine_settings = EngineSettings {
        settings: Arc::new(settings()),
        memory,
        termination_grace_ms: 5000.0,
        endpoints,
        identity: Some(identity()),
    };
    let counters = Arc::new(Counters::default());
    let (log, _) = Log::to_stderr("test", true, slog::Level::Critical);
    let received = ByteSemaphore::new(memory.links);
    let (engine, _) = unbounded();
    let (records, _) =
        records::new(address, engine, received, counters.clone(), log.clone()).unwrap();
    let (registry, _) = mailbox::open(&mio::Poll::new().unwrap(), mio::Token(0)).unwrap();
    let ports = EnginePorts {
        records,
        frontends: Arc::new(NoFrontends),
        registry,
        runtime_link: unbounded().0,
        issuer: None,
        fleet: None,
        #[cfg(feature = "ownership")]
        ownership: None,
        request_memory: MemoryAccount::new(&memory),
        counters,
        log,
    };
    (engine_settings, ports)
}

fn restored(state: &[u8]) -> Engine {
    let (engine_settings, ports) = settings_and_ports();
    let client = |connection| -> Arc<dyn Connection> { Arc::new(DiscardingConnection(connection)) };
    Engine::restore(engine_settings, ports, state, &client, None).unwrap()
}

fn decode(state: &[u8]) -> TransferredState {
    TransferredState::decode(state).unwrap()
}

/// A state as a tree of names and values. Lists whose order has no meaning are sorted.
fn tree(state: &[u8]) -> Value {
    let mut tree = serde_json::to_value(decode(state)).unwrap();
    for list in ["/tasks", "/remembered/entries"] {
        let list = tree
            .pointer_mut(list)
            .and_then(Value::as_array_mut)
            .unwrap();
        list.sort_by_key(Value::to_string);
    }
    tree
}

fn id(n: u8) -> RequestId {
    *format!("00000000000000{n:02}")
        .as_bytes()
        .first_chunk()
        .unwrap()
}

fn key(text: &[u8]) -> IdempotencyKey {
    IdempotencyKey {
        class: 1,
        tenant: 0,
        bytes: text.into(),
    }
}

#[test]
fn stored_state_fits_only_as_many_request_classes() {
    assert!(check_state(STATE, 2).is_ok());
    assert!(check_state(STATE, 3).is_err());
    assert!(check_state(&STATE[..STATE.len() - 1], 2).is_err());
}

#[test]
fn stored_state_is_written_again_byte_for_byte() {
    assert!(decode(STATE).encode() == STATE, "the bytes differ");
}

#[test]
fn restored_engine_exports_the_same_state() {
    assert_eq!(tree(&restored(STATE).export()), tree(STATE));
}

#[test]
fn totals_of_a_stored_state_are_restored() {
    let engine = restored(STATE);
    let summary = engine.summary().unwrap();
    assert_eq!(
        (summary.tasks, summary.limit, summary.call_window),
        (6, 2.0, 2.0)
    );
    assert_eq!(
        (
            engine.tasks.last_number,
            engine.tasks.by_number.len(),
            engine.tasks.by_route.len()
        ),
        (8, 6, 6)
    );
    assert_eq!(
        (engine.tasks.is_healthy, engine.tasks.health_is_cached),
        (true, false)
    );
    let link = &engine.tasks.runtime;
    assert_eq!(
        (
            link.last_notice,
            link.gauges_requested,
            link.gauges_received
        ),
        (3, 1, 0)
    );
    assert_eq!(
        (engine.tasks.now, engine.edge_node_indexes.get(&17)),
        (1_000_000_000_001.304_3, Some(&0))
    );
}

/// Takes a task out of the table, after checking that it is found by its number, its request id and its route.
fn take_task(engine: &mut Engine, number: TaskId) -> TaskRecord {
    let handle = engine.tasks.by_number[&number];
    assert_eq!(engine.tasks.by_id[&id(number as u8)], handle);
    assert_eq!(
        engine.tasks.by_route[&ResponseRoute::from((1 << 33, number as u16))],
        handle
    );
    engine.tasks.slots[handle.index()].take().unwrap()
}

#[test]
fn task_waiting_for_its_call_is_restored_with_its_caller_and_quota() {
    let mut engine = restored(STATE);
    let waiting = take_task(&mut engine, 3);
    assert_eq!(
        (waiting.class, &waiting.body[..], waiting.idempotency_key),
        (1, &b"bid 3"[..], Some(key(b"key-3")))
    );
    assert_eq!(
        (
            waiting.started,
            waiting.must_not_start,
            waiting.last_command.is_some()
        ),
        (true, false, false)
    );
    let call = PendingCall {
        notice: 3,
        body: b"stock?".to_vec(),
    };
    assert_eq!(waiting.pending_call, Some(call));
    assert_eq!(waiting.body_digest, 4_609_995_455_783_861_838);
    let caller = waiting.caller.unwrap();
    assert_eq!(
        (caller.tenant, caller.key.as_deref(), &caller.claims.sub[..]),
        (0, Some("k2"), "desk")
    );
    assert_eq!(
        (&caller.claims.jti[..], caller.claims.exp, caller.claims.iat),
        ("token-1", 2e9, Some(1e9))
    );
    assert!(
        waiting.quota_permit.is_some() && take_task(&mut engine, 4).quota_permit.is_none(),
        "a task that joined another takes up no quota"
    );
}

#[test]
fn running_and_queued_tasks_of_a_stored_state_are_restored() {
    let mut engine = restored(STATE);
    let running = take_task(&mut engine, 6);
    assert_eq!(
        (running.class, running.started, running.idempotency_key),
        (0, true, None)
    );
    let command = running.last_command.unwrap();
    assert_eq!(
        (
            command.next_gauges,
            command.handed_to_link,
            command.may_be_resent(false)
        ),
        (1, true, true)
    );
    let line = r#"{"t":"start","rid":"0000000000000006","route":"read","b64":"cmVhZCA2"}"#;
    assert_eq!(command.line, format!("{line}\n"));
    let queued = take_task(&mut engine, 8);
    assert_eq!(
        (
            queued.started,
            queued.last_command.is_some(),
            queued.pending_call
        ),
        (false, false, None)
    );
}

#[test]
fn idempotency_entries_of_a_stored_state_are_restored() {
    let mut engine = restored(STATE);
    let entries = &mut engine.tasks.idempotency;
    assert_eq!((entries.len(), entries.bytes()), (4, "sold for 7".len()));
    // The secret of the digests is the stored one, so that a retry has the same digest as the first attempt.
    assert_eq!(entries.digest(b"bid 1"), 15_236_941_030_769_685_157);
    assert!(entries.has_other_body(&key(b"key-1"), entries.digest(b"bid 2")));
    assert!(entries.is_repeat(&key(b"key-1"), 1_000_000_005_010.0));
    assert!(!entries.is_repeat(&key(b"key-1"), 1_000_000_005_011.0));
    assert!(
        matches!(entries.join(&key(b"key-1"), 99), EntryState::Served(result) if &result[..] == b"sold for 7")
    );
    assert!(matches!(
        entries.join(&key(b"key-2"), 99),
        EntryState::Failed
    ));
    assert!(matches!(
        entries.join(&key(b"key-7"), 99),
        EntryState::Pending
    ));
    let waiting = entries.complete(&key(b"key-3"), 3, 1e12, Some(b"sold".as_slice().into()));
    assert_eq!(
        waiting,
        [4],
        "the retry that had joined still waits for the result"
    );
}

#[test]
fn keys_of_a_stored_state_are_restored() {
    use asterdale_identity::keyring::Phase;
    let engine = restored(STATE);
    let keyring = engine
        .tasks
        .identity_gate
        .identity
        .as_ref()
        .unwrap()
        .keyring();
    assert_eq!(
        (keyring.sequence(), keyring.phase("k2", START_MS + 1.0)),
        (Some(1), Some(Phase::Active))
    );
    assert_eq!(
        keyring.verifying_key("k2"),
        Some(&SecretKey::from_seed([2; 32], "k2").public_key())
    );
}

#[test]
fn stored_fields_keep_their_names() {
    let tree = tree(STATE);
    let names = |path: &str| -> Vec<String> {
        let mut names: Vec<String> = tree
            .pointer(path)
            .and_then(Value::as_object)
            .unwrap()
            .keys()
            .cloned()
            .collect();
        names.sort();
        names
    };
    let state = [
        "callers",
        "good",
        "identity",
        "link",
        "now",
        "remembered",
        "serial",
        "server",
        "stored",
        "tasks",
    ];
    assert_eq!(names(""), state);
    let task = [
        "body", "caller", "handle", "id", "mark", "place", "sent", "serial", "sign", "stage",
        "started", "void", "wants", "way",
    ];
    assert_eq!(names("/tasks/0"), task);
    assert_eq!(
        names("/tasks/0/sent"),
        ["adrift", "before", "handed", "harmless", "line"]
    );
    assert_eq!(names("/tasks/0/caller"), ["claims", "key", "tenant"]);
    assert_eq!(names("/remembered"), ["entries", "secret"]);
    assert_eq!(
        names("/remembered/entries/0/0"),
        ["stage", "tenant", "text"]
    );
    let entry = ["fate", "fresh_ms", "owner", "sign", "until", "waiting"];
    assert_eq!(names("/remembered/entries/0/1"), entry);
    assert_eq!(names("/identity"), ["ring", "tenants"]);
    assert_eq!(names("/identity/ring"), ["seen", "set"]);
    assert_eq!(
        names("/identity/ring/seen/k2"),
        ["bytes", "last", "revoked"]
    );
}

/// A connection that passes on its replies.
struct RecordingConnection(Sender<Reply>);

impl Connection for RecordingConnection {
    fn connection_id(&self) -> u64 {
        1
    }
    fn answer(self: Arc<Self>, _: u16, reply: Reply) {
        self.0.send(reply).unwrap();
    }
    fn discard_request(&self) {}
}

/// Guards against a request without capacity that becomes a task of the new process, or is refused although the keys are
/// known to that process alone.
#[test]
fn a_request_without_capacity_is_neither_forwarded_nor_refused_while_the_engine_is_paused() {
    let mut engine = restored(STATE);
    engine.paused.is_frozen = true;
    let (replies, received) = unbounded();
    let lookups = ByteSemaphore::new(1);
    let request = Request {
        head: RequestHead {
            id: id(99),
            class: 1,
            start_ms: START_MS,
            tenant: 0,
            edge_node: 1,
            timeout_ms: None,
            cost_hint_ms: None,
            memory_kb: 1.0,
            idempotency_key: Some(key(b"key")),
        },
        token: None,
        certificate: None,
        body: Vec::new(),
        client: Arc::new(RecordingConnection(replies)),
        request: 1,
        received_at: Instant::now(),
        capacity: RequestCapacity::RepeatOnly {
            shortage: Shortage::Memory,
            lookup: lookups.acquire(1),
        },
        queued: None,
    };
    let message = EngineMessage::Request(Box::new(request));
    assert!(engine.forward_to_successor(message).is_none());
    assert!(matches!(received.try_recv(), Ok(Reply::Unknown { .. })));
    assert!(engine.paused.deferred.is_empty());
    assert_eq!(lookups.used(), 0);
}
